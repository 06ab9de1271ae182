//! Hands manifests and chunks out to peers.

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
use crate::net;
use crate::node::relay;

/// Time in which the origin sends a manifest for a peer.
const MANIFEST_WAIT: Duration = Duration::from_secs(1);
/// Bytes that are sent at once; on the narrowest links of today's sites they take 4 ms.
const SLICE: usize = 4_096;
/// Share of the VM's link that uploads use while its target serves requests.
const BUSY_SHARE: f64 = 0.75;
/// Share of the VM's link that uploads use while its target serves none, and that the
/// catalog uses at any time: it is short and urgent.
const IDLE_SHARE: f64 = 0.95;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a peer asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Item {
    Manifest,
    Chunk(usize),
}

/// Path at which peers hand out a manifest.
#[must_use]
pub fn manifest_path(model: &str, version: u64) -> String {
    format!("/weights/{model}/{version}/manifest")
}

/// Path at which peers hand out a chunk.
#[must_use]
pub fn chunk_path(model: &str, version: u64, index: usize) -> String {
    format!("/weights/{model}/{version}/{index}")
}

fn parse(path: &str) -> Option<(&str, u64, Item)> {
    let mut parts = path.strip_prefix("/weights/")?.split('/');
    let (model, version, item) = (parts.next()?, parts.next()?, parts.next()?);
    let item = match item {
        "manifest" => Item::Manifest,
        index => Item::Chunk(index.parse().ok()?),
    };
    Some((model, version.parse().ok()?, item))
}

/// Serves peers until the process ends.
pub async fn run<C: Clock>(listener: TcpListener, host: Arc<Host<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, host.clone()));
            }
            Err(e) => {
                let reason = e.to_string();
                warn!(reason = reason.as_str(); "can't accept peers");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<C: Clock>(stream: TcpStream, host: Arc<Host<C>>) {
    if let Err(e) = net::prepare(&stream) {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "peer's connection refused");
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(answer(&host, request.uri()).await) }
    });
    // A peer whose connection breaks asks again elsewhere.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<C: Clock>(
    host: &Arc<Host<C>>,
    uri: &Uri,
) -> Response<StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>> + use<C>>> {
    if uri.path() == relay::PATH {
        let query = uri.query().unwrap_or_default();
        let (board, contact) = (&host.board, &host.contact);
        let found = relay::answer(board, contact, &host.cache, query, &host.clock).await;
        return respond(host, found, StatusCode::SERVICE_UNAVAILABLE, IDLE_SHARE);
    }
    let found = match parse(uri.path()) {
        Some((model, version, Item::Manifest)) => manifest(host, model, version).await,
        Some((model, version, Item::Chunk(index))) => chunk(host, model, version, index).await,
        None => None,
    };
    let share = if host.is_serving() {
        BUSY_SHARE
    } else {
        IDLE_SHARE
    };
    respond(host, found, StatusCode::NOT_FOUND, share)
}

fn respond<C: Clock>(
    host: &Arc<Host<C>>,
    found: Option<Bytes>,
    absent: StatusCode,
    share: f64,
) -> Response<StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>> + use<C>>> {
    let status = found.as_ref().map_or(absent, |_| StatusCode::OK);
    let rest = found.unwrap_or_default();
    let mut response = Response::new(StreamBody::new(slices(host.clone(), rest, share)));
    *response.status_mut() = status;
    response
}

/// Sends data in slices at the pace of the host's uploads, so that the requests of the
/// target on the same link never wait behind a whole chunk.
fn slices<C: Clock>(
    host: Arc<Host<C>>,
    data: Bytes,
    share: f64,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    stream::unfold((host, data), move |(host, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let slice = rest.split_to(rest.len().min(SLICE));
        let now = host.clock.now();
        let wait = host.uploads.lock().reserve(slice.len(), share, now);
        time::sleep(wait).await;
        Some((Ok(Frame::data(slice)), (host, rest)))
    })
}

async fn manifest<C: Clock>(host: &Arc<Host<C>>, model: &str, version: u64) -> Option<Bytes> {
    let found = time::timeout(MANIFEST_WAIT, host.original(model, version)).await;
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

/// A chunk that is in memory or staged at the target.
async fn chunk<C: Clock>(
    host: &Arc<Host<C>>,
    model: &str,
    version: u64,
    index: usize,
) -> Option<Bytes> {
    match host.chunks.get(model, version, index) {
        Some(data) => Some(data),
        None => host.staged(model, version, index).await,
    }
}
