//! Planned stop of a gateway under load: each request that it read gets a whole answer or a
//! refusal. The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use corianderramp::clock;
use corianderramp::gateway;
use corianderramp::node::settings::Role;
use corianderramp::node::stop::Signals;
use http::Method;
use rustix::process::{Signal, getpid, kill_process};
use serde_json::json;
use standins::users::{self, Behavior, Target};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use raw_caller::{Channel, Missing, head};
use users_fleet::{CHUNKS, Fleet, TIMEOUT, call_until_ok};

#[path = "support/raw_caller.rs"]
mod raw_caller;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// SIGTERM reaches all gateways of the process, so the tests run one after the other.
static SIGNAL: Mutex<()> = Mutex::const_new(());
/// Time from SIGTERM until the gateway accepts no new connections.
const ACCEPT_GRACE: Duration = Duration::from_secs(3);
/// Length of a large answer, bytes; more than the kernel takes at once.
const LARGE: usize = 8 << 20;

/// Starts a gateway with a runtime of its own, which ends with it, as its process would.
async fn start_process(fleet: &Fleet) -> SocketAddr {
    let settings = fleet.settings(Role::Gateway, 20);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build().unwrap();
        let run = async {
            let signals = Signals::install(std::path::PathBuf::new()).unwrap();
            gateway::run(settings, signals, clock::System).await
        };
        runtime.block_on(run).unwrap();
    });
    let gateway = fleet.net.address(20, 8080);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    gateway
}

/// Sends SIGTERM; returns a time before the gateway gets it.
fn terminate() -> Instant {
    let now = Instant::now();
    kill_process(getpid(), Signal::TERM).unwrap();
    now
}

/// Requests of one kind of caller without a complete answer.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    /// Refused with a promise that the request was not run.
    refused: usize,
    /// Unanswered, but the target received the request.
    lost: Vec<(String, Missing)>,
    /// Unanswered, and the target did not receive the request.
    unread: Vec<(String, Missing)>,
}

impl Outcomes {
    fn new(results: Vec<(String, Result<u16, Missing>)>, target: &Target) -> Self {
        let received = target.received();
        let has_run = |id: &str| {
            let ids = received
                .iter()
                .filter_map(|r| r.headers.get("x-corianderramp-request-id"));
            { ids }.any(|i| i == id)
        };
        let mut outcomes = Self::default();
        for (id, result) in results {
            match result {
                Ok(200) => outcomes.answered += 1,
                Ok(_) => outcomes.refused += 1,
                Err(e) if e != Missing::Closed || has_run(&id) => outcomes.lost.push((id, e)),
                Err(e) => outcomes.unread.push((id, e)),
            }
        }
        outcomes
    }
}

/// Callers that read a large answer slowly lost its rest: the gateway ended once the answer
/// was handed to the connection, with most of it not sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_readers_get_whole_answers() {
    let _signal = SIGNAL.lock().await;
    let fleet = Fleet::start(0).await;
    let large: &'static str = "x".repeat(LARGE).leak();
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = start_process(&fleet).await;
    desk.set_behavior(Behavior::Respond(large));
    let mut callers = JoinSet::new();
    for i in 0..12 {
        callers.spawn(async move {
            let id = format!("slow-{i}");
            let mut channel = Channel::open_narrow(gateway).await.unwrap();
            let method = if i % 2 == 0 { "GET" } else { "POST" };
            let path = if i % 2 == 0 { "/check/x" } else { "/book/x" };
            let request = head(method, path, &id, "");
            channel.send(request.as_bytes()).await.unwrap();
            let pause = Duration::from_millis(50);
            let answer = channel.paced_answer(TIMEOUT, pause, LARGE / 150).await;
            let is_whole = |body: &Vec<u8>| body.len() == LARGE;
            let answer = answer.map(|a| if is_whole(&a.body) { a.status } else { 0 });
            (id, answer)
        });
    }
    time::sleep(Duration::from_millis(300)).await;
    terminate();
    let outcomes = Outcomes::new(callers.join_all().await, &desk);
    assert_eq!(outcomes.answered, 12, "{outcomes:?}");
}

/// Callers that use their connections until they are told to close them lost requests that
/// crossed the close, and those whose head was not complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_connections_are_closed_between_requests() {
    let _signal = SIGNAL.lock().await;
    let fleet = Fleet::start(1).await;
    let desk = fleet
        .target(10, "desk", 0, Behavior::CrashOnPath("never"))
        .await;
    let gateway = start_process(&fleet).await;
    let mut callers = JoinSet::new();
    for i in 0..40_u64 {
        callers.spawn(async move {
            let mut results = Vec::new();
            let mut half_sent = None;
            let mut channel = Channel::open(gateway).await.unwrap();
            let begin = Instant::now();
            for number in 0.. {
                let id = format!("kept-{i}-{number}");
                let bytes = head("POST", "/book/x", &id, "");
                // The first request is short; the second arrives in two halves around the
                // close, at a different time for each caller.
                let middle = bytes.len() / 2;
                if number == 1 {
                    let at = begin + Duration::from_millis(3_300 + i * 8);
                    time::sleep_until(at).await;
                    if channel.send(&bytes.as_bytes()[..middle]).await.is_err() {
                        break;
                    }
                    half_sent = Some((id.clone(), Instant::now()));
                    time::sleep(Duration::from_millis(150)).await;
                    let sent = channel.send(&bytes.as_bytes()[middle..]).await;
                    if sent.is_err() {
                        results.push((id, Err(Missing::Closed)));
                        break;
                    }
                } else if channel.send(bytes.as_bytes()).await.is_err() {
                    break;
                }
                let answer = channel.answer(TIMEOUT).await;
                let is_last = !answer
                    .as_ref()
                    .is_ok_and(|a| !a.head.contains("connection: close"));
                results.push((id, answer.map(|a| a.status)));
                if is_last {
                    break;
                }
            }
            (results, half_sent)
        });
    }
    time::sleep(Duration::from_millis(500)).await;
    let closing = terminate() + ACCEPT_GRACE;
    let (results, halves): (Vec<_>, Vec<_>) = callers.join_all().await.into_iter().unzip();
    let results = results.into_iter().flatten().collect();
    let outcomes = Outcomes::new(results, &desk);
    assert!(outcomes.lost.is_empty(), "{outcomes:?}");
    let unread = |id: &str| outcomes.unread.iter().any(|(unread, _)| unread == id);
    let early = halves.iter().flatten().filter(|(_, sent)| *sent < closing);
    let begun: Vec<_> = early.filter(|(id, _)| unread(id)).collect();
    assert!(begun.is_empty(), "heads not read to their end: {begun:?}");
    assert!(outcomes.answered >= 40, "{outcomes:?}");
}

/// New connections arrive until the listener is closed. Those that waited in its backlog, and
/// accepted ones whose request was on its way, were closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_connections_are_served() {
    let _signal = SIGNAL.lock().await;
    let fleet = Fleet::start(2).await;
    let desk = fleet
        .target(10, "desk", 0, Behavior::CrashOnPath("never"))
        .await;
    let gateway = start_process(&fleet).await;
    let stopped = terminate();
    let mut callers = JoinSet::new();
    for i in 0..200_u64 {
        callers.spawn(async move {
            let at =
                stopped + ACCEPT_GRACE + Duration::from_millis(i * 2) - Duration::from_millis(300);
            time::sleep_until(at).await;
            let id = format!("new-{i}");
            let Ok(mut channel) = Channel::open(gateway).await else {
                return None;
            };
            time::sleep(Duration::from_millis(i % 5 * 20)).await;
            let bytes = head("POST", "/book/x", &id, "");
            let answer = match channel.send(bytes.as_bytes()).await {
                Ok(()) => channel.answer(TIMEOUT).await.map(|a| a.status),
                Err(_) => Err(Missing::Closed),
            };
            Some((id, answer))
        });
    }
    let results: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    let opened = results.len();
    let outcomes = Outcomes::new(results, &desk);
    assert!(outcomes.lost.is_empty(), "{outcomes:?}");
    assert!(opened > 100, "the listener closed too early");
    // One connection may arrive while the listener is closed; its request is not read.
    assert!(outcomes.unread.len() <= 1, "{outcomes:?}");
}

/// Callers that sent their first request seconds after they had connected got part of a stream,
/// which ended with the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_first_requests_are_refused_or_answered_whole() {
    let _signal = SIGNAL.lock().await;
    let fleet = Fleet::start(4).await;
    let desk = fleet
        .target(10, "desk", 0, Behavior::CrashOnPath("never"))
        .await;
    let engine = fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(11);
    let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    config["routes"][0]["timeout_ms"] = json!(6_000);
    fleet.store.put("config", "main", config);
    let gateway = start_process(&fleet).await;
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    engine.set_behavior(Behavior::LateStream(Duration::from_millis(4_800)));
    let stopped = terminate();
    let mut callers = JoinSet::new();
    for i in 0..40_u64 {
        let path = if i % 4 == 0 { "/book/x" } else { "/plan/x" };
        callers.spawn(async move {
            time::sleep_until(stopped + Duration::from_millis(1_500)).await;
            let id = format!("late-{i}");
            let mut channel = Channel::open(gateway).await.unwrap();
            let at = stopped + ACCEPT_GRACE + Duration::from_millis(i * 30);
            time::sleep_until(at).await;
            let limit = "x-corianderramp-deadline-ms: 6000\r\n";
            let bytes = head("POST", path, &id, limit);
            let answer = match channel.send(bytes.as_bytes()).await {
                Ok(()) => channel.answer(TIMEOUT).await.map(|a| a.status),
                Err(_) => Err(Missing::Closed),
            };
            (id, answer)
        });
    }
    let (streams, plain): (Vec<_>, Vec<_>) =
        { callers.join_all().await }
            .into_iter()
            .partition(|(id, _)| {
                !id["late-".len()..]
                    .parse::<u64>()
                    .unwrap()
                    .is_multiple_of(4)
            });
    let streams = Outcomes::new(streams, &engine);
    assert!(streams.lost.is_empty(), "{streams:?}");
    assert!(streams.unread.is_empty(), "{streams:?}");
    assert!(streams.refused > 0, "{streams:?}");
    let plain = Outcomes::new(plain, &desk);
    assert!(plain.lost.is_empty(), "{plain:?}");
    assert_eq!(plain.answered, 10, "what ends in time is served: {plain:?}");
}

/// SIGHUP only checks the settings file; no request may be delayed or lost by it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_signals_beside_requests_lose_none() {
    let _signal = SIGNAL.lock().await;
    let fleet = Fleet::start(3).await;
    let behavior = Behavior::CrashOnPath("never");
    let desk = fleet.target(10, "desk", 0, behavior).await;
    let gateway = start_process(&fleet).await;
    let mut callers = JoinSet::new();
    for i in 0..10 {
        callers.spawn(async move {
            let mut results = Vec::new();
            let mut channel = Channel::open(gateway).await.unwrap();
            for number in 0..30 {
                let id = format!("reload-{i}-{number}");
                let request = head("POST", "/book/x", &id, "");
                channel.send(request.as_bytes()).await.unwrap();
                let answer = channel.answer(TIMEOUT).await;
                results.push((id, answer.map(|a| a.status)));
            }
            results
        });
    }
    let signals = tokio::spawn(async {
        loop {
            kill_process(getpid(), Signal::HUP).unwrap();
            time::sleep(Duration::from_millis(20)).await;
        }
    });
    let results: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    signals.abort();
    let outcomes = Outcomes::new(results, &desk);
    assert_eq!(outcomes.answered + outcomes.refused, 300, "{outcomes:?}");
}
