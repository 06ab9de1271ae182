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
use crate::net;

/// Maximum size of a response body, bytes; a page holds about 1 MB.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;
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
    #[serde(default)]
    pub spec: Value,
}

/// Metadata of an object.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Meta {
    /// Name, unique within its kind.
    pub name: String,
    /// Store revision of its last change.
    #[serde(default)]
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
    pub events: Vec<Event>,
    /// Revision from which the next watch continues.
    #[serde(rename = "as_of")]
    pub revision: u64,
}

/// Complete list of the objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Objects, sorted by name.
    pub items: Vec<Object>,
    /// Revision from which a watch misses no change.
    pub revision: u64,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Object>,
    #[serde(default)]
    has_more: bool,
    as_of: u64,
}

/// Store client with one reused connection; its calls run one after another.
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
    /// Creates a client for the store at `address`; connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
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
        let mut path = format!("/objects/{}?{options}", kind(topic));
        loop {
            let response = self.get(&path, RESPONSE_TIMEOUT, 0).await?;
            let page: Page = serde_json::from_slice(&response).context(MalformedSnafu)?;
            // A watch from the first page's revision covers changes made between pages.
            if list.revision == 0 {
                list.revision = page.as_of;
            }
            list.items.extend(page.items);
            match list.items.last() {
                Some(object) if page.has_more => {
                    let after = &object.meta.name;
                    path = format!("/objects/{}?{options}&after={after}", kind(topic));
                }
                _ => return Ok(list),
            }
        }
    }

    /// Waits up to `wait` for changes after `revision`, and up to `grace` longer for the
    /// response.
    ///
    /// # Errors
    /// Fails with [`Error::Compacted`] when the store no longer has the changes since
    /// `revision`, and with other errors when the call fails.
    pub async fn watch(
        &mut self,
        topic: Topic,
        revision: u64,
        wait: Duration,
        grace: Duration,
    ) -> Result<Changes, Error> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/objects/{}?watch={revision}&wait_ms={wait_ms}",
            kind(topic)
        );
        let body = self.get(&path, wait + grace, revision).await?;
        serde_json::from_slice(&body).context(MalformedSnafu)
    }

    /// Checks with the cheapest call, which accepts stale data, that the store serves this VM.
    ///
    /// # Errors
    /// Fails when the store does not respond or rejects the call.
    pub async fn ping(&mut self) -> Result<(), Error> {
        let path = format!("/objects/{}?stale_ok=1", kind(Topic::Releases));
        self.get(&path, RESPONSE_TIMEOUT, 0).await.map(|_| ())
    }

    async fn get(&mut self, path: &str, limit: Duration, revision: u64) -> Result<Bytes, Error> {
        // The connection is reused only after a complete response, so that a late one is
        // never read as the response to another call.
        let open = self.connection.take().filter(net::Connection::is_open);
        let mut connection = match open {
            Some(connection) => connection,
            None => net::Connection::open(self.address, CONNECT_TIMEOUT)
                .await
                .context(NetSnafu)?,
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = header::HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let response = connection.call(request, limit, MAX_RESPONSE).await;
        let response = response.context(NetSnafu)?;
        self.connection = Some(connection);
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            StatusCode::GONE => CompactedSnafu { revision }.fail(),
            status => StatusSnafu { status }.fail(),
        }
    }
}
