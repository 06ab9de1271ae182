//! Two targets that stop for good at the same time, and one that is sound.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures_util::future;
use kept_calls::{Deployment, Kind, Routes};
use serde_json::json;
use standins::users::{Pause, Point, Silence};
use tokio::time;

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(8);

/// A second attempt that met a stopped target too kept the request there until its deadline,
/// though a third target was sound and another attempt was allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn safe_request_leaves_two_stopped_targets() {
    let deployment = Deployment::start(0, 0, 3, Routes::default()).await;
    put_attempts(&deployment, 3);
    time::sleep(Duration::from_secs(2)).await;
    let stopped = Pause {
        every: 1,
        point: Point::Head,
        silence: Silence::Endless,
    };
    for target in &deployment.targets[..2] {
        target.set_pause(Some(stopped));
    }
    // One request after the other at each gateway, so that none learns of a silence from another.
    let callers = (0..3).map(|number| {
        let mut caller = deployment.caller(number);
        async move {
            let mut answers = Vec::new();
            for _ in 0..3 {
                answers.push(caller.send(Kind::Safe, DEADLINE).await);
                time::sleep(Duration::from_secs(3)).await;
            }
            answers
        }
    });
    let mut failed = future::join_all(callers).await.concat();
    failed.retain(|a| !a.is_whole);
    assert!(failed.is_empty(), "{failed:?}");
}

fn put_attempts(deployment: &Deployment, attempts: u32) {
    let origin = deployment.fleet.net.address(2, 8000);
    let mut spec = standins::users::config_spec(50, origin, users_fleet::CHUNKS);
    for route in spec["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(8_000);
        route["max_attempts"] = json!(attempts);
    }
    deployment.fleet.store.put("config", "main", spec);
}
