//! Controller that switches the engine to the version of the newest rollout.

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

/// Interval of engine polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of engine polls during a switch.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a change of the engine's reported state after which no load can be
/// in progress. It exceeds the time that these VMs need to load weights which are in
/// the engine's memory.
const STABLE_AFTER: Duration = Duration::from_secs(30);
/// Time between two polls above which this process must have been paused. Its
/// configuration may then be stale, and engines that don't check fencing tokens would
/// accept outdated load requests.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time without load requests after a pause: pulling updates the configuration
/// within 1 s.
const RESYNC_WAIT: Duration = Duration::from_secs(3);
/// Backoff after the first failed load.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff after failed loads.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Consecutive polls that may time out before the engine counts as unreachable.
const MAX_MISSED_POLLS: u32 = 3;

/// Starts the switch controller of a model engine. It writes `state.serving`.
pub fn start<C: Clock>(ctx: &daemon::Context, clock: C, weights: &weights::Handle) {
    let Some(target) = &ctx.settings.target else {
        return;
    };
    let (reports, reported) = watch::channel(pb::AgentProgress::default());
    let (permits, permit) = watch::channel(None);
    let engine = engine::Client::new(target.address, ctx.settings.bind);
    tokio::spawn(report::run(ctx.clone(), reported, permits.clone()));
    let controller = Controller {
        ctx: ctx.clone(),
        clock,
        engine,
        service: target.service.clone(),
        progress: weights.progress(),
        reports,
        permit,
        permits,
        history: History::default(),
    };
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(run(controller)).await });
}

/// State of the controller that is kept between polls.
#[derive(Debug, Default)]
struct History {
    /// Last version that this process loaded completely, or accepted at its start.
    confirmed: Option<ModelVersion>,
    /// Newest generation seen in any configuration.
    newest: u64,
    /// Generation at the first poll that the engine answered, and whether the engine
    /// was empty then.
    first: Option<(u64, bool)>,
    /// Last reported state; `None` while the engine is unreachable.
    engine: Option<engine::State>,
    /// Time of the last change of `engine`.
    changed_at: Option<Instant>,
    missed_polls: u32,
    polled_at: Option<Instant>,
    /// No load is requested before this time.
    blocked_until: Option<Instant>,
    /// Consecutive failed loads.
    failures: u32,
    /// Reason of the last failed load; empty after a successful one.
    reason: String,
    /// Whether a load request got no answer, so that its load may be in progress.
    outcome_unknown: bool,
    /// Version of the load in progress.
    loading: Option<ModelVersion>,
}

struct Controller<C> {
    ctx: daemon::Context,
    clock: C,
    engine: engine::Client,
    service: String,
    progress: watch::Receiver<weights::Progress>,
    reports: watch::Sender<pb::AgentProgress>,
    permit: watch::Receiver<Option<u64>>,
    permits: watch::Sender<Option<u64>>,
    history: History,
}

type LoadOutcome = Result<(), weights::http::Error>;

async fn run<C: Clock>(mut controller: Controller<C>) {
    let mut config = controller.ctx.state.config.subscribe();
    // Before the first synchronization, load requests could be for an old generation.
    let _ = config.wait_for(|view| view.complete > 0).await;
    let (done, mut outcomes) = mpsc::channel::<LoadOutcome>(1);
    loop {
        controller.poll().await;
        while let Ok(outcome) = outcomes.try_recv() {
            controller.finish_load(outcome);
            controller.poll().await;
        }
        let inputs = controller.inputs();
        let step = decide::next_step(&inputs);
        controller.apply(&step, &inputs, &done);
        controller.report(&controller.inputs());
        let switching = inputs.loading || decide::is_draining(&inputs);
        let interval = if switching || step != Step::Wait {
            SWITCH_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        let seen = step_inputs(&controller.progress.borrow());
        let mut progress = controller.progress.clone();
        tokio::select! {
            () = time::sleep(interval) => {}
            _ = config.changed() => {}
            _ = progress.wait_for(|p| step_inputs(p) != seen) => {}
            _ = controller.permit.changed() => {}
        }
    }
}

/// Parts of the progress that the next step depends on.
fn step_inputs(progress: &weights::Progress) -> (u64, bool) {
    let wanted = progress.wanted.as_ref();
    let generation = wanted.map_or(0, |w| w.generation);
    (generation, progress.is_verified())
}

impl<C: Clock> Controller<C> {
    /// Reads the engine's state and records it with the newest generation.
    async fn poll(&mut self) {
        let response = self.engine.state().await;
        let now = self.clock.now();
        let history = &mut self.history;
        if history
            .polled_at
            .is_some_and(|last| now - last > PAUSE_THRESHOLD)
        {
            history.blocked_until = history.blocked_until.max(Some(now + RESYNC_WAIT));
        }
        history.polled_at = Some(now);
        let state = match response {
            Ok(state) => {
                history.missed_polls = 0;
                Some(state)
            }
            Err(weights::http::Error::Stalled { .. })
                if history.missed_polls < MAX_MISSED_POLLS =>
            {
                history.missed_polls += 1;
                history.engine.clone()
            }
            Err(_) => None,
        };
        if state != history.engine || state.is_none() {
            history.changed_at = Some(now);
        }
        history.engine = state;
        let view = self.ctx.state.view();
        let rollout = view.rollout_for(&self.service);
        let generation = rollout.map_or(0, |r| r.metadata.revision);
        history.newest = history.newest.max(generation);
        if let (None, Some(engine)) = (history.first, &history.engine) {
            history.first = Some((generation, engine.model.is_empty()));
        }
    }

    fn inputs(&self) -> Inputs {
        let progress = self.progress.borrow();
        let history = &self.history;
        let now = self.clock.now();
        let wanted = progress.wanted.as_ref();
        let (first, empty) = history.first.unwrap_or_default();
        let held_back =
            wanted.is_some_and(|w| decide::is_held_back(w.join, w.generation, first, empty));
        let leaving = *self.ctx.state.phase.borrow() == Phase::Draining;
        let waiting = history.blocked_until.is_some_and(|until| until > now);
        let serving = self.ctx.state.serving.borrow().clone();
        Inputs {
            wanted: wanted.map(|w| ModelVersion {
                model: w.model.clone(),
                version: w.version.clone(),
                generation: w.generation,
            }),
            newest: history.newest,
            verified: progress.is_verified(),
            engine: history.engine.clone(),
            outcome_unknown: history.outcome_unknown,
            stable: history
                .changed_at
                .is_some_and(|since| now - since >= STABLE_AFTER),
            serving,
            confirmed: history.confirmed.clone(),
            // Read after `serving`: the proxy increments it before it reads `serving`.
            active: *self.ctx.state.active.borrow(),
            permit: *self.permit.borrow(),
            loading: history.loading.is_some(),
            blocked: held_back || leaving || waiting,
        }
    }

    fn apply(&mut self, step: &Step, inputs: &Inputs, done: &mpsc::Sender<LoadOutcome>) {
        match step {
            Step::Wait => {}
            Step::Serve(serving) => {
                info!(
                    model = serving.model.as_str(), version = serving.version.as_str(),
                    generation = serving.generation; "started serving"
                );
                self.history.confirmed = Some(serving.clone());
                self.ctx.state.serving.send_replace(Some(serving.clone()));
            }
            Step::StopServing => {
                info!(active = inputs.active; "stopped serving");
                self.ctx.state.serving.send_replace(None);
            }
            Step::Load => self.start_load(inputs, done),
        }
    }

    fn start_load(&mut self, inputs: &Inputs, done: &mpsc::Sender<LoadOutcome>) {
        let progress = self.progress.borrow();
        let (Some(wanted), Some(serving)) = (&progress.wanted, &inputs.wanted) else {
            return;
        };
        let request = engine::LoadRequest {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
            fence: wanted.generation,
            chunks: wanted.chunks(),
        };
        info!(
            model = request.model.as_str(), version = request.version.as_str(),
            generation = request.fence; "load requested"
        );
        self.history.loading = Some(serving.clone());
        let engine = self.engine.clone();
        let done = done.clone();
        tokio::spawn(async move {
            let outcome = engine.load(&request).await;
            let _ = done.send(outcome).await;
        });
    }

    /// Records the outcome of a load request.
    fn finish_load(&mut self, outcome: LoadOutcome) {
        // A permit covers one load: by the next one, other targets may be out of service.
        self.permits.send_replace(None);
        let history = &mut self.history;
        let loaded = history.loading.take();
        match outcome {
            Ok(()) => {
                history.confirmed = loaded;
                history.outcome_unknown = false;
                history.failures = 0;
                history.reason.clear();
            }
            Err(e) => {
                history.outcome_unknown = !matches!(e, weights::http::Error::Status { .. });
                let wait = weights::peers::backoff(MIN_BACKOFF, history.failures, MAX_BACKOFF);
                history.failures += 1;
                history.blocked_until = history.blocked_until.max(Some(self.clock.now() + wait));
                history.reason = format!("load failed: {e}");
                warn!(failures = history.failures; "{}", history.reason);
            }
        }
    }

    /// Publishes the progress for the coordinator.
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
        } else if !self.history.reason.is_empty() {
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
        let transfer_failure = Some(&progress.reason).filter(|r| !live && !r.is_empty());
        let failure = transfer_failure.unwrap_or(&self.history.reason);
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
