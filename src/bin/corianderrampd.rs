//! Daemon of corianderramp.

use std::path::PathBuf;
use std::process::ExitCode;

use corianderramp::{cli, daemon, logging, settings};

/// Exit status when the settings can't be used and nothing was started.
const UNUSABLE_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::daemon().get_matches();
    let file = matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    let settings = match settings::Settings::load(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("corianderrampd: {e}");
            return ExitCode::from(UNUSABLE_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.log.level);
    if let Err(e) = daemon::run(settings).await {
        eprintln!("corianderrampd: {e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
