//! Paces transfers on a link that requests share.
//!
//! Load pattern: a new version goes to all targets at once while they serve. Chunks sent
//! as fast as the link takes them fill its queue, and the first events of requests wait
//! behind them past their objective. A chunk that only one host has yet is asked for by
//! many at once: sent side by side its copies would all arrive at the end, sent one after
//! the other the first are passed on long before.

use std::time::{Duration, Instant};

/// Rate limit that sends one item after the other.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Bytes in a second.
    rate: f64,
    /// When the link is free again.
    next: Instant,
    /// When the urgent items are sent.
    urgent: Instant,
}

/// Time of an item on the link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendWindow {
    /// When its first byte may be sent.
    pub begin: Instant,
    /// When its last byte may be sent.
    pub end: Instant,
}

impl SendWindow {
    /// When the byte at `position` of `length` bytes may be sent.
    #[must_use]
    pub fn send_time(&self, position: usize, length: usize) -> Instant {
        // Items are far below the precision of a double.
        #[allow(clippy::cast_precision_loss)]
        let part = position as f64 / length.max(1) as f64;
        self.begin + (self.end - self.begin).mul_f64(part)
    }
}

impl Pacer {
    /// Pacer for a link with `mbps` megabits a second.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use corianderramp::place::pace::Pacer;
    ///
    /// let now = Instant::now();
    /// let mut pacer = Pacer::new(8.0, now);
    /// assert_eq!(pacer.reserve(5_000, 0.5, now).begin, now);
    /// let second = pacer.reserve(5_000, 0.5, now);
    /// assert_eq!(second.begin, now + Duration::from_millis(10));
    /// assert_eq!(second.send_time(2_500, 5_000), now + Duration::from_millis(15));
    /// ```
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> Self {
        Self {
            rate: mbps * 1e6 / 8.0,
            next: now,
            urgent: now,
        }
    }

    /// Time until the link is free.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> Duration {
        self.next.saturating_duration_since(now)
    }

    /// Slot of an item of `bytes`, after all others, if items take `share` of the link.
    pub fn reserve(&mut self, bytes: usize, share: f64, now: Instant) -> SendWindow {
        let begin = self.next.max(now);
        self.next = begin + self.takes(bytes, share);
        SendWindow {
            begin,
            end: self.next,
        }
    }

    /// Slot of a short item that does not wait for the others; they are sent later instead.
    pub fn reserve_urgent(&mut self, bytes: usize, share: f64, now: Instant) -> SendWindow {
        let begin = self.urgent.max(now);
        let takes = self.takes(bytes, share);
        self.urgent = begin + takes;
        self.next = self.next.max(now) + takes;
        SendWindow {
            begin,
            end: self.urgent,
        }
    }

    fn takes(&self, bytes: usize, share: f64) -> Duration {
        // Items are far below the precision of a double.
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        Duration::from_secs_f64(bytes / (self.rate * share))
    }
}
