//! Starts the daemon with the settings that it is given.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use tokio::runtime;

use crate::node::settings::Role;
use crate::{cli, daemon, logging, node, settings};

/// Exit status when the settings can't be used and nothing was started.
const UNUSABLE_SETTINGS: u8 = 2;

/// Runs the daemon with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = cli::daemon().get_matches();
    let file = matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let check = matches.get_flag("check");
    match settings::role(&file) {
        Ok(Some(Role::Gateway | Role::Host)) => platform(file, check),
        Ok(None) => own(&file, check),
        Err(e) => unusable(&e),
    }
}

/// Runs a node on the users' platform. One thread serves all: such a VM has a fraction
/// of one core.
fn platform(file: PathBuf, check: bool) -> ExitCode {
    let settings = match node::settings::Settings::load(&file) {
        Ok(settings) => settings,
        Err(e) => return unusable(&e),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let log = match logging::init_bounded(&settings.log.level) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("corianderrampd: can't start the log: {e}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let status = finish(runtime, node::run(settings, file));
    log.drain();
    status
}

/// Runs an entry or an agent.
fn own(file: &std::path::Path, check: bool) -> ExitCode {
    let settings = match settings::Settings::load(file) {
        Ok(settings) => settings,
        Err(e) => return unusable(&e),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.log.level);
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    finish(runtime, daemon::run(settings))
}

fn finish<E: std::fmt::Display>(
    runtime: std::io::Result<runtime::Runtime>,
    work: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let result = match runtime {
        Ok(runtime) => runtime.block_on(work).map_err(|e| e.to_string()),
        Err(e) => Err(format!("can't start the runtime: {e}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("corianderrampd: {e}");
            ExitCode::FAILURE
        }
    }
}

fn unusable(e: &settings::Error) -> ExitCode {
    eprintln!("corianderrampd: {e}");
    ExitCode::from(UNUSABLE_SETTINGS)
}
