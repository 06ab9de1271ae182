//! Configurations of which parts can't be read: what they concern is refused, the rest is in force.
//! The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::fleet::access::{Access, Denied};
use corianderramp::fleet::diff::ConfigChange;
use corianderramp::fleet::rank::Rank;
use corianderramp::fleet::{Config, Limits, RouteKind, routes};
use corianderramp::platform::decode;
use serde_json::{Value, json};

fn spec() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "a", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": service,
            "max_attempts": 2, "public": false, "stream_resume": true, "gap_target_ms": 300})
    };
    json!({
        "version": 7,
        "routes": [route("book", "unsafe", "desk"), route("plan", "streaming", "llm")],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {"slots": 4, "step_ms": 7,
            "per_seq_ms": 0.02, "read_per_s": 30000, "models": [{"name": "m0"}], "chunk": 2048}}],
        "limits": {"max_header_bytes": 9000, "max_body_bytes": 70000,
            "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
        "tenants": [{"name": "rounds", "api_keys": ["key-1"], "priority": 1},
            {"name": "other", "api_keys": ["key-2"]}],
    })
}

/// Configuration with `value` at a path; without what is there if it is `None`.
fn with(path: &str, value: Option<Value>) -> Config {
    let mut spec = spec();
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = spec.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(fields), None) => _ = fields.remove(name),
        (Value::Object(fields), Some(value)) => _ = fields.insert(name.to_owned(), value),
        (list, value) => list[name.parse::<usize>().unwrap()] = value.unwrap_or_default(),
    }
    decode::config(spec).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Values of another type than any field that must be there has.
fn mistyped() -> [Option<Value>; 4] {
    [None, Some(json!(null)), Some(json!({})), Some(json!([[]]))]
}

/// Service for a request; `None` if it is refused.
fn service<'a>(config: &'a Config, path: &str) -> Option<&'a str> {
    let route = routes::find(config, "a", path)?;
    let service = routes::select_service(route, "id")?;
    let is_readable = config.service(service).is_none_or(|s| !s.is_unreadable);
    is_readable.then_some(service)
}

fn assert_rest_holds(config: &Config, path: &str) {
    assert_eq!(config.version, 7);
    assert_eq!(service(config, "/plan/x"), Some("llm"), "{path}");
    assert!(!config.faults.is_empty(), "{path}");
}

/// A route of which a field can't be read kept the whole version out. Its own requests must not
/// fall to another route, which goes elsewhere, nor get 404, which callers don't repeat.
#[test]
fn unreadable_route_refuses_its_own_requests() {
    for field in ["kind", "timeout_ms", "service"] {
        for value in mistyped() {
            let path = format!("/routes/0/{field}");
            let config = with(&path, value);
            assert_rest_holds(&config, &path);
            assert!(routes::find(&config, "a", "/book/x").is_some(), "{path}");
            assert_eq!(service(&config, "/book/x"), None, "{path}");
            assert_eq!(config.access, Access::Keyed);
            assert!(
                config.faults[0].part.starts_with("route book"),
                "{:?}",
                config.faults
            );
        }
    }
    for (field, value) in [("public", json!("yes")), ("traffic_split", json!("desk"))] {
        let config = with(&format!("/routes/0/{field}"), Some(value));
        assert_rest_holds(&config, field);
        assert_eq!(service(&config, "/book/x"), None, "{field}");
    }
}

/// Without its host or prefix, nobody knows which requests are a route's own: those without a route
/// must be refused instead of answered 404.
#[test]
fn route_without_a_place_leaves_it_open_which_requests_have_one() {
    for field in ["/host", "/path_prefix", ""] {
        for value in mistyped().into_iter().skip(usize::from(field.is_empty())) {
            let path = format!("/routes/0{field}");
            let config = with(&path, value.filter(|v| !field.is_empty() || !v.is_object()));
            assert_rest_holds(&config, &path);
            assert!(config.lacks_routes, "{path}");
            assert!(routes::find(&config, "a", "/book/x").is_none());
        }
    }
    for value in mistyped().into_iter().filter(|v| v != &Some(json!([[]]))) {
        let config = with("/routes", value);
        assert!(config.lacks_routes && config.routes.is_empty());
        assert!(config.account("key-1").is_some());
    }
    assert!(!decode::config(spec()).unwrap().lacks_routes);
}

/// Fields that only shape placement must not stop a route.
#[test]
fn unreadable_hints_have_their_defaults() {
    let read = |field: &str| with(&format!("/routes/1/{field}"), Some(json!([["?"]])));
    let plan = |config: &Config| config.routes[1].clone();
    for field in [
        "name",
        "priority",
        "target_latency_ms",
        "gap_target_ms",
        "max_attempts",
        "stream_resume",
    ] {
        let config = read(field);
        assert_rest_holds(&config, field);
        assert_eq!(config.faults.len(), 1, "{field}");
    }
    assert_eq!(plan(&read("priority")).priority, Rank::LAST);
    assert_eq!(
        plan(&read("target_latency_ms")).objective,
        Duration::from_millis(800)
    );
    assert_eq!(plan(&read("max_attempts")).max_attempts, 1);
    assert_eq!(
        plan(&read("stream_resume")).kind,
        RouteKind::Stream { resumable: false }
    );
    let limits = with("/limits/max_body_bytes", Some(json!("?"))).limits;
    let expected = Limits {
        head_bytes: 9_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
        ..Limits::default()
    };
    assert_eq!(limits, expected);
    let config = with("/tenants/0/priority", Some(json!(-1)));
    assert_eq!(
        (config.accounts[0].priority, config.access),
        (None, Access::Keyed)
    );
    assert_eq!(config.faults.len(), 1);
}

/// An account that can't be read must neither let everybody in nor turn its callers away for good;
/// the keys of the others hold.
#[test]
fn unreadable_account_leaves_unknown_keys_undecided() {
    for path in ["/tenants/0/name", "/tenants/0/api_keys", "/tenants/0"] {
        for value in mistyped()
            .into_iter()
            .skip(usize::from(path == "/tenants/0"))
        {
            let config = with(
                path,
                value.filter(|v| path != "/tenants/0" || !v.is_object()),
            );
            assert_rest_holds(&config, path);
            for key in [None, Some("key-1"), Some("unheard of")] {
                let denied = config.authenticate(false, key);
                assert_eq!(denied, Err(Denied::Undecided), "{path}");
            }
            let other = config.authenticate(false, Some("key-2")).unwrap();
            assert_eq!(other.unwrap().name, "other");
            assert_eq!(config.authenticate(true, None), Ok(None));
        }
    }
    let config = with("/tenants/0/api_keys", Some(json!(["key-1", 7])));
    assert!(config.authenticate(false, Some("key-1")).is_ok());
    assert_eq!(
        config.authenticate(false, Some("7")),
        Err(Denied::Undecided)
    );
    for value in mistyped().into_iter().flatten().filter(|v| !v.is_array()) {
        let config = with("/tenants", Some(value));
        assert_rest_holds(&config, "/tenants");
        let denied = config.authenticate(false, Some("key-1"));
        assert_eq!(denied, Err(Denied::Undecided));
    }
}

/// Requests for a model engine whose parameters can't be read would be sent like those for a plain
/// service, to any version of the weights.
#[test]
fn unreadable_service_refuses_its_requests() {
    for field in ["slots", "step_ms", "per_seq_ms", "read_per_s"] {
        for value in mistyped() {
            let config = with(&format!("/services/1/engine/{field}"), value);
            assert_eq!(service(&config, "/plan/x"), None, "{field}");
            assert_eq!(service(&config, "/book/x"), Some("desk"), "{field}");
        }
    }
    for path in ["/services/1/name", "/services/1"] {
        let config = with(path, Some(json!(7)));
        assert_eq!(service(&config, "/plan/x"), None, "{path}");
        assert_eq!(service(&config, "/book/x"), Some("desk"), "{path}");
    }
    for value in [None, Some(json!(null)), Some(json!({}))] {
        let config = with("/services", value);
        assert_eq!(
            (service(&config, "/plan/x"), service(&config, "/book/x")),
            (None, None)
        );
    }
    let config = with("/services/1/engine/chunk", Some(json!("?")));
    assert_rest_holds(&config, "chunk");
    assert_eq!(config.services[1].engine.as_ref().unwrap().step_tokens, 0);
}

/// A configuration without a readable version has no place in the order of versions.
#[test]
fn configuration_without_a_version_is_rejected() {
    for spec in [json!(null), json!([]), json!("x"), json!({"routes": []})] {
        assert!(decode::config(spec).is_err());
    }
    let mut unreadable = spec();
    unreadable["version"] = json!({});
    assert!(decode::config(unreadable).is_err());
}

/// Nodes that follow a relay must refuse the same requests.
#[test]
fn copies_keep_what_is_unreadable() {
    let old = decode::config(spec()).unwrap();
    for path in [
        "/routes/0/kind",
        "/routes/0/host",
        "/services/1/engine",
        "/tenants/0/name",
    ] {
        let mut new = with(path, Some(json!("?")));
        new.version = 8;
        let change = ConfigChange::between(&old, &new).unwrap();
        let json = serde_json::to_vec(&change).unwrap();
        let change: ConfigChange = serde_json::from_slice(&json).unwrap();
        assert_eq!(change.apply(&old), new, "{path}");
    }
}
