//! Changes of the configuration beside open connections and running requests: each request
//! that was read gets a whole answer or a refusal. The comment on each test states the failure
//! that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use standins::users::{self, Behavior};
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
