//! Client for the platform's store, which lists and watches objects by kind.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::fleet::catalog::Topic;
use crate::fleet::revision;
use crate::net;
use crate::net::arrivals::Arrivals;
use crate::platform::figure;

mod lenient;
mod pages;

/// Maximum size of a response body, bytes; a page holds about 1 MB.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;
/// Header with the number of times that the store came back from a copy.
const ERA: &str = "store-era";
/// Time limit for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a response to a call other than a watch.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed or timed out.
    #[snafu(display("{source}"))]
    Net {
        /// Underlying error.
        source: net::Error,
    },
    /// The response has an error status.
    #[snafu(display("store returned status {status}"))]
    Status {
        /// HTTP status.
        status: StatusCode,
    },
    /// The changes since the requested revision were compacted; list again.
    #[snafu(display("store history since revision {revision} was compacted"))]
    Compacted {
        /// Requested revision.
        revision: u64,
    },
    /// The store came back from a copy since the requested revision, or between two pages; list
    /// again.
    #[snafu(display("store is in era {era}, not in that of the call"))]
    OtherEra {
        /// Era of the store.
        era: u64,
    },
    /// The response is not valid JSON of the expected shape.
    #[snafu(display("malformed store response: {source}"))]
    Malformed {
        /// Underlying error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether the store accepted the connection and did not answer in time.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        let Self::Net { source } = self else {
            return false;
        };
        matches!(source, net::Error::Timeout { .. })
    }
}

/// Object in the store.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Object {
    /// Metadata.
    #[serde(rename = "metadata")]
    pub meta: Meta,
    /// Content, not yet decoded.
    #[serde(default, deserialize_with = "lenient::value")]
    pub spec: Value,
}

/// Metadata of an object.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Meta {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of its last change, composed with the era of the response.
    #[serde(default, deserialize_with = "figure::whole")]
    pub revision: u64,
}

/// Change of one object.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Whether the object was removed.
    #[serde(default)]
    pub removed: bool,
    /// Object after the change.
    pub object: Object,
}

/// Response to a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    /// Changes in order; empty if none occurred during the wait.
    #[serde(deserialize_with = "lenient::list")]
    pub events: Vec<Event>,
    /// Composed revision from which the next watch continues.
    #[serde(rename = "as_of", deserialize_with = "figure::whole")]
    pub revision: u64,
}

/// Complete list of the objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Objects, sorted by name.
    pub items: Vec<Object>,
    /// Composed revision from which a watch misses no change.
    pub revision: u64,
}

#[derive(Deserialize)]
struct Page {
    #[serde(deserialize_with = "lenient::list")]
    items: Vec<Object>,
    #[serde(default)]
    has_more: bool,
    #[serde(deserialize_with = "figure::whole")]
    as_of: u64,
}

/// Body of a successful response with the era of the store.
struct Answer {
    body: Bytes,
    /// 0 if the store counts none.
    era: u64,
}

/// Store client with one reused connection; its calls run one after another.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<net::Connection>,
    arrivals: Arrivals,
}

fn kind(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => "config",
        Topic::Targets => "servers",
        Topic::Releases => "versions",
        Topic::Evacuations => "evacuations",
    }
}

impl Client {
    /// Creates a client for the store at `address`; connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            arrivals: Arrivals::default(),
        }
    }

    /// Tells `arrivals` of answers that are arriving.
    #[must_use]
    pub fn telling(mut self, arrivals: Arrivals) -> Self {
        self.arrivals = arrivals;
        self
    }

    /// Lists all objects of a topic, page by page.
    ///
    /// # Errors
    /// Fails when the store does not return all pages.
    pub async fn list(&mut self, topic: Topic) -> Result<List, Error> {
        self.list_pages(topic, "").await
    }

    /// Lists all objects of a topic from a copy that may be seconds old. This costs a tenth
    /// of [`Self::list`], and no watch may continue from it.
    ///
    /// # Errors
    /// Fails when the store does not return all pages.
    pub async fn list_stale(&mut self, topic: Topic) -> Result<List, Error> {
        self.list_pages(topic, "stale_ok=1").await
    }

    async fn list_pages(&mut self, topic: Topic, options: &str) -> Result<List, Error> {
        let mut list = List::default();
        let mut after = None;
        loop {
            let path = pages::path(kind(topic), options, after.as_deref());
            let Answer { body, era } = self.get(&path, RESPONSE_TIMEOUT, 0).await?;
            let mut page: Page = lenient::parse(&body).context(MalformedSnafu)?;
            // A watch from the first page's revision covers changes made between pages.
            if list.revision == 0 {
                list.revision = revision::at(era, page.as_of);
            } else if revision::era(list.revision) != era {
                return OtherEraSnafu { era }.fail();
            }
            for object in &mut page.items {
                object.meta.revision = revision::at(era, object.meta.revision);
            }
            let next = page
                .has_more
                .then(|| pages::next(&page.items, after.as_deref()));
            after = next.transpose().context(MalformedSnafu)?;
            list.items.extend(page.items);
            if after.is_none() {
                return Ok(list);
            }
        }
    }

    /// Waits up to `wait` for changes after the composed `revision`, and up to `grace` longer for
    /// the response.
    ///
    /// # Errors
    /// Fails with [`Error::Compacted`] when the store does not have the changes since `revision`,
    /// with [`Error::OtherEra`] when it has come back from a copy since then, and with other errors
    /// when the call fails.
    pub async fn watch(
        &mut self,
        topic: Topic,
        revision: u64,
        wait: Duration,
        grace: Duration,
    ) -> Result<Changes, Error> {
        let (number, wait_ms) = (revision::number(revision), wait.as_millis());
        let path = format!("/objects/{}?watch={number}&wait_ms={wait_ms}", kind(topic));
        let Answer { body, era } = self.get(&path, wait + grace, revision).await?;
        if era != revision::era(revision) {
            return OtherEraSnafu { era }.fail();
        }
        let mut changes: Changes = lenient::parse(&body).context(MalformedSnafu)?;
        changes.revision = revision::at(era, changes.revision);
        for event in &mut changes.events {
            let meta = &mut event.object.meta;
            meta.revision = revision::at(era, meta.revision);
        }
        Ok(changes)
    }

    /// Checks with the cheapest call, which accepts stale data, that the store serves this VM.
    ///
    /// # Errors
    /// Fails when the store does not respond or rejects the call.
    pub async fn ping(&mut self) -> Result<(), Error> {
        let path = format!("/objects/{}?stale_ok=1", kind(Topic::Releases));
        self.get(&path, RESPONSE_TIMEOUT, 0).await.map(|_| ())
    }

    async fn get(&mut self, path: &str, limit: Duration, revision: u64) -> Result<Answer, Error> {
        // The connection is reused only after a complete response, so that a late one is
        // never read as the response to another call.
        let open = self.connection.take().filter(net::Connection::is_open);
        let mut connection = match open {
            Some(connection) => connection,
            None => net::Connection::open(self.address, CONNECT_TIMEOUT)
                .await
                .context(NetSnafu)?
                .telling(self.arrivals.clone()),
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = header::HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        // An answer that has begun is not lost.
        let limits = (limit, RESPONSE_TIMEOUT);
        let response = connection.call_with_limits(request, limits, MAX_RESPONSE);
        let response = response.await.context(NetSnafu)?;
        self.connection = Some(connection);
        let era = response.headers().get(ERA).and_then(|e| e.to_str().ok());
        let era = era.and_then(|e| e.trim().parse().ok()).unwrap_or(0);
        match response.status() {
            StatusCode::OK => Ok(Answer {
                body: response.into_body(),
                era,
            }),
            StatusCode::GONE => CompactedSnafu { revision }.fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}
