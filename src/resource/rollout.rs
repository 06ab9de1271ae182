//! Rollouts: which version the targets of a service should serve.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// What a rollout saves first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Shortest time to N replicas.
    #[default]
    Time,
    /// Fewest bytes from the origin and between regions.
    OriginBytes,
}

/// What a target that joins during or after the rollout loads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Join {
    /// The rollout's version, at once.
    #[default]
    Newest,
    /// Nothing until an operator changes the rollout.
    Hold,
}

/// Version that all targets of a service should serve.
///
/// The object's revision is the generation: the fencing token of every order
/// that follows from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Service whose targets switch.
    pub service: String,
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// What to save first.
    #[serde(default)]
    pub strategy: Strategy,
    /// Largest number of targets per data centre that switch at the same time.
    #[serde(default = "default_unavailable")]
    pub max_unavailable: u32,
    /// What joining targets load.
    #[serde(default)]
    pub join: Join,
}

const fn default_unavailable() -> u32 {
    1
}

impl Resource for Rollout {
    const KIND: Kind = Kind::Rollout;

    fn validate(&self) -> Result<(), Invalid> {
        require(
            !self.service.is_empty(),
            "spec.service",
            "must not be empty",
        )?;
        require(!self.model.is_empty(), "spec.model", "must not be empty")?;
        require(
            !self.version.is_empty(),
            "spec.version",
            "must not be empty",
        )?;
        require(
            self.max_unavailable > 0,
            "spec.max_unavailable",
            "must be above 0",
        )
    }
}
