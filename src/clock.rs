//! Clock abstraction, so that tests can control time.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

/// Monotonic and wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, for durations and deadlines.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, for values that other processes read.
    fn wall(&self) -> SystemTime;
}

/// Point in time by both clocks: the monotonic one stands still while the VM is suspended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// Monotonic time.
    pub now: Instant,
    /// Wall-clock time.
    pub wall: SystemTime,
}

impl Moment {
    /// Current time of `clock`.
    #[must_use]
    pub fn of(clock: &impl Clock) -> Self {
        Self {
            now: clock.now(),
            wall: clock.wall(),
        }
    }

    /// Time since `earlier`, by the clock that shows more.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::clock::{Manual, Moment};
    ///
    /// let clock = Manual::default();
    /// let start = Moment::of(&clock);
    /// clock.advance(Duration::from_secs(2));
    /// assert_eq!(Moment::of(&clock).since(start), Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        let wall = self.wall.duration_since(earlier.wall).unwrap_or_default();
        self.now.saturating_duration_since(earlier.now).max(wall)
    }

    /// Moment `time` later.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self {
            now: self.now + time,
            wall: self.wall + time,
        }
    }

    /// Moment `time` earlier; this one if the clocks don't reach back so far.
    #[must_use]
    pub fn before(self, time: Duration) -> Self {
        let earlier = self.now.checked_sub(time).zip(self.wall.checked_sub(time));
        earlier.map_or(self, |(now, wall)| Self { now, wall })
    }
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests that moves only when advanced; clones share the same time.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::clock::{self, Clock};
///
/// let manual = clock::Manual::default();
/// let start = manual.now();
/// manual.advance(Duration::from_secs(2));
/// assert_eq!(manual.now() - start, Duration::from_secs(2));
/// ```
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Moves the clock forward by `by`.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock() += by;
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Arc::default(),
        }
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.elapsed.lock()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.elapsed.lock()
    }
}
