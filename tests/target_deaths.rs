//! How gateways tell the death of a plain service's target, and what they refuse after it.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::place::death::{
    Finding, Findings, Inquiries, Inquiry, Lifetime, MAX_PARTS, Probe, Verdict,
};
use corianderramp::place::pool::{AgentState, Pool};
use corianderramp::place::quarantine::{Death, Quarantine};
use corianderramp::place::witness;

/// Fingerprint of the request that crashes targets.
const BAD: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn target(id: &str, n: u8, started: u64) -> Target {
    Target {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: SocketAddr::from(([10, 0, 0, n], 80)),
        data_center: if n < 4 { "a" } else { "b" }.to_owned(),
        slots: 4,
        phase: Phase::Ready,
        started,
        has_engine: false,
        weights: None,
    }
}

fn catalog(targets: &[Target]) -> Catalog {
    let entry = |t: &Target| Entry {
        name: t.id.clone(),
        revision: 1,
        value: t.clone(),
    };
    Catalog {
        targets: targets.iter().map(entry).collect(),
        ..Catalog::default()
    }
}

fn death(id: u64, at: Instant) -> Death {
    Death {
        id,
        at,
        reporter: SocketAddr::from(([10, 0, 0, 1], 7700)),
    }
}

/// Load pattern of the incident: one request every 0.9 s at any of six gateways crashes each of
/// three targets that runs it, is sent to a second one, and the targets are back after 1.4 s.
/// Gateways know of a death 150 ms after it. At most three more may reach targets later than
/// three seconds after the third crash.
#[test]
fn request_that_crashes_restarting_targets_is_refused_in_time() {
    let (crash_time, notice_time, away) = (ms(60), ms(150), ms(1_400));
    let start = Instant::now();
    let mut back = [start; 3];
    let mut lifetimes = [0_u64; 3];
    let mut gateways = vec![Quarantine::default(); 6];
    let mut crashes: Vec<(Instant, u64)> = Vec::new();
    for i in 0..30_u32 {
        let mut now = start + ms(900) * i;
        for _ in 0..2 {
            let gateway = &mut gateways[i as usize % 6];
            for (at, id) in crashes.iter().filter(|(at, _)| *at + notice_time <= now) {
                gateway.record_death(death(*id, *at), &[BAD], now);
            }
            let Some(t) = (0..3).find(|t| back[*t] <= now) else {
                break;
            };
            if gateway.is_refused(&[BAD], now) {
                break;
            }
            now += crash_time;
            lifetimes[t] += 1;
            back[t] = now + away;
            crashes.push((now, 100 * t as u64 + lifetimes[t]));
        }
    }
    let limit = crashes[2].0 + ms(3_000);
    let late = crashes.iter().filter(|(at, _)| *at > limit).count();
    assert!(late <= 3, "{late} late, {} crashes", crashes.len());
}

/// A target that resets connections, stalls or is cut off has not died, and its requests are
/// not to blame; nor has one that was too busy for a single connection.
#[test]
fn only_targets_that_refuse_connections_count_as_dead() {
    assert_eq!(Inquiry::default().record(Probe::Accepted), Verdict::Alive);
    assert_eq!(Inquiry::default().record(Probe::Silent), Verdict::Alive);
    let mut busy = Inquiry::default();
    assert_eq!(busy.record(Probe::Refused), Verdict::Unsure);
    assert_eq!(busy.record(Probe::Accepted), Verdict::Alive);
    let mut dead = Inquiry::default();
    assert_eq!(dead.record(Probe::Refused), Verdict::Unsure);
    assert_eq!(dead.record(Probe::Refused), Verdict::Dead);
}

/// The end of a target that leaves as planned breaks requests too.
#[test]
fn end_of_draining_target_is_no_death() {
    let mut draining = target("i-1", 1, 5);
    assert!(Lifetime::of(&draining).is_some());
    draining.phase = Phase::Draining;
    assert_eq!(Lifetime::of(&draining), None);
}

/// A target that is back before the first probe shows its death by its registration: under its
/// own id, or under a new one at the same address, also for another service.
#[test]
fn later_registration_shows_the_death_of_a_target_that_is_back() {
    let lifetime = Lifetime::of(&target("i-1", 1, 5)).unwrap();
    assert!(!lifetime.has_successor(&catalog(&[target("i-1", 1, 5), target("i-2", 2, 9)])));
    assert!(!lifetime.has_successor(&catalog(&[])));
    assert!(lifetime.has_successor(&catalog(&[target("i-1", 1, 6)])));
    assert!(lifetime.has_successor(&catalog(&[target("i-3", 1, 6)])));
    // An entry of an earlier lifetime that the store has not dropped yet.
    assert!(!lifetime.has_successor(&catalog(&[target("i-0", 1, 4), target("i-1", 1, 5)])));
}

/// Gateways that saw the same death count it once; two deaths of a target that keeps its id are
/// two, even if its registration is not renewed in between.
#[test]
fn deaths_have_the_same_identifier_at_all_gateways() {
    let lifetime = Lifetime::of(&target("i-1", 1, 5)).unwrap().fingerprint();
    let other = Lifetime::of(&target("i-1", 1, 6)).unwrap().fingerprint();
    assert_ne!(lifetime, other);
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let first = quarantine.death_id(lifetime, start);
    quarantine.record_death(death(first, start), &[BAD], start);
    assert_eq!(quarantine.death_id(lifetime, start + ms(300)), first);
    assert_eq!(Quarantine::default().death_id(lifetime, start), first);
    let second = quarantine.death_id(lifetime, start + ms(3_000));
    assert_ne!(second, first);
    quarantine.record_death(death(second, start + ms(3_000)), &[BAD], start);
    assert_eq!(quarantine.death_id(lifetime, start + ms(3_200)), second);
}

/// Dozens of requests break when a target dies; they need one inquiry, and the parts of all.
#[test]
fn requests_that_broke_together_share_an_inquiry() {
    let mut inquiries = Inquiries::default();
    let lifetime = Lifetime::of(&target("i-1", 1, 5)).unwrap();
    assert!(inquiries.add(&lifetime, &[1]));
    for part in 0..500 {
        assert!(!inquiries.add(&lifetime, &[part]));
    }
    let parts = inquiries.end(&lifetime);
    assert_eq!(parts.len(), MAX_PARTS);
    assert!(inquiries.add(&lifetime, &[3]));
    assert_eq!(inquiries.end(&lifetime), [3]);
    let opened = (0..500).filter(|i| {
        let lifetime = Lifetime::of(&target("i-9", 9, *i)).unwrap();
        inquiries.add(&lifetime, &[1])
    });
    assert!(opened.count() <= 64);
}

/// A gateway that reaches no host must not forget what it found out, nor keep it without end.
#[test]
fn findings_are_kept_until_a_host_confirms_them() {
    let start = Instant::now();
    let finding = |id: u64| Finding {
        id,
        target: SocketAddr::from(([10, 0, 0, 1], 80)),
        at: start + ms(id),
        parts: vec![BAD],
    };
    let mut findings = Findings::default();
    for id in 0..1_000 {
        findings.add(finding(id));
    }
    let limit = Duration::from_secs(60);
    let due = findings.due(limit, start + ms(1_000));
    assert!(due.len() <= 256);
    assert_eq!(due.last(), Some(&finding(999)));
    // Another gateway's report of the same death.
    findings.confirm(999, &[3]);
    assert_eq!(findings.due(limit, start + ms(1_000)).len(), due.len());
    findings.confirm(999, &[3, BAD]);
    let due = findings.due(limit, start + ms(1_000));
    assert!(due.iter().all(|f| f.id != 999));
    assert!(findings.due(limit, start + ms(2_000) + limit).is_empty());
}

/// All gateways must tell the same host of a death, or each learns of some only; those of a data
/// centre that is cut off need one that they reach.
#[test]
fn witnesses_are_the_same_for_all_gateways_and_reachable() {
    let now = Instant::now();
    let targets: Vec<Target> = (1..9).map(|n| target(&format!("i-{n}"), n, 1)).collect();
    let mut pool = Pool::default();
    pool.sync(&catalog(&targets));
    let report = |pool: &mut Pool, n: usize| {
        let key = pool.find(targets[n].address).unwrap();
        let state = AgentState {
            free: 1,
            wait: Duration::ZERO,
            weights: 1,
            is_open: true,
            received: now,
        };
        pool.update_state(key, state);
    };
    let dead = SocketAddr::from(([10, 0, 1, 1], 80));
    assert!(witness::choose(&pool, dead, "a", now).is_empty());
    for n in 0..8 {
        report(&mut pool, n);
    }
    let in_a = witness::choose(&pool, dead, "a", now);
    let in_b = witness::choose(&pool, dead, "b", now);
    assert_eq!(in_a[0], in_b[0]);
    assert_eq!((in_a.len(), in_b.len()), (2, 2));
    let is_in_a = |address: &SocketAddr| {
        targets
            .iter()
            .any(|t| t.address == *address && t.data_center == "a")
    };
    assert!(in_a.iter().any(is_in_a));
    assert!(!in_b.iter().all(is_in_a));
    // Hosts that are silent for seconds are passed by.
    let later = now + Duration::from_secs(5);
    assert!(witness::choose(&pool, dead, "a", later).is_empty());
}
