//! State that an entry keeps about one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::connection::Connection;
use super::limiter::Limiter;
use super::prefix;
use super::route;
use crate::control::pb;
use crate::digest::Digest;

/// Maximum age of the last report of a target that gets requests. Agents report
/// at least every second.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Shortest and longest backoff of an unreachable target.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// Round-trip time to a target before the first connect, seconds.
const DEFAULT_RTT_S: f64 = 0.004;
/// Number of concurrent requests of a target until its reports show it.
const DEFAULT_CAPACITY: f64 = 8.0;
/// Weight of the newest value in the moving average of durations.
const DURATION_SMOOTHING: f64 = 0.1;
/// Duration of a request until the first one has ended, seconds.
const DEFAULT_DURATION_S: f64 = 0.05;

/// A request of this entry that runs on the target.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Id, unique within the pool.
    pub id: u64,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// When the request was sent.
    pub sent: Instant,
}

/// Death of a target process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Death {
    /// Identifies the death across entries.
    pub id: String,
    /// Digests of the requests in flight.
    pub in_flight: Vec<Digest>,
    /// Weight of each request in flight for the quarantine, thousandths.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct LastReport {
    report: pb::TargetReport,
    received: Instant,
    /// Requests of this entry in flight when the report arrived.
    own_requests: usize,
}

/// One target of a service.
#[derive(Debug)]
pub struct Target {
    /// Name of the VM.
    pub vm: String,
    /// Whether the target is in the entry's own data centre.
    pub local: bool,
    /// Connection to the target's agent.
    pub connection: Arc<Connection>,
    /// Requests of this entry in flight.
    pub in_flight: Vec<InFlight>,
    /// Limit of requests in flight.
    pub limiter: Limiter,
    /// Whether the target is draining according to the VM list or a drain
    /// object.
    pub draining: bool,
    /// Whether the target is reserved for a request that must run exclusively.
    pub reserved: bool,
    /// Id of the request that runs exclusively on the target.
    pub exclusive: Option<u64>,
    last_report: Option<LastReport>,
    /// Sampled hashes of the cached prompt blocks, sorted.
    prefixes: Vec<u64>,
    backoff_until: Option<Instant>,
    backoff: Duration,
    capacity: f64,
    duration: f64,
    /// Deaths that were noticed here but not yet reported by the target.
    unreported_deaths: u32,
    died_at: Option<Instant>,
}

impl Target {
    /// Creates a target that has not reported yet.
    #[must_use]
    pub fn new(vm: &str, local: bool, connection: Connection, now: Instant) -> Self {
        Self {
            vm: vm.to_owned(),
            local,
            connection: Arc::new(connection),
            in_flight: Vec::new(),
            limiter: Limiter::new(now),
            draining: false,
            reserved: false,
            exclusive: None,
            last_report: None,
            prefixes: Vec::new(),
            backoff_until: None,
            backoff: BACKOFF_RANGE.0,
            capacity: DEFAULT_CAPACITY,
            duration: DEFAULT_DURATION_S,
            unreported_deaths: 0,
            died_at: None,
        }
    }

    /// Whether new requests may be sent; with `needs_version`, only if the
    /// target serves a model version.
    #[must_use]
    pub fn is_routable(&self, needs_version: bool, now: Instant) -> bool {
        let Some(last_report) = &self.last_report else {
            return false;
        };
        let fresh = now.saturating_duration_since(last_report.received) < REPORT_LIFETIME;
        let serving = !needs_version || !last_report.report.version.is_empty();
        let down = self.backoff_until.is_some_and(|until| now < until);
        fresh && serving && !down && !self.is_draining()
    }

    /// Whether the target is draining according to the configuration or its
    /// agent.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining || self.last_report.as_ref().is_some_and(|r| r.report.draining)
    }

    /// Whether a slot is free for a request that may run beside others.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        let kept_free = self.reserved || self.exclusive.is_some();
        !kept_free && self.in_flight.len() < self.limiter.limit()
    }

    /// Whether this entry has no request in flight there. The agent waits for
    /// requests of other entries before it runs a request exclusively.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.exclusive.is_none()
    }

    /// `model@version` that the target serves; empty for plain services.
    #[must_use]
    pub fn version(&self) -> String {
        match &self.last_report {
            Some(r) if !r.report.version.is_empty() => {
                format!("{}@{}", r.report.model, r.report.version)
            }
            _ => String::new(),
        }
    }

    /// Load as known from the last report and this entry's requests.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, now: Instant) -> route::Load {
        let (others, age) = self.last_report.as_ref().map_or((0.0, 0.0), |r| {
            let reported = r.report.active.max(r.report.waiting + r.report.running);
            let others = (f64::from(reported) - r.own_requests as f64).max(0.0);
            (
                others,
                now.saturating_duration_since(r.received).as_secs_f64(),
            )
        });
        route::Load {
            own: self.in_flight.len(),
            others,
            age,
            capacity: self.capacity,
            duration: self.duration,
        }
    }

    /// Returns the target as a candidate for a request with these prompt
    /// hashes.
    #[must_use]
    pub fn candidate(&self, hashes: &[u64], now: Instant) -> route::Candidate {
        let rtt = self
            .connection
            .rtt()
            .map_or(DEFAULT_RTT_S, |d| d.as_secs_f64());
        route::Candidate {
            local: self.local,
            wait: route::expected_wait(self.load(now)),
            rtt,
            cached_blocks: prefix::cached_blocks(hashes, &self.prefixes),
            in_flight: self.in_flight.len(),
        }
    }

    /// Updates the target from a report, and its limit if `use_load`; returns a
    /// death that the report reveals.
    pub fn on_report(
        &mut self,
        mut report: pb::TargetReport,
        use_load: bool,
        now: Instant,
    ) -> Option<Death> {
        // An empty list means no change, since prefixes are sent rarely.
        if !report.prefixes.is_empty() {
            self.prefixes = std::mem::take(&mut report.prefixes);
        }
        let known = self.last_report.as_ref().map(|r| r.report.deaths);
        let new = report.deaths.saturating_sub(known.unwrap_or(report.deaths));
        let unnoticed = new.saturating_sub(self.unreported_deaths);
        self.unreported_deaths = self.unreported_deaths.saturating_sub(new);
        if report.waiting > 0 {
            self.capacity = f64::from(report.running.max(1));
        } else {
            self.capacity = self.capacity.max(f64::from(report.running));
        }
        if use_load {
            self.limiter.on_report(report.waiting, now);
        }
        self.last_report = Some(LastReport {
            own_requests: self.in_flight.len(),
            received: now,
            report,
        });
        (unnoticed > 0).then(|| self.record_death(now))
    }

    /// Records a death that a request noticed which was sent at `sent`; returns
    /// the death unless it was already recorded.
    pub fn on_death(&mut self, sent: Instant, now: Instant) -> Option<Death> {
        if self.died_at.is_some_and(|at| sent <= at) {
            return None;
        }
        self.unreported_deaths += 1;
        Some(self.record_death(now))
    }

    fn record_death(&mut self, now: Instant) -> Death {
        self.died_at = Some(now);
        self.prefixes.clear();
        let reported = self.last_report.as_ref().map_or(0, |r| r.report.deaths);
        let in_flight: Vec<Digest> = self.in_flight.iter().map(|f| f.fingerprint).collect();
        let count = u32::try_from(in_flight.len()).unwrap_or(u32::MAX);
        Death {
            id: format!("{}/{}", self.vm, reported + self.unreported_deaths),
            weight: 1000 / count.max(1),
            in_flight,
        }
    }

    /// Called when the agent refused a request for `version` because the target
    /// serves another one. A newer report stays valid.
    pub fn on_other_version(&mut self, version: &str) {
        if self.version() == version
            && let Some(last_report) = &mut self.last_report
        {
            last_report.report.version.clear();
        }
    }

    /// Called when the agent refused a request because the target is draining.
    pub fn on_draining(&mut self) {
        if let Some(last_report) = &mut self.last_report {
            last_report.report.draining = true;
        }
    }

    /// Starts a backoff, in which the target gets no requests.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.backoff_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(BACKOFF_RANGE.1);
    }

    /// Called when a response starts, `took` after the request was sent.
    pub fn on_first_byte(&mut self, took: Duration, now: Instant) {
        self.backoff = BACKOFF_RANGE.0;
        self.backoff_until = None;
        self.limiter.on_first_byte(took, self.in_flight.len(), now);
    }

    /// Called when a response is complete, `took` after the request was sent.
    pub fn on_end(&mut self, took: Duration) {
        self.duration += DURATION_SMOOTHING * (took.as_secs_f64() - self.duration);
    }
}
