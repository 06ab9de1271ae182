//! Objects of the platform stand-in with their history.

use std::collections::VecDeque;

use corianderramp::objects::{Change, Event, List};
use corianderramp::resource::{Kind, Metadata, Raw};

/// Why a write was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The object is at another revision.
    Conflict(Box<Raw>),
    /// There is no such object.
    Missing,
}

/// All objects, in the order of kind and name, with the newest events.
#[derive(Clone, Debug)]
pub struct Store {
    revision: u64,
    objects: Vec<Raw>,
    events: VecDeque<Event>,
    limit: usize,
    compacted: u64,
}

impl Store {
    /// Empty store that keeps the newest `limit` events. The first revision is
    /// 1, so that 0 remains free for "nothing known".
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            revision: 1,
            objects: Vec::new(),
            events: VecDeque::new(),
            limit,
            compacted: 1,
        }
    }

    /// Revision of the newest write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Object of `kind` with `name`.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Raw> {
        self.find(kind, name).ok().map(|i| &self.objects[i])
    }

    /// Objects of `kind` whose names begin with `prefix`.
    #[must_use]
    pub fn list(&self, kind: Kind, prefix: &str) -> List {
        let start = self.find(kind, prefix).unwrap_or_else(|i| i);
        let matching = self.objects[start..]
            .iter()
            .take_while(|o| o.kind == kind && o.metadata.name.starts_with(prefix));
        List {
            revision: self.revision,
            items: matching.cloned().collect(),
        }
    }

    /// Creates or replaces an object if its revision is unchanged.
    ///
    /// # Errors
    /// Returns the current object, or `Missing` when there is none to replace.
    pub fn put(&mut self, mut object: Raw) -> Result<Raw, Refusal> {
        let place = self.find(object.kind, &object.metadata.name);
        let expected = object.metadata.revision;
        object.metadata.revision = self.revision + 1;
        let change = match place {
            Ok(i) if self.objects[i].metadata.revision != expected => {
                return Err(Refusal::Conflict(Box::new(self.objects[i].clone())));
            }
            Ok(i) => {
                self.objects[i] = object.clone();
                Change::Modified
            }
            Err(_) if expected != 0 => return Err(Refusal::Missing),
            Err(i) => {
                self.objects.insert(i, object.clone());
                Change::Added
            }
        };
        self.record(change, object.clone());
        Ok(object)
    }

    /// Deletes an object if its revision is unchanged.
    ///
    /// # Errors
    /// Returns the current object, or `Missing` when there is none.
    pub fn delete(&mut self, kind: Kind, name: &str, expected: u64) -> Result<(), Refusal> {
        let i = self.find(kind, name).map_err(|_| Refusal::Missing)?;
        if self.objects[i].metadata.revision != expected {
            return Err(Refusal::Conflict(Box::new(self.objects[i].clone())));
        }
        let mut object = self.objects.remove(i);
        object.metadata.revision = self.revision + 1;
        self.record(Change::Deleted, object);
        Ok(())
    }

    /// Whether every event after `revision` is still available.
    #[must_use]
    pub fn is_available(&self, revision: u64) -> bool {
        revision >= self.compacted
    }

    /// Events of `kinds` after `revision`, ended by a bookmark at the current
    /// revision.
    #[must_use]
    pub fn since(&self, revision: u64, kinds: &[Kind]) -> Vec<Event> {
        let start = self
            .events
            .partition_point(|e| e.object.metadata.revision <= revision);
        let mut events: Vec<Event> = self
            .events
            .range(start..)
            .filter(|e| kinds.contains(&e.object.kind))
            .cloned()
            .collect();
        events.push(self.bookmark(kinds));
        events
    }

    /// Events that are still kept, in revision order.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events.iter().cloned().collect()
    }

    /// Drops the whole history.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted = self.revision;
    }

    fn bookmark(&self, kinds: &[Kind]) -> Event {
        let metadata = Metadata {
            revision: self.revision,
            ..Metadata::default()
        };
        Event {
            change: Change::Bookmark,
            object: Raw {
                kind: kinds.first().copied().unwrap_or(Kind::Vm),
                metadata,
                spec: serde_json::Value::Null,
            },
        }
    }

    fn record(&mut self, change: Change, object: Raw) {
        self.revision = object.metadata.revision;
        self.events.push_back(Event { change, object });
        if self.events.len() > self.limit {
            let oldest = self.events.pop_front();
            self.compacted = oldest.map_or(self.compacted, |e| e.object.metadata.revision);
        }
    }

    fn find(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|o| (o.kind, o.metadata.name.as_str()).cmp(&(kind, name)))
    }
}
