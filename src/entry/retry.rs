//! Retry budget: limits retries to a fraction of recent requests, so that they
//! can't multiply an overload.

use std::time::{Duration, Instant};

/// Retries allowed per recent request.
const RETRY_RATIO: f64 = 0.1;
/// Retries that are always allowed, however few requests there were.
const MIN_RETRIES: f64 = 20.0;
/// Length of one of the two windows that count as recent.
const WINDOW: Duration = Duration::from_secs(10);

/// Counts of requests and retries in the current and the previous window.
#[derive(Clone, Debug)]
pub struct Budget {
    window_start: Instant,
    requests: [f64; 2],
    retries: [f64; 2],
}

impl Budget {
    /// Creates a budget without recorded requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            requests: [0.0; 2],
            retries: [0.0; 2],
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.requests[0] += 1.0;
    }

    /// Takes one retry from the budget; returns whether the retry is allowed.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let allowed = self.has_room(now);
        if allowed {
            self.retries[0] += 1.0;
        }
        allowed
    }

    /// Returns whether a retry is allowed now.
    pub fn has_room(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests: f64 = self.requests.iter().sum();
        let retries: f64 = self.retries.iter().sum();
        retries + 1.0 <= (requests * RETRY_RATIO).max(MIN_RETRIES)
    }

    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < WINDOW {
            return;
        }
        let recent = age < WINDOW * 2;
        let shift = |w: [f64; 2]| if recent { [0.0, w[0]] } else { [0.0; 2] };
        self.requests = shift(self.requests);
        self.retries = shift(self.retries);
        self.window_start = now;
    }
}
