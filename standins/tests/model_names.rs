//! Models whose names are no plain text of a path. The comment on each test states the failure that
//! it guards against.

#![allow(clippy::unwrap_used)]

use serde_json::json;
use standins::users::{self, Behavior};

use users_fleet::{CHUNKS, Fleet, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Name with the characters that end a segment of a path or stand for others.
const MODEL: &str = "round 1/a#b?c&d+e%41f\u{e4}";

/// The name became part of paths as it was: no host got a manifest or a chunk of the model from the
/// origin or from other hosts.
#[tokio::test]
async fn weights_of_a_model_with_any_name_reach_all_targets() {
    let fleet = Fleet::start(0).await;
    let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    config["services"][0]["engine"]["models"][0]["name"] = json!(MODEL);
    fleet.store.put("config", "main", config);
    let release = json!({"model": MODEL, "version": 2});
    fleet.store.put("versions", MODEL, release);
    let mut targets = Vec::new();
    for vm in 10..14 {
        targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        fleet.host(vm);
    }
    wait_until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    let chunks: Vec<_> = (0..CHUNKS).map(|i| Some(users::chunk_data(2, i))).collect();
    for target in &targets {
        assert_eq!(target.staged_chunks(), chunks);
    }
    let sent = fleet.origin.sent_chunks().len();
    assert!(sent <= CHUNKS + 2, "the origin sent {sent} chunks");
}
