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
use super::recorder::{Event, Outcome, Record};

/// A fault that a run can contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed; a new process on the same VM or a new VM replaces it.
    Kill,
    /// An entry is paused and resumes with its old state.
    Pause,
    /// The platform is down.
    Outage,
    /// The platform is slow.
    Latency,
    /// Calls and answers of the platform are lost, writes take effect late.
    MessageLoss,
    /// One entry can't reach the platform.
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
    pub think_time: Duration,
    /// Faults to choose from.
    pub faults: Vec<Fault>,
    /// Pause between two faults.
    pub fault_interval: Duration,
    /// Share of pauses at each point of the request path.
    pub pause_probability: f64,
    /// Time after which a caller gives one call up. The default is shorter than
    /// an attempt's deadline, so that a copy meets the first one in progress.
    pub call_timeout: Duration,
    /// Share of operations that a caller sends to two entries at once.
    pub duplicate_probability: f64,
    /// Shares of requests that the service refuses and whose answer is lost.
    pub service_faults: (f64, f64),
    /// Journal settings.
    pub journal: settings::Journal,
    /// Outage of the platform: its begin after the start, and its length.
    pub outage: Option<(Duration, Duration)>,
    /// Makes all writes unconditional, to show that the check finds it.
    pub unconditional_writes: bool,
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
                // Longer than a caller's resends, an attempt and a pause together.
                resend_ms: 5_000,
                ..settings::Journal::default()
            },
            outage: None,
            unconditional_writes: false,
        }
    }
}

/// Ends of operations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCounts {
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
    pub phases: [OutcomeCounts; 3],
    /// Operations that were executed more than once.
    pub duplicates: u64,
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
    // Executions of calls that were given up must be in the history, too.
    time::sleep(Duration::from_millis(1_500)).await;
    report.records = cluster.service.records();
    report.duplicates = duplicate_executions(&report.records);
    report
}

/// Begin and outcomes of each operation of a caller.
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
    // Faults overlap, since some orders need two of them at the same time.
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
    /// Ends of all operations.
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

/// Sends operations with keys from `first` on at `rate` per second for
/// `length`, each once to one entry.
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

/// Operations that were executed more than once.
#[must_use]
pub fn duplicate_executions(records: &[Record]) -> u64 {
    let executed = records
        .iter()
        .filter(|r| matches!(r.event, Event::Execute { .. }));
    let mut keys: Vec<u64> = executed.map(|r| r.key).collect();
    keys.sort_unstable();
    keys.chunk_by(|a, b| a == b).filter(|c| c.len() > 1).count() as u64
}
