//! Slots of an engine whose reports fail to come for a while.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};

fn request(number: u64) -> SlotRequest {
    SlotRequest {
        id: GrantId {
            gateway_id: 1,
            request_id: number,
        },
        priority: 1,
        objective: Duration::from_millis(400),
        prompt_tokens: 1,
        immediate_only: true,
        output_tokens: 0,
        left: Duration::ZERO,
        is_returning: false,
    }
}

/// Replays what `Host::update_report` does when one report takes longer than its timeout: an
/// engine that paused with three requests got four more, because its grants were dropped.
#[test]
fn silent_engine_keeps_the_slots_of_its_requests() {
    let now = Instant::now();
    let mut table = SlotTable::new(4, Duration::from_secs(1), 30_000.0);
    table.set_open(true);
    for number in 0..3 {
        assert_eq!(table.request(&request(number), now), Decision::Granted);
    }
    let later = now + Duration::from_millis(600);
    table.set_open(false);
    table.reset();
    table.reconcile(
        3,
        later + Duration::from_millis(400),
        later + Duration::from_millis(400),
    );
    table.set_open(true);
    let at = later + Duration::from_millis(410);
    let granted = (3..10).filter(|n| table.request(&request(*n), at) == Decision::Granted);
    assert_eq!(granted.count(), 1);
}

/// A host was suspended between asking its engine for a report and reading it: requests that had
/// been granted right before counted as ended, and their slots were granted twice.
#[test]
fn report_read_late_keeps_the_grants_that_it_could_not_count() {
    let now = Instant::now();
    let mut table = SlotTable::new(4, Duration::from_secs(1), 30_000.0);
    table.set_open(true);
    for number in 0..3 {
        assert_eq!(table.request(&request(number), now), Decision::Granted);
    }
    let (asked, read) = (now + Duration::from_millis(1), now + Duration::from_secs(3));
    table.reconcile(0, asked, read);
    assert_eq!(table.active(), 3);
    // A report that was requested later shows that they never arrived.
    table.reconcile(0, read, read + Duration::from_millis(1));
    assert_eq!(table.active(), 0);
}

/// The same host found releases before the report that still counted their requests, and granted
/// too few slots.
#[test]
fn report_read_late_does_not_count_requests_that_have_ended() {
    let now = Instant::now();
    let mut table = SlotTable::new(4, Duration::from_secs(1), 30_000.0);
    table.set_open(true);
    for number in 0..3 {
        assert_eq!(table.request(&request(number), now), Decision::Granted);
    }
    let asked = now + Duration::from_secs(1);
    let read = asked + Duration::from_secs(3);
    table.release(request(0).id, read);
    table.reconcile(3, asked, read);
    assert_eq!((table.active(), table.free()), (2, 2));
    // One request beyond the grants, by a report that was requested after the release.
    let later = read + Duration::from_millis(100);
    table.reconcile(3, later, later);
    assert_eq!((table.active(), table.free()), (3, 1));
}
