//! Keeps the rate limits that targets name, over all gateways together.
//!
//! Load pattern: a target in need names a limit of a few requests a second, or less than one,
//! in its answers, while dozens of gateways send it many times that. If each gateway kept the
//! limit by itself, together they would exceed it by their number; if each took an equal part,
//! most of it would stay unused, as their load is uneven. One process therefore gives out
//! permits for all gateways: the host beside the target, or a witness for a plain service.
//! A gateway tells it of the limit with each request for a permit, so that the limit outlives
//! restarts of both.

use std::time::{Duration, Instant};

use crate::place::slots::GrantId;

/// Smallest rate that is kept, requests per second. A target that gets no requests at all could
/// not say that its limit has ended.
const MIN_RATE: f64 = 0.05;
/// Number of unused permits that can be saved up, so that no part of the limit is lost between
/// two requests. Users allow five requests beyond the limit in a short time.
const MIN_BURST: f64 = 2.0;
/// Time in which unused permits are saved up if that makes more than [`MIN_BURST`].
const BURST_TIME: Duration = Duration::from_millis(500);
/// Time for which a permit is remembered, in case the reply is lost and the request repeated.
const REPEAT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of targets whose limits are kept; those that were heard of longest ago are
/// dropped first.
const MAX_TARGETS: usize = 1_024;

/// What an answer of a target said of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Requests per second that the target takes from all gateways together; `None` for no limit.
    pub rate: Option<f64>,
    /// When the answer began.
    pub at: Instant,
    /// When its request was sent.
    pub sent: Instant,
}

impl Notice {
    /// Returns whether this notice replaces `known`, the newest one so far.
    ///
    /// The end of a limit counts only if the request was sent after the limit had been named:
    /// answers of one target can overtake each other on their ways through several gateways.
    #[must_use]
    pub fn replaces(&self, known: Option<&Self>) -> bool {
        match known {
            None => self.rate.is_some(),
            Some(known) if self.rate.is_none() && known.rate.is_some() => self.sent > known.at,
            Some(known) => self.at > known.at,
        }
    }
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The limit leaves no room; the time until it does.
    Denied(Duration),
}

/// Limit of one target and the permits that it has left.
#[derive(Clone, Debug)]
struct Limiter {
    /// Hash of the target's lifetime.
    lifetime: u64,
    notice: Notice,
    permits: f64,
    refilled: Instant,
    /// Recent permits.
    granted: Vec<(GrantId, Instant)>,
}

impl Limiter {
    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        let burst = MIN_BURST.max(rate * BURST_TIME.as_secs_f64());
        self.permits = (self.permits + rate * elapsed.as_secs_f64()).min(burst);
    }

    fn request(&mut self, id: GrantId, now: Instant) -> Permit {
        let Some(rate) = self.notice.rate else {
            return Permit::Granted;
        };
        let rate = rate.max(MIN_RATE);
        self.refill(rate, now);
        self.granted
            .retain(|(_, at)| now.saturating_duration_since(*at) < REPEAT_TIME);
        if self.granted.iter().any(|(known, _)| *known == id) {
            return Permit::Granted;
        }
        if self.permits < 1.0 {
            let wait = (1.0 - self.permits) / rate;
            return Permit::Denied(Duration::from_secs_f64(wait));
        }
        self.permits -= 1.0;
        self.granted.push((id, now));
        Permit::Granted
    }
}

/// Rate limits of targets, for which this process gives out permits.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::limit::{Limits, Notice, Permit};
/// use corianderramp::place::slots::GrantId;
///
/// let mut limits = Limits::default();
/// let now = Instant::now();
/// limits.update(7, Notice { rate: Some(0.5), at: now, sent: now });
/// let mut request = |n, at| limits.request(7, GrantId { gateway_id: 1, request_id: n }, at);
/// assert_eq!(request(1, now), Permit::Granted);
/// assert_eq!(request(2, now), Permit::Denied(Duration::from_secs(2)));
/// assert_eq!(request(3, now + Duration::from_secs(2)), Permit::Granted);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Sorted by lifetime.
    limiters: Vec<Limiter>,
}

impl Limits {
    /// Records a notice of the target whose lifetime has the hash `lifetime`. Returns whether
    /// its limit changed.
    pub fn update(&mut self, lifetime: u64, notice: Notice) -> bool {
        match self.find(lifetime) {
            Ok(i) => {
                let limiter = &mut self.limiters[i];
                if !notice.replaces(Some(&limiter.notice)) {
                    return false;
                }
                let before = std::mem::replace(&mut limiter.notice, notice);
                if before.rate.is_none() {
                    limiter.refilled = limiter.refilled.max(notice.at);
                }
                before.rate != notice.rate
            }
            Err(i) if notice.replaces(None) => {
                let limiter = Limiter {
                    lifetime,
                    notice,
                    permits: 1.0,
                    refilled: notice.at,
                    granted: Vec::new(),
                };
                self.limiters.insert(i, limiter);
                self.trim();
                true
            }
            Err(_) => false,
        }
    }

    /// Requests a permit for one request to a target. A repeated request takes no second one.
    pub fn request(&mut self, lifetime: u64, id: GrantId, now: Instant) -> Permit {
        match self.find(lifetime) {
            Ok(i) => self.limiters[i].request(id, now),
            Err(_) => Permit::Granted,
        }
    }

    /// Takes back a permit whose request is not sent.
    pub fn cancel(&mut self, lifetime: u64, id: GrantId) {
        let Ok(i) = self.find(lifetime) else { return };
        let limiter = &mut self.limiters[i];
        if let Some(position) = limiter.granted.iter().position(|(known, _)| *known == id) {
            limiter.granted.swap_remove(position);
            limiter.permits += 1.0;
        }
    }

    /// Limits in force, by the hash of the target's lifetime.
    pub fn notices(&self) -> impl Iterator<Item = (u64, Notice)> {
        let limited = self.limiters.iter().filter(|l| l.notice.rate.is_some());
        limited.map(|l| (l.lifetime, l.notice))
    }

    fn find(&self, lifetime: u64) -> Result<usize, usize> {
        self.limiters
            .binary_search_by_key(&lifetime, |l| l.lifetime)
    }

    fn trim(&mut self) {
        if self.limiters.len() <= MAX_TARGETS {
            return;
        }
        let oldest = self
            .limiters
            .iter()
            .enumerate()
            .min_by_key(|(_, l)| l.notice.at);
        if let Some((i, _)) = oldest {
            self.limiters.remove(i);
        }
    }
}
