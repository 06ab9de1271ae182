//! Changes are in force in time at gateways that reach the store, whatever becomes of the relays.
//! The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::Topic;
use corianderramp::node::budget::Budget;
use corianderramp::node::settings::Role;
use http::{Method, StatusCode};
use serde_json::json;
use standins::harness::process::Process;
use standins::users::{self, Behavior, Target};
use tempfile::TempDir;
use tokio::time;

use proxy::Proxy;
use users_fleet::{CHUNKS, Fleet, bounds, call, call_until_ok, request, start_process};

#[path = "support/proxy.rs"]
mod proxy;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// VMs of the hosts, which are the region's relays.
const RELAYS: [u8; 2] = [10, 11];
/// VMs of the gateways.
const GATEWAYS: std::ops::Range<u8> = 20..24;
/// Time between two requests to a gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time between a change of a target and one that comes while the first relay groups changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(40);
/// Time from the changes of targets until something becomes of the relays.
const QUIET_TIME: Duration = Duration::from_millis(460);
/// Time from there until the configuration changes.
const CONFIG_DELAY: Duration = Duration::from_millis(100);

/// Routes of a large configuration.
const LARGE: usize = 1_600;

/// What becomes of the relay with the given index.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store refuses its calls.
    Refuse(usize),
    /// Its link to the store passes nothing.
    Cut(usize),
    /// Its link to the store passes no more calls, but answers.
    CutOneWay(usize),
    /// It is suspended: it accepts connections and is silent.
    Freeze(usize),
    /// It goes on after it was suspended.
    Resume(usize),
    /// It ends.
    Kill(usize),
}

struct Region {
    fleet: Fleet,
    hosts: Vec<Process>,
    links: Vec<Proxy>,
    gateways: Vec<SocketAddr>,
    leaving: Target,
    _targets: Vec<Target>,
    _folder: TempDir,
}

impl Region {
    async fn start(index: u8) -> Self {
        let fleet = Fleet::start(index).await;
        let folder = tempfile::tempdir().unwrap();
        let (mut targets, mut hosts, mut links) = (Vec::new(), Vec::new(), Vec::new());
        for vm in RELAYS {
            targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
            let mut settings = fleet.settings(Role::Host, vm);
            let link = fleet.net.address(3, 8000 + u16::from(vm));
            links.push(Proxy::start(link, settings.store).await);
            settings.store = link;
            hosts.push(start_process(&settings, folder.path()));
        }
        let leaving = fleet.target(16, "desk", 0, Behavior::Respond("ok")).await;
        targets.push(fleet.target(17, "desk", 0, Behavior::Respond("ok")).await);
        let gateways: Vec<_> = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
        for gateway in &gateways {
            call_until_ok(*gateway, Method::GET, "/check/x").await;
        }
        // All follow relays by now.
        time::sleep(Duration::from_secs(3)).await;
        Self {
            fleet,
            hosts,
            links,
            gateways,
            leaving,
            _targets: targets,
            _folder: folder,
        }
    }

    /// Lets `events` happen, each at its time after `start`.
    async fn play(&mut self, start: Instant, events: &[(Duration, Event)]) {
        for (after, event) in events {
            time::sleep_until((start + *after).into()).await;
            self.apply(*event);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Refuse(relay) => self.fleet.store.reject_vm(RELAYS[relay]),
            Event::Cut(relay) => self.links[relay].set_paused(true),
            Event::CutOneWay(relay) => self.links[relay].hold_calls(),
            Event::Freeze(relay) => self.hosts[relay].freeze(),
            Event::Resume(relay) => self.hosts[relay].resume(),
            Event::Kill(relay) => self.hosts[relay].kill(),
        }
    }

    /// Declares a target changed and, within the time that relays group changes, another leaving.
    async fn change_targets(&self) -> Instant {
        let spec = |vm: u8| users::target_spec("desk", self.fleet.net.address(vm, 9000), 0);
        let mut changed = spec(17);
        changed["slots"] = json!(5);
        self.fleet.store.put("servers", "i-17", changed);
        time::sleep(CHANGE_INTERVAL).await;
        let mut leaving = spec(16);
        leaving["state"] = json!("draining");
        self.fleet.store.put("servers", "i-16", leaving);
        Instant::now()
    }

    /// Adds a route with the prefix `/second/`, and `more` others.
    fn change_config(&self, more: usize) -> Instant {
        let mut spec = users::config_spec(2, self.fleet.net.address(2, 8000), CHUNKS);
        let route = spec["routes"][2].clone();
        let names = (0..more).map(|n| format!("more-{n}"));
        for name in names.chain(["second".to_owned()]) {
            let mut route = route.clone();
            route["path_prefix"] = json!(format!("/{name}/"));
            route["name"] = json!(name);
            spec["routes"].as_array_mut().unwrap().push(route);
        }
        self.fleet.store.put("config", "main", spec);
        Instant::now()
    }
}

/// Sends requests to `gateway` until `end`; returns when those were sent that the new route did not
/// serve.
async fn use_gateway(gateway: SocketAddr, end: Instant) -> Vec<Instant> {
    let mut unserved = Vec::new();
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let sent = Instant::now();
        let second = request(Method::GET, "/second/x", &format!("s{count}"));
        let check = request(Method::GET, "/check/x", &format!("c{count}"));
        let (second, checked) = tokio::join!(call(gateway, second), call(gateway, check));
        assert_eq!(checked.unwrap().status(), StatusCode::OK);
        if second.unwrap().status() != StatusCode::OK {
            unserved.push(sent);
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
    unserved
}

/// Plays `events`, each at its time after the first one in milliseconds, after targets and before
/// the configuration have changed, and checks that all gateways act by the changes in time.
async fn check(index: u8, events: &[(u64, Event)]) {
    let mut region = Region::start(index).await;
    let limit = bounds().config_limit();
    let left = region.change_targets().await;
    let start = left + QUIET_TIME;
    let end = start + CONFIG_DELAY + limit * 2;
    let using = { region.gateways.iter() }.map(|gateway| tokio::spawn(use_gateway(*gateway, end)));
    let using: Vec<_> = using.collect();
    let (early, later): (Vec<_>, Vec<_>) = { events.iter() }
        .map(|(after, event)| (Duration::from_millis(*after), *event))
        .partition(|(after, _)| *after <= CONFIG_DELAY);
    region.play(start, &early).await;
    time::sleep_until((start + CONFIG_DELAY).into()).await;
    let configured = region.change_config(0);
    region.play(start, &later).await;
    let mut late = Vec::new();
    for (vm, using) in GATEWAYS.zip(using) {
        let unserved = using.await.unwrap();
        let last = unserved.last().map(|sent| sent.duration_since(configured));
        late.extend(last.filter(|last| *last > limit).map(|last| (vm, last)));
    }
    assert!(late.is_empty(), "{events:?}: not in force at {late:?}");
    let received = region.leaving.received();
    let last = received.iter().map(|r| r.at).max().unwrap();
    let last = last.saturating_duration_since(left);
    assert!(
        last <= limit,
        "{events:?}: reached {last:?} after its leaving"
    );
}

/// Both relays lost the store and knew it, or not; gateways waited for them one after the other,
/// and changes were in force seconds late (review case 6).
#[tokio::test]
async fn relays_that_the_store_refuses() {
    check(0, &[(0, Event::Refuse(0)), (0, Event::Refuse(1))]).await;
}

/// The same with links on which nothing arrives any more.
#[tokio::test]
async fn relays_that_are_cut_off() {
    check(1, &[(0, Event::Cut(0)), (0, Event::Cut(1))]).await;
}

/// Answers to watches that were sent before made a relay look current (review case 10).
#[tokio::test]
async fn relays_that_are_cut_off_one_way() {
    check(2, &[(0, Event::CutOneWay(0)), (0, Event::CutOneWay(1))]).await;
}

/// The same when only one relay is cut off, the first one of the region or the other one.
#[tokio::test]
async fn one_relay_that_is_cut_off_one_way() {
    check(3, &[(0, Event::CutOneWay(0))]).await;
    check(4, &[(0, Event::CutOneWay(1))]).await;
}

/// A leaving that was acknowledged while the first relay grouped changes was known to nobody when
/// the relays fell silent, and each was waited for in turn (review case 7).
#[tokio::test]
async fn relays_that_fall_silent() {
    check(5, &[(0, Event::Freeze(0)), (0, Event::Freeze(1))]).await;
}

/// The same when only one relay falls silent.
#[tokio::test]
async fn one_relay_that_falls_silent() {
    check(6, &[(0, Event::Freeze(0))]).await;
    check(7, &[(0, Event::Freeze(1))]).await;
}

/// The same when the relays end.
#[tokio::test]
async fn relays_that_end() {
    check(8, &[(0, Event::Kill(0)), (0, Event::Kill(1))]).await;
}

/// Each loss started the time anew in which a gateway waits for a relay.
#[tokio::test]
async fn relays_that_fail_in_turn() {
    check(9, &[(0, Event::Cut(0)), (700, Event::Freeze(1))]).await;
    check(10, &[(0, Event::Freeze(1)), (700, Event::CutOneWay(0))]).await;
}

/// A relay that was suspended read an answer of before when it went on, looked current by it, and
/// was lost right after.
#[tokio::test]
async fn relays_that_go_on_for_a_moment() {
    let frozen = [(0, Event::Freeze(0)), (0, Event::Freeze(1))];
    let gone_on = [(1_000, Event::Resume(0)), (1_000, Event::Resume(1))];
    let lost = [(1_060, Event::Freeze(0)), (1_060, Event::Freeze(1))];
    check(11, &[frozen, gone_on, lost].concat()).await;
}

/// Shorter leases must not make nodes turn to the store while nothing is disturbed: the first relay
/// calls for all.
#[tokio::test]
async fn calm_region_makes_few_calls() {
    let region = Region::start(12).await;
    let before = region.fleet.store.full_cost_calls();
    let time = Duration::from_secs(10);
    time::sleep(time).await;
    let calls = region.fleet.store.full_cost_calls() - before;
    // Two topics in each interval, and the third one less often.
    let interval = Budget::of(Topic::Config, &bounds()).watch_interval();
    let allowed = 3 * time.as_millis() / interval.as_millis();
    assert!(
        (calls as u128) < allowed,
        "{calls} calls, {allowed} allowed"
    );
}

/// A configuration of many routes took longer than a lease on the links of the relays. All nodes
/// turned to the store, each for the whole of it, over links that they share, and other changes came
/// late.
#[tokio::test]
async fn nodes_wait_while_a_large_configuration_arrives() {
    let region = Region::start(13).await;
    region.links.iter().for_each(Proxy::slow_down);
    let before = region.fleet.store.full_cost_vms().len();
    let changed = region.change_config(LARGE);
    for gateway in &region.gateways {
        call_until_ok(*gateway, Method::GET, "/second/x").await;
    }
    let limits = Budget::of(Topic::Config, &bounds());
    let took = changed.elapsed();
    assert!(took > limits.longest_lease(), "too small: {took:?}");
    let callers = region.fleet.store.full_cost_vms().split_off(before);
    let gateways = callers.iter().filter(|vm| GATEWAYS.contains(vm)).count();
    assert_eq!(gateways, 0, "calls of VMs {callers:?}");
}
