//! Observed state, written by the coordinator of each data centre.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource};

/// Most VM names and reasons that a status lists.
pub const MAX_LISTED: usize = 16;

/// Progress of one rollout in one data centre, or, with an empty `rollout`,
/// the configuration in force there.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Data centre.
    pub data_center: String,
    /// Epoch of the lease under which the status was written.
    pub epoch: u64,
    /// Rollout; empty in the data centre's configuration status.
    pub rollout: String,
    /// Revision of the rollout object.
    pub generation: u64,
    /// Targets that the rollout concerns.
    pub targets: u32,
    /// Targets that fetch chunks.
    pub fetching: u32,
    /// Targets that hold all chunks and wait for a permit.
    pub verified: u32,
    /// Targets that switch.
    pub switching: u32,
    /// Targets that serve the version.
    pub live: u32,
    /// Targets that failed.
    pub failed: u32,
    /// Why targets failed or do not advance, `vm: reason`.
    pub reasons: Vec<String>,
    /// Bytes that the origin sent to this data centre for the rollout.
    pub origin_bytes: u64,
    /// Configuration revision in force in every reachable process.
    pub complete: u64,
    /// Reachable processes of the data centre.
    pub processes: u32,
    /// VMs whose process has not confirmed `complete`.
    pub lagging: Vec<String>,
}

impl Status {
    /// Name of the status object of `rollout` in `data_center`.
    ///
    /// ```
    /// use corianderramp::resource::status;
    ///
    /// assert_eq!(status::Status::object_name("summer", "cb-a"), "summer@cb-a");
    /// assert_eq!(status::Status::object_name("", "cb-a"), "@cb-a");
    /// ```
    #[must_use]
    pub fn object_name(rollout: &str, data_center: &str) -> String {
        format!("{rollout}@{data_center}")
    }
}

impl Resource for Status {
    const KIND: Kind = Kind::Status;

    fn validate(&self) -> Result<(), Invalid> {
        Ok(())
    }
}
