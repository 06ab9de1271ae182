//! Targets and entries that leave must not interrupt or lose requests.

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

/// Time after which a leaving target must get no new request.
const BOUND: Duration = Duration::from_secs(3);

/// Callers that ask one question after the other until told to stop, at
/// whichever entry takes connections.
struct Crowd {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
    tasks: Vec<tokio::task::JoinHandle<Vec<String>>>,
}

impl Crowd {
    fn start(fleet: &Fleet, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let done = Arc::new(AtomicU64::new(0));
        let addresses: Vec<_> = fleet.rig.entries.iter().map(Node::address).collect();
        let tasks = (0..callers).map(|number| {
            let (stop, done, addresses) = (stop.clone(), done.clone(), addresses.clone());
            tokio::spawn(async move {
                let caller = Caller::new(KEY, number % 2 == 1);
                let mut failures = Vec::new();
                let mut i = number;
                while !stop.load(Ordering::Relaxed) {
                    i += callers;
                    let question = Question::new(LLM, &format!("q{i}"), 20);
                    let address = addresses[i % addresses.len()];
                    match caller.ask(address, &question).await {
                        Ok(_) => {
                            done.fetch_add(1, Ordering::Relaxed);
                        }
                        // The load balancer tries another entry.
                        Err(Failure::Connect { .. }) => {}
                        Err(e) => failures.push(format!("q{i} by caller {number}: {e}")),
                    }
                }
                failures
            })
        });
        let tasks = tasks.collect();
        Self { stop, done, tasks }
    }

    async fn wait_done(&self, more: u64) {
        let goal = self.done.load(Ordering::Relaxed) + more;
        let reached = async || self.done.load(Ordering::Relaxed) >= goal;
        let wait = harness::wait_until("answers", fleet::LIMIT, reached);
        wait.await.unwrap();
    }

    async fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for task in self.tasks {
            failures.append(&mut task.await.unwrap());
        }
        failures
    }
}

/// When the engine at `index` got its last request, by looking for a while.
async fn last_arrival(fleet: &Fleet, index: usize, since: Instant, until: Duration) -> Duration {
    let counters = fleet.engines[index].counters();
    let mut count = counters.arrived.load(Ordering::Relaxed);
    let mut last = Duration::ZERO;
    while since.elapsed() < until {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let now = counters.arrived.load(Ordering::Relaxed);
        if now != count {
            (count, last) = (now, since.elapsed());
        }
    }
    last
}

/// Guards against new work at a leaving target while the VM list still says
/// that it is live, and against requests lost by the drain.
#[tokio::test]
async fn draining_target_gets_no_work_though_the_list_lags() {
    let fleet = fleet::models(1, 3, 2, engine::Settings::default()).await;
    let crowd = Crowd::start(&fleet, 12);
    crowd.wait_done(100).await;
    let since = Instant::now();
    fleet.rig.agents[0].drain();
    let last = last_arrival(&fleet, 0, since, BOUND * 2).await;
    assert!(last < BOUND, "last request {last:?} after the drain");
    crowd.wait_done(100).await;
    assert_eq!(crowd.end().await, Vec::<String>::new());
    assert_eq!(*fleet.rig.agents[0].ctx.state.active.borrow(), 0);
}

/// Guards against a drain object that only some processes see: the entries
/// alone, or the agent alone, suffice.
#[tokio::test]
async fn drain_object_is_enough_at_either_side() {
    let mut fleet = fleet::models(2, 3, 1, engine::Settings::default()).await;
    fleet.rig.drain_object("t000");
    let view = Arc::new(fleet.rig.view.clone());
    let sides = [&fleet.rig.entries[0], &fleet.rig.agents[0]];
    for side in sides {
        let before = side.ctx.state.view();
        side.ctx.state.config.send_replace(view.clone());
        let since = Instant::now();
        let crowd = Crowd::start(&fleet, 6);
        let last = last_arrival(&fleet, 0, since, BOUND + Duration::from_secs(1)).await;
        assert!(last < BOUND, "last request {last:?} after the drain");
        assert_eq!(crowd.end().await, Vec::<String>::new());
        side.ctx.state.config.send_replace(before);
        let counters = fleet.engines[0].counters();
        let count = counters.arrived.load(Ordering::Relaxed);
        let crowd = Crowd::start(&fleet, 6);
        let again = async || counters.arrived.load(Ordering::Relaxed) > count;
        let wait = harness::wait_until("work after the drain", fleet::LIMIT, again);
        wait.await.unwrap();
        crowd.end().await;
    }
}

/// Guards against a planned stop that interrupts requests in progress, long
/// streams included, or loses requests of callers that keep connections open.
#[tokio::test]
async fn planned_stop_of_an_entry_and_a_target_interrupts_nothing() {
    let fleet = fleet::models(3, 3, 2, engine::Settings::default()).await;
    let crowd = Crowd::start(&fleet, 8);
    let streams: Vec<_> = (0..6)
        .map(|i| {
            let address = fleet.rig.entries[0].address();
            tokio::spawn(async move {
                let question = Question::new(LLM, &format!("long {i}"), 5000);
                Caller::new(KEY, i % 2 == 0).ask(address, &question).await
            })
        })
        .collect();
    crowd.wait_done(50).await;
    fleet.rig.entries[0].drain();
    fleet.rig.agents[1].drain();
    let closed = async || {
        let address = fleet.rig.entries[0].address();
        tokio::net::TcpStream::connect(address).await.is_err()
    };
    let wait = harness::wait_until("the closed listener", fleet::LIMIT, closed);
    wait.await.unwrap();
    crowd.wait_done(50).await;
    assert_eq!(crowd.end().await, Vec::<String>::new());
    for stream in streams {
        assert_eq!(stream.await.unwrap().unwrap().checked.tokens, 5000);
    }
    for node in [&fleet.rig.entries[0], &fleet.rig.agents[1]] {
        let idle = async || *node.ctx.state.active.borrow() == 0;
        let wait = harness::wait_until("the end of requests", fleet::LIMIT, idle);
        wait.await.unwrap();
    }
}

/// Guards against requests that slip into an engine while it switches: the
/// agent stops admitting, waits for requests in progress and then loads.
#[tokio::test]
async fn switching_targets_one_by_one_loses_and_mixes_nothing() {
    let fleet = fleet::models(4, 3, 2, engine::Settings::default()).await;
    let crowd = Crowd::start(&fleet, 12);
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
    crowd.wait_done(100).await;
    assert_eq!(crowd.end().await, Vec::<String>::new());
}
