//! Ends what a node keeps for a while after the store came back from a copy.
//!
//! Load pattern: the copy lacks targets that are alive and has some that have left. Each living
//! target registers again within about two seconds, all at the same time as the operator writes
//! again what was lost; what the store still lacks then is gone.

use std::time::Duration;

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::fleet::catalog::Catalog;
use crate::fleet::revision;
use crate::node::SharedCatalog;

/// Time in which a living target registers again after the store has returned.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Time after which the store has removed the registration of a target that is not alive.
const EXPIRY_TIME: Duration = Duration::from_secs(30);

/// Follows the eras of the store until the process ends.
pub async fn run(catalog: SharedCatalog) {
    let mut snapshots = catalog.subscribe();
    let mut known = 0;
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let (before, revision) = (known, snapshot.targets_revision);
        known = revision;
        if before > 0 && revision::era(before) != revision::era(revision) {
            log_change(before, &snapshot);
            // Another return starts the times anew.
            let is_later = |c: &std::sync::Arc<Catalog>| {
                revision::era(c.targets_revision) != revision::era(revision)
            };
            tokio::select! {
                _ = snapshots.wait_for(is_later) => continue,
                () = settle(&catalog) => {}
            }
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

async fn settle(catalog: &SharedCatalog) {
    time::sleep(REGISTRATION_TIME).await;
    let gone = catalog.snapshot().unconfirmed_targets().join(",");
    if catalog.update(Catalog::drop_unconfirmed) {
        info!(ids = gone.as_str(); "targets removed, they have not registered again");
    }
    time::sleep(EXPIRY_TIME.saturating_sub(REGISTRATION_TIME)).await;
    if catalog.update(Catalog::adopt_outdated) {
        info!("targets used again, the store still has them");
    }
}

fn log_change(before: u64, catalog: &Catalog) {
    counter!("corianderramp_store_era_changes_total").increment(1);
    let after = catalog.targets_revision;
    let (era_before, era) = (revision::era(before), revision::era(after));
    let (revision_before, revision) = (revision::number(before), revision::number(after));
    let kept = catalog.unconfirmed_targets().join(",");
    let outdated: Vec<&str> = catalog.outdated.iter().map(|o| o.name.as_str()).collect();
    let config = catalog.config.as_ref().map(|c| c.version);
    warn!(
        era_before, era, revision_before, revision, config, kept = kept.as_str(),
        left = outdated.join(",").as_str();
        "store came back from a copy"
    );
}
