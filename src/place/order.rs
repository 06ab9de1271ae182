//! Decides which requests a full engine accepts, by priority.
//!
//! Load pattern: classes of requests with different priorities share engines, and together
//! they ask for up to four times what the engines can serve, or one of them does for some
//! seconds. If each request may wait for a share of its own objective, the class with the
//! loosest objective takes each slot that becomes free, though it may be the least urgent.
//!
//! While requests are refused, each class has a share of the slots that become free: a
//! minimum share of its demand, and the rest in order of urgency. Before that, a request is
//! granted if a priority queue serves it within its limit. The module does nothing until it
//! has seen requests of two priorities or a returning request.

use std::time::{Duration, Instant};

use crate::fleet::{Engine, classes};
use crate::place::forecast::Forecast;
use crate::place::slots::SlotRequest;

/// Number of priority classes.
const CLASSES: usize = classes::COUNT as usize;
/// Added to the class for the urgency of returning requests, which follow all new ones.
const RETURNING: u8 = 5;
/// Time constant of the moving averages, seconds. Bursts last 3 to 7 s.
const WINDOW: f64 = 2.0;
/// Rate below which a class counts as absent, requests per second.
const MIN_RATE: f64 = 0.02;
/// Refused part of the demand above which the slots are shared by class.
const OVERLOAD: f64 = 0.05;
/// Time for which the slots stay shared after the last overload.
const OVERLOAD_TIME: Duration = Duration::from_secs(2);
/// Minimum share of a class as a part of the mean share served. The platform requires a quarter;
/// the margin covers the deviation of the moving averages.
const MIN_SHARE: f64 = 0.3;
/// Factor by which the shares together exceed what was granted lately, so that they can grow
/// again after the engine was slow.
const HEADROOM: f64 = 1.1;
/// Smallest capacity as a part of slots per mean hold. The mean hold also covers waits.
const MIN_CAPACITY: f64 = 0.5;
/// Requests that a class may be ahead of or behind its share.
const MAX_CREDIT: f64 = 2.0;
/// Free slots that a class beyond its share leaves to the others.
const RESERVED: u32 = 1;
/// Waiting requests at which nothing more is granted; the engine queues at most 24.
const MAX_WAITING: usize = 8;
/// Returning requests among them.
const MAX_RETURNING: usize = 4;
/// Longest wait of a class whose share is less than it asks, in turnovers: one request waits.
const LIMITED_TURNOVERS: f64 = 1.5;
/// Part of its demand with which a class counts as having all of it; the sums are rounded.
const FULL_SHARE: f64 = 0.99;
/// Largest load of more urgent requests with which a wait is predicted.
const MAX_LOAD: f64 = 0.8;
/// Part of the expected output that must end in time while slots are free, when a stream that
/// is cut off takes no one's place. The hint is too high for half of the streams.
const FREE_HINT: f64 = 0.6;
/// The same while all slots are taken, when such a stream takes the place of several others.
const BUSY_HINT: f64 = 0.9;

/// State of the target for one decision.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Expected wait behind all granted requests.
    pub wait: Duration,
    /// Longest wait that the request's objective allows.
    pub limit: Duration,
    /// Mean time until a slot of the full target becomes free.
    pub turnover: Duration,
    /// Slots.
    pub slots: u32,
    /// Requests at the target or on their way to it.
    pub active: u32,
}

impl Outlook {
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.active)
    }

    fn waiting(&self) -> usize {
        self.active.saturating_sub(self.slots) as usize
    }

    /// Wait for a free slot behind `ahead` waiting requests.
    fn slot_wait(&self, ahead: usize) -> Duration {
        if self.free() > 0 {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.turnover.saturating_mul(ahead)
    }
}

/// Answer to a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent now.
    Granted,
    /// The request would wait for about the given time, or its class has had its share.
    Full(Duration),
    /// The request can't end before its deadline, here or elsewhere.
    TooLong,
}

/// Demand of the requests of one priority, as moving averages.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Requests that asked here last or were granted, per second.
    asked: f64,
    /// Granted requests per second.
    granted: f64,
    /// Granted requests that did not come back after a refusal, per second.
    granted_new: f64,
    /// Requests that the class may still have of its share.
    credit: f64,
    /// Whether the share is less than what is asked.
    is_limited: bool,
}

/// Order of the requests at one engine.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::order::{Order, Outlook, Verdict};
/// use corianderramp::place::slots::{GrantId, SlotRequest};
///
/// let request = SlotRequest {
///     id: GrantId { gateway_id: 1, request_id: 1 },
///     priority: 1,
///     objective: Duration::from_millis(400),
///     prompt_tokens: 800,
///     output_tokens: 100,
///     left: Duration::from_secs(6),
///     is_returning: false,
///     immediate_only: false,
/// };
/// let outlook = Outlook {
///     wait: Duration::from_millis(200),
///     limit: Duration::from_millis(160),
///     turnover: Duration::from_millis(100),
///     slots: 12,
///     active: 13,
/// };
/// let mut order = Order::default();
/// let verdict = order.decide(&request, &outlook, Instant::now());
/// assert_eq!(verdict, Verdict::Full(Duration::from_millis(200)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Times of the engine at its usual pace; `None` if its parameters are unknown.
    usual: Option<Forecast>,
    /// Times of the engine at its present pace.
    present: Option<Forecast>,
    classes: [Class; CLASSES],
    /// Urgencies of the granted requests that wait at the engine, the first to run first.
    waiting: Vec<u8>,
    updated: Option<Instant>,
    /// Until when the slots are shared by class.
    shared_until: Option<Instant>,
    /// Urgency that the last granted request is to be sent with.
    urgency: Option<u8>,
}

impl Order {
    /// Sets the parameters of the engine.
    pub fn set_engine(&mut self, engine: &Engine) {
        let forecast = Forecast::new(engine);
        self.usual = Some(forecast);
        self.present = Some(forecast);
    }

    /// Sets the factor by which the engine is slower than usual.
    pub fn set_pace(&mut self, pace: f64) {
        if let Some(present) = &mut self.present {
            present.set_pace(pace);
        }
    }

    /// Urgency in the engine's queue of the request that was granted last, 0 to 9; `None` if its
    /// own priority decides.
    #[must_use]
    pub fn urgency(&self) -> Option<u8> {
        self.urgency
    }

    /// Whether the slots are shared by class, because requests are refused.
    #[must_use]
    pub fn is_shared(&self, now: Instant) -> bool {
        self.is_ranked() && self.shared_until.is_some_and(|until| now < until)
    }

    /// Forgets the waiting requests, after the engine lost them.
    pub fn reset(&mut self) {
        self.waiting.clear();
        self.urgency = None;
    }

    /// Forgets the urgency of the last granted request.
    pub fn clear_urgency(&mut self) {
        self.urgency = None;
    }

    /// Decides whether a request gets a slot.
    pub fn decide(&mut self, request: &SlotRequest, outlook: &Outlook, now: Instant) -> Verdict {
        self.urgency = None;
        self.advance(outlook, now);
        let class = class(request);
        if let Some(verdict) = self.check_end(request, outlook) {
            return verdict;
        }
        let wait = self.wait(request, outlook, now);
        let is_granted =
            self.has_room(request, outlook, now) && wait <= self.limit(request, outlook, now);
        self.record(request, is_granted);
        if !is_granted {
            self.update_shares(outlook, now);
            return Verdict::Full(wait.max(outlook.wait));
        }
        let urgency = self.rank(request, now);
        self.classes[class].credit = (self.classes[class].credit - 1.0).max(-MAX_CREDIT);
        if outlook.free() == 0 {
            let index = self.waiting.partition_point(|u| *u <= urgency);
            self.waiting.insert(index, urgency);
        }
        self.urgency = self.is_ranked().then_some(urgency);
        Verdict::Granted
    }

    /// Whether a request can't end before its deadline.
    fn check_end(&self, request: &SlotRequest, outlook: &Outlook) -> Option<Verdict> {
        let (usual, present) = (self.usual.as_ref()?, self.present.as_ref()?);
        if request.left.is_zero() {
            return None;
        }
        let end = |forecast: &Forecast, running, hint| {
            let decode = forecast
                .decode(request.output_tokens, running)
                .mul_f64(hint);
            forecast
                .prefill(request.prompt_tokens)
                .saturating_add(decode)
        };
        let is_busy = outlook.free() == 0;
        let hint = if is_busy { BUSY_HINT } else { FREE_HINT };
        // A request that accepts a wait found all other engines full as well.
        let best_hint = if request.immediate_only {
            FREE_HINT
        } else {
            hint
        };
        if end(usual, 1, best_hint) > request.left {
            return Some(Verdict::TooLong);
        }
        let running = outlook.active.min(outlook.slots).max(1);
        let here = outlook.wait.saturating_add(end(present, running, hint));
        (here > request.left).then_some(Verdict::Full(outlook.wait))
    }

    /// Whether requests differ in rank.
    fn is_ranked(&self) -> bool {
        let present = self.classes.iter().filter(|c| c.asked > MIN_RATE);
        let returning: f64 = self.classes.iter().map(|c| c.granted - c.granted_new).sum();
        present.count() > 1 || returning > MIN_RATE
    }

    /// Position of a request in the engine's queue. Shares replace the priorities while the slots
    /// are shared; a request of a less urgent class would wait without end behind others then.
    fn rank(&self, request: &SlotRequest, now: Instant) -> u8 {
        let class = if self.is_shared(now) {
            0
        } else {
            class(request)
        };
        let class = u8::try_from(class).unwrap_or(u8::MAX);
        if request.is_returning {
            class + RETURNING
        } else {
            class
        }
    }

    /// Expected wait of a request behind those of its own and more urgent ranks.
    fn wait(&self, request: &SlotRequest, outlook: &Outlook, now: Instant) -> Duration {
        if !self.is_ranked() && !request.is_returning {
            return outlook.wait;
        }
        let rank = self.rank(request, now);
        let unknown = outlook.waiting().saturating_sub(self.waiting.len());
        let ahead = unknown + self.waiting.partition_point(|u| *u <= rank);
        let more_urgent = if request.is_returning {
            CLASSES
        } else if self.is_shared(now) {
            0
        } else {
            class(request)
        };
        let rate: f64 = self.classes[..more_urgent]
            .iter()
            .map(|c| c.granted_new)
            .sum();
        let load = (rate * outlook.turnover.as_secs_f64()).min(MAX_LOAD);
        let slot_wait = outlook.slot_wait(ahead).div_f64(1.0 - load);
        // A wait beyond that for a slot is one for the prompts ahead.
        let all = outlook.slot_wait(outlook.waiting());
        if outlook.wait > all {
            slot_wait.max(outlook.wait)
        } else {
            slot_wait
        }
    }

    /// Longest wait with which a request is granted.
    fn limit(&self, request: &SlotRequest, outlook: &Outlook, now: Instant) -> Duration {
        if request.immediate_only {
            return outlook.limit;
        }
        if request.is_returning
            && !request.left.is_zero()
            && let Some(present) = &self.present
        {
            let run = present.first_event(request.prompt_tokens, outlook.slots)
                + present.decode(request.output_tokens, outlook.slots);
            return request.left.saturating_sub(run);
        }
        // A queue of requests whose class can't have all that it asks would keep out those of
        // the classes that can, whose limit may be shorter.
        if self.is_shared(now) && self.classes[class(request)].is_limited {
            return outlook
                .limit
                .min(outlook.turnover.mul_f64(LIMITED_TURNOVERS));
        }
        outlook.limit
    }

    /// Whether the class of a request has a part of its share left, and the queue has room.
    fn has_room(&self, request: &SlotRequest, outlook: &Outlook, now: Instant) -> bool {
        if !self.is_ranked() && !request.is_returning {
            return true;
        }
        let returning = self.waiting.iter().filter(|u| **u >= RETURNING).count();
        if outlook.waiting() >= MAX_WAITING || (request.is_returning && returning >= MAX_RETURNING)
        {
            return false;
        }
        let is_within = self.classes[class(request)].credit > 0.0;
        is_within || !self.is_shared(now) || outlook.free() > RESERVED
    }

    /// Counts a request. One that is asked about at several hosts counts where it is granted or
    /// finally refused.
    fn record(&mut self, request: &SlotRequest, is_granted: bool) {
        let class = &mut self.classes[class(request)];
        let one = 1.0 / WINDOW;
        if is_granted || !request.immediate_only {
            class.asked += one;
        }
        if is_granted {
            class.granted += one;
            if !request.is_returning {
                class.granted_new += one;
            }
        }
    }

    /// Ages the averages, adds to the shares, and removes requests that no longer wait.
    fn advance(&mut self, outlook: &Outlook, now: Instant) {
        let waiting = outlook.waiting();
        if self.waiting.len() > waiting {
            // The engine begins with the most urgent ones.
            self.waiting.drain(..self.waiting.len() - waiting);
        }
        let updated = self.updated.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(updated).as_secs_f64();
        let shares = self.shares(outlook);
        let is_shared = self.is_shared(now);
        let kept = (-passed / WINDOW).exp();
        for (class, share) in self.classes.iter_mut().zip(shares) {
            // A class whose whole demand has a share is not held to it when some requests arrive
            // together.
            class.is_limited = share < class.asked * FULL_SHARE;
            class.credit = if is_shared && class.is_limited {
                (class.credit + share * passed).min(MAX_CREDIT)
            } else {
                MAX_CREDIT
            };
            class.asked *= kept;
            class.granted *= kept;
            class.granted_new *= kept;
        }
    }

    /// Notes that requests are refused.
    fn update_shares(&mut self, outlook: &Outlook, now: Instant) {
        let asked: f64 = self.classes.iter().map(|c| c.asked).sum();
        let granted: f64 = self.classes.iter().map(|c| c.granted).sum();
        if outlook.free() <= RESERVED && asked - granted > asked * OVERLOAD {
            self.shared_until = Some(now + OVERLOAD_TIME);
        }
    }

    /// Requests per second that each class may have while not all can be served.
    fn shares(&self, outlook: &Outlook) -> [f64; CLASSES] {
        let asked: f64 = self.classes.iter().map(|c| c.asked).sum();
        let granted: f64 = self.classes.iter().map(|c| c.granted).sum();
        let slowest = MIN_CAPACITY / outlook.turnover.as_secs_f64().max(0.001);
        let capacity = (granted * HEADROOM).max(slowest);
        let served = (capacity / asked.max(MIN_RATE)).min(1.0);
        let mut shares = self.classes.map(|c| c.asked * served * MIN_SHARE);
        let mut rest = capacity - shares.iter().sum::<f64>();
        for (share, class) in shares.iter_mut().zip(&self.classes) {
            let more = (class.asked - *share).clamp(0.0, rest.max(0.0));
            *share += more;
            rest -= more;
        }
        shares
    }
}

/// Index of a request's class.
fn class(request: &SlotRequest) -> usize {
    usize::from(request.priority).min(CLASSES - 1)
}
