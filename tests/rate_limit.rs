//! Rate limits of targets: one test for each load pattern that their keepers must handle.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::node::message::RateLimit;
use corianderramp::place::eligibility::{Cause, Pause};
use corianderramp::place::limit::{Limits, Notice, Permit};
use corianderramp::place::pool::{Pool, Requirements};
use corianderramp::place::slots::GrantId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Hash of the limited target's lifetime.
const LIFETIME: u64 = 7;
/// Length of the windows in which users count arrivals.
const WINDOW: Duration = Duration::from_secs(4);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn notice(rate: Option<f64>, at: Instant) -> Notice {
    Notice { rate, at, sent: at }
}

fn id(gateway_id: u64, request_id: u64) -> GrantId {
    GrantId {
        gateway_id,
        request_id,
    }
}

/// Replays 40 requests a second over twelve gateways, half of them at one, for a minute.
/// Returns the times of the permits with their gateways.
fn replay(limits: &mut Limits, rate: f64, start: Instant, seed: u64) -> Vec<(Instant, usize)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut blocked = [start; 12];
    let mut granted = Vec::new();
    for n in 0..2_400_u64 {
        let now = start + ms(25) * u32::try_from(n).unwrap();
        let is_busy: bool = rng.random();
        let gateway = if is_busy { 0 } else { rng.random_range(0..12) };
        if now < blocked[gateway] {
            continue;
        }
        // Each gateway tells the keeper what it knows.
        limits.update(LIFETIME, notice(Some(rate), start));
        match limits.request(LIFETIME, id(gateway as u64, n), now) {
            Permit::Granted => granted.push((now, gateway)),
            Permit::Denied(wait) => blocked[gateway] = now + wait,
        }
    }
    granted
}

/// All gateways together sent 85 to 95 requests in 4 s to a target that takes 2 a second. The
/// limit must be kept in each window, nine tenths of it used, and each gateway get a part.
#[test]
fn limit_is_kept_and_used_by_uneven_gateways() {
    for (seed, rate) in [(1, 2.0), (2, 1.3), (3, 0.5), (4, 8.0)] {
        let start = Instant::now();
        let granted = replay(&mut Limits::default(), rate, start, seed);
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        for (begin, _) in &granted {
            let within = granted
                .iter()
                .filter(|(at, _)| at >= begin && *at < *begin + WINDOW);
            let count = u32::try_from(within.count()).unwrap();
            assert!(f64::from(count) <= allowed, "{count} of {allowed}");
        }
        let used = f64::from(u32::try_from(granted.len()).unwrap());
        assert!(used >= 0.9 * rate * 60.0, "{used} at {rate}");
        if rate >= 1.0 {
            for gateway in 0..12 {
                assert!(
                    granted.iter().any(|(_, g)| *g == gateway),
                    "gateway {gateway} starves"
                );
            }
        }
    }
}

/// A keeper that has just started knows no limit; the first gateway that asks tells it, and it
/// must not give out a second burst.
#[test]
fn limit_outlives_a_restart_of_its_keeper() {
    let start = Instant::now();
    let before = replay(&mut Limits::default(), 2.0, start, 5);
    let restart = start + ms(60_000);
    let after = replay(&mut Limits::default(), 2.0, restart, 6);
    let all: Vec<Instant> = before.iter().chain(&after).map(|(at, _)| *at).collect();
    for begin in &all {
        let within = all
            .iter()
            .filter(|at| *at >= begin && **at < *begin + WINDOW);
        assert!(within.count() <= 17);
    }
}

/// A lost reply is asked for again; it must not use up a second permit. One whose request found
/// no slot is given back.
#[test]
fn permits_are_not_lost() {
    let now = Instant::now();
    let mut limits = Limits::default();
    assert!(limits.update(LIFETIME, notice(Some(1.0), now)));
    assert_eq!(limits.request(LIFETIME, id(1, 1), now), Permit::Granted);
    assert_eq!(limits.request(LIFETIME, id(1, 1), now), Permit::Granted);
    assert_eq!(
        limits.request(LIFETIME, id(1, 2), now),
        Permit::Denied(ms(1_000))
    );
    limits.cancel(LIFETIME, id(1, 2));
    limits.cancel(LIFETIME, id(1, 1));
    assert_eq!(limits.request(LIFETIME, id(1, 3), now), Permit::Granted);
    // Other targets, and later lifetimes of this one, have no limit.
    assert_eq!(limits.request(8, id(1, 4), now), Permit::Granted);
}

/// Answers reach gateways out of order: one that began before the limit must not end it, and
/// one whose request was sent afterwards must.
#[test]
fn only_answers_to_later_requests_end_a_limit() {
    let start = Instant::now();
    let mut limits = Limits::default();
    limits.update(LIFETIME, notice(Some(0.5), start + ms(100)));
    let late = Notice {
        rate: None,
        at: start + ms(200),
        sent: start + ms(50),
    };
    assert!(!limits.update(LIFETIME, late));
    assert_eq!(limits.notices().count(), 1);
    let end = Notice {
        rate: None,
        at: start + ms(300),
        sent: start + ms(250),
    };
    assert!(limits.update(LIFETIME, end));
    assert_eq!(limits.notices().count(), 0);
    for n in 0..100 {
        let permit = limits.request(LIFETIME, id(1, n), start + ms(300));
        assert_eq!(permit, Permit::Granted);
    }
    // A gateway that has not heard of the end does not bring the limit back.
    assert!(!limits.update(LIFETIME, notice(Some(0.5), start + ms(100))));
    // The target may name one again, or another one.
    assert!(limits.update(LIFETIME, notice(Some(3.0), start + ms(400))));
    assert!(limits.update(LIFETIME, notice(Some(1.0), start + ms(500))));
    assert!(!limits.update(LIFETIME, notice(Some(3.0), start + ms(450))));
    assert_eq!(limits.notices().next().unwrap().1.rate, Some(1.0));
}

/// A limit of nothing at all could never end: now and then a request must ask.
#[test]
fn limit_of_zero_leaves_room_to_end() {
    let start = Instant::now();
    let mut limits = Limits::default();
    limits.update(LIFETIME, notice(Some(0.0), start));
    let count = (0..600_u64).filter(|n| {
        let now = start + ms(100 * n);
        limits.request(LIFETIME, id(1, *n), now) == Permit::Granted
    });
    assert!((2..=5).contains(&count.count()));
}

/// Targets come and go by the thousand; their limits must not fill the memory.
#[test]
fn remembered_limits_are_bounded() {
    let start = Instant::now();
    let mut limits = Limits::default();
    for lifetime in 0..5_000 {
        limits.update(lifetime, notice(Some(1.0), start + ms(lifetime)));
    }
    assert!(limits.notices().count() <= 1_024);
    assert!(limits.notices().any(|(lifetime, _)| lifetime == 4_999));
}

/// Notices keep their order on the way through processes with clocks of their own.
#[test]
fn notices_travel_by_age() {
    let start = Instant::now();
    let sent = Notice {
        rate: Some(1.5),
        at: start,
        sent: start,
    };
    let message = RateLimit::new(LIFETIME, &sent, start + ms(40));
    let received = message.notice(start + ms(40));
    assert_eq!(received, sent);
}

fn target(id: &str, n: u8) -> Entry<Target> {
    Entry {
        name: id.to_owned(),
        revision: 1,
        value: Target {
            id: id.to_owned(),
            service: "desk".to_owned(),
            address: std::net::SocketAddr::from(([10, 0, 0, n], 80)),
            data_center: "a".to_owned(),
            slots: 4,
            phase: Phase::Ready,
            started: 1,
            has_engine: false,
            weights: None,
            cold_left: std::time::Duration::ZERO,
        },
    }
}

/// What a target in need leaves no room for goes to others; if there are none, the caller is
/// told at once when there will be room. The end of a limit opens the target again at once.
#[test]
fn limited_target_is_passed_by_until_it_has_room() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let targets = vec![target("i-1", 1), target("i-2", 2)];
    pool.sync(&Catalog {
        targets: targets.clone(),
        ..Catalog::default()
    });
    let keys: Vec<_> = targets
        .iter()
        .map(|t| pool.find(t.value.address).unwrap())
        .collect();
    let needs = Requirements {
        service: "desk",
        excluded: &[],
        min_version: None,
        data_center: "a",
        scope: &corianderramp::place::scope::Scope::ANY,
        timing: None,
    };
    assert!(pool.record_limit(keys[0], notice(Some(0.5), now)));
    pool.record_limited(keys[0], now + ms(2_000));
    for n in 0..10 {
        let draw = f64::from(n) / 10.0;
        assert_eq!(pool.choose(&needs, now, || draw), Some(keys[1]));
    }
    assert_eq!(pool.pause(&needs, now), None);
    pool.record_limit(keys[1], notice(Some(1.0), now));
    pool.record_limited(keys[1], now + ms(700));
    assert_eq!(pool.choose(&needs, now, || 0.5), None);
    let pause = Pause {
        time: ms(700),
        cause: Cause::RateLimit,
    };
    assert_eq!(pool.pause(&needs, now), Some(pause));
    assert_eq!(pool.choose(&needs, now + ms(700), || 0.5), Some(keys[1]));
    let end = Notice {
        rate: None,
        at: now + ms(100),
        sent: now + ms(50),
    };
    assert!(pool.record_limit(keys[0], end));
    assert_eq!(pool.choose(&needs, now + ms(100), || 0.5), Some(keys[0]));
}
