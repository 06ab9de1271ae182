//! Invariant I7 of the design: an accepted configuration is in force in every
//! reachable process within 4 s and never reverts, whatever fails.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderramp::config::{self, View};
use corianderramp::objects::{Api, Client, Error};
use corianderramp::resource::{Kind, Object, Raw, drain, lease, status};
use parking_lot::Mutex;
use standins::harness::{self, CONTROL_PORT, Place, Subnet};
use standins::nodes::{Node, net::Net};
use standins::platform::faults::Faults;
use standins::platform::{self, Handle};
use todc_utils::{Action, History, Specification, WGLChecker};
use tokio::net::TcpListener;
use tokio::time::{self, Instant};

/// Time within which I7 requires a change to be in force.
const MAX_DELAY: Duration = Duration::from_secs(4);
/// Timeout for steps without a limit of their own; long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(40);

struct Fleet {
    subnet: Subnet,
    net: Net,
    platform: Handle,
    address: SocketAddr,
    client: Client,
    nodes: Vec<Node>,
    violations: Arc<Mutex<Vec<String>>>,
}

impl Fleet {
    /// Starts two data centres with three entries and three agents each.
    async fn start(index: u8) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut fleet = Self {
            subnet: Subnet::new(index),
            net: Net::default(),
            platform: platform::start(listener, 10_000, Faults::default()),
            address,
            client: Client::new(address, None),
            nodes: Vec::new(),
            violations: Arc::default(),
        };
        for host in 1..=12 {
            let place = fleet.place(host, if host <= 6 { "cb-a" } else { "ne-a" });
            let service = if host % 2 == 0 { "llm" } else { "" };
            fleet.add_vm(&place, service);
            fleet.start_node(&place, service, &[]);
        }
        fleet.wait_until_settled().await;
        fleet
    }

    fn place(&self, host: u8, data_center: &str) -> Place {
        Place {
            vm: format!("vm-{host}"),
            ip: self.subnet.ip(host),
            data_center: data_center.into(),
            region: "central".into(),
        }
    }

    fn add_vm(&self, place: &Place, service: &str) {
        self.platform.force(place.listed(service).to_raw().unwrap());
    }

    fn start_node(&mut self, place: &Place, service: &str, peers: &[SocketAddr]) {
        let settings = if service.is_empty() {
            place.entry(self.address, peers)
        } else {
            place.agent(service, self.address, peers)
        };
        let node = Node::start(settings, &self.net).unwrap();
        tokio::spawn(record_reverts(
            node.vm().to_owned(),
            node.state.config.subscribe(),
            self.violations.clone(),
        ));
        self.nodes.push(node);
    }

    fn kill(&mut self, host: u8) {
        let ip = self.subnet.ip(host);
        let i = self.nodes.iter().position(|n| n.ip() == ip).unwrap();
        self.nodes.swap_remove(i).kill();
    }

    /// Waits until the whole VM list is in force in all nodes.
    async fn wait_until_settled(&self) {
        let revision = self.platform.revision();
        let all = self.in_force(&self.nodes, revision, STEP_TIMEOUT).await;
        all.unwrap_or_else(|e| panic!("{e}"));
    }

    /// Waits until `nodes` have every change up to `revision` and returns the time
    /// it took.
    async fn in_force<'a>(
        &self,
        nodes: impl IntoIterator<Item = &'a Node>,
        revision: u64,
        limit: Duration,
    ) -> Result<Duration, String> {
        let nodes: Vec<&Node> = nodes.into_iter().collect();
        let lagging = || {
            let behind = nodes.iter().filter(|n| n.view().complete < revision);
            behind.map(|n| n.vm()).collect::<Vec<_>>()
        };
        let all = harness::wait_until("in force", limit, async || lagging().is_empty());
        all.await
            .map_err(|e| format!("revision {revision}: {e}, lagging {:?}", lagging()))
    }

    fn nodes_in<'a>(&'a self, data_center: &'a str) -> impl Iterator<Item = &'a Node> {
        self.nodes
            .iter()
            .filter(move |n| n.settings.data_center == data_center)
    }

    fn coordinator(&self, data_center: &str) -> Option<&Node> {
        let holder = self.lease(data_center).spec.holder;
        self.nodes.iter().find(|n| n.vm() == holder)
    }

    fn lease(&self, data_center: &str) -> Object<lease::Lease> {
        let store = self.platform.store();
        Object::from_raw(store.get(Kind::Lease, data_center).unwrap()).unwrap()
    }

    fn check_no_reverts(&self) {
        let found = self.violations.lock();
        assert!(found.is_empty(), "{found:?}");
    }
}

/// Records each time the configuration of a node goes back to an older state.
async fn record_reverts(
    vm: String,
    mut views: tokio::sync::watch::Receiver<Arc<View>>,
    violations: Arc<Mutex<Vec<String>>>,
) {
    let mut before = views.borrow_and_update().clone();
    while views.changed().await.is_ok() {
        let now = views.borrow_and_update().clone();
        if now.complete < before.complete {
            let text = format!("{vm}: {} after {}", now.complete, before.complete);
            violations.lock().push(text);
        }
        for new in &now.drains {
            let old = config::find(&before.drains, &new.metadata.name);
            // An object that was absent may only reappear through a newer write.
            let min_revision = old.map_or(before.complete + 1, |o| o.metadata.revision);
            if new.metadata.revision < min_revision && before.complete > 0 {
                let name = &new.metadata.name;
                violations.lock().push(format!("{vm}: {name} went back"));
            }
        }
        before = now;
    }
}

fn drain(name: &str, reason: &str) -> Raw {
    let reason = reason.to_owned();
    Object::new(name, drain::Drain { reason }).to_raw().unwrap()
}

/// Retries the write until the platform accepts the object.
async fn put_with_retry(client: &Client, mut object: Raw) -> Raw {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        match client.put(object.clone()).await {
            Ok(written) => return written,
            Err(Error::Conflict { current }) => {
                object.metadata.revision = current.map_or(0, |c| c.metadata.revision);
            }
            Err(e) => assert!(Instant::now() < deadline, "{e}"),
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against changes that are late or lost while processes are replaced and
/// replies to writes are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_in_time_while_processes_are_replaced() {
    let mut fleet = Fleet::start(0).await;
    fleet.platform.set_faults(Faults {
        lost_share: 0.3,
        delay_ms: 5,
        seed: 1,
        ..Faults::default()
    });
    for round in 0..4_u8 {
        // Replaces an agent and an entry of `cb-a`; one of the entries is the coordinator.
        for (host, center) in [(1 + 2 * round, "cb-a"), (2 + 2 * round, "cb-a")] {
            let (old, new) = (host % 6 + 1, 20 + host);
            if fleet.nodes.iter().any(|n| n.ip() == fleet.subnet.ip(old)) {
                let service = if old % 2 == 0 { "llm" } else { "" };
                fleet.kill(old);
                fleet.platform.force_delete(Kind::Vm, &format!("vm-{old}"));
                let place = fleet.place(new, center);
                fleet.add_vm(&place, service);
                let peers = [fleet.subnet.address(7, CONTROL_PORT)];
                fleet.start_node(&place, service, &peers);
            }
        }
        let written = put_with_retry(&fleet.client, drain("nobody", &round.to_string())).await;
        let revision = written.metadata.revision;
        let time = fleet.in_force(&fleet.nodes, revision, MAX_DELAY).await;
        time.unwrap_or_else(|e| panic!("round {round}: {e}"));
    }
    fleet.check_no_reverts();
}

/// Guards against a data centre that loses its configuration when all its entries
/// are replaced while the platform is down, or that misses changes after the
/// outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_replaced_during_an_outage() {
    let mut fleet = Fleet::start(1).await;
    let written = put_with_retry(&fleet.client, drain("nobody", "before")).await;
    let revision = written.metadata.revision;
    fleet
        .in_force(&fleet.nodes, revision, MAX_DELAY)
        .await
        .unwrap();
    fleet.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    for host in [1, 3, 5] {
        fleet.kill(host);
    }
    let peers = [2, 4, 6].map(|host| fleet.subnet.address(host, CONTROL_PORT));
    let places = [31, 33, 35].map(|host| fleet.place(host, "cb-a"));
    for place in &places {
        fleet.start_node(place, "", &peers);
    }
    // The new entries pull the configuration from the agents.
    fleet
        .in_force(&fleet.nodes, revision, STEP_TIMEOUT)
        .await
        .unwrap();
    let isolated = fleet.place(40, "cb-a");
    fleet.start_node(&isolated, "", &[fleet.subnet.address(99, CONTROL_PORT)]);
    // One of the new entries becomes the fallback coordinator and pushes to the agents.
    let agents_follow = async || {
        let new = |vm: &str| places.iter().any(|p| p.vm == vm);
        let agents = fleet
            .nodes_in("cb-a")
            .filter(|n| n.settings.target.is_some());
        agents.into_iter().all(|n| {
            let known = n.state.coordinator.borrow();
            known.as_ref().is_some_and(|c| new(&c.vm))
        })
    };
    harness::wait_until("fallback coordinator", STEP_TIMEOUT, agents_follow)
        .await
        .unwrap();
    // A process that reaches neither a peer nor the platform has no configuration.
    assert_eq!(fleet.nodes.last().unwrap().view().complete, 0);
    fleet.kill(40);
    fleet.platform.set_faults(Faults::default());
    for (old, place) in [1, 3, 5].into_iter().zip(&places) {
        fleet.platform.force_delete(Kind::Vm, &format!("vm-{old}"));
        fleet.add_vm(place, "");
    }
    let written = put_with_retry(&fleet.client, drain("nobody", "after")).await;
    let after = written.metadata.revision;
    fleet
        .in_force(&fleet.nodes, after, MAX_DELAY)
        .await
        .unwrap();
    fleet.check_no_reverts();
}

/// Guards against a partitioned data centre that reverts its configuration, or that
/// does not catch up within the limit after the partition ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_data_center_catches_up() {
    let fleet = Fleet::start(2).await;
    let inside: Vec<_> = fleet.nodes_in("ne-a").map(Node::ip).collect();
    let outside: Vec<_> = fleet.nodes_in("cb-a").map(Node::ip).collect();
    fleet.net.isolate(&inside, 1);
    fleet.net.isolate(&outside, 2);
    fleet.platform.set_faults(Faults {
        cut: inside,
        ..Faults::default()
    });
    let written = put_with_retry(&fleet.client, drain("nobody", "during")).await;
    let revision = written.metadata.revision;
    let reachable = fleet
        .in_force(fleet.nodes_in("cb-a"), revision, MAX_DELAY)
        .await;
    reachable.unwrap();
    time::sleep(Duration::from_secs(3)).await;
    assert!(fleet.nodes_in("ne-a").all(|n| n.view().complete < revision));
    // The platform stays unreachable: the other data centre alone must suffice.
    fleet.net.heal();
    fleet
        .in_force(&fleet.nodes, revision, MAX_DELAY)
        .await
        .unwrap();
    fleet.check_no_reverts();
}

/// Guards against a coordinator that resumes after a pause and then writes under its
/// old epoch or reverts the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_coordinator_does_not_write_or_revert() {
    let fleet = Fleet::start(3).await;
    let old = fleet.coordinator("cb-a").unwrap();
    let epoch = fleet.lease("cb-a").spec.epoch;
    let pause = Duration::from_secs(8);
    let resumes = Instant::now() + pause;
    old.pause(pause);
    let replaced = async || fleet.lease("cb-a").spec.epoch > epoch;
    harness::wait_until("takeover", MAX_DELAY, replaced)
        .await
        .unwrap();
    let written = put_with_retry(&fleet.client, drain("nobody", "meanwhile")).await;
    let revision = written.metadata.revision;
    let others = fleet.nodes.iter().filter(|n| n.vm() != old.vm());
    fleet.in_force(others, revision, MAX_DELAY).await.unwrap();
    time::sleep_until(resumes).await;
    fleet
        .in_force(&fleet.nodes, revision, MAX_DELAY)
        .await
        .unwrap();
    let stepped_down = async || !old.is_coordinator();
    harness::wait_until("old coordinator steps down", MAX_DELAY, stepped_down)
        .await
        .unwrap();
    time::sleep(Duration::from_secs(2)).await;
    let mut newest = 0;
    for event in fleet.platform.events() {
        let written = match event.object.kind {
            Kind::Lease => Object::<lease::Lease>::from_raw(&event.object)
                .ok()
                .filter(|l| l.metadata.name == "cb-a")
                .map(|l| l.spec.epoch),
            Kind::Status => Object::<status::Status>::from_raw(&event.object)
                .ok()
                .filter(|s| s.spec.data_center == "cb-a")
                .map(|s| s.spec.epoch),
            _ => None,
        };
        let written = written.unwrap_or(newest);
        assert!(written >= newest, "epoch {written} after {newest}");
        newest = written;
    }
    assert_ne!(fleet.lease("cb-a").spec.holder, old.vm());
    fleet.check_no_reverts();
}

/// Guards against changes that are lost because the platform answers too slowly for
/// any entry to hold the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_platform_still_delivers_changes() {
    let mut fleet = Fleet::start(7).await;
    fleet.platform.set_faults(Faults {
        delay_ms: 1000,
        ..Faults::default()
    });
    // The other data centre still has its watch and must not deliver the change.
    let outside: Vec<_> = fleet.nodes_in("ne-a").map(Node::ip).collect();
    fleet.net.isolate(&outside, 1);
    let inside: Vec<_> = fleet.nodes_in("cb-a").map(Node::ip).collect();
    fleet.net.isolate(&inside, 2);
    let old = fleet.lease("cb-a").spec.holder;
    let host = fleet.nodes.iter().position(|n| n.vm() == old).unwrap();
    fleet.nodes.swap_remove(host).kill();
    let taken_over = async || {
        let mut entries = fleet
            .nodes_in("cb-a")
            .filter(|n| n.settings.target.is_none());
        entries.any(Node::is_coordinator)
    };
    harness::wait_until("takeover", STEP_TIMEOUT, taken_over)
        .await
        .unwrap();
    let written = put_with_retry(&fleet.client, drain("nobody", "slow")).await;
    let revision = written.metadata.revision;
    // The first call of the new coordinator alone takes a second.
    fleet
        .in_force(&fleet.nodes, revision, MAX_DELAY)
        .await
        .unwrap();
    fleet.check_no_reverts();
}

/// Guards against a configuration that exceeds the size limit of a gRPC message, so
/// that no new process can receive it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_process_receives_a_large_configuration() {
    let mut fleet = Fleet::start(4).await;
    let large = "x".repeat(900_000);
    for n in 0..8 {
        put_with_retry(&fleet.client, drain(&format!("large-{n}"), &large)).await;
    }
    let revision = fleet.platform.revision();
    fleet
        .in_force(&fleet.nodes, revision, STEP_TIMEOUT)
        .await
        .unwrap();
    let place = fleet.place(50, "cb-a");
    fleet.start_node(&place, "llm", &[fleet.subnet.address(2, CONTROL_PORT)]);
    fleet
        .in_force(fleet.nodes.last(), revision, STEP_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(fleet.nodes.last().unwrap().view().drains.len(), 8);
    fleet.check_no_reverts();
}

/// Guards against an `apply --wait` that never returns, or that returns before the
/// revision is in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_reports_the_revision_in_force() {
    let mut fleet = Fleet::start(5).await;
    fleet.kill(2);
    let written = put_with_retry(&fleet.client, drain("nobody", "now")).await;
    let revision = written.metadata.revision;
    let reported = async || {
        let store = fleet.platform.store();
        ["cb-a", "ne-a"].iter().all(|center| {
            let name = status::Status::object_name("", center);
            let raw = store.get(Kind::Status, &name);
            let found = raw.and_then(|o| Object::<status::Status>::from_raw(o).ok());
            let lagging: &[&str] = if *center == "cb-a" { &["vm-2"] } else { &[] };
            found.is_some_and(|s| s.spec.complete >= revision && s.spec.lagging == lagging)
        })
    };
    harness::wait_until("status", STEP_TIMEOUT, reported)
        .await
        .unwrap();
    assert!(fleet.nodes.iter().all(|n| n.view().complete >= revision));
}

/// Specification of one object under conditional writes. The state is its revision.
struct ConditionalRegister;

#[derive(Clone, Debug)]
enum Operation {
    /// Write that expected a revision and succeeded, with its new revision.
    Written { expected: u64, revision: u64 },
    /// Write that was refused, with the revision that the object had instead.
    Refused { expected: u64, found: u64 },
}

impl Specification for ConditionalRegister {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Written { expected, revision } => (*state == expected, revision),
            Operation::Refused { expected, found } => {
                (*state == found && found != expected, *state)
            }
        }
    }
}

type Actions = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

/// Outcome of a write whose reply was lost, taken from the event log of the
/// platform.
fn resolve_uncertain(platform: &Handle, expected: u64, text: &str) -> Operation {
    let events = platform.events();
    let effect = events.iter().find(|e| e.object.spec["reason"] == text);
    let current = platform.store();
    let found = current.get(Kind::Drain, "shared");
    match effect {
        Some(e) => Operation::Written {
            expected,
            revision: e.object.metadata.revision,
        },
        None => Operation::Refused {
            expected,
            found: found.map_or(0, |o| o.metadata.revision),
        },
    }
}

/// Writes one object `count` times, each time over the last revision it knows.
async fn write_repeatedly(
    process: usize,
    count: usize,
    client: Client,
    platform: Handle,
    actions: Actions,
) {
    let mut known = 0;
    for n in 0..count {
        let text = format!("{process}-{n}");
        let mut object = drain("shared", &text);
        object.metadata.revision = known;
        let index = {
            let mut actions = actions.lock();
            let (expected, revision) = (known, 0);
            let call = Operation::Written { expected, revision };
            actions.push((process, Action::Call(call)));
            actions.len() - 1
        };
        let operation = match client.put(object).await {
            Ok(written) => Operation::Written {
                expected: known,
                revision: written.metadata.revision,
            },
            Err(Error::Conflict { current }) => Operation::Refused {
                expected: known,
                found: current.map_or(0, |c| c.metadata.revision),
            },
            Err(Error::Uncertain { .. }) => resolve_uncertain(&platform, known, &text),
            Err(e) => panic!("{e}"),
        };
        known = match operation {
            Operation::Written { revision, .. } => revision,
            Operation::Refused { found, .. } => found,
        };
        let mut actions = actions.lock();
        actions[index].1 = Action::Call(operation.clone());
        actions.push((process, Action::Response(operation)));
    }
}

/// Guards against a change of an operator that is overwritten without notice, or
/// that is reported as refused although it took effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_writes_of_operators_are_linearizable() {
    let fleet = Fleet::start(6).await;
    fleet.platform.set_faults(Faults {
        lost_share: 0.3,
        delay_ms: 2,
        seed: 7,
        ..Faults::default()
    });
    let actions = Actions::default();
    let operators: Vec<_> = (0..3)
        .map(|n| {
            tokio::spawn(write_repeatedly(
                n,
                40,
                Client::new(fleet.address, None),
                fleet.platform.clone(),
                actions.clone(),
            ))
        })
        .collect();
    for operator in operators {
        operator.await.unwrap();
    }
    let recorded = actions.lock().clone();
    let refused = |a: &Action<Operation>| matches!(a, Action::Response(Operation::Refused { .. }));
    assert!(recorded.iter().any(|(_, a)| refused(a)));
    let history = History::from_actions(recorded);
    assert!(WGLChecker::<ConditionalRegister>::is_linearizable(history));
    let last = fleet
        .platform
        .store()
        .get(Kind::Drain, "shared")
        .unwrap()
        .metadata
        .revision;
    fleet.in_force(&fleet.nodes, last, MAX_DELAY).await.unwrap();
    fleet.check_no_reverts();
}
