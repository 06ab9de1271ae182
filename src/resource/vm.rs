//! The platform's VM list.

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

/// Phase in the VM list, which lags behind the VM.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    #[default]
    Live,
    /// About to stop.
    Leaving,
}

/// One VM of the list; the object's name is the VM's name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Data centre.
    pub data_center: String,
    /// Region of the data centre.
    pub region: String,
    /// What runs on the VM.
    pub role: Role,
    /// Service of a target.
    #[serde(default)]
    pub service: String,
    /// Control address of the process.
    pub control: SocketAddr,
    /// Address at which a target's agent takes requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<SocketAddr>,
    /// Phase.
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
                "a target needs a service",
            )?;
            require(
                self.requests.is_some(),
                "spec.requests",
                "a target needs a request address",
            )?;
        }
        Ok(())
    }
}
