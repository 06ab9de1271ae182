//! One request from its arrival to the beginning of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use serde_json::json;

use super::Entry;
use super::body::{Answer, Parts};
use super::call::{self, Call, Place};
use super::collect::{self, Collected};
use super::dispatch::{self, Begun, Failure};
use super::fair::Owner;
use super::operation::{Journal, Permit, Reservation};
use super::pool::{TargetKey, Ticket, Want};
use super::record::{End, Record};
use super::reply::{self, Refusal};
use super::share::Admitted;
use super::suspect;
use crate::blackboard::InProgress;
use crate::clock::Clock;
use crate::journal::Operation;
use crate::objects;
use crate::protocol::{self, Outcome};
use crate::resource::service::{Backend, Class};

/// Times that one request is sent to targets at most.
const MAX_ATTEMPTS: u32 = 4;
/// Longest request id that is taken over from a caller, bytes.
const MAX_ID: usize = 64;

/// An answer that began, with its place at the target.
struct Started<C: Clock> {
    begun: Begun,
    ticket: Ticket<C>,
}

impl<C: Clock, J: Journal> Entry<C, J> {
    /// Answers one request of a caller.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Answer<C>> {
        let progress = InProgress::new(&self.ctx.board);
        let http1 = request.version() == Version::HTTP_11;
        let id = request_id(request.headers());
        let mut record = Record::new(id.clone(), self.clock.clone(), self.counter.clone());
        let result = self.answer(request, &mut record, progress.count()).await;
        let mut answer = match result {
            Ok(Reply::Whole(answer)) => whole(answer, record, progress),
            Ok(Reply::Stream(started, admitted, call)) => {
                self.stream(*started, admitted, &call, record, progress)
            }
            Err(refusal) => {
                record.code = refusal.code;
                whole(refusal.answer(), record, progress)
            }
        };
        let headers = answer.headers_mut();
        headers.insert(protocol::REQUEST_ID, protocol::header_value(&id));
        if http1 && self.is_stopping() {
            headers.insert(header::CONNECTION, protocol::header_value("close"));
        }
        answer
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        record: &mut Record<C>,
        in_progress: u32,
    ) -> Result<Reply<C>, Refusal> {
        if request.version() < Version::HTTP_11 {
            return Err(reply::HTTP_VERSION);
        }
        if in_progress as usize > self.ctx.settings.limits.requests {
            return Err(reply::ENTRY_FULL);
        }
        let authorization = request.headers().get(header::AUTHORIZATION);
        let authorization = authorization.and_then(|v| v.to_str().ok());
        let account = authorization.and_then(|v| self.index.load().account(v));
        let account = account.ok_or(reply::KEY)?;
        record.account.clone_from(&account.metadata.name);
        if call::place(request.method(), request.uri()) == Some(Place::Models) {
            return Ok(Reply::Whole(self.models()));
        }
        let view = self.ctx.board.view();
        let limits = &self.ctx.settings.limits;
        let (id, now) = (record.id.clone(), self.clock.now());
        let call = call::read(id, account, request, &view, limits, now).await?;
        record.service.clone_from(&call.service.metadata.name);
        record.objective = Duration::from_millis(call.service.spec.objective.latency_ms);
        if self.deaths.verdict(&call.fingerprint) == suspect::Verdict::Refused {
            return Err(reply::SUSPECT);
        }
        let admitted = self
            .shares
            .admit(&call.account.metadata.name, &call.account.spec)?;
        self.budget.lock().record_request(now);
        if call.key.is_some() {
            return self.operation(call, admitted, record).await;
        }
        let started = self.attempts(&call, record).await?;
        Ok(Reply::Stream(Box::new(started), admitted, Box::new(call)))
    }

    /// Sends a request to targets until one answers.
    async fn attempts(&self, call: &Call, record: &mut Record<C>) -> Result<Started<C>, Refusal> {
        let pool = self.fleet.pool(&call.service.metadata.name);
        let pool = pool.ok_or(reply::UNAVAILABLE)?;
        let mut excluded: Vec<TargetKey> = Vec::new();
        // Once an attempt may have run, later refusals can't undo that.
        let mut worst = Outcome::NotRun;
        let mut last = Failure::NotRun;
        while record.attempt < MAX_ATTEMPTS {
            let now = self.clock.now();
            if record.attempt > 0 && !self.may_retry(call, last, now) {
                break;
            }
            let verdict = self.deaths.verdict(&call.fingerprint);
            if verdict == suspect::Verdict::Refused {
                return Err(with_outcome(reply::SUSPECT, worst));
            }
            let alone = verdict == suspect::Verdict::Alone;
            let needs = want(call, excluded.clone(), alone, now);
            let ticket = match pool.acquire(needs).await {
                Ok(ticket) => ticket,
                Err(denied) if record.attempt == 0 => return Err(denied.into()),
                Err(_) => break,
            };
            record.attempt += 1;
            record.target.clone_from(&ticket.vm);
            record.version.clone_from(&ticket.version);
            let now = self.clock.now();
            let wait = attempt_wait(call, record.attempt, now);
            let fresh = last != Failure::NotRun;
            match dispatch::send(call, &ticket, &self.deaths, wait, fresh).await {
                Ok(begun) => {
                    record.first_byte();
                    return Ok(Started { begun, ticket });
                }
                Err(failure) => {
                    excluded.push(ticket.key);
                    last = failure;
                    if failure != Failure::NotRun {
                        worst = Outcome::Unknown;
                    }
                }
            }
        }
        Err(failed(last, worst))
    }

    /// Whether a request that failed may be sent again.
    fn may_retry(&self, call: &Call, last: Failure, now: Instant) -> bool {
        let repeatable = match call.class {
            Class::Idempotent => true,
            // Without a key, one dispatch is all that the caller asked for.
            Class::AtMostOnce => call.key.is_some() && last == Failure::NotRun,
        };
        repeatable && now < call.deadline && self.budget.lock().try_retry(now)
    }

    /// Runs an operation that must not be repeated. It goes on when the caller
    /// goes away, so that its answer is kept.
    async fn operation(
        self: &Arc<Self>,
        call: Call,
        admitted: Admitted<C>,
        record: &mut Record<C>,
    ) -> Result<Reply<C>, Refusal> {
        let operation = Operation {
            account: call.account.metadata.name.clone(),
            service: call.service.metadata.name.clone(),
            key: call.key.clone().unwrap_or_default(),
            fingerprint: call.fingerprint,
        };
        let permit = match self.journal.reserve(operation, call.deadline).await {
            Reservation::Fresh(permit) => permit,
            Reservation::Done(receipt) => return Ok(Reply::Whole(reply::replay(receipt))),
            Reservation::InProgress => return Err(reply::IN_PROGRESS),
            Reservation::Unknown => return Err(reply::MAYBE_RUN),
            Reservation::Mismatch => return Err(reply::MISMATCH),
            Reservation::Unavailable => return Err(reply::JOURNAL),
        };
        let progress = InProgress::new(&self.ctx.board);
        let own = Record::new(record.id.clone(), self.clock.clone(), self.counter.clone());
        let mut attempt = std::mem::replace(record, own);
        let entry = self.clone();
        let task = tokio::spawn(async move {
            let result = entry.run_once(&call, permit, &mut attempt).await;
            drop((admitted, progress));
            (result, attempt)
        });
        let (result, done) = task.await.map_err(|_| reply::BROKEN)?;
        let mut placeholder = std::mem::replace(record, done);
        placeholder.discard();
        Ok(Reply::Whole(result?))
    }

    async fn run_once(
        &self,
        call: &Call,
        permit: J::Permit,
        record: &mut Record<C>,
    ) -> Result<Response<Bytes>, Refusal> {
        let started = match self.attempts(call, record).await {
            Ok(started) => started,
            Err(refusal) => {
                if refusal.outcome == Outcome::NotRun {
                    permit.abort();
                }
                return Err(refusal);
            }
        };
        let limit = self.ctx.settings.limits.body_bytes;
        let wait = call.deadline.saturating_duration_since(self.clock.now());
        let answer = tokio::time::timeout(wait, collect::collect(started.begun, limit)).await;
        let Ok(answer) = answer else {
            started.ticket.late();
            return Err(reply::DEADLINE);
        };
        match answer {
            Collected::Whole(answer) => {
                started.ticket.ended();
                permit.complete(collect::receipt(&answer));
                Ok(answer)
            }
            Collected::TooLarge => {
                permit.complete(collect::too_large());
                Err(reply::ANSWER_SIZE)
            }
            Collected::Cut => {
                self.deaths.judge(&started.ticket).await;
                Err(reply::BROKEN)
            }
        }
    }

    fn stream(
        &self,
        started: Started<C>,
        admitted: Admitted<C>,
        call: &Call,
        mut record: Record<C>,
        progress: InProgress,
    ) -> Response<Answer<C>> {
        let Begun { head, first, body } = started.begun;
        record.status = head.status.as_u16();
        let idle = Duration::from_millis(self.ctx.settings.limits.idle_ms);
        let end = call.end.map(|end| {
            let left = end.saturating_duration_since(self.clock.now());
            tokio::time::Instant::now() + left
        });
        let empty = first.is_none();
        let answer = if empty {
            started.ticket.ended();
            record.finish(End::Done);
            Answer::whole(Bytes::new(), progress)
        } else {
            let parts = Parts {
                first,
                body,
                ticket: started.ticket,
                record,
                deaths: self.deaths.clone(),
                admitted,
                idle,
                end,
            };
            Answer::stream(parts, progress)
        };
        let mut response = Response::new(answer);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        collect::clean(response.headers_mut());
        response
    }

    fn models(&self) -> Response<Bytes> {
        let view = self.ctx.board.view();
        let models = view
            .services
            .iter()
            .filter(|s| s.spec.backend == Backend::Model);
        let data: Vec<_> = models
            .map(|s| json!({"id": s.metadata.name, "object": "model", "owned_by": "corianderramp"}))
            .collect();
        let list = json!({"object": "list", "data": data});
        reply::json_answer(StatusCode::OK, list.to_string())
    }
}

enum Reply<C: Clock> {
    Whole(Response<Bytes>),
    Stream(Box<Started<C>>, Admitted<C>, Box<Call>),
}

fn whole<C: Clock>(
    answer: Response<Bytes>,
    mut record: Record<C>,
    progress: InProgress,
) -> Response<Answer<C>> {
    record.status = answer.status().as_u16();
    let outcome = Outcome::from_headers(answer.headers()).unwrap_or(Outcome::Done);
    record.finish(outcome.into());
    answer.map(|body| Answer::whole(body, progress))
}

fn want(call: &Call, excluded: Vec<TargetKey>, alone: bool, now: Instant) -> Want {
    let account = &call.account;
    // Half of the time is left for the answer.
    let left = call.deadline.saturating_duration_since(now);
    Want {
        owner: Owner {
            account: account.metadata.name.clone(),
            weight: account.spec.weight,
            priority: account.spec.priority,
        },
        fingerprint: call.fingerprint,
        hashes: call.hashes.clone(),
        excluded,
        alone,
        expires: now + left / 2,
    }
}

/// Time for one attempt. A request that may be repeated leaves half of its time
/// for another attempt, against targets that hang.
fn attempt_wait(call: &Call, attempt: u32, now: Instant) -> Duration {
    let left = call.deadline.saturating_duration_since(now);
    if call.class == Class::Idempotent && attempt < MAX_ATTEMPTS {
        left / 2
    } else {
        left
    }
}

fn failed(last: Failure, worst: Outcome) -> Refusal {
    let refusal = match (worst, last) {
        (Outcome::NotRun, _) => reply::UNAVAILABLE,
        (_, Failure::Late) => reply::DEADLINE,
        _ => reply::BROKEN,
    };
    with_outcome(refusal, worst)
}

fn with_outcome(refusal: Refusal, outcome: Outcome) -> Refusal {
    Refusal { outcome, ..refusal }
}

/// Identifier that the caller chose, if it is usable, or a new one.
fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get(protocol::REQUEST_ID);
    let given = given.and_then(|v| v.to_str().ok());
    let usable = |id: &&str| {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !id.is_empty() && id.len() <= MAX_ID && id.chars().all(allowed)
    };
    given
        .filter(usable)
        .map_or_else(objects::new_id, ToOwned::to_owned)
}
