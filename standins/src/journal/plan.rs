//! Runs callers against a cluster while faults are injected.

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
use super::recorder::{Event, Outcome, Record};

/// Fault that a run can inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed and replaced by one on the same VM or on a new VM.
    Kill,
    /// An entry is paused and resumes with its old state in memory.
    Pause,
    /// The object API is down.
    Outage,
    /// The object API is slow.
    Latency,
    /// Requests to the object API and its responses are lost, and some writes
    /// take effect late.
    MessageLoss,
    /// One entry can't reach the object API.
    Isolation,
    /// Two entries can't reach each other.
    Partition,
    /// An entry hands its shards over and is replaced.
    Drain,
}

/// All faults.
pub const ALL_FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Outage,
    Fault::Latency,
    Fault::MessageLoss,
    Fault::Isolation,
    Fault::Partition,
    Fault::Drain,
];

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the faults, the callers and the service.
    pub seed: u64,
    /// Journal mode of the service.
    pub mode: service::JournalMode,
    /// Number of entries.
    pub nodes: usize,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Number of operations of each caller.
    pub operations: u64,
    /// Time that a caller waits after each operation.
    pub think_time: Duration,
    /// Faults to choose from.
    pub faults: Vec<Fault>,
    /// Time between the starts of two faults.
    pub fault_interval: Duration,
    /// Probability of a pause at each of the points in request handling where
    /// one can occur.
    pub pause_probability: f64,
    /// Time after which a caller stops waiting for a call. The default is shorter
    /// than a call's deadline, so that a resend can arrive while the first
    /// attempt is in progress.
    pub call_timeout: Duration,
    /// Probability that a caller sends an attempt as two calls at once, each to a
    /// random entry.
    pub duplicate_probability: f64,
    /// Probabilities that the service refuses a request and that its response is
    /// lost.
    pub service_faults: (f64, f64),
    /// Journal settings.
    pub journal: settings::Journal,
    /// Outage of the object API: time from the start of the run to its begin, and
    /// its length.
    pub outage: Option<(Duration, Duration)>,
    /// Makes the object API ignore the conditions of writes, to show that the
    /// history check detects the violations.
    pub unconditional_writes: bool,
}

impl Plan {
    /// Creates the plan of a short run with the given faults.
    #[must_use]
    pub fn new(seed: u64, mode: service::JournalMode, faults: &[Fault]) -> Self {
        Self {
            seed,
            mode,
            nodes: 4,
            callers: 32,
            operations: 8,
            think_time: Duration::from_millis(20),
            faults: faults.to_vec(),
            fault_interval: Duration::from_millis(300),
            pause_probability: 0.0,
            call_timeout: Duration::from_millis(500),
            duplicate_probability: 0.3,
            service_faults: (0.05, 0.05),
            journal: settings::Journal {
                shards: 2,
                batch_ms: 10,
                // Longer than the sum of a caller's retry time, a call's deadline
                // and the longest pause.
                resend_ms: 5_000,
                ..settings::Journal::default()
            },
            outage: None,
            unconditional_writes: false,
        }
    }
}

/// Number of operations by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCounts {
    /// Operations with at least one call that was done.
    pub served: u64,
    /// Operations whose calls all ended as not run.
    pub refused: u64,
    /// All other operations.
    pub unknown: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// History.
    pub records: Vec<Record>,
    /// Outcomes of the operations that began before, during and after the outage.
    pub phases: [OutcomeCounts; 3],
    /// Number of operations that were executed more than once.
    pub duplicates: u64,
    /// Number of injected faults.
    pub faults: u64,
}

/// Runs a plan.
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
            cluster.inject_store_faults(length, cluster::outage()).await;
        });
    }
    let mut callers = JoinSet::new();
    for caller in 0..plan.callers {
        let (cluster, plan) = (cluster.clone(), plan.clone());
        callers.spawn(async move { run_caller(&cluster, &plan, caller).await });
    }
    let done = Arc::new(Notify::new());
    let injector = tokio::spawn(inject_faults(cluster.clone(), plan.clone(), done.clone()));
    while let Some(outcomes) = callers.join_next().await {
        for (begin, outcomes) in outcomes.unwrap_or_default() {
            let phase = phase_index(plan, begin.saturating_duration_since(start));
            add_outcome(&mut report.phases[phase], &outcomes);
        }
    }
    done.notify_one();
    report.faults = injector.await.unwrap_or_default();
    // Waits for executions whose callers timed out, so that the history has them.
    time::sleep(Duration::from_millis(1_500)).await;
    report.records = cluster.service.records();
    report.duplicates = duplicate_executions(&report.records);
    report
}

/// Runs the operations of one caller. Returns the begin of each operation and
/// the outcomes of its calls.
async fn run_caller(cluster: &Cluster, plan: &Plan, caller: u64) -> Vec<(Instant, Vec<Outcome>)> {
    let mut random = StdRng::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(caller));
    let mut outcomes = Vec::new();
    for operation in 0..plan.operations {
        let key = caller * plan.operations + operation;
        let begin = Instant::now();
        outcomes.push((begin, cluster.run_operation(key, &mut random).await));
        time::sleep(plan.think_time).await;
    }
    outcomes
}

async fn inject_faults(cluster: Arc<Cluster>, plan: Plan, done: Arc<Notify>) -> u64 {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut injected = 0;
    // Faults may overlap, since some failures occur only under two at once.
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            () = done.notified() => break,
            () = time::sleep(plan.fault_interval) => {}
        }
        let Some(fault) = plan.faults.choose(&mut random).copied() else {
            continue;
        };
        let (cluster, seed) = (cluster.clone(), random.random());
        running.spawn(async move {
            let mut random = StdRng::seed_from_u64(seed);
            cluster.inject_fault(fault, &mut random).await;
        });
        injected += 1;
    }
    running.join_all().await;
    injected
}

fn phase_index(plan: &Plan, begin: Duration) -> usize {
    match plan.outage {
        Some((start, length)) if begin >= start + length => 2,
        Some((start, _)) if begin >= start => 1,
        _ => 0,
    }
}

fn add_outcome(counts: &mut OutcomeCounts, outcomes: &[Outcome]) {
    if outcomes.iter().any(|o| matches!(o, Outcome::Done(_))) {
        counts.served += 1;
    } else if outcomes.iter().all(|o| *o == Outcome::NotRun) {
        counts.refused += 1;
    } else {
        counts.unknown += 1;
    }
}

impl Report {
    /// Sum of all phases.
    #[must_use]
    pub fn total(&self) -> OutcomeCounts {
        self.phases
            .iter()
            .fold(OutcomeCounts::default(), |sum, phase| OutcomeCounts {
                served: sum.served + phase.served,
                refused: sum.refused + phase.refused,
                unknown: sum.unknown + phase.unknown,
            })
    }
}

/// Sends operations at `rate` per second for `length`, each once to a random
/// entry. Their keys are consecutive and start at `first + 1`.
pub async fn run_load(
    cluster: &Arc<Cluster>,
    first: u64,
    rate: u64,
    length: Duration,
) -> OutcomeCounts {
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
            calls.spawn(async move { cluster.send_call(key, node, Duration::from_secs(5)).await });
        }
    }
    let mut counts = OutcomeCounts::default();
    while let Some(outcome) = calls.join_next().await {
        add_outcome(&mut counts, &[outcome.unwrap_or(Outcome::Unknown)]);
    }
    counts
}

/// Number of operations that were executed more than once.
#[must_use]
pub fn duplicate_executions(records: &[Record]) -> u64 {
    let executed = records
        .iter()
        .filter(|r| matches!(r.event, Event::Execute { .. }));
    let mut keys: Vec<u64> = executed.map(|r| r.key).collect();
    keys.sort_unstable();
    keys.chunk_by(|a, b| a == b).filter(|c| c.len() > 1).count() as u64
}
