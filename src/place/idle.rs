//! Time for which idle connections of callers stay open.
//!
//! Callers reuse a connection until shortly before the idle limit. When a new configuration
//! changes the limit, they do so under the old or the new one until they know it, so the longer
//! of the two applies meanwhile. A connection that is closed earlier meets requests on their way.

use std::time::{Duration, Instant};

/// Idle limit in force.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    limit: Duration,
    /// Longer limit that callers may still know, and until when.
    former: Option<(Duration, Instant)>,
}

impl Limit {
    /// Creates a limit.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            former: None,
        }
    }

    /// Sets the limit of a new configuration, which callers know `delay` after `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use corianderramp::place::idle::Limit;
    ///
    /// let now = Instant::now();
    /// let (short, long) = (Duration::from_secs(5), Duration::from_secs(15));
    /// let mut idle = Limit::new(long);
    /// idle.set(short, now, Duration::from_secs(2));
    /// assert_eq!(idle.current(now), long);
    /// assert_eq!(idle.current(now + Duration::from_secs(2)), short);
    /// ```
    pub fn set(&mut self, limit: Duration, now: Instant, delay: Duration) {
        if limit == self.limit {
            return;
        }
        let current = self.current(now);
        self.former = (limit < current).then_some((current, now + delay));
        self.limit = limit;
    }

    /// Returns the limit at `now`.
    #[must_use]
    pub fn current(&self, now: Instant) -> Duration {
        match self.former {
            Some((former, until)) if now < until => former,
            _ => self.limit,
        }
    }

    /// Returns when the limit changes by itself after `now`; `None` if it doesn't.
    #[must_use]
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let (_, until) = self.former?;
        (until > now).then_some(until)
    }
}
