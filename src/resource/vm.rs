//! Entries of the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// A target with its agent.
    Target,
}

/// Lifecycle phase. The VM list is updated with a delay, so the VM may already be in a
/// later phase.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    #[default]
    Live,
    /// About to shut down.
    Leaving,
}

/// VM in the platform's list; the object's name is the VM's name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Data centre.
    pub data_center: String,
    /// Region of the data centre.
    pub region: String,
    /// Role of the VM.
    pub role: Role,
    /// Service that the target belongs to; required for targets.
    #[serde(default)]
    pub service: String,
    /// Control address of the process.
    pub control: SocketAddr,
    /// Address at which a target's agent accepts requests; required for targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<SocketAddr>,
    /// Lifecycle phase.
    #[serde(default)]
    pub phase: Phase,
}

impl Resource for Vm {
    const KIND: Kind = Kind::Vm;

    fn validate(&self) -> Result<(), Invalid> {
        require(
            !self.data_center.is_empty(),
            "spec.data_center",
            "must not be empty",
        )?;
        require(!self.region.is_empty(), "spec.region", "must not be empty")?;
        if self.role == Role::Target {
            require(
                !self.service.is_empty(),
                "spec.service",
                "required for targets",
            )?;
            require(
                self.requests.is_some(),
                "spec.requests",
                "required for targets",
            )?;
        }
        Ok(())
    }
}
