//! The store never answers a watch: its connection stays open and other calls succeed.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use standins::users::{self, Behavior};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, call, call_until_ok, request, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time within which the deployment of these tests requires that a change is in force; leaves
/// a busy machine time beyond the delays that the nodes choose.
const LIMIT: Duration = Duration::from_secs(6);

/// A gateway that follows a relay, with two targets of a plain service on VMs 16 and 17.
async fn start(index: u8) -> (Fleet, std::net::SocketAddr, [users::Target; 2]) {
    let mut fleet = Fleet::start(index).await;
    fleet.bounds.config_ms = u64::try_from(LIMIT.as_millis()).unwrap();
    fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    let desks = [
        fleet.target(16, "desk", 0, Behavior::Respond("ok")).await,
        fleet.target(17, "desk", 0, Behavior::Respond("ok")).await,
    ];
    fleet.host(10);
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    (fleet, gateway, desks)
}

/// Configuration whose plain safe requests have the path prefix `prefix`.
fn config(fleet: &Fleet, version: u64, prefix: &str) -> serde_json::Value {
    let mut spec = users::config_spec(version, fleet.net.address(2, 8000), CHUNKS);
    spec["routes"][2]["path_prefix"] = json!(prefix);
    spec
}

/// During an outage a relay's watch was never answered. For 25 s it took no configuration,
/// while its pings succeeded and its region went on following it.
#[tokio::test]
async fn configuration_arrives_after_a_watch_was_never_answered() {
    let (fleet, gateway, _desks) = start(0).await;
    fleet.store.ignore_calls("config");
    fleet
        .store
        .put("config", "main", config(&fleet, 2, "/second/"));
    wait_until("a watch is ignored", || fleet.store.ignored_calls() > 0).await;
    call_until_ok(gateway, Method::GET, "/second/x").await;

    fleet.store.answer_all();
    fleet
        .store
        .put("config", "main", config(&fleet, 3, "/third/"));
    let served = call_until_ok(gateway, Method::GET, "/third/x");
    let in_time = time::timeout(LIMIT, served).await;
    assert!(in_time.is_ok(), "not in force within {LIMIT:?}");
}

/// The same for targets: requests went on reaching one that had said that it leaves.
#[tokio::test]
async fn leaving_target_is_noticed_after_a_watch_was_never_answered() {
    let (fleet, gateway, [leaving, staying]) = start(1).await;
    let spec = |vm: u8| users::target_spec("desk", fleet.net.address(vm, 9000), 0);
    fleet.store.ignore_calls("servers");
    let mut changed = spec(17);
    changed["slots"] = json!(5);
    fleet.store.put("servers", "i-17", changed);
    wait_until("a watch is ignored", || fleet.store.ignored_calls() > 0).await;

    fleet.store.answer_all();
    let mut draining = spec(16);
    draining["state"] = json!("draining");
    fleet.store.put("servers", "i-16", draining);
    time::sleep(LIMIT).await;
    let before = leaving.received().len();
    for i in 0..20 {
        let response = call(gateway, request(Method::GET, "/check/x", &format!("d{i}"))).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
    assert_eq!(leaving.received().len(), before);
    assert!(!staying.received().is_empty());
}
