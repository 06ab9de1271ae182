//! Outgoing HTTP/1.1 connections with limits on silence.

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

/// Idle time after which the kernel probes a connection. Middleboxes can lose a
/// connection without a reset, which only a probe shows.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as broken.
const PROBE_LIMIT: u32 = 2;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Remote address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The exchange failed after the request may have been sent.
    #[snafu(display("connection to {address} failed: {source}"))]
    Exchange {
        /// Remote address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// No complete answer arrived in time.
    #[snafu(display("no answer from {address} within {} ms", limit.as_millis()))]
    Timeout {
        /// Remote address.
        address: SocketAddr,
        /// Time that was allowed.
        limit: Duration,
    },
    /// The answer's body broke off or was too long.
    #[snafu(display("answer of {address} could not be read: {reason}"))]
    Body {
        /// Remote address.
        address: SocketAddr,
        /// What was observed.
        reason: String,
    },
}

/// A connection for one request after the other; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection that notices silent peers.
///
/// # Errors
/// Fails when the peer refuses or does not answer within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Error> {
    let opened = time::timeout(limit, TcpStream::connect(address)).await;
    let late = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = opened
        .unwrap_or_else(|_| Err(late()))
        .context(ConnectSnafu { address })?;
    configure_socket(&stream).context(ConnectSnafu { address })?;
    Ok(stream)
}

/// Sets the options of an accepted or opened connection.
///
/// # Errors
/// Fails when the socket does not take an option.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

impl Connection {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    /// Fails when no connection could be opened; nothing was sent then.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let stream = connect(address, limit).await?;
        let handshake = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        let (sender, connection) = handshake;
        // Failures of the connection reach the request through its sender.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            driver: driver.abort_handle(),
        })
    }

    /// Sends a request and waits for the head of its answer.
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

    /// Sends a request and reads the whole answer, of at most `size` bytes, within `limit`.
    ///
    /// # Errors
    /// Fails when the connection breaks or time or size are exceeded.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        size: usize,
    ) -> Result<Response<Bytes>, Error> {
        let address = self.address;
        let exchange = self.call_with_limits(request, (limit, limit), size);
        let done = time::timeout(limit, exchange).await;
        done.unwrap_or_else(|_| TimeoutSnafu { address, limit }.fail())
    }

    /// As [`Connection::call`], with limits for the head of the answer and for its body.
    ///
    /// # Errors
    /// As [`Connection::call`].
    pub async fn call_with_limits(
        &mut self,
        request: Request<Full<Bytes>>,
        (head_limit, body_limit): (Duration, Duration),
        size: usize,
    ) -> Result<Response<Bytes>, Error> {
        let address = self.address;
        let late = |limit| Error::Timeout { address, limit };
        let head = time::timeout(head_limit, self.send(request)).await;
        let (head, body) = head.map_err(|_| late(head_limit))??.into_parts();
        let body = time::timeout(body_limit, Limited::new(body, size).collect()).await;
        let body = body.map_err(|_| late(body_limit))?;
        let body = body.map_err(|e| Error::Body {
            address,
            reason: e.to_string(),
        })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Whether another request can be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// One request on a connection of its own.
///
/// # Errors
/// As [`Connection::open`] and [`Connection::call`].
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    size: usize,
) -> Result<Response<Bytes>, Error> {
    let mut connection = Connection::open(address, limit).await?;
    connection.call(request, limit, size).await
}
