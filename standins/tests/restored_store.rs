//! The store is away for a moment and comes back from a copy that lacks the last changes; their
//! revisions are given out again.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::users::{self, Behavior, Target};
use tokio::time;

use users_fleet::{CHUNKS, Fleet, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time within which the deployment of these tests requires that a change is in force; leaves
/// a busy machine time beyond the delays that the nodes choose.
const LIMIT: Duration = Duration::from_secs(6);
/// Time in which targets register again after the store has returned.
const REGISTER_TIME: Duration = Duration::from_secs(2);
/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(500);

struct Deployment {
    fleet: Fleet,
    gateway: SocketAddr,
    /// Plain targets on VMs 16 and 17.
    desks: [Target; 2],
}

impl Deployment {
    /// Starts a gateway that follows a relay.
    async fn start(index: u8) -> Self {
        let mut fleet = Fleet::start(index).await;
        fleet.bounds.config_ms = u64::try_from(LIMIT.as_millis()).unwrap();
        fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
        let desks = [
            fleet.target(16, "desk", 0, Behavior::Respond("ok")).await,
            fleet.target(17, "desk", 0, Behavior::Respond("ok")).await,
        ];
        fleet.host(10);
        let gateway = fleet.gateway(20);
        call_until_ok(gateway, Method::GET, "/check/x").await;
        Self {
            fleet,
            gateway,
            desks,
        }
    }

    fn spec(&self, vm: u8) -> Value {
        users::target_spec("desk", self.fleet.net.address(vm, 9000), 0)
    }

    /// Writes a configuration whose plain safe requests have the path prefix `prefix`.
    fn configure(&self, version: u64, prefix: &str) {
        let origin = self.fleet.net.address(2, 8000);
        let mut spec = users::config_spec(version, origin, CHUNKS);
        spec["routes"][2]["path_prefix"] = json!(prefix);
        self.fleet.store.put("config", "main", spec);
    }

    /// Lets the store go back to the copy with the changes up to `revision`.
    async fn restore(&self, revision: usize) {
        self.fleet.store.go_down();
        time::sleep(OUTAGE).await;
        self.fleet.store.restore(revision);
    }

    async fn status(&self, path: &str) -> Option<StatusCode> {
        let response = call(self.gateway, request(Method::GET, path, "status")).await;
        response.ok().map(|r| r.status())
    }

    /// Sends 20 requests that must be served.
    async fn send(&self) {
        for i in 0..20 {
            let request = request(Method::GET, "/check/x", &format!("d{i}"));
            let response = call(self.gateway, request).await;
            assert_eq!(response.unwrap().status(), StatusCode::OK);
        }
    }
}

async fn assert_in_time(deployment: &Deployment, path: &str) {
    let served = call_until_ok(deployment.gateway, Method::GET, path);
    let in_time = time::timeout(LIMIT, served).await;
    assert!(in_time.is_ok(), "{path} not in force within {LIMIT:?}");
}

/// What was written after the return had lower revisions than what was known from before, and was
/// ignored until they had caught up.
#[tokio::test]
async fn configuration_written_after_the_return_is_in_force() {
    let deployment = Deployment::start(0).await;
    let copy = deployment.fleet.store.revision();
    for version in 2..20 {
        deployment.configure(version, "/lost/");
    }
    assert_in_time(&deployment, "/lost/x").await;
    deployment.restore(copy).await;
    deployment.configure(20, "/new/");
    assert_in_time(&deployment, "/new/x").await;
}

/// A configuration that was confirmed before stays in force while the store has an older one.
#[tokio::test]
async fn older_configuration_of_the_copy_does_not_come_back() {
    let deployment = Deployment::start(1).await;
    let copy = deployment.fleet.store.revision();
    deployment.configure(2, "/lost/");
    assert_in_time(&deployment, "/lost/x").await;
    deployment.restore(copy).await;
    let end = time::Instant::now() + LIMIT;
    while time::Instant::now() < end {
        assert_eq!(deployment.status("/lost/x").await, Some(StatusCode::OK));
        let old = deployment.status("/check/x").await;
        assert_eq!(old, Some(StatusCode::NOT_FOUND));
        time::sleep(Duration::from_millis(50)).await;
    }
    // A gateway that starts now learns it from the relay.
    let gateway = deployment.fleet.gateway(21);
    call_until_ok(gateway, Method::GET, "/lost/x").await;
    // The operator writes it again, under a lower revision, then the next one.
    deployment.configure(2, "/lost/");
    deployment.configure(3, "/next/");
    assert_in_time(&deployment, "/next/x").await;
}

/// A target that leaves after the return was asked until revisions had caught up.
#[tokio::test]
async fn target_that_leaves_after_the_return_is_noticed() {
    let deployment = Deployment::start(2).await;
    let copy = deployment.fleet.store.revision();
    let mut changed = deployment.spec(17);
    for slots in 5..20 {
        changed["slots"] = json!(slots);
        deployment
            .fleet
            .store
            .put("servers", "i-17", changed.clone());
    }
    deployment.configure(2, "/second/");
    assert_in_time(&deployment, "/second/x").await;
    deployment.configure(3, "/check/");
    assert_in_time(&deployment, "/check/x").await;
    deployment.restore(copy).await;
    deployment.configure(3, "/check/");
    let mut draining = deployment.spec(16);
    draining["state"] = json!("draining");
    deployment.fleet.store.put("servers", "i-16", draining);
    time::sleep(LIMIT).await;
    let before = deployment.desks[0].received().len();
    deployment.send().await;
    assert_eq!(deployment.desks[0].received().len(), before);
}

/// A target that left in the lost part is registered in the copy, and would get requests again.
#[tokio::test]
async fn target_that_left_in_the_lost_part_stays_left() {
    let deployment = Deployment::start(3).await;
    let copy = deployment.fleet.store.revision();
    deployment.fleet.store.remove("servers", "i-16");
    let [left, staying] = &deployment.desks;
    let is_left = async || {
        let before = (left.received().len(), staying.received().len());
        deployment.send().await;
        let after = (left.received().len(), staying.received().len());
        after.0 == before.0 && after.1 > before.1
    };
    let noticed = async {
        while !is_left().await {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(time::timeout(LIMIT, noticed).await.is_ok());
    deployment.restore(copy).await;
    let end = time::Instant::now() + LIMIT / 2;
    while time::Instant::now() < end {
        assert!(is_left().await, "a target that left got a request");
    }
    // Under the same id, a new lifetime is another target.
    let mut again = deployment.spec(16);
    again["born"] = json!(2);
    deployment.fleet.store.put("servers", "i-16", again);
    let before = left.received().len();
    let used = async {
        while left.received().len() == before {
            deployment.send().await;
        }
    };
    assert!(time::timeout(LIMIT, used).await.is_ok());
}

/// The copy lacks a target that registered in the lost part: it is used until it has had the time
/// to register again, and no longer if it doesn't.
#[tokio::test]
async fn target_that_the_copy_lacks_has_time_to_register_again() {
    let deployment = Deployment::start(4).await;
    let copy = deployment.fleet.store.revision();
    let mut added = Vec::new();
    for vm in [18, 19] {
        let behavior = Behavior::Respond("ok");
        let target = deployment.fleet.target(vm, "desk", 0, behavior).await;
        wait_until_used(&deployment, &target).await;
        added.push(target);
    }
    // Only the new targets serve from now on.
    deployment.fleet.store.remove("servers", "i-16");
    deployment.fleet.store.remove("servers", "i-17");
    time::sleep(LIMIT).await;
    deployment.fleet.store.go_down();
    time::sleep(OUTAGE).await;
    deployment.fleet.store.restore(copy);
    let end = time::Instant::now() + REGISTER_TIME / 2;
    while time::Instant::now() < end {
        deployment.send().await;
    }
    let spec = deployment.spec(18);
    deployment.fleet.store.put("servers", "i-18", spec);
    time::sleep(REGISTER_TIME + LIMIT).await;
    let before: Vec<usize> = added.iter().map(|t| t.received().len()).collect();
    deployment.send().await;
    assert!(added[0].received().len() > before[0]);
    assert_eq!(added[1].received().len(), before[1]);
}

async fn wait_until_used(deployment: &Deployment, target: &Target) {
    let used = async {
        while target.received().is_empty() {
            deployment.send().await;
        }
    };
    assert!(time::timeout(LIMIT, used).await.is_ok());
}
