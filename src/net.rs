//! HTTP/1.1 client connections with timeouts and TCP keepalive.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use crate::net::arrivals::Arrivals;

pub mod arrivals;
pub mod uri;

/// Idle time before the first TCP keepalive probe. Middleboxes can drop a connection
/// without a reset, which only a probe detects.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Remote address.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection failed; the request may have been sent.
    #[snafu(display("connection to {address} failed: {source}"))]
    Exchange {
        /// Remote address.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
    /// The response was not complete within the time limit.
    #[snafu(display("no response from {address} within {} ms", limit.as_millis()))]
    Timeout {
        /// Remote address.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Duration,
    },
    /// The response body was truncated or too large.
    #[snafu(display("failed to read the response body from {address}: {reason}"))]
    Body {
        /// Remote address.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
}

impl Error {
    /// Whether the peer refused the connection, so that no process listens there.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the peer did not answer in time, so that it may be well and only slow.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::Connect { source, .. } => source.kind() == io::ErrorKind::TimedOut,
            Self::Timeout { .. } => true,
            Self::Exchange { .. } | Self::Body { .. } => false,
        }
    }
}

/// Connection for sequential requests; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    arrivals: Arrivals,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection with keepalive enabled.
///
/// # Errors
/// Fails when the peer refuses the connection or does not accept it within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let connected = time::timeout(limit, TcpStream::connect(address)).await;
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = connected
        .unwrap_or_else(|_| Err(timed_out()))
        .context(ConnectSnafu { address })?;
    configure_socket(&stream).context(ConnectSnafu { address })?;
    Ok(stream)
}

/// Enables `TCP_NODELAY` and keepalive on a connection.
///
/// # Errors
/// Fails when a socket option can't be set.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

impl Connection {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    /// Fails when no connection could be opened; no request was sent.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let stream = connect(address, limit).await?;
        let handshake = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        let (sender, connection) = handshake;
        // Connection errors are reported by the sender.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            driver: driver.abort_handle(),
            arrivals: Arrivals::default(),
        })
    }

    /// Tells `arrivals` of responses that are arriving.
    #[must_use]
    pub fn telling(mut self, arrivals: Arrivals) -> Self {
        self.arrivals = arrivals;
        self
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// Fails when the connection breaks; the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let address = self.address;
        self.sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { address })
    }

    /// Sends a request and reads the whole response within `limit`, with a body of at most
    /// `max_bytes`.
    ///
    /// # Errors
    /// Fails when the connection breaks or the time or size limit is exceeded.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let address = self.address;
        let call = self.call_with_limits(request, (limit, limit), max_bytes);
        let result = time::timeout(limit, call).await;
        result.unwrap_or_else(|_| TimeoutSnafu { address, limit }.fail())
    }

    /// Like [`Connection::call`], but with separate time limits for the response head and
    /// body.
    ///
    /// # Errors
    /// Same as [`Connection::call`].
    pub async fn call_with_limits(
        &mut self,
        request: Request<Full<Bytes>>,
        (head_limit, body_limit): (Duration, Duration),
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let address = self.address;
        let timed_out = |limit| Error::Timeout { address, limit };
        let head = time::timeout(head_limit, self.send(request)).await;
        let (head, body) = head.map_err(|_| timed_out(head_limit))??.into_parts();
        let arrival = self.arrivals.begin();
        let body = body.map_frame(|frame| {
            arrival.record();
            frame
        });
        let body = time::timeout(body_limit, Limited::new(body, max_bytes).collect()).await;
        let body = body.map_err(|_| timed_out(body_limit))?;
        let body = body.map_err(|e| Error::Body {
            address,
            reason: e.to_string(),
        })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Whether the connection can take another request.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Sends one request on a new connection and reads the whole response. `limit` applies to
/// connecting and to the call separately.
///
/// # Errors
/// Same as [`Connection::open`] and [`Connection::call`].
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, Error> {
    let mut connection = Connection::open(address, limit).await?;
    connection.call(request, limit, max_bytes).await
}
