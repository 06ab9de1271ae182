//! Time after which a refused caller should retry.
//!
//! In an overload many callers are refused within a second. With one common retry time
//! they would come back as a burst and most would be refused again; with immediate retries
//! they would add to the overload. The retries are therefore spread over the time in which
//! slots become free, and are later the larger the share of refused requests is.
//!
//! All targets of a service may turn requests away for a time that they name. Callers that come
//! back before it ends are refused again; if all came right at its end, the targets in need would
//! get the requests of the whole pause at once. They are told the end, and spread after it.
//!
//! While new weights are transferred, no target may serve for some seconds. Callers that
//! retry early are refused again. Each therefore retries as late as it accepts, and the
//! retries stay as evenly spread as the first requests were.

use std::time::{Duration, Instant};

/// Shortest wait before a retry.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Longest wait before a retry.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Smallest share of the wait range over which retries are spread.
const MIN_SPREAD: f64 = 0.1;
/// Share of the wait range over which retries are spread while no target serves.
const OUTAGE_SPREAD: f64 = 0.15;
/// Share of their remaining time that callers accept as a wait, by the users' protocol.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Length of one counting window; the current and the previous window count.
const WINDOW: Duration = Duration::from_secs(2);

/// Counts of recently served and refused requests of this gateway.
#[derive(Clone, Debug)]
pub struct RefusalRate {
    /// Start of the current window.
    start: Instant,
    /// Served requests of the current and the previous window.
    served: [f64; 2],
    /// Refused requests, in the same order.
    refused: [f64; 2],
}

impl RefusalRate {
    /// Creates an empty count.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            served: [0.0; 2],
            refused: [0.0; 2],
        }
    }

    /// Counts a served or refused request.
    pub fn record(&mut self, is_served: bool, now: Instant) {
        self.rotate(now);
        let counts = if is_served {
            &mut self.served
        } else {
            &mut self.refused
        };
        counts[0] += 1.0;
    }

    /// Returns the share of recent requests that were refused, 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        let refused: f64 = self.refused.iter().sum();
        let all = refused + self.served.iter().sum::<f64>();
        if all == 0.0 { 0.0 } else { refused / all }
    }

    /// Returns the time after which a refused caller should retry. `left` is the time until
    /// the caller's deadline; `draw` is a uniform random number in 0..1 that spreads the
    /// retries.
    #[must_use]
    pub fn retry_after(&self, left: Duration, draw: f64) -> Duration {
        let (min, range) = Self::range(left);
        // With few refusals slots become free soon; with many, only a retry near the longest
        // accepted wait has a better chance.
        let span = range.mul_f64(self.share().max(MIN_SPREAD));
        let earliest = min + range.saturating_sub(span).mul_f64(self.share());
        earliest + span.mul_f64(draw)
    }

    /// Returns the time after which a caller should retry that was refused because no target wants
    /// requests for `pause`. `left` and `draw` are those of [`Self::retry_after`].
    #[must_use]
    pub fn retry_after_pause(&self, pause: Duration, left: Duration, draw: f64) -> Duration {
        let (_, range) = Self::range(left);
        pause + range.mul_f64(self.share().max(MIN_SPREAD) * draw)
    }

    /// Returns the time after which a caller should retry that was refused because no target
    /// serves. `left` and `draw` are those of [`Self::retry_after`].
    #[must_use]
    pub fn retry_after_outage(left: Duration, draw: f64) -> Duration {
        let (min, range) = Self::range(left);
        min + range.mul_f64(1.0 - OUTAGE_SPREAD * draw)
    }

    /// Shortest wait, and the longest extra wait on top of it.
    fn range(left: Duration) -> (Duration, Duration) {
        let max = left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
        let min = MIN_WAIT.min(max);
        (min, max.saturating_sub(min))
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        if age < WINDOW {
            return;
        }
        let keep = age < WINDOW * 2;
        let shift = |w: [f64; 2]| if keep { [0.0, w[0]] } else { [0.0; 2] };
        self.served = shift(self.served);
        self.refused = shift(self.refused);
        self.start = now;
    }
}
