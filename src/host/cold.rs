//! Gives out permits for cold targets: for the engine beside this host with its slots, for plain
//! targets by message.

use std::time::{Duration, Instant};

use log::info;

use crate::clock::Clock;
use crate::host::{Host, limits};
use crate::node::message::{ColdRequest, PermitReply};
use crate::place::cold::{Limiter, Limiters, Pace, Start, Tracker};
use crate::place::limit::Permit;
use crate::place::slots::GrantId;

/// What a host knows of cold targets.
#[derive(Debug, Default)]
pub struct ColdTargets {
    /// The engine beside this host.
    engine: Tracker,
    /// Its pace while it is cold; `None` if its service has no cold start.
    pace: Option<Pace>,
    permits: Limiter,
    /// Permits for plain targets.
    plain: Limiters,
}

impl<C: Clock> Host<C> {
    /// Records the start of the engine that its report states, and tells gateways if it is cold.
    pub(super) fn observe_start(&self, started: u64, now: Instant) {
        let catalog = self.catalog.snapshot();
        let config = catalog.config.as_ref();
        let service = config.and_then(|c| c.service(&self.service));
        let cold = service.and_then(|s| s.cold);
        let mut targets = catalog.targets.iter().map(|t| &t.value);
        let registered = targets.find(|t| t.address == self.target && t.started == started);
        let start = Start {
            started,
            left: registered.map(|t| t.cold_left),
        };
        let mut targets = self.cold.lock();
        targets.pace = cold.map(|c| self.bounds.cold().pace(c.rate));
        let wall = Some(self.clock.wall());
        let is_cold = targets.engine.observe(start, cold, now, wall);
        let left = targets.engine.left(now);
        drop(targets);
        if is_cold {
            let ms = limits::wait_millis(left);
            info!(target:% = self.target, ms; "target is cold");
            self.publish_state();
        }
    }

    /// Time for which the engine is still cold.
    pub(super) fn cold_left(&self, now: Instant) -> Duration {
        self.cold.lock().engine.left(now)
    }

    /// Decides whether the engine may get a request, if it is cold.
    pub(super) fn request_cold(&self, id: GrantId, now: Instant) -> Permit {
        let mut targets = self.cold.lock();
        let left = targets.engine.left(now);
        match targets.pace {
            Some(pace) if !left.is_zero() => match targets.permits.request(id, pace, now) {
                Permit::Denied(wait) => Permit::Denied(wait.min(left)),
                Permit::Granted => Permit::Granted,
            },
            _ => Permit::Granted,
        }
    }

    /// Counts a request that the engine gets while it is not known to be cold: up to a poll
    /// interval passes before a start is seen.
    pub(super) fn count_warm(&self, now: Instant) {
        let mut targets = self.cold.lock();
        if let Some(pace) = targets.pace
            && targets.engine.left(now).is_zero()
        {
            targets.permits.count(pace, now);
        }
    }

    /// Takes back the permit of a request that was not sent or was declined.
    pub(super) fn cancel_cold(&self, id: GrantId) {
        self.cold.lock().permits.cancel(id);
    }

    /// Records that the engine's process has ended.
    pub(super) fn record_engine_end(&self) {
        self.cold.lock().engine.record_end();
    }

    /// Decides on a gateway's request for a permit for a plain target.
    pub(super) fn decide_cold(&self, request: &ColdRequest, now: Instant) -> PermitReply {
        let id = GrantId {
            gateway_id: request.gateway_id,
            request_id: request.request_id,
        };
        let pace = Pace::new(request.rate, request.burst);
        let lifetime = request.lifetime;
        let mut targets = self.cold.lock();
        let permit = targets
            .plain
            .request(lifetime, id, pace, Duration::ZERO, now);
        PermitReply {
            request_id: request.request_id,
            wait_ms: match permit {
                Permit::Granted => 0,
                Permit::Denied(wait) => limits::wait_millis(wait),
            },
        }
    }
}
