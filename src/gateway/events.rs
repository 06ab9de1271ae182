//! Splits a server-sent event stream so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Longest event, bytes; engines send none that are longer.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event stream until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Comments that came alone, then bytes of an incomplete event.
    buffer: BytesMut,
    /// Length of the comments at the begin of `buffer`.
    comments: usize,
    /// Length of the part of `buffer` without an unread end of an event.
    scanned: usize,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with id `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns all complete events, possibly none; `None` if an event is too
    /// long. Comments are returned only together with an event.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() - self.comments > MAX_EVENT_BYTES {
            return None;
        }
        let end = events_end(&self.buffer, self.scanned);
        self.scanned = self.buffer.len();
        let Some(end) = end else {
            return Some(Bytes::new());
        };
        if is_comment(&self.buffer[self.comments..end]) {
            self.comments = end;
            return Some(Bytes::new());
        }
        let complete = self.buffer.split_to(end).freeze();
        self.comments = 0;
        self.scanned = self.buffer.len();
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.buffer.len() == self.comments
    }

    /// Returns whether so many comments came without an event that no more may be buffered.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.comments > MAX_EVENT_BYTES
    }

    /// Takes the comments that came after the last event, at the end of the stream.
    pub fn take_comments(&mut self) -> Bytes {
        let comments = self.buffer.split_to(self.comments).freeze();
        self.comments = 0;
        self.scanned = self.buffer.len();
        comments
    }
}

/// End of the last complete event, if it ends after the first `scanned` bytes; an empty line
/// ends an event.
fn events_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let found = (scanned..bytes.len()).rev().find(|&i| {
        bytes[i] == b'\n' && (bytes[..i].ends_with(b"\n") || bytes[..i].ends_with(b"\n\r"))
    });
    found.map(|i| i + 1)
}

/// Whether all lines are comments or empty.
fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|b| *b == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
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
