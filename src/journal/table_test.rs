use std::time::Duration;

use proptest::prelude::*;

use super::table::{Decision, MAX_CLOCK_SKEW, OUTCOME_GRACE, SEGMENT_BYTES, Table};
use super::{Receipt, key};
use crate::resource::journal;
use key::{Attempt, Finish, Id, ReserveRequest};

const HOUR: u64 = 3_600_000;
const NOW: u64 = 1_700_000_000_000;

fn request(id: u128, attempt: u128) -> ReserveRequest {
    ReserveRequest {
        id: Id(id),
        fingerprint: id + 1,
        attempt: Attempt(attempt),
        timeout_ms: 1_000,
        key_time: None,
    }
}

fn receipt(size: usize) -> Receipt {
    Receipt {
        status: 201,
        content_type: "application/json".into(),
        body: vec![b'x'; size].into(),
        truncated: false,
    }
}

fn reserve(table: &mut Table, request: &ReserveRequest, now: u64) -> Decision {
    table.reserve(request, now, HOUR)
}

/// Builds the table as another process reads it from the stored objects.
fn reload(table: &Table, segments: &[journal::Segment]) -> Table {
    let mut head = journal::Head::default();
    table.fill_head(&mut head);
    Table::load(&head, segments).expect("stored entries are valid")
}

/// Guards against a second permit for the same operation in any state.
#[test]
fn permit_is_granted_once() {
    let mut table = Table::default();
    assert_eq!(reserve(&mut table, &request(1, 1), NOW), Decision::Fresh);
    assert_eq!(reserve(&mut table, &request(1, 1), NOW), Decision::Fresh);
    assert_eq!(
        reserve(&mut table, &request(1, 2), NOW),
        Decision::InProgress
    );
    assert_eq!(
        reserve(&mut table, &request(1, 2), NOW + 1_000),
        Decision::Unknown
    );
    let other = ReserveRequest {
        fingerprint: 9,
        ..request(1, 3)
    };
    assert_eq!(reserve(&mut table, &other, NOW), Decision::Mismatch);
    assert!(!table.finish(Id(1), Attempt(2), Finish::Abort));
    assert!(table.finish(Id(1), Attempt(1), Finish::Complete(receipt(5))));
    assert_eq!(
        reserve(&mut table, &request(1, 4), NOW),
        Decision::Done(receipt(5))
    );
    assert!(!table.finish(Id(1), Attempt(1), Finish::Abort));
}

/// Guards against a key that stays reserved after its attempt was aborted.
#[test]
fn abort_frees_the_key() {
    let mut table = Table::default();
    assert_eq!(reserve(&mut table, &request(1, 1), NOW), Decision::Fresh);
    assert!(table.finish(Id(1), Attempt(1), Finish::Abort));
    assert_eq!(reserve(&mut table, &request(1, 2), NOW), Decision::Fresh);
    assert!(!table.finish(Id(1), Attempt(1), Finish::Abort));
    assert_eq!(
        reserve(&mut table, &request(1, 3), NOW),
        Decision::InProgress
    );
}

/// Guards against a second permit for a pruned operation whose key has a timestamp.
#[test]
fn old_keys_are_unknown() {
    let mut table = Table::default();
    let at = |key_time| ReserveRequest {
        key_time: Some(key_time),
        ..request(7, 1)
    };
    assert_eq!(
        reserve(&mut table, &at(NOW - HOUR - 1), NOW),
        Decision::Unknown
    );
    let ahead = reserve(&mut table, &at(NOW + MAX_CLOCK_SKEW + 1), NOW);
    assert!(matches!(ahead, Decision::Rejected(_)));
    // The caller's clock is ahead, and so is the timestamp in its key.
    let key_time = NOW + MAX_CLOCK_SKEW;
    assert_eq!(reserve(&mut table, &at(key_time), NOW), Decision::Fresh);
    table.finish(Id(7), Attempt(1), Finish::Complete(receipt(1)));
    table.prune(NOW + HOUR + 1, HOUR);
    assert!(matches!(
        reserve(&mut table, &at(key_time), NOW + HOUR + 1),
        Decision::Done(_)
    ));
    table.prune(key_time + HOUR + 1, HOUR);
    assert!(table.is_empty());
    // The clock of the next owner is behind.
    let mut next = reload(&table, &[]);
    assert_eq!(reserve(&mut next, &at(key_time), NOW), Decision::Unknown);
}

/// Guards against losing an outcome that arrives while its intent is being sealed
/// as unknown.
#[test]
fn outcome_during_sealing_is_kept() {
    let mut table = Table::default();
    for id in 0..1_000 {
        reserve(&mut table, &request(id, 1), NOW);
    }
    let late = NOW + 1_000 + OUTCOME_GRACE + 1;
    let pending = table.next_segment(late).expect("the open part is large");
    let segment = pending.segment();
    for id in 0..1_000 {
        table.finish(Id(id), Attempt(1), Finish::Complete(receipt(1)));
    }
    table.commit_segment(pending, "segment.0.1.1".into());
    let mut next = reload(&table, &[segment]);
    for id in 0..1_000 {
        let decision = reserve(&mut next, &request(id, 2), late);
        assert_eq!(decision, Decision::Done(receipt(1)), "operation {id}");
    }
}

/// Guards against sealing an intent whose outcome may still arrive.
#[test]
fn open_intents_are_not_sealed() {
    let mut table = Table::default();
    for id in 0..1_000 {
        reserve(&mut table, &request(id, 1), NOW);
    }
    assert_eq!(table.next_segment(NOW + 1_000), None);
}

/// Guards against a timestamp read from another kind of UUID.
#[test]
fn only_version_7_has_a_timestamp() {
    assert_eq!(
        key::uuid_time("017f22e279b07cc398c4dc0c0c07398f"),
        Some(1_645_557_742_000)
    );
    assert_eq!(key::uuid_time("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None);
    assert_eq!(key::uuid_time(""), None);
    assert_eq!(key::uuid_time("é17f22e2-79b0-7cc3-98c4-dc0c0c07398"), None);
}

/// Guards against malformed stored entries that crash the process.
#[test]
fn malformed_entries_are_rejected() {
    for json in [
        r#"{"entries":"!"}"#,
        r#"{"entries":"CgMKAQE"}"#,
        r#"{"entries":"/w"}"#,
    ] {
        let head: journal::Head = serde_json::from_str(json).expect("the head is JSON");
        assert!(Table::load(&head, &[]).is_err(), "{json}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against decisions that change after the shard is stored, sealed and
    /// read by another process, and against segments above the size limit.
    #[test]
    fn reload_preserves_decisions(
        steps in prop::collection::vec((0..400_u128, 0..4_u8, 0..2_000_usize), 1..600)
    ) {
        let mut table = Table::default();
        let mut segments = Vec::new();
        let mut now = NOW;
        for (i, (id, action, size)) in steps.into_iter().enumerate() {
            now += 50;
            let attempt = i as u128;
            if reserve(&mut table, &request(id, attempt), now) == Decision::Fresh {
                let finish = match action {
                    0 => continue,
                    1 => Finish::Abort,
                    _ => Finish::Complete(receipt(size)),
                };
                table.finish(Id(id), Attempt(attempt), finish);
            }
            if let Some(pending) = table.next_segment(now) {
                let segment = pending.segment();
                prop_assert!(segment.entries.size() <= SEGMENT_BYTES);
                segments.push(segment);
                table.commit_segment(pending, format!("segment.0.1.{}", segments.len()));
            }
        }
        let mut next = reload(&table, &segments);
        prop_assert_eq!(&next, &table);
        for id in 0..400 {
            let request = request(id, u128::MAX);
            let expected = reserve(&mut table, &request, now);
            prop_assert_eq!(reserve(&mut next, &request, now), expected);
        }
    }
}

/// Guards against unbounded growth of a shard's segments.
#[test]
fn retention_bounds_the_table() {
    let mut table = Table::default();
    let mut now = NOW;
    let mut segments = 0;
    for id in 0..100_000 {
        now += 200;
        reserve(&mut table, &request(id, 1), now);
        table.finish(Id(id), Attempt(1), Finish::Complete(receipt(100)));
        if let Some(pending) = table.next_segment(now) {
            segments += 1;
            table.commit_segment(pending, format!("segment.0.1.{segments}"));
            table.prune(now, HOUR);
        }
    }
    let retained = Duration::from_hours(1).as_millis() / 200;
    assert!(table.len() as u128 >= retained);
    assert!(table.len() as u128 <= retained + 1_000);
    assert!(table.segment_count() < 100);
}
