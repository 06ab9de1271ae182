//! Hosts whose target falls silent for a time and goes on with its requests. The comment on each
//! test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use corianderramp::node::message::{self, Body, SlotRelease, SlotReply, SlotRequest, Subscribe};
use serde_json::json;
use standins::users;
use tokio::net::UdpSocket;
use tokio::time;

use paused_engine::Engine;
use users_fleet::{CHUNKS, Fleet, TIMEOUT, wait_until};

#[path = "support/paused_engine.rs"]
mod paused_engine;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time between two queries of a host.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// Port of messages.
const PORT: u16 = 7700;

/// Socket that speaks to a host as a gateway does.
struct Gateway {
    socket: UdpSocket,
    host: SocketAddr,
    next_id: u64,
}

impl Gateway {
    async fn new(fleet: &Fleet) -> Self {
        Self {
            socket: UdpSocket::bind(fleet.net.address(100, PORT)).await.unwrap(),
            host: fleet.net.address(10, PORT),
            next_id: 1,
        }
    }

    /// Asks for a slot until the host answers; returns the request's id and the reply.
    async fn ask(&mut self, immediate_only: bool) -> (u64, SlotReply) {
        let request_id = self.next_id;
        self.next_id += 1;
        let request = message::encode(Body::SlotRequest(SlotRequest {
            gateway_id: 1,
            request_id,
            priority: 1,
            objective_ms: 400,
            prompt_tokens: 1,
            immediate_only,
            limit: None,
            lifetime: 1,
        }));
        let mut buffer = [0; 2_048];
        let answered = async {
            loop {
                self.socket.send_to(&request, self.host).await.unwrap();
                let limit = Duration::from_millis(200);
                let received = time::timeout(limit, self.socket.recv(&mut buffer)).await;
                if let Ok(Ok(length)) = received
                    && let Some(Body::SlotReply(reply)) = message::decode(&buffer[..length])
                    && reply.request_id == request_id
                {
                    return reply;
                }
            }
        };
        let reply = time::timeout(TIMEOUT, answered).await;
        (request_id, reply.expect("the host did not answer in time"))
    }

    /// Asks for slots until one is granted; returns the request's id.
    async fn acquire(&mut self) -> u64 {
        let granted = async {
            loop {
                let (id, reply) = self.ask(true).await;
                if reply.is_granted {
                    return id;
                }
                time::sleep(QUERY_INTERVAL).await;
            }
        };
        let granted = time::timeout(TIMEOUT, granted).await;
        granted.expect("the host granted no slot in time")
    }

    /// Subscribes until the host's state is as wanted.
    async fn wait_for_state(&self, what: &str, is_wanted: impl Fn(&message::State) -> bool) {
        let subscribe = message::encode(Body::Subscribe(Subscribe { gateway_id: 1 }));
        let mut buffer = [0; 2_048];
        let wanted = async {
            loop {
                self.socket.send_to(&subscribe, self.host).await.unwrap();
                let received = time::timeout(QUERY_INTERVAL, self.socket.recv(&mut buffer)).await;
                if let Ok(Ok(length)) = received
                    && let Some(Body::State(state)) = message::decode(&buffer[..length])
                    && is_wanted(&state)
                {
                    return;
                }
            }
        };
        let wanted = time::timeout(TIMEOUT, wanted).await;
        assert!(wanted.is_ok(), "timed out waiting until {what}");
    }

    /// Number of slots granted to `count` requests, which all keep them.
    async fn count_granted(&mut self, count: usize) -> usize {
        let mut granted = 0;
        for _ in 0..count {
            granted += usize::from(self.ask(true).await.1.is_granted);
        }
        granted
    }

    async fn release(&self, request_id: u64) {
        let release = SlotRelease {
            gateway_id: 1,
            request_id,
            is_unused: false,
        };
        let release = message::encode(Body::SlotRelease(release));
        self.socket.send_to(&release, self.host).await.unwrap();
    }
}

/// Starts an engine with a host on VM number 10. Requests hold its slots for seconds, so that none
/// is granted in advance.
async fn start_engine(fleet: &Fleet) -> Engine {
    let mut spec = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    spec["services"][0]["engine"]["usual"]["answer"] = 500.into();
    fleet.store.put("config", "main", spec);
    let address = fleet.net.address(10, 9000);
    let engine = Engine::start(address).await;
    let spec = users::target_spec("llm", address, 1);
    fleet.store.put("servers", "i-10", spec);
    fleet.host(10);
    engine
}

/// Slots of requests that a silent target goes on with must not be granted again when it goes
/// on, nor while it is silent.
#[tokio::test]
async fn requests_keep_their_slots_while_the_target_is_silent() {
    let fleet = Fleet::start(0).await;
    let engine = start_engine(&fleet).await;
    let mut gateway = Gateway::new(&fleet).await;
    gateway
        .wait_for_state("all slots are known", |s| s.free_slots == 4)
        .await;
    let mut ids = Vec::new();
    for running in 1..=3 {
        ids.push(gateway.acquire().await);
        engine.state.lock().running = running;
    }
    time::sleep(Duration::from_millis(700)).await;
    engine.pause();
    gateway
        .wait_for_state("the silence is known", |s| s.wait_ms >= 400)
        .await;
    assert!(!gateway.ask(true).await.1.is_granted);
    let (waiting, reply) = gateway.ask(false).await;
    assert!(reply.is_granted, "{reply:?}");
    let (_, reply) = gateway.ask(false).await;
    assert!(!reply.is_granted, "{reply:?}");
    gateway.release(waiting).await;
    engine.resume();
    gateway
        .wait_for_state("the target has gone on", |s| s.is_open && s.wait_ms < 400)
        .await;
    assert_eq!(gateway.count_granted(6).await, 1);
    // A release frees the slot of a request that ran through the silence.
    gateway.release(ids[0]).await;
    assert_eq!(gateway.count_granted(6).await, 1);
}

/// A target that stays silent must not get requests for ever: their callers have left.
#[tokio::test]
async fn target_that_stays_silent_is_closed_until_it_goes_on() {
    let fleet = Fleet::start(1).await;
    let engine = start_engine(&fleet).await;
    let mut gateway = Gateway::new(&fleet).await;
    gateway
        .wait_for_state("the host serves", |s| s.is_open)
        .await;
    engine.pause();
    let paused = time::Instant::now();
    gateway
        .wait_for_state("the target is closed", |s| !s.is_open)
        .await;
    // Four objectives of 400 ms.
    assert!(paused.elapsed() >= Duration::from_millis(1_500));
    assert!(!gateway.ask(false).await.1.is_granted);
    engine.resume();
    gateway.acquire().await;
}

/// Releases version 2 and checks that the target, which is behind with an order, gets one order and
/// that the origin sends each chunk once.
async fn check_one_order(fleet: &Fleet, engine: &Engine) {
    let gateway = Gateway::new(fleet).await;
    gateway
        .wait_for_state("the host serves", |s| s.is_open)
        .await;
    let spec = json!({"model": "m0", "version": 2});
    fleet.store.put("versions", "m0", spec);
    gateway
        .wait_for_state("version 2 is served", |s| s.is_open && s.weights == 2)
        .await;
    time::sleep(Duration::from_secs(1)).await;
    let state = engine.state.lock();
    assert_eq!((state.orders, state.is_busy), (1, false));
    drop(state);
    let mut sent = fleet.origin.sent_chunks();
    sent.retain(|(version, _)| *version == 2);
    assert_eq!(sent.len(), CHUNKS, "{sent:?}");
}

/// A target that falls silent when it gets an order to load weights carries the order out when it
/// goes on. A second order would keep it closed for twice as long.
#[tokio::test]
async fn order_to_a_silent_target_is_not_given_twice() {
    let fleet = Fleet::start(2).await;
    let engine = start_engine(&fleet).await;
    engine.state.lock().pause_at_order = Some(Duration::from_millis(1_500));
    check_one_order(&fleet, &engine).await;
}

/// A target whose answer to an order is late already carries the order out.
#[tokio::test]
async fn order_that_is_answered_late_is_not_given_twice() {
    let fleet = Fleet::start(3).await;
    let engine = start_engine(&fleet).await;
    engine.state.lock().order_answer_delay = Some(Duration::from_secs(2));
    check_one_order(&fleet, &engine).await;
}
