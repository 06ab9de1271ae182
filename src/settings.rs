//! Settings of the daemon, one TOML file per process.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::node::settings::Role;
use crate::resource::vm;

/// Why settings can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// Settings file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not valid TOML or has an unknown key or a wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Settings file.
        path: PathBuf,
        /// Cause, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A value is unacceptable.
    #[snafu(display("{}: {key}: {reason}", path.display()))]
    Value {
        /// Settings file.
        path: PathBuf,
        /// Key of the value, with its section.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Role of the process.
    pub role: vm::Role,
    /// Name of the VM, as in the platform's VM list.
    pub vm: String,
    /// Data centre of the VM.
    pub data_center: String,
    /// Region of the data centre.
    pub region: String,
    /// Source address of outgoing connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bind: Option<IpAddr>,
    /// Control addresses of other processes, asked for the configuration at start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Platform's object API; needed by entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<Remote>,
    /// Weight origin; needed by agents of model services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Remote>,
    /// Target behind the agent; needed by agents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Target>,
    /// Transfer of weights.
    #[serde(default)]
    pub weights: Weights,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// At-most-once journal.
    #[serde(default)]
    pub journal: Journal,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen at.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Requests from entries; agents only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<SocketAddr>,
    /// gRPC from other processes of the system.
    pub control: SocketAddr,
    /// Metrics and health for operators.
    pub operators: SocketAddr,
    /// Control address that other processes use, where it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
}

/// An outside system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Remote {
    /// Address.
    pub address: SocketAddr,
}

/// Target behind an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address of the engine or plain service.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: String,
    /// Requests that the target runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

const fn default_slots() -> u32 {
    16
}

/// Transfer of weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Memory for cached chunks, bytes.
    pub cache_bytes: u64,
    /// Highest rate of downloads, bytes per second; 0 for no limit.
    pub download_rate: u64,
    /// Highest rate of uploads, bytes per second; 0 for no limit.
    pub upload_rate: u64,
    /// Chunks uploaded at the same time.
    pub upload_slots: usize,
    /// Chunks downloaded at the same time.
    pub download_slots: usize,
    /// Time without progress after which another source is tried, milliseconds.
    pub stall_ms: u64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cache_bytes: 64 * 1024 * 1024,
            download_rate: 0,
            upload_rate: 0,
            upload_slots: 4,
            download_slots: 4,
            stall_ms: 2_000,
        }
    }
}

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Largest request header, bytes.
    pub header_bytes: usize,
    /// Time within which a request's header must arrive, milliseconds.
    pub header_ms: u64,
    /// Time without progress after which a caller's body or connection is given up, milliseconds.
    pub idle_ms: u64,
    /// Requests in progress at one entry.
    pub requests: usize,
    /// Longest time that a planned stop waits for requests in progress, milliseconds.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            header_bytes: 64 * 1024,
            header_ms: 10_000,
            idle_ms: 30_000,
            requests: 4096,
            drain_ms: 600_000,
        }
    }
}

/// At-most-once journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Journal {
    /// Number of shards; must be the same in every process and never change.
    pub shards: u16,
    /// Shortest time between two writes of a shard, milliseconds.
    pub batch_ms: u64,
    /// Time that keys are remembered, milliseconds.
    pub retention_ms: u64,
    /// Time in which callers still resend after a lost owner, milliseconds.
    pub resend_ms: u64,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            shards: 8,
            batch_ms: 100,
            retention_ms: 3_600_000,
            resend_ms: 120_000,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, the line and the key that can't be used.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Reads and checks settings from `text`; `path` is named in errors.
    ///
    /// # Errors
    /// Names the line and the key that can't be used.
    ///
    /// ```
    /// use std::path::Path;
    ///
    /// use corianderramp::settings;
    ///
    /// let error = settings::Settings::parse("rolle = 'entry'", Path::new("a.toml")).unwrap_err();
    /// assert!(error.to_string().contains("line 1"));
    /// ```
    pub fn parse(text: &str, path: &Path) -> Result<Self, Error> {
        let parsed = toml::from_str::<Self>(text).map_err(Box::new);
        let settings = parsed.context(ParseSnafu { path })?;
        settings.check().map_err(|(key, reason)| Error::Value {
            path: path.to_owned(),
            key: key.into(),
            reason: reason.into(),
        })?;
        Ok(settings)
    }

    /// Control address that other processes use.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.listen.advertise.unwrap_or(self.listen.control)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let need = |present: bool, key, reason| if present { Ok(()) } else { Err((key, reason)) };
        need(!self.vm.is_empty(), "vm", "must not be empty")?;
        need(
            !self.data_center.is_empty(),
            "data_center",
            "must not be empty",
        )?;
        match self.role {
            vm::Role::Entry => {
                need(
                    self.listen.callers.is_some(),
                    "listen.callers",
                    "an entry needs it",
                )?;
                need(
                    self.platform.is_some(),
                    "platform.address",
                    "an entry needs it",
                )?;
            }
            vm::Role::Target => {
                need(
                    self.listen.requests.is_some(),
                    "listen.requests",
                    "an agent needs it",
                )?;
                need(self.target.is_some(), "target.address", "an agent needs it")?;
            }
        }
        need(
            self.weights.cache_bytes > 0,
            "weights.cache_bytes",
            "must be above 0",
        )?;
        need(
            self.weights.upload_slots > 0,
            "weights.upload_slots",
            "must be above 0",
        )?;
        need(
            self.weights.download_slots > 0,
            "weights.download_slots",
            "must be above 0",
        )?;
        need(
            self.weights.stall_ms > 0,
            "weights.stall_ms",
            "must be above 0",
        )?;
        need(self.journal.shards > 0, "journal.shards", "must be above 0")?;
        need(
            self.journal.batch_ms > 0,
            "journal.batch_ms",
            "must be above 0",
        )?;
        let level = self.log.level.parse::<log::LevelFilter>();
        need(
            level.is_ok(),
            "log.level",
            "must be error, warn, info, debug or trace",
        )
    }
}

/// Role of a node on the users' platform that a settings file names; `None` for the
/// roles of this module's [`Settings`] and for files that these reject.
///
/// # Errors
/// Fails when the file can't be read.
pub fn role(path: &Path) -> Result<Option<Role>, Error> {
    #[derive(Deserialize)]
    struct Named {
        role: Role,
    }
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    Ok(toml::from_str::<Named>(&text).ok().map(|n| n.role))
}
