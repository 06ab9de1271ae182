//! Entries of the store that can't be read. The comment on each test states the failure that it
//! guards against.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use standins::users::{self, Behavior, UNREADABLE};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time within which the deployment of these tests requires that a change is in force.
const LIMIT: Duration = Duration::from_secs(6);

/// Registers targets that can't be read in `fleet`, or spoils their registrations.
fn spoil(fleet: &Fleet) {
    for (name, text) in ["i-00", "i-18", "i-99"].iter().zip(UNREADABLE) {
        let mut spec = users::target_spec("desk", fleet.net.address(18, 9000), 0);
        spec["address"] = json!(text);
        fleet.store.put("servers", name, spec);
    }
}

/// One entry whose address was no Unicode text failed each list and watch: a target that had said
/// that it leaves went on getting requests, and new gateways knew no target.
async fn changes_are_noticed(index: u8, is_there_before: bool) {
    let mut fleet = Fleet::start(index).await;
    fleet.bounds.config_ms = u64::try_from(LIMIT.as_millis()).unwrap();
    if is_there_before {
        spoil(&fleet);
    }
    fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    let leaving = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let staying = fleet.target(17, "desk", 0, Behavior::Respond("ok")).await;
    fleet.host(10);
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    spoil(&fleet);
    let mut draining = users::target_spec("desk", fleet.net.address(16, 9000), 0);
    draining["state"] = json!("draining");
    fleet.store.put("servers", "i-16", draining);
    let origin = fleet.net.address(2, 8000);
    let config = users::config_spec(2, origin, CHUNKS);
    fleet.store.put("config", "main", config);
    time::sleep(LIMIT).await;
    let before = leaving.received().len();
    for i in 0..20 {
        let response = call(gateway, request(Method::GET, "/check/x", &format!("u{i}"))).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
    assert_eq!(leaving.received().len(), before);
    assert!(!staying.received().is_empty());
}

/// The entry comes while the gateway runs.
#[tokio::test]
async fn unreadable_entry_hides_no_later_change() {
    changes_are_noticed(0, false).await;
}

/// The entry is there before the gateway starts.
#[tokio::test]
async fn unreadable_entry_hides_no_target_of_a_list() {
    changes_are_noticed(1, true).await;
}
