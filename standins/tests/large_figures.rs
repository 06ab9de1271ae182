//! Configurations with figures of any size and notation. The comment on each test states the
//! failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::users::{self, Behavior, UNREADABLE};
use tokio::time::{self, Instant};

use users_fleet::{CHUNKS, Fleet, TIMEOUT, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Status of a booking at `path` with an API key; `None` while the gateway does not listen yet.
async fn book(gateway: SocketAddr, path: &str, key: &str) -> Option<StatusCode> {
    let mut request = request(Method::POST, path, "booking");
    request
        .headers_mut()
        .insert("api-key", key.parse().unwrap());
    Some(call(gateway, request).await.ok()?.status())
}

/// Configuration with a key that version 1 does not have.
fn spec(fleet: &Fleet, version: u64) -> Value {
    let mut spec = users::config_spec(version, fleet.net.address(2, 8000), CHUNKS);
    spec["tenants"] = json!([
        {"name": "rounds", "api_keys": ["key-1"], "priority": 1},
        {"name": "leaving", "api_keys": ["key-2"], "priority": 1},
    ]);
    spec
}

/// One rank above 255, or one figure written with a decimal point or beyond the range of a double,
/// kept the whole configuration out on all nodes: a key that was taken away was served, and a new
/// route was answered 404. A gateway that started then had no configuration.
async fn change_is_in_force(index: u8, field: &str, figure: Value) {
    let fleet = Fleet::start(index).await;
    let _desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let _engine = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.store.put("config", "main", spec(&fleet, 2));
    fleet.host(10);
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/book/x").await;
    assert_eq!(
        book(gateway, "/book/x", "key-2").await,
        Some(StatusCode::OK)
    );

    let mut changed = spec(&fleet, 3);
    changed["tenants"].as_array_mut().unwrap().pop();
    let mut route = changed["routes"][1].clone();
    route["path_prefix"] = json!("/late/");
    route[field] = figure;
    changed["routes"].as_array_mut().unwrap().push(route);
    fleet.store.put("config", "main", changed);

    let late = fleet.gateway(21);
    for gateway in [gateway, late] {
        let end = Instant::now() + TIMEOUT;
        while book(gateway, "/late/x", "key-1").await != Some(StatusCode::OK) {
            assert!(Instant::now() < end, "the new route is not served");
            time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            book(gateway, "/late/x", "key-2").await,
            Some(StatusCode::UNAUTHORIZED)
        );
        assert_eq!(
            book(gateway, "/book/x", "key-2").await,
            Some(StatusCode::UNAUTHORIZED)
        );
    }
}

#[tokio::test]
async fn rank_above_255_keeps_no_change_out() {
    change_is_in_force(0, "priority", json!(300)).await;
}

#[tokio::test]
async fn fraction_keeps_no_change_out() {
    change_is_in_force(1, "max_attempts", json!(1.0)).await;
}

#[tokio::test]
async fn figure_beyond_a_double_keeps_no_change_out() {
    change_is_in_force(2, "timeout_ms", json!(UNREADABLE[2])).await;
}
