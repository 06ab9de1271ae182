//! Stand-ins for the systems around corianderramp, for tests and experiments.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use standins::{
    args, capacity, engine, experiment, load, origin, platform, relay, service, toolkit,
};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let Some((name, tool)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let Some(file) = tool.get_one::<PathBuf>("file") else {
        return ExitCode::from(2);
    };
    match run(name, file).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standins {name}: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(name: &str, file: &Path) -> Result<(), toolkit::Error> {
    match name {
        "platform" => platform::run(toolkit::load(file)?).await,
        "origin" => origin::run(toolkit::load(file)?).await,
        "engine" => engine::run(toolkit::load(file)?).await,
        "service" => service::run(toolkit::load(file)?).await,
        "relay" => relay::run(toolkit::load(file)?).await,
        "capacity" => capacity::run(toolkit::load(file)?).await,
        "load" => load::run(toolkit::load(file)?).await,
        _ => experiment::run(toolkit::load(file)?).await,
    }
}
