//! A request crashes each target of a plain service that runs it, and comes again at all
//! gateways.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rand::RngExt;
use serde_json::json;
use standins::users::{self, Behavior, Target};
use tokio::time;

use users_fleet::{Fleet, Node, TIMEOUT, call, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Text in the path of the request that crashes targets.
const BAD: &str = "bad";
/// Crashes after which the users allow [`MAX_ARRIVALS`] more arrivals, once [`NOTICE_TIME`]
/// has passed.
const MAX_CRASHES: usize = 3;
const NOTICE_TIME: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;
/// Numbers of the VMs with an engine.
const ENGINES: std::ops::Range<u8> = 10..12;
/// Time in which gateways hear of hosts that have started.
const HOST_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two requests that crash targets.
const BAD_INTERVAL: Duration = Duration::from_millis(900);

/// How targets come back after a crash.
#[derive(Clone, Copy)]
enum Restart {
    /// Under the id that they had.
    SameId,
    /// Under a new id, at the same address.
    NewId,
}

struct Deployment {
    fleet: Fleet,
    targets: Vec<Target>,
    gateways: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts two engines with hosts, `count` plain targets and six gateways that serve.
    async fn start(index: u8, count: u8, restart: Restart, away: Duration) -> Self {
        let deployment = Self::start_without_hosts(index, count, restart, away).await;
        deployment.start_hosts().await;
        deployment
    }

    async fn start_without_hosts(index: u8, count: u8, restart: Restart, away: Duration) -> Self {
        let fleet = Fleet::start(index).await;
        for vm in ENGINES {
            fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await;
        }
        let mut targets = Vec::new();
        for vm in 12..12 + count {
            let behavior = Behavior::CrashOnPath(BAD);
            let target = fleet.target(vm, "desk", 0, behavior).await;
            target.set_restart_time(away);
            let address = fleet.net.address(vm, 9000);
            register_restarts(&fleet, target.clone(), vm, address, restart);
            targets.push(target);
        }
        let gateways = (24..30).map(|vm| fleet.gateway(vm)).collect();
        let deployment = Self {
            fleet,
            targets,
            gateways,
        };
        deployment.wait_until_served().await;
        deployment
    }

    /// Starts the hosts beside the engines; gateways hear of them within a second.
    async fn start_hosts(&self) {
        for vm in ENGINES {
            self.fleet.host(vm);
        }
        time::sleep(HOST_TIME).await;
    }

    /// The same with hosts that can be killed.
    async fn start_host_nodes(&self) -> Vec<Node> {
        let hosts = ENGINES.map(|vm| self.fleet.host_node(vm)).collect();
        time::sleep(HOST_TIME).await;
        hosts
    }

    /// Waits until each gateway serves a request that comes only once.
    async fn wait_until_served(&self) {
        for (i, gateway) in self.gateways.iter().enumerate() {
            let serve = async {
                for attempt in 0_u32.. {
                    let path = format!("/check/warm-{i}-{attempt}");
                    if status(*gateway, Method::GET, &path).await == Some(StatusCode::OK) {
                        return;
                    }
                    time::sleep(Duration::from_millis(50)).await;
                }
            };
            let served = time::timeout(TIMEOUT, serve).await;
            assert!(served.is_ok(), "gateway {i} does not serve");
        }
    }

    /// Sends the bad request to gateways drawn at random for `duration`.
    async fn send_bad(&self, method: Method, path: &str, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let gateway = self.gateways[rand::rng().random_range(0..self.gateways.len())];
            let answer = status(gateway, method.clone(), path).await;
            assert_ne!(answer, Some(StatusCode::OK));
            time::sleep(BAD_INTERVAL).await;
        }
    }

    /// Arrival times of bad requests at targets, in order.
    fn bad_arrivals(&self) -> Vec<Instant> {
        let received = self.targets.iter().flat_map(Target::received);
        let bad = received.filter(|r| r.uri.path().contains(BAD));
        let mut times: Vec<Instant> = bad.map(|r| r.at).collect();
        times.sort_unstable();
        times
    }

    fn crashes(&self) -> u64 {
        self.targets.iter().map(Target::crashes).sum()
    }

    /// Asserts that the bad request was kept from targets soon after the third crash.
    fn assert_contained(&self) {
        let arrivals = self.bad_arrivals();
        assert!(arrivals.len() >= MAX_CRASHES, "{} arrivals", arrivals.len());
        let limit = arrivals[MAX_CRASHES - 1] + users::WORK_TIME + NOTICE_TIME;
        let late = arrivals.iter().filter(|at| **at > limit).count();
        let crashes = self.crashes();
        assert!(
            late <= MAX_ARRIVALS,
            "{late} late arrivals, {crashes} crashes"
        );
    }
}

/// Registers the target again each time that it is back after a crash.
fn register_restarts(fleet: &Fleet, target: Target, vm: u8, address: SocketAddr, restart: Restart) {
    let store = fleet.store.clone();
    tokio::spawn(async move {
        let mut id = format!("i-{vm}");
        for lifetime in 2_u64.. {
            target.wait_for_restart().await;
            let mut spec = users::target_spec("desk", address, 0);
            spec["born"] = json!(lifetime);
            if matches!(restart, Restart::NewId) {
                store.remove("servers", &id);
                id = format!("i-{vm}-{lifetime}");
                target.set_id(&id);
            }
            store.put("servers", &id, spec);
        }
    });
}

/// Status of the response; `None` if it is not complete.
async fn status(gateway: SocketAddr, method: Method, path: &str) -> Option<StatusCode> {
    let id = format!("{:016x}", rand::rng().random::<u64>());
    let response = call(gateway, request(method, path, &id)).await.ok()?;
    Some(response.status())
}

/// Targets of a plain service ended again and again, 12 in a minute, each time that they were
/// back: the request that crashed them was refused by nobody, and was sent twice each time.
#[tokio::test]
async fn request_that_crashed_plain_targets_reaches_no_more() {
    let away = Duration::from_millis(1_400);
    let deployment = Deployment::start(4, 3, Restart::NewId, away).await;
    let duration = Duration::from_secs(15);
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    deployment.assert_contained();
    deployment.wait_until_served().await;
}

/// The same on a route that is not retried, with targets that keep their ids.
#[tokio::test]
async fn unsafe_request_that_crashed_plain_targets_reaches_no_more() {
    let away = Duration::from_secs(3);
    let deployment = Deployment::start(5, 3, Restart::SameId, away).await;
    let duration = Duration::from_secs(15);
    deployment
        .send_bad(Method::POST, "/book/bad", duration)
        .await;
    deployment.assert_contained();
    deployment.wait_until_served().await;
}

/// A gateway that starts after the crashes knows nothing of them, and would crash as many
/// targets again.
#[tokio::test]
async fn gateway_that_starts_later_refuses_request_that_crashed_plain_targets() {
    let away = Duration::from_millis(600);
    let mut deployment = Deployment::start(6, 3, Restart::NewId, away).await;
    let duration = Duration::from_secs(6);
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    time::sleep(NOTICE_TIME).await;
    let before = deployment.bad_arrivals().len();
    deployment.gateways = vec![deployment.fleet.gateway(31)];
    deployment.wait_until_served().await;
    time::sleep(NOTICE_TIME).await;
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    let arrivals = deployment.bad_arrivals().len() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} more requests");
}

/// What hosts knew of the deaths was lost when all of them restarted, and nobody told them again:
/// gateways that started then crashed as many targets once more.
#[tokio::test]
async fn deaths_outlive_a_restart_of_all_hosts() {
    let away = Duration::from_millis(600);
    let mut deployment = Deployment::start_without_hosts(12, 3, Restart::NewId, away).await;
    let hosts: Vec<Node> = deployment.start_host_nodes().await;
    let duration = Duration::from_secs(6);
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    deployment.assert_contained();
    for host in hosts {
        host.kill().await;
    }
    let _hosts = deployment.start_host_nodes().await;
    let before = deployment.bad_arrivals().len();
    deployment.gateways = (30..36).map(|vm| deployment.fleet.gateway(vm)).collect();
    deployment.wait_until_served().await;
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    let arrivals = deployment.bad_arrivals().len() - before;
    let crashes = deployment.crashes();
    assert!(
        arrivals <= MAX_ARRIVALS,
        "{arrivals} more requests, {crashes} crashes"
    );
}

/// A gateway that started knew no death for a second, as it subscribed to hosts before it knew where
/// they are, and the next time a second later: each one sent the request on.
#[tokio::test]
async fn gateway_refuses_request_that_crashed_plain_targets_as_soon_as_it_serves() {
    let away = Duration::from_millis(600);
    let mut deployment = Deployment::start(13, 3, Restart::NewId, away).await;
    let duration = Duration::from_secs(6);
    deployment
        .send_bad(Method::GET, "/check/bad", duration)
        .await;
    deployment.assert_contained();
    let before = deployment.bad_arrivals().len();
    for vm in 30..38 {
        deployment.gateways = vec![deployment.fleet.gateway(vm)];
        deployment.wait_until_served().await;
        status(deployment.gateways[0], Method::GET, "/check/bad").await;
    }
    let arrivals = deployment.bad_arrivals().len() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} more requests");
}

/// Deaths that a gateway saw while no host could be reached, as when all machines start at the
/// same moment, were known to nobody else: each other gateway would crash as many targets again.
#[tokio::test]
async fn deaths_seen_without_hosts_are_passed_on_when_hosts_are_back() {
    let away = Duration::from_millis(600);
    let deployment = Deployment::start_without_hosts(9, 3, Restart::NewId, away).await;
    for _ in 0..MAX_CRASHES {
        status(deployment.gateways[0], Method::GET, "/check/bad").await;
        time::sleep(BAD_INTERVAL).await;
    }
    assert!(deployment.crashes() >= 3);
    deployment.start_hosts().await;
    deployment.wait_until_served().await;
    time::sleep(NOTICE_TIME).await;
    let before = deployment.bad_arrivals().len();
    for (i, gateway) in deployment.gateways.iter().enumerate() {
        let answer = status(*gateway, Method::GET, "/check/bad").await;
        assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE), "gateway {i}");
    }
    assert_eq!(deployment.bad_arrivals().len(), before);
}

/// A connection that a living target reset kept the gateway waiting for a new start of that target,
/// and a crash in that time went unnoticed.
#[tokio::test]
async fn crash_shortly_after_a_reset_is_noticed() {
    let away = Duration::from_secs(7);
    let deployment = Deployment::start(10, 3, Restart::SameId, away).await;
    for target in &deployment.targets {
        target.set_behavior(Behavior::CloseConnection);
    }
    let gateway = deployment.gateways[0];
    let is_reset = |t: &Target| t.received().iter().any(|r| r.uri.path() == "/book/reset");
    while !deployment.targets.iter().all(is_reset) {
        status(gateway, Method::POST, "/book/reset").await;
    }
    for target in &deployment.targets {
        target.set_behavior(Behavior::CrashOnPath(BAD));
    }
    for _ in 0..MAX_CRASHES {
        status(gateway, Method::POST, "/book/bad").await;
        time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(deployment.crashes(), 3);
    time::sleep(away).await;
    deployment.wait_until_served().await;
    for (i, gateway) in deployment.gateways.iter().enumerate() {
        let answer = status(*gateway, Method::POST, "/book/bad").await;
        assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE), "gateway {i}");
    }
    assert_eq!(deployment.crashes(), 3);
}

/// A target that dies within its answer was not reported, as if the answer had been too slow.
#[tokio::test]
async fn crash_within_an_answer_is_noticed() {
    let away = Duration::from_millis(600);
    let deployment = Deployment::start(11, 3, Restart::NewId, away).await;
    for _ in 0..MAX_CRASHES {
        let gateway = deployment.gateways[0];
        let answer = status(gateway, Method::POST, "/book/bad/partial").await;
        assert_eq!(answer, Some(StatusCode::BAD_GATEWAY));
        time::sleep(BAD_INTERVAL).await;
    }
    for (i, gateway) in deployment.gateways.iter().enumerate() {
        let answer = status(*gateway, Method::POST, "/book/bad/partial").await;
        assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE), "gateway {i}");
    }
}

/// Targets that end for another reason take requests along that come often and are sound;
/// those must not be refused afterwards.
#[tokio::test]
async fn popular_request_is_served_after_plain_targets_died_beside_it() {
    let away = Duration::from_millis(600);
    let deployment = Deployment::start(7, 8, Restart::NewId, away).await;
    let load = async {
        let end = Instant::now() + Duration::from_secs(5);
        let clients = deployment.gateways.iter().map(async |gateway| {
            while Instant::now() < end {
                status(*gateway, Method::GET, "/check/popular").await;
            }
        });
        futures_util::future::join_all(clients).await;
    };
    let ends = async {
        time::sleep(Duration::from_millis(500)).await;
        for target in &deployment.targets {
            target.crash();
            time::sleep(Duration::from_millis(300)).await;
        }
    };
    tokio::join!(load, ends);
    time::sleep(Duration::from_secs(1)).await;
    for (i, gateway) in deployment.gateways.iter().enumerate() {
        let answer = status(*gateway, Method::GET, "/check/popular").await;
        assert_eq!(answer, Some(StatusCode::OK), "gateway {i}");
    }
}

/// Targets that reset connections or answer nothing are alive: requests to them must be tried
/// again, and not be refused as those that crash targets.
#[tokio::test]
async fn request_is_not_refused_while_plain_targets_live() {
    let deployment = Deployment::start(8, 3, Restart::SameId, NOTICE_TIME).await;
    let behave = |behavior: &Behavior| {
        for target in &deployment.targets {
            target.set_behavior(behavior.clone());
        }
    };
    for behavior in [Behavior::CloseConnection, Behavior::Hang] {
        behave(&behavior);
        for gateway in &deployment.gateways {
            let answer = status(*gateway, Method::GET, "/check/sound").await;
            assert_ne!(answer, Some(StatusCode::OK));
        }
    }
    behave(&Behavior::Respond("sound"));
    for (i, gateway) in deployment.gateways.iter().enumerate() {
        let answer = status(*gateway, Method::GET, "/check/sound").await;
        assert_eq!(answer, Some(StatusCode::OK), "gateway {i}");
    }
}
