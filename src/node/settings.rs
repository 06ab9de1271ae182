//! Settings of a node on the users' platform, one TOML file per process.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::settings::{Error, Log, ParseSnafu, ReadSnafu};

/// What a node does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves callers.
    Gateway,
    /// Manages the places and the weights of the target on its VM.
    Host,
}

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What the node does.
    pub role: Role,
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_center: String,
    /// Region of the data centre.
    pub region: String,
    /// Regions by data centre.
    #[serde(default)]
    pub centers: BTreeMap<String, String>,
    /// Address of the VM.
    pub address: IpAddr,
    /// First and last port for messages between nodes; the same on all VMs.
    pub ports: [u16; 2],
    /// Addresses that the gateway listens at.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<Listen>,
    /// Platform's store.
    pub store: SocketAddr,
    /// Target on the VM; needed by hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Target>,
    /// Rate of the VM's own link, megabits a second, each way.
    pub link_mbps: f64,
    /// Time limits of the deployment.
    pub bounds: Bounds,
    /// Address at which metrics are served.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

/// Addresses that a gateway listens at.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness probes.
    pub probes: SocketAddr,
}

/// Target beside a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address of the target.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: String,
}

/// Time limits of the deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL, milliseconds.
    pub stop_ms: u64,
    /// Time until requests no longer begin on weights older than those named, milliseconds.
    pub weights_ms: u64,
}

impl Bounds {
    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }

    /// Time until requests no longer begin on weights older than those named.
    #[must_use]
    pub fn weights_limit(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails when the file can't be read or a value is missing, unknown or unacceptable.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let parsed: Result<Self, _> = toml::from_str(&text);
        let settings = parsed.map_err(Box::new).context(ParseSnafu { path })?;
        settings.check().map_err(|(key, reason)| Error::Value {
            path: path.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        })?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.ports[0] == 0 || self.ports[0] > self.ports[1] {
            return Err(("ports", "must be the first and the last port of a range"));
        }
        if self.bounds.stop_ms == 0 {
            return Err(("bounds.stop_ms", "must be over 0"));
        }
        if self.link_mbps.is_nan() || self.link_mbps <= 0.0 {
            return Err(("link_mbps", "must be over 0"));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            return Err((
                "log.level",
                "must be off, error, warn, info, debug or trace",
            ));
        }
        match self.role {
            Role::Gateway if self.listen.is_none() => {
                Err(("listen", "is needed by the role gateway"))
            }
            Role::Host if self.target.is_none() => Err(("target", "is needed by the role host")),
            _ => Ok(()),
        }
    }

    /// Data centres and their regions, sorted.
    #[must_use]
    pub fn data_center_regions(&self) -> Vec<(String, String)> {
        self.centers.clone().into_iter().collect()
    }

    /// Data centres of the own region, sorted.
    #[must_use]
    pub fn region_data_centers(&self) -> Vec<String> {
        let same = self.centers.iter().filter(|(_, r)| **r == self.region);
        same.map(|(centre, _)| centre.clone()).collect()
    }

    /// Address for messages of other nodes.
    #[must_use]
    pub fn message_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.ports[0])
    }
}
