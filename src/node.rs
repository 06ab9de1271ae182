//! Process on the users' platform: a gateway next to callers or a host next to a target.

use std::sync::Arc;

use log::warn;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::fleet::Config;
use crate::fleet::catalog::Catalog;
use crate::fleet::fault::Fault;
use crate::telemetry;

pub mod budget;
pub mod eras;
pub mod evacuations;
pub mod follow;
pub mod freshness;
pub mod message;
pub mod relay;
pub mod settings;
pub mod stop;

/// Maximum number of routes and accounts that a warning names, and of parts that can't be read.
const MAX_LOGGED_NAMES: usize = 8;

/// Errors that stop a node from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Binding a listening socket failed.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// The settings lack a key that the role needs.
    #[snafu(display("setting {key} is missing"))]
    Missing {
        /// Key of the settings file.
        key: &'static str,
    },
}

/// Catalog shared between tasks, with one writer per topic and any number of readers.
#[derive(Clone, Debug)]
pub struct SharedCatalog {
    sender: Arc<watch::Sender<Arc<Catalog>>>,
}

impl Default for SharedCatalog {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self {
            sender: Arc::new(sender),
        }
    }
}

impl SharedCatalog {
    /// Current state of the catalog.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Catalog> {
        self.sender.borrow().clone()
    }

    /// Receiver that is notified of every change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalog>> {
        self.sender.subscribe()
    }

    /// Applies `change` and returns its result; readers are notified only if it is true.
    pub fn update(&self, change: impl FnOnce(&mut Catalog) -> bool) -> bool {
        self.sender
            .send_if_modified(|catalog| change(Arc::make_mut(catalog)))
    }

    /// Adopts a configuration unless a newer one is known; returns whether it did. Warns once for
    /// each version of malformed lists of regions and of parts that can't be read.
    pub fn update_config(&self, revision: u64, config: Config) -> bool {
        let version = config.version;
        let malformed: Vec<String> = config.malformed_homes().map(str::to_owned).collect();
        let before = self.snapshot();
        let is_known = before.config.as_ref().is_some_and(|c| c.version == version);
        drop(before);
        let faults = config.faults.clone();
        let applied = self.update(|c| c.update_config(revision, config));
        if applied {
            telemetry::set_unreadable_parts(faults.len());
        }
        if applied && !is_known {
            log_faults(version, &faults);
        }
        if applied && !is_known && !malformed.is_empty() {
            let count = malformed.len();
            let names = malformed[..count.min(MAX_LOGGED_NAMES)].join(",");
            warn!(version, count, names = names.as_str(); "lists of regions are malformed, no region is permitted");
        }
        applied
    }
}

/// Warns of parts of a configuration that can't be read.
fn log_faults(version: u64, faults: &[Fault]) {
    for Fault { part, reason } in faults.iter().take(MAX_LOGGED_NAMES) {
        warn!(version, part = part.as_str(), reason = reason.as_str(); "part of the configuration can't be read");
    }
    if !faults.is_empty() {
        let count = faults.len();
        warn!(version, count; "configuration in force without the parts that can't be read");
    }
}

/// Listener for the metrics endpoint, if `address` is set.
///
/// # Errors
/// Fails when the address is in use or not local.
pub(crate) async fn metrics_listener(
    address: Option<std::net::SocketAddr>,
) -> Result<Option<TcpListener>, Error> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    listener.context(ListenSnafu { address }).map(Some)
}

/// Runs a node in the role that the settings name until it receives SIGTERM or SIGINT.
///
/// # Errors
/// Fails when an address is in use or a setting is missing.
pub async fn run(settings: settings::Settings, file: std::path::PathBuf) -> Result<(), Error> {
    let signals = stop::Signals::install(file)?;
    let clock = crate::clock::System;
    match settings.role {
        settings::Role::Gateway => crate::gateway::run(settings, signals, clock).await,
        settings::Role::Host => crate::host::run(settings, signals, clock).await,
    }
}
