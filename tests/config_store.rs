//! Configuration store: whatever the order and repetition of the deltas that it
//! receives, its revision must not decrease and no change may be lost.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use bytes::Bytes;
use corianderramp::config::store::{Delta, Entry, MAX_TOMBSTONES, Outcome, Store};
use corianderramp::config::{View, parts, view};
use corianderramp::resource::Kind;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::{collection, sample};

fn entry(name: &str, revision: u64, json: &str) -> Arc<Entry> {
    Arc::new(Entry {
        kind: Kind::Drain,
        name: name.into(),
        revision,
        json: Bytes::copy_from_slice(json.as_bytes()),
    })
}

fn change(from: u64, to: u64, entries: Vec<Arc<Entry>>) -> Delta {
    Delta {
        from,
        to,
        snapshot: false,
        entries,
    }
}

fn live(store: &Store) -> Vec<Arc<Entry>> {
    store.snapshot().entries
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Delete(u8),
    Bookmark,
    /// Computes the delta for a replica from any past state of the source.
    Send(usize, sample::Index),
    /// Computes the delta for the first replica from the second one.
    Exchange(usize, usize),
    /// Delivers any of the deltas computed so far to a replica, possibly again.
    Deliver(usize, sample::Index),
}

fn step() -> impl Strategy<Value = Step> {
    let replica = || 0_usize..3;
    proptest::prop_oneof![
        (0_u8..5).prop_map(Step::Write),
        (0_u8..5).prop_map(Step::Delete),
        proptest::prelude::Just(Step::Bookmark),
        (replica(), any::<sample::Index>()).prop_map(|(r, i)| Step::Send(r, i)),
        (replica(), any::<sample::Index>()).prop_map(|(r, i)| Step::Deliver(r, i)),
        (replica(), any::<sample::Index>()).prop_map(|(r, i)| Step::Deliver(r, i)),
        (replica(), replica()).prop_map(|(a, b)| Step::Exchange(a, b)),
    ]
}

proptest! {
    /// Late and repeated deltas, and deltas from stale peers, must not revert a store,
    /// lose a change or restore a deleted object.
    #[test]
    fn replicas_agree_with_the_source(steps in collection::vec(step(), 1..200)) {
        let mut history = vec![Store::default()];
        let mut replicas = vec![Store::default(); 3];
        let mut sent: Vec<Delta> = Vec::new();
        for step in steps {
            let mut source = history.last().unwrap().clone();
            let next = source.complete() + 1;
            let before: Vec<u64> = replicas.iter().map(Store::complete).collect();
            match step {
                Step::Write(n) => {
                    let e = entry(&format!("o{n}"), next, &format!("{next}"));
                    source.apply(change(next - 1, next, vec![e]));
                }
                Step::Delete(n) => {
                    source.apply(change(next - 1, next, vec![entry(&format!("o{n}"), next, "")]));
                }
                Step::Bookmark => {
                    source.apply(change(next - 1, next, Vec::new()));
                }
                Step::Send(r, at) => {
                    sent.extend(at.get(&history).delta(replicas[r].complete()));
                }
                Step::Exchange(a, b) => {
                    sent.extend(replicas[b].delta(replicas[a].complete()));
                }
                Step::Deliver(r, which) => {
                    if !sent.is_empty() {
                        replicas[r].apply(which.get(&sent).clone());
                    }
                }
            }
            if source.complete() == next {
                history.push(source);
            }
            for (replica, before) in replicas.iter().zip(before) {
                prop_assert!(replica.complete() >= before);
                let at = usize::try_from(replica.complete()).unwrap();
                prop_assert_eq!(live(replica), live(&history[at]));
            }
        }
    }
}

/// A stale delta, for example from a coordinator that was paused, must not
/// revert an object or restore a deleted one.
#[test]
fn stale_delta_changes_nothing() {
    let mut store = Store::default();
    store.apply(change(0, 5, vec![entry("a", 5, "new"), entry("b", 4, "")]));
    let before = live(&store);
    assert_eq!(
        store.apply(change(0, 3, vec![entry("a", 3, "old")])),
        Outcome::Stale
    );
    let overlapping = change(2, 6, vec![entry("a", 3, "old"), entry("b", 3, "old")]);
    assert_eq!(store.apply(overlapping), Outcome::Advanced);
    assert_eq!(live(&store), before);
    assert_eq!(
        store.apply(change(7, 9, vec![entry("c", 8, "x")])),
        Outcome::Gap
    );
    assert_eq!(store.complete(), 6);
}

/// The number of tombstones must be bounded. A store that lacks a deletion whose
/// tombstone was pruned must get a snapshot, because a delta would omit the deletion.
#[test]
fn pruned_tombstones_lead_to_a_snapshot() {
    let mut store = Store::default();
    store.apply(change(0, 1, vec![entry("kept", 1, "x")]));
    let mut behind = store.clone();
    behind.apply(change(1, 2, vec![entry("n0", 2, "x")]));
    let count = 2 * MAX_TOMBSTONES as u64;
    for n in 0..count {
        let at = store.complete();
        store.apply(change(
            at,
            at + 1,
            vec![entry(&format!("n{n}"), at + 1, "x")],
        ));
        store.apply(change(
            at + 1,
            at + 2,
            vec![entry(&format!("n{n}"), at + 2, "")],
        ));
    }
    assert!(store.entries(Kind::Drain).len() <= MAX_TOMBSTONES + 1);
    let delta = store.delta(behind.complete()).unwrap();
    assert!(delta.snapshot);
    behind.apply(delta);
    assert_eq!(live(&behind), vec![entry("kept", 1, "x")]);
    let recent = store.delta(store.complete() - 2).unwrap();
    assert!(!recent.snapshot && recent.entries.len() == 1);
}

/// An object whose latest revision is invalid must keep its last valid revision,
/// and must not prevent the view from being built.
#[test]
fn invalid_object_keeps_its_last_valid_revision() {
    let json = |revision: u64, spec: &str| {
        format!(
            r#"{{"kind":"Drain","metadata":{{"name":"vm-1","revision":{revision}}},"spec":{spec}}}"#
        )
    };
    let mut store = Store::default();
    store.apply(change(
        0,
        1,
        vec![entry("vm-1", 1, &json(1, r#"{"reason":"a"}"#))],
    ));
    let (first, invalid_objects) = view::build(&store, &View::default());
    assert!(invalid_objects.is_empty());
    store.apply(change(
        1,
        2,
        vec![entry("vm-1", 2, &json(2, r#"{"raeson":"b"}"#))],
    ));
    let (second, invalid_objects) = view::build(&store, &first);
    assert_eq!(second.complete, 2);
    assert_eq!(second.drains[0].spec.reason, "a");
    assert!(invalid_objects[0].reason.contains("raeson"));
    store.apply(change(2, 3, vec![entry("vm-1", 3, "")]));
    let (third, invalid_objects) = view::build(&store, &second);
    assert!(third.drains.is_empty() && invalid_objects.is_empty());
}

/// Parts must be reassembled to the delta that was split, and a part of another
/// delta must be rejected.
#[test]
fn parts_are_reassembled_to_one_delta() {
    let big = "x".repeat(parts::PART_BYTES);
    let entries: Vec<_> = (1..=5).map(|n| entry(&format!("o{n}"), n, &big)).collect();
    let whole = change(0, 5, entries);
    let split = parts::split(&whole, None);
    assert!(split.len() > 2);
    let mut assembler = parts::Assembler::default();
    for part in &split {
        assembler.add(part.clone()).unwrap();
    }
    let mut other = split[0].clone();
    other.to = 6;
    assert_eq!(assembler.add(other), Err(parts::Error::MixedDeltas));
    assert_eq!(assembler.finish(), Some(whole));
}
