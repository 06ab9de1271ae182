//! How gateways tell the death of a plain service's target, and what they refuse after it.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::place::death::{Inquiries, Inquiry, Lifetime, MAX_PARTS, Probe, Verdict};
use corianderramp::place::handover::{Deaths, HostProcess};
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
        cold_left: std::time::Duration::ZERO,
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

/// Process number `id` of the host number `n`.
fn host(n: u8, id: u64) -> HostProcess {
    let address = [10, 0, 0, n].into();
    HostProcess { address, id }
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
fn deaths_are_told_until_a_host_keeps_them() {
    let start = Instant::now();
    let host = host(1, 1);
    let mut deaths = Deaths::default();
    for id in 0..1_000 {
        deaths.add(id, start + ms(id), &[BAD]);
    }
    let limit = Duration::from_secs(60);
    let due = |deaths: &mut Deaths, now| {
        let hosts = [host.address];
        deaths.due(&hosts, limit, now, |_| hosts.to_vec())
    };
    let first = due(&mut deaths, start + ms(1_000));
    assert!(first.len() <= 256);
    assert_eq!(first.last().unwrap().0.id, 999);
    // Another gateway's report of the same death.
    deaths.confirm(host, 999, &[3]);
    assert_eq!(due(&mut deaths, start + ms(1_000)).len(), first.len());
    deaths.confirm(host, 999, &[3, BAD]);
    let rest = due(&mut deaths, start + ms(1_000));
    assert_eq!(rest.len(), first.len() - 1);
    assert!(rest.iter().all(|(d, _)| d.id != 999));
    // More parts of a death that the host keeps.
    deaths.add(999, start, &[4]);
    assert_eq!(due(&mut deaths, start + ms(1_000)).len(), first.len());
    assert!(due(&mut deaths, start + ms(2_000) + limit).is_empty());
    assert!(deaths.is_empty());
}

/// Load pattern of the incident: seven gateways know three deaths, all hosts restart, gateways
/// subscribe to them within a second. Each host process must be told by the first gateway that
/// notices it, and by no other one that heard of that.
#[test]
fn restarted_hosts_are_told_once_by_all_gateways_together() {
    let start = Instant::now();
    let limit = Duration::from_secs(600);
    let mut gateways = vec![Deaths::default(); 7];
    for gateway in &mut gateways {
        for id in 0..3 {
            gateway.add(id, start, &[BAD]);
            for n in 1..=2 {
                gateway.confirm(host(n, 1), id, &[BAD]);
            }
        }
    }
    let addresses = [host(1, 1).address, host(2, 1).address];
    let due =
        |gateway: &mut Deaths, now| gateway.due(&addresses, limit, now, |_| addresses.to_vec());
    let later = start + Duration::from_secs(5);
    assert!(gateways.iter_mut().all(|g| due(g, later).is_empty()));
    for n in 1..=2 {
        let mut kept: Vec<u64> = Vec::new();
        for gateway in &mut gateways {
            // The host tells a subscriber what it keeps before it states its process.
            for id in &kept {
                gateway.confirm(host(n, 2), *id, &[BAD]);
            }
            gateway.set_process(host(n, 2));
            let told = due(gateway, later);
            assert_eq!(told.len(), if kept.is_empty() { 3 } else { 0 });
            kept.extend(told.iter().map(|(d, _)| d.id));
            assert!(told.iter().all(|(_, hosts)| *hosts == [host(n, 2).address]));
            for id in &kept {
                gateway.confirm(host(n, 2), *id, &[BAD]);
            }
        }
    }
    // A host that is gone for good is replaced by another one.
    let others = [host(1, 2).address, host(3, 1).address];
    let told = gateways[0].due(&others, limit, later, |_| others.to_vec());
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|(_, hosts)| *hosts == [others[1]]));
}

/// A gateway that was cut off while a part proved sound must not bring it under suspicion again.
#[test]
fn part_that_proved_sound_is_not_suspected_again() {
    let start = Instant::now();
    let mut deaths = Deaths::default();
    deaths.add(1, start, &[3, BAD]);
    deaths.clear(&[3, 5]);
    assert_eq!(deaths.cleared(1, &[3, 5, BAD]), [3]);
    deaths.add(1, start, &[3, 9]);
    let hosts = [host(1, 1).address];
    let due = deaths.due(&hosts, ms(1_000), start, |_| hosts.to_vec());
    assert_eq!(due[0].0.parts, [BAD, 9]);
    deaths.clear(&[BAD, 9]);
    assert!(
        deaths
            .due(&hosts, ms(1_000), start, |_| hosts.to_vec())
            .is_empty()
    );
}

/// Gateways that keep different parts of one death, more than fit into a message, must not tell it
/// for ever.
#[test]
fn death_with_too_many_parts_is_told_once() {
    let start = Instant::now();
    let mut deaths = Deaths::default();
    let parts: Vec<u64> = (0..200).collect();
    deaths.add(1, start, &parts);
    let others: Vec<u64> = (100..100 + MAX_PARTS as u64).collect();
    deaths.confirm(host(1, 1), 1, &others);
    let hosts = [host(1, 1).address];
    assert!(
        deaths
            .due(&hosts, ms(1_000), start, |_| hosts.to_vec())
            .is_empty()
    );
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
            prefill: Duration::ZERO,
            cold: Duration::ZERO,
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
