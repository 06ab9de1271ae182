//! Lets returning callers wait for a place.

use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::{counter, gauge};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;
use xxhash_rust::xxh3;

use crate::clock::Clock;
use crate::fleet::Route;
use crate::gateway::Gateway;
use crate::gateway::attempt::PlacementError;
use crate::gateway::call::{Call, Trace};
use crate::gateway::guard::SlotGuard;
use crate::place::forecast::Forecast;
use crate::place::returning::{self, Ticket, Waiter};
use crate::platform::request::{self, CallerHeaders};

/// Interval at which a waiting caller looks for a place without being woken if it is the first
/// one, since a pause or a rate limit of a target ends without a message.
const TICK: Duration = Duration::from_millis(250);

/// Result of a wait that ended without a place.
const REFUSED: &str = "refused";

/// Waiting callers, with what wakes each of them.
pub type Queue = returning::Queue<Arc<Notify>>;

/// Hash by which the queue knows a service.
#[must_use]
pub fn service_key(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Place of a caller in the queue; given up when it is dropped.
struct Place<'a, C: Clock> {
    gateway: &'a Gateway<C>,
    trace: &'a Mutex<Trace>,
    ticket: Ticket,
    service: u64,
    notify: Arc<Notify>,
    since: Instant,
    /// Result of the wait for the metric; remains if the caller disconnects.
    result: &'static str,
}

impl<C: Clock> Place<'_, C> {
    /// Waits until the caller is woken or `end` comes, but not longer than a tick. Returns
    /// whether it was woken.
    async fn woken(&self, end: Instant) -> bool {
        let left = end.saturating_duration_since(self.gateway.clock.now());
        let woken = time::timeout(left.min(TICK), self.notify.notified()).await;
        woken.is_ok()
    }
}

impl<C: Clock> Drop for Place<'_, C> {
    fn drop(&mut self) {
        let gateway = self.gateway;
        let now = gateway.clock.now();
        let next = {
            let mut queue = gateway.waiting.lock();
            queue.leave(self.ticket);
            set_waiting(&queue);
            // The next caller gets the turn of this one, unless it was used up.
            let has_turn = self.result != REFUSED;
            has_turn.then(|| queue.wake_next(self.service, None, now))
        };
        let next = next.flatten();
        if let Some(next) = next {
            next.notify_one();
        }
        self.trace.lock().waited += now.saturating_duration_since(self.since);
        record_wait(self.result);
    }
}

impl<C: Clock> Gateway<C> {
    /// Records the time limit of a caller, and returns whether the caller returns after a refusal.
    pub(super) fn record_time_limit(&self, route: &Route, headers: &CallerHeaders) -> bool {
        let Some(limit) = headers.timeout else {
            return false;
        };
        // A resumed stream began in time, and its caller has been served in part.
        if headers.last_event.is_some() {
            return false;
        }
        let key = xxh3::xxh3_64(route.name.as_bytes());
        let limit = limit.min(route.timeout);
        let now = self.clock.now();
        let mut limits = self.usual_limits.lock();
        limits.record(key, limit, route.objective, now)
    }

    /// Acquires a slot for a request. A returning caller that finds no place waits for one unless
    /// its request was sent before.
    pub(super) async fn acquire_or_wait(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        has_begun: bool,
    ) -> Result<SlotGuard<C>, PlacementError> {
        let may_wait = call.is_returning && !has_begun && trace.lock().sends == 0;
        let end = may_wait.then(|| wait_end(call)).flatten();
        let Some(end) = end.filter(|end| *end > self.clock.now()) else {
            return self.acquire_slot(call, trace).await;
        };
        let first = returning::ASKS_BEFORE_WAIT;
        match self.acquire_slot_within(call, trace, first).await {
            Err(error) if self.may_pass(error, end) => {
                self.wait_for_slot(call, trace, end, error).await
            }
            result => result,
        }
    }

    async fn wait_for_slot(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        end: Instant,
        error: PlacementError,
    ) -> Result<SlotGuard<C>, PlacementError> {
        let Some(mut place) = self.enter_queue(call, trace, end) else {
            record_wait("no room");
            return Err(error);
        };
        let mut error = error;
        let mut refusals = 0;
        loop {
            let is_woken = place.woken(end).await;
            let now = self.clock.now();
            if !self.may_begin(call.end) {
                place.result = "stopping";
                return Err(PlacementError::Stopping);
            }
            let has_place = self.waiting.lock().contains(place.ticket);
            if !has_place {
                place.result = "displaced";
                return Err(error);
            }
            if self.is_quarantined(call) {
                place.result = REFUSED;
                return Err(PlacementError::CrashesTargets);
            }
            let is_last = now >= end;
            if !is_woken && !is_last && !self.try_first(&place) {
                continue;
            }
            let asks = trace.lock().asks;
            match self.acquire_slot_within(call, trace, 1).await {
                Ok(slot) => {
                    place.result = "placed";
                    return Ok(slot);
                }
                Err(e) => error = e,
            }
            let was_asked = trace.lock().asks > asks;
            refusals += u32::from(was_asked);
            let asks = asks + u32::from(was_asked);
            if is_last || asks >= returning::MAX_ASKS || !self.may_pass(error, end) {
                place.result = REFUSED;
                return Err(error);
            }
            let mut rest = pause(error);
            if was_asked {
                rest = rest.max(returning::rest_after(refusals));
            }
            self.rest(&place, rest);
        }
    }

    /// Lets a caller wait; `None` if the queue has no room for it.
    fn enter_queue<'a>(
        &'a self,
        call: &Call,
        trace: &'a Mutex<Trace>,
        end: Instant,
    ) -> Option<Place<'a, C>> {
        let now = self.clock.now();
        let account = call.account.as_deref().unwrap_or_default();
        let waiter = Waiter {
            priority: call.priority,
            end,
            service: service_key(&call.service),
            account: xxh3::xxh3_64(account.as_bytes()),
            bytes: call.body.len() + request::header_bytes(&call.headers),
        };
        let notify = Arc::new(Notify::new());
        let mut queue = self.waiting.lock();
        let (ticket, displaced) = queue.enter(&waiter, notify.clone(), now)?;
        set_waiting(&queue);
        drop(queue);
        for waiting in displaced {
            waiting.notify_one();
        }
        Some(Place {
            gateway: self,
            trace,
            ticket,
            service: waiter.service,
            notify,
            since: now,
            result: "left",
        })
    }

    /// Whether a caller that was not woken looks for a place.
    fn try_first(&self, place: &Place<'_, C>) -> bool {
        let now = self.clock.now();
        let mut queue = self.waiting.lock();
        queue.try_first(place.ticket, place.service, now)
    }

    /// Marks a caller as idle that found no place, for `rest` at least. If that is zero, it could
    /// ask no target now, and the next caller may be luckier.
    fn rest(&self, place: &Place<'_, C>, rest: Duration) {
        let now = self.clock.now();
        let next = {
            let mut queue = self.waiting.lock();
            queue.rest(place.ticket, now + rest);
            let has_turn = rest.is_zero();
            has_turn.then(|| queue.wake_next(place.service, Some(place.ticket), now))
        };
        if let Some(next) = next.flatten() {
            next.notify_one();
        }
    }

    /// Whether there may be a place before `end`.
    fn may_pass(&self, error: PlacementError, end: Instant) -> bool {
        match error {
            PlacementError::Full
            | PlacementError::NoTarget
            | PlacementError::RateLimited(_)
            | PlacementError::AskedToWait(_) => self.clock.now() + pause(error) < end,
            _ => false,
        }
    }

    /// Wakes waiting callers of a service after one of its targets stated `free` slots.
    pub(super) fn wake_waiting(&self, service: u64, free: u32) {
        let count = returning::woken_for(free);
        if count == 0 {
            return;
        }
        let now = self.clock.now();
        let woken = self.waiting.lock().wake(service, count, now);
        for waiting in woken {
            waiting.notify_one();
        }
    }

    /// Wakes the first waiting caller of each service after a change of the catalog.
    pub(super) fn wake_each_waiting(&self) {
        let woken = self.waiting.lock().wake_each(self.clock.now());
        for waiting in woken {
            waiting.notify_one();
        }
    }
}

/// When a returning caller stops waiting for a place; `None` if it can't be served in time.
fn wait_end(call: &Call) -> Option<Instant> {
    let service = call.config.service(&call.service)?;
    let time = match &service.engine {
        Some(engine) => {
            let forecast = Forecast::new(engine);
            let headers = &call.caller_headers;
            forecast.first_event(headers.prompt_tokens, engine.slots)
                + forecast.decode(headers.output_tokens, engine.slots)
        }
        None => call.route().objective,
    };
    returning::wait_end(call.start, call.deadline, time)
}

/// Time for which no target takes a request, as far as it is known.
fn pause(error: PlacementError) -> Duration {
    match error {
        PlacementError::RateLimited(wait) | PlacementError::AskedToWait(wait) => wait,
        _ => Duration::ZERO,
    }
}

fn record_wait(result: &'static str) {
    counter!("corianderramp_gateway_waits_total", "result" => result).increment(1);
}

#[allow(clippy::cast_precision_loss)]
fn set_waiting(queue: &Queue) {
    gauge!("corianderramp_gateway_waiting").set(queue.len() as f64);
}
