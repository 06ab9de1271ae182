//! Brings the target to the version that was named.

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

/// Time between two looks at what is to be done.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time for storing or reading a chunk in the staging area on this VM.
const STAGE_LIMIT: Duration = Duration::from_secs(1);
/// Pause after no source had a manifest.
const MANIFEST_PAUSE: Duration = Duration::from_millis(300);
/// Time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_secs(1);
/// Time for requests that were granted just before the target closed to arrive there.
const ARRIVAL: Duration = Duration::from_millis(15);
/// Version that a model has before any is named.
const FIRST_VERSION: u64 = 1;

/// A version that the target is to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// When it was named; `None` for the first version.
    pub named: Option<Instant>,
}

impl<C: Clock> Host<C> {
    /// Version that the target is to serve next, if it serves another.
    fn wanted(&self) -> Option<Wanted> {
        let view = self.board.snapshot();
        // Until the releases are listed, the first version may be long replaced.
        if view.releases_revision == 0 {
            return None;
        }
        let service = view.config.as_ref()?.service(&self.service)?.clone();
        let model = service.engine?.models.into_iter().next()?;
        let now = self.engine.borrow().weights.unwrap_or(0);
        let named = view.release_history(&model);
        let history = named.map(|n| n.history.as_slice()).unwrap_or_default();
        let mut open = history.iter().filter(|(v, _)| *v > now).copied();
        let Some((mut version, mut since)) = open.next() else {
            let first = now < FIRST_VERSION;
            return first.then_some(Wanted {
                model,
                version: FIRST_VERSION,
                named: None,
            });
        };
        let bound = self.bounds.weights_limit();
        // A newer version replaces the next one only when it is here: until then the
        // origin may fail, and the next one must be loaded before it is due.
        for (newer, at) in open {
            let may_skip = now == 0 || plan::skips(since, at, bound);
            if may_skip && self.is_complete(&model, newer) {
                (version, since) = (newer, at);
            }
        }
        Some(Wanted {
            model,
            version,
            named: Some(since),
        })
    }

    /// Whether all chunks of a version are here.
    fn is_complete(&self, model: &str, version: u64) -> bool {
        let manifest = self.chunks.manifest(model, version);
        manifest.is_some_and(|m| self.chunks.missing(&m).is_empty())
    }

    /// Whether a version that may replace `wanted` can be here before `wanted` is due.
    fn awaits_newer(&self, wanted: &Wanted, named: Instant) -> bool {
        let view = self.board.snapshot();
        let history = view
            .release_history(&wanted.model)
            .map(|n| n.history.as_slice());
        let now = self.clock.now();
        let latest = plan::latest(named, self.bounds.weights_limit());
        let newer = history
            .unwrap_or_default()
            .iter()
            .filter(|(v, _)| *v > wanted.version);
        newer.into_iter().any(|(version, _)| {
            let manifest = self.chunks.manifest(&wanted.model, *version);
            let (missing, total) =
                manifest.map_or((0, 0), |m| (self.chunks.missing(&m).len(), m.digests.len()));
            plan::arrives(now, missing, total, latest)
        })
    }

    /// Whether another version is wanted by now.
    pub(super) fn superseded(&self, model: &str, version: u64) -> bool {
        let newer = |w: Wanted| w.model != model || w.version > version;
        self.wanted().is_some_and(newer)
    }

    /// Whether the fetch of a version ends because a newer one is fetched first.
    pub(super) fn gives_way(&self, model: &str, version: u64) -> bool {
        let view = self.board.snapshot();
        let history = view.release_history(model).map(|n| n.history.as_slice());
        let history = history.unwrap_or_default();
        let older = history.iter().find(|(v, _)| *v == version);
        let newer = history.last().filter(|(v, _)| *v > version);
        let now = self.clock.now();
        let times = older.zip(newer);
        times.is_some_and(|(older, newer)| plan::gives_way(older.1, newer.1, now))
    }

    /// Newest version that was named, if the target does not serve it.
    fn newest(&self) -> Option<Wanted> {
        let wanted = self.wanted()?;
        let view = self.board.snapshot();
        let named = view.release_history(&wanted.model);
        let newest = named.and_then(|n| n.history.last()).copied();
        Some(match newest {
            Some((version, at)) => Wanted {
                version,
                named: Some(at),
                ..wanted
            },
            None => wanted,
        })
    }

    /// Fetches the chunks of what the target is to serve and those of the newest version,
    /// until the process ends. Peers depend on it also while this target waits
    /// for its turn to switch.
    pub(super) async fn gather(self: Arc<Self>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.reachable() {
                continue;
            }
            let mut order = [self.wanted(), self.newest()];
            if let [Some(next), Some(newest)] = &order
                && let (Some(older), Some(newer)) = (next.named, newest.named)
                && plan::is_fetched_first(older, newer)
            {
                order.reverse();
            }
            for wanted in order.into_iter().flatten() {
                let Some(manifest) = self.manifest(&wanted.model, wanted.version).await else {
                    time::sleep(MANIFEST_PAUSE).await;
                    continue;
                };
                self.fetch(manifest).await;
            }
        }
    }

    /// Keeps the target at the wanted version until the process ends.
    pub(super) async fn keep_current(self: Arc<Self>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.reachable() {
                continue;
            }
            if let Some(wanted) = self.wanted() {
                self.bring(&wanted).await;
            }
        }
    }

    /// Stages and loads one version, if all of its chunks are here.
    async fn bring(&self, wanted: &Wanted) {
        let Wanted { model, version, .. } = wanted;
        let Some(manifest) = self.chunks.manifest(model, *version) else {
            return;
        };
        if !self.chunks.missing(&manifest).is_empty() {
            return;
        }
        if !self.stage(&manifest).await {
            return;
        }
        if let Some(named) = wanted.named
            && self.engine.borrow().weights.is_some()
        {
            let bound = self.bounds.weights_limit();
            let at = plan::switch_at(named, self.clock.now(), self.rank(), bound);
            let latest = plan::latest(named, bound);
            while self.clock.now() < at
                || (self.awaits_newer(wanted, named) && self.clock.now() < latest)
            {
                time::sleep(INTERVAL).await;
                if self.superseded(model, *version) {
                    info!(model = model.as_str(), version; "version skipped");
                    return;
                }
            }
        }
        if self.verify(&manifest).await {
            self.order(&manifest).await;
        }
    }

    /// Puts the chunks into the target's staging area where they are not there yet.
    async fn stage(&self, manifest: &Manifest) -> bool {
        for index in 0..manifest.digests.len() {
            let Some(data) = self.chunks.get(&manifest.model, manifest.version, index) else {
                return false;
            };
            if !self.put(manifest, index, data).await {
                return false;
            }
        }
        true
    }

    async fn put(&self, manifest: &Manifest, index: usize, data: Bytes) -> bool {
        let put = engine::stage_chunk(self.target, &manifest.model, index, data, STAGE_LIMIT);
        match put.await {
            Ok(()) => true,
            Err(e) => {
                let reason = e.to_string();
                warn!(version = manifest.version, index, reason = reason.as_str(); "chunk not staged");
                false
            }
        }
    }

    /// Reads the staged chunks back and replaces those that turned bad.
    async fn verify(&self, manifest: &Manifest) -> bool {
        for (index, digest) in manifest.digests.iter().enumerate() {
            let read = engine::read_staged(self.target, &manifest.model, index, STAGE_LIMIT).await;
            if read.is_ok_and(|data| Digest::of(&data) == *digest) {
                continue;
            }
            warn!(version = manifest.version, index; "staged chunk replaced");
            let data = self.chunks.get(&manifest.model, manifest.version, index);
            let Some(data) = data else { return false };
            if !self.put(manifest, index, data).await {
                return false;
            }
        }
        true
    }

    /// Orders the target to load what is staged.
    async fn order(&self, manifest: &Manifest) {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        self.is_switching.store(true, Ordering::Relaxed);
        self.set_open(false, "switching");
        time::sleep(ARRIVAL).await;
        let accepted = self.engine.borrow().accepted_orders;
        let ordered = engine::load(self.target, model, version, accepted, ORDER_LIMIT).await;
        let outcome = match &ordered {
            Ok(LoadOutcome::Begun) => "begun",
            Ok(LoadOutcome::Done) => "done",
            Ok(LoadOutcome::Conflict) => "conflict",
            Err(_) => "unanswered",
        };
        counter!("corianderramp_orders_total", "outcome" => outcome).increment(1);
        match ordered {
            Ok(ordered) => {
                info!(model, version, accepted, outcome:? = ordered; "order");
                if ordered == LoadOutcome::Begun {
                    self.await_load(version).await;
                }
            }
            // The order may have been taken; the next report shows it.
            Err(e) => {
                let reason = e.to_string();
                warn!(model, version, accepted, reason = reason.as_str(); "order without an answer");
            }
        }
        self.is_switching.store(false, Ordering::Relaxed);
        self.refresh().await;
    }
}
