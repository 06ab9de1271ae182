//! Prompts that an engine has accepted and not read yet.
//!
//! Load pattern: long prompts delay the short ones behind them, and an engine whose machine is
//! shared turns slower by a factor for half a second. The unread work is kept in time at the
//! usual pace, so that a change of pace changes the wait at once and in both directions.

use std::time::{Duration, Instant};

/// Largest factor by which an engine counts as slower than usual.
const MAX_PACE: f64 = 20.0;

/// Unread prompts of one engine.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::backlog::Backlog;
///
/// let now = Instant::now();
/// let ms = Duration::from_millis;
/// let mut backlog = Backlog::default();
/// backlog.add(ms(100), now);
/// backlog.set_pace(2.0, now + ms(40));
/// assert_eq!(backlog.left(now + ms(40)), ms(120));
/// assert_eq!(backlog.left(now + ms(100)), ms(60));
/// backlog.set_pace(1.0, now + ms(100));
/// assert_eq!(backlog.left(now + ms(100)), ms(30));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Work that was left at `at`, as time at the usual pace.
    work: Duration,
    at: Option<Instant>,
    pace: f64,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            work: Duration::ZERO,
            at: None,
            pace: 1.0,
        }
    }
}

impl Backlog {
    /// Factor by which the engine is slower than usual.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Sets the factor by which the engine is slower than usual; a value that can't be one
    /// counts as 1. Returns the factor in use.
    pub fn set_pace(&mut self, pace: f64, now: Instant) -> f64 {
        self.settle(now);
        self.pace = if pace.is_finite() && pace > 0.0 {
            pace.clamp(1.0 / MAX_PACE, MAX_PACE)
        } else {
            1.0
        };
        self.pace
    }

    /// Adds a prompt that takes `work` to read at the usual pace.
    pub fn add(&mut self, work: Duration, now: Instant) {
        self.settle(now);
        self.work = self.work.saturating_add(work);
    }

    /// Time until all prompts are read, if the pace stays as it is.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        self.work_left(now).mul_f64(self.pace)
    }

    /// Records that nothing was read since `since`, because the engine was silent.
    pub fn skip(&mut self, since: Instant, now: Instant) {
        self.settle(since);
        self.at = self.at.max(Some(now));
    }

    /// Forgets all prompts.
    pub fn clear(&mut self) {
        self.work = Duration::ZERO;
    }

    fn settle(&mut self, now: Instant) {
        self.work = self.work_left(now);
        self.at = self.at.max(Some(now));
    }

    fn work_left(&self, now: Instant) -> Duration {
        let Some(at) = self.at else { return self.work };
        let passed = now.saturating_duration_since(at);
        self.work.saturating_sub(passed.div_f64(self.pace))
    }
}
