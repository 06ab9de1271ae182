//! Coordinator lease of a data centre; the object's name is the data centre's name.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// Lease that makes its holder the coordinator of a data centre.
///
/// A candidate may take over the lease once the object's revision has not changed for
/// `duration_ms`. It measures this time on its own monotonic clock, so that clocks of
/// different VMs are never compared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Name of the VM that holds the lease; empty if the lease was released.
    pub holder: String,
    /// Identifier of the process that holds the lease; a restarted process has a new one
    /// and does not inherit the lease.
    pub boot: String,
    /// Fencing token, incremented each time the holder changes.
    pub epoch: u64,
    /// Control address of the holder.
    pub address: SocketAddr,
    /// Time without renewal after which the lease expires, milliseconds.
    pub duration_ms: u64,
}

impl Resource for Lease {
    const KIND: Kind = Kind::Lease;

    fn validate(&self) -> Result<(), Invalid> {
        require(self.duration_ms > 0, "spec.duration_ms", "must be above 0")
    }
}
