//! Cost of the control plane depending on the size of the fleet.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::time::Duration;

use corianderramp::resource::{Object, drain};
use standins::harness::{self, CONTROL_PORT, Place, Subnet};
use standins::nodes::{Node, net::Net};
use standins::platform::faults::{Calls, Faults};
use standins::platform::{self, Handle};
use tokio::net::TcpListener;
use tokio::time;

/// Timeout for a change to be in force in all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(100);

struct Fleet {
    net: Net,
    platform: Handle,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts one data centre with `size` processes, one in six of them an entry,
    /// and a second one with three entries. `index` selects the subnet.
    async fn start(index: u8, size: u8) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let platform = platform::start(listener, 10_000, Faults::default());
        let net = Net::default();
        let subnet = Subnet::new(index);
        let mut nodes = Vec::new();
        for host in 1..=size + 3 {
            let is_local = host <= size;
            let place = Place {
                vm: format!("vm-{host}"),
                ip: subnet.ip(host),
                data_center: if is_local { "cb-a" } else { "ne-a" }.into(),
                region: "central".into(),
            };
            let is_entry = !is_local || host % 6 == 1;
            let service = if is_entry { "" } else { "llm" };
            platform.force(place.listed(service).to_raw().unwrap());
            let peers = [subnet.address(1, CONTROL_PORT)];
            let settings = if is_entry {
                place.entry(address, &peers)
            } else {
                place.agent(service, address, &peers)
            };
            nodes.push(Node::start(settings, &net).unwrap());
        }
        let fleet = Self {
            net,
            platform,
            nodes,
        };
        fleet.in_force().await;
        // Leaves time for the connections to all peers to open.
        time::sleep(Duration::from_secs(10)).await;
        fleet
    }

    async fn in_force(&self) -> Duration {
        let revision = self.platform.revision();
        let all = async || self.nodes.iter().all(|n| n.view().complete >= revision);
        let time = harness::wait_until("in force", CHANGE_TIMEOUT, all).await;
        time.unwrap()
    }

    fn change(&self, n: u32) {
        let reason = format!("change {n}");
        let object = Object::new("nobody", drain::Drain { reason });
        self.platform.force(object.to_raw().unwrap());
    }
}

async fn calls_during(fleet: &Fleet, time: Duration) -> (Calls, Calls) {
    let before = fleet.platform.calls();
    time::sleep(time).await;
    (before, fleet.platform.calls())
}

/// Guards against a rate of calls to the platform that grows with the number of VMs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_calls_do_not_grow_with_the_fleet() {
    let window = Duration::from_secs(10);
    let mut totals = Vec::new();
    for (index, size) in [(0, 6), (1, 24), (2, 96)] {
        let fleet = Fleet::start(index, size).await;
        let (before, after) = calls_during(&fleet, window).await;
        let total = after.total() - before.total();
        eprintln!(
            "processes={} calls_in_10s={total} get={} put={} list={} watch={}",
            fleet.nodes.len(),
            after.get - before.get,
            after.put - before.put,
            after.list - before.list,
            after.watch - before.watch,
        );
        totals.push(total);
    }
    // In each of two data centres, two candidates with two reads per second each and
    // the holder with two writes per second; a quarter is added for status writes and
    // timing.
    let bound = 2 * (2 + 2 + 2) * 10 * 5 / 4;
    assert!(
        totals.iter().all(|t| *t <= bound),
        "{totals:?} above {bound}"
    );
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    let kilobytes = line.split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() * 1024
}

/// Cost of the control plane in one process.
struct Cost {
    /// Control bytes sent and received per second.
    bytes: f64,
    /// Processor time in percent of a core.
    cpu_percent: f64,
}

async fn costs(fleet: &Fleet, window: Duration, changes: u32) -> Vec<Cost> {
    let read = |n: &Node| {
        let traffic = fleet.net.traffic(n.ip());
        (traffic.sent + traffic.received, n.processor_time())
    };
    let before: Vec<_> = fleet.nodes.iter().map(read).collect();
    for n in 0..changes {
        fleet.change(n);
        time::sleep(window / changes).await;
    }
    if changes == 0 {
        time::sleep(window).await;
    }
    let after = fleet.nodes.iter().map(read);
    let seconds = window.as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let cost = after.zip(before).map(|(a, b)| Cost {
        bytes: (a.0 - b.0) as f64 / seconds,
        cpu_percent: a.1.saturating_sub(b.1).as_secs_f64() / seconds * 100.0,
    });
    cost.collect()
}

/// Prints the mean bytes per second and percent of a core of the coordinator, the
/// other entries and the agents of the large data centre, with and without changes.
/// Run it alone and in release mode:
/// `cargo test --release -p standins --test control_capacity -- --ignored --nocapture`
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "measurement of about four minutes that asserts nothing"]
async fn control_cost_per_process() {
    let window = Duration::from_secs(20);
    for (index, size) in [(3, 24), (4, 72), (5, 216)] {
        let empty = resident_bytes();
        let fleet = Fleet::start(index, size).await;
        let memory = (resident_bytes() - empty) / fleet.nodes.len() as u64 / 1024;
        fleet.change(1000);
        let spread = fleet.in_force().await;
        eprintln!(
            "size={size} memory_per_process_kb={memory} in_force_ms={}",
            spread.as_millis()
        );
        for changes in [0, 40] {
            let all = costs(&fleet, window, changes).await;
            let local = || all.iter().zip(&fleet.nodes).take(usize::from(size));
            let is_entry = |n: &Node| n.settings.target.is_none();
            print_costs(
                size,
                changes,
                "coordinator",
                local().filter(|(_, n)| n.is_coordinator()),
            );
            print_costs(
                size,
                changes,
                "entry",
                local().filter(|(_, n)| is_entry(n) && !n.is_coordinator()),
            );
            print_costs(
                size,
                changes,
                "agent",
                local().filter(|(_, n)| !is_entry(n)),
            );
        }
    }
}

fn print_costs<'a>(
    size: u8,
    changes: u32,
    role: &str,
    costs: impl Iterator<Item = (&'a Cost, &'a Node)> + Clone,
) {
    #[allow(clippy::cast_precision_loss)]
    let count = costs.clone().count() as f64;
    let bytes: f64 = costs.clone().map(|(c, _)| c.bytes).sum();
    let cpu_percent: f64 = costs.map(|(c, _)| c.cpu_percent).sum();
    eprintln!(
        "size={size} changes_in_20s={changes} role={role} bytes_per_s={:.0} core_percent={:.3}",
        bytes / count,
        cpu_percent / count,
    );
}
