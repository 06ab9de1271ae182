//! Chunks that this VM holds: a bounded cache in the agent and the engine's
//! staging.

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::digest;

/// Chunks in memory, least recently used first.
#[derive(Debug, Default)]
struct Cache {
    entries: Vec<(digest::Digest, Bytes)>,
    bytes: u64,
}

#[derive(Debug, Default)]
struct Inner {
    cache: Cache,
    /// Sorted digests of the chunks that the engine holds.
    staged: Vec<digest::Digest>,
    handed: u64,
}

/// Where a chunk is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Location {
    /// Not on this VM.
    Absent,
    /// Only in the agent's cache.
    Cache,
    /// In the engine's staging.
    Engine,
}

/// Verified chunks of this VM.
#[derive(Debug)]
pub struct Store {
    limit: u64,
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

impl Store {
    /// Empty store whose cache holds at most `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            inner: Mutex::default(),
            changes: watch::Sender::default(),
        }
    }

    /// Counts changes of the set of chunks.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether the engine or the cache holds the chunk.
    #[must_use]
    pub fn has(&self, digest: digest::Digest) -> bool {
        let inner = self.inner.lock();
        inner.staged.binary_search(&digest).is_ok() || inner.cache.position(digest).is_some()
    }

    /// For each of `digests`, whether the engine or the cache holds it.
    #[must_use]
    pub fn held(&self, digests: &[digest::Digest]) -> Vec<bool> {
        let states = self.locate(digests);
        states.iter().map(|s| *s != Location::Absent).collect()
    }

    /// Where each of `digests` is.
    #[must_use]
    pub fn locate(&self, digests: &[digest::Digest]) -> Vec<Location> {
        let inner = self.inner.lock();
        let mut cached: Vec<_> = inner.cache.entries.iter().map(|(d, _)| *d).collect();
        cached.sort_unstable();
        let place = |digest: &digest::Digest| {
            if inner.staged.binary_search(digest).is_ok() {
                Location::Engine
            } else if cached.binary_search(digest).is_ok() {
                Location::Cache
            } else {
                Location::Absent
            }
        };
        digests.iter().map(place).collect()
    }

    /// The chunk from the cache.
    #[must_use]
    pub fn cached(&self, digest: digest::Digest) -> Option<Bytes> {
        let mut inner = self.inner.lock();
        let found = inner.cache.position(digest)?;
        let entry = inner.cache.entries.remove(found);
        let data = entry.1.clone();
        inner.cache.entries.push(entry);
        Some(data)
    }

    /// Bytes in the cache.
    #[must_use]
    pub fn cached_bytes(&self) -> u64 {
        self.inner.lock().cache.bytes
    }

    /// Keeps a verified chunk; evicts the least recently used ones.
    pub fn insert(&self, digest: digest::Digest, data: Bytes) {
        let mut inner = self.inner.lock();
        inner.cache.insert(digest, data, self.limit);
        drop(inner);
        self.changed();
    }

    /// Number of chunks handed to the engine so far.
    #[must_use]
    pub fn handed(&self) -> u64 {
        self.inner.lock().handed
    }

    /// Notes that the engine took a chunk.
    pub fn stage(&self, digest: digest::Digest) {
        let mut inner = self.inner.lock();
        inner.handed += 1;
        if let Err(i) = inner.staged.binary_search(&digest) {
            inner.staged.insert(i, digest);
        }
        drop(inner);
        self.changed();
    }

    /// Replaces the set of staged chunks by what the engine reported. A report
    /// that was asked for before the last hand-over (`handed` differs) may lack
    /// that chunk and is ignored.
    pub fn set_staged(&self, mut staged: Vec<digest::Digest>, handed: u64) {
        staged.sort_unstable();
        staged.dedup();
        let mut inner = self.inner.lock();
        if inner.handed != handed {
            return;
        }
        let changed = inner.staged != staged;
        inner.staged = staged;
        drop(inner);
        if changed {
            self.changed();
        }
    }

    fn changed(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl Cache {
    fn position(&self, digest: digest::Digest) -> Option<usize> {
        self.entries.iter().position(|(d, _)| *d == digest)
    }

    fn insert(&mut self, digest: digest::Digest, data: Bytes, limit: u64) {
        let length = data.len() as u64;
        if length > limit || self.position(digest).is_some() {
            return;
        }
        let mut evicted = 0;
        while self.bytes + length > limit {
            self.bytes -= self.entries[evicted].1.len() as u64;
            evicted += 1;
        }
        self.entries.drain(..evicted);
        self.entries.push((digest, data));
        self.bytes += length;
    }
}
