//! Follows the platform's objects while this process coordinates.
//!
//! A coordinator without the lease tries as well: a platform that is too slow
//! for the lease may still deliver changes, and only one process per data
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

/// Longest pause before another attempt, so that a change is in force within
/// 4 s of an outage's end.
const MAX_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Platform { source: objects::Error },
    #[snafu(display("the platform closed the watch"))]
    Closed,
}

/// Objects of one kind and the revision at which they were listed.
#[derive(Debug)]
struct Listed {
    kind: Kind,
    revision: u64,
    entries: Vec<Arc<Entry>>,
}

/// Follows the platform whenever this process is active.
pub(super) async fn run(
    ctx: daemon::Context,
    platform: objects::Client,
    config: config::Handle,
    mut role: watch::Receiver<Role>,
) {
    let work = async {
        while role.wait_for(|r| r.active).await.is_ok() {
            let mut lost = role.clone();
            tokio::select! {
                _ = lost.wait_for(|r| !r.active) => {}
                () = follow_again(&platform, &config) => {}
            }
        }
    };
    tokio::select! {
        () = ctx.stop.cancelled() => {}
        () = work => {}
    }
}

async fn follow_again(platform: &objects::Client, config: &config::Handle) {
    loop {
        if let Err(e) = follow(platform, config).await {
            log::warn!(error:% = e; "watch of the platform ended");
        }
        let share = rand::rng().random_range(0.5..1.0);
        time::sleep(MAX_PAUSE.mul_f64(share)).await;
    }
}

async fn follow(platform: &objects::Client, config: &config::Handle) -> Result<(), Error> {
    let known = config.revisions().complete;
    if known == 0 {
        list(platform, config).await?;
    }
    let at = config.revisions().complete;
    match platform.watch(at, &CONFIG_KINDS).await {
        Err(objects::Error::Compacted { .. }) => list(platform, config).await,
        Err(e) => Err(e.into()),
        Ok(watch) => pass_on(watch, at, config).await,
    }
}

/// Applies each event to the store.
async fn pass_on(
    mut watch: objects::Watch,
    mut at: u64,
    config: &config::Handle,
) -> Result<(), Error> {
    while let Some(event) = watch.next().await? {
        let to = event.object.metadata.revision;
        if to <= at {
            continue;
        }
        let entries = entry(&event).into_iter().collect();
        config.apply(Delta {
            from: at,
            to,
            snapshot: false,
            entries,
        });
        at = to;
    }
    ClosedSnafu.fail()
}

/// Lists all kinds. The lists are taken one after the other at different
/// revisions, so the watch is followed from the oldest to the newest of them
/// before the snapshot is applied: it must be the state at one revision.
async fn list(platform: &objects::Client, config: &config::Handle) -> Result<(), Error> {
    let mut lists = Vec::new();
    for kind in CONFIG_KINDS {
        let list = platform.list(kind, "").await?;
        lists.push(Listed {
            kind,
            revision: list.revision,
            entries: list.items.iter().filter_map(live).collect(),
        });
    }
    let oldest = lists.iter().map(|l| l.revision).min().unwrap_or_default();
    let newest = lists.iter().map(|l| l.revision).max().unwrap_or_default();
    let mut at = oldest;
    if oldest < newest {
        let mut watch = platform.watch(oldest, &CONFIG_KINDS).await?;
        while at < newest {
            let Some(event) = watch.next().await? else {
                return ClosedSnafu.fail();
            };
            at = at.max(event.object.metadata.revision);
            catch_up(&mut lists, &event);
        }
    }
    let entries = lists.into_iter().flat_map(|l| l.entries).collect();
    let to = at;
    config.apply(Delta {
        from: 0,
        to,
        snapshot: true,
        entries,
    });
    log::info!(revision = to; "configuration listed");
    Ok(())
}

/// Applies an event to the list of its kind, unless the list is newer.
fn catch_up(lists: &mut [Listed], event: &Event) {
    let revision = event.object.metadata.revision;
    let list = lists
        .iter_mut()
        .find(|l| l.kind == event.object.kind && l.revision < revision);
    if let (Some(list), Some(entry)) = (list, entry(event)) {
        list.entries.retain(|e| e.name != entry.name);
        if !entry.is_tombstone() {
            list.entries.push(entry);
        }
    }
}

fn entry(event: &Event) -> Option<Arc<Entry>> {
    match event.change {
        Change::Bookmark => None,
        Change::Added | Change::Modified => live(&event.object),
        Change::Deleted => Some(with_json(&event.object, Bytes::new())),
    }
}

fn live(object: &Raw) -> Option<Arc<Entry>> {
    let json = serde_json::to_vec(object).ok()?;
    Some(with_json(object, json.into()))
}

fn with_json(object: &Raw, json: Bytes) -> Arc<Entry> {
    Arc::new(Entry {
        kind: object.kind,
        name: object.metadata.name.clone(),
        revision: object.metadata.revision,
        json,
    })
}
