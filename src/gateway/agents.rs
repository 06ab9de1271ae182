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
use crate::gateway::Gateway;
use crate::node::message::{self, Body, SlotRelease, SlotReply, SlotRequest, Subscribe};
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
    /// Slot requests without a reply, sorted by request id.
    pending: Mutex<Vec<(u64, oneshot::Sender<SlotReply>)>>,
}

/// What a request needs of a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotCriteria {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective for the first event of the answer.
    pub objective: Duration,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Whether the host refuses unless the request can run almost at once.
    pub immediate_only: bool,
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
            pending: Mutex::default(),
        }
    }

    /// Returns a new request id.
    #[must_use]
    pub fn next_request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
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
        let release = SlotRelease {
            gateway_id: self.gateway_id,
            request_id,
        };
        self.send(target, Body::SlotRelease(release));
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

    /// Requests a slot from the host of `target`; `None` when it does not reply.
    pub async fn request_slot(
        &self,
        target: SocketAddr,
        request_id: u64,
        criteria: &SlotCriteria,
    ) -> Option<SlotReply> {
        let objective = criteria.objective.as_millis();
        let request = SlotRequest {
            gateway_id: self.gateway_id,
            request_id,
            priority: criteria.priority.into(),
            objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
            prompt_tokens: criteria.prompt_tokens,
            immediate_only: criteria.immediate_only,
        };
        for _ in 0..MAX_ATTEMPTS {
            let (sender, receiver) = oneshot::channel();
            self.add_pending(request_id, sender);
            self.send(target, Body::SlotRequest(request));
            if let Ok(Ok(reply)) = time::timeout(REPLY_TIMEOUT, receiver).await {
                return Some(reply);
            }
        }
        self.take_pending(request_id);
        // The reply that granted the slot may have been lost.
        self.release(target, request_id);
        None
    }

    fn add_pending(&self, request_id: u64, sender: oneshot::Sender<SlotReply>) {
        let mut pending = self.pending.lock();
        match pending.binary_search_by_key(&request_id, |p| p.0) {
            Ok(i) => pending[i].1 = sender,
            Err(i) => pending.insert(i, (request_id, sender)),
        }
    }

    fn take_pending(&self, request_id: u64) -> Option<oneshot::Sender<SlotReply>> {
        let mut pending = self.pending.lock();
        let found = pending.binary_search_by_key(&request_id, |p| p.0);
        found.ok().map(|i| pending.remove(i).1)
    }
}

impl<C: Clock> Gateway<C> {
    /// Renews the subscription to the hosts of all engines at intervals.
    pub(super) async fn send_subscriptions(self: Arc<Self>) {
        let mut ticks = time::interval(SUBSCRIBE_INTERVAL);
        loop {
            ticks.tick().await;
            let subscribe = Body::Subscribe(Subscribe {
                gateway_id: self.agents.gateway_id,
            });
            for target in self.engine_addresses() {
                self.agents.send(target, subscribe.clone());
            }
        }
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
                    if let Some(sender) = self.agents.take_pending(reply.request_id) {
                        // The receiver is gone if the request timed out meanwhile.
                        let _ = sender.send(reply);
                    }
                }
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
            received: self.clock.now(),
        };
        let previous = pool.get(key).and_then(|e| e.state);
        pool.update_state(key, current);
        drop(pool);
        let is_same =
            previous.is_some_and(|p| (p.weights, p.is_open) == (current.weights, current.is_open));
        if !is_same {
            info!(target:% = target, weights = current.weights, open = current.is_open, free = current.free; "agent state changed");
        }
    }

    /// Records that the host of a target does not answer.
    pub(super) fn mark_unresponsive(&self, key: TargetKey, target: SocketAddr) {
        self.pool.lock().mark_unresponsive(key, self.clock.now());
        warn!(target:% = target; "agent did not answer");
    }
}
