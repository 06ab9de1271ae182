//! Adaptive limit of concurrent requests from this entry to one target.
//!
//! The limit grows while answers begin as fast as the target's best recent
//! ones, and shrinks when they begin late while requests wait in the target.

use std::time::{Duration, Instant};

/// Limit of a target that is not known yet.
const START: f64 = 8.0;
/// Lowest limit; a target always gets one request, so that it can recover.
const LOWEST: f64 = 1.0;
/// Highest limit.
const HIGHEST: f64 = 512.0;
/// Factor of a reduction.
const CUT: f64 = 0.85;
/// Shortest time between two reductions, so that the answers to requests that
/// were sent before a reduction do not cause another one.
const CUT_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a best answer counts; twice this time at most.
const WINDOW: Duration = Duration::from_secs(15);
/// An answer that begins later than this multiple of the best one, and
/// [`MARGIN`], is late.
const LATE_FACTOR: f64 = 2.5;
/// Added to the bound of late answers, against noise of short ones, seconds.
const MARGIN: f64 = 0.02;
/// Share of the limit that must be in use for it to grow.
const USED: f64 = 0.8;

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    best: f64,
    previous: f64,
    window: Instant,
    cut_at: Option<Instant>,
    /// Pressure in the target; `None` when it does not report load.
    pressure: Option<Pressure>,
}

/// Whether requests wait in a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pressure {
    /// None wait, so slots may be idle.
    Low,
    /// Some wait, and make requests of other accounts wait that come later.
    High,
}

impl Pressure {
    /// Any waiting request counts. Half as many as run were allowed in a trial:
    /// goodput rose, but quiet accounts had up to 29 % of their requests
    /// refused under a flood (docs/MEASUREMENTS-requests.md).
    fn of(waiting: u32) -> Self {
        if waiting == 0 { Self::Low } else { Self::High }
    }
}

impl Limiter {
    /// Limiter of a new target.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            limit: START,
            best: f64::INFINITY,
            previous: f64::INFINITY,
            window: now,
            cut_at: None,
            pressure: None,
        }
    }

    /// Requests that may be in flight.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Takes the target's report of its load into account.
    pub fn on_report(&mut self, waiting: u32, now: Instant) {
        let pressure = Pressure::of(waiting);
        self.pressure = Some(pressure);
        if pressure == Pressure::High {
            self.cut(now);
        }
    }

    /// An answer began `took` after its request was sent, while `in_flight`
    /// requests were in flight.
    #[allow(clippy::cast_precision_loss)]
    pub fn on_first_byte(&mut self, took: Duration, in_flight: usize, now: Instant) {
        let took = took.as_secs_f64();
        if now.saturating_duration_since(self.window) > WINDOW {
            self.previous = std::mem::replace(&mut self.best, f64::INFINITY);
            self.window = now;
        }
        self.best = self.best.min(took);
        let late = took > self.best.min(self.previous) * LATE_FACTOR + MARGIN;
        // Long prompts begin late as well, so the target's report decides when
        // there is one.
        let overloaded = late && self.pressure.is_none();
        let open = self.pressure.is_none_or(|p| p == Pressure::Low);
        if overloaded {
            self.cut(now);
        } else if open && in_flight as f64 >= self.limit * USED {
            self.limit = (self.limit + 1.0 / self.limit).min(HIGHEST);
        }
    }

    /// The target refused a request because it is full, or did not answer.
    pub fn on_overload(&mut self, now: Instant) {
        self.cut(now);
    }

    fn cut(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < CUT_INTERVAL;
        if self.cut_at.is_some_and(recent) {
            return;
        }
        self.cut_at = Some(now);
        self.limit = (self.limit * CUT).max(LOWEST);
    }
}
