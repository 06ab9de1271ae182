//! What a node believes of the deployment.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Config, Phase, Release, RouteKind, Target, routes};
use corianderramp::platform::decode;
use serde_json::{Value, json};

fn entry(id: &str, born: u64) -> Value {
    json!({"service": id, "address": "10.0.0.1:80", "zone": "z", "slots": 4,
        "state": "ready", "born": born, "models": [{"version": 1}]})
}

fn target(id: &str, born: u64) -> Target {
    decode::target(id, entry("s", born)).unwrap()
}

fn known<T>(name: &str, revision: u64, value: T) -> Entry<T> {
    Entry {
        name: name.into(),
        revision,
        value,
    }
}

/// A configuration that arrives late, over another path, must not undo a newer one.
#[test]
fn configuration_never_goes_back() {
    let mut catalog = Catalog::default();
    let config = |version| Config {
        version,
        ..Config::default()
    };
    assert!(catalog.update_config(10, config(5)));
    assert!(!catalog.update_config(9, config(4)));
    assert!(!catalog.update_config(10, config(5)));
    assert!(!catalog.update_config(11, config(4)));
    assert_eq!(catalog.config.unwrap().version, 5);
}

/// A beat of a target's earlier lifetime must not bring its old state back.
#[test]
fn earlier_lifetime_does_not_come_back() {
    let mut catalog = Catalog::default();
    catalog.update_target(known("i-1", 5, Some(target("i-1", 200))));
    assert!(!catalog.update_target(known("i-1", 6, Some(target("i-1", 100)))));
    assert_eq!(catalog.target("i-1").unwrap().started, 200);
}

/// Changes that arrive out of order: the later one stands.
#[test]
fn older_change_of_a_target_is_ignored() {
    let mut catalog = Catalog::default();
    catalog.update_target(known("i-1", 7, Some(target("i-1", 1))));
    assert!(!catalog.update_target(known("i-1", 6, None)));
    assert!(catalog.target("i-1").is_some());
    assert!(catalog.update_target(known("i-1", 8, None)));
}

/// Entries of other writers: torn, forged or of unknown states. None may name a target.
#[test]
fn unusable_entries_name_no_target() {
    let mut torn = entry("s", 1);
    torn.as_object_mut().unwrap().remove("address");
    let mut forged = entry("s", 1);
    forged["state"] = json!("excellent");
    let mut typed = entry("s", 1);
    typed["slots"] = json!("many");
    for spec in [torn, forged, typed, json!(null), json!([1]), json!("x")] {
        assert!(decode::target("i-1", spec.clone()).is_err(), "{spec}");
    }
}

/// A target that holds only a part of the layers can't answer alone.
#[test]
fn part_of_the_layers_counts_as_no_weights() {
    let mut spec = entry("s", 1);
    spec["layers"] = json!({"from": 4, "to": 16, "version": 2});
    assert_eq!(decode::target("i-1", spec.clone()).unwrap().weights, None);
    spec["layers"] = json!({"from": 0, "to": 16, "version": 2});
    assert_eq!(decode::target("i-1", spec).unwrap().weights, Some(2));
}

fn config() -> Config {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "a", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 100, "traffic_split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]})
    };
    let spec = json!({
        "version": 3,
        "routes": [route("long", "/p/q/", "safe"), route("short", "/p/", "wonderful")],
        "services": [], "tenants": [{"name": "t", "api_keys": ["k2", "k1"]}],
    });
    decode::config(spec).unwrap()
}

/// The longest prefix decides; a kind that isn't known must never be repeated.
#[test]
fn longest_prefix_wins_and_unknown_kinds_run_once() {
    let config = config();
    assert_eq!(routes::find(&config, "a", "/p/q/r").unwrap().name, "long");
    let short = routes::find(&config, "a", "/p/x").unwrap();
    assert_eq!(
        (short.name.as_str(), short.kind),
        ("short", RouteKind::AtMostOnce)
    );
    assert!(routes::find(&config, "b", "/p/x").is_none());
    assert_eq!(config.account("k1").unwrap().name, "t");
    assert!(config.account("k3").is_none());
}

/// Parts of a route get requests by weight, and the same request the same part.
#[test]
fn split_follows_the_weights() {
    let config = config();
    let route = &config.routes[0];
    let ids: Vec<String> = (0..4000).map(|i| format!("id{i}")).collect();
    let x = ids
        .iter()
        .filter(|id| routes::service(route, id) == Some("x"))
        .count();
    assert!((3500..3700).contains(&x), "{x} of 4000");
}

/// Two versions in quick succession: each is due from its own naming on.
#[test]
fn each_version_is_due_from_its_own_naming() {
    let start = Instant::now();
    let bound = Duration::from_secs(8);
    let mut catalog = Catalog::default();
    let release = |version| Release {
        model: "m".into(),
        version,
    };
    assert!(catalog.add_release("m", 1, release(2), start));
    assert!(catalog.add_release("m", 2, release(3), start + Duration::from_secs(4)));
    assert!(!catalog.add_release("m", 3, release(2), start));
    let due = |s| {
        catalog
            .release_history("m")
            .unwrap()
            .required_version(bound, start + Duration::from_secs(s))
    };
    assert_eq!([due(7), due(8), due(11), due(12)], [0, 2, 2, 3]);
}

/// Draining is a state of its own, so that the target gets nothing new.
#[test]
fn draining_is_decoded() {
    let mut spec = entry("s", 1);
    spec["state"] = json!("draining");
    assert_eq!(decode::target("i", spec).unwrap().phase, Phase::Draining);
}
