//! Distribution of weights while the origin or a host is silent for a time and goes on. The comment
//! on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use serde_json::json;
use standins::users::{self, Behavior, Target};
use tokio::time;

use proxy::Proxy;
use users_fleet::{CHUNKS, Fleet, wait_until};

#[path = "support/proxy.rs"]
mod proxy;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Starts four engines with hosts, whose origin is behind a proxy.
async fn start(fleet: &Fleet) -> (Vec<Target>, Proxy) {
    let origin = fleet.net.address(3, 8000);
    let proxy = Proxy::start(origin, fleet.net.address(2, 8000)).await;
    fleet
        .store
        .put("config", "main", users::config_spec(2, origin, CHUNKS));
    let mut targets = Vec::new();
    for vm in 10..14 {
        targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        fleet.host(vm);
    }
    time::sleep(Duration::from_millis(800)).await;
    (targets, proxy)
}

fn sent_chunks(fleet: &Fleet) -> usize {
    let sent = fleet.origin.sent_chunks();
    sent.iter().filter(|(version, _)| *version == 2).count()
}

async fn wait_for_version(targets: &[Target]) {
    wait_until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
}

/// An origin that is silent for 1.5 s must send each chunk about once all the same: hosts that take
/// over the chunks of others ask it for more than it can send.
#[tokio::test]
async fn silent_origin_sends_each_chunk_once() {
    let fleet = Fleet::start(0).await;
    let (targets, proxy) = start(&fleet).await;
    proxy.set_paused(true);
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    time::sleep(Duration::from_millis(1_500)).await;
    proxy.set_paused(false);
    wait_for_version(&targets).await;
    let sent = sent_chunks(&fleet);
    assert!(sent <= CHUNKS + 2, "the origin sent {sent} chunks");
}

/// The same while chunks are being sent.
#[tokio::test]
async fn origin_that_falls_silent_between_chunks_sends_each_once() {
    let fleet = Fleet::start(1).await;
    let (targets, proxy) = start(&fleet).await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    let pausing = async {
        while sent_chunks(&fleet) == 0 {
            time::sleep(Duration::from_micros(200)).await;
        }
        proxy.set_paused(true);
        time::sleep(Duration::from_millis(1_500)).await;
        proxy.set_paused(false);
    };
    tokio::join!(pausing, wait_for_version(&targets));
    let sent = sent_chunks(&fleet);
    assert!(sent <= CHUNKS + 2, "the origin sent {sent} chunks");
}

/// A manifest with one wrong digit was kept and handed on: no host took the chunk, and the origin
/// was asked for it without end.
#[tokio::test]
async fn wrong_digest_in_a_manifest_is_replaced() {
    let fleet = Fleet::start(2).await;
    let (targets, _proxy) = start(&fleet).await;
    fleet.origin.spoil_manifest(5);
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    wait_for_version(&targets).await;
    let sent = sent_chunks(&fleet);
    assert!(sent <= 2 * CHUNKS, "the origin sent {sent} chunks");
}
