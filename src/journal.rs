//! At-most-once journal: an operation is dispatched only after its intent is
//! recorded, and its receipt answers later copies of the same request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time;

use crate::clock::Clock;
use crate::control::pb::journal_server::JournalServer;
use crate::daemon::Context;
use crate::digest;
use crate::objects::Api;
use crate::resource::journal;

pub mod actor;
pub mod key;
pub mod owned;
pub mod ownership;
pub mod route;
pub mod rpc;
pub mod store;
pub mod table;

#[cfg(test)]
mod owned_test;
#[cfg(test)]
mod ownership_test;
#[cfg(test)]
mod table_test;

use key::{Attempt, Finish};
use owned::{Command, Reply};
use route::{Outcome, RoutedRequest, Router};

/// Largest body that a receipt keeps, bytes. A larger one is dropped, and the
/// receipt is marked as truncated.
pub const MAX_RECEIPT_BYTES: usize = 4096;
/// Longest content type that a receipt keeps, bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 128;
/// Longest time that a reservation may take.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(4);
/// First and longest pause between two tries to record an outcome.
const FINISH_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// An operation that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Client account.
    pub account: String,
    /// Service that runs the operation.
    pub service: String,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Digest of method, path and body; detects a key used for two requests.
    pub fingerprint: digest::Digest,
}

/// Answer of an operation that ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Receipt {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty when there was none.
    pub content_type: String,
    /// Body; empty when `truncated`.
    pub body: Bytes,
    /// Whether the body was larger than `MAX_RECEIPT_BYTES` and is not kept.
    pub truncated: bool,
}

impl Receipt {
    /// The receipt within the limits of the journal.
    fn within_limits(mut self) -> Self {
        // 0 stands for an operation without a receipt in stored entries.
        self.status = self.status.max(1);
        if self.body.len() > MAX_RECEIPT_BYTES {
            self.body = Bytes::new();
            self.truncated = true;
        }
        if self.content_type.len() > MAX_CONTENT_TYPE_BYTES {
            self.content_type.clear();
        }
        self
    }
}

/// Result of reserving an operation.
#[derive(Debug)]
pub enum Reservation {
    /// The caller may dispatch the operation, once.
    Fresh(Permit),
    /// The operation ran; this was its answer.
    Done(Receipt),
    /// Another attempt may be running the operation.
    InProgress,
    /// It is not known whether the operation ran.
    Unknown,
    /// The key belongs to a request with another fingerprint.
    Mismatch,
    /// This attempt was not dispatched, and the journal can't be used now.
    Unavailable {
        /// Why.
        reason: String,
    },
}

/// Right to dispatch an operation once. Dropping it leaves the intent, so that
/// copies of the request get `InProgress` and, after the deadline, `Unknown`.
#[derive(Debug)]
#[must_use = "a dropped permit leaves the operation's outcome unknown"]
pub struct Permit {
    handle: Handle,
    operation: Operation,
    attempt: Attempt,
}

impl Permit {
    /// Identifier of the attempt, unique among all reservations.
    #[must_use]
    pub fn attempt(&self) -> String {
        self.attempt.to_hex()
    }

    /// Records the answer in the background.
    pub fn complete(self, receipt: Receipt) {
        let finish = Finish::Complete(receipt.within_limits());
        self.handle.finish(self.operation, self.attempt, finish);
    }

    /// Frees the key in the background; only for an operation that certainly
    /// was not run and will not be.
    pub fn abort(self) {
        self.handle
            .finish(self.operation, self.attempt, Finish::Abort);
    }
}

/// The journal as the request path uses it.
#[derive(Clone, Debug)]
pub struct Handle {
    router: Arc<Router>,
    retention: Duration,
}

/// Withdraws the intent of a reservation that is cancelled or fails.
struct AbortGuard {
    handle: Handle,
    pending: Option<(Operation, Attempt)>,
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if let Some((operation, attempt)) = self.pending.take() {
            self.handle.finish(operation, attempt, Finish::Abort);
        }
    }
}

impl Handle {
    /// Reserves `operation` for one attempt that ends at `deadline` at the
    /// latest. The result comes within four seconds. Dropping the future
    /// withdraws the attempt.
    pub async fn reserve(&self, operation: Operation, deadline: Instant) -> Reservation {
        let remaining = deadline.saturating_duration_since(Instant::now());
        // An attempt must end long before its intent is forgotten.
        let remaining = remaining.min(self.retention / 2);
        let reserve = rpc::new_request(&operation, owned::millis(remaining));
        let attempt = reserve.attempt;
        let mut guard = AbortGuard {
            handle: self.clone(),
            pending: Some((operation.clone(), attempt)),
        };
        let request = RoutedRequest {
            id: reserve.id,
            command: Command::Reserve {
                offline: self.router.is_offline(&operation.service),
                request: reserve,
            },
            operation,
        };
        let limit = remaining.min(RESERVE_TIMEOUT);
        let answer = time::timeout(limit, self.router.route(&request)).await;
        let outcome: Outcome = answer.map_or_else(
            |_| Outcome::Unavailable("no answer from the journal in time".into()),
            Outcome::from,
        );
        metrics::counter!("corianderramp_journal_reservations_total", "outcome" => outcome.name())
            .increment(1);
        // A process that was paused may see the permit long after the deadline,
        // when the intent may be forgotten.
        let late = Instant::now() >= deadline;
        let fresh = matches!(outcome, Outcome::Fresh) && !late;
        let keep = fresh || !matches!(outcome, Outcome::Fresh | Outcome::Unavailable(_));
        if keep {
            guard.pending = None;
        }
        match outcome {
            Outcome::Fresh if late => Reservation::Unavailable {
                reason: "the deadline passed before the permit came".into(),
            },
            Outcome::Fresh => Reservation::Fresh(Permit {
                handle: self.clone(),
                operation: request.operation,
                attempt,
            }),
            Outcome::Done(receipt) => Reservation::Done(receipt),
            Outcome::InProgress => Reservation::InProgress,
            Outcome::Unknown => Reservation::Unknown,
            Outcome::Mismatch => Reservation::Mismatch,
            Outcome::Unavailable(reason) => Reservation::Unavailable { reason },
        }
    }

    /// Hands all shards of this process over, for a planned stop; it takes none
    /// from then on, and its requests go to other entries. Returns when none is
    /// owned any more; the caller sets a limit, since it does not
    /// return while the platform is unreachable.
    pub async fn hand_over(&self) {
        self.router.stopping.store(true, Ordering::Relaxed);
        let mut answers = Vec::new();
        for shard in &self.router.shards {
            let (reply, answer) = oneshot::channel();
            let _ = shard.send(actor::Message::Release(reply));
            answers.push(answer);
        }
        for answer in answers {
            let _ = answer.await;
        }
    }

    fn finish(&self, operation: Operation, attempt: Attempt, finish: Finish) {
        let id = key::operation_id(&operation);
        let request = RoutedRequest {
            id,
            command: Command::Finish {
                id,
                attempt,
                finish,
            },
            operation,
        };
        let (router, retention) = (self.router.clone(), self.retention);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let _ = time::timeout(retention, retry_finish(&router, &request)).await;
        });
    }
}

/// Repeats the end of an attempt until an owner acknowledged it.
async fn retry_finish(router: &Router, request: &RoutedRequest) {
    let mut delay = FINISH_BACKOFF.0;
    loop {
        let answer = time::timeout(RESERVE_TIMEOUT, router.route(request)).await;
        if matches!(answer, Ok(Reply::Finished(_))) {
            return;
        }
        time::sleep(delay).await;
        delay = (delay * 2).min(FINISH_BACKOFF.1);
    }
}

/// Starts the journal and returns the handle for the request path and the
/// service for other entries.
pub fn start<C: Clock, P: Api>(
    ctx: &Context,
    clock: C,
    platform: P,
) -> (Handle, JournalServer<rpc::Service>) {
    let started = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let local = journal::Owner {
        vm: ctx.settings.vm.clone(),
        boot: ctx.boot.clone(),
        started: owned::millis(started.unwrap_or_default()),
        address: ctx.settings.control_address(),
    };
    let settings = ctx.settings.journal.clone();
    let shared = actor::Shared {
        local: local.clone(),
        started: clock.now(),
        settings: settings.clone(),
        state: ctx.state.clone(),
        clock,
        platform,
        stop: ctx.stop.clone(),
    };
    let shards = (0..settings.shards).map(|shard| actor::spawn(shared.clone(), shard));
    let router = Arc::new(Router {
        local,
        shards: shards.collect(),
        state: ctx.state.clone(),
        pool: ctx.pool.clone(),
        stopping: AtomicBool::new(false),
    });
    let handle = Handle {
        router: router.clone(),
        retention: Duration::from_millis(settings.retention_ms),
    };
    (handle, JournalServer::new(rpc::Service::new(router)))
}
