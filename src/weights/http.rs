//! HTTP client for the origin and the engine.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;
use tokio::time;

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which idle connections are closed. It is short so that a connection whose
/// peer has gone silent is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest body of an error response that is read, bytes.
const MAX_ERROR_BODY: usize = 1024;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed without a complete or valid response.
    #[snafu(display("call to {address} failed: {reason}"))]
    Call {
        /// Address that was called.
        address: SocketAddr,
        /// Description of the error.
        reason: String,
    },
    /// Nothing was received within the stall timeout.
    #[snafu(display("{address}: no progress for {} ms", limit.as_millis()))]
    Stalled {
        /// Address that was called.
        address: SocketAddr,
        /// Stall timeout.
        limit: Duration,
    },
    /// The response has an error status.
    #[snafu(display("{address} responded with status {status}: {reason}"))]
    Status {
        /// Address that was called.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
        /// Start of the response body.
        reason: String,
    },
    /// The response body is longer than allowed.
    #[snafu(display("response from {address} exceeds {limit} bytes"))]
    TooLong {
        /// Address that was called.
        address: SocketAddr,
        /// Longest allowed body, bytes.
        limit: usize,
    },
}

/// HTTP client for one server address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    stall_timeout: Duration,
}

/// A successful response whose body is read part by part.
#[derive(Debug)]
pub struct Response {
    address: SocketAddr,
    body: Incoming,
    stall_timeout: Duration,
}

impl Client {
    /// Client for `address`. Its connections are bound to the local address `bind`; a call
    /// fails when nothing is received for `stall_timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, bind: Option<IpAddr>, stall_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(bind);
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        Self {
            address,
            http: builder.build(connector),
            stall_timeout,
        }
    }

    /// Wraps an error of a request or response in an [`Error::Call`] for this address.
    pub fn call_error(&self, source: &dyn std::error::Error) -> Error {
        Error::Call {
            address: self.address,
            reason: source.to_string(),
        }
    }

    /// Sends a request and returns the successful response.
    ///
    /// # Errors
    /// Fails without a response within the stall timeout, and for an error status.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response, Error> {
        let address = self.address;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|e| self.call_error(&e))?;
        let limit = self.stall_timeout;
        let received = time::timeout(limit, self.http.request(request))
            .await
            .map_err(|_| Error::Stalled { address, limit })?
            .map_err(|e| self.call_error(&e))?;
        let status = received.status();
        let response = Response {
            address,
            body: received.into_body(),
            stall_timeout: self.stall_timeout,
        };
        if status.is_success() {
            return Ok(response);
        }
        let body = response.read(MAX_ERROR_BODY).await.unwrap_or_default();
        Err(Error::Status {
            address,
            status,
            reason: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

impl Response {
    /// Next part of the body; `None` at the end.
    ///
    /// # Errors
    /// Fails when the connection fails or nothing is received within the stall timeout.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, Error> {
        let address = self.address;
        let limit = self.stall_timeout;
        loop {
            let frame = time::timeout(limit, self.body.frame())
                .await
                .map_err(|_| Error::Stalled { address, limit })?;
            match frame {
                None => return Ok(None),
                Some(Err(e)) => {
                    let reason = e.to_string();
                    return Err(Error::Call { address, reason });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body, at most `limit` bytes.
    ///
    /// # Errors
    /// Fails like [`Response::next_part`], and for a longer body.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(part) = self.next_part().await? {
            if body.len() + part.len() > limit {
                let address = self.address;
                return Err(Error::TooLong { address, limit });
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}
