//! Command-line arguments of both programs.

use std::path::PathBuf;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::resource::Kind;

/// Seconds for which outages of the platform are retried.
pub const RETRY_S: u64 = 30;

/// Seconds for which `--wait` waits.
const WITHIN_S: &str = "60";

/// Chunk size of new models, bytes.
const CHUNK_SIZE: &str = "1048576";

/// Exit statuses, shown in the help and the manual page.
const STATUSES: &str = "Exit status:
  0  done; `diff` found no difference
  1  `diff` found a difference
  2  wrong usage, or a file or an object in it is not valid; nothing was written
  4  an object was changed by someone else meanwhile; it was not written
  5  the platform could not be reached within the time given with --retry
  6  written, but not in force or not live everywhere within the time given with --within
  7  an object does not exist
  8  refused by the platform, or the output could not be written";

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
        .arg(flag(
            "check",
            "Check the settings file and exit: 0 when it can be used, 2 otherwise",
        ))
        .arg(path("file").required(true).help("Settings, a TOML file"))
}

/// Arguments of the operators' tool.
///
/// ```
/// use corianderramp::cli;
///
/// let line = ["corianderramp", "get", "Rollout", "--output", "json"];
/// let matches = cli::operator().try_get_matches_from(line).unwrap();
/// assert_eq!(matches.subcommand_name(), Some("get"));
/// ```
#[must_use]
pub fn operator() -> Command {
    Command::new("corianderramp")
        .about("Declares and observes the objects of corianderramp")
        .version(clap::crate_version!())
        .after_help(STATUSES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .disable_help_subcommand(true)
        .args(global())
        .subcommands([apply(), diff(), get(), watch(), delete(), drain()])
        .subcommands([check(), model(), report(), completions(), man()])
}

fn global() -> [Arg; 4] {
    [
        Arg::new("platform")
            .long("platform")
            .value_name("IP:PORT")
            .env("CORIANDERRAMP_PLATFORM")
            .hide_env(true)
            .global(true)
            .help("Address of the platform's object API, otherwise CORIANDERRAMP_PLATFORM"),
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .env("CORIANDERRAMP_CONFIG")
            .hide_env(true)
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help(
                "TOML file with `platform` and `retry`, used where no argument is given; \
                 otherwise CORIANDERRAMP_CONFIG or ~/.config/corianderramp/config.toml",
            ),
        Arg::new("retry")
            .long("retry")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64))
            .global(true)
            .help(format!(
                "Time for which outages of the platform are retried [default: {RETRY_S}]"
            )),
        Arg::new("output")
            .long("output")
            .short('o')
            .value_name("FORMAT")
            .value_parser(["table", "json", "toml"])
            .default_value("table")
            .global(true)
            .help("Table for people, JSON for programs; `get` also writes TOML for `apply`"),
    ]
}

fn apply() -> Command {
    Command::new("apply")
        .about("Writes the objects of files, after a check of all of them")
        .arg(files())
        .arg(flag(
            "wait",
            "Wait until every data centre reports the revision in force",
        ))
        .arg(within().default_value(WITHIN_S))
        .arg(flag("dry-run", "Only show what would be written"))
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows how the objects of files differ from the platform's")
        .arg(files())
}

fn get() -> Command {
    Command::new("get")
        .about("Shows objects")
        .arg(kind())
        .arg(name().help("Name of one object; all of the kind otherwise"))
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follows a rollout until all targets serve its version")
        .arg(name().value_name("ROLLOUT").required(true))
        .arg(within())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Deletes an object")
        .arg(kind())
        .arg(name().required(true))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Asks a VM to finish its requests and take no new ones")
        .arg(name().value_name("VM").required(true))
        .arg(
            Arg::new("reason")
                .long("reason")
                .default_value("")
                .help("Why, for other operators"),
        )
        .arg(flag("cancel", "Withdraw the request"))
        .arg(flag(
            "wait",
            "Wait until every data centre reports the revision in force",
        ))
        .arg(within().default_value(WITHIN_S))
}

fn check() -> Command {
    Command::new("check")
        .about("Checks settings files and object files without the platform")
        .arg(files())
}

fn model() -> Command {
    Command::new("model")
        .about("Prints the Model object of a weights file")
        .arg(path("file").required(true).help("Weights"))
        .arg(Arg::new("model").long("model").required(true).help("Model"))
        .arg(
            Arg::new("version")
                .long("model-version")
                .required(true)
                .help("Version, unique within the model"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("MODEL@VERSION")
                .help("Base of an adapter"),
        )
        .arg(
            Arg::new("chunk")
                .long("chunk-size")
                .value_name("BYTES")
                .value_parser(value_parser!(u32))
                .default_value(CHUNK_SIZE)
                .help("Size of each chunk but the last"),
        )
        .arg(
            path("blobs")
                .long("blobs")
                .value_name("DIRECTORY")
                .help("Also write each chunk to a file that is named after its digest"),
        )
}

fn report() -> Command {
    let burn = Command::new("burn")
        .about("Error budget of services and accounts: burn rates and what spent it")
        .arg(
            Arg::new("service")
                .long("service")
                .help("Only this service"),
        )
        .arg(
            Arg::new("account")
                .long("account")
                .help("Only this account"),
        )
        .arg(
            path("svg")
                .long("svg")
                .help("Also draw the burn rates of the last 6 h to this file"),
        );
    Command::new("report")
        .about("Reports about the past hours")
        .disable_help_subcommand(true)
        .subcommand_required(true)
        .subcommand(burn)
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints the completions of a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

fn man() -> Command {
    Command::new("man")
        .about("Prints a manual page")
        .arg(Arg::new("command").help(
            "Subcommand such as `apply` or `report-burn`, or `daemon`; the tool itself otherwise",
        ))
}

fn flag(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}

fn path(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn files() -> Arg {
    path("files")
        .required(true)
        .num_args(1..)
        .help("TOML files")
}

fn kind() -> Arg {
    let names = Kind::ALL.map(Kind::name);
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .ignore_case(true)
        .value_parser(PossibleValuesParser::new(names))
        .help("Kind of the object")
}

fn name() -> Arg {
    Arg::new("name").value_name("NAME").help("Name")
}

fn within() -> Arg {
    Arg::new("within")
        .long("within")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64))
        .help("Longest time to wait")
}

/// Files of the arguments.
pub(crate) fn paths(matches: &ArgMatches) -> Vec<PathBuf> {
    let files = matches.get_many("files").into_iter().flatten();
    files.cloned().collect()
}

/// Time that `--within` gives.
pub(crate) fn limit(matches: &ArgMatches) -> Option<Duration> {
    let seconds = matches.get_one::<u64>("within");
    seconds.copied().map(Duration::from_secs)
}

/// Text of a required argument or of one with a default; empty when it is absent.
pub(crate) fn text<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).map_or("", String::as_str)
}
