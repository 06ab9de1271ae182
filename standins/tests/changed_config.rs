//! Changes of the configuration beside open connections and running requests: each request
//! that was read gets a whole answer or a refusal. The comment on each test states the failure
//! that it guards against.

#![allow(clippy::unwrap_used)]

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use standins::users::{self, Behavior};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use raw_caller::{Channel, Missing, head};
use users_fleet::{CHUNKS, Fleet, TIMEOUT, call_until_ok};

#[path = "support/raw_caller.rs"]
mod raw_caller;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Configuration `version` with other limits and a route of its own, `/v{version}/`.
fn config(fleet: &Fleet, version: u64, limits: &Value) -> Value {
    let mut spec = users::config_spec(version, fleet.net.address(2, 8000), CHUNKS);
    for (name, value) in limits.as_object().unwrap() {
        spec["limits"][name] = value.clone();
    }
    let mut route = spec["routes"][2].clone();
    route["name"] = json!("marker");
    route["path_prefix"] = json!(format!("/v{version}/"));
    spec["routes"].as_array_mut().unwrap().push(route);
    spec
}

/// Writes a configuration and waits until the gateway has applied it.
async fn apply(fleet: &Fleet, gateway: SocketAddr, version: u64, limits: &Value) {
    let spec = config(fleet, version, limits);
    fleet.store.put("config", "main", spec);
    call_until_ok(gateway, Method::GET, &format!("/v{version}/x")).await;
}

async fn check(channel: &mut Channel, id: &str, extra: &str) -> Result<u16, Missing> {
    let request = head("GET", "/check/x", id, extra);
    if channel.send(request.as_bytes()).await.is_err() {
        return Err(Missing::Closed);
    }
    channel.answer(TIMEOUT).await.map(|a| a.status)
}

/// Header line of `length` bytes.
fn padding(length: usize) -> String {
    format!("x-padding: {}\r\n", "p".repeat(length))
}

/// A connection that kept the idle limit under which it was opened was closed while callers
/// reused it under the newer, longer limit.
#[tokio::test]
async fn raised_idle_limit_applies_to_open_connections() {
    let fleet = Fleet::start(0).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    let short = json!({"idle_timeout_ms": 500, "header_timeout_ms": 500});
    apply(&fleet, gateway, 2, &short).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", "").await, Ok(200));
    apply(&fleet, gateway, 3, &json!({"idle_timeout_ms": 10_000})).await;
    // Four fifths of the newer limit.
    time::sleep(Duration::from_secs(8)).await;
    assert_eq!(check(&mut channel, "b", "").await, Ok(200));
}

/// A connection that kept the longer idle limit under which it was opened would stay open
/// long after the operator shortened the limit.
#[tokio::test]
async fn lowered_idle_limit_applies_to_open_connections() {
    let fleet = Fleet::start(1).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    apply(&fleet, gateway, 2, &json!({"idle_timeout_ms": 20_000})).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", "").await, Ok(200));
    apply(&fleet, gateway, 3, &json!({"idle_timeout_ms": 500})).await;
    let closed = channel.answer(Duration::from_secs(10)).await;
    assert_eq!(closed.unwrap_err(), Missing::Closed);
}

/// A caller that does not know a shortened idle limit yet may reuse a connection until the
/// limit for changes of the configuration; the connection must not be closed before.
#[tokio::test]
async fn lowered_idle_limit_spares_callers_that_do_not_know_it_yet() {
    let mut fleet = Fleet::start(2).await;
    fleet.bounds.config_ms = 6_000;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    apply(&fleet, gateway, 2, &json!({"idle_timeout_ms": 20_000})).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", "").await, Ok(200));
    time::sleep(Duration::from_secs(1)).await;
    apply(&fleet, gateway, 3, &json!({"idle_timeout_ms": 300})).await;
    time::sleep(Duration::from_secs(4)).await;
    assert_eq!(check(&mut channel, "b", "").await, Ok(200));
}

/// A connection that kept the head size under which it was opened refused heads that the
/// newer configuration allows.
#[tokio::test]
async fn raised_head_limit_applies_to_open_connections() {
    let fleet = Fleet::start(3).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    apply(&fleet, gateway, 2, &json!({"max_header_bytes": 8192})).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", "").await, Ok(200));
    apply(&fleet, gateway, 3, &json!({"max_header_bytes": 100_000})).await;
    let large = padding(60_000);
    assert_eq!(check(&mut channel, "b", &large).await, Ok(200));
}

/// A head over the limit in force must be refused with 431, on open connections too; up to
/// twice the limit was accepted, and more than the limit of the connection's start.
#[tokio::test]
async fn lowered_head_limit_applies_to_open_connections() {
    let fleet = Fleet::start(4).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    apply(&fleet, gateway, 2, &json!({"max_header_bytes": 40_000})).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", &padding(30_000)).await, Ok(200));
    apply(&fleet, gateway, 3, &json!({"max_header_bytes": 20_000})).await;
    assert_eq!(check(&mut channel, "b", &padding(19_000)).await, Ok(200));
    assert_eq!(check(&mut channel, "c", &padding(21_000)).await, Ok(431));
    let mut fresh = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut fresh, "d", &padding(21_000)).await, Ok(431));
    let mut fresh = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut fresh, "e", &padding(200_000)).await, Ok(431));
}

/// A head that arrives byte by byte held its connection for the idle limit, and a connection
/// kept the limit of its start. The request is not run, which 408 tells the caller.
#[tokio::test]
async fn slow_head_ends_at_the_limit_in_force() {
    let fleet = Fleet::start(5).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    apply(&fleet, gateway, 2, &json!({"header_timeout_ms": 9_000})).await;
    let mut channel = Channel::open(gateway).await.unwrap();
    assert_eq!(check(&mut channel, "a", "").await, Ok(200));
    apply(&fleet, gateway, 3, &json!({"header_timeout_ms": 500})).await;
    let begin = Instant::now();
    let bytes = head("GET", "/check/x", "b", &padding(10_000));
    for byte in bytes.as_bytes() {
        channel.send(&[*byte]).await.unwrap();
        match channel.answer(Duration::from_millis(50)).await {
            Err(Missing::Late) => {}
            Ok(answer) => {
                assert_eq!(answer.status, 408);
                break;
            }
            Err(e) => panic!("no refusal: {e:?}"),
        }
        assert!(begin.elapsed() < Duration::from_secs(8), "still open");
    }
    assert!(begin.elapsed() > Duration::from_millis(500));
}

/// The time limits of connections must not end a request in progress, or an answer that
/// arrives slowly.
#[tokio::test]
async fn running_request_outlasts_the_limits_of_its_connection() {
    let fleet = Fleet::start(6).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let slow = fleet.target(11, "slow", 0, Behavior::Respond("late")).await;
    let gateway = fleet.gateway(20);
    let mut spec = config(
        &fleet,
        2,
        &json!({"idle_timeout_ms": 200, "header_timeout_ms": 200}),
    );
    spec["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "slow", "max_connections": 9}));
    spec["routes"][1]["service"] = json!("slow");
    spec["routes"][1]["timeout_ms"] = json!(20_000);
    fleet.store.put("config", "main", spec.clone());
    call_until_ok(gateway, Method::POST, "/book/x").await;
    slow.set_behavior(Behavior::Hang);
    let mut channel = Channel::open(gateway).await.unwrap();
    let begin = Instant::now();
    let request = head("POST", "/book/x", "a", "");
    channel.send(request.as_bytes()).await.unwrap();
    let answer = channel.answer(TIMEOUT).await.unwrap();
    // The time limit of the caller is 10 s; the connection's are 0.2 s.
    assert_eq!(answer.status, 504);
    assert!(begin.elapsed() > Duration::from_secs(9));
}

/// A refusal before the body is read must reach the caller. The connection was closed with
/// unread bytes, which resets it, and callers that still wrote lost the refusal.
#[tokio::test]
async fn refusal_reaches_a_caller_that_still_writes_its_body() {
    let fleet = Fleet::start(7).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    for (path, status) in [("/gone/x", 404), ("/book/x", 413)] {
        let mut lost = 0;
        for i in 0..20 {
            let mut channel = Channel::open(gateway).await.unwrap();
            let length = format!("content-length: {}\r\n", 400 * 1024);
            let request = head("POST", path, &format!("{i}"), &length);
            let mut sent = channel.send(request.as_bytes()).await;
            for _ in 0..20 {
                if sent.is_ok() {
                    sent = channel.send(&vec![b'x'; 20 * 1024]).await;
                }
                time::sleep(Duration::from_millis(2)).await;
            }
            let answer = channel.answer(TIMEOUT).await;
            let is_whole = answer.is_ok_and(|a| a.status == status);
            lost += usize::from(sent.is_err() || !is_whole);
        }
        assert_eq!(lost, 0, "refusals lost on {path} of 20");
    }
}

/// Configuration `version` in which `change` moves a route, removes one, a key or a service.
fn disturbed(fleet: &Fleet, version: u64, change: u64) -> Value {
    let mut spec = config(fleet, version, &json!({}));
    let other = json!({"name": "other", "max_connections": 100});
    spec["services"].as_array_mut().unwrap().push(other);
    let tenants = json!([{"name": "rounds", "api_keys": ["key-1", "key-2"], "priority": 1}]);
    spec["tenants"] = tenants;
    match change % 5 {
        0 => spec["routes"][1]["service"] = json!("other"),
        1 => spec["routes"][2]["path_prefix"] = json!("/moved/"),
        2 => spec["tenants"][0]["api_keys"] = json!(["key-1"]),
        3 => {
            let services = spec["services"].as_array_mut().unwrap();
            services.retain(|s| s["name"] != "other");
        }
        _ => {}
    }
    spec
}

/// Requests whose body, slot or retry is waited for while their route, service or key changes
/// or goes must get a whole answer or a refusal, on a connection that stays open.
#[tokio::test]
async fn waiting_requests_are_answered_or_refused_beside_changes() {
    let fleet = Fleet::start(8).await;
    for (vm, service) in [(10, "desk"), (11, "other"), (12, "desk")] {
        fleet
            .target(vm, service, 0, Behavior::CrashOnPath("never"))
            .await;
    }
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for i in 0..24 {
        let stopped = stopped.clone();
        callers.spawn(async move {
            let (mut counts, mut failures) = ([0; 2], Vec::new());
            let mut channel = Channel::open(gateway).await.unwrap();
            for number in 0.. {
                let (method, path) = [("GET", "/check/x"), ("POST", "/book/x")][number % 2];
                let id = format!("beside-{i}-{number}");
                let request = head(method, path, &id, "content-length: 8\r\n");
                let key = format!("key-{}", number / 2 % 2 + 1);
                let request = request.replace("key-1", &key);
                let sent = channel.send(request.as_bytes()).await;
                time::sleep(Duration::from_millis(20)).await;
                let sent = sent.and(channel.send(b"the body").await);
                let answer = channel.answer(TIMEOUT).await;
                let is_closed = answer
                    .as_ref()
                    .is_ok_and(|a| a.head.contains("connection: close"));
                if is_closed {
                    channel = Channel::open(gateway).await.unwrap();
                }
                match answer.map(|a| a.status) {
                    Ok(200) => counts[0] += 1,
                    Ok(401 | 404 | 408 | 429 | 503) => counts[1] += 1,
                    other => {
                        failures.push((id, other, sent.is_ok()));
                        channel = Channel::open(gateway).await.unwrap();
                    }
                }
                if *stopped.borrow() {
                    break;
                }
            }
            (counts, failures)
        });
    }
    for change in 0..30 {
        let spec = disturbed(&fleet, change + 2, change);
        fleet.store.put("config", "main", spec);
        time::sleep(Duration::from_millis(130)).await;
    }
    stop.send_replace(true);
    let (counts, failures): (Vec<_>, Vec<_>) = callers.join_all().await.into_iter().unzip();
    let failures: Vec<_> = failures.into_iter().flatten().collect();
    let served: usize = counts.iter().map(|c| c[0]).sum();
    let refused: usize = counts.iter().map(|c| c[1]).sum();
    let failed = failures.len();
    assert_eq!(
        failed, 0,
        "{served} served, {refused} refused, {failures:?}"
    );
    assert!(served > 100, "{served} served, {refused} refused");
    assert!(refused > 10, "{served} served, {refused} refused");
}

/// Number of events of a paced answer.
const EVENTS: usize = 20;

/// Starts a target that answers paths with `slow` in [`EVENTS`] pieces, 150 ms apart, and others
/// at once. Returns the number of slow requests that it received.
async fn paced_target(address: SocketAddr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).await.unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = counted.clone();
            tokio::spawn(async move {
                // Gateways close connections as they like.
                let _ = answer_paced(stream, &count).await;
            });
        }
    });
    count
}

async fn answer_paced(mut stream: TcpStream, count: &AtomicUsize) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let text = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let header = |name: &str| {
            let mut lines = text.lines().filter_map(|l| l.split_once(": "));
            lines.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let length = header("content-length").map_or(0, |l| l.parse().unwrap());
        if bytes.len() < end + 4 + length {
            stream.read_buf(&mut bytes).await?;
            continue;
        }
        let id = header("x-corianderramp-request-id").unwrap_or_default();
        let is_slow = text.lines().next().is_some_and(|l| l.contains("slow"));
        bytes.drain(..end + 4 + length);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-corianderramp-request-id: {id}\r\n\
            x-corianderramp-server-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await?;
        count.fetch_add(usize::from(is_slow), Ordering::Relaxed);
        for i in 1..=EVENTS {
            let event = format!("id: {i}\ndata: token{i}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            if is_slow {
                time::sleep(Duration::from_millis(150)).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
    }
}

/// A target that leaves the registration or is registered anew, or whose service leaves the
/// configuration, goes on with its running requests; their answers must not be cut or begun
/// again, whether streams or not, safe or not.
#[tokio::test]
async fn answers_of_a_target_that_leaves_go_on_to_their_end() {
    let fleet = Fleet::start(9).await;
    let (desk, llm) = (fleet.net.address(10, 9000), fleet.net.address(11, 9000));
    let counts = [paced_target(desk).await, paced_target(llm).await];
    let register = |born: u64, state: &str| {
        for (vm, service, address) in [(10, "desk", desk), (11, "llm", llm)] {
            let mut spec = users::target_spec(service, address, u64::from(vm == 11));
            spec["born"] = json!(born);
            spec["state"] = json!(state);
            fleet.store.put("servers", &format!("i-{vm}"), spec);
        }
    };
    let apply_routes = |version: u64, is_full: bool| {
        let mut spec = config(&fleet, version, &json!({}));
        for route in spec["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(12_000);
            if !is_full {
                route["path_prefix"] =
                    json!(format!("/moved{}", route["path_prefix"].as_str().unwrap()));
                route["service"] = json!("weights");
            }
        }
        if !is_full {
            let services = spec["services"].as_array_mut().unwrap();
            services.retain(|s| s["name"] == "weights");
        }
        fleet.store.put("config", "main", spec);
    };
    let gateway = fleet.gateway(20);
    for (number, change) in ["removed", "draining", "registered anew", "service removed"]
        .iter()
        .enumerate()
    {
        register(1, "ready");
        apply_routes(number as u64 * 2 + 2, true);
        call_until_ok(gateway, Method::GET, "/check/x").await;
        call_until_ok(gateway, Method::POST, "/plan/x").await;
        let before: usize = counts.iter().map(|c| c.load(Ordering::Relaxed)).sum();
        let mut callers = JoinSet::new();
        for (method, path) in [
            ("GET", "/check/slow"),
            ("POST", "/book/slow"),
            ("POST", "/plan/slow"),
        ] {
            callers.spawn(async move {
                let mut channel = Channel::open(gateway).await.unwrap();
                let request = head(method, path, path, "");
                channel.send(request.as_bytes()).await.unwrap();
                channel
                    .answer(TIMEOUT)
                    .await
                    .map(|a| (a.status, a.body.len()))
            });
        }
        time::sleep(Duration::from_millis(500)).await;
        match *change {
            "removed" => {
                fleet.store.remove("servers", "i-10");
                fleet.store.remove("servers", "i-11");
            }
            "draining" => register(1, "draining"),
            "registered anew" => register(2, "ready"),
            _ => apply_routes(number as u64 * 2 + 3, false),
        }
        let length: usize = (1..=EVENTS)
            .map(|i| format!("id: {i}\ndata: token{i}\n\n").len())
            .sum();
        for answer in callers.join_all().await {
            assert_eq!(answer, Ok((200, length)), "{change}");
        }
        let after: usize = counts.iter().map(|c| c.load(Ordering::Relaxed)).sum();
        assert_eq!(after - before, 3, "{change}");
    }
}
