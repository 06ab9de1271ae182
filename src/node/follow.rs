//! Follows the platform's store and keeps the board current.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use metrics::counter;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::catalog::{Catalog, Entry, Topic};
use crate::node::settings::Settings;
use crate::node::{SharedCatalog, relay};
use crate::platform::decode;
use crate::platform::store::{Client, Error, Event, List, Object};

/// Longest wait of a watch; silent connections are noticed earlier by the kernel's probes.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Pause after a change of targets: changes come in groups, and each call costs. Well
/// within the time after which a leaving target gets no more requests.
const TARGET_PAUSE: Duration = Duration::from_millis(600);
/// Pause after a change of the configuration or of releases, which may come in quick
/// succession.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// Time between two proofs that the store is in reach; followers of a scout turn away
/// from it when the last one is too old.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the answer to a proof.
const PROOF_LIMIT: Duration = Duration::from_millis(400);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Age at which a listed release is taken: its naming was not seen, so it may be due soon.
const LISTED_AGE: Duration = Duration::from_secs(5);

/// Time of the last answer of the store to any topic.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    last: Arc<Mutex<Option<Instant>>>,
    /// Held by the topic that waits for the store to answer again.
    probing: Arc<tokio::sync::Mutex<()>>,
}

impl StoreContact {
    fn note(&self, now: Instant) {
        *self.last.lock() = Some(now);
    }

    /// Time since the store last answered, if it ever did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let last = *self.last.lock();
        last.map(|at| now.saturating_duration_since(at))
    }
}

/// Follows the store and, where that saves calls, the scouts of the region.
pub fn start<C: Clock>(settings: &Settings, board: &SharedCatalog, clock: &C) -> StoreContact {
    let contact = StoreContact::default();
    let (direct, is_direct) = watch::channel(true);
    for topic in Topic::ALL {
        tokio::spawn(run(
            topic,
            settings.store,
            board.clone(),
            contact.clone(),
            is_direct.clone(),
            clock.clone(),
        ));
    }
    tokio::spawn(relay::run(
        board.clone(),
        settings.region_data_centers(),
        settings.ports[0],
        settings.message_address(),
        direct,
        clock.clone(),
    ));
    if settings.target.is_some() {
        let store = settings.store;
        tokio::spawn(prove(store, contact.clone(), is_direct, clock.clone()));
    }
    contact
}

/// Proves at intervals that a scout still reaches the store, so that its followers know
/// how fresh its knowledge is while nothing changes.
async fn prove<C: Clock>(
    store: SocketAddr,
    contact: StoreContact,
    mut direct: watch::Receiver<bool>,
    clock: C,
) {
    loop {
        if direct.wait_for(|direct| *direct).await.is_err() {
            return;
        }
        time::sleep(PROOF_INTERVAL).await;
        let mut client = Client::new(store);
        match time::timeout(PROOF_LIMIT, client.ping()).await {
            Ok(Ok(())) => contact.note(clock.now()),
            Ok(Err(e)) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "store not reached");
            }
            Err(_) => debug!("store silent"),
        }
    }
}

/// Keeps `topic` of the board current while this node follows the store itself.
async fn run<C: Clock>(
    topic: Topic,
    store: SocketAddr,
    board: SharedCatalog,
    contact: StoreContact,
    mut direct: watch::Receiver<bool>,
    clock: C,
) {
    let mut follower = Follower {
        topic,
        board,
        contact,
        clock,
        has_changed: false,
        rejected: BTreeSet::new(),
    };
    loop {
        if direct.wait_for(|direct| *direct).await.is_err() {
            return;
        }
        tokio::select! {
            () = follower.follow(store) => {}
            _ = direct.wait_for(|direct| !*direct) => {}
        }
    }
}

fn group_pause(topic: Topic) -> Duration {
    match topic {
        Topic::Targets => TARGET_PAUSE,
        Topic::Config | Topic::Releases => CHANGE_PAUSE,
    }
}

struct Follower<C: Clock> {
    topic: Topic,
    board: SharedCatalog,
    contact: StoreContact,
    clock: C,
    /// Whether the last watch brought changes.
    has_changed: bool,
    /// Objects that were refused, so that each is logged once.
    rejected: BTreeSet<(String, u64)>,
}

impl<C: Clock> Follower<C> {
    /// Lists and watches until it is cancelled.
    async fn follow(&mut self, store: SocketAddr) {
        let topic = self.topic;
        let mut client = Client::new(store);
        let mut pause = FIRST_PAUSE;
        let mut revision = None;
        let mut is_lost = false;
        loop {
            let stepped = self.step(&mut client, revision).await;
            let result = match &stepped {
                Ok(_) => "answered",
                Err(Error::Compacted { .. }) => "compacted",
                Err(_) => "failed",
            };
            counter!("corianderramp_store_calls_total", "topic" => topic.name(), "result" => result)
                .increment(1);
            match stepped {
                Ok(next) => {
                    self.contact.note(self.clock.now());
                    if is_lost {
                        info!(topic = topic.name(), revision = next; "store back");
                        is_lost = false;
                    }
                    pause = FIRST_PAUSE;
                    revision = Some(next);
                }
                Err(Error::Compacted { revision: asked }) => {
                    info!(topic = topic.name(), revision = asked; "store history gone, listing again");
                    revision = None;
                }
                Err(e) => {
                    if !is_lost {
                        let reason = e.to_string();
                        warn!(topic = topic.name(), revision, reason = reason.as_str(); "store lost");
                        is_lost = true;
                    }
                    // A list carries each object once; the history may carry it many times.
                    revision = None;
                    pause = self.reach(&mut client, pause).await;
                }
            }
        }
    }

    /// Waits until the store answers the cheapest call, which one topic makes for all: while
    /// the store is down, every node of the deployment tries. Returns the pause for the next
    /// failure.
    async fn reach(&self, client: &mut Client, mut pause: Duration) -> Duration {
        let failed = self.clock.now();
        let _single = self.contact.probing.lock().await;
        loop {
            let now = self.clock.now();
            let since = now.saturating_duration_since(failed);
            if self.contact.age(now).is_some_and(|age| age < since) {
                return pause;
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            match client.ping().await {
                Ok(()) => self.contact.note(self.clock.now()),
                Err(e) => {
                    let reason = e.to_string();
                    debug!(reason = reason.as_str(); "store not reached");
                }
            }
        }
    }

    /// Lists or watches once; returns the revision to continue from.
    async fn step(&mut self, client: &mut Client, revision: Option<u64>) -> Result<u64, Error> {
        let Some(revision) = revision else {
            let list = client.list(self.topic).await?;
            let revision = list.revision;
            self.replace(list);
            return Ok(revision);
        };
        if self.has_changed {
            time::sleep(group_pause(self.topic)).await;
        }
        let changes = client.watch(self.topic, revision, WATCH_WAIT).await?;
        self.has_changed = !changes.events.is_empty();
        for event in changes.events {
            self.apply(event, Duration::ZERO);
        }
        Ok(changes.revision.max(revision))
    }

    fn replace(&mut self, list: List) {
        if self.topic != Topic::Targets {
            for object in list.items {
                let removed = false;
                self.apply(Event { removed, object }, LISTED_AGE);
            }
            if self.topic == Topic::Releases {
                self.board.update(|c| c.advance_releases(list.revision));
            }
            return;
        }
        let decoded = list.items.into_iter().filter_map(|object| {
            let (name, revision) = (object.meta.name.clone(), object.meta.revision);
            let value = self.target(object)?;
            Some(Entry {
                name,
                revision,
                value,
            })
        });
        let targets: Vec<_> = decoded.collect();
        let count = targets.len();
        let revision = list.revision;
        let changed = self.board.update(|c| c.replace_targets(revision, targets));
        info!(topic = "targets", revision, count, changed; "listed");
    }

    fn target(&mut self, object: Object) -> Option<crate::fleet::Target> {
        let Object { meta, spec } = object;
        match decode::target(&meta.name, spec) {
            Ok(target) => Some(target),
            Err(e) => {
                self.reject(&meta.name, meta.revision, &e);
                None
            }
        }
    }

    fn reject(&mut self, name: &str, revision: u64, reason: &decode::ParseError) {
        if self.rejected.insert((name.to_owned(), revision)) {
            let reason = reason.to_string();
            warn!(topic = self.topic.name(), name, revision, reason = reason.as_str(); "object ignored");
        }
    }

    /// Applies a change that happened `age` ago.
    fn apply(&mut self, event: Event, age: Duration) {
        let (name, revision) = (event.object.meta.name.clone(), event.object.meta.revision);
        match self.topic {
            Topic::Config if event.removed => {
                warn!(topic = "config", name = name.as_str(), revision; "removal ignored");
            }
            Topic::Config => match decode::config(event.object.spec) {
                Ok(config) => {
                    let version = config.version;
                    let applied = self.board.update(|c| c.update_config(revision, config));
                    info!(topic = "config", version, revision, applied; "config");
                }
                Err(e) => self.reject(&name, revision, &e),
            },
            Topic::Targets => self.apply_target(event),
            Topic::Releases if event.removed => {
                warn!(topic = "releases", name = name.as_str(), revision; "removal ignored");
            }
            Topic::Releases => match decode::release(event.object.spec) {
                Ok(release) => {
                    let version = release.version;
                    let now = self.clock.now();
                    let seen = now.checked_sub(age).unwrap_or(now);
                    let applied = self
                        .board
                        .update(|c| c.add_release(&name, revision, release, seen));
                    info!(topic = "releases", model = name.as_str(), version, revision, applied; "release");
                }
                Err(e) => self.reject(&name, revision, &e),
            },
        }
    }

    fn apply_target(&mut self, event: Event) {
        let (name, revision) = (event.object.meta.name.clone(), event.object.meta.revision);
        let value = if event.removed {
            None
        } else {
            self.target(event.object)
        };
        let before = self.board.snapshot();
        let known = Entry {
            name: name.clone(),
            revision,
            value,
        };
        let changed = self.board.update(|c: &mut Catalog| {
            let changed = c.update_target(known);
            if changed {
                c.advance_targets(revision);
            }
            changed
        });
        if !changed {
            return;
        }
        let after = self.board.snapshot();
        let describe = |c: &Catalog| {
            c.target(&name).map_or_else(
                || "absent".to_owned(),
                |t| format!("{:?}/{:?}", t.phase, t.weights),
            )
        };
        info!(topic = "targets", id = name.as_str(), revision, before = describe(&before).as_str(), after = describe(&after).as_str(); "target");
    }
}
