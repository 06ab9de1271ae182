//! What an entry knows about one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::limiter::Limiter;
use super::link::Link;
use super::prefix;
use super::route;
use crate::control::pb;
use crate::digest::Digest;

/// Age of the last report above which a target gets no requests. Agents report
/// at least every second.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// First and longest time that an unreachable target is left out.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// Round trip to a target that was not connected to yet, seconds.
const UNKNOWN_DELAY: f64 = 0.004;
/// Requests that a target runs at the same time, until its reports show it.
const UNKNOWN_CAPACITY: f64 = 8.0;
/// Weight of the newest duration in the moving average.
const SMOOTHING: f64 = 0.1;
/// Duration of a request, until the first one ended, seconds.
const UNKNOWN_DURATION: f64 = 0.05;

/// A request of this entry at a target.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Number, unique within the pool.
    pub number: u64,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// When it was sent.
    pub since: Instant,
}

/// A death of the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Death {
    /// Identifies the death for all entries.
    pub id: String,
    /// Digests of the requests in flight.
    pub in_flight: Vec<Digest>,
    /// Weight of each request's suspicion, thousandths.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct Seen {
    report: pb::TargetReport,
    at: Instant,
    /// Requests of this entry in flight when the report arrived.
    own: usize,
}

/// One target of a service.
#[derive(Debug)]
pub struct Target {
    /// Name of the VM.
    pub vm: String,
    /// Whether it is in the entry's own data centre.
    pub local: bool,
    /// Connection to its agent.
    pub link: Arc<Link>,
    /// Requests of this entry.
    pub flights: Vec<Flight>,
    /// Limit of requests in flight.
    pub limiter: Limiter,
    /// Whether the VM list or a drain object says that it leaves.
    pub leaving: bool,
    /// Whether it is kept free for a request that must run alone.
    pub reserved: bool,
    /// Number of the request that must run alone here.
    pub alone: Option<u64>,
    seen: Option<Seen>,
    /// Sampled hashes of cached prompt blocks, sorted.
    prefixes: Vec<u64>,
    down_until: Option<Instant>,
    backoff: Duration,
    capacity: f64,
    duration: f64,
    /// Deaths noticed before the report of them.
    inferred: u32,
    died_at: Option<Instant>,
}

impl Target {
    /// Target that has not reported yet.
    #[must_use]
    pub fn new(vm: &str, local: bool, link: Link, now: Instant) -> Self {
        Self {
            vm: vm.to_owned(),
            local,
            link: Arc::new(link),
            flights: Vec::new(),
            limiter: Limiter::new(now),
            leaving: false,
            reserved: false,
            alone: None,
            seen: None,
            prefixes: Vec::new(),
            down_until: None,
            backoff: BACKOFF.0,
            capacity: UNKNOWN_CAPACITY,
            duration: UNKNOWN_DURATION,
            inferred: 0,
            died_at: None,
        }
    }

    /// Whether new requests may be sent; `model` for services with versions.
    #[must_use]
    pub fn is_routable(&self, model: bool, now: Instant) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let fresh = now.saturating_duration_since(seen.at) < REPORT_LIFETIME;
        let serving = !model || !seen.report.version.is_empty();
        let down = self.down_until.is_some_and(|until| now < until);
        fresh && serving && !down && !self.is_leaving()
    }

    /// Whether the target is about to stop for good.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.seen.as_ref().is_some_and(|s| s.report.draining)
    }

    /// Whether one more request fits, apart from those that must run alone.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let kept_free = self.reserved || self.alone.is_some();
        !kept_free && self.flights.len() < self.limiter.limit()
    }

    /// Whether this entry has no request there. The agent waits for those of
    /// other entries before it runs a request alone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty() && self.alone.is_none()
    }

    /// `model@version` that it serves; empty for plain services.
    #[must_use]
    pub fn version(&self) -> String {
        match &self.seen {
            Some(s) if !s.report.version.is_empty() => {
                format!("{}@{}", s.report.model, s.report.version)
            }
            _ => String::new(),
        }
    }

    /// Load as far as known.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, now: Instant) -> route::Load {
        let (others, age) = self.seen.as_ref().map_or((0.0, 0.0), |s| {
            let reported = s.report.active.max(s.report.waiting + s.report.running);
            let others = (f64::from(reported) - s.own as f64).max(0.0);
            (others, now.saturating_duration_since(s.at).as_secs_f64())
        });
        route::Load {
            own: self.flights.len(),
            others,
            age,
            capacity: self.capacity,
            duration: self.duration,
        }
    }

    /// The target as a candidate for a request with these prompt hashes.
    #[must_use]
    pub fn candidate(&self, hashes: &[u64], now: Instant) -> route::Candidate {
        let delay = self.link.delay().map_or(UNKNOWN_DELAY, |d| d.as_secs_f64());
        route::Candidate {
            local: self.local,
            wait: route::wait(self.load(now)),
            delay,
            cached: prefix::cached(hashes, &self.prefixes),
            in_flight: self.flights.len(),
        }
    }

    /// Takes a report into account, with its load if `loaded`; returns a death
    /// that it reveals.
    pub fn on_report(
        &mut self,
        mut report: pb::TargetReport,
        loaded: bool,
        now: Instant,
    ) -> Option<Death> {
        // An empty list means no change, since prefixes are sent rarely.
        if !report.prefixes.is_empty() {
            self.prefixes = std::mem::take(&mut report.prefixes);
        }
        let known = self.seen.as_ref().map(|s| s.report.deaths);
        let new = report.deaths.saturating_sub(known.unwrap_or(report.deaths));
        let uncounted = new.saturating_sub(self.inferred);
        self.inferred = self.inferred.saturating_sub(new);
        if report.waiting > 0 {
            self.capacity = f64::from(report.running.max(1));
        } else {
            self.capacity = self.capacity.max(f64::from(report.running));
        }
        if loaded {
            self.limiter.on_report(report.waiting, now);
        }
        self.seen = Some(Seen {
            own: self.flights.len(),
            at: now,
            report,
        });
        (uncounted > 0).then(|| self.die(now))
    }

    /// A request that was sent at `since` saw the target die; returns the
    /// death unless it was noticed before.
    pub fn on_death(&mut self, since: Instant, now: Instant) -> Option<Death> {
        if self.died_at.is_some_and(|at| since <= at) {
            return None;
        }
        self.inferred += 1;
        Some(self.die(now))
    }

    fn die(&mut self, now: Instant) -> Death {
        self.died_at = Some(now);
        self.prefixes.clear();
        let reported = self.seen.as_ref().map_or(0, |s| s.report.deaths);
        let in_flight: Vec<Digest> = self.flights.iter().map(|f| f.fingerprint).collect();
        let count = u32::try_from(in_flight.len()).unwrap_or(u32::MAX);
        Death {
            id: format!("{}/{}", self.vm, reported + self.inferred),
            weight: 1000 / count.max(1),
            in_flight,
        }
    }

    /// The agent refused a request for `version` since it serves another one.
    /// A report that came meanwhile stays in force.
    pub fn on_other_version(&mut self, version: &str) {
        if self.version() == version
            && let Some(seen) = &mut self.seen
        {
            seen.report.version.clear();
        }
    }

    /// The agent refused a request since the target leaves.
    pub fn on_draining(&mut self) {
        if let Some(seen) = &mut self.seen {
            seen.report.draining = true;
        }
    }

    /// The target can't be reached; it is left out for a while.
    pub fn on_unreachable(&mut self, now: Instant) {
        self.down_until = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(BACKOFF.1);
    }

    /// An answer began.
    pub fn on_first_byte(&mut self, took: Duration, now: Instant) {
        self.backoff = BACKOFF.0;
        self.down_until = None;
        self.limiter.on_first_byte(took, self.flights.len(), now);
    }

    /// An answer ended, `took` after the request was sent.
    pub fn on_end(&mut self, took: Duration) {
        self.duration += SMOOTHING * (took.as_secs_f64() - self.duration);
    }
}
