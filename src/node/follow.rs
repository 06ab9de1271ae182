//! Follows the platform's store and keeps the shared catalog current.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use log::{debug, info, warn};
use metrics::counter;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time;

use crate::clock::{Clock, Moment};
use crate::fleet::catalog::{Catalog, Entry, LISTED_AGE, Topic};
use crate::fleet::revision;
use crate::node::budget::Budget;
use crate::node::follow::topic_watch::Watched;
use crate::node::freshness::StoreContact;
use crate::node::relay::{Mode, codec};
use crate::node::settings::Settings;
use crate::node::{SharedCatalog, eras, evacuations, relay};
use crate::platform::decode;
use crate::platform::store::{Client, Error, Event, List, Object};

mod topic_watch;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff after the first failed call; doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The same for a node that lists first after an outage: all others wait for it.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Spawns the tasks that follow the store, directly or through a relay of the region.
/// Returns the time of the last contact with the store, which these tasks update.
pub fn start<C: Clock>(settings: &Settings, catalog: &SharedCatalog, clock: &C) -> StoreContact {
    let contact = StoreContact::new(&settings.bounds);
    let weights_limit = settings.bounds.weights_limit();
    catalog.update(|c| {
        c.weights_limit = Some(weights_limit);
        false
    });
    let (mode, current) = watch::channel(Mode::Relayed);
    for topic in contact.topics() {
        tokio::spawn(run(
            topic,
            settings.store,
            catalog.clone(),
            contact.clone(),
            current.clone(),
            clock.clone(),
        ));
    }
    let region = relay::Region {
        data_centers: settings.region_data_centers(),
        port: settings.ports[0],
        own: settings.message_address(),
        limit: settings.bounds.config_limit(),
        is_gateway: settings.target.is_none(),
    };
    tokio::spawn(eras::run(catalog.clone()));
    if contact.follows(Topic::Evacuations) {
        let centers = settings.centers.keys().cloned().collect();
        tokio::spawn(evacuations::run(catalog.clone(), centers));
    }
    tokio::spawn(find_relays(
        settings.store,
        catalog.clone(),
        contact.clone(),
        region,
        mode,
        clock.clone(),
    ));
    contact
}

/// Finds the relays of the region and follows them until the process ends.
///
/// Load pattern: all nodes start at the same moment, or some while the store answers nobody. A list
/// of targets that may be outdated is small and cheap; the complete catalog comes from the relays
/// that it names.
async fn find_relays<C: Clock>(
    store: SocketAddr,
    catalog: SharedCatalog,
    contact: StoreContact,
    region: relay::Region,
    mode: watch::Sender<Mode>,
    clock: C,
) {
    let mut end = clock.now() + region.limit;
    let mut client = Client::new(store);
    let mut backoff = INITIAL_BACKOFF;
    let mut has_answered = false;
    while clock.now() < end || !has_answered {
        match client.list_stale(Topic::Targets).await {
            Ok(list) => {
                if !has_answered {
                    has_answered = true;
                    end = clock.now() + region.limit;
                }
                let entries = list.items.into_iter().filter_map(|object| {
                    let Object { meta, spec } = object;
                    let value = decode::target(&meta.name, spec).ok()?;
                    Some(Entry {
                        name: meta.name,
                        revision: meta.revision,
                        value,
                    })
                });
                let hints: Vec<_> = entries.collect();
                let count = hints.len();
                catalog.update(|c| c.hint_targets(hints));
                let relays = region.relays(&catalog.snapshot()).len();
                debug!(count, relays; "targets listed to find relays");
                // Targets register one after the other while a deployment starts.
                if relays > 0 {
                    break;
                }
                // A region without any engine has no relays.
                if count > 0 {
                    end = end.min(clock.now() + region.limit / 8);
                }
            }
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "targets not listed to find relays");
            }
        }
        let jitter: f64 = rand::rng().random();
        time::sleep(backoff.mul_f64(0.5 + jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    drop(client);
    relay::run(catalog, contact, region, mode, clock).await;
}

/// Keeps `topic` of the catalog current while this node follows the store directly.
async fn run<C: Clock>(
    topic: Topic,
    store: SocketAddr,
    catalog: SharedCatalog,
    contact: StoreContact,
    mut mode: watch::Receiver<Mode>,
    clock: C,
) {
    let mut follower = Follower {
        topic,
        budget: contact.budget(topic),
        catalog,
        contact,
        clock,
        has_changed: false,
        is_overdue: false,
        answered: None,
        rejected: BTreeSet::new(),
    };
    loop {
        let current = mode.wait_for(|m| m.follows(topic)).await.map(|m| *m);
        let precedence = match current {
            Ok(Mode::Direct { precedence }) => precedence,
            Ok(Mode::Partial) => Duration::ZERO,
            Ok(Mode::Relayed) => continue,
            Err(_) => return,
        };
        tokio::select! {
            () = follower.follow(store, precedence) => {}
            _ = mode.wait_for(|mode| !mode.follows(topic)) => {}
        }
    }
}

/// How this node learned of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    /// From a list, which does not say when it happened.
    Listed,
    /// From a watch, at most this long after it happened.
    Watched(Duration),
}

impl Seen {
    /// Longest time since the change.
    fn age(self) -> Duration {
        match self {
            Self::Listed => LISTED_AGE,
            Self::Watched(age) => age,
        }
    }
}

struct Follower<C: Clock> {
    topic: Topic,
    budget: Budget,
    catalog: SharedCatalog,
    contact: StoreContact,
    clock: C,
    /// Whether the last watch call returned changes.
    has_changed: bool,
    /// Whether the last watch call was not answered in time.
    is_overdue: bool,
    /// When the last answer to a watch came, or the latest moment before it if that is not known.
    answered: Option<Moment>,
    /// Name and revision of objects that could not be decoded, so that each is logged once.
    rejected: BTreeSet<(String, u64)>,
}

impl<C: Clock> Follower<C> {
    /// Lists the topic unless a relay has brought it, then watches it, until the future is dropped.
    /// After an outage of the store, the relays list first and have `precedence` to bring the topic
    /// to this node.
    async fn follow(&mut self, store: SocketAddr, precedence: Duration) {
        let topic = self.topic;
        let mut client = Client::new(store).telling(self.contact.arrivals());
        let mut backoff = INITIAL_BACKOFF;
        let mut revision = self.contact.revision(topic);
        let mut is_failing = false;
        (self.has_changed, self.is_overdue) = (false, false);
        loop {
            let synced = self.sync_once(&mut client, revision).await;
            let result = match &synced {
                Ok(_) => "answered",
                Err(Error::Compacted { .. }) => "compacted",
                Err(Error::OtherEra { .. }) => "other era",
                Err(_) => "failed",
            };
            counter!("corianderramp_store_calls_total", "topic" => topic.name(), "result" => result)
                .increment(1);
            match synced {
                Ok(next) => {
                    self.contact.record_revision(topic, next);
                    self.is_overdue = false;
                    if is_failing {
                        info!(topic = topic.name(), revision = revision::number(next); "store calls succeed again");
                        is_failing = false;
                    }
                    backoff = INITIAL_BACKOFF;
                    revision = Some(next);
                }
                Err(e) if e.is_unanswered() && revision.is_some() && !self.is_overdue => {
                    warn!(topic = topic.name(), revision = revision.map(revision::number); "watch not answered, asking again");
                    self.is_overdue = true;
                }
                Err(Error::OtherEra { era }) => {
                    let before = revision.map(revision::era);
                    info!(topic = topic.name(), before, era; "store is in another era, listing again");
                    revision = None;
                }
                Err(Error::Compacted { revision: asked }) => {
                    info!(topic = topic.name(), revision = revision::number(asked); "store history compacted, listing again");
                    revision = None;
                }
                Err(e) => {
                    if !is_failing {
                        let reason = e.to_string();
                        warn!(topic = topic.name(), revision = revision.map(revision::number), reason = reason.as_str(); "store call failed, retrying");
                        is_failing = true;
                    }
                    // After an outage a list is cheaper than a watch: it has each object once,
                    // while the history may have it many times.
                    revision = None;
                    let age = self.contact.age(Moment::of(&self.clock));
                    backoff = self
                        .wait_until_reachable(&mut client, backoff, precedence)
                        .await;
                    // Without an outage, a relay would have been followed again.
                    if age.is_none_or(|a| a >= precedence / 2) {
                        time::sleep(precedence).await;
                    }
                }
            }
        }
    }

    /// Waits until the store answers the cheapest call. One topic makes it for all, because
    /// every node of the deployment probes a store that is down. Returns the backoff for the
    /// next failure.
    async fn wait_until_reachable(
        &self,
        client: &mut Client,
        mut backoff: Duration,
        precedence: Duration,
    ) -> Duration {
        let longest = if precedence.is_zero() {
            FIRST_BACKOFF
        } else {
            MAX_BACKOFF
        };
        let failed_at = Moment::of(&self.clock);
        let _guard = self.contact.probe_lock.lock().await;
        loop {
            let now = Moment::of(&self.clock);
            let outage = now.since(failed_at);
            if self.contact.own_age(now).is_some_and(|age| age < outage) {
                return backoff;
            }
            time::sleep(backoff).await;
            backoff = (backoff * 2).min(longest);
            // A call that arrives during an outage may never be answered.
            match time::timeout(PROBE_TIMEOUT, client.ping()).await {
                Ok(Ok(())) => self.contact.record(Moment::of(&self.clock)),
                Ok(Err(e)) => {
                    let reason = e.to_string();
                    debug!(reason = reason.as_str(); "store probe failed");
                }
                Err(_) => debug!("store probe timed out"),
            }
        }
    }

    /// Lists the topic, or watches it from `revision`, once. Returns the revision to continue
    /// from.
    async fn sync_once(
        &mut self,
        client: &mut Client,
        revision: Option<u64>,
    ) -> Result<u64, Error> {
        let Some(revision) = revision else {
            let asked = Moment::of(&self.clock);
            let list = client.list(self.topic).await?;
            self.contact.record(Moment::of(&self.clock));
            let revision = list.revision;
            self.apply_list(list);
            self.contact.record_topic(self.topic, asked);
            return Ok(revision);
        };
        let Watched {
            changes,
            confirmed,
            age,
        } = self.watch(client, revision).await?;
        self.has_changed = !changes.events.is_empty();
        let next = changes.revision.max(revision);
        if self.topic == Topic::Evacuations {
            evacuations::apply_changes(&self.catalog, changes);
        } else {
            for event in changes.events {
                self.apply(event, Seen::Watched(age));
            }
        }
        self.contact.record_topic(self.topic, confirmed);
        Ok(next)
    }

    fn apply_list(&mut self, list: List) {
        if self.topic == Topic::Evacuations {
            evacuations::apply_list(&self.catalog, list);
            return;
        }
        if self.topic != Topic::Targets {
            for object in list.items {
                let removed = false;
                self.apply(Event { removed, object }, Seen::Listed);
            }
            if self.topic == Topic::Releases {
                self.catalog.update(|c| c.advance_releases(list.revision));
            }
            return;
        }
        let decoded = list.items.into_iter().filter_map(|object| {
            let (name, revision) = (object.meta.name.clone(), object.meta.revision);
            let value = self.decode_target(object)?;
            Some(Entry {
                name,
                revision,
                value,
            })
        });
        let targets: Vec<_> = decoded.collect();
        let count = targets.len();
        let revision = list.revision;
        let changed = self
            .catalog
            .update(|c| c.replace_targets(revision, targets));
        let (era, revision) = (revision::era(revision), revision::number(revision));
        info!(topic = "targets", era, revision, count, changed; "targets listed");
    }

    fn decode_target(&mut self, object: Object) -> Option<crate::fleet::Target> {
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
            counter!("corianderramp_store_objects_ignored_total", "topic" => self.topic.name())
                .increment(1);
            let reason = reason.to_string();
            let (era, revision) = (revision::era(revision), revision::number(revision));
            warn!(topic = self.topic.name(), name, era, revision, reason = reason.as_str(); "invalid object ignored");
        }
    }

    /// Applies an event of the store.
    fn apply(&mut self, event: Event, seen: Seen) {
        let (name, revision) = (event.object.meta.name.clone(), event.object.meta.revision);
        match self.topic {
            Topic::Config if event.removed => {
                let revision = revision::number(revision);
                warn!(topic = "config", name = name.as_str(), revision; "removal ignored");
            }
            Topic::Config => match decode::config(event.object.spec) {
                Ok(config) => {
                    let version = config.version;
                    let applied = self.catalog.update_config(revision, config);
                    let (era, revision) = (revision::era(revision), revision::number(revision));
                    info!(topic = "config", version, era, revision, applied; "config received");
                }
                Err(e) => self.reject(&name, revision, &e),
            },
            Topic::Targets => self.apply_target(event),
            // Applied as a whole.
            Topic::Evacuations => {}
            Topic::Releases if event.removed => {
                let revision = revision::number(revision);
                warn!(topic = "releases", name = name.as_str(), revision; "removal ignored");
            }
            Topic::Releases => match decode::release(event.object.spec) {
                Ok(release) => {
                    let version = release.version;
                    let now = self.clock.now();
                    let age = seen.age();
                    let released = now.checked_sub(age).unwrap_or(now);
                    let applied = self.catalog.update(|c| {
                        let applied = c.add_release(&name, revision, release, released);
                        if applied && seen == Seen::Listed {
                            c.mark_listed(&name, version);
                        }
                        applied
                    });
                    let (era, revision) = (revision::era(revision), revision::number(revision));
                    info!(topic = "releases", model = name.as_str(), version, era, revision, applied, age_ms = codec::millis(age); "release received");
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
            self.decode_target(event.object)
        };
        let before = self.catalog.snapshot();
        let known = Entry {
            name: name.clone(),
            revision,
            value,
        };
        let changed = self.catalog.update(|c: &mut Catalog| {
            let changed = c.update_target(known);
            if changed {
                c.advance_targets(revision);
            }
            changed
        });
        if !changed {
            return;
        }
        let after = self.catalog.snapshot();
        let describe = |c: &Catalog| {
            c.target(&name).map_or_else(
                || "absent".to_owned(),
                |t| format!("{:?}/{:?}", t.phase, t.weights),
            )
        };
        let revision = revision::number(revision);
        info!(topic = "targets", id = name.as_str(), revision, before = describe(&before).as_str(), after = describe(&after).as_str(); "target updated");
    }
}
