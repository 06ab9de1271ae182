//! Acquires permits for plain targets that are cold.

use std::time::Duration;

use rand::RngExt;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::node::message::ColdRequest;
use crate::place::cold::{self, Witness};
use crate::place::limit::Permit;
use crate::place::pool::TargetKey;
use crate::place::slots::GrantId;

impl<C: Clock> Gateway<C> {
    /// Acquires a permit to send a request to a plain target if it is cold. `asks` counts the
    /// witnesses that are asked.
    pub(super) async fn acquire_cold_permit(&self, target: TargetKey, asks: &mut u32) -> Permit {
        let Some((rate, lifetime, left, witnesses)) = self.cold_target(target) else {
            return Permit::Granted;
        };
        let bound = self.bounds.cold();
        let mut request = ColdRequest {
            gateway_id: self.agents.gateway_id(),
            request_id: self.agents.next_request_id(),
            lifetime,
            rate: 0.0,
            burst: 0.0,
        };
        for witness in witnesses {
            let pace = if witness.is_first {
                Some(bound.pace(rate))
            } else {
                bound.fallback_pace(rate)
            };
            let Some(pace) = pace.filter(|_| self.is_asked(witness)) else {
                continue;
            };
            *asks += 1;
            (request.rate, request.burst) = (pace.rate(), pace.burst());
            if let Some(reply) = self
                .agents
                .request_cold_permit(witness.address, request)
                .await
            {
                return match reply.wait_ms {
                    0 => Permit::Granted,
                    wait => Permit::Denied(Duration::from_millis(wait.into()).min(left)),
                };
            }
            self.mark_unresponsive(witness.key, witness.address);
        }
        // Gateways that see a target start at the same time must not all send at once.
        let pace = bound.lone_pace(rate);
        let delay = pace.interval().mul_f64(rand::rng().random());
        let id = GrantId {
            gateway_id: 0,
            request_id: request.request_id,
        };
        let now = self.clock.now();
        let mut limiters = self.cold_permits.lock();
        match limiters.request(lifetime, id, pace, delay, now) {
            Permit::Denied(wait) => Permit::Denied(wait.min(left)),
            Permit::Granted => Permit::Granted,
        }
    }

    /// Rate, lifetime, cold time and witnesses of a target; `None` if it is not cold.
    fn cold_target(&self, key: TargetKey) -> Option<(f64, u64, Duration, Vec<Witness>)> {
        let now = self.clock.now();
        let pool = self.pool.lock();
        let entry = pool.get(key)?;
        let rate = entry.cold.rate(now)?;
        let witnesses = cold::witnesses(&pool, &entry.target);
        Some((rate, entry.lifetime, entry.cold.left(now), witnesses))
    }

    /// Whether a witness reports and has not failed to answer just now.
    fn is_asked(&self, witness: Witness) -> bool {
        let now = self.clock.now();
        let pool = self.pool.lock();
        let entry = pool.get(witness.key);
        entry.is_some_and(|e| e.has_agent(now) && !e.is_unresponsive(now))
    }
}
