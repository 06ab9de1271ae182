//! In-memory cache of verified chunks, for the own target and for peers.

use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::digest::Digest;
use crate::platform::engine::Manifest;

/// Maximum number of versions kept: the one in use, the next one, and one that peers may
/// still need.
const MAX_VERSIONS: usize = 3;

/// Manifests and chunks by version.
#[derive(Debug, Default)]
pub struct ChunkCache {
    versions: Mutex<Vec<Version>>,
    changed: Notify,
}

#[derive(Debug)]
struct Version {
    manifest: Arc<Manifest>,
    data: Vec<Option<Bytes>>,
    /// Whether each chunk is being fetched from the origin.
    fetching: Vec<bool>,
    /// Digest of the data that last came for each chunk and did not match the manifest.
    mismatches: Vec<Option<Digest>>,
}

impl ChunkCache {
    /// Manifest of a version; `None` if it is unknown.
    #[must_use]
    pub fn manifest(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        let versions = self.versions.lock();
        let found = versions.iter().find(|v| matches(v, model, version));
        found.map(|v| v.manifest.clone())
    }

    /// Whether the version of `manifest` is kept.
    #[must_use]
    pub fn contains(&self, manifest: &Manifest) -> bool {
        self.manifest(&manifest.model, manifest.version).is_some()
    }

    /// Adds a manifest and returns the shared copy. Chunks that other versions hold with the
    /// same digest are reused. Drops the oldest version if there are too many.
    pub fn insert_manifest(&self, manifest: Manifest) -> Arc<Manifest> {
        let mut versions = self.versions.lock();
        let known = versions
            .iter()
            .find(|v| matches(v, &manifest.model, manifest.version));
        if let Some(known) = known {
            return known.manifest.clone();
        }
        let find = |digest: &Digest| {
            versions.iter().find_map(|v| {
                let at = v.manifest.digests.iter().position(|d| d == digest)?;
                v.data[at].clone()
            })
        };
        let data = manifest.digests.iter().map(find).collect();
        let count = manifest.digests.len();
        let manifest = Arc::new(manifest);
        versions.push(Version {
            manifest: manifest.clone(),
            data,
            fetching: vec![false; count],
            mismatches: vec![None; count],
        });
        versions.sort_by_key(|v| v.manifest.version);
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
        drop(versions);
        self.changed.notify_waiters();
        manifest
    }

    /// Adds a chunk if it matches its digest in `manifest`; returns whether it does.
    pub fn insert(&self, manifest: &Manifest, index: usize, data: &Bytes) -> bool {
        let expected = manifest.digests.get(index);
        if expected != Some(&Digest::of(data)) {
            return false;
        }
        let mut versions = self.versions.lock();
        let found = versions
            .iter_mut()
            .find(|v| matches(v, &manifest.model, manifest.version));
        if let Some(version) = found {
            version.data[index] = Some(data.clone());
        }
        drop(versions);
        self.changed.notify_waiters();
        true
    }

    /// Records that data with the digest `actual` came for a chunk and does not match the
    /// manifest. Returns whether the same data came before, so that the manifest may be wrong.
    pub fn record_mismatch(&self, manifest: &Manifest, index: usize, actual: Digest) -> bool {
        let mut versions = self.versions.lock();
        let found = versions
            .iter_mut()
            .find(|v| matches(v, &manifest.model, manifest.version));
        let last = found.and_then(|v| v.mismatches.get_mut(index));
        last.is_some_and(|last| last.replace(actual) == Some(actual))
    }

    /// Replaces the digest of a chunk in the manifest with that of `data`, and adds the chunk.
    pub fn correct(&self, manifest: &Manifest, index: usize, data: &Bytes) {
        let mut versions = self.versions.lock();
        let found = versions
            .iter_mut()
            .find(|v| matches(v, &manifest.model, manifest.version));
        if let Some(version) = found {
            let manifest = Arc::make_mut(&mut version.manifest);
            manifest.digests[index] = Digest::of(data);
            version.data[index] = Some(data.clone());
        }
        drop(versions);
        self.changed.notify_waiters();
    }

    /// A chunk; `None` if it is not held.
    #[must_use]
    pub fn get(&self, model: &str, version: u64, index: usize) -> Option<Bytes> {
        let versions = self.versions.lock();
        let found = versions.iter().find(|v| matches(v, model, version))?;
        found.data.get(index)?.clone()
    }

    /// Whether each chunk of a version is held; empty if its manifest is unknown.
    #[must_use]
    pub fn held(&self, model: &str, version: u64) -> Vec<bool> {
        let versions = self.versions.lock();
        let found = versions.iter().find(|v| matches(v, model, version));
        let data = found.map(|v| v.data.as_slice()).unwrap_or_default();
        data.iter().map(Option::is_some).collect()
    }

    /// Indexes of the chunks of a version that are not held.
    #[must_use]
    pub fn missing(&self, manifest: &Manifest) -> Vec<usize> {
        let versions = self.versions.lock();
        let found = versions
            .iter()
            .find(|v| matches(v, &manifest.model, manifest.version));
        let all = 0..manifest.digests.len();
        all.filter(|i| found.is_none_or(|v| v.data[*i].is_none()))
            .collect()
    }

    /// Whether each chunk of a version is being fetched from the origin; empty if its manifest
    /// is unknown.
    #[must_use]
    pub fn fetching(&self, model: &str, version: u64) -> Vec<bool> {
        let versions = self.versions.lock();
        let found = versions.iter().find(|v| matches(v, model, version));
        found.map(|v| v.fetching.clone()).unwrap_or_default()
    }

    /// Records whether a chunk is being fetched from the origin.
    pub fn set_fetching(&self, manifest: &Manifest, index: usize, is_fetching: bool) {
        let mut versions = self.versions.lock();
        let found = versions
            .iter_mut()
            .find(|v| matches(v, &manifest.model, manifest.version));
        if let Some(flag) = found.and_then(|v| v.fetching.get_mut(index)) {
            *flag = is_fetching;
        }
        drop(versions);
        if is_fetching {
            self.changed.notify_waiters();
        }
    }

    /// Completes when a manifest or chunk is added, or the fetch of a chunk begins.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }
}

fn matches(version: &Version, model: &str, number: u64) -> bool {
    version.manifest.model == model && version.manifest.version == number
}

#[cfg(test)]
#[path = "chunks_test.rs"]
mod test;
