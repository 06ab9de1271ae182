//! Checks the histories of concurrent runs of the at-most-once journal: an
//! operation is executed at most once (invariant I4), a caller gets the receipt
//! of the actual execution, and a call that ended as not run executed nothing
//! (invariant I3).

use std::future::Future;
use std::time::{Duration, Instant};

use corianderramp::resource::service::JournalMode;
use standins::journal::cluster::{self, Cluster};
use standins::journal::plan::{self, Fault, Plan, Report};
use standins::journal::recorder::{Event, Outcome, Record};
use standins::journal::store::Faults;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Sequential specification of an operation that may be executed once.
struct AtMostOnce;

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    /// Identifier of the call that executed the operation, and the receipt.
    execution: Option<(u64, u32)>,
    /// Identifiers of the calls that ended as not run.
    refused: Vec<u64>,
}

impl Specification for AtMostOnce {
    type State = State;
    type Operation = Event;

    fn init() -> State {
        State::default()
    }

    fn apply(event: &Event, state: &State) -> (bool, State) {
        let mut next = state.clone();
        let valid = match *event {
            Event::Execute { call_id, receipt } => {
                next.execution = Some((call_id, receipt));
                state.execution.is_none() && !state.refused.contains(&call_id)
            }
            Event::Call { call_id, outcome } => match outcome {
                Outcome::Done(receipt) => state.execution.is_some_and(|(_, r)| r == receipt),
                Outcome::NotRun => {
                    next.refused.push(call_id);
                    state.execution.is_none_or(|(id, _)| id != call_id)
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
        actions.push((record.begin, process, Action::Call(record.event)));
        actions.push((record.end, process, Action::Response(record.event)));
    }
    actions.sort_by_key(|(position, _, _)| *position);
    let actions = actions.into_iter().map(|(_, p, a)| (p, a)).collect();
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
}

/// Keys whose history violates the specification.
fn violations(report: &Report) -> Vec<u64> {
    let mut records = report.records.clone();
    records.sort_by_key(|r| (r.key, r.begin));
    let keys = records.chunk_by(|a, b| a.key == b.key);
    let violating = keys.filter(|history| !is_linearizable(history));
    violating.map(|history| history[0].key).collect()
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(future)
}

fn check(plan: &Plan) {
    let report = block_on(plan::run(plan));
    let total = report.total();
    let summary = format!(
        "seed {} {:?}: served {} refused {} unknown {} duplicates {} faults {}",
        plan.seed,
        plan.mode,
        total.served,
        total.refused,
        total.unknown,
        report.duplicates,
        report.faults
    );
    eprintln!("{summary}");
    let violating = violations(&report);
    for record in report.records.iter().filter(|r| violating.contains(&r.key)) {
        eprintln!("{record:?}");
    }
    assert!(
        violating.is_empty(),
        "{summary}: keys with violations {violating:?}"
    );
    assert_eq!(report.duplicates, 0, "{summary}");
    // Without completed operations the checks above pass trivially.
    assert!(total.served > 0, "{summary}");
}

fn record(event: Event, begin: u64, end: u64) -> Record {
    Record {
        key: 0,
        event,
        begin,
        end,
    }
}

/// Guards against a specification that accepts an invalid history.
#[test]
fn specification_rejects_violations() {
    let execute = |call_id, receipt| Event::Execute { call_id, receipt };
    let respond = |call_id, outcome| Event::Call { call_id, outcome };
    let executed_once = [
        record(execute(1, 7), 1, 2),
        record(respond(1, Outcome::Done(7)), 0, 3),
    ];
    assert!(is_linearizable(&executed_once));
    let executed_twice = [record(execute(1, 7), 1, 2), record(execute(2, 8), 3, 4)];
    assert!(!is_linearizable(&executed_twice));
    let wrong_receipt = [
        record(execute(1, 7), 1, 2),
        record(respond(2, Outcome::Done(8)), 3, 4),
    ];
    assert!(!is_linearizable(&wrong_receipt));
    let response_before_execution = [
        record(respond(2, Outcome::Done(7)), 0, 1),
        record(execute(1, 7), 2, 3),
    ];
    assert!(!is_linearizable(&response_before_execution));
    let executed_but_not_run = [
        record(execute(1, 7), 1, 2),
        record(respond(1, Outcome::NotRun), 0, 3),
    ];
    assert!(!is_linearizable(&executed_but_not_run));
    let executed_after_not_run = [
        record(respond(1, Outcome::NotRun), 0, 1),
        record(execute(1, 7), 2, 3),
    ];
    assert!(!is_linearizable(&executed_after_not_run));
}

/// Guards against lost or repeated operations in the absence of faults.
#[test]
fn run_without_faults() {
    check(&Plan::new(1, JournalMode::Refuse, &[]));
}

/// Guards against shard takeovers that lose recorded intents, in `refuse` mode.
#[test]
fn kills_pauses_and_drains_in_refuse_mode() {
    for seed in 10..12 {
        let faults = [Fault::Kill, Fault::Pause, Fault::Drain];
        let mut plan = Plan::new(seed, JournalMode::Refuse, &faults);
        plan.pause_probability = 0.01;
        check(&plan);
    }
}

/// Guards against owners that rely on a write that did not take effect, or miss
/// one that took effect without a response, in `refuse` mode.
#[test]
fn platform_faults_in_refuse_mode() {
    for seed in 20..22 {
        let faults = [
            Fault::Outage,
            Fault::Latency,
            Fault::MessageLoss,
            Fault::Isolation,
        ];
        check(&Plan::new(seed, JournalMode::Refuse, &faults));
    }
}

/// Guards against failures that occur only under several faults at once, in
/// `refuse` mode.
#[test]
fn all_faults_in_refuse_mode() {
    for seed in 30..33 {
        let mut plan = Plan::new(seed, JournalMode::Refuse, &plan::ALL_FAULTS);
        plan.pause_probability = 0.01;
        check(&plan);
    }
}

/// Guards against a takeover while the old owner still serves from memory, in
/// `owner` mode.
#[test]
fn platform_faults_in_owner_mode() {
    for seed in 40..42 {
        let faults = [
            Fault::Outage,
            Fault::Latency,
            Fault::MessageLoss,
            Fault::Isolation,
        ];
        check(&Plan::new(seed, JournalMode::Owner, &faults));
    }
}

/// Guards against failures that occur only under several faults at once, in
/// `owner` mode.
#[test]
fn all_faults_in_owner_mode() {
    for seed in 50..53 {
        let mut plan = Plan::new(seed, JournalMode::Owner, &plan::ALL_FAULTS);
        plan.pause_probability = 0.01;
        check(&plan);
    }
}

/// Sends a booking to all nodes in turn until it is done, for at most 30 s.
async fn complete_booking(cluster: &Cluster, key: u64) {
    let start = Instant::now();
    loop {
        for node in cluster.nodes() {
            let outcome = cluster.send_call(key, node, Duration::from_secs(2)).await;
            if matches!(outcome, Outcome::Done(_)) {
                return;
            }
        }
        let waited = start.elapsed();
        assert!(
            waited < Duration::from_secs(30),
            "booking {key} was not done after {waited:?}"
        );
    }
}

/// Kills all owners during an outage in which they kept operations only in memory,
/// and checks that resent calls do not execute these operations again. Either
/// new processes start on the same VMs (`restart`), or a new VM replaces all.
async fn lose_owners_during_outage(seed: u64, restart: bool) {
    let plan = Plan {
        service_faults: (0.0, 0.0),
        ..Plan::new(seed, JournalMode::Owner, &[])
    };
    let cluster = Cluster::start(&plan).await;
    for key in 0..8 {
        complete_booking(&cluster, key).await;
    }
    cluster.store.set_faults(cluster::outage());
    for key in 100..140 {
        complete_booking(&cluster, key).await;
    }
    for node in cluster.nodes() {
        cluster.kill(&node);
        if restart {
            cluster.start_node(&node.setup.vm).await;
        } else {
            cluster.remove_vm(&node.setup.vm);
        }
    }
    if !restart {
        cluster.start_node("entry-new").await;
    }
    cluster.store.set_faults(Faults::default());
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(plan.journal.resend_ms / 2) {
        // Each entry gets each key, since only one of them runs on the lost owner's VM.
        for node in cluster.nodes() {
            for key in 100..140 {
                cluster
                    .send_call(key, node.clone(), Duration::from_millis(5))
                    .await;
            }
        }
    }
    assert_eq!(
        plan::duplicate_executions(&cluster.service.records()),
        0,
        "seed {seed}"
    );
    // Every shard must get an owner again after the resend window.
    for key in 200..208 {
        complete_booking(&cluster, key).await;
    }
}

/// Guards against a takeover within the resend window of a lost owner: callers
/// may still resend operations that the owner kept only in memory.
#[test]
fn unrecorded_operations_are_not_repeated_by_new_vms() {
    block_on(lose_owners_during_outage(60, false));
}

/// Guards against a restarted process that takes itself for the shards' owner,
/// although it lost the operations that were kept only in memory.
#[test]
fn unrecorded_operations_are_not_repeated_by_restarted_processes() {
    block_on(lose_owners_during_outage(61, true));
}
