//! Access log line, metrics and service-level counts of one request.

use std::time::{Duration, Instant};

use crate::burn::{self, Outcome as SloOutcome};
use crate::clock::Clock;
use crate::protocol::Outcome;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The client got the complete response.
    Done,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The response started but did not complete.
    Truncated,
    /// The client disconnected.
    ClientGone,
}

impl End {
    /// Value in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Truncated => "cut",
            Self::ClientGone => "caller-gone",
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

/// Record of one request, written once when it ends.
#[derive(Debug)]
pub struct Record<C: Clock> {
    clock: C,
    counter: burn::Counter,
    started: Instant,
    /// Request id.
    pub id: String,
    /// Name of the account; empty until known.
    pub account: String,
    /// Name of the service; empty until known.
    pub service: String,
    /// VM of the last target.
    pub target: String,
    /// `model@version` of the last target.
    pub version: String,
    /// Number of times that the request was sent to a target.
    pub attempt: u32,
    /// HTTP status.
    pub status: u16,
    /// Error code; empty without an error.
    pub code: &'static str,
    /// Time to the first byte above which a response is late.
    pub latency_objective: Duration,
    first_byte: Option<Duration>,
    written: bool,
}

impl<C: Clock> Record<C> {
    /// Creates the record of a request that just arrived.
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
            latency_objective: Duration::MAX,
            first_byte: None,
            written: false,
        }
    }

    /// Notes that the response started.
    pub fn first_byte(&mut self) {
        self.first_byte = Some(self.elapsed());
    }

    /// Writes the record; later calls have no effect.
    pub fn finish(&mut self, end: End) {
        if std::mem::replace(&mut self.written, true) {
            return;
        }
        let elapsed = self.elapsed();
        self.write_log(end, elapsed);
        self.record_metrics(end, elapsed);
        let client_error = (400..500).contains(&self.status) && self.status != 429;
        if self.service.is_empty() || self.account.is_empty() || client_error {
            return;
        }
        let late = self.first_byte.unwrap_or(elapsed) > self.latency_objective;
        let slo_outcome = match end {
            End::Done if late => SloOutcome::Late,
            End::Done => SloOutcome::Good,
            End::NotRun => SloOutcome::Refused,
            End::Unknown => SloOutcome::Unknown,
            End::Truncated => SloOutcome::Failed,
            // The client's decision says nothing about the service.
            End::ClientGone => return,
        };
        self.counter
            .record(&self.service, &self.account, slo_outcome);
    }

    /// Prevents the log line and the counts.
    pub fn discard(&mut self) {
        self.written = true;
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    fn write_log(&self, end: End, elapsed: Duration) {
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
            "request finished"
        );
    }

    fn record_metrics(&self, end: End, elapsed: Duration) {
        if end != End::Done {
            return;
        }
        let label = [("service", self.service.clone())];
        let first = self.first_byte.unwrap_or(elapsed);
        metrics::histogram!("corianderramp_first_byte_seconds", &label).record(first);
        metrics::histogram!("corianderramp_request_duration_seconds", &label).record(elapsed);
        let retries = u64::from(self.attempt.saturating_sub(1));
        metrics::counter!("corianderramp_retries_total", &label).increment(retries);
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        self.finish(End::ClientGone);
    }
}
