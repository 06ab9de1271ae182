//! Splits an event stream so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// Longest event, bytes; a longer one is no event of an engine.
const MAX_EVENT: usize = 1024 * 1024;

/// Bytes of a stream up to the end of its last whole event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Splitter of a stream that continues after event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes in and returns those that complete events; `None` if an event is too long.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        self.rest.extend_from_slice(data);
        if self.rest.len() > MAX_EVENT {
            return None;
        }
        let end = boundary(&self.rest);
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Whether the stream stands at the end of an event.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }
}

/// End of the last event, which an empty line closes.
fn boundary(bytes: &[u8]) -> usize {
    let found = (0..bytes.len()).rev().find(|&i| {
        bytes[i] == b'\n' && (bytes[..i].ends_with(b"\n") || bytes[..i].ends_with(b"\n\r"))
    });
    found.map_or(0, |i| i + 1)
}

/// Id of the last event that has one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}

#[cfg(test)]
#[path = "events_test.rs"]
mod test;
