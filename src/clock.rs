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
