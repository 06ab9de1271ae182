//! Real gateway processes are stopped and started in turn under load, behind a balancer that asks
//! whether they are ready. `STOPS_SECONDS` and `STOPS_GATEWAYS` set how long and with how many.

#![allow(clippy::unwrap_used)]

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use corianderramp::node::settings::Role;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standins::harness::process::Process;
use standins::users::{self, Behavior, Target};
use tokio::time;

use kept_calls::{Answer, Caller, Kind, PLAIN};
use users_fleet::{CHUNKS, Fleet, call, call_until_ok, request};

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time from SIGTERM within which a process must exit.
const GRACE: Duration = Duration::from_secs(8);
/// Time from SIGTERM after which requests that are sent must have whole answers.
const SENT_LIMIT: Duration = Duration::from_secs(3);
/// Time after the last byte of a request by which a channel that is closed unread ends.
const SLACK: Duration = Duration::from_millis(200);
/// Time that callers allow for an answer.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time before a caller's deadline from which an answer may end without being whole.
const EARLY: Duration = Duration::from_millis(100);
/// Number of the first VM with a gateway.
const FIRST: u8 = 20;

/// What the balancer knows of the gateways, and when each process was told to stop.
struct Rotation {
    misses: Vec<u32>,
    stops: Vec<(usize, Instant)>,
}

impl Rotation {
    /// Gateways that get new connections.
    fn ready(&self) -> Vec<usize> {
        let all = 0..self.misses.len();
        let ready: Vec<usize> = { all.clone() }.filter(|i| self.misses[*i] < 2).collect();
        if ready.len() * 2 < self.misses.len() {
            return all.collect();
        }
        ready
    }

    /// Whether the answer of a request that ended so was lost around a planned stop.
    fn is_lost(&self, gateway: usize, answer: &Answer, was_received: bool) -> bool {
        let ended = answer.sent + answer.took;
        let is_near = |told: Instant| answer.sent <= told + GRACE && ended >= told;
        let mut stops = self.stops.iter().filter(|s| s.0 == gateway).map(|s| s.1);
        let Some(told) = stops.rfind(|told| is_near(*told)) else {
            return true;
        };
        let was_held = was_received || answer.took > SLACK;
        let is_excused = answer.sent <= told + SENT_LIMIT && ended >= told + GRACE * 5 / 6;
        was_held && !is_excused
    }
}

async fn balance(fleet: Arc<Fleet>, rotation: Arc<Mutex<Rotation>>, gateway: usize) {
    let vm = FIRST + u8::try_from(gateway).unwrap();
    let mut ticks = time::interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        let probe = call(
            fleet.net.address(vm, 8081),
            request(Method::GET, "/ready", "r"),
        );
        let probe = time::timeout(Duration::from_millis(900), probe).await;
        let is_ready = matches!(probe, Ok(Ok(r)) if r.status() == StatusCode::OK);
        let misses = &mut rotation.lock().misses[gateway];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }
}

/// Sends requests until `stop`, on connections that are kept until the gateway closes them; some
/// are opened a while before their first request.
async fn send_requests(
    fleet: Arc<Fleet>,
    rotation: Arc<Mutex<Rotation>>,
    stop: Arc<AtomicBool>,
    seed: u64,
) -> Vec<(usize, Answer)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let ready = rotation.lock().ready();
        let gateway = ready[rng.random_range(0..ready.len())];
        let vm = FIRST + u8::try_from(gateway).unwrap();
        let mut caller = Caller::new(fleet.net.address(vm, 8080));
        if rng.random_bool(0.3) {
            caller.connect().await;
            time::sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
        }
        for _ in 0..rng.random_range(1..12) {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let kinds = [Kind::Stream, Kind::Stream, Kind::Safe, Kind::Unsafe];
            let kind = kinds[rng.random_range(0..kinds.len())];
            let answer = caller.send(kind, DEADLINE).await;
            let is_whole = answer.is_whole;
            answers.push((gateway, answer));
            if !is_whole {
                break;
            }
            time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        }
    }
    answers
}

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Starts three engines with hosts, whose streams last from two to five seconds, and a target of the
/// plain service.
async fn start_targets(fleet: &Fleet) -> Vec<Target> {
    let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    config["services"][0]["engine"]["slots"] = json!(200);
    for route in 0..3 {
        config["routes"][route]["timeout_ms"] = json!(6_000);
    }
    fleet.store.put("config", "main", config);
    let pauses = [200, 440, 480].map(Duration::from_millis);
    let mut targets = Vec::new();
    for (vm, pause) in (10..).zip(pauses) {
        let behavior = Behavior::PacedStream(pause);
        targets.push(fleet.target(vm, "llm", 1, behavior).await);
        fleet.host(vm);
    }
    let behavior = Behavior::Respond(PLAIN);
    targets.push(fleet.target(16, "desk", 0, behavior).await);
    targets
}

/// Stops the gateways in turn for `length`, at most a third of them at the same time, and starts
/// each again that has ended.
async fn stop_in_turn(
    vms: &[u8],
    length: Duration,
    rotation: &Mutex<Rotation>,
    start: impl Fn(u8) -> Process,
    processes: &mut [Process],
) {
    let begin = Instant::now();
    let mut stopping: Vec<(usize, Instant)> = Vec::new();
    let mut next = 0;
    while begin.elapsed() < length || !stopping.is_empty() {
        time::sleep(Duration::from_millis(100)).await;
        if begin.elapsed() < length && stopping.len() < vms.len().div_ceil(3) {
            let now = Instant::now();
            rotation.lock().stops.push((next, now));
            processes[next].terminate();
            stopping.push((next, now));
            next = (next + 1) % vms.len();
        }
        for (index, told) in std::mem::take(&mut stopping) {
            let ended = processes[index].ended(Duration::from_millis(1)).await;
            if ended.is_none() && told.elapsed() < GRACE {
                stopping.push((index, told));
                continue;
            }
            processes[index] = start(vms[index]);
        }
    }
}

/// Describes the requests that were lost.
fn find_lost(
    answers: &[(usize, Answer)],
    rotation: &Rotation,
    received: &HashSet<String>,
) -> Vec<String> {
    let mut lost = Vec::new();
    for (gateway, answer) in answers {
        let is_unanswered = answer.status.is_none_or(|s| s == StatusCode::OK);
        let is_over = answer.took + EARLY >= DEADLINE;
        if !answer.was_sent || answer.is_whole || !is_unanswered || is_over {
            continue;
        }
        let was_received = received.contains(&answer.id);
        if rotation.is_lost(*gateway, answer, was_received) {
            let stops = rotation.stops.iter().filter(|s| s.0 == *gateway);
            let after = stops.map(|s| answer.sent.saturating_duration_since(s.1));
            let after: Vec<_> = after.collect();
            lost.push(format!(
                "{answer:?}, received {was_received}, after {after:?}"
            ));
        }
    }
    lost
}

/// Streams of seconds that began late in a planned stop were cut when the process ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_stops_lose_no_request() {
    let seconds = Duration::from_secs(number("STOPS_SECONDS", 6));
    let count = usize::try_from(number("STOPS_GATEWAYS", 3)).unwrap();
    let fleet = Arc::new(Fleet::start(0).await);
    let targets = start_targets(&fleet).await;
    let folder = tempfile::tempdir().unwrap();
    let vms: Vec<u8> = (FIRST..).take(count).collect();
    let start = |vm: u8| fleet.process(Role::Gateway, vm, folder.path());
    let mut processes: Vec<_> = vms.iter().map(|vm| start(*vm)).collect();
    for vm in &vms {
        call_until_ok(fleet.net.address(*vm, 8080), Method::GET, "/check/x").await;
    }
    let rotation = Arc::new(Mutex::new(Rotation {
        misses: vec![0; count],
        stops: Vec::new(),
    }));
    let stop = Arc::new(AtomicBool::new(false));
    let balancers = (0..count).map(|i| tokio::spawn(balance(fleet.clone(), rotation.clone(), i)));
    let balancers: Vec<_> = balancers.collect();
    let callers = (0..20 * count as u64).map(|seed| {
        let sending = send_requests(fleet.clone(), rotation.clone(), stop.clone(), seed);
        tokio::spawn(sending)
    });
    let callers: Vec<_> = callers.collect();
    stop_in_turn(&vms, seconds, &rotation, start, &mut processes).await;
    stop.store(true, Ordering::Relaxed);
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.unwrap());
    }
    balancers.iter().for_each(tokio::task::JoinHandle::abort);
    let received = targets.iter().flat_map(Target::received);
    let ids = received.filter_map(|r| r.headers.get("x-corianderramp-request-id").cloned());
    let received: HashSet<String> = ids.map(|i| i.to_str().unwrap().to_owned()).collect();
    let rotation = rotation.lock();
    let whole = answers.iter().filter(|(_, a)| a.is_whole).count();
    eprintln!(
        "{} requests, {whole} whole, {} stops",
        answers.len(),
        rotation.stops.len()
    );
    let lost = find_lost(&answers, &rotation, &received);
    assert!(lost.is_empty(), "{} lost: {lost:#?}", lost.len());
    assert!(
        whole * 10 > answers.len() * 8,
        "{whole} of {} whole",
        answers.len()
    );
}
