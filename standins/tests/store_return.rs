//! The store answers again after an outage in which the configuration changed.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::Method;
use serde_json::json;
use standins::users::{self, Behavior};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, call_until_ok};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Hosts.
const RELAYS: [u8; 2] = [10, 11];
/// Gateways in the region of the two hosts, which are its relays.
const GATEWAYS: std::ops::Range<u8> = 20..32;
/// Gateways that start during the outage.
const LATE: std::ops::Range<u8> = 32..36;
/// Time within which the deployment requires that a change is in force.
const LIMIT: Duration = Duration::from_secs(4);

/// All nodes had turned to the store while it was silent, and each listed the whole configuration
/// when it came back, over the same link as the relays: the lists timed out and were repeated.
#[tokio::test]
async fn only_relays_list_after_an_outage() {
    let mut fleet = Fleet::start(0).await;
    fleet.bounds.config_ms = u64::try_from(LIMIT.as_millis()).unwrap();
    for vm in RELAYS {
        fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await;
        fleet.host(vm);
    }
    fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
    let gateways: Vec<_> = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
    for gateway in &gateways {
        call_until_ok(*gateway, Method::GET, "/check/x").await;
    }
    for kind in ["config", "servers", "versions"] {
        fleet.store.ignore_calls(kind);
    }
    // All nodes notice that the relays have lost the store, and some start meanwhile.
    time::sleep(LIMIT).await;
    let late = LATE.map(|vm| fleet.gateway(vm));
    let gateways: Vec<_> = gateways.into_iter().chain(late).collect();
    time::sleep(LIMIT * 3 / 2).await;
    let before = fleet.store.listing_vms("config").len();
    let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
    config["routes"][2]["path_prefix"] = json!("/second/");
    fleet.store.put("config", "main", config);
    // The relays reach the store a little later than the others.
    for vm in RELAYS {
        fleet.store.reject_vm(vm);
    }
    fleet.store.answer_all();
    time::sleep(LIMIT / 4).await;
    fleet.store.accept_all();
    let in_force = async {
        for gateway in &gateways {
            call_until_ok(*gateway, Method::GET, "/second/x").await;
        }
    };
    let in_time = time::timeout(LIMIT * 2, in_force).await;
    assert!(in_time.is_ok(), "not in force within {LIMIT:?}");
    time::sleep(LIMIT).await;
    let lists = fleet.store.listing_vms("config").split_off(before);
    let by_gateways = lists.iter().filter(|vm| !RELAYS.contains(vm)).count();
    assert!(by_gateways <= gateways.len() / 4, "lists of VMs {lists:?}");
    assert!(!lists.is_empty());
}
