//! Gateways and hosts against a simulated users' platform. The comment on each test states
//! the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use standins::harness::Subnet;
use standins::users::{self, Behavior, Origin, Store, Target};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, TIMEOUT, VMS, bounds, call, call_until_ok, request, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    let event = |i| format!("id: {i}\ndata: token{i}\n\n");
    range.map(event).collect::<Vec<_>>().concat()
}

/// A target that receives the API key, or an account name forged by the caller, would let
/// one account act for another.
#[tokio::test]
async fn targets_receive_the_account_but_not_the_api_key() {
    let fleet = Fleet::start(0).await;
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x?y=1").await;
    let received = desk.received();
    let last = received.last().unwrap();
    assert_eq!(last.headers["x-corianderramp-tenant"], "rounds");
    assert!(!last.headers.contains_key("api-key"));
    assert_eq!(last.headers["x-corianderramp-expect-instance"], "i-10");
    assert_eq!(last.uri, "/check/x?y=1");
    assert_eq!(last.body, "body");
}

/// An unknown API key or route must be rejected with 401 or 404. A gateway without a
/// configuration must respond with 503 instead, so that the caller retries.
#[tokio::test]
async fn rejections_have_the_matching_status() {
    let fleet = Fleet::start(1).await;
    let _desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let mut unknown = request(Method::GET, "/check/x", "a");
    unknown
        .headers_mut()
        .insert("api-key", "nobody".parse().unwrap());
    assert_eq!(call(gateway, unknown).await.unwrap().status(), 401);
    let unrouted = request(Method::GET, "/other/x", "b");
    assert_eq!(call(gateway, unrouted).await.unwrap().status(), 404);

    let empty = Subnet::new(2);
    let store = Store::start(empty.address(1, 8000), VMS).await;
    let fleet = Fleet {
        net: empty,
        store,
        origin: Origin::default(),
        bounds: bounds(),
    };
    let gateway = fleet.gateway(20);
    let response = async {
        loop {
            if let Ok(response) = call(gateway, request(Method::GET, "/check/x", "c")).await {
                return response;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let response = time::timeout(TIMEOUT, response).await.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

/// An unsafe request whose response is lost may have run. A retry could run it twice, and so
/// could the caller after a 503.
#[tokio::test]
async fn unsafe_request_is_not_retried_after_a_lost_response() {
    let fleet = Fleet::start(3).await;
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let other = fleet.target(11, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    desk.set_behavior(Behavior::CloseConnection);
    other.set_behavior(Behavior::CloseConnection);
    let before = desk.received().len() + other.received().len();
    let response = call(gateway, request(Method::POST, "/book/x", "b1"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(desk.received().len() + other.received().len(), before + 1);
}

/// A safe request may run twice, so a target that closes the connection must not make it fail.
#[tokio::test]
async fn safe_request_is_retried_after_a_lost_response() {
    let fleet = Fleet::start(4).await;
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let _other = fleet.target(11, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    desk.set_behavior(Behavior::CloseConnection);
    for i in 0..8 {
        let response = call(gateway, request(Method::GET, "/check/x", &format!("c{i}"))).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
}

/// A stream that needs all of the caller's time was cut 20 ms before its end, which only an answer
/// of the gateway's own needs.
#[tokio::test]
async fn stream_may_use_all_of_its_callers_time() {
    let fleet = Fleet::start(19).await;
    let engine = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    let gateway = fleet.gateway(20);
    let mut most = 0;
    // A busy machine takes a part of the time itself.
    for _ in 0..50 {
        call_until_ok(gateway, Method::POST, "/plan/x").await;
        let received = engine.received();
        let header = &received.last().unwrap().headers["x-corianderramp-deadline-ms"];
        most = most.max(header.to_str().unwrap().parse::<u64>().unwrap());
    }
    assert!(most > 2_480, "{most} ms of 2500");
}

/// A response with the id of another request must not be forwarded to any caller.
#[tokio::test]
async fn response_to_another_request_is_not_forwarded() {
    let fleet = Fleet::start(5).await;
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    desk.set_behavior(Behavior::WrongRequestId);
    let response = call(gateway, request(Method::POST, "/book/x", "mine"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert!(response.body().is_empty());
}

/// A request that no target ran must be rejected without delay and with `retry-after`.
#[tokio::test]
async fn declined_request_is_rejected_with_retry_after() {
    let fleet = Fleet::start(6).await;
    let desk = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    desk.set_behavior(Behavior::Decline);
    let begin = time::Instant::now();
    let response = call(gateway, request(Method::POST, "/book/x", "b"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert!(begin.elapsed() < Duration::from_millis(1_500));
}

/// If a target closes the connection within an event, another target must continue the
/// stream without missing, duplicate or truncated events.
#[tokio::test]
async fn broken_stream_is_resumed_on_another_target() {
    let fleet = Fleet::start(7).await;
    let first = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    let second = fleet.target(11, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    fleet.host(11);
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    first.set_behavior(Behavior::Stream(1, 4));
    second.set_behavior(Behavior::Stream(1, 10));
    // Target selection is random, so requests are sent until one reaches the first target.
    let before = first.received().len();
    let begin = time::Instant::now();
    for i in 0.. {
        let sent = request(Method::POST, "/plan/x", &format!("s{i}"));
        let response = call(gateway, sent).await.unwrap();
        assert_eq!(String::from_utf8_lossy(response.body()), events(1..=10));
        if first.received().len() > before {
            break;
        }
        assert!(
            begin.elapsed() < TIMEOUT,
            "no request reached the first target"
        );
    }
    let resumed = second.received();
    let after = resumed
        .iter()
        .filter_map(|r| r.headers.get("last-event-id"));
    assert!(after.into_iter().any(|v| v == "4"));
}

/// A broken stream that no other target can continue must not look complete.
#[tokio::test]
async fn stream_that_cannot_be_resumed_is_aborted() {
    let fleet = Fleet::start(8).await;
    let only = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    only.set_behavior(Behavior::Stream(1, 4));
    let response = call(gateway, request(Method::POST, "/plan/x", "s")).await;
    assert!(response.is_err(), "{response:?}");
}

/// Weights must reach all targets completely while the origin sends each chunk about once,
/// and a corrupted chunk in the staging area must be replaced before the target loads it.
#[tokio::test]
async fn weights_reach_all_targets_and_are_fetched_from_the_origin_once() {
    let fleet = Fleet::start(9).await;
    let mut targets = Vec::new();
    for vm in 10..14 {
        targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        fleet.host(vm);
    }
    time::sleep(Duration::from_millis(800)).await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    let corrupted = targets[0].clone();
    wait_until("chunks are staged", || {
        corrupted.staged_chunks().iter().flatten().count() == CHUNKS
    })
    .await;
    corrupted.corrupt_chunk(3);
    wait_until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    for target in &targets {
        for (index, chunk) in target.staged_chunks().iter().enumerate() {
            assert_eq!(
                chunk.as_ref(),
                Some(&users::chunk_data(2, index)),
                "chunk {index}"
            );
        }
    }
    let mut sent = fleet.origin.sent_chunks();
    sent.retain(|(version, _)| *version == 2);
    let total = sent.len();
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent.len(), CHUNKS);
    assert!(total <= CHUNKS + 2, "the origin sent {total} chunks");
}

/// After a power failure all targets have lost their weights and all processes restart:
/// requests must be served again within the users' recovery time.
#[tokio::test]
async fn fleet_without_weights_serves_within_the_recovery_time() {
    const RECOVERY: Duration = Duration::from_secs(12);
    let fleet = Fleet::start(16).await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 3}));
    for vm in 10..14 {
        fleet.target(vm, "llm", 0, Behavior::Stream(1, 10)).await;
        fleet.host(vm);
    }
    let served = call_until_ok(fleet.gateway(20), Method::POST, "/plan/x");
    let response = time::timeout(RECOVERY, served).await.unwrap();
    assert_eq!(response.body(), &events(1..=10));
}

/// After an outage of the origin, only the hosts assigned to a chunk may fetch it there.
/// Every host used to take the outage for a failure of the assigned hosts and fetched the
/// chunk too, so that copies of the same chunks shared the origin's link.
#[tokio::test]
async fn recovered_origin_sends_each_chunk_about_once() {
    /// Shorter than the time after which hosts abort and restart a transfer.
    const OUTAGE: Duration = Duration::from_millis(2_800);
    let fleet = Fleet::start(14).await;
    let mut targets = Vec::new();
    for vm in 10..18 {
        targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        fleet.host(vm);
    }
    time::sleep(Duration::from_millis(800)).await;
    fleet.origin.set_failing(true);
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    time::sleep(OUTAGE).await;
    fleet.origin.set_failing(false);
    wait_until("all targets serve version 2", || {
        targets.iter().all(|t| t.version() == 2)
    })
    .await;
    let total = fleet
        .origin
        .sent_chunks()
        .iter()
        .filter(|s| s.0 == 2)
        .count();
    assert!(total <= CHUNKS * 3 / 2, "the origin sent {total} chunks");
}

/// Nodes must not keep sending calls of full cost to an unavailable store: with 140 nodes, an
/// outage of six seconds caused more calls than the rest of the day.
#[tokio::test]
async fn unavailable_store_gets_only_cheap_calls() {
    const GATEWAYS: std::ops::Range<u8> = 20..26;
    let fleet = Fleet::start(15).await;
    let _desk = fleet.target(12, "desk", 0, Behavior::Respond("ok")).await;
    for vm in GATEWAYS {
        call_until_ok(fleet.gateway(vm), Method::GET, "/check/x").await;
    }
    time::sleep(Duration::from_secs(1)).await;
    for vm in GATEWAYS {
        fleet.store.reject_vm(vm);
    }
    let before = fleet.store.full_cost_calls();
    time::sleep(Duration::from_secs(4)).await;
    let calls = fleet.store.full_cost_calls() - before;
    // Each of the three topics of a gateway may detect the outage with one call.
    let limit = 3 * GATEWAYS.len();
    assert!(calls <= limit, "{calls} calls of full cost");
    fleet.store.accept_all();
    let mut next = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    next["routes"][2]["path_prefix"] = json!("/new/");
    fleet.store.put("config", "main", next);
    call_until_ok(fleet.net.address(20, 8080), Method::GET, "/new/x").await;
}

/// Load pattern: all nodes start at the same moment. If each of them listed everything, the
/// lists would fill the links between regions and time out. One host lists for its region.
#[tokio::test]
async fn nodes_that_start_together_list_the_store_once() {
    const HOSTS: std::ops::Range<u8> = 10..16;
    const GATEWAYS: std::ops::Range<u8> = 20..32;
    let fleet = Fleet::start(17).await;
    let _desk = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    for vm in HOSTS {
        fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await;
    }
    let (before, start) = (fleet.store.full_cost_calls(), time::Instant::now());
    for vm in HOSTS {
        fleet.host(vm);
    }
    let gateways: Vec<SocketAddr> = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
    for gateway in gateways {
        call_until_ok(gateway, Method::GET, "/check/x").await;
    }
    // The first relay lists three topics and watches them; a busy machine may repeat some.
    let calls = fleet.store.full_cost_calls() - before;
    // Each watch then ends after half of the time for a change, though nothing changed.
    let interval = fleet.bounds.config_limit() / 2;
    let intervals = start.elapsed().as_millis() / interval.as_millis();
    let ended = 3 * usize::try_from(intervals).unwrap();
    assert!(calls <= 12 + ended, "{calls} calls of full cost");
}

/// A gateway whose calls the store rejects must still receive a new configuration, from a
/// scout of its region.
#[tokio::test]
async fn configuration_reaches_a_gateway_rejected_by_the_store() {
    let fleet = Fleet::start(10).await;
    for vm in 10..12 {
        let _target = fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await;
        fleet.host(vm);
    }
    let _desk = fleet.target(12, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    fleet.store.reject_vm(20);
    let mut next = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    next["routes"][2]["path_prefix"] = json!("/new/");
    fleet.store.put("config", "main", next);
    call_until_ok(gateway, Method::GET, "/new/x").await;
}

/// A target must get no new requests once its registration states that it is draining.
#[tokio::test]
async fn draining_target_gets_no_new_requests() {
    let fleet = Fleet::start(11).await;
    let leaving = fleet.target(10, "desk", 0, Behavior::Respond("ok")).await;
    let staying = fleet.target(11, "desk", 0, Behavior::Respond("ok")).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    let address = fleet.net.address(10, 9000);
    let mut spec = users::target_spec("desk", address, 0);
    spec["state"] = json!("draining");
    fleet.store.put("servers", "i-10", spec);
    // Time within which the users require that a draining target gets no new requests.
    time::sleep(Duration::from_secs(2)).await;
    let before = leaving.received().len();
    for i in 0..20 {
        let response = call(gateway, request(Method::GET, "/check/x", &format!("d{i}"))).await;
        assert_eq!(response.unwrap().status(), StatusCode::OK);
    }
    assert_eq!(leaving.received().len(), before);
    assert!(!staying.received().is_empty());
}

/// After a power failure the store still lists weights that the targets no longer hold, and
/// hundreds of requests were sent to such targets, which declined them. The state reported
/// by a target's host must take precedence over the store.
#[tokio::test]
async fn target_with_an_outdated_registration_gets_no_requests() {
    let fleet = Fleet::start(12).await;
    // Without a reachable origin the target gets no weights.
    let no_origin = fleet.net.address(3, 8000);
    fleet
        .store
        .put("config", "main", users::config_spec(2, no_origin, CHUNKS));
    let address = fleet.net.address(10, 9000);
    let empty = Target::start("i-10", address, 0, Behavior::Decline).await;
    fleet
        .store
        .put("servers", "i-10", users::target_spec("llm", address, 1));
    let desk = fleet.target(12, "desk", 0, Behavior::Respond("ok")).await;
    fleet.host(10);
    time::sleep(Duration::from_millis(500)).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::GET, "/check/x").await;
    for i in 0..5 {
        let response = call(gateway, request(Method::POST, "/plan/x", &format!("e{i}")))
            .await
            .unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key("retry-after"));
    }
    assert!(empty.received().is_empty());
    assert!(!desk.received().is_empty());
}

/// A version whose chunks are available must be loaded by its deadline even if the chunks of
/// a newer release can't be fetched. All targets used to wait for the newer version and
/// stopped accepting requests at the deadline of the older one.
#[tokio::test]
async fn unreachable_newer_version_does_not_delay_the_older() {
    let fleet = Fleet::start(13).await;
    let target = fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    time::sleep(Duration::from_millis(800)).await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    wait_until("version 2 is staged", || {
        target.staged_chunks().iter().flatten().count() == CHUNKS
    })
    .await;
    let no_origin = fleet.net.address(3, 8000);
    fleet
        .store
        .put("config", "main", users::config_spec(2, no_origin, CHUNKS));
    time::sleep(Duration::from_millis(300)).await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 3}));
    let released = time::Instant::now();
    wait_until("the target serves version 2", || target.version() == 2).await;
    assert!(released.elapsed() < Duration::from_secs(8));
}

/// A request that is sent to a target with old weights in time, but waits there, must not
/// begin after the limit of the release.
#[tokio::test]
async fn request_that_waits_at_a_target_does_not_begin_on_old_weights() {
    let mut fleet = Fleet::start(18).await;
    fleet.bounds.weights_ms = 2_000;
    let behavior = Behavior::LateStream(Duration::from_millis(900));
    let _target = fleet.target(10, "llm", 1, behavior).await;
    let gateway = fleet.gateway(20);
    call_until_ok(gateway, Method::POST, "/plan/x").await;
    fleet
        .store
        .put("versions", "m0", json!({"model": "m0", "version": 2}));
    time::sleep(Duration::from_millis(1_200)).await;
    // The target would begin at 2,100 ms.
    let response = call(gateway, request(Method::POST, "/plan/x", "late")).await;
    assert_ne!(response.unwrap().status(), StatusCode::OK);
}
