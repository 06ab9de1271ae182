//! Rollouts of weights with faults in agents, engines, the origin and links, as listed in
//! section 1.6 of the design.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::control::pb;
use corianderramp::resource::{Object, model};
use corianderramp::{digest, settings, weights};
use standins::content::Content;
use standins::fleet::{Fleet, Links, Settings};
use standins::harness::Subnet;
use standins::relay::{Mode, Rule};
use standins::{engine, origin, toolkit};
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;
use tonic::service::Routes;
use tonic::{Request, Response, Status};

/// Timeout of waits. It is long so that results don't depend on the load of the machine.
const TIMEOUT: Duration = Duration::from_secs(90);
const CHUNK_SIZE: u32 = 16 * 1024;
const CHUNK_COUNT: u64 = 24;

fn content(version: &str, seed: u64) -> Content {
    Content {
        model: "shake-8b".into(),
        version: version.into(),
        base: None,
        size: CHUNK_COUNT * u64::from(CHUNK_SIZE) - 100,
        chunk_size: CHUNK_SIZE,
        seed,
        parent: None,
        changed_every: 1,
    }
}

/// Content that shares three of four chunks with that of seed `parent`.
fn successor(version: &str, seed: u64, parent: u64) -> Content {
    Content {
        parent: Some(parent),
        changed_every: 4,
        ..content(version, seed)
    }
}

fn settings(index: u8, data_centers: &[u8], content: &[Content]) -> Settings {
    Settings {
        subnet: Subnet::new(index),
        data_centers: data_centers.to_vec(),
        content: content.to_vec(),
        weights: settings::Weights {
            stall_ms: 500,
            ..settings::Weights::default()
        },
        engine: engine::Settings::default(),
        links: None,
    }
}

/// Links on which one copy of the weights takes about two seconds.
fn with_slow_links(mut settings: Settings) -> Settings {
    settings.weights.upload_rate = 200_000;
    settings.links = Some(Links {
        origin: 400_000.0,
        vm: 200_000.0,
        region: 400_000.0,
        delay_ms: 2,
    });
    settings
}

fn rule(from: &str, to: &str, mode: Mode) -> Rule {
    Rule {
        from: from.into(),
        to: to.into(),
        mode,
    }
}

async fn wait_live(fleet: &Fleet, generation: u64) {
    let live = fleet.wait_all("live", TIMEOUT, |a| a.is_live(generation));
    live.await.unwrap();
}

/// Waits until any agent has at least `chunks` chunks of `generation`.
async fn wait_progress(fleet: &Fleet, generation: u64, chunks: usize) {
    let started = Instant::now();
    let reached = |a: &standins::fleet::Agent| {
        let progress = a.progress().unwrap_or_default();
        let current = progress.wanted.is_some_and(|w| w.generation == generation);
        current && progress.have >= chunks
    };
    while !fleet.agents.iter().any(reached) {
        assert!(started.elapsed() < TIMEOUT, "no agent got {chunks} chunks");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asserts that all staged chunks match their digests.
fn assert_staged_intact(fleet: &Fleet) {
    for agent in &fleet.agents {
        let life = agent.engine.life();
        for digest in life.loaded().staged {
            let data = life.staged(digest).unwrap();
            assert_eq!(digest::Digest::of(&data), digest, "at {}", agent.place.vm);
        }
    }
}

fn size_of(manifest: &Object<model::Model>) -> u64 {
    manifest.spec.size
}

/// Guards against several agents fetching the same chunk from the origin.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_takes_one_copy_from_the_origin() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = with_slow_links(settings(0, &[2, 2, 2], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
    assert_eq!(fleet.origin.stats().bytes, size_of(&manifest));
    assert_staged_intact(&fleet);
}

/// Guards against corrupt chunks in an engine, and against repeated requests to an agent
/// whose link corrupts data.
#[tokio::test(flavor = "multi_thread")]
async fn a_corrupted_chunk_reaches_no_engine_and_its_source_is_avoided() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = with_slow_links(settings(1, &[3, 3], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let relay = fleet.relay.as_ref().unwrap();
    relay.set_rules(vec![rule("vm-001", "*", Mode::Corrupt)]);
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
    assert_staged_intact(&fleet);
    // Each of the five others may have two transfers in progress when the first
    // digest mismatch is detected; control messages are far below one more chunk each.
    let stats = fleet.relay.as_ref().unwrap().stats();
    let sent = stats.vms.iter().find(|v| v.name == "vm-001").unwrap().up;
    assert!(
        sent <= 5 * 3 * u64::from(CHUNK_SIZE),
        "{sent} bytes sent by vm-001"
    );
}

/// Guards against a rollout that waits for dead VMs or fetches their chunks again.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_dying_mid_transfer_adds_few_origin_bytes() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = with_slow_links(settings(2, &[4, 3, 3], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_progress(&fleet, generation, 6).await;
    fleet.kill(0);
    wait_live(&fleet, generation).await;
    let copies = copies(&fleet, &manifest);
    assert!(copies <= 1.3, "{copies} copies from the origin");
}

#[allow(clippy::cast_precision_loss)]
fn copies(fleet: &Fleet, manifest: &Object<model::Model>) -> f64 {
    fleet.origin.stats().bytes as f64 / size_of(manifest) as f64
}

/// Guards against waiting for connections that stay open without carrying data.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_link_delays_but_does_not_stop_a_rollout() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = with_slow_links(settings(3, &[3, 2], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_progress(&fleet, generation, 4).await;
    let relay = fleet.relay.as_ref().unwrap();
    relay.set_rules(vec![
        rule("vm-001", "vm-002", Mode::Freeze),
        rule("origin", "vm-003", Mode::Freeze),
        rule("*", "*", Mode::FreezeOld),
    ]);
    wait_live(&fleet, generation).await;
    assert_staged_intact(&fleet);
}

/// Peer that claims to hold every chunk and never sends any. Its connection answers
/// pings, so only a stall timeout detects it.
struct Silent;

#[tonic::async_trait]
impl pb::weights_server::Weights for Silent {
    type HaveStream = ReceiverStream<Result<pb::HaveUpdate, Status>>;
    type FetchStream = ReceiverStream<Result<pb::ChunkPart, Status>>;

    async fn have(
        &self,
        _: Request<pb::HaveRequest>,
    ) -> Result<Response<Self::HaveStream>, Status> {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            let chunks: Vec<u32> = (0..24).collect();
            while sender
                .send(Ok(pb::HaveUpdate {
                    chunks: chunks.clone(),
                }))
                .await
                .is_ok()
            {
                time::sleep(Duration::from_millis(500)).await;
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn fetch(
        &self,
        _: Request<pb::FetchRequest>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        std::future::pending().await
    }
}

/// Guards against waiting for a peer that is reachable but sends no data.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_peer_is_replaced_by_another_source() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut fleet = Fleet::start(&settings(10, &[2], &[v1])).await.unwrap();
    let address = Subnet::new(10).address(200, 7000);
    let routes = Routes::new(pb::weights_server::WeightsServer::new(Silent));
    let listener = toolkit::bind(address).await.unwrap();
    let stop = tokio_util::sync::CancellationToken::new();
    tokio::spawn(corianderramp::control::serve(listener, routes, stop));
    let mut silent_vm = (*fleet.view.vms[0]).clone();
    silent_vm.metadata.name = "vm-000".into();
    silent_vm.spec.control = address;
    fleet.view.vms.insert(0, std::sync::Arc::new(silent_vm));
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
}

/// Guards against accepting a response of the origin that is truncated, stalled, corrupt
/// or an error.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_the_origin_are_retried() {
    let modes = [
        origin::Mode::Cut,
        origin::Mode::Stall,
        origin::Mode::Corrupt,
        origin::Mode::Refuse,
    ];
    let contents: Vec<Content> = (1..=4).map(|i| content(&format!("v{i}"), i)).collect();
    let settings = settings(4, &[2, 1], &contents);
    let mut fleet = Fleet::start(&settings).await.unwrap();
    fleet.coordinate(3).await.unwrap();
    for (mode, content) in modes.into_iter().zip(contents) {
        fleet.origin.set_fault(mode, 3);
        let generation = fleet.declare(&content.manifest());
        wait_live(&fleet, generation).await;
    }
    assert_staged_intact(&fleet);
}

/// Guards against a rollout that makes no progress without reporting the reason.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_missing_at_the_origin_are_reported_as_the_reason() {
    let known = content("v1", 1);
    let settings = settings(14, &[2], std::slice::from_ref(&known));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    fleet.coordinate(2).await.unwrap();
    fleet.declare(&content("v2", 2).manifest());
    let reason =
        |p: weights::Progress| p.reason.starts_with("origin: ") && p.reason.contains("404");
    let reported = fleet.wait_all("reason reported", TIMEOUT, |a| {
        a.progress().is_some_and(reason)
    });
    reported.await.unwrap();
    let generation = fleet.declare(&known.manifest());
    wait_live(&fleet, generation).await;
    let cleared = fleet.wait_all("reason cleared", TIMEOUT, |a| {
        a.progress().is_some_and(|p| p.reason.is_empty())
    });
    cleared.await.unwrap();
}

/// Guards against agents that end at an older generation or go back to one, and against
/// fetching chunks again that versions share.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_changed_twice_in_progress_ends_at_the_newest() {
    let contents = [content("v1", 1), content("v2", 2), successor("v3", 3, 2)];
    let manifests = contents.each_ref().map(Content::manifest);
    let settings = with_slow_links(settings(5, &[2, 2], &contents));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    fleet.coordinate(4).await.unwrap();
    let first = fleet.declare(&manifests[0]);
    wait_progress(&fleet, first, 10).await;
    let second = fleet.declare(&manifests[1]);
    wait_progress(&fleet, second, 4).await;
    let third = fleet.declare(&manifests[2]);
    let mut newest = vec![0; fleet.agents.len()];
    let started = Instant::now();
    while newest.iter().any(|g| *g < third) {
        assert!(started.elapsed() < TIMEOUT, "generations {newest:?}");
        for (agent, newest) in fleet.agents.iter().zip(&mut newest) {
            let generation = agent.serving().map_or(*newest, |s| s.generation);
            assert!(generation >= *newest, "went back to {generation}");
            *newest = generation;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_staged_intact(&fleet);
    // Transfers for v2 of chunks that v3 also needs are not cancelled.
    for sent in fleet.origin.stats().chunks {
        if manifests[2].spec.chunks.contains(&sent.digest) {
            assert_eq!(sent.requests, 1, "chunk {}", sent.digest);
        }
    }
}

/// Guards against fetching chunks that are already there from the previous version, and
/// against loading an adapter without its base model.
#[tokio::test(flavor = "multi_thread")]
async fn shared_chunks_and_base_models_are_fetched_once() {
    let base = content("v1", 1);
    let next = successor("v2", 2, 1);
    let adapter = Content {
        model: "shake-tone".into(),
        version: "a1".into(),
        base: Some("shake-8b@v2".into()),
        size: 2 * u64::from(CHUNK_SIZE),
        ..content("", 9)
    };
    let contents = [base, next, adapter];
    let manifests = contents.each_ref().map(Content::manifest);
    let mut fleet = Fleet::start(&settings(6, &[2, 1], &contents))
        .await
        .unwrap();
    fleet.coordinate(3).await.unwrap();
    for manifest in &manifests {
        let generation = fleet.declare(manifest);
        wait_live(&fleet, generation).await;
    }
    let stats = fleet.origin.stats();
    assert!(stats.chunks.iter().all(|c| c.requests == 1), "{stats:?}");
    let order = [&manifests[1], &manifests[2]].map(|m| m.spec.chunks.clone());
    let expected = engine::answer::weights("shake-tone", "a1", &order.concat());
    for agent in &fleet.agents {
        assert_eq!(agent.engine.life().fingerprint(), expected);
    }
}

/// Guards against a data centre that stops serving during a network partition, or that
/// stays on the old version afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_data_center_serves_and_catches_up() {
    let contents = [content("v1", 1), content("v2", 2)];
    let manifests = contents.each_ref().map(Content::manifest);
    let mut fleet = Fleet::start(&with_slow_links(settings(7, &[2, 2], &contents)))
        .await
        .unwrap();
    fleet.coordinate(4).await.unwrap();
    let first = fleet.declare(&manifests[0]);
    wait_live(&fleet, first).await;
    let partition = |fleet: &Fleet| {
        let relay = fleet.relay.as_ref().unwrap();
        relay.set_rules(vec![
            rule("region-0", "region-1", Mode::Freeze),
            rule("region-1", "region-0", Mode::Freeze),
        ]);
    };
    partition(&fleet);
    for agent in &mut fleet.agents[2..] {
        agent.isolated = true;
    }
    let second = fleet.declare(&manifests[1]);
    let reached = fleet.wait_all("live in the reachable data centre", TIMEOUT, |a| {
        a.isolated || a.is_live(second)
    });
    reached.await.unwrap();
    assert!(fleet.agents[2..].iter().all(|a| a.is_live(first)));
    for agent in &mut fleet.agents[2..] {
        agent.isolated = false;
    }
    fleet.push();
    assert!(fleet.agents[2..].iter().all(|a| a.serving().is_some()));
    fleet.relay.as_ref().unwrap().set_rules(Vec::new());
    wait_live(&fleet, second).await;
}

/// Guards against agents that cache a whole model in memory.
#[tokio::test(flavor = "multi_thread")]
async fn the_cache_stays_within_its_limit() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut settings = with_slow_links(settings(8, &[2, 2], &[v1]));
    settings.weights.cache_bytes = 3 * u64::from(CHUNK_SIZE);
    let limit = settings.weights.cache_bytes;
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    let within = |a: &standins::fleet::Agent| {
        let cached = a.handle().unwrap().cached_bytes();
        assert!(cached <= limit, "{cached} bytes cached");
        a.is_live(generation)
    };
    fleet.wait_all("live", TIMEOUT, within).await.unwrap();
    assert_eq!(fleet.origin.stats().bytes, size_of(&manifest));
}

/// Guards against fetching everything again after a restart of an agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_reuses_the_chunks_in_its_engine() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut fleet = Fleet::start(&with_slow_links(settings(9, &[2], &[v1])))
        .await
        .unwrap();
    let generation = fleet.declare(&manifest);
    wait_progress(&fleet, generation, 12).await;
    fleet.kill(0);
    let before = fleet.agents[0].engine.life().loaded().staged.len();
    assert!(before > 0);
    fleet.revive(0).await.unwrap();
    wait_live(&fleet, generation).await;
    fleet.kill(0);
    let down = |f: &Fleet| f.relay.as_ref().unwrap().stats().vms[1].down;
    let received = down(&fleet);
    fleet.revive(0).await.unwrap();
    let complete = fleet.wait_all("verified", TIMEOUT, |a| a.is_verified(generation));
    complete.await.unwrap();
    let again = down(&fleet) - received;
    assert!(
        again < u64::from(CHUNK_SIZE),
        "{again} bytes after the restart"
    );
}
