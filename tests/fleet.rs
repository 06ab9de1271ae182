//! Catalog updates, decoding of store objects and routing.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry, LISTED_AGE, Topic};
use corianderramp::fleet::diff::ConfigChange;
use corianderramp::fleet::rank::Rank;
use corianderramp::fleet::{Config, Phase, Release, Route, RouteKind, Target, routes};
use corianderramp::platform::decode;
use serde_json::{Value, json};

fn spec(service: &str, born: u64) -> Value {
    json!({"service": service, "address": "10.0.0.1:80", "zone": "z", "slots": 4,
        "state": "ready", "born": born, "models": [{"version": 1}]})
}

fn target(id: &str, born: u64) -> Target {
    decode::target(id, spec("s", born)).unwrap()
}

fn entry<T>(name: &str, revision: u64, value: T) -> Entry<T> {
    Entry {
        name: name.into(),
        revision,
        value,
    }
}

/// An older configuration that arrives late over another path must not replace a newer one.
#[test]
fn older_configuration_is_ignored() {
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

/// An update that was sent before a target was removed and arrives after its removal must not
/// bring the target back.
#[test]
fn removed_target_stays_removed() {
    let mut catalog = Catalog::default();
    catalog.update_target(entry("i-1", 5, Some(target("i-1", 1))));
    assert!(catalog.update_target(entry("i-1", 8, None)));
    assert!(!catalog.update_target(entry("i-1", 6, Some(target("i-1", 1)))));
    assert!(catalog.target("i-1").is_none());
    assert!(catalog.update_target(entry("i-1", 9, Some(target("i-1", 1)))));

    assert!(catalog.replace_targets(12, Vec::new()));
    assert!(!catalog.update_target(entry("i-1", 11, Some(target("i-1", 1)))));
}

/// A follower that applies the changes since its revision must know the same targets as its
/// relay, also those that were removed.
#[test]
fn target_changes_bring_a_follower_up_to_date() {
    let mut relay = Catalog::default();
    let list = |revision| {
        let names = ["i-1", "i-2", "i-3"];
        names
            .map(|n| entry(n, revision, target(n, 1)))
            .into_iter()
            .collect::<Vec<_>>()
    };
    relay.replace_targets(10, list(10));
    let mut follower = relay.clone();
    relay.update_target(entry("i-2", 11, None));
    relay.update_target(entry("i-3", 12, Some(target("i-3", 2))));
    relay.update_target(entry("i-4", 13, Some(target("i-4", 1))));
    relay.advance_targets(13);

    let changes = relay.target_changes(10).unwrap();
    assert_eq!((changes.changed.len(), changes.removed.len()), (2, 1));
    assert!(follower.apply_target_changes(10, 13, changes));
    assert_eq!(follower.targets, relay.targets);
    assert_eq!(follower.targets_revision, 13);
    assert!(relay.target_changes(0).is_none());
}

/// A relay that has just started knows of no removals before its list. It sent the changes since a
/// follower's older revision without them, and the follower kept targets that were gone.
#[test]
fn restarted_relay_sends_no_changes_across_its_first_list() {
    let names = ["i-1", "i-2"];
    let list = names.map(|n| entry(n, 10, target(n, 1)));
    let mut follower = Catalog::default();
    follower.replace_targets(10, list.to_vec());
    let mut relay = Catalog::default();
    relay.hint_targets(list.to_vec());
    relay.replace_targets(20, list[..1].to_vec());

    assert!(relay.target_changes(10).is_none());
    assert!(relay.target_changes(20).is_some());
    follower.replace_targets(20, relay.targets.clone());
    assert_eq!(follower.targets, relay.targets);
}

/// A relay that lists again after an outage never learned of a target that came and went
/// meanwhile. Only followers that may know such a target need the whole list.
#[test]
fn relay_that_lists_again_sends_no_changes_from_within_the_outage() {
    let first = entry("i-1", 10, target("i-1", 1));
    let mut relay = Catalog::default();
    relay.replace_targets(10, vec![first.clone()]);
    relay.replace_targets(20, vec![first.clone()]);

    assert!(relay.target_changes(15).is_none());
    assert!(relay.target_changes(10).is_some());
    relay.replace_targets(30, vec![first]);
    assert!(relay.target_changes(10).is_none());
    assert!(relay.target_changes(20).is_some());
    assert!(relay.target_changes(25).is_none());
}

/// Hints of unknown age must not count as the state of any revision, nor replace it.
#[test]
fn hinted_targets_give_way_to_a_complete_list() {
    let mut catalog = Catalog::default();
    assert!(catalog.hint_targets(vec![entry("i-1", 90, target("i-1", 1))]));
    assert_eq!(catalog.revision(Topic::Targets), 0);
    assert!(catalog.replace_targets(20, vec![entry("i-2", 20, target("i-2", 1))]));
    assert!(catalog.target("i-1").is_none());
    assert!(!catalog.hint_targets(vec![entry("i-1", 90, target("i-1", 1))]));
}

/// A new version of a configuration with many routes must reach followers as its difference,
/// and give them the same configuration.
#[test]
fn config_changes_give_the_same_configuration() {
    let route = |n: usize, priority| Route {
        priority: Rank::new(priority),
        host: "a.example".into(),
        prefix: format!("/{n:04}/"),
        ..config().routes[0].clone()
    };
    let routes = |range: std::ops::Range<usize>| range.map(|n| route(n, 1)).collect::<Vec<_>>();
    let old = Config {
        version: 1,
        routes: routes(0..1_400),
        ..config()
    };
    let mut next = Config {
        version: 2,
        routes: routes(1..1_401),
        ..config()
    };
    next.routes[700].priority = Rank::new(0);
    let change = ConfigChange::between(&old, &next).unwrap();
    assert_eq!((change.changed.len(), change.removed.len()), (2, 1));
    assert_eq!(change.apply(&old), next);
}

/// Versions that a node learned of together after an outage of the store, one from a list and
/// one from a watch, must count as known since the same time, whatever age is assumed.
#[test]
fn listed_version_is_known_since_its_list() {
    let listed_at = Instant::now() + LISTED_AGE;
    let mut catalog = Catalog::default();
    let release = |version| Release {
        model: "m".into(),
        version,
    };
    let released = listed_at.checked_sub(LISTED_AGE).unwrap();
    catalog.add_release("m", 1, release(2), released);
    catalog.mark_listed("m", 2);
    let watched_at = listed_at + Duration::from_millis(100);
    catalog.add_release("m", 2, release(3), watched_at);
    let history = catalog.release_history("m").unwrap();
    assert_eq!(history.known_since(2), Some(listed_at));
    assert_eq!(history.known_since(3), Some(watched_at));
    assert_eq!(history.known_since(4), None);
}

/// A late heartbeat from before a restart of a target must not restore its old state.
#[test]
fn update_of_an_earlier_lifetime_is_ignored() {
    let mut catalog = Catalog::default();
    catalog.update_target(entry("i-1", 5, Some(target("i-1", 200))));
    assert!(!catalog.update_target(entry("i-1", 6, Some(target("i-1", 100)))));
    assert_eq!(catalog.target("i-1").unwrap().started, 200);
}

/// If changes of a target arrive out of order, the newest one is kept.
#[test]
fn older_change_of_a_target_is_ignored() {
    let mut catalog = Catalog::default();
    catalog.update_target(entry("i-1", 7, Some(target("i-1", 1))));
    assert!(!catalog.update_target(entry("i-1", 6, None)));
    assert!(catalog.target("i-1").is_some());
    assert!(catalog.update_target(entry("i-1", 8, None)));
}

/// Incomplete, forged or mistyped objects of other writers must not be decoded as targets.
#[test]
fn malformed_targets_are_rejected() {
    let mut incomplete = spec("s", 1);
    incomplete.as_object_mut().unwrap().remove("address");
    let mut unknown_state = spec("s", 1);
    unknown_state["state"] = json!("excellent");
    let mut mistyped = spec("s", 1);
    mistyped["slots"] = json!("many");
    for spec in [
        incomplete,
        unknown_state,
        mistyped,
        json!(null),
        json!([1]),
        json!("x"),
    ] {
        assert!(decode::target("i-1", spec.clone()).is_err(), "{spec}");
    }
}

/// A target that holds only some of the layers can't serve requests on its own.
#[test]
fn incomplete_layers_count_as_no_weights() {
    let mut spec = spec("s", 1);
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

/// The longest matching prefix selects the route; requests of an unknown kind must never be
/// retried.
#[test]
fn longest_prefix_is_selected_and_unknown_kinds_run_once() {
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

/// Requests are split over the services of a route in proportion to their weights.
#[test]
fn split_follows_the_weights() {
    let config = config();
    let route = &config.routes[0];
    let ids: Vec<String> = (0..4000).map(|i| format!("id{i}")).collect();
    let x = ids
        .iter()
        .filter(|id| routes::select_service(route, id) == Some("x"))
        .count();
    assert!((3500..3700).contains(&x), "{x} of 4000");
}

/// A route with a service and an empty split was answered 404.
#[test]
fn empty_split_leaves_the_service() {
    let spec = json!({"version": 1, "services": [], "routes": [{"name": "book", "host": "a",
        "path_prefix": "/", "kind": "unsafe", "timeout_ms": 100, "service": "desk",
        "traffic_split": []}]});
    let config = decode::config(spec).unwrap();
    assert_eq!(
        routes::select_service(&config.routes[0], "id"),
        Some("desk")
    );
}

/// With two releases in quick succession, the deadline of each counts from its own release.
#[test]
fn deadline_of_each_version_counts_from_its_release() {
    let start = Instant::now();
    let deadline = Duration::from_secs(8);
    let mut catalog = Catalog::default();
    let release = |version| Release {
        model: "m".into(),
        version,
    };
    assert!(catalog.add_release("m", 1, release(2), start));
    assert!(catalog.add_release("m", 2, release(3), start + Duration::from_secs(4)));
    assert!(!catalog.add_release("m", 3, release(2), start));
    let required = |s| {
        catalog
            .release_history("m")
            .unwrap()
            .required_version(deadline, start + Duration::from_secs(s))
    };
    assert_eq!(
        [required(7), required(8), required(11), required(12)],
        [0, 2, 2, 3]
    );
}

/// A draining target must be recognized, so that it gets no new requests.
#[test]
fn draining_is_decoded() {
    let mut spec = spec("s", 1);
    spec["state"] = json!("draining");
    assert_eq!(decode::target("i", spec).unwrap().phase, Phase::Draining);
}
