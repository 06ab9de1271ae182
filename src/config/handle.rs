//! Thread-safe access to the configuration store of a process.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::config::store::{Delta, Outcome, Store};
use crate::config::view::{self, InvalidObject};
use crate::control::pb;
use crate::shared_state::SharedState;

/// Revisions of the configuration store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Revisions {
    /// Revision up to which the store contains every change.
    pub complete: u64,
    /// Revision of the latest change of an object.
    pub changed: u64,
}

/// The last time that a coordinator was known to be active.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorContact {
    /// The active coordinator.
    pub coordinator: pb::Coordinator,
    /// Time at which its push, or the reply that named it, was received.
    pub at: Instant,
}

/// Cloneable handle to the store; publishes each new view in the shared state of
/// the process.
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
    /// Set during the first round of pulls, so that no view is published yet.
    paused: bool,
}

impl Handle {
    /// Creates a handle to an empty store that publishes on `process_state`.
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

    /// Applies a delta and publishes the new view if the store changed or advanced.
    #[allow(clippy::must_use_candidate)] // most callers ignore the outcome
    pub fn apply(&self, delta: Delta) -> Outcome {
        let mut state = self.shared.state.lock();
        let outcome = state.store.apply(delta);
        if matches!(outcome, Outcome::Changed | Outcome::Advanced) {
            self.shared.publish(&mut state);
        }
        outcome
    }

    /// Returns the changes after revision `since`; `None` when there are none.
    #[must_use]
    pub fn delta(&self, since: u64) -> Option<Delta> {
        self.shared.state.lock().store.delta(since)
    }

    /// Returns the current revisions of the store.
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        *self.shared.revisions.borrow()
    }

    /// Returns a receiver that is notified when the revisions change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revisions> {
        self.shared.revisions.subscribe()
    }

    /// Returns the objects whose latest revision is invalid.
    #[must_use]
    pub fn invalid_objects(&self) -> Vec<InvalidObject> {
        self.shared.state.lock().invalid_objects.clone()
    }

    /// Returns the last known sign of an active coordinator.
    #[must_use]
    pub fn last_contact(&self) -> Option<CoordinatorContact> {
        self.shared.last_contact.borrow().clone()
    }

    /// Stops publishing views until [`Handle::resume_publishing`].
    pub(crate) fn pause_publishing(&self) {
        self.shared.state.lock().paused = true;
    }

    /// Publishes the current view and continues to publish new ones.
    pub(crate) fn resume_publishing(&self) {
        let mut state = self.shared.state.lock();
        if state.paused {
            state.paused = false;
            self.shared.publish(&mut state);
        }
    }

    /// Accepts the coordinator that sent a push, unless its epoch is older than
    /// the known one. An equal epoch is accepted: while the platform is
    /// unavailable no lease can be taken, and another entry may act as fallback
    /// coordinator under the last known epoch.
    pub fn accept_coordinator(&self, coordinator: pb::Coordinator, now: Instant) {
        if coordinator.epoch < self.epoch() {
            return;
        }
        self.set_coordinator(coordinator.clone());
        self.record_contact(coordinator, now);
    }

    /// Records that `coordinator` is active without accepting it as the coordinator.
    pub(crate) fn record_contact(&self, coordinator: pb::Coordinator, now: Instant) {
        let contact = CoordinatorContact {
            coordinator,
            at: now,
        };
        self.shared.last_contact.send_replace(Some(contact));
    }

    /// Accepts the coordinator that a peer reports, if its epoch is newer than the
    /// known one or no coordinator is known.
    pub fn update_coordinator(&self, coordinator: pb::Coordinator) {
        let known = self.shared.process_state.coordinator.borrow().is_some();
        if coordinator.epoch > self.epoch() || !known {
            self.set_coordinator(coordinator);
        }
    }

    /// Publishes this process as the coordinator in the shared state.
    pub(crate) fn publish_coordinator(&self, coordinator: pb::Coordinator) {
        self.set_coordinator(coordinator);
    }

    /// Returns the highest known epoch; 0 when no coordinator is known.
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
                let is_current = known.as_ref().is_none_or(|k| k.epoch <= coordinator.epoch);
                if !is_current || known.as_ref() == Some(&coordinator) {
                    return false;
                }
                *known = Some(coordinator);
                true
            });
    }
}

impl Shared {
    /// The caller holds the lock of `state`, so that views are published in order.
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
        for invalid in invalid_objects
            .iter()
            .filter(|o| !state.invalid_objects.contains(o))
        {
            log::error!(
                kind = invalid.kind.name(), name = invalid.name.as_str(),
                revision = invalid.revision, reason = invalid.reason.as_str();
                "configuration object is invalid, its last valid revision stays in use"
            );
        }
        state.invalid_objects = invalid_objects;
        self.process_state.config.send_replace(Arc::new(view));
    }
}
