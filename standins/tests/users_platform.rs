//! Gateways and hosts against a stand-in of the users' platform. Each test names the
//! failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use corianderramp::clock;
use corianderramp::net;
use corianderramp::node::settings::{Bounds, Listen, Role, Settings, Target as Beside};
use corianderramp::node::stop::Signals;
use corianderramp::{gateway, host, settings};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::json;
use standins::harness::Subnet;
use standins::users::{self, Origin, Script, Store, Target};
use tokio::time;

/// Time for anything that must happen; generous, so that a busy machine passes.
const LIMIT: Duration = Duration::from_secs(20);
/// Chunks of a version.
const CHUNKS: usize = 12;
/// Numbers of the VMs on which a process may run.
const NODES: std::ops::Range<u8> = 10..40;

struct Site {
    net: Subnet,
    store: Store,
    origin: Origin,
}

impl Site {
    async fn start(index: u8) -> Self {
        let net = Subnet::new(index);
        let store = Store::start(net.address(1, 8000), NODES).await;
        let origin = Origin::start(net.address(2, 8000), CHUNKS).await;
        store.put(
            "config",
            "main",
            users::config(1, net.address(2, 8000), CHUNKS),
        );
        Self { net, store, origin }
    }

    /// Target number `host` of a service, registered in the store.
    async fn target(&self, host: u8, service: &str, version: u64, script: Script) -> Target {
        let id: &'static str = format!("i-{host}").leak();
        let address = self.net.address(host, 9000);
        let target = Target::start(id, address, version, script).await;
        self.store
            .put("servers", id, users::entry(service, address, version));
        target
    }

    fn settings(&self, role: Role, host: u8) -> Settings {
        let ports = [7700, 7715];
        let beside = Beside {
            address: self.net.address(host, 9000),
            service: "llm".into(),
        };
        let listen = Listen {
            callers: self.net.address(host, 8080),
            probes: self.net.address(host, 8081),
        };
        Settings {
            role,
            vm: format!("vm-{host}"),
            data_center: "z-a".into(),
            region: "r".into(),
            centers: [("z-a".to_owned(), "r".to_owned())].into(),
            address: self.net.ip(host),
            ports,
            listen: (role == Role::Gateway).then_some(listen),
            store: Store::address_for(self.net.address(1, 8000), host),
            target: (role == Role::Host).then_some(beside),
            link_mbps: 100.0,
            bounds: Bounds {
                stop_ms: 8_000,
                weights_ms: 8_000,
            },
            metrics: None,
            log: settings::Log::default(),
        }
    }

    fn gateway(&self, host: u8) -> SocketAddr {
        let settings = self.settings(Role::Gateway, host);
        let signals = Signals::install(PathBuf::new()).unwrap();
        tokio::spawn(gateway::run(settings, signals, clock::System));
        self.net.address(host, 8080)
    }

    fn host(&self, host: u8) {
        let settings = self.settings(Role::Host, host);
        let signals = Signals::install(PathBuf::new()).unwrap();
        tokio::spawn(host::run(settings, signals, clock::System));
    }
}

fn request(method: Method, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example")
        .header("x-corianderramp-request-id", id)
        .header("x-corianderramp-deadline-ms", "2500")
        .header("x-corianderramp-token-count", "100,10")
        .header("x-corianderramp-model", "m0")
        .header("x-corianderramp-tenant", "somebody else")
        .header("api-key", "key-1")
        .body(Full::from("body"))
        .unwrap()
}

async fn call(
    gateway: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, net::Error> {
    net::call_once(gateway, request, Duration::from_secs(5), 1 << 20).await
}

/// Repeats a request until it is answered 200, as the fleet needs a moment to be known.
async fn settle(gateway: SocketAddr, method: Method, path: &str) -> Response<Bytes> {
    let retry = async {
        loop {
            let answer = call(gateway, request(method.clone(), path, "settle")).await;
            if let Ok(answer) = answer
                && answer.status() == StatusCode::OK
            {
                return answer;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(LIMIT, retry)
        .await
        .expect("the gateway serves in time")
}

async fn until(what: &str, check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(LIMIT, wait)
        .await
        .unwrap_or_else(|_| panic!("not in time: {what}"));
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    let event = |i| format!("id: {i}\ndata: token{i}\n\n");
    range.map(event).collect::<Vec<_>>().concat()
}

/// A key that reaches a target, or an account that the caller invents, would let one
/// account act for another.
#[tokio::test]
async fn targets_get_the_account_and_never_the_key() {
    let site = Site::start(0).await;
    let desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x?y=1").await;
    let received = desk.received();
    let last = received.last().unwrap();
    assert_eq!(last.headers["x-corianderramp-tenant"], "rounds");
    assert!(!last.headers.contains_key("api-key"));
    assert_eq!(last.headers["x-corianderramp-expect-instance"], "i-10");
    assert_eq!(last.uri, "/check/x?y=1");
    assert_eq!(last.body, "body");
}

/// An unknown key or route must be refused, and a gateway without configuration must not
/// refuse for good what it can't judge.
#[tokio::test]
async fn refusals_say_what_is_wrong() {
    let site = Site::start(1).await;
    let _desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    let mut unknown = request(Method::GET, "/check/x", "a");
    unknown
        .headers_mut()
        .insert("api-key", "nobody".parse().unwrap());
    assert_eq!(call(gateway, unknown).await.unwrap().status(), 401);
    let unrouted = request(Method::GET, "/other/x", "b");
    assert_eq!(call(gateway, unrouted).await.unwrap().status(), 404);

    let empty = Subnet::new(2);
    let store = Store::start(empty.address(1, 8000), NODES).await;
    let site = Site {
        net: empty,
        store,
        origin: Origin::default(),
    };
    let gateway = site.gateway(20);
    let answer = async {
        loop {
            if let Ok(answer) = call(gateway, request(Method::GET, "/check/x", "c")).await {
                return answer;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let answer = time::timeout(LIMIT, answer).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
}

/// A booking whose answer is lost may have run: sent again it could run twice, and
/// answered 503 the caller would send it again.
#[tokio::test]
async fn lost_answer_to_a_booking_is_not_repeated() {
    let site = Site::start(3).await;
    let desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let other = site.target(11, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    desk.set(Script::Break);
    other.set(Script::Break);
    let before = desk.received().len() + other.received().len();
    let answer = call(gateway, request(Method::POST, "/book/x", "b1"))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(desk.received().len() + other.received().len(), before + 1);
}

/// A look-up may run twice, so a target that breaks must not cost the answer.
#[tokio::test]
async fn lost_answer_to_a_lookup_is_made_up_for_elsewhere() {
    let site = Site::start(4).await;
    let desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let _other = site.target(11, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    desk.set(Script::Break);
    for i in 0..8 {
        let answer = call(gateway, request(Method::GET, "/check/x", &format!("c{i}"))).await;
        assert_eq!(answer.unwrap().status(), StatusCode::OK);
    }
}

/// An answer that carries another request's id must reach nobody.
#[tokio::test]
async fn answer_to_another_request_is_not_passed_on() {
    let site = Site::start(5).await;
    let desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    desk.set(Script::Foreign);
    let answer = call(gateway, request(Method::POST, "/book/x", "mine"))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert!(answer.body().is_empty());
}

/// A request that no target ran is refused at once, with a time to come back.
#[tokio::test]
async fn declined_booking_is_refused_as_not_run() {
    let site = Site::start(6).await;
    let desk = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    desk.set(Script::NotRun);
    let begin = time::Instant::now();
    let answer = call(gateway, request(Method::POST, "/book/x", "b"))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(begin.elapsed() < Duration::from_millis(1_500));
}

/// A stream whose target breaks off within an event goes on at another target: no event
/// missing, none twice, no torn bytes.
#[tokio::test]
async fn broken_stream_goes_on_at_another_target() {
    let site = Site::start(7).await;
    let first = site.target(10, "llm", 1, Script::Events(1, 10)).await;
    let second = site.target(11, "llm", 1, Script::Events(1, 10)).await;
    site.host(10);
    site.host(11);
    let gateway = site.gateway(20);
    settle(gateway, Method::POST, "/plan/x").await;
    first.set(Script::Events(1, 4));
    second.set(Script::Events(1, 10));
    // Placement is random, so requests go on until one was sent to the first target.
    let before = first.received().len();
    let begin = time::Instant::now();
    for i in 0.. {
        let sent = request(Method::POST, "/plan/x", &format!("s{i}"));
        let answer = call(gateway, sent).await.unwrap();
        assert_eq!(String::from_utf8_lossy(answer.body()), events(1..=10));
        if first.received().len() > before {
            break;
        }
        assert!(
            begin.elapsed() < LIMIT,
            "no request is sent to the first target"
        );
    }
    let resumed = second.received();
    let after = resumed
        .iter()
        .filter_map(|r| r.headers.get("last-event-id"));
    assert!(after.into_iter().any(|v| v == "4"));
}

/// A stream that can't go on anywhere must not look complete.
#[tokio::test]
async fn stream_without_another_target_breaks_off() {
    let site = Site::start(8).await;
    let only = site.target(10, "llm", 1, Script::Events(1, 10)).await;
    site.host(10);
    let gateway = site.gateway(20);
    settle(gateway, Method::POST, "/plan/x").await;
    only.set(Script::Events(1, 4));
    let answer = call(gateway, request(Method::POST, "/plan/x", "s")).await;
    assert!(answer.is_err(), "{answer:?}");
}

/// Weights reach all targets whole, each chunk leaves the origin once, and a staged chunk
/// that turns bad is replaced before the target loads it.
#[tokio::test]
async fn weights_reach_all_targets_and_leave_the_origin_once() {
    let site = Site::start(9).await;
    let mut targets = Vec::new();
    for host in 10..14 {
        targets.push(site.target(host, "llm", 1, Script::Events(1, 10)).await);
        site.host(host);
    }
    time::sleep(Duration::from_millis(800)).await;
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    let spoiled = targets[0].clone();
    until("chunks are staged", || {
        spoiled.staged().iter().flatten().count() == CHUNKS
    })
    .await;
    spoiled.spoil(3);
    until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    for target in &targets {
        for (index, chunk) in target.staged().iter().enumerate() {
            assert_eq!(
                chunk.as_ref(),
                Some(&users::chunk(2, index)),
                "chunk {index}"
            );
        }
    }
    let mut sent = site.origin.sent();
    sent.retain(|(version, _)| *version == 2);
    let total = sent.len();
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent.len(), CHUNKS);
    assert!(total <= CHUNKS + 2, "the origin sent {total} chunks");
}

/// After a loss of power all targets are empty and all processes start anew: requests must
/// be served again within the users' recovery time.
#[tokio::test]
async fn fleet_without_weights_serves_within_the_recovery_time() {
    const RECOVERY: Duration = Duration::from_secs(12);
    let site = Site::start(16).await;
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 3}));
    for host in 10..14 {
        site.target(host, "llm", 0, Script::Events(1, 10)).await;
        site.host(host);
    }
    let served = settle(site.gateway(20), Method::POST, "/plan/x");
    let answer = time::timeout(RECOVERY, served).await.unwrap();
    assert_eq!(answer.body(), &events(1..=10));
}

/// When the origin comes back after an outage, the hosts that have the duty fetch, and not
/// all hosts at once: each took the outage for a failure of the hosts before it, and the
/// copies of the same chunks shared the origin's link.
#[tokio::test]
async fn origin_that_returns_sends_each_chunk_about_once() {
    /// Shorter than the time after which an exchange gives up and begins anew.
    const OUTAGE: Duration = Duration::from_millis(2_800);
    let site = Site::start(14).await;
    let mut targets = Vec::new();
    for host in 10..18 {
        targets.push(site.target(host, "llm", 1, Script::Events(1, 10)).await);
        site.host(host);
    }
    time::sleep(Duration::from_millis(800)).await;
    site.origin.fail(true);
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    time::sleep(OUTAGE).await;
    site.origin.fail(false);
    until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    let total = site.origin.sent().iter().filter(|s| s.0 == 2).count();
    assert!(total <= CHUNKS * 3 / 2, "the origin sent {total} chunks");
}

/// A store that is down must not get calls at full price from every node again and again:
/// in a deployment of 140 nodes an outage of six seconds cost more calls than the rest of
/// the day.
#[tokio::test]
async fn store_that_is_down_gets_only_cheap_calls() {
    const GATEWAYS: std::ops::Range<u8> = 20..26;
    let site = Site::start(15).await;
    let _desk = site.target(12, "desk", 0, Script::Whole("ok")).await;
    for host in GATEWAYS {
        settle(site.gateway(host), Method::GET, "/check/x").await;
    }
    time::sleep(Duration::from_secs(1)).await;
    for host in GATEWAYS {
        site.store.refuse(host);
    }
    let before = site.store.full_price();
    time::sleep(Duration::from_secs(4)).await;
    let calls = site.store.full_price() - before;
    // Each topic of each gateway may notice the outage by one call.
    let most = 3 * GATEWAYS.len();
    assert!(calls <= most, "{calls} calls at full price");
    site.store.accept();
    let mut next = users::config(2, site.net.address(2, 8000), CHUNKS);
    next["routes"][2]["path_prefix"] = json!("/new/");
    site.store.put("config", "main", next);
    settle(site.net.address(20, 8080), Method::GET, "/new/x").await;
}

/// A gateway that the store turns away must still learn of a new configuration, from a
/// scout of its region.
#[tokio::test]
async fn configuration_reaches_a_gateway_that_the_store_turns_away() {
    let site = Site::start(10).await;
    for host in 10..12 {
        let _target = site.target(host, "llm", 1, Script::Events(1, 10)).await;
        site.host(host);
    }
    let _desk = site.target(12, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    site.store.refuse(20);
    let mut next = users::config(2, site.net.address(2, 8000), CHUNKS);
    next["routes"][2]["path_prefix"] = json!("/new/");
    site.store.put("config", "main", next);
    settle(gateway, Method::GET, "/new/x").await;
}

/// A target that leaves gets no new request once its entry says so.
#[tokio::test]
async fn leaving_target_gets_no_new_requests() {
    let site = Site::start(11).await;
    let leaving = site.target(10, "desk", 0, Script::Whole("ok")).await;
    let staying = site.target(11, "desk", 0, Script::Whole("ok")).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    let address = site.net.address(10, 9000);
    let mut entry = users::entry("desk", address, 0);
    entry["state"] = json!("draining");
    site.store.put("servers", "i-10", entry);
    // The bound of the users' sites.
    time::sleep(Duration::from_secs(2)).await;
    let before = leaving.received().len();
    for i in 0..20 {
        let answer = call(gateway, request(Method::GET, "/check/x", &format!("d{i}"))).await;
        assert_eq!(answer.unwrap().status(), StatusCode::OK);
    }
    assert_eq!(leaving.received().len(), before);
    assert!(!staying.received().is_empty());
}

/// After a loss of power the store still lists weights that the targets no longer hold.
/// Requests sent there were declined by the hundred; the host beside a target knows better.
#[tokio::test]
async fn outdated_entry_gets_no_requests() {
    let site = Site::start(12).await;
    // Without an origin the target stays empty.
    let nobody = site.net.address(3, 8000);
    site.store
        .put("config", "main", users::config(2, nobody, CHUNKS));
    let address = site.net.address(10, 9000);
    let empty = Target::start("i-10", address, 0, Script::NotRun).await;
    site.store
        .put("servers", "i-10", users::entry("llm", address, 1));
    let desk = site.target(12, "desk", 0, Script::Whole("ok")).await;
    site.host(10);
    time::sleep(Duration::from_millis(500)).await;
    let gateway = site.gateway(20);
    settle(gateway, Method::GET, "/check/x").await;
    for i in 0..5 {
        let answer = call(gateway, request(Method::POST, "/plan/x", &format!("e{i}")))
            .await
            .unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
    }
    assert!(empty.received().is_empty());
    assert!(!desk.received().is_empty());
}

/// A version whose chunks are here must be loaded before it is due even if a newer one was
/// named meanwhile whose chunks can't be fetched: all targets used to wait for the newer
/// one and were closed when the older became due.
#[tokio::test]
async fn unreachable_newer_version_does_not_hold_up_the_older() {
    let site = Site::start(13).await;
    let target = site.target(10, "llm", 1, Script::Events(1, 10)).await;
    site.host(10);
    time::sleep(Duration::from_millis(800)).await;
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    until("version 2 is staged", || {
        target.staged().iter().flatten().count() == CHUNKS
    })
    .await;
    let nobody = site.net.address(3, 8000);
    site.store
        .put("config", "main", users::config(2, nobody, CHUNKS));
    time::sleep(Duration::from_millis(300)).await;
    site.store
        .put("versions", "m0", json!({"model": "m0", "version": 3}));
    let named = time::Instant::now();
    until("the target serves version 2", || target.version() == 2).await;
    assert!(named.elapsed() < Duration::from_secs(8));
}
