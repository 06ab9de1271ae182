//! Local copy of all configuration objects, replicated through deltas and
//! snapshots.

use std::sync::Arc;

use bytes::Bytes;

use crate::resource::Kind;

/// Maximum number of tombstones kept. The largest deployment makes a few hundred
/// changes a day, so they cover more than a day; a store that is further behind
/// gets a snapshot.
pub const MAX_TOMBSTONES: usize = 1024;

/// One object, or the tombstone of a deleted object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// Revision of the write or of the deletion.
    pub revision: u64,
    /// JSON of the object; empty for a tombstone.
    pub json: Bytes,
}

impl Entry {
    /// Returns whether the object was deleted.
    #[must_use]
    pub fn is_tombstone(&self) -> bool {
        self.json.is_empty()
    }
}

/// Changes with revisions in `(from, to]`, or all objects at `to` when `snapshot`
/// is set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Revision that the receiver must be complete up to; 0 for a snapshot.
    pub from: u64,
    /// Revision that the receiver is complete up to after applying the delta.
    pub to: u64,
    /// Whether the entries replace the whole content of the store.
    pub snapshot: bool,
    /// Changed objects and tombstones.
    pub entries: Vec<Arc<Entry>>,
}

/// Result of applying a delta.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The delta changed objects.
    Changed,
    /// The delta advanced the revision without changing objects.
    Advanced,
    /// Ignored: the store is already complete up to the delta.
    Stale,
    /// Ignored: the store lacks changes that precede the delta.
    Gap,
}

/// All objects at one revision, sorted by kind and name. The revision only
/// increases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    complete: u64,
    changed: u64,
    /// Tombstones up to this revision may have been pruned.
    pruned_revision: u64,
    tombstone_count: usize,
    entries: Vec<Arc<Entry>>,
}

impl Store {
    /// Revision up to which the store contains every change; 0 for an empty store.
    #[must_use]
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Revision of the latest change of an object.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Objects and tombstones of `kind`, sorted by name.
    #[must_use]
    pub fn entries(&self, kind: Kind) -> &[Arc<Entry>] {
        let start = self.entries.partition_point(|e| e.kind < kind);
        let end = self.entries.partition_point(|e| e.kind <= kind);
        &self.entries[start..end]
    }

    /// Returns the changes after revision `since`; `None` when there are none.
    #[must_use]
    pub fn delta(&self, since: u64) -> Option<Delta> {
        if since >= self.complete {
            return None;
        }
        if since == 0 || since < self.pruned_revision {
            return Some(self.snapshot());
        }
        let newer = self.entries.iter().filter(|e| e.revision > since);
        Some(Delta {
            from: since,
            to: self.complete,
            snapshot: false,
            entries: if since >= self.changed {
                Vec::new()
            } else {
                newer.cloned().collect()
            },
        })
    }

    /// Returns a delta with all objects and no tombstones.
    #[must_use]
    pub fn snapshot(&self) -> Delta {
        let live = self.entries.iter().filter(|e| !e.is_tombstone());
        Delta {
            from: 0,
            to: self.complete,
            snapshot: true,
            entries: live.cloned().collect(),
        }
    }

    /// Applies a delta that is newer than the store and leaves no gap.
    pub fn apply(&mut self, delta: Delta) -> Outcome {
        if delta.to <= self.complete {
            return Outcome::Stale;
        }
        if delta.snapshot {
            return self.replace_all(delta);
        }
        if delta.from > self.complete {
            return Outcome::Gap;
        }
        let known = self.complete;
        self.complete = delta.to;
        // The store already reflects every change up to `known`, including
        // deletions whose tombstones were pruned: an older entry could restore
        // a deleted object.
        let newer = delta.entries.into_iter().filter(|e| e.revision > known);
        let before = self.changed;
        newer.for_each(|e| self.upsert(e));
        self.prune_tombstones();
        if self.changed > before {
            Outcome::Changed
        } else {
            Outcome::Advanced
        }
    }

    fn replace_all(&mut self, delta: Delta) -> Outcome {
        let mut entries = delta.entries;
        entries.retain(|e| !e.is_tombstone());
        entries.sort_unstable_by(|a, b| {
            (a.kind, &a.name, b.revision).cmp(&(b.kind, &b.name, a.revision))
        });
        entries.dedup_by(|b, a| a.kind == b.kind && a.name == b.name);
        let live = self.entries.iter().filter(|e| !e.is_tombstone());
        let is_unchanged = live.eq(entries.iter());
        self.complete = delta.to;
        self.pruned_revision = delta.to;
        self.tombstone_count = 0;
        self.entries = entries;
        if is_unchanged {
            Outcome::Advanced
        } else {
            self.changed = delta.to;
            Outcome::Changed
        }
    }

    fn upsert(&mut self, entry: Arc<Entry>) {
        self.changed = self.changed.max(entry.revision);
        let key = (entry.kind, entry.name.as_str());
        let position = self
            .entries
            .binary_search_by(|e| (e.kind, e.name.as_str()).cmp(&key));
        self.tombstone_count += usize::from(entry.is_tombstone());
        match position {
            Ok(i) => {
                self.tombstone_count -= usize::from(self.entries[i].is_tombstone());
                self.entries[i] = entry;
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    /// Removes the older half of the tombstones when there are more than
    /// [`MAX_TOMBSTONES`]. Removing half at once spreads the cost over many
    /// deletions.
    fn prune_tombstones(&mut self) {
        if self.tombstone_count <= MAX_TOMBSTONES {
            return;
        }
        let tombstones = self.entries.iter().filter(|e| e.is_tombstone());
        let mut revisions: Vec<u64> = tombstones.map(|e| e.revision).collect();
        revisions.sort_unstable();
        self.pruned_revision = revisions[revisions.len() / 2];
        let pruned_revision = self.pruned_revision;
        self.entries
            .retain(|e| !e.is_tombstone() || e.revision > pruned_revision);
        self.tombstone_count = self.entries.iter().filter(|e| e.is_tombstone()).count();
    }
}
