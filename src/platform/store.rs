//! Client of the platform's store: lists and watches of objects by kind.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::fleet::catalog::Topic;
use crate::net;

/// Largest answer of the store, bytes; a page holds about 1 MB.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Time for opening a connection to the store.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time beyond the wait of a watch until the answer must be there.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call did not reach the store, or its answer was lost.
    #[snafu(display("{source}"))]
    Net {
        /// Cause.
        source: net::Error,
    },
    /// The store turned the call away.
    #[snafu(display("the store answered {status}"))]
    Refused {
        /// HTTP status.
        status: StatusCode,
    },
    /// The history since the asked revision is gone; list again.
    #[snafu(display("the store no longer has the history since revision {revision}"))]
    Compacted {
        /// Revision that was asked for.
        revision: u64,
    },
    /// The answer can't be understood.
    #[snafu(display("malformed answer of the store: {source}"))]
    Malformed {
        /// Cause.
        source: serde_json::Error,
    },
}

/// One object.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Object {
    /// Name and revision.
    #[serde(rename = "metadata")]
    pub meta: Meta,
    /// What its writer said.
    #[serde(default)]
    pub spec: Value,
}

/// Name and revision of an object.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Meta {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    #[serde(default)]
    pub revision: u64,
}

/// A change of one object.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Whether the object no longer exists.
    #[serde(default)]
    pub removed: bool,
    /// Object after the change.
    pub object: Object,
}

/// Answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    /// Changes in their order; empty when nothing happened in time.
    pub events: Vec<Event>,
    /// Revision from which to continue; the wire calls it `as_of`.
    #[serde(rename = "as_of")]
    pub revision: u64,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Objects in the order of their names.
    pub items: Vec<Object>,
    /// Revision from which a watch continues without a gap.
    pub revision: u64,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Object>,
    #[serde(default)]
    has_more: bool,
    as_of: u64,
}

/// Connection to the store for one topic.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<net::Connection>,
}

fn kind(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => "config",
        Topic::Targets => "servers",
        Topic::Releases => "versions",
    }
}

impl Client {
    /// Client for the store at `address`; connects when first used.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// All objects of a topic.
    ///
    /// # Errors
    /// Fails when the store does not answer all pages.
    pub async fn list(&mut self, topic: Topic) -> Result<List, Error> {
        let mut list = List::default();
        let mut path = format!("/objects/{}", kind(topic));
        loop {
            let answer = self.get(&path, ANSWER_LIMIT, 0).await?;
            let page: Page = serde_json::from_slice(&answer).context(MalformedSnafu)?;
            // Changes between two pages are watched again from the first page's revision.
            if list.revision == 0 {
                list.revision = page.as_of;
            }
            list.items.extend(page.items);
            match list.items.last() {
                Some(end) if page.has_more => {
                    path = format!("/objects/{}?after={}", kind(topic), end.meta.name);
                }
                _ => return Ok(list),
            }
        }
    }

    /// Waits up to `wait` for changes after `revision`.
    ///
    /// # Errors
    /// [`Error::Compacted`] when that history is gone; others when the store does not answer.
    pub async fn watch(
        &mut self,
        topic: Topic,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/objects/{}?watch={revision}&wait_ms={wait_ms}",
            kind(topic)
        );
        let body = self.get(&path, wait + ANSWER_LIMIT, revision).await?;
        serde_json::from_slice(&body).context(MalformedSnafu)
    }

    /// Makes the cheapest call that proves that the store answers this VM.
    ///
    /// # Errors
    /// Fails when the store does not answer or turns the call away.
    pub async fn ping(&mut self) -> Result<(), Error> {
        let path = format!("/objects/{}?stale_ok=1", kind(Topic::Releases));
        self.get(&path, ANSWER_LIMIT, 0).await.map(|_| ())
    }

    async fn get(&mut self, path: &str, limit: Duration, revision: u64) -> Result<Bytes, Error> {
        // The connection comes back only after a complete answer, so that a late
        // one is never read as the answer to another call.
        let open = self.connection.take().filter(net::Connection::is_open);
        let mut connection = match open {
            Some(connection) => connection,
            None => net::Connection::open(self.address, CONNECT_LIMIT)
                .await
                .context(NetSnafu)?,
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = header::HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = connection.call(request, limit, MAX_ANSWER).await;
        let answer = answer.context(NetSnafu)?;
        self.connection = Some(connection);
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::GONE => CompactedSnafu { revision }.fail(),
            status => RefusedSnafu { status }.fail(),
        }
    }
}
