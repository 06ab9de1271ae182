//! Decides whether a target may be asked now and, if not, when.
//!
//! The rules, each with its load pattern; the first that applies decides:
//!
//! - Leaving: answers of a target say that it leaves, while the store is away or its registration
//!   still says that it is ready. It then ends within seconds, with all requests that it still
//!   gets. It gets none for the rest of its lifetime, whatever the store says.
//! - Wait: a target in need turns requests away and names a time for which it wants none. Each
//!   request sent to it before costs a retry, or its caller a refusal. Gateways keep the time each
//!   by itself, as the target names it to each.
//! - Rate limit: a target takes few requests a second from all gateways together, see
//!   [`crate::place::limit`]. It is asked again when its keeper expects to have a permit.
//! - Avoided: requests fail at a target that is broken, cut off or has crashed and refuses
//!   connections. It is asked last, for longer with each failure in a row: if all targets fail,
//!   requests must still find out which of them is back.
//! - Silent: a target has sent nothing for so long that another one is looked for beside it, see
//!   [`crate::place::patience`]. Sound targets pause, so that is no failure: it is asked last while
//!   requests wait for it, and for as long again if they stop waiting, unless it answers.

use std::time::{Duration, Instant};

use crate::place::limit::Notice;

/// Time for which a failed target is asked last, per failure in a row.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// Failures in a row from which that time grows no further.
const MAX_AVOID_STEPS: u32 = 5;
/// Longest wait that is kept. A longer one is mostly a mistake, such as milliseconds instead of
/// seconds, and must not cost the target for the rest of its lifetime. One that it means is named
/// again to the single request that comes each hour.
const MAX_WAIT: Duration = Duration::from_secs(60 * 60);

/// Why a target is not asked for a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its rate limit leaves no room.
    RateLimit,
    /// It named a time for which it wants no requests.
    Wait,
}

/// Time for which a target is not asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// Time until the target may be asked.
    pub time: Duration,
    /// Rule that ends last.
    pub cause: Cause,
}

/// Whether a target may be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be asked.
    Ask,
    /// It may be asked if no other target can be.
    AskLast,
    /// It may be asked after a pause.
    Wait(Pause),
    /// It must not be asked in this lifetime.
    Never,
}

/// What decides whether one lifetime of a target may be asked.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::eligibility::{Cause, Eligibility, Pause, Verdict};
///
/// let mut target = Eligibility::default();
/// let now = Instant::now();
/// assert_eq!(target.verdict(now), Verdict::Ask);
/// let time = Duration::from_secs(2);
/// target.record_wait(time, now);
/// assert_eq!(target.verdict(now), Verdict::Wait(Pause { time, cause: Cause::Wait }));
/// assert_eq!(target.verdict(now + time), Verdict::Ask);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Eligibility {
    is_leaving: bool,
    /// Until when the target wants no requests.
    wait_until: Option<Instant>,
    /// What the target last said of its rate limit.
    limit: Option<Notice>,
    /// Until when its rate limit leaves no room for a request.
    limited_until: Option<Instant>,
    /// Failures since the last success.
    failures: u32,
    /// Until when the target is asked last.
    avoid_until: Option<Instant>,
    /// Requests of this gateway that wait for the silent target.
    silent: u32,
}

impl Eligibility {
    /// Returns whether the target may be asked at `now`.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Verdict {
        if self.is_leaving {
            return Verdict::Never;
        }
        let pauses = [
            (self.wait_until, Cause::Wait),
            (self.limited_until, Cause::RateLimit),
        ];
        let pauses = pauses.into_iter().filter_map(|(until, cause)| {
            let time = until?.saturating_duration_since(now);
            (!time.is_zero()).then_some(Pause { time, cause })
        });
        if let Some(pause) = pauses.max_by_key(|p| p.time) {
            return Verdict::Wait(pause);
        }
        if self.silent > 0 || self.avoid_until.is_some_and(|until| now < until) {
            return Verdict::AskLast;
        }
        Verdict::Ask
    }

    /// Returns whether the target itself wants no request at `now`, so that one that was placed on
    /// it must go elsewhere.
    #[must_use]
    pub fn is_unwanted(&self, now: Instant) -> bool {
        self.is_leaving || self.wait_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target said something that holds for the rest of its lifetime or for
    /// a time.
    #[must_use]
    pub fn has_notice(&self) -> bool {
        self.is_leaving || self.wait_until.is_some() || self.limit.is_some_and(|n| n.rate.is_some())
    }

    /// What the target last said of its rate limit.
    #[must_use]
    pub fn limit(&self) -> Option<Notice> {
        self.limit
    }

    /// Records that the target leaves. Returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the target wants no requests for `wait`, of which at most an hour counts. The
    /// longest of several waits holds. Returns whether no wait was in force before.
    pub fn record_wait(&mut self, wait: Duration, now: Instant) -> bool {
        if wait.is_zero() {
            return false;
        }
        let is_new = self.wait_until.is_none_or(|until| until <= now);
        self.wait_until = self.wait_until.max(Some(now + wait.min(MAX_WAIT)));
        is_new
    }

    /// Records what the target said of its rate limit. Returns whether the limit changed.
    pub fn record_limit(&mut self, notice: Notice) -> bool {
        if !notice.replaces(self.limit.as_ref()) {
            return false;
        }
        let before = self.limit.replace(notice).and_then(|n| n.rate);
        if notice.rate != before {
            self.limited_until = None;
        }
        before != notice.rate
    }

    /// Records that the rate limit of the target leaves no room until `until`.
    pub fn record_limited(&mut self, until: Instant) {
        self.limited_until = Some(until);
    }

    /// Records whether a request to the target succeeded.
    pub fn record_result(&mut self, is_success: bool, now: Instant) {
        if is_success {
            self.failures = 0;
            self.avoid_until = None;
            // It answers others, so only one answer is late.
            self.silent = 0;
        } else {
            self.failures += 1;
            let steps = self.failures.min(MAX_AVOID_STEPS);
            self.avoid_until = Some(now + AVOID_TIME * steps);
        }
    }

    /// Counts a request for which another target is looked for, because this one is silent.
    pub fn begin_silence(&mut self) {
        self.silent += 1;
    }

    /// Counts the end of the silence for one request. `given_up` is its length if the request
    /// did not wait for the target to go on.
    pub fn end_silence(&mut self, given_up: Option<Duration>, now: Instant) {
        self.silent = self.silent.saturating_sub(1);
        if let Some(silence) = given_up {
            self.avoid_until = self.avoid_until.max(Some(now + silence));
        }
    }
}
