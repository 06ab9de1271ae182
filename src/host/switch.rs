//! Fetches, stages and loads the released versions of weights on the target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::clock::Clock;
use crate::digest::Digest;
use crate::host::{Host, plan};
use crate::platform::engine::{self, LoadOutcome, Manifest};

/// Time between two checks for a version to fetch or load.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for storing or reading a chunk in the target's staging area on this VM.
const STAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next attempt when no source had a manifest.
const MANIFEST_RETRY: Duration = Duration::from_millis(300);
/// Timeout for the answer to a load order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for requests whose slot was granted just before the target closed to reach it.
const ARRIVAL_GRACE: Duration = Duration::from_millis(15);
/// Version of a model before any release.
const FIRST_VERSION: u64 = 1;

/// A version that the target is to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingVersion {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// When it was released; `None` for the first version.
    pub released: Option<Instant>,
}

impl<C: Clock> Host<C> {
    /// Version that the target is to load next; `None` if it is up to date.
    fn next_version(&self) -> Option<PendingVersion> {
        let catalog = self.catalog.snapshot();
        // Until the releases are listed, newer versions than the first may exist unseen.
        if catalog.releases_revision == 0 {
            return None;
        }
        let service = catalog.config.as_ref()?.service(&self.service)?.clone();
        let model = service.engine?.models.into_iter().next()?;
        let current = self.report.borrow().weights.unwrap_or(0);
        let found = catalog.release_history(&model);
        let history = found.map(|r| r.history.as_slice()).unwrap_or_default();
        let mut pending = history.iter().filter(|(v, _)| *v > current).copied();
        let Some((mut version, mut released)) = pending.next() else {
            let is_empty = current < FIRST_VERSION;
            return is_empty.then_some(PendingVersion {
                model,
                version: FIRST_VERSION,
                released: None,
            });
        };
        let limit = self.bounds.weights_limit();
        // A newer version replaces the next one only once it is complete: its fetch may fail,
        // and the next one must be loaded before it is due.
        for (newer, at) in pending {
            let is_held = self.is_complete(&model, version);
            let may_skip = current == 0 || plan::may_replace(is_held, released, at, limit);
            if may_skip && self.is_complete(&model, newer) {
                (version, released) = (newer, at);
            }
        }
        Some(PendingVersion {
            model,
            version,
            released: Some(released),
        })
    }

    /// Whether the manifest and all chunks of a version are in memory.
    fn is_complete(&self, model: &str, version: u64) -> bool {
        let manifest = self.chunks.manifest(model, version);
        manifest.is_some_and(|m| self.chunks.missing(&m).is_empty())
    }

    /// Whether a version newer than `next`, which was released at `released`, can be complete
    /// before `next` must be loaded.
    fn may_newer_complete(&self, next: &PendingVersion, released: Instant) -> bool {
        let catalog = self.catalog.snapshot();
        let history = catalog
            .release_history(&next.model)
            .map(|r| r.history.as_slice());
        let now = self.clock.now();
        let deadline = plan::switch_deadline(released, self.bounds.weights_limit());
        let newer = history
            .unwrap_or_default()
            .iter()
            .filter(|(v, _)| *v > next.version);
        newer.into_iter().any(|(version, _)| {
            let manifest = self.chunks.manifest(&next.model, *version);
            let (missing, total) =
                manifest.map_or((0, 0), |m| (self.chunks.missing(&m).len(), m.digests.len()));
            plan::can_complete(now, missing, total, deadline)
        })
    }

    /// Whether the target is now to load another model or a newer version.
    pub(super) fn is_superseded(&self, model: &str, version: u64) -> bool {
        let differs = |next: PendingVersion| next.model != model || next.version > version;
        self.next_version().is_some_and(differs)
    }

    /// Whether the fetch of a version is to be aborted because a newer one is fetched first.
    pub(super) fn is_preempted(&self, model: &str, version: u64) -> bool {
        let catalog = self.catalog.snapshot();
        let history = catalog.release_history(model).map(|r| r.history.as_slice());
        let history = history.unwrap_or_default();
        let Some((newer, _)) = history.last().filter(|(v, _)| *v > version) else {
            return false;
        };
        let now = self.clock.now();
        let known_since = |version| self.known_since(model, version, now);
        plan::preempts_fetch(known_since(version), known_since(*newer), now)
    }

    /// Whether this host fetches the newer one of two versions first.
    fn were_learned_together(&self, older: &PendingVersion, newer: &PendingVersion) -> bool {
        let now = self.clock.now();
        let known_since = |v: &PendingVersion| self.known_since(&v.model, v.version, now);
        plan::fetches_newer_first(known_since(older), known_since(newer))
    }

    /// Newest released version; `None` if the target is up to date.
    fn newest_version(&self) -> Option<PendingVersion> {
        let next = self.next_version()?;
        let catalog = self.catalog.snapshot();
        let found = catalog.release_history(&next.model);
        let newest = found.and_then(|r| r.history.last()).copied();
        Some(match newest {
            Some((version, at)) => PendingVersion {
                version,
                released: Some(at),
                ..next
            },
            None => next,
        })
    }

    /// Fetches the chunks of the next and the newest version until the process ends. Runs
    /// independently of [`Self::load_versions`], because peers fetch chunks from this host
    /// while its target waits for its wave.
    pub(super) async fn fetch_versions(self: Arc<Self>) {
        let mut ticks = time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.is_target_reachable() {
                continue;
            }
            let mut order = [self.next_version(), self.newest_version()];
            if let [Some(next), Some(newest)] = &order
                && next.released.is_some()
                && self.were_learned_together(next, newest)
            {
                order.reverse();
            }
            for wanted in order.into_iter().flatten() {
                let Some(manifest) = self.manifest(&wanted.model, wanted.version).await else {
                    time::sleep(MANIFEST_RETRY).await;
                    continue;
                };
                self.fetch_chunks(manifest).await;
            }
        }
    }

    /// Loads released versions once they are complete, until the process ends.
    pub(super) async fn load_versions(self: Arc<Self>) {
        let mut ticks = time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // A target that is loading may carry out an order whose answer was late.
            if !self.is_target_reachable() || self.report.borrow().busy {
                continue;
            }
            if let Some(next) = self.next_version() {
                self.stage_and_load(&next).await;
            }
        }
    }

    /// Stages a version and loads it in its wave, if all of its chunks are in memory.
    async fn stage_and_load(&self, next: &PendingVersion) {
        let PendingVersion { model, version, .. } = next;
        let Some(manifest) = self.chunks.manifest(model, *version) else {
            return;
        };
        if !self.chunks.missing(&manifest).is_empty() {
            return;
        }
        if !self.stage(&manifest).await {
            return;
        }
        if let Some(released) = next.released
            && self.report.borrow().weights.is_some()
        {
            let limit = self.bounds.weights_limit();
            let at = plan::switch_time(released, self.clock.now(), self.rank(), limit);
            let deadline = plan::switch_deadline(released, limit);
            while self.clock.now() < at
                || (self.may_newer_complete(next, released) && self.clock.now() < deadline)
            {
                time::sleep(POLL_INTERVAL).await;
                if self.is_superseded(model, *version) {
                    info!(model = model.as_str(), version; "version skipped");
                    return;
                }
            }
        }
        if self.verify_staged(&manifest).await {
            self.order_load(&manifest).await;
        }
    }

    /// Copies all chunks into the target's staging area. Returns whether that succeeded.
    async fn stage(&self, manifest: &Manifest) -> bool {
        for index in 0..manifest.digests.len() {
            let Some(data) = self.chunks.get(&manifest.model, manifest.version, index) else {
                return false;
            };
            if !self.stage_chunk(manifest, index, data).await {
                return false;
            }
        }
        true
    }

    async fn stage_chunk(&self, manifest: &Manifest, index: usize, data: Bytes) -> bool {
        let staged = engine::stage_chunk(self.target, &manifest.model, index, data, STAGE_TIMEOUT);
        match staged.await {
            Ok(()) => true,
            Err(e) => {
                let reason = e.to_string();
                warn!(version = manifest.version, index, reason = reason.as_str(); "chunk not staged");
                false
            }
        }
    }

    /// Reads the staged chunks back and stages those again that are damaged or unreadable.
    /// Returns whether all chunks are in place.
    async fn verify_staged(&self, manifest: &Manifest) -> bool {
        for (index, digest) in manifest.digests.iter().enumerate() {
            let read =
                engine::read_staged(self.target, &manifest.model, index, STAGE_TIMEOUT).await;
            if read.is_ok_and(|data| Digest::of(&data) == *digest) {
                continue;
            }
            warn!(version = manifest.version, index; "staged chunk invalid, staging it again");
            let data = self.chunks.get(&manifest.model, manifest.version, index);
            let Some(data) = data else { return false };
            if !self.stage_chunk(manifest, index, data).await {
                return false;
            }
        }
        true
    }

    /// Closes the target for new requests and orders it to load the staged version.
    async fn order_load(&self, manifest: &Manifest) {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        // Taken together: an order that the target accepts from here on conflicts with this one.
        let (is_loading, accepted) = {
            let report = self.report.borrow();
            (report.busy, report.accepted_orders)
        };
        if is_loading {
            return;
        }
        self.is_switching.store(true, Ordering::Relaxed);
        self.set_open(false, "switching");
        time::sleep(ARRIVAL_GRACE).await;
        let ordered = engine::load(self.target, model, version, accepted, ORDER_TIMEOUT).await;
        let outcome = match &ordered {
            Ok(LoadOutcome::Begun) => "begun",
            Ok(LoadOutcome::Done) => "done",
            Ok(LoadOutcome::Conflict) => "conflict",
            Err(_) => "unanswered",
        };
        counter!("corianderramp_orders_total", "outcome" => outcome).increment(1);
        match ordered {
            Ok(ordered) => {
                info!(model, version, accepted, outcome:? = ordered; "load order answered");
                if ordered == LoadOutcome::Begun {
                    self.wait_for_load(version).await;
                }
            }
            // The target may have accepted the order; its next report shows whether it did.
            Err(e) => {
                let reason = e.to_string();
                warn!(model, version, accepted, reason = reason.as_str(); "load order failed");
            }
        }
        self.is_switching.store(false, Ordering::Relaxed);
        self.update_report().await;
    }
}
