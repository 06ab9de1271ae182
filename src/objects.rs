//! Client of the platform's object API.

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

/// Time after which a call without an answer is given up.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without any line on a watch after which it is opened again. The
/// platform sends a bookmark at least every second.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest answer that is read, bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The object changed since it was read, or exists already.
    #[snafu(display("conflict: the object is at revision {}", revision_of(current.as_deref())))]
    Conflict {
        /// Object as it is now; absent when it was deleted.
        current: Option<Box<Raw>>,
    },
    /// The platform did not take the call, which had no effect.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// What was observed.
        reason: String,
    },
    /// The call's answer was lost: a write may have taken effect.
    #[snafu(display("no answer from the platform: {reason}"))]
    Uncertain {
        /// What was observed.
        reason: String,
    },
    /// The revision is no longer available for a watch; list again.
    #[snafu(display("revision {revision} was compacted"))]
    Compacted {
        /// Revision that was asked for.
        revision: u64,
    },
    /// The platform refused the call for good.
    #[snafu(display("refused by the platform with status {status}: {reason}"))]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        reason: String,
    },
    /// The answer can't be understood.
    #[snafu(display("malformed answer from the platform: {source}"))]
    InvalidResponse {
        /// Cause.
        source: serde_json::Error,
    },
}

fn revision_of(current: Option<&Raw>) -> u64 {
    current.map_or(0, |o| o.metadata.revision)
}

/// Objects of one kind at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct List {
    /// Platform revision at which the list was taken.
    pub revision: u64,
    /// Objects in the order of their names.
    pub items: Vec<Raw>,
}

/// What happened to an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Change {
    /// Created.
    Added,
    /// Written again.
    Modified,
    /// Deleted; the object carries the revision of the deletion.
    Deleted,
    /// Nothing happened up to the revision that the object carries.
    Bookmark,
}

/// One line of a watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type")]
    pub change: Change,
    /// Object after the change.
    pub object: Raw,
}

/// Reads and conditional writes, as the journal and the lease need them.
pub trait Api: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Raw>, Error>> + Send;
    /// Lists the objects of a kind whose names begin with `prefix`.
    fn list(&self, kind: Kind, prefix: &str) -> impl Future<Output = Result<List, Error>> + Send;
    /// Writes an object on condition that its revision is unchanged; 0 creates it.
    fn put(&self, object: Raw) -> impl Future<Output = Result<Raw, Error>> + Send;
    /// Deletes an object on condition that its revision is unchanged.
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
    /// Client for the platform at `address`; connections start from `bind`.
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

    /// Opens a watch that delivers every change of `kinds` after `revision`.
    ///
    /// # Errors
    /// `Compacted` when the caller has to list again.
    pub async fn watch(&self, revision: u64, kinds: &[Kind]) -> Result<Watch, Error> {
        let names: Vec<&str> = kinds.iter().map(|k| k.name()).collect();
        let path = format!(
            "/apis/v1/watch?revision={revision}&kinds={}",
            names.join(",")
        );
        let answer = self.send(Method::GET, &path, Bytes::new()).await?;
        match answer.status() {
            StatusCode::OK => Ok(Watch {
                body: answer.into_body(),
                pending: Vec::new(),
            }),
            StatusCode::GONE => CompactedSnafu { revision }.fail(),
            _ => Err(refusal(answer).await),
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
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) if e.is_connect() => UnavailableSnafu {
                reason: e.to_string(),
            }
            .fail(),
            Ok(Err(e)) => UncertainSnafu {
                reason: e.to_string(),
            }
            .fail(),
            Err(_) => UncertainSnafu {
                reason: format!("none within {CALL_TIMEOUT:?}"),
            }
            .fail(),
        }
    }

    async fn put_once(&self, object: &Raw) -> Result<Raw, Error> {
        let path = path_of(object.kind, &object.metadata.name);
        let body = serde_json::to_vec(object).context(InvalidResponseSnafu)?;
        let answer = self.send(Method::PUT, &path, body.into()).await?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => {
                serde_json::from_slice(&read(answer).await?).context(InvalidResponseSnafu)
            }
            StatusCode::CONFLICT => {
                let current =
                    serde_json::from_slice(&read(answer).await?).context(InvalidResponseSnafu)?;
                ConflictSnafu {
                    current: Some(Box::new(current)),
                }
                .fail()
            }
            StatusCode::NOT_FOUND => ConflictSnafu { current: None }.fail(),
            _ => Err(refusal(answer).await),
        }
    }
}

impl Api for Client {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
        let answer = self
            .send(Method::GET, &path_of(kind, name), Bytes::new())
            .await?;
        match answer.status() {
            StatusCode::OK => serde_json::from_slice(&read(answer).await?)
                .context(InvalidResponseSnafu)
                .map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(refusal(answer).await),
        }
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<List, Error> {
        let path = format!("/apis/v1/{kind}?prefix={prefix}");
        let answer = self.send(Method::GET, &path, Bytes::new()).await?;
        if answer.status() != StatusCode::OK {
            return Err(refusal(answer).await);
        }
        serde_json::from_slice(&read(answer).await?).context(InvalidResponseSnafu)
    }

    /// Gives the write an operation id. After a lost answer the object is read
    /// back: the write took effect if it carries the id. Another id proves
    /// nothing, since the write may have taken effect and been replaced.
    async fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        resource::check_name(&object.metadata.name).map_err(|e| Error::Rejected {
            status: StatusCode::BAD_REQUEST.as_u16(),
            reason: e.to_string(),
        })?;
        object.metadata.operation = new_id();
        let reason = match self.put_once(&object).await {
            Err(Error::Uncertain { reason }) => reason,
            // A resend by the HTTP client can conflict with its own first copy.
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
        let path = format!("{}?revision={revision}", path_of(kind, name));
        let answer = self.send(Method::DELETE, &path, Bytes::new()).await?;
        match answer.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            StatusCode::CONFLICT => {
                let current =
                    serde_json::from_slice(&read(answer).await?).context(InvalidResponseSnafu)?;
                ConflictSnafu {
                    current: Some(Box::new(current)),
                }
                .fail()
            }
            _ => Err(refusal(answer).await),
        }
    }
}

/// An open watch.
#[derive(Debug)]
pub struct Watch {
    body: body::Incoming,
    pending: Vec<u8>,
}

impl Watch {
    /// Next event, or `None` when the platform closed the watch.
    ///
    /// # Errors
    /// Fails when the connection broke or went silent.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.pending.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.pending.drain(..=end).collect();
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
                        reason: "the watch went silent",
                    }
                    .fail();
                }
            };
            if let Some(data) = frame.data_ref() {
                self.pending.extend_from_slice(data);
            }
        }
    }
}

/// A random identifier of 128 bits, in hexadecimal.
#[must_use]
pub fn new_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn path_of(kind: Kind, name: &str) -> String {
    format!("/apis/v1/{kind}/{name}")
}

async fn read(answer: http::Response<body::Incoming>) -> Result<Bytes, Error> {
    let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES);
    match time::timeout(CALL_TIMEOUT, body.collect()).await {
        Ok(Ok(all)) => Ok(all.to_bytes()),
        Ok(Err(e)) => UncertainSnafu {
            reason: e.to_string(),
        }
        .fail(),
        Err(_) => UncertainSnafu {
            reason: "the answer stopped half-way",
        }
        .fail(),
    }
}

async fn refusal(answer: http::Response<body::Incoming>) -> Error {
    let status = answer.status();
    let text = read(answer).await.unwrap_or_default();
    let reason: String = String::from_utf8_lossy(&text).chars().take(200).collect();
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
