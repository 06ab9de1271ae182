//! Admission of requests to the target and forwarding in both directions.
//!
//! A request counts as in progress before the served version is read, and the
//! engine switches only when none is in progress, so an answer comes from one
//! version. The version in the answer's header is checked as well, because an
//! engine can restart or take another order on its own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time;

use super::forward::{Alone, Forwarded, Timing};
use crate::clock::Clock;
use crate::daemon::Context;
use crate::protocol::{self, Reason};
use crate::resource::service::Backend;
use crate::shared_state::{ModelVersion, Phase, RequestGuard};

/// Interval of HTTP/2 pings to entries.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a connection without an answer to a ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Streams that one entry may open on a connection.
const MAX_STREAMS: u32 = 4096;
/// Flow-control window of a stream, bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;
/// Requests admitted per slot of the target: one batch runs while the next one
/// waits, so a freed slot is never idle for a round trip to the entries.
const ADMITTED_PER_SLOT: u32 = 2;
/// Time allowed for connecting to the target on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Twice the time that a request without a deadline waits to run alone.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without use after which a connection to the target is closed. Servers
/// close idle connections themselves, and a request that meets the closing is lost.
const POOL_IDLE: Duration = Duration::from_secs(2);

type Client = legacy::Client<HttpConnector, Incoming>;

#[derive(Debug)]
struct Gate<C: Clock> {
    ctx: Context,
    clock: C,
    /// Told how long answers take; `None` without transfers.
    client: Client,
    target: SocketAddr,
    slots: u32,
    draining: watch::Receiver<bool>,
    broken: Arc<Notify>,
    /// Whether the target is kept for a request that runs alone.
    kept: Arc<AtomicBool>,
}

/// What an admission depends on.
#[derive(Clone, Debug)]
pub struct State {
    /// Phase of the process.
    pub phase: Phase,
    /// Whether the target leaves.
    pub draining: bool,
    /// What runs on the target; `None` while the configuration lacks the service.
    pub backend: Option<Backend>,
    /// What the engine may serve now.
    pub serving: Option<ModelVersion>,
    /// Requests in progress, the new one included.
    pub active: u32,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target is kept for another request.
    pub reserved: bool,
}

/// Admits a request, or says why not. Returns the `model@version` that the
/// answer must come from; `None` for plain services.
///
/// # Errors
/// Reason of the refusal.
pub fn admit(state: &State, wanted: Option<&str>) -> Result<Option<String>, Reason> {
    if state.draining || state.phase == Phase::Draining {
        return Err(Reason::Draining);
    }
    let Some(backend) = state.backend else {
        return Err(Reason::Starting);
    };
    if state.phase == Phase::Starting {
        return Err(Reason::Starting);
    }
    if state.reserved {
        return Err(Reason::Reserved);
    }
    if state.active > state.slots.saturating_mul(ADMITTED_PER_SLOT) {
        return Err(Reason::Full);
    }
    if backend == Backend::Plain {
        return Ok(None);
    }
    let serving = state.serving.as_ref().filter(|s| !s.model.is_empty());
    let version = serving.map(|s| format!("{}@{}", s.model, s.version));
    match (version, wanted) {
        (Some(version), Some(wanted)) if version == wanted => Ok(Some(version)),
        _ => Err(Reason::VersionMismatch),
    }
}

/// Serves entries on `listener` until the process stops.
pub fn start<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    draining: watch::Receiver<bool>,
    broken: Arc<Notify>,
) {
    let Some(target) = ctx.settings.target.clone() else {
        return;
    };
    let gate = Arc::new(Gate {
        ctx: ctx.clone(),
        clock,
        client: client(),
        target: target.address,
        slots: target.slots,
        draining,
        broken,
        kept: Arc::default(),
    });
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(accept(listener, gate)).await });
}

fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE)
        .build(connector)
}

async fn accept<C: Clock>(listener: TcpListener, gate: Arc<Gate<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, gate.clone()))),
            // Too many open files; accepted connections go on.
            Err(_) => time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve<C: Clock>(stream: TcpStream, gate: Arc<Gate<C>>) {
    let _ = stream.set_nodelay(true);
    let stop = gate.ctx.stop.clone();
    let service = service_fn(move |request| {
        let gate = gate.clone();
        async move { Ok::<_, Infallible>(gate.handle(request).await) }
    });
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

impl<C: Clock> Gate<C> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Forwarded<C>> {
        let active = RequestGuard::new(&self.ctx.state);
        let alone = if request.headers().contains_key(protocol::ALONE) {
            match self.reserve(request.headers()).await {
                Some(alone) => Some(alone),
                None => return refusal(Reason::Reserved),
            }
        } else {
            None
        };
        let wanted = request.headers().get(protocol::VERSION);
        let wanted = wanted.and_then(|v| v.to_str().ok());
        match admit(&self.state(&active, alone.is_some()), wanted) {
            Ok(version) => self.forward(request, active, alone, version).await,
            Err(reason) => refusal(reason),
        }
    }

    /// Keeps the target for one request and waits until the others have ended.
    /// Others are refused as soon as the target is kept, so the wait is bounded
    /// by the requests that are in progress.
    async fn reserve(&self, headers: &HeaderMap) -> Option<Alone> {
        let alone = Alone::new(&self.kept)?;
        let timeout = headers.get(protocol::TIMEOUT).and_then(|v| v.to_str().ok());
        let timeout = timeout.and_then(|v| v.parse().ok());
        // The other half is left for running it.
        let wait = timeout.map_or(RESERVE_TIMEOUT, Duration::from_millis) / 2;
        let mut active = self.ctx.state.active.subscribe();
        let only = active.wait_for(|n| *n <= 1);
        time::timeout(wait, only).await.ok()?.ok()?;
        Some(alone)
    }

    fn state(&self, active: &RequestGuard, alone: bool) -> State {
        let view = self.ctx.state.view();
        let service = super::own_service(&self.ctx, &view);
        State {
            phase: *self.ctx.state.phase.borrow(),
            draining: *self.draining.borrow(),
            backend: service.map(|s| s.spec.backend),
            serving: self.ctx.state.serving.borrow().clone(),
            active: active.count(),
            slots: self.slots,
            reserved: !alone && self.kept.load(Ordering::SeqCst),
        }
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        active: RequestGuard,
        alone: Option<Alone>,
        version: Option<String>,
    ) -> Response<Forwarded<C>> {
        let head = request.method() == Method::HEAD;
        let Some(request) = self.outgoing(request) else {
            return refusal(Reason::Unreachable);
        };
        let timing = Some(Timing::new(&self.clock, &self.ctx.state));
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(e) if e.is_connect() => {
                self.broken.notify_one();
                return refusal(Reason::Unreachable);
            }
            Err(e) => {
                log::warn!(error:% = e; "target broke a request");
                self.broken.notify_one();
                return refusal(Reason::Broken);
            }
        };
        if !is_framed(&answer, head) || !is_version(&answer, version.as_deref()) {
            return refusal(Reason::InvalidResponse);
        }
        let (mut parts, body) = answer.into_parts();
        protocol::remove_hop_by_hop(&mut parts.headers);
        parts.version = http::Version::HTTP_2;
        let broken = self.broken.clone();
        let body = Forwarded::Target {
            body,
            _active: active,
            _alone: alone,
            broken,
            timing,
        };
        Response::from_parts(parts, body)
    }

    fn outgoing(&self, mut request: Request<Incoming>) -> Option<Request<Incoming>> {
        let path = request.uri().path_and_query()?.as_str();
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.target.to_string())
            .path_and_query(path)
            .build();
        *request.uri_mut() = uri.ok()?;
        *request.version_mut() = http::Version::HTTP_11;
        protocol::remove_hop_by_hop(request.headers_mut());
        request.headers_mut().remove(header::HOST);
        Some(request)
    }
}

/// Whether the end of the body can be told from a broken connection.
fn is_framed(answer: &Response<Incoming>, head: bool) -> bool {
    let chunked = answer.headers().contains_key(header::TRANSFER_ENCODING);
    let exact = answer.body().size_hint().exact().is_some();
    head || chunked || exact
}

/// Whether the answer comes from `version`. Answers that refuse the request
/// carry no content of a model and need no version.
fn is_version(answer: &Response<Incoming>, version: Option<&str>) -> bool {
    let Some(version) = version else {
        return true;
    };
    let named = engine_version(answer.headers());
    match named {
        Some(named) => named == version,
        None => answer.status().is_client_error(),
    }
}

fn engine_version(headers: &HeaderMap) -> Option<&str> {
    headers.get(protocol::MODEL_VERSION)?.to_str().ok()
}

fn refusal<C: Clock>(reason: Reason) -> Response<Forwarded<C>> {
    let mut answer = Response::new(Forwarded::Own(Full::new(Bytes::new())));
    *answer.status_mut() = match reason.outcome() {
        protocol::Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    let headers = answer.headers_mut();
    headers.insert(
        protocol::OUTCOME,
        protocol::header_value(reason.outcome().name()),
    );
    headers.insert(protocol::REASON, protocol::header_value(reason.name()));
    answer
}
