//! Handles one request from its arrival to the start of its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::Stream;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Either, Full, Limited, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use log::info;
use metrics::{counter, histogram};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::access::Denied;
use crate::fleet::{self, routes};
use crate::gateway::Gateway;
use crate::gateway::answer::{Interrupted, Relay};
use crate::gateway::attempt::PlacementError;
use crate::gateway::call::{Call, Trace};
use crate::gateway::guard::ActiveRequest;
use crate::gateway::hedge::Answer;
use crate::place::backoff::RefusalRate;
use crate::platform::request::{self, CallerHeaders};

/// Timeout of requests whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a starting process receives the configuration.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time before the caller's timeout by which it gets the final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Log line and metrics of a request, written when the record is dropped.
#[derive(Debug)]
pub struct Record<C: Clock> {
    gateway: Arc<Gateway<C>>,
    id: String,
    route: String,
    start: Instant,
    config_version: u64,
    outcome: &'static str,
    status: u16,
    /// Attempts so far.
    pub trace: Mutex<Trace>,
    /// Number of times that another target continued the stream.
    pub resumed: u32,
    /// Prompt length and expected answer length, tokens.
    tokens: (u32, u32),
    /// Hashes of the prompt's shared parts.
    parts: Vec<u64>,
    /// Hash of what is the same when the caller sends the request again.
    fingerprint: u64,
    /// When the caller or the route stops waiting; `None` for rejected requests.
    end: Option<Instant>,
    /// When the last bytes were sent to the caller.
    last_sent: Option<Instant>,
    /// Time to the first bytes of the response.
    time_to_first: Duration,
    /// Longest pause between bytes of the response.
    max_pause: Duration,
    _active: ActiveRequest<C>,
}

impl<C: Clock> Record<C> {
    fn new(gateway: &Arc<Gateway<C>>) -> Self {
        Self {
            gateway: gateway.clone(),
            id: String::new(),
            route: String::new(),
            start: gateway.clock.now(),
            config_version: 0,
            // Stays only if the caller disconnects; every other end sets an outcome.
            outcome: "caller left",
            status: 0,
            trace: Mutex::default(),
            resumed: 0,
            tokens: (0, 0),
            parts: Vec::new(),
            fingerprint: 0,
            end: None,
            last_sent: None,
            time_to_first: Duration::ZERO,
            max_pause: Duration::ZERO,
            _active: ActiveRequest::begin(gateway),
        }
    }

    /// Records that bytes are sent to the caller.
    pub fn record_bytes(&mut self) {
        let now = self.gateway.clock.now();
        match self.last_sent.replace(now) {
            Some(last) => self.max_pause = self.max_pause.max(now.saturating_duration_since(last)),
            None => self.time_to_first = now.saturating_duration_since(self.start),
        }
    }

    /// Whether the caller's answer was ended before it was complete.
    pub fn is_given_up(&self) -> bool {
        [BROKEN_OFF, OUT_OF_TIME].contains(&self.outcome)
    }

    /// Sets the outcome of the request.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let duration = now.saturating_duration_since(self.start);
        counter!("corianderramp_gateway_requests_total", "outcome" => self.outcome).increment(1);
        histogram!("corianderramp_gateway_duration_seconds").record(duration);
        if self.last_sent.is_some() {
            histogram!("corianderramp_gateway_first_seconds").record(self.time_to_first);
        }
        // Targets that die together are traced by what their requests have in common.
        let trace = self.trace.get_mut();
        let is_traced = !trace.reason.is_empty() || self.outcome == CRASHES_TARGETS.outcome;
        let (parts, fingerprint) = if is_traced {
            let parts: Vec<String> = self.parts.iter().map(|p| format!("{p:016x}")).collect();
            (parts.join(","), format!("{:016x}", self.fingerprint))
        } else {
            (String::new(), String::new())
        };
        info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            outcome = self.outcome,
            status = self.status,
            ms = millis(duration),
            first = millis(self.time_to_first),
            pause = millis(self.max_pause),
            prompt = self.tokens.0,
            answer = self.tokens.1,
            target = trace.target.as_str(),
            sends = trace.sends,
            asks = trace.asks,
            waited = millis(trace.waited),
            hedges = trace.hedges,
            resumed = self.resumed,
            silence = millis(trace.silence),
            left = self.end.map(|at| millis(at.saturating_duration_since(now))),
            reason = trace.reason,
            permitted = trace.permitted.as_deref(),
            parts = parts.as_str(),
            fingerprint = fingerprint.as_str(),
            config = self.config_version;
            "request finished"
        );
    }
}

/// Whole milliseconds, for logs.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Response that the gateway generates because no target's response is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Refusal {
    status: StatusCode,
    /// Outcome in the log and the metrics.
    outcome: &'static str,
    /// Time after which the caller should retry.
    retry_after: Option<Duration>,
}

impl Refusal {
    const fn new(status: StatusCode, outcome: &'static str) -> Self {
        Self {
            status,
            outcome,
            retry_after: None,
        }
    }
}

const NO_CONFIG: Refusal = Refusal {
    status: StatusCode::SERVICE_UNAVAILABLE,
    outcome: "no config",
    retry_after: Some(CONFIG_RETRY_AFTER),
};
const NO_ROUTE: Refusal = Refusal::new(StatusCode::NOT_FOUND, "no route");
const UNKNOWN_KEY: Refusal = Refusal::new(StatusCode::UNAUTHORIZED, "unknown key");
const HEAD_TOO_LARGE: Refusal = Refusal::new(
    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
    "head too large",
);
const BODY_TOO_LARGE: Refusal = Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
const BODY_NOT_RECEIVED: Refusal = Refusal::new(StatusCode::BAD_REQUEST, "body not received");
const SLOW_BODY: Refusal = Refusal::new(StatusCode::REQUEST_TIMEOUT, "body too slow");
const INTERRUPTED: Refusal = Refusal::new(StatusCode::BAD_GATEWAY, "answer broke off");
const TIMED_OUT: Refusal = Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time");

/// Not run, because this process may exit before the answer is complete; others serve it.
const STOPPING: Refusal = Refusal {
    status: StatusCode::SERVICE_UNAVAILABLE,
    outcome: "stopping",
    retry_after: Some(Duration::ZERO),
};

/// Not run; coming back does not help either.
const CRASHES_TARGETS: Refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "crashes targets");

/// Outcome when no target serves the request.
const NO_TARGET: &str = "no target";
/// Outcome when no target outside of evacuated data centres serves the request.
const EVACUATED: &str = "evacuated";
/// Outcome when no region that the request's homes permit has a target that serves.
const NO_HOME: &str = "no home";
/// Outcome of a stream whose target failed, with no other one to continue it.
pub(super) const BROKEN_OFF: &str = "broken off";
/// Outcome of a stream whose target was silent until the caller's time ended.
pub(super) const OUT_OF_TIME: &str = "out of time";

type FullResponse = Response<Full<Bytes>>;

impl<C: Clock> Gateway<C> {
    /// Handles one request and returns its response.
    pub(super) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<
        Either<
            Full<Bytes>,
            StreamBody<impl Stream<Item = Result<Frame<Bytes>, Interrupted>> + Send>,
        >,
    > {
        let mut record = Record::new(&self);
        let (parts, mut body) = request.into_parts();
        // The connection ends with a response before the end of the request's body.
        let mut is_last = false;
        let result = match self.read_request(parts, &mut body, &mut record).await {
            Ok(call) => self.serve(call, record).await,
            Err(refusal) => {
                is_last = !body.is_end_stream();
                Err((refusal, record))
            }
        };
        let mut response = match result {
            Ok(Reply::Full(response)) => response.map(Either::Left),
            Ok(Reply::Stream(head, relay)) => {
                Response::from_parts(head, Either::Right(StreamBody::new(relay.into_stream())))
            }
            Err((refusal, mut record)) => refusal_response(refusal, &mut record).map(Either::Left),
        };
        if is_last || self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Finds the route and account of a request and reads its body.
    async fn read_request(
        &self,
        parts: Parts,
        body: &mut Incoming,
        record: &mut Record<C>,
    ) -> Result<Call, Refusal> {
        let caller_headers = request::caller_headers(&parts.headers);
        record.id.clone_from(&caller_headers.request_id);
        record.tokens = (caller_headers.prompt_tokens, caller_headers.output_tokens);
        record.parts.clone_from(&caller_headers.shared_parts);
        let catalog = self.catalog.snapshot();
        let config = catalog.config.clone().ok_or(NO_CONFIG)?;
        record.config_version = config.version;
        if !self.knows_evacuations() {
            return Err(NO_CONFIG);
        }
        if request::head_bytes(&parts) > config.limits.head_bytes {
            return Err(HEAD_TOO_LARGE);
        }
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        let route = routes::find(&config, host, parts.uri.path());
        let route = route.ok_or_else(|| missing_route(&config, &caller_headers))?;
        record.route.clone_from(&route.name);
        let account = config.authenticate(route.public, caller_headers.api_key.as_deref());
        let account = account.map_err(|denied| denial(denied, &caller_headers))?;
        let timeout = caller_headers
            .timeout
            .unwrap_or(DEFAULT_TIMEOUT)
            .min(route.timeout);
        let end = record.start + timeout;
        let deadline = record.start + timeout.saturating_sub(RESPONSE_MARGIN);
        let account_priority = account.and_then(|a| a.priority);
        let priority = account_priority.unwrap_or(route.priority);
        let service = routes::select_service(route, &caller_headers.request_id);
        let service = service.filter(|s| config.service(s).is_none_or(|s| !s.is_unreadable));
        let service = service.ok_or_else(|| unreadable(&caller_headers))?;
        let limit = config.limits.body_bytes;
        let is_returning =
            self.placement.returning && self.record_time_limit(route, &caller_headers);
        let mut call = Call {
            priority,
            class: catalog.classes.class(priority),
            service: service.to_owned(),
            account: account.map(|a| a.name.clone()),
            route: route_index(&config.routes, route),
            config: config.clone(),
            caller_headers,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: Bytes::new(),
            fingerprints: Vec::new(),
            is_returning,
            start: record.start,
            deadline,
            end,
        };
        record.end = Some(end);
        let left = deadline.saturating_duration_since(self.clock.now());
        let read = time::timeout(left, Limited::new(body, limit).collect()).await;
        call.body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(BODY_TOO_LARGE),
            Ok(Err(_)) => return Err(BODY_NOT_RECEIVED),
            Err(_) => return Err(SLOW_BODY),
        };
        call.fingerprints
            .clone_from(&call.caller_headers.shared_parts);
        record.fingerprint = call.request_fingerprint();
        call.fingerprints.push(record.fingerprint);
        Ok(call)
    }

    /// Sends a request to targets, with retries, until one response can be returned.
    async fn serve(
        self: &Arc<Self>,
        call: Call,
        mut record: Record<C>,
    ) -> Result<Reply<C>, (Refusal, Record<C>)> {
        if !self.may_begin(call.end) {
            return Err((STOPPING, record));
        }
        if self.is_quarantined(&call) {
            return Err((CRASHES_TARGETS, record));
        }
        self.retry_budget.lock().record_request(self.clock.now());
        let last_event = call.caller_headers.last_event;
        let obtained = self
            .obtain(&call, &record.trace, last_event, call.start)
            .await;
        let answer = match obtained {
            Ok(answer) => answer,
            Err(error) => {
                let refusal = self.refusal(&call, &record.trace.lock(), error);
                return Err((refusal, record));
            }
        };
        self.refusals.lock().record(true, self.clock.now());
        let Answer {
            mut head,
            bytes,
            source,
        } = answer;
        request::prepare_response(&mut head.headers);
        record.status = head.status.as_u16();
        if call.is_stream() && head.status.is_success() {
            let relay = Relay::new(self, call, bytes, source, record);
            return Ok(Reply::Stream(head, Box::new(relay)));
        }
        if !head.status.is_server_error() {
            self.record_sound(&call);
        }
        record.record_bytes();
        record.set_outcome("served");
        Ok(Reply::Full(Response::from_parts(head, Full::new(bytes))))
    }

    /// Returns the refusal of a request that got no response from a target.
    fn refusal(&self, call: &Call, trace: &Trace, error: PlacementError) -> Refusal {
        let now = self.clock.now();
        if trace.may_have_run {
            return if now >= call.deadline {
                TIMED_OUT
            } else {
                INTERRUPTED
            };
        }
        let error = self.refusal_cause(call, trace, error);
        let outcome = match error {
            PlacementError::CrashesTargets => return CRASHES_TARGETS,
            PlacementError::Stopping => return STOPPING,
            PlacementError::Full => "no place",
            PlacementError::Evacuated => EVACUATED,
            PlacementError::TooLong => "too long",
            PlacementError::RateLimited(_) => "rate limited",
            PlacementError::AskedToWait(_) => "asked to wait",
            PlacementError::NoHome => NO_HOME,
            PlacementError::NoTarget if trace.sends > 0 => "declined",
            PlacementError::NoTarget => NO_TARGET,
        };
        let left = call.deadline.saturating_duration_since(now);
        let draw = rand::rng().random();
        let mut refusals = self.refusals.lock();
        refusals.record(false, now);
        let wait = if [NO_TARGET, NO_HOME, EVACUATED].contains(&outcome) {
            RefusalRate::retry_after_outage(left, draw)
        } else {
            refusals.retry_after(left, draw)
        };
        let wait = match error {
            PlacementError::RateLimited(limit) => wait.max(limit),
            PlacementError::AskedToWait(pause) => refusals.retry_after_pause(pause, left, draw),
            _ => wait,
        };
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome,
            retry_after: Some(wait),
        }
    }
}

/// Refusal of a request that may not use its route. A key may belong to an account that can't be
/// read.
fn denial(denied: Denied, headers: &CallerHeaders) -> Refusal {
    match denied {
        Denied::UnknownKey => UNKNOWN_KEY,
        Denied::Undecided => unreadable(headers),
    }
}

/// Refusal of a request without a route, which may belong to one that can't be read.
fn missing_route(config: &fleet::Config, headers: &CallerHeaders) -> Refusal {
    if config.lacks_routes {
        unreadable(headers)
    } else {
        NO_ROUTE
    }
}

/// Refusal of a request that a part of the configuration concerns that can't be read. It is not
/// run, and may be served once the operator has written the part anew.
fn unreadable(headers: &CallerHeaders) -> Refusal {
    let left = headers.timeout.unwrap_or(DEFAULT_TIMEOUT);
    Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: "unreadable config",
        retry_after: Some(RefusalRate::retry_after_outage(left, rand::rng().random())),
    }
}

/// Builds the response of a refusal and records its outcome.
fn refusal_response<C: Clock>(refusal: Refusal, record: &mut Record<C>) -> FullResponse {
    record.set_outcome(refusal.outcome);
    record.status = refusal.status.as_u16();
    let mut response = Response::new(Full::default());
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    request::set_request_id(headers, &record.id);
    if let Some(wait) = refusal.retry_after {
        request::retry_after(headers, wait);
    }
    response
}

/// Response to a caller.
enum Reply<C: Clock> {
    Full(FullResponse),
    Stream(response::Parts, Box<Relay<C>>),
}

fn route_index(routes: &[fleet::Route], route: &fleet::Route) -> usize {
    routes
        .iter()
        .position(|r| std::ptr::eq(r, route))
        .unwrap_or_default()
}
