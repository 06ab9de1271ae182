//! Rollouts of weights through agents, engines, origin and links, with faults
//! at every place that design section 1.6 names.

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

/// Limit of waits: generous, since verdicts must not depend on a busy machine.
const LIMIT: Duration = Duration::from_secs(90);
const CHUNK: u32 = 16 * 1024;
const CHUNKS: u64 = 24;

fn content(version: &str, seed: u64) -> Content {
    Content {
        model: "shake-8b".into(),
        version: version.into(),
        base: None,
        size: CHUNKS * u64::from(CHUNK) - 100,
        chunk_size: CHUNK,
        seed,
        parent: None,
        changed_every: 1,
    }
}

/// Version that shares three of four chunks with the one of seed `parent`.
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

/// Links on which a copy takes about two seconds.
fn slow(mut settings: Settings) -> Settings {
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
    let live = fleet.wait_all("live", LIMIT, |a| a.is_live(generation));
    live.await.unwrap();
}

/// Waits until some agent has `chunks` chunks of `generation`.
async fn wait_part(fleet: &Fleet, generation: u64, chunks: usize) {
    let begin = Instant::now();
    let part = |a: &standins::fleet::Agent| {
        let progress = a.progress().unwrap_or_default();
        let current = progress.wanted.is_some_and(|w| w.generation == generation);
        current && progress.have >= chunks
    };
    while !fleet.agents.iter().any(part) {
        assert!(begin.elapsed() < LIMIT, "no agent got {chunks} chunks");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// No engine may hold bytes that don't match the digest they are staged under.
fn assert_intact(fleet: &Fleet) {
    for agent in &fleet.agents {
        let life = agent.engine.life();
        for name in life.loaded().staged {
            let data = life.staged(name).unwrap();
            assert_eq!(digest::Digest::of(&data), name, "at {}", agent.place.vm);
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
    let settings = slow(settings(0, &[2, 2, 2], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
    assert_eq!(fleet.origin.stats().bytes, size_of(&manifest));
    assert_intact(&fleet);
}

/// Guards against corrupted chunks in an engine, and against asking the agent
/// behind a corrupting link again and again.
#[tokio::test(flavor = "multi_thread")]
async fn a_corrupted_chunk_reaches_no_engine_and_its_source_is_avoided() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = slow(settings(1, &[3, 3], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let relay = fleet.relay.as_ref().unwrap();
    relay.set_rules(vec![rule("vm-001", "*", Mode::Corrupt)]);
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
    assert_intact(&fleet);
    // Each of the five others may have two transfers under way when the first
    // wrong digest shows; control messages are far below one more chunk each.
    let stats = fleet.relay.as_ref().unwrap().stats();
    let sent = stats.vms.iter().find(|v| v.name == "vm-001").unwrap().up;
    assert!(sent <= 5 * 3 * u64::from(CHUNK), "{sent} bytes asked for");
}

/// Guards against a rollout that hangs on, or fetches again for, dead VMs.
#[tokio::test(flavor = "multi_thread")]
async fn one_vm_in_ten_dying_mid_transfer_costs_little() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = slow(settings(2, &[4, 3, 3], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_part(&fleet, generation, 6).await;
    fleet.kill(0);
    wait_live(&fleet, generation).await;
    let copies = copies(&fleet, &manifest);
    assert!(copies <= 1.3, "{copies} copies from the origin");
}

#[allow(clippy::cast_precision_loss)]
fn copies(fleet: &Fleet, manifest: &Object<model::Model>) -> f64 {
    fleet.origin.stats().bytes as f64 / size_of(manifest) as f64
}

/// Guards against waiting for a link that carries nothing and stays open.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_link_delays_but_does_not_stop_a_rollout() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let settings = slow(settings(3, &[3, 2], &[v1]));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_part(&fleet, generation, 4).await;
    let relay = fleet.relay.as_ref().unwrap();
    relay.set_rules(vec![
        rule("vm-001", "vm-002", Mode::Freeze),
        rule("origin", "vm-003", Mode::Freeze),
        rule("*", "*", Mode::FreezeOld),
    ]);
    wait_live(&fleet, generation).await;
    assert_intact(&fleet);
}

/// Peer that claims to have every chunk and never sends any. Its connection
/// answers pings, so only a deadline for progress can tell.
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

/// Guards against waiting for a peer that is alive and sends nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_peer_is_left_for_another_source() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut fleet = Fleet::start(&settings(10, &[2], &[v1])).await.unwrap();
    let address = Subnet::new(10).address(200, 7000);
    let routes = Routes::new(pb::weights_server::WeightsServer::new(Silent));
    let listener = toolkit::bind(address).await.unwrap();
    let stop = tokio_util::sync::CancellationToken::new();
    tokio::spawn(corianderramp::control::serve(listener, routes, stop));
    let mut listed = (*fleet.view.vms[0]).clone();
    listed.metadata.name = "vm-000".into();
    listed.spec.control = address;
    fleet.view.vms.insert(0, std::sync::Arc::new(listed));
    let generation = fleet.declare(&manifest);
    wait_live(&fleet, generation).await;
}

/// Guards against trusting an answer of the origin that is short, silent,
/// wrong or refused.
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
    assert_intact(&fleet);
}

/// Guards against a rollout that stands still without telling operators why.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_that_the_origin_lacks_are_named_as_the_reason() {
    let known = content("v1", 1);
    let settings = settings(14, &[2], std::slice::from_ref(&known));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    fleet.coordinate(2).await.unwrap();
    fleet.declare(&content("v2", 2).manifest());
    let reason =
        |p: weights::Progress| p.reason.starts_with("origin: ") && p.reason.contains("404");
    let told = fleet.wait_all("reason told", LIMIT, |a| a.progress().is_some_and(reason));
    told.await.unwrap();
    let generation = fleet.declare(&known.manifest());
    wait_live(&fleet, generation).await;
    let silent = fleet.wait_all("reason gone", LIMIT, |a| {
        a.progress().is_some_and(|p| p.reason.is_empty())
    });
    silent.await.unwrap();
}

/// Guards against rollouts that end at an older generation or go back, and
/// against fetching chunks again that versions share.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_changed_twice_in_flight_ends_at_the_newest() {
    let contents = [content("v1", 1), content("v2", 2), successor("v3", 3, 2)];
    let manifests = contents.each_ref().map(Content::manifest);
    let settings = slow(settings(5, &[2, 2], &contents));
    let mut fleet = Fleet::start(&settings).await.unwrap();
    fleet.coordinate(4).await.unwrap();
    let first = fleet.declare(&manifests[0]);
    wait_part(&fleet, first, 10).await;
    let second = fleet.declare(&manifests[1]);
    wait_part(&fleet, second, 4).await;
    let third = fleet.declare(&manifests[2]);
    let mut newest = vec![0; fleet.agents.len()];
    let begin = Instant::now();
    while newest.iter().any(|g| *g < third) {
        assert!(begin.elapsed() < LIMIT, "generations {newest:?}");
        for (agent, newest) in fleet.agents.iter().zip(&mut newest) {
            let generation = agent.serving().map_or(*newest, |s| s.generation);
            assert!(generation >= *newest, "went back to {generation}");
            *newest = generation;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_intact(&fleet);
    // Transfers for v2 of chunks that v3 also needs go on.
    for sent in fleet.origin.stats().chunks {
        if manifests[2].spec.chunks.contains(&sent.digest) {
            assert_eq!(sent.requests, 1, "chunk {}", sent.digest);
        }
    }
}

/// Guards against fetching chunks that the previous version already has, and
/// against an adapter that is loaded without its base.
#[tokio::test(flavor = "multi_thread")]
async fn shared_chunks_and_bases_are_fetched_once() {
    let base = content("v1", 1);
    let next = successor("v2", 2, 1);
    let adapter = Content {
        model: "shake-tone".into(),
        version: "a1".into(),
        base: Some("shake-8b@v2".into()),
        size: 2 * u64::from(CHUNK),
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

/// Guards against a data centre that stops serving when it is cut off, or that
/// stays behind afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_data_center_that_was_cut_off_serves_and_catches_up() {
    let contents = [content("v1", 1), content("v2", 2)];
    let manifests = contents.each_ref().map(Content::manifest);
    let mut fleet = Fleet::start(&slow(settings(7, &[2, 2], &contents)))
        .await
        .unwrap();
    fleet.coordinate(4).await.unwrap();
    let first = fleet.declare(&manifests[0]);
    wait_live(&fleet, first).await;
    let cut = |fleet: &Fleet| {
        let relay = fleet.relay.as_ref().unwrap();
        relay.set_rules(vec![
            rule("region-0", "region-1", Mode::Freeze),
            rule("region-1", "region-0", Mode::Freeze),
        ]);
    };
    cut(&fleet);
    for agent in &mut fleet.agents[2..] {
        agent.isolated = true;
    }
    let second = fleet.declare(&manifests[1]);
    let reached = fleet.wait_all("live in the reachable data centre", LIMIT, |a| {
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

/// Guards against agents that need memory for a whole model.
#[tokio::test(flavor = "multi_thread")]
async fn the_cache_stays_within_its_limit() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut settings = slow(settings(8, &[2, 2], &[v1]));
    settings.weights.cache_bytes = 3 * u64::from(CHUNK);
    let limit = settings.weights.cache_bytes;
    let mut fleet = Fleet::start(&settings).await.unwrap();
    let generation = fleet.declare(&manifest);
    let within = |a: &standins::fleet::Agent| {
        let cached = a.handle().unwrap().cached_bytes();
        assert!(cached <= limit, "{cached} bytes cached");
        a.is_live(generation)
    };
    fleet.wait_all("live", LIMIT, within).await.unwrap();
    assert_eq!(fleet.origin.stats().bytes, size_of(&manifest));
}

/// Guards against fetching everything again after a restart of an agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_recovers_what_its_engine_has() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut fleet = Fleet::start(&slow(settings(9, &[2], &[v1]))).await.unwrap();
    let generation = fleet.declare(&manifest);
    wait_part(&fleet, generation, 12).await;
    fleet.kill(0);
    let before = fleet.agents[0].engine.life().loaded().staged.len();
    assert!(before > 0);
    fleet.revive(0).await.unwrap();
    wait_live(&fleet, generation).await;
    fleet.kill(0);
    let down = |f: &Fleet| f.relay.as_ref().unwrap().stats().vms[1].down;
    let received = down(&fleet);
    fleet.revive(0).await.unwrap();
    let complete = fleet.wait_all("verified", LIMIT, |a| a.is_verified(generation));
    complete.await.unwrap();
    let again = down(&fleet) - received;
    assert!(again < u64::from(CHUNK), "{again} bytes after the restart");
}
