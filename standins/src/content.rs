//! Generated weights: the same seed gives the same bytes in every process.

use corianderramp::digest;
use corianderramp::resource::{self, model};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Content of one model version.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Content {
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// Base version of an adapter, `model@version`.
    #[serde(default)]
    pub base: Option<String>,
    /// Total size, bytes.
    pub size: u64,
    /// Size of each chunk but the last, bytes.
    pub chunk_size: u32,
    /// Seed of the content.
    pub seed: u64,
    /// Seed of the version that unchanged chunks are taken from.
    #[serde(default)]
    pub parent: Option<u64>,
    /// With a parent, every n-th chunk is new and the others are the parent's.
    #[serde(default = "default_every")]
    pub changed_every: usize,
}

const fn default_every() -> usize {
    1
}

impl Content {
    /// Number of chunks.
    #[must_use]
    pub fn count(&self) -> usize {
        usize::try_from(self.size.div_ceil(u64::from(self.chunk_size))).unwrap_or(usize::MAX)
    }

    /// Bytes of the chunk at `index`.
    #[must_use]
    pub fn chunk(&self, index: usize) -> Vec<u8> {
        let start = index as u64 * u64::from(self.chunk_size);
        let length = self
            .size
            .saturating_sub(start)
            .min(u64::from(self.chunk_size));
        let unchanged = !index.is_multiple_of(self.changed_every);
        let seed = match self.parent {
            Some(parent) if unchanged => parent,
            _ => self.seed,
        };
        generate(seed, index, usize::try_from(length).unwrap_or(0))
    }

    /// Model object with the digests of all chunks.
    #[must_use]
    pub fn manifest(&self) -> resource::Object<model::Model> {
        let digests = (0..self.count()).map(|i| digest::Digest::of(&self.chunk(i)));
        let spec = model::Model {
            model: self.model.clone(),
            version: self.version.clone(),
            base: self.base.clone(),
            size: self.size,
            chunk_size: self.chunk_size,
            chunks: digests.collect(),
        };
        let name = model::Model::object_name(&self.model, &self.version);
        resource::Object::new(name, spec)
    }
}

fn generate(seed: u64, index: usize, length: usize) -> Vec<u8> {
    let key = xxh3::xxh3_64_with_seed(&(index as u64).to_le_bytes(), seed);
    let words = (0..length.div_ceil(8) as u64)
        .flat_map(|i| xxh3::xxh3_64_with_seed(&i.to_le_bytes(), key).to_le_bytes());
    words.take(length).collect()
}
