//! Parts of a configuration that a node can't read.

use serde::{Deserialize, Serialize};

/// A part that was left out or replaced by its default.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Where it is, such as `route plan: priority`.
    pub part: String,
    /// Why it can't be read.
    pub reason: String,
}
