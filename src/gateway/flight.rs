//! Counts a request from its placement to the end of its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::place::pool::TargetKey;

/// A place at a target; dropping it frees the place.
#[derive(Debug)]
pub struct Flight<C: Clock> {
    gateway: Arc<Gateway<C>>,
    /// Target.
    pub key: TargetKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Grant of the target's host.
    grant: Option<u64>,
}

impl<C: Clock> Flight<C> {
    /// Takes a place at a target.
    pub fn begin(
        gateway: &Arc<Gateway<C>>,
        key: TargetKey,
        address: SocketAddr,
        grant: Option<u64>,
    ) -> Self {
        gateway.pool.lock().begin_request(key);
        Self {
            gateway: gateway.clone(),
            key,
            address,
            grant,
        }
    }

    /// Notes whether the target answered as it should.
    pub fn judge(&self, is_good: bool) {
        let now = self.gateway.clock.now();
        self.gateway
            .pool
            .lock()
            .record_result(self.key, is_good, now);
    }
}

impl<C: Clock> Drop for Flight<C> {
    fn drop(&mut self) {
        self.gateway.pool.lock().end_request(self.key);
        if let Some(request) = self.grant {
            self.gateway.agents.done(self.address, request);
        }
    }
}

/// A request in progress, for the graceful stop.
#[derive(Debug)]
pub struct Active<C: Clock> {
    gateway: Arc<Gateway<C>>,
}

impl<C: Clock> Active<C> {
    /// Counts a request until it is dropped.
    pub fn begin(gateway: &Arc<Gateway<C>>) -> Self {
        gateway.active.fetch_add(1, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<C: Clock> Drop for Active<C> {
    fn drop(&mut self) {
        self.gateway.active.fetch_sub(1, Ordering::Relaxed);
    }
}
