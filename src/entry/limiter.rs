//! Adaptive limit of concurrent requests from this entry to one target.
//!
//! For a target that reports its load, the limit shrinks while requests wait in
//! the target's queue and grows while none do. Without load reports, it shrinks
//! when responses start late compared with the fastest recent ones, and grows
//! otherwise. It grows only while most of it is in use.

use std::time::{Duration, Instant};

/// Limit of a new target.
const INITIAL_LIMIT: f64 = 8.0;
/// Lowest limit. A target always gets one request, so that its limit can grow
/// again.
const MIN_LIMIT: f64 = 1.0;
/// Highest limit.
const MAX_LIMIT: f64 = 512.0;
/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.85;
/// Shortest time between two decreases, so that responses to requests that were
/// sent before a decrease don't cause another one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Length of the window in which the fastest response is tracked; the previous
/// window counts too.
const BASELINE_WINDOW: Duration = Duration::from_secs(15);
/// A response is late if it takes longer than the fastest recent one multiplied
/// by this factor, plus [`LATE_MARGIN_S`].
const LATE_FACTOR: f64 = 2.5;
/// Margin that keeps noise in short responses from counting as late, seconds.
const LATE_MARGIN_S: f64 = 0.02;
/// Fraction of the limit that must be in use for it to grow.
const MIN_UTILIZATION: f64 = 0.8;

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    fastest: f64,
    previous_fastest: f64,
    window_start: Instant,
    decreased_at: Option<Instant>,
    /// Reported by the target; `None` when it does not report load.
    backlog: Option<Backlog>,
}

/// Whether requests wait in the target's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Backlog {
    /// No request waits, so slots may be idle.
    Empty,
    /// Requests wait, and delay those of other accounts that arrive later.
    Waiting,
}

impl Backlog {
    /// Any waiting request counts as a backlog. Allowing half as many waiting
    /// as running requests raised goodput, but quiet accounts then had up to
    /// 29 % of their requests refused while another account flooded the target
    /// (docs/MEASUREMENTS-requests.md).
    fn of(waiting: u32) -> Self {
        if waiting == 0 {
            Self::Empty
        } else {
            Self::Waiting
        }
    }
}

impl Limiter {
    /// Creates the limiter of a new target.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            fastest: f64::INFINITY,
            previous_fastest: f64::INFINITY,
            window_start: now,
            decreased_at: None,
            backlog: None,
        }
    }

    /// Number of requests that may be in flight.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Updates the limit from a load report of the target.
    pub fn on_report(&mut self, waiting: u32, now: Instant) {
        let backlog = Backlog::of(waiting);
        self.backlog = Some(backlog);
        if backlog == Backlog::Waiting {
            self.decrease(now);
        }
    }

    /// Updates the limit when a response starts, `took` after its request was
    /// sent, with `in_flight` requests in flight.
    #[allow(clippy::cast_precision_loss)]
    pub fn on_first_byte(&mut self, took: Duration, in_flight: usize, now: Instant) {
        let took = took.as_secs_f64();
        if now.saturating_duration_since(self.window_start) > BASELINE_WINDOW {
            self.previous_fastest = std::mem::replace(&mut self.fastest, f64::INFINITY);
            self.window_start = now;
        }
        self.fastest = self.fastest.min(took);
        let late = took > self.fastest.min(self.previous_fastest) * LATE_FACTOR + LATE_MARGIN_S;
        // Long prompts delay the first byte too, so load reports take
        // precedence over lateness when the target sends them.
        let overloaded = late && self.backlog.is_none();
        let may_grow = self.backlog.is_none_or(|b| b == Backlog::Empty);
        if overloaded {
            self.decrease(now);
        } else if may_grow && in_flight as f64 >= self.limit * MIN_UTILIZATION {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Decreases the limit after the target refused a request as full or did
    /// not respond in time.
    pub fn on_overload(&mut self, now: Instant) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < DECREASE_INTERVAL;
        if self.decreased_at.is_some_and(recent) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
