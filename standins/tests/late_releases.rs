//! Releases that a node reads from the store some time after they were named.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::clock;
use corianderramp::node::settings::Role;
use corianderramp::node::{SharedCatalog, follow};
use serde_json::json;
use tokio::time;

use users_fleet::{Fleet, wait_until};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time by which a release that is read at once may be dated after it was named.
const DELAY: Duration = Duration::from_millis(300);

fn name(fleet: &Fleet, version: u64) {
    let spec = json!({"model": "m0", "version": version});
    fleet.store.put("versions", "m0", spec);
}

/// When a node takes a version for released; waits until it knows the version.
async fn released(catalog: &SharedCatalog, version: u64) -> Instant {
    let find = || {
        let catalog = catalog.snapshot();
        let history = catalog.release_history("m0")?;
        let found = history.history.iter().find(|(v, _)| *v == version);
        found.map(|(_, at)| *at)
    };
    wait_until("the release is known", || find().is_some()).await;
    find().unwrap()
}

/// A watch whose connection had gone silent was asked again, and the release that had been named
/// meanwhile counted from its answer: requests began on old weights for seconds too long.
#[tokio::test]
async fn release_read_late_counts_from_the_last_confirmation() {
    let fleet = Fleet::start(0).await;
    let catalog = SharedCatalog::default();
    let settings = fleet.settings(Role::Gateway, 20);
    let _contact = follow::start(&settings, &catalog, &clock::System);
    name(&fleet, 1);
    released(&catalog, 1).await;

    fleet.store.ignore_calls("versions");
    let before = fleet.store.ignored_calls();
    wait_until("a watch is ignored", || {
        fleet.store.ignored_calls() > before
    })
    .await;
    let named = Instant::now();
    name(&fleet, 2);
    time::sleep(Duration::from_millis(500)).await;
    fleet.store.answer_all();
    let taken = released(&catalog, 2).await;
    assert!(named.elapsed() > Duration::from_secs(1), "read at once");
    let late = taken.saturating_duration_since(named);
    assert!(late < DELAY, "counts from {late:?} after it was named");
}

/// Releases that are read at once must not be dated back, or targets would have to close before
/// they can have loaded them.
#[tokio::test]
async fn release_read_at_once_counts_from_then() {
    let fleet = Fleet::start(1).await;
    let catalog = SharedCatalog::default();
    let settings = fleet.settings(Role::Gateway, 20);
    let _contact = follow::start(&settings, &catalog, &clock::System);
    name(&fleet, 1);
    released(&catalog, 1).await;
    for version in 2..8 {
        time::sleep(Duration::from_millis(700)).await;
        let named = Instant::now();
        name(&fleet, version);
        let taken = released(&catalog, version).await;
        let late = taken.saturating_duration_since(named);
        let early = named.saturating_duration_since(taken);
        assert!(late < DELAY, "{late:?} late");
        assert!(early < Duration::from_secs(1), "{early:?} early");
    }
}
