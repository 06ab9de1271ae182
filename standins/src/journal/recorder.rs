//! The executing service and the history of a run.

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

/// Result of one call as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The operation ran and gave this receipt.
    Done(u32),
    /// This call was not run.
    NotRun,
    /// It is not known whether the operation ran.
    Unknown,
}

/// Something that began and ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A call by a caller.
    Call {
        /// Call.
        call_id: u64,
        /// Result.
        outcome: Outcome,
    },
    /// An execution by the service.
    Execute {
        /// Call that caused it.
        call_id: u64,
        /// Receipt.
        receipt: u32,
    },
}

/// A step with the key it concerns and its interval in the history's order.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Key.
    pub key: u64,
    /// What happened.
    pub event: Event,
    /// Position of its beginning.
    pub begin: u64,
    /// Position of its end.
    pub end: u64,
}

/// Answer of the service to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// Ran.
    Completed(u32),
    /// Refused before it ran.
    Refused,
    /// The answer was lost.
    ResponseLost,
}

/// History of a run and the service that executes the operations.
#[derive(Debug)]
pub struct RecordingService {
    next_position: AtomicU64,
    next_receipt: AtomicU32,
    records: Mutex<Vec<Record>>,
    reservation_times: Mutex<Histogram<u64>>,
    random: Mutex<StdRng>,
    runtime: runtime::Handle,
    /// Shares of executions that the service refuses and whose answer is lost.
    probabilities: (f64, f64),
}

impl RecordingService {
    /// Service that runs on the current runtime, refuses a share of the
    /// requests and loses a share of its answers.
    ///
    /// # Panics
    /// Outside of a tokio runtime.
    #[must_use]
    pub fn new(seed: u64, refusal: f64, response_loss: f64) -> Arc<Self> {
        let histogram = Histogram::new(3).expect("three digits are allowed");
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

    /// Next position in the history.
    pub fn next_position(&self) -> u64 {
        self.next_position.fetch_add(1, Ordering::SeqCst)
    }

    /// Adds a record that began at `begin` and ends now.
    pub fn record(&self, key: u64, event: Event, begin: u64) {
        let end = self.next_position();
        self.records.lock().push(Record {
            key,
            event,
            begin,
            end,
        });
    }

    /// Adds the time that a reservation took.
    pub fn record_reservation(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self.reservation_times.lock().record(micros);
    }

    /// Times that reservations took, microseconds.
    #[must_use]
    pub fn reservation_times(&self) -> Histogram<u64> {
        self.reservation_times.lock().clone()
    }

    /// All records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().clone()
    }

    /// Executes a request. The execution goes on when the caller stops.
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
