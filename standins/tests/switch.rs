//! Tests of version switches under load: no response may come from incomplete or
//! mixed weights.

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

/// Timeout of every wait. It exceeds the 30 s for which a restarted agent does not use
/// an engine that may be loading.
const TIMEOUT: Duration = Duration::from_secs(120);
const CHUNK_BYTES: u32 = 16 * 1024;

fn content(version: &str, seed: u64) -> Content {
    Content {
        model: "shake-8b".into(),
        version: version.into(),
        base: None,
        size: 8 * u64::from(CHUNK_BYTES),
        chunk_size: CHUNK_BYTES,
        seed,
        parent: None,
        changed_every: 1,
    }
}

fn fleet_settings(index: u8, agents: u8, load_ms: u64, contents: &[Content]) -> Settings {
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

/// Results of the checked requests.
#[derive(Debug, Default)]
struct Results {
    correct: AtomicU64,
    wrong: Mutex<Vec<String>>,
    stop: AtomicBool,
}

type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

async fn complete(client: &Client, agent: &str, version: &str, prompt: &str) -> Option<String> {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 12 }).to_string();
    let request = Request::post(format!("http://{agent}/v1/completions"))
        .header(protocol::VERSION, version)
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = client.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let json: serde_json::Value = serde_json::from_slice(&body).ok()?;
    Some(json["choices"][0]["text"].as_str()?.to_owned())
}

/// Sends requests one after the other, for each of `versions` in turn, since a request
/// to an agent names its version. Requests for another version than the served one fail
/// and are not counted.
async fn send_requests(results: Arc<Results>, agent: String, versions: Vec<(String, u64)>) {
    let client: Client = legacy::Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    for i in 0_usize.. {
        if results.stop.load(Ordering::Relaxed) {
            return;
        }
        let (version, weights) = &versions[i % versions.len()];
        let prompt = format!("shortfall {agent} {i}");
        let request = time::timeout(TIMEOUT, complete(&client, &agent, version, &prompt));
        let Ok(Some(text)) = request.await else {
            time::sleep(Duration::from_millis(2)).await;
            continue;
        };
        match answer::check(&prompt, &text) {
            Ok(checked) if checked.version == *version && checked.weights == *weights => {
                results.correct.fetch_add(1, Ordering::Relaxed);
            }
            other => results.wrong.lock().push(format!("{version}: {other:?}")),
        }
    }
}

/// Starts three callers per agent.
fn start_callers(fleet: &Fleet, contents: &[Content]) -> (Arc<Results>, JoinSet<()>) {
    let results = Arc::new(Results::default());
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
            tasks.spawn(send_requests(results.clone(), address, versions.clone()));
        }
    }
    (results, tasks)
}

async fn finish(results: &Results, mut tasks: JoinSet<()>) {
    results.stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    assert_eq!(*results.wrong.lock(), Vec::<String>::new());
    assert!(
        results.correct.load(Ordering::Relaxed) > 0,
        "no request succeeded"
    );
}

async fn wait_live(fleet: &Fleet, generation: u64) {
    let live = fleet.wait_all("live", TIMEOUT, |a| a.is_live(generation));
    live.await.unwrap();
}

async fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting for {description}"
        );
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

/// Guards against a load that overlaps with requests, and against more targets out of
/// service at a time than the permits allow.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_under_load_mixes_no_versions() {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&fleet_settings(0, 3, 150, &contents), &contents).await;
    let (results, tasks) = start_callers(&fleet, &contents);
    let second = fleet.declare(&contents[1].manifest());
    let start = Instant::now();
    while !fleet.agents.iter().all(|a| a.is_live(second)) {
        assert!(start.elapsed() < TIMEOUT);
        let unavailable = fleet.agents.iter().filter(|a| a.serving().is_none());
        assert!(
            unavailable.count() <= 1,
            "more than one target out of service"
        );
        time::sleep(Duration::from_millis(1)).await;
    }
    finish(&results, tasks).await;
}

/// Points of a switch at which the agent is killed.
#[derive(Clone, Copy, Debug)]
enum KillPoint {
    Verified,
    NotServing,
    Loading,
    Loaded,
}

fn is_reached(point: KillPoint, fleet: &Fleet, second: u64) -> bool {
    let agent = &fleet.agents[0];
    let loaded = agent.engine.life().loaded();
    match point {
        KillPoint::Verified => agent.is_verified(second),
        KillPoint::NotServing => agent.serving().is_none(),
        KillPoint::Loading => loaded.fence == second && loaded.version == "v1",
        KillPoint::Loaded => loaded.version == "v2",
    }
}

/// Kills and restarts the agent at `point` while requests continue.
async fn kill_at(index: u8, point: KillPoint) {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&fleet_settings(index, 1, 1_000, &contents), &contents).await;
    let (results, tasks) = start_callers(&fleet, &contents);
    // All callers may be waiting for the agent when it is killed, and then until the end.
    wait_for("a first success", || {
        results.correct.load(Ordering::Relaxed) > 0
    })
    .await;
    // Without a permit, the agent stays before the switch until it is killed.
    fleet.coordinator.as_ref().unwrap().set_limit(0);
    let second = fleet.declare(&contents[1].manifest());
    wait_for("verified chunks", || fleet.agents[0].is_verified(second)).await;
    if !matches!(point, KillPoint::Verified) {
        fleet.coordinator.as_ref().unwrap().set_limit(1);
    }
    wait_for("the kill point", || is_reached(point, &fleet, second)).await;
    fleet.kill(0);
    fleet.coordinator.as_ref().unwrap().set_limit(1);
    fleet.revive(0).await.unwrap();
    wait_live(&fleet, second).await;
    finish(&results, tasks).await;
}

/// Guards against a restarted agent that uses an engine whose load may be in progress;
/// the agent is killed before the switch.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_before_the_switch_recovers() {
    kill_at(1, KillPoint::Verified).await;
}

/// Guards against the same when the agent is killed between the end of admission and
/// the load request.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_after_the_end_of_admission_recovers() {
    kill_at(2, KillPoint::NotServing).await;
}

/// Guards against the same when the agent is killed during the load.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_during_the_load_recovers() {
    kill_at(3, KillPoint::Loading).await;
}

/// Guards against the same when the agent is killed between the end of the load and
/// admission.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_after_the_load_recovers() {
    kill_at(4, KillPoint::Loaded).await;
}

/// Guards against a target that stays out of service after its engine crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_engine_is_loaded_again_without_a_permit() {
    let contents = [content("v1", 1)];
    let (fleet, first) = start(&fleet_settings(5, 2, 50, &contents), &contents).await;
    fleet.coordinator.as_ref().unwrap().set_limit(0);
    fleet.agents[0].engine.crash();
    wait_for("the end of admission", || !fleet.agents[0].is_live(first)).await;
    wait_live(&fleet, first).await;
    assert_eq!(fleet.agents[0].engine.life().loaded().fence, first);
}

async fn load(agent: &Agent, version: &str, fence: u64) {
    let life = agent.engine.life();
    let chunks = content("v1", 1).manifest().spec.chunks;
    life.load("shake-8b", version, fence, &chunks).await;
}

/// Guards against serving a version that another client loaded into an engine which does
/// not check fencing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_by_another_client_is_reverted() {
    let contents = [content("v1", 1), content("v2", 2)];
    let mut settings = fleet_settings(6, 1, 50, &contents);
    settings.engine.ignore_fence = true;
    let (mut fleet, first) = start(&settings, &contents).await;
    let second = fleet.declare(&contents[1].manifest());
    wait_live(&fleet, second).await;
    load(&fleet.agents[0], "v1", first).await;
    let serves_old = |a: &Agent| a.serving().is_some_and(|s| s.version == "v1");
    let is_reverted = |a: &Agent| a.engine.life().loaded().version == "v2";
    let start = Instant::now();
    while !(is_reverted(&fleet.agents[0]) && fleet.agents[0].is_live(second)) {
        assert!(
            !serves_old(&fleet.agents[0]),
            "an older generation was served"
        );
        assert!(start.elapsed() < TIMEOUT);
        time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(fleet.agents[0].engine.life().loaded().fence, second);
}

/// Guards against a return to an older rollout when the newest one is deleted.
#[tokio::test(flavor = "multi_thread")]
async fn deleting_the_newest_rollout_keeps_its_version() {
    let contents = [content("v1", 1), content("v2", 2)];
    let (mut fleet, _) = start(&fleet_settings(7, 1, 20, &contents), &contents).await;
    let old = fleet.view.rollouts[0].clone();
    let second = fleet.declare(&contents[1].manifest());
    wait_live(&fleet, second).await;
    fleet.view.complete += 1;
    fleet.view.rollouts = vec![old];
    fleet.push();
    let start = Instant::now();
    // Ten polls of the engine.
    while start.elapsed() < Duration::from_secs(2) {
        assert!(fleet.agents[0].is_live(second));
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(fleet.agents[0].engine.life().loaded().version, "v2");
}

/// Guards against loading the version of a rollout with `Join::Hold` into a target that
/// joined after the rollout was declared.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_joins_a_held_rollout_waits_for_the_next() {
    let contents = [content("v1", 1), content("v2", 2)];
    let mut fleet = Fleet::start(&fleet_settings(8, 2, 20, &contents))
        .await
        .unwrap();
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
    // Both agents run before the first rollout; then one is replaced.
    fleet.push();
    wait_for("the first engine polls", || {
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
    wait_for("verified chunks", || fleet.agents[1].is_verified(first)).await;
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
