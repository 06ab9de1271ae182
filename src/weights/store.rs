//! Tracks the chunks on this VM: a bounded cache in the agent and the engine's staging
//! area.

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
    /// Sorted digests of the chunks in the engine.
    staged: Vec<digest::Digest>,
    /// Chunks that the engine accepted so far.
    accepted: u64,
}

/// Where a chunk is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Location {
    /// Not on this VM.
    Absent,
    /// Only in the agent's cache.
    Cache,
    /// In the engine's staging area.
    Engine,
}

/// Verified chunks on this VM.
#[derive(Debug)]
pub struct Store {
    cache_limit: u64,
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

impl Store {
    /// Empty store whose cache holds at most `cache_limit` bytes.
    #[must_use]
    pub fn new(cache_limit: u64) -> Self {
        Self {
            cache_limit,
            inner: Mutex::default(),
            changes: watch::Sender::default(),
        }
    }

    /// Receiver of a counter that grows with each change to the set of chunks.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether the engine or the cache holds the chunk.
    #[must_use]
    pub fn contains(&self, digest: digest::Digest) -> bool {
        let inner = self.inner.lock();
        inner.staged.binary_search(&digest).is_ok() || inner.cache.position(digest).is_some()
    }

    /// For each of `digests`, whether the engine or the cache holds it.
    #[must_use]
    pub fn held(&self, digests: &[digest::Digest]) -> Vec<bool> {
        let locations = self.locate(digests);
        locations.iter().map(|l| *l != Location::Absent).collect()
    }

    /// Location of each of `digests`.
    #[must_use]
    pub fn locate(&self, digests: &[digest::Digest]) -> Vec<Location> {
        let inner = self.inner.lock();
        let mut cached: Vec<_> = inner.cache.entries.iter().map(|(d, _)| *d).collect();
        cached.sort_unstable();
        let location = |digest: &digest::Digest| {
            if inner.staged.binary_search(digest).is_ok() {
                Location::Engine
            } else if cached.binary_search(digest).is_ok() {
                Location::Cache
            } else {
                Location::Absent
            }
        };
        digests.iter().map(location).collect()
    }

    /// Returns the chunk from the cache and marks it as the most recently used.
    #[must_use]
    pub fn cached(&self, digest: digest::Digest) -> Option<Bytes> {
        let mut inner = self.inner.lock();
        let index = inner.cache.position(digest)?;
        let entry = inner.cache.entries.remove(index);
        let data = entry.1.clone();
        inner.cache.entries.push(entry);
        Some(data)
    }

    /// Bytes in the cache.
    #[must_use]
    pub fn cached_bytes(&self) -> u64 {
        self.inner.lock().cache.bytes
    }

    /// Caches a verified chunk; evicts the least recently used ones to make room. A chunk
    /// larger than the cache is not kept.
    pub fn insert(&self, digest: digest::Digest, data: Bytes) {
        let mut inner = self.inner.lock();
        inner.cache.insert(digest, data, self.cache_limit);
        drop(inner);
        self.notify();
    }

    /// Number of chunks that the engine accepted so far; see [`Store::set_staged`].
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.inner.lock().accepted
    }

    /// Records that the engine accepted a chunk.
    pub fn mark_staged(&self, digest: digest::Digest) {
        let mut inner = self.inner.lock();
        inner.accepted += 1;
        if let Err(i) = inner.staged.binary_search(&digest) {
            inner.staged.insert(i, digest);
        }
        drop(inner);
        self.notify();
    }

    /// Replaces the set of staged chunks by the engine's report. `accepted` is the value of
    /// [`Store::accepted`] before the report was requested. If it has changed since, the
    /// report may lack the newest chunk and is ignored.
    pub fn set_staged(&self, mut staged: Vec<digest::Digest>, accepted: u64) {
        staged.sort_unstable();
        staged.dedup();
        let mut inner = self.inner.lock();
        if inner.accepted != accepted {
            return;
        }
        let changed = inner.staged != staged;
        inner.staged = staged;
        drop(inner);
        if changed {
            self.notify();
        }
    }

    fn notify(&self) {
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
