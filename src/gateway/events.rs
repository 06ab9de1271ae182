//! Splits a server-sent event stream so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event, bytes; engines send none that are longer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event stream until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Bytes of an incomplete event.
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with id `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns all complete events, possibly none; `None` if an event is too
    /// long.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return None;
        }
        let end = events_end(&self.buffer);
        let complete = self.buffer.split_to(end).freeze();
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// End of the last complete event; an empty line ends an event.
fn events_end(bytes: &[u8]) -> usize {
    let found = (0..bytes.len()).rev().find(|&i| {
        bytes[i] == b'\n' && (bytes[..i].ends_with(b"\n") || bytes[..i].ends_with(b"\n\r"))
    });
    found.map_or(0, |i| i + 1)
}

/// Id of the last event that has one.
fn find_last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}

#[cfg(test)]
#[path = "events_test.rs"]
mod test;
