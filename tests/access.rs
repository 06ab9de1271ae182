//! Lists of accounts that are missing or empty, as decoded and as copied between nodes. The comment
//! on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use bytes::Bytes;
use corianderramp::config::store::{Delta, Entry, Store};
use corianderramp::config::{View, view};
use corianderramp::digest;
use corianderramp::entry::auth;
use corianderramp::fleet::Config;
use corianderramp::fleet::access::{Access, Denied};
use corianderramp::fleet::catalog::Catalog;
use corianderramp::fleet::diff::ConfigChange;
use corianderramp::platform::decode;
use corianderramp::resource::{self, Kind, Metadata, Raw};
use serde_json::{Value, json};

fn config(version: u64, accounts: Option<Value>) -> Config {
    let mut spec = json!({"version": version, "services": [], "routes": [{"name": "book",
        "host": "a", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 800,
        "service": "desk"}]});
    if let Some(accounts) = accounts {
        spec["tenants"] = accounts;
    }
    decode::config(spec).unwrap()
}

fn one_account() -> Value {
    json!([{"name": "rounds", "api_keys": ["key-1"]}])
}

/// Result for a request without a key, with the key of the account, and with another one.
fn results(config: &Config) -> [Result<Option<&str>, Denied>; 3] {
    [None, Some("key-1"), Some("other")].map(|key| {
        let account = config.authenticate(false, key)?;
        Ok(account.map(|a| a.name.as_str()))
    })
}

/// An empty list was read as none, so that whoever took away the last account opened all routes.
#[test]
fn empty_list_lets_nobody_in_and_a_missing_one_everybody() {
    let unknown = Err(Denied::UnknownKey);
    assert_eq!(results(&config(1, None)), [Ok(None); 3]);
    assert_eq!(results(&config(1, Some(json!([])))), [unknown; 3]);
    let one = config(1, Some(one_account()));
    assert_eq!(results(&one), [unknown, Ok(Some("rounds")), unknown]);
    let without_keys = json!([{"name": "rounds", "api_keys": []}]);
    assert_eq!(results(&config(1, Some(without_keys))), [unknown; 3]);
    for accounts in [json!([]), one_account()] {
        let public = config(1, Some(accounts));
        assert_eq!(public.authenticate(true, None), Ok(None));
    }
}

/// A copy of the configuration that does not tell an empty list from a missing one would open the
/// routes at all nodes that follow a relay.
#[test]
fn copies_keep_the_difference() {
    let lists = [None, Some(json!([])), Some(one_account())];
    for old in &lists {
        for new in &lists {
            let (old, new) = (config(1, old.clone()), config(2, new.clone()));
            let whole = serde_json::to_vec(&new).unwrap();
            assert_eq!(serde_json::from_slice::<Config>(&whole).unwrap(), new);
            let change = ConfigChange::between(&old, &new).unwrap();
            let change = serde_json::to_vec(&change).unwrap();
            let change: ConfigChange = serde_json::from_slice(&change).unwrap();
            assert_eq!(results(&change.apply(&old)), results(&new));
        }
    }
}

/// A relay of an earlier version sends the same for an empty list and a missing one. Neither may be
/// guessed: 401 is final for callers, and letting them in can't be taken back.
#[test]
fn copy_of_an_earlier_version_decides_nothing_that_it_does_not_say() {
    for accounts in [None, Some(json!([])), Some(one_account())] {
        let mut copy = serde_json::to_value(config(1, accounts.clone())).unwrap();
        copy.as_object_mut().unwrap().remove("access");
        let copy: Config = serde_json::from_value(copy).unwrap();
        assert_eq!(copy.access, Access::Unknown);
        let known = if accounts == Some(one_account()) {
            Ok(Some("rounds"))
        } else {
            Err(Denied::Undecided)
        };
        let undecided = Err(Denied::Undecided);
        assert_eq!(results(&copy), [undecided, known, undecided]);
    }
}

/// After an outage, a store that came back from an older copy must not give the accounts back that
/// were taken away.
#[test]
fn older_configuration_brings_no_account_back() {
    let mut catalog = Catalog::default();
    assert!(catalog.update_config(10, config(2, Some(json!([])))));
    assert!(!catalog.update_config(11, config(1, Some(one_account()))));
    assert!(!catalog.update_config(12, config(1, None)));
    let known = catalog.config.unwrap();
    assert_eq!(results(&known), [Err(Denied::UnknownKey); 3]);
}

/// An account of the project's own interface with an empty list of keys was invalid, so that its
/// revision before stayed in force, and with it the keys that had been taken away.
#[test]
fn account_without_keys_lets_nobody_in() {
    let key = digest::Digest::of(b"secret");
    let entry = |revision, spec: Value| {
        let json = json!({"kind": "Account", "metadata": {"name": "rounds"}, "spec": spec});
        Arc::new(Entry {
            kind: Kind::Account,
            name: "rounds".into(),
            revision,
            json: Bytes::from(json.to_string()),
        })
    };
    let specs = [json!({"keys": [key]}), json!({"keys": []})];
    let (mut store, mut view) = (Store::default(), View::default());
    let mut admitted = Vec::new();
    for (revision, spec) in (1..).zip(specs) {
        store.apply(Delta {
            from: revision - 1,
            to: revision,
            snapshot: false,
            entries: vec![entry(revision, spec)],
        });
        let (next, invalid_objects) = view::build(&store, &view);
        assert_eq!(invalid_objects, []);
        view = next;
        let keys = auth::ApiKeys::new(&view);
        admitted.push(keys.account("Bearer secret").is_some());
    }
    assert_eq!(admitted, [true, false]);
}

/// A list of keys that was forgotten is a mistake, which must not lock the account out.
#[test]
fn account_without_a_list_of_keys_is_rejected() {
    let metadata = Metadata {
        name: "rounds".into(),
        ..Metadata::default()
    };
    let raw = Raw {
        kind: Kind::Account,
        metadata,
        spec: json!({"rate": 10.0}),
    };
    assert_eq!(resource::check(&raw).unwrap_err().field, "spec.keys");
}
