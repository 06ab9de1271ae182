//! Manifests of model and adapter versions: size and chunk digests.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};
use crate::digest;

/// Allowed chunk sizes, bytes.
pub const CHUNK_BYTES: std::ops::RangeInclusive<u32> = 1024..=64 * 1024 * 1024;

/// Manifest of an immutable version of a model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model or adapter.
    pub model: String,
    /// Version, unique within the model.
    pub version: String,
    /// Base model of an adapter, as `model@version`; absent for models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// Total size of the weights, bytes.
    pub size: u64,
    /// Size of every chunk except the last, which may be smaller, bytes.
    pub chunk_size: u32,
    /// Digests of the chunks, in file order.
    pub chunks: Vec<digest::Digest>,
}

impl Model {
    /// Name of the object that holds `version` of `model`.
    ///
    /// ```
    /// use corianderramp::resource::model;
    ///
    /// assert_eq!(model::Model::object_name("shake-8b", "v3"), "shake-8b@v3");
    /// ```
    #[must_use]
    pub fn object_name(model: &str, version: &str) -> String {
        format!("{model}@{version}")
    }

    /// Size of the chunk at `index`, bytes; 0 past the end.
    #[must_use]
    pub fn chunk_len(&self, index: usize) -> u64 {
        let start = index as u64 * u64::from(self.chunk_size);
        self.size
            .saturating_sub(start)
            .min(u64::from(self.chunk_size))
    }
}

impl Resource for Model {
    const KIND: Kind = Kind::Model;

    fn validate(&self) -> Result<(), Invalid> {
        require(!self.model.is_empty(), "spec.model", "must not be empty")?;
        require(
            !self.version.is_empty(),
            "spec.version",
            "must not be empty",
        )?;
        require(self.size > 0, "spec.size", "must be above 0")?;
        if !CHUNK_BYTES.contains(&self.chunk_size) {
            let reason = format!(
                "must be {} to {} bytes",
                CHUNK_BYTES.start(),
                CHUNK_BYTES.end()
            );
            return Err(Invalid::new("spec.chunk_size", reason));
        }
        let expected = self.size.div_ceil(u64::from(self.chunk_size));
        if self.chunks.len() as u64 != expected {
            let reason = format!(
                "has {} digests, but size and chunk_size require {expected}",
                self.chunks.len()
            );
            return Err(Invalid::new("spec.chunks", reason));
        }
        let mut by_digest: Vec<usize> = (0..self.chunks.len()).collect();
        by_digest.sort_unstable_by_key(|&i| (self.chunks[i], i));
        let duplicate = by_digest
            .windows(2)
            .find(|w| self.chunks[w[0]] == self.chunks[w[1]]);
        match duplicate {
            Some(w) => {
                let field = format!("spec.chunks[{}]", w[1]);
                Err(Invalid::new(
                    field,
                    format!("repeats the digest of chunk {}", w[0]),
                ))
            }
            None => Ok(()),
        }
    }
}
