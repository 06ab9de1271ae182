//! Switches of engines under requests: at no point may a caller receive an
//! answer from partial or mixed weights.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderramp::resource::rollout;
use corianderramp::shared_state::ModelVersion;
use corianderramp::{protocol, settings};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use standins::content::Content;
use standins::engine::{self, answer};
use standins::fleet::{Agent, Fleet, SERVICE, Settings};
use standins::harness::{REQUESTS_PORT, Subnet};
use tokio::task::JoinSet;
use tokio::time;

/// Limit of waits: above the 30 s for which a restarted agent may hold back an
/// engine that might be loading.
const LIMIT: Duration = Duration::from_secs(120);
const CHUNK: u32 = 16 * 1024;

fn content(version: &str, seed: u64) -> Content {
    Content {
        model: "shake-8b".into(),
        version: version.into(),
        base: None,
        size: 8 * u64::from(CHUNK),
        chunk_size: CHUNK,
        seed,
        parent: None,
        changed_every: 1,
    }
}

fn settings(index: u8, agents: u8, load_ms: u64, contents: &[Content]) -> Settings {
    Settings {
        subnet: Subnet::new(index),
        data_centers: vec![agents],
        content: contents.to_vec(),
        weights: settings::Weights {
            stall_ms: 500,
            ..settings::Weights::default()
        },
        engine: engine::Settings {
            load_ms,
            token_us: 500,
            ..engine::Settings::default()
        },
        links: None,
    }
}

/// Requests to an agent one after the other, each checked.
#[derive(Debug, Default)]
struct Tally {
    good: AtomicU64,
    faults: Mutex<Vec<String>>,
    stop: AtomicBool,
}

type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

async fn ask(client: &Client, agent: &str, version: &str, prompt: &str) -> Option<String> {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 12 }).to_string();
    let request = Request::post(format!("http://{agent}/v1/completions"))
        .header(protocol::VERSION, version)
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let answer = client.request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    let json: serde_json::Value = serde_json::from_slice(&body).ok()?;
    Some(json["choices"][0]["text"].as_str()?.to_owned())
}

/// Asks for each of `versions` in turn, since the caller of an agent names one.
async fn load(tally: Arc<Tally>, agent: String, versions: Vec<(String, u64)>) {
    let client: Client = legacy::Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    for number in 0_usize.. {
        if tally.stop.load(Ordering::Relaxed) {
            return;
        }
        let (version, weights) = &versions[number % versions.len()];
        let prompt = format!("shortfall {agent} {number}");
        let asked = time::timeout(LIMIT, ask(&client, &agent, version, &prompt));
        let Ok(Some(text)) = asked.await else {
            time::sleep(Duration::from_millis(2)).await;
            continue;
        };
        match answer::check(&prompt, &text) {
            Ok(checked) if checked.version == *version && checked.weights == *weights => {
                tally.good.fetch_add(1, Ordering::Relaxed);
            }
            other => tally.faults.lock().push(format!("{version}: {other:?}")),
        }
    }
}

/// Starts three callers for each agent.
fn callers(fleet: &Fleet, contents: &[Content]) -> (Arc<Tally>, JoinSet<()>) {
    let tally = Arc::new(Tally::default());
    let versions: Vec<(String, u64)> = contents
        .iter()
        .map(|c| {
            let chunks = c.manifest().spec.chunks;
            let weights = answer::weights(&c.model, &c.version, &chunks);
            (format!("{}@{}", c.model, c.version), weights)
        })
        .collect();
    let mut tasks = JoinSet::new();
    for agent in &fleet.agents {
        for _ in 0..3 {
            let address = agent.place.address(REQUESTS_PORT).to_string();
            tasks.spawn(load(tally.clone(), address, versions.clone()));
        }
    }
    (tally, tasks)
}

async fn finish(tally: &Tally, mut tasks: JoinSet<()>) {
    tally.stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    assert_eq!(*tally.faults.lock(), Vec::<String>::new());
    assert!(
        tally.good.load(Ordering::Relaxed) > 0,
        "no request succeeded"
    );
}

async fn wait_live(fleet: &Fleet, generation: u64) {
    let live = fleet.wait_all("live", LIMIT, |a| a.is_live(generation));
    live.await.unwrap();
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < LIMIT, "{what}");
        time::sleep(Duration::from_millis(1)).await;
    }
}

async fn start(settings: &Settings, contents: &[Content]) -> (Fleet, u64) {
    let mut fleet = Fleet::start(settings).await.unwrap();
    fleet.coordinate(1).await.unwrap();
    let first = fleet.declare(&contents[0].manifest());
    wait_live(&fleet, first).await;
    (fleet, first)
}

/// Guards against a load that overlaps with requests, and against more targets
/// out of service at the same time than the permits allow.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_under_requests_mixes_nothing() {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&settings(0, 3, 150, &contents), &contents).await;
    let (tally, tasks) = callers(&fleet, &contents);
    let second = fleet.declare(&contents[1].manifest());
    let begin = Instant::now();
    while !fleet.agents.iter().all(|a| a.is_live(second)) {
        assert!(begin.elapsed() < LIMIT);
        let out = fleet.agents.iter().filter(|a| a.serving().is_none());
        assert!(out.count() <= 1, "more than one target out of service");
        time::sleep(Duration::from_millis(1)).await;
    }
    finish(&tally, tasks).await;
}

/// Points at which an agent may die during a switch.
#[derive(Clone, Copy, Debug)]
enum Point {
    Verified,
    Withdrawn,
    Loading,
    Loaded,
}

fn is_at(point: Point, fleet: &Fleet, second: u64) -> bool {
    let agent = &fleet.agents[0];
    let loaded = agent.engine.life().loaded();
    match point {
        Point::Verified => agent.is_verified(second),
        Point::Withdrawn => agent.serving().is_none(),
        Point::Loading => loaded.fence == second && loaded.version == "v1",
        Point::Loaded => loaded.version == "v2",
    }
}

/// Kills the agent at `point` and starts it again while requests go on.
async fn kill_at(index: u8, point: Point) {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&settings(index, 1, 1_000, &contents), &contents).await;
    let (tally, tasks) = callers(&fleet, &contents);
    // The permit is held back, so that the agent can be caught before the switch.
    fleet.coordinator.as_ref().unwrap().set_limit(0);
    let second = fleet.declare(&contents[1].manifest());
    wait_for("verified", || fleet.agents[0].is_verified(second)).await;
    if !matches!(point, Point::Verified) {
        fleet.coordinator.as_ref().unwrap().set_limit(1);
    }
    wait_for("the point", || is_at(point, &fleet, second)).await;
    fleet.kill(0);
    fleet.coordinator.as_ref().unwrap().set_limit(1);
    fleet.revive(0).await.unwrap();
    wait_live(&fleet, second).await;
    finish(&tally, tasks).await;
}

/// Guards against a restarted agent that trusts an engine whose load may be in
/// progress.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_before_the_switch_recovers() {
    kill_at(1, Point::Verified).await;
}

/// Guards against the same between the end of admission and the order.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_after_withdrawal_recovers() {
    kill_at(2, Point::Withdrawn).await;
}

/// Guards against the same while the engine loads.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_during_the_load_recovers() {
    kill_at(3, Point::Loading).await;
}

/// Guards against the same between the end of the load and admission.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_after_the_load_recovers() {
    kill_at(4, Point::Loaded).await;
}

/// Guards against a target that stays out of service after its engine crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_engine_is_loaded_again_without_a_permit() {
    let contents = [content("v1", 1)];
    let (fleet, first) = start(&settings(5, 2, 50, &contents), &contents).await;
    fleet.coordinator.as_ref().unwrap().set_limit(0);
    fleet.agents[0].engine.crash();
    wait_for("withdrawal", || !fleet.agents[0].is_live(first)).await;
    wait_live(&fleet, first).await;
    assert_eq!(fleet.agents[0].engine.life().loaded().fence, first);
}

async fn order(agent: &Agent, version: &str, fence: u64) {
    let life = agent.engine.life();
    let chunks = content("v1", 1).manifest().spec.chunks;
    life.load("shake-8b", version, fence, &chunks).await;
}

/// Guards against serving what someone else loaded into an engine that does
/// not check fencing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_behind_the_agents_back_is_undone() {
    let contents = [content("v1", 1), content("v2", 2)];
    let mut settings = settings(6, 1, 50, &contents);
    settings.engine.ignore_fence = true;
    let (mut fleet, first) = start(&settings, &contents).await;
    let second = fleet.declare(&contents[1].manifest());
    wait_live(&fleet, second).await;
    order(&fleet.agents[0], "v1", first).await;
    let serves_old = |a: &Agent| a.serving().is_some_and(|s| s.version == "v1");
    let engine_back = |a: &Agent| a.engine.life().loaded().version == "v2";
    let begin = Instant::now();
    while !(engine_back(&fleet.agents[0]) && fleet.agents[0].is_live(second)) {
        assert!(!serves_old(&fleet.agents[0]), "served an older generation");
        assert!(begin.elapsed() < LIMIT);
        time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(fleet.agents[0].engine.life().loaded().fence, second);
}

/// Guards against an older rollout that comes back when the newest is deleted.
#[tokio::test(flavor = "multi_thread")]
async fn deleting_the_newest_rollout_does_not_go_back() {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&settings(7, 1, 20, &contents), &contents).await;
    let old = fleet.view.rollouts[0].clone();
    let second = fleet.declare(&contents[1].manifest());
    wait_live(&fleet, second).await;
    fleet.view.complete += 1;
    fleet.view.rollouts = vec![old];
    fleet.push();
    let begin = Instant::now();
    // Ten looks at the engine.
    while begin.elapsed() < Duration::from_secs(2) {
        assert!(fleet.agents[0].is_live(second));
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.agents[0].engine.life().loaded().version, "v2");
}

/// Guards against loading a version into a target that joins although the
/// rollout says that joining targets wait for the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_joins_a_held_rollout_waits_for_the_next() {
    let contents = [content("v1", 1), content("v2", 2)];
    let mut fleet = Fleet::start(&settings(8, 2, 20, &contents)).await.unwrap();
    let rollout = |version: &str| rollout::Rollout {
        service: SERVICE.into(),
        model: "shake-8b".into(),
        version: version.into(),
        strategy: rollout::Strategy::Time,
        max_unavailable: 1,
        join: rollout::Join::Hold,
    };
    for content in &contents {
        fleet.add_model(&content.manifest());
    }
    // Both agents are there before the first rollout, then one is replaced.
    fleet.push();
    wait_for("first looks", || {
        fleet.agents.iter().all(|a| a.progress().is_some())
    })
    .await;
    time::sleep(Duration::from_secs(1)).await;
    let first = fleet.declare_rollout(rollout("v1"));
    wait_live(&fleet, first).await;
    fleet.kill(1);
    fleet.agents[1].engine.crash();
    wait_for("an empty engine", || {
        fleet.agents[1].engine.life().version().is_none()
    })
    .await;
    fleet.revive(1).await.unwrap();
    wait_for("chunks", || fleet.agents[1].is_verified(first)).await;
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.agents[1].engine.life().version(), None);
    let expected = ModelVersion {
        model: "shake-8b".into(),
        version: "v1".into(),
        generation: first,
    };
    assert_eq!(fleet.agents[0].serving(), Some(expected));
    fleet.coordinate(1).await.unwrap();
    let second = fleet.declare_rollout(rollout("v2"));
    wait_live(&fleet, second).await;
}
