//! Places a request on a target and sends it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use log::debug;
use metrics::counter;
use rand::RngExt;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::{Config, Route, RouteKind};
use crate::gateway::Gateway;
use crate::gateway::agents::Needs;
use crate::gateway::flight::Flight;
use crate::net;
use crate::place::pool::{Requirements, TargetKey};
use crate::platform::request::{self, CallerHeaders, TargetHeaders};

/// Time for opening a connection to a target. Delays between regions are a few
/// milliseconds, and a lost opening packet is repeated only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Hosts that are asked for a place before a request is refused. With dozens of gateways
/// each knows the targets' states as of a second ago, and the first ones are often taken.
const MAX_ASKS: u32 = 5;
/// Objectives that a repeatable request waits for its first bytes before another target is tried.
const HEAD_OBJECTIVES: u32 = 3;
/// Part of the bound for new weights that is kept as a margin, so that a request that
/// waits at the target still begins in time.
const DUE_MARGIN: Duration = Duration::from_millis(700);
/// Urgency that targets assume for requests without one.
const USUAL_URGENCY: u8 = 5;

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// What the caller's headers say.
    pub terms: CallerHeaders,
    /// Configuration by which the request is handled.
    pub config: Arc<Config>,
    /// Position of the route in the configuration.
    pub route: usize,
    /// Service that serves the request.
    pub service: String,
    /// Account of the caller.
    pub account: Option<String>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the final answer is due.
    pub until: Instant,
}

impl Call {
    /// Route of the request.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// Whether the service runs model engines.
    #[must_use]
    pub fn has_engine(&self) -> bool {
        let service = self.config.service(&self.service);
        service.is_some_and(|s| s.engine.is_some())
    }
}

/// What happened to a request so far, for its log line.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Targets to which it was sent or tried to be sent.
    pub tried: Vec<TargetKey>,
    /// Targets to which it was sent.
    pub sends: u32,
    /// Hosts that were asked for a place.
    pub asks: u32,
    /// Address of the last target.
    pub target: String,
    /// Why the last attempt failed.
    pub reason: &'static str,
    /// Whether some target may have run it.
    pub may_have_run: bool,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoPlace {
    /// Every target that was asked is full.
    Full,
    /// No target serves the request now.
    Absent,
}

/// Answer of a target whose body is still to be read.
#[derive(Debug)]
pub struct Started<C: Clock> {
    /// Status and headers.
    pub head: response::Parts,
    /// Body.
    pub body: Incoming,
    /// Connection; closed when dropped.
    pub _connection: net::Connection,
    /// Place at the target.
    pub flight: Flight<C>,
}

/// Target that was chosen for a request.
#[derive(Clone, Copy, Debug)]
struct Pick {
    key: TargetKey,
    address: SocketAddr,
    has_agent: bool,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request.
    MayHaveRun(&'static str),
}

impl<C: Clock> Gateway<C> {
    /// Version of the weights that the request needs; `None` without an engine.
    fn needed(&self, call: &Call, now: Instant) -> Option<u64> {
        if !call.has_engine() {
            return None;
        }
        let bound = self.bounds.weights_limit().saturating_sub(DUE_MARGIN);
        let view = self.board.snapshot();
        let named = call
            .terms
            .model
            .as_deref()
            .and_then(|m| view.release_history(m));
        Some(named.map_or(1, |n| n.required_version(bound, now)).max(1))
    }

    fn pick(&self, want: &Requirements<'_>, now: Instant) -> Option<Pick> {
        let pool = self.pool.lock();
        let key = pool.choose(want, now, || rand::rng().random())?;
        let entry = pool.get(key)?;
        Some(Pick {
            key,
            address: entry.target.address,
            has_agent: want.min_version.is_some() && !entry.is_unresponsive(now),
        })
    }

    /// Finds a place for a request.
    pub(super) async fn place(
        self: &Arc<Self>,
        call: &Call,
        trace: &mut Trace,
    ) -> Result<Flight<C>, NoPlace> {
        let weights = self.needed(call, self.clock.now());
        let mut refused: Vec<TargetKey> = trace.tried.clone();
        let mut asks = 0;
        loop {
            let now = self.clock.now();
            // The last ask goes to the target with the shortest wait of those known by then.
            let is_choosy = asks < MAX_ASKS - 1;
            let want = Requirements {
                service: &call.service,
                excluded: if is_choosy { &refused } else { &trace.tried },
                min_version: weights,
                data_center: &self.centre,
            };
            let Some(pick) = self.pick(&want, now) else {
                if asks > 0 && asks < MAX_ASKS - 1 {
                    asks = MAX_ASKS - 1;
                    continue;
                }
                let exists = asks > 0 || self.pool.lock().can_serve(&want, now);
                return Err(if exists {
                    NoPlace::Full
                } else {
                    NoPlace::Absent
                });
            };
            let Pick { key, address, .. } = pick;
            if !pick.has_agent {
                return Ok(Flight::begin(self, key, address, None));
            }
            if asks == MAX_ASKS {
                return Err(NoPlace::Full);
            }
            asks += 1;
            trace.asks += 1;
            let number = self.agents.number();
            let needs = Needs {
                priority: call.priority,
                objective: call.route().objective,
                prompt: call.terms.prompt_tokens,
                is_choosy,
            };
            let answer = self.agents.ask(address, number, &needs).await;
            let verdict = match &answer {
                Some(answer) if answer.is_granted => "granted",
                Some(_) => "refused",
                None => "silent",
            };
            counter!("corianderramp_gateway_asks_total", "verdict" => verdict).increment(1);
            match answer {
                Some(answer) if answer.is_granted => {
                    return Ok(Flight::begin(self, key, address, Some(number)));
                }
                Some(_) => refused.push(key),
                None => self.silence(key, address),
            }
        }
    }

    /// Sends a request to the target of `flight`. `after` is the last event that the
    /// caller has, if a stream is to be continued.
    pub(super) async fn send(
        &self,
        call: &Call,
        flight: Flight<C>,
        trace: &mut Trace,
        after: Option<u64>,
    ) -> Result<Started<C>, Failure> {
        let now = self.clock.now();
        trace.tried.push(flight.key);
        trace.target = flight.address.to_string();
        let Some((id, weights)) = self.identity(flight.key, call, now) else {
            return Err(Failure::NotRun("target left"));
        };
        let left = call.until.saturating_duration_since(now);
        let opened = net::Connection::open(flight.address, CONNECT_LIMIT.min(left)).await;
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "target not reached");
                flight.judge(false);
                return Err(Failure::NotRun("no connection"));
            }
        };
        let left = call.until.saturating_duration_since(self.clock.now());
        let envelope = TargetHeaders {
            id: &id,
            weights,
            account: call.account.as_deref(),
            timeout: left,
            urgency: call.has_engine().then(|| urgency(call.priority)),
            last_event: after,
        };
        let mut message = Request::new(Full::new(call.body.clone()));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.uri.clone();
        *message.headers_mut() = request::forward(&call.headers, &envelope);
        trace.sends += 1;
        let limit = Self::head_limit(call, trace, left);
        let answered = time::timeout(limit, connection.send(message)).await;
        let (head, body) = match answered {
            Ok(Ok(answer)) => answer.into_parts(),
            Ok(Err(e)) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "exchange failed");
                flight.judge(false);
                return Err(Failure::MayHaveRun("connection broke"));
            }
            Err(_) => {
                flight.judge(false);
                return Err(Failure::MayHaveRun("no answer in time"));
            }
        };
        if request::is_mismatched(&head.headers, &call.terms.request_id) {
            flight.judge(false);
            return Err(Failure::MayHaveRun("answer to another request"));
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST || request::not_run(&head.headers) {
            return Err(Failure::NotRun("target declined"));
        }
        Ok(Started {
            head,
            body,
            _connection: connection,
            flight,
        })
    }

    /// Id of a target and, for a target without an agent, the weights that it must hold.
    fn identity(&self, key: TargetKey, call: &Call, now: Instant) -> Option<(String, Option<u64>)> {
        let needed = self.needed(call, now);
        let pool = self.pool.lock();
        let entry = pool.get(key)?;
        let blind = needed.is_some_and(|v| v > 1) && !entry.has_agent(now);
        let weights = if blind { entry.weights(now) } else { None };
        Some((entry.target.id.clone(), weights))
    }

    /// Time to wait for the head of an answer: as long as the caller waits, unless
    /// another target can still be tried.
    fn head_limit(call: &Call, trace: &Trace, left: Duration) -> Duration {
        let route = call.route();
        let more = trace.sends < route.max_attempts && route.kind.is_retryable();
        if more {
            left.min(route.objective * HEAD_OBJECTIVES)
        } else {
            left
        }
    }

    /// Whether a request that failed may be sent once more.
    pub(super) fn may_resend(&self, call: &Call, trace: &Trace) -> bool {
        let route = call.route();
        let now = self.clock.now();
        (route.kind.is_retryable() || !trace.may_have_run)
            && trace.sends < route.max_attempts
            && now < call.until
            && (trace.sends == 0 || self.budget.lock().try_retry(now))
    }

    /// Places and sends a request until a target answers.
    pub(super) async fn start(
        self: &Arc<Self>,
        call: &Call,
        trace: &mut Trace,
        after: Option<u64>,
    ) -> Result<Started<C>, NoPlace> {
        loop {
            let flight = self.place(call, trace).await?;
            let sent = self.send(call, flight, trace, after).await;
            let result = match &sent {
                Ok(_) => "answered",
                Err(Failure::NotRun(reason) | Failure::MayHaveRun(reason)) => reason,
            };
            counter!("corianderramp_gateway_sends_total", "result" => result).increment(1);
            match sent {
                Ok(started) => return Ok(started),
                Err(Failure::NotRun(reason)) => trace.reason = reason,
                Err(Failure::MayHaveRun(reason)) => {
                    trace.reason = reason;
                    trace.may_have_run = true;
                }
            }
            if !self.may_resend(call, trace) {
                return Err(NoPlace::Absent);
            }
        }
    }
}

/// Urgency at a target for a rank; ranks of the users are small numbers.
fn urgency(priority: u8) -> u8 {
    priority.min(USUAL_URGENCY)
}

/// Whether a request's answer is a series of events.
#[must_use]
pub fn is_stream(call: &Call) -> bool {
    matches!(call.route().kind, RouteKind::Stream { .. })
}
