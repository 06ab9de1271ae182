//! Settings of a node on the users' platform, read from one TOML file per process.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::place::cold;
use crate::settings::{Error, Log, ParseSnafu, ReadSnafu};

mod figures;

/// Role of a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers and sends them to targets.
    Gateway,
    /// Grants the slots of the target on its VM and keeps its weights current.
    Host,
}

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Role of the node.
    pub role: Role,
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_center: String,
    /// Region of the data centre.
    pub region: String,
    /// Region of each data centre, by the data centre's name.
    #[serde(default)]
    pub centers: BTreeMap<String, String>,
    /// Address of the VM.
    pub address: IpAddr,
    /// First and last port reserved for traffic between nodes, the same on all VMs; the
    /// first one is used.
    pub ports: [u16; 2],
    /// Listening addresses; required for gateways.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<Listen>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Target on the VM; required for hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Target>,
    /// Bandwidth of the VM's link in each direction, Mbit/s.
    pub link_mbps: f64,
    /// Time limits of the deployment.
    pub bounds: Bounds,
    /// Listening address of the metrics endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
    /// Optional parts of placement.
    #[serde(default)]
    pub placement: Placement,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Optional parts of placement. Both are off by default: on the users' bench they cost more callers
/// their objective than they served in addition.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Whether waits are limited by the predicted time to the first event, and follow the pace of
    /// engines.
    pub forecast: bool,
    /// Whether returning callers wait at gateways for a place.
    pub returning: bool,
}

impl Placement {
    /// All parts.
    pub const ALL: Self = Self {
        forecast: true,
        returning: true,
    };
}

/// Listening addresses of a gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes of the load balancer.
    pub probes: SocketAddr,
}

/// Target on the VM of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address of the target.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: String,
}

/// Time limits of the deployment. In files, each may have a fraction; those of a millisecond are
/// cut off.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "figures::Bounds")]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL, milliseconds.
    pub stop_ms: u64,
    /// Time after the release of a version within which requests must stop starting on
    /// older weights, milliseconds.
    pub weights_ms: u64,
    /// Time after a change of the configuration within which it must be in force,
    /// milliseconds.
    pub config_ms: u64,
    /// Time after a target has said that it leaves, or was removed, within which it must get no
    /// more requests, milliseconds. Without it, that of the configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
    /// Time after an evacuation of a data centre within which it must be in force,
    /// milliseconds. Without it, evacuations are not followed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evacuation_ms: Option<u64>,
    /// Multiple of its rate that a cold target may get in a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_overage: Option<f64>,
    /// Requests beyond it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_slack: Option<f64>,
}

impl Bounds {
    /// Creates the bounds of a deployment without evacuations and cold targets.
    #[must_use]
    pub const fn new(stop_ms: u64, weights_ms: u64, config_ms: u64) -> Self {
        Self {
            stop_ms,
            weights_ms,
            config_ms,
            leaving_ms: None,
            evacuation_ms: None,
            cold_overage: None,
            cold_slack: None,
        }
    }

    /// Time after a change of the configuration within which it must be in force.
    #[must_use]
    pub fn config_limit(&self) -> Duration {
        Duration::from_millis(self.config_ms)
    }

    /// Time after a target has said that it leaves within which it must get no more requests.
    #[must_use]
    pub fn leaving_limit(&self) -> Duration {
        self.leaving_ms
            .map_or(self.config_limit(), Duration::from_millis)
    }

    /// Time after an evacuation within which it must be in force; `None` if they are not followed.
    #[must_use]
    pub fn evacuation_limit(&self) -> Option<Duration> {
        self.evacuation_ms.map(Duration::from_millis)
    }

    /// Bound on the requests to cold targets; deployments that state none get the plain rate.
    #[must_use]
    pub fn cold(&self) -> cold::Bound {
        cold::Bound {
            overage: self.cold_overage.unwrap_or(1.0),
            slack: self.cold_slack.unwrap_or(0.0),
        }
    }

    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }

    /// Time after the release of a version within which requests must stop starting on
    /// older weights.
    #[must_use]
    pub fn weights_limit(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Fails when the file can't be read or parsed, or when a value is missing, unknown or
    /// out of range.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let parsed: Result<Self, _> = toml::from_str(&text);
        let settings = parsed.map_err(Box::new).context(ParseSnafu { path })?;
        settings.validate().map_err(|(key, reason)| Error::Value {
            path: path.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        })?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        if self.ports[0] == 0 || self.ports[0] > self.ports[1] {
            return Err((
                "ports",
                "must be the first and last port of a range, both over 0",
            ));
        }
        if self.bounds.stop_ms == 0 {
            return Err(("bounds.stop_ms", "must be greater than 0"));
        }
        if self.bounds.config_ms == 0 {
            return Err(("bounds.config_ms", "must be greater than 0"));
        }
        if self.bounds.leaving_ms == Some(0) {
            return Err(("bounds.leaving_ms", "must be greater than 0"));
        }
        if self.bounds.evacuation_ms == Some(0) {
            return Err(("bounds.evacuation_ms", "must be greater than 0"));
        }
        let is_bad =
            |value: Option<f64>, least: f64| value.is_some_and(|v| !v.is_finite() || v < least);
        if is_bad(self.bounds.cold_overage, 1.0) {
            return Err(("bounds.cold_overage", "must be at least 1"));
        }
        if is_bad(self.bounds.cold_slack, 0.0) {
            return Err(("bounds.cold_slack", "must not be negative"));
        }
        if self.link_mbps.is_nan() || self.link_mbps <= 0.0 {
            return Err(("link_mbps", "must be greater than 0"));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            return Err((
                "log.level",
                "must be off, error, warn, info, debug or trace",
            ));
        }
        match self.role {
            Role::Gateway if self.listen.is_none() => {
                Err(("listen", "is required for the role gateway"))
            }
            Role::Host if self.target.is_none() => Err(("target", "is required for the role host")),
            _ => Ok(()),
        }
    }

    /// Pairs of data centre and region, sorted by data centre.
    #[must_use]
    pub fn data_center_regions(&self) -> Vec<(String, String)> {
        self.centers.clone().into_iter().collect()
    }

    /// Data centres of this node's region, sorted.
    #[must_use]
    pub fn region_data_centers(&self) -> Vec<String> {
        let same = self.centers.iter().filter(|(_, r)| **r == self.region);
        same.map(|(centre, _)| centre.clone()).collect()
    }

    /// Address for datagrams and HTTP requests from other nodes.
    #[must_use]
    pub fn message_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.ports[0])
    }
}
