//! Metrics of the process, and the HTTP server for metrics and health checks.

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
use metrics::Counter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::clock::Moment;
use crate::fleet::catalog::{Catalog, Topic};
use crate::fleet::revision;
use crate::node::freshness::StoreContact;
use crate::shared_state::{Phase, SharedState};

/// Type of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Type {
    /// Only increases, and starts at 0 with the process.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Distribution of durations in seconds, by bucket.
    Histogram,
}

/// Description of an exported metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name in the Prometheus text format.
    pub name: &'static str,
    /// Type.
    pub kind: Type,
    /// Label keys.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

/// Counter of ended requests by service and outcome.
const REQUESTS_TOTAL: &str = "corianderramp_requests_total";
/// Gauge of the phase of the process.
const PHASE: &str = "corianderramp_phase";
/// Gauge of the revision up to which the configuration is complete.
const CONFIG_REVISION: &str = "corianderramp_config_revision";
/// Gauge of the requests in progress.
const REQUESTS_ACTIVE: &str = "corianderramp_requests_active";
/// Gauge of the generation that an agent's engine serves.
const SERVING_GENERATION: &str = "corianderramp_serving_generation";
/// Gauge of the epoch of the coordinator that the process knows.
const COORDINATOR_EPOCH: &str = "corianderramp_coordinator_epoch";
/// Gauge of the newest era of the store that is known.
const STORE_ERA: &str = "corianderramp_store_era";
/// Gauge of the store revision up to which a topic is known.
const CATALOG_REVISION: &str = "corianderramp_catalog_revision";
/// Gauge of the parts of the configuration that can't be read.
const UNREADABLE_PARTS: &str = "corianderramp_config_unreadable_parts";
/// Gauge of the number of evacuated data centres.
const EVACUATED: &str = "corianderramp_evacuated_data_centers";
/// Gauge of the time since a topic was last known to be current.
const CATALOG_AGE: &str = "corianderramp_catalog_age_seconds";

/// All metrics that the processes export. docs/operations/metrics.md says what to do
/// when one of them changes.
pub const METRICS: [Metric; 35] = [
    Metric {
        name: REQUESTS_TOTAL,
        kind: Type::Counter,
        labels: &["service", "outcome"],
        help: "Ended requests by outcome: good, late, refused, failed or unknown",
    },
    Metric {
        name: "corianderramp_first_byte_seconds",
        kind: Type::Histogram,
        labels: &["service"],
        help: "Time from a request to the first byte of its complete response",
    },
    Metric {
        name: "corianderramp_request_duration_seconds",
        kind: Type::Histogram,
        labels: &["service"],
        help: "Time from a request to the end of its complete response",
    },
    Metric {
        name: "corianderramp_retries_total",
        kind: Type::Counter,
        labels: &["service"],
        help: "Attempts after the first of requests that completed",
    },
    Metric {
        name: "corianderramp_target_deaths_total",
        kind: Type::Counter,
        labels: &[],
        help: "Deaths of targets with requests of this entry in flight",
    },
    Metric {
        name: "corianderramp_journal_writes_total",
        kind: Type::Counter,
        labels: &[],
        help: "Writes of at-most-once journal objects to the platform",
    },
    Metric {
        name: "corianderramp_journal_reservations_total",
        kind: Type::Counter,
        labels: &["outcome"],
        help: "Answers to reservations of at-most-once operations at this entry",
    },
    Metric {
        name: PHASE,
        kind: Type::Gauge,
        labels: &[],
        help: "Phase of the process: 0 starting, 1 ready, 2 draining",
    },
    Metric {
        name: CONFIG_REVISION,
        kind: Type::Gauge,
        labels: &[],
        help: "Revision up to which the configuration is complete",
    },
    Metric {
        name: COORDINATOR_EPOCH,
        kind: Type::Gauge,
        labels: &[],
        help: "Epoch of the coordinator that the process knows, 0 for none",
    },
    Metric {
        name: REQUESTS_ACTIVE,
        kind: Type::Gauge,
        labels: &[],
        help: "Requests in progress at this agent",
    },
    Metric {
        name: SERVING_GENERATION,
        kind: Type::Gauge,
        labels: &[],
        help: "Generation that this agent's engine serves, 0 for none",
    },
    Metric {
        name: "corianderramp_gateway_requests_total",
        kind: Type::Counter,
        labels: &["outcome"],
        help: "Ended requests of callers at a gateway by outcome",
    },
    Metric {
        name: "corianderramp_gateway_closed_connections_total",
        kind: Type::Counter,
        labels: &["reason"],
        help: "Connections of callers that a gateway closed between requests by reason",
    },
    Metric {
        name: "corianderramp_gateway_first_seconds",
        kind: Type::Histogram,
        labels: &[],
        help: "Time from a request to the first bytes of its answer at a gateway",
    },
    Metric {
        name: "corianderramp_gateway_duration_seconds",
        kind: Type::Histogram,
        labels: &[],
        help: "Time from a request to its end at a gateway",
    },
    Metric {
        name: "corianderramp_gateway_target_deaths_total",
        kind: Type::Counter,
        labels: &[],
        help: "Deaths of targets without a host that requests of this gateway may have caused",
    },
    Metric {
        name: "corianderramp_gateway_deaths_told_total",
        kind: Type::Counter,
        labels: &[],
        help: "Deaths of targets that this gateway told to hosts, once for each time",
    },
    Metric {
        name: STORE_ERA,
        kind: Type::Gauge,
        labels: &[],
        help: "Number of times that the store came back from a copy, as far as a gateway or host knows",
    },
    Metric {
        name: "corianderramp_store_era_changes_total",
        kind: Type::Counter,
        labels: &[],
        help: "Returns of the store from a copy that this process followed",
    },
    Metric {
        name: "corianderramp_gateway_notices_total",
        kind: Type::Counter,
        labels: &["notice"],
        help: "Changes of what targets say of themselves in answers, by kind",
    },
    Metric {
        name: "corianderramp_gateway_sends_total",
        kind: Type::Counter,
        labels: &["result"],
        help: "Requests sent to targets, by result",
    },
    Metric {
        name: "corianderramp_gateway_hedges_total",
        kind: Type::Counter,
        labels: &["result"],
        help: "Requests sent to another target beside a silent one, by result",
    },
    Metric {
        name: "corianderramp_gateway_asks_total",
        kind: Type::Counter,
        labels: &["verdict"],
        help: "Places asked for at hosts: granted, refused or silent",
    },
    Metric {
        name: "corianderramp_gateway_waiting",
        kind: Type::Gauge,
        labels: &[],
        help: "Returning callers that wait for a place",
    },
    Metric {
        name: "corianderramp_gateway_waits_total",
        kind: Type::Counter,
        labels: &["result"],
        help: "Ended waits of returning callers for a place, by result",
    },
    Metric {
        name: "corianderramp_host_slots_total",
        kind: Type::Counter,
        labels: &["priority", "verdict"],
        help: "Requests for slots that a host decided: granted, full, closed or too long",
    },
    Metric {
        name: CATALOG_REVISION,
        kind: Type::Gauge,
        labels: &["topic"],
        help: "Store revision up to which a gateway or host knows a topic",
    },
    Metric {
        name: EVACUATED,
        kind: Type::Gauge,
        labels: &[],
        help: "Data centres that are evacuated as far as a gateway or host knows",
    },
    Metric {
        name: UNREADABLE_PARTS,
        kind: Type::Gauge,
        labels: &[],
        help: "Parts of the configuration in force that a gateway or host can't read",
    },
    Metric {
        name: "corianderramp_store_objects_ignored_total",
        kind: Type::Counter,
        labels: &["topic"],
        help: "Objects of the platform's store that can't be read, counted for each revision",
    },
    Metric {
        name: CATALOG_AGE,
        kind: Type::Gauge,
        labels: &["topic"],
        help: "Seconds since the store last answered a call for a topic, of the node or its relay",
    },
    Metric {
        name: "corianderramp_store_calls_total",
        kind: Type::Counter,
        labels: &["topic", "result"],
        help: "Calls to the platform's store: answered, compacted or failed",
    },
    Metric {
        name: "corianderramp_chunks_total",
        kind: Type::Counter,
        labels: &["source"],
        help: "Chunks that a host received from peers or from the origin",
    },
    Metric {
        name: "corianderramp_orders_total",
        kind: Type::Counter,
        labels: &["outcome"],
        help: "Orders that a host gave to its engine: begun, done, conflict or unanswered",
    },
];

/// Upper bounds of the histogram buckets, seconds. The objectives, 39 ms between tokens
/// and 0.64 s to the first token, are bounds, so that the count of samples within an
/// objective is exact.
const BUCKET_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.039, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 10.0, 60.0,
];
/// Interval at which recorded samples are moved into the histograms' buckets. Without
/// it, they would accumulate in memory while nothing reads `/metrics`.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, which usually means that the process is out of file
/// descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
/// Content type of the other responses.
const TEXT_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder of the process. Call it before anything registers a
/// metric: metrics that are registered earlier are lost. Further calls have no effect.
pub fn init() {
    RECORDER.get_or_init(install_recorder);
}

fn install_recorder() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKET_BOUNDS);
    let handle = builder.ok()?.install_recorder().ok()?;
    METRICS.iter().for_each(describe);
    Some(handle)
}

fn describe(metric: &Metric) {
    match metric.kind {
        Type::Counter => metrics::describe_counter!(metric.name, metric.help),
        Type::Gauge => metrics::describe_gauge!(metric.name, metric.help),
        Type::Histogram => metrics::describe_histogram!(metric.name, metric.help),
    }
}

/// Sets the gauges of the catalog's revisions.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_catalog(catalog: &Catalog) {
    let topics = Topic::ALL.into_iter();
    // Most deployments don't follow evacuations.
    let known = |t: &Topic| *t != Topic::Evacuations || catalog.evacuations_revision > 0;
    for topic in topics.filter(known) {
        let gauge = metrics::gauge!(CATALOG_REVISION, "topic" => topic.name());
        gauge.set(revision::number(catalog.revision(topic)) as f64);
    }
    metrics::gauge!(STORE_ERA).set(catalog.era() as f64);
}

/// Sets the gauge of the parts of the configuration that can't be read.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_unreadable_parts(count: usize) {
    metrics::gauge!(UNREADABLE_PARTS).set(count as f64);
}

/// Sets the gauge of the number of evacuated data centres.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_evacuated(count: usize) {
    metrics::gauge!(EVACUATED).set(count as f64);
}

/// Sets the gauges of the time since each topic was last known to be current.
pub(crate) fn set_contact(contact: &StoreContact, now: Moment) {
    for topic in contact.topics() {
        if let Some(age) = contact.topic_age(topic, now) {
            metrics::gauge!(CATALOG_AGE, "topic" => topic.name()).set(age.as_secs_f64());
        }
    }
}

/// Sets the gauges of the phase and of the requests in progress.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_process(phase: Phase, active: usize) {
    metrics::gauge!(PHASE).set(f64::from(phase as u8));
    metrics::gauge!(REQUESTS_ACTIVE).set(active as f64);
}

/// Returns the counter of requests of `service` that ended with `outcome`.
pub(crate) fn request_counter(service: &str, outcome: &'static str) -> Counter {
    metrics::counter!(REQUESTS_TOTAL, "service" => service.to_owned(), "outcome" => outcome)
}

/// Process whose metrics and health are served.
pub trait Process: Send + Sync + 'static {
    /// Returns the phase that `/readyz` reports.
    fn phase(&self) -> Phase;
    /// Sets the gauges to their current values, before `/metrics` is rendered.
    fn refresh(&self);
}

impl Process for SharedState {
    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    #[allow(clippy::cast_precision_loss)]
    fn refresh(&self) {
        metrics::gauge!(PHASE).set(f64::from(*self.phase.borrow() as u8));
        metrics::gauge!(CONFIG_REVISION).set(self.view().complete as f64);
        metrics::gauge!(REQUESTS_ACTIVE).set(f64::from(*self.active.borrow()));
        let generation = self.serving.borrow().as_ref().map_or(0, |s| s.generation);
        metrics::gauge!(SERVING_GENERATION).set(generation as f64);
        let epoch = self.coordinator.borrow().as_ref().map_or(0, |c| c.epoch);
        metrics::gauge!(COORDINATOR_EPOCH).set(epoch as f64);
    }
}

/// Serves `/metrics`, `/livez` and `/readyz` until `stop` is cancelled.
///
/// `/livez` returns 200 while the process runs. `/readyz` returns 200 in phase `Ready`,
/// otherwise 503 with the name of the phase.
pub async fn serve<P: Process>(listener: TcpListener, process: Arc<P>, stop: CancellationToken) {
    init();
    let mut upkeep = time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = upkeep.tick() => run_upkeep(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(stream, Arc::clone(&process), stop.clone()));
                }
                Err(_) => time::sleep(ACCEPT_BACKOFF).await,
            },
        }
    }
}

fn run_upkeep() {
    if let Some(Some(handle)) = RECORDER.get() {
        handle.run_upkeep();
    }
}

async fn serve_connection<P: Process>(stream: TcpStream, process: Arc<P>, stop: CancellationToken) {
    let service = service_fn(move |request| {
        let response = handle_request(&request, &*process);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // Errors are ignored: they affect only the client of this connection.
        _ = connection => {}
    }
}

fn handle_request<P: Process>(request: &Request<Incoming>, process: &P) -> Response<Full<Bytes>> {
    if request.method() != Method::GET && request.method() != Method::HEAD {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
    }
    match request.uri().path() {
        "/metrics" => metrics_response(process),
        "/livez" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => readiness_response(process.phase()),
        _ => text_response(StatusCode::NOT_FOUND, "try /metrics, /livez or /readyz\n"),
    }
}

fn readiness_response(phase: Phase) -> Response<Full<Bytes>> {
    match phase {
        Phase::Ready => text_response(StatusCode::OK, "ready\n"),
        Phase::Starting => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Phase::Draining => text_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

fn metrics_response<P: Process>(process: &P) -> Response<Full<Bytes>> {
    process.refresh();
    let page = RECORDER.get().and_then(Option::as_ref);
    let page = page.map(PrometheusHandle::render).unwrap_or_default();
    new_response(StatusCode::OK, METRICS_CONTENT_TYPE, page.into())
}

fn text_response(status: StatusCode, message: &'static str) -> Response<Full<Bytes>> {
    new_response(status, TEXT_CONTENT_TYPE, message.into())
}

fn new_response(
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
