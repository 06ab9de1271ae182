//! What the newest rollout of a service needs.

use std::sync::Arc;

use crate::config;
use crate::digest;
use crate::resource::{Object, model, rollout};

/// Longest chain of adapters on adapters.
const MAX_BASES: usize = 8;

/// Version that the targets of a service should serve, with its chunks.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// Name of the rollout object.
    pub rollout: String,
    /// Revision of the rollout object.
    pub generation: u64,
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// What the rollout saves first.
    pub strategy: rollout::Strategy,
    /// What joining targets load.
    pub join: rollout::Join,
    /// Manifests to fetch: the base first, then its adapters.
    pub manifests: Vec<Arc<Object<model::Model>>>,
    /// Manifest that the configuration lacks, `model@version`.
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

/// What `service` needs according to `view`; `None` without a rollout, and
/// when the newest rollout is older than `floor`, the newest generation seen
/// before. Deleting the newest rollout must not bring an older one back.
#[must_use]
pub fn wanted(view: &config::View, service: &str, floor: u64) -> Option<Wanted> {
    let rollout = view.rollout_for(service)?;
    if rollout.metadata.revision < floor {
        return None;
    }
    let spec = &rollout.spec;
    let mut manifests: Vec<Arc<Object<model::Model>>> = Vec::new();
    let mut missing = None;
    let mut name = Some(model::Model::object_name(&spec.model, &spec.version));
    while let Some(next) = name.take() {
        match config::find(&view.models, &next) {
            Some(found) if manifests.len() < MAX_BASES => {
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
