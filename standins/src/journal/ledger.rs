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
pub enum Step {
    /// A call by a caller.
    Call {
        /// Call.
        call: u64,
        /// Result.
        outcome: Outcome,
    },
    /// An execution by the service.
    Execute {
        /// Call that caused it.
        call: u64,
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
    pub step: Step,
    /// Position of its beginning.
    pub begin: u64,
    /// Position of its end.
    pub end: u64,
}

/// Answer of the service to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// Ran.
    Ran(u32),
    /// Refused before it ran.
    Refused,
    /// The answer was lost.
    Lost,
}

/// History of a run and the service that executes the operations.
#[derive(Debug)]
pub struct Ledger {
    order: AtomicU64,
    receipts: AtomicU32,
    records: Mutex<Vec<Record>>,
    reserves: Mutex<Histogram<u64>>,
    random: Mutex<StdRng>,
    runtime: runtime::Handle,
    /// Shares of executions that the service refuses and whose answer is lost.
    shares: (f64, f64),
}

impl Ledger {
    /// Service that runs on the current runtime, refuses a share of the
    /// requests and loses a share of its answers.
    ///
    /// # Panics
    /// Outside of a tokio runtime.
    #[must_use]
    pub fn new(seed: u64, refused: f64, lost: f64) -> Arc<Self> {
        let histogram = Histogram::new(3).expect("three digits are allowed");
        Arc::new(Self {
            order: AtomicU64::new(0),
            receipts: AtomicU32::new(1),
            records: Mutex::default(),
            reserves: Mutex::new(histogram),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            runtime: runtime::Handle::current(),
            shares: (refused, lost),
        })
    }

    /// Next position in the history.
    pub fn tick(&self) -> u64 {
        self.order.fetch_add(1, Ordering::SeqCst)
    }

    /// Adds a record that began at `begin` and ends now.
    pub fn record(&self, key: u64, step: Step, begin: u64) {
        let end = self.tick();
        self.records.lock().push(Record {
            key,
            step,
            begin,
            end,
        });
    }

    /// Adds the time that a reservation took.
    pub fn reserved(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self.reserves.lock().record(micros);
    }

    /// Times that reservations took, microseconds.
    #[must_use]
    pub fn reserves(&self) -> Histogram<u64> {
        self.reserves.lock().clone()
    }

    /// All records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().clone()
    }

    /// Executes a request. The execution goes on when the caller stops.
    pub async fn execute(self: &Arc<Self>, key: u64, call: u64) -> Execution {
        let (refused, lost, delay) = {
            let mut random = self.random.lock();
            let refused = random.random_bool(self.shares.0);
            let lost = random.random_bool(self.shares.1);
            (refused, lost, random.random_range(0..20))
        };
        if refused {
            return Execution::Refused;
        }
        let (reply, answer) = oneshot::channel();
        let ledger = self.clone();
        self.runtime.spawn(async move {
            let begin = ledger.tick();
            let receipt = ledger.receipts.fetch_add(1, Ordering::SeqCst);
            ledger.record(key, Step::Execute { call, receipt }, begin);
            time::sleep(Duration::from_millis(delay)).await;
            let _ = reply.send(receipt);
        });
        match answer.await {
            Ok(receipt) if !lost => Execution::Ran(receipt),
            _ => Execution::Lost,
        }
    }
}
