//! Tests of leaving targets and entries: no request may be interrupted or lost.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use standins::caller::{Caller, Failure, Question};
use standins::rig::Node;
use standins::{engine, harness};

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, LLM};

/// Time after which a leaving target must not receive new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Concurrent callers. Each one sends requests one after the other to the entries in
/// turn until `stop` is set.
struct Callers {
    stop: Arc<AtomicBool>,
    succeeded: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<Vec<String>>>,
}

impl Callers {
    fn start(fleet: &Fleet, count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let succeeded = Arc::new(AtomicU64::new(0));
        let addresses: Vec<_> = fleet.rig.entries.iter().map(Node::address).collect();
        let tasks = (0..count).map(|number| {
            let (stop, succeeded, addresses) = (stop.clone(), succeeded.clone(), addresses.clone());
            tokio::spawn(async move {
                let caller = Caller::new(KEY, number % 2 == 1);
                let mut failures = Vec::new();
                let mut i = number;
                while !stop.load(Ordering::Relaxed) {
                    i += count;
                    let question = Question::new(LLM, &format!("q{i}"), 20);
                    let address = addresses[i % addresses.len()];
                    match caller.ask(address, &question).await {
                        Ok(_) => {
                            succeeded.fetch_add(1, Ordering::Relaxed);
                        }
                        // Not a failure: a load balancer would try another entry.
                        Err(Failure::Connect { .. }) => {}
                        Err(e) => failures.push(format!("q{i} by caller {number}: {e}")),
                    }
                }
                failures
            })
        });
        let tasks = tasks.collect();
        Self {
            stop,
            succeeded,
            tasks,
        }
    }

    async fn wait_for_successes(&self, more: u64) {
        let goal = self.succeeded.load(Ordering::Relaxed) + more;
        let reached = async || self.succeeded.load(Ordering::Relaxed) >= goal;
        let wait = harness::wait_until("successful requests", fleet::LIMIT, reached);
        wait.await.unwrap();
    }

    /// Stops the callers and returns the failures.
    async fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for task in self.tasks {
            failures.append(&mut task.await.unwrap());
        }
        failures
    }
}

/// Time from `since` to the last request that the engine at `index` receives within
/// `period`.
async fn last_arrival(fleet: &Fleet, index: usize, since: Instant, period: Duration) -> Duration {
    let counters = fleet.engines[index].counters();
    let mut count = counters.arrived.load(Ordering::Relaxed);
    let mut last = Duration::ZERO;
    while since.elapsed() < period {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let current = counters.arrived.load(Ordering::Relaxed);
        if current != count {
            (count, last) = (current, since.elapsed());
        }
    }
    last
}

/// Guards against new requests to a draining target that the VM list still shows as
/// live, and against requests lost by the drain.
#[tokio::test]
async fn draining_target_gets_no_requests_while_the_vm_list_is_stale() {
    let fleet = fleet::models(1, 3, 2, engine::Settings::default()).await;
    let callers = Callers::start(&fleet, 12);
    callers.wait_for_successes(100).await;
    let since = Instant::now();
    fleet.rig.agents[0].drain();
    let last = last_arrival(&fleet, 0, since, DRAIN_LIMIT * 2).await;
    assert!(last < DRAIN_LIMIT, "last request {last:?} after the drain");
    callers.wait_for_successes(100).await;
    assert_eq!(callers.finish().await, Vec::<String>::new());
    assert_eq!(*fleet.rig.agents[0].ctx.state.active.borrow(), 0);
}

/// Guards against a drain object without effect because only some processes have it:
/// the entry alone or the agent alone must stop new requests.
#[tokio::test]
async fn drain_object_at_the_entry_or_the_agent_suffices() {
    let mut fleet = fleet::models(2, 3, 1, engine::Settings::default()).await;
    fleet.rig.drain_object("t000");
    let view = Arc::new(fleet.rig.view.clone());
    let sides = [&fleet.rig.entries[0], &fleet.rig.agents[0]];
    for side in sides {
        let before = side.ctx.state.view();
        side.ctx.state.config.send_replace(view.clone());
        let since = Instant::now();
        let callers = Callers::start(&fleet, 6);
        let last = last_arrival(&fleet, 0, since, DRAIN_LIMIT + Duration::from_secs(1)).await;
        assert!(last < DRAIN_LIMIT, "last request {last:?} after the drain");
        assert_eq!(callers.finish().await, Vec::<String>::new());
        side.ctx.state.config.send_replace(before);
        let counters = fleet.engines[0].counters();
        let count = counters.arrived.load(Ordering::Relaxed);
        let callers = Callers::start(&fleet, 6);
        let again = async || counters.arrived.load(Ordering::Relaxed) > count;
        let wait = harness::wait_until("requests after the drain", fleet::LIMIT, again);
        wait.await.unwrap();
        callers.finish().await;
    }
}

/// Guards against a planned shutdown that interrupts requests in progress, including
/// long streams, or loses requests of callers with keep-alive connections.
#[tokio::test]
async fn planned_shutdown_of_an_entry_and_a_target_interrupts_no_requests() {
    let fleet = fleet::models(3, 3, 2, engine::Settings::default()).await;
    let callers = Callers::start(&fleet, 8);
    let streams: Vec<_> = (0..6)
        .map(|i| {
            let address = fleet.rig.entries[0].address();
            tokio::spawn(async move {
                let question = Question::new(LLM, &format!("long {i}"), 5000);
                Caller::new(KEY, i % 2 == 0).ask(address, &question).await
            })
        })
        .collect();
    callers.wait_for_successes(50).await;
    fleet.rig.entries[0].drain();
    fleet.rig.agents[1].drain();
    let is_closed = async || {
        let address = fleet.rig.entries[0].address();
        tokio::net::TcpStream::connect(address).await.is_err()
    };
    let wait = harness::wait_until("the closed listener", fleet::LIMIT, is_closed);
    wait.await.unwrap();
    callers.wait_for_successes(50).await;
    assert_eq!(callers.finish().await, Vec::<String>::new());
    for stream in streams {
        assert_eq!(stream.await.unwrap().unwrap().checked.tokens, 5000);
    }
    for node in [&fleet.rig.entries[0], &fleet.rig.agents[1]] {
        let is_idle = async || *node.ctx.state.active.borrow() == 0;
        let wait = harness::wait_until("the end of requests", fleet::LIMIT, is_idle);
        wait.await.unwrap();
    }
}

/// Guards against requests that reach an engine during a switch: the agent must stop
/// admission and wait for the requests in progress before the load.
#[tokio::test]
async fn switching_targets_one_by_one_loses_no_requests_and_mixes_no_versions() {
    let fleet = fleet::models(4, 3, 2, engine::Settings::default()).await;
    let callers = Callers::start(&fleet, 12);
    for version in 2..5 {
        let version = format!("v{version}");
        for (agent, engine) in fleet.rig.agents.iter().zip(&fleet.engines) {
            agent.ctx.state.serving.send_replace(None);
            let mut active = agent.ctx.state.active.subscribe();
            active.wait_for(|n| *n == 0).await.unwrap();
            engine.life().load("m", &version, 1, &[]).await;
            agent.serve("m", &version);
        }
    }
    callers.wait_for_successes(100).await;
    assert_eq!(callers.finish().await, Vec::<String>::new());
}
