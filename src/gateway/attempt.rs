//! Selects a target for a request and sends the request to it.

use std::mem;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode, response};
use http_body_util::Full;
use hyper::body::Incoming;
use log::debug;
use metrics::counter;
use parking_lot::Mutex;
use rand::RngExt;

use crate::clock::Clock;
use crate::fleet::catalog::{Catalog, ReleaseHistory};
use crate::gateway::Gateway;
use crate::gateway::agents::SlotCriteria;
use crate::gateway::call::{Call, Trace};
use crate::gateway::guard::SlotGuard;
use crate::net;
use crate::node::message::RateLimit;
use crate::place::forecast::{Forecast, Timing};
use crate::place::homes;
use crate::place::limit::{Notice, Permit};
use crate::place::patience;
use crate::place::pool::{Requirements, TargetKey};
use crate::place::returning;
use crate::platform::request::{self, TargetHeaders};

/// Timeout for opening a connection to a target while there are others. Delays between regions
/// are a few milliseconds, and TCP repeats a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Slot requests to hosts before a request is refused. With dozens of gateways the states
/// that each knows are up to a second old, and the best targets are often full already.
const MAX_SLOT_REQUESTS: u32 = returning::MAX_ASKS;
/// Time before the limit of old weights at which a request that waits on them is given up, so
/// that the target learns of it in time.
const CANCEL_MARGIN: Duration = Duration::from_millis(50);
/// Statuses that an answer may have. A target in trouble sends others, and nothing in such an
/// answer can be believed; hyper itself reads only numbers from 100 to 999, and skips interim
/// statuses except 101.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Largest urgency, of the requests that targets admit last.
const MAX_URGENCY: u8 = 9;

/// Why a request got no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// All targets that were asked are full.
    Full,
    /// The request can't end before its deadline.
    TooLong,
    /// The request crashes targets.
    CrashesTargets,
    /// The data centres of all targets that could serve the request are evacuated.
    Evacuated,
    /// The rate limits of all targets leave no room; the time until one does.
    RateLimited(Duration),
    /// All targets want no requests; the time until one does.
    AskedToWait(Duration),
    /// No region that the request's homes permit has a ready target of the service.
    NoHome,
    /// No target serves the request now, or the last attempt can't be retried.
    NoTarget,
    /// The process stops, and may exit before an answer is complete.
    Stopping,
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
}

impl<C: Clock> TargetResponse<C> {
    /// Takes status and headers; may be called once.
    pub fn take_head(&mut self) -> response::Parts {
        let empty = Response::new(()).into_parts().0;
        mem::replace(&mut self.head, empty)
    }
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

    /// When a request must begin at an engine of its service; `None` for plain services and while
    /// the engine's parameters are unknown.
    pub(super) fn timing(&self, call: &Call) -> Option<Timing> {
        if !self.placement.forecast {
            return None;
        }
        let catalog = self.catalog.snapshot();
        let service = catalog.config.as_ref()?.service(&call.service)?;
        let forecast = Forecast::known(service.engine.as_ref()?)?;
        let prompt = call.caller_headers.prompt_tokens;
        Some(forecast.timing(call.route().objective, prompt))
    }

    /// When a request must have begun at a target; `None` if its weights are the newest.
    ///
    /// Load pattern: a target that holds old weights turns slow, or is crowded because others
    /// are loading, and requests that were sent in time wait there beyond the limit.
    pub(super) fn start_limit(&self, key: TargetKey, call: &Call, now: Instant) -> Option<Instant> {
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
        trace: &Mutex<Trace>,
    ) -> Result<SlotGuard<C>, PlacementError> {
        self.acquire_slot_within(call, trace, MAX_SLOT_REQUESTS)
            .await
    }

    /// Selects a target for a request and acquires a slot there, with `max_requests` slot requests
    /// at most.
    pub(super) async fn acquire_slot_within(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        max_requests: u32,
    ) -> Result<SlotGuard<C>, PlacementError> {
        let min_version = self.required_version(call, self.clock.now());
        let tried = trace.lock().tried.clone();
        let mut refused: Vec<TargetKey> = tried.clone();
        let mut attempts = 0;
        let mut denials = 0;
        let last_request = max_requests.saturating_sub(1);
        loop {
            let now = self.clock.now();
            // It may change while a host answers.
            let scope = self.scope(call);
            if scope.has_homes() && trace.lock().unreachable >= homes::MAX_UNREACHABLE {
                return Err(PlacementError::NoTarget);
            }
            // The last slot request accepts a wait and may go to a target that refused before:
            // their replies carried their current waits.
            let immediate_only = attempts < last_request;
            let needs = Requirements {
                service: &call.service,
                excluded: if immediate_only { &refused } else { &tried },
                min_version,
                data_center: &self.data_center,
                scope: &scope,
                timing: self.timing(call),
            };
            let Some(selection) = self.select_target(&needs, now) else {
                if let Some(error) = self.scope_error(&needs, trace, now) {
                    return Err(error);
                }
                if attempts > 0 && attempts < last_request {
                    attempts = last_request;
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
                let mut asks = 0;
                let permit = self.acquire_permits(&selection, limit, &mut asks).await;
                trace.lock().asks += asks;
                denials += asks.max(1);
                match permit {
                    Permit::Granted => return Ok(SlotGuard::begin(self, key, address, None)),
                    Permit::Denied(wait) if denials >= MAX_SLOT_REQUESTS => {
                        return Err(PlacementError::RateLimited(wait));
                    }
                    Permit::Denied(wait) => self.record_limited(key, wait),
                }
                continue;
            }
            if attempts == max_requests {
                return Err(PlacementError::Full);
            }
            attempts += 1;
            trace.lock().asks += 1;
            let request_id = self.agents.next_request_id();
            let criteria = SlotCriteria {
                priority: call.priority,
                objective: call.route().objective,
                prompt_tokens: call.caller_headers.prompt_tokens,
                output_tokens: expected_output(call, trace),
                left: call.deadline.saturating_duration_since(now),
                is_returning: call.is_returning,
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
                Some(reply) if reply.is_too_long => "too long",
                Some(_) => "refused",
                None => "silent",
            };
            counter!("corianderramp_gateway_asks_total", "verdict" => verdict).increment(1);
            match reply {
                Some(reply) if reply.is_granted => {
                    let mut slot = SlotGuard::begin(self, key, address, Some(request_id));
                    slot.urgency = reply.urgency.and_then(|u| u8::try_from(u).ok());
                    return Ok(slot);
                }
                Some(reply) if reply.is_too_long => return Err(PlacementError::TooLong),
                Some(reply) if reply.limit_ms > 0 => {
                    self.record_limited(key, Duration::from_millis(reply.limit_ms.into()));
                }
                Some(_) => refused.push(key),
                None => self.mark_unresponsive(key, address),
            }
        }
    }

    /// Acquires the permits that a target without a host needs: one while it is cold and one for
    /// the rate limit that it named.
    async fn acquire_permits(
        &self,
        selection: &Selection,
        limit: Option<RateLimit>,
        asks: &mut u32,
    ) -> Permit {
        let permit = self.acquire_cold_permit(selection.key, asks).await;
        match limit.filter(|l| l.rate.is_some()) {
            Some(limit) if permit == Permit::Granted => {
                *asks += 1;
                self.acquire_permit(selection.address, limit).await
            }
            _ => permit,
        }
    }

    fn record_limited(&self, key: TargetKey, wait: Duration) {
        let until = self.clock.now() + wait;
        self.pool.lock().record_limited(key, until);
    }

    /// Sends a request to the target of `slot` and waits for the head of the response.
    /// `last_event` is the id of the last event that the caller has, when a stream is continued.
    pub(super) async fn send(
        self: &Arc<Self>,
        call: &Call,
        mut slot: SlotGuard<C>,
        trace: &Mutex<Trace>,
        last_event: Option<u64>,
    ) -> Result<TargetResponse<C>, SendError> {
        let now = self.clock.now();
        let limit = self.connect_timeout(call, trace, now);
        {
            let mut trace = trace.lock();
            trace.tried.push(slot.key);
            trace.target = slot.address.to_string();
        }
        let Some((id, weights)) = self.target_identity(slot.key, call, now) else {
            return Err(SendError::NotRun("target left"));
        };
        if !self.is_in_scope(slot.key, call) {
            return Err(SendError::NotRun("target out of scope"));
        }
        let mut connection = match net::Connection::open(slot.address, limit).await {
            Ok(connection) => connection,
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "connecting to target failed");
                slot.record_result(false);
                trace.lock().unreachable += 1;
                return Err(SendError::NotRun("no connection"));
            }
        };
        if !self.is_in_scope(slot.key, call) {
            return Err(SendError::NotRun("target out of scope"));
        }
        let end = if call.is_stream() {
            call.end
        } else {
            call.deadline
        };
        let target_headers = TargetHeaders {
            id: &id,
            weights,
            account: call.account.as_deref(),
            timeout: end.saturating_duration_since(self.clock.now()),
            urgency: call.has_engine().then(|| urgency(call, &slot)),
            last_event,
        };
        let mut message = Request::new(Full::new(call.body.clone()));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.uri.clone();
        *message.headers_mut() = request::forward(&call.headers, &target_headers);
        {
            // Another attempt may have been sent while this one was connecting.
            let mut trace = trace.lock();
            if trace.sends >= call.route().max_attempts.max(1) {
                return Err(SendError::NotRun("attempts used up"));
            }
            trace.sends += 1;
        }
        let sent = self.clock.now();
        let (head, body) = match connection.send(message).await {
            Ok(response) => response.into_parts(),
            Err(e) => {
                let reason = e.to_string();
                debug!(reason = reason.as_str(); "request to target failed");
                slot.record_result(false);
                self.report_broken(call, &slot);
                return Err(SendError::MayHaveRun("connection broke"));
            }
        };
        let status = head.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            debug!(status; "target sent an invalid status");
            slot.record_result(false);
            self.report_broken(call, &slot);
            return Err(SendError::MayHaveRun("invalid status"));
        }
        if request::is_mismatched(&head.headers, &call.caller_headers.request_id) {
            slot.record_result(false);
            return Err(SendError::MayHaveRun("answer to another request"));
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            slot.decline();
        } else {
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
        })
    }

    /// Timeout for opening a connection: short only while the request could go to another
    /// target, or if the region of its homes seems to be cut off.
    fn connect_timeout(&self, call: &Call, trace: &Mutex<Trace>, now: Instant) -> Duration {
        let scope = self.scope(call);
        let is_doubtful = scope.has_homes() && trace.lock().unreachable > 0;
        let needs = Requirements {
            service: &call.service,
            excluded: &trace.lock().tried,
            min_version: self.required_version(call, now),
            data_center: &self.data_center,
            scope: &scope,
            timing: self.timing(call),
        };
        let limit = if is_doubtful || self.pool.lock().has_choice(&needs, now) {
            now + CONNECT_TIMEOUT
        } else {
            patience::look_time(call.route(), now, call.deadline).unwrap_or(call.deadline)
        };
        limit.min(call.deadline).saturating_duration_since(now)
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
}

/// Releases of the model that the request is for.
fn release_history<'a>(catalog: &'a Catalog, call: &Call) -> Option<&'a ReleaseHistory> {
    let model = call.caller_headers.model.as_deref()?;
    catalog.release_history(model)
}

/// Expected output of a request, tokens; 0 after an attempt that may have run, because it is not
/// known how much of the answer is left.
fn expected_output(call: &Call, trace: &Mutex<Trace>) -> u32 {
    if trace.lock().sends > 0 {
        0
    } else {
        call.caller_headers.output_tokens
    }
}

/// Urgency in the target's queue, 0 to 9: the one that the target's host gave with the slot, or
/// else the class of its priority.
fn urgency<C: Clock>(call: &Call, slot: &SlotGuard<C>) -> u8 {
    slot.urgency.map_or(call.class, |u| u.min(MAX_URGENCY))
}
