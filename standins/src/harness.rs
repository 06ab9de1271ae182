//! Starts real `corianderrampd` processes for tests and experiments, each on
//! its own loopback address, and ends those that it started.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use corianderramp::resource::{Object, vm};
use corianderramp::settings;
use snafu::{OptionExt, ResultExt};
use tokio::time::{self, Instant};

use crate::toolkit::{self, IoSnafu, UnusableSnafu};

pub mod process;

/// Port of callers at entries.
pub const CALLERS_PORT: u16 = 8080;
/// Port of requests at agents.
pub const REQUESTS_PORT: u16 = 7001;
/// Port of control connections.
pub const CONTROL_PORT: u16 = 7000;
/// Port of metrics and health.
pub const OPERATORS_PORT: u16 = 7002;
/// Port of a target's engine or plain service.
pub const TARGET_PORT: u16 = 9000;

/// Addresses of one test: 127.a.b.0/24, so that tests run side by side.
#[derive(Clone, Copy, Debug)]
pub struct Subnet {
    a: u8,
    b: u8,
}

impl Subnet {
    /// Subnet for test number `index` of the calling process. Tests of one
    /// file use different indices; processes differ by their id.
    #[must_use]
    pub fn new(index: u8) -> Self {
        let id = std::process::id();
        let a = 64 + u8::try_from(id % 128).unwrap_or(0);
        let b = u8::try_from(id / 128 % 16).unwrap_or(0) * 16 + index % 16;
        Self { a, b }
    }

    /// Address of host number `host`.
    #[must_use]
    pub fn ip(self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.a, self.b, host).into()
    }

    /// Address of `port` at host number `host`.
    #[must_use]
    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// Place of a VM in the fleet.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the VM.
    pub vm: String,
    /// Loopback address of the VM.
    pub ip: IpAddr,
    /// Data centre.
    pub data_center: String,
    /// Region.
    pub region: String,
}

impl Place {
    /// Address of `port` on this VM.
    #[must_use]
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Settings of an entry at this place.
    #[must_use]
    pub fn entry(&self, platform: SocketAddr, peers: &[SocketAddr]) -> settings::Settings {
        let mut settings = self.base(vm::Role::Entry, peers);
        settings.listen.callers = Some(self.address(CALLERS_PORT));
        settings.platform = Some(settings::Remote { address: platform });
        settings
    }

    /// Settings of an agent at this place for a target of `service`.
    #[must_use]
    pub fn agent(
        &self,
        service: &str,
        origin: SocketAddr,
        peers: &[SocketAddr],
    ) -> settings::Settings {
        let mut settings = self.base(vm::Role::Target, peers);
        settings.listen.requests = Some(self.address(REQUESTS_PORT));
        settings.origin = Some(settings::Remote { address: origin });
        settings.target = Some(settings::Target {
            address: self.address(TARGET_PORT),
            service: service.to_owned(),
            slots: 16,
        });
        settings
    }

    /// The VM as it stands in the platform's VM list; `service` is empty for entries.
    #[must_use]
    pub fn listed(&self, service: &str) -> Object<vm::Vm> {
        let target = !service.is_empty();
        let role = if target {
            vm::Role::Target
        } else {
            vm::Role::Entry
        };
        let spec = vm::Vm {
            data_center: self.data_center.clone(),
            region: self.region.clone(),
            role,
            service: service.to_owned(),
            control: self.address(CONTROL_PORT),
            requests: target.then(|| self.address(REQUESTS_PORT)),
            phase: vm::Phase::Live,
        };
        Object::new(self.vm.clone(), spec)
    }

    fn base(&self, role: vm::Role, peers: &[SocketAddr]) -> settings::Settings {
        let listen = settings::Listen {
            callers: None,
            requests: None,
            control: self.address(CONTROL_PORT),
            operators: self.address(OPERATORS_PORT),
            advertise: None,
        };
        settings::Settings {
            role,
            vm: self.vm.clone(),
            data_center: self.data_center.clone(),
            region: self.region.clone(),
            bind: Some(self.ip),
            peers: peers.to_vec(),
            listen,
            platform: None,
            origin: None,
            target: None,
            weights: settings::Weights::default(),
            limits: settings::Limits::default(),
            journal: settings::Journal::default(),
            log: settings::Log::default(),
        }
    }
}

/// Path of a program of this workspace, next to the running test's program.
///
/// # Errors
/// Fails when the program was not built; `scripts/test` builds it first.
pub fn program(name: &str) -> Result<PathBuf, toolkit::Error> {
    let own = std::env::current_exe().context(IoSnafu { what: name })?;
    let found = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|p| p.is_file());
    found.context(UnusableSnafu {
        reason: format!("{name} is not built: run cargo build --workspace"),
    })
}

/// Writes `settings` into `folder` and starts the daemon with them. Its log
/// goes to a file there, named after the VM.
///
/// # Errors
/// Fails when the program is missing or a file can't be written.
pub fn daemon(
    folder: &Path,
    settings: &settings::Settings,
) -> Result<process::Process, toolkit::Error> {
    let file = folder.join(format!("{}.toml", settings.vm));
    let text = toml::to_string(settings).map_err(|e| toolkit::Error::Unusable {
        reason: e.to_string(),
    })?;
    fs::write(&file, text).context(IoSnafu { what: &file })?;
    let log = folder.join(format!("{}.log", settings.vm));
    process::Process::start(&program("corianderrampd")?, &[&file], &log)
}

/// Waits until `condition` holds, asking every 20 ms.
///
/// # Errors
/// Says what did not come about within `limit`.
pub async fn wait_until<F>(
    what: &str,
    limit: Duration,
    mut condition: F,
) -> Result<Duration, toolkit::Error>
where
    F: AsyncFnMut() -> bool,
{
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition().await {
            return Ok(start.elapsed());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    UnusableSnafu {
        reason: format!("{what}: not within {limit:?}"),
    }
    .fail()
}
