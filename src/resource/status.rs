//! Status of rollouts and of the configuration, reported by the coordinator of each data
//! centre.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource};

/// Largest number of reasons and of lagging VMs in a status.
pub const MAX_LISTED: usize = 16;

/// Progress of a rollout in a data centre or, if `rollout` is empty, how far the
/// configuration has reached the processes of the data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Status {
    /// Data centre.
    pub data_center: String,
    /// Epoch of the lease under which the status was written.
    pub epoch: u64,
    /// Name of the rollout; empty in the configuration status.
    pub rollout: String,
    /// Revision of the rollout object.
    pub generation: u64,
    /// Targets in the scope of the rollout.
    pub targets: u32,
    /// Targets that are downloading chunks.
    pub fetching: u32,
    /// Targets that have verified all chunks and wait for a permit to switch.
    pub verified: u32,
    /// Targets that are switching to the version.
    pub switching: u32,
    /// Targets that serve the version.
    pub live: u32,
    /// Targets that failed.
    pub failed: u32,
    /// Why targets failed or make no progress, as `vm: reason`; in the configuration
    /// status, the invalid objects as `kind/name: reason`. At most [`MAX_LISTED`].
    pub reasons: Vec<String>,
    /// Bytes that the origin sent to this data centre for the rollout.
    pub origin_bytes: u64,
    /// Configuration revision that every reachable process has confirmed.
    pub complete: u64,
    /// Reachable processes of the data centre, including the coordinator.
    pub processes: u32,
    /// VMs whose process is unreachable or has not confirmed `complete`; at most
    /// [`MAX_LISTED`].
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
