//! A target pauses within an answer while the store's objects about it change: a request that
//! was accepted must get its whole answer all the same.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures_util::future;
use kept_calls::{Deployment, Kind, Routes};
use serde_json::{Value, json};
use standins::users::{self, Pause, Point, Silence};
use tokio::time;

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// Length of the pause.
const LENGTH: Duration = Duration::from_millis(1_500);
/// Time from the start of a request to the change; the pause has begun by then.
const CHANGE_TIME: Duration = Duration::from_millis(300);
/// Change of the store.
type Change = fn(&Deployment);

/// Number of the VM of the only engine.
const ENGINE: u8 = 10;
/// Number of the VM of the only plain target.
const PLAIN: u8 = 20;

/// Sends a request to each gateway of a deployment with one target, makes a change while they
/// wait and checks the answers.
async fn survives(
    index: u8,
    kind: Kind,
    point: Point,
    name: &str,
    change: impl FnOnce(&Deployment),
) {
    let (engines, plain) = if kind == Kind::Stream { (1, 0) } else { (0, 1) };
    let deployment = Deployment::start(index, engines, plain, Routes::default()).await;
    let target = &deployment.targets[0];
    target.set_pause(Some(Pause {
        every: 1,
        point,
        silence: Silence::For(LENGTH),
    }));
    let arrivals = target.received().len();
    let mut callers: Vec<_> = (0..3).map(|n| deployment.caller(n)).collect();
    let answers = future::join_all(callers.iter_mut().map(|c| c.send(kind, DEADLINE)));
    let changed = async {
        time::sleep(CHANGE_TIME).await;
        change(&deployment);
    };
    let (answers, ()) = future::join(answers, changed).await;
    for answer in answers {
        assert!(answer.is_whole, "{name}, {point:?}: {answer:?}");
    }
    let arrivals = target.received().len() - arrivals;
    assert_eq!(arrivals, 3, "{name}, {point:?}");
}

/// Writes a configuration that `edit` changed.
fn put_config(deployment: &Deployment, edit: impl FnOnce(&mut Value)) {
    let origin = deployment.fleet.net.address(2, 8000);
    let mut spec = users::config_spec(9, origin, users_fleet::CHUNKS);
    edit(&mut spec);
    deployment.fleet.store.put("config", "main", spec);
}

fn remove_routes(deployment: &Deployment) {
    put_config(deployment, |spec| spec["routes"] = json!([]));
}

fn remove_services(deployment: &Deployment) {
    put_config(deployment, |spec| {
        spec["routes"] = json!([]);
        spec["services"] = json!([]);
    });
}

fn remove_keys(deployment: &Deployment) {
    put_config(deployment, |spec| {
        spec["tenants"][0]["api_keys"] = json!(["key-2"]);
    });
}

fn shorten_timeouts(deployment: &Deployment) {
    put_config(deployment, |spec| {
        for route in spec["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(500);
        }
    });
}

fn remove_target(deployment: &Deployment, vm: u8) {
    deployment.fleet.store.remove("servers", &format!("i-{vm}"));
}

fn drain_target(deployment: &Deployment, vm: u8, service: &str) {
    let address = deployment.fleet.net.address(vm, 9000);
    let mut spec = users::target_spec(service, address, u64::from(service == "llm"));
    spec["state"] = json!("draining");
    let store = &deployment.fleet.store;
    store.put("servers", &format!("i-{vm}"), spec);
}

/// Streams that pause must not be cut when their route, service or key leaves the configuration,
/// or its timeouts become shorter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_stream_survives_a_configuration_without_its_route() {
    let (kind, point) = (Kind::Stream, Point::Midway);
    let runs: [(u8, &str, Change); 4] = [
        (0, "no routes", remove_routes),
        (1, "no services", remove_services),
        (2, "no keys", remove_keys),
        (3, "short timeouts", shorten_timeouts),
    ];
    let runs = runs.map(|(index, name, change)| survives(index, kind, point, name, change));
    future::join_all(runs).await;
}

/// Requests whose answer has not begun must not fail when their route, service or key leaves the
/// configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_answer_survives_a_configuration_without_its_route() {
    let runs: [(u8, Kind, &str, Change); 4] = [
        (4, Kind::Stream, "no services", remove_services),
        (5, Kind::Safe, "no services", remove_services),
        (6, Kind::Unsafe, "no keys", remove_keys),
        (7, Kind::Safe, "short timeouts", shorten_timeouts),
    ];
    let runs =
        runs.map(|(index, kind, name, change)| survives(index, kind, Point::Head, name, change));
    future::join_all(runs).await;
}

/// A target that leaves or drains while it pauses must be waited for all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_answer_survives_its_target_leaving() {
    let stream = [(8, Point::Midway), (9, Point::Start)].map(|(index, point)| {
        survives(index, Kind::Stream, point, "left", |d| {
            remove_target(d, ENGINE);
        })
    });
    let plain = [(10, Kind::Safe), (11, Kind::Unsafe)].map(|(index, kind)| {
        survives(index, kind, Point::Head, "left", |d| {
            remove_target(d, PLAIN);
        })
    });
    let draining = survives(12, Kind::Stream, Point::Midway, "draining", |d| {
        drain_target(d, ENGINE, "llm");
    });
    let late = survives(13, Kind::Unsafe, Point::Within, "draining", |d| {
        drain_target(d, PLAIN, "desk");
    });
    let leaving = future::join(future::join_all(stream), future::join_all(plain));
    future::join3(leaving, draining, late).await;
}
