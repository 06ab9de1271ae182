//! Who follows whom, and what relays send.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry, Topic};
use corianderramp::fleet::{Config, Phase, Release, Target};
use corianderramp::node::SharedCatalog;
use corianderramp::node::relay::choice;
use corianderramp::node::relay::codec::{self, Cache, Known, Part};
use flate2::Compression;
use flate2::write::GzEncoder;

/// Port of all hosts.
const PORT: u16 = 7_700;

fn address(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], PORT))
}

fn target(n: u16) -> Entry<Target> {
    Entry {
        name: format!("i-{n:04}"),
        revision: 7,
        value: Target {
            id: format!("i-{n:04}"),
            service: "llm".into(),
            address: address(n),
            data_center: "z-a".into(),
            slots: 8,
            phase: Phase::Ready,
            started: 1,
            has_engine: true,
            weights: None,
            cold_left: std::time::Duration::ZERO,
        },
    }
}

fn catalog(targets: u16) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.hint_targets((0..targets).map(target).collect());
    catalog
}

fn shared(catalog: Catalog) -> SharedCatalog {
    let shared = SharedCatalog::default();
    shared.update(|c| {
        *c = catalog;
        true
    });
    shared
}

/// Load pattern: all nodes of a region start at once and know no configuration. Exactly one
/// of them may list the store, and no two relays may wait for each other.
#[test]
fn one_node_of_a_region_follows_the_store() {
    for targets in [1, 3, 22, 62, 200] {
        let relays = choice::relays(&catalog(targets), &["z-a".to_owned()], PORT);
        let nodes = (0..targets).map(address).chain((1_000..1_300).map(address));
        let direct: Vec<SocketAddr> = nodes
            .filter(|own| choice::upstreams(&relays, *own).is_empty())
            .collect();
        assert_eq!(direct, relays[..1], "{targets} targets");
        for (rank, relay) in relays.iter().enumerate() {
            let upstreams = choice::upstreams(&relays, *relay);
            assert_eq!(upstreams, relays[..rank]);
        }
    }
}

/// The relays of a region share its followers about equally.
#[test]
fn followers_are_spread_over_the_relays() {
    let relays = choice::relays(&catalog(22), &["z-a".to_owned()], PORT);
    let first = |n| choice::upstreams(&relays, address(n))[0];
    for relay in &relays {
        let count = (1_000..1_300).filter(|n| first(*n) == *relay).count();
        let fair = 300 / relays.len();
        assert!((fair / 2..fair * 2).contains(&count), "{count} of 300");
    }
}

/// If the first relay dies, the next one turns to the store at once and the others give it
/// time, so that they need not list the store themselves.
#[test]
fn relays_take_over_one_after_the_other() {
    let relays = choice::relays(&catalog(62), &["z-a".to_owned()], PORT);
    let limit = Duration::from_secs(4);
    let patience = |own| choice::patience(&relays, own, limit, 0.0);
    assert_eq!(patience(relays[1]), Duration::ZERO);
    let times: Vec<Duration> = relays[1..].iter().map(|r| patience(*r)).collect();
    assert!(times.is_sorted() && times.iter().all(|t| *t < limit / 4));
    assert!(patience(address(2_000)) >= limit / 4);
    assert!(choice::patience(&relays, address(2_000), limit, 1.0) <= limit / 2);
}

/// A release must not seem younger to a follower because the response with it waited in a
/// queue, behind a large configuration: requests would begin on old weights after the limit.
#[test]
fn age_of_a_release_includes_the_way_to_the_follower() {
    let now = Instant::now();
    let released = now;
    let mut relay = Catalog::default();
    let release = Release {
        model: "m0".into(),
        version: 2,
    };
    relay.add_release("m0", 5, release, released);
    let encoded_at = now + Duration::from_millis(150);
    let known = Known::of(&Catalog::default());
    let parts = Cache::default().parts(&relay, known, encoded_at).unwrap();

    // The relay held the request for 150 ms; the response arrived 800 ms after that.
    let follower = SharedCatalog::default();
    let arrived_at = encoded_at + Duration::from_millis(800);
    let sent_at = codec::sent_time(now, 150, arrived_at);
    for part in &parts {
        codec::apply(&follower, part, sent_at).unwrap();
    }
    let snapshot = follower.snapshot();
    let history = snapshot.release_history("m0").unwrap();
    assert_eq!(history.history, [(2, released)]);
}

/// A follower that knows the configuration gets only its changes, one of an earlier version
/// of the program gets all of it.
#[test]
fn followers_get_changes() {
    let config = |version| Config {
        version,
        ..Config::default()
    };
    let (cache, now) = (Cache::default(), Instant::now());
    let mut relay = Catalog::default();
    relay.update_config(3, config(1));
    let follower = shared(relay.clone());
    let known = Known::of(&follower.snapshot());
    assert!(cache.parts(&relay, known, now).unwrap().is_empty());

    relay.update_config(4, config(2));
    let parts = cache.parts(&relay, known, now).unwrap();
    assert_eq!(parts[0].base, 3);
    codec::apply(&follower, &parts[0], now).unwrap();
    assert_eq!(follower.snapshot().config, relay.config);

    let earlier = Known::parse("3,0,0").unwrap();
    assert_eq!(cache.parts(&relay, earlier, now).unwrap()[0].base, 0);
}

/// Followers whose revision the relay has never had must all get the whole topic as such; all
/// but the first could not decode it, and had no other relay that was current.
#[test]
fn every_follower_with_an_unknown_revision_gets_the_whole_topic() {
    let (cache, now) = (Cache::default(), Instant::now());
    let mut relay = catalog(3);
    relay.replace_targets(9, relay.targets.clone());
    relay.removals_floor = 8;
    relay.update_config(9, Config::default());
    let known = Known::parse("4,5,0,1").unwrap();
    for _ in 0..2 {
        let mut outdated = Catalog::default();
        outdated.update_config(4, Config::default());
        outdated.advance_targets(5);
        let follower = shared(outdated);
        for part in cache.parts(&relay, known, now).unwrap() {
            assert_eq!(part.base, 0);
            codec::apply(&follower, &part, now).unwrap();
        }
        let snapshot = follower.snapshot();
        assert_eq!(snapshot.config_revision, 9);
        assert_eq!(snapshot.targets, relay.targets);
    }
}

/// A relay that fails must not exhaust the memory of its followers with a small response
/// that grows without end when it is decompressed.
#[test]
fn oversized_topic_is_rejected() {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let block = vec![b' '; 1 << 20];
    for _ in 0..40 {
        encoder.write_all(&block).unwrap();
    }
    let part = Part {
        topic: Topic::Targets as u32,
        revision: 9,
        data: encoder.finish().unwrap(),
        base: 0,
    };
    let error = codec::apply(&SharedCatalog::default(), &part, Instant::now());
    assert!(error.unwrap_err().to_string().contains("larger than"));
}
