//! Configurations whose list of accounts is empty or missing. The comment on each test states the
//! failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::users::{self, Behavior, Target};
use tokio::time::{self, Instant};

use users_fleet::{CHUNKS, Fleet, TIMEOUT, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Status of a booking with an API key; `None` while the gateway does not listen yet.
async fn book(gateway: SocketAddr, key: &str) -> Option<StatusCode> {
    let mut request = request(Method::POST, "/book/x", "booking");
    request
        .headers_mut()
        .insert("api-key", key.parse().unwrap());
    Some(call(gateway, request).await.ok()?.status())
}

/// Configuration with a list of accounts; without one if it is `None`.
fn spec(fleet: &Fleet, version: u64, accounts: Option<Value>) -> Value {
    let mut spec = users::config_spec(version, fleet.net.address(2, 8000), CHUNKS);
    match accounts {
        Some(accounts) => spec["tenants"] = accounts,
        None => _ = spec.as_object_mut().unwrap().remove("tenants"),
    }
    spec
}

/// Waits until a gateway answers bookings with `key` with this status.
async fn wait_for(gateway: SocketAddr, key: &str, status: StatusCode) {
    let end = Instant::now() + TIMEOUT;
    loop {
        let answered = book(gateway, key).await;
        if answered == Some(status) {
            return;
        }
        assert!(
            Instant::now() < end,
            "{key}: {answered:?} instead of {status}"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that a gateway lets nobody in, and that nothing more runs at the target.
async fn assert_locked(gateway: SocketAddr, target: &Target) {
    let ran = target.received().len();
    for key in ["key-1", "key-that-no-account-has"] {
        let answered = book(gateway, key).await;
        assert_eq!(answered, Some(StatusCode::UNAUTHORIZED), "{key}");
    }
    assert_eq!(target.received().len(), ran);
}

/// Once the last account was taken away, every key was let in: on gateways that learn of it from
/// the store or from a relay, on those that start then, and while the store is away.
#[tokio::test]
async fn last_account_taken_away_lets_nobody_in() {
    let fleet = Fleet::start(0).await;
    let desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let _engine = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    let gateways = [fleet.gateway(20), fleet.gateway(21)];
    for gateway in gateways {
        call_until_ok(gateway, Method::POST, "/book/x").await;
        assert_eq!(book(gateway, "other").await, Some(StatusCode::UNAUTHORIZED));
    }
    fleet
        .store
        .put("config", "main", spec(&fleet, 2, Some(json!([]))));
    for gateway in gateways {
        wait_for(gateway, "key-1", StatusCode::UNAUTHORIZED).await;
        assert_locked(gateway, &desk).await;
    }
    let late = fleet.gateway(22);
    wait_for(late, "key-1", StatusCode::UNAUTHORIZED).await;
    assert_locked(late, &desk).await;
    fleet.store.go_down();
    for gateway in [gateways[0], gateways[1], late] {
        assert_locked(gateway, &desk).await;
    }
}

/// The same without a relay, when each gateway reads the store itself.
#[tokio::test]
async fn last_account_taken_away_lets_nobody_in_without_relays() {
    let fleet = Fleet::start(1).await;
    let desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/book/x").await;
    fleet
        .store
        .put("config", "main", spec(&fleet, 2, Some(json!([]))));
    wait_for(gateway, "key-1", StatusCode::UNAUTHORIZED).await;
    assert_locked(gateway, &desk).await;
    fleet.store.put("config", "main", spec(&fleet, 3, None));
    wait_for(gateway, "key-1", StatusCode::OK).await;
}

/// A deployment without a list of accounts needs no keys, and an account without keys must not
/// open the routes.
#[tokio::test]
async fn missing_list_needs_no_keys_and_accounts_without_keys_do() {
    let fleet = Fleet::start(2).await;
    let desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let _engine = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.store.put("config", "main", spec(&fleet, 2, None));
    fleet.host(10);
    let gateway = fleet.gateway(20);
    wait_for(gateway, "anything", StatusCode::OK).await;
    let accounts = json!([{"name": "rounds", "api_keys": []}]);
    fleet
        .store
        .put("config", "main", spec(&fleet, 3, Some(accounts)));
    wait_for(gateway, "anything", StatusCode::UNAUTHORIZED).await;
    assert_locked(gateway, &desk).await;
}
