//! Watches the configuration objects of the platform while this process is the
//! coordinator.
//!
//! A fallback coordinator without the lease watches them too: a platform that is
//! too slow for the lease may still deliver changes, and only one process per data
//! centre does so.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time;

use crate::config;
use crate::config::store::{Delta, Entry};
use crate::coordinator::lease::Role;
use crate::daemon;
use crate::objects::{self, Api, Change, Event};
use crate::resource::{CONFIG_KINDS, Kind, Raw};

/// Longest delay before a retry. Short enough for a change to be in force within
/// 4 s after the end of an outage.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Platform { source: objects::Error },
    #[snafu(display("the platform closed the watch"))]
    Closed,
}

/// Objects of one kind, as listed at `revision`.
#[derive(Debug)]
struct Listing {
    kind: Kind,
    revision: u64,
    entries: Vec<Arc<Entry>>,
}

/// Watches the platform whenever this process is active.
pub(super) async fn run(
    ctx: daemon::Context,
    platform: objects::Client,
    config: config::Handle,
    mut role: watch::Receiver<Role>,
) {
    let work = async {
        while role.wait_for(|r| r.active).await.is_ok() {
            let mut deactivated = role.clone();
            tokio::select! {
                _ = deactivated.wait_for(|r| !r.active) => {}
                () = watch_with_retry(&platform, &config) => {}
            }
        }
    };
    tokio::select! {
        () = ctx.stop.cancelled() => {}
        () = work => {}
    }
}

async fn watch_with_retry(platform: &objects::Client, config: &config::Handle) {
    loop {
        if let Err(e) = watch_once(platform, config).await {
            log::warn!(error:% = e; "platform watch ended");
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        time::sleep(MAX_RETRY_DELAY.mul_f64(jitter)).await;
    }
}

/// Watches the platform from the revision of the store, or lists all objects if
/// the store is empty or the revision was compacted.
async fn watch_once(platform: &objects::Client, config: &config::Handle) -> Result<(), Error> {
    let complete = config.revisions().complete;
    if complete == 0 {
        list_all(platform, config).await?;
    }
    let revision = config.revisions().complete;
    match platform.watch(revision, &CONFIG_KINDS).await {
        Err(objects::Error::Compacted { .. }) => list_all(platform, config).await,
        Err(e) => Err(e.into()),
        Ok(watch) => apply_events(watch, revision, config).await,
    }
}

/// Applies the events of a watch to the store until the watch ends.
async fn apply_events(
    mut watch: objects::Watch,
    mut revision: u64,
    config: &config::Handle,
) -> Result<(), Error> {
    while let Some(event) = watch.next().await? {
        let to = event.object.metadata.revision;
        if to <= revision {
            continue;
        }
        let entries = event_entry(&event).into_iter().collect();
        config.apply(Delta {
            from: revision,
            to,
            snapshot: false,
            entries,
        });
        revision = to;
    }
    ClosedSnafu.fail()
}

/// Lists all kinds and applies the result as a snapshot. The lists are taken one
/// after the other, at different revisions, but a snapshot must be the state at
/// one revision. Therefore the events between the oldest and the newest list are
/// applied to the older lists first.
async fn list_all(platform: &objects::Client, config: &config::Handle) -> Result<(), Error> {
    let mut lists = Vec::new();
    for kind in CONFIG_KINDS {
        let list = platform.list(kind, "").await?;
        lists.push(Listing {
            kind,
            revision: list.revision,
            entries: list.items.iter().filter_map(to_entry).collect(),
        });
    }
    let oldest = lists.iter().map(|l| l.revision).min().unwrap_or_default();
    let newest = lists.iter().map(|l| l.revision).max().unwrap_or_default();
    let mut revision = oldest;
    if oldest < newest {
        let mut watch = platform.watch(oldest, &CONFIG_KINDS).await?;
        while revision < newest {
            let Some(event) = watch.next().await? else {
                return ClosedSnafu.fail();
            };
            revision = revision.max(event.object.metadata.revision);
            apply_to_listing(&mut lists, &event);
        }
    }
    let entries = lists.into_iter().flat_map(|l| l.entries).collect();
    let to = revision;
    config.apply(Delta {
        from: 0,
        to,
        snapshot: true,
        entries,
    });
    log::info!(revision = to; "configuration listed");
    Ok(())
}

/// Applies an event to the list of its kind, unless the list already includes it.
fn apply_to_listing(lists: &mut [Listing], event: &Event) {
    let revision = event.object.metadata.revision;
    let list = lists
        .iter_mut()
        .find(|l| l.kind == event.object.kind && l.revision < revision);
    if let (Some(list), Some(entry)) = (list, event_entry(event)) {
        list.entries.retain(|e| e.name != entry.name);
        if !entry.is_tombstone() {
            list.entries.push(entry);
        }
    }
}

fn event_entry(event: &Event) -> Option<Arc<Entry>> {
    match event.change {
        Change::Bookmark => None,
        Change::Added | Change::Modified => to_entry(&event.object),
        Change::Deleted => Some(new_entry(&event.object, Bytes::new())),
    }
}

fn to_entry(object: &Raw) -> Option<Arc<Entry>> {
    let json = serde_json::to_vec(object).ok()?;
    Some(new_entry(object, json.into()))
}

fn new_entry(object: &Raw, json: Bytes) -> Arc<Entry> {
    Arc::new(Entry {
        kind: object.kind,
        name: object.metadata.name.clone(),
        revision: object.metadata.revision,
        json,
    })
}
