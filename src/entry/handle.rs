//! Handling of one request, from its arrival to the start of its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use serde_json::json;

use super::Entry;
use super::body::{Body, StreamParts};
use super::collect::{self, Collected};
use super::dispatch::{self, Failure, ResponseStart};
use super::fair::Owner;
use super::operation::{Journal, Permit, Reservation};
use super::parse::{self, ClientRequest, Endpoint};
use super::pool::{Slot, SlotRequest, TargetKey};
use super::quarantine;
use super::record::{End, Record};
use super::reply::{self, ErrorResponse};
use super::share::Admission;
use crate::clock::Clock;
use crate::journal::Operation;
use crate::objects;
use crate::protocol::{self, Outcome};
use crate::resource::service::{Backend, Class};
use crate::shared_state::RequestGuard;

/// Maximum number of times that a request is sent to targets.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum length of a request id that a client may set, bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Start of a response, with the slot that the request holds at the target.
struct StartedResponse<C: Clock> {
    start: ResponseStart,
    slot: Slot<C>,
}

impl<C: Clock, J: Journal> Entry<C, J> {
    /// Handles a client request and returns the response.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body<C>> {
        let progress = RequestGuard::new(&self.ctx.state);
        let http1 = request.version() == Version::HTTP_11;
        let id = request_id(request.headers());
        let mut record = Record::new(id.clone(), self.clock.clone(), self.counter.clone());
        let result = self.respond(request, &mut record, progress.count()).await;
        let mut response = match result {
            Ok(Reply::Buffered(response)) => buffered_response(response, record, progress),
            Ok(Reply::Stream(started, admission, request)) => {
                self.streaming_response(*started, admission, &request, record, progress)
            }
            Err(error) => {
                record.code = error.code;
                buffered_response(error.response(), record, progress)
            }
        };
        let headers = response.headers_mut();
        headers.insert(protocol::REQUEST_ID, protocol::header_value(&id));
        if http1 && self.is_shutting_down() {
            headers.insert(header::CONNECTION, protocol::header_value("close"));
        }
        response
    }

    async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
        record: &mut Record<C>,
        in_progress: u32,
    ) -> Result<Reply<C>, ErrorResponse> {
        if request.version() < Version::HTTP_11 {
            return Err(reply::UNSUPPORTED_HTTP_VERSION);
        }
        if in_progress as usize > self.ctx.settings.limits.requests {
            return Err(reply::ENTRY_FULL);
        }
        let authorization = request.headers().get(header::AUTHORIZATION);
        let authorization = authorization.and_then(|v| v.to_str().ok());
        let account = authorization.and_then(|v| self.api_keys.load().account(v));
        let account = account.ok_or(reply::INVALID_API_KEY)?;
        record.account.clone_from(&account.metadata.name);
        if parse::endpoint(request.method(), request.uri()) == Some(Endpoint::Models) {
            return Ok(Reply::Buffered(self.list_models()));
        }
        let view = self.ctx.state.view();
        let limits = &self.ctx.settings.limits;
        let (id, now) = (record.id.clone(), self.clock.now());
        let request = parse::request(id, account, request, &view, limits, now).await?;
        record.service.clone_from(&request.service.metadata.name);
        record.latency_objective = Duration::from_millis(request.service.spec.objective.latency_ms);
        if self.deaths.status(&request.fingerprint) == quarantine::Status::Blocked {
            return Err(reply::CRASHES_TARGETS);
        }
        let admission = self
            .shares
            .admit(&request.account.metadata.name, &request.account.spec)?;
        self.retry_budget.lock().record_request(now);
        if request.idempotency_key.is_some() {
            return self.run_operation(request, admission, record).await;
        }
        let started = self.send_with_retries(&request, record).await?;
        Ok(Reply::Stream(
            Box::new(started),
            admission,
            Box::new(request),
        ))
    }

    /// Sends a request to one target after another until one responds.
    async fn send_with_retries(
        &self,
        request: &ClientRequest,
        record: &mut Record<C>,
    ) -> Result<StartedResponse<C>, ErrorResponse> {
        let pool = self.pools.pool(&request.service.metadata.name);
        let pool = pool.ok_or(reply::NO_TARGET)?;
        let mut excluded: Vec<TargetKey> = Vec::new();
        // Stays `Unknown` once an attempt may have run, whatever later attempts
        // return.
        let mut outcome = Outcome::NotRun;
        let mut last = Failure::NotRun;
        while record.attempt < MAX_ATTEMPTS {
            let now = self.clock.now();
            if record.attempt > 0 && !self.may_retry(request, last, now) {
                break;
            }
            let status = self.deaths.status(&request.fingerprint);
            if status == quarantine::Status::Blocked {
                return Err(with_outcome(reply::CRASHES_TARGETS, outcome));
            }
            let exclusive = status == quarantine::Status::Exclusive;
            let wanted = slot_request(request, excluded.clone(), exclusive, now);
            let slot = match pool.acquire(wanted).await {
                Ok(slot) => slot,
                Err(error) if record.attempt == 0 => return Err(error.into()),
                Err(_) => break,
            };
            record.attempt += 1;
            record.target.clone_from(&slot.vm);
            record.version.clone_from(&slot.version);
            let now = self.clock.now();
            let timeout = attempt_timeout(request, record.attempt, now);
            let require_recent = last != Failure::NotRun;
            match dispatch::send(request, &slot, &self.deaths, timeout, require_recent).await {
                Ok(start) => {
                    record.first_byte();
                    return Ok(StartedResponse { start, slot });
                }
                Err(failure) => {
                    excluded.push(slot.key);
                    last = failure;
                    if failure != Failure::NotRun {
                        outcome = Outcome::Unknown;
                    }
                }
            }
        }
        Err(final_error(last, outcome))
    }

    /// Whether a failed request may be sent again.
    fn may_retry(&self, request: &ClientRequest, last: Failure, now: Instant) -> bool {
        let repeatable = match request.class {
            Class::Idempotent => true,
            // Without an idempotency key, the client asked for a single
            // dispatch.
            Class::AtMostOnce => request.idempotency_key.is_some() && last == Failure::NotRun,
        };
        repeatable && now < request.first_byte_deadline && self.retry_budget.lock().try_retry(now)
    }

    /// Runs an at-most-once operation under its idempotency key. It continues
    /// if the client disconnects, so that the response is stored in the
    /// journal.
    async fn run_operation(
        self: &Arc<Self>,
        request: ClientRequest,
        admission: Admission<C>,
        record: &mut Record<C>,
    ) -> Result<Reply<C>, ErrorResponse> {
        let operation = Operation {
            account: request.account.metadata.name.clone(),
            service: request.service.metadata.name.clone(),
            key: request.idempotency_key.clone().unwrap_or_default(),
            fingerprint: request.fingerprint,
        };
        let permit = match self
            .journal
            .reserve(operation, request.first_byte_deadline)
            .await
        {
            Reservation::Fresh(permit) => permit,
            Reservation::Done(receipt) => return Ok(Reply::Buffered(reply::from_receipt(receipt))),
            Reservation::InProgress => return Err(reply::OPERATION_IN_PROGRESS),
            Reservation::Unknown => return Err(reply::OPERATION_UNKNOWN),
            Reservation::Mismatch => return Err(reply::KEY_REUSED),
            Reservation::Unavailable => return Err(reply::JOURNAL_UNAVAILABLE),
        };
        let progress = RequestGuard::new(&self.ctx.state);
        let placeholder = Record::new(record.id.clone(), self.clock.clone(), self.counter.clone());
        let mut task_record = std::mem::replace(record, placeholder);
        let entry = self.clone();
        let task = tokio::spawn(async move {
            let result = entry.run_attempts(&request, permit, &mut task_record).await;
            drop((admission, progress));
            (result, task_record)
        });
        let (result, task_record) = task.await.map_err(|_| reply::TARGET_BROKEN)?;
        let mut placeholder = std::mem::replace(record, task_record);
        placeholder.discard();
        Ok(Reply::Buffered(result?))
    }

    async fn run_attempts(
        &self,
        request: &ClientRequest,
        permit: J::Permit,
        record: &mut Record<C>,
    ) -> Result<Response<Bytes>, ErrorResponse> {
        let started = match self.send_with_retries(request, record).await {
            Ok(started) => started,
            Err(error) => {
                if error.outcome == Outcome::NotRun {
                    permit.abort();
                }
                return Err(error);
            }
        };
        let limit = self.ctx.settings.limits.body_bytes;
        let wait = request
            .first_byte_deadline
            .saturating_duration_since(self.clock.now());
        let response = tokio::time::timeout(wait, collect::collect(started.start, limit)).await;
        let Ok(response) = response else {
            started.slot.on_timeout();
            return Err(reply::DEADLINE_EXCEEDED);
        };
        match response {
            Collected::Complete(response) => {
                started.slot.on_end();
                permit.complete(collect::receipt(&response));
                Ok(response)
            }
            Collected::TooLarge => {
                permit.complete(collect::truncated_receipt());
                Err(reply::RESPONSE_TOO_LARGE)
            }
            Collected::Truncated => {
                self.deaths.check_death(&started.slot).await;
                Err(reply::TARGET_BROKEN)
            }
        }
    }

    fn streaming_response(
        &self,
        started: StartedResponse<C>,
        admission: Admission<C>,
        request: &ClientRequest,
        mut record: Record<C>,
        progress: RequestGuard,
    ) -> Response<Body<C>> {
        let ResponseStart { head, first, body } = started.start;
        record.status = head.status.as_u16();
        let idle_timeout = Duration::from_millis(self.ctx.settings.limits.idle_ms);
        let deadline = request.response_deadline.map(|end| {
            let remaining = end.saturating_duration_since(self.clock.now());
            tokio::time::Instant::now() + remaining
        });
        let empty = first.is_none();
        let response = if empty {
            started.slot.on_end();
            record.finish(End::Done);
            Body::buffered(Bytes::new(), progress)
        } else {
            let parts = StreamParts {
                first,
                body,
                slot: started.slot,
                record,
                deaths: self.deaths.clone(),
                admission,
                idle_timeout,
                deadline,
            };
            Body::streaming(parts, progress)
        };
        let mut response = Response::new(response);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        collect::set_client_headers(response.headers_mut());
        response
    }

    fn list_models(&self) -> Response<Bytes> {
        let view = self.ctx.state.view();
        let models = view
            .services
            .iter()
            .filter(|s| s.spec.backend == Backend::Model);
        let data: Vec<_> = models
            .map(|s| json!({"id": s.metadata.name, "object": "model", "owned_by": "corianderramp"}))
            .collect();
        let list = json!({"object": "list", "data": data});
        reply::json_response(StatusCode::OK, list.to_string())
    }
}

enum Reply<C: Clock> {
    Buffered(Response<Bytes>),
    Stream(Box<StartedResponse<C>>, Admission<C>, Box<ClientRequest>),
}

fn buffered_response<C: Clock>(
    response: Response<Bytes>,
    mut record: Record<C>,
    progress: RequestGuard,
) -> Response<Body<C>> {
    record.status = response.status().as_u16();
    let outcome = Outcome::from_headers(response.headers()).unwrap_or(Outcome::Done);
    record.finish(outcome.into());
    response.map(|body| Body::buffered(body, progress))
}

fn slot_request(
    request: &ClientRequest,
    excluded: Vec<TargetKey>,
    exclusive: bool,
    now: Instant,
) -> SlotRequest {
    let account = &request.account;
    // The other half of the remaining time is left for the response.
    let remaining = request.first_byte_deadline.saturating_duration_since(now);
    SlotRequest {
        owner: Owner {
            account: account.metadata.name.clone(),
            weight: account.spec.weight,
            priority: account.spec.priority,
        },
        fingerprint: request.fingerprint,
        prompt_hashes: request.prompt_hashes.clone(),
        excluded,
        exclusive,
        expires: now + remaining / 2,
    }
}

/// Time limit for one attempt. An idempotent request keeps half of its
/// remaining time for further attempts, in case the target hangs.
fn attempt_timeout(request: &ClientRequest, attempt: u32, now: Instant) -> Duration {
    let remaining = request.first_byte_deadline.saturating_duration_since(now);
    if request.class == Class::Idempotent && attempt < MAX_ATTEMPTS {
        remaining / 2
    } else {
        remaining
    }
}

fn final_error(last: Failure, outcome: Outcome) -> ErrorResponse {
    let error = match (outcome, last) {
        (Outcome::NotRun, _) => reply::NO_TARGET,
        (_, Failure::TimedOut) => reply::DEADLINE_EXCEEDED,
        _ => reply::TARGET_BROKEN,
    };
    with_outcome(error, outcome)
}

fn with_outcome(error: ErrorResponse, outcome: Outcome) -> ErrorResponse {
    ErrorResponse { outcome, ..error }
}

/// Returns the client's request id if it is valid, otherwise a new one.
fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get(protocol::REQUEST_ID);
    let given = given.and_then(|v| v.to_str().ok());
    let usable = |id: &&str| {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.chars().all(allowed)
    };
    given
        .filter(usable)
        .map_or_else(objects::new_id, ToOwned::to_owned)
}
