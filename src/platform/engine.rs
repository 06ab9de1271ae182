//! Client for model engines and for the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::digest::Digest;
use crate::net::{self, uri};
use crate::platform::decode::{self, WireHeldModel, WireLayers};
use crate::platform::figure::Count;
use crate::platform::readable;

/// Maximum size of a response body, bytes.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

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
    #[snafu(display("{path} returned status {status}"))]
    Status {
        /// Request path.
        path: String,
        /// HTTP status.
        status: StatusCode,
    },
    /// The response is not valid JSON of the expected shape.
    #[snafu(display("malformed response to {path}: {source}"))]
    Malformed {
        /// Request path.
        path: String,
        /// Underlying error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether the engine refused the connection, so that its process does not run.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Net { source } if source.is_refused())
    }

    /// Whether the engine did not answer in time. It may go on with its requests.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Net { source } if source.is_timeout())
    }
}

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of load orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Factor by which the engine is slower than usual; 1 is normal speed.
    pub slowdown: f64,
    /// Version of the weights that the engine holds completely.
    pub weights: Option<u64>,
    /// Start time of the engine, Unix milliseconds; 0 if unknown.
    pub started: u64,
}

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    busy: bool,
    /// Number of accepted load orders, not a sequence number of the report.
    #[serde(default)]
    sequence: Count,
    #[serde(default)]
    queued: Count,
    #[serde(default)]
    running: Count,
    pace: Option<f64>,
    #[serde(default)]
    models: Vec<WireHeldModel>,
    layers: Option<WireLayers>,
    born: Option<Count>,
}

/// Chunk digests of one version of a model's weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Size of a chunk, bytes; 0 if unknown.
    #[serde(default, rename = "chunk_bytes")]
    pub chunk_size: u32,
    /// Digest of each chunk, in order.
    pub digests: Vec<Digest>,
}

#[derive(Deserialize)]
struct WireManifest {
    model: String,
    version: Count,
    #[serde(default)]
    chunk_bytes: Count,
    digests: Vec<Digest>,
}

/// Result of an order to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The engine started to load the weights.
    Begun,
    /// The engine already holds these weights.
    Done,
    /// The precondition failed: the engine accepted another order in the meantime.
    Conflict,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    operation: &'static str,
    model: &'a str,
    version: u64,
    /// `wait` loads the weights after the running requests have finished.
    switch_mode: &'static str,
    /// Number of orders that the engine must have accepted so far.
    precondition: u64,
    fencing_token: u64,
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = address.to_string().parse();
    if let Ok(host) = host {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<http::Response<Bytes>, Error> {
    let request = build_request(address, method, path, body);
    net::call_once(address, request, limit, MAX_RESPONSE)
        .await
        .context(NetSnafu)
}

async fn get(address: SocketAddr, path: &str, limit: Duration) -> Result<Bytes, Error> {
    let response = call(address, Method::GET, path, Bytes::new(), limit).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        return StatusSnafu { path, status }.fail();
    }
    Ok(response.into_body())
}

/// Client for GET requests to one engine over a reused connection.
#[derive(Debug)]
struct Client {
    address: SocketAddr,
    connection: Option<net::Connection>,
}

impl Client {
    /// Sends a request; connects if there is no connection.
    async fn get(&mut self, path: &str, limit: Duration) -> Result<Bytes, Error> {
        // The connection is reused only after a complete response.
        let open = self.connection.take().filter(net::Connection::is_open);
        let mut connection = match open {
            Some(connection) => connection,
            None => net::Connection::open(self.address, limit)
                .await
                .context(NetSnafu)?,
        };
        let request = build_request(self.address, Method::GET, path, Bytes::new());
        let response = connection.call(request, limit, MAX_RESPONSE).await;
        let response = response.context(NetSnafu)?;
        let status = response.status();
        if status != StatusCode::OK {
            return StatusSnafu { path, status }.fail();
        }
        self.connection = Some(connection);
        Ok(response.into_body())
    }
}

/// Client that fetches the reports of one engine over a reused connection.
#[derive(Debug)]
pub struct ReportClient {
    client: Client,
}

impl ReportClient {
    /// Creates a client for the engine at `address`; connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let connection = None;
        Self {
            client: Client {
                address,
                connection,
            },
        }
    }

    /// Fetches the engine's current report.
    ///
    /// # Errors
    /// Fails when the engine does not respond within `limit`, or not with a report.
    pub async fn fetch(&mut self, limit: Duration) -> Result<Report, Error> {
        let path = "/report";
        let body = self.client.get(path, limit).await?;
        let wire: WireReport = readable::from_slice(&body).context(MalformedSnafu { path })?;
        Ok(convert(&wire))
    }
}

/// Client that reads staged chunks of one engine back over a reused connection.
#[derive(Debug)]
pub struct StageReader {
    client: Client,
}

impl StageReader {
    /// Creates a client for the engine at `address`; connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let connection = None;
        Self {
            client: Client {
                address,
                connection,
            },
        }
    }

    /// Reads chunk `index` from the engine's staging area and checks it against `digest`.
    ///
    /// # Errors
    /// Fails when the engine does not have the chunk or does not respond within `limit`.
    pub async fn is_sound(
        &mut self,
        model: &str,
        (index, digest): (usize, &Digest),
        limit: Duration,
    ) -> Result<bool, Error> {
        let body = self.client.get(&staged_path(model, index), limit).await?;
        let is_sound = Digest::of(&body) == *digest;
        if !is_sound {
            // The bytes may belong to another response.
            self.client.connection = None;
        }
        Ok(is_sound)
    }
}

fn convert(wire: &WireReport) -> Report {
    Report {
        busy: wire.busy,
        accepted_orders: wire.sequence.to_u64(),
        queued: wire.queued.to_u32(),
        running: wire.running.to_u32(),
        slowdown: wire.pace.unwrap_or(1.0),
        weights: decode::complete_version(&wire.models, wire.layers.as_ref()),
        started: wire.born.map_or(0, Count::to_u64),
    }
}

/// Fetches the manifest of `version` of `model` from the origin.
///
/// # Errors
/// Fails when the origin does not respond within `limit` or no longer has the version.
pub async fn fetch_manifest(
    origin: SocketAddr,
    model: &str,
    version: u64,
    limit: Duration,
) -> Result<Manifest, Error> {
    let path = format!("/manifest/{}?version={version}", uri::escape(model));
    let body = get(origin, &path, limit).await?;
    let wire: WireManifest = readable::from_slice(&body).context(MalformedSnafu { path })?;
    Ok(Manifest {
        model: wire.model,
        version: wire.version.to_u64(),
        chunk_size: wire.chunk_bytes.to_u32(),
        digests: wire.digests,
    })
}

/// Fetches chunk `index` of `version` of `model` from the origin. The digest is not verified.
///
/// # Errors
/// Fails when the origin does not respond within `limit` or no longer has the version.
pub async fn fetch_chunk(
    origin: SocketAddr,
    model: &str,
    version: u64,
    index: usize,
    limit: Duration,
) -> Result<Bytes, Error> {
    let model = uri::escape(model);
    let path = format!("/piece/{model}?item_count={index}&version={version}");
    get(origin, &path, limit).await
}

/// Stores chunk `index` in the engine's staging area, replacing any chunk there.
///
/// # Errors
/// Fails when the engine does not accept the chunk within `limit`.
pub async fn stage_chunk(
    engine: SocketAddr,
    model: &str,
    index: usize,
    data: Bytes,
    limit: Duration,
) -> Result<(), Error> {
    let path = format!("/stage-put/{}?item_count={index}", uri::escape(model));
    let response = call(engine, Method::PUT, &path, data, limit).await?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    StatusSnafu { path, status }.fail()
}

/// Reads chunk `index` from the engine's staging area. The digest is not verified.
///
/// # Errors
/// Fails when the engine does not have the chunk or does not respond within `limit`.
pub async fn read_staged(
    engine: SocketAddr,
    model: &str,
    index: usize,
    limit: Duration,
) -> Result<Bytes, Error> {
    get(engine, &staged_path(model, index), limit).await
}

fn staged_path(model: &str, index: usize) -> String {
    format!("/stage-get/{}?item_count={index}", uri::escape(model))
}

/// Connection to an engine for one order, open so that the order can follow at once on a check.
#[derive(Debug)]
pub struct OrderConnection {
    engine: SocketAddr,
    connection: net::Connection,
}

impl OrderConnection {
    /// Connects to the engine at `engine`.
    ///
    /// # Errors
    /// Fails when the engine does not accept the connection within `limit`.
    pub async fn open(engine: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connection = net::Connection::open(engine, limit);
        let connection = connection.await.context(NetSnafu)?;
        Ok(Self { engine, connection })
    }

    /// Orders the engine to load the staged weights after its running requests. `accepted` is
    /// the number of orders that the engine is expected to have accepted so far.
    ///
    /// # Errors
    /// Fails when the engine does not respond within `limit` or responds with an unexpected
    /// status. After a connection error or timeout, the order may have been accepted, and the
    /// engine may still accept it.
    pub async fn load(
        mut self,
        model: &str,
        version: u64,
        accepted: u64,
        limit: Duration,
    ) -> Result<LoadOutcome, Error> {
        let path = "/order";
        let order = WireOrder {
            operation: "start",
            model,
            version,
            switch_mode: "wait",
            precondition: accepted,
            fencing_token: version,
        };
        let body = serde_json::to_vec(&order).context(MalformedSnafu { path })?;
        let request = build_request(self.engine, Method::POST, path, body.into());
        let response = self.connection.call(request, limit, MAX_RESPONSE).await;
        let response = response.context(NetSnafu)?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(LoadOutcome::Begun),
            StatusCode::OK => Ok(LoadOutcome::Done),
            StatusCode::CONFLICT => Ok(LoadOutcome::Conflict),
            status => StatusSnafu { path, status }.fail(),
        }
    }
}
