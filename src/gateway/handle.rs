//! One request from its arrival to the beginning of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::Stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use log::info;
use metrics::{counter, histogram};
use rand::RngExt;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::{self, Account, routes};
use crate::gateway::Gateway;
use crate::gateway::answer::{self, Broken, Relay};
use crate::gateway::attempt::{self, Call, NoPlace, Started, Trace};
use crate::gateway::flight::Active;
use crate::place::backoff::RefusalRate;
use crate::platform::request;

/// Time that a caller without a limit of its own waits.
const USUAL_WAIT: Duration = Duration::from_secs(30);
/// Time in which a starting process learns the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Time before the caller's limit at which it gets the final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// A request in progress; its line is logged when it ends.
#[derive(Debug)]
pub struct Record<C: Clock> {
    gateway: Arc<Gateway<C>>,
    id: String,
    route: String,
    begin: Instant,
    config: u64,
    outcome: &'static str,
    status: u16,
    /// Attempts and targets so far.
    pub trace: Trace,
    /// Times that another target continued the stream.
    pub resumed: u32,
    /// Prompt and answer length, tokens.
    size: (u32, u32),
    /// When the last bytes went to the caller.
    last: Option<Instant>,
    /// Time to the first bytes of the answer.
    first: Duration,
    /// Longest pause between bytes of the answer.
    pause: Duration,
    _active: Active<C>,
}

impl<C: Clock> Record<C> {
    fn new(gateway: &Arc<Gateway<C>>) -> Self {
        Self {
            gateway: gateway.clone(),
            id: String::new(),
            route: String::new(),
            begin: gateway.clock.now(),
            config: 0,
            // Replaced by every other end of the request.
            outcome: "caller left",
            status: 0,
            trace: Trace::default(),
            resumed: 0,
            size: (0, 0),
            last: None,
            first: Duration::ZERO,
            pause: Duration::ZERO,
            _active: Active::begin(gateway),
        }
    }

    /// Notes that bytes go to the caller.
    pub fn pass(&mut self) {
        let now = self.gateway.clock.now();
        match self.last.replace(now) {
            Some(last) => self.pause = self.pause.max(now.saturating_duration_since(last)),
            None => self.first = now.saturating_duration_since(self.begin),
        }
    }

    /// Notes how the request ended.
    pub fn finish(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let took = now.saturating_duration_since(self.begin);
        counter!("corianderramp_gateway_requests_total", "outcome" => self.outcome).increment(1);
        histogram!("corianderramp_gateway_duration_seconds").record(took);
        if self.last.is_some() {
            histogram!("corianderramp_gateway_first_seconds").record(self.first);
        }
        info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            outcome = self.outcome,
            status = self.status,
            ms = millis(took),
            first = millis(self.first),
            pause = millis(self.pause),
            prompt = self.size.0,
            answer = self.size.1,
            target = self.trace.target.as_str(),
            sends = self.trace.sends,
            asks = self.trace.asks,
            resumed = self.resumed,
            reason = self.trace.reason,
            config = self.config;
            "request"
        );
    }
}

/// Whole milliseconds, for logs.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Why this system answers itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Refusal {
    status: StatusCode,
    /// Outcome for the log.
    outcome: &'static str,
    /// Time after which the caller should come back.
    wait: Option<Duration>,
}

impl Refusal {
    const fn new(status: StatusCode, outcome: &'static str) -> Self {
        Self {
            status,
            outcome,
            wait: None,
        }
    }
}

const NO_CONFIG: Refusal = Refusal {
    status: StatusCode::SERVICE_UNAVAILABLE,
    outcome: "no config",
    wait: Some(CONFIG_WAIT),
};
const NO_ROUTE: Refusal = Refusal::new(StatusCode::NOT_FOUND, "no route");
const NO_KEY: Refusal = Refusal::new(StatusCode::UNAUTHORIZED, "unknown key");
const TOO_LARGE: Refusal = Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
const BAD_BODY: Refusal = Refusal::new(StatusCode::BAD_REQUEST, "body not received");
const SLOW_BODY: Refusal = Refusal::new(StatusCode::REQUEST_TIMEOUT, "body too slow");
const BROKEN: Refusal = Refusal::new(StatusCode::BAD_GATEWAY, "answer broke off");
const LATE: Refusal = Refusal::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time");

/// Outcome when no target takes requests.
const NO_TARGET: &str = "no target";

type Whole = Response<Full<Bytes>>;

impl<C: Clock> Gateway<C> {
    /// Answers one request.
    pub(super) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<
        Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, Broken>> + Send>>,
    > {
        let mut record = Record::new(&self);
        let result = match self.admit(request, &mut record).await {
            Ok(call) => self.serve(call, record).await,
            Err(refusal) => Err((refusal, record)),
        };
        let mut response = match result {
            Ok(Served::Whole(whole)) => whole.map(Either::Left),
            Ok(Served::Stream(mut relay)) => {
                let head = relay.take_head();
                Response::from_parts(head, Either::Right(StreamBody::new(relay.events())))
            }
            Err((refusal, mut record)) => refuse(refusal, &mut record).map(Either::Left),
        };
        if self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Reads a request and finds out what it may do.
    async fn admit(
        &self,
        request: Request<Incoming>,
        record: &mut Record<C>,
    ) -> Result<Call, Refusal> {
        let (parts, body) = request.into_parts();
        let terms = request::caller_headers(&parts.headers);
        record.id.clone_from(&terms.request_id);
        record.size = (terms.prompt_tokens, terms.output_tokens);
        let view = self.board.snapshot();
        let config = view.config.clone().ok_or(NO_CONFIG)?;
        record.config = config.version;
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default();
        let route = routes::find(&config, host, parts.uri.path()).ok_or(NO_ROUTE)?;
        record.route.clone_from(&route.name);
        let account = account(&config, route.public, terms.api_key.as_deref())?;
        let wait = terms.timeout.unwrap_or(USUAL_WAIT).min(route.timeout);
        let until = record.begin + wait.saturating_sub(ANSWER_MARGIN);
        let ranked = account.and_then(|a| a.priority);
        let service = routes::select_service(route, &terms.request_id).ok_or(NO_ROUTE)?;
        let limit = config.limits.body_bytes;
        let mut call = Call {
            priority: ranked.unwrap_or(route.priority),
            service: service.to_owned(),
            account: account.map(|a| a.name.clone()),
            route: position(&config.routes, route),
            config: config.clone(),
            terms,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: Bytes::new(),
            until,
        };
        let left = until.saturating_duration_since(self.clock.now());
        let read = time::timeout(left, Limited::new(body, limit).collect()).await;
        call.body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(TOO_LARGE),
            Ok(Err(_)) => return Err(BAD_BODY),
            Err(_) => return Err(SLOW_BODY),
        };
        Ok(call)
    }

    /// Gets a request answered by a target.
    async fn serve(
        self: &Arc<Self>,
        mut call: Call,
        mut record: Record<C>,
    ) -> Result<Served<C>, (Refusal, Record<C>)> {
        self.budget.lock().record_request(self.clock.now());
        loop {
            let after = call.terms.last_event;
            let started = self.start(&call, &mut record.trace, after).await;
            let started = match started {
                Ok(started) => started,
                Err(why) => {
                    let refusal = self.refusal(&call, &record.trace, why);
                    return Err((refusal, record));
                }
            };
            let now = self.clock.now();
            self.refusals.lock().record(true, now);
            let failed = started.head.status.is_server_error();
            if failed {
                started.flight.judge(false);
                record.trace.reason = "target failed";
                record.trace.may_have_run = true;
                if self.may_resend(&call, &record.trace) {
                    continue;
                }
            }
            if attempt::is_stream(&call) && started.head.status.is_success() {
                record.status = started.head.status.as_u16();
                let mut relay = Relay::new(self, call, started, record);
                let Err(reason) = relay.open().await else {
                    return Ok(Served::Stream(Box::new(relay)));
                };
                (call, record) = relay.abandon();
                record.trace.reason = reason;
                record.trace.may_have_run = true;
                if !self.may_resend(&call, &record.trace) {
                    let refusal = self.refusal(&call, &record.trace, NoPlace::Absent);
                    return Err((refusal, record));
                }
                continue;
            }
            if let Ok(whole) = self.whole(&call, started, &mut record).await {
                return Ok(Served::Whole(whole));
            }
            record.trace.reason = "answer broke off";
            record.trace.may_have_run = true;
            if !self.may_resend(&call, &record.trace) {
                return Err((BROKEN, record));
            }
        }
    }

    async fn whole(
        &self,
        call: &Call,
        mut started: Started<C>,
        record: &mut Record<C>,
    ) -> Result<Whole, Broken> {
        let left = call.until.saturating_duration_since(self.clock.now());
        let body = answer::whole(&mut started, left).await;
        let is_good = body.is_ok() && !started.head.status.is_server_error();
        started.flight.judge(is_good);
        let body = body?;
        let mut head = started.head;
        request::prepare_response(&mut head.headers);
        record.status = head.status.as_u16();
        record.pass();
        record.finish("served");
        Ok(Response::from_parts(head, Full::new(body)))
    }

    /// Answer to a request that no target answered.
    fn refusal(&self, call: &Call, trace: &Trace, why: NoPlace) -> Refusal {
        let now = self.clock.now();
        if trace.may_have_run {
            return if now >= call.until { LATE } else { BROKEN };
        }
        let outcome = match why {
            NoPlace::Full => "no place",
            NoPlace::Absent if trace.sends > 0 => "declined",
            NoPlace::Absent => NO_TARGET,
        };
        let left = call.until.saturating_duration_since(now);
        let draw = rand::rng().random();
        let mut refusals = self.refusals.lock();
        refusals.record(false, now);
        let wait = if outcome == NO_TARGET {
            RefusalRate::retry_after_outage(left, draw)
        } else {
            refusals.retry_after(left, draw)
        };
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome,
            wait: Some(wait),
        }
    }
}

/// Account of a key; routes that need none have none.
fn account<'a>(
    config: &'a fleet::Config,
    is_public: bool,
    key: Option<&str>,
) -> Result<Option<&'a Account>, Refusal> {
    if config.accounts.is_empty() {
        return Ok(None);
    }
    let account = key.and_then(|k| config.account(k));
    if account.is_none() && !is_public {
        return Err(NO_KEY);
    }
    Ok(account.filter(|_| !is_public))
}

/// Makes the answer of a refusal.
fn refuse<C: Clock>(refusal: Refusal, record: &mut Record<C>) -> Whole {
    record.finish(refusal.outcome);
    record.status = refusal.status.as_u16();
    let mut response = Response::new(Full::default());
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    request::set_request_id(headers, &record.id);
    if let Some(wait) = refusal.wait {
        request::retry_after(headers, wait);
    }
    response
}

enum Served<C: Clock> {
    Whole(Whole),
    Stream(Box<Relay<C>>),
}

fn position(routes: &[fleet::Route], route: &fleet::Route) -> usize {
    routes
        .iter()
        .position(|r| std::ptr::eq(r, route))
        .unwrap_or_default()
}
