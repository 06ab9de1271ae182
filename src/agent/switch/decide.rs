//! Decision of the next step of a switch, a pure function.

use crate::agent::engine;
use crate::blackboard::Serving;
use crate::resource::rollout;

/// What the decision depends on.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Version that the newest rollout wants.
    pub wanted: Option<Serving>,
    /// Newest generation of the service that was ever seen.
    pub newest: u64,
    /// Whether all chunks of the wanted version are verified and staged.
    pub verified: bool,
    /// What the engine reports; `None` while it does not answer.
    pub engine: Option<engine::State>,
    /// Whether the engine's report has stayed the same for long enough that no
    /// load can be in progress.
    pub settled: bool,
    /// What requests are admitted to now.
    pub serving: Option<Serving>,
    /// What this process knows to have been loaded completely.
    pub known: Option<Serving>,
    /// Whether the answer to an order of this process was lost, so that its
    /// load may still be in progress.
    pub lost: bool,
    /// Requests in progress.
    pub active: u32,
    /// Generation that the coordinator granted a permit for.
    pub permit: Option<u64>,
    /// Whether an order is in progress.
    pub loading: bool,
    /// Whether orders must wait: after a failure, a pause, on a leaving VM or
    /// because of the policy for joining targets.
    pub held: bool,
}

/// Next step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Leave everything as it is.
    Wait,
    /// Admit requests to this version.
    Serve(Serving),
    /// Admit no requests.
    Withdraw,
    /// Order the engine to load the wanted version.
    Load,
}

/// Decides the next step.
#[must_use]
pub fn step(facts: &Facts) -> Step {
    if facts.loading {
        return withdraw(facts);
    }
    let usable = usable(facts);
    let due = is_due(facts, usable.as_ref());
    match usable {
        Some(serving) if !due || !is_permitted(facts) => serve(facts, serving),
        None if !due => withdraw(facts),
        // Admission ends before the requests in progress are waited for, so
        // that none can slip in.
        _ if facts.serving.is_some() => Step::Withdraw,
        _ if facts.active > 0 => Step::Wait,
        _ => Step::Load,
    }
}

/// Whether admission ended for a switch that has not been ordered yet.
#[must_use]
pub fn is_draining(facts: &Facts) -> bool {
    let due = is_due(facts, usable(facts).as_ref());
    due && facts.serving.is_none() && (facts.active > 0 || is_permitted(facts))
}

/// Whether a permit should be asked for.
#[must_use]
pub fn needs_permit(facts: &Facts) -> bool {
    let usable = usable(facts);
    usable.is_some() && is_due(facts, usable.as_ref()) && !is_permitted(facts)
}

/// Whether the engine should load the wanted version now or after a permit.
fn is_due(facts: &Facts, usable: Option<&Serving>) -> bool {
    let Some(wanted) = &facts.wanted else {
        return false;
    };
    let reachable = facts.engine.as_ref().is_some_and(|e| !is_loading(facts, e));
    // An older generation is never ordered, since some engines don't check.
    let newest = wanted.generation == facts.newest;
    let live = usable.is_some_and(|u| is_same(u, wanted));
    reachable && newest && facts.verified && !live && !facts.held
}

fn is_permitted(facts: &Facts) -> bool {
    let wanted = facts.wanted.as_ref().map(|w| w.generation);
    facts.permit.is_some() && facts.permit == wanted
}

/// What the engine can serve completely, as far as this process can know.
///
/// An engine that loads still reports the previous version, and the load goes
/// on when the agent that ordered it dies. A report is therefore trusted only
/// if its fencing token belongs to the version that it names.
#[must_use]
pub fn usable(facts: &Facts) -> Option<Serving> {
    let engine = facts.engine.as_ref().filter(|e| !e.model.is_empty())?;
    let reported = reported(engine);
    let trusted = match &facts.known {
        // What was loaded behind this agent's back is not served.
        Some(known) => *known == reported || is_wanted(facts, &reported),
        None => true,
    };
    let complete = !is_loading(facts, engine);
    (trusted && complete).then_some(reported)
}

/// Whether a load may be in progress that this process does not wait for: its
/// own order without an answer, or an order of its predecessor on this VM. A
/// second order would then overlap with the first one.
fn is_loading(facts: &Facts, engine: &engine::State) -> bool {
    let ordered = engine.fence > 0;
    let inherited = facts.known.is_none() && !is_wanted(facts, &reported(engine));
    ordered && (facts.lost || inherited) && !facts.settled
}

fn reported(engine: &engine::State) -> Serving {
    Serving {
        model: engine.model.clone(),
        version: engine.version.clone(),
        generation: engine.fence,
    }
}

fn is_wanted(facts: &Facts, reported: &Serving) -> bool {
    facts.wanted.as_ref() == Some(reported)
}

/// Whether two entries name the same weights.
#[must_use]
pub fn is_same(one: &Serving, other: &Serving) -> bool {
    one.model == other.model && one.version == other.version
}

fn serve(facts: &Facts, serving: Serving) -> Step {
    if facts.serving.as_ref() == Some(&serving) {
        Step::Wait
    } else {
        Step::Serve(serving)
    }
}

fn withdraw(facts: &Facts) -> Step {
    if facts.serving.is_some() {
        Step::Withdraw
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
