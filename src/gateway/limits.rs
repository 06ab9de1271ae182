//! Keeps the rate limits that targets name in their answers, together with all other gateways.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use http::response;
use log::info;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::call::Call;
use crate::node::message::{Body, RateLimit};
use crate::place::handover::HostProcess;
use crate::place::limit::{Notice, Permit};
use crate::place::pool::{Pool, TargetKey};
use crate::place::slots::GrantId;
use crate::place::witness;
use crate::platform::request;

/// Hosts that are asked for a permit, one after the other, before the gateway decides alone.
const MAX_KEEPERS: usize = 3;
/// Part of a limit that a gateway uses without any host that gives out permits. The number of
/// gateways is unknown then.
const LONE_SHARE: f64 = 0.125;

impl<C: Clock> Gateway<C> {
    /// Records what the head of an answer says of its target's rate limit, and tells the hosts
    /// that give out permits of a change. The request was sent at `sent`.
    pub(super) fn observe_limit(
        &self,
        call: &Call,
        key: TargetKey,
        head: &response::Parts,
        sent: Instant,
    ) {
        let Some(rate) = request::rate_limit(&head.headers) else {
            return;
        };
        // A rejection may come from a process before the target, which knows of no limit.
        if rate.is_none() && request::not_run(&head.headers) {
            return;
        }
        let now = self.clock.now();
        let notice = Notice {
            rate,
            at: now,
            sent,
        };
        let mut pool = self.pool.lock();
        if !pool.record_limit(key, notice) {
            return;
        }
        let Some(entry) = pool.get(key) else { return };
        let (address, lifetime) = (entry.target.address, entry.lifetime);
        let keepers = self.keepers(&pool, address, call.has_engine(), now);
        drop(pool);
        self.limit_holders.lock().remove(lifetime);
        log_limit(address, rate, "answer");
        let message = Body::RateLimit(RateLimit::new(lifetime, &notice, now));
        for keeper in keepers {
            self.send_copies(keeper, &message);
        }
    }

    /// Targets whose hosts give out permits for `target`.
    fn keepers(
        &self,
        pool: &Pool,
        target: SocketAddr,
        has_engine: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        if has_engine {
            return vec![target];
        }
        witness::choose(pool, target, &self.data_center, now)
    }

    /// Tells a new process of a host the rate limits that it must keep, unless it has said that it
    /// does.
    pub(super) fn tell_limits(&self, process: HostProcess) {
        let mut holders = self.limit_holders.lock();
        if !holders.set_told(process) {
            return;
        }
        let now = self.clock.now();
        let pool = self.pool.lock();
        let mut hosts: Vec<IpAddr> = pool.iter().map(|(_, e)| e.target.address.ip()).collect();
        hosts.sort_unstable();
        holders.retain(&hosts);
        for (_, entry) in pool.iter() {
            let Some(notice) = entry.limit.filter(|n| n.rate.is_some()) else {
                continue;
            };
            let target = &entry.target;
            let keepers = self.keepers(&pool, target.address, target.has_engine, now);
            let keeper = keepers.iter().find(|k| k.ip() == process.address);
            if let Some(keeper) = keeper
                && !holders.has(process.address, entry.lifetime)
            {
                let message = RateLimit::new(entry.lifetime, &notice, now);
                self.agents.send(*keeper, Body::RateLimit(message));
            }
        }
    }

    /// Handles the message of a host that a target's rate limit changed.
    pub(super) fn receive_limit(&self, from: SocketAddr, message: &RateLimit) {
        let notice = message.notice(self.clock.now());
        let process = HostProcess {
            address: from.ip(),
            id: message.process,
        };
        if notice.rate.is_some() {
            self.limit_holders.lock().add(process, message.lifetime);
        }
        let mut pool = self.pool.lock();
        let Some(key) = pool.find_lifetime(message.lifetime) else {
            return;
        };
        if !pool.record_limit(key, notice) {
            return;
        }
        let address = pool.get(key).map(|e| e.target.address);
        drop(pool);
        if let Some(address) = address {
            log_limit(address, notice.rate, &from.to_string());
        }
    }

    /// Target whose host gives out the permits for `target`; `None` while no host reports.
    fn choose_keeper(&self, target: SocketAddr) -> Option<(TargetKey, SocketAddr)> {
        let pool = self.pool.lock();
        let now = self.clock.now();
        let keeper = *witness::choose(&pool, target, &self.data_center, now).first()?;
        Some((pool.find(keeper)?, keeper))
    }

    /// Acquires a permit to send a request to `target`, which has a rate limit and no host that
    /// grants its slots. All gateways ask the same host; the next one if it does not answer.
    pub(super) async fn acquire_permit(&self, target: SocketAddr, limit: RateLimit) -> Permit {
        for _ in 0..MAX_KEEPERS {
            let Some((key, keeper)) = self.choose_keeper(target) else {
                break;
            };
            if let Some(reply) = self.agents.request_permit(keeper, limit).await {
                return match reply.wait_ms {
                    0 => Permit::Granted,
                    wait => Permit::Denied(Duration::from_millis(wait.into())),
                };
            }
            self.mark_unresponsive(key, keeper);
        }
        let now = self.clock.now();
        let mut notice = limit.notice(now);
        notice.rate = notice.rate.map(|r| r * LONE_SHARE);
        let id = GrantId {
            gateway_id: 0,
            request_id: self.agents.next_request_id(),
        };
        let mut limits = self.limits.lock();
        limits.update(limit.lifetime, notice);
        limits.request(limit.lifetime, id, now)
    }
}

fn log_limit(target: SocketAddr, rate: Option<f64>, from: &str) {
    info!(target:% = target, rate, from; "target rate limit changed");
}
