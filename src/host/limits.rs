//! Gives out permits for targets that named a rate limit: for the one beside this host with its
//! slots, for those without a host by message.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use log::info;

use crate::clock::Clock;
use crate::host::Host;
use crate::node::message::{Body, PermitReply, PermitRequest, RateLimit};
use crate::place::limit::{Notice, Permit};
use crate::place::slots::GrantId;

/// Whole milliseconds of a wait, rounded up so that the permit is there when it ends.
pub(super) fn wait_millis(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX)
}

impl<C: Clock> Host<C> {
    /// Records what an answer of a target said of its rate limit, and tells all gateways of a
    /// change.
    pub(super) fn receive_limit(&self, message: &RateLimit, now: Instant) {
        let notice = message.notice(now);
        if !self.limits.lock().update(message.lifetime, notice) {
            return;
        }
        info!(lifetime = format!("{:016x}", message.lifetime).as_str(), rate = notice.rate; "rate limit passed on");
        let message = self.limit_message(message.lifetime, &notice, now);
        self.send_to_gateways(&Body::RateLimit(message));
    }

    fn limit_message(&self, lifetime: u64, notice: &Notice, now: Instant) -> RateLimit {
        RateLimit {
            process: self.process,
            ..RateLimit::new(lifetime, notice, now)
        }
    }

    /// Decides on a gateway's request for a permit.
    pub(super) fn decide_permit(&self, request: &PermitRequest, now: Instant) -> PermitReply {
        self.receive_limit(&request.limit, now);
        let id = GrantId {
            gateway_id: request.gateway_id,
            request_id: request.request_id,
        };
        let permit = self.limits.lock().request(request.limit.lifetime, id, now);
        PermitReply {
            request_id: request.request_id,
            wait_ms: match permit {
                Permit::Granted => 0,
                Permit::Denied(wait) => wait_millis(wait),
            },
        }
    }

    /// Tells a gateway that has just started of all limits in force.
    pub(super) fn send_limits(&self, gateway: SocketAddr, now: Instant) {
        let limits = self.limits.lock();
        let messages: Vec<RateLimit> = limits
            .notices()
            .map(|(lifetime, notice)| self.limit_message(lifetime, &notice, now))
            .collect();
        drop(limits);
        for message in messages {
            self.send(gateway, Body::RateLimit(message));
        }
    }
}
