//! What nodes remember of releases. The comment on each test states the failure that it guards
//! against.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::Release;
use corianderramp::fleet::catalog::Catalog;
use corianderramp::node::SharedCatalog;
use corianderramp::node::relay::codec::{self, Cache, Known};

/// Time after its release at which a version is mandatory.
const LIMIT: Duration = Duration::from_secs(8);
/// Number of versions.
const VERSIONS: u32 = 60;

fn node() -> SharedCatalog {
    let node = SharedCatalog::default();
    node.update(|c| {
        c.weights_limit = Some(LIMIT);
        true
    });
    node
}

fn release(node: &SharedCatalog, version: u64, released: Instant) {
    let model = "m0".to_owned();
    let added = node.update(|c| c.add_release("m0", version, Release { model, version }, released));
    assert!(added);
}

/// Highest of the versions released every `interval` from `start` on that is due at `now`.
fn due(interval: Duration, start: Instant, now: Instant) -> u64 {
    let due = (1..=VERSIONS).rfind(|v| start + interval * *v + LIMIT <= now);
    due.map_or(0, u64::from)
}

fn required(catalog: &Catalog, now: Instant) -> u64 {
    let history = catalog.release_history("m0");
    history.map_or(0, |h| h.required_version(LIMIT, now))
}

/// The ninth version made nodes forget the first one before that was due, and for seconds requests
/// began on weights that had been replaced (review case 8). Followers of relays got the shortened
/// history.
#[test]
fn versions_are_kept_until_a_newer_one_is_due() {
    for interval in [50, 260, 750, 900, 3_000].map(Duration::from_millis) {
        let start = Instant::now();
        let (node, follower, cache) = (node(), node(), Cache::default());
        for version in 1..=VERSIONS {
            let now = start + interval * version;
            release(&node, u64::from(version), now);
            let known = Known::of(&follower.snapshot());
            // The follower is behind by several versions.
            if version % 3 == 0 {
                for part in cache.parts(&node.snapshot(), known, now).unwrap() {
                    codec::apply(&follower, &part, now).unwrap();
                }
            }
            // Until the next version, and until the follower learns of it.
            for later in [Duration::ZERO, interval / 2, interval] {
                let now = now + later;
                let expected = due(interval, start, now);
                assert_eq!(required(&node.snapshot(), now), expected, "{interval:?}");
                if version % 3 == 0 {
                    assert_eq!(
                        required(&follower.snapshot(), now),
                        expected,
                        "{interval:?}"
                    );
                }
            }
            let snapshot = node.snapshot();
            let history = snapshot.release_history("m0").unwrap();
            for held in 1..version {
                let next = start + interval * (held + 1) + LIMIT;
                let limit = history.start_limit(u64::from(held), LIMIT).unwrap();
                assert!(limit == next || limit.max(next) <= now, "{interval:?}");
            }
        }
    }
}

/// Histories must not grow for as long as a process runs.
#[test]
fn versions_are_forgotten_once_newer_ones_are_due() {
    let (node, start) = (node(), Instant::now());
    let interval = Duration::from_secs(1);
    for version in 1..=1_000 {
        release(&node, u64::from(version), start + interval * version);
        node.update(|c| {
            c.mark_listed("m0", u64::from(version));
            true
        });
    }
    let snapshot = node.snapshot();
    let history = snapshot.release_history("m0").unwrap();
    assert!(history.history.len() <= 16 && history.listed.len() <= 16);
}
