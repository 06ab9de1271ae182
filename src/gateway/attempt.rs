//! Selects a target for a request and sends the request to it.

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
use xxhash_rust::xxh3::Xxh3;

use crate::clock::Clock;
use crate::fleet::catalog::{Catalog, ReleaseHistory};
use crate::fleet::{Config, Route, RouteKind};
use crate::gateway::Gateway;
use crate::gateway::agents::SlotCriteria;
use crate::gateway::guard::SlotGuard;
use crate::net;
use crate::node::message::RateLimit;
use crate::place::limit::{Notice, Permit};
use crate::place::pool::{Requirements, TargetKey};
use crate::platform::request::{self, CallerHeaders, TargetHeaders};

/// Timeout for opening a connection to a target. Delays between regions are a few
/// milliseconds, and TCP repeats a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Slot requests to hosts before a request is refused. With dozens of gateways the states
/// that each knows are up to a second old, and the best targets are often full already.
const MAX_SLOT_REQUESTS: u32 = 5;
/// Multiple of the latency objective after which a retryable request without response
/// headers is sent to another target.
const RETRY_OBJECTIVES: u32 = 3;
/// Time before the limit of old weights at which a request that waits on them is given up, so
/// that the target learns of it in time.
const CANCEL_MARGIN: Duration = Duration::from_millis(50);
/// Urgency that targets assume for a request without this header.
const DEFAULT_URGENCY: u8 = 5;

/// A caller's request and how it is to be handled.
#[derive(Debug)]
pub struct Call {
    /// Parsed headers of the caller.
    pub caller_headers: CallerHeaders,
    /// Configuration that applies to the request.
    pub config: Arc<Config>,
    /// Index of the route in the configuration.
    pub route: usize,
    /// Service that serves the request.
    pub service: String,
    /// Account of the caller, if the route requires one.
    pub account: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers of the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Hashes of what may crash a target: the shared parts of the prompt and the whole request.
    pub fingerprints: Vec<u64>,
    /// When the caller must have the final answer.
    pub deadline: Instant,
}

impl Call {
    /// Hash of what is the same when a caller sends a request again.
    #[must_use]
    pub fn request_fingerprint(&self) -> u64 {
        let uri = self.uri.path_and_query().map_or("", |p| p.as_str());
        let mut hasher = Xxh3::new();
        for part in [
            self.method.as_str(),
            uri,
            self.account.as_deref().unwrap_or_default(),
        ] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&self.body);
        hasher.digest()
    }

    /// Returns the route of the request.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// Returns whether the targets of the service are model engines.
    #[must_use]
    pub fn has_engine(&self) -> bool {
        let service = self.config.service(&self.service);
        service.is_some_and(|s| s.engine.is_some())
    }
}

/// Attempts at a request so far, for retries and the log line.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Targets of all attempts, also those without a connection.
    pub tried: Vec<TargetKey>,
    /// Number of times that the request was sent.
    pub sends: u32,
    /// Number of slot requests to hosts.
    pub asks: u32,
    /// Address of the last target.
    pub target: String,
    /// Why the last attempt failed.
    pub reason: &'static str,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
}

/// Why a request got no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// All targets that were asked are full.
    Full,
    /// The request crashes targets.
    CrashesTargets,
    /// The rate limits of all targets leave no room; the time until one does.
    RateLimited(Duration),
    /// All targets want no requests; the time until one does.
    AskedToWait(Duration),
    /// No target serves the request now, or the last attempt can't be retried.
    NoTarget,
}

/// Response of a target whose body has not been read yet.
#[derive(Debug)]
pub struct TargetResponse<C: Clock> {
    /// Response status and headers.
    pub head: response::Parts,
    /// Response body.
    pub body: Incoming,
    /// Connection to the target; closed when dropped.
    pub _connection: net::Connection,
    /// Slot at the target.
    pub slot: SlotGuard<C>,
    /// When the first event must have arrived, because the target's weights are old.
    pub start_limit: Option<Instant>,
}

/// Target that was selected for a request.
#[derive(Clone, Copy, Debug)]
struct Selection {
    key: TargetKey,
    address: SocketAddr,
    /// Whether a slot must be requested from the agent first.
    needs_grant: bool,
    /// What the target said of its rate limit.
    limit: Option<Notice>,
    /// Hash of the target's lifetime.
    lifetime: u64,
}

impl Selection {
    fn rate_limit(&self, now: Instant) -> Option<RateLimit> {
        let limit = self.limit?;
        Some(RateLimit::new(self.lifetime, &limit, now))
    }
}

/// Why an attempt got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request.
    MayHaveRun(&'static str),
}

impl<C: Clock> Gateway<C> {
    /// Lowest version of the weights that may serve the request; `None` for plain services.
    pub(super) fn required_version(&self, call: &Call, now: Instant) -> Option<u64> {
        if !call.has_engine() {
            return None;
        }
        // A request that a target accepts begins within its objective, as a rule.
        let limit = self.bounds.weights_limit();
        let limit = limit.saturating_sub(call.route().objective);
        let catalog = self.catalog.snapshot();
        let history = release_history(&catalog, call);
        Some(history.map_or(1, |h| h.required_version(limit, now)).max(1))
    }

    /// When a request must have begun at a target; `None` if its weights are the newest.
    ///
    /// Load pattern: a target that holds old weights turns slow, or is crowded because others
    /// are loading, and requests that were sent in time wait there beyond the limit.
    fn start_limit(&self, key: TargetKey, call: &Call, now: Instant) -> Option<Instant> {
        if !call.has_engine() {
            return None;
        }
        let held = self.pool.lock().get(key)?.weights(now)?;
        let catalog = self.catalog.snapshot();
        let history = release_history(&catalog, call)?;
        let limit = self.bounds.weights_limit().saturating_sub(CANCEL_MARGIN);
        history.start_limit(held, limit)
    }

    fn select_target(&self, needs: &Requirements<'_>, now: Instant) -> Option<Selection> {
        let pool = self.pool.lock();
        let key = pool.choose(needs, now, || rand::rng().random())?;
        let entry = pool.get(key)?;
        Some(Selection {
            key,
            address: entry.target.address,
            needs_grant: needs.min_version.is_some() && !entry.is_unresponsive(now),
            limit: entry.eligibility.limit(),
            lifetime: entry.lifetime,
        })
    }

    /// Selects a target for a request and acquires a slot there.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        call: &Call,
        trace: &mut Trace,
    ) -> Result<SlotGuard<C>, PlacementError> {
        let min_version = self.required_version(call, self.clock.now());
        let mut refused: Vec<TargetKey> = trace.tried.clone();
        let mut attempts = 0;
        let mut denials = 0;
        loop {
            let now = self.clock.now();
            // The last slot request accepts a wait and may go to a target that refused before:
            // their replies carried their current waits.
            let immediate_only = attempts < MAX_SLOT_REQUESTS - 1;
            let needs = Requirements {
                service: &call.service,
                excluded: if immediate_only {
                    &refused
                } else {
                    &trace.tried
                },
                min_version,
                data_center: &self.data_center,
            };
            let Some(selection) = self.select_target(&needs, now) else {
                if attempts > 0 && attempts < MAX_SLOT_REQUESTS - 1 {
                    attempts = MAX_SLOT_REQUESTS - 1;
                    continue;
                }
                if let Some(pause) = self.pool.lock().pause(&needs, now) {
                    return Err(pause.into());
                }
                let exists = attempts > 0 || self.pool.lock().can_serve(&needs, now);
                return Err(if exists {
                    PlacementError::Full
                } else {
                    PlacementError::NoTarget
                });
            };
            let Selection { key, address, .. } = selection;
            let limit = selection.rate_limit(now);
            if !selection.needs_grant {
                let Some(limit) = limit.filter(|l| l.rate.is_some()) else {
                    return Ok(SlotGuard::begin(self, key, address, None));
                };
                trace.asks += 1;
                denials += 1;
                match self.acquire_permit(address, limit).await {
                    Permit::Granted => return Ok(SlotGuard::begin(self, key, address, None)),
                    Permit::Denied(wait) if denials == MAX_SLOT_REQUESTS => {
                        return Err(PlacementError::RateLimited(wait));
                    }
                    Permit::Denied(wait) => self.record_limited(key, wait),
                }
                continue;
            }
            if attempts == MAX_SLOT_REQUESTS {
                return Err(PlacementError::Full);
            }
            attempts += 1;
            trace.asks += 1;
            let request_id = self.agents.next_request_id();
            let criteria = SlotCriteria {
                priority: call.priority,
                objective: call.route().objective,
                prompt_tokens: call.caller_headers.prompt_tokens,
                immediate_only,
                limit,
                lifetime: selection.lifetime,
            };
            let reply = self
                .agents
                .request_slot(address, request_id, &criteria)
                .await;
            let verdict = match &reply {
                Some(reply) if reply.is_granted => "granted",
                Some(reply) if reply.limit_ms > 0 => "limited",
                Some(_) => "refused",
                None => "silent",
            };
            counter!("corianderramp_gateway_asks_total", "verdict" => verdict).increment(1);
            match reply {
                Some(reply) if reply.is_granted => {
                    return Ok(SlotGuard::begin(self, key, address, Some(request_id)));
                }
                Some(reply) if reply.limit_ms > 0 => {
                    self.record_limited(key, Duration::from_millis(reply.limit_ms.into()));
                }
                Some(_) => refused.push(key),
                None => self.mark_unresponsive(key, address),
            }
        }
    }

    fn record_limited(&self, key: TargetKey, wait: Duration) {
        let until = self.clock.now() + wait;
        self.pool.lock().record_limited(key, until);
    }

    /// Sends a request to the target of `slot`. `last_event` is the id of the last event that
    /// the caller has, when a stream is continued.
    pub(super) async fn send(
        self: &Arc<Self>,
        call: &Call,
        slot: SlotGuard<C>,
        trace: &mut Trace,
        last_event: Option<u64>,
    ) -> Result<TargetResponse<C>, SendError> {
        let now = self.clock.now();
        trace.tried.push(slot.key);
        trace.target = slot.address.to_string();
        let Some((id, weights)) = self.target_identity(slot.key, call, now) else {
            return Err(SendError::NotRun("target left"));
        };
        let left = call.deadline.saturating_duration_since(now);
        let connected = net::Connection::open(slot.address, CONNECT_TIMEOUT.min(left)).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "connecting to target failed");
                slot.record_result(false);
                return Err(SendError::NotRun("no connection"));
            }
        };
        let left = call.deadline.saturating_duration_since(self.clock.now());
        let target_headers = TargetHeaders {
            id: &id,
            weights,
            account: call.account.as_deref(),
            timeout: left,
            urgency: call.has_engine().then(|| urgency(call.priority)),
            last_event,
        };
        let mut message = Request::new(Full::new(call.body.clone()));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.uri.clone();
        *message.headers_mut() = request::forward(&call.headers, &target_headers);
        trace.sends += 1;
        let sent = self.clock.now();
        let start_limit = self.start_limit(slot.key, call, now);
        let begin = start_limit.map(|at| at.saturating_duration_since(self.clock.now()));
        let limit = Self::response_timeout(call, trace, left).min(begin.unwrap_or(left));
        let response = time::timeout(limit, connection.send(message)).await;
        let (head, body) = match response {
            Ok(Ok(response)) => response.into_parts(),
            Ok(Err(e)) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "request to target failed");
                slot.record_result(false);
                self.report_broken(call, &slot);
                return Err(SendError::MayHaveRun("connection broke"));
            }
            Err(_) => {
                slot.record_result(false);
                return Err(SendError::MayHaveRun("no answer in time"));
            }
        };
        if request::is_mismatched(&head.headers, &call.caller_headers.request_id) {
            slot.record_result(false);
            return Err(SendError::MayHaveRun("answer to another request"));
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.observe_head(call, &slot, &head, sent);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST || request::not_run(&head.headers) {
            return Err(SendError::NotRun("target declined"));
        }
        Ok(TargetResponse {
            head,
            body,
            _connection: connection,
            slot,
            start_limit,
        })
    }

    /// Id of a target and, for a target without a current agent report, the version of the
    /// weights that it must have.
    fn target_identity(
        &self,
        key: TargetKey,
        call: &Call,
        now: Instant,
    ) -> Option<(String, Option<u64>)> {
        let min_version = self.required_version(call, now);
        let pool = self.pool.lock();
        let entry = pool.get(key)?;
        // The target may have said so while this request waited for a slot or a connection.
        if entry.eligibility.is_unwanted(now) {
            return None;
        }
        let must_check = min_version.is_some_and(|v| v > 1) && !entry.has_agent(now);
        let weights = if must_check { entry.weights(now) } else { None };
        Some((entry.target.id.clone(), weights))
    }

    /// Timeout for the response headers: until the caller's deadline, unless another target
    /// can still be tried.
    fn response_timeout(call: &Call, trace: &Trace, left: Duration) -> Duration {
        let route = call.route();
        let can_retry = trace.sends < route.max_attempts && route.kind.is_retryable();
        if can_retry {
            left.min(route.objective * RETRY_OBJECTIVES)
        } else {
            left
        }
    }

    /// Returns whether a failed request may be sent again. A permitted retry uses up a part of
    /// the retry budget.
    pub(super) fn can_retry(&self, call: &Call, trace: &Trace) -> bool {
        let route = call.route();
        let now = self.clock.now();
        (route.kind.is_retryable() || !trace.may_have_run)
            && trace.sends < route.max_attempts
            && now < call.deadline
            && !self.is_quarantined(call)
            && (trace.sends == 0 || self.retry_budget.lock().try_retry(now))
    }

    /// Sends a request, with retries, until a target responds.
    pub(super) async fn send_with_retries(
        self: &Arc<Self>,
        call: &Call,
        trace: &mut Trace,
        last_event: Option<u64>,
    ) -> Result<TargetResponse<C>, PlacementError> {
        loop {
            let slot = self.acquire_slot(call, trace).await?;
            // Another gateway may have seen a target die while this request waited for a slot.
            if self.is_quarantined(call) {
                return Err(PlacementError::CrashesTargets);
            }
            let sent = self.send(call, slot, trace, last_event).await;
            let result = match &sent {
                Ok(_) => "answered",
                Err(SendError::NotRun(reason) | SendError::MayHaveRun(reason)) => reason,
            };
            counter!("corianderramp_gateway_sends_total", "result" => result).increment(1);
            match sent {
                Ok(response) => return Ok(response),
                Err(SendError::NotRun(reason)) => trace.reason = reason,
                Err(SendError::MayHaveRun(reason)) => {
                    trace.reason = reason;
                    trace.may_have_run = true;
                }
            }
            if !self.can_retry(call, trace) {
                return Err(PlacementError::NoTarget);
            }
        }
    }
}

/// Releases of the model that the request is for.
fn release_history<'a>(catalog: &'a Catalog, call: &Call) -> Option<&'a ReleaseHistory> {
    let model = call.caller_headers.model.as_deref()?;
    catalog.release_history(model)
}

/// Urgency in the target's queue for a priority. Priorities are small numbers; larger ones
/// get the default urgency.
fn urgency(priority: u8) -> u8 {
    priority.min(DEFAULT_URGENCY)
}

/// Returns whether the answer to the request is an event stream.
#[must_use]
pub fn is_stream(call: &Call) -> bool {
    matches!(call.route().kind, RouteKind::Stream { .. })
}
