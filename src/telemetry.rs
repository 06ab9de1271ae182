//! Metrics of the process and the HTTP server that operators read them from.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::{Counter, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::blackboard::{Blackboard, Phase};

/// Ended requests by service and outcome.
pub const REQUESTS: &str = "corianderramp_requests_total";
/// Ended requests since the start of the process.
const REQUESTS_HELP: &str = "Ended requests by service and outcome";
/// Phase of the process.
pub const PHASE: &str = "corianderramp_phase";
/// Revision up to which the configuration is complete.
pub const CONFIG_REVISION: &str = "corianderramp_config_revision";
/// Requests in progress at an agent.
pub const ACTIVE: &str = "corianderramp_requests_active";

/// Upper bounds of histogram buckets, seconds: the objectives of 39 ms between
/// tokens and 0.64 s to the first token are bounds themselves.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.039, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 10.0, 60.0,
];
/// Interval at which histograms are drained, so that they stay small when
/// nobody reads them.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time within which an operator's request header must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Content type of the Prometheus text format.
const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
/// Content type of short answers.
const TEXT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder of the process. Metrics that are registered
/// earlier are lost, so it comes before all other parts; further calls have no
/// effect.
pub fn init() {
    RECORDER.get_or_init(install);
}

fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS);
    let handle = builder.ok()?.install_recorder().ok()?;
    metrics::describe_counter!(REQUESTS, Unit::Count, REQUESTS_HELP);
    metrics::describe_gauge!(
        PHASE,
        "Phase of the process: 0 starting, 1 ready, 2 draining"
    );
    metrics::describe_gauge!(
        CONFIG_REVISION,
        "Revision up to which the configuration is complete"
    );
    metrics::describe_gauge!(ACTIVE, "Requests in progress at this agent");
    Some(handle)
}

/// Counter of the requests of `service` that ended with `outcome`.
pub(crate) fn outcomes(service: &str, outcome: &'static str) -> Counter {
    metrics::counter!(REQUESTS, "service" => service.to_owned(), "outcome" => outcome)
}

/// Serves `/metrics`, `/livez` and `/readyz` until `stop` is cancelled.
///
/// `/livez` is 200 while the process runs; `/readyz` is 200 only in phase
/// `Ready` and names the phase otherwise, with 503.
pub async fn serve(listener: TcpListener, board: Arc<Blackboard>, stop: CancellationToken) {
    init();
    let mut upkeep = time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = upkeep.tick() => run_upkeep(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(connection(stream, Arc::clone(&board), stop.clone()));
                }
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
}

fn run_upkeep() {
    if let Some(Some(handle)) = RECORDER.get() {
        handle.run_upkeep();
    }
}

async fn connection(stream: TcpStream, board: Arc<Blackboard>, stop: CancellationToken) {
    let service = service_fn(move |request| {
        let answer = answer(&request, &board);
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // A broken connection concerns only the operator who opened it.
        _ = served => {}
    }
}

fn answer(request: &Request<Incoming>, board: &Blackboard) -> Response<Full<Bytes>> {
    if request.method() != Method::GET && request.method() != Method::HEAD {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
    }
    match request.uri().path() {
        "/metrics" => metrics_page(board),
        "/livez" => text(StatusCode::OK, "ok\n"),
        "/readyz" => readiness(*board.phase.borrow()),
        _ => text(StatusCode::NOT_FOUND, "try /metrics, /livez or /readyz\n"),
    }
}

fn readiness(phase: Phase) -> Response<Full<Bytes>> {
    match phase {
        Phase::Ready => text(StatusCode::OK, "ready\n"),
        Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Phase::Draining => text(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

#[allow(clippy::cast_precision_loss)]
fn metrics_page(board: &Blackboard) -> Response<Full<Bytes>> {
    metrics::gauge!(PHASE).set(f64::from(*board.phase.borrow() as u8));
    metrics::gauge!(CONFIG_REVISION).set(board.view().complete as f64);
    metrics::gauge!(ACTIVE).set(f64::from(*board.active.borrow()));
    let page = RECORDER.get().and_then(Option::as_ref);
    let page = page.map(PrometheusHandle::render).unwrap_or_default();
    respond(StatusCode::OK, METRICS_TYPE, page.into())
}

fn text(status: StatusCode, message: &'static str) -> Response<Full<Bytes>> {
    respond(status, TEXT_TYPE, message.into())
}

fn respond(status: StatusCode, kind: HeaderValue, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
