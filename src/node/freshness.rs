//! How current each topic of the catalog is, and how often the store must confirm it.
//!
//! Load pattern: the store answers nobody for seconds, then serves again, but not the watches
//! that it was sent meanwhile: their connections stay open, and calls on others succeed. A
//! topic therefore counts as current only by answers to its own calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::fleet::catalog::{Catalog, Topic};
use crate::node::settings::Bounds;

/// How often the store must confirm that a node has the newest state of a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cadence {
    /// Time from one answer until the next watch ends, though nothing changed.
    pub interval: Duration,
    /// Time after which the answer to a watch that has ended counts as lost.
    pub grace: Duration,
}

impl Cadence {
    /// Cadence with which changes of `topic` are in force in time although the answer to one
    /// watch is lost. A quarter of the limit is left for the next call and for followers.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::fleet::catalog::Topic;
    /// use corianderramp::node::freshness::Cadence;
    /// use corianderramp::node::settings::Bounds;
    ///
    /// let bounds = Bounds {
    ///     stop_ms: 8_000,
    ///     weights_ms: 8_000,
    ///     config_ms: 4_000,
    ///     evacuation_ms: None,
    ///     cold_overage: None,
    ///     cold_slack: None,
    /// };
    /// let cadence = Cadence::of(Topic::Config, &bounds);
    /// assert_eq!(cadence.limit(), Duration::from_secs(3));
    /// ```
    #[must_use]
    pub fn of(topic: Topic, bounds: &Bounds) -> Self {
        let limit = match topic {
            Topic::Evacuations => bounds.evacuation_limit(),
            _ => None,
        };
        let limit = limit.unwrap_or(bounds.config_limit());
        let interval = limit / 2;
        Self {
            interval: match topic {
                Topic::Config | Topic::Targets | Topic::Evacuations => interval,
                Topic::Releases => interval.max(bounds.weights_limit() / 4),
            },
            grace: limit / 4,
        }
    }

    /// Longest time between two answers unless one is lost.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.interval + self.grace
    }
}

/// Times of the last answers of the store, shared by all topics.
#[derive(Clone, Debug)]
pub struct StoreContact {
    /// Whether this node follows evacuations.
    has_evacuations: bool,
    /// Longest time between two answers for each topic, in the order of [`Topic::ALL`].
    limits: [Duration; Topic::ALL.len()],
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
    /// Contact of a node that had none yet.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            has_evacuations: bounds.evacuation_ms.is_some(),
            limits: Topic::ALL.map(|t| Cadence::of(t, bounds).limit()),
            last: Arc::default(),
            relayed: Arc::default(),
            topics: Arc::default(),
            probe_lock: Arc::default(),
        }
    }

    /// Whether this node follows `topic`. Each call to the store is priced, so evacuations are
    /// followed only in deployments that have them.
    #[must_use]
    pub fn follows(&self, topic: Topic) -> bool {
        topic != Topic::Evacuations || self.has_evacuations
    }

    /// Topics that this node follows.
    pub fn topics(&self) -> impl Iterator<Item = Topic> {
        let topics = Topic::ALL.into_iter();
        topics.filter(|t| self.follows(*t))
    }

    /// Whether `catalog` has a state of each topic that this node follows.
    #[must_use]
    pub fn is_complete(&self, catalog: &Catalog) -> bool {
        self.topics().all(|t| catalog.revision(t) > 0)
    }

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

    /// Time since the store last answered this node or the relay that it follows, or for
    /// which an answer for one of the topics has been overdue, if that is longer; `None` if
    /// the store never answered.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let last = (*self.last.lock()).max(*self.relayed.lock());
        let silence = now.saturating_duration_since(last?);
        let overdue = self.topics().filter_map(|topic| {
            let age = self.topic_age(topic, now)?;
            Some(age.saturating_sub(self.limits[topic as usize]))
        });
        Some(overdue.max().unwrap_or_default().max(silence))
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
