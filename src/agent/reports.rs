//! Stream of target reports to entries.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use super::probe;
use crate::control::pb;
use crate::control::pb::reports_server::Reports;
use crate::daemon::Context;
use crate::shared_state::{ModelVersion, Phase};

/// Longest time between two reports to one entry.
const INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two reports that differ only in load. At this interval, 32
/// targets with 40 bytes per report send less than 3 KB/s to an entry.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports with prefixes, which take up to 1 KB.
const PREFIX_INTERVAL: Duration = Duration::from_secs(4);
/// Block hashes in a report.
const MAX_REPORTED_HASHES: usize = 128;
/// Block hashes kept in memory. Lost events leave stale hashes, which newer ones
/// evict.
const MAX_KNOWN_HASHES: usize = 4096;
/// Block hashes divisible by this number are reported. Entries sample the blocks of
/// a prompt in the same way, so the matches are a sample of the cached blocks.
pub const SAMPLING_DIVISOR: u64 = 4;

/// Whether a block hash is part of the reported sample.
#[must_use]
pub fn is_sampled(hash: u64) -> bool {
    hash.is_multiple_of(SAMPLING_DIVISOR)
}

/// Sample of the blocks in the engine's prefix cache, built from cache events.
#[derive(Debug, Default)]
pub struct PrefixSample {
    /// Sampled hashes, oldest first.
    known: VecDeque<u64>,
    reported: Arc<Vec<u64>>,
}

impl PrefixSample {
    /// Applies a cache event.
    pub fn apply(&mut self, event: probe::CacheEvent) {
        let sampled = |h: &u64| is_sampled(*h);
        let removed: Vec<u64> = event.removed.into_iter().filter(sampled).collect();
        self.known.retain(|h| !removed.contains(h));
        for hash in event.stored.into_iter().filter(sampled) {
            self.known.retain(|h| *h != hash);
            self.known.push_back(hash);
        }
        let excess = self.known.len().saturating_sub(MAX_KNOWN_HASHES);
        self.known.drain(..excess);
        let newest = self.known.iter().rev().take(MAX_REPORTED_HASHES);
        let mut reported: Vec<u64> = newest.copied().collect();
        reported.sort_unstable();
        if *self.reported != reported {
            self.reported = Arc::new(reported);
        }
    }

    /// Removes all hashes, after a crash of the engine.
    pub fn clear(&mut self) {
        self.known.clear();
        self.reported = Arc::default();
    }

    /// Hashes to report, sorted.
    #[must_use]
    pub fn reported(&self) -> Arc<Vec<u64>> {
        self.reported.clone()
    }
}

/// Serves the `Reports.Watch` call of an agent.
#[derive(Debug)]
pub struct Server {
    ctx: Context,
    draining: watch::Receiver<bool>,
    observed: watch::Receiver<probe::Observation>,
}

impl Server {
    /// Server that reports the drain state and the observations of the probe.
    #[must_use]
    pub fn new(
        ctx: &Context,
        draining: watch::Receiver<bool>,
        observed: watch::Receiver<probe::Observation>,
    ) -> Self {
        Self {
            ctx: ctx.clone(),
            draining,
            observed,
        }
    }

    fn subscribe(&self) -> Subscription {
        Subscription {
            ctx: self.ctx.clone(),
            draining: self.draining.clone(),
            observed: self.observed.clone(),
            serving: self.ctx.state.serving.subscribe(),
            phase: self.ctx.state.phase.subscribe(),
        }
    }
}

/// Watched state of one `Reports.Watch` call.
#[derive(Debug)]
struct Subscription {
    ctx: Context,
    draining: watch::Receiver<bool>,
    observed: watch::Receiver<probe::Observation>,
    serving: watch::Receiver<Option<ModelVersion>>,
    phase: watch::Receiver<Phase>,
}

/// Fields of a report whose changes are sent at once.
#[derive(Debug, Eq, PartialEq)]
struct UrgentFields {
    model: String,
    version: String,
    draining: bool,
    deaths: u32,
}

fn urgent_fields(report: &pb::TargetReport) -> UrgentFields {
    UrgentFields {
        model: report.model.clone(),
        version: report.version.clone(),
        draining: report.draining,
        deaths: report.deaths,
    }
}

impl Subscription {
    fn report(&self) -> pb::TargetReport {
        let observed = self.observed.borrow();
        let serving = self.serving.borrow().clone().unwrap_or_default();
        let ready = *self.phase.borrow() == Phase::Ready;
        pb::TargetReport {
            model: serving.model,
            version: serving.version,
            draining: *self.draining.borrow() || !ready,
            active: *self.ctx.state.active.borrow(),
            waiting: observed.waiting,
            running: observed.running,
            lag_ms: observed.lag_ms,
            deaths: observed.deaths,
            prefixes: observed.prefixes.to_vec(),
        }
    }

    /// Waits for a change of any watched value.
    async fn changed(&mut self) {
        let change = tokio::select! {
            r = self.draining.changed() => r,
            r = self.observed.changed() => r,
            r = self.serving.changed() => r,
            r = self.phase.changed() => r,
        };
        if change.is_err() {
            time::sleep(INTERVAL).await;
        }
    }

    async fn run(mut self, out: mpsc::Sender<Result<pb::TargetReport, Status>>) {
        let mut prefixes_sent_at: Option<Instant> = None;
        let mut sent_prefixes: Arc<Vec<u64>> = Arc::default();
        loop {
            let mut report = self.report();
            let current = self.observed.borrow().prefixes.clone();
            let due = prefixes_sent_at.is_none_or(|at| at.elapsed() >= PREFIX_INTERVAL);
            if due && current != sent_prefixes {
                sent_prefixes = current;
                prefixes_sent_at = Some(Instant::now());
            } else {
                report.prefixes.clear();
            }
            let sent = urgent_fields(&report);
            let sent_at = Instant::now();
            if out.send(Ok(report)).await.is_err() {
                return;
            }
            self.wait_until_due(&sent, sent_at).await;
        }
    }

    /// Waits until the next report is due.
    async fn wait_until_due(&mut self, sent: &UrgentFields, sent_at: Instant) {
        let mut due = sent_at + INTERVAL;
        loop {
            tokio::select! {
                () = time::sleep_until(due) => return,
                () = self.changed() => {}
            }
            if urgent_fields(&self.report()) != *sent {
                return;
            }
            due = sent_at + LOAD_INTERVAL;
        }
    }
}

#[tonic::async_trait]
impl Reports for Server {
    type WatchStream = ReceiverStream<Result<pb::TargetReport, Status>>;

    async fn watch(
        &self,
        _request: Request<pb::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (out, reports) = mpsc::channel(1);
        let subscription = self.subscribe();
        let stop = self.ctx.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(subscription.run(out)).await });
        Ok(Response::new(ReceiverStream::new(reports)))
    }

    async fn progress(
        &self,
        _request: Request<pb::AgentProgress>,
    ) -> Result<Response<pb::ProgressReply>, Status> {
        Err(Status::unimplemented("served by the coordinator"))
    }

    async fn counts(
        &self,
        _request: Request<pb::CountsRequest>,
    ) -> Result<Response<pb::CountsReply>, Status> {
        Err(Status::unimplemented("served by entries"))
    }
}
