//! State that the tasks of a process share. Each field is a watch channel with one
//! writer and any number of readers; controllers wait for changes and act on the values.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::config;
use crate::control::pb;

/// Phase of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Waits for the first configuration.
    #[default]
    Starting,
    /// Accepts requests.
    Ready,
    /// Finishes requests in progress and rejects new ones.
    Draining,
}

/// Version of a model or adapter, and the rollout that it was loaded for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelVersion {
    /// Model or adapter; empty when the engine serves none.
    pub model: String,
    /// Version.
    pub version: String,
    /// Generation of the rollout.
    pub generation: u64,
}

/// State that the tasks of a process share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Configuration view; written by `config`.
    pub config: watch::Sender<Arc<config::View>>,
    /// Phase; written by `daemon`.
    pub phase: watch::Sender<Phase>,
    /// Coordinator of this data centre; written by `config`.
    pub coordinator: watch::Sender<Option<pb::Coordinator>>,
    /// Version that requests are admitted to, `None` during a switch; only on agents,
    /// written by `agent::switch`.
    pub serving: watch::Sender<Option<ModelVersion>>,
    /// Requests in progress in this process; written by [`RequestGuard`].
    pub active: watch::Sender<u32>,
    /// Time to the first byte of the target's latest response; written by
    /// `agent::forward`, read by the rate limiter of weight transfers.
    pub latency: watch::Sender<Duration>,
}

impl SharedState {
    /// Current configuration view.
    #[must_use]
    pub fn view(&self) -> Arc<config::View> {
        self.config.borrow().clone()
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    state: Arc<SharedState>,
}

impl RequestGuard {
    /// Increments the number of requests in progress.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use corianderramp::shared_state;
    ///
    /// let state = Arc::new(shared_state::SharedState::default());
    /// let request = shared_state::RequestGuard::new(&state);
    /// assert_eq!(request.count(), 1);
    /// drop(request);
    /// assert_eq!(*state.active.borrow(), 0);
    /// ```
    #[must_use]
    pub fn new(state: &Arc<SharedState>) -> Self {
        state.active.send_modify(|n| *n += 1);
        Self {
            state: state.clone(),
        }
    }

    /// Requests in progress, including this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        *self.state.active.borrow()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.active.send_modify(|n| *n = n.saturating_sub(1));
    }
}
