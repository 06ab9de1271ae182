//! Budget of retries: a share of recent requests, so that retries can't
//! multiply an overload.

use std::time::{Duration, Instant};

/// Share of requests that may be retried.
const SHARE: f64 = 0.1;
/// Retries that are allowed in a window with few requests.
const FLOOR: f64 = 20.0;
/// Time that requests count.
const WINDOW: Duration = Duration::from_secs(10);

/// Requests and retries of the current and the previous window.
#[derive(Clone, Debug)]
pub struct Budget {
    start: Instant,
    requests: [f64; 2],
    retries: [f64; 2],
}

impl Budget {
    /// Empty budget.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            requests: [0.0; 2],
            retries: [0.0; 2],
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.roll(now);
        self.requests[0] += 1.0;
    }

    /// Takes a retry out of the budget, if there is one left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.roll(now);
        let requests: f64 = self.requests.iter().sum();
        let retries: f64 = self.retries.iter().sum();
        let allowed = retries + 1.0 <= (requests * SHARE).max(FLOOR);
        if allowed {
            self.retries[0] += 1.0;
        }
        allowed
    }

    fn roll(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        if age < WINDOW {
            return;
        }
        let recent = age < WINDOW * 2;
        let shift = |w: [f64; 2]| if recent { [0.0, w[0]] } else { [0.0; 2] };
        self.requests = shift(self.requests);
        self.retries = shift(self.retries);
        self.start = now;
    }
}
