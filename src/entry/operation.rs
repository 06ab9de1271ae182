//! What the request path needs from the journal and the service-level counter.

use std::future::Future;
use std::time::Instant;

use bytes::Bytes;

use crate::digest::Digest;

/// An operation that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Client account.
    pub account: String,
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Digest of method, path and body.
    pub fingerprint: Digest,
}

/// Answer of an operation, for callers that send it again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body; empty when it was too large to keep.
    pub body: Bytes,
    /// Whether the body was too large to keep.
    pub truncated: bool,
}

/// What the journal says about an operation.
#[derive(Debug)]
pub enum Verdict<P> {
    /// It may be dispatched once.
    Fresh(P),
    /// It ran; this is its answer.
    Done(Receipt),
    /// Another attempt runs it.
    InProgress,
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// The journal can't be written; it was not run.
    Unavailable,
}

/// Journal of at-most-once operations.
pub trait Journal: Clone + Send + Sync + 'static {
    /// Right to dispatch one operation once.
    type Permit: Permit;

    /// Asks for the right to dispatch `operation`.
    fn reserve(
        &self,
        operation: Operation,
        deadline: Instant,
    ) -> impl Future<Output = Verdict<Self::Permit>> + Send;
}

/// Right to dispatch one operation once. Dropping it leaves the intent: the
/// operation may have run.
pub trait Permit: Send + 'static {
    /// Keeps the answer.
    fn complete(self, receipt: Receipt) -> impl Future<Output = ()> + Send;
    /// The operation was certainly not run; its key is free again.
    fn abort(self) -> impl Future<Output = ()> + Send;
}

/// How a request ended, for service-level counting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quality {
    /// Complete, and begun within the objective.
    Good,
    /// Complete, but begun late.
    Late,
    /// Not run.
    Refused,
    /// Broken off.
    Failed,
    /// It may have run.
    Unknown,
}

/// Counter of service-level outcomes.
pub trait Counter: Clone + Send + Sync + 'static {
    /// Counts one request.
    fn record(&self, service: &str, account: &str, quality: Quality);
}
