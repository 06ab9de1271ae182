//! Evacuations in the catalog, over relays and in the scope of a request. The comment on each
//! test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::clock::{self, Moment};
use corianderramp::fleet::catalog::evacuations::Evacuation;
use corianderramp::fleet::catalog::{Catalog, Entry, Topic};
use corianderramp::fleet::{Phase, Target, revision};
use corianderramp::node::SharedCatalog;
use corianderramp::node::budget::Budget;
use corianderramp::node::freshness::StoreContact;
use corianderramp::node::relay::codec::{self, Cache, Known};
use corianderramp::node::relay::{Mode, respond};
use corianderramp::node::settings::Bounds;
use corianderramp::place::pool::{Pool, Requirements};
use corianderramp::place::scope::Scope;
use prost::Message;

fn evacuation(name: &str, revision: u64) -> Evacuation {
    let name = name.to_owned();
    Evacuation { name, revision }
}

fn bounds(evacuation_ms: Option<u64>) -> Bounds {
    Bounds {
        cold_overage: None,
        cold_slack: None,
        stop_ms: 8_000,
        weights_ms: 8_000,
        config_ms: 4_000,
        leaving_ms: None,
        evacuation_ms,
    }
}

fn catalog(names: &[&str], at: u64) -> Catalog {
    let mut catalog = Catalog::default();
    let list = names.iter().map(|n| evacuation(n, at)).collect();
    assert!(catalog.replace_evacuations(at, list));
    catalog
}

/// A late answer, or one that another connection overtook, brought an old state back.
#[test]
fn late_answers_do_not_bring_an_evacuation_back() {
    let mut known = catalog(&["a"], 5);
    assert!(known.change_evacuations(9, vec![(evacuation("a", 8), true)]));
    assert!(known.evacuated().is_empty());
    assert!(!known.change_evacuations(7, vec![(evacuation("a", 6), false)]));
    assert!(!known.replace_evacuations(8, vec![evacuation("a", 5)]));
    assert!(known.evacuated().is_empty());
    // After 410, the list replaces what the lost history would have changed.
    assert!(known.replace_evacuations(20, vec![evacuation("b", 15), evacuation("a", 12)]));
    assert_eq!(known.evacuated(), ["a", "b"]);
    assert!(known.replace_evacuations(30, vec![evacuation("b", 15)]));
    assert_eq!(known.evacuated(), ["b"]);
}

/// Objects that appear and vanish within one answer left an evacuation behind, or changes that
/// came twice, from a relay and the store, were applied in the wrong order.
#[test]
fn changes_that_come_again_end_in_the_same_state() {
    let mut known = catalog(&[], 3);
    let changes = vec![
        (evacuation("a", 4), false),
        (evacuation("a", 5), true),
        (evacuation("b", 6), false),
    ];
    assert!(known.change_evacuations(6, changes.clone()));
    assert_eq!(known.evacuated(), ["b"]);
    let again = [changes, vec![(evacuation("c", 7), false)]].concat();
    assert!(known.change_evacuations(7, again));
    assert_eq!(known.evacuated(), ["b", "c"]);
}

/// Changes before the first list made a node look complete that had not seen all evacuations.
#[test]
fn changes_need_a_list_first() {
    let mut known = Catalog::default();
    assert!(!known.change_evacuations(6, vec![(evacuation("a", 6), false)]));
    assert_eq!(known.revision(Topic::Evacuations), 0);
    assert!(
        known.replace_evacuations(6, Vec::new()),
        "an empty list counts"
    );
    assert_eq!(known.revision(Topic::Evacuations), 6);
}

/// A store that came back from a copy without an evacuation opened the data centre at once,
/// though the operator had only been told that it is evacuated.
#[test]
fn evacuation_that_a_copy_lacks_stays_until_it_is_written_again() {
    let mut known = catalog(&["a", "b"], revision::at(1, 50));
    let copy = revision::at(2, 40);
    assert!(known.replace_evacuations(copy, vec![evacuation("c", revision::at(2, 30))]));
    assert_eq!(known.evacuated(), ["a", "b", "c"]);
    assert!(known.has_unconfirmed_evacuations());
    // A list of the earlier era that arrives late changes nothing.
    assert!(!known.replace_evacuations(revision::at(1, 60), Vec::new()));
    let written = vec![(evacuation("a", revision::at(2, 41)), false)];
    assert!(known.change_evacuations(revision::at(2, 41), written));
    assert!(known.drop_unconfirmed_evacuations());
    assert_eq!(known.evacuated(), ["a", "c"]);
    assert!(!known.drop_unconfirmed_evacuations());
}

/// A process of an earlier version got a part that it does not know, again and again, or a
/// relay of an earlier version cleared what its follower knew.
#[test]
fn earlier_versions_neither_get_nor_clear_evacuations() {
    let (cache, now) = (Cache::default(), Instant::now());
    let relay = catalog(&["a"], 9);
    let earlier = Known::parse("0,0,0,1,0,0").unwrap();
    assert!(!earlier.is_outdated(&relay));
    assert!(cache.parts(&relay, earlier, now).unwrap().is_empty());

    let follower = SharedCatalog::default();
    follower.update(|c| {
        *c = relay.clone();
        true
    });
    let query = Known::of(&follower.snapshot()).query();
    assert_eq!(query, "0,0,0,1,0,0,9");
    let known = Known::parse(&query).unwrap();
    for part in cache.parts(&Catalog::default(), known, now).unwrap() {
        codec::apply(&follower, &part, now).unwrap();
    }
    assert_eq!(follower.snapshot().evacuated(), ["a"]);
    let response: &[u8] = &[8, 1];
    assert!(!codec::Response::decode(response).unwrap().has_evacuations);
}

/// A follower missed an evacuation or its end, or polled without pause.
#[test]
fn followers_get_evacuations_and_their_ends() {
    let (cache, now) = (Cache::default(), Instant::now());
    let mut relay = catalog(&["b", "a"], 4);
    let follower = SharedCatalog::default();
    let poll = |relay: &Catalog| {
        let known = Known::of(&follower.snapshot());
        for part in cache.parts(relay, known, now).unwrap() {
            codec::apply(&follower, &part, now).unwrap();
        }
        assert!(!Known::of(&follower.snapshot()).is_outdated(relay));
        follower.snapshot().evacuated()
    };
    assert_eq!(poll(&relay), ["a", "b"]);
    relay.change_evacuations(6, vec![(evacuation("a", 6), true)]);
    assert_eq!(poll(&relay), ["b"]);
    relay.replace_evacuations(8, Vec::new());
    assert!(poll(&relay).is_empty());
}

/// A relay that had listed everything but the evacuations sent new gateways a state in which
/// nothing is evacuated. Without the setting, relays must not wait for the topic.
#[tokio::test]
async fn relay_answers_only_with_a_known_state() {
    let now = Moment::of(&clock::System);
    let catalog = SharedCatalog::default();
    catalog.update(|c| {
        c.update_config(3, corianderramp::fleet::Config::default());
        c.replace_targets(3, Vec::new());
        c.advance_releases(3)
    });
    let clock = clock::System;
    for (limit, is_answered) in [(None, true), (Some(5_000), false)] {
        let contact = StoreContact::new(&bounds(limit));
        for topic in Topic::ALL {
            contact.record_topic(topic, now);
        }
        let answer = respond(
            &catalog,
            &contact,
            &Cache::default(),
            "0,0,0,1,0,0,0",
            &clock,
        )
        .await;
        assert_eq!(answer.is_some(), is_answered, "{limit:?}");
    }
    catalog.update(|c| c.replace_evacuations(3, vec![evacuation("a", 2)]));
    let contact = StoreContact::new(&bounds(Some(5_000)));
    for topic in Topic::ALL {
        contact.record_topic(topic, now);
    }
    let answer = respond(
        &catalog,
        &contact,
        &Cache::default(),
        "3,3,3,1,0,0,0",
        &clock,
    )
    .await;
    let response = codec::Response::decode(answer.unwrap()).unwrap();
    assert!(response.has_evacuations);
    let topics: Vec<u32> = response.parts.iter().map(|p| p.topic).collect();
    assert_eq!(topics, [Topic::Evacuations as u32]);
}

/// Deployments without the setting paid for calls that they don't need, and a topic that nobody
/// follows made relays look outdated. With it, a lost answer must leave time to ask again.
#[test]
fn topic_is_followed_only_with_the_setting() {
    let without = StoreContact::new(&bounds(None));
    assert_eq!(without.topics().count(), 3);
    let with = StoreContact::new(&bounds(Some(5_000)));
    assert_eq!(with.topics().count(), 4);
    let budget = Budget::of(Topic::Evacuations, &bounds(Some(5_000)));
    let lost = budget.watch_interval() + budget.answer_grace();
    assert!(lost <= Duration::from_millis(3_750));
    let config = Budget::of(Topic::Config, &bounds(Some(5_000)));
    assert_eq!(config, Budget::of(Topic::Config, &bounds(None)));

    let topics = [Topic::Config, Topic::Targets, Topic::Releases];
    let start = Moment::of(&clock::System);
    without.record_relayed(&topics, start, Duration::ZERO);
    let later = start.after(Duration::from_secs(60));
    for contact in [&without, &with] {
        for topic in topics {
            contact.record_topic(topic, later);
        }
    }
    assert_eq!(without.age(later), Some(Duration::ZERO));
    assert!(Mode::Partial.follows(Topic::Evacuations));
    assert!(!Mode::Partial.follows(Topic::Config));
    assert!(!Mode::Relayed.follows(Topic::Evacuations));
}

/// A request was placed in an evacuated data centre, or refused though another one could serve it.
#[test]
fn pool_chooses_no_target_in_an_evacuated_data_center() {
    let now = Instant::now();
    let mut known = Catalog::default();
    for (n, center) in [(1, "a"), (2, "b")] {
        let value = Target {
            id: format!("i-{n}"),
            service: "desk".into(),
            address: format!("127.0.0.1:{n}").parse().unwrap(),
            data_center: center.into(),
            slots: 4,
            phase: Phase::Ready,
            started: 1,
            has_engine: false,
            weights: None,
            cold_left: Duration::ZERO,
        };
        known.update_target(Entry {
            name: value.id.clone(),
            revision: n,
            value: Some(value),
        });
    }
    let mut pool = Pool::default();
    pool.sync(&known);
    let center = |evacuated: &[&str]| {
        let evacuated = evacuated.iter().map(|&n| n.to_owned()).collect();
        let scope = Scope::new(None, evacuated);
        let needs = Requirements {
            timing: None,
            service: "desk",
            excluded: &[],
            min_version: None,
            data_center: "a",
            scope: &scope,
        };
        assert_eq!(
            pool.can_serve(&needs, now),
            pool.choose(&needs, now, || 0.5).is_some()
        );
        let key = pool.choose(&needs, now, || 0.5)?;
        Some(pool.get(key)?.target.data_center.clone())
    };
    assert_eq!(center(&[]).as_deref(), Some("a"));
    assert_eq!(center(&["a"]).as_deref(), Some("b"));
    assert_eq!(center(&["unknown"]).as_deref(), Some("a"));
    assert_eq!(center(&["b", "a"]), None);
}
