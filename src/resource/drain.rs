//! Requests to drain a VM; the object's name is the VM's name.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource};

/// Request to drain the VM that the object is named after.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Why the VM is drained; informs other operators only.
    pub reason: String,
}

impl Resource for Drain {
    const KIND: Kind = Kind::Drain;

    fn validate(&self) -> Result<(), Invalid> {
        Ok(())
    }
}
