//! Serves manifests, chunks and the relayed catalog to peers over HTTP.

use std::borrow::Cow;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::clock::Clock;
use crate::host::Host;
use crate::net::{self, uri};
use crate::node::relay;
use crate::place::pace::SendWindow;

/// Timeout for fetching a manifest from the origin on behalf of a peer.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes sent at once; 4 ms on the narrowest links of current sites.
const SLICE_SIZE: usize = 4_096;
/// Share of the VM's link for uploads while its target serves requests.
const SERVING_SHARE: f64 = 0.75;
/// Share of the VM's link for uploads while its target has no weights, and for the catalog
/// at any time, since it is short and urgent.
const IDLE_SHARE: f64 = 0.95;
/// Upload backlog above which chunk requests are refused, so that peers try other sources.
/// About ten chunks on the narrowest links of current sites.
const MAX_BACKLOG: Duration = Duration::from_millis(450);
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Resource that a peer requests.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Item {
    Manifest,
    Chunk(usize),
}

/// HTTP path of a manifest at a peer.
#[must_use]
pub fn manifest_path(model: &str, version: u64) -> String {
    format!("/weights/{}/{version}/manifest", uri::escape(model))
}

/// HTTP path of a chunk at a peer.
#[must_use]
pub fn chunk_path(model: &str, version: u64, index: usize) -> String {
    format!("/weights/{}/{version}/{index}", uri::escape(model))
}

/// Model, version and item of a path below `/weights/`.
fn parse(path: &str) -> Option<(Cow<'_, str>, u64, Item)> {
    let mut parts = path.strip_prefix("/weights/")?.split('/');
    let (model, version, item) = (parts.next()?, parts.next()?, parts.next()?);
    let item = match item {
        "manifest" => Item::Manifest,
        index => Item::Chunk(index.parse().ok()?),
    };
    Some((uri::unescape(model)?, version.parse().ok()?, item))
}

/// Serves peers on `listener` until the process ends.
pub async fn run<C: Clock>(listener: TcpListener, host: Arc<Host<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, host.clone()));
            }
            Err(e) => {
                let reason = e.to_string();
                warn!(reason = reason.as_str(); "can't accept peer connections");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_connection<C: Clock>(stream: TcpStream, host: Arc<Host<C>>) {
    if let Err(e) = net::configure_socket(&stream) {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "peer connection setup failed");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(handle(&host, request.uri()).await) }
    });
    // A peer whose connection breaks retries with another source.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Handles a request for the catalog, a manifest or a chunk.
async fn handle<C: Clock>(
    host: &Arc<Host<C>>,
    uri: &Uri,
) -> Response<StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>> + use<C>>> {
    if uri.path() == relay::PATH {
        let query = uri.query().unwrap_or_default();
        let (catalog, contact) = (&host.catalog, &host.contact);
        let found = relay::respond(catalog, contact, &host.relay_cache, query, &host.clock).await;
        let found = found.ok_or(StatusCode::SERVICE_UNAVAILABLE);
        return respond(host, found, IDLE_SHARE, true);
    }
    let (found, is_urgent) = match parse(uri.path()) {
        // Urgent: manifests are short, and a peer requests no chunk without one.
        Some((model, version, Item::Manifest)) => (manifest(host, &model, version).await, true),
        Some((model, version, Item::Chunk(index))) => {
            if host.upload_pacer.lock().backlog(host.clock.now()) > MAX_BACKLOG {
                return respond(host, Err(StatusCode::TOO_MANY_REQUESTS), IDLE_SHARE, true);
            }
            (chunk(host, &model, version, index).await, false)
        }
        None => (None, true),
    };
    let share = if host.is_serving() {
        SERVING_SHARE
    } else {
        IDLE_SHARE
    };
    let found = found.ok_or(StatusCode::NOT_FOUND);
    respond(host, found, share, is_urgent)
}

/// Paced response with the body `found`, or an empty one with the status in `Err`.
fn respond<C: Clock>(
    host: &Host<C>,
    found: Result<Bytes, StatusCode>,
    share: f64,
    is_urgent: bool,
) -> Response<StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>> + use<C>>> {
    let (status, data) = match found {
        Ok(data) => (StatusCode::OK, data),
        Err(status) => (status, Bytes::new()),
    };
    let now = host.clock.now();
    let mut pacer = host.upload_pacer.lock();
    let window = if is_urgent {
        pacer.reserve_urgent(data.len(), share, now)
    } else {
        pacer.reserve(data.len(), share, now)
    };
    drop(pacer);
    let clock = host.clock.clone();
    let mut response = Response::new(StreamBody::new(slices(clock, data, window)));
    *response.status_mut() = status;
    response
}

/// Streams `data` in slices, paced over its reserved time on the link, so that requests to
/// the target on the same link never wait behind a whole chunk.
fn slices<C: Clock>(
    clock: C,
    data: Bytes,
    window: SendWindow,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    let length = data.len();
    stream::unfold((clock, data), move |(clock, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let at = window.send_time(length - rest.len(), length);
        let slice = rest.split_to(rest.len().min(SLICE_SIZE));
        time::sleep(at.saturating_duration_since(clock.now())).await;
        Some((Ok(Frame::data(slice)), (clock, rest)))
    })
}

async fn manifest<C: Clock>(host: &Arc<Host<C>>, model: &str, version: u64) -> Option<Bytes> {
    let found = time::timeout(MANIFEST_TIMEOUT, host.origin_manifest(model, version)).await;
    let manifest = found.ok()??;
    match serde_json::to_vec(&*manifest) {
        Ok(body) => Some(body.into()),
        Err(e) => {
            let reason = e.to_string();
            warn!(reason = reason.as_str(); "manifest can't be encoded");
            None
        }
    }
}

/// A chunk from memory or from the target's staging area.
async fn chunk<C: Clock>(
    host: &Arc<Host<C>>,
    model: &str,
    version: u64,
    index: usize,
) -> Option<Bytes> {
    match host.chunks.get(model, version, index) {
        Some(data) => Some(data),
        None => host.staged_chunk(model, version, index).await,
    }
}
