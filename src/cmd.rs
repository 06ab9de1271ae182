//! Subcommands of the operators' tool, one file each.

use std::process::ExitCode;

use clap::ArgMatches;
use tokio::runtime;

use crate::cli;

pub mod apply;
pub mod changes;
pub mod check;
pub mod completions;
pub mod console;
pub mod daemon;
pub mod delete;
pub mod diff;
pub mod drain;
pub mod error;
pub mod files;
pub mod force;
pub mod get;
pub mod man;
pub mod model;
pub mod options;
pub mod plan;
pub mod plot;
pub mod progress;
pub mod references;
pub mod remote;
pub mod report;
pub mod table;
pub mod watch;

use console::Console;
use error::Error;
use options::Options;

/// Exit status of `diff` when there is a difference.
pub const DIFFERENT: u8 = 1;

/// Runs the operators' tool with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = cli::operator().get_matches();
    let console = Console::standard(options::format(&matches));
    match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => ExitCode::from(runtime.block_on(run(&matches, &console))),
        Err(e) => {
            console.note(&format!("corianderramp: can't start: {e}"));
            ExitCode::from(error::FAILED)
        }
    }
}

/// Runs a subcommand, reports its error on the console and returns the exit status.
pub async fn run(matches: &ArgMatches, console: &Console) -> u8 {
    match dispatch(matches, console).await {
        Ok(status) => status,
        // The reader has what it wanted, as in `corianderramp get Vm | head`.
        Err(e) if e.is_broken_pipe() => 0,
        Err(e) => {
            console.error(&e);
            e.status()
        }
    }
}

async fn dispatch(matches: &ArgMatches, console: &Console) -> Result<u8, Error> {
    let Some((name, args)) = matches.subcommand() else {
        return error::UsageSnafu {
            reason: "a subcommand is needed",
        }
        .fail();
    };
    match name {
        "check" => return check::run(args, console),
        "completions" => return completions::run(args, console),
        "man" => return man::run(args, console),
        "model" => return model::run(args, console),
        _ => {}
    }
    let options = Options::load(args)?;
    match name {
        "apply" => apply::run(args, &options, console).await,
        "diff" => diff::run(args, &options, console).await,
        "get" => get::run(args, &options, console).await,
        "watch" => watch::run(args, &options, console).await,
        "delete" => delete::run(args, &options, console).await,
        "drain" => drain::run(args, &options, console).await,
        _ => report::run(args, &options, console).await,
    }
}
