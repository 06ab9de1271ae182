//! Budget of a change, from the store's acknowledgement to the knowledge of every node, and what
//! confirms a node's catalog. The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use corianderramp::clock::{Clock, Manual, Moment};
use corianderramp::fleet::Config;
use corianderramp::fleet::catalog::Topic;
use corianderramp::node::SharedCatalog;
use corianderramp::node::budget::Budget;
use corianderramp::node::freshness::StoreContact;
use corianderramp::node::relay::codec::{self, Cache};
use corianderramp::node::relay::{choice, respond};
use corianderramp::node::settings::Bounds;
use prost::Message;

/// Clock whose wall time goes on while its monotonic time stands still.
#[derive(Clone, Debug, Default)]
struct Suspended {
    monotonic: Manual,
    wall: Manual,
}

impl Clock for Suspended {
    fn now(&self) -> Instant {
        self.monotonic.now()
    }

    fn wall(&self) -> SystemTime {
        self.wall.wall()
    }
}

/// Bounds of deployments: short and long, with topics that are stricter than the others.
fn deployments() -> Vec<Bounds> {
    let bounds = |config_ms, weights_ms, leaving_ms, evacuation_ms| Bounds {
        leaving_ms,
        evacuation_ms,
        ..Bounds::new(8_000, weights_ms, config_ms)
    };
    vec![
        bounds(2_000, 8_000, None, None),
        bounds(2_000, 8_000, Some(1_000), Some(5_000)),
        bounds(4_000, 8_000, Some(2_000), Some(900)),
        bounds(500, 0, Some(3_000), None),
        bounds(60_000, 1_000, Some(60_000), None),
    ]
}

fn contact(bounds: &Bounds, at: Moment) -> StoreContact {
    let contact = StoreContact::new(bounds);
    for topic in Topic::ALL {
        contact.record_topic(topic, at);
    }
    contact
}

/// The steps added up to more than the limit: each had a time of its own (review cases 6 and 7).
#[test]
fn steps_add_up_to_the_limit() {
    let relays: Vec<SocketAddr> = (1..7)
        .map(|n| SocketAddr::from(([10, 0, 0, n], 80)))
        .collect();
    let nodes = (1..200).map(|n| SocketAddr::from(([10, 0, 0, n], 80)));
    let nodes: Vec<_> = nodes.collect();
    for bounds in deployments() {
        for topic in Topic::ALL {
            let budget = Budget::of(topic, &bounds);
            let known = budget.longest_lease() + budget.call_time();
            assert_eq!(known + budget.reserve(), budget.limit());
            assert!(budget.reserve() >= budget.limit() / 10);
            // A calm first relay confirms well before the first lease ends, and a relay that takes
            // over does before those of the other nodes end.
            assert!(budget.watch_interval() < budget.shortest_lease());
            assert!(budget.batch_delay(topic) < budget.watch_interval());
            for (node, draw) in nodes.iter().zip([0.0, 0.5, 1.0].into_iter().cycle()) {
                let patience = choice::patience(&relays, *node, budget.lease_spread() * 2, draw);
                assert!(patience <= budget.lease_spread());
                let is_relay = relays.contains(node);
                assert_eq!(patience < budget.lease_spread() / 2, is_relay);
            }
        }
    }
}

/// Each topic must be known within its own limit, though one age stands for all on the way.
#[test]
fn age_is_that_of_the_topic_that_has_used_most_of_its_budget() {
    for bounds in deployments() {
        let clock = Manual::default();
        let contact = contact(&bounds, Moment::of(&clock));
        let base = contact.base();
        assert_eq!(contact.age(Moment::of(&clock)), Some(Duration::ZERO));
        for stale in contact.topics() {
            let start = Moment::of(&clock);
            for topic in Topic::ALL {
                contact.record_topic(topic, start);
            }
            clock.advance(contact.budget(stale).longest_lease());
            let now = Moment::of(&clock);
            for topic in contact.topics().filter(|t| *t != stale) {
                contact.record_topic(topic, now);
            }
            let age = contact.age(now).unwrap();
            let difference = age.abs_diff(base.longest_lease());
            assert!(difference < Duration::from_micros(1), "{stale:?}: {age:?}");
        }
    }
}

/// Load pattern: the store serves again after an outage, or a link loses what a relay sends, and
/// one topic's watch is never answered. Answers for the other topics made a relay look current
/// (review case 10), and its region stayed with it.
#[test]
fn relay_ages_while_one_topic_is_not_confirmed() {
    let bounds = Bounds::new(8_000, 8_000, 2_000);
    let clock = Manual::default();
    let contact = StoreContact::new(&bounds);
    let start = Moment::of(&clock);
    assert_eq!(contact.age(start), None);
    for topic in [Topic::Config, Topic::Targets] {
        contact.record_topic(topic, start);
        assert_eq!(contact.age(start), None);
    }
    contact.record_topic(Topic::Releases, start);
    assert_eq!(contact.age(start), Some(Duration::ZERO));
    for millis in [1, 400, 700, 3_000] {
        clock.advance(Duration::from_millis(millis));
        let now = Moment::of(&clock);
        contact.record(now);
        contact.record_topic(Topic::Targets, now);
        contact.record_topic(Topic::Releases, now);
        assert_eq!(contact.age(now), Some(now.since(start)));
        assert_eq!(contact.own_age(now), Some(Duration::ZERO));
    }
    contact.record_topic(Topic::Config, Moment::of(&clock));
    assert_eq!(contact.age(Moment::of(&clock)), Some(Duration::ZERO));
}

/// A change must be in force in time although the answer to a watch is lost, with a quarter
/// of the limit left for the call after it and for the followers.
#[test]
fn lost_answer_leaves_time_to_ask_again() {
    for bounds in deployments() {
        for topic in [Topic::Config, Topic::Targets] {
            let budget = Budget::of(topic, &bounds);
            let lost = budget.watch_interval() + budget.answer_grace();
            let limit = match topic {
                Topic::Targets => bounds.leaving_limit(),
                _ => bounds.config_limit(),
            };
            assert!(lost <= limit * 3 / 4);
        }
        let releases = Budget::of(Topic::Releases, &bounds);
        assert!(!releases.watch_interval().is_zero());
        let lost = releases.watch_interval() + releases.answer_grace();
        assert!(lost <= bounds.config_limit().max(bounds.weights_limit()) * 3 / 4);
    }
}

/// A relay that was suspended looked as current when it went on as before: its monotonic clock had
/// stood still.
#[test]
fn suspended_relay_is_as_old_as_its_suspension() {
    let clock = Suspended::default();
    let contact = contact(&Bounds::new(8_000, 8_000, 2_000), Moment::of(&clock));
    clock.wall.advance(Duration::from_secs(4));
    let age = contact.age(Moment::of(&clock));
    assert_eq!(age, Some(Duration::from_secs(4)));
}

/// What a relay confirms counts from when the store was asked, not from when its answer arrived;
/// an older confirmation changes nothing.
#[test]
fn relayed_confirmations_keep_their_age() {
    let bounds = Bounds::new(8_000, 8_000, 2_000);
    let clock = Manual::default();
    clock.advance(Duration::from_secs(60));
    let now = Moment::of(&clock);
    let contact = StoreContact::new(&bounds);
    let age = Duration::from_millis(300);
    contact.record_relayed(&Topic::ALL, now, age);
    assert_eq!(contact.topic_age(Topic::Config, now), Some(age));
    // The limit of releases is three times as long.
    assert_eq!(contact.topic_age(Topic::Releases, now), Some(age * 3));
    assert_eq!(contact.age(now), Some(age));
    contact.record_relayed(&Topic::ALL, now, age * 2);
    assert_eq!(contact.age(now), Some(age));
    assert_eq!(contact.own_age(now), None);
}

/// Catalog with every topic that nodes without evacuations follow.
fn complete() -> SharedCatalog {
    let catalog = SharedCatalog::default();
    catalog.update(|c| {
        c.update_config(3, Config::default());
        c.replace_targets(3, Vec::new());
        c.advance_releases(3)
    });
    catalog
}

/// A relay that knew that it had lost the store kept its followers waiting all the same.
#[tokio::test]
async fn stale_relay_answers_at_once() {
    let bounds = Bounds::new(8_000, 8_000, 60_000);
    let clock = Manual::default();
    let contact = contact(&bounds, Moment::of(&clock));
    clock.advance(contact.base().shortest_lease() * 2);
    let (catalog, cache) = (complete(), Cache::default());
    let started = Instant::now();
    let answer = respond(&catalog, &contact, &cache, "3,3,3,1,0,0", &clock).await;
    assert!(started.elapsed() < contact.base().poll_hold() / 2);
    let response = codec::Response::decode(answer.unwrap()).unwrap();
    assert!(Duration::from_millis(response.age_ms) > contact.base().shortest_lease());
}

/// Followers learned only with the next poll that the store had confirmed their relay's catalog,
/// and each relay on the way added its hold to the age. A poll also tells where a watch continues.
#[tokio::test]
async fn confirmation_is_passed_on_at_once() {
    let clock = Manual::default();
    let bounds = Bounds::new(8_000, 8_000, 60_000);
    let contact = contact(&bounds, Moment::of(&clock));
    clock.advance(Duration::from_secs(10));
    let (catalog, cache) = (complete(), Cache::default());
    let polled = respond(&catalog, &contact, &cache, "3,3,3,1,0,0,-,10000", &clock);
    let confirmed = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        for (topic, revision) in [
            (Topic::Config, 7),
            (Topic::Targets, 8),
            (Topic::Releases, 9),
        ] {
            contact.record_revision(topic, revision);
            contact.record_topic(topic, Moment::of(&clock));
        }
    };
    let both = async { tokio::join!(polled, confirmed).0 };
    let answer = tokio::time::timeout(contact.base().poll_hold() / 2, both).await;
    let response = codec::Response::decode(answer.unwrap().unwrap()).unwrap();
    assert_eq!(response.age_ms, 0);
    assert_eq!(response.revisions, [7, 8, 9, 0]);
}
