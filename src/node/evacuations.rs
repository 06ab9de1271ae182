//! Logs evacuations of data centres, and ends those that the store lost.
//!
//! Load pattern: the store comes back from a copy that lacks an evacuation, and the operator
//! writes it again within about two seconds. In between, no request may be sent there.

use std::collections::BTreeSet;
use std::time::Duration;

use log::{info, warn};
use tokio::time;

use crate::fleet::catalog::Catalog;
use crate::fleet::catalog::evacuations::Evacuation;
use crate::fleet::revision;
use crate::node::SharedCatalog;
use crate::platform::store::{Changes, List, Object};
use crate::telemetry;

/// Time in which operators write again what the store lost.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Applies a complete list of the store.
pub fn apply_list(catalog: &SharedCatalog, list: List) {
    let evacuations = list.items.into_iter().map(evacuation).collect();
    catalog.update(|c| c.replace_evacuations(list.revision, evacuations));
}

/// Applies changes of the store.
pub fn apply_changes(catalog: &SharedCatalog, changes: Changes) {
    if changes.events.is_empty() {
        return;
    }
    let events = changes.events.into_iter();
    let events = events.map(|e| (evacuation(e.object), e.removed)).collect();
    catalog.update(|c| c.change_evacuations(changes.revision, events));
}

/// Evacuation that `object` stands for. The content does not matter, so an object that can't be
/// read counts as well.
fn evacuation(object: Object) -> Evacuation {
    Evacuation {
        name: object.meta.name,
        revision: object.meta.revision,
    }
}

/// Follows the evacuations in the catalog until the process ends; `centers` are the data centres of
/// the deployment.
pub async fn run(catalog: SharedCatalog, centers: BTreeSet<String>) {
    let mut snapshots = catalog.subscribe();
    let mut known = BTreeSet::new();
    let mut settled = None;
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        known = log_changes(&known, &snapshot, &centers);
        let era = revision::era(snapshot.evacuations_revision);
        settled = match settled {
            _ if !snapshot.has_unconfirmed_evacuations() => None,
            Some((since, at)) if since == era => Some((since, at)),
            // Another return of the store starts the time anew.
            _ => Some((era, time::Instant::now() + REWRITE_TIME)),
        };
        let expiry = async {
            match settled {
                Some((_, at)) => time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() {
                return;
            },
            () = expiry => {
                catalog.update(Catalog::drop_unconfirmed_evacuations);
            }
        }
    }
}

/// Logs what differs from `known`, and returns the names of the evacuated data centres.
fn log_changes(
    known: &BTreeSet<String>,
    catalog: &Catalog,
    centers: &BTreeSet<String>,
) -> BTreeSet<String> {
    let names: BTreeSet<String> = catalog.evacuated().into_iter().collect();
    let era = revision::era(catalog.evacuations_revision);
    let revision = revision::number(catalog.evacuations_revision);
    for name in names.difference(known) {
        let center = name.as_str();
        if centers.contains(name) {
            info!(center, era, revision; "data centre evacuated");
        } else {
            warn!(center, era, revision; "evacuation without effect, the data centre is unknown");
        }
    }
    for name in known.difference(&names) {
        info!(center = name.as_str(), era, revision; "data centre taken back");
    }
    telemetry::set_evacuated(names.len());
    names
}
