//! Request outcomes by data centre and minute, from which burn rates are computed.
//! Objects are named by [`Burn::object_name`].

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// Largest number of objects, one per minute, retained per data centre: the longest
/// window of the burn report, 6 h, the current minute and a small margin.
pub const MAX_MINUTES: usize = 6 * 60 + 5;

/// Outcomes of the requests that ended within one minute in one data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Burn {
    /// Data centre.
    pub data_center: String,
    /// Epoch of the lease under which the object was written.
    pub epoch: u64,
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Outcome counts, sorted by service and account.
    pub counts: Vec<Count>,
}

/// Outcome counts of one service and account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Count {
    /// Name of the service.
    pub service: String,
    /// Name of the client account.
    pub account: String,
    /// Complete responses within the latency objective.
    pub good: u64,
    /// Complete responses slower than the latency objective.
    pub late: u64,
    /// Requests rejected without being run.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
}

impl Burn {
    /// Name of the object for `minute` in `data_center`. The minute is zero-padded, so
    /// that the names of a data centre sort by time.
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
