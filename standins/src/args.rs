//! Command-line arguments of the stand-ins: `standins NAME FILE`.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Stand-ins and tools with a line about each; every one reads a TOML file.
pub const TOOLS: [(&str, &str); 8] = [
    (
        "platform",
        "object API of the platform with outages, delays and lost answers",
    ),
    ("origin", "rate-limited origin of weights"),
    ("engine", "model engines"),
    ("service", "plain services that record every execution"),
    (
        "relay",
        "TCP relay that limits, cuts, freezes and corrupts links",
    ),
    ("load", "open-loop load on entries"),
    (
        "experiment",
        "rollouts at several sizes, with tables and plots",
    ),
    (
        "capacity",
        "processor time, memory and platform calls at several sizes, with slopes",
    ),
];

/// The command with all its subcommands.
#[must_use]
pub fn command() -> Command {
    let file = || {
        Arg::new("file")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("TOML file")
    };
    let tools = TOOLS.map(|(name, about)| Command::new(name).about(about).arg(file()));
    Command::new("standins")
        .subcommand_required(true)
        .subcommands(tools)
}
