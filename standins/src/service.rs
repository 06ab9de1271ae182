//! Stand-in or tool: service.

use serde::Deserialize;

use crate::toolkit;

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {}

/// Runs until the process is stopped.
///
/// # Errors
/// Fails when its settings can't be used.
#[allow(clippy::unused_async)]
pub async fn run(_settings: Settings) -> Result<(), toolkit::Error> {
    Err(toolkit::Error::Unusable {
        reason: "not implemented yet".into(),
    })
}
