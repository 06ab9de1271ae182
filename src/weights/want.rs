//! Finds the version and manifests that the newest rollout of a service requires.

use std::sync::Arc;

use crate::config;
use crate::digest;
use crate::resource::{Object, model, rollout};

/// Longest chain of manifests from an adapter to its base model, both included.
const MAX_MANIFESTS: usize = 8;

/// Version that the targets of a service should serve, with its chunks.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// Name of the rollout object.
    pub rollout: String,
    /// Revision of the rollout object.
    pub generation: u64,
    /// Model or adapter.
    pub model: String,
    /// Version of the model or adapter.
    pub version: String,
    /// Whether the rollout minimizes time or origin bytes.
    pub strategy: rollout::Strategy,
    /// Version that joining targets load.
    pub join: rollout::Join,
    /// Manifests to fetch: the base model first, then its adapters.
    pub manifests: Vec<Arc<Object<model::Model>>>,
    /// Required manifest that the configuration does not contain, as `model@version`.
    pub missing_manifest: Option<String>,
}

impl Wanted {
    /// Digests of all chunks in the order in which an engine loads them.
    #[must_use]
    pub fn chunks(&self) -> Vec<digest::Digest> {
        let all = self.manifests.iter().flat_map(|p| &p.spec.chunks);
        all.copied().collect()
    }
}

/// Version that `service` should serve according to `view`; `None` without a rollout, and
/// when the newest rollout is older than `min_generation`, the newest generation seen
/// before: deleting the newest rollout must not bring an older one back.
#[must_use]
pub fn wanted(view: &config::View, service: &str, min_generation: u64) -> Option<Wanted> {
    let rollout = view.rollout_for(service)?;
    if rollout.metadata.revision < min_generation {
        return None;
    }
    let spec = &rollout.spec;
    let mut manifests: Vec<Arc<Object<model::Model>>> = Vec::new();
    let mut missing = None;
    let mut name = Some(model::Model::object_name(&spec.model, &spec.version));
    while let Some(next) = name.take() {
        match config::find(&view.models, &next) {
            Some(found) if manifests.len() < MAX_MANIFESTS => {
                manifests.push(found.clone());
            }
            _ => {
                missing = Some(next);
                break;
            }
        }
        name = manifests.last().and_then(|p| p.spec.base.clone());
    }
    manifests.reverse();
    Some(Wanted {
        rollout: rollout.metadata.name.clone(),
        generation: rollout.metadata.revision,
        model: spec.model.clone(),
        version: spec.version.clone(),
        strategy: spec.strategy,
        join: spec.join,
        manifests,
        missing_manifest: missing,
    })
}
