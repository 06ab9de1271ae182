//! At-most-once journal: an operation is dispatched only after its intent is
//! recorded, and its receipt answers later copies of the same request.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use parking_lot::Mutex;
use tonic::{Request, Response, Status};

use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::journal_server::JournalServer;
use crate::daemon::Context;
use crate::digest;
use crate::platform::{self, Api};

/// Largest body that a receipt keeps, bytes. A larger one is dropped, and the
/// receipt is marked as truncated.
pub const MAX_RECEIPT: usize = 4096;

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
    /// Whether the body was larger than `MAX_RECEIPT` and is not kept.
    pub truncated: bool,
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
    /// Nothing was dispatched and the journal can't be written now.
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
    attempt: String,
}

impl Permit {
    /// Identifier of the attempt, unique among all reservations.
    #[must_use]
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Records the answer in the background.
    pub fn complete(self, receipt: Receipt) {
        let mut table = self.handle.table.lock();
        if let Some(entry) = table.iter_mut().find(|e| e.attempt == self.attempt) {
            entry.receipt = Some(receipt);
        }
    }

    /// Frees the key in the background; only for an operation that certainly
    /// was not run and will not be.
    pub fn abort(self) {
        let mut table = self.handle.table.lock();
        table.retain(|e| e.attempt != self.attempt || e.operation != self.operation);
    }
}

#[derive(Debug)]
struct Entry {
    operation: Operation,
    attempt: String,
    deadline: Instant,
    receipt: Option<Receipt>,
}

/// The journal as the request path uses it.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    table: Arc<Mutex<Vec<Entry>>>,
}

impl Handle {
    /// Reserves `operation` for one attempt that ends at `deadline` at the latest.
    #[allow(clippy::unused_async)]
    pub async fn reserve(&self, operation: Operation, deadline: Instant) -> Reservation {
        let mut table = self.table.lock();
        let same = |e: &&Entry| {
            e.operation.account == operation.account
                && e.operation.service == operation.service
                && e.operation.key == operation.key
        };
        if let Some(entry) = table.iter().find(same) {
            return verdict(entry, &operation);
        }
        let attempt = platform::new_id();
        table.push(Entry {
            operation: operation.clone(),
            attempt: attempt.clone(),
            deadline,
            receipt: None,
        });
        Reservation::Fresh(Permit {
            handle: self.clone(),
            operation,
            attempt,
        })
    }
}

fn verdict(entry: &Entry, operation: &Operation) -> Reservation {
    if entry.operation.fingerprint != operation.fingerprint {
        return Reservation::Mismatch;
    }
    match &entry.receipt {
        Some(receipt) => Reservation::Done(receipt.clone()),
        None if Instant::now() < entry.deadline => Reservation::InProgress,
        None => Reservation::Unknown,
    }
}

/// gRPC service through which other entries use this entry's shards.
#[derive(Clone, Debug)]
pub struct Service;

#[tonic::async_trait]
impl pb::journal_server::Journal for Service {
    async fn reserve(
        &self,
        _: Request<pb::ReserveRequest>,
    ) -> Result<Response<pb::ReserveReply>, Status> {
        Err(Status::unimplemented("forwarding"))
    }

    async fn complete(
        &self,
        _: Request<pb::CompleteRequest>,
    ) -> Result<Response<pb::CompleteReply>, Status> {
        Err(Status::unimplemented("forwarding"))
    }

    async fn abort(
        &self,
        _: Request<pb::AbortRequest>,
    ) -> Result<Response<pb::AbortReply>, Status> {
        Err(Status::unimplemented("forwarding"))
    }
}

/// Starts the journal and returns the handle for the request path and the
/// service for other entries.
#[must_use]
pub fn start(_: &Context, _: impl Clock, _: impl Api) -> (Handle, JournalServer<Service>) {
    (Handle::default(), JournalServer::new(Service))
}
