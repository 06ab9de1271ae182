//! Connection of an entry to one agent.

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
/// Time after which a connection without an answer to a ping is closed. With
/// the interval, a silent connection is noticed within 1.5 s.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Age up to which a connection counts as new.
const NEW: Duration = Duration::from_millis(500);
/// Flow-control window of a stream, bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Why an agent can't be connected to.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection was refused or broke.
    #[snafu(display("can't connect to {address}: {source}"))]
    Refused {
        /// Address of the agent.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No answer came in time.
    #[snafu(display("no connection to {address} within {CONNECT_TIMEOUT:?}"))]
    Silent {
        /// Address of the agent.
        address: SocketAddr,
    },
    /// The HTTP/2 handshake failed.
    #[snafu(display("handshake with {address}: {source}"))]
    Handshake {
        /// Address of the agent.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

/// Sends requests on one connection.
pub type Sender = http2::SendRequest<Full<Bytes>>;

/// Shared connection to one agent, opened again when it broke.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    bind: Option<IpAddr>,
    current: Mutex<Option<(Sender, Instant)>>,
    /// Time that the last connection took to open, the round trip.
    delay: Mutex<Option<Duration>>,
    /// Lets one request open a connection while the others wait for it.
    opening: Semaphore,
}

impl Link {
    /// Link to `address`; connections start from `bind`.
    #[must_use]
    pub fn new(address: SocketAddr, bind: Option<IpAddr>) -> Self {
        Self {
            address,
            bind,
            current: Mutex::new(None),
            delay: Mutex::new(None),
            opening: Semaphore::new(1),
        }
    }

    /// Address of the agent.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Round trip to the agent, once measured.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        *self.delay.lock()
    }

    /// Open connection, or a new one.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn sender(&self) -> Result<Sender, Error> {
        if let Some(sender) = self.open() {
            return Ok(sender);
        }
        let _one = self.opening.acquire().await;
        if let Some(sender) = self.open() {
            return Ok(sender);
        }
        self.replace().await
    }

    /// Connection that was opened just now, for a request that already met a
    /// silent one: whatever silenced that may have silenced this one too.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn fresh(&self) -> Result<Sender, Error> {
        let _one = self.opening.acquire().await;
        if let Some(sender) = self.opened_within(NEW) {
            return Ok(sender);
        }
        self.replace().await
    }

    /// Leaves the current connection to its requests and opens a new one, to
    /// find out whether the agent can still be reached.
    ///
    /// # Errors
    /// Fails when no new connection can be opened.
    pub async fn renew(&self) -> Result<(), Error> {
        self.fresh().await.map(drop)
    }

    /// Whether the current connection is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open().is_some()
    }

    fn open(&self) -> Option<Sender> {
        self.opened_within(Duration::MAX)
    }

    fn opened_within(&self, age: Duration) -> Option<Sender> {
        let current = self.current.lock();
        let (sender, opened) = current.as_ref()?;
        let usable = !sender.is_closed() && opened.elapsed() <= age;
        usable.then(|| sender.clone())
    }

    /// Opens a connection in place of the current one, whose requests go on.
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
            .map_err(|_| Error::Silent { address })?
            .context(RefusedSnafu { address })?;
        *self.delay.lock() = Some(started.elapsed());
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES * 4);
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, connection) = time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| Error::Silent { address })?
            .context(HandshakeSnafu { address })?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn dial(&self) -> std::io::Result<TcpStream> {
        let socket = if self.address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(ip) = self.bind {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
