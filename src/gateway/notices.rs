//! Acts on what targets say of themselves in the heads of their answers.

use std::time::Instant;

use http::{StatusCode, response};
use log::info;
use metrics::counter;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::PlacementError;
use crate::gateway::call::{Call, Trace};
use crate::gateway::guard::SlotGuard;
use crate::place::eligibility::{Cause, Pause};
use crate::place::pool::Requirements;
use crate::platform::request;

impl<C: Clock> Gateway<C> {
    /// Records what the head of an answer says of its target. The request was sent at `sent`.
    pub(super) fn observe_head(
        &self,
        call: &Call,
        slot: &SlotGuard<C>,
        head: &response::Parts,
        sent: Instant,
    ) {
        self.observe_limit(call, slot.key, head, sent);
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.observe_wait(slot, head);
        }
        if request::is_leaving(&head.headers) {
            let mut pool = self.pool.lock();
            if pool.record_leaving(slot.key, slot.lifetime) {
                drop(pool);
                counter!("corianderramp_gateway_notices_total", "notice" => "leaving").increment(1);
                info!(target:% = slot.address; "target says that it leaves");
            }
        }
    }

    /// Records the time for which a target that turned a request away wants none.
    fn observe_wait(&self, slot: &SlotGuard<C>, head: &response::Parts) {
        let Some(wait) = request::requested_wait(&head.headers) else {
            return;
        };
        let now = self.clock.now();
        let mut pool = self.pool.lock();
        if pool.record_wait(slot.key, slot.lifetime, wait, now) {
            drop(pool);
            counter!("corianderramp_gateway_notices_total", "notice" => "wait").increment(1);
            let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            info!(target:% = slot.address, wait; "target wants no requests for a time");
        }
    }

    /// Returns why a request is refused after its last attempt: all targets that could take it may
    /// be evacuated or in a pause.
    pub(super) fn refusal_cause(
        &self,
        call: &Call,
        trace: &Trace,
        error: PlacementError,
    ) -> PlacementError {
        if error != PlacementError::NoTarget {
            return error;
        }
        let now = self.clock.now();
        let needs = Requirements {
            service: &call.service,
            excluded: &trace.tried,
            min_version: self.required_version(call, now),
            data_center: &self.data_center,
            scope: &self.scope(call),
            timing: self.timing(call),
        };
        if self.is_evacuated(&needs, now) {
            return PlacementError::Evacuated;
        }
        let pause = self.pool.lock().pause(&needs, now);
        pause.map_or(error, PlacementError::from)
    }
}

impl From<Pause> for PlacementError {
    fn from(pause: Pause) -> Self {
        match pause.cause {
            Cause::RateLimit => Self::RateLimited(pause.time),
            Cause::Wait => Self::AskedToWait(pause.time),
        }
    }
}
