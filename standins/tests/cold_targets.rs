//! Targets that have just started take few requests a second, which all gateways together must
//! keep.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, StatusCode, header};
use rand::RngExt;
use serde_json::json;
use standins::users::{self, Behavior, Target};
use tokio::task::JoinSet;
use tokio::time;

use users_fleet::{CHUNKS, Fleet, Node, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time between two requests of the load; 100 a second.
const LOAD_INTERVAL: Duration = Duration::from_millis(10);
/// Cold start of both services, seconds, and requests per second meanwhile.
const COLD: (f64, f64) = (4.0, 8.0);
/// Requests that a cold target may get in any second: 1.5 times its rate and 5.
const ALLOWED: usize = 17;
/// Time in which gateways and hosts learn of a start.
const NOTICE_TIME: Duration = Duration::from_millis(500);

struct Deployment {
    fleet: Fleet,
    hosts: Vec<Node>,
    engines: Vec<Target>,
    plain: Vec<Target>,
    gateways: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts two engines with hosts, two plain targets and eight gateways that serve.
    async fn start(index: u8) -> Self {
        let mut fleet = Fleet::start(index).await;
        fleet.bounds.cold_overage = Some(1.5);
        fleet.bounds.cold_slack = Some(5.0);
        let mut config = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
        for service in 0..2 {
            config["services"][service]["cold_start_s"] = json!(COLD.0);
            config["services"][service]["cold_per_s"] = json!(COLD.1);
        }
        fleet.store.put("config", "main", config);
        let hosts = (10..12).map(|vm| fleet.host_node(vm)).collect();
        let (mut engines, mut plain) = (Vec::new(), Vec::new());
        for vm in 10..12 {
            engines.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        }
        for vm in 12..14 {
            plain.push(fleet.target(vm, "desk", 0, Behavior::Respond("done")).await);
        }
        let gateways: Vec<SocketAddr> = (24..32).map(|vm| fleet.gateway(vm)).collect();
        for gateway in &gateways {
            call_until_ok(*gateway, Method::GET, "/check/x").await;
            call_until_ok(*gateway, Method::POST, "/plan/x").await;
        }
        Self {
            fleet,
            hosts,
            engines,
            plain,
            gateways,
        }
    }

    /// Sends 100 requests a second for `duration`, each to a gateway drawn at random. Returns how
    /// many were served and rejected.
    async fn load(&self, method: Method, path: &'static str, duration: Duration) -> (usize, usize) {
        let mut requests = JoinSet::new();
        let mut ticks = time::interval(LOAD_INTERVAL);
        let start = Instant::now();
        while start.elapsed() < duration {
            ticks.tick().await;
            let gateway = self.gateways[rand::rng().random_range(0..self.gateways.len())];
            let id = format!("{:016x}", rand::rng().random::<u64>());
            let request = request(method.clone(), path, &id);
            requests.spawn(async move { call(gateway, request).await.unwrap() });
        }
        let (mut served, mut rejected) = (0, 0);
        for response in requests.join_all().await {
            if response.status() == StatusCode::OK {
                served += 1;
                continue;
            }
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(response.headers().contains_key(header::RETRY_AFTER));
            rejected += 1;
        }
        (served, rejected)
    }
}

/// Checks the arrivals at a target after `start`: the bound in any second, and most of the rate.
fn assert_bound(target: &Target, start: Instant, duration: Duration) {
    let received = target.received();
    let times: Vec<Instant> = received.iter().map(|r| r.at).collect();
    let times: Vec<Instant> = times.into_iter().filter(|at| *at >= start).collect();
    let from = |begin: &Instant| {
        let within = |at: &&Instant| *at >= begin && **at < *begin + Duration::from_secs(1);
        times.iter().filter(within).count()
    };
    let most = times.iter().map(from).max().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} in a second");
    let count = f64::from(u32::try_from(times.len()).unwrap());
    let rate = COLD.1 * duration.as_secs_f64();
    assert!(count >= 0.6 * rate, "{count} of {rate}");
}

/// All plain targets came back at once under load: each got what the gateways liked to send.
#[tokio::test]
async fn cold_plain_targets_get_no_more_than_their_bound() {
    let deployment = Deployment::start(0).await;
    for (target, vm) in deployment.plain.iter().zip(12..) {
        let mut spec = users::target_spec("desk", target.address(), 0);
        spec["born"] = json!(1_000_000);
        spec["cold_remaining_ms"] = json!(3_600_000);
        let id = format!("i-{vm}");
        deployment.fleet.store.put("servers", &id, spec);
    }
    time::sleep(NOTICE_TIME).await;
    let start = Instant::now();
    let duration = Duration::from_secs(3);
    let (_, rejected) = deployment.load(Method::GET, "/check/x", duration).await;
    for target in &deployment.plain {
        assert_bound(target, start, duration);
    }
    assert!(rejected > 0);
    time::sleep(Duration::from_secs(2)).await;
    let (served, rejected) = deployment.load(Method::GET, "/check/x", duration).await;
    assert!(rejected * 50 <= served, "{rejected} rejected when warm");
}

/// All engines crashed at once under load and got all of it when they came back. If the host of one
/// ends meanwhile, each gateway would send it two requests without asking anyone.
#[tokio::test]
async fn cold_engines_get_no_more_than_their_bound() {
    let mut deployment = Deployment::start(1).await;
    for engine in &deployment.engines {
        engine.crash();
    }
    time::sleep(users::RESTART_TIME + NOTICE_TIME).await;
    let start = Instant::now();
    let duration = Duration::from_secs(2);
    deployment.load(Method::POST, "/plan/x", duration).await;
    for engine in &deployment.engines {
        assert_bound(engine, start, duration);
    }
    // Its host ends: the gateways must not fall back to a few requests each.
    deployment.hosts.remove(0).kill().await;
    let silent = Instant::now();
    let duration = Duration::from_millis(700);
    deployment.load(Method::POST, "/plan/x", duration).await;
    let received = deployment.engines[0].received();
    let count = received.iter().filter(|r| r.at >= silent).count();
    assert!(count <= 1, "{count} without a host");
}
