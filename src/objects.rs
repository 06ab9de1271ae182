//! HTTP client of the platform's object API.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::resource::{self, Kind, Raw};

/// Timeout for the response head of a call, and again for its body.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a watch on which no data arrives. The platform sends a bookmark at
/// least every second.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The object is no longer at the revision that the caller named: it was changed,
    /// created or deleted by another write.
    #[snafu(display("conflict: the object is at revision {}", revision_of(current.as_deref())))]
    Conflict {
        /// Current object; `None` when it does not exist.
        current: Option<Box<Raw>>,
    },
    /// The platform did not accept the call, which had no effect, or a watch
    /// failed.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Details of the failure.
        reason: String,
    },
    /// The result of the call is unknown: a write may have taken effect.
    #[snafu(display("result of the platform call is unknown: {reason}"))]
    Uncertain {
        /// Details of the failure.
        reason: String,
    },
    /// The platform no longer has the changes since this revision; the caller has
    /// to list again.
    #[snafu(display("revision {revision} was compacted"))]
    Compacted {
        /// Revision from which the watch was to start.
        revision: u64,
    },
    /// The platform rejected the call, or it was invalid and not sent; a retry
    /// fails as well.
    #[snafu(display("platform rejected the call with status {status}: {reason}"))]
    Rejected {
        /// HTTP status; 400 when the call was not sent.
        status: u16,
        /// Start of the response body, or why the call is invalid.
        reason: String,
    },
    /// The response is not the expected JSON.
    #[snafu(display("invalid response from the platform: {source}"))]
    InvalidResponse {
        /// JSON error.
        source: serde_json::Error,
    },
}

fn revision_of(current: Option<&Raw>) -> u64 {
    current.map_or(0, |o| o.metadata.revision)
}

/// All matching objects of one kind at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct List {
    /// Platform revision of the list.
    pub revision: u64,
    /// Objects, sorted by name.
    pub items: Vec<Raw>,
}

/// Type of a watch event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Change {
    /// The object was created.
    Added,
    /// The object was overwritten.
    Modified,
    /// The object was deleted; `metadata.revision` is the revision of the deletion.
    Deleted,
    /// All changes up to `metadata.revision` have been delivered.
    Bookmark,
}

/// Event of a watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Type of the event.
    #[serde(rename = "type")]
    pub change: Change,
    /// The object after the change.
    pub object: Raw,
}

/// Reads and conditional writes of objects. A trait, so that the journal and the
/// lease can be tested with another store.
pub trait Api: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Raw>, Error>> + Send;
    /// Lists the objects of a kind whose names start with `prefix`.
    fn list(&self, kind: Kind, prefix: &str) -> impl Future<Output = Result<List, Error>> + Send;
    /// Writes an object if the stored one is still at `metadata.revision`; revision 0
    /// creates it. Returns the object as stored.
    fn put(&self, object: Raw) -> impl Future<Output = Result<Raw, Error>> + Send;
    /// Deletes an object if it is still at `revision`. Succeeds if the object does
    /// not exist.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        revision: u64,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}

/// HTTP client of the platform's object API.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the platform at `address`; its connections use the
    /// local address `bind`.
    #[must_use]
    pub fn new(address: SocketAddr, bind: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(bind);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .build(connector);
        Self { address, http }
    }

    /// Opens a watch that delivers every change of objects of `kinds` after `revision`.
    ///
    /// # Errors
    /// [`Error::Compacted`] when the platform no longer has the changes since `revision`
    /// and the caller has to list again.
    pub async fn watch(&self, revision: u64, kinds: &[Kind]) -> Result<Watch, Error> {
        let names: Vec<&str> = kinds.iter().map(|k| k.name()).collect();
        let path = format!(
            "/apis/v1/watch?revision={revision}&kinds={}",
            names.join(",")
        );
        let response = self.send(Method::GET, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => Ok(Watch {
                body: response.into_body(),
                buffer: Vec::new(),
            }),
            StatusCode::GONE => CompactedSnafu { revision }.fail(),
            _ => Err(status_error(response).await),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<http::Response<body::Incoming>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::Unavailable {
                reason: e.to_string(),
            })?;
        match time::timeout(CALL_TIMEOUT, self.http.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => UnavailableSnafu {
                reason: e.to_string(),
            }
            .fail(),
            Ok(Err(e)) => UncertainSnafu {
                reason: e.to_string(),
            }
            .fail(),
            Err(_) => UncertainSnafu {
                reason: format!("no response within {CALL_TIMEOUT:?}"),
            }
            .fail(),
        }
    }

    async fn put_once(&self, object: &Raw) -> Result<Raw, Error> {
        let path = object_path(object.kind, &object.metadata.name);
        let body = serde_json::to_vec(object).context(InvalidResponseSnafu)?;
        let response = self.send(Method::PUT, &path, body.into()).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => {
                serde_json::from_slice(&read_body(response).await?).context(InvalidResponseSnafu)
            }
            StatusCode::CONFLICT => {
                let current = serde_json::from_slice(&read_body(response).await?)
                    .context(InvalidResponseSnafu)?;
                ConflictSnafu {
                    current: Some(Box::new(current)),
                }
                .fail()
            }
            StatusCode::NOT_FOUND => ConflictSnafu { current: None }.fail(),
            _ => Err(status_error(response).await),
        }
    }
}

impl Api for Client {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
        let response = self
            .send(Method::GET, &object_path(kind, name), Bytes::new())
            .await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(&read_body(response).await?)
                .context(InvalidResponseSnafu)
                .map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(response).await),
        }
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<List, Error> {
        let path = format!("/apis/v1/{kind}?prefix={prefix}");
        let response = self.send(Method::GET, &path, Bytes::new()).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response).await);
        }
        serde_json::from_slice(&read_body(response).await?).context(InvalidResponseSnafu)
    }

    /// Adds a random operation id to the object. If the result of the write is
    /// unknown, the object is read back: the write took effect if the stored object
    /// carries the id. Another id leaves the result unknown, since the write may have
    /// taken effect and been overwritten.
    async fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        resource::check_name(&object.metadata.name).map_err(|e| Error::Rejected {
            status: StatusCode::BAD_REQUEST.as_u16(),
            reason: e.to_string(),
        })?;
        object.metadata.operation = new_id();
        let reason = match self.put_once(&object).await {
            Err(Error::Uncertain { reason }) => reason,
            // The HTTP client may resend a request; the resend then conflicts with the
            // write of the first request.
            Err(Error::Conflict { current: Some(o) })
                if o.metadata.operation == object.metadata.operation =>
            {
                return Ok(*o);
            }
            other => return other,
        };
        match self.get(object.kind, &object.metadata.name).await {
            Ok(Some(o)) if o.metadata.operation == object.metadata.operation => Ok(o),
            _ => UncertainSnafu { reason }.fail(),
        }
    }

    async fn delete(&self, kind: Kind, name: &str, revision: u64) -> Result<(), Error> {
        let path = format!("{}?revision={revision}", object_path(kind, name));
        let response = self.send(Method::DELETE, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            StatusCode::CONFLICT => {
                let current = serde_json::from_slice(&read_body(response).await?)
                    .context(InvalidResponseSnafu)?;
                ConflictSnafu {
                    current: Some(Box::new(current)),
                }
                .fail()
            }
            _ => Err(status_error(response).await),
        }
    }
}

/// Open watch.
#[derive(Debug)]
pub struct Watch {
    body: body::Incoming,
    buffer: Vec<u8>,
}

impl Watch {
    /// Returns the next event, or `None` when the platform closed the watch.
    ///
    /// # Errors
    /// Fails when the connection fails, no data arrives within [`WATCH_TIMEOUT`], or an
    /// event is not valid JSON.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return serde_json::from_slice(&line)
                    .context(InvalidResponseSnafu)
                    .map(Some);
            }
            let frame = match time::timeout(WATCH_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    return UnavailableSnafu {
                        reason: e.to_string(),
                    }
                    .fail();
                }
                Ok(None) => return Ok(None),
                Err(_) => {
                    return UnavailableSnafu {
                        reason: "the watch timed out without data",
                    }
                    .fail();
                }
            };
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}

/// Returns a random 128-bit identifier as 32 hexadecimal digits.
#[must_use]
pub fn new_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn object_path(kind: Kind, name: &str) -> String {
    format!("/apis/v1/{kind}/{name}")
}

async fn read_body(response: http::Response<body::Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    match time::timeout(CALL_TIMEOUT, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) => UncertainSnafu {
            reason: e.to_string(),
        }
        .fail(),
        Err(_) => UncertainSnafu {
            reason: "the response body was not complete in time",
        }
        .fail(),
    }
}

/// Converts a response with an error status. A server error leaves open whether a
/// write took effect, except 503.
async fn status_error(response: http::Response<body::Incoming>) -> Error {
    let status = response.status();
    let body = read_body(response).await.unwrap_or_default();
    let reason: String = String::from_utf8_lossy(&body).chars().take(200).collect();
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable {
            reason: format!("status {status}: {reason}"),
        },
        s if s.is_server_error() => Error::Uncertain {
            reason: format!("status {status}: {reason}"),
        },
        _ => Error::Rejected {
            status: status.as_u16(),
            reason,
        },
    }
}
