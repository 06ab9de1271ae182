//! Bounds the requests that a target gets while it is cold, over all gateways together.
//!
//! Load pattern: a target that has just started crashes well above a few dozen requests a second,
//! and a whole data centre comes back at once under load, while gateways may not reach each
//! other. One process therefore gives out permits for a target: the host beside an engine, or a
//! witness for a plain target. [`crate::place::limit`] does not fit: it saves up half a second of
//! permits, which with those of the second after it exceeds the bound, and its limits come from
//! answers of targets and end with them. Here permits are paced evenly, so that requests which
//! are late on their way do not exceed the bound together with later ones.
//!
//! Gateways that disagree about the witness must keep the bound as well: witnesses are ordered by
//! registrations alone, not by who is reachable, and only the first gives out the whole rate. The
//! second gives out a part of what the bound leaves above the rate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{ColdStart, Target};
use crate::place::limit::Permit;
use crate::place::pool::{Pool, TargetKey};
use crate::place::slots::GrantId;
use crate::rendezvous;

/// Time for which a permit is remembered, in case the reply is lost and the request repeated.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Longest time by which requests before the start of the cold time delay the first permit.
const MAX_DEBT: Duration = Duration::from_secs(1);
/// Part of the rate that a gateway uses without any witness. 330 gateways, the size that the
/// design must reach, then send two thirds of the rate together, so that an uneven draw of their
/// starts leaves them within the bound.
const LONE_SHARE: f64 = 1.0 / 512.0;
/// Largest part of the rate that a witness other than the first gives out.
const MAX_FALLBACK_SHARE: f64 = 0.25;
/// Part of the slack that is used for permits saved up; the rest is for requests that are late on
/// their way.
const BURST_SHARE: f64 = 0.25;
/// Range of rates, requests per second.
const RATES: (f64, f64) = (1e-4, 1e6);
/// Largest number of permits that can be saved up.
const MAX_BURST: f64 = 8.0;
/// Difference of wall clocks up to which a start counts as recent.
const MAX_SKEW: Duration = Duration::from_secs(60);
/// Time by which an engine must have started before a target to be its first witness, so that
/// its registration is known wherever the target's is.
const STABLE_MS: u64 = 10_000;
/// Witnesses of a target. A third one could exceed the bound together with them.
const MAX_WITNESSES: usize = 2;
/// Maximum number of targets for which permits are counted; those used longest ago are dropped
/// first.
const MAX_TARGETS: usize = 256;

/// Bound of a deployment: in any second, a cold target gets at most its rate times `overage` plus
/// `slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Multiple of the rate; at least 1.
    pub overage: f64,
    /// Requests beyond it.
    pub slack: f64,
}

impl Bound {
    /// Returns the pace of the first witness and of hosts beside engines.
    #[must_use]
    pub fn pace(&self, rate: f64) -> Pace {
        Pace::new(rate, 1.0 + self.slack * BURST_SHARE)
    }

    /// Returns the pace of the second witness; `None` if the bound leaves nothing above the rate.
    #[must_use]
    pub fn fallback_pace(&self, rate: f64) -> Option<Pace> {
        let share = ((self.overage - 1.0) / 2.0).min(MAX_FALLBACK_SHARE);
        (share > 0.0).then(|| Pace::new(rate * share, 1.0))
    }

    /// Returns the pace of a gateway without a witness.
    #[must_use]
    pub fn lone_pace(&self, rate: f64) -> Pace {
        Pace::new(rate * LONE_SHARE, 1.0)
    }
}

/// Speed at which permits are given out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    rate: f64,
    burst: f64,
}

impl Pace {
    /// Creates a pace of `rate` permits per second, of which `burst` can be saved up. Values out
    /// of range are replaced by the nearest in it.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Self {
        // `clamp` keeps NaN.
        let bounded = |value: f64, least: f64, most: f64| {
            if value.is_nan() {
                least
            } else {
                value.clamp(least, most)
            }
        };
        Self {
            rate: bounded(rate, RATES.0, RATES.1),
            burst: bounded(burst, 1.0, MAX_BURST),
        }
    }

    /// Permits per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Number of permits that can be saved up.
    #[must_use]
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Time between two permits.
    #[must_use]
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }

    /// Time that unused permits may be ahead of the pace.
    fn saved(&self) -> Duration {
        Duration::from_secs_f64((self.burst - 1.0) / self.rate)
    }
}

/// A start of a target as it was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// Start of the lifetime, Unix milliseconds; 0 if unknown.
    pub started: u64,
    /// Cold time in the registration; `None` if the target is not registered.
    pub left: Option<Duration>,
}

impl Start {
    /// Time since the start by the wall clock; `None` if unknown.
    fn age(&self, wall: SystemTime) -> Option<Duration> {
        if self.started == 0 {
            return None;
        }
        let started = UNIX_EPOCH.checked_add(Duration::from_millis(self.started))?;
        wall.duration_since(started).ok()
    }
}

/// Until when a target is cold, as one process sees it.
///
/// ```
/// use std::time::{Duration, Instant, SystemTime};
///
/// use corianderramp::fleet::ColdStart;
/// use corianderramp::place::cold::{Start, Tracker};
///
/// let cold = ColdStart { time: Duration::from_secs(3), rate: 26.0 };
/// let mut tracker = Tracker::default();
/// let (now, wall) = (Instant::now(), SystemTime::now());
/// // Started long ago by its clock, as this process begins.
/// tracker.observe(Start { started: 1, left: None }, Some(cold), now, Some(wall));
/// assert_eq!(tracker.left(now), Duration::ZERO);
/// // Restarted.
/// tracker.observe(Start { started: 2, left: None }, Some(cold), now, None);
/// assert_eq!(tracker.left(now), Duration::from_secs(3));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    start: Option<Start>,
    cold: Option<ColdStart>,
    seen: Option<Instant>,
    /// Age of the lifetime when it was seen, if the process did not see it start.
    age: Option<Duration>,
    until: Option<Instant>,
    has_ended: bool,
}

impl Tracker {
    /// Records the start of the target's present lifetime and the cold start of its service in
    /// the configuration. `wall` is the wall clock if the lifetime may have begun long before,
    /// because this process has just begun to look. Returns whether the target turned cold.
    pub fn observe(
        &mut self,
        start: Start,
        cold: Option<ColdStart>,
        now: Instant,
        wall: Option<SystemTime>,
    ) -> bool {
        let is_new = match self.start {
            None => true,
            Some(known) => {
                // A first registration says nothing of a lifetime that is already known; one
                // that names another time says that the target turned cold again.
                let is_again = known.left.is_some()
                    && start.left.is_some_and(|left| !left.is_zero())
                    && start.left != known.left;
                self.has_ended || known.started != start.started || is_again
            }
        };
        if is_new {
            let is_first = self.start.is_none() && !self.has_ended;
            self.age = wall.filter(|_| is_first).and_then(|w| start.age(w));
            self.seen = Some(now);
            self.has_ended = false;
        }
        self.start = Some(start);
        if is_new || cold != self.cold {
            self.cold = cold;
            self.until = self.end();
        }
        is_new && !self.left(now).is_zero()
    }

    /// End of the cold time, from the start as seen.
    fn end(&self) -> Option<Instant> {
        let cold = self.cold?;
        if self.age.is_some_and(|age| age >= cold.time + MAX_SKEW) {
            return None;
        }
        let left = self.start?.left.filter(|left| !left.is_zero());
        self.seen?
            .checked_add(left.unwrap_or(cold.time).min(cold.time))
    }

    /// Records that the target's process has ended, so that whatever answers next is a new one.
    pub fn record_end(&mut self) {
        self.has_ended = true;
    }

    /// Records the time for which the host beside the target says that it is cold.
    pub fn set_left(&mut self, left: Duration, now: Instant) {
        self.until = now.checked_add(left).filter(|_| !left.is_zero());
    }

    /// Returns the time for which the target is still cold.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |u| u.saturating_duration_since(now))
    }

    /// Returns the requests per second of the target while it is cold; `None` if it is not cold
    /// or its rate is unknown.
    #[must_use]
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let rate = self.cold?.rate;
        (!self.left(now).is_zero()).then_some(rate)
    }
}

/// Gives out the permits of one target.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::cold::{Limiter, Pace};
/// use corianderramp::place::limit::Permit;
/// use corianderramp::place::slots::GrantId;
///
/// let mut limiter = Limiter::default();
/// let (pace, now) = (Pace::new(10.0, 1.0), Instant::now());
/// let mut request = |n| limiter.request(GrantId { gateway_id: 1, request_id: n }, pace, now);
/// assert_eq!(request(1), Permit::Granted);
/// assert_eq!(request(2), Permit::Denied(Duration::from_millis(100)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// When the next permit is due at an even pace; `None` before the first.
    next: Option<Instant>,
    /// Recent permits with the time that each takes at its pace.
    granted: VecDeque<(GrantId, Instant, Duration)>,
}

impl Limiter {
    /// Creates a limiter whose first permit is due at `first`.
    #[must_use]
    pub fn starting_at(first: Instant) -> Self {
        Self {
            next: Some(first),
            granted: VecDeque::new(),
        }
    }

    /// Requests a permit for one request. A repeated request takes no second one.
    pub fn request(&mut self, id: GrantId, pace: Pace, now: Instant) -> Permit {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REPEAT_TIME;
        while self.granted.front().is_some_and(|g| is_old(g.1)) {
            self.granted.pop_front();
        }
        if self.granted.iter().any(|g| g.0 == id) {
            return Permit::Granted;
        }
        // Another process may have given out permits until now: none are saved up at first.
        let next = self.next.unwrap_or(now + pace.saved());
        let wait = next.saturating_duration_since(now + pace.saved());
        if !wait.is_zero() {
            self.next = Some(next);
            return Permit::Denied(wait);
        }
        self.next = Some(next.max(now) + pace.interval());
        self.granted.push_back((id, now, pace.interval()));
        Permit::Granted
    }

    /// Counts a request that was sent while the target was not known to be cold. It may have
    /// started shortly before.
    pub fn count(&mut self, pace: Pace, now: Instant) {
        let next = self.next.unwrap_or(now).max(now) + pace.interval();
        self.next = Some(next.min(now + MAX_DEBT));
    }

    /// Takes back a permit whose request was not sent, or was declined.
    pub fn cancel(&mut self, id: GrantId) {
        let Some(i) = self.granted.iter().position(|g| g.0 == id) else {
            return;
        };
        if let (Some((_, _, time)), Some(next)) = (self.granted.remove(i), self.next) {
            self.next = next.checked_sub(time);
        }
    }
}

/// Gives out the permits of several targets.
#[derive(Clone, Debug, Default)]
pub struct Limiters {
    /// With the hash of the target's lifetime and the last use, sorted by lifetime.
    targets: Vec<(u64, Instant, Limiter)>,
}

impl Limiters {
    /// Requests a permit for one request to the target whose lifetime has the hash `lifetime`.
    /// The first permit of a lifetime is due after `delay`.
    pub fn request(
        &mut self,
        lifetime: u64,
        id: GrantId,
        pace: Pace,
        delay: Duration,
        now: Instant,
    ) -> Permit {
        let i = match self.targets.binary_search_by_key(&lifetime, |t| t.0) {
            Ok(i) => i,
            Err(_) => self.add(lifetime, now + pace.saved() + delay, now),
        };
        self.targets[i].1 = now;
        self.targets[i].2.request(id, pace, now)
    }

    fn add(&mut self, lifetime: u64, first: Instant, now: Instant) -> usize {
        if self.targets.len() == MAX_TARGETS {
            let oldest = self.targets.iter().enumerate().min_by_key(|(_, t)| t.1);
            if let Some((i, _)) = oldest {
                self.targets.remove(i);
            }
        }
        let i = self.targets.partition_point(|t| t.0 < lifetime);
        let limiter = Limiter::starting_at(first);
        self.targets.insert(i, (lifetime, now, limiter));
        i
    }
}

/// Host that gives out permits for a plain target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Witness {
    /// Key of the engine beside it.
    pub key: TargetKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Whether it gives out the whole rate.
    pub is_first: bool,
}

/// Returns the witnesses of a cold target, best first, whether or not they are reachable.
///
/// Hosts in the target's data centre come first: a gateway that can't reach them mostly can't
/// reach the target either. Only a host that was there well before the target gives out the
/// whole rate, because gateways learn of others at different times.
#[must_use]
pub fn witnesses(pool: &Pool, target: &Target) -> Vec<Witness> {
    let subject = target.address.to_string();
    let engines = pool.iter().filter(|(_, e)| e.target.has_engine);
    let mut ranked: Vec<_> = engines
        .map(|(key, e)| {
            let engine = &e.target;
            let is_stable =
                engine.started != 0 && engine.started.saturating_add(STABLE_MS) <= target.started;
            let is_near = engine.data_center == target.data_center;
            let host = engine.address.ip().to_string();
            let weight = rendezvous::weight(subject.as_bytes(), &host);
            (is_stable, is_near, weight, engine.address, key)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let best = ranked.into_iter().take(MAX_WITNESSES).enumerate();
    best.map(|(rank, (is_stable, _, _, address, key))| Witness {
        key,
        address,
        is_first: rank == 0 && is_stable,
    })
    .collect()
}
