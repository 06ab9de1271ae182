//! Load decisions: one test for each load pattern that they must handle.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::place::backoff::RefusalRate;
use corianderramp::place::pace::Pacer;
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn slot_table(slots: u32) -> SlotTable {
    let mut table = SlotTable::new(slots, Duration::from_secs(1), 30_000.0);
    table.set_open(true);
    table
}

fn slot_request(request: u64, prompt: u32, immediate_only: bool) -> SlotRequest {
    SlotRequest {
        id: GrantId {
            gateway_id: 1,
            request_id: request,
        },
        priority: 1,
        objective: OBJECTIVE,
        prompt_tokens: prompt,
        immediate_only,
        output_tokens: 0,
        left: Duration::ZERO,
        is_returning: false,
    }
}

/// Guards against a lost datagram: its repetition must not take a second slot.
#[test]
fn repeated_request_takes_one_slot() {
    let now = Instant::now();
    let mut table = slot_table(4);
    for _ in 0..3 {
        assert_eq!(
            table.request(&slot_request(1, 10, false), now),
            Decision::Granted
        );
    }
    assert_eq!(table.active(), 1);
}

/// Guards against slots leaked by a crashed gateway, which never releases them.
#[test]
fn slots_of_a_crashed_gateway_are_freed() {
    let now = Instant::now();
    let mut table = slot_table(4);
    for request in 0..4 {
        table.request(&slot_request(request, 1, false), now);
    }
    assert_eq!(table.free(), 0);
    let later = now + Duration::from_millis(800);
    table.reconcile(0, later, later);
    assert_eq!(table.free(), 4);
}

/// Guards against a target report that is older than a grant: it does not count the request
/// that is still on its way, and must not free its slot.
#[test]
fn older_report_keeps_a_new_grant() {
    let now = Instant::now();
    let mut table = slot_table(4);
    table.request(&slot_request(1, 1, false), now);
    table.reconcile(
        0,
        now + Duration::from_millis(100),
        now + Duration::from_millis(100),
    );
    assert_eq!(table.active(), 1);
}

/// Guards against overload by requests that reach the target without a grant.
#[test]
fn requests_without_a_grant_take_slots() {
    let now = Instant::now();
    let mut table = slot_table(4);
    table.reconcile(4, now, now);
    assert_eq!(table.free(), 0);
    assert!(matches!(
        table.request(&slot_request(1, 1, true), now),
        Decision::Full(_)
    ));
}

/// Guards against prompts that queue up at one target while others are free: a request that
/// must run immediately is refused until the prefill of the earlier prompts is done.
#[test]
fn prompt_burst_goes_to_other_targets_first() {
    let now = Instant::now();
    let mut table = slot_table(16);
    assert_eq!(
        table.request(&slot_request(1, 3_000, true), now),
        Decision::Granted
    );
    assert!(matches!(
        table.request(&slot_request(2, 100, true), now),
        Decision::Full(_)
    ));
    assert_eq!(
        table.request(&slot_request(2, 100, false), now),
        Decision::Granted
    );
    let prefill_end = now + Duration::from_millis(200);
    assert_eq!(
        table.request(&slot_request(3, 100, true), prefill_end),
        Decision::Granted
    );
}

/// Guards against granting a slot to a request that would miss its objective anyway.
#[test]
fn wait_beyond_the_objective_is_refused() {
    let now = Instant::now();
    let mut table = slot_table(2);
    let decisions: Vec<Decision> = (0..8)
        .map(|i| table.request(&slot_request(i, 10, false), now))
        .collect();
    assert_eq!(decisions[..2], [Decision::Granted, Decision::Granted]);
    assert!(matches!(decisions[7], Decision::Full(_)));
}

/// Guards against slots granted while the target loads weights, although slots are free.
#[test]
fn closed_target_grants_nothing() {
    let now = Instant::now();
    let mut table = slot_table(4);
    table.set_open(false);
    assert_eq!(
        table.request(&slot_request(1, 1, false), now),
        Decision::Closed
    );
    assert_eq!(table.free(), 0);
}

/// Guards against callers that are refused together and retry in one burst.
#[test]
fn retries_of_refused_callers_are_spread() {
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
    // Callers accept a wait of up to a third of their remaining time.
    assert!(waits.iter().all(|w| (1..=2_000).contains(w)));
    for bucket in 0..20 {
        let range = bucket * 100..(bucket + 1) * 100;
        let together = waits.iter().filter(|w| range.contains(*w)).count();
        assert!(
            together <= 150,
            "{together} of 1000 retry within {range:?} ms"
        );
    }
}

/// Guards against retries while still no target serves. Simulates four seconds without
/// weights: requests arrive evenly, and a retry within the four seconds is refused again.
#[test]
fn callers_retry_late_while_no_target_serves() {
    const OUTAGE_MS: u32 = 4_000;
    let left = Duration::from_secs(6);
    let refused_again = (0..OUTAGE_MS).filter(|at| {
        let draw = f64::from(at * 7 % 100) / 100.0;
        let wait = RefusalRate::retry_after_outage(left, draw);
        assert!(wait <= left / 3);
        Duration::from_millis((*at).into()) + wait < Duration::from_millis(OUTAGE_MS.into())
    });
    // Callers wait two seconds at most, so those of the first two seconds can't outlast it.
    let bound = OUTAGE_MS * 6 / 10;
    assert!(u32::try_from(refused_again.count()).unwrap() <= bound);
}

/// Guards against a retry time after the caller's deadline.
#[test]
fn retry_fits_into_the_remaining_time() {
    let refusals = RefusalRate::new(Instant::now());
    for left in [0, 90, 300, 900] {
        let left = Duration::from_millis(left);
        assert!(refusals.retry_after(left, 0.99) <= left / 3 + Duration::from_millis(1));
    }
}

/// Guards against copies of one chunk that are sent concurrently: the first copy could be
/// forwarded only when the last one has arrived.
#[test]
fn copies_of_a_chunk_are_sent_one_after_the_other() {
    let now = Instant::now();
    let mut pacer = Pacer::new(8.0, now);
    let windows: Vec<_> = (0..6).map(|_| pacer.reserve(10_000, 1.0, now)).collect();
    for (before, window) in (0..).zip(&windows) {
        assert_eq!(window.begin, now + Duration::from_millis(10) * before);
        assert_eq!(window.end, window.begin + Duration::from_millis(10));
    }
    assert_eq!(pacer.backlog(now), Duration::from_millis(60));
}

/// Guards against a configuration change that waits behind chunks, and against an urgent
/// item whose link time is not added to the later windows.
#[test]
fn urgent_item_precedes_chunks_and_delays_them() {
    let now = Instant::now();
    let mut pacer = Pacer::new(8.0, now);
    pacer.reserve(50_000, 1.0, now);
    let urgent = pacer.reserve_urgent(2_000, 1.0, now);
    assert_eq!(urgent.begin, now);
    let next = pacer.reserve(10_000, 1.0, now);
    assert_eq!(next.begin, now + Duration::from_millis(52));
}

/// Guards against grants beside requests that the target reports and that have none: a grant
/// takes a slot of its own, though the report counts more requests than there are grants.
#[test]
fn grant_takes_a_slot_beside_requests_without_one() {
    let now = Instant::now();
    let mut table = slot_table(4);
    table.reconcile(3, now, now);
    let decisions = [1, 2, 3].map(|i| table.request(&slot_request(i, 1, true), now));
    let granted = decisions.iter().filter(|d| **d == Decision::Granted);
    assert_eq!(granted.count(), 1);
}

/// Guards against a slot that is freed twice: by a report that does not count a request that
/// has just ended, and by the release of the request, which arrives after it.
#[test]
fn release_after_the_report_frees_one_slot() {
    let now = Instant::now();
    let mut table = slot_table(4);
    let requests = [1, 2, 3, 4].map(|i| slot_request(i, 1, false));
    for (i, request) in (0..).zip(&requests) {
        table.request(request, now + Duration::from_millis(i));
    }
    let later = now + Duration::from_secs(1);
    table.reconcile(3, later, later);
    assert_eq!(table.active(), 3);
    table.release(requests[2].id, later + Duration::from_millis(2));
    assert_eq!(table.active(), 3);
    table.release(requests[0].id, later + Duration::from_millis(4));
    assert_eq!(table.active(), 2);
}

/// Guards against more requests than slots at a target that was silent for a second: those sent
/// to it meanwhile are not in its first reports.
#[test]
fn requests_sent_to_a_silent_target_keep_their_slots() {
    let now = Instant::now();
    let mut table = slot_table(4);
    table.reconcile(0, now, now);
    for request in 0..4 {
        table.request(&slot_request(request, 1, false), now);
    }
    table.record_silence(now);
    let later = now + Duration::from_secs(1);
    table.reconcile(0, later, later);
    assert_eq!(table.active(), 4);
    table.reconcile(
        0,
        later + Duration::from_millis(600),
        later + Duration::from_millis(600),
    );
    assert_eq!(table.active(), 0);
}

/// Guards against requests that wait at a silent target although another could take them, that
/// wait beyond its slots, or for longer than their callers do.
#[test]
fn silent_target_takes_only_requests_that_have_no_other() {
    let now = Instant::now();
    let mut table = slot_table(2);
    table.reconcile(1, now, now);
    assert!(table.record_silence(now));
    assert!(!table.record_silence(now + Duration::from_millis(500)));
    let later = now + Duration::from_millis(900);
    assert!(matches!(
        table.request(&slot_request(1, 1, true), later),
        Decision::Full(_)
    ));
    let first = table.request(&slot_request(2, 1, false), later);
    assert_eq!(first, Decision::Granted);
    let beyond = table.request(&slot_request(3, 1, false), later);
    assert!(matches!(beyond, Decision::Full(_)));
    table.release(slot_request(2, 1, false).id, later);
    let late = now + OBJECTIVE * 4;
    let decision = table.request(&slot_request(4, 1, false), late);
    assert!(matches!(decision, Decision::Full(_)));
    table.reconcile(1, late, late);
    let after = table.request(&slot_request(5, 1, true), late);
    assert_eq!(after, Decision::Granted);
}

/// Guards against too many requests that wait for a slot after a host was paused: it then grants
/// slots to dozens of requests that were given up, and none of them says how long one is held.
#[test]
fn unused_slots_do_not_shorten_the_expected_wait() {
    let now = Instant::now();
    let mut table = slot_table(2);
    for request in 0..50 {
        table.request(&slot_request(request, 0, false), now);
        table.cancel(slot_request(request, 0, false).id);
    }
    table.reconcile(2, now, now);
    assert_eq!(table.expected_wait(now), Duration::from_millis(500));
}

/// Guards against callers that all come back at the moment at which targets in need take requests
/// again, or before it.
#[test]
fn callers_return_spread_after_the_end_of_a_pause() {
    let now = Instant::now();
    let mut refusals = RefusalRate::new(now);
    for _ in 0..100 {
        refusals.record(false, now);
    }
    let (pause, left) = (Duration::from_millis(1_400), Duration::from_secs(6));
    let late = (0..1_000).map(|i| {
        let wait = refusals.retry_after_pause(pause, left, f64::from(i) / 1_000.0);
        wait.checked_sub(pause).unwrap().as_millis()
    });
    let late: Vec<u128> = late.collect();
    for bucket in 0..20 {
        let range = bucket * 100..(bucket + 1) * 100;
        let together = late.iter().filter(|l| range.contains(*l)).count();
        assert!(
            together <= 100,
            "{together} of 1000 return {range:?} ms after the end"
        );
    }
}
