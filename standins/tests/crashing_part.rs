//! A part of a prompt crashes each target that begins to answer a request with it.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use standins::users::{Behavior, Target};
use tokio::time;

use users_fleet::{Fleet, TIMEOUT, call, request, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Part of a prompt that crashes targets.
const BAD_PART: &str = "bad0";
/// Crashes after which the users allow [`MAX_ARRIVALS`] more requests with the part to reach
/// targets, once [`NOTICE_TIME`] has passed.
const MAX_CRASHES: u64 = 5;
const NOTICE_TIME: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;

struct Deployment {
    fleet: Fleet,
    targets: Vec<Target>,
    gateways: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts six engines with hosts and three gateways that serve.
    async fn start(index: u8) -> Self {
        Self::start_with(index, &Behavior::CrashOn(BAD_PART)).await
    }

    async fn start_with(index: u8, behavior: &Behavior) -> Self {
        let fleet = Fleet::start(index).await;
        let mut targets = Vec::new();
        for vm in 10..16 {
            targets.push(fleet.target(vm, "llm", 1, behavior.clone()).await);
            fleet.host(vm);
        }
        let gateways = (20..23).map(|vm| fleet.gateway(vm)).collect();
        let deployment = Self {
            fleet,
            targets,
            gateways,
        };
        deployment.wait_until_served().await;
        deployment
    }

    /// Waits until each gateway serves a sound request that shares the first part and the
    /// account with those that crash targets.
    async fn wait_until_served(&self) {
        for (i, gateway) in self.gateways.iter().enumerate() {
            let serve = async {
                loop {
                    let sound = prompt(&format!("sound-{i}"), "a0:40,b0:100,own:8");
                    if status(*gateway, sound).await == Some(StatusCode::OK) {
                        return;
                    }
                    time::sleep(Duration::from_millis(50)).await;
                }
            };
            let served = time::timeout(TIMEOUT, serve).await;
            assert!(served.is_ok(), "gateway {i} serves no sound request");
        }
    }

    /// Sends `count` different requests with the bad part to all gateways in turn.
    async fn send_bad(&self, label: &str, count: usize) {
        for i in 0..count {
            let gateway = self.gateways[i % self.gateways.len()];
            let bad = format!("a0:40,{BAD_PART}:{},{label}{i}:{}", 60 + i, 20 + i);
            let answer = status(gateway, prompt(&format!("{label}-{i}"), &bad)).await;
            assert_ne!(answer, Some(StatusCode::OK));
        }
    }

    /// Sends requests with the bad part until enough targets have crashed, or until those
    /// requests no longer reach any, and waits until all targets are back.
    async fn crash_targets(&self) {
        let crashes = || self.targets.iter().map(Target::crashes).sum::<u64>();
        for round in 0..10 {
            if crashes() >= MAX_CRASHES {
                break;
            }
            self.send_bad(&format!("crash{round}x"), 2).await;
            time::sleep(Duration::from_millis(200)).await;
        }
        assert!(crashes() > 0);
        time::sleep(NOTICE_TIME).await;
        self.wait_until_served().await;
    }

    /// Requests with the bad part that have reached targets.
    fn bad_arrivals(&self) -> usize {
        let received = self.targets.iter().flat_map(Target::received);
        let is_bad = |headers: &http::HeaderMap| {
            let prompt = headers.get("x-corianderramp-prompt-prefix");
            prompt.is_some_and(|p| p.to_str().unwrap().contains(BAD_PART))
        };
        received.filter(|r| is_bad(&r.headers)).count()
    }
}

/// Request whose body differs from that of requests with other parts.
fn prompt(id: &str, parts: &str) -> Request<Full<Bytes>> {
    let mut request = request(Method::POST, "/plan/x", id);
    *request.body_mut() = Full::from(parts.to_owned());
    let parts = HeaderValue::from_str(parts).unwrap();
    let headers = request.headers_mut();
    headers.insert("x-corianderramp-prompt-prefix", parts);
    request
}

/// Status of the response; `None` if it is not complete.
async fn status(gateway: SocketAddr, request: Request<Full<Bytes>>) -> Option<StatusCode> {
    let response: Response<Bytes> = call(gateway, request).await.ok()?;
    Some(response.status())
}

/// Requests that crash targets took one after the other along, 89 in a minute: each was sent
/// twice, no two were alike, and no gateway learned from those of the others.
#[tokio::test]
async fn prompt_part_that_crashed_targets_reaches_no_more() {
    let deployment = Deployment::start(0).await;
    deployment.crash_targets().await;
    let before = deployment.bad_arrivals();
    deployment.send_bad("later", 12).await;
    let arrivals = deployment.bad_arrivals() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} more requests");
    deployment.wait_until_served().await;
}

/// A gateway that starts after the crashes knows nothing of them, and would crash as many
/// targets again.
#[tokio::test]
async fn gateway_that_starts_later_learns_of_crashing_parts() {
    let mut deployment = Deployment::start(1).await;
    deployment.crash_targets().await;
    let before = deployment.bad_arrivals();
    deployment.gateways = vec![deployment.fleet.gateway(25)];
    deployment.wait_until_served().await;
    time::sleep(NOTICE_TIME).await;
    deployment.send_bad("later", 6).await;
    let arrivals = deployment.bad_arrivals() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} more requests");
}

/// Targets that crash for another reason take sound requests along, whose prompt parts must
/// not be refused for long: only what no target could answer may stay refused.
#[tokio::test]
async fn sound_prompt_part_is_served_after_targets_crashed_beside_it() {
    let deployment = Deployment::start(2).await;
    for round in 0..4 {
        let sound = async {
            for i in 0..40 {
                let parts = format!("a0:40,c0:100,own{i}:8");
                let gateway = deployment.gateways[i % 3];
                status(gateway, prompt(&format!("in-flight-{round}-{i}"), &parts)).await;
            }
        };
        let label = format!("crash{round}x");
        tokio::join!(sound, deployment.send_bad(&label, 3));
    }
    wait_until("targets have crashed", || {
        deployment.targets.iter().any(|t| t.crashes() > 0)
    })
    .await;
    time::sleep(NOTICE_TIME).await;
    for i in 0..12 {
        let sound = prompt(&format!("sound-after-{i}"), "a0:40,c0:100,own:8");
        let answer = status(deployment.gateways[i % 3], sound).await;
        assert_eq!(answer, Some(StatusCode::OK), "request {i}");
    }
}

/// The same request comes again and again at all gateways and crashes each target that runs
/// it; none of its parts is in another request.
#[tokio::test]
async fn request_that_crashed_targets_reaches_no_more() {
    let deployment = Deployment::start(3).await;
    repeat_bad_request(&deployment).await;
}

/// The same request crashes each target after several events of its answer. It was never
/// suspected and crashed targets without end.
#[tokio::test]
async fn request_that_crashes_targets_midway_reaches_no_more() {
    let behavior = Behavior::CrashMidway(BAD_PART, 6);
    let deployment = Deployment::start_with(4, &behavior).await;
    repeat_bad_request(&deployment).await;
}

/// Sends the same bad request to all gateways in turn and checks that it soon reaches no target.
async fn repeat_bad_request(deployment: &Deployment) {
    let send = async |label: &str, count: usize| {
        for i in 0..count {
            let parts = format!("a0:40,{BAD_PART}:8");
            let gateway = deployment.gateways[i % deployment.gateways.len()];
            let answer = status(gateway, prompt(&format!("{label}-{i}"), &parts)).await;
            assert_ne!(answer, Some(StatusCode::OK));
            time::sleep(Duration::from_millis(200)).await;
        }
    };
    send("crash", 6).await;
    time::sleep(NOTICE_TIME).await;
    deployment.wait_until_served().await;
    let before = deployment.bad_arrivals();
    send("later", 12).await;
    let arrivals = deployment.bad_arrivals() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} more requests");
}
