//! Local copy of the deployment's state; an update never replaces newer state.
//!
//! All revisions are composed of an era and the store's revision ([`crate::fleet::revision`]).
//! After the store came back from a copy, a node keeps what it knows and the copy lacks: the
//! newest configuration and releases by their versions, targets that left as left, and for a
//! while those that have not registered again.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fleet::catalog::evacuations::Evacuation;
use crate::fleet::classes::Classes;
use crate::fleet::{Config, Release, Target, revision};

mod copy;
pub mod evacuations;
mod topic;

pub use topic::Topic;

/// Value of a store object with its name and revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry<T> {
    /// Name of the object.
    pub name: String,
    /// Store revision of its last change.
    pub revision: u64,
    /// Decoded value.
    pub value: T,
}

impl Entry<Target> {
    /// Whether this is the same registration as `other`.
    fn same_as(&self, other: &Self) -> bool {
        (self.revision, &self.name) == (other.revision, &other.name)
    }
}

/// Configuration, targets, releases and evacuations that this node knows.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Newest configuration.
    pub config: Option<Arc<Config>>,
    /// Store revision of the configuration.
    pub config_revision: u64,
    /// Classes of the ranks in the configuration.
    pub classes: Arc<Classes>,
    /// Targets, sorted by id.
    pub targets: Vec<Entry<Target>>,
    /// Store revision up to which `targets` is complete; 0 while they are only hints.
    pub targets_revision: u64,
    /// Recently removed targets, sorted by name.
    pub removals: Vec<Removal>,
    /// Store revision up to which removals may be missing from `removals`.
    pub removals_floor: u64,
    /// Store revisions between the last list and what was known before it. Targets that were added
    /// and removed within are unknown.
    pub skipped: Range<u64>,
    /// Registrations in the copy from which the store came back of targets that had left or
    /// restarted, sorted by name.
    pub outdated: Vec<Entry<Target>>,
    /// Releases, sorted by object name.
    pub releases: Vec<Entry<ReleaseHistory>>,
    /// Store revision up to which `releases` is complete.
    pub releases_revision: u64,
    /// Time after its release at which a version becomes mandatory. A version is kept until a newer
    /// one is mandatory, and for good while the time is unknown.
    pub weights_limit: Option<Duration>,
    /// Evacuated data centres, sorted by name.
    pub evacuations: Vec<Evacuation>,
    /// Store revision up to which `evacuations` is complete; 0 if unknown.
    pub evacuations_revision: u64,
}

/// Removal of an object from the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Name of the object.
    pub name: String,
    /// Store revision at which it was gone.
    pub revision: u64,
    /// Store revision of its last change before that; 0 if unknown.
    #[serde(default)]
    pub last: u64,
    /// Start of its lifetime, Unix milliseconds; 0 if unknown.
    #[serde(default)]
    pub started: u64,
}

/// Changes of targets after a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetChanges {
    /// Added and changed targets.
    pub changed: Vec<Entry<Target>>,
    /// Removed targets.
    pub removed: Vec<Removal>,
}

/// Recent releases of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseHistory {
    /// Newest release.
    pub release: Release,
    /// Recent versions and their release times as far as this node knows them, oldest first.
    pub history: Vec<(u64, Instant)>,
    /// Versions of which a list told, so that their release times are assumed.
    pub listed: Vec<u64>,
}

/// Releases of a model that are kept though all requests must run on newer ones.
const MIN_HISTORY: usize = 8;
/// Age assumed for releases found in a list: no node saw when they were published, so their
/// deadline may be close.
pub const LISTED_AGE: Duration = Duration::from_secs(5);
/// Maximum number of removals kept.
const MAX_REMOVALS: usize = 1_024;

impl ReleaseHistory {
    /// Returns the lowest version on which a request may start at `now`, if a version
    /// becomes mandatory `deadline` after its release; 0 if any version may be used.
    #[must_use]
    pub fn required_version(&self, deadline: Duration, now: Instant) -> u64 {
        let is_due = |released: Instant| now.saturating_duration_since(released) >= deadline;
        let due = self.history.iter().filter(|(_, at)| is_due(*at));
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Forgets the oldest versions on which nothing may start at `now`, up to `MIN_HISTORY`;
    /// `deadline` as for [`Self::required_version`].
    fn forget_due(&mut self, deadline: Duration, now: Instant) {
        let required = self.required_version(deadline, now);
        let excess = self.history.len().saturating_sub(MIN_HISTORY);
        let due = self.history.partition_point(|(v, _)| *v < required);
        for (version, _) in self.history.drain(..due.min(excess)) {
            self.listed.retain(|v| *v != version);
        }
    }

    /// Returns when the first node learned of a version: its release, or when it was listed.
    #[must_use]
    pub fn known_since(&self, version: u64) -> Option<Instant> {
        let (_, released) = self.history.iter().find(|(v, _)| *v == version)?;
        let is_listed = self.listed.contains(&version);
        Some(
            *released
                + if is_listed {
                    LISTED_AGE
                } else {
                    Duration::ZERO
                },
        )
    }

    /// Returns when requests may no longer start on `version`, `limit` after the release of
    /// the next one; `None` while it is the newest.
    #[must_use]
    pub fn start_limit(&self, version: u64, limit: Duration) -> Option<Instant> {
        let newer = self.history.iter().filter(|(v, _)| *v > version);
        newer.map(|(_, released)| *released + limit).min()
    }
}

impl Catalog {
    /// Replaces the configuration if the version is higher, or the same and `revision` is newer;
    /// returns whether it did.
    pub fn update_config(&mut self, revision: u64, config: Config) -> bool {
        if let Some(current) = &self.config
            && (config.version, revision) <= (current.version, self.config_revision)
        {
            return false;
        }
        self.config_revision = revision;
        self.classes = Arc::new(Classes::of(&config));
        self.config = Some(Arc::new(config));
        true
    }

    /// Replaces all targets with the complete list of `revision`, unless that is older than
    /// [`Self::targets_revision`]; returns whether the targets changed.
    ///
    /// A list of a later era comes from a store that went back to a copy: see
    /// [`Self::merge_copy`].
    pub fn replace_targets(&mut self, revision: u64, mut list: Vec<Entry<Target>>) -> bool {
        if revision < self.targets_revision {
            return false;
        }
        list.sort_by(|a, b| a.name.cmp(&b.name));
        if self.is_other_era(revision) {
            list = self.merge_copy(list);
        } else {
            self.outdated.retain(|o| list.iter().any(|e| e.same_as(o)));
            list.retain(|e| !self.outdated.iter().any(|o| e.same_as(o)));
            for entry in &mut list {
                self.hold_draining(entry);
            }
            let unconfirmed = self.unconfirmed_targets();
            let kept = self.targets.iter().filter(|t| {
                unconfirmed.contains(&t.name)
                    && list.binary_search_by(|e| e.name.cmp(&t.name)).is_err()
            });
            let kept: Vec<_> = kept.cloned().collect();
            list.extend(kept);
            list.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.skip_to(revision);
        self.targets_revision = revision;
        if self.targets == list {
            return false;
        }
        let before = std::mem::replace(&mut self.targets, list);
        for entry in before {
            if self.target(&entry.name).is_none() {
                self.record_removal(entry.name.clone(), revision, Some(&entry));
            }
        }
        true
    }

    /// Sum of the newest versions of all models, which rises with each release.
    #[must_use]
    pub fn release_sum(&self) -> u64 {
        let versions = self.releases.iter().map(|r| r.value.release.version);
        versions.fold(0, u64::saturating_add)
    }

    /// Adopts a list of targets of unknown age while none is known; returns whether it did.
    /// It tells where relays may run, and the first complete list replaces it.
    pub fn hint_targets(&mut self, mut list: Vec<Entry<Target>>) -> bool {
        if self.targets_revision > 0 || list.is_empty() {
            return false;
        }
        list.sort_by(|a, b| a.name.cmp(&b.name));
        self.targets = list;
        true
    }

    /// Records that a list of `revision` follows on what is known, without the changes between.
    fn skip_to(&mut self, revision: u64) {
        let known = self.targets_revision;
        if revision <= known {
            return;
        }
        self.removals_floor = if known == 0 {
            revision
        } else {
            self.removals_floor.max(self.skipped.end)
        };
        self.skipped = known + 1..revision;
    }

    /// Changes of targets after `revision`; `None` if some of the removals since then may be
    /// unknown.
    #[must_use]
    pub fn target_changes(&self, revision: u64) -> Option<TargetChanges> {
        let is_unknown = revision == 0
            || revision < self.removals_floor
            || self.skipped.contains(&revision)
            || self.is_other_era(revision);
        if is_unknown {
            return None;
        }
        let changed = self.targets.iter().filter(|t| t.revision > revision);
        let removed = self.removals.iter().filter(|r| r.revision > revision);
        Some(TargetChanges {
            changed: changed.cloned().collect(),
            removed: removed.cloned().collect(),
        })
    }

    /// Applies all changes after `base` up to `revision`; returns whether the targets changed.
    /// Ignores them if the targets are not complete up to `base`.
    pub fn apply_target_changes(
        &mut self,
        base: u64,
        revision: u64,
        changes: TargetChanges,
    ) -> bool {
        if self.targets_revision < base || self.is_other_era(base) {
            return false;
        }
        let mut any = false;
        for Removal { name, revision, .. } in changes.removed {
            let value = None;
            any |= self.update_target(Entry {
                name,
                revision,
                value,
            });
        }
        for entry in changes.changed {
            any |= self.update_target(Entry {
                name: entry.name,
                revision: entry.revision,
                value: Some(entry.value),
            });
        }
        self.advance_targets(revision);
        any
    }

    /// Records that a target is gone at `revision`; `known` is what was known of it.
    fn record_removal(&mut self, name: String, revision: u64, known: Option<&Entry<Target>>) {
        let last = known.map_or(0, |k| k.revision);
        let started = known.map_or(0, |k| k.value.started);
        match self.removals.binary_search_by(|r| r.name.cmp(&name)) {
            Ok(i) => {
                let removal = &mut self.removals[i];
                removal.revision = removal.revision.max(revision);
                removal.last = removal.last.max(last);
                removal.started = removal.started.max(started);
            }
            Err(i) => {
                let removal = Removal {
                    name,
                    revision,
                    last,
                    started,
                };
                self.removals.insert(i, removal);
            }
        }
        if self.removals.len() <= MAX_REMOVALS {
            return;
        }
        let removals = self.removals.iter().enumerate();
        if let Some((oldest, _)) = removals.min_by_key(|(_, r)| r.revision) {
            let dropped = self.removals.remove(oldest);
            self.removals_floor = self.removals_floor.max(dropped.revision);
        }
    }

    /// Whether a target was removed at `revision` or later.
    fn is_removed_since(&self, name: &str, revision: u64) -> bool {
        let found = self
            .removals
            .binary_search_by(|r| r.name.as_str().cmp(name));
        found.is_ok_and(|i| self.removals[i].revision >= revision)
    }

    /// Raises the revision up to which the targets are complete.
    pub fn advance_targets(&mut self, revision: u64) {
        self.targets_revision = self.targets_revision.max(revision);
    }

    /// Adds, replaces or, with a value of `None`, removes a target; returns whether the
    /// targets changed.
    ///
    /// Ignores a revision that is not newer than the target's or than its removal, and the
    /// value of an earlier lifetime.
    pub fn update_target(&mut self, update: Entry<Option<Target>>) -> bool {
        if self.is_removed_since(&update.name, update.revision)
            || self.is_other_era(update.revision)
        {
            return false;
        }
        if let Ok(i) = self.outdated.binary_search_by(|o| o.name.cmp(&update.name)) {
            if update.revision <= self.outdated[i].revision {
                return false;
            }
            self.outdated.remove(i);
        }
        let found = self.targets.binary_search_by(|t| t.name.cmp(&update.name));
        match (found, update.value) {
            (Ok(i), _) if self.targets[i].revision >= update.revision => false,
            (Ok(i), Some(value)) => {
                let current = &mut self.targets[i];
                // Followers need the same registration in the new era too.
                let is_again = revision::era(current.revision) != revision::era(update.revision);
                current.revision = update.revision;
                if value.started < current.value.started {
                    return false;
                }
                let changed = current.value != value || is_again;
                current.value = value;
                changed
            }
            (Ok(i), None) => {
                let target = self.targets.remove(i);
                self.record_removal(update.name, update.revision, Some(&target));
                true
            }
            (Err(i), Some(value)) => {
                self.removals.retain(|r| r.name != update.name);
                let entry = Entry {
                    name: update.name,
                    revision: update.revision,
                    value,
                };
                self.targets.insert(i, entry);
                true
            }
            (Err(_), None) => {
                self.record_removal(update.name, update.revision, None);
                false
            }
        }
    }

    /// Adds a release to the object `name` if its version is higher than the newest one;
    /// returns whether it did. `released` is the release time as far as this node knows it.
    pub fn add_release(
        &mut self,
        name: &str,
        revision: u64,
        release: Release,
        released: Instant,
    ) -> bool {
        let found = self
            .releases
            .binary_search_by(|r| r.name.as_str().cmp(name));
        let index = match found {
            Ok(i) if self.releases[i].value.release.version >= release.version => return false,
            Ok(i) => i,
            Err(i) => {
                let value = ReleaseHistory {
                    release: release.clone(),
                    history: Vec::new(),
                    listed: Vec::new(),
                };
                let name = name.to_owned();
                let entry = Entry {
                    name,
                    revision,
                    value,
                };
                self.releases.insert(i, entry);
                i
            }
        };
        let entry = &mut self.releases[index];
        entry.revision = revision;
        self.releases_revision = self.releases_revision.max(revision);
        let model = &mut entry.value;
        model.history.push((release.version, released));
        model.release = release;
        if let Some(limit) = self.weights_limit {
            // A time that has passed, so that no version is forgotten before it is due.
            model.forget_due(limit, released);
        }
        true
    }

    /// Records that the release time of a version is assumed, because a list told of it.
    pub fn mark_listed(&mut self, name: &str, version: u64) {
        let found = self
            .releases
            .binary_search_by(|r| r.name.as_str().cmp(name));
        if let Ok(i) = found {
            self.releases[i].value.listed.push(version);
        }
    }

    /// Raises the revision up to which the releases are complete; returns whether it was
    /// lower before.
    pub fn advance_releases(&mut self, revision: u64) -> bool {
        let is_new = revision > self.releases_revision;
        self.releases_revision = self.releases_revision.max(revision);
        is_new
    }

    /// Returns the release history of a model.
    #[must_use]
    pub fn release_history(&self, model: &str) -> Option<&ReleaseHistory> {
        let found = self
            .releases
            .binary_search_by(|r| r.name.as_str().cmp(model));
        found.ok().map(|i| &self.releases[i].value)
    }

    /// Returns the target with the identifier `id`.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        let found = self.targets.binary_search_by(|t| t.name.as_str().cmp(id));
        found.ok().map(|i| &self.targets[i].value)
    }

    /// Returns the store revision up to which a topic is known.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Config => self.config_revision,
            Topic::Targets => self.targets_revision,
            Topic::Releases => self.releases_revision,
            Topic::Evacuations => self.evacuations_revision,
        }
    }
}
