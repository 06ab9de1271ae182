//! Evacuations of data centres against a simulated platform. The comment on each test states
//! the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use corianderramp::node::settings::Role;
use corianderramp::node::stop::Signals;
use corianderramp::{clock, gateway, net};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use standins::users::{self, Behavior, Target};
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::time;

use users_fleet::{Fleet, TIMEOUT, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time within which the deployment requires that an evacuation is in force.
const LIMIT: Duration = Duration::from_secs(5);
/// Time in which a node that has not heard of a change would have.
const SETTLED: Duration = Duration::from_secs(3);

/// A deployment with a target of a plain service in each of two data centres. Gateways are in
/// the first one and prefer its target.
struct Site {
    fleet: Fleet,
    near: Target,
    far: Target,
}

impl Site {
    async fn start(index: u8) -> Self {
        let mut fleet = Fleet::start(index).await;
        fleet.bounds.evacuation_ms = Some(u64::try_from(LIMIT.as_millis()).unwrap());
        let near = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
        let far = fleet.target(17, "desk", 0, Behavior::Respond("ok")).await;
        let mut spec = users::target_spec("desk", fleet.net.address(17, 9000), 0);
        spec["zone"] = json!("z-b");
        fleet.store.put("servers", "i-17", spec);
        Self { fleet, near, far }
    }

    fn evacuate(&self, center: &str) {
        self.fleet.store.put("evacuations", center, json!({}));
    }

    fn take_back(&self, center: &str) {
        self.fleet.store.remove("evacuations", center);
    }

    /// Waits until the near target gets no requests of `gateway` and the far one gets them.
    async fn wait_until_evacuated(&self, gateway: SocketAddr) {
        let reached = async {
            let before = self.far.received().len();
            while self.far.received().len() == before {
                call_until_ok(gateway, Method::GET, "/check/x").await;
            }
        };
        time::timeout(TIMEOUT, reached)
            .await
            .expect("evacuation not in force");
        self.expect_evacuated(gateway).await;
    }

    async fn expect_evacuated(&self, gateway: SocketAddr) {
        let before = self.near.received().len();
        for _ in 0..20 {
            call_until_ok(gateway, Method::GET, "/check/x").await;
        }
        assert_eq!(self.near.received().len(), before);
    }

    async fn wait_until_taken_back(&self, gateway: SocketAddr) {
        let reached = async {
            let before = self.near.received().len();
            while self.near.received().len() == before {
                call_until_ok(gateway, Method::GET, "/check/x").await;
            }
        };
        time::timeout(TIMEOUT, reached)
            .await
            .expect("data centre not taken back");
    }
}

/// Starts a gateway with metrics.
fn gateway_with_metrics(site: &Site, vm: u8) -> (SocketAddr, SocketAddr) {
    let mut settings = site.fleet.settings(Role::Gateway, vm);
    let metrics = site.fleet.net.address(vm, 9464);
    settings.metrics = Some(metrics);
    let signals = Signals::install(PathBuf::new()).unwrap();
    tokio::spawn(gateway::run(settings, signals, clock::System));
    (site.fleet.net.address(vm, 8080), metrics)
}

async fn metrics(address: SocketAddr) -> String {
    let request = Request::builder()
        .uri("/metrics")
        .header("host", "m")
        .body(Full::default())
        .unwrap();
    let response = net::call_once(address, request, TIMEOUT, 1 << 20).await;
    String::from_utf8(response.unwrap().body().to_vec()).unwrap()
}

/// An evacuation or its end had no effect at a gateway that follows the store itself, also if
/// the object can't be read; or callers waited or got another status if nothing was left.
#[tokio::test]
async fn evacuation_takes_effect_and_ends() {
    let site = Site::start(0).await;
    let (gateway, metrics_address) = gateway_with_metrics(&site, 20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    site.evacuate("z-a");
    site.evacuate("z-unknown");
    time::timeout(LIMIT, site.wait_until_evacuated(gateway))
        .await
        .expect("in force in time");
    site.take_back("z-a");
    site.wait_until_taken_back(gateway).await;

    let unreadable = json!({"reason": users::UNREADABLE[0]});
    site.fleet.store.put("evacuations", "z-a", unreadable);
    site.wait_until_evacuated(gateway).await;
    site.evacuate("z-b");
    let refused = async {
        loop {
            let begin = time::Instant::now();
            let sent = request(Method::GET, "/check/x", "c");
            let response = call(gateway, sent).await.unwrap();
            if response.status() != StatusCode::OK {
                return (response, begin.elapsed());
            }
        }
    };
    let (response, elapsed) = time::timeout(LIMIT, refused).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    let text = metrics(metrics_address).await;
    assert!(text.contains(r#"corianderramp_gateway_requests_total{outcome="evacuated"}"#));
    assert!(
        text.contains("corianderramp_evacuated_data_centers 3"),
        "{text}"
    );
    site.take_back("z-a");
    site.wait_until_taken_back(gateway).await;
}

/// A gateway that follows a relay did not learn of an evacuation, or forgot it when the relay
/// died or restarted.
#[tokio::test]
async fn evacuation_outlives_relays() {
    const RELAYS: [u8; 2] = [10, 11];
    let site = Site::start(1).await;
    for vm in RELAYS {
        site.fleet
            .target(vm, "llm", 1, Behavior::Stream(1, 10))
            .await;
    }
    let [first, second] = RELAYS.map(|vm| site.fleet.host_node(vm));
    let gateway = site.fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    // From now on, only relays can tell the gateway.
    site.fleet.store.reject_vm(20);
    site.fleet.store.reject_vm(21);
    site.evacuate("z-a");
    time::timeout(LIMIT, site.wait_until_evacuated(gateway))
        .await
        .expect("in force in time");
    first.kill().await;
    site.expect_evacuated(gateway).await;
    let _first = site.fleet.host_node(RELAYS[0]);
    second.kill().await;
    time::sleep(SETTLED).await;
    site.expect_evacuated(gateway).await;
    site.take_back("z-a");
    site.wait_until_taken_back(gateway).await;
    let lists = site.fleet.store.listing_vms("evacuations");
    assert!(lists.iter().all(|vm| RELAYS.contains(vm)), "{lists:?}");
}

/// While the store was away, a gateway forgot an evacuation, or one that started meanwhile sent
/// requests there.
#[tokio::test]
async fn evacuation_holds_while_the_store_is_away() {
    let site = Site::start(2).await;
    for vm in [10, 11] {
        site.fleet
            .target(vm, "llm", 1, Behavior::Stream(1, 10))
            .await;
        site.fleet.host(vm);
    }
    let gateway = site.fleet.gateway(20);
    site.evacuate("z-a");
    call_until_ok(gateway, Method::GET, "/check/x").await;
    site.wait_until_evacuated(gateway).await;
    // The store still answers stale lists of targets, which tell where relays are.
    site.fleet.store.ignore_calls("evacuations");
    site.fleet.store.ignore_calls("config");
    let late = site.fleet.gateway(21);
    site.expect_evacuated(late).await;
    site.fleet.store.go_down();
    time::sleep(SETTLED).await;
    site.expect_evacuated(gateway).await;
    site.expect_evacuated(late).await;
    site.fleet.store.answer_all();
    site.fleet.store.restore(site.fleet.store.revision());
    site.take_back("z-a");
    for gateway in [gateway, late] {
        site.wait_until_taken_back(gateway).await;
    }
}

/// A store that came back from a copy without the evacuation made gateways send there before
/// the operator could write it again, or left the data centre evacuated without an object.
#[tokio::test]
async fn evacuation_outlives_a_return_from_a_copy() {
    let site = Site::start(3).await;
    let gateway = site.fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let copy = site.fleet.store.revision();
    site.evacuate("z-a");
    site.wait_until_evacuated(gateway).await;
    site.fleet.store.go_down();
    site.fleet.store.restore(copy);
    time::sleep(Duration::from_millis(500)).await;
    site.evacuate("z-a");
    let end = time::Instant::now() + SETTLED;
    while time::Instant::now() < end {
        site.expect_evacuated(gateway).await;
    }
    site.fleet.store.restore(copy);
    site.wait_until_taken_back(gateway).await;
}

/// A watch that is never answered kept an evacuation from its gateways.
#[tokio::test]
async fn evacuation_arrives_after_a_watch_was_never_answered() {
    let site = Site::start(4).await;
    let gateway = site.fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    site.fleet.store.ignore_calls("evacuations");
    let ignored = async {
        while site.fleet.store.ignored_calls() == 0 {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(TIMEOUT, ignored).await.unwrap();
    site.evacuate("z-a");
    site.fleet.store.answer_all();
    site.wait_until_evacuated(gateway).await;
}

/// A relay of an earlier version, which does not know the topic, cleared an evacuation or kept
/// it from its followers.
#[tokio::test]
async fn evacuation_arrives_beside_a_relay_of_an_earlier_version() {
    let mut site = Site::start(5).await;
    let limit = site.fleet.bounds.evacuation_ms.take();
    for vm in [10, 11] {
        site.fleet
            .target(vm, "llm", 1, Behavior::Stream(1, 10))
            .await;
        site.fleet.host(vm);
    }
    site.fleet.bounds.evacuation_ms = limit;
    let gateway = site.fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    site.evacuate("z-a");
    site.wait_until_evacuated(gateway).await;
    time::sleep(SETTLED).await;
    site.expect_evacuated(gateway).await;
    site.take_back("z-a");
    site.wait_until_taken_back(gateway).await;
    let lists = |kind| site.fleet.store.listing_vms(kind);
    assert_eq!(lists("evacuations"), [20]);
    assert!(!lists("config").contains(&20), "only evacuations directly");
}

/// A deployment without the setting made calls that it pays for, or acted on objects of the kind.
#[tokio::test]
async fn nothing_changes_without_the_setting() {
    let mut site = Site::start(6).await;
    site.fleet.bounds.evacuation_ms = None;
    site.evacuate("z-a");
    site.fleet.store.ignore_calls("evacuations");
    let gateway = site.fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let before = site.near.received().len();
    time::sleep(SETTLED).await;
    call_until_ok(gateway, Method::GET, "/check/x").await;
    assert_eq!(site.near.received().len(), before + 1);
    assert_eq!(site.fleet.store.ignored_calls(), 0);
}

/// A gateway that knew everything but the evacuations sent requests, or said that it is ready.
#[tokio::test]
async fn gateway_waits_for_the_state_of_evacuations() {
    let site = Site::start(7).await;
    site.evacuate("z-a");
    site.fleet.store.ignore_calls("evacuations");
    let gateway = site.fleet.gateway(20);
    let probes = site.fleet.net.address(20, 8081);
    time::sleep(Duration::from_secs(1)).await;
    let sent = request(Method::GET, "/check/x", "c");
    let response = call(gateway, sent).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(status(probes).await, 503);
    site.fleet.store.answer_all();
    call_until_ok(gateway, Method::GET, "/check/x").await;
    assert_eq!(status(probes).await, 200);
    assert!(site.near.received().is_empty());
}

/// Status of a probe; 0 before the gateway listens.
async fn status(probes: SocketAddr) -> u16 {
    let request = Request::builder()
        .uri("/ready")
        .header("host", "p")
        .body(Full::default())
        .unwrap();
    let response = net::call_once(probes, request, TIMEOUT, 1 << 10).await;
    response.map_or(0, |r| r.status().as_u16())
}

/// A request whose connection was still opening when its data centre was evacuated was sent
/// there once the connection had opened.
#[tokio::test]
async fn request_is_not_sent_when_its_connection_opens_after_the_evacuation() {
    let mut fleet = Fleet::start(8).await;
    fleet.bounds.evacuation_ms = Some(u64::try_from(LIMIT.as_millis()).unwrap());
    let address = fleet.net.address(16, 9000);
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(address).unwrap();
    let listener = socket.listen(1).unwrap();
    let spec = users::target_spec("desk", address, 0);
    fleet.store.put("servers", "i-16", spec);
    let gateway = fleet.gateway(20);
    let is_ready = async {
        while status(fleet.net.address(20, 8081)).await != 200 {
            time::sleep(Duration::from_millis(50)).await;
        }
        time::sleep(Duration::from_millis(300)).await;
    };
    time::timeout(TIMEOUT, is_ready).await.unwrap();
    // Connections that nobody accepts fill the queue; the next one opens when its first packet
    // is repeated after a second.
    let mut waiting = Vec::new();
    let open = || TcpStream::connect_timeout(&address, Duration::from_millis(100));
    while let Ok(connection) = open() {
        waiting.push(connection);
    }
    let sent = request(Method::GET, "/check/x", "c");
    let answer = tokio::spawn(async move { call(gateway, sent).await });
    time::sleep(Duration::from_millis(300)).await;
    fleet.store.put("evacuations", "z-a", json!({}));
    time::sleep(Duration::from_millis(300)).await;
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let accepted = Arc::new(AtomicUsize::new(0));
    let opened = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            opened.fetch_add(1, Ordering::Relaxed);
            let count = count.clone();
            tokio::spawn(async move {
                let bytes = connection.read(&mut [0; 1024]).await;
                count.fetch_add(bytes.unwrap_or(0), Ordering::Relaxed);
            });
        }
    });
    let response = answer.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(accepted.load(Ordering::Relaxed) > waiting.len());
    assert_eq!(received.load(Ordering::Relaxed), 0);
}
