//! When a refused caller is told to come back.
//!
//! Load pattern: a crowd larger than all places is refused within one second. Told the
//! same time, it returns as one burst and most are refused again; told to return at
//! once, it adds to the crowd. So the returns are spread over the time in which places
//! free up, further out the larger the share of refusals is.
//!
//! A second pattern: for some seconds no target serves at all, as while new weights travel.
//! Callers arrive evenly meanwhile; whoever returns early is refused again. So each returns
//! as late as it is willing, and the returns stay as even as the arrivals were.

use std::time::{Duration, Instant};

/// Shortest wait before a return.
const LEAST: Duration = Duration::from_millis(250);
/// Longest wait before a return.
const MOST: Duration = Duration::from_millis(2_500);
/// Part of the range over which even a few refused callers are spread.
const LEAST_SPREAD: f64 = 0.1;
/// Part of the range over which callers are spread while no target serves.
const CLOSED_SPREAD: f64 = 0.15;
/// Part of the remaining time that callers are willing to wait, by the users' protocol.
const WILLING: f64 = 1.0 / 3.0;
/// Time over which refusals are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Recent requests of one service at this gateway.
#[derive(Clone, Debug)]
pub struct RefusalRate {
    start: Instant,
    served: [f64; 2],
    refused: [f64; 2],
}

impl RefusalRate {
    /// Nothing counted yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            served: [0.0; 2],
            refused: [0.0; 2],
        }
    }

    /// Counts a request that found a place, or one that didn't.
    pub fn record(&mut self, is_served: bool, now: Instant) {
        self.roll(now);
        let counts = if is_served {
            &mut self.served
        } else {
            &mut self.refused
        };
        counts[0] += 1.0;
    }

    /// Share of recent requests that were refused, 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        let refused: f64 = self.refused.iter().sum();
        let all = refused + self.served.iter().sum::<f64>();
        if all == 0.0 { 0.0 } else { refused / all }
    }

    /// Time after which a refused caller should return. `draw` is uniform in 0..1 and
    /// spreads the returns; `left` is what remains of the caller's time.
    #[must_use]
    pub fn retry_after(&self, left: Duration, draw: f64) -> Duration {
        let (least, range) = Self::range(left);
        // At a small share of refusals, places free up at once; at a large one, only the
        // end of what callers accept gives them a better chance.
        let span = range.mul_f64(self.share().max(LEAST_SPREAD));
        let first = least + range.saturating_sub(span).mul_f64(self.share());
        first + span.mul_f64(draw)
    }

    /// Time after which a caller should return that was refused because no target serves.
    /// `draw` and `left` are those of [`Self::retry_after`].
    #[must_use]
    pub fn retry_after_outage(left: Duration, draw: f64) -> Duration {
        let (least, range) = Self::range(left);
        least + range.mul_f64(1.0 - CLOSED_SPREAD * draw)
    }

    /// Shortest wait and what may be added to it.
    fn range(left: Duration) -> (Duration, Duration) {
        let most = left.mul_f64(WILLING).min(MOST);
        let least = LEAST.min(most);
        (least, most.saturating_sub(least))
    }

    fn roll(&mut self, now: Instant) {
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
