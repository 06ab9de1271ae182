//! Signal handlers: SIGTERM and SIGINT stop a node, SIGHUP checks its settings file.

use std::path::PathBuf;

use log::{info, warn};
use snafu::ResultExt;
use tokio::signal::unix::{self, Signal, SignalKind};

use crate::node::settings::Settings;
use crate::node::{Error, SignalSnafu};

/// Signals that a node handles.
#[derive(Debug)]
pub struct Signals {
    file: PathBuf,
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers; without one, SIGHUP would end the process. SIGHUP checks
    /// the settings in `file`.
    ///
    /// # Errors
    /// Fails when a handler can't be installed.
    pub fn install(file: PathBuf) -> Result<Self, Error> {
        Ok(Self {
            file,
            terminate: unix::signal(SignalKind::terminate()).context(SignalSnafu)?,
            interrupt: unix::signal(SignalKind::interrupt()).context(SignalSnafu)?,
            reload: unix::signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP checks the settings file without applying it;
    /// configuration that may change at run time comes from the store.
    pub async fn wait_for_shutdown(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => match Settings::load(&self.file) {
                    Ok(_) => info!("settings file is valid, applied at the next start"),
                    Err(e) => {
                        let reason = e.to_string();
                        warn!(reason = reason.as_str(); "settings file is invalid, keeping the current settings");
                    }
                }
            }
        }
    }
}
