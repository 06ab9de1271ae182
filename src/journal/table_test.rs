use std::time::Duration;

use proptest::prelude::*;

use super::table::{GRACE, MAX_AHEAD, SEGMENT_BYTES, Table, Verdict};
use super::{Receipt, key};
use crate::resource::journal;
use key::{Ask, Attempt, Finish, Id};

const HOUR: u64 = 3_600_000;
const NOW: u64 = 1_700_000_000_000;

fn ask(id: u128, attempt: u128) -> Ask {
    Ask {
        id: Id(id),
        fingerprint: id + 1,
        attempt: Attempt(attempt),
        left: 1_000,
        made: None,
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

fn reserve(table: &mut Table, ask: &Ask, now: u64) -> Verdict {
    table.reserve(ask, now, HOUR)
}

/// What another process reads after this table was written.
fn reload(table: &Table, segments: &[journal::Segment]) -> Table {
    let mut head = journal::Head::default();
    table.store(&mut head);
    Table::load(&head, segments).expect("stored entries are valid")
}

/// Guards against a second permit for the same operation, at any stage.
#[test]
fn permit_is_given_once() {
    let mut table = Table::default();
    assert_eq!(reserve(&mut table, &ask(1, 1), NOW), Verdict::Fresh);
    assert_eq!(reserve(&mut table, &ask(1, 1), NOW), Verdict::Fresh);
    assert_eq!(reserve(&mut table, &ask(1, 2), NOW), Verdict::InProgress);
    assert_eq!(
        reserve(&mut table, &ask(1, 2), NOW + 1_000),
        Verdict::Unknown
    );
    let other = Ask {
        fingerprint: 9,
        ..ask(1, 3)
    };
    assert_eq!(reserve(&mut table, &other, NOW), Verdict::Mismatch);
    assert!(!table.finish(Id(1), Attempt(2), Finish::Abort));
    assert!(table.finish(Id(1), Attempt(1), Finish::Complete(receipt(5))));
    assert_eq!(
        reserve(&mut table, &ask(1, 4), NOW),
        Verdict::Done(receipt(5))
    );
    assert!(!table.finish(Id(1), Attempt(1), Finish::Abort));
}

/// Guards against a key that stays taken after its attempt was not run.
#[test]
fn abort_frees_the_key() {
    let mut table = Table::default();
    assert_eq!(reserve(&mut table, &ask(1, 1), NOW), Verdict::Fresh);
    assert!(table.finish(Id(1), Attempt(1), Finish::Abort));
    assert_eq!(reserve(&mut table, &ask(1, 2), NOW), Verdict::Fresh);
    assert!(!table.finish(Id(1), Attempt(1), Finish::Abort));
    assert_eq!(reserve(&mut table, &ask(1, 3), NOW), Verdict::InProgress);
}

/// Guards against a forgotten key that runs again although it carries its time.
#[test]
fn old_keys_are_unknown() {
    let mut table = Table::default();
    let at = |made| Ask {
        made: Some(made),
        ..ask(7, 1)
    };
    assert_eq!(
        reserve(&mut table, &at(NOW - HOUR - 1), NOW),
        Verdict::Unknown
    );
    let ahead = reserve(&mut table, &at(NOW + MAX_AHEAD + 1), NOW);
    assert!(matches!(ahead, Verdict::Refused(_)));
    // The caller's clock is ahead, and so is the time in its key.
    let made = NOW + MAX_AHEAD;
    assert_eq!(reserve(&mut table, &at(made), NOW), Verdict::Fresh);
    table.finish(Id(7), Attempt(1), Finish::Complete(receipt(1)));
    table.forget(NOW + HOUR + 1, HOUR);
    assert!(matches!(
        reserve(&mut table, &at(made), NOW + HOUR + 1),
        Verdict::Done(_)
    ));
    table.forget(made + HOUR + 1, HOUR);
    assert!(table.is_empty());
    // The clock of the next owner is behind.
    let mut next = reload(&table, &[]);
    assert_eq!(reserve(&mut next, &at(made), NOW), Verdict::Unknown);
}

/// Guards against an outcome that arrives while its intent is being sealed as
/// unknown and is lost.
#[test]
fn outcome_during_sealing_is_kept() {
    let mut table = Table::default();
    for id in 0..1_000 {
        reserve(&mut table, &ask(id, 1), NOW);
    }
    let late = NOW + 1_000 + GRACE + 1;
    let sealing = table.next_segment(late).expect("the open part is large");
    let segment = sealing.segment();
    for id in 0..1_000 {
        table.finish(Id(id), Attempt(1), Finish::Complete(receipt(1)));
    }
    table.sealed(sealing, "segment.0.1.1".into());
    let mut next = reload(&table, &[segment]);
    for id in 0..1_000 {
        let verdict = reserve(&mut next, &ask(id, 2), late);
        assert_eq!(verdict, Verdict::Done(receipt(1)), "operation {id}");
    }
}

/// Guards against an intent that is sealed while its attempt may still end.
#[test]
fn open_intents_are_not_sealed() {
    let mut table = Table::default();
    for id in 0..1_000 {
        reserve(&mut table, &ask(id, 1), NOW);
    }
    assert_eq!(table.next_segment(NOW + 1_000), None);
}

/// Guards against keys whose time is read from other kinds of UUID.
#[test]
fn only_version_7_carries_a_time() {
    assert_eq!(
        key::made("017f22e279b07cc398c4dc0c0c07398f"),
        Some(1_645_557_742_000)
    );
    assert_eq!(key::made("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), None);
    assert_eq!(key::made(""), None);
    assert_eq!(key::made("é17f22e2-79b0-7cc3-98c4-dc0c0c07398"), None);
}

/// Guards against malformed stored entries that stop the process.
#[test]
fn malformed_entries_are_refused() {
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

    /// Guards against answers that change when the shard is written, sealed
    /// and read by another process, and against segments above their limit.
    #[test]
    fn reloading_changes_no_answer(
        steps in prop::collection::vec((0..400_u128, 0..4_u8, 0..2_000_usize), 1..600)
    ) {
        let mut table = Table::default();
        let mut segments = Vec::new();
        let mut now = NOW;
        for (i, (id, action, size)) in steps.into_iter().enumerate() {
            now += 50;
            let attempt = i as u128;
            if reserve(&mut table, &ask(id, attempt), now) == Verdict::Fresh {
                let finish = match action {
                    0 => continue,
                    1 => Finish::Abort,
                    _ => Finish::Complete(receipt(size)),
                };
                table.finish(Id(id), Attempt(attempt), finish);
            }
            if let Some(sealing) = table.next_segment(now) {
                let segment = sealing.segment();
                prop_assert!(segment.entries.size() <= SEGMENT_BYTES);
                segments.push(segment);
                table.sealed(sealing, format!("segment.0.1.{}", segments.len()));
            }
        }
        let mut next = reload(&table, &segments);
        prop_assert_eq!(&next, &table);
        for id in 0..400 {
            let asked = ask(id, u128::MAX);
            let expected = reserve(&mut table, &asked, now);
            prop_assert_eq!(reserve(&mut next, &asked, now), expected);
        }
    }
}

/// Guards against a shard whose segments grow without a limit.
#[test]
fn retention_bounds_the_table() {
    let mut table = Table::default();
    let mut now = NOW;
    let mut names = 0;
    for id in 0..100_000 {
        now += 200;
        reserve(&mut table, &ask(id, 1), now);
        table.finish(Id(id), Attempt(1), Finish::Complete(receipt(100)));
        if let Some(sealing) = table.next_segment(now) {
            names += 1;
            table.sealed(sealing, format!("segment.0.1.{names}"));
            table.forget(now, HOUR);
        }
    }
    let remembered = Duration::from_hours(1).as_millis() / 200;
    assert!(table.len() as u128 >= remembered);
    assert!(table.len() as u128 <= remembered + 1_000);
    assert!(table.segments() < 100);
}
