//! Coordinator lease of a data centre; the object's name is the data centre's name.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// Lease held by the coordinator of a data centre.
///
/// A candidate takes the lease when the object's revision has not changed for
/// `duration_ms` on the candidate's own monotonic clock, so the clocks of
/// different VMs are never compared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Name of the holding VM; empty when released.
    pub holder: String,
    /// Identifies the holding process, since a restarted process holds nothing.
    pub boot: String,
    /// Fencing token, raised each time the holder changes.
    pub epoch: u64,
    /// Control address of the holder.
    pub address: SocketAddr,
    /// Time without renewal after which the lease may be taken, milliseconds.
    pub duration_ms: u64,
}

impl Resource for Lease {
    const KIND: Kind = Kind::Lease;

    fn validate(&self) -> Result<(), Invalid> {
        require(self.duration_ms > 0, "spec.duration_ms", "must be above 0")
    }
}
