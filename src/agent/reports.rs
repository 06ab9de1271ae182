//! Reports of the target to entries.

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
/// Shortest time between two reports that only the load differs in. 32 targets
/// at this interval and 40 bytes each stay within 3 KB/s at an entry.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports with prefixes, which take up to 1 KB.
const PREFIX_INTERVAL: Duration = Duration::from_secs(4);
/// Reported prefixes.
const MAX_REPORTED: usize = 128;
/// Known cached blocks; lost events leave stale ones, which newer ones push out.
const MAX_KNOWN: usize = 4096;
/// One block hash in this many is reported. Entries apply the same selection to
/// the blocks of a prompt, so the match is a sample of the cached blocks.
pub const SAMPLING_DIVISOR: u64 = 4;

/// Whether a block hash belongs to the reported sample.
#[must_use]
pub fn is_sampled(hash: u64) -> bool {
    hash.is_multiple_of(SAMPLING_DIVISOR)
}

/// Sample of the blocks in the engine's prefix cache, from its events.
#[derive(Debug, Default)]
pub struct PrefixSample {
    /// Sampled hashes, oldest first.
    known: VecDeque<u64>,
    reported: Arc<Vec<u64>>,
}

impl PrefixSample {
    /// Takes one event into account.
    pub fn apply(&mut self, event: probe::CacheEvent) {
        let changed = |h: &u64| is_sampled(*h);
        let removed: Vec<u64> = event.removed.into_iter().filter(changed).collect();
        self.known.retain(|h| !removed.contains(h));
        for hash in event.stored.into_iter().filter(changed) {
            self.known.retain(|h| *h != hash);
            self.known.push_back(hash);
        }
        let excess = self.known.len().saturating_sub(MAX_KNOWN);
        self.known.drain(..excess);
        let newest = self.known.iter().rev().take(MAX_REPORTED);
        let mut reported: Vec<u64> = newest.copied().collect();
        reported.sort_unstable();
        if *self.reported != reported {
            self.reported = Arc::new(reported);
        }
    }

    /// Forgets everything, after the engine died.
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

/// Serves `Reports.Watch` of an agent.
#[derive(Debug)]
pub struct Server {
    ctx: Context,
    draining: watch::Receiver<bool>,
    observed: watch::Receiver<probe::Observation>,
}

impl Server {
    /// Server that reports these topics.
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

    fn feed(&self) -> Feed {
        Feed {
            ctx: self.ctx.clone(),
            draining: self.draining.clone(),
            observed: self.observed.clone(),
            serving: self.ctx.state.serving.subscribe(),
            phase: self.ctx.state.phase.subscribe(),
        }
    }
}

/// Topics of one subscription.
#[derive(Debug)]
struct Feed {
    ctx: Context,
    draining: watch::Receiver<bool>,
    observed: watch::Receiver<probe::Observation>,
    serving: watch::Receiver<Option<ModelVersion>>,
    phase: watch::Receiver<Phase>,
}

/// Part of a report whose change is sent at once.
#[derive(Debug, Eq, PartialEq)]
struct Urgent {
    model: String,
    version: String,
    draining: bool,
    deaths: u32,
}

fn urgent(report: &pb::TargetReport) -> Urgent {
    Urgent {
        model: report.model.clone(),
        version: report.version.clone(),
        draining: report.draining,
        deaths: report.deaths,
    }
}

impl Feed {
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

    /// Waits for a change of any topic.
    async fn changed(&mut self) {
        let gone = tokio::select! {
            r = self.draining.changed() => r,
            r = self.observed.changed() => r,
            r = self.serving.changed() => r,
            r = self.phase.changed() => r,
        };
        if gone.is_err() {
            time::sleep(INTERVAL).await;
        }
    }

    async fn run(mut self, out: mpsc::Sender<Result<pb::TargetReport, Status>>) {
        let mut prefixes_at: Option<Instant> = None;
        let mut prefixes: Arc<Vec<u64>> = Arc::default();
        loop {
            let mut report = self.report();
            let current = self.observed.borrow().prefixes.clone();
            let due = prefixes_at.is_none_or(|at| at.elapsed() >= PREFIX_INTERVAL);
            if due && current != prefixes {
                prefixes = current;
                prefixes_at = Some(Instant::now());
            } else {
                report.prefixes.clear();
            }
            let sent = urgent(&report);
            let sent_at = Instant::now();
            if out.send(Ok(report)).await.is_err() {
                return;
            }
            self.wait(&sent, sent_at).await;
        }
    }

    /// Waits until the next report is due.
    async fn wait(&mut self, sent: &Urgent, sent_at: Instant) {
        let mut until = sent_at + INTERVAL;
        loop {
            tokio::select! {
                () = time::sleep_until(until) => return,
                () = self.changed() => {}
            }
            if urgent(&self.report()) != *sent {
                return;
            }
            until = sent_at + LOAD_INTERVAL;
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
        let feed = self.feed();
        let stop = self.ctx.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(feed.run(out)).await });
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
