//! `man`: prints manual pages.

use clap::{ArgMatches, Command};
use clap_mangen::Man;
use snafu::ResultExt;

use super::console::Console;
use super::error::{Error, OutputSnafu, UsageSnafu};
use crate::cli;

/// Runs the subcommand.
///
/// # Errors
/// Fails for an unknown subcommand.
pub fn run(args: &ArgMatches, console: &Console) -> Result<u8, Error> {
    console.write(&render(cli::text(args, "command"))?)?;
    Ok(0)
}

/// Manual page of a subcommand such as `apply` or `report-burn`, of the daemon for `daemon`, of the tool when
/// `name` is empty.
///
/// # Errors
/// Fails for an unknown subcommand.
pub fn render(name: &str) -> Result<String, Error> {
    let Some(command) = command(name) else {
        let reason = format!("no manual page for {name:?}; see `corianderramp --help`");
        return UsageSnafu { reason }.fail();
    };
    let mut page = Vec::new();
    Man::new(command).render(&mut page).context(OutputSnafu)?;
    Ok(String::from_utf8_lossy(&page).into_owned())
}

fn command(name: &str) -> Option<Command> {
    let mut tool = cli::operator();
    tool.build();
    match name {
        "" => Some(tool),
        "daemon" => Some(cli::daemon()),
        name => {
            let mut path = name.split('-');
            let found = path.try_fold(&tool, |c, part| c.find_subcommand(part));
            Some(found?.clone().display_name(format!("corianderramp-{name}")))
        }
    }
}
