//! Runs of callers against a group of entries while faults happen.

use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderramp::resource::service;
use corianderramp::settings;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;

use super::cluster::{self, Cluster};
use super::ledger::{Outcome, Record, Step};

/// A fault that a run can contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed; a new process on the same VM or a new VM replaces it.
    Kill,
    /// An entry is paused and resumes with its old state.
    Freeze,
    /// The platform is down.
    Outage,
    /// The platform is slow.
    Slow,
    /// Calls and answers of the platform are lost, writes take effect late.
    Loss,
    /// One entry can't reach the platform.
    Isolation,
    /// Two entries can't reach each other.
    Partition,
    /// An entry hands its shards over and is replaced.
    Drain,
}

/// All faults.
pub const ALL: [Fault; 8] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::Outage,
    Fault::Slow,
    Fault::Loss,
    Fault::Isolation,
    Fault::Partition,
    Fault::Drain,
];

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults, the callers and the service.
    pub seed: u64,
    /// Mode of the service.
    pub mode: service::JournalMode,
    /// Entries.
    pub nodes: usize,
    /// Callers that work at the same time.
    pub callers: u64,
    /// Operations of each caller.
    pub operations: u64,
    /// Pause of a caller after an operation.
    pub think: Duration,
    /// Faults to choose from.
    pub faults: Vec<Fault>,
    /// Pause between two faults.
    pub interval: Duration,
    /// Share of pauses at each point of the request path.
    pub pauses: f64,
    /// Time after which a caller gives one call up. The default is shorter than
    /// an attempt's deadline, so that a copy meets the first one in progress.
    pub call: Duration,
    /// Share of operations that a caller sends to two entries at once.
    pub twice: f64,
    /// Shares of requests that the service refuses and whose answer is lost.
    pub service: (f64, f64),
    /// Journal settings.
    pub journal: settings::Journal,
    /// Outage of the platform: its begin after the start, and its length.
    pub outage: Option<(Duration, Duration)>,
    /// Makes all writes unconditional, to show that the check finds it.
    pub unconditional: bool,
}

impl Plan {
    /// A short run with the given faults.
    #[must_use]
    pub fn new(seed: u64, mode: service::JournalMode, faults: &[Fault]) -> Self {
        Self {
            seed,
            mode,
            nodes: 4,
            callers: 32,
            operations: 8,
            think: Duration::from_millis(20),
            faults: faults.to_vec(),
            interval: Duration::from_millis(300),
            pauses: 0.0,
            call: Duration::from_millis(500),
            twice: 0.3,
            service: (0.05, 0.05),
            journal: settings::Journal {
                shards: 2,
                batch_ms: 10,
                // Longer than a caller's resends, an attempt and a pause together.
                resend_ms: 5_000,
                ..settings::Journal::default()
            },
            outage: None,
            unconditional: false,
        }
    }
}

/// Ends of operations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Operations that a caller saw done.
    pub served: u64,
    /// Operations whose calls all answered not-run.
    pub refused: u64,
    /// Operations with another end.
    pub unknown: u64,
}

/// What happened in a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// History.
    pub records: Vec<Record>,
    /// Operations that began before, during and after the outage.
    pub phases: [Tally; 3],
    /// Operations that were executed more than once.
    pub doubled: u64,
    /// Faults that happened.
    pub faults: u64,
}

/// Carries a plan out.
///
/// # Panics
/// When a local address can't be used.
pub async fn run(plan: &Plan) -> Report {
    let cluster = Cluster::start(plan).await;
    let mut report = Report::default();
    let start = Instant::now();
    if let Some((begin, length)) = plan.outage {
        let cluster = cluster.clone();
        tokio::spawn(async move {
            time::sleep(begin).await;
            cluster.condition(length, cluster::down()).await;
        });
    }
    let mut callers = JoinSet::new();
    for caller in 0..plan.callers {
        let (cluster, plan) = (cluster.clone(), plan.clone());
        callers.spawn(async move { work(&cluster, &plan, caller).await });
    }
    let done = Arc::new(Notify::new());
    let chaos = tokio::spawn(disturb(cluster.clone(), plan.clone(), done.clone()));
    while let Some(outcomes) = callers.join_next().await {
        for (begin, outcomes) in outcomes.unwrap_or_default() {
            let phase = phase(plan, begin.saturating_duration_since(start));
            count(&mut report.phases[phase], &outcomes);
        }
    }
    done.notify_one();
    report.faults = chaos.await.unwrap_or_default();
    // Executions of calls that were given up must be in the history, too.
    time::sleep(Duration::from_millis(1_500)).await;
    report.records = cluster.ledger.records();
    report.doubled = doubled(&report.records);
    report
}

/// Begin and outcomes of each operation of a caller.
async fn work(cluster: &Cluster, plan: &Plan, caller: u64) -> Vec<(Instant, Vec<Outcome>)> {
    let mut random = StdRng::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(caller));
    let mut outcomes = Vec::new();
    for operation in 0..plan.operations {
        let key = caller * plan.operations + operation;
        let begin = Instant::now();
        outcomes.push((begin, cluster.operate(key, &mut random).await));
        time::sleep(plan.think).await;
    }
    outcomes
}

async fn disturb(cluster: Arc<Cluster>, plan: Plan, done: Arc<Notify>) -> u64 {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut count = 0;
    // Faults overlap, since some orders need two of them at the same time.
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            () = done.notified() => break,
            () = time::sleep(plan.interval) => {}
        }
        let Some(fault) = plan.faults.choose(&mut random).copied() else {
            continue;
        };
        let (cluster, seed) = (cluster.clone(), random.random());
        running.spawn(async move {
            let mut random = StdRng::seed_from_u64(seed);
            cluster.fault(fault, &mut random).await;
        });
        count += 1;
    }
    running.join_all().await;
    count
}

fn phase(plan: &Plan, begin: Duration) -> usize {
    match plan.outage {
        Some((start, length)) if begin >= start + length => 2,
        Some((start, _)) if begin >= start => 1,
        _ => 0,
    }
}

fn count(tally: &mut Tally, outcomes: &[Outcome]) {
    if outcomes.iter().any(|o| matches!(o, Outcome::Done(_))) {
        tally.served += 1;
    } else if outcomes.iter().all(|o| *o == Outcome::NotRun) {
        tally.refused += 1;
    } else {
        tally.unknown += 1;
    }
}

impl Report {
    /// Ends of all operations.
    #[must_use]
    pub fn total(&self) -> Tally {
        self.phases.iter().fold(Tally::default(), |sum, t| Tally {
            served: sum.served + t.served,
            refused: sum.refused + t.refused,
            unknown: sum.unknown + t.unknown,
        })
    }
}

/// Sends operations with keys from `first` on at `rate` per second for
/// `length`, each once to one entry.
pub async fn load(cluster: &Arc<Cluster>, first: u64, rate: u64, length: Duration) -> Tally {
    let mut random = StdRng::seed_from_u64(cluster.plan.seed);
    let mut ticks = time::interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1));
    let end = Instant::now() + length;
    let mut calls = JoinSet::new();
    let mut key = first;
    while Instant::now() < end {
        ticks.tick().await;
        key += 1;
        let nodes = cluster.nodes();
        if let Some(node) = nodes.choose(&mut random).cloned() {
            let cluster = cluster.clone();
            calls.spawn(async move { cluster.send(key, node, Duration::from_secs(5)).await });
        }
    }
    let mut tally = Tally::default();
    while let Some(outcome) = calls.join_next().await {
        count(&mut tally, &[outcome.unwrap_or(Outcome::Unknown)]);
    }
    tally
}

/// Operations that were executed more than once.
#[must_use]
pub fn doubled(records: &[Record]) -> u64 {
    let executed = records
        .iter()
        .filter(|r| matches!(r.step, Step::Execute { .. }));
    let mut keys: Vec<u64> = executed.map(|r| r.key).collect();
    keys.sort_unstable();
    keys.chunk_by(|a, b| a == b).filter(|c| c.len() > 1).count() as u64
}
