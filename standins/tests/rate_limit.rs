//! Targets name a rate limit in their answers, which all gateways together must keep.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use rand::RngExt;
use standins::users::{Behavior, Target};
use tokio::task::JoinSet;
use tokio::time;

use users_fleet::{Fleet, Node, TIMEOUT, call, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time between two requests of the load; 40 a second.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);
/// Time after a limit is first named from which it must hold.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time in which a rejected request must be answered.
const REJECT_TIME: Duration = Duration::from_millis(500);

/// Route to the engines.
const ENGINE_ROUTE: (Method, &str) = (Method::POST, "/plan/x");
/// Time in which gateways have noticed that hosts restarted.
const HOST_TIME: Duration = Duration::from_millis(1_500);
/// Numbers of the VMs with an engine and a host.
const ENGINES: std::ops::Range<u8> = 10..12;

struct Deployment {
    fleet: Fleet,
    hosts: Vec<Node>,
    engines: Vec<Target>,
    plain: Vec<Target>,
    gateways: Vec<SocketAddr>,
}

/// Response to a request of the load, with the time until it came.
struct Answer {
    response: Response<Bytes>,
    took: Duration,
}

impl Deployment {
    /// Starts two engines with hosts, two plain targets and twelve gateways that serve.
    async fn start(index: u8) -> Self {
        let fleet = Fleet::start(index).await;
        let hosts = ENGINES.map(|vm| fleet.host_node(vm)).collect();
        let mut engines = Vec::new();
        for vm in ENGINES {
            engines.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        }
        let mut plain = Vec::new();
        for vm in 12..14 {
            let behavior = Behavior::Respond("done");
            plain.push(fleet.target(vm, "desk", 0, behavior).await);
        }
        let gateways = (24..36).map(|vm| fleet.gateway(vm)).collect();
        let deployment = Self {
            fleet,
            hosts,
            engines,
            plain,
            gateways,
        };
        let routes = [(Method::GET, "/check/x"), ENGINE_ROUTE];
        deployment.wait_until_served(&routes).await;
        deployment
    }

    /// Ends all hosts as if killed and starts them again.
    async fn restart_hosts(&mut self) {
        for host in self.hosts.drain(..) {
            host.kill().await;
        }
        self.hosts = ENGINES.map(|vm| self.fleet.host_node(vm)).collect();
    }

    /// Waits until each gateway serves all routes.
    async fn wait_until_served(&self, routes: &[(Method, &str)]) {
        for (i, gateway) in self.gateways.iter().enumerate() {
            for (method, path) in routes {
                let serve = async {
                    loop {
                        let answer = call(*gateway, request(method.clone(), path, "warm")).await;
                        if answer.is_ok_and(|a| a.status() == StatusCode::OK) {
                            return;
                        }
                        time::sleep(Duration::from_millis(50)).await;
                    }
                };
                let served = time::timeout(TIMEOUT, serve).await;
                assert!(served.is_ok(), "gateway {i} does not serve {path}");
            }
        }
    }

    /// Sends 40 requests a second for `duration`, each to a gateway drawn at random.
    async fn load(&self, method: Method, path: &'static str, duration: Duration) -> Vec<Answer> {
        let mut requests = JoinSet::new();
        let mut ticks = time::interval(LOAD_INTERVAL);
        let start = Instant::now();
        while start.elapsed() < duration {
            ticks.tick().await;
            let gateway = self.gateways[rand::rng().random_range(0..self.gateways.len())];
            let id = format!("{:016x}", rand::rng().random::<u64>());
            let request = request(method.clone(), path, &id);
            requests.spawn(async move {
                let sent = Instant::now();
                let response = call(gateway, request).await.unwrap();
                let took = sent.elapsed();
                Answer { response, took }
            });
        }
        requests.join_all().await
    }
}

/// Most arrivals at a target in a window that begins after `start`.
fn most_arrivals(target: &Target, start: Instant) -> usize {
    let received = target.received();
    let times: Vec<Instant> = received.iter().map(|r| r.at).collect();
    let from = |begin: &Instant| {
        let within = times
            .iter()
            .filter(|at| *at >= begin && **at < *begin + WINDOW);
        within.count()
    };
    let begins = times.iter().filter(|at| **at >= start);
    begins.map(from).max().unwrap_or(0)
}

/// Arrivals at a target after `start`.
fn arrivals(target: &Target, start: Instant) -> usize {
    target.received().iter().filter(|r| r.at >= start).count()
}

/// Arrivals that the users allow in a window at a target that named `limit` a second.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn assert_kept(target: &Target, limit: f64, start: Instant) {
    let most = most_arrivals(target, start + NOTICE_TIME);
    let allowed = allowed(limit);
    assert!(
        f64::from(u32::try_from(most).unwrap()) <= allowed,
        "{most} in 4 s, {allowed} allowed"
    );
}

fn assert_used(target: &Target, limit: f64, start: Instant) {
    let used = f64::from(u32::try_from(arrivals(target, start)).unwrap());
    let named = limit * start.elapsed().as_secs_f64();
    assert!(used >= 0.9 * named, "{used} of {named} used");
}

/// Requests are served, or rejected at once with the time at which to come back.
fn assert_answered(answers: &[Answer]) {
    for answer in answers {
        let status = answer.response.status();
        if status == StatusCode::OK {
            continue;
        }
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            answer.took < REJECT_TIME,
            "rejected after {:?}",
            answer.took
        );
        let headers = answer.response.headers();
        assert!(headers.contains_key(header::RETRY_AFTER));
    }
}

fn served(answers: &[Answer]) -> usize {
    let ok = answers
        .iter()
        .filter(|a| a.response.status() == StatusCode::OK);
    ok.count()
}

/// An engine in need got as many requests as before, 85 to 95 in 4 s.
#[tokio::test]
async fn engine_that_names_a_rate_limit_gets_no_more_requests() {
    let deployment = Deployment::start(0).await;
    deployment.engines[0].set_rate_limit(Some("2.0"));
    let start = Instant::now();
    let duration = Duration::from_secs(12);
    let answers = deployment.load(Method::POST, "/plan/x", duration).await;
    assert_kept(&deployment.engines[0], 2.0, start);
    let rejected = answers.len() - served(&answers);
    assert!(rejected * 50 <= answers.len(), "{rejected} rejected");
}

/// With both engines in need, what they take is used and the rest is rejected.
#[tokio::test]
async fn rate_limits_of_all_engines_are_kept_and_used() {
    let deployment = Deployment::start(1).await;
    for engine in &deployment.engines {
        engine.set_rate_limit(Some("2.0"));
    }
    let start = Instant::now();
    let duration = Duration::from_secs(12);
    let answers = deployment.load(Method::POST, "/plan/x", duration).await;
    for engine in &deployment.engines {
        assert_kept(engine, 2.0, start);
        assert_used(engine, 2.0, start);
    }
    assert_answered(&answers);
}

/// What a plain target in need doesn't take goes to another one.
#[tokio::test]
async fn plain_target_that_names_a_rate_limit_gets_no_more_requests() {
    let deployment = Deployment::start(2).await;
    deployment.plain[0].set_rate_limit(Some("0.5"));
    let start = Instant::now();
    let duration = Duration::from_secs(12);
    let answers = deployment.load(Method::GET, "/check/x", duration).await;
    assert_kept(&deployment.plain[0], 0.5, start);
    let rejected = answers.len() - served(&answers);
    assert!(rejected * 50 <= answers.len(), "{rejected} rejected");
}

/// A limit was known to no host any more after all of them had restarted, until a gateway asked for
/// a permit: those that started meanwhile sent their first requests without one.
#[tokio::test]
async fn rate_limit_outlives_a_restart_of_all_hosts() {
    let mut deployment = Deployment::start(5).await;
    deployment.plain[0].set_rate_limit(Some("0.5"));
    let duration = Duration::from_secs(4);
    deployment.load(Method::GET, "/check/x", duration).await;
    deployment.restart_hosts().await;
    let vms = (14..24).chain(36..40);
    deployment.gateways = vms.map(|vm| deployment.fleet.gateway(vm)).collect();
    deployment.wait_until_served(&[ENGINE_ROUTE]).await;
    time::sleep(HOST_TIME).await;
    let start = Instant::now();
    let gateways = deployment.gateways.iter().chain(&deployment.gateways);
    let calls = gateways.map(|g| call(*g, request(Method::GET, "/check/x", "first")));
    futures_util::future::join_all(calls).await;
    let count = arrivals(&deployment.plain[0], start);
    let count = f64::from(u32::try_from(count).unwrap());
    assert!(count <= allowed(0.5), "{count} at once");
}

/// With both plain targets in need, what they take is used and the rest is rejected.
#[tokio::test]
async fn rate_limits_of_all_plain_targets_are_kept_and_used() {
    let deployment = Deployment::start(3).await;
    for target in &deployment.plain {
        target.set_rate_limit(Some("2.0"));
    }
    let start = Instant::now();
    let duration = Duration::from_secs(12);
    let answers = deployment.load(Method::GET, "/check/x", duration).await;
    for target in &deployment.plain {
        assert_kept(target, 2.0, start);
        assert_used(target, 2.0, start);
    }
    assert_answered(&answers);
}

/// A target that has recovered must not stay idle: it gets its full share again soon after it
/// names no limit any more.
#[tokio::test]
async fn target_gets_its_full_share_after_its_rate_limit_ended() {
    let deployment = Deployment::start(4).await;
    let duration = Duration::from_secs(4);
    for (targets, method, path) in [
        (&deployment.plain, Method::GET, "/check/x"),
        (&deployment.engines, Method::POST, "/plan/x"),
    ] {
        for target in targets {
            target.set_rate_limit(Some("2.0"));
        }
        deployment.load(method.clone(), path, duration).await;
        for target in targets {
            target.set_rate_limit(None);
        }
        deployment.load(method.clone(), path, NOTICE_TIME).await;
        let answers = deployment.load(method, path, duration).await;
        let rejected = answers.len() - served(&answers);
        assert!(
            rejected * 50 <= answers.len(),
            "{path}: {rejected} rejected"
        );
    }
}
