//! Rollouts of model versions to the targets of a service.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// What a rollout minimises first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Time until N replicas serve the version.
    #[default]
    Time,
    /// Bytes sent by the origin and between regions.
    OriginBytes,
}

/// What a target that joins during or after the rollout loads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Join {
    /// The rollout's version, immediately.
    #[default]
    Newest,
    /// Nothing until an operator changes the rollout.
    Hold,
}

/// Version that all targets of a service should serve.
///
/// The object's revision is the rollout's generation, the fencing token of all commands
/// sent to targets on its behalf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Service whose targets switch to the version.
    pub service: String,
    /// Name of the model or adapter.
    pub model: String,
    /// Version to serve.
    pub version: String,
    /// What to minimise first.
    #[serde(default)]
    pub strategy: Strategy,
    /// Largest number of targets per data centre that switch concurrently.
    #[serde(default = "default_unavailable")]
    pub max_unavailable: u32,
    /// What targets load that join during or after the rollout.
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
