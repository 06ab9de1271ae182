//! Decision of the next step of a switch, a pure function.

use crate::agent::engine;
use crate::resource::rollout;
use crate::shared_state::ModelVersion;

/// What the decision depends on.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// Version that the newest rollout wants.
    pub wanted: Option<ModelVersion>,
    /// Newest generation of the service that was ever seen.
    pub newest: u64,
    /// Whether all chunks of the wanted version are verified and staged.
    pub verified: bool,
    /// What the engine reports; `None` while it does not answer.
    pub engine: Option<engine::State>,
    /// Whether the engine's report has stayed the same for long enough that no
    /// load can be in progress.
    pub stable: bool,
    /// What requests are admitted to now.
    pub serving: Option<ModelVersion>,
    /// What this process knows to have been loaded completely.
    pub confirmed: Option<ModelVersion>,
    /// Whether the answer to an order of this process was lost, so that its
    /// load may still be in progress.
    pub outcome_unknown: bool,
    /// Requests in progress.
    pub active: u32,
    /// Generation that the coordinator granted a permit for.
    pub permit: Option<u64>,
    /// Whether an order is in progress.
    pub loading: bool,
    /// Whether orders must wait: after a failure, a pause, on a leaving VM or
    /// because of the policy for joining targets.
    pub blocked: bool,
}

/// Next step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Leave everything as it is.
    Wait,
    /// Admit requests to this version.
    Serve(ModelVersion),
    /// Admit no requests.
    StopServing,
    /// Order the engine to load the wanted version.
    Load,
}

/// Decides the next step.
#[must_use]
pub fn next_step(inputs: &Inputs) -> Step {
    if inputs.loading {
        return stop_serving(inputs);
    }
    let usable = usable(inputs);
    let due = is_due(inputs, usable.as_ref());
    match usable {
        Some(serving) if !due || !is_permitted(inputs) => serve(inputs, serving),
        None if !due => stop_serving(inputs),
        // Admission ends before the requests in progress are waited for, so
        // that none can slip in.
        _ if inputs.serving.is_some() => Step::StopServing,
        _ if inputs.active > 0 => Step::Wait,
        _ => Step::Load,
    }
}

/// Whether admission ended for a switch that has not been ordered yet.
#[must_use]
pub fn is_draining(inputs: &Inputs) -> bool {
    let due = is_due(inputs, usable(inputs).as_ref());
    due && inputs.serving.is_none() && (inputs.active > 0 || is_permitted(inputs))
}

/// Whether a permit should be asked for.
#[must_use]
pub fn needs_permit(inputs: &Inputs) -> bool {
    let usable = usable(inputs);
    usable.is_some() && is_due(inputs, usable.as_ref()) && !is_permitted(inputs)
}

/// Whether the engine should load the wanted version now or after a permit.
fn is_due(inputs: &Inputs, usable: Option<&ModelVersion>) -> bool {
    let Some(wanted) = &inputs.wanted else {
        return false;
    };
    let reachable = inputs
        .engine
        .as_ref()
        .is_some_and(|e| !is_loading(inputs, e));
    // An older generation is never ordered, since some engines don't check.
    let newest = wanted.generation == inputs.newest;
    let live = usable.is_some_and(|u| is_same(u, wanted));
    reachable && newest && inputs.verified && !live && !inputs.blocked
}

fn is_permitted(inputs: &Inputs) -> bool {
    let wanted = inputs.wanted.as_ref().map(|w| w.generation);
    inputs.permit.is_some() && inputs.permit == wanted
}

/// What the engine can serve completely, as far as this process can know.
///
/// An engine that loads still reports the previous version, and the load goes
/// on when the agent that ordered it dies. A report is therefore trusted only
/// if its fencing token belongs to the version that it names.
#[must_use]
pub fn usable(inputs: &Inputs) -> Option<ModelVersion> {
    let engine = inputs.engine.as_ref().filter(|e| !e.model.is_empty())?;
    let reported = reported(engine);
    let trusted = match &inputs.confirmed {
        // What was loaded behind this agent's back is not served.
        Some(known) => *known == reported || is_wanted(inputs, &reported),
        None => true,
    };
    let complete = !is_loading(inputs, engine);
    (trusted && complete).then_some(reported)
}

/// Whether a load may be in progress that this process does not wait for: its
/// own order without an answer, or an order of its predecessor on this VM. A
/// second order would then overlap with the first one.
fn is_loading(inputs: &Inputs, engine: &engine::State) -> bool {
    let ordered = engine.fence > 0;
    let inherited = inputs.confirmed.is_none() && !is_wanted(inputs, &reported(engine));
    ordered && (inputs.outcome_unknown || inherited) && !inputs.stable
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

/// Whether two entries name the same weights.
#[must_use]
pub fn is_same(one: &ModelVersion, other: &ModelVersion) -> bool {
    one.model == other.model && one.version == other.version
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

/// Whether a target keeps what it has because it joined after the rollout was
/// declared. `first` is the newest generation in the first configuration that
/// this process had; `empty` says that the engine had nothing loaded then. A
/// restarted agent with a loaded engine does not join.
#[must_use]
pub fn is_held_back(join: rollout::Join, generation: u64, first: u64, empty: bool) -> bool {
    join == rollout::Join::Hold && empty && generation <= first
}
