//! gRPC between the processes of the system: generated messages, the server
//! and a pool of client channels.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::transport::{self, Channel, Endpoint, Server};

/// Messages and services of `proto/control.proto`; regenerated with
/// `cargo run -p protogen`.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "control/generated/corianderramp.v1.rs"]
pub mod pb;

/// Interval of HTTP/2 pings on control connections.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a connection without an answer to a ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes in flight per stream and per connection of a bulk pool.
const STREAM_WINDOW: u32 = 256 * 1024;
const CONNECTION_WINDOW: u32 = 512 * 1024;
/// Largest message, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Why the control server stopped.
#[derive(Debug, Snafu)]
#[snafu(display("control server: {source}"))]
pub struct Error {
    source: transport::Error,
}

/// Serves `routes` on `listener` until `stop` is cancelled.
///
/// # Errors
/// Fails when the listener breaks.
pub async fn serve(
    listener: TcpListener,
    routes: Routes,
    stop: CancellationToken,
) -> Result<(), Error> {
    Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_routes(routes)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop.cancelled_owned())
        .await
        .context(Snafu)
}

/// Open channels to other processes, one per address.
#[derive(Debug, Default)]
pub struct Pool {
    bind: Option<IpAddr>,
    bulk: bool,
    channels: Mutex<Vec<(SocketAddr, Channel)>>,
}

impl Pool {
    /// Pool whose connections start from `bind`.
    #[must_use]
    pub fn new(bind: Option<IpAddr>) -> Self {
        Self {
            bind,
            bulk: false,
            channels: Mutex::default(),
        }
    }

    /// Pool for large transfers. Its own connections keep chunks from delaying
    /// control messages, and small windows keep pings from waiting behind
    /// seconds of buffered data on a slow link.
    #[must_use]
    pub fn bulk(bind: Option<IpAddr>) -> Self {
        Self {
            bulk: true,
            ..Self::new(bind)
        }
    }

    /// Channel to `address`, connected when first used and again after a failure.
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

    /// Drops the channel to `address`, so that the next use opens a new connection.
    pub fn remove(&self, address: SocketAddr) {
        let mut channels = self.channels.lock();
        if let Ok(i) = channels.binary_search_by_key(&address, |(a, _)| *a) {
            channels.remove(i);
        }
    }

    fn connect(&self, address: SocketAddr) -> Channel {
        let uri = format!("http://{address}");
        let endpoint =
            Endpoint::try_from(uri).unwrap_or_else(|_| Endpoint::from_static("http://127.0.0.1:1"));
        let window = |bytes| self.bulk.then_some(bytes);
        endpoint
            .initial_stream_window_size(window(STREAM_WINDOW))
            .initial_connection_window_size(window(CONNECTION_WINDOW))
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .local_address(self.bind)
            .connect_lazy()
    }
}
