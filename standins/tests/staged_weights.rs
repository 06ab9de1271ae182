//! Real host processes load only staged chunks of which they have just seen that they are sound.
//! The comment on each test states the failure that it guards against. `STAGED_HOSTS` sets the
//! number of processes of the first one.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::node::settings::Role;
use serde_json::json;
use standins::harness::process::Process;
use standins::users::{self, Behavior, Target};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Hosts of the first test in CI.
const HOSTS: u8 = 4;
/// Longest time for which a chunk that is loaded may have been bad.
const TOLERANCE: Duration = Duration::from_secs(3);
/// Time for which a process is paused.
const PAUSE: Duration = Duration::from_millis(3_500);

fn release(fleet: &Fleet, version: u64) {
    let spec = json!({"model": "m0", "version": version});
    fleet.store.put("versions", "m0", spec);
}

async fn start(fleet: &Fleet, hosts: u8, folder: &std::path::Path) -> (Vec<Target>, Vec<Process>) {
    let mut targets = Vec::new();
    let mut processes = Vec::new();
    for vm in 10..10 + hosts {
        targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        processes.push(fleet.process(Role::Host, vm, folder));
    }
    time::sleep(Duration::from_millis(800)).await;
    (targets, processes)
}

/// Reading all chunks back one after the other took longer than a bad chunk is tolerated where
/// engines are slow to answer; those read first could turn bad before the order.
#[tokio::test]
async fn slow_reads_leave_no_chunk_unseen() {
    let hosts = std::env::var("STAGED_HOSTS").ok();
    let hosts = hosts.and_then(|h| h.parse().ok()).unwrap_or(HOSTS);
    let fleet = Fleet::start(0).await;
    let folder = tempfile::tempdir().unwrap();
    let (targets, _processes) = start(&fleet, hosts, folder.path()).await;
    for target in &targets {
        target.set_read_delay(Duration::from_millis(350));
    }
    release(&fleet, 2);
    wait_until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    let longest = targets.iter().flat_map(Target::unseen_times).max();
    assert!(longest.unwrap() < TOLERANCE, "{longest:?}");
}

/// A process that was paused between the last read and the order gave it without another look.
#[tokio::test]
async fn order_after_a_pause_follows_new_reads() {
    let fleet = Fleet::start(1).await;
    let folder = tempfile::tempdir().unwrap();
    let (targets, processes) = start(&fleet, 1, folder.path()).await;
    let (target, host) = (&targets[0], &processes[0]);
    for version in 2..5 {
        let reads = target.staged_reads() + CHUNKS as u64;
        release(&fleet, version);
        while target.staged_reads() < reads {
            time::sleep(Duration::from_micros(200)).await;
        }
        host.freeze();
        // What was sent before has arrived.
        time::sleep(Duration::from_millis(50)).await;
        let is_ordered = target.version() == version;
        time::sleep(PAUSE / 2).await;
        if !is_ordered {
            target.corrupt_chunk(3);
        }
        time::sleep(PAUSE / 2).await;
        host.resume();
        wait_until("the target serves the version", || {
            target.version() == version
        })
        .await;
        let staged = target.staged_chunks();
        assert!(is_ordered || staged[3].as_ref() == Some(&users::chunk_data(version, 3)));
    }
    let longest = target.unseen_times().into_iter().max();
    assert!(longest.unwrap() < TOLERANCE, "{longest:?}");
}
