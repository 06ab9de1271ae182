//! When the platform's store last answered this node or the relay that it follows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::fleet::catalog::Topic;

/// Times of the last answers, shared by all topics.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    /// Last answer to a call of this node.
    last: Arc<Mutex<Option<Instant>>>,
    /// Last contact of the relay that this node follows.
    relayed: Arc<Mutex<Option<Instant>>>,
    /// Last answer to a list or watch of each topic, in the order of [`Topic::ALL`].
    topics: Arc<Mutex<[Option<Instant>; Topic::ALL.len()]>>,
    /// Held by the topic that probes an unreachable store for all of them.
    pub(super) probe_lock: Arc<tokio::sync::Mutex<()>>,
}

impl StoreContact {
    /// Records that the store answered a call of this node.
    pub fn record(&self, now: Instant) {
        *self.last.lock() = Some(now);
    }

    /// Records that the store answered a list or watch of `topic`.
    pub fn record_topic(&self, topic: Topic, now: Instant) {
        self.topics.lock()[topic as usize] = Some(now);
        self.record(now);
    }

    /// Records that a relay was in contact with the store at `at`.
    pub fn record_relayed(&self, at: Instant) {
        let mut relayed = self.relayed.lock();
        *relayed = (*relayed).max(Some(at));
    }

    /// Time since the store last answered this node or the relay that it follows; `None` if
    /// it never did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let last = (*self.last.lock()).max(*self.relayed.lock());
        last.map(|at| now.saturating_duration_since(at))
    }

    /// Time since the store last answered a call of this node.
    #[must_use]
    pub fn own_age(&self, now: Instant) -> Option<Duration> {
        let last = *self.last.lock();
        last.map(|at| now.saturating_duration_since(at))
    }

    /// Time since `topic` was last known to be current: since the store answered a list or
    /// watch of it, or since the last contact of the relay that this node follows.
    #[must_use]
    pub fn topic_age(&self, topic: Topic, now: Instant) -> Option<Duration> {
        let last = self.topics.lock()[topic as usize].max(*self.relayed.lock());
        last.map(|at| now.saturating_duration_since(at))
    }
}
