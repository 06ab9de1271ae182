//! Outcomes of requests per data centre and minute; the object's name is
//! given by [`Burn::object_name`].

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// Objects that are kept per data centre. They cover the longest window of the
/// burn report, 6 h, and the current minute.
pub const KEPT: usize = 6 * 60 + 5;

/// Outcomes of the requests that ended in one minute in one data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Burn {
    /// Data centre.
    pub data_center: String,
    /// Epoch of the lease under which the object was written.
    pub epoch: u64,
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Outcomes, in the order of service and account.
    pub counts: Vec<Count>,
}

/// Outcomes of one service and account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Count {
    /// Service.
    pub service: String,
    /// Client account.
    pub account: String,
    /// Complete responses within the objective's latency.
    pub good: u64,
    /// Complete responses above the objective's latency.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}

impl Burn {
    /// Name of the object of `minute` in `data_center`; names of one data
    /// centre sort by time.
    ///
    /// ```
    /// use corianderramp::resource::burn;
    ///
    /// assert_eq!(burn::Burn::object_name("cb-a", 29_000_000), "cb-a.0029000000");
    /// ```
    #[must_use]
    pub fn object_name(data_center: &str, minute: u64) -> String {
        format!("{data_center}.{minute:010}")
    }
}

impl Resource for Burn {
    const KIND: Kind = Kind::Burn;

    fn validate(&self) -> Result<(), Invalid> {
        require(
            !self.data_center.is_empty(),
            "spec.data_center",
            "must not be empty",
        )
    }
}
