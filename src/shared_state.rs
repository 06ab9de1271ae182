//! Shared state of a process. Each topic has one writer and any number of
//! readers; controllers wait for topics and decide from their values.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::config;
use crate::control::pb;

/// Phase of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Has no configuration yet.
    #[default]
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes requests in progress and takes no new ones.
    Draining,
}

/// Version that an agent's engine serves.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelVersion {
    /// Model or adapter; empty when the engine serves none.
    pub model: String,
    /// Version.
    pub version: String,
    /// Generation of the rollout that it was loaded for.
    pub generation: u64,
}

/// Topics of a process.
#[derive(Debug, Default)]
pub struct SharedState {
    /// Configuration; written by `config`.
    pub config: watch::Sender<Arc<config::View>>,
    /// Phase; written by `daemon`.
    pub phase: watch::Sender<Phase>,
    /// Coordinator of the own data centre; written by `config`.
    pub coordinator: watch::Sender<Option<pb::Coordinator>>,
    /// What the engine may serve now, `None` while it switches; agents only,
    /// written by `agent::switch`.
    pub serving: watch::Sender<Option<ModelVersion>>,
    /// Requests in progress at this process; written by `RequestGuard`.
    pub active: watch::Sender<u32>,
    /// Time to the first byte of the latest answer of the target; written by
    /// `agent::gate`, read by the pacing of transfers.
    pub latency: watch::Sender<Duration>,
}

impl SharedState {
    /// Current configuration.
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
    /// Raises the count of requests in progress.
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

    /// Requests in progress, this one included.
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
