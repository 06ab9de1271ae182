use bytes::Bytes;
use proptest::prelude::*;

use super::{MAX_EVENT_BYTES, Splitter};

fn stream(events: &[String]) -> Vec<u8> {
    let lines = events.iter().enumerate();
    let bytes = lines.flat_map(|(i, data)| format!("id: {i}\ndata: {data}\n\n").into_bytes());
    bytes.collect()
}

proptest! {
    /// Guards against partial events: however the stream is split into pieces, exactly its
    /// complete events are forwarded, in order.
    #[test]
    fn only_complete_events_are_forwarded(
        events in proptest::collection::vec("[a-z]{0,12}", 1..8),
        cuts in proptest::collection::vec(1_usize..9, 1..60),
    ) {
        let bytes = stream(&events);
        let mut splitter = Splitter::after(None);
        let mut forwarded = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            let complete = splitter.push(&Bytes::copy_from_slice(part)).unwrap_or_default();
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            forwarded.extend_from_slice(&complete);
        }
        prop_assert_eq!(forwarded, bytes);
        prop_assert!(splitter.is_complete());
        prop_assert_eq!(splitter.last_id(), Some(events.len() as u64 - 1));
    }
}

/// Guards against resuming a stream after an event that arrived only in part.
#[test]
fn partial_event_does_not_count() {
    let mut splitter = Splitter::after(Some(4));
    let complete = splitter.push(&Bytes::from_static(b"id: 5\ndata: x\n\nid: 6\nda"));
    assert_eq!(complete.as_deref(), Some(&b"id: 5\ndata: x\n\n"[..]));
    assert_eq!(splitter.last_id(), Some(5));
    assert!(!splitter.is_complete());
}

/// Guards against a stalled target that sends a comment now and then and counts as sound: a
/// comment alone is no answer, but stays part of the body.
#[test]
fn comments_are_held_back_until_the_next_event() {
    let mut splitter = Splitter::after(None);
    for _ in 0..3 {
        let forwarded = splitter.push(&Bytes::from_static(b": wait\n\n"));
        assert_eq!(forwarded.as_deref(), Some(&b""[..]));
        assert!(splitter.is_complete());
    }
    let forwarded = splitter.push(&Bytes::from_static(b"id: 1\ndata: x\n\n: e"));
    let expected = b": wait\n\n: wait\n\n: wait\n\nid: 1\ndata: x\n\n";
    assert_eq!(forwarded.as_deref(), Some(&expected[..]));
    assert!(!splitter.is_complete());
    let forwarded = splitter.push(&Bytes::from_static(b"nd\n\n"));
    assert_eq!(forwarded.as_deref(), Some(&b""[..]));
    assert_eq!(splitter.take_comments().as_ref(), b": end\n\n");
    assert!(splitter.is_complete());
}

/// Guards against a stream that ends before its caller's limit because its target sends comments
/// without a pause: they counted as one event that is too long.
#[test]
fn comments_without_an_event_are_no_event_that_is_too_long() {
    let mut splitter = Splitter::default();
    let comments = Bytes::from(": wait\n\n".repeat(16 * 1024));
    let mut pushes = 0;
    while !splitter.is_full() {
        assert!(splitter.push(&comments).is_some_and(|e| e.is_empty()));
        pushes += 1;
    }
    assert!(pushes * comments.len() <= MAX_EVENT_BYTES + comments.len());
}
