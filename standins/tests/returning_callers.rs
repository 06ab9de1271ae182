//! Callers that return after a refusal wait at the gateway until a target has room; all others are
//! refused at once.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use rustix::process::{Signal, getpid, kill_process};
use serde_json::json;
use standins::users::{self, Behavior};
use tokio::sync::RwLock;
use tokio::task::JoinHandle;
use tokio::time::{self, Duration};
use users_fleet::{CHUNKS, Fleet, call, call_until_ok, request, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// A signal reaches all gateways of the process, so the test that sends one runs alone.
static SIGNAL: RwLock<()> = RwLock::const_new(());
/// Time limit of first attempts, milliseconds.
const FIRST_MS: u64 = 2_900;
/// Time limit of second attempts, milliseconds.
const SECOND_MS: u64 = 2_600;
/// Requests that a gateway sends at a time to an engine without a host.
const UNREPORTED_PLACES: usize = 2;
/// Number of callers of one account that may wait at a gateway.
const MAX_WAITING_PER_ACCOUNT: u64 = 48;

fn limited(path: &str, id: &str, limit: u64) -> Request<Full<Bytes>> {
    let mut request = request(Method::POST, path, id);
    let value = HeaderValue::from(limit);
    request
        .headers_mut()
        .insert("x-corianderramp-deadline-ms", value);
    request
}

type Call = JoinHandle<Option<Response<Bytes>>>;

fn start(gateway: SocketAddr, path: &str, id: &str, limit: u64) -> Call {
    let request = limited(path, id, limit);
    tokio::spawn(async move { call(gateway, request).await.ok() })
}

async fn status(call: Call) -> StatusCode {
    call.await.unwrap().unwrap().status()
}

/// Starts a gateway that knows one plain target and no engine, and has refused a first attempt.
async fn start_gateway(fleet: &Fleet) -> SocketAddr {
    fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let first = start(gateway, "/plan/x", "first", FIRST_MS);
    assert_eq!(status(first).await, StatusCode::SERVICE_UNAVAILABLE);
    gateway
}

/// A returning caller was refused a second and last time although an engine opened within its
/// time, or a new caller waited for nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_caller_is_served_when_an_engine_opens() {
    let _shared = SIGNAL.read().await;
    let fleet = Fleet::start(0).await;
    let gateway = start_gateway(&fleet).await;
    let returning = start(gateway, "/plan/x", "second", SECOND_MS);
    time::sleep(Duration::from_millis(100)).await;
    let new = start(gateway, "/plan/y", "new", FIRST_MS);
    assert_eq!(status(new).await, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!returning.is_finished());
    let engine = fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    assert_eq!(status(returning).await, StatusCode::OK);
    assert_eq!(engine.received().len(), 1);
}

/// A returning caller was refused although a place at a full engine became free within its time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_caller_gets_the_next_free_place() {
    let _shared = SIGNAL.read().await;
    let fleet = Fleet::start(4).await;
    let gateway = start_gateway(&fleet).await;
    let behavior = Behavior::PacedStream(Duration::from_millis(90));
    let engine = fleet.target(11, "llm", 1, behavior).await;
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    let before = engine.received().len();
    let start = |id: &str, limit| start(gateway, "/plan/x", id, limit);
    let running = (0..UNREPORTED_PLACES).map(|i| start(&format!("running {i}"), FIRST_MS));
    let running: Vec<Call> = running.collect();
    let all = before + UNREPORTED_PLACES;
    wait_until("all places are taken", || engine.received().len() == all).await;
    let returning = start("second", SECOND_MS);
    let new = start("new", FIRST_MS);
    assert_eq!(status(new).await, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!returning.is_finished());
    assert_eq!(status(returning).await, StatusCode::OK);
    for call in running {
        assert_eq!(status(call).await, StatusCode::OK);
    }
}

/// A returning caller was refused although the host of an engine stated within its time that the
/// engine serves again. The store knows nothing of that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_caller_is_served_when_a_host_states_that_its_engine_is_open() {
    let _shared = SIGNAL.read().await;
    let fleet = Fleet::start(5).await;
    let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    config["routes"][0]["timeout_ms"] = json!(8_000);
    fleet.store.put("config", "main", config);
    fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    let closed = users::target_spec("llm", fleet.net.address(11, 9000), 0);
    fleet.store.put("servers", "i-11", closed);
    let gateway = start_gateway(&fleet).await;
    let first = start(gateway, "/plan/x", "first with more time", 7_900);
    assert_eq!(status(first).await, StatusCode::SERVICE_UNAVAILABLE);
    let returning = start(gateway, "/plan/x", "second", 6_000);
    fleet.host(11);
    assert_eq!(status(returning).await, StatusCode::OK);
}

/// The request of a caller whose wait had ended was sent, or the caller heard of its refusal only
/// at its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_caller_is_refused_after_half_of_its_time() {
    let _shared = SIGNAL.read().await;
    let fleet = Fleet::start(1).await;
    let gateway = start_gateway(&fleet).await;
    let begin = time::Instant::now();
    let returning = start(gateway, "/plan/x", "second", SECOND_MS);
    assert_eq!(status(returning).await, StatusCode::SERVICE_UNAVAILABLE);
    assert!(begin.elapsed() >= Duration::from_millis(1_100));
    let engine = fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    time::sleep(Duration::from_millis(500)).await;
    assert!(engine.received().is_empty());
}

/// Callers that had closed their connections kept others from waiting.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_leaves_frees_its_place() {
    let _shared = SIGNAL.read().await;
    let fleet = Fleet::start(2).await;
    let gateway = start_gateway(&fleet).await;
    let start_all = async || {
        // What callers send at first must stay known.
        for i in 0..20 {
            let first = start(gateway, "/plan/x", &format!("first {i}"), FIRST_MS);
            assert_eq!(status(first).await, StatusCode::SERVICE_UNAVAILABLE);
        }
        let limits = SECOND_MS..=SECOND_MS + MAX_WAITING_PER_ACCOUNT;
        let calls = limits.map(|ms| start(gateway, "/plan/x", &format!("second {ms}"), ms));
        calls.collect::<Vec<Call>>()
    };
    let finished = |calls: &[Call]| calls.iter().filter(|c| c.is_finished()).count();
    let calls = start_all().await;
    wait_until("one caller finds no room", || finished(&calls) > 0).await;
    assert_eq!(finished(&calls), 1);
    calls.iter().for_each(JoinHandle::abort);
    time::sleep(Duration::from_millis(200)).await;
    let mut calls = start_all().await;
    wait_until("one caller finds no room", || finished(&calls) > 0).await;
    assert_eq!(finished(&calls), 1);
    calls.retain(|c| !c.is_finished());
    fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    let served = calls.into_iter().map(status);
    let served = futures_util::future::join_all(served).await;
    // The engine has no host, so the gateway sends it two requests at a time.
    let served = served.iter().filter(|s| **s == StatusCode::OK).count();
    assert!(served >= 2, "{served} of {MAX_WAITING_PER_ACCOUNT} served");
}

/// Callers of a gateway that stops waited until their connections broke at its exit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_gateway_lets_nobody_wait_beyond_its_time() {
    let _alone = SIGNAL.write().await;
    let mut fleet = Fleet::start(3).await;
    fleet.bounds.stop_ms = 2_000;
    let gateway = start_gateway(&fleet).await;
    kill_process(getpid(), Signal::TERM).unwrap();
    time::sleep(Duration::from_millis(200)).await;
    let begin = time::Instant::now();
    let returning = start(gateway, "/plan/x", "second", SECOND_MS);
    let response = returning.await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "0.00");
    // It waited, and was told before the process ended.
    assert!(begin.elapsed() >= Duration::from_millis(200));
    assert!(begin.elapsed() < Duration::from_millis(1_300));
}
