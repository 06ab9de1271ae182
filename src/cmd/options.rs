//! Options that all subcommands share, from arguments, environment and a file.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use serde::Deserialize;

use super::console::Format;
use super::error::{Error, UsageSnafu};
use super::files;
use crate::cli;

/// Options of calls to the platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Time for which outages are retried.
    pub retry: Duration,
}

/// The file that `--config` names.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    platform: Option<String>,
    retry: Option<u64>,
}

/// Format that `--output` asks for.
#[must_use]
pub fn format(matches: &ArgMatches) -> Format {
    let args = matches.subcommand().map_or(matches, |(_, args)| args);
    match cli::text(args, "output") {
        "json" => Format::Json,
        "toml" => Format::Toml,
        _ => Format::Table,
    }
}

impl Options {
    /// Reads the options; arguments and the environment come before the file.
    ///
    /// # Errors
    /// Says where to give the platform's address when it is missing or malformed.
    pub fn load(args: &ArgMatches) -> Result<Self, Error> {
        let file = match args.get_one::<PathBuf>("config") {
            Some(path) => read(path)?,
            None => default_file().map_or_else(|| Ok(File::default()), |p| read(&p))?,
        };
        let given = args.get_one::<String>("platform").cloned();
        let Some(address) = given.or(file.platform) else {
            let reason = "the platform's address is missing: give --platform, \
                          CORIANDERRAMP_PLATFORM or `platform` in the --config file";
            return UsageSnafu { reason }.fail();
        };
        let platform = address.parse().map_err(|_| Error::Usage {
            reason: format!("platform: {address:?} is not of the form IP:PORT"),
        })?;
        let retry = args.get_one::<u64>("retry").copied().or(file.retry);
        Ok(Self {
            platform,
            retry: Duration::from_secs(retry.unwrap_or(cli::RETRY_S)),
        })
    }
}

fn read(path: &Path) -> Result<File, Error> {
    let text =
        fs::read_to_string(path).map_err(|e| Error::invalid(format!("{}: {e}", path.display())))?;
    toml::from_str(&text).map_err(|e| Error::invalid(files::located(path, &text, &e)))
}

/// The operator's own file, where there is one.
fn default_file() -> Option<PathBuf> {
    let base = env::var_os("XDG_CONFIG_HOME")
        .map(PathBuf::from)
        .or_else(|| env::var_os("HOME").map(|home| PathBuf::from(home).join(".config")))?;
    let path = base.join("corianderramp").join("config.toml");
    path.is_file().then_some(path)
}
