//! Results of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::generate::{End, Outcome};
use super::{Policy, Run, Settings};

/// Highest latency that histograms hold, microseconds.
const MAX_US: u64 = 600_000_000;

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Name of the run.
    pub name: String,
    /// Seed.
    pub seed: u64,
    /// Routing.
    pub policy: Policy,
    /// Whether the engines were asked directly.
    pub direct: bool,
    /// Requests per second offered.
    pub offered: f64,
    /// Good answers per second.
    pub goodput: f64,
    /// All accounts together.
    pub all: Group,
    /// Each account.
    pub accounts: Vec<Group>,
    /// CPU time per request, microseconds; absent for a system that runs elsewhere.
    pub cpu_us: Option<Cpu>,
    /// First faults that were seen.
    pub faults: Vec<String>,
}

/// CPU time per request, microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cpu {
    /// Entries.
    pub entry: f64,
    /// Agents.
    pub agent: f64,
    /// Engines.
    pub engine: f64,
}

/// Results of one account, or of all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Name of the account.
    pub name: String,
    /// Requests that count.
    pub requests: u64,
    /// Whole answers.
    pub done: u64,
    /// Whole answers that began in time.
    pub good: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Broken, late or unknown ones.
    pub failed: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Time to the first byte, milliseconds.
    pub first_byte_ms: Quantiles,
    /// Time to the last byte, milliseconds.
    pub total_ms: Quantiles,
}

/// Quantiles of a latency, milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Summary {
    /// Results from the outcomes of all requests.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn new(settings: &Settings, run: &Run, outcomes: &[Outcome]) -> Self {
        let counted: Vec<&Outcome> = outcomes.iter().filter(|o| o.counts).collect();
        let good = Duration::from_millis(settings.good_ms);
        let all = group("all", &counted, good);
        let accounts = settings.accounts.iter().enumerate().map(|(i, account)| {
            let own: Vec<&Outcome> = counted.iter().filter(|o| o.account == i).copied().collect();
            group(&account.name, &own, good)
        });
        let faults = outcomes.iter().filter_map(|o| match &o.end {
            End::Failed(fault) | End::Wrong(fault) => Some(fault.clone()),
            _ => None,
        });
        let seconds = settings.seconds as f64;
        Self {
            name: run.name.clone(),
            seed: settings.seed,
            policy: run.policy,
            direct: run.direct,
            offered: all.requests as f64 / seconds,
            goodput: all.good as f64 / seconds,
            accounts: accounts.collect(),
            cpu_us: None,
            faults: faults.take(3).collect(),
            all,
        }
    }
}

fn group(name: &str, outcomes: &[&Outcome], good: Duration) -> Group {
    let mut group = Group {
        name: name.to_owned(),
        ..Group::default()
    };
    let mut first = histogram();
    let mut total = histogram();
    for outcome in outcomes {
        group.requests += 1;
        match &outcome.end {
            End::Done { first_byte, took } => {
                group.done += 1;
                group.good += u64::from(*first_byte <= good);
                first.saturating_record(micros(*first_byte));
                total.saturating_record(micros(*took));
            }
            End::NotRun => group.not_run += 1,
            End::Failed(_) => group.failed += 1,
            End::Wrong(_) => group.wrong += 1,
        }
    }
    group.first_byte_ms = quantiles(&first);
    group.total_ms = quantiles(&total);
    group
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, 3).unwrap_or_else(|_| Histogram::new(3).expect("3 digits"))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_US)
}

#[allow(clippy::cast_precision_loss)]
fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    Quantiles {
        mean: (histogram.mean()).round() / 1000.0,
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
