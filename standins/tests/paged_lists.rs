//! Lists of the store that are longer than one page. The comment on each test states the failure
//! that it guards against.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use corianderramp::fleet::catalog::Topic;
use corianderramp::node::settings::Role;
use corianderramp::platform::store::Client;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::users::{self, Behavior, Store, UNREADABLE};
use tokio::time;

use users_fleet::{Fleet, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Names that other writers gave to their entries. All sort before those of the targets.
const NAMES: [&str; 12] = [
    "a&b", "a+b", "a#b", "a%b", "a%41b", "a b", "a=b", "a?b", "a/b", "a\"b", "a\nb", "a\u{e4}b",
];
/// Time limit for a list.
const LIST_TIME: Duration = Duration::from_secs(2);
/// Time in which the deployment of these tests has to serve again after a start.
const RECOVERY: Duration = Duration::from_secs(12);
/// Hosts of the deployment.
const HOSTS: [u8; 2] = [10, 11];
/// Gateways of the deployment.
const GATEWAYS: [u8; 2] = [20, 21];

/// A page that ended with an entry whose name is no plain text of a query was the last one, or came
/// again and again.
#[tokio::test]
async fn list_goes_on_after_any_name() {
    let fleet = Fleet::start(0).await;
    let address = Store::address_for(fleet.net.address(1, 8000), 10);
    fleet.store.limit_pages(1);
    let mut broken = Vec::new();
    for name in NAMES {
        let mut names = [name, "a0", "i-10"];
        names.sort_unstable();
        for name in names {
            fleet.store.put("servers", name, json!({}));
        }
        let mut client = Client::new(address);
        let list = time::timeout(LIST_TIME, client.list(Topic::Targets)).await;
        let listed = list.ok().and_then(Result::ok).unwrap_or_default().items;
        if !listed.iter().map(|o| o.meta.name.as_str()).eq(names) {
            broken.push(name);
        }
        fleet.store.remove("servers", name);
    }
    assert!(broken.is_empty(), "lists are broken by {broken:?}");
}

/// A list whose pages repeat had no end, and the node's memory grew with it.
#[tokio::test]
async fn list_ends_when_a_page_repeats() {
    let fleet = Fleet::start(2).await;
    let address = Store::address_for(fleet.net.address(1, 8000), 10);
    for name in ["a0", "i-10", "i-11"] {
        fleet.store.put("servers", name, json!({}));
    }
    fleet.store.limit_pages(2);
    fleet.store.repeat_pages();
    let mut client = Client::new(address);
    let list = time::timeout(LIST_TIME, client.list(Topic::Targets)).await;
    assert!(list.expect("the list does not end").is_err());
}

/// Nodes that started while such an entry stood learned of no target and served nothing.
#[tokio::test]
async fn restarted_nodes_serve_beside_entries_of_other_writers() {
    let fleet = Fleet::start(1).await;
    for vm in HOSTS {
        fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await;
    }
    fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let folder = tempfile::tempdir().unwrap();
    let start = || {
        let hosts = HOSTS.map(|vm| fleet.process(Role::Host, vm, folder.path()));
        let gateways = GATEWAYS.map(|vm| fleet.process(Role::Gateway, vm, folder.path()));
        (hosts, gateways)
    };
    let processes = start();
    let gateways = GATEWAYS.map(|vm| fleet.net.address(vm, 8080));
    for gateway in gateways {
        call_until_ok(gateway, Method::GET, "/check/x").await;
    }
    fleet.store.limit_pages(1);
    for (name, spec) in NAMES.iter().zip(foreign_specs(&fleet).iter().cycle()) {
        for kind in ["config", "servers", "versions"] {
            fleet.store.put(kind, name, spec.clone());
        }
    }
    drop(processes);
    let _processes = start();
    let served = async {
        for gateway in gateways {
            call_until_ok(gateway, Method::GET, "/check/x").await;
            call_until_ok(gateway, Method::POST, "/plan/x").await;
        }
    };
    let in_time = time::timeout(RECOVERY, served).await;
    assert!(in_time.is_ok(), "not served within {RECOVERY:?}");
    for gateway in gateways {
        for i in 0..20 {
            let sent = request(Method::POST, "/book/x", &format!("b{i}"));
            assert_eq!(call(gateway, sent).await.unwrap().status(), StatusCode::OK);
        }
    }
}

/// Contents of entries that name no target: fields are missing, have another type or another word.
fn foreign_specs(fleet: &Fleet) -> Vec<Value> {
    let sound = users::target_spec("desk", fleet.net.address(30, 9000), 0);
    let fields = [
        ("service", json!("other")),
        ("service", json!(7)),
        ("state", json!("asleep")),
        ("address", json!("nowhere")),
        ("address", json!(UNREADABLE[1])),
        ("slots", json!(-1)),
        ("born", json!(UNREADABLE[2])),
    ];
    let changed = fields.into_iter().map(|(field, value)| {
        let mut spec = sound.clone();
        spec[field] = value;
        spec
    });
    let others = [json!({"owner": "somebody"}), json!("text"), json!([1])];
    changed.chain(others).collect()
}
