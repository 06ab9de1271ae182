//! Paces transfers on a link that requests share.
//!
//! Load pattern: a new version goes to all targets at once while they serve. Chunks sent
//! as fast as the link takes them fill its queue, and the first events of requests wait
//! behind them past their objective.

use std::time::{Duration, Instant};

/// Rate limit that sends at most one slice ahead of its rate.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes in a second.
    rate: f64,
    /// When the link is free again.
    next: Instant,
}

impl Pace {
    /// Pace on a link with `mbps` megabits a second.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use corianderramp::place::pace::Pace;
    ///
    /// let now = Instant::now();
    /// let mut pace = Pace::new(8.0, now);
    /// assert_eq!(pace.reserve(5_000, 0.5, now), Duration::ZERO);
    /// assert_eq!(pace.reserve(5_000, 0.5, now), Duration::from_millis(10));
    /// ```
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> Self {
        Self {
            rate: mbps * 1e6 / 8.0,
            next: now,
        }
    }

    /// Time to wait before `bytes` may be sent, if transfers take `share` of the link.
    pub fn reserve(&mut self, bytes: usize, share: f64, now: Instant) -> Duration {
        let begin = self.next.max(now);
        // Slices are far below the precision of a double.
        #[allow(clippy::cast_precision_loss)]
        let takes = Duration::from_secs_f64(bytes as f64 / (self.rate * share));
        self.next = begin + takes;
        begin.saturating_duration_since(now)
    }
}
