//! How current each topic of the catalog is ([`crate::node::budget`]).
//!
//! Load pattern: the store answers nobody for seconds, then serves again, but not the watches
//! that it was sent meanwhile: their connections stay open, and calls on others succeed. A
//! topic therefore counts as current only by answers to its own calls.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::clock::Moment;
use crate::fleet::catalog::{Catalog, Topic};
use crate::net::arrivals::Arrivals;
use crate::node::budget::Budget;
use crate::node::settings::Bounds;

/// What the store has confirmed of a topic.
#[derive(Clone, Copy, Debug, Default)]
struct Confirmation {
    /// When the node is known to have had every change.
    at: Option<Moment>,
    /// Store revision from which a watch misses no change; 0 if unknown.
    revision: u64,
}

/// What the store has confirmed, shared by all topics.
#[derive(Clone, Debug)]
pub struct StoreContact {
    /// Whether this node follows evacuations.
    has_evacuations: bool,
    /// Budgets of the topics, in the order of [`Topic::ALL`].
    budgets: [Budget; Topic::ALL.len()],
    /// Last answer to a call of this node.
    last: Arc<Mutex<Option<Moment>>>,
    /// Confirmations by calls of this node and by relays, in the order of [`Topic::ALL`].
    topics: Arc<Mutex<[Confirmation; Topic::ALL.len()]>>,
    /// Answers of the store and of relays that are arriving.
    arrivals: Arrivals,
    /// When the relay that this node follows last said that it is receiving an answer.
    receiving: Arc<Mutex<Option<Moment>>>,
    /// Notified when the catalog was confirmed again.
    confirmed: Arc<watch::Sender<()>>,
    /// Held by the topic that probes an unreachable store for all of them.
    pub(super) probe_lock: Arc<tokio::sync::Mutex<()>>,
}

impl StoreContact {
    /// Contact of a node that had none yet.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            has_evacuations: bounds.evacuation_ms.is_some(),
            budgets: Topic::ALL.map(|t| Budget::of(t, bounds)),
            last: Arc::default(),
            topics: Arc::default(),
            arrivals: Arrivals::default(),
            receiving: Arc::default(),
            confirmed: Arc::new(watch::channel(()).0),
            probe_lock: Arc::default(),
        }
    }

    /// Budget of the changes of `topic`.
    #[must_use]
    pub fn budget(&self, topic: Topic) -> Budget {
        self.budgets[topic as usize]
    }

    /// Budget by which ages are counted, of the topic with the lowest limit that all nodes follow.
    #[must_use]
    pub fn base(&self) -> Budget {
        let [config, targets] = [Topic::Config, Topic::Targets].map(|t| self.budget(t));
        if targets.limit() < config.limit() {
            targets
        } else {
            config
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

    /// Receiver that is notified when the catalog was confirmed again.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.confirmed.subscribe()
    }

    /// Where calls tell of answers that are arriving.
    #[must_use]
    pub fn arrivals(&self) -> Arrivals {
        self.arrivals.clone()
    }

    /// Records at `now` whether the relay that this node follows is receiving an answer.
    pub fn record_receiving(&self, is_receiving: bool, now: Moment) {
        *self.receiving.lock() = is_receiving.then_some(now);
    }

    /// Whether this node, or the relay that it follows, is receiving an answer of the store. What it
    /// lacks is on its way then.
    ///
    /// Load pattern: a configuration of many routes changes and takes longer than the rest of a
    /// lease on the links of relays. If all nodes turned to the store meanwhile, each would send
    /// for the whole of it over the same links.
    #[must_use]
    pub fn is_receiving(&self, now: Moment) -> bool {
        let base = self.base();
        let told = *self.receiving.lock();
        self.arrivals.is_active(base.poll_hold())
            || told.is_some_and(|at| now.since(at) < base.poll_limit())
    }

    /// Records that the store answered a call of this node.
    pub fn record(&self, now: Moment) {
        *self.last.lock() = Some(now);
    }

    /// Records that this node had every change of `topic` at the moment `at`.
    pub fn record_topic(&self, topic: Topic, at: Moment) {
        self.confirm(&[topic], at, |_| at);
    }

    /// Records that a relay's catalog was `age` old at the moment `sent`, and that this node has
    /// all of it.
    pub fn record_relayed(&self, topics: &[Topic], sent: Moment, age: Duration) {
        let base = self.base();
        let at = |topic: Topic| sent.before(base.scaled(age, self.budget(topic)));
        self.confirm(topics, sent, at);
    }

    fn confirm(&self, confirmed: &[Topic], now: Moment, at: impl Fn(Topic) -> Moment) {
        let before = self.age(now);
        {
            let mut topics = self.topics.lock();
            for topic in confirmed {
                let known = &mut topics[*topic as usize].at;
                let at = at(*topic);
                if known.is_none_or(|known| now.since(at) < now.since(known)) {
                    *known = Some(at);
                }
            }
        }
        if self.age(now) != before {
            self.confirmed.send_replace(());
        }
    }

    /// Records that the catalog has every change of `topic` up to the store revision `revision`.
    pub fn record_revision(&self, topic: Topic, revision: u64) {
        let known = &mut self.topics.lock()[topic as usize].revision;
        *known = (*known).max(revision);
    }

    /// Store revision from which a watch of `topic` misses no change; `None` if unknown.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> Option<u64> {
        let revision = self.topics.lock()[topic as usize].revision;
        (revision > 0).then_some(revision)
    }

    /// Time since this node is known to have had every change, of the topic that has used up most
    /// of its budget and in terms of [`Self::base`]; `None` before the first confirmation of each.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let base = self.base();
        let mut oldest = Duration::ZERO;
        for topic in self.topics() {
            let age = self.topic_age(topic, now)?;
            oldest = oldest.max(self.budget(topic).scaled(age, base));
        }
        Some(oldest)
    }

    /// Time since the store last answered a call of this node.
    #[must_use]
    pub fn own_age(&self, now: Moment) -> Option<Duration> {
        let last = *self.last.lock();
        last.map(|at| now.since(at))
    }

    /// Time since this node is known to have had every change of `topic`.
    #[must_use]
    pub fn topic_age(&self, topic: Topic, now: Moment) -> Option<Duration> {
        let at = self.topics.lock()[topic as usize].at;
        at.map(|at| now.since(at))
    }
}
