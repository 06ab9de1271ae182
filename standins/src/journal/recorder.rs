//! Service that executes operations and records the history of a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::time;

/// Outcome of one call as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The operation was executed with this receipt.
    Done(u32),
    /// This call did not execute the operation.
    NotRun,
    /// The caller can't tell whether the operation was executed.
    Unknown,
}

/// Event in a history.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A call by a caller.
    Call {
        /// Identifier of the call.
        call_id: u64,
        /// Outcome that the caller saw.
        outcome: Outcome,
    },
    /// An execution by the service.
    Execute {
        /// Identifier of the call that caused it.
        call_id: u64,
        /// Receipt, unique among all executions.
        receipt: u32,
    },
}

/// Event with the key of its operation and its interval in the history.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Key of the operation.
    pub key: u64,
    /// Event.
    pub event: Event,
    /// Position at which it began.
    pub begin: u64,
    /// Position at which it ended.
    pub end: u64,
}

/// Result of a request to the service as the entry sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// Executed with this receipt.
    Completed(u32),
    /// Refused without an execution.
    Refused,
    /// Executed, but the response was lost.
    ResponseLost,
}

/// Service that executes the operations and holds the history of a run.
#[derive(Debug)]
pub struct RecordingService {
    next_position: AtomicU64,
    next_receipt: AtomicU32,
    records: Mutex<Vec<Record>>,
    reservation_times: Mutex<Histogram<u64>>,
    random: Mutex<StdRng>,
    runtime: runtime::Handle,
    /// Probabilities of a refused request and of a lost response.
    probabilities: (f64, f64),
}

impl RecordingService {
    /// Creates a service that runs on the current runtime, refuses a request with
    /// probability `refusal` and loses a response with probability
    /// `response_loss`.
    ///
    /// # Panics
    /// Outside of a tokio runtime.
    #[must_use]
    pub fn new(seed: u64, refusal: f64, response_loss: f64) -> Arc<Self> {
        let histogram = Histogram::new(3).expect("three significant digits are valid");
        Arc::new(Self {
            next_position: AtomicU64::new(0),
            next_receipt: AtomicU32::new(1),
            records: Mutex::default(),
            reservation_times: Mutex::new(histogram),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            runtime: runtime::Handle::current(),
            probabilities: (refusal, response_loss),
        })
    }

    /// Takes the next position in the history.
    pub fn next_position(&self) -> u64 {
        self.next_position.fetch_add(1, Ordering::SeqCst)
    }

    /// Adds an event that began at position `begin` and ends now.
    pub fn record(&self, key: u64, event: Event, begin: u64) {
        let end = self.next_position();
        self.records.lock().push(Record {
            key,
            event,
            begin,
            end,
        });
    }

    /// Adds the duration of a reservation.
    pub fn record_reservation(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self.reservation_times.lock().record(micros);
    }

    /// Durations of the reservations, microseconds.
    #[must_use]
    pub fn reservation_times(&self) -> Histogram<u64> {
        self.reservation_times.lock().clone()
    }

    /// History so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().clone()
    }

    /// Executes an operation. A started execution continues when the returned
    /// future is dropped.
    pub async fn execute(self: &Arc<Self>, key: u64, call_id: u64) -> Execution {
        let (refused, lost, delay) = {
            let mut random = self.random.lock();
            let refused = random.random_bool(self.probabilities.0);
            let lost = random.random_bool(self.probabilities.1);
            (refused, lost, random.random_range(0..20))
        };
        if refused {
            return Execution::Refused;
        }
        let (sender, receiver) = oneshot::channel();
        let service = self.clone();
        self.runtime.spawn(async move {
            let begin = service.next_position();
            let receipt = service.next_receipt.fetch_add(1, Ordering::SeqCst);
            service.record(key, Event::Execute { call_id, receipt }, begin);
            time::sleep(Duration::from_millis(delay)).await;
            let _ = sender.send(receipt);
        });
        match receiver.await {
            Ok(receipt) if !lost => Execution::Completed(receipt),
            _ => Execution::ResponseLost,
        }
    }
}
