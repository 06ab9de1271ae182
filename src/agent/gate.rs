//! Reverse proxy in front of the target: admits requests and forwards them.
//!
//! A request is counted as in progress before the served version is read, and the
//! engine switches only when no request is in progress. Each response therefore
//! comes from one version. The version header of the response is checked as well,
//! because an engine can restart or accept a load request from elsewhere.

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

use super::forward::{ExclusiveGuard, FirstByteTimer, ResponseBody};
use crate::clock::Clock;
use crate::daemon::Context;
use crate::protocol::{self, Reason};
use crate::resource::service::Backend;
use crate::shared_state::{ModelVersion, Phase, RequestGuard};

/// Interval of HTTP/2 keep-alive pings to entries.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Concurrent streams per connection.
const MAX_STREAMS: u32 = 4096;
/// HTTP/2 flow-control window of a stream, bytes.
const WINDOW_BYTES: u32 = 1024 * 1024;
/// Requests admitted per slot of the target: one runs while another one is queued
/// in the target, so a freed slot does not idle for a round trip to the entries.
const ADMITTED_PER_SLOT: u32 = 2;
/// Timeout for connecting to the target, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout assumed for an exclusive request that states none. Half of it may be
/// spent on waiting for the other requests to end.
const DEFAULT_EXCLUSIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle time after which a pooled connection to the target is closed. Servers close
/// idle connections too, and a request sent at that moment is lost.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

type Client = legacy::Client<HttpConnector, Incoming>;

#[derive(Debug)]
struct Proxy<C: Clock> {
    ctx: Context,
    clock: C,
    client: Client,
    target: SocketAddr,
    slots: u32,
    draining: watch::Receiver<bool>,
    /// Triggers a probe of the target after a failed request.
    probe_now: Arc<Notify>,
    /// Whether the target is reserved for an exclusive request.
    reserved: Arc<AtomicBool>,
}

/// State that the admission of a request depends on.
#[derive(Clone, Debug)]
pub struct State {
    /// Phase of the process.
    pub phase: Phase,
    /// Whether the target is draining.
    pub draining: bool,
    /// Kind of target; `None` while the configuration lacks the service.
    pub backend: Option<Backend>,
    /// Version that requests are admitted to; `None` during a switch.
    pub serving: Option<ModelVersion>,
    /// Requests in progress, the new one included.
    pub active: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is reserved for another request.
    pub reserved: bool,
}

/// Decides whether a request for `model@version` `wanted` is admitted. Returns the
/// `model@version` that the response must come from; `None` for plain services.
///
/// # Errors
/// Returns the reason why the request is not admitted.
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

/// Serves requests from entries on `listener` until the process stops.
pub fn start<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    draining: watch::Receiver<bool>,
    probe_now: Arc<Notify>,
) {
    let Some(target) = ctx.settings.target.clone() else {
        return;
    };
    let proxy = Arc::new(Proxy {
        ctx: ctx.clone(),
        clock,
        client: client(),
        target: target.address,
        slots: target.slots,
        draining,
        probe_now,
        reserved: Arc::default(),
    });
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(accept(listener, proxy)).await });
}

fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build(connector)
}

async fn accept<C: Clock>(listener: TcpListener, proxy: Arc<Proxy<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, proxy.clone()))),
            // Out of file descriptors: retry while open connections continue.
            Err(_) => time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve<C: Clock>(stream: TcpStream, proxy: Arc<Proxy<C>>) {
    let _ = stream.set_nodelay(true);
    let stop = proxy.ctx.stop.clone();
    let service = service_fn(move |request| {
        let proxy = proxy.clone();
        async move { Ok::<_, Infallible>(proxy.handle(request).await) }
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

impl<C: Clock> Proxy<C> {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody<C>> {
        let active = RequestGuard::new(&self.ctx.state);
        let exclusive = if request.headers().contains_key(protocol::ALONE) {
            match self.reserve(request.headers()).await {
                Some(exclusive) => Some(exclusive),
                None => return rejection(Reason::Reserved),
            }
        } else {
            None
        };
        let wanted = request.headers().get(protocol::VERSION);
        let wanted = wanted.and_then(|v| v.to_str().ok());
        match admit(&self.state(&active, exclusive.is_some()), wanted) {
            Ok(version) => self.forward(request, active, exclusive, version).await,
            Err(reason) => rejection(reason),
        }
    }

    /// Reserves the target for an exclusive request and waits until the requests in
    /// progress have ended. New requests are rejected from the reservation on.
    /// Returns `None` if the target is reserved already or the wait times out.
    async fn reserve(&self, headers: &HeaderMap) -> Option<ExclusiveGuard> {
        let exclusive = ExclusiveGuard::new(&self.reserved)?;
        let timeout = headers.get(protocol::TIMEOUT).and_then(|v| v.to_str().ok());
        let timeout = timeout.and_then(|v| v.parse().ok());
        // The other half is left for running the request.
        let wait = timeout.map_or(DEFAULT_EXCLUSIVE_TIMEOUT, Duration::from_millis) / 2;
        let mut active = self.ctx.state.active.subscribe();
        let idle = active.wait_for(|n| *n <= 1);
        time::timeout(wait, idle).await.ok()?.ok()?;
        Some(exclusive)
    }

    fn state(&self, active: &RequestGuard, exclusive: bool) -> State {
        let view = self.ctx.state.view();
        let service = super::own_service(&self.ctx, &view);
        State {
            phase: *self.ctx.state.phase.borrow(),
            draining: *self.draining.borrow(),
            backend: service.map(|s| s.spec.backend),
            serving: self.ctx.state.serving.borrow().clone(),
            active: active.count(),
            slots: self.slots,
            reserved: !exclusive && self.reserved.load(Ordering::SeqCst),
        }
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        active: RequestGuard,
        exclusive: Option<ExclusiveGuard>,
        version: Option<String>,
    ) -> Response<ResponseBody<C>> {
        let is_head = request.method() == Method::HEAD;
        let Some(request) = self.target_request(request) else {
            return rejection(Reason::Unreachable);
        };
        let timer = Some(FirstByteTimer::new(&self.clock, &self.ctx.state));
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                self.probe_now.notify_one();
                return rejection(Reason::Unreachable);
            }
            Err(e) => {
                log::warn!(error:% = e; "request to the target failed");
                self.probe_now.notify_one();
                return rejection(Reason::Broken);
            }
        };
        if !is_framed(&response, is_head) || !is_from_version(&response, version.as_deref()) {
            return rejection(Reason::InvalidResponse);
        }
        let (mut parts, body) = response.into_parts();
        protocol::remove_hop_by_hop(&mut parts.headers);
        parts.version = http::Version::HTTP_2;
        let probe_now = self.probe_now.clone();
        let body = ResponseBody::Target {
            body,
            _active: active,
            _exclusive: exclusive,
            probe_now,
            timer,
        };
        Response::from_parts(parts, body)
    }

    fn target_request(&self, mut request: Request<Incoming>) -> Option<Request<Incoming>> {
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

/// Whether a complete body can be distinguished from a broken connection.
fn is_framed(response: &Response<Incoming>, is_head: bool) -> bool {
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    let exact = response.body().size_hint().exact().is_some();
    is_head || chunked || exact
}

/// Whether the response comes from `version`. Client errors contain no model
/// output, so they may omit the version header.
fn is_from_version(response: &Response<Incoming>, version: Option<&str>) -> bool {
    let Some(version) = version else {
        return true;
    };
    let reported = engine_version(response.headers());
    match reported {
        Some(reported) => reported == version,
        None => response.status().is_client_error(),
    }
}

fn engine_version(headers: &HeaderMap) -> Option<&str> {
    headers.get(protocol::MODEL_VERSION)?.to_str().ok()
}

fn rejection<C: Clock>(reason: Reason) -> Response<ResponseBody<C>> {
    let mut response = Response::new(ResponseBody::Local(Full::new(Bytes::new())));
    *response.status_mut() = match reason.outcome() {
        protocol::Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    let headers = response.headers_mut();
    headers.insert(
        protocol::OUTCOME,
        protocol::header_value(reason.outcome().name()),
    );
    headers.insert(protocol::REASON, protocol::header_value(reason.name()));
    response
}
