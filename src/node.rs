//! A process on the users' platform: one beside callers (gateway) or beside a target (host).

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::fleet::catalog::Catalog;

pub mod follow;
pub mod message;
pub mod relay;
pub mod settings;
pub mod stop;

/// Why a node can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// The settings lack what the role needs.
    #[snafu(display("{key} is missing"))]
    Missing {
        /// Key of the settings file.
        key: &'static str,
    },
}

/// Shared view of the deployment: one writer for each topic, any number of readers.
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
    /// What is known now.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Catalog> {
        self.sender.borrow().clone()
    }

    /// Changes of what is known.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalog>> {
        self.sender.subscribe()
    }

    /// Applies `change`; readers are woken only if it returns true.
    pub fn update(&self, change: impl FnOnce(&mut Catalog) -> bool) -> bool {
        self.sender
            .send_if_modified(|catalog| change(Arc::make_mut(catalog)))
    }
}

/// Listener for metrics, if the settings name an address.
///
/// # Errors
/// Fails when the address is taken or not local.
pub(crate) async fn metrics_listener(
    address: Option<std::net::SocketAddr>,
) -> Result<Option<TcpListener>, Error> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    listener.context(ListenSnafu { address }).map(Some)
}

/// Runs the node that the settings describe until it is told to stop.
///
/// # Errors
/// Fails when an address is taken or a setting is missing; nothing is started then.
pub async fn run(settings: settings::Settings, file: std::path::PathBuf) -> Result<(), Error> {
    let signals = stop::Signals::install(file)?;
    let clock = crate::clock::System;
    match settings.role {
        settings::Role::Gateway => crate::gateway::run(settings, signals, clock).await,
        settings::Role::Host => crate::host::run(settings, signals, clock).await,
    }
}
