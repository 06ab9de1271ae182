//! Open-loop load with seeds and histograms.
//!
//! Requests start at random times that were drawn before, whether or not
//! earlier ones ended, and latencies count from these times, so a slow system
//! can't slow the load down and hide its delays. With no addresses given, the
//! tool runs entries, agents and engines itself, each kind on threads of its
//! own, whose CPU time is reported.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use corianderramp::entry::route;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::engine;
use crate::toolkit::{self, IoSnafu};

mod bench;
mod cpu;
mod generate;
mod summary;

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seed of arrival times, prompts and the engines' event losses.
    pub seed: u64,
    /// Time before requests count, seconds.
    pub warmup_s: u64,
    /// Time in which requests count, seconds.
    pub seconds: u64,
    /// Entries to load; empty for a system of the tool's own.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// Entries of the own system.
    #[serde(default = "one")]
    pub entries: usize,
    /// Targets of the own system.
    #[serde(default = "one")]
    pub targets: usize,
    /// Worker threads of each kind of process of the own system.
    #[serde(default = "two")]
    pub threads: usize,
    /// Engines of the own system.
    #[serde(default)]
    pub engine: engine::Settings,
    /// Name of the model service.
    pub service: String,
    /// Accounts that send requests.
    pub accounts: Vec<Account>,
    /// Tokens of an answer.
    pub tokens: usize,
    /// Different beginnings of prompts; 0 for none.
    #[serde(default)]
    pub prefixes: usize,
    /// Length of a common beginning, bytes.
    #[serde(default)]
    pub prefix_bytes: usize,
    /// Deadline of a request, milliseconds.
    pub deadline_ms: u64,
    /// Time to the first byte up to which a whole answer is good, milliseconds.
    pub good_ms: u64,
    /// Runs, one after the other, each with a system of its own.
    pub runs: Vec<Run>,
}

const fn one() -> usize {
    1
}

const fn two() -> usize {
    2
}

/// Account that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Bearer key.
    pub key: String,
    /// Requests per second.
    pub rate: f64,
    /// Declared limit, requests per second.
    pub limit: f64,
}

/// One run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Name in the results.
    pub name: String,
    /// Whether the engines are asked directly, in turn.
    #[serde(default)]
    pub direct: bool,
    /// Routing of the entries.
    #[serde(default)]
    pub policy: Policy,
    /// Requests per second of each account, in place of the accounts' own.
    #[serde(default)]
    pub rates: Vec<f64>,
}

/// Routing of the entries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// As in operation.
    #[default]
    PowerOfTwo,
    /// Any target.
    Random,
    /// One after the other.
    RoundRobin,
    /// Fewest requests of the entry.
    LeastConnections,
}

impl From<Policy> for route::Policy {
    fn from(policy: Policy) -> Self {
        match policy {
            Policy::PowerOfTwo => Self::PowerOfTwo,
            Policy::Random => Self::Random,
            Policy::RoundRobin => Self::RoundRobin,
            Policy::LeastConnections => Self::LeastConnections,
        }
    }
}

impl Settings {
    /// The settings with the rates of one run.
    #[must_use]
    pub fn for_run(&self, run: &Run) -> Self {
        let mut settings = self.clone();
        for (account, rate) in settings.accounts.iter_mut().zip(&run.rates) {
            account.rate = *rate;
        }
        settings
    }

    fn total(&self) -> Duration {
        Duration::from_secs(self.warmup_s + self.seconds)
    }
}

/// Carries out all runs and writes one JSON line for each to standard output.
///
/// # Errors
/// Fails when an address can't be used.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    for (number, run) in settings.runs.iter().enumerate() {
        let one = settings.for_run(run);
        let summary = if one.addresses.is_empty() {
            bench::run(&one, run, number).await?
        } else {
            let outcomes = generate::run(&one, &one.addresses).await;
            summary::Summary::new(&one, run, &outcomes)
        };
        let line = serde_json::to_string(&summary).map_err(|e| toolkit::Error::Unusable {
            reason: e.to_string(),
        })?;
        writeln!(io::stdout(), "{line}").context(IoSnafu { what: "stdout" })?;
    }
    Ok(())
}
