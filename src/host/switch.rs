//! Fetches, stages and loads the released versions of weights on the target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use log::{info, warn};
use metrics::counter;
use tokio::time;

use crate::clock::Clock;
use crate::host::proof::Proof;
use crate::host::{Host, plan};
use crate::platform::engine::{self, LoadOutcome, Manifest, OrderConnection, Report};

/// Time between two checks for a version to fetch or load.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
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

/// Load order whose answer was lost.
#[derive(Clone, Debug)]
pub struct UnansweredOrder {
    model: String,
    version: u64,
    /// Number of orders that the target had accepted before.
    accepted: u64,
    /// Start of the target's process.
    started: u64,
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
            let next = self.unanswered_version().or_else(|| self.next_version());
            if let Some(next) = next {
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
        self.load_verified(next, &manifest).await;
    }

    /// Closes the target for new requests and orders it to load the staged version, if its chunks
    /// are sound.
    async fn load_verified(&self, next: &PendingVersion, manifest: &Manifest) {
        let mut proof = Proof::new(manifest.digests.len());
        if !self.verify_staged(manifest, &mut proof).await {
            return;
        }
        // Taken together: an order that the target accepts from here on conflicts with this one.
        let report = self.report.borrow().clone();
        if report.busy {
            return;
        }
        self.is_switching.store(true, Ordering::Relaxed);
        self.set_open(false, "switching");
        time::sleep(ARRIVAL_GRACE).await;
        if let Some(outcome) = self.order_load(manifest, &report, &mut proof).await {
            let is_answered = outcome.is_ok();
            let order = UnansweredOrder {
                model: next.model.clone(),
                version: next.version,
                accepted: report.accepted_orders,
                started: report.started,
            };
            *self.unanswered_order.lock() = (!is_answered).then_some(order);
            if let Ok(LoadOutcome::Begun) = outcome {
                self.wait_for_load(next.version).await;
            }
        }
        self.is_switching.store(false, Ordering::Relaxed);
        self.update_report().await;
    }

    /// Gives the order to load the staged version, and logs its outcome; `None` if no order was
    /// given, because chunks are damaged or the target accepts no connection.
    async fn order_load(
        &self,
        manifest: &Manifest,
        report: &Report,
        proof: &mut Proof,
    ) -> Option<Result<LoadOutcome, engine::Error>> {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let accepted = report.accepted_orders;
        let connection = match OrderConnection::open(self.target, ORDER_TIMEOUT).await {
            Ok(connection) => connection,
            Err(e) => {
                let reason = e.to_string();
                warn!(model, version, accepted, reason = reason.as_str(); "load order not given");
                return None;
            }
        };
        // This process may have been paused since the chunks were read.
        if !self.verify_staged(manifest, proof).await {
            return None;
        }
        let ordered = connection.load(model, version, accepted, ORDER_TIMEOUT);
        let ordered = ordered.await;
        let outcome = match &ordered {
            Ok(LoadOutcome::Begun) => "begun",
            Ok(LoadOutcome::Done) => "done",
            Ok(LoadOutcome::Conflict) => "conflict",
            Err(_) => "unanswered",
        };
        counter!("corianderramp_orders_total", "outcome" => outcome).increment(1);
        match &ordered {
            Ok(outcome) => {
                info!(model, version, accepted, outcome:? = outcome; "load order answered");
            }
            // The target may have accepted the order; its next report shows whether it did.
            Err(e) => {
                let reason = e.to_string();
                warn!(model, version, accepted, reason = reason.as_str(); "load order failed");
            }
        }
        Some(ordered)
    }

    /// Version of an order without an answer that the target may still accept. It must find the
    /// chunks of that version, so nothing else is staged before a further order for it is
    /// answered, after which the target refuses the former one.
    fn unanswered_version(&self) -> Option<PendingVersion> {
        let mut unanswered = self.unanswered_order.lock();
        let order = unanswered.clone()?;
        let report = self.report.borrow();
        let is_open = (order.accepted, order.started) == (report.accepted_orders, report.started);
        if !is_open || !self.is_complete(&order.model, order.version) {
            *unanswered = None;
            return None;
        }
        Some(PendingVersion {
            model: order.model,
            version: order.version,
            released: None,
        })
    }
}
