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
/// Idle connections are closed early, so that a silent one is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest text of an error that is read, bytes.
const MAX_REASON: usize = 1024;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No answer, or it broke off.
    #[snafu(display("{address}: {reason}"))]
    Call {
        /// Address that was called.
        address: SocketAddr,
        /// What was observed.
        reason: String,
    },
    /// No byte arrived within the progress deadline.
    #[snafu(display("{address}: no progress for {} ms", limit.as_millis()))]
    Stalled {
        /// Address that was called.
        address: SocketAddr,
        /// Progress deadline.
        limit: Duration,
    },
    /// An answer with an error status.
    #[snafu(display("{address}: status {status}: {reason}"))]
    Status {
        /// Address that was called.
        address: SocketAddr,
        /// Status.
        status: StatusCode,
        /// Text of the answer.
        reason: String,
    },
    /// An answer longer than expected.
    #[snafu(display("{address}: answer above {limit} bytes"))]
    TooLong {
        /// Address that was called.
        address: SocketAddr,
        /// Expected length, bytes.
        limit: usize,
    },
}

/// Client of one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    stall: Duration,
}

/// An answer whose body is read part by part.
#[derive(Debug)]
pub struct Response {
    address: SocketAddr,
    body: Incoming,
    stall: Duration,
}

impl Client {
    /// Client whose connections start from `bind`; `stall` is its progress deadline.
    #[must_use]
    pub fn new(address: SocketAddr, bind: Option<IpAddr>, stall: Duration) -> Self {
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
            stall,
        }
    }

    /// Error about an answer that can't be understood.
    pub fn call_error(&self, reason: &dyn std::error::Error) -> Error {
        Error::Call {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    /// Sends a request and returns a successful answer's body.
    ///
    /// # Errors
    /// Fails without an answer in time, and for an error status.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response, Error> {
        let address = self.address;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|e| self.call_error(&e))?;
        let limit = self.stall;
        let response = time::timeout(limit, self.http.request(request))
            .await
            .map_err(|_| Error::Stalled { address, limit })?
            .map_err(|e| self.call_error(&e))?;
        let status = response.status();
        let answer = Response {
            address,
            body: response.into_body(),
            stall: self.stall,
        };
        if status.is_success() {
            return Ok(answer);
        }
        let text = answer.read(MAX_REASON).await.unwrap_or_default();
        Err(Error::Status {
            address,
            status,
            reason: String::from_utf8_lossy(&text).into_owned(),
        })
    }
}

impl Response {
    /// Next part; `None` at the end.
    ///
    /// # Errors
    /// Fails when the connection breaks or nothing arrives in time.
    pub async fn part(&mut self) -> Result<Option<Bytes>, Error> {
        let address = self.address;
        let limit = self.stall;
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

    /// The whole body, at most `limit` bytes.
    ///
    /// # Errors
    /// Fails like [`Response::part`], and for a longer body.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        while let Some(part) = self.part().await? {
            if all.len() + part.len() > limit {
                let address = self.address;
                return Err(Error::TooLong { address, limit });
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }
}
