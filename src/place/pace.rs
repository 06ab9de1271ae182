//! Rate limiter for chunk uploads on a link that also carries requests.
//!
//! A new version is uploaded to all targets while they serve. Chunks sent at full link rate
//! fill the link's queue, and the first events of answers miss their objective behind them.
//! Many hosts ask at once for a chunk that only one host has. Sent concurrently, all copies
//! would arrive at the end; sent one after the other, the first copies are forwarded early.

use std::time::{Duration, Instant};

/// Rate limiter that gives each item its own time window on the link, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Bytes per second.
    rate: f64,
    /// End of the last window.
    free_at: Instant,
    /// End of the last window of an urgent item.
    urgent_free_at: Instant,
}

/// Time window in which an item is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendWindow {
    /// When the first byte may be sent.
    pub begin: Instant,
    /// When the last byte may be sent.
    pub end: Instant,
}

impl SendWindow {
    /// Returns when the byte at `position` of an item of `length` bytes may be sent.
    #[must_use]
    pub fn send_time(&self, position: usize, length: usize) -> Instant {
        // Item sizes are far below 2^53 bytes, so the conversion is exact.
        #[allow(clippy::cast_precision_loss)]
        let part = position as f64 / length.max(1) as f64;
        self.begin + (self.end - self.begin).mul_f64(part)
    }
}

impl Pacer {
    /// Creates a limiter for a link of `mbps` megabits per second.
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
            free_at: now,
            urgent_free_at: now,
        }
    }

    /// Returns the time until all reserved windows have passed.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now)
    }

    /// Reserves a window for an item of `bytes` behind all others. Items use `share` of the
    /// link's rate, above 0 and up to 1.
    pub fn reserve(&mut self, bytes: usize, share: f64, now: Instant) -> SendWindow {
        let begin = self.free_at.max(now);
        self.free_at = begin + self.duration(bytes, share);
        SendWindow {
            begin,
            end: self.free_at,
        }
    }

    /// Reserves a window for a short item ahead of all items that are not urgent; later
    /// reservations are delayed by the time that it takes.
    pub fn reserve_urgent(&mut self, bytes: usize, share: f64, now: Instant) -> SendWindow {
        let begin = self.urgent_free_at.max(now);
        let duration = self.duration(bytes, share);
        self.urgent_free_at = begin + duration;
        self.free_at = self.free_at.max(now) + duration;
        SendWindow {
            begin,
            end: self.urgent_free_at,
        }
    }

    fn duration(&self, bytes: usize, share: f64) -> Duration {
        // Item sizes are far below 2^53 bytes, so the conversion is exact.
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        Duration::from_secs_f64(bytes / (self.rate * share))
    }
}
