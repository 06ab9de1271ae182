//! `report`: reports of the system's behaviour.

use clap::ArgMatches;

use super::console::Console;
use super::error::{Error, UsageSnafu};
use super::options::Options;

/// Runs the subcommand.
///
/// # Errors
/// Fails when the platform can't be reached in time.
#[allow(clippy::unused_async)]
pub async fn run(_args: &ArgMatches, _options: &Options, _console: &Console) -> Result<u8, Error> {
    UsageSnafu {
        reason: "report burn is not available yet",
    }
    .fail()
}
