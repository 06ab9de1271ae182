//! Which callers count as returning ones, in which order they wait and for how long, and what
//! that gives them in an outage and in an overload.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::rank::Rank;
use corianderramp::place::backoff::RefusalRate;
use corianderramp::place::returning::{
    self, MAX_WAITING, MAX_WAITING_BYTES, MAX_WAITING_PER_ACCOUNT, Queue, Ticket, UsualLimits,
    Waiter,
};

const OBJECTIVE: Duration = ms(400);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn waiter(priority: u8, end: Instant) -> Waiter {
    Waiter {
        priority: Rank::new(priority.into()),
        end,
        service: 1,
        account: 1,
        bytes: 5_000,
    }
}

/// Evenly spread numbers in 0..1.
#[derive(Default)]
struct Draws(f64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = (self.0 + 0.618_034).fract();
        self.0
    }
}

/// First attempts whose limits differ by a little were taken for second ones, and were not refused
/// at once when nothing could serve them.
#[test]
fn only_noticeably_shorter_limits_are_those_of_returning_callers() {
    let now = Instant::now();
    let mut limits = UsualLimits::default();
    let mut record = |limit| limits.record(7, ms(limit), OBJECTIVE, now);
    // The gateway starts within an outage: its first caller is one that returns.
    assert!(!record(4_100));
    for spent in 0..150 {
        assert!(!record(6_000 - spent));
    }
    assert!(record(4_100));
    assert!(record(5_740));
    // One that does not keep to `Retry-After` and comes back at once.
    assert!(!record(5_990));
}

/// One caller with a long limit made all others returning ones, which then waited instead of
/// being refused at once.
#[test]
fn rare_long_limit_makes_nobody_a_returning_caller() {
    let now = Instant::now();
    let mut limits = UsualLimits::default();
    for i in 0..2_000 {
        let limit = if i % 20 == 19 { 30_000 } else { 6_000 };
        let is_returning = limits.record(7, ms(limit), OBJECTIVE, now);
        assert!(!is_returning, "request {i}");
    }
    // The operator shortens the limit of all clients.
    let taken = (0..200).filter(|_| limits.record(7, ms(3_000), OBJECTIVE, now));
    assert!(taken.count() <= 70);
    assert!(!limits.record(7, ms(3_000), OBJECTIVE, now));
}

/// A client that gives all its requests less time was taken for one that returns.
#[test]
fn shorter_limit_of_many_first_attempts_is_learned() {
    let now = Instant::now();
    let mut limits = UsualLimits::default();
    let mut draws = Draws::default();
    let mut taken = 0;
    for _ in 0..300 {
        limits.record(7, ms(6_000), OBJECTIVE, now);
        taken += u32::from(limits.record(7, ms(4_000), OBJECTIVE, now));
        if draws.next() < 0.1 {
            let spent = RefusalRate::retry_after_outage(ms(6_000), draws.next());
            assert!(limits.record(7, ms(6_000).saturating_sub(spent), OBJECTIVE, now));
        }
    }
    assert!(
        taken <= 12,
        "{taken} first attempts were taken for second ones"
    );
}

/// In the 2 s after a burst more callers return than come first; the usual limit must stay known.
#[test]
fn usual_limit_outlasts_a_wave_of_returning_callers() {
    let now = Instant::now();
    let mut limits = UsualLimits::default();
    let mut draws = Draws::default();
    for _ in 0..100 {
        limits.record(7, ms(6_000), OBJECTIVE, now);
    }
    for i in 0..1_000 {
        if i % 4 == 0 {
            assert!(!limits.record(7, ms(6_000), OBJECTIVE, now));
        } else {
            let spent = RefusalRate::retry_after_outage(ms(6_000), draws.next());
            assert!(
                limits.record(7, ms(6_000).saturating_sub(spent), OBJECTIVE, now),
                "{i}"
            );
        }
    }
}

/// Thousands of routes took memory without a bound, or pushed out the routes in use.
#[test]
fn routes_without_recent_requests_are_forgotten() {
    let now = Instant::now();
    let mut limits = UsualLimits::default();
    for i in 0..5_000 {
        let at = now + ms(i);
        limits.record(1_000_000, ms(6_000), OBJECTIVE, at);
        limits.record(i, ms(6_000), OBJECTIVE, at);
    }
    assert_eq!(limits.len(), 512);
    let at = now + ms(6_000);
    assert!(limits.record(1_000_000, ms(4_000), OBJECTIVE, at));
}

/// An urgent caller waited behind a less urgent one, or one with time behind one without.
#[test]
fn more_urgent_callers_and_those_with_less_time_are_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for (name, priority, end) in [("c", 1, 900), ("d", 2, 100), ("a", 0, 800), ("b", 1, 300)] {
        let waiter = waiter(priority, now + ms(end));
        queue.enter(&waiter, name, now).unwrap();
    }
    assert_eq!(queue.wake(2, 4, now), Vec::<&str>::new());
    assert_eq!(queue.wake(1, 2, now), ["a", "b"]);
    // Two try already.
    assert_eq!(queue.wake(1, 2, now), Vec::<&str>::new());
    assert_eq!(queue.wake_next(1, None, now), Some("c"));
    assert_eq!(queue.wake(1, 9, now), ["d"]);
}

/// A caller that a host has just refused used up its slot requests within milliseconds, since the
/// host's answer carries a new state.
#[test]
fn refused_caller_rests_while_others_try() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let (first, _) = queue.enter(&waiter(0, now + ms(900)), 'a', now).unwrap();
    queue.enter(&waiter(1, now + ms(900)), 'b', now).unwrap();
    assert_eq!(queue.wake(1, 1, now), ['a']);
    queue.rest(first, now + returning::rest_after(1));
    assert!(!queue.try_first(first, 1, now));
    assert_eq!(queue.wake(1, 1, now), ['b']);
    let later = now + ms(100);
    assert!(queue.try_first(first, 1, later));
    // It tries already.
    assert!(!queue.try_first(first, 1, later));
    assert_eq!(queue.wake(1, 3, later), Vec::<char>::new());
}

/// The queue grew without a bound, one account filled it, or an urgent caller found it full of
/// less urgent ones.
#[test]
fn queue_is_bounded() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let end = now + ms(2_000);
    let entered = (0..500).filter(|_| queue.enter(&waiter(1, end), 0, now).is_some());
    assert_eq!(entered.count(), MAX_WAITING_PER_ACCOUNT);
    let mut last = None;
    for account in 2..500 {
        let other = Waiter {
            account,
            ..waiter(2, end)
        };
        last = queue.enter(&other, account, now).map(|e| e.0).or(last);
    }
    assert_eq!(queue.len(), MAX_WAITING);
    let urgent = Waiter {
        account: 1_000,
        ..waiter(0, end)
    };
    let (_, displaced) = queue.enter(&urgent, 1_000, now).unwrap();
    assert_eq!(displaced.len(), 1);
    assert!(!queue.contains(last.unwrap()));
    let large = Waiter {
        account: 1_001,
        bytes: MAX_WAITING_BYTES / 2,
        ..urgent
    };
    let (_, displaced) = queue.enter(&large, 1_001, now).unwrap();
    assert!(!displaced.is_empty());
    assert!(queue.bytes() <= MAX_WAITING_BYTES);
}

/// A caller that came back too early had given up its place before the engines served again. An
/// outage of 3 s must be covered whatever the share of refusals is, and one of 4 s almost, up to
/// the callers of its first 0.15 s.
#[test]
fn retry_time_and_wait_cover_an_outage() {
    let start = Instant::now();
    let deadline = start + ms(5_980);
    let service = ms(1_200);
    for refused in 0..=10 {
        let mut rate = RefusalRate::new(start);
        (0..10).for_each(|i| rate.record(i >= refused, start));
        for step in 0..=20 {
            let draw = f64::from(step) / 20.0;
            let left = deadline.duration_since(start);
            let full = start + rate.retry_after(left, draw);
            let outage = start + RefusalRate::retry_after_outage(left, draw);
            for (back, covered) in [(full, 2_990), (outage, 3_850)] {
                let end = returning::wait_end(back, deadline, service).unwrap();
                assert!(end >= start + ms(covered), "{refused} {step} {covered}");
                assert!(end + service <= deadline);
            }
        }
    }
}

/// A caller of the model.
#[derive(Clone, Copy)]
struct Caller {
    priority: u8,
    deadline: Instant,
    is_returning: bool,
}

/// What became of the callers of the model.
#[derive(Debug, Default)]
struct Counts {
    callers: usize,
    /// New callers that got a slot.
    at_first: usize,
    /// Returning callers that got a slot, by priority.
    later: [usize; 3],
    /// Returning callers that were refused again, by priority.
    refused: [usize; 3],
    /// Most callers that waited at once.
    waiting: usize,
}

/// One gateway and its share of the slots. Callers come for `length` at `rate` per second, with
/// 6 s and an answer that takes `SERVICE`. No slot is open before `outage`. Slots are stated
/// every 50 ms.
struct Model {
    now: Instant,
    slots: usize,
    ends: Vec<Instant>,
    queue: Queue<(Caller, Ticket)>,
    counts: Counts,
    draws: Draws,
}

const SERVICE: Duration = ms(900);

impl Model {
    fn run(slots: usize, rate: u32, length: Duration, outage: Duration) -> Counts {
        let start = Instant::now();
        let mut model = Self {
            now: start,
            slots,
            ends: Vec::new(),
            queue: Queue::default(),
            counts: Counts::default(),
            draws: Draws::default(),
        };
        let mut returns: Vec<(Instant, Caller)> = Vec::new();
        let mut waiting: Vec<(Ticket, Caller)> = Vec::new();
        let mut owed = 0.0;
        while model.now < start + length + ms(8_000) {
            let now = model.now;
            model.ends.retain(|end| *end > now);
            let is_open = now >= start + outage;
            if now < start + length {
                owed += f64::from(rate) / 1_000.0;
            }
            while owed >= 1.0 {
                owed -= 1.0;
                model.counts.callers += 1;
                let caller = Caller {
                    priority: u8::try_from(model.counts.callers % 3).unwrap(),
                    deadline: now + ms(6_000),
                    is_returning: false,
                };
                if is_open && model.place(caller) {
                    continue;
                }
                let draw = model.draws.next();
                let wait = RefusalRate::retry_after_outage(ms(6_000), draw);
                let is_returning = true;
                returns.push((
                    now + wait,
                    Caller {
                        is_returning,
                        ..caller
                    },
                ));
            }
            let back: Vec<Caller> = returns
                .extract_if(.., |r| r.0 <= now)
                .map(|r| r.1)
                .collect();
            for caller in back {
                if is_open && model.place(caller) {
                    continue;
                }
                let end = returning::wait_end(now, caller.deadline, SERVICE).unwrap();
                let waiter = Waiter {
                    account: u64::try_from(waiting.len() % 24).unwrap(),
                    ..waiter(caller.priority, end)
                };
                // The model finds the caller by its ticket, not by the handle.
                let none = Ticket {
                    priority: Rank::new(0),
                    end,
                    number: 0,
                };
                match model.queue.enter(&waiter, (caller, none), now) {
                    Some((ticket, _)) => waiting.push((ticket, caller)),
                    None => model.counts.refused[usize::from(caller.priority)] += 1,
                }
            }
            waiting.sort_by_key(|w| w.0);
            waiting.retain(|(ticket, caller)| {
                let is_late = now >= ticket.end;
                let is_out = !model.queue.contains(*ticket) || is_late;
                if is_out {
                    model.queue.leave(*ticket);
                    model.counts.refused[usize::from(caller.priority)] += 1;
                }
                !is_out
            });
            model.counts.waiting = model.counts.waiting.max(model.queue.len());
            let stated = now.duration_since(start).as_millis().is_multiple_of(50);
            if is_open && stated {
                // Each caller that gets a slot wakes the next one, up to the first refusal.
                waiting.retain(|(ticket, caller)| {
                    let is_placed = model.place(*caller);
                    if is_placed {
                        model.queue.leave(*ticket);
                    }
                    !is_placed
                });
            }
            model.now += ms(1);
        }
        assert!(model.queue.is_empty() && model.queue.bytes() == 0);
        model.counts
    }

    fn place(&mut self, caller: Caller) -> bool {
        if self.ends.len() >= self.slots {
            return false;
        }
        assert!(self.now + SERVICE <= caller.deadline, "placed too late");
        self.ends.push(self.now + SERVICE);
        if caller.is_returning {
            self.counts.later[usize::from(caller.priority)] += 1;
        } else {
            self.counts.at_first += 1;
        }
        true
    }
}

/// Callers that were refused in an outage of 3 to 4 s came back within it and were refused for the
/// last time. The share of one of 14 gateways: 29 slots, at half of what they can serve.
#[test]
fn callers_of_an_outage_are_served_when_they_come_back() {
    let counts = Model::run(29, 16, ms(8_000), ms(3_000));
    assert_eq!(counts.refused, [0; 3], "{counts:?}");
    // Half of the time left ends 3.86 to 3.99 s after the first attempt.
    let counts = Model::run(29, 16, ms(8_000), ms(4_000));
    assert!(counts.refused.iter().sum::<usize>() <= 3, "{counts:?}");
    assert!(counts.waiting <= MAX_WAITING, "{counts:?}");
}

/// In an overload returning callers filled the gateway's memory, or took the slots of new ones.
#[test]
fn overload_leaves_the_queue_bounded_and_urgent_callers_first() {
    // 32 requests/s can be served.
    let counts = Model::run(29, 128, ms(10_000), Duration::ZERO);
    assert!(counts.waiting <= MAX_WAITING, "{counts:?}");
    let later: usize = counts.later.iter().sum();
    let refused: usize = counts.refused.iter().sum();
    assert_eq!(counts.callers, counts.at_first + later + refused);
    assert!(counts.later[0] > 2 * counts.later[2], "{counts:?}");
    // All slots were in use, and new callers had a fair part of them.
    assert!(counts.at_first + later >= 300, "{counts:?}");
    assert!(counts.at_first >= 100, "{counts:?}");
}
