//! Tells whether responses are arriving, so that a slow link can be told from a silent peer.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Responses whose head has arrived and whose body has not yet, shared by connections.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of responses that are not complete.
    open: usize,
    /// When a part of one last arrived.
    last: Option<Instant>,
    /// When the last one was complete that took long.
    ended: Option<Instant>,
}

/// Time that a body takes that is large for its link.
const LONG: Duration = Duration::from_millis(100);

impl Arrivals {
    /// Records that the head of a response has arrived, whose body ends when the result is dropped.
    #[must_use]
    pub fn begin(&self) -> Arrival {
        self.state.lock().open += 1;
        self.record();
        Arrival {
            arrivals: self.clone(),
            begun: Instant::now(),
        }
    }

    fn record(&self) {
        self.state.lock().last = Some(Instant::now());
    }

    /// Whether the head of a response has arrived whose body is not complete.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.lock().open > 0
    }

    /// Whether a response is arriving, and a part of it has come within the time `stall`. One that
    /// took long counts for that time after its end, until the next call shows what came meanwhile.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::net::arrivals::Arrivals;
    ///
    /// let arrivals = Arrivals::default();
    /// let stall = Duration::from_secs(60);
    /// assert!(!arrivals.is_active(stall));
    /// let arrival = arrivals.begin();
    /// assert!(arrivals.is_active(stall));
    /// assert!(!arrivals.is_active(Duration::ZERO));
    /// drop(arrival);
    /// assert!(!arrivals.is_active(stall));
    /// ```
    #[must_use]
    pub fn is_active(&self, stall: Duration) -> bool {
        let state = self.state.lock();
        let is_arriving = state.open > 0 && state.last.is_some_and(|last| last.elapsed() < stall);
        is_arriving || state.ended.is_some_and(|ended| ended.elapsed() < stall)
    }
}

/// Body of a response that is arriving.
#[derive(Debug)]
pub struct Arrival {
    arrivals: Arrivals,
    begun: Instant,
}

impl Arrival {
    /// Records that a part of the body has arrived.
    pub fn record(&self) {
        self.arrivals.record();
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let mut state = self.arrivals.state.lock();
        state.open -= 1;
        if self.begun.elapsed() >= LONG {
            state.ended = Some(Instant::now());
        }
    }
}
