//! Pure decision of the next step of a version switch.

use crate::agent::engine;
use crate::resource::rollout;
use crate::shared_state::ModelVersion;

/// State that the decision depends on.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// Version of the newest rollout.
    pub wanted: Option<ModelVersion>,
    /// Newest rollout generation of the service seen so far.
    pub newest: u64,
    /// Whether all chunks of the wanted version are verified and staged.
    pub verified: bool,
    /// State reported by the engine; `None` while it is unreachable.
    pub engine: Option<engine::State>,
    /// Whether the reported state has been unchanged for long enough that no load can
    /// be in progress.
    pub stable: bool,
    /// Version that requests are admitted to.
    pub serving: Option<ModelVersion>,
    /// Last version that this process loaded completely, or accepted at its start.
    pub confirmed: Option<ModelVersion>,
    /// Whether a load request of this process got no answer, so that its load may still
    /// be in progress.
    pub outcome_unknown: bool,
    /// Requests in progress.
    pub active: u32,
    /// Rollout generation that the coordinator granted a permit for.
    pub permit: Option<u64>,
    /// Whether a load request is in progress.
    pub loading: bool,
    /// Whether load requests are blocked: after a failure or a pause of the process, on
    /// a leaving VM, or by the rollout's policy for joining targets.
    pub blocked: bool,
}

/// Next step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Change nothing.
    Wait,
    /// Admit requests to this version.
    Serve(ModelVersion),
    /// Stop admitting requests.
    StopServing,
    /// Request the engine to load the wanted version.
    Load,
}

/// Decides the next step.
#[must_use]
pub fn next_step(inputs: &Inputs) -> Step {
    if inputs.loading {
        return stop_serving(inputs);
    }
    let usable = usable(inputs);
    let needs_load = needs_load(inputs, usable.as_ref());
    match usable {
        Some(serving) if !needs_load || !is_permitted(inputs) => serve(inputs, serving),
        None if !needs_load => stop_serving(inputs),
        // Stop admission before waiting for the requests in progress, so that no new
        // one starts during the load.
        _ if inputs.serving.is_some() => Step::StopServing,
        _ if inputs.active > 0 => Step::Wait,
        _ => Step::Load,
    }
}

/// Whether admission has stopped for a switch whose load is not requested yet.
#[must_use]
pub fn is_draining(inputs: &Inputs) -> bool {
    let needs_load = needs_load(inputs, usable(inputs).as_ref());
    needs_load && inputs.serving.is_none() && (inputs.active > 0 || is_permitted(inputs))
}

/// Whether to request a permit from the coordinator.
#[must_use]
pub fn needs_permit(inputs: &Inputs) -> bool {
    let usable = usable(inputs);
    usable.is_some() && needs_load(inputs, usable.as_ref()) && !is_permitted(inputs)
}

/// Whether the engine should load the wanted version, now or once a permit is granted.
fn needs_load(inputs: &Inputs, usable: Option<&ModelVersion>) -> bool {
    let Some(wanted) = &inputs.wanted else {
        return false;
    };
    let idle = inputs
        .engine
        .as_ref()
        .is_some_and(|e| !is_loading(inputs, e));
    // Older generations are never loaded: some engines don't check the fencing token.
    let newest = wanted.generation == inputs.newest;
    let live = usable.is_some_and(|u| is_same(u, wanted));
    idle && newest && inputs.verified && !live && !inputs.blocked
}

fn is_permitted(inputs: &Inputs) -> bool {
    let wanted = inputs.wanted.as_ref().map(|w| w.generation);
    inputs.permit.is_some() && inputs.permit == wanted
}

/// Version that the engine has loaded completely, as far as this process can tell.
///
/// During a load, the engine still reports the previous version, and the load
/// continues if the agent that requested it crashes. A reported version is therefore
/// trusted only if the fencing token belongs to it.
#[must_use]
pub fn usable(inputs: &Inputs) -> Option<ModelVersion> {
    let engine = inputs.engine.as_ref().filter(|e| !e.model.is_empty())?;
    let reported = reported(engine);
    let trusted = match &inputs.confirmed {
        // A version that was loaded by anyone else is not served.
        Some(known) => *known == reported || is_wanted(inputs, &reported),
        None => true,
    };
    let complete = !is_loading(inputs, engine);
    (trusted && complete).then_some(reported)
}

/// Whether a load may be in progress that this process does not wait for: after a
/// request of its own without an answer, or a request of the previous agent process on
/// this VM. A second load would then overlap with the first one.
fn is_loading(inputs: &Inputs, engine: &engine::State) -> bool {
    let accepted = engine.fence > 0;
    let inherited = inputs.confirmed.is_none() && !is_wanted(inputs, &reported(engine));
    accepted && (inputs.outcome_unknown || inherited) && !inputs.stable
}

fn reported(engine: &engine::State) -> ModelVersion {
    ModelVersion {
        model: engine.model.clone(),
        version: engine.version.clone(),
        generation: engine.fence,
    }
}

fn is_wanted(inputs: &Inputs, reported: &ModelVersion) -> bool {
    inputs.wanted.as_ref() == Some(reported)
}

/// Whether two versions have the same weights; ignores the generation.
#[must_use]
pub fn is_same(a: &ModelVersion, b: &ModelVersion) -> bool {
    a.model == b.model && a.version == b.version
}

fn serve(inputs: &Inputs, serving: ModelVersion) -> Step {
    if inputs.serving.as_ref() == Some(&serving) {
        Step::Wait
    } else {
        Step::Serve(serving)
    }
}

fn stop_serving(inputs: &Inputs) -> Step {
    if inputs.serving.is_some() {
        Step::StopServing
    } else {
        Step::Wait
    }
}

/// Whether a target skips a rollout because it joined after the rollout was declared
/// and the rollout's policy is [`rollout::Join::Hold`]. `first` is the generation at
/// the first poll that the engine answered, and `empty` tells whether the engine had
/// nothing loaded then. A restarted agent with a loaded engine does not count as
/// joining.
#[must_use]
pub fn is_held_back(join: rollout::Join, generation: u64, first: u64, empty: bool) -> bool {
    join == rollout::Join::Hold && empty && generation <= first
}
