//! Decides which callers return after a refusal, how long such a caller may wait for a place, and
//! in which order waiting callers are tried.
//!
//! Load pattern: all engines lose power and none serves for some seconds, or the demand of a class
//! doubles. Callers are told to retry after a third of their time, come back once, and are refused
//! a second and last time. A second refusal costs the caller its request, while waiting at the
//! gateway costs no target anything: the objective of such a caller has passed, and most of its
//! time has not.
//!
//! Callers send the time that they have left, so one that returns sends less than the route's
//! callers send at first. What they send at first is learned from the requests. A caller that
//! gives itself less time from the start may be taken for a returning one; it is then placed as
//! soon as there is room, and is refused later than it would have been, but with half of its time
//! left.

use std::time::{Duration, Instant};

use crate::fleet::rank::Rank;

/// Part of the objective by which the first attempt must precede this one. Callers come back
/// 250 ms after a refusal at the earliest, which is a third of the loosest objective in use.
const MIN_ELAPSED_OBJECTIVES: f64 = 0.3;
/// Part of the usual limit below which a difference says nothing: limits of first attempts vary
/// by what callers spent before they sent the request.
const LIMIT_TOLERANCE: f64 = 0.03;
/// Maximum number of routes whose limits are known; 48 bytes each.
const MAX_ROUTES: usize = 512;
/// Number of requests after which the counts of a route are halved, so that older requests count
/// less.
const MAX_COUNT: u16 = 64;
/// A limit is usual if at least one of this number of requests has it: a single caller with a
/// long limit makes nobody else a returning one. Of the requests of an outage at least half are
/// first attempts, and even after a burst of four times the load a fifth is.
const USUAL_SHARE: u16 = 6;
/// Surplus of requests with exactly the same shorter limit from which that limit is taken for
/// one of first attempts. What returning callers have left differs by the time that they waited.
const REPEATED_COUNT: u16 = 6;

/// Shortest time for which waiting is worthwhile; less is spent on a slot request.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of callers that wait at a gateway: those that return within 2 s, the longest
/// time to a retry, at 48 requests/s.
pub const MAX_WAITING: usize = 96;
/// Maximum size of the waiting requests together, bytes.
pub const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Maximum number of waiting callers of one account: one that does not keep to `Retry-After` may
/// not take all places.
pub const MAX_WAITING_PER_ACCOUNT: usize = MAX_WAITING / 2;
/// Time for which a caller is not woken after a host refused it the first time; doubled with each
/// refusal, so that its slot requests last for the time of its wait.
const FIRST_REST: Duration = Duration::from_millis(100);
/// Maximum number of slot requests for a request.
pub const MAX_ASKS: u32 = 5;
/// Slot requests of a returning caller before it waits. The rest is kept for when there is room.
pub const ASKS_BEFORE_WAIT: u32 = 2;
/// Maximum number of callers that one new state of a target wakes.
const MAX_WOKEN: usize = 4;

/// What the callers of a route give themselves at first.
#[derive(Clone, Copy, Debug)]
struct RouteLimit {
    /// Hash of the route's name.
    route: u64,
    /// When the last request came.
    seen: Instant,
    /// Longest usual limit, milliseconds.
    usual: u32,
    /// Shortest of the limits that are longer than the usual one, milliseconds.
    longer: u32,
    /// Shorter limit that is seen most often, milliseconds.
    repeated: u32,
    /// Number of recent requests.
    all: u16,
    /// Number of those with about the usual limit.
    at_usual: u16,
    /// Number of those with a longer limit.
    above: u16,
    /// Surplus of requests with the repeated limit over others with a shorter limit than usual.
    repetitions: u16,
}

impl RouteLimit {
    fn new(route: u64, limit: u32, now: Instant) -> Self {
        Self {
            route,
            seen: now,
            usual: limit,
            longer: 0,
            repeated: 0,
            all: 0,
            at_usual: 0,
            above: 0,
            repetitions: 0,
        }
    }

    /// Counts a request with this limit.
    fn record(&mut self, limit: u32, now: Instant) {
        self.seen = now;
        self.all += 1;
        let tolerance = tolerance(self.usual);
        if limit > self.usual.saturating_add(tolerance) {
            self.longer = if self.above == 0 {
                limit
            } else {
                self.longer.min(limit)
            };
            self.above += 1;
        } else if limit >= self.usual.saturating_sub(tolerance) {
            self.at_usual += 1;
        } else if limit == self.repeated {
            self.repetitions = (self.repetitions + 1).min(MAX_COUNT);
        } else if self.repetitions == 0 {
            (self.repeated, self.repetitions) = (limit, 1);
        } else {
            self.repetitions -= 1;
        }
        if self.above > 0 && self.above * USUAL_SHARE >= self.all {
            self.set_usual(self.longer, self.above);
        }
        if self.all >= MAX_COUNT {
            if self.at_usual * USUAL_SHARE < self.all {
                self.set_usual(limit, 1);
            }
            self.all /= 2;
            self.at_usual /= 2;
            self.above /= 2;
        }
    }

    fn set_usual(&mut self, limit: u32, count: u16) {
        self.usual = limit;
        self.at_usual = count;
        self.above = 0;
        self.repetitions = 0;
    }

    /// Whether a request with this limit is not the first of its caller.
    fn is_returning(&self, limit: u32, objective: Duration) -> bool {
        let elapsed = self.usual.saturating_sub(limit);
        let is_repeated = limit == self.repeated && self.repetitions >= REPEATED_COUNT;
        let shortest = objective.mul_f64(MIN_ELAPSED_OBJECTIVES);
        elapsed > tolerance(self.usual)
            && Duration::from_millis(elapsed.into()) >= shortest
            && !is_repeated
    }
}

/// Differences from a limit that say nothing, milliseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn tolerance(limit: u32) -> u32 {
    (f64::from(limit) * LIMIT_TOLERANCE) as u32
}

/// Time limits that the callers of each route with recent requests send at first.
#[derive(Clone, Debug, Default)]
pub struct UsualLimits {
    /// Sorted by the hash of the route's name.
    routes: Vec<RouteLimit>,
}

impl UsualLimits {
    /// Records the time limit of a request, and returns whether its caller returns after a
    /// refusal: whether about a third of the objective or more has passed since its first
    /// attempt. `route` is the hash of the route's name.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use corianderramp::place::returning::UsualLimits;
    ///
    /// let ms = Duration::from_millis;
    /// let now = Instant::now();
    /// let mut limits = UsualLimits::default();
    /// assert!(!limits.record(1, ms(6_000), ms(400), now));
    /// assert!(!limits.record(1, ms(5_950), ms(400), now));
    /// assert!(limits.record(1, ms(4_021), ms(400), now));
    /// assert!(!limits.record(2, ms(4_021), ms(400), now));
    /// ```
    pub fn record(
        &mut self,
        route: u64,
        limit: Duration,
        objective: Duration,
        now: Instant,
    ) -> bool {
        let limit = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
        let found = self.routes.binary_search_by_key(&route, |r| r.route);
        let index = found.unwrap_or_else(|_| {
            self.make_room();
            let index = self.routes.partition_point(|r| r.route < route);
            self.routes
                .insert(index, RouteLimit::new(route, limit, now));
            index
        });
        self.routes[index].record(limit, now);
        self.routes[index].is_returning(limit, objective)
    }

    /// Returns the number of routes whose limits are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether no limits are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Forgets the route whose last request is the oldest if all entries are in use.
    fn make_room(&mut self) {
        if self.routes.len() < MAX_ROUTES {
            return;
        }
        let oldest = self.routes.iter().enumerate().min_by_key(|(_, r)| r.seen);
        if let Some((index, _)) = oldest {
            self.routes.remove(index);
        }
    }
}

/// Returns until when a returning caller waits for a place: for half of the time that it has
/// left, and not beyond the point from which `service_time`, the predicted time to serve it in
/// full, ends after its deadline. `None` if waiting is of no use.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::returning;
///
/// let now = Instant::now();
/// let after = |ms| now + Duration::from_millis(ms);
/// let end = |left, service| returning::wait_end(now, after(left), Duration::from_millis(service));
/// assert_eq!(end(4_000, 1_000), Some(after(2_000)));
/// assert_eq!(end(4_000, 3_000), Some(after(1_000)));
/// assert_eq!(end(4_000, 4_000), None);
/// ```
#[must_use]
pub fn wait_end(now: Instant, deadline: Instant, service_time: Duration) -> Option<Instant> {
    let left = deadline.saturating_duration_since(now);
    let wait = (left / 2).min(left.checked_sub(service_time)?);
    (wait >= MIN_WAIT).then(|| now + wait)
}

/// Returns how many waiting callers are woken when a target states `free` slots. Each that gets a
/// place wakes the next one. Other gateways know of the same slots, and a new state comes soon.
///
/// ```
/// use corianderramp::place::returning;
///
/// assert_eq!(returning::woken_for(0), 0);
/// assert_eq!(returning::woken_for(1), 1);
/// assert_eq!(returning::woken_for(12), 4);
/// ```
#[must_use]
pub fn woken_for(free: u32) -> usize {
    usize::try_from(free).map_or(MAX_WOKEN, |f| f.min(MAX_WOKEN))
}

/// Returns the time for which a waiting caller is not woken after it was refused for the
/// `refusals`th time while it waited.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::place::returning;
///
/// assert_eq!(returning::rest_after(1), Duration::from_millis(100));
/// assert_eq!(returning::rest_after(3), Duration::from_millis(400));
/// ```
#[must_use]
pub fn rest_after(refusals: u32) -> Duration {
    FIRST_REST * (1 << refusals.clamp(1, MAX_ASKS).saturating_sub(1))
}

/// Position of a waiting caller. More urgent callers are tried first; of these, the one that must
/// begin soonest. A caller that can't end in time any more does not wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// Priority; 0 is the most urgent.
    pub priority: Rank,
    /// When the wait ends.
    pub end: Instant,
    /// Number that no other waiting caller has.
    pub number: u64,
}

/// A caller that wants to wait.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Priority; 0 is the most urgent.
    pub priority: Rank,
    /// When the wait ends.
    pub end: Instant,
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the account's name.
    pub account: u64,
    /// Size of the request, bytes.
    pub bytes: usize,
}

/// A caller that waits, with what wakes it.
#[derive(Clone, Debug)]
struct Waiting<T> {
    ticket: Ticket,
    service: u64,
    account: u64,
    bytes: usize,
    /// Whether it was woken and looks for a place.
    is_trying: bool,
    /// When it may be woken again.
    rest_end: Instant,
    handle: T,
}

/// Callers that wait for a place, in the order in which they are tried.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Sorted by ticket.
    waiting: Vec<Waiting<T>>,
    /// Size of all requests, bytes.
    bytes: usize,
    next_number: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            bytes: 0,
            next_number: 0,
        }
    }
}

impl<T: Clone> Queue<T> {
    /// Lets a caller wait; `handle` is what wakes it. Returns its ticket and the handles of those
    /// that lost their places to it, which are the last ones. `None` if there is no room.
    pub fn enter(&mut self, waiter: &Waiter, handle: T, now: Instant) -> Option<(Ticket, Vec<T>)> {
        let same = self.waiting.iter().filter(|w| w.account == waiter.account);
        if same.count() >= MAX_WAITING_PER_ACCOUNT || waiter.bytes > MAX_WAITING_BYTES {
            return None;
        }
        let ticket = Ticket {
            priority: waiter.priority,
            end: waiter.end,
            number: self.next_number,
        };
        let mut kept = self.waiting.len();
        let mut bytes = self.bytes;
        while kept >= MAX_WAITING || bytes + waiter.bytes > MAX_WAITING_BYTES {
            // Only a less urgent caller gives way: among equals, the one that came first stays.
            let last = self.waiting[..kept].last()?;
            if last.ticket.priority <= ticket.priority {
                return None;
            }
            bytes -= last.bytes;
            kept -= 1;
        }
        let displaced = self.waiting.drain(kept..).map(|w| w.handle).collect();
        self.next_number += 1;
        self.bytes = bytes + waiter.bytes;
        let index = self.waiting.partition_point(|w| w.ticket < ticket);
        let waiting = Waiting {
            ticket,
            service: waiter.service,
            account: waiter.account,
            bytes: waiter.bytes,
            is_trying: false,
            rest_end: now,
            handle,
        };
        self.waiting.insert(index, waiting);
        Some((ticket, displaced))
    }

    /// Removes a caller; returns whether it was waiting.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(index) = self.position(ticket) else {
            return false;
        };
        self.bytes -= self.waiting.remove(index).bytes;
        true
    }

    /// Returns whether the caller still has its place in the queue.
    #[must_use]
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.position(ticket).is_some()
    }

    /// Marks the first callers of a service as trying, so that `count` of them are, and returns
    /// the handles of the new ones. Callers that rest are left out.
    pub fn wake(&mut self, service: u64, count: usize, now: Instant) -> Vec<T> {
        let same = self.waiting.iter_mut().filter(|w| w.service == service);
        let mut count = count;
        let mut woken = Vec::new();
        for waiting in same {
            if waiting.is_trying {
                count = count.saturating_sub(1);
            } else if woken.len() < count && waiting.rest_end <= now {
                waiting.is_trying = true;
                woken.push(waiting.handle.clone());
            }
        }
        woken
    }

    /// Marks the first caller of each service as trying and returns their handles.
    pub fn wake_each(&mut self, now: Instant) -> Vec<T> {
        let mut services: Vec<u64> = self.waiting.iter().map(|w| w.service).collect();
        services.sort_unstable();
        services.dedup();
        let first = services.iter().flat_map(|s| self.wake(*s, 1, now));
        first.collect()
    }

    /// Marks the next caller of the same service as trying and returns its handle: the first one
    /// after a caller that got a place, the first one behind a caller that could ask no target.
    pub fn wake_next(&mut self, service: u64, behind: Option<Ticket>, now: Instant) -> Option<T> {
        let mut waiting = self.waiting.iter_mut();
        let next = waiting.find(|w| {
            w.service == service
                && !w.is_trying
                && w.rest_end <= now
                && behind.is_none_or(|ticket| w.ticket > ticket)
        })?;
        next.is_trying = true;
        Some(next.handle.clone())
    }

    /// Marks a caller as idle after it found no place. It is not woken before `rest_end`.
    pub fn rest(&mut self, ticket: Ticket, rest_end: Instant) {
        if let Some(index) = self.position(ticket) {
            self.waiting[index].is_trying = false;
            self.waiting[index].rest_end = rest_end;
        }
    }

    /// Marks a caller as trying if it is the first one of its service that does not rest, and was
    /// not woken before. Returns whether it was marked.
    pub fn try_first(&mut self, ticket: Ticket, service: u64, now: Instant) -> bool {
        let mut same = self.waiting.iter_mut().filter(|w| w.service == service);
        let first = same.find(|w| w.rest_end <= now);
        let Some(first) = first.filter(|w| w.ticket == ticket && !w.is_trying) else {
            return false;
        };
        first.is_trying = true;
        true
    }

    /// Returns the number of waiting callers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the size of all waiting requests, bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn position(&self, ticket: Ticket) -> Option<usize> {
        let find = |w: &Waiting<T>| w.ticket;
        self.waiting.binary_search_by_key(&ticket, find).ok()
    }
}
