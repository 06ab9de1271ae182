//! Journal of at-most-once operations. An operation is dispatched only after its
//! intent is stored; retries of the request get the stored receipt.

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

/// Largest response body stored in a receipt, bytes. A larger body is dropped
/// and the receipt is marked as truncated.
pub const MAX_RECEIPT_BYTES: usize = 4096;
/// Longest content type stored in a receipt, bytes; a longer one is dropped.
const MAX_CONTENT_TYPE_BYTES: usize = 128;
/// Timeout of one reservation and of each attempt to record an outcome.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Initial and maximum delay between attempts to record an outcome.
const FINISH_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// An operation that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Client account.
    pub account: String,
    /// Service that runs the operation.
    pub service: String,
    /// Idempotency key from the caller.
    pub key: String,
    /// Digest of method, path and body; detects a key reused for another request.
    pub fingerprint: digest::Digest,
}

/// Stored response of an operation that ran.
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
    /// Drops a body or content type above the size limits.
    fn within_limits(mut self) -> Self {
        // In stored entries, status 0 means that there is no receipt.
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
    /// The operation ran; this is its stored response.
    Done(Receipt),
    /// Another attempt may still be running the operation.
    InProgress,
    /// It is not known whether the operation ran.
    Unknown,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The operation was not reserved and must not be dispatched.
    Unavailable {
        /// Cause, for the log.
        reason: String,
    },
}

/// Permission to dispatch an operation once. If it is dropped, the intent stays
/// and retries get `InProgress`, then `Unknown` after the deadline.
#[derive(Debug)]
#[must_use = "a dropped permit leaves the operation's outcome unknown"]
pub struct Permit {
    handle: Handle,
    operation: Operation,
    attempt: Attempt,
}

impl Permit {
    /// Identifier of the attempt, unique across all reservations.
    #[must_use]
    pub fn attempt(&self) -> String {
        self.attempt.to_hex()
    }

    /// Stores the response in the background.
    pub fn complete(self, receipt: Receipt) {
        let finish = Finish::Complete(receipt.within_limits());
        self.handle.finish(self.operation, self.attempt, finish);
    }

    /// Frees the key in the background. Call it only if the operation certainly
    /// did not run and never will.
    pub fn abort(self) {
        self.handle
            .finish(self.operation, self.attempt, Finish::Abort);
    }
}

/// Handle of the journal for the request path.
#[derive(Clone, Debug)]
pub struct Handle {
    router: Arc<Router>,
    retention: Duration,
}

/// Aborts the pending attempt on drop, if the reservation is cancelled or fails.
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
    /// Reserves `operation` for one attempt that ends by `deadline`. Returns
    /// within four seconds. Dropping the future aborts the attempt.
    pub async fn reserve(&self, operation: Operation, deadline: Instant) -> Reservation {
        let remaining = deadline.saturating_duration_since(Instant::now());
        // An attempt must end long before its intent is pruned.
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
            |_| Outcome::Unavailable("journal did not answer in time".into()),
            Outcome::from,
        );
        metrics::counter!("corianderramp_journal_reservations_total", "outcome" => outcome.name())
            .increment(1);
        // A process that was suspended may receive the permit long after the
        // deadline, when the intent may already be pruned.
        let late = Instant::now() >= deadline;
        let fresh = matches!(outcome, Outcome::Fresh) && !late;
        let keep = fresh || !matches!(outcome, Outcome::Fresh | Outcome::Unavailable(_));
        if keep {
            guard.pending = None;
        }
        match outcome {
            Outcome::Fresh if late => Reservation::Unavailable {
                reason: "deadline passed before the operation was reserved".into(),
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

    /// Hands over all shards of this process before a planned shutdown. From then
    /// on the process acquires no shard and sends its requests to other entries.
    /// Returns once it owns no shard. It does not return while the platform is
    /// unreachable, so the caller must set a timeout.
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

/// Sends the outcome of an attempt until an owner acknowledges it.
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

/// Starts the journal; returns the handle for the request path and the gRPC
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
