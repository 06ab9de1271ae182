//! Request counts by outcome, service and account, from which error budget burn rates
//! are computed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;

use crate::control::pb;
use crate::telemetry;

pub mod rates;

/// Limit on pairs of service and account that are counted separately. Further accounts
/// are counted under an empty account name, so that account names from callers can't
/// exhaust the memory.
const MAX_ROWS: usize = 10_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Complete response within the objective's latency.
    Good,
    /// Complete response, but the first byte came later than the objective allows.
    Late,
    /// Refused without being executed.
    Refused,
    /// Failed, or ended before the response was complete.
    Failed,
    /// At-most-once operation that may or may not have been executed.
    Unknown,
}

/// All outcomes, in the order of the fields of `pb::Count`.
pub const OUTCOMES: [Outcome; 5] = [
    Outcome::Good,
    Outcome::Late,
    Outcome::Refused,
    Outcome::Failed,
    Outcome::Unknown,
];

impl Outcome {
    /// Name in metrics and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

/// Counts of one service and account, and the metrics that export them.
#[derive(Debug)]
struct Row {
    service: String,
    account: String,
    counts: [AtomicU64; OUTCOMES.len()],
    metrics: [metrics::Counter; OUTCOMES.len()],
}

impl Row {
    fn new(service: &str, account: &str) -> Self {
        Self {
            service: service.into(),
            account: account.into(),
            counts: Default::default(),
            metrics: OUTCOMES.map(|o| telemetry::request_counter(service, o.name())),
        }
    }

    fn add(&self, outcome: Outcome) {
        self.counts[outcome as usize].fetch_add(1, Ordering::Relaxed);
        self.metrics[outcome as usize].increment(1);
    }

    fn count(&self) -> pb::Count {
        let load = |outcome: Outcome| self.counts[outcome as usize].load(Ordering::Relaxed);
        pb::Count {
            service: self.service.clone(),
            account: self.account.clone(),
            good: load(Outcome::Good),
            late: load(Outcome::Late),
            refused: load(Outcome::Refused),
            failed: load(Outcome::Failed),
            unknown: load(Outcome::Unknown),
        }
    }
}

/// Counts requests by outcome since the start of the process. Clones share the counts.
///
/// ```
/// use corianderramp::burn;
///
/// let counter = burn::Counter::default();
/// counter.record("shake-llm", "glenrosa", burn::Outcome::Good);
/// counter.record("shake-llm", "glenrosa", burn::Outcome::Late);
/// assert_eq!(counter.counts()[0].good, 1);
/// assert_eq!(counter.counts()[0].late, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Counter {
    /// Sorted by service and account.
    rows: Arc<RwLock<Vec<Arc<Row>>>>,
}

impl Counter {
    /// Counts one request. Allocates only for the first request of an account to a
    /// service.
    pub fn record(&self, service: &str, account: &str, outcome: Outcome) {
        if let Some(row) = find(&self.rows.read(), service, account) {
            row.add(outcome);
            return;
        }
        self.find_or_insert(service, account).add(outcome);
    }

    /// Returns the counts since the start of the process, sorted by service and account.
    #[must_use]
    pub fn counts(&self) -> Vec<pb::Count> {
        self.rows.read().iter().map(|row| row.count()).collect()
    }

    fn find_or_insert(&self, service: &str, account: &str) -> Arc<Row> {
        let mut rows = self.rows.write();
        let account = if rows.len() < MAX_ROWS { account } else { "" };
        match position(&rows, service, account) {
            Ok(i) => Arc::clone(&rows[i]),
            Err(i) => {
                let row = Arc::new(Row::new(service, account));
                rows.insert(i, Arc::clone(&row));
                row
            }
        }
    }
}

fn position(rows: &[Arc<Row>], service: &str, account: &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| {
        let key = (row.service.as_str(), row.account.as_str());
        key.cmp(&(service, account))
    })
}

fn find<'a>(rows: &'a [Arc<Row>], service: &str, account: &str) -> Option<&'a Arc<Row>> {
    position(rows, service, account).ok().map(|i| &rows[i])
}

#[cfg(test)]
#[path = "burn_test.rs"]
mod test;
