use bytes::Bytes;
use proptest::prelude::*;

use super::Splitter;

fn stream(events: &[String]) -> Vec<u8> {
    let lines = events.iter().enumerate();
    let bytes = lines.flat_map(|(i, data)| format!("id: {i}\ndata: {data}\n\n").into_bytes());
    bytes.collect()
}

proptest! {
    /// Guards against torn events at a break: whatever the pieces in which a stream
    /// arrives, only whole events are passed on, all of them and in order.
    #[test]
    fn only_whole_events_are_passed_on(
        events in proptest::collection::vec("[a-z]{0,12}", 1..8),
        cuts in proptest::collection::vec(1_usize..9, 1..60),
    ) {
        let bytes = stream(&events);
        let mut splitter = Splitter::after(None);
        let mut passed = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            let whole = splitter.push(&Bytes::copy_from_slice(part)).unwrap_or_default();
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend_from_slice(&whole);
        }
        prop_assert_eq!(passed, bytes);
        prop_assert!(splitter.is_whole());
        prop_assert_eq!(splitter.last(), Some(events.len() as u64 - 1));
    }
}

/// Guards against resuming after an event of which only a part arrived.
#[test]
fn event_in_part_does_not_count() {
    let mut splitter = Splitter::after(Some(4));
    let whole = splitter.push(&Bytes::from_static(b"id: 5\ndata: x\n\nid: 6\nda"));
    assert_eq!(whole.as_deref(), Some(&b"id: 5\ndata: x\n\n"[..]));
    assert_eq!(splitter.last(), Some(5));
    assert!(!splitter.is_whole());
}
