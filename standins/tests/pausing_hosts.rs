//! Hosts whose target falls silent for a time and goes on with its requests. The comment on each
//! test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use corianderramp::node::message::{self, Body, SlotRelease, SlotReply, SlotRequest, Subscribe};
use corianderramp::node::settings::Role;
use http::{Method, StatusCode};
use serde_json::json;
use standins::harness::process::Process;
use standins::users::{Behavior, Target};
use standins::{harness, users};
use tokio::net::UdpSocket;
use tokio::time;

use paused_engine::Engine;
use users_fleet::{CHUNKS, Fleet, TIMEOUT, call, call_until_ok, request, wait_until};

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

    fn next_request(&mut self, immediate_only: bool) -> SlotRequest {
        let request_id = self.next_id;
        self.next_id += 1;
        SlotRequest {
            gateway_id: 1,
            request_id,
            priority: 1,
            rank: None,
            objective_ms: 400,
            prompt_tokens: 1,
            immediate_only,
            limit: None,
            lifetime: 1,
            output_tokens: 0,
            left_ms: 0,
            is_returning: false,
        }
    }

    /// Asks for a slot until the host answers; returns the request's id and the reply.
    async fn ask(&mut self, immediate_only: bool) -> (u64, SlotReply) {
        let request = self.next_request(immediate_only);
        let request_id = request.request_id;
        let request = message::encode(Body::SlotRequest(request));
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

    /// Sends a slot request and gives it up.
    async fn abandon(&mut self) {
        let request = self.next_request(true);
        let request = message::encode(Body::SlotRequest(request));
        self.socket.send_to(&request, self.host).await.unwrap();
        self.send_release(self.next_id - 1, true).await;
    }

    /// Asks for `count` slots, which it keeps; returns the ids of those granted.
    async fn acquire_all(&mut self, count: usize) -> Vec<u64> {
        let mut granted = Vec::new();
        for _ in 0..count {
            let (id, reply) = self.ask(true).await;
            granted.extend(reply.is_granted.then_some(id));
        }
        granted
    }

    /// Number of slots granted to `count` requests, which all keep them.
    async fn count_granted(&mut self, count: usize) -> usize {
        self.acquire_all(count).await.len()
    }

    async fn release(&self, request_id: u64) {
        self.send_release(request_id, false).await;
    }

    async fn send_release(&self, request_id: u64, is_unused: bool) {
        let release = SlotRelease {
            gateway_id: 1,
            request_id,
            is_unused,
        };
        let release = message::encode(Body::SlotRelease(release));
        self.socket.send_to(&release, self.host).await.unwrap();
    }
}

/// Starts an engine with a host on VM number 10.
async fn start_engine(fleet: &Fleet) -> Engine {
    let engine = start_engine_alone(fleet).await;
    fleet.host(10);
    engine
}

/// Starts an engine on VM number 10. Requests hold its slots for seconds, so that none is granted in
/// advance.
async fn start_engine_alone(fleet: &Fleet) -> Engine {
    let mut spec = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    spec["services"][0]["engine"]["usual"]["answer"] = 500.into();
    fleet.store.put("config", "main", spec);
    let address = fleet.net.address(10, 9000);
    let engine = Engine::start(address).await;
    let spec = users::target_spec("llm", address, 1);
    fleet.store.put("servers", "i-10", spec);
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

/// Starts the host on VM number `vm` in a process of its own, which can be suspended.
fn start_process(fleet: &Fleet, vm: u8, folder: &Path) -> Process {
    let settings = fleet.settings(Role::Host, vm);
    let file = folder.join(format!("{vm}.toml"));
    std::fs::write(&file, toml::to_string(&settings).unwrap()).unwrap();
    let program = harness::program("corianderrampd").unwrap();
    Process::start(&program, &[&file], &folder.join(format!("{vm}.log"))).unwrap()
}

/// A host that was suspended finds slot requests that were given up, releases, and a report that is
/// newer than both. It must neither lose a slot nor grant one twice.
#[tokio::test]
async fn suspended_host_counts_its_slots_when_it_goes_on() {
    let fleet = Fleet::start(4).await;
    let engine = start_engine_alone(&fleet).await;
    let folder = tempfile::tempdir().unwrap();
    let host = start_process(&fleet, 10, folder.path());
    let mut gateway = Gateway::new(&fleet).await;
    for (length, is_first) in [(300, true), (1_500, false), (3_000, false)] {
        gateway
            .wait_for_state("all slots are known", |s| s.free_slots == 4)
            .await;
        let mut ids = Vec::new();
        for running in 1..=3 {
            ids.push(gateway.acquire().await);
            engine.state.lock().running = running;
        }
        if is_first {
            time::sleep(Duration::from_millis(700)).await;
        }
        host.freeze();
        for _ in 0..20 {
            gateway.abandon().await;
        }
        engine.state.lock().running = 2;
        gateway.release(ids[0]).await;
        time::sleep(Duration::from_millis(length)).await;
        host.resume();
        // Each count takes the free slots; the last of four must be refused.
        let granted = gateway.acquire_all(4).await;
        assert_eq!(granted.len(), 2, "after {length} ms");
        engine.state.lock().running = 0;
        for id in ids.into_iter().chain(granted) {
            gateway.release(id).await;
        }
    }
}

/// Two engines with hosts in processes of their own, and a gateway that knows both.
async fn start_pair(fleet: &Fleet, folder: &Path) -> ([Target; 2], [Process; 2], SocketAddr) {
    let targets = [
        fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await,
        fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await,
    ];
    let hosts = [10, 11].map(|vm| start_process(fleet, vm, folder));
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    wait_until("both targets get requests", || {
        let sent = request(Method::POST, "/plan/x", "warm-up");
        tokio::spawn(call(gateway, sent));
        targets.iter().all(|t| !t.received().is_empty())
    })
    .await;
    (targets, hosts, gateway)
}

/// While all hosts are suspended, requests must be served without them, each once, and the slots of
/// requests that were given up must not keep the targets from serving when the hosts go on.
#[tokio::test]
async fn requests_are_served_while_hosts_are_suspended() {
    let fleet = Fleet::start(5).await;
    let folder = tempfile::tempdir().unwrap();
    let (targets, hosts, gateway) = start_pair(&fleet, folder.path()).await;
    time::sleep(Duration::from_millis(500)).await;
    let received = || targets.iter().map(|t| t.received().len()).sum::<usize>();
    let before = received();
    let mut count = 0;
    for length in [300, 1_500, 3_000] {
        hosts.iter().for_each(Process::freeze);
        let paused = time::Instant::now();
        let mut is_paused = true;
        // Goes on for a second after the pause.
        while paused.elapsed() < Duration::from_millis(length + 1_000) {
            if is_paused && paused.elapsed() >= Duration::from_millis(length) {
                hosts.iter().for_each(Process::resume);
                is_paused = false;
            }
            count += 1;
            let sent = request(Method::POST, "/plan/x", &format!("p{count}"));
            let response = call(gateway, sent).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK, "request {count}");
            assert!(response.body().ends_with(b"token10\n\n"), "request {count}");
        }
    }
    assert_eq!(received() - before, count);
}

/// A change of the configuration must reach a gateway in time although the relays that it follows
/// are suspended, and again when they go on with an older state.
#[tokio::test]
async fn changes_arrive_while_relays_are_suspended() {
    let fleet = Fleet::start(6).await;
    let folder = tempfile::tempdir().unwrap();
    let (_targets, hosts, gateway) = start_pair(&fleet, folder.path()).await;
    time::sleep(Duration::from_secs(1)).await;
    let mut spec = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    for (version, length) in [(2, 300), (3, 1_500), (4, 4_000)] {
        hosts.iter().for_each(Process::freeze);
        time::sleep(Duration::from_millis(50)).await;
        let path = format!("/new-{version}/");
        let mut route = spec["routes"][0].clone();
        (route["name"], route["path_prefix"]) = (path.clone().into(), path.clone().into());
        spec["routes"].as_array_mut().unwrap().push(route);
        spec["version"] = version.into();
        fleet.store.put("config", "main", spec.clone());
        let changed = time::Instant::now();
        let resumed = async {
            time::sleep(Duration::from_millis(length)).await;
            hosts.iter().for_each(Process::resume);
        };
        let served = async {
            call_until_ok(gateway, Method::POST, &format!("{path}x")).await;
            changed.elapsed()
        };
        let ((), took) = tokio::join!(resumed, served);
        // The limit is 2 s; the rest is for a busy machine.
        assert!(took < Duration::from_secs(3), "{took:?}");
    }
}
