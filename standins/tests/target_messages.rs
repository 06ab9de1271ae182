//! Targets say in their answers that they leave, or until when they want no requests.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use rand::RngExt;
use standins::users::{self, Behavior, Target};
use tokio::task::JoinSet;
use tokio::time;

use users_fleet::{Fleet, Node, call, call_until_ok, request};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time between two requests of the load; 50 a second.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a gateway was told that a target leaves from which it must send nothing there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for requests that were on their way when a target asked for none.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time that targets name as `retry-after`.
const WAIT: Duration = Duration::from_millis(2_500);
const WAIT_TEXT: &str = "2.5";
/// Time in which a refusal must come if no target is asked.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
const GATEWAYS: std::ops::Range<u8> = 24..30;
const ENGINE: (Method, &str) = (Method::POST, "/plan/x");
const PLAIN: (Method, &str) = (Method::GET, "/check/x");
const STREAM: Behavior = Behavior::Stream(1, 10);
const REPLY: Behavior = Behavior::Respond("done");

struct Deployment {
    fleet: Fleet,
    _hosts: Vec<Node>,
    /// Three targets of the service under test.
    targets: Vec<Target>,
    gateways: Vec<SocketAddr>,
    route: (Method, &'static str),
}

/// Response to a request of the load.
struct Answer {
    gateway: usize,
    response: Response<Bytes>,
    sent: Instant,
    came: Instant,
}

impl Answer {
    fn is_served(&self) -> bool {
        self.response.status() == StatusCode::OK
    }

    /// Time that a refused caller is told to wait.
    fn retry_after(&self) -> Duration {
        let value = self.response.headers().get(header::RETRY_AFTER).unwrap();
        Duration::from_secs_f64(value.to_str().unwrap().parse().unwrap())
    }
}

impl Deployment {
    /// Starts three engines with hosts, and six gateways that serve.
    async fn engines(index: u8) -> Self {
        let fleet = Fleet::start(index).await;
        let hosts = (10..13).map(|vm| fleet.host_node(vm)).collect();
        let mut targets = Vec::new();
        for vm in 10..13 {
            targets.push(fleet.target(vm, "llm", 1, STREAM).await);
        }
        Self::serving(fleet, hosts, targets, ENGINE).await
    }

    /// Starts three plain targets, and six gateways that serve.
    async fn plain(index: u8) -> Self {
        let fleet = Fleet::start(index).await;
        let mut targets = Vec::new();
        for vm in 10..13 {
            targets.push(fleet.target(vm, "desk", 0, REPLY).await);
        }
        Self::serving(fleet, Vec::new(), targets, PLAIN).await
    }

    async fn serving(
        fleet: Fleet,
        hosts: Vec<Node>,
        targets: Vec<Target>,
        route: (Method, &'static str),
    ) -> Self {
        let gateways: Vec<SocketAddr> = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
        for gateway in &gateways {
            call_until_ok(*gateway, route.0.clone(), route.1).await;
        }
        Self {
            fleet,
            _hosts: hosts,
            targets,
            gateways,
            route,
        }
    }

    /// Sends 50 requests a second for `duration`, each to a gateway drawn at random, whose
    /// index is the first part of the request's id.
    async fn load(&self, duration: Duration) -> Vec<Answer> {
        let mut requests = JoinSet::new();
        let mut ticks = time::interval(LOAD_INTERVAL);
        let start = Instant::now();
        while start.elapsed() < duration {
            ticks.tick().await;
            let gateway = rand::rng().random_range(0..self.gateways.len());
            let address = self.gateways[gateway];
            let id = format!("{gateway}-{:016x}", rand::rng().random::<u64>());
            let request = request(self.route.0.clone(), self.route.1, &id);
            requests.spawn(async move {
                let sent = Instant::now();
                let response = call(address, request).await.unwrap();
                let came = Instant::now();
                Answer {
                    gateway,
                    response,
                    sent,
                    came,
                }
            });
        }
        requests.join_all().await
    }

    /// Arrivals of the load at a target, in order.
    fn arrivals(target: &Target) -> Vec<Arrival> {
        let received = target.received();
        let arrivals = received.iter().filter_map(|r| {
            let id = r.headers.get("x-corianderramp-request-id")?;
            let (gateway, _) = id.to_str().ok()?.split_once('-')?;
            Some(Arrival {
                gateway: gateway.parse().ok()?,
                at: r.at,
                ran: r.ran,
            })
        });
        arrivals.collect()
    }

    /// Number of arrivals at a target that leaves since `start`, later than the users allow
    /// after their gateway was told.
    fn late(&self, target: &Target, start: Instant) -> usize {
        let arrivals = Self::arrivals(target);
        let late = (0..self.gateways.len()).map(|gateway| {
            let times = arrivals.iter().filter(|a| a.gateway == gateway);
            let mut times = times.map(|a| a.at).filter(|at| *at >= start);
            let told = times.next();
            times.filter(|at| *at > told.unwrap() + DRAIN_TIME).count()
        });
        late.sum()
    }

    /// For each refusal of a target, the number of arrivals from its gateway within the time
    /// in which the target wanted none; refusals without any are left out.
    fn early(&self) -> Vec<usize> {
        let targets = self.targets.iter().map(Self::arrivals);
        let counts = targets.flat_map(|arrivals| {
            let refusals = arrivals.iter().filter(|a| !a.ran);
            let count = refusals.map(|refusal| {
                let forbidden = refusal.at + IN_FLIGHT_TIME..refusal.at + WAIT;
                let early = arrivals
                    .iter()
                    .filter(|a| a.gateway == refusal.gateway && forbidden.contains(&a.at));
                early.count()
            });
            count.filter(|c| *c > 0).collect::<Vec<_>>()
        });
        counts.collect()
    }
}

/// Request of the load that reached a target.
struct Arrival {
    gateway: usize,
    at: Instant,
    ran: bool,
}

fn share_served(answers: &[Answer]) -> f64 {
    let served = answers.iter().filter(|a| a.is_served()).count();
    let count = |n: usize| f64::from(u32::try_from(n).unwrap());
    count(served) / count(answers.len())
}

async fn assert_leaving_is_kept(deployment: &Deployment) {
    deployment.targets[0].set_leaving(true);
    let start = Instant::now();
    let answers = deployment.load(Duration::from_secs(7)).await;
    let late = deployment.late(&deployment.targets[0], start);
    let served = share_served(&answers);
    assert!(
        late == 0 && served >= 1.0,
        "{late} late, {served:.3} served"
    );
}

/// The head of an answer said that the engine leaves, and requests went on to it.
#[tokio::test]
async fn engine_that_says_it_leaves_gets_no_more_requests() {
    let deployment = Deployment::engines(0).await;
    assert_leaving_is_kept(&deployment).await;
}

/// An answer said that the plain target leaves, and requests went on to it.
#[tokio::test]
async fn plain_target_that_says_it_leaves_gets_no_more_requests() {
    let deployment = Deployment::plain(1).await;
    assert_leaving_is_kept(&deployment).await;
}

/// The registration of a leaving target comes and goes with the store; it must not be asked
/// again. A later lifetime at its address must be, at once.
#[tokio::test]
async fn leaving_holds_for_one_lifetime_and_not_for_the_next() {
    let deployment = Deployment::plain(2).await;
    let leaving = &deployment.targets[0];
    let store = &deployment.fleet.store;
    let address = deployment.fleet.net.address(10, 9000);
    let spec = users::target_spec("desk", address, 0);
    leaving.set_leaving(true);
    let start = Instant::now();
    let seconds = Duration::from_secs;
    deployment.load(seconds(2)).await;
    store.remove("servers", "i-10");
    deployment.load(seconds(2)).await;
    store.put("servers", "i-10", spec.clone());
    deployment.load(seconds(3)).await;
    let late = deployment.late(leaving, start);
    assert_eq!(late, 0, "later than the users allow");
    leaving.set_leaving(false);
    let mut next = spec;
    next["born"] = 2.into();
    store.put("servers", "i-10", next);
    let restart = Instant::now();
    let answers = deployment.load(seconds(2)).await;
    let arrivals = Deployment::arrivals(leaving);
    let used = arrivals.iter().filter(|a| a.at >= restart).count();
    assert!(used > 0, "the next lifetime is not used");
    assert!(answers.iter().all(Answer::is_served));
}

/// The store is away, so that no registration tells of the leaving.
#[tokio::test]
async fn leaving_is_kept_while_the_store_is_away() {
    let deployment = Deployment::plain(7).await;
    deployment.fleet.store.go_down();
    assert_leaving_is_kept(&deployment).await;
}

/// Streams that a leaving engine has begun must be neither broken off nor resumed elsewhere.
#[tokio::test]
async fn streams_in_progress_at_a_leaving_engine_go_on() {
    let deployment = Deployment::engines(8).await;
    for target in &deployment.targets {
        target.set_behavior(Behavior::LateStream(Duration::from_millis(800)));
    }
    let gateway = deployment.gateways[0];
    let ids: Vec<String> = (0..9).map(|n| format!("0-{n}")).collect();
    let calls = ids
        .iter()
        .map(|id| call(gateway, request(ENGINE.0, ENGINE.1, id)));
    let streams = futures_util::future::join_all(calls);
    let leave = async {
        time::sleep(Duration::from_millis(300)).await;
        let targets = deployment.targets.iter();
        let leaving = targets
            .max_by_key(|t| Deployment::arrivals(t).len())
            .unwrap();
        let begun = Deployment::arrivals(leaving).len();
        leaving.set_leaving(true);
        let start = Instant::now();
        let told = || Deployment::arrivals(leaving).iter().any(|a| a.at >= start);
        while !told() {
            let id = format!("0-{:016x}", rand::rng().random::<u64>());
            tokio::spawn(call(gateway, request(ENGINE.0, ENGINE.1, &id)));
            time::sleep(Duration::from_millis(20)).await;
        }
        begun
    };
    let (answers, begun) = tokio::join!(streams, leave);
    for answer in answers {
        let body = answer.unwrap().into_body();
        assert!(body.ends_with(b"id: 10\ndata: token10\n\n"), "{body:?}");
    }
    let received = deployment.targets.iter().flat_map(Target::received);
    let sent = received.filter(|r| {
        let id = r.headers.get("x-corianderramp-request-id");
        ids.iter()
            .any(|known| id.is_some_and(|id| id == known.as_str()))
    });
    assert_eq!(sent.count(), ids.len(), "sent again");
    assert!(begun >= 3, "{begun} streams at the leaving engine");
}

async fn assert_wait_is_kept(deployment: &Deployment, behavior: Behavior) {
    deployment.targets[0].set_behavior(Behavior::DeclineFor(WAIT_TEXT));
    let answers = deployment.load(Duration::from_secs(8)).await;
    let served = share_served(&answers);
    let early = deployment.early();
    assert!(
        early.is_empty() && served >= 0.97,
        "{} refusals with early requests, at most {:?}; {served:.3} served",
        early.len(),
        early.iter().max()
    );
    deployment.targets[0].set_behavior(behavior);
    time::sleep(WAIT).await;
    let restart = Instant::now();
    deployment.load(Duration::from_secs(2)).await;
    let arrivals = Deployment::arrivals(&deployment.targets[0]);
    let used = arrivals.iter().filter(|a| a.at >= restart).count();
    assert!(used > 0, "the target is not used again");
}

/// One engine of three wanted no requests for a while, got them all the same, and callers were
/// refused although two others served.
#[tokio::test]
async fn engine_that_names_a_wait_gets_no_requests_in_it() {
    let deployment = Deployment::engines(3).await;
    assert_wait_is_kept(&deployment, STREAM).await;
}

/// The same at a plain target, which no host stands before.
#[tokio::test]
async fn plain_target_that_names_a_wait_gets_no_requests_in_it() {
    let deployment = Deployment::plain(4).await;
    assert_wait_is_kept(&deployment, REPLY).await;
}

async fn assert_waits_of_all_are_kept(deployment: &Deployment, behavior: Behavior) {
    let start = Instant::now();
    for target in &deployment.targets {
        target.set_behavior(Behavior::DeclineFor(WAIT_TEXT));
    }
    let answers = deployment.load(Duration::from_secs(8)).await;
    let early = deployment.early();
    assert!(
        early.is_empty(),
        "{} refusals with early requests, at most {:?}",
        early.len(),
        early.iter().max()
    );
    assert!(answers.iter().all(|a| !a.is_served()));
    let targets: Vec<Vec<Arrival>> = deployment
        .targets
        .iter()
        .map(Deployment::arrivals)
        .collect();
    let mut waits = Vec::new();
    for answer in &answers {
        // Until when each target wants none, as far as the gateway was told.
        let ends = targets.iter().map(|arrivals| {
            let known = arrivals
                .iter()
                .filter(|a| a.gateway == answer.gateway && a.at >= start && a.at < answer.sent);
            known.map(|a| a.at + WAIT).max()
        });
        let ends: Option<Vec<Instant>> = ends.collect();
        let Some(earliest) = ends.and_then(|e| e.into_iter().min()) else {
            continue;
        };
        if earliest < answer.came + IN_FLIGHT_TIME {
            continue;
        }
        let took = answer.came - answer.sent;
        assert!(took < REFUSAL_TIME, "refused after {took:?}");
        let left = earliest - answer.came;
        let wait = answer.retry_after();
        let latest = left + Duration::from_secs(1);
        assert!(
            (left..latest).contains(&wait),
            "told {wait:?}, {left:?} are left"
        );
        waits.push(wait.checked_sub(left).unwrap());
    }
    assert!(waits.len() > 100, "{} refusals in the wait", waits.len());
    let (first, last) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    let spread = last.checked_sub(*first).unwrap();
    assert!(
        spread > Duration::from_millis(100),
        "spread over {spread:?}"
    );
    for target in &deployment.targets {
        target.set_behavior(behavior.clone());
    }
    time::sleep(WAIT).await;
    let answers = deployment.load(Duration::from_secs(1)).await;
    assert!(answers.iter().all(Answer::is_served));
}

/// With all engines in need, callers were refused only after engines had been asked, and were
/// told to come back too early.
#[tokio::test]
async fn waits_of_all_engines_are_kept_and_told_to_callers() {
    let deployment = Deployment::engines(5).await;
    assert_waits_of_all_are_kept(&deployment, STREAM).await;
}

/// The same at plain targets.
#[tokio::test]
async fn waits_of_all_plain_targets_are_kept_and_told_to_callers() {
    let deployment = Deployment::plain(6).await;
    assert_waits_of_all_are_kept(&deployment, REPLY).await;
}
