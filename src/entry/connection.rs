//! HTTP/2 connection from an entry to an agent.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

/// Interval of HTTP/2 pings, also on idle connections.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time to wait for the reply to a ping before the connection is closed.
/// Together with the interval, an unresponsive connection is detected within
/// 1.5 s.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the TCP connect and, separately, for the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum age of a connection that [`Connection::recent_sender`] returns.
const RECENT: Duration = Duration::from_millis(500);
/// HTTP/2 flow-control window per stream, bytes.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Why connecting to an agent failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The TCP connection failed.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Address of the agent.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The agent did not respond in time.
    #[snafu(display("connecting to {address} timed out after {CONNECT_TIMEOUT:?}"))]
    Timeout {
        /// Address of the agent.
        address: SocketAddr,
    },
    /// The HTTP/2 handshake failed.
    #[snafu(display("HTTP/2 handshake with {address} failed: {source}"))]
    Handshake {
        /// Address of the agent.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

/// Sends requests on one HTTP/2 connection.
pub type Sender = http2::SendRequest<Full<Bytes>>;

/// Connection to an agent that is shared by all requests and reopened after a
/// failure.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    bind_ip: Option<IpAddr>,
    current: Mutex<Option<(Sender, Instant)>>,
    /// Duration of the last TCP connect, which is one round trip.
    rtt: Mutex<Option<Duration>>,
    /// Admits one request at a time to open a connection; the others wait for
    /// it.
    opening: Semaphore,
}

impl Connection {
    /// Creates a connection to `address` that opens on first use, with
    /// `bind_ip` as the local address.
    #[must_use]
    pub fn new(address: SocketAddr, bind_ip: Option<IpAddr>) -> Self {
        Self {
            address,
            bind_ip,
            current: Mutex::new(None),
            rtt: Mutex::new(None),
            opening: Semaphore::new(1),
        }
    }

    /// Address of the agent.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Round-trip time to the agent; `None` before the first connect.
    #[must_use]
    pub fn rtt(&self) -> Option<Duration> {
        *self.rtt.lock()
    }

    /// Returns the open connection, or opens one.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn sender(&self) -> Result<Sender, Error> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _permit = self.opening.acquire().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        self.replace().await
    }

    /// Returns a connection that was opened within the last 500 ms, or opens
    /// one. A retry after a timeout uses it, since the cause of the timeout may
    /// affect older connections too.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn recent_sender(&self) -> Result<Sender, Error> {
        let _permit = self.opening.acquire().await;
        if let Some(sender) = self.sender_within(RECENT) {
            return Ok(sender);
        }
        self.replace().await
    }

    /// Opens a new connection to find out whether the agent is reachable.
    /// Requests on the old connection continue.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn reconnect(&self) -> Result<(), Error> {
        self.recent_sender().await.map(drop)
    }

    /// Whether the current connection is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open_sender().is_some()
    }

    fn open_sender(&self) -> Option<Sender> {
        self.sender_within(Duration::MAX)
    }

    fn sender_within(&self, age: Duration) -> Option<Sender> {
        let current = self.current.lock();
        let (sender, opened) = current.as_ref()?;
        let usable = !sender.is_closed() && opened.elapsed() <= age;
        usable.then(|| sender.clone())
    }

    /// Replaces the current connection by a new one. Requests on the old one
    /// continue.
    async fn replace(&self) -> Result<Sender, Error> {
        *self.current.lock() = None;
        let sender = self.connect().await?;
        *self.current.lock() = Some((sender.clone(), Instant::now()));
        Ok(sender)
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let address = self.address;
        let started = Instant::now();
        let opened = time::timeout(CONNECT_TIMEOUT, self.dial()).await;
        let stream = opened
            .map_err(|_| Error::Timeout { address })?
            .context(ConnectSnafu { address })?;
        *self.rtt.lock() = Some(started.elapsed());
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(STREAM_WINDOW_BYTES * 4);
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, driver) = time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| Error::Timeout { address })?
            .context(HandshakeSnafu { address })?;
        tokio::spawn(driver);
        Ok(sender)
    }

    async fn dial(&self) -> std::io::Result<TcpStream> {
        let socket = if self.address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(ip) = self.bind_ip {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
