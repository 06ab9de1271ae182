//! Figures in the platform's objects and messages: any size, with or without a decimal point. The
//! comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::Catalog;
use corianderramp::fleet::classes::{self, Classes};
use corianderramp::fleet::diff::ConfigChange;
use corianderramp::fleet::rank::Rank;
use corianderramp::fleet::{Config, routes};
use corianderramp::node::message::{self, Body, SlotRequest};
use corianderramp::place::forecast::Forecast;
use corianderramp::place::returning::{Queue, Waiter};
use corianderramp::platform::{decode, readable, request};
use corianderramp::weights::schedule::Schedule;
use http::HeaderMap;
use serde_json::{Value, json};

/// Numbers that the pages allow for any figure, beyond what the types of the code held before.
const LARGE: [&str; 8] = [
    "256",
    "300",
    "65536",
    "4294967296",
    "9223372036854775808",
    "18446744073709551615",
    "1e30",
    "1e400",
];

/// Paths to all figures of [`config_spec`].
const CONFIG_FIGURES: [&str; 27] = [
    "/version",
    "/routes/0/timeout_ms",
    "/routes/0/target_latency_ms",
    "/routes/0/gap_target_ms",
    "/routes/0/priority",
    "/routes/0/max_attempts",
    "/routes/0/traffic_split/0/weight",
    "/services/0/cold_start_s",
    "/services/0/cold_per_s",
    "/services/0/engine/slots",
    "/services/0/engine/step_ms",
    "/services/0/engine/per_seq_ms",
    "/services/0/engine/context_per_k",
    "/services/0/engine/pairs_per_m",
    "/services/0/engine/chunk",
    "/services/0/engine/stride",
    "/services/0/engine/read_per_s",
    "/services/0/engine/usual/prompt",
    "/services/0/engine/usual/answer",
    "/services/1/link_mbps",
    "/limits/max_header_bytes",
    "/limits/max_body_bytes",
    "/limits/header_timeout_ms",
    "/limits/idle_timeout_ms",
    "/tenants/0/priority",
    "/services/0/engine/layers",
    "/services/0/max_connections",
];

/// Paths to all figures of [`target_spec`].
const TARGET_FIGURES: [&str; 8] = [
    "/slots",
    "/born",
    "/cold_remaining_ms",
    "/sequence",
    "/models/0/version",
    "/layers/from",
    "/layers/to",
    "/layers/version",
];

fn config_spec() -> Value {
    json!({
        "version": 7,
        "routes": [{"name": "plan", "host": "a", "path_prefix": "/plan/", "kind": "streaming",
            "timeout_ms": 6000, "target_latency_ms": 400, "gap_target_ms": 300, "priority": 1,
            "traffic_split": [{"service": "llm", "weight": 90}, {"service": "new", "weight": 10}],
            "max_attempts": 2, "public": false, "stream_resume": true}],
        "services": [
            {"name": "llm", "max_connections": 100, "cold_start_s": 3, "cold_per_s": 26, "engine": {
                "slots": 12, "step_ms": 6.73, "per_seq_ms": 0.02, "context_per_k": 0.007,
                "pairs_per_m": 0.6, "chunk": 2048, "stride": 7, "read_per_s": 30600,
                "usual": {"prompt": 941, "answer": 125}, "layers": 16,
                "models": [{"name": "m0"}]}},
            {"name": "weights", "origin": "127.0.0.1:80", "link_mbps": 15},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "rounds", "api_keys": ["key-1"], "priority": 1}],
    })
}

fn target_spec() -> Value {
    json!({"service": "llm", "address": "10.0.0.1:80", "zone": "z", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 3, "born": 1,
        "models": [{"name": "m0", "version": 1}], "layers": {"from": 0, "to": 16, "version": 1}})
}

/// Spec with the number `text` at `path`, as the store's client decodes it.
fn with(mut spec: Value, path: &str, text: &str) -> Value {
    *spec.pointer_mut(path).unwrap() = json!("FIGURE");
    let json = spec.to_string().replace("\"FIGURE\"", text);
    readable::from_slice(json.as_bytes()).unwrap()
}

fn decoded(path: &str, text: &str) -> Config {
    decode::config(with(config_spec(), path, text))
        .unwrap_or_else(|e| panic!("{path} as {text}: {e}"))
}

/// A figure that was too large for its type or was written as a fraction kept the whole
/// configuration out: keys that were taken away stayed in force, and new routes were missing.
#[test]
fn any_number_is_taken_in_any_figure_of_a_configuration() {
    for path in CONFIG_FIGURES {
        let usual = config_spec().pointer(path).unwrap().clone();
        let fraction = format!("{:.1}", usual.as_f64().unwrap());
        for text in LARGE.into_iter().chain(["0", "0.5", "3.0", "1e-300"]) {
            let config = decoded(path, text);
            assert_eq!(config.account("key-1").unwrap().name, "rounds");
            assert!(routes::find(&config, "a", "/plan/x").is_some());
        }
        if usual.is_u64() {
            let whole = decode::config(config_spec()).unwrap();
            assert_eq!(decoded(path, &fraction), whole, "{path} as {fraction}");
        }
    }
}

/// A target, a release or an engine's report with such a figure was not seen at all.
#[test]
fn any_number_is_taken_in_any_figure_of_a_target_or_release() {
    for path in TARGET_FIGURES {
        for text in LARGE.into_iter().chain(["0", "4.0"]) {
            let spec = with(target_spec(), path, text);
            decode::target("i-1", spec).unwrap_or_else(|e| panic!("{path} as {text}: {e}"));
        }
    }
    for (text, version) in [("3.0", 3), ("70000", 70_000), ("1e30", u64::MAX)] {
        let spec = with(json!({"model": "m0", "version": 1}), "/version", text);
        assert_eq!(decode::release(spec).unwrap().version, version);
    }
}

/// The sum of the released versions, by which followers of a relay learn of a release, overflowed.
#[test]
fn sum_of_the_largest_versions_does_not_overflow() {
    let mut catalog = Catalog::default();
    for model in ["m0", "m1"] {
        let spec = with(json!({"model": model, "version": 1}), "/version", "1e30");
        catalog.add_release(model, 1, decode::release(spec).unwrap(), Instant::now());
    }
    assert_eq!(catalog.release_sum(), u64::MAX);
}

/// A negative count is no figure; it must not be taken for a large or a small one.
#[test]
fn negative_counts_are_rejected() {
    for path in TARGET_FIGURES
        .iter()
        .filter(|p| !p.ends_with("_ms") && **p != "/sequence")
    {
        let spec = with(target_spec(), path, "-1");
        assert!(decode::target("i-1", spec).is_err(), "{path}");
    }
}

/// A time limit beyond the range of a duration counted as 0: each request of the route was ended
/// at once. Sums with the longest times must not overflow either.
#[test]
fn huge_figures_do_not_turn_into_small_ones() {
    let now = Instant::now();
    for text in ["1e15", "1e300", "1e400"] {
        let route = &decoded("/routes/0/timeout_ms", text).routes[0];
        assert!(route.timeout >= Duration::from_secs(24 * 60 * 60), "{text}");
        assert!(now + route.timeout * 2 > now);
    }
    for path in CONFIG_FIGURES.iter().filter(|p| p.contains("/engine/")) {
        for text in LARGE.into_iter().chain(["1e300", "0"]) {
            let config = decoded(path, text);
            let engine = config.services[0].engine.as_ref().unwrap();
            let forecast = Forecast::new(engine);
            let _ =
                engine.slot_time() + forecast.reading(u32::MAX) + forecast.mean_slack(now - now);
            let _ = forecast.first_event(u32::MAX, u32::MAX) + forecast.decode(u32::MAX, u32::MAX);
            let _ = forecast.timing(Duration::from_millis(400), u32::MAX);
        }
    }
    for text in LARGE.into_iter().chain(["1e-300", "1e-18", "1e-9"]) {
        let config = decoded("/services/1/link_mbps", text);
        let mbps = config.services[1].origin.unwrap().mbps;
        let _ = Schedule::new(mbps, u32::MAX, Duration::ZERO).is_due(usize::MAX);
    }
}

/// Weights below a thousandth counted as 0 and those above a million as equal, so that one service
/// got requests that belong to another.
#[test]
fn weights_of_any_size_keep_their_proportion() {
    for unit in [1e-30, 1e-4, 0.1, 1.0, 1e5, 1e9, 1e200] {
        let mut spec = config_spec();
        for (index, weight) in [9.0, 1.0].into_iter().enumerate() {
            spec["routes"][0]["traffic_split"][index]["weight"] = json!(weight * unit);
        }
        let config = decode::config(spec).unwrap();
        let ids: Vec<String> = (0..4_000).map(|i| format!("id{i}")).collect();
        let is_first = |id: &&String| routes::select_service(&config.routes[0], id) == Some("llm");
        let first = ids.iter().filter(is_first).count();
        assert!((3_500..3_700).contains(&first), "{first} of 4000 by {unit}");
    }
}

/// Headers with a decimal point, or beyond the range of their type, counted as missing: callers
/// got the longest time limit, and long prompts counted as empty.
#[test]
fn headers_may_have_numbers_of_any_size() {
    let mut headers = HeaderMap::new();
    headers.insert("x-corianderramp-deadline-ms", "1500.0".parse().unwrap());
    headers.insert(
        "x-corianderramp-token-count",
        "1460.0,99999999999".parse().unwrap(),
    );
    let read = request::caller_headers(&headers);
    assert_eq!(read.timeout, Some(Duration::from_millis(1_500)));
    assert_eq!((read.prompt_tokens, read.output_tokens), (1_460, u32::MAX));
    headers.insert("x-corianderramp-length-hint", "70.0".parse().unwrap());
    assert_eq!(request::caller_headers(&headers).output_tokens, 70);
}

/// Ranks in their order, each as a number in JSON.
const RANKS: [&str; 14] = [
    "0",
    "1.0",
    "1.5",
    "2",
    "5",
    "255",
    "256",
    "300",
    "65536",
    "65536.25",
    "4294967296",
    "9007199254740993",
    "1e20",
    "1e300",
];

fn ranks() -> Vec<Rank> {
    let rank = |text: &&str| decoded("/routes/0/priority", text).routes[0].priority;
    let mut ranks: Vec<Rank> = RANKS.iter().map(rank).collect();
    let mut spec = config_spec();
    spec["routes"][0]
        .as_object_mut()
        .unwrap()
        .remove("priority");
    ranks.push(decode::config(spec).unwrap().routes[0].priority);
    ranks
}

/// Ranks beyond 255 must keep their order where they are compared, and those that are not stated
/// come last.
#[test]
fn ranks_keep_their_order() {
    let ranks = ranks();
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    let now = Instant::now();
    let mut queue = Queue::default();
    for rank in ranks.iter().rev() {
        let waiter = Waiter {
            priority: *rank,
            end: now + Duration::from_secs(5),
            service: 1,
            account: 1,
            bytes: 10,
        };
        queue.enter(&waiter, *rank, now).unwrap();
    }
    assert_eq!(queue.wake(1, ranks.len(), now), ranks);
}

/// An engine tells few classes apart. Of the ranks of a configuration, a more urgent one must not
/// be in a later class, and as many as there are classes must differ, however large they are.
#[test]
fn ranks_keep_their_order_in_classes() {
    let ranks = ranks();
    for known in ranks.windows(usize::from(classes::COUNT)) {
        let classes = Classes::new(known.to_vec());
        let all: Vec<u8> = known.iter().map(|r| classes.class(*r)).collect();
        assert_eq!(all, [0, 1, 2, 3, 4], "{known:?}");
        assert!(ranks.iter().map(|r| classes.class(*r)).is_sorted());
    }
    for pair in ranks.windows(2) {
        let classes = Classes::new(pair.to_vec());
        assert!(classes.class(pair[0]) < classes.class(pair[1]), "{pair:?}");
    }
    let usual = Classes::new([1, 2].map(Rank::new).into());
    assert_eq!(
        [0, 1, 2, 3, 4, 9].map(|r| usual.class(Rank::new(r))),
        [0, 1, 2, 3, 4, 4]
    );
}

/// A relay's copy and a slot request must carry the same rank, or hosts order requests otherwise
/// than gateways. A gateway of an earlier version states the whole part only.
#[test]
fn ranks_are_the_same_at_other_nodes() {
    for rank in ranks() {
        let mut config = decode::config(config_spec()).unwrap();
        let old = config.clone();
        config.version = 8;
        config.routes[0].priority = rank;
        config.accounts[0].priority = Some(rank);
        let change = ConfigChange::between(&old, &config).unwrap();
        let json = serde_json::to_vec(&change).unwrap();
        let change: ConfigChange = serde_json::from_slice(&json).unwrap();
        assert_eq!(change.apply(&old), config);
        let request = SlotRequest {
            rank: Some(message::Rank::from(rank)),
            ..SlotRequest::default()
        };
        let Some(Body::SlotRequest(received)) =
            message::decode(&message::encode(Body::SlotRequest(request)))
        else {
            panic!("decoded a message of another kind");
        };
        assert_eq!(received.rank(), rank);
    }
    let earlier = SlotRequest {
        priority: 2,
        ..SlotRequest::default()
    };
    assert_eq!(earlier.rank(), Rank::new(2));
}
