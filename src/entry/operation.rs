//! What the request path needs from the journal of at-most-once operations.

use std::future::Future;
use std::time::Instant;

use crate::journal::{self, Operation, Receipt};

/// What the journal says about an operation.
#[derive(Debug)]
pub enum Reservation<P> {
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

    /// Asks for the right to dispatch `operation` before `deadline`.
    fn reserve(
        &self,
        operation: Operation,
        deadline: Instant,
    ) -> impl Future<Output = Reservation<Self::Permit>> + Send;
}

/// Right to dispatch one operation once. Dropping it leaves the intent: the
/// operation may have run.
pub trait Permit: Send + 'static {
    /// Keeps the answer.
    fn complete(self, receipt: Receipt);
    /// The operation was certainly not run; its key is free again.
    fn abort(self);
}

impl Journal for journal::Handle {
    type Permit = journal::Permit;

    async fn reserve(&self, operation: Operation, deadline: Instant) -> Reservation<Self::Permit> {
        match journal::Handle::reserve(self, operation, deadline).await {
            journal::Reservation::Fresh(permit) => Reservation::Fresh(permit),
            journal::Reservation::Done(receipt) => Reservation::Done(receipt),
            journal::Reservation::InProgress => Reservation::InProgress,
            journal::Reservation::Unknown => Reservation::Unknown,
            journal::Reservation::Mismatch => Reservation::Mismatch,
            journal::Reservation::Unavailable { reason } => {
                log::warn!(reason = reason.as_str(); "operation not reserved");
                Reservation::Unavailable
            }
        }
    }
}

impl Permit for journal::Permit {
    fn complete(self, receipt: Receipt) {
        journal::Permit::complete(self, receipt);
    }

    fn abort(self) {
        journal::Permit::abort(self);
    }
}
