//! Checks histories of concurrent runs of the at-most-once journal: an
//! operation runs at most once (I4), what a caller sees as done is what ran,
//! and what was refused as not run was not run (I3).

use std::future::Future;
use std::time::{Duration, Instant};

use corianderramp::resource::service::JournalMode;
use standins::journal::cluster::{self, Cluster};
use standins::journal::ledger::{Outcome, Record, Step};
use standins::journal::plan::{self, Fault, Plan, Report};
use standins::journal::store::Faults;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// One operation that may run once.
struct AtMostOnce;

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    /// Call that ran the operation, and its receipt.
    ran: Option<(u64, u32)>,
    /// Calls that were answered as not run.
    refused: Vec<u64>,
}

impl Specification for AtMostOnce {
    type State = State;
    type Operation = Step;

    fn init() -> State {
        State::default()
    }

    fn apply(step: &Step, state: &State) -> (bool, State) {
        let mut next = state.clone();
        let valid = match *step {
            Step::Execute { call, receipt } => {
                next.ran = Some((call, receipt));
                state.ran.is_none() && !state.refused.contains(&call)
            }
            Step::Call { call, outcome } => match outcome {
                Outcome::Done(receipt) => state.ran.is_some_and(|(_, r)| r == receipt),
                Outcome::NotRun => {
                    next.refused.push(call);
                    state.ran.is_none_or(|(c, _)| c != call)
                }
                Outcome::Unknown => true,
            },
        };
        (valid, if valid { next } else { state.clone() })
    }
}

fn is_linearizable(records: &[Record]) -> bool {
    let mut actions = Vec::new();
    for (process, record) in records.iter().enumerate() {
        actions.push((record.begin, process, Action::Call(record.step)));
        actions.push((record.end, process, Action::Response(record.step)));
    }
    actions.sort_by_key(|(position, _, _)| *position);
    let actions = actions.into_iter().map(|(_, p, a)| (p, a)).collect();
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
}

/// Keys whose history breaks the specification.
fn violations(report: &Report) -> Vec<u64> {
    let mut records = report.records.clone();
    records.sort_by_key(|r| (r.key, r.begin));
    let keys = records.chunk_by(|a, b| a.key == b.key);
    let broken = keys.filter(|history| !is_linearizable(history));
    broken.map(|history| history[0].key).collect()
}

fn block_on<F: Future>(work: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(work)
}

fn check(plan: &Plan) {
    let report = block_on(plan::run(plan));
    let total = report.total();
    let summary = format!(
        "seed {} {:?}: served {} refused {} unknown {} doubled {} faults {}",
        plan.seed,
        plan.mode,
        total.served,
        total.refused,
        total.unknown,
        report.doubled,
        report.faults
    );
    eprintln!("{summary}");
    let broken = violations(&report);
    for record in report.records.iter().filter(|r| broken.contains(&r.key)) {
        eprintln!("{record:?}");
    }
    assert!(broken.is_empty(), "{summary}: broken keys {broken:?}");
    assert_eq!(report.doubled, 0, "{summary}");
    // A run in which nothing is served would prove nothing.
    assert!(total.served > 0, "{summary}");
}

fn record(step: Step, begin: u64, end: u64) -> Record {
    Record {
        key: 0,
        step,
        begin,
        end,
    }
}

/// The specification itself must refuse each kind of violation.
#[test]
fn specification_refuses_violations() {
    let run = |call, receipt| Step::Execute { call, receipt };
    let seen = |call, outcome| Step::Call { call, outcome };
    let once = [
        record(run(1, 7), 1, 2),
        record(seen(1, Outcome::Done(7)), 0, 3),
    ];
    assert!(is_linearizable(&once));
    let twice = [record(run(1, 7), 1, 2), record(run(2, 8), 3, 4)];
    assert!(!is_linearizable(&twice));
    let foreign = [
        record(run(1, 7), 1, 2),
        record(seen(2, Outcome::Done(8)), 3, 4),
    ];
    assert!(!is_linearizable(&foreign));
    let early = [
        record(seen(2, Outcome::Done(7)), 0, 1),
        record(run(1, 7), 2, 3),
    ];
    assert!(!is_linearizable(&early));
    let untrue = [
        record(run(1, 7), 1, 2),
        record(seen(1, Outcome::NotRun), 0, 3),
    ];
    assert!(!is_linearizable(&untrue));
    let late = [
        record(seen(1, Outcome::NotRun), 0, 1),
        record(run(1, 7), 2, 3),
    ];
    assert!(!is_linearizable(&late));
}

/// Guards against a journal that loses or doubles operations without any fault.
#[test]
fn calm_run() {
    check(&Plan::new(1, JournalMode::Refuse, &[]));
}

/// Guards against takeovers that forget intents, in `refuse` mode.
#[test]
fn kills_and_freezes_in_refuse_mode() {
    for seed in 10..12 {
        let faults = [Fault::Kill, Fault::Freeze, Fault::Drain];
        let mut plan = Plan::new(seed, JournalMode::Refuse, &faults);
        plan.pauses = 0.01;
        check(&plan);
    }
}

/// Guards against reliance on writes that did not take effect, or took effect
/// without an answer, in `refuse` mode.
#[test]
fn platform_faults_in_refuse_mode() {
    for seed in 20..22 {
        let faults = [Fault::Outage, Fault::Slow, Fault::Loss, Fault::Isolation];
        check(&Plan::new(seed, JournalMode::Refuse, &faults));
    }
}

/// Guards against faults that only break the journal together, in `refuse` mode.
#[test]
fn all_faults_in_refuse_mode() {
    for seed in 30..33 {
        let mut plan = Plan::new(seed, JournalMode::Refuse, &plan::ALL);
        plan.pauses = 0.01;
        check(&plan);
    }
}

/// Guards against takeovers from an owner that goes on from memory.
#[test]
fn platform_faults_in_owner_mode() {
    for seed in 40..42 {
        let faults = [Fault::Outage, Fault::Slow, Fault::Loss, Fault::Isolation];
        check(&Plan::new(seed, JournalMode::Owner, &faults));
    }
}

/// Guards against faults that only break the journal together, in `owner` mode.
#[test]
fn all_faults_in_owner_mode() {
    for seed in 50..53 {
        let mut plan = Plan::new(seed, JournalMode::Owner, &plan::ALL);
        plan.pauses = 0.01;
        check(&plan);
    }
}

/// Books until the booking is done, for at most 30 s.
async fn book(cluster: &Cluster, key: u64) {
    let start = Instant::now();
    loop {
        for node in cluster.nodes() {
            let outcome = cluster.send(key, node, Duration::from_secs(2)).await;
            if matches!(outcome, Outcome::Done(_)) {
                return;
            }
        }
        let waited = start.elapsed();
        assert!(
            waited < Duration::from_secs(30),
            "booking {key} after {waited:?}"
        );
    }
}

/// All owners die in an outage with operations that only their memory knew.
/// The VMs leave the list, or new processes start on them.
async fn owners_lost_in_outage(seed: u64, replaced: bool) {
    let plan = Plan {
        service: (0.0, 0.0),
        ..Plan::new(seed, JournalMode::Owner, &[])
    };
    let cluster = Cluster::start(&plan).await;
    for key in 0..8 {
        book(&cluster, key).await;
    }
    cluster.store.set(cluster::down());
    for key in 100..140 {
        book(&cluster, key).await;
    }
    for node in cluster.nodes() {
        cluster.kill(&node);
        if replaced {
            cluster.join(&node.setup.vm).await;
        } else {
            cluster.unlist(&node.setup.vm);
        }
    }
    if !replaced {
        cluster.join("entry-new").await;
    }
    cluster.store.set(Faults::default());
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(plan.journal.resend_ms / 2) {
        // Each entry gets each key: only one of them is on the lost owner's VM.
        for node in cluster.nodes() {
            for key in 100..140 {
                cluster
                    .send(key, node.clone(), Duration::from_millis(5))
                    .await;
            }
        }
    }
    assert_eq!(plan::doubled(&cluster.ledger.records()), 0, "seed {seed}");
    // Guards against a shard that stays without an owner after the window.
    for key in 200..208 {
        book(&cluster, key).await;
    }
}

/// Guards against a takeover before callers stopped to resend what a lost
/// owner ran from memory.
#[test]
fn lost_memory_is_not_run_again_by_new_machines() {
    block_on(owners_lost_in_outage(60, false));
}

/// Guards against a restarted process that takes itself for the owner.
#[test]
fn lost_memory_is_not_run_again_by_restarted_processes() {
    block_on(owners_lost_in_outage(61, true));
}
