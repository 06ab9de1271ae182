//! Access log, metrics and service-level count of one request.

use std::time::{Duration, Instant};

use crate::burn::{self, Outcome as Quality};
use crate::clock::Clock;
use crate::protocol::Outcome;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The caller got the whole answer.
    Done,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The answer broke off after it had begun.
    Cut,
    /// The caller went away.
    CallerGone,
}

impl End {
    /// Value in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::CallerGone => "caller-gone",
        }
    }
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Done => Self::Done,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

/// Record of one request, written once at its end.
#[derive(Debug)]
pub struct Record<C: Clock> {
    clock: C,
    counter: burn::Counter,
    started: Instant,
    /// Identifier.
    pub id: String,
    /// Account; empty until known.
    pub account: String,
    /// Service; empty until known.
    pub service: String,
    /// VM of the last target.
    pub target: String,
    /// `model@version` of the last target.
    pub version: String,
    /// Number of times that the request was sent to a target.
    pub attempt: u32,
    /// HTTP status.
    pub status: u16,
    /// Code of an error.
    pub code: &'static str,
    /// Time to the first byte above which an answer is late.
    pub objective: Duration,
    first_byte: Option<Duration>,
    written: bool,
}

impl<C: Clock> Record<C> {
    /// Record of a request that just arrived.
    #[must_use]
    pub fn new(id: String, clock: C, counter: burn::Counter) -> Self {
        Self {
            started: clock.now(),
            clock,
            counter,
            id,
            account: String::new(),
            service: String::new(),
            target: String::new(),
            version: String::new(),
            attempt: 0,
            status: 0,
            code: "",
            objective: Duration::MAX,
            first_byte: None,
            written: false,
        }
    }

    /// The answer began.
    pub fn first_byte(&mut self) {
        self.first_byte = Some(self.elapsed());
    }

    /// The request ended; only the first call counts.
    pub fn finish(&mut self, end: End) {
        if std::mem::replace(&mut self.written, true) {
            return;
        }
        let elapsed = self.elapsed();
        self.log(end, elapsed);
        self.measure(end, elapsed);
        let client_error = (400..500).contains(&self.status) && self.status != 429;
        if self.service.is_empty() || self.account.is_empty() || client_error {
            return;
        }
        let late = self.first_byte.unwrap_or(elapsed) > self.objective;
        let quality = match end {
            End::Done if late => Quality::Late,
            End::Done => Quality::Good,
            End::NotRun => Quality::Refused,
            End::Unknown => Quality::Unknown,
            End::Cut => Quality::Failed,
            // The caller's choice says nothing about the service.
            End::CallerGone => return,
        };
        self.counter.record(&self.service, &self.account, quality);
    }

    /// Ends the record without a log line or a count.
    pub fn discard(&mut self) {
        self.written = true;
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    fn log(&self, end: End, elapsed: Duration) {
        let first_byte = self.first_byte.unwrap_or(elapsed);
        log::info!(
            target: "access",
            request = self.id.as_str(),
            account = self.account.as_str(),
            service = self.service.as_str(),
            target = self.target.as_str(),
            version = self.version.as_str(),
            attempt = self.attempt,
            outcome = end.name(),
            status = self.status,
            code = self.code,
            first_byte_us = micros(first_byte),
            duration_us = micros(elapsed);
            "request"
        );
    }

    fn measure(&self, end: End, elapsed: Duration) {
        if end != End::Done {
            return;
        }
        let label = [("service", self.service.clone())];
        let first = self.first_byte.unwrap_or(elapsed);
        metrics::histogram!("corianderramp_first_byte_seconds", &label).record(first);
        metrics::histogram!("corianderramp_request_duration_seconds", &label).record(elapsed);
        let attempts = u64::from(self.attempt.saturating_sub(1));
        metrics::counter!("corianderramp_retries_total", &label).increment(attempts);
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        self.finish(End::CallerGone);
    }
}
