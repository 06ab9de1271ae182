//! Whether a target may be asked, and when: a replay of each load pattern.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::place::eligibility::{Cause, Eligibility, Pause, Verdict};
use corianderramp::place::limit::Notice;
use corianderramp::place::pool::{Pool, Requirements, TargetKey};
use corianderramp::place::scope::Scope;

const NEEDS: Requirements<'static> = Requirements {
    service: "desk",
    excluded: &[],
    min_version: None,
    data_center: "a",
    scope: &Scope::ANY,
    timing: None,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(n: u8, started: u64) -> Target {
    Target {
        id: format!("i-{n}"),
        service: "desk".to_owned(),
        address: std::net::SocketAddr::from(([10, 0, 0, n], 80)),
        data_center: "a".to_owned(),
        slots: 4,
        phase: Phase::Ready,
        started,
        has_engine: false,
        weights: None,
        cold_left: std::time::Duration::ZERO,
    }
}

fn catalog(targets: &[Target]) -> Catalog {
    let entry = |target: &Target| Entry {
        name: target.id.clone(),
        revision: 1,
        value: target.clone(),
    };
    Catalog {
        targets: targets.iter().map(entry).collect(),
        ..Catalog::default()
    }
}

/// Pool of three targets, with their keys and the hashes of their lifetimes.
fn pool() -> (Pool, Vec<(TargetKey, u64)>) {
    let targets: Vec<Target> = (1..4).map(|n| target(n, 1)).collect();
    let mut pool = Pool::default();
    pool.sync(&catalog(&targets));
    let known = targets.iter().map(|t| lifetime(&pool, t)).collect();
    (pool, known)
}

fn lifetime(pool: &Pool, target: &Target) -> (TargetKey, u64) {
    let key = pool.find(target.address).unwrap();
    (key, pool.get(key).unwrap().lifetime)
}

fn is_never(pool: &Pool, key: TargetKey) -> bool {
    let entry = pool.get(key).unwrap();
    entry.eligibility.verdict(Instant::now()) == Verdict::Never
}

fn pause(time: Duration) -> Pause {
    Pause {
        time,
        cause: Cause::Wait,
    }
}

/// One of three targets turns each request away and names 2.5 s; gateways went on sending it a
/// third of their requests, and each was refused or sent again.
#[test]
fn target_that_names_a_wait_is_asked_once_in_it() {
    let start = Instant::now();
    let (mut pool, known) = pool();
    let (busy, lifetime) = known[0];
    let mut refused = Vec::new();
    for n in 0..600_u64 {
        let now = start + ms(100 * n);
        let draw = f64::from(u32::try_from(n * 37 % 100).unwrap()) / 100.0;
        let key = pool.choose(&NEEDS, now, || draw).unwrap();
        if key == busy {
            refused.push(now);
            pool.record_wait(key, lifetime, ms(2_500), now);
        }
    }
    assert!((10..=24).contains(&refused.len()), "{}", refused.len());
    let gaps = refused.windows(2).map(|w| w[1] - w[0]);
    assert!(gaps.min().unwrap() >= ms(2_500));
}

/// Answers of one target name several waits, and reach the gateway in any order.
#[test]
fn longest_of_several_waits_holds_and_ends_by_itself() {
    let start = Instant::now();
    let mut target = Eligibility::default();
    assert!(target.record_wait(ms(2_500), start));
    assert!(!target.record_wait(ms(700), start + ms(100)));
    assert!(!target.record_wait(Duration::ZERO, start + ms(200)));
    let at = |time| target.verdict(start + ms(time));
    assert_eq!(at(200), Verdict::Wait(pause(ms(2_300))));
    assert!(target.is_unwanted(start + ms(2_499)));
    assert_eq!(at(2_500), Verdict::Ask);
    let mut longer = target.clone();
    assert!(!longer.record_wait(ms(4_000), start + ms(1_000)));
    let until = longer.verdict(start + ms(2_500));
    assert_eq!(until, Verdict::Wait(pause(ms(2_500))));
    assert!(target.record_wait(ms(1), start + ms(3_000)));
}

/// A wait in the wrong unit, or of centuries, must neither overflow nor cost the target for ever.
#[test]
fn endless_wait_is_kept_for_an_hour() {
    let start = Instant::now();
    let mut target = Eligibility::default();
    target.record_wait(Duration::MAX, start);
    let hour = Duration::from_secs(3_600);
    assert!(target.is_unwanted(start + ms(3_599_999)));
    assert_eq!(target.verdict(start + hour), Verdict::Ask);
}

/// When all targets name waits, callers learned a random time and came back too early.
#[test]
fn pause_of_all_targets_is_the_earliest_end() {
    let start = Instant::now();
    let (mut pool, known) = pool();
    for ((key, lifetime), wait) in known[..2].iter().zip([2_500, 900]) {
        pool.record_wait(*key, *lifetime, ms(wait), start);
    }
    assert_eq!(pool.pause(&NEEDS, start), None);
    let last = known[2].0;
    assert_eq!(pool.choose(&NEEDS, start, || 0.5), Some(last));
    pool.record_wait(last, known[2].1, ms(1_700), start);
    assert_eq!(pool.choose(&NEEDS, start, || 0.5), None);
    assert_eq!(pool.pause(&NEEDS, start), Some(pause(ms(900))));
    // A request that was turned away by one of them learns the same.
    let excluded = [known[1].0];
    let needs = Requirements {
        excluded: &excluded,
        ..NEEDS
    };
    assert_eq!(pool.pause(&needs, start), Some(pause(ms(900))));
    let chosen = pool.choose(&NEEDS, start + ms(900), || 0.5);
    assert_eq!(chosen, Some(known[1].0));
}

/// A target with a rate limit may name a wait too; the later end holds.
#[test]
fn later_of_wait_and_rate_limit_holds() {
    let start = Instant::now();
    let mut target = Eligibility::default();
    target.record_limit(Notice {
        rate: Some(0.5),
        at: start,
        sent: start,
    });
    target.record_limited(start + ms(2_000));
    target.record_wait(ms(500), start);
    let limited = Pause {
        time: ms(2_000),
        cause: Cause::RateLimit,
    };
    assert_eq!(target.verdict(start), Verdict::Wait(limited));
    assert!(!target.is_unwanted(start + ms(500)));
    target.record_wait(ms(2_500), start + ms(500));
    assert_eq!(
        target.verdict(start + ms(1_000)),
        Verdict::Wait(pause(ms(2_000)))
    );
}

/// A target leaves although its registration says that it is ready, also as the last of its
/// service: requests sent to it die with it.
#[test]
fn leaving_target_is_not_asked_again() {
    let now = Instant::now();
    let (mut pool, known) = pool();
    for (n, (key, lifetime)) in known.iter().enumerate() {
        assert!(pool.can_serve(&NEEDS, now));
        assert!(pool.record_leaving(*key, *lifetime));
        assert!(!pool.record_leaving(*key, *lifetime));
        let chosen = pool.choose(&NEEDS, now, || 0.5);
        assert!(!known[..=n].iter().any(|(key, _)| Some(*key) == chosen));
    }
    assert!(!pool.can_serve(&NEEDS, now));
    assert_eq!(pool.pause(&NEEDS, now), None);
    pool.record_result(known[0].0, true, now);
    assert_eq!(pool.choose(&NEEDS, now + ms(3_600_000), || 0.5), None);
}

/// Registrations come and go with the store; what their targets said holds for a lifetime, and
/// for none that follows.
#[test]
fn notices_hold_while_a_registration_is_away() {
    let start = Instant::now();
    let (mut pool, known) = pool();
    let targets: Vec<Target> = (1..4).map(|n| target(n, 1)).collect();
    pool.record_leaving(known[0].0, known[0].1);
    pool.record_wait(known[1].0, known[1].1, ms(2_500), start);
    pool.record_wait(known[2].0, known[2].1, ms(2_500), start);
    let after_restart = catalog(&[target(1, 2), target(3, 1)]);
    pool.sync(&after_restart);
    let (next, _) = lifetime(&pool, &targets[0]);
    assert!(!is_never(&pool, next));
    // An answer to a request that was sent before.
    pool.record_leaving(known[1].0, known[1].1);
    pool.sync(&catalog(&targets));
    for (n, leaves) in [(0, true), (1, true), (2, false)] {
        let (key, _) = lifetime(&pool, &targets[n]);
        assert_eq!(is_never(&pool, key), leaves, "target {n}");
    }
    pool.sync(&after_restart);
    assert!(!is_never(&pool, lifetime(&pool, &targets[0]).0));
    // A wait holds for its lifetime only.
    let verdict = |pool: &Pool, target: &Target| {
        let (key, _) = lifetime(pool, target);
        pool.get(key).unwrap().eligibility.verdict(start)
    };
    assert_eq!(
        verdict(&pool, &target(3, 1)),
        Verdict::Wait(pause(ms(2_500)))
    );
    pool.sync(&catalog(&[target(3, 2)]));
    assert_eq!(verdict(&pool, &target(3, 2)), Verdict::Ask);
    // Another target at the address of one that left.
    let mut other = target(1, 3);
    other.id = "i-9".to_owned();
    pool.sync(&catalog(std::slice::from_ref(&other)));
    let (key, _) = lifetime(&pool, &other);
    assert_eq!(pool.choose(&NEEDS, start, || 0.5), Some(key));
}

/// Targets come and go by the thousand; what they said must not fill the memory, and a
/// registration without a start can't tell lifetimes apart.
#[test]
fn notices_of_former_targets_are_bounded() {
    let mut pool = Pool::default();
    let many = |n: u64| (0..4).map(move |i| target(i, 1 + n)).collect::<Vec<_>>();
    for n in 0..1_000 {
        let targets = many(n);
        pool.sync(&catalog(&targets));
        for target in &targets {
            let (key, hash) = lifetime(&pool, target);
            pool.record_leaving(key, hash);
        }
    }
    pool.sync(&catalog(&many(0)));
    assert!(!is_never(&pool, lifetime(&pool, &target(0, 1)).0));
    pool.sync(&catalog(&many(990)));
    assert!(is_never(&pool, lifetime(&pool, &target(0, 991)).0));
    let unknown = target(0, 0);
    pool.sync(&catalog(std::slice::from_ref(&unknown)));
    let (key, hash) = lifetime(&pool, &unknown);
    pool.record_leaving(key, hash);
    pool.sync(&Catalog::default());
    pool.sync(&catalog(std::slice::from_ref(&unknown)));
    assert!(!is_never(&pool, lifetime(&pool, &unknown).0));
}

/// All targets fail in a row, as in a network fault: a target that fails is asked last, longer with
/// each failure, but requests must still find out that one is back.
#[test]
fn failing_target_is_asked_last_and_never_given_up() {
    let start = Instant::now();
    let (mut pool, known) = pool();
    let failing = known[0].0;
    pool.record_result(failing, false, start);
    for n in 0..10 {
        let draw = f64::from(n) / 10.0;
        let chosen = pool.choose(&NEEDS, start + ms(399), || draw);
        assert_ne!(chosen, Some(failing));
    }
    let verdict = |pool: &Pool, at| pool.get(failing).unwrap().eligibility.verdict(at);
    assert_eq!(verdict(&pool, start + ms(400)), Verdict::Ask);
    for _ in 0..20 {
        pool.record_result(failing, false, start);
    }
    assert_eq!(verdict(&pool, start + ms(1_999)), Verdict::AskLast);
    assert_eq!(verdict(&pool, start + ms(2_000)), Verdict::Ask);
    for (key, _) in &known[1..] {
        pool.record_result(*key, false, start);
    }
    assert!(pool.choose(&NEEDS, start, || 0.5).is_some());
    pool.record_result(failing, true, start);
    assert_eq!(verdict(&pool, start), Verdict::Ask);
    assert_eq!(pool.pause(&NEEDS, start), None);
}
