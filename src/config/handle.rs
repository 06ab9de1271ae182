//! Access to the store of a process.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::config::store::{Delta, Outcome, Store};
use crate::config::view::{self, Problem};
use crate::control::pb;
use crate::shared_state::SharedState;

/// Revisions of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Revisions {
    /// Every change up to this revision is present.
    pub complete: u64,
    /// Newest change of an object.
    pub changed: u64,
}

/// The newest push of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// Coordinator that pushed.
    pub coordinator: pb::Coordinator,
    /// When the push came.
    pub at: Instant,
}

/// Shared access to the store, which publishes each new view to the state of the process.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    process_state: Arc<SharedState>,
    state: Mutex<State>,
    revisions: watch::Sender<Revisions>,
    heard: watch::Sender<Option<Heard>>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    problems: Vec<Problem>,
    /// Views are not published during the first round of pulls.
    withheld: bool,
}

impl Handle {
    /// Empty store that publishes on `process_state`.
    #[must_use]
    pub fn new(process_state: Arc<SharedState>) -> Self {
        Self {
            shared: Arc::new(Shared {
                process_state,
                state: Mutex::default(),
                revisions: watch::Sender::default(),
                heard: watch::Sender::default(),
            }),
        }
    }

    /// Applies a delta and publishes the view.
    #[allow(clippy::must_use_candidate)] // most callers need only the effect
    pub fn apply(&self, delta: Delta) -> Outcome {
        let mut state = self.shared.state.lock();
        let outcome = state.store.apply(delta);
        if matches!(outcome, Outcome::Changed | Outcome::Advanced) {
            self.shared.publish(&mut state);
        }
        outcome
    }

    /// What a store at `since` lacks.
    #[must_use]
    pub fn delta(&self, since: u64) -> Option<Delta> {
        self.shared.state.lock().store.delta(since)
    }

    /// Revisions of the store.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        *self.shared.revisions.borrow()
    }

    /// Follows the revisions of the store.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revisions> {
        self.shared.revisions.subscribe()
    }

    /// Objects whose newest form can't be used.
    #[must_use]
    pub fn problems(&self) -> Vec<Problem> {
        self.shared.state.lock().problems.clone()
    }

    /// The newest push of a coordinator.
    #[must_use]
    pub fn heard(&self) -> Option<Heard> {
        self.shared.heard.borrow().clone()
    }

    /// Holds views back until [`Handle::release`].
    pub(crate) fn withhold(&self) {
        self.shared.state.lock().withheld = true;
    }

    /// Publishes the view that was held back.
    pub(crate) fn release(&self) {
        let mut state = self.shared.state.lock();
        if state.withheld {
            state.withheld = false;
            self.shared.publish(&mut state);
        }
    }

    /// Takes over the coordinator that a push names. An equal epoch is
    /// accepted, because without the platform another entry takes over the soft
    /// duties under the last known epoch.
    pub fn hear(&self, coordinator: pb::Coordinator, now: Instant) {
        if coordinator.epoch < self.epoch() {
            return;
        }
        self.set_coordinator(coordinator.clone());
        self.note_alive(coordinator, now);
    }

    /// Takes note that a coordinator is active without taking it over.
    pub(crate) fn note_alive(&self, coordinator: pb::Coordinator, now: Instant) {
        let heard = Heard {
            coordinator,
            at: now,
        };
        self.shared.heard.send_replace(Some(heard));
    }

    /// Takes over the coordinator that a peer names, if its epoch is newer.
    pub fn learn(&self, coordinator: pb::Coordinator) {
        let known = self.shared.process_state.coordinator.borrow().is_some();
        if coordinator.epoch > self.epoch() || !known {
            self.set_coordinator(coordinator);
        }
    }

    /// Makes this process known as the coordinator.
    pub(crate) fn announce(&self, coordinator: pb::Coordinator) {
        self.set_coordinator(coordinator);
    }

    /// Highest epoch that is known.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        let known = self.shared.process_state.coordinator.borrow();
        known.as_ref().map_or(0, |c| c.epoch)
    }

    fn set_coordinator(&self, coordinator: pb::Coordinator) {
        self.shared
            .process_state
            .coordinator
            .send_if_modified(|known| {
                let newer = known.as_ref().is_none_or(|k| k.epoch <= coordinator.epoch);
                if !newer || known.as_ref() == Some(&coordinator) {
                    return false;
                }
                *known = Some(coordinator);
                true
            });
    }
}

impl Shared {
    /// Called with the state locked, so that views are published in order.
    fn publish(&self, state: &mut State) {
        let revisions = Revisions {
            complete: state.store.complete(),
            changed: state.store.changed(),
        };
        self.revisions.send_replace(revisions);
        if state.withheld || revisions.complete == 0 {
            return;
        }
        let (view, problems) = view::build(&state.store, &self.process_state.view());
        for problem in problems.iter().filter(|p| !state.problems.contains(p)) {
            log::error!(
                kind = problem.kind.name(), name = problem.name.as_str(),
                revision = problem.revision, reason = problem.reason.as_str();
                "configuration object can't be used, its last valid form stays in force"
            );
        }
        state.problems = problems;
        self.process_state.config.send_replace(Arc::new(view));
    }
}
