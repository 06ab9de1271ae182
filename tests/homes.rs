//! Regions to which routes and accounts restrict requests: decoding, what a request may use, and
//! changes while it waits. No network is used.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::diff::ConfigChange;
use corianderramp::fleet::{Config, Phase, Target};
use corianderramp::node::SharedCatalog;
use corianderramp::place::homes::Owner;
use corianderramp::place::pool::{Pool, Requirements, TargetKey};
use corianderramp::place::scope::Scope;
use corianderramp::platform::decode;
use serde_json::{Value, json};

/// Version whose warnings a test counts.
const MALFORMED_VERSION: u64 = 7_700;

/// Configuration with the routes `plan` and `check` and the accounts `rounds` and `other`, of which
/// `plan` and `rounds` have these lists of regions.
fn spec(version: u64, route: &Value, account: &Value) -> Value {
    let route_spec = |name: &str, regions: &Value| {
        json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"),
            "kind": "safe", "timeout_ms": 3000, "service": "desk", "allowed_regions": regions})
    };
    json!({
        "version": version,
        "routes": [route_spec("plan", route), route_spec("check", &json!([]))],
        "services": [{"name": "desk"}],
        "tenants": [
            {"name": "rounds", "api_keys": ["key-1"], "allowed_regions": account},
            {"name": "other", "api_keys": ["key-2"]},
        ],
    })
}

fn config(version: u64, route: &Value, account: &Value) -> Config {
    decode::config(spec(version, route, account)).unwrap()
}

fn centers() -> Vec<(String, String)> {
    let pairs = [
        ("east-a", "east"),
        ("north-a", "north"),
        ("north-b", "north"),
        ("south-a", "south"),
    ];
    pairs.map(|(c, r)| (c.to_owned(), r.to_owned())).into()
}

/// Data centres that may serve a request of the route `plan` and an account, accepted under `own`.
fn permitted(own: &Config, newest: &Config, account: Option<&str>) -> Option<Vec<String>> {
    let route = own.routes.iter().find(|r| r.name == "plan").unwrap();
    let owner = Owner {
        config: own,
        route,
        account,
    };
    owner.data_centers(newest, &centers())
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

/// A list must be kept, and no list or an empty one must restrict nothing.
#[test]
fn lists_of_regions_are_decoded() {
    let lists = config(1, &json!(["south", "north", "south"]), &json!(["east"]));
    assert_eq!(lists.routes[1].homes, Some(names(&["north", "south"])));
    assert_eq!(lists.accounts[0].homes, Some(names(&["east"])));
    for open in [json!([]), json!(null)] {
        let lists = config(1, &open, &open);
        assert_eq!(
            (&lists.routes[1].homes, &lists.accounts[0].homes),
            (&None, &None)
        );
    }
    assert_eq!(lists.accounts[1].homes, None, "missing");
}

/// A list that can't be read was taken for no restriction, or cost the whole configuration.
#[test]
fn malformed_list_permits_nothing_and_the_rest_stays() {
    let malformed = [
        json!("north"),
        json!(7),
        json!(true),
        json!({"north": 1}),
        json!(["north", 7]),
        json!([null]),
        json!([["north"]]),
    ];
    for list in malformed {
        let by_route = config(1, &list, &json!([]));
        assert_eq!(by_route.routes[1].homes, Some(Vec::new()), "{list}");
        assert_eq!(by_route.routes[0].homes, None);
        assert_eq!(by_route.account("key-1").unwrap().name, "rounds");
        assert!(by_route.malformed_homes().eq(["plan"]));
        assert_eq!(
            permitted(&by_route, &by_route, Some("rounds")),
            Some(names(&[]))
        );

        let by_account = config(1, &json!(["north"]), &list);
        assert!(by_account.malformed_homes().eq(["rounds"]));
        assert_eq!(
            permitted(&by_account, &by_account, Some("rounds")),
            Some(names(&[]))
        );
        let other = permitted(&by_account, &by_account, Some("other"));
        assert_eq!(other, Some(names(&["north-a", "north-b"])));
    }
}

/// Nodes that follow a relay must know the same lists as the relay, malformed ones included.
#[test]
fn lists_survive_the_way_over_a_relay() {
    let old = config(1, &json!([]), &json!([]));
    let new = config(2, &json!(["north"]), &json!("malformed"));
    let whole = serde_json::to_vec(&new).unwrap();
    assert_eq!(serde_json::from_slice::<Config>(&whole).unwrap(), new);
    let change = ConfigChange::between(&old, &new).unwrap();
    let change = serde_json::to_vec(&change).unwrap();
    let change: ConfigChange = serde_json::from_slice(&change).unwrap();
    assert_eq!(change.apply(&old), new);
}

/// Requests of an account with homes reached other regions where the route had a list too, or the
/// other way round.
#[test]
fn route_and_account_both_bind() {
    let check = |route: Value, account: Value, expected: Option<Vec<String>>| {
        let config = config(1, &route, &account);
        assert_eq!(
            permitted(&config, &config, Some("rounds")),
            expected,
            "{route} {account}"
        );
    };
    check(json!([]), json!([]), None);
    check(
        json!(["north"]),
        json!([]),
        Some(names(&["north-a", "north-b"])),
    );
    check(json!([]), json!(["south"]), Some(names(&["south-a"])));
    check(
        json!(["north", "south"]),
        json!(["south", "east"]),
        Some(names(&["south-a"])),
    );
    check(json!(["north"]), json!(["south"]), Some(names(&[])));
    // Regions that no data centre is listed for.
    check(json!(["west"]), json!([]), Some(names(&[])));
    check(json!([""]), json!([]), Some(names(&[])));

    let config = config(1, &json!(["north"]), &json!(["south"]));
    let public = permitted(&config, &config, None);
    assert_eq!(public, Some(names(&["north-a", "north-b"])), "no account");
}

/// A request that was accepted under one configuration and placed under the next kept to neither.
#[test]
fn newest_and_own_configuration_both_bind() {
    let open = config(1, &json!([]), &json!([]));
    let north = config(2, &json!(["north"]), &json!([]));
    let both = config(3, &json!(["north", "east"]), &json!(["east"]));
    let account = Some("rounds");
    assert_eq!(
        permitted(&open, &north, account),
        Some(names(&["north-a", "north-b"])),
        "added"
    );
    assert_eq!(
        permitted(&north, &open, account),
        Some(names(&["north-a", "north-b"])),
        "removed"
    );
    assert_eq!(permitted(&open, &both, account), Some(names(&["east-a"])));
    assert_eq!(permitted(&north, &both, account), Some(names(&[])), "moved");

    let mut renamed = spec(4, &json!(["south"]), &json!(["south"]));
    renamed["routes"][0]["name"] = json!("plans");
    renamed["tenants"][0]["name"] = json!("round");
    let renamed = decode::config(renamed).unwrap();
    assert_eq!(permitted(&open, &renamed, account), None, "gone");
    let mut moved = spec(5, &json!(["south"]), &json!([]));
    moved["routes"][0]["path_prefix"] = json!("/elsewhere/");
    let moved = decode::config(moved).unwrap();
    assert_eq!(
        permitted(&open, &moved, account),
        Some(names(&["south-a"])),
        "same name"
    );
}

/// Two routes may share a name; the one for other requests must not decide.
#[test]
fn route_for_the_same_requests_is_looked_up() {
    let open = config(1, &json!([]), &json!([]));
    for position in [0, 2] {
        let mut twice = spec(2, &json!(["south"]), &json!([]));
        let mut twin = twice["routes"][0].clone();
        twin["path_prefix"] = json!("/another/");
        twin["allowed_regions"] = json!(["north"]);
        twice["routes"]
            .as_array_mut()
            .unwrap()
            .insert(position, twin);
        let twice = decode::config(twice).unwrap();
        assert_eq!(permitted(&open, &twice, None), Some(names(&["south-a"])));
    }
}

fn target(n: u8, data_center: &str) -> Entry<Target> {
    let id = format!("i-{n}");
    let value = Target {
        id: id.clone(),
        service: "desk".into(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        data_center: data_center.into(),
        slots: 4,
        phase: Phase::Ready,
        started: 1,
        has_engine: false,
        weights: None,
        cold_left: Duration::ZERO,
    };
    Entry {
        name: id,
        revision: 1,
        value,
    }
}

/// Pool with one target in each data centre, and their keys in the order of [`centers`].
fn pool() -> (Pool, Vec<TargetKey>) {
    let targets = (1..).zip(centers());
    let targets = targets.map(|(n, (center, _))| target(n, &center)).collect();
    let mut catalog = Catalog::default();
    catalog.replace_targets(1, targets);
    let mut pool = Pool::default();
    pool.sync(&catalog);
    let find = |n: u8| {
        pool.find(format!("10.0.0.{n}:80").parse().unwrap())
            .unwrap()
    };
    let keys = (1..5).map(find).collect();
    (pool, keys)
}

fn needs<'a>(scope: &'a Scope, excluded: &'a [TargetKey]) -> Requirements<'a> {
    Requirements {
        service: "desk",
        excluded,
        min_version: None,
        data_center: "east-a",
        scope,
    }
}

/// A full or failed home sent its requests elsewhere, or left them waiting for targets that may not
/// serve them.
#[test]
fn only_targets_in_homes_are_chosen() {
    let (mut pool, keys) = pool();
    let [_, north_a, north_b, south] = keys[..] else {
        panic!("four targets");
    };
    let now = Instant::now();
    let scope = Scope::new(Some(names(&["north-a", "north-b"])), Vec::new());
    for draw in [0.0, 0.5, 0.99] {
        let key = pool.choose(&needs(&scope, &[]), now, || draw);
        assert!([Some(north_a), Some(north_b)].contains(&key));
    }
    // The gateway's own data centre is no home, and far more requests run at the homes.
    for _ in 0..50 {
        pool.begin_request(north_a);
        pool.begin_request(north_b);
    }
    assert!(pool.choose(&needs(&scope, &[]), now, || 0.0).is_some());
    assert!(pool.has_choice(&needs(&scope, &[]), now));
    let excluded = [north_a];
    let last = needs(&scope, &excluded);
    assert_eq!(pool.choose(&last, now, || 0.0), Some(north_b));
    assert!(!pool.has_choice(&last, now));
    assert_eq!(
        pool.choose(&needs(&scope, &[north_a, north_b]), now, || 0.0),
        None
    );

    // Pauses of the permitted targets decide what a caller is told.
    for key in [north_a, north_b] {
        let lifetime = pool.get(key).unwrap().lifetime;
        pool.record_wait(key, lifetime, Duration::from_secs(2), now);
    }
    let pause = pool.pause(&needs(&scope, &[]), now).unwrap();
    assert_eq!(pause.time, Duration::from_secs(2));
    assert!(pool.pause(&needs(&Scope::ANY, &[]), now).is_none());
    assert!(!pool.lacks_home(&needs(&scope, &[])));
    assert!(pool.get(south).is_some_and(|e| e.active == 0));
}

/// Callers were told that targets are full or cut off although no target may ever serve them.
#[test]
fn lack_of_a_home_is_told_apart() {
    let (mut pool, _) = pool();
    let now = Instant::now();
    let none = Scope::new(Some(names(&[])), Vec::new());
    assert!(pool.lacks_home(&needs(&none, &[])));
    assert!(!pool.can_serve(&needs(&none, &[]), now));
    assert_eq!(pool.choose(&needs(&none, &[]), now, || 0.0), None);
    let south = Scope::new(Some(names(&["south-a"])), Vec::new());
    assert!(!pool.lacks_home(&needs(&south, &[])));
    // A home that is evacuated is still one.
    let evacuated = Scope::new(Some(names(&["south-a"])), vec!["south-a".to_owned()]);
    assert!(!pool.lacks_home(&needs(&evacuated, &[])));
    assert!(!pool.can_serve(&needs(&evacuated, &[]), now));

    let mut leaving = target(4, "south-a");
    leaving.value.phase = Phase::Draining;
    let mut catalog = Catalog::default();
    catalog.replace_targets(2, vec![target(1, "east-a"), leaving]);
    pool.sync(&catalog);
    assert!(pool.lacks_home(&needs(&south, &[])), "draining");
    catalog.replace_targets(3, Vec::new());
    pool.sync(&catalog);
    assert!(!pool.lacks_home(&needs(&Scope::ANY, &[])), "no restriction");
}

/// A request waits at the first target while the operator moves its homes; the next placement must
/// not use what held when it arrived.
#[test]
fn change_of_homes_holds_for_a_request_that_waits() {
    let (pool, keys) = pool();
    let [east, north_a, north_b, south] = keys[..] else {
        panic!("four targets");
    };
    let now = Instant::now();
    let catalog = SharedCatalog::default();
    catalog.update_config(1, config(1, &json!([]), &json!([])));
    let own = catalog.snapshot().config.clone().unwrap();
    let place = |excluded: &[TargetKey]| {
        let newest = catalog.snapshot().config.clone().unwrap();
        let scope = Scope::new(permitted(&own, &newest, Some("rounds")), Vec::new());
        let needs = needs(&scope, excluded);
        (pool.choose(&needs, now, || 0.0), pool.lacks_home(&needs))
    };
    assert_eq!(place(&[]).0, Some(east), "the gateway's own data centre");
    catalog.update_config(2, config(2, &json!(["north"]), &json!([])));
    assert!([Some(north_a), Some(north_b)].contains(&place(&[east]).0));
    assert_eq!(place(&[east, north_a, north_b]), (None, false));
    catalog.update_config(3, config(3, &json!([]), &json!(["south"])));
    assert_eq!(place(&[east]).0, Some(south));
    catalog.update_config(4, config(4, &json!(["west"]), &json!(["south"])));
    assert_eq!(place(&[east]), (None, true));
    catalog.update_config(5, config(5, &json!([]), &json!([])));
    assert_eq!(place(&[]).0, Some(east));
}

/// Counts warnings of malformed lists in [`MALFORMED_VERSION`].
struct Counter(AtomicUsize);

static WARNINGS: Counter = Counter(AtomicUsize::new(0));

impl log::Log for Counter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let version = record.key_values().get("version".into());
        let version = version.and_then(|v| v.to_u64());
        if record.level() == log::Level::Warn && version == Some(MALFORMED_VERSION) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// An operator must learn of a malformed list, and not again with each delivery of the same version.
#[test]
fn malformed_list_is_logged_once_for_each_version() {
    log::set_logger(&WARNINGS).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let version = MALFORMED_VERSION;
    let catalog = SharedCatalog::default();
    catalog.update_config(1, config(version - 1, &json!(["north"]), &json!([])));
    assert!(catalog.update_config(2, config(version, &json!("north"), &json!(7))));
    assert!(!catalog.update_config(2, config(version, &json!("north"), &json!(7))));
    // The store came back from a copy, and the version is written again.
    assert!(catalog.update_config(3, config(version, &json!("north"), &json!(7))));
    assert_eq!(WARNINGS.0.load(Ordering::Relaxed), 1);
}
