//! Calls to a model engine and to the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::digest::Digest;
use crate::net;
use crate::platform::decode::{self, Held, Layers};

/// Largest answer of an engine or the origin, bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No usable answer arrived.
    #[snafu(display("{source}"))]
    Net {
        /// Cause.
        source: net::Error,
    },
    /// The call was refused.
    #[snafu(display("{path} was answered {status}"))]
    Refused {
        /// Path of the call.
        path: String,
        /// HTTP status.
        status: StatusCode,
    },
    /// The answer can't be understood.
    #[snafu(display("malformed answer to {path}: {source}"))]
    Malformed {
        /// Path of the call.
        path: String,
        /// Cause.
        source: serde_json::Error,
    },
}

/// State of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// How much slower than usual the engine works; 1 is usual.
    pub slowdown: f64,
    /// Version of the weights that the engine holds completely.
    pub weights: Option<u64>,
    /// Start of this lifetime, Unix milliseconds; 0 if not said.
    pub started: u64,
}

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    busy: bool,
    /// Orders accepted, not a position in a stream.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    running: u32,
    pace: Option<f64>,
    #[serde(default)]
    models: Vec<Held>,
    layers: Option<Layers>,
    born: Option<u64>,
}

/// Digests of the chunks of one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Manifest {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Digests in the order of the chunks.
    pub digests: Vec<Digest>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The engine begins.
    Begun,
    /// The engine holds these weights already.
    Done,
    /// The engine's state is not the expected one.
    Conflict,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    operation: &'static str,
    model: &'a str,
    version: u64,
    /// `wait` loads after what is running.
    switch_mode: &'static str,
    /// Expected number of accepted orders.
    precondition: u64,
    fencing_token: u64,
}

fn message(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
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
    let request = message(address, method, path, body);
    net::call_once(address, request, limit, MAX_ANSWER)
        .await
        .context(NetSnafu)
}

async fn get(address: SocketAddr, path: &str, limit: Duration) -> Result<Bytes, Error> {
    let answer = call(address, Method::GET, path, Bytes::new(), limit).await?;
    if answer.status() != StatusCode::OK {
        let status = answer.status();
        return RefusedSnafu { path, status }.fail();
    }
    Ok(answer.into_body())
}

/// Connection for the reports of one engine.
#[derive(Debug)]
pub struct ReportClient {
    address: SocketAddr,
    connection: Option<net::Connection>,
}

impl ReportClient {
    /// Creates a client for the engine at `address`; connects on first use.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// State of the engine.
    ///
    /// # Errors
    /// Fails when the engine does not answer within `limit`.
    pub async fn fetch(&mut self, limit: Duration) -> Result<Report, Error> {
        let path = "/report";
        // The connection comes back only after a complete answer.
        let open = self.connection.take().filter(net::Connection::is_open);
        let mut connection = match open {
            Some(connection) => connection,
            None => net::Connection::open(self.address, limit)
                .await
                .context(NetSnafu)?,
        };
        let request = message(self.address, Method::GET, path, Bytes::new());
        let answer = connection.call(request, limit, MAX_ANSWER).await;
        let answer = answer.context(NetSnafu)?;
        let status = answer.status();
        if status != StatusCode::OK {
            return RefusedSnafu { path, status }.fail();
        }
        self.connection = Some(connection);
        let wire: WireReport =
            serde_json::from_slice(answer.body()).context(MalformedSnafu { path })?;
        Ok(read(&wire))
    }
}

fn read(wire: &WireReport) -> Report {
    Report {
        busy: wire.busy,
        accepted_orders: wire.sequence,
        queued: wire.queued,
        running: wire.running,
        slowdown: wire.pace.unwrap_or(1.0),
        weights: decode::complete(&wire.models, wire.layers.as_ref()),
        started: wire.born.unwrap_or(0),
    }
}

/// Digests of `version` of `model` from the origin.
///
/// # Errors
/// Fails when the origin does not answer within `limit` or no longer has the version.
pub async fn fetch_manifest(
    origin: SocketAddr,
    model: &str,
    version: u64,
    limit: Duration,
) -> Result<Manifest, Error> {
    let path = format!("/manifest/{model}?version={version}");
    let body = get(origin, &path, limit).await?;
    serde_json::from_slice(&body).context(MalformedSnafu { path })
}

/// Chunk `index` of `version` of `model` from the origin; not yet verified.
///
/// # Errors
/// Fails when the origin does not answer within `limit` or no longer has the version.
pub async fn fetch_chunk(
    origin: SocketAddr,
    model: &str,
    version: u64,
    index: usize,
    limit: Duration,
) -> Result<Bytes, Error> {
    let path = format!("/piece/{model}?item_count={index}&version={version}");
    get(origin, &path, limit).await
}

/// Stores chunk `index` in the engine's staging area, over what is there.
///
/// # Errors
/// Fails when the engine does not take it within `limit`.
pub async fn stage_chunk(
    engine: SocketAddr,
    model: &str,
    index: usize,
    data: Bytes,
    limit: Duration,
) -> Result<(), Error> {
    let path = format!("/stage-put/{model}?item_count={index}");
    let answer = call(engine, Method::PUT, &path, data, limit).await?;
    let status = answer.status();
    if status.is_success() {
        return Ok(());
    }
    RefusedSnafu { path, status }.fail()
}

/// Chunk `index` from the engine's staging area; not yet verified.
///
/// # Errors
/// Fails when the engine does not have it or does not answer within `limit`.
pub async fn read_staged(
    engine: SocketAddr,
    model: &str,
    index: usize,
    limit: Duration,
) -> Result<Bytes, Error> {
    let path = format!("/stage-get/{model}?item_count={index}");
    get(engine, &path, limit).await
}

/// Orders the engine to load the staged weights after the requests that run.
///
/// # Errors
/// Fails when no answer arrives within `limit`: the order may have been accepted.
pub async fn load(
    engine: SocketAddr,
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
    let answer = call(engine, Method::POST, path, body.into(), limit).await?;
    match answer.status() {
        StatusCode::ACCEPTED => Ok(LoadOutcome::Begun),
        StatusCode::OK => Ok(LoadOutcome::Done),
        StatusCode::CONFLICT => Ok(LoadOutcome::Conflict),
        status => RefusedSnafu { path, status }.fail(),
    }
}
