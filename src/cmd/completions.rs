//! `completions`: prints the completions of a shell.

use clap::ArgMatches;
use clap_complete::Shell;

use super::console::Console;
use super::error::{Error, UsageSnafu};
use crate::cli;

/// Runs the subcommand.
///
/// # Errors
/// Fails when standard output can't be written.
pub fn run(args: &ArgMatches, console: &Console) -> Result<u8, Error> {
    let Some(shell) = args.get_one::<Shell>("shell") else {
        return UsageSnafu {
            reason: "a shell is needed",
        }
        .fail();
    };
    console.write(&render(*shell))?;
    Ok(0)
}

/// Completions of `shell`.
#[must_use]
pub fn render(shell: Shell) -> String {
    let mut command = cli::operator();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "corianderramp", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
