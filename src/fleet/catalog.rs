//! What this process believes of the deployment; newer statements replace older ones, never the reverse.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fleet::{Config, Release, Target};

/// Kinds of statements that a process follows.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The configuration.
    Config,
    /// Registered targets.
    Targets,
    /// Named versions of weights.
    Releases,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Config, Self::Targets, Self::Releases];

    /// Name for logs and messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Releases => "releases",
        }
    }
}

/// Something known at a revision of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Known<T> {
    /// Name of the object.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// What it says.
    pub value: T,
}

/// Everything that is known, as an immutable snapshot.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Newest configuration.
    pub config: Option<Arc<Config>>,
    /// Store revision of the configuration.
    pub configured: u64,
    /// Targets, sorted by id.
    pub targets: Vec<Known<Target>>,
    /// Store revision up to which `targets` is complete.
    pub listed: u64,
    /// Releases, sorted by model.
    pub releases: Vec<Known<Named>>,
    /// Store revision up to which `releases` is complete.
    pub released: u64,
}

/// A model's named versions and when this process learned of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    /// Newest release.
    pub release: Release,
    /// Versions with the time at which each was learned of, newest last.
    pub history: Vec<(u64, Instant)>,
}

/// Versions of a model whose naming is remembered; older ones are long due.
const MAX_HISTORY: usize = 8;

impl Named {
    /// Version that no request may begin below at `now`, if versions are due `bound`
    /// after their naming; 0 if none is due.
    #[must_use]
    pub fn due(&self, bound: Duration, now: Instant) -> u64 {
        let due = |at: Instant| now.saturating_duration_since(at) >= bound;
        let versions = self.history.iter().filter(|(_, at)| due(*at));
        versions.map(|(v, _)| *v).max().unwrap_or(0)
    }
}

impl Catalog {
    /// Takes a configuration over if it is newer; returns whether it was.
    pub fn configure(&mut self, revision: u64, config: Config) -> bool {
        let known = self.config.as_ref().map_or(0, |c| c.version);
        if revision <= self.configured || (self.config.is_some() && config.version < known) {
            return false;
        }
        self.configured = revision;
        self.config = Some(Arc::new(config));
        true
    }

    /// Replaces all targets with a complete list taken at `revision`.
    ///
    /// An entry of an older lifetime than the one known does not come back.
    pub fn list_targets(&mut self, revision: u64, mut list: Vec<Known<Target>>) -> bool {
        if revision < self.listed {
            return false;
        }
        list.sort_by(|a, b| a.name.cmp(&b.name));
        self.listed = revision;
        let changed = self.targets != list;
        self.targets = list;
        changed
    }

    /// Notes that the targets last changed at a revision.
    pub fn note_targets(&mut self, revision: u64) {
        self.listed = self.listed.max(revision);
    }

    /// Applies one change of a target.
    pub fn change_target(&mut self, known: Known<Option<Target>>) -> bool {
        let found = self.targets.binary_search_by(|t| t.name.cmp(&known.name));
        match (found, known.value) {
            (Ok(i), _) if self.targets[i].revision >= known.revision => false,
            (Ok(i), Some(value)) => {
                let old = &mut self.targets[i];
                old.revision = known.revision;
                if value.born < old.value.born {
                    return false;
                }
                let changed = old.value != value;
                old.value = value;
                changed
            }
            (Ok(i), None) => {
                self.targets.remove(i);
                true
            }
            (Err(i), Some(value)) => {
                let known = Known {
                    name: known.name,
                    revision: known.revision,
                    value,
                };
                self.targets.insert(i, known);
                true
            }
            (Err(_), None) => false,
        }
    }

    /// Takes a release over if its version is higher. `seen` is when it was named as far
    /// as this process can tell.
    pub fn release(&mut self, name: &str, revision: u64, release: Release, seen: Instant) -> bool {
        let found = self
            .releases
            .binary_search_by(|r| r.name.as_str().cmp(name));
        let at = match found {
            Ok(i) if self.releases[i].value.release.version >= release.version => return false,
            Ok(i) => i,
            Err(i) => {
                let value = Named {
                    release: release.clone(),
                    history: Vec::new(),
                };
                let name = name.to_owned();
                let known = Known {
                    name,
                    revision,
                    value,
                };
                self.releases.insert(i, known);
                i
            }
        };
        let known = &mut self.releases[at];
        known.revision = revision;
        self.released = self.released.max(revision);
        let named = &mut known.value;
        if named.history.len() == MAX_HISTORY {
            named.history.remove(0);
        }
        named.history.push((release.version, seen));
        named.release = release;
        true
    }

    /// Notes that all releases up to a revision are known.
    pub fn list_releases(&mut self, revision: u64) -> bool {
        let is_new = revision > self.released;
        self.released = self.released.max(revision);
        is_new
    }

    /// Newest release of a model.
    #[must_use]
    pub fn named(&self, model: &str) -> Option<&Named> {
        let found = self
            .releases
            .binary_search_by(|r| r.name.as_str().cmp(model));
        found.ok().map(|i| &self.releases[i].value)
    }

    /// Target of that id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        let found = self.targets.binary_search_by(|t| t.name.as_str().cmp(id));
        found.ok().map(|i| &self.targets[i].value)
    }

    /// Store revision up to which a topic is known.
    #[must_use]
    pub fn revision(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Config => self.configured,
            Topic::Targets => self.listed,
            Topic::Releases => self.released,
        }
    }
}
