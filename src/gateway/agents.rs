//! Client of the host agents next to engines: requests slots and receives states by UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::{info, warn};
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::rank::Rank;
use crate::gateway::Gateway;
use crate::gateway::waiting;
use crate::node::message::{
    self, Body, ColdRequest, PermitReply, PermitRequest, RateLimit, SlotRelease, SlotReply,
    SlotRequest, Subscribe,
};
use crate::place::handover::HostProcess;
use crate::place::pool::{AgentState, TargetKey};

/// Largest datagram that is read, bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Interval at which the gateway renews its subscription to the states of hosts.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a reply before a slot request is repeated; datagrams can be lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// Times that a slot request is sent before the host counts as unresponsive.
const MAX_ATTEMPTS: u32 = 2;

/// Socket and pending slot requests.
#[derive(Debug)]
pub struct AgentClient {
    socket: UdpSocket,
    /// Random id of this process, by which hosts tell gateways apart.
    gateway_id: u64,
    /// UDP port of the host agents.
    port: u16,
    next_id: AtomicU64,
    slots: Pending<SlotReply>,
    permits: Pending<PermitReply>,
}

/// Requests without a reply, sorted by request id.
#[derive(Debug)]
struct Pending<T>(Mutex<Vec<(u64, oneshot::Sender<T>)>>);

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> Pending<T> {
    /// Adds a request, or repeats it under the same id.
    fn add(&self, request_id: u64) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.0.lock();
        match pending.binary_search_by_key(&request_id, |p| p.0) {
            Ok(i) => pending[i].1 = sender,
            Err(i) => pending.insert(i, (request_id, sender)),
        }
        receiver
    }

    /// Removes a request; `None` if its reply came or it was given up.
    fn take(&self, request_id: u64) -> Option<oneshot::Sender<T>> {
        let mut pending = self.0.lock();
        let found = pending.binary_search_by_key(&request_id, |p| p.0);
        found.ok().map(|i| pending.remove(i).1)
    }

    fn resolve(&self, request_id: u64, reply: T) {
        if let Some(sender) = self.take(request_id) {
            // The receiver is gone if the request timed out meanwhile.
            let _ = sender.send(reply);
        }
    }
}

/// Removes a request from those without a reply when it is answered, given up or cancelled.
struct Entry<'a, T> {
    pending: &'a Pending<T>,
    request_id: u64,
}

impl<T> Drop for Entry<'_, T> {
    fn drop(&mut self) {
        self.pending.take(self.request_id);
    }
}

/// A slot request. Unless its reply was passed on, dropping it releases the slot, which the host
/// may have granted meanwhile or grants when it goes on.
struct UnclaimedSlot<'a> {
    client: &'a AgentClient,
    target: SocketAddr,
    request_id: u64,
    is_claimed: bool,
}

impl Drop for UnclaimedSlot<'_> {
    fn drop(&mut self) {
        if !self.is_claimed {
            self.client.send_release(self.target, self.request_id, true);
        }
    }
}

/// What a request needs of a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotCriteria {
    /// Priority; 0 is the most urgent.
    pub priority: Rank,
    /// Latency objective for the first event of the answer.
    pub objective: Duration,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, tokens.
    pub output_tokens: u32,
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Whether the caller comes back after a refusal.
    pub is_returning: bool,
    /// Whether the host refuses unless the request can run almost at once.
    pub immediate_only: bool,
    /// What the target said of its rate limit.
    pub limit: Option<RateLimit>,
    /// Hash of the target's lifetime.
    pub lifetime: u64,
}

impl AgentClient {
    /// Creates a client that reaches host agents at `port` over `socket`.
    #[must_use]
    pub fn new(socket: UdpSocket, gateway_id: u64, port: u16) -> Self {
        Self {
            socket,
            gateway_id,
            port,
            next_id: AtomicU64::new(1),
            slots: Pending::default(),
            permits: Pending::default(),
        }
    }

    /// Returns a new request id.
    #[must_use]
    pub fn next_request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Random id of this process.
    pub(super) fn gateway_id(&self) -> u64 {
        self.gateway_id
    }

    /// Address from which this gateway sends; `None` if the socket fails.
    pub(super) fn own_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    fn agent_address(&self, target: SocketAddr) -> SocketAddr {
        SocketAddr::new(target.ip(), self.port)
    }

    /// Tells the host of `target` that a request has ended. If the message is lost, the host
    /// frees the slot later, from the engine's report.
    pub fn release(&self, target: SocketAddr, request_id: u64) {
        self.send_release(target, request_id, false);
    }

    /// Tells the host of `target` that a request was not sent or was declined.
    pub fn cancel(&self, target: SocketAddr, request_id: u64) {
        self.send_release(target, request_id, true);
    }

    fn send_release(&self, target: SocketAddr, request_id: u64, is_unused: bool) {
        let release = SlotRelease {
            gateway_id: self.gateway_id,
            request_id,
            is_unused,
        };
        self.send(target, Body::SlotRelease(release));
    }

    /// Subscribes to the state of the host of `target`, or renews the subscription.
    fn subscribe(&self, target: SocketAddr) {
        let gateway_id = self.gateway_id;
        self.send(target, Body::Subscribe(Subscribe { gateway_id }));
    }

    /// Sends a datagram to the host of `target`.
    pub(super) fn send(&self, target: SocketAddr, body: Body) {
        let sent = self
            .socket
            .try_send_to(&message::encode(body), self.agent_address(target));
        if let Err(e) = sent {
            let reason = e.to_string();
            log::debug!(target:% = target, reason = reason.as_str(); "sending a datagram failed");
        }
    }

    /// Requests a slot from the host of `target`; `None` when it does not reply. The slot is
    /// released if the future is dropped before it returns the reply.
    pub async fn request_slot(
        &self,
        target: SocketAddr,
        request_id: u64,
        criteria: &SlotCriteria,
    ) -> Option<SlotReply> {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let request = SlotRequest {
            gateway_id: self.gateway_id,
            request_id,
            priority: u32::try_from(criteria.priority.parts().0).unwrap_or(u32::MAX),
            rank: Some(message::Rank::from(criteria.priority)),
            objective_ms: millis(criteria.objective),
            prompt_tokens: criteria.prompt_tokens,
            output_tokens: criteria.output_tokens,
            left_ms: millis(criteria.left),
            is_returning: criteria.is_returning,
            immediate_only: criteria.immediate_only,
            limit: criteria.limit,
            lifetime: criteria.lifetime,
        };
        let mut unclaimed = UnclaimedSlot {
            client: self,
            target,
            request_id,
            is_claimed: false,
        };
        let _entry = Entry {
            pending: &self.slots,
            request_id,
        };
        for _ in 0..MAX_ATTEMPTS {
            let receiver = self.slots.add(request_id);
            self.send(target, Body::SlotRequest(request));
            if let Ok(Ok(reply)) = time::timeout(REPLY_TIMEOUT, receiver).await {
                unclaimed.is_claimed = true;
                return Some(reply);
            }
        }
        None
    }

    /// Requests a permit for a target with a rate limit from the host of `keeper`; `None` when
    /// it does not reply.
    pub async fn request_permit(
        &self,
        keeper: SocketAddr,
        limit: RateLimit,
    ) -> Option<PermitReply> {
        let request_id = self.next_request_id();
        let request = PermitRequest {
            gateway_id: self.gateway_id,
            request_id,
            limit,
        };
        self.exchange_permit(keeper, request_id, &Body::PermitRequest(request))
            .await
    }

    /// Requests a permit for a cold target from the host of `witness`; `None` when it does not
    /// reply.
    pub async fn request_cold_permit(
        &self,
        witness: SocketAddr,
        request: ColdRequest,
    ) -> Option<PermitReply> {
        let body = Body::ColdRequest(request);
        self.exchange_permit(witness, request.request_id, &body)
            .await
    }

    async fn exchange_permit(
        &self,
        keeper: SocketAddr,
        request_id: u64,
        body: &Body,
    ) -> Option<PermitReply> {
        let _entry = Entry {
            pending: &self.permits,
            request_id,
        };
        for _ in 0..MAX_ATTEMPTS {
            let receiver = self.permits.add(request_id);
            self.send(keeper, body.clone());
            if let Ok(Ok(reply)) = time::timeout(REPLY_TIMEOUT, receiver).await {
                return Some(reply);
            }
        }
        None
    }
}

impl<C: Clock> Gateway<C> {
    /// Renews the subscription to the hosts of all engines at intervals, and tells them what they
    /// lack.
    pub(super) async fn send_subscriptions(self: Arc<Self>) {
        let mut ticks = time::interval(SUBSCRIBE_INTERVAL);
        loop {
            ticks.tick().await;
            self.tell_deaths();
            for target in self.engine_addresses() {
                self.agents.subscribe(target);
            }
        }
    }

    /// Subscribes at once to hosts that are not among `subscribed`, which is sorted, so that a
    /// gateway that starts knows what they know when it begins to serve, and to those of engines
    /// that restarted: a cold engine gets nothing until its host has reported. Returns all hosts.
    pub(super) fn subscribe_to_new(&self, subscribed: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut targets = self.engine_addresses();
        targets.sort_unstable();
        let unreported = self.unreported_addresses();
        for target in &targets {
            let is_new = subscribed.binary_search(target).is_err();
            if is_new || unreported.binary_search(target).is_ok() {
                self.agents.subscribe(*target);
            }
        }
        targets
    }

    /// Addresses of the cold targets without a report of their host, sorted.
    fn unreported_addresses(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let pool = self.pool.lock();
        let unreported = pool
            .iter()
            .filter(|(_, e)| e.state.is_none() && !e.cold.left(now).is_zero());
        let mut addresses: Vec<SocketAddr> = unreported.map(|(_, e)| e.target.address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Addresses of the targets that are model engines.
    fn engine_addresses(&self) -> Vec<SocketAddr> {
        let Some(config) = self.catalog.snapshot().config.clone() else {
            return Vec::new();
        };
        let pool = self.pool.lock();
        let engines = pool.iter().filter(|(_, e)| {
            let service = config.service(&e.target.service);
            service.is_some_and(|s| s.engine.is_some())
        });
        engines.map(|(_, e)| e.target.address).collect()
    }

    /// Receives states and slot replies of hosts until the process ends.
    pub(super) async fn receive_messages(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.agents.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    let reason = e.to_string();
                    warn!(reason = reason.as_str(); "receiving a datagram failed");
                    time::sleep(REPLY_TIMEOUT).await;
                    continue;
                }
            };
            match message::decode(&buffer[..length]) {
                Some(Body::State(state)) => self.update_state(from, &state),
                Some(Body::SlotReply(reply)) => {
                    if let Some(state) = &reply.state {
                        self.update_state(from, state);
                    }
                    self.agents.slots.resolve(reply.request_id, reply);
                }
                Some(Body::PermitReply(reply)) => {
                    self.agents.permits.resolve(reply.request_id, reply);
                }
                Some(Body::RateLimit(limit)) => self.receive_limit(from, &limit),
                Some(Body::TargetDeath(death)) => self.receive_death(from, &death),
                Some(Body::SoundParts(sound)) => self.receive_sound(&sound),
                _ => log::debug!(from:% = from; "datagram ignored"),
            }
        }
    }

    fn update_state(&self, from: SocketAddr, state: &message::State) {
        let Ok(port) = u16::try_from(state.target_port) else {
            return;
        };
        let target = SocketAddr::new(from.ip(), port);
        let mut pool = self.pool.lock();
        let Some(key) = pool.find(target) else { return };
        let current = AgentState {
            free: state.free_slots,
            wait: Duration::from_millis(state.wait_ms.into()),
            weights: state.weights,
            is_open: state.is_open,
            prefill: Duration::from_millis(state.prefill_ms.into()),
            cold: Duration::from_millis(state.cold_ms.into()),
            received: self.clock.now(),
        };
        let entry = pool.get(key);
        let previous = entry.and_then(|e| e.state);
        let service = entry.map(|e| waiting::service_key(&e.target.service));
        pool.update_state(key, current);
        drop(pool);
        if let (Some(service), true) = (service, current.is_open) {
            self.wake_waiting(service, current.free);
        }
        let is_same =
            previous.is_some_and(|p| (p.weights, p.is_open) == (current.weights, current.is_open));
        if !is_same {
            info!(target:% = target, weights = current.weights, open = current.is_open, free = current.free; "agent state changed");
        }
        self.record_process(HostProcess {
            address: from.ip(),
            id: state.process,
        });
    }

    /// Records the process of a host that reports, and tells a new one what it must keep.
    fn record_process(&self, process: HostProcess) {
        self.tell_limits(process);
        if self.deaths.lock().set_process(process) {
            self.tell_deaths();
        }
    }

    /// Records that the host of a target does not answer.
    pub(super) fn mark_unresponsive(&self, key: TargetKey, target: SocketAddr) {
        self.pool.lock().mark_unresponsive(key, self.clock.now());
        warn!(target:% = target; "agent did not answer");
    }
}

#[cfg(test)]
#[path = "agents_test.rs"]
mod test;
