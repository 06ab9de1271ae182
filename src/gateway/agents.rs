//! Conversation with the hosts beside engines: places are asked for by datagram.

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
const MAX_DATAGRAM: usize = 2_048;
/// Time between two greetings, by which hosts know who wants to hear from them.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Time for an answer before the ask is repeated; datagrams can be lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Times that a place is asked for before the host counts as silent.
const ASKS: u32 = 2;

/// Socket and unanswered asks.
#[derive(Debug)]
pub struct Agents {
    socket: UdpSocket,
    /// Number of this incarnation, so that hosts tell gateways apart.
    gateway: u64,
    /// Port of the hosts.
    port: u16,
    next: AtomicU64,
    waiting: Mutex<Vec<(u64, oneshot::Sender<SlotReply>)>>,
}

/// What a request needs of a place.
#[derive(Clone, Copy, Debug)]
pub struct Needs {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which the first event is due.
    pub objective: Duration,
    /// Length of the prompt, tokens.
    pub prompt: u32,
    /// Whether it is placed only where it hardly waits.
    pub is_choosy: bool,
}

impl Agents {
    /// Conversation over `socket` with hosts at `port`.
    #[must_use]
    pub fn new(socket: UdpSocket, gateway: u64, port: u16) -> Self {
        Self {
            socket,
            gateway,
            port,
            next: AtomicU64::new(1),
            waiting: Mutex::default(),
        }
    }

    /// Number for a new ask.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn host(&self, target: SocketAddr) -> SocketAddr {
        SocketAddr::new(target.ip(), self.port)
    }

    /// Tells the host of `target` that a request has ended. A lost message only means
    /// that the host frees the place later, by the engine's own report.
    pub fn done(&self, target: SocketAddr, request: u64) {
        let release = SlotRelease {
            gateway_id: self.gateway,
            request_id: request,
        };
        self.send(target, Body::SlotRelease(release));
    }

    fn send(&self, target: SocketAddr, body: Body) {
        let sent = self
            .socket
            .try_send_to(&message::encode(body), self.host(target));
        if let Err(e) = sent {
            let reason = e.to_string();
            log::debug!(target:% = target, reason = reason.as_str(); "datagram not sent");
        }
    }

    /// Asks the host of `target` for a place; `None` when it does not answer.
    pub async fn ask(&self, target: SocketAddr, request: u64, needs: &Needs) -> Option<SlotReply> {
        let objective = needs.objective.as_millis();
        let ask = SlotRequest {
            gateway_id: self.gateway,
            request_id: request,
            priority: needs.priority.into(),
            objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
            prompt_tokens: needs.prompt,
            immediate_only: needs.is_choosy,
        };
        for _ in 0..ASKS {
            let (sender, receiver) = oneshot::channel();
            self.expect(request, sender);
            self.send(target, Body::SlotRequest(ask));
            if let Ok(Ok(answer)) = time::timeout(ANSWER_LIMIT, receiver).await {
                return Some(answer);
            }
        }
        self.take(request);
        // The place may have been granted by an answer that was lost.
        self.done(target, request);
        None
    }

    fn expect(&self, request: u64, sender: oneshot::Sender<SlotReply>) {
        let mut waiting = self.waiting.lock();
        match waiting.binary_search_by_key(&request, |w| w.0) {
            Ok(i) => waiting[i].1 = sender,
            Err(i) => waiting.insert(i, (request, sender)),
        }
    }

    fn take(&self, request: u64) -> Option<oneshot::Sender<SlotReply>> {
        let mut waiting = self.waiting.lock();
        let found = waiting.binary_search_by_key(&request, |w| w.0);
        found.ok().map(|i| waiting.remove(i).1)
    }
}

impl<C: Clock> Gateway<C> {
    /// Greets the hosts of all engines at intervals.
    pub(super) async fn greet_agents(self: Arc<Self>) {
        let mut ticks = time::interval(HELLO_INTERVAL);
        loop {
            ticks.tick().await;
            let hello = Body::Subscribe(Subscribe {
                gateway_id: self.agents.gateway,
            });
            for target in self.engines() {
                self.agents.send(target, hello.clone());
            }
        }
    }

    /// Addresses of the targets that have an engine.
    fn engines(&self) -> Vec<SocketAddr> {
        let Some(config) = self.board.snapshot().config.clone() else {
            return Vec::new();
        };
        let pool = self.pool.lock();
        let engines = pool.iter().filter(|(_, e)| {
            let service = config.service(&e.target.service);
            service.is_some_and(|s| s.engine.is_some())
        });
        engines.map(|(_, e)| e.target.address).collect()
    }

    /// Takes in what hosts say.
    pub(super) async fn hear_agents(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            let (length, from) = match self.agents.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    let reason = e.to_string();
                    warn!(reason = reason.as_str(); "can't receive datagrams");
                    time::sleep(ANSWER_LIMIT).await;
                    continue;
                }
            };
            match message::decode(&buffer[..length]) {
                Some(Body::State(state)) => self.hear(from, &state),
                Some(Body::SlotReply(answer)) => {
                    if let Some(state) = &answer.state {
                        self.hear(from, state);
                    }
                    if let Some(sender) = self.agents.take(answer.request_id) {
                        // The request may have been given up meanwhile.
                        let _ = sender.send(answer);
                    }
                }
                _ => log::debug!(from:% = from; "datagram ignored"),
            }
        }
    }

    fn hear(&self, from: SocketAddr, state: &message::State) {
        let Ok(port) = u16::try_from(state.target_port) else {
            return;
        };
        let target = SocketAddr::new(from.ip(), port);
        let mut pool = self.pool.lock();
        let Some(key) = pool.find(target) else { return };
        let heard = AgentState {
            free: state.free_slots,
            wait: Duration::from_millis(state.wait_ms.into()),
            weights: state.weights,
            is_open: state.is_open,
            received: self.clock.now(),
        };
        let before = pool.get(key).and_then(|e| e.state);
        pool.update_state(key, heard);
        drop(pool);
        let same = before.is_some_and(|b| (b.weights, b.is_open) == (heard.weights, heard.is_open));
        if !same {
            info!(target:% = target, weights = heard.weights, open = heard.is_open, free = heard.free; "agent state");
        }
    }

    /// Notes that the host of a target does not answer.
    pub(super) fn silence(&self, key: TargetKey, target: SocketAddr) {
        self.pool.lock().mark_unresponsive(key, self.clock.now());
        warn!(target:% = target; "agent silent");
    }
}
