//! Decides until when a stopping gateway accepts connections and which requests it still serves.
//!
//! Load pattern: the balancer gives a gateway new connections until two of its probes have failed,
//! and some callers send their first request seconds after they connected. What such a request
//! asks for can last longer than the process has left, and other gateways are free to serve it.

use std::time::{Duration, Instant};

/// Time from the signal until no new connections are accepted. Two readiness probes, one second
/// apart, must fail before that.
const ACCEPT_GRACE: Duration = Duration::from_secs(3);
/// Share of the time for new connections in which all requests are served. The process may handle
/// the signal late, and a request counts by when it was sent after the signal.
const SERVE_SHARE: f64 = 5.0 / 6.0;
/// Time before the stop limit at which the process exits although connections are open.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Times of a gateway's planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    accept_end: Instant,
    serve_end: Instant,
    exit: Instant,
}

impl Shutdown {
    /// Plans the stop of a process that was told at `now` and must have exited `limit` later.
    #[must_use]
    pub fn new(now: Instant, limit: Duration) -> Self {
        let grace = ACCEPT_GRACE.min(limit / 2);
        Self {
            accept_end: now + grace,
            serve_end: now + grace.mul_f64(SERVE_SHARE),
            exit: now + limit.saturating_sub(EXIT_MARGIN),
        }
    }

    /// When no new connections are accepted and idle ones are closed.
    #[must_use]
    pub fn accept_end(&self) -> Instant {
        self.accept_end
    }

    /// When the process exits, whatever is in progress.
    #[must_use]
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// Whether a request that was read at `now` and ends by `end` is served. A late one is only
    /// if its answer is complete before the process exits.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use corianderramp::place::shutdown::Shutdown;
    ///
    /// let told = Instant::now();
    /// let after = |ms| told + Duration::from_millis(ms);
    /// let shutdown = Shutdown::new(told, Duration::from_secs(8));
    /// assert!(shutdown.may_serve(after(500), after(6_500)));
    /// assert!(!shutdown.may_serve(after(3_200), after(9_200)));
    /// assert!(shutdown.may_serve(after(3_200), after(4_700)));
    /// ```
    #[must_use]
    pub fn may_serve(&self, now: Instant, end: Instant) -> bool {
        now < self.serve_end || end <= self.exit
    }
}
