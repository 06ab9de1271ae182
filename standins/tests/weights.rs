//! Rollouts of weights through agents, engines, origin and links.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::settings;
use standins::content::Content;
use standins::engine;
use standins::fleet::{Fleet, Links, Settings};
use standins::harness::Subnet;

/// Limit of waits: generous, since verdicts must not depend on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);
const CHUNK: u32 = 16 * 1024;

fn content(version: &str, seed: u64) -> Content {
    Content {
        model: "shake-8b".into(),
        version: version.into(),
        base: None,
        size: 24 * u64::from(CHUNK) - 100,
        chunk_size: CHUNK,
        seed,
        parent: None,
        changed_every: 1,
    }
}

fn settings(index: u8, data_centers: &[u8], content: Vec<Content>) -> Settings {
    Settings {
        subnet: Subnet::new(index),
        data_centers: data_centers.to_vec(),
        content,
        weights: settings::Weights {
            stall_ms: 500,
            ..settings::Weights::default()
        },
        engine: engine::Settings::default(),
        links: None,
    }
}

fn slow_links() -> Links {
    Links {
        origin: 400_000.0,
        vm: 400_000.0,
        region: 400_000.0,
        delay_ms: 2,
    }
}

/// Guards against several agents fetching the same chunk from the origin.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_takes_one_copy_from_the_origin() {
    let v1 = content("v1", 1);
    let manifest = v1.manifest();
    let mut fleet = Fleet::start(&settings(0, &[2, 2, 2], vec![v1]))
        .await
        .unwrap();
    let generation = fleet.declare(&manifest);
    fleet
        .wait_all("verified", LIMIT, |a| a.is_verified(generation))
        .await
        .unwrap();
    let stats = fleet.origin.stats();
    assert_eq!(stats.bytes, manifest.spec.size);
    for agent in &fleet.agents {
        for digest in &manifest.spec.chunks {
            let staged = agent.engine.life().staged(*digest).unwrap();
            assert_eq!(corianderramp::digest::Digest::of(&staged), *digest);
        }
    }
    let _ = slow_links();
}
