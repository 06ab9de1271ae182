//! Interface between the request path and the journal of at-most-once
//! operations.

use std::future::Future;
use std::time::Instant;

use crate::journal::{self, Operation, Receipt};

/// Result of reserving an operation in the journal.
#[derive(Debug)]
pub enum Reservation<P> {
    /// The operation may be dispatched once.
    Fresh(P),
    /// The operation ran; this is its stored response.
    Done(Receipt),
    /// An earlier attempt is in progress.
    InProgress,
    /// An earlier attempt may have run.
    Unknown,
    /// The idempotency key belongs to another request.
    Mismatch,
    /// The journal can't be written; the operation was not run.
    Unavailable,
}

/// Journal of at-most-once operations.
pub trait Journal: Clone + Send + Sync + 'static {
    /// Permission to dispatch one operation once.
    type Permit: Permit;

    /// Reserves `operation`, to be dispatched before `deadline`.
    fn reserve(
        &self,
        operation: Operation,
        deadline: Instant,
    ) -> impl Future<Output = Reservation<Self::Permit>> + Send;
}

/// Permission to dispatch one operation once. If it is dropped, the reservation
/// stays and the operation counts as possibly run.
pub trait Permit: Send + 'static {
    /// Stores the response.
    fn complete(self, receipt: Receipt);
    /// Frees the key of an operation that was certainly not run.
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
                log::warn!(reason = reason.as_str(); "failed to reserve operation");
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
