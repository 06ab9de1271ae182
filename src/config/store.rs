//! Copy of all configuration objects by revision, with deltas and snapshots.

use std::sync::Arc;

use bytes::Bytes;

use crate::resource::Kind;

/// Most deletions that are remembered. At the few hundred changes a day of the
/// largest deployment they cover more than a day; a store that is further
/// behind gets a snapshot.
pub const MAX_TOMBSTONES: usize = 1024;

/// One object, or the tombstone of a deleted one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Revision of the write or of the deletion.
    pub revision: u64,
    /// JSON of the object; empty for a tombstone.
    pub json: Bytes,
}

impl Entry {
    /// Whether the object was deleted.
    #[must_use]
    pub fn is_tombstone(&self) -> bool {
        self.json.is_empty()
    }
}

/// Changes in `(from, to]`, or all objects at `to` when `snapshot` is set.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Revision that the receiver must have reached; 0 for a snapshot.
    pub from: u64,
    /// Revision that the receiver reaches.
    pub to: u64,
    /// Whether the delta replaces the whole store.
    pub snapshot: bool,
    /// Changed objects and tombstones.
    pub entries: Vec<Arc<Entry>>,
}

/// What became of a delta.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Objects changed.
    Changed,
    /// Only the revision advanced.
    Advanced,
    /// The store knew it already.
    Stale,
    /// The store lacks changes before the delta.
    Gap,
}

/// All objects at one revision, sorted by kind and name. The revision never
/// decreases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    complete: u64,
    changed: u64,
    /// Deletions up to this revision may have been forgotten.
    floor: u64,
    tombstones: usize,
    entries: Vec<Arc<Entry>>,
}

impl Store {
    /// Revision up to which every change is present; 0 for an empty store.
    #[must_use]
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Revision of the newest change of an object.
    #[must_use]
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Objects and tombstones of `kind`, in the order of their names.
    #[must_use]
    pub fn entries(&self, kind: Kind) -> &[Arc<Entry>] {
        let start = self.entries.partition_point(|e| e.kind < kind);
        let end = self.entries.partition_point(|e| e.kind <= kind);
        &self.entries[start..end]
    }

    /// What a store at `since` lacks; `None` when it lacks nothing.
    #[must_use]
    pub fn delta(&self, since: u64) -> Option<Delta> {
        if since >= self.complete {
            return None;
        }
        if since == 0 || since < self.floor {
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

    /// All objects without tombstones.
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

    /// Applies a delta if nothing before it is missing and it is newer.
    pub fn apply(&mut self, delta: Delta) -> Outcome {
        if delta.to <= self.complete {
            return Outcome::Stale;
        }
        if delta.snapshot {
            return self.replace(delta);
        }
        if delta.from > self.complete {
            return Outcome::Gap;
        }
        let known = self.complete;
        self.complete = delta.to;
        // Everything up to `known` is present, forgotten deletions included,
        // so that an older entry must not come back.
        let newer = delta.entries.into_iter().filter(|e| e.revision > known);
        let before = self.changed;
        newer.for_each(|e| self.set(e));
        self.forget_tombstones();
        if self.changed > before {
            Outcome::Changed
        } else {
            Outcome::Advanced
        }
    }

    fn replace(&mut self, delta: Delta) -> Outcome {
        let mut entries = delta.entries;
        entries.retain(|e| !e.is_tombstone());
        entries.sort_unstable_by(|a, b| {
            (a.kind, &a.name, b.revision).cmp(&(b.kind, &b.name, a.revision))
        });
        entries.dedup_by(|b, a| a.kind == b.kind && a.name == b.name);
        let live = self.entries.iter().filter(|e| !e.is_tombstone());
        let same = live.eq(entries.iter());
        self.complete = delta.to;
        self.floor = delta.to;
        self.tombstones = 0;
        self.entries = entries;
        if same {
            Outcome::Advanced
        } else {
            self.changed = delta.to;
            Outcome::Changed
        }
    }

    fn set(&mut self, entry: Arc<Entry>) {
        self.changed = self.changed.max(entry.revision);
        let key = (entry.kind, entry.name.as_str());
        let place = self
            .entries
            .binary_search_by(|e| (e.kind, e.name.as_str()).cmp(&key));
        self.tombstones += usize::from(entry.is_tombstone());
        match place {
            Ok(i) => {
                self.tombstones -= usize::from(self.entries[i].is_tombstone());
                self.entries[i] = entry;
            }
            Err(i) => self.entries.insert(i, entry),
        }
    }

    /// Drops the older half of the tombstones once there are too many, so that
    /// the cost of dropping is spread over many deletions.
    fn forget_tombstones(&mut self) {
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        let dead = self.entries.iter().filter(|e| e.is_tombstone());
        let mut revisions: Vec<u64> = dead.map(|e| e.revision).collect();
        revisions.sort_unstable();
        self.floor = revisions[revisions.len() / 2];
        let floor = self.floor;
        self.entries
            .retain(|e| !e.is_tombstone() || e.revision > floor);
        self.tombstones = self.entries.iter().filter(|e| e.is_tombstone()).count();
    }
}
