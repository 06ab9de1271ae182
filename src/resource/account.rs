//! Client accounts and their limits.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};
use crate::digest;

/// Client account: credentials, limits and scheduling weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// SHA-256 digests of the API keys that callers send as bearer tokens. The list may be empty,
    /// so that no key is valid, but not be missing.
    pub keys: Option<Vec<digest::Digest>>,
    /// Rate limit across all entries, requests per second.
    pub rate: f64,
    /// Limit of concurrent requests across all entries.
    pub concurrency: u32,
    /// Weight in weighted fair queueing.
    pub weight: u32,
    /// Priority under overload, 0 (shed first) to 9 (shed last).
    pub priority: u8,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            keys: None,
            rate: 100.0,
            concurrency: 256,
            weight: 1,
            priority: 5,
        }
    }
}

impl Resource for Account {
    const KIND: Kind = Kind::Account;

    fn validate(&self) -> Result<(), Invalid> {
        require(
            self.keys.is_some(),
            "spec.keys",
            "is missing; an empty list lets nobody in",
        )?;
        require(
            self.rate.is_finite() && self.rate > 0.0,
            "spec.rate",
            "must be above 0",
        )?;
        require(self.concurrency > 0, "spec.concurrency", "must be above 0")?;
        require(self.weight > 0, "spec.weight", "must be above 0")?;
        require(self.priority <= 9, "spec.priority", "must be 0 to 9")
    }
}
