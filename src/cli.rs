//! Command-line arguments of both programs.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Arguments of the daemon: `corianderrampd [--check] FILE`.
///
/// ```
/// use std::path::PathBuf;
///
/// use corianderramp::cli;
///
/// let matches = cli::daemon().get_matches_from(["corianderrampd", "--check", "entry.toml"]);
/// assert_eq!(matches.get_one::<PathBuf>("file"), Some(&PathBuf::from("entry.toml")));
/// assert!(matches.get_flag("check"));
/// ```
#[must_use]
pub fn daemon() -> Command {
    Command::new("corianderrampd")
        .about("Runs an entry or an agent of corianderramp")
        .version(clap::crate_version!())
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit: 0 when it can be used, 1 otherwise"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings, a TOML file"),
        )
}
