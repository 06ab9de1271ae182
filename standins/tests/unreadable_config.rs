//! Configurations of which a part can't be read, over relays and at a gateway that starts meanwhile.
//! The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode, header};
use serde_json::{Value, json};
use standins::users::{self, Behavior, UNREADABLE};
use tokio::time::{self, Instant};

use users_fleet::{CHUNKS, Fleet, TIMEOUT, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Status of a request with an API key, and whether it names a time to come back; `None` while the
/// gateway does not listen yet.
async fn ask(gateway: SocketAddr, path: &str, key: &str) -> Option<(u16, bool)> {
    let mut request = request(Method::POST, path, "booking");
    request
        .headers_mut()
        .insert("api-key", key.parse().unwrap());
    let response = call(gateway, request).await.ok()?;
    let has_wait = response.headers().contains_key(header::RETRY_AFTER);
    Some((response.status().as_u16(), has_wait))
}

/// Configuration 2 with a second account, and one that `change` makes of it as configuration 3,
/// without the second account's key and with another route `/late/`.
fn specs(fleet: &Fleet, change: impl Fn(&mut Value)) -> [Value; 2] {
    let mut first = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    first["tenants"] = json!([
        {"name": "rounds", "api_keys": ["key-1"], "priority": 1},
        {"name": "leaving", "api_keys": ["key-2"], "priority": 1},
    ]);
    let mut second = first.clone();
    second["version"] = json!(3);
    second["tenants"][1]["api_keys"] = json!([]);
    let mut late = second["routes"][1].clone();
    late["path_prefix"] = json!("/late/");
    second["routes"].as_array_mut().unwrap().push(late);
    change(&mut second);
    [first, second]
}

/// Starts a fleet in `net`, writes the two configurations, and checks at a gateway that has the
/// first one and at one that starts under the second one that the rest of the second one is in
/// force. Both must answer each of `requests`, a path with a key, as expected.
async fn both_answer(
    index: u8,
    change: impl Fn(&mut Value),
    requests: &[(&str, &str, (u16, bool))],
) {
    let fleet = Fleet::start(index).await;
    let [first, second] = specs(&fleet, change);
    let desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let _engine = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.store.put("config", "main", first);
    fleet.host(10);
    let running = fleet.gateway(20);
    call_until_ok(running, Method::POST, "/book/x").await;
    call_until_ok(running, Method::POST, "/plan/x").await;
    fleet.store.put("config", "main", second);
    for gateway in [running, fleet.gateway(21)] {
        let end = Instant::now() + TIMEOUT;
        while ask(gateway, "/late/x", "key-1").await != Some((200, false)) {
            assert!(Instant::now() < end, "the new route is not served");
            time::sleep(Duration::from_millis(50)).await;
        }
        let ran = desk.received().len();
        for (path, key, expected) in requests {
            let answered = ask(gateway, path, key).await;
            assert_eq!(answered, Some(*expected), "{path} with {key}");
        }
        let served = requests.iter().filter(|r| r.2.0 == StatusCode::OK);
        assert_eq!(desk.received().len(), ran + served.count());
    }
}

/// A route that can't be read kept the whole version out: a key that was taken away was served and
/// a new route answered 404. Its own requests must not be run on a guess.
#[tokio::test]
async fn unreadable_route_leaves_the_rest_in_force() {
    let change = |spec: &mut Value| spec["routes"][2]["service"] = json!(UNREADABLE[0]);
    let requests = [
        ("/check/x", "key-1", (503, true)),
        ("/book/x", "key-1", (200, false)),
        ("/book/x", "key-2", (401, false)),
        ("/gone/x", "key-1", (404, false)),
    ];
    both_answer(0, change, &requests).await;
}

/// Nobody can tell the keys of an account that can't be read from those that no account has: 401
/// is final for callers, and running the requests can't be taken back.
#[tokio::test]
async fn unreadable_account_lets_nobody_in_and_turns_nobody_away() {
    let change = |spec: &mut Value| spec["tenants"][1]["api_keys"] = json!("key-2");
    let requests = [
        ("/book/x", "key-1", (200, false)),
        ("/book/x", "key-2", (503, true)),
        ("/book/x", "other", (503, true)),
    ];
    both_answer(1, change, &requests).await;
}

/// Streams to an engine whose figures can't be read must not go there as to a plain service.
#[tokio::test]
async fn unreadable_engine_refuses_its_streams() {
    let change = |spec: &mut Value| spec["services"][0]["engine"]["slots"] = json!("many");
    let requests = [
        ("/plan/x", "key-1", (503, true)),
        ("/book/x", "key-1", (200, false)),
        ("/book/x", "key-2", (401, false)),
    ];
    both_answer(2, change, &requests).await;
}
