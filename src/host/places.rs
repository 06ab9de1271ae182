//! Grants the target's slots to gateways by datagram.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::clock::Clock;
use crate::host::{Host, limits};
use crate::node::message::{self, Body, SlotReply, State};
use crate::place::limit::Permit;
use crate::place::slots::{Decision, GrantId, SlotRequest};

/// Largest datagram that is received, bytes.
const MAX_DATAGRAM: usize = 2_048;
/// Time after which the subscription of a gateway that doesn't renew it expires.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(5);
/// Delay after a failed receive.
const RECEIVE_RETRY: Duration = Duration::from_millis(25);

/// A gateway that subscribed to the target's state.
#[derive(Clone, Copy, Debug)]
pub struct Subscriber {
    address: SocketAddr,
    /// Random identifier of the gateway process.
    gateway_id: u64,
    renewed: Instant,
}

impl<C: Clock> Host<C> {
    /// Handles datagrams of gateways and peers until the process ends.
    pub(super) async fn receive_datagrams(self: Arc<Self>) {
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
                    time::sleep(RECEIVE_RETRY).await;
                }
            }
        }
    }

    fn receive(&self, body: Body, from: SocketAddr) {
        let now = self.clock.now();
        match body {
            Body::Subscribe(subscribe) => {
                let is_new = self.subscribe_gateway(from, subscribe.gateway_id, now);
                self.send_deaths(from, is_new);
                if is_new {
                    self.send_limits(from, now);
                }
                self.send(from, Body::State(self.state()));
            }
            Body::SlotRequest(request) => {
                let reply = self.decide(&request, now);
                self.send(from, Body::SlotReply(reply));
            }
            Body::SlotRelease(release) if release.is_unused => {
                self.slots.lock().cancel(release.grant_id());
                self.cancel_cold(release.grant_id());
            }
            Body::SlotRelease(release) => self.slots.lock().release(release.grant_id(), now),
            Body::HeldChunks(held) => self.receive_held(from, held, now),
            Body::CrashReport(report) => self.receive_report(&report),
            Body::SoundParts(sound) => self.receive_sound(&sound),
            Body::TargetDeath(death) => self.receive_death(from, &death),
            Body::RateLimit(limit) => self.receive_limit(&limit, now),
            Body::PermitRequest(request) => {
                let reply = self.decide_permit(&request, now);
                self.send(from, Body::PermitReply(reply));
            }
            Body::ColdRequest(request) => {
                let reply = self.decide_cold(&request, now);
                self.send(from, Body::PermitReply(reply));
            }
            Body::State(_) | Body::SlotReply(_) | Body::PermitReply(_) => {
                log::debug!(from:% = from; "datagram ignored");
            }
        }
    }

    fn decide(&self, request: &message::SlotRequest, now: Instant) -> SlotReply {
        if let Some(limit) = &request.limit {
            self.receive_limit(limit, now);
        }
        let id = GrantId {
            gateway_id: request.gateway_id,
            request_id: request.request_id,
        };
        let mut permit = self.limits.lock().request(request.lifetime, id, now);
        if permit == Permit::Granted {
            permit = self.request_cold(id, now);
        }
        if let Permit::Denied(wait) = permit {
            self.limits.lock().cancel(request.lifetime, id);
            return SlotReply {
                request_id: request.request_id,
                is_granted: false,
                state: Some(self.state()),
                limit_ms: limits::wait_millis(wait),
                urgency: None,
                is_too_long: false,
            };
        }
        let slot_request = SlotRequest {
            id,
            priority: self.catalog.snapshot().classes.class(request.rank()),
            objective: Duration::from_millis(request.objective_ms.into()),
            prompt_tokens: request.prompt_tokens,
            immediate_only: request.immediate_only,
            output_tokens: request.output_tokens,
            left: Duration::from_millis(request.left_ms.into()),
            is_returning: request.is_returning,
        };
        let (decision, urgency) = self.request_slot(&slot_request, now);
        let is_granted = decision == Decision::Granted;
        if is_granted {
            self.count_warm(now);
        } else {
            self.limits.lock().cancel(request.lifetime, id);
            self.cancel_cold(id);
        }
        SlotReply {
            request_id: request.request_id,
            is_granted,
            state: Some(self.state()),
            limit_ms: 0,
            urgency: urgency.map(u32::from),
            is_too_long: decision == Decision::TooLong,
        }
    }

    /// Asks the table of slots. Returns its decision, and the urgency of a granted request.
    fn request_slot(&self, request: &SlotRequest, now: Instant) -> (Decision, Option<u8>) {
        let mut slots = self.slots.lock();
        let was_shared = slots.order().is_shared(now);
        let decision = slots.request(request, now);
        let urgency = slots.order().urgency();
        let is_shared = slots.order().is_shared(now);
        drop(slots);
        if is_shared && !was_shared {
            info!(priority = request.priority; "overload, slots are shared by priority");
        }
        let verdict = match decision {
            Decision::Granted => "granted",
            Decision::Full(_) => "full",
            Decision::Closed => "closed",
            Decision::TooLong => "too long",
        };
        let priority = request.priority.to_string();
        counter!("corianderramp_host_slots_total", "priority" => priority, "verdict" => verdict)
            .increment(1);
        (decision, urgency)
    }

    /// Renews the subscription of a gateway; returns whether its process is a new one.
    fn subscribe_gateway(&self, address: SocketAddr, gateway_id: u64, now: Instant) -> bool {
        let mut gateways = self.gateways.lock();
        gateways.retain(|g| now.saturating_duration_since(g.renewed) < SUBSCRIPTION_TTL);
        let subscriber = Subscriber {
            address,
            gateway_id,
            renewed: now,
        };
        match gateways.binary_search_by(|g| g.address.cmp(&address)) {
            Ok(i) => std::mem::replace(&mut gateways[i], subscriber).gateway_id != gateway_id,
            Err(i) => {
                gateways.insert(i, subscriber);
                true
            }
        }
    }

    /// State of the target to send to gateways.
    fn state(&self) -> State {
        let now = self.clock.now();
        let slots = self.slots.lock();
        State {
            free_slots: slots.free(),
            wait_ms: u32::try_from(slots.expected_wait(now).as_millis()).unwrap_or(u32::MAX),
            weights: self.report.borrow().weights.unwrap_or(0),
            is_open: slots.is_open(),
            sequence: self.next_sequence(),
            target_port: self.target.port().into(),
            process: self.process,
            prefill_ms: u32::try_from(slots.prefill_left(now).as_millis()).unwrap_or(u32::MAX),
            cold_ms: u32::try_from(self.cold_left(now).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Sends the state to all subscribed gateways.
    pub(super) fn publish_state(&self) {
        self.send_to_gateways(&Body::State(self.state()));
    }

    /// Sends a datagram to all subscribed gateways.
    pub(super) fn send_to_gateways(&self, body: &Body) {
        let gateways = self.gateways.lock().clone();
        for gateway in gateways {
            self.send(gateway.address, body.clone());
        }
    }

    /// Opens or closes the target for new requests and informs the gateways of a change.
    pub(super) fn set_open(&self, is_open: bool, reason: &'static str) {
        let mut slots = self.slots.lock();
        if slots.is_open() == is_open {
            return;
        }
        slots.set_open(is_open);
        let active = slots.active();
        drop(slots);
        let weights = self.report.borrow().weights;
        info!(open = is_open, reason, active, weights; "admission changed");
        self.publish_state();
    }

    /// Sends a datagram. Failures are only logged: senders repeat what matters.
    pub(super) fn send(&self, to: SocketAddr, body: Body) {
        if let Err(e) = self.socket.try_send_to(&message::encode(body), to) {
            let reason = e.to_string();
            log::debug!(to:% = to, reason = reason.as_str(); "datagram not sent");
        }
    }
}
