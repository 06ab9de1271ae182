//! Decisions on load, one pattern each.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::place::backoff::RefusalRate;
use corianderramp::place::pace::Pacer;
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn ledger(slots: u32) -> SlotTable {
    let mut ledger = SlotTable::new(slots, Duration::from_secs(1), 30_000.0);
    ledger.set_open(true);
    ledger
}

fn ask(request: u64, prompt: u32, is_immediate: bool) -> SlotRequest {
    SlotRequest {
        id: GrantId {
            gateway: 1,
            request,
        },
        priority: 1,
        objective: OBJECTIVE,
        prompt,
        is_immediate,
    }
}

/// A datagram that is lost and sent again must not take two places.
#[test]
fn repeated_ask_takes_one_place() {
    let now = Instant::now();
    let mut ledger = ledger(4);
    for _ in 0..3 {
        assert_eq!(ledger.request(&ask(1, 10, false), now), Decision::Granted);
    }
    assert_eq!(ledger.active(), 1);
}

/// A gateway that dies never says that its requests ended; their places must come back.
#[test]
fn places_of_a_dead_gateway_come_back() {
    let now = Instant::now();
    let mut ledger = ledger(4);
    for request in 0..4 {
        ledger.request(&ask(request, 1, false), now);
    }
    assert_eq!(ledger.free(), 0);
    let later = now + Duration::from_millis(800);
    ledger.reconcile(0, later);
    assert_eq!(ledger.free(), 4);
}

/// A report that is older than a grant must not free its place: the request is on its way.
#[test]
fn grant_on_its_way_is_kept() {
    let now = Instant::now();
    let mut ledger = ledger(4);
    ledger.request(&ask(1, 1, false), now);
    ledger.reconcile(0, now + Duration::from_millis(100));
    assert_eq!(ledger.active(), 1);
}

/// Requests that bypass the ledger take places too.
#[test]
fn requests_without_a_grant_count() {
    let now = Instant::now();
    let mut ledger = ledger(4);
    ledger.reconcile(4, now);
    assert_eq!(ledger.free(), 0);
    assert!(matches!(
        ledger.request(&ask(1, 1, true), now),
        Decision::Full(_)
    ));
}

/// Prompts that arrive together at one target while others are free.
#[test]
fn burst_of_prompts_is_sent_elsewhere_first() {
    let now = Instant::now();
    let mut ledger = ledger(16);
    assert_eq!(ledger.request(&ask(1, 3_000, true), now), Decision::Granted);
    assert!(matches!(
        ledger.request(&ask(2, 100, true), now),
        Decision::Full(_)
    ));
    assert_eq!(ledger.request(&ask(2, 100, false), now), Decision::Granted);
    let read = now + Duration::from_millis(200);
    assert_eq!(ledger.request(&ask(3, 100, true), read), Decision::Granted);
}

/// What would begin past its objective is refused at once.
#[test]
fn hopeless_wait_is_refused() {
    let now = Instant::now();
    let mut ledger = ledger(2);
    let verdicts: Vec<Decision> = (0..8)
        .map(|i| ledger.request(&ask(i, 10, false), now))
        .collect();
    assert_eq!(verdicts[..2], [Decision::Granted, Decision::Granted]);
    assert!(matches!(verdicts[7], Decision::Full(_)));
}

/// While weights are loaded nothing is granted, whatever is free.
#[test]
fn closed_target_grants_nothing() {
    let now = Instant::now();
    let mut ledger = ledger(4);
    ledger.set_open(false);
    assert_eq!(ledger.request(&ask(1, 1, false), now), Decision::Closed);
    assert_eq!(ledger.free(), 0);
}

/// A crowd that is refused together must not return together.
#[test]
fn returns_of_a_refused_crowd_are_spread() {
    let now = Instant::now();
    let mut refusals = RefusalRate::new(now);
    for _ in 0..80 {
        refusals.record(false, now);
    }
    for _ in 0..20 {
        refusals.record(true, now);
    }
    let left = Duration::from_secs(6);
    let waits: Vec<u128> = (0..1000)
        .map(|i| {
            refusals
                .retry_after(left, f64::from(i) / 1000.0)
                .as_millis()
        })
        .collect();
    // Callers wait up to a third of their time.
    assert!(waits.iter().all(|w| (1..=2_000).contains(w)));
    for bucket in 0..20 {
        let range = bucket * 100..(bucket + 1) * 100;
        let together = waits.iter().filter(|w| range.contains(*w)).count();
        assert!(
            together <= 150,
            "{together} of 1000 return within {range:?} ms"
        );
    }
}

/// Guards against callers that return while still no target serves. Replays four seconds
/// without weights: requests arrive evenly, and those that return within the four seconds
/// are refused again.
#[test]
fn callers_return_late_while_no_target_serves() {
    const CLOSED: u32 = 4_000;
    let left = Duration::from_secs(6);
    let again = (0..CLOSED).filter(|at| {
        let draw = f64::from(at * 7 % 100) / 100.0;
        let wait = RefusalRate::retry_after_outage(left, draw);
        assert!(wait <= left / 3);
        Duration::from_millis((*at).into()) + wait < Duration::from_millis(CLOSED.into())
    });
    // Who arrives two seconds or more before the end can't wait for it.
    let bound = CLOSED * 6 / 10;
    assert!(u32::try_from(again.count()).unwrap() <= bound);
}

/// A caller with little time must not be told to come back after it.
#[test]
fn return_fits_into_the_remaining_time() {
    let refusals = RefusalRate::new(Instant::now());
    for left in [0, 90, 300, 900] {
        let left = Duration::from_millis(left);
        assert!(refusals.retry_after(left, 0.99) <= left / 3 + Duration::from_millis(1));
    }
}

/// Guards against copies of a rare chunk that are sent side by side: the first of them
/// could be passed on only when the last was there.
#[test]
fn copies_of_a_rare_chunk_arrive_one_after_the_other() {
    let now = Instant::now();
    let mut pacer = Pacer::new(8.0, now);
    let slots: Vec<_> = (0..6).map(|_| pacer.reserve(10_000, 1.0, now)).collect();
    for (before, slot) in (0..).zip(&slots) {
        assert_eq!(slot.begin, now + Duration::from_millis(10) * before);
        assert_eq!(slot.end, slot.begin + Duration::from_millis(10));
    }
    assert_eq!(pacer.backlog(now), Duration::from_millis(60));
}

/// Guards against a change of the configuration that waits behind chunks, and against an
/// item that takes link time which others count on.
#[test]
fn an_urgent_item_overtakes_chunks_and_delays_them() {
    let now = Instant::now();
    let mut pacer = Pacer::new(8.0, now);
    pacer.reserve(50_000, 1.0, now);
    let urgent = pacer.reserve_urgent(2_000, 1.0, now);
    assert_eq!(urgent.begin, now);
    let next = pacer.reserve(10_000, 1.0, now);
    assert_eq!(next.begin, now + Duration::from_millis(52));
}
