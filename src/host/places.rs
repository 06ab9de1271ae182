//! Grants the target's places to gateways by datagram.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{info, warn};
use tokio::time;

use crate::clock::Clock;
use crate::host::Host;
use crate::node::message::{self, Body, SlotReply, State};
use crate::place::slots::{Decision, GrantId, SlotRequest};

/// Largest datagram that is read, bytes.
const MAX_DATAGRAM: usize = 2_048;
/// Time after which a gateway that no longer greets is forgotten.
const GATEWAY_AGE: Duration = Duration::from_secs(5);
/// Pause after a failed receive.
const PAUSE: Duration = Duration::from_millis(25);

/// A gateway that wants to hear the target's state.
#[derive(Clone, Copy, Debug)]
pub struct Listener {
    address: SocketAddr,
    heard: Instant,
}

impl<C: Clock> Host<C> {
    /// Answers gateways until the process ends.
    pub(super) async fn hear_gateways(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match message::decode(&buffer[..length]) {
                    Some(body) => self.receive(body, from),
                    None => log::debug!(from:% = from; "datagram ignored"),
                },
                Err(e) => {
                    let reason = e.to_string();
                    warn!(reason = reason.as_str(); "can't receive datagrams");
                    time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn receive(&self, body: Body, from: SocketAddr) {
        let now = self.clock.now();
        match body {
            Body::Subscribe(_) => {
                self.listen(from, now);
                self.send(from, Body::State(self.state()));
            }
            Body::SlotRequest(ask) => {
                let answer = self.decide(&ask, now);
                self.send(from, Body::SlotReply(answer));
            }
            Body::SlotRelease(done) => self.ledger.lock().release(done.ticket(), now),
            Body::HeldChunks(have) => self.hear_peer(from, have, now),
            Body::State(_) | Body::SlotReply(_) => log::debug!(from:% = from; "datagram ignored"),
        }
    }

    fn decide(&self, ask: &message::SlotRequest, now: Instant) -> SlotReply {
        let wanted = SlotRequest {
            id: GrantId {
                gateway_id: ask.gateway_id,
                request_id: ask.request_id,
            },
            priority: u8::try_from(ask.priority).unwrap_or(u8::MAX),
            objective: Duration::from_millis(ask.objective_ms.into()),
            prompt_tokens: ask.prompt_tokens,
            immediate_only: ask.immediate_only,
        };
        let verdict = self.ledger.lock().request(&wanted, now);
        SlotReply {
            request_id: ask.request_id,
            is_granted: verdict == Decision::Granted,
            state: Some(self.state()),
        }
    }

    fn listen(&self, address: SocketAddr, now: Instant) {
        let mut listeners = self.listeners.lock();
        listeners.retain(|l| now.saturating_duration_since(l.heard) < GATEWAY_AGE);
        let heard = now;
        match listeners.binary_search_by(|l| l.address.cmp(&address)) {
            Ok(i) => listeners[i].heard = heard,
            Err(i) => listeners.insert(i, Listener { address, heard }),
        }
    }

    /// State as gateways see it.
    fn state(&self) -> State {
        let now = self.clock.now();
        let ledger = self.ledger.lock();
        State {
            free_slots: ledger.free(),
            wait_ms: u32::try_from(ledger.expected_wait(now).as_millis()).unwrap_or(u32::MAX),
            weights: self.engine.borrow().weights.unwrap_or(0),
            is_open: ledger.is_open(),
            sequence: self.number(),
            target_port: self.target.port().into(),
        }
    }

    /// Tells all gateways the state.
    fn announce(&self) {
        let state = Body::State(self.state());
        let listeners = self.listeners.lock().clone();
        for listener in listeners {
            self.send(listener.address, state.clone());
        }
    }

    /// Opens or closes the target for new requests and tells the gateways.
    pub(super) fn set_open(&self, is_open: bool, reason: &'static str) {
        let mut ledger = self.ledger.lock();
        if ledger.is_open() == is_open {
            return;
        }
        ledger.set_open(is_open);
        let active = ledger.active();
        drop(ledger);
        let weights = self.engine.borrow().weights;
        info!(open = is_open, reason, active, weights; "places");
        self.announce();
    }

    /// Sends a datagram; a lost one is made up for by the next.
    pub(super) fn send(&self, to: SocketAddr, body: Body) {
        if let Err(e) = self.socket.try_send_to(&message::encode(body), to) {
            let reason = e.to_string();
            log::debug!(to:% = to, reason = reason.as_str(); "datagram not sent");
        }
    }
}
