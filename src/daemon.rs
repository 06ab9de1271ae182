//! Starts the parts of a process according to its role and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::control;
use crate::settings::Settings;

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The control server failed.
    #[snafu(display("{source}"))]
    Control {
        /// Cause.
        source: control::Error,
    },
}

/// What every part of a process shares.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Shared state.
    pub board: Arc<Blackboard>,
    /// Channels to other processes.
    pub pool: Arc<control::Pool>,
    /// Identifies this incarnation of the process.
    pub boot: String,
    /// Cancelled when the process must end its background work.
    pub stop: CancellationToken,
}

/// Opens a listener.
///
/// # Errors
/// Names the address that is taken or not local.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
