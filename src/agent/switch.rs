//! Switches the engine to the version that the newest rollout wants.

use std::time::{Duration, Instant};

use log::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time;

use super::engine;
use crate::clock::Clock;
use crate::control::pb;
use crate::daemon;
use crate::shared_state::{ModelVersion, Phase};
use crate::weights;

pub mod decide;
mod report;

use decide::{Inputs, Step};

/// Interval of looks at the engine.
const INTERVAL: Duration = Duration::from_millis(200);
/// The same while a switch is under way.
const FAST: Duration = Duration::from_millis(20);
/// Time without a change of the engine's report after which a restarted agent
/// takes it as complete. It is longer than the load of weights that are in the
/// engine's memory takes on these VMs.
const SETTLE: Duration = Duration::from_secs(30);
/// Time between two looks above which this process was paused. Its view may
/// then be old, and engines that don't check tokens would accept its orders.
const PAUSE: Duration = Duration::from_secs(2);
/// Time without orders after a pause: pulling repairs the view within 1 s.
const RESYNC: Duration = Duration::from_secs(3);
/// First and longest time between two orders after a failure.
const RETRY: Duration = Duration::from_millis(500);
const MAX_RETRY: Duration = Duration::from_secs(10);
/// Looks without an answer after which the engine counts as unreachable.
const MISSED: u32 = 3;

/// Starts the switch controller of a model engine. It writes `state.serving`.
pub fn start<C: Clock>(ctx: &daemon::Context, clock: C, weights: &weights::Handle) {
    let Some(target) = &ctx.settings.target else {
        return;
    };
    let (reports, reported) = watch::channel(pb::AgentProgress::default());
    let (permits, permit) = watch::channel(None);
    let engine = engine::Client::new(target.address, ctx.settings.bind);
    tokio::spawn(report::run(ctx.clone(), reported, permits.clone()));
    let switch = Switch {
        ctx: ctx.clone(),
        clock,
        engine,
        service: target.service.clone(),
        progress: weights.progress(),
        reports,
        permit,
        permits,
        memory: Memory::default(),
    };
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(run(switch)).await });
}

/// What the controller remembers between two looks.
#[derive(Debug, Default)]
struct Memory {
    /// What was loaded completely by this process, or accepted at its start.
    known: Option<ModelVersion>,
    newest: u64,
    /// Newest generation in the first configuration, and whether the engine
    /// was empty then.
    first: Option<(u64, bool)>,
    engine: Option<engine::State>,
    /// Since when the engine reports the same.
    since: Option<Instant>,
    missed: u32,
    looked: Option<Instant>,
    hold: Option<Instant>,
    failures: u32,
    reason: String,
    lost: bool,
    loading: Option<ModelVersion>,
}

struct Switch<C> {
    ctx: daemon::Context,
    clock: C,
    engine: engine::Client,
    service: String,
    progress: watch::Receiver<weights::Progress>,
    reports: watch::Sender<pb::AgentProgress>,
    permit: watch::Receiver<Option<u64>>,
    permits: watch::Sender<Option<u64>>,
    memory: Memory,
}

type Outcome = Result<(), weights::http::Error>;

async fn run<C: Clock>(mut switch: Switch<C>) {
    let mut config = switch.ctx.state.config.subscribe();
    // Orders before the first synchronisation could be of an old generation.
    let _ = config.wait_for(|view| view.complete > 0).await;
    let (done, mut outcomes) = mpsc::channel::<Outcome>(1);
    loop {
        switch.look().await;
        while let Ok(outcome) = outcomes.try_recv() {
            switch.loaded(outcome);
            switch.look().await;
        }
        let inputs = switch.inputs();
        let step = decide::next_step(&inputs);
        switch.act(&step, &inputs, &done);
        switch.report(&switch.inputs());
        let waiting = inputs.loading || decide::is_draining(&inputs);
        let interval = if waiting || step != Step::Wait {
            FAST
        } else {
            INTERVAL
        };
        let seen = milestone(&switch.progress.borrow());
        let mut progress = switch.progress.clone();
        tokio::select! {
            () = time::sleep(interval) => {}
            _ = config.changed() => {}
            _ = progress.wait_for(|p| milestone(p) != seen) => {}
            _ = switch.permit.changed() => {}
        }
    }
}

/// Parts of the progress that the decision depends on.
fn milestone(progress: &weights::Progress) -> (u64, bool) {
    let wanted = progress.wanted.as_ref();
    let generation = wanted.map_or(0, |w| w.generation);
    (generation, progress.is_verified())
}

impl<C: Clock> Switch<C> {
    /// Asks the engine what it has loaded.
    async fn look(&mut self) {
        let answer = self.engine.state().await;
        let now = self.clock.now();
        let memory = &mut self.memory;
        if memory.looked.is_some_and(|last| now - last > PAUSE) {
            memory.hold = memory.hold.max(Some(now + RESYNC));
        }
        memory.looked = Some(now);
        let state = match answer {
            Ok(state) => {
                memory.missed = 0;
                Some(state)
            }
            Err(weights::http::Error::Stalled { .. }) if memory.missed < MISSED => {
                memory.missed += 1;
                memory.engine.clone()
            }
            Err(_) => None,
        };
        if state != memory.engine || state.is_none() {
            memory.since = Some(now);
        }
        memory.engine = state;
        let newest = self.ctx.state.view();
        let newest = newest.rollout_for(&self.service);
        let generation = newest.map_or(0, |r| r.metadata.revision);
        memory.newest = memory.newest.max(generation);
        if let (None, Some(engine)) = (memory.first, &memory.engine) {
            memory.first = Some((generation, engine.model.is_empty()));
        }
    }

    fn inputs(&self) -> Inputs {
        let progress = self.progress.borrow();
        let memory = &self.memory;
        let now = self.clock.now();
        let wanted = progress.wanted.as_ref();
        let (first, empty) = memory.first.unwrap_or_default();
        let held_back =
            wanted.is_some_and(|w| decide::is_held_back(w.join, w.generation, first, empty));
        let leaving = *self.ctx.state.phase.borrow() == Phase::Draining;
        let waiting = memory.hold.is_some_and(|until| until > now);
        let serving = self.ctx.state.serving.borrow().clone();
        Inputs {
            wanted: wanted.map(|w| ModelVersion {
                model: w.model.clone(),
                version: w.version.clone(),
                generation: w.generation,
            }),
            newest: memory.newest,
            verified: progress.is_verified(),
            engine: memory.engine.clone(),
            outcome_unknown: memory.lost,
            stable: memory.since.is_some_and(|since| now - since >= SETTLE),
            serving,
            confirmed: memory.known.clone(),
            // Read after `serving`: the gate raises it before it reads `serving`.
            active: *self.ctx.state.active.borrow(),
            permit: *self.permit.borrow(),
            loading: memory.loading.is_some(),
            blocked: held_back || leaving || waiting,
        }
    }

    fn act(&mut self, step: &Step, inputs: &Inputs, done: &mpsc::Sender<Outcome>) {
        match step {
            Step::Wait => {}
            Step::Serve(serving) => {
                info!(
                    model = serving.model.as_str(), version = serving.version.as_str(),
                    generation = serving.generation; "serving"
                );
                self.memory.known = Some(serving.clone());
                self.ctx.state.serving.send_replace(Some(serving.clone()));
            }
            Step::StopServing => {
                info!(active = inputs.active; "not serving");
                self.ctx.state.serving.send_replace(None);
            }
            Step::Load => self.order(inputs, done),
        }
    }

    fn order(&mut self, inputs: &Inputs, done: &mpsc::Sender<Outcome>) {
        let progress = self.progress.borrow();
        let (Some(wanted), Some(serving)) = (&progress.wanted, &inputs.wanted) else {
            return;
        };
        let order = engine::LoadRequest {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
            fence: wanted.generation,
            chunks: wanted.chunks(),
        };
        info!(
            model = order.model.as_str(), version = order.version.as_str(),
            generation = order.fence; "load ordered"
        );
        self.memory.loading = Some(serving.clone());
        let engine = self.engine.clone();
        let done = done.clone();
        tokio::spawn(async move {
            let outcome = engine.load(&order).await;
            let _ = done.send(outcome).await;
        });
    }

    /// Notes the end of an order.
    fn loaded(&mut self, outcome: Outcome) {
        // A permit is for one order: the next one may find other targets out of service.
        self.permits.send_replace(None);
        let memory = &mut self.memory;
        let loaded = memory.loading.take();
        match outcome {
            Ok(()) => {
                memory.known = loaded;
                memory.lost = false;
                memory.failures = 0;
                memory.reason.clear();
            }
            Err(e) => {
                memory.lost = !matches!(e, weights::http::Error::Status { .. });
                let wait = weights::peers::backoff(RETRY, memory.failures, MAX_RETRY);
                memory.failures += 1;
                memory.hold = memory.hold.max(Some(self.clock.now() + wait));
                memory.reason = format!("load failed: {e}");
                warn!(failures = memory.failures; "{}", memory.reason);
            }
        }
    }

    /// Publishes a report for the coordinator.
    fn report(&self, inputs: &Inputs) {
        let progress = self.progress.borrow();
        let Some(wanted) = &progress.wanted else {
            return;
        };
        let live = inputs
            .serving
            .as_ref()
            .zip(inputs.wanted.as_ref())
            .is_some_and(|(s, w)| decide::is_same(s, w));
        let switching = inputs.loading || decide::is_draining(inputs);
        let stage = if live {
            pb::Stage::Live
        } else if !self.memory.reason.is_empty() {
            pb::Stage::Failed
        } else if switching {
            pb::Stage::Switching
        } else if inputs.verified {
            pb::Stage::Verified
        } else {
            pb::Stage::Fetching
        };
        let missing = wanted.missing_manifest.as_ref();
        let missing = missing.map(|name| format!("the configuration lacks {name}"));
        let transfers = Some(&progress.reason).filter(|r| !live && !r.is_empty());
        let failure = transfers.unwrap_or(&self.memory.reason);
        let report = pb::AgentProgress {
            vm: self.ctx.settings.vm.clone(),
            service: self.service.clone(),
            rollout: wanted.rollout.clone(),
            generation: wanted.generation,
            stage: stage.into(),
            reason: missing.unwrap_or_else(|| failure.clone()),
            chunks_have: u32::try_from(progress.have).unwrap_or(u32::MAX),
            chunks_total: u32::try_from(progress.total).unwrap_or(u32::MAX),
            want_permit: decide::needs_permit(inputs),
            complete: self.ctx.state.view().complete,
            origin_bytes: progress.origin_bytes,
        };
        self.reports.send_if_modified(|old| {
            let changed = *old != report;
            *old = report;
            changed
        });
    }
}
