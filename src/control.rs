//! gRPC between the processes of the system: generated messages, server and
//! client channels.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::transport::{self, Channel, Endpoint, Server};

/// Messages and services generated from `proto/control.proto` by
/// `cargo run -p protogen`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "control/generated/corianderramp.v1.rs"]
pub mod pb;

/// Interval of HTTP/2 keep-alive pings on control connections.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a keep-alive ping, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP/2 flow-control window of each stream of a bulk pool, in bytes.
const BULK_STREAM_WINDOW: u32 = 256 * 1024;
/// HTTP/2 flow-control window of each connection of a bulk pool, in bytes.
const BULK_CONNECTION_WINDOW: u32 = 512 * 1024;
/// Maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Error of the control server.
#[derive(Debug, Snafu)]
#[snafu(display("control server failed: {source}"))]
pub struct Error {
    source: transport::Error,
}

/// Serves `routes` on `listener` until `shutdown` is cancelled.
///
/// # Errors
/// Fails when the server can no longer serve the listener.
pub async fn serve(
    listener: TcpListener,
    routes: Routes,
    shutdown: CancellationToken,
) -> Result<(), Error> {
    Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_routes(routes)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), shutdown.cancelled_owned())
        .await
        .context(Snafu)
}

/// Pool of client channels to other processes, one per address.
#[derive(Debug, Default)]
pub struct Pool {
    bind: Option<IpAddr>,
    bulk: bool,
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl Pool {
    /// Creates a pool whose connections use the local address `bind`.
    #[must_use]
    pub fn new(bind: Option<IpAddr>) -> Self {
        Self {
            bind,
            bulk: false,
            channels: Mutex::default(),
        }
    }

    /// Creates a pool for bulk transfers. Separate connections prevent chunks from
    /// delaying control messages, and small flow-control windows prevent pings from waiting
    /// behind seconds of buffered data on a slow link.
    #[must_use]
    pub fn bulk(bind: Option<IpAddr>) -> Self {
        Self {
            bulk: true,
            ..Self::new(bind)
        }
    }

    /// Returns the channel to `address`, which connects on first use and reconnects
    /// after a failure.
    pub fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = self.channels.lock();
        match channels.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(i) => channels[i].1.clone(),
            Err(i) => {
                let channel = self.connect(address);
                channels.insert(i, (address, channel.clone()));
                channel
            }
        }
    }

    /// Removes the channel to `address`, so that the next use opens a new connection.
    pub fn remove(&self, address: SocketAddr) {
        let mut channels = self.channels.lock();
        if let Ok(i) = channels.binary_search_by_key(&address, |(a, _)| *a) {
            channels.remove(i);
        }
    }

    fn connect(&self, address: SocketAddr) -> Channel {
        let uri = format!("http://{address}");
        // The address of a socket is always valid in a URI; calls to the fallback fail.
        let endpoint =
            Endpoint::try_from(uri).unwrap_or_else(|_| Endpoint::from_static("http://127.0.0.1:1"));
        let window = |bytes| self.bulk.then_some(bytes);
        endpoint
            .initial_stream_window_size(window(BULK_STREAM_WINDOW))
            .initial_connection_window_size(window(BULK_CONNECTION_WINDOW))
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .local_address(self.bind)
            .connect_lazy()
    }
}
