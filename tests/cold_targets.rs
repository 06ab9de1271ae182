//! Cold targets: the bound on what all gateways together send them, under each load and failure
//! that the permits must stand.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{ColdStart, Config, Phase, Service, Target};
use corianderramp::place::cold::{self, Bound, Limiter, Limiters, Pace, Start, Tracker};
use corianderramp::place::limit::Permit;
use corianderramp::place::pool::{AgentState, Pool, Requirements};
use corianderramp::place::scope::Scope;
use corianderramp::place::slots::GrantId;
use corianderramp::platform::decode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

const COLD: ColdStart = ColdStart {
    time: Duration::from_secs(3),
    rate: 26.0,
};
const BOUND: Bound = Bound {
    overage: 1.5,
    slack: 5.0,
};
const SECOND: Duration = Duration::from_secs(1);
/// Requests that a cold target may get in any second.
const ALLOWED: usize = 44;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id(gateway_id: u64, request_id: u64) -> GrantId {
    GrantId {
        gateway_id,
        request_id,
    }
}

/// Largest number of arrivals in any second.
fn most_in_a_second(arrivals: &mut [Instant]) -> usize {
    arrivals.sort_unstable();
    let from = |begin: &Instant| {
        let within = arrivals
            .iter()
            .filter(|at| *at >= begin && **at < *begin + SECOND);
        within.count()
    };
    arrivals.iter().map(from).max().unwrap_or(0)
}

/// Gateways that ask for permits for one target every few milliseconds each, four times what
/// it takes, and send up to 150 ms after a permit.
struct Load {
    rng: StdRng,
    blocked: Vec<Instant>,
    arrivals: Vec<Instant>,
    number: u64,
}

impl Load {
    fn new(gateways: usize, seed: u64, start: Instant) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            blocked: vec![start; gateways],
            arrivals: Vec::new(),
            number: 0,
        }
    }

    /// Lets one gateway ask at `now`.
    fn ask(&mut self, now: Instant, mut request: impl FnMut(usize, GrantId) -> Permit) {
        self.number += 1;
        let gateway = self.rng.random_range(0..self.blocked.len());
        if now < self.blocked[gateway] {
            return;
        }
        match request(gateway, id(gateway as u64, self.number)) {
            Permit::Granted => {
                let way = ms(self.rng.random_range(0..150));
                self.arrivals.push(now + way);
            }
            Permit::Denied(wait) => self.blocked[gateway] = now + wait,
        }
    }
}

/// A data centre came back with all of its engines cold under four times the load: each must get
/// at most its bound in any second, and nine tenths of its rate.
#[test]
fn engines_of_a_data_center_that_are_cold_at_once_keep_the_bound() {
    let start = Instant::now();
    for engine in 0..12 {
        let mut limiter = Limiter::default();
        let mut load = Load::new(52, engine, start);
        for n in 0..1_500_u64 {
            let now = start + ms(2 * n);
            load.ask(now, |_, id| limiter.request(id, BOUND.pace(COLD.rate), now));
        }
        let count = load.arrivals.len();
        assert!((70..=82).contains(&count), "{count} in 3 s");
        let most = most_in_a_second(&mut load.arrivals);
        assert!(most <= ALLOWED, "{most} in a second");
    }
}

/// The host restarted while its engine was cold, at any moment: a new process must not give out
/// a burst beside what the one before gave out.
#[test]
fn restarts_of_the_host_keep_the_bound() {
    for seed in 0..20 {
        let start = Instant::now();
        let mut limiter = Limiter::default();
        let mut load = Load::new(52, seed, start);
        for n in 0..1_500_u64 {
            let now = start + ms(2 * n);
            if load.rng.random_range(0..150) == 0 {
                limiter = Limiter::default();
            }
            load.ask(now, |_, id| limiter.request(id, BOUND.pace(COLD.rate), now));
        }
        let most = most_in_a_second(&mut load.arrivals);
        assert!(most <= ALLOWED, "{most} in a second, seed {seed}");
    }
}

/// An engine restarted between two reports, at any moment under load: what it got in the tenth of
/// a second before the host saw that must count.
#[test]
fn engine_that_turns_cold_again_under_load_keeps_the_bound() {
    for seed in 0..20 {
        let start = Instant::now();
        let mut limiter = Limiter::default();
        let mut load = Load::new(52, seed, start);
        let mut tracker = Tracker::default();
        let mut born = 1;
        let mut restarted = None;
        let mut cold_arrivals = Vec::new();
        for n in 0..5_000_u64 {
            let now = start + ms(2 * n);
            if load.rng.random_range(0..2_500) == 0 || n == 3_000 {
                born += 1;
                restarted = Some(now);
            }
            if n % 50 == 0 {
                let seen = Start {
                    started: born,
                    left: None,
                };
                tracker.observe(seen, Some(COLD), now, Some(SystemTime::now()));
            }
            let is_cold = !tracker.left(now).is_zero();
            let pace = BOUND.pace(COLD.rate);
            // Warm, it gets 250 requests a second.
            if !is_cold && n % 2 != 0 {
                continue;
            }
            let before = load.arrivals.len();
            load.ask(now, |_, id| {
                if is_cold {
                    return limiter.request(id, pace, now);
                }
                limiter.count(pace, now);
                Permit::Granted
            });
            if restarted.is_some_and(|at| now < at + COLD.time) {
                cold_arrivals.extend_from_slice(&load.arrivals[before..]);
            }
        }
        assert!(born > 1, "seed {seed} restarts nothing");
        let most = most_in_a_second(&mut cold_arrivals);
        assert!(most <= ALLOWED, "{most} in a second, seed {seed}");
    }
}

/// Gateways that disagree about who can be reached must keep the bound together: some ask the
/// first witness, some the second, and some none.
#[test]
fn divided_gateways_keep_the_bound_of_a_plain_target() {
    for seed in 0..20 {
        let start = Instant::now();
        let (mut first, mut second) = (Limiters::default(), Limiters::default());
        let mut lone = vec![Limiters::default(); 52];
        let mut load = Load::new(52, seed, start);
        let delays: Vec<f64> = (0..52).map(|_| load.rng.random()).collect();
        for n in 0..1_500_u64 {
            let now = start + ms(2 * n);
            load.ask(now, |gateway, id| match gateway % 3 {
                0 => first.request(7, id, BOUND.pace(COLD.rate), Duration::ZERO, now),
                1 => {
                    let pace = BOUND.fallback_pace(COLD.rate).unwrap();
                    second.request(7, id, pace, Duration::ZERO, now)
                }
                _ => {
                    let pace = BOUND.lone_pace(COLD.rate);
                    let delay = pace.interval().mul_f64(delays[gateway]);
                    lone[gateway].request(7, id, pace, delay, now)
                }
            });
        }
        let most = most_in_a_second(&mut load.arrivals);
        assert!(most <= ALLOWED, "{most} in a second, seed {seed}");
    }
}

/// Gateways without any witness saw the target start at the same moment; 330 of them must not
/// send their first requests together.
#[test]
fn gateways_without_a_witness_keep_the_bound() {
    let start = Instant::now();
    let mut lone = vec![Limiters::default(); 330];
    let mut load = Load::new(330, 3, start);
    let delays: Vec<f64> = (0..330).map(|_| load.rng.random()).collect();
    for n in 0..30_000_u64 {
        let now = start + Duration::from_micros(100) * u32::try_from(n).unwrap();
        let pace = BOUND.lone_pace(COLD.rate);
        load.ask(now, |gateway, id| {
            let delay = pace.interval().mul_f64(delays[gateway]);
            lone[gateway].request(7, id, pace, delay, now)
        });
    }
    let most = most_in_a_second(&mut load.arrivals);
    assert!((5..=ALLOWED).contains(&most), "{most} in a second");
}

/// A lost reply is asked for again and must not use up a second permit; a request that was
/// declined, or found no slot, gives its permit back.
#[test]
fn permits_are_not_lost() {
    let now = Instant::now();
    let mut limiter = Limiter::default();
    let pace = Pace::new(10.0, 1.0);
    assert_eq!(limiter.request(id(1, 1), pace, now), Permit::Granted);
    assert_eq!(limiter.request(id(1, 1), pace, now), Permit::Granted);
    let denied = Permit::Denied(ms(100));
    assert_eq!(limiter.request(id(1, 2), pace, now), denied);
    limiter.cancel(id(1, 2));
    assert_eq!(limiter.request(id(1, 2), pace, now), denied);
    limiter.cancel(id(1, 1));
    limiter.cancel(id(1, 1));
    assert_eq!(limiter.request(id(1, 3), pace, now), Permit::Granted);
    assert_eq!(limiter.request(id(1, 4), pace, now), denied);
}

/// Targets come and go by the thousand, and a datagram may name any pace: neither may fill the
/// memory or stop the process.
#[test]
fn limiters_are_bounded_for_any_request() {
    let now = Instant::now();
    let mut limiters = Limiters::default();
    for (rate, burst) in [
        (f64::NAN, f64::NAN),
        (f64::INFINITY, f64::INFINITY),
        (-1.0, -1.0),
        (0.0, 0.0),
        (1e300, 1e300),
        (1e-300, 1e300),
    ] {
        for lifetime in 0..1_000 {
            let pace = Pace::new(rate, burst);
            limiters.request(lifetime, id(1, lifetime), pace, Duration::ZERO, now);
        }
    }
    // The first ones are forgotten.
    let pace = Pace::new(1.0, 1.0);
    let mut limiters = Limiters::default();
    let mut request = |lifetime, n| limiters.request(lifetime, id(1, n), pace, Duration::ZERO, now);
    assert_eq!(request(0, 0), Permit::Granted);
    assert_eq!(request(0, 1), Permit::Denied(SECOND));
    for lifetime in 1..=256 {
        assert_eq!(request(lifetime, 0), Permit::Granted);
    }
    assert_eq!(request(0, 2), Permit::Granted);
}

fn engine_target(id: &str, n: u8, data_center: &str, started: u64) -> Entry<Target> {
    Entry {
        name: id.to_owned(),
        revision: 1,
        value: Target {
            id: id.to_owned(),
            service: "llm".to_owned(),
            address: SocketAddr::from(([10, 0, 0, n], 80)),
            data_center: data_center.to_owned(),
            slots: 12,
            phase: Phase::Ready,
            started,
            has_engine: true,
            weights: Some(1),
            cold_left: Duration::ZERO,
        },
    }
}

fn catalog(targets: Vec<Entry<Target>>) -> Catalog {
    let service = Service {
        name: "llm".to_owned(),
        engine: None,
        origin: None,
        cold: Some(COLD),
        is_unreadable: false,
    };
    Catalog {
        config: Some(Arc::new(Config {
            services: vec![service],
            ..Config::default()
        })),
        targets,
        ..Catalog::default()
    }
}

/// A cold engine whose host does not answer got two requests from each of 52 gateways; it must get
/// none, and requests again as soon as its host answers.
#[test]
fn cold_engine_with_a_silent_host_gets_nothing() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let needs = Requirements {
        timing: None,
        service: "llm",
        excluded: &[],
        min_version: Some(1),
        data_center: "a",
        scope: &Scope::ANY,
    };
    let targets = catalog(vec![engine_target("i-1", 1, "a", 5)]);
    pool.sync(&targets);
    pool.sync_cold(&targets, now, None);
    let key = pool.find(targets.targets[0].value.address).unwrap();
    assert_eq!(pool.choose(&needs, now, || 0.5), None);
    // Warm again, as far as this gateway knows: as for any silent host.
    assert_eq!(pool.choose(&needs, now + COLD.time, || 0.5), Some(key));
    let state = |cold, received| AgentState {
        free: 12,
        wait: Duration::ZERO,
        weights: 1,
        is_open: true,
        prefill: Duration::ZERO,
        cold,
        received,
    };
    pool.update_state(key, state(ms(1_500), now));
    assert_eq!(pool.choose(&needs, now, || 0.5), Some(key));
    pool.mark_unresponsive(key, now + ms(100));
    assert_eq!(pool.choose(&needs, now + ms(1_400), || 0.5), None);
    let later = now + ms(1_500);
    assert_eq!(pool.choose(&needs, later, || 0.5), Some(key));
    pool.update_state(key, state(Duration::ZERO, now));
    pool.mark_unresponsive(key, now);
    assert_eq!(pool.choose(&needs, now, || 0.5), Some(key));
}

/// All gateways must ask the same witness, whichever they can reach, and only one that was there
/// before the target, since gateways learn of a new host at different times.
#[test]
fn witnesses_depend_on_registrations_alone() {
    let mut plain = engine_target("p-1", 9, "b", 100_000);
    plain.value.has_engine = false;
    let mut targets = vec![
        engine_target("i-1", 1, "a", 1_000),
        engine_target("i-2", 2, "b", 1_000),
        engine_target("i-3", 3, "b", 95_000),
        plain.clone(),
    ];
    let choose = |targets: &[Entry<Target>]| {
        let mut pool = Pool::default();
        pool.sync(&catalog(targets.to_vec()));
        let found = cold::witnesses(&pool, &plain.value);
        let names: Vec<(SocketAddr, bool)> =
            found.iter().map(|w| (w.address, w.is_first)).collect();
        names
    };
    let address = |n| SocketAddr::from(([10, 0, 0, n], 80));
    let expected = vec![(address(2), true), (address(1), false)];
    assert_eq!(choose(&targets), expected);
    targets.remove(2);
    assert_eq!(choose(&targets), expected);
    let new = vec![engine_target("i-3", 3, "b", 95_000), plain.clone()];
    assert_eq!(choose(&new), vec![(address(3), false)]);
    assert_eq!(choose(std::slice::from_ref(&plain)), vec![]);
}

/// Each way in which a target turns cold, and those in which it only seems so.
#[test]
fn starts_are_told_from_old_lifetimes() {
    let now = Instant::now();
    let wall = UNIX_EPOCH + Duration::from_secs(10_000);
    let start = |started, left| Start { started, left };
    let mut tracker = Tracker::default();
    // This process started beside a target that has run for long.
    assert!(!tracker.observe(start(1_000, None), Some(COLD), now, Some(wall)));
    assert_eq!(tracker.rate(now), None);
    // Its registration arrives later.
    let left = Some(ms(2_000));
    assert!(!tracker.observe(start(1_000, left), Some(COLD), now, Some(wall)));
    // It turns cold again without a new lifetime.
    assert!(tracker.observe(start(1_000, Some(ms(2_500))), Some(COLD), now, None));
    assert_eq!(tracker.left(now), ms(2_500));
    assert_eq!(tracker.rate(now), Some(26.0));
    assert!(!tracker.observe(start(1_000, Some(ms(2_500))), Some(COLD), now, None));
    assert_eq!(tracker.rate(now + ms(2_500)), None);
    // A new lifetime, with the time of its registration or else the whole one.
    let later = now + ms(9_000);
    assert!(tracker.observe(start(2_000, left), Some(COLD), later, Some(wall)));
    assert_eq!(tracker.left(later), ms(2_000));
    assert!(tracker.observe(start(3_000, None), Some(COLD), later, Some(wall)));
    assert_eq!(tracker.left(later), COLD.time);
    // A process that ended and came back with the same start, as it names none.
    tracker.record_end();
    let again = later + ms(9_000);
    assert!(tracker.observe(start(3_000, None), Some(COLD), again, None));
    // A time of hours counts as the cold start of the service.
    let hours = Some(Duration::from_secs(36_000));
    assert!(tracker.observe(start(4_000, hours), Some(COLD), again, None));
    assert_eq!(tracker.left(again), COLD.time);
    // The configuration names a cold start only later, and none any more.
    let mut tracker = Tracker::default();
    tracker.observe(start(9_990_000, None), None, now, Some(wall));
    assert_eq!(tracker.left(now), Duration::ZERO);
    let later = now + ms(1_000);
    tracker.observe(start(9_990_000, None), Some(COLD), later, None);
    assert_eq!(tracker.left(later), ms(2_000));
    tracker.observe(start(9_990_000, None), None, later, None);
    assert_eq!(tracker.left(later), Duration::ZERO);
}

fn decoded(start: &Value, rate: &Value) -> Option<ColdStart> {
    let spec = json!({"version": 1, "routes": [], "services": [
        {"name": "s", "cold_start_s": start, "cold_per_s": rate}]});
    decode::config(spec).unwrap().services[0].cold
}

/// A value of another type, or one out of range, must neither cost the whole configuration nor
/// stop the process.
#[test]
fn bad_cold_times_count_as_none() {
    assert_eq!(decoded(&json!(3), &json!(26)), Some(COLD));
    for bad in [json!(0), json!(-3), json!("3"), json!([3]), json!(null)] {
        assert_eq!(decoded(&bad, &json!(26)), None, "{bad}");
        assert_eq!(decoded(&json!(3), &bad), None, "{bad}");
    }
    let longest = decoded(&json!(1e9), &json!(1e300)).unwrap();
    let mut tracker = Tracker::default();
    let now = Instant::now();
    let start = Start {
        started: u64::MAX,
        left: Some(Duration::MAX),
    };
    assert!(tracker.observe(start, Some(longest), now, Some(SystemTime::now())));
    for (value, expected) in [
        (json!(1_500), ms(1_500)),
        (json!(-5), Duration::ZERO),
        (json!("1500"), Duration::ZERO),
        (json!({}), Duration::ZERO),
        (json!(null), Duration::ZERO),
    ] {
        let spec = json!({"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 1,
            "state": "ready", "cold_remaining_ms": value});
        let target = decode::target("i-1", spec).unwrap();
        assert_eq!(target.cold_left, expected, "{value}");
    }
}
