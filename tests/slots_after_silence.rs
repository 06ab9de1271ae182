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
    table.reconcile(3, later + Duration::from_millis(400));
    table.set_open(true);
    let at = later + Duration::from_millis(410);
    let granted = (3..10).filter(|n| table.request(&request(*n), at) == Decision::Granted);
    assert_eq!(granted.count(), 1);
}
