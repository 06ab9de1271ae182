//! Settings of the daemon, read from one TOML file per process.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::node::settings::Role;
use crate::resource::vm;

/// Errors from reading and validating a settings file.
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
    /// The file is not valid TOML, lacks a required key, or has an unknown key or a value
    /// of the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Settings file.
        path: PathBuf,
        /// Cause, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A value is invalid or, for the role, missing.
    #[snafu(display("{}: {key}: {reason}", path.display()))]
    Value {
        /// Settings file.
        path: PathBuf,
        /// Key with its section, such as `weights.stall_ms`.
        key: String,
        /// Why the value is invalid.
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
    /// Control addresses of processes from which the configuration is requested at start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Listening addresses.
    pub listen: Listen,
    /// Platform's object API; required for entries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<Remote>,
    /// Origin of the weights; needed by agents of model services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Remote>,
    /// Target behind the agent; required for agents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Target>,
    /// Cache and transfer of weights.
    #[serde(default)]
    pub weights: Weights,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// At-most-once journal.
    #[serde(default)]
    pub journal: Journal,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Listening addresses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP requests from callers; entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Requests from entries; agents only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<SocketAddr>,
    /// gRPC calls from other processes of the system.
    pub control: SocketAddr,
    /// Metrics and health endpoints for operators.
    pub operators: SocketAddr,
    /// Control address that other processes connect to, if it differs from `control`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
}

/// An external system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Remote {
    /// Address of the system.
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
    /// Largest number of requests that the target runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

const fn default_slots() -> u32 {
    16
}

/// Cache and transfer of weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Size of the chunk cache in memory, bytes.
    pub cache_bytes: u64,
    /// Rate limit of downloads, bytes per second; 0 for no limit.
    pub download_rate: u64,
    /// Rate limit of uploads, bytes per second; 0 for no limit.
    pub upload_rate: u64,
    /// Largest number of concurrent chunk uploads.
    pub upload_slots: usize,
    /// Largest number of concurrent chunk downloads.
    pub download_slots: usize,
    /// Time without progress after which a download is retried from another source,
    /// milliseconds.
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

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Largest request header, bytes.
    pub header_bytes: usize,
    /// Timeout for receiving a request's header, milliseconds.
    pub header_ms: u64,
    /// Idle timeout of a request body or a caller's connection, milliseconds.
    pub idle_ms: u64,
    /// Largest number of concurrent requests at one entry.
    pub requests: usize,
    /// Longest time that a graceful shutdown waits for requests in progress, milliseconds.
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
    /// Shortest interval between two writes of a shard, milliseconds.
    pub batch_ms: u64,
    /// Time for which keys are retained, milliseconds.
    pub retention_ms: u64,
    /// Time for which callers may still resend requests after the owner of a shard was
    /// lost, milliseconds.
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
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Names the file and, unless it can't be read, the line or key that is invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and validates settings; errors name `path` as the source of `text`.
    ///
    /// # Errors
    /// Names the line or key that is invalid.
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
        settings.validate().map_err(|(key, reason)| Error::Value {
            path: path.to_owned(),
            key: key.into(),
            reason: reason.into(),
        })?;
        Ok(settings)
    }

    /// Control address that other processes connect to.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.listen.advertise.unwrap_or(self.listen.control)
    }

    /// Validates the values; an error holds the key and the reason.
    fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |valid: bool, key, reason| if valid { Ok(()) } else { Err((key, reason)) };
        require(!self.vm.is_empty(), "vm", "must not be empty")?;
        require(
            !self.data_center.is_empty(),
            "data_center",
            "must not be empty",
        )?;
        match self.role {
            vm::Role::Entry => {
                require(
                    self.listen.callers.is_some(),
                    "listen.callers",
                    "required for entries",
                )?;
                require(
                    self.platform.is_some(),
                    "platform.address",
                    "required for entries",
                )?;
            }
            vm::Role::Target => {
                require(
                    self.listen.requests.is_some(),
                    "listen.requests",
                    "required for agents",
                )?;
                require(
                    self.target.is_some(),
                    "target.address",
                    "required for agents",
                )?;
            }
        }
        require(
            self.weights.cache_bytes > 0,
            "weights.cache_bytes",
            "must be above 0",
        )?;
        require(
            self.weights.upload_slots > 0,
            "weights.upload_slots",
            "must be above 0",
        )?;
        require(
            self.weights.download_slots > 0,
            "weights.download_slots",
            "must be above 0",
        )?;
        require(
            self.weights.stall_ms > 0,
            "weights.stall_ms",
            "must be above 0",
        )?;
        require(self.journal.shards > 0, "journal.shards", "must be above 0")?;
        require(
            self.journal.batch_ms > 0,
            "journal.batch_ms",
            "must be above 0",
        )?;
        let level = self.log.level.parse::<log::LevelFilter>();
        require(
            level.is_ok(),
            "log.level",
            "must be error, warn, info, debug or trace",
        )
    }
}

/// Reads the role from the settings file of a node on the users' platform. `None` if the
/// file is not valid TOML or has no such role, as is the case for this module's
/// [`Settings`].
///
/// # Errors
/// Fails if the file can't be read.
pub fn role(path: &Path) -> Result<Option<Role>, Error> {
    #[derive(Deserialize)]
    struct RoleOnly {
        role: Role,
    }
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    Ok(toml::from_str::<RoleOnly>(&text).ok().map(|r| r.role))
}
