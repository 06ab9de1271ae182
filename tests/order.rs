//! Tests of the order of requests in overload.

#![allow(clippy::unwrap_used)]

#[path = "support/overload.rs"]
mod overload;

use std::time::{Duration, Instant};

use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};
use overload::{CAPACITY, Load, Outcome, Replay, SLOTS};

/// Replays of one load, whose mean is checked.
const REPLAYS: u64 = 4;

/// Runs the replays of a load and prints a row of the table in the design note.
fn run(name: &str, load: Load) -> Outcome {
    let outcomes: Vec<Outcome> = (7..7 + REPLAYS)
        .map(|seed| Replay::new(Load { seed, ..load }).run())
        .collect();
    let outcome = Outcome::mean(&outcomes);
    eprintln!(
        "| {name} | {:.2?} | {:.2} | {:.2?} | {:.1} | {:.3} | {} |",
        outcome.shares, outcome.all, outcome.late, outcome.rate, outcome.lost, outcome.most_waiting
    );
    outcome
}

/// Guards against the least urgent class taking the slots because its objective is the
/// loosest, against classes that starve, and against prompt sizes that starve.
#[test]
fn urgent_classes_are_served_first_and_none_starves() {
    let mut last = [1.0; 3];
    for factor in [1.2, 1.5, 2.0, 4.0] {
        let before = Load {
            is_ordered: false,
            says_left: false,
            ..Load::even(factor)
        };
        run(&format!("{factor}, before"), before);
        let outcome = run(&format!("{factor}"), Load::even(factor));
        outcome.check();
        last = outcome.shares;
    }
    assert!(last[0] >= 2.0 * last[2], "{last:?}");
}

/// Guards against capacity that is lost to the shares: below overload all are served, and in
/// overload the engines serve about as many as before.
#[test]
fn shares_leave_no_slots_unused() {
    let outcome = run("0.8", Load::even(0.8));
    assert!(outcome.all >= 0.98, "{outcome:?}");
    let outcome = run("2", Load::even(2.0));
    assert!(outcome.rate >= 0.75 * CAPACITY, "{outcome:?}");
}

/// Guards against a burst of the least urgent class that takes slots from the others.
#[test]
fn burst_of_the_least_urgent_class_costs_only_itself() {
    let mut load = Load::even(0.8);
    load.factors[2] = 4.0;
    let outcome = run("burst of 2", load);
    assert!(outcome.shares[0] >= 0.95, "{outcome:?}");
    assert!(outcome.shares[1] >= 0.93, "{outcome:?}");
    outcome.check();
}

/// Guards against callers who return at once and displace new ones or count twice.
#[test]
fn callers_who_return_at_once_do_not_displace_others() {
    let outcome = run(
        "2, at once",
        Load {
            at_once: true,
            ..Load::even(2.0)
        },
    );
    outcome.check();
}

/// Guards against a change for deployments whose routes have one priority: the order of what
/// is granted must be that of a table without shares.
#[test]
fn one_priority_shares_nothing() {
    let mut load = Load::even(2.0);
    for kind in &mut load.kinds {
        (kind.priority, kind.objective) = (1, 400);
    }
    let outcome = run("2, one priority", load);
    let difference = |class: usize| (outcome.shares[class] - outcome.all).abs();
    assert!((0..3).all(|class| difference(class) < 0.08), "{outcome:?}");
}

/// Guards against slots held by streams that are cut off at their deadline, and against
/// refusing streams that could have been served because a hint is too high.
#[test]
fn streams_that_cannot_end_in_time_take_fewer_slots() {
    let mut load = Load {
        limit_ms: 2_500,
        ..Load::even(1.5)
    };
    let with = run("1.5, 2.5 s", load);
    load.says_left = false;
    let without = run("1.5, 2.5 s, end unknown", load);
    assert!(with.lost < 0.7 * without.lost, "{with:?} {without:?}");
    assert!(with.rate >= without.rate, "{with:?} {without:?}");
}

/// Guards against refusing a short answer, a request without a known deadline, or one that is
/// too long only while this engine is busy, as too long for all engines.
#[test]
fn only_hopeless_requests_are_too_long() {
    let now = Instant::now();
    let mut table = SlotTable::new(SLOTS, Duration::from_secs(1), 30_600.0);
    table.order_mut().set_engine(&overload::engine());
    table.set_open(true);
    let mut number = 0;
    let mut ask = |table: &mut SlotTable, output_tokens, left_ms| {
        number += 1;
        let request = SlotRequest {
            id: GrantId {
                gateway_id: 1,
                request_id: number,
            },
            priority: 1,
            objective: Duration::from_millis(400),
            prompt_tokens: 20,
            immediate_only: true,
            output_tokens,
            left: Duration::from_millis(left_ms),
            is_returning: false,
        };
        table.request(&request, now)
    };
    assert_eq!(ask(&mut table, 2_000, 6_000), Decision::TooLong);
    assert_eq!(ask(&mut table, 2_000, 0), Decision::Granted);
    assert_eq!(ask(&mut table, 1_000, 6_000), Decision::Granted);
    table.order_mut().set_pace(2.5);
    let decision = ask(&mut table, 1_000, 6_000);
    assert!(matches!(decision, Decision::Full(_)), "{decision:?}");
}
