//! Access to the store of a process.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::config::store::{Delta, Outcome, Store};
use crate::config::view::{self, InvalidObject};
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
pub struct CoordinatorContact {
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
    last_contact: watch::Sender<Option<CoordinatorContact>>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    invalid_objects: Vec<InvalidObject>,
    /// Views are not published during the first round of pulls.
    paused: bool,
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
                last_contact: watch::Sender::default(),
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
    pub fn invalid_objects(&self) -> Vec<InvalidObject> {
        self.shared.state.lock().invalid_objects.clone()
    }

    /// The newest push of a coordinator.
    #[must_use]
    pub fn last_contact(&self) -> Option<CoordinatorContact> {
        self.shared.last_contact.borrow().clone()
    }

    /// Holds views back until [`Handle::resume_publishing`].
    pub(crate) fn pause_publishing(&self) {
        self.shared.state.lock().paused = true;
    }

    /// Publishes the view that was held back.
    pub(crate) fn resume_publishing(&self) {
        let mut state = self.shared.state.lock();
        if state.paused {
            state.paused = false;
            self.shared.publish(&mut state);
        }
    }

    /// Takes over the coordinator that a push names. An equal epoch is
    /// accepted, because without the platform another entry takes over the soft
    /// duties under the last known epoch.
    pub fn accept_coordinator(&self, coordinator: pb::Coordinator, now: Instant) {
        if coordinator.epoch < self.epoch() {
            return;
        }
        self.set_coordinator(coordinator.clone());
        self.record_contact(coordinator, now);
    }

    /// Takes note that a coordinator is active without taking it over.
    pub(crate) fn record_contact(&self, coordinator: pb::Coordinator, now: Instant) {
        let contact = CoordinatorContact {
            coordinator,
            at: now,
        };
        self.shared.last_contact.send_replace(Some(contact));
    }

    /// Takes over the coordinator that a peer names, if its epoch is newer.
    pub fn update_coordinator(&self, coordinator: pb::Coordinator) {
        let known = self.shared.process_state.coordinator.borrow().is_some();
        if coordinator.epoch > self.epoch() || !known {
            self.set_coordinator(coordinator);
        }
    }

    /// Makes this process known as the coordinator.
    pub(crate) fn publish_coordinator(&self, coordinator: pb::Coordinator) {
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
        if state.paused || revisions.complete == 0 {
            return;
        }
        let (view, invalid_objects) = view::build(&state.store, &self.process_state.view());
        for problem in invalid_objects
            .iter()
            .filter(|p| !state.invalid_objects.contains(p))
        {
            log::error!(
                kind = problem.kind.name(), name = problem.name.as_str(),
                revision = problem.revision, reason = problem.reason.as_str();
                "configuration object can't be used, its last valid form stays in force"
            );
        }
        state.invalid_objects = invalid_objects;
        self.process_state.config.send_replace(Arc::new(view));
    }
}
