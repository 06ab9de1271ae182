//! Guards that count a request until they are dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::place::pool::TargetKey;

/// A slot at a target; dropping it releases the slot.
#[derive(Debug)]
pub struct SlotGuard<C: Clock> {
    gateway: Arc<Gateway<C>>,
    /// Key of the target in the pool.
    pub key: TargetKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Hash of the target's lifetime.
    pub lifetime: u64,
    /// Request id of the slot that the host granted; `None` without a grant.
    request_id: Option<u64>,
    /// Whether the target did not take the request.
    is_declined: bool,
    /// Urgency in the target's queue that the host gave with the slot.
    pub urgency: Option<u8>,
}

impl<C: Clock> SlotGuard<C> {
    /// Counts a request at a target until the guard is dropped.
    pub fn begin(
        gateway: &Arc<Gateway<C>>,
        key: TargetKey,
        address: SocketAddr,
        request_id: Option<u64>,
    ) -> Self {
        let lifetime = gateway.pool.lock().begin_request(key);
        Self {
            gateway: gateway.clone(),
            key,
            address,
            lifetime,
            request_id,
            is_declined: false,
            urgency: None,
        }
    }

    /// Records that the target did not take the request, so that it does not count there.
    pub fn decline(&mut self) {
        self.is_declined = true;
    }

    /// Records whether the request to the target succeeded.
    pub fn record_result(&self, is_success: bool) {
        let now = self.gateway.clock.now();
        self.gateway
            .pool
            .lock()
            .record_result(self.key, is_success, now);
    }
}

impl<C: Clock> Drop for SlotGuard<C> {
    fn drop(&mut self) {
        self.gateway.pool.lock().end_request(self.key);
        let agents = &self.gateway.agents;
        match self.request_id {
            Some(request_id) if self.is_declined => agents.cancel(self.address, request_id),
            Some(request_id) => agents.release(self.address, request_id),
            None => {}
        }
    }
}

/// A request that waits for a silent target; dropping it ends the silence.
#[derive(Debug)]
pub struct SilenceGuard<C: Clock> {
    gateway: Arc<Gateway<C>>,
    key: TargetKey,
    since: Instant,
    is_given_up: bool,
}

impl<C: Clock> SilenceGuard<C> {
    /// Counts the silence of a target since `since` until the guard is dropped.
    pub fn begin(gateway: &Arc<Gateway<C>>, key: TargetKey, since: Instant) -> Self {
        gateway.pool.lock().begin_silence(key);
        Self {
            gateway: gateway.clone(),
            key,
            since,
            is_given_up: false,
        }
    }

    /// Records that the request does not wait for the target any longer.
    pub fn give_up(&mut self) {
        self.is_given_up = true;
    }
}

impl<C: Clock> Drop for SilenceGuard<C> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let silence = now.saturating_duration_since(self.since);
        let given_up = self.is_given_up.then_some(silence);
        let mut pool = self.gateway.pool.lock();
        pool.end_silence(self.key, given_up, now);
    }
}

/// A caller's connection, for whose end the graceful shutdown waits: the socket may still have to
/// take most of a response whose request is no longer in progress.
#[derive(Debug)]
pub struct OpenConnection<C: Clock> {
    gateway: Arc<Gateway<C>>,
}

impl<C: Clock> OpenConnection<C> {
    /// Counts an open connection until the guard is dropped.
    pub fn begin(gateway: &Arc<Gateway<C>>) -> Self {
        gateway.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<C: Clock> Drop for OpenConnection<C> {
    fn drop(&mut self) {
        self.gateway.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in progress, until its response is handed to the connection.
#[derive(Debug)]
pub struct ActiveRequest<C: Clock> {
    gateway: Arc<Gateway<C>>,
}

impl<C: Clock> ActiveRequest<C> {
    /// Counts a request in progress until the guard is dropped.
    pub fn begin(gateway: &Arc<Gateway<C>>) -> Self {
        gateway.active.fetch_add(1, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<C: Clock> Drop for ActiveRequest<C> {
    fn drop(&mut self) {
        self.gateway.active.fetch_sub(1, Ordering::Relaxed);
    }
}
