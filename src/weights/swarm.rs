//! Controls an agent's transfers: follows the configuration, the peers and the engine,
//! and starts the transfers that [`choice::next_transfer`] selects.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use log::info;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time;

use super::choice::{self, ChunkState, Source};
use super::follow;
use super::peers::Peers;
use super::plan::{self, Plan};
use super::store::Location;
use super::transfer::{Failure, Fetcher, Job};
use super::want::{self, Wanted};
use super::{Progress, serve};
use crate::clock::Clock;
use crate::daemon;
use crate::digest;
use crate::resource::rollout;

/// Longest time between two runs of the control loop while chunks are missing and
/// download slots are free.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time between two runs of the control loop otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of the channels for peer updates and for transfer results.
pub(super) const CHANNEL_CAPACITY: usize = 1024;

mod followers;
mod outcome;

use followers::FollowedPeer;

/// Aborts the task when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A transfer in progress.
#[derive(Debug)]
struct ActiveTransfer {
    id: u64,
    digest: digest::Digest,
    /// Name of the source peer; empty for the origin and the own cache.
    peer: String,
    /// Whether it occupies a download slot; false when staged from the cache.
    download: bool,
    _task: AbortOnDrop,
}

/// Result of the transfer with this id.
#[derive(Debug)]
pub(super) struct TransferResult {
    id: u64,
    result: Result<(), Failure>,
}

/// Receivers that the controller reads.
#[derive(Debug)]
pub(super) struct Inputs {
    pub(super) events: mpsc::Receiver<follow::Event>,
    pub(super) results: mpsc::Receiver<TransferResult>,
    pub(super) engine_reachable: watch::Receiver<bool>,
}

/// Senders that the controller's tasks use.
#[derive(Clone, Debug)]
pub(super) struct Outputs {
    pub(super) events: mpsc::Sender<follow::Event>,
    pub(super) results: mpsc::Sender<TransferResult>,
    pub(super) progress: watch::Sender<Progress>,
}

/// State of the controller.
#[derive(Debug)]
pub(super) struct Swarm<C> {
    ctx: daemon::Context,
    fetcher: Arc<Fetcher<C>>,
    outputs: Outputs,
    service: String,
    wanted: Option<Wanted>,
    chunks: Vec<digest::Digest>,
    jobs: Vec<Job>,
    plan: Plan,
    peers: Peers,
    followed: Vec<FollowedPeer>,
    active: Vec<ActiveTransfer>,
    /// Id of the transfer started last.
    last_id: u64,
    /// Number of times that the set of wanted chunks changed.
    epoch: u64,
    /// Generation of the newest rollout seen; older ones are ignored.
    min_generation: u64,
    /// Bytes received from the origin before the current generation.
    origin_baseline: u64,
    /// When a new chunk was last seen here or at a peer.
    last_progress: Instant,
    origin_failures: u32,
    origin_retry_at: Option<Instant>,
    engine_retry_at: Option<Instant>,
    /// Last failure of the origin or the engine since the last successful transfer.
    reason: String,
}

/// Runs the controller until the process stops.
pub(super) async fn run<C: Clock>(mut swarm: Swarm<C>, mut inputs: Inputs) {
    let stop = swarm.ctx.stop.clone();
    let mut config = swarm.ctx.state.config.subscribe();
    let mut store = swarm.fetcher.store.changes();
    config.mark_changed();
    loop {
        let wait = swarm.interval();
        tokio::select! {
            () = stop.cancelled() => return,
            _ = config.changed() => {
                config.mark_unchanged();
                swarm.apply_config();
            }
            Some(event) = inputs.events.recv() => swarm.handle_update(event),
            Some(result) = inputs.results.recv() => swarm.finish_transfer(&result),
            _ = store.changed() => {}
            () = time::sleep(wait) => {}
        }
        while let Ok(event) = inputs.events.try_recv() {
            swarm.handle_update(event);
        }
        while let Ok(result) = inputs.results.try_recv() {
            swarm.finish_transfer(&result);
        }
        store.mark_unchanged();
        let engine_reachable = *inputs.engine_reachable.borrow();
        swarm.advance(engine_reachable);
    }
}

impl<C: Clock> Swarm<C> {
    pub(super) fn new(
        ctx: daemon::Context,
        fetcher: Arc<Fetcher<C>>,
        outputs: Outputs,
        service: String,
    ) -> Self {
        let last_progress = fetcher.clock.now();
        Self {
            ctx,
            fetcher,
            outputs,
            service,
            wanted: None,
            chunks: Vec::new(),
            jobs: Vec::new(),
            plan: Plan::default(),
            peers: Peers::default(),
            followed: Vec::new(),
            active: Vec::new(),
            last_id: 0,
            epoch: 0,
            min_generation: 0,
            origin_baseline: 0,
            last_progress,
            origin_failures: 0,
            origin_retry_at: None,
            engine_retry_at: None,
            reason: String::new(),
        }
    }

    fn interval(&self) -> Duration {
        let progress = self.outputs.progress.borrow();
        let slots = self.ctx.settings.weights.download_slots;
        if progress.total > progress.have && self.downloads() < slots {
            ACTIVE_INTERVAL
        } else {
            IDLE_INTERVAL
        }
    }

    fn downloads(&self) -> usize {
        self.active.iter().filter(|t| t.download).count()
    }

    /// Applies the newest configuration: wanted version, peers and assignments.
    fn apply_config(&mut self) {
        let view = self.ctx.state.view();
        let Some(wanted) = want::wanted(&view, &self.service, self.min_generation) else {
            return;
        };
        let now = self.fetcher.clock.now();
        let changed = self.wanted.as_ref() != Some(&wanted);
        if changed {
            self.start_generation(wanted, now);
        }
        let settings = &self.ctx.settings;
        let plan = plan::from_view(
            &view,
            &self.service,
            &settings.vm,
            &settings.data_center,
            &self.chunks,
        );
        if !changed && plan == self.plan {
            return;
        }
        self.peers.set_plan(&plan, self.chunks.len(), changed);
        self.plan = plan;
        self.recount_transfers();
    }

    /// Switches to a new wanted version. Transfers that it does not need are cancelled.
    fn start_generation(&mut self, wanted: Wanted, now: Instant) {
        info!(
            rollout = wanted.rollout.as_str(), generation = wanted.generation,
            model = wanted.model.as_str(), version = wanted.version.as_str();
            "wanted version changed"
        );
        self.reason.clear();
        self.min_generation = wanted.generation;
        self.epoch += 1;
        self.last_progress = now;
        self.origin_baseline = self.fetcher.origin_bytes.load(Ordering::Relaxed);
        self.followed.clear();
        self.jobs.clear();
        for manifest in &wanted.manifests {
            let spec = &manifest.spec;
            let job = |(index, digest): (usize, &digest::Digest)| Job {
                digest: *digest,
                length: usize::try_from(spec.chunk_len(index)).unwrap_or(usize::MAX),
                model: spec.model.clone(),
            };
            self.jobs.extend(spec.chunks.iter().enumerate().map(job));
        }
        self.chunks = wanted.chunks();
        let mut needed = self.chunks.clone();
        needed.sort_unstable();
        self.active
            .retain(|t| needed.binary_search(&t.digest).is_ok());
        self.wanted = Some(wanted);
    }

    /// Recounts the transfers of each peer after the list of peers changed.
    fn recount_transfers(&mut self) {
        for index in 0..self.plan.peers.len() {
            while self.peers.states()[index].transfers > 0 {
                self.peers.transfer_ended(index);
            }
        }
        for transfer in &self.active {
            if let Some(index) = self.peers.position(&transfer.peer) {
                self.peers.transfer_started(index);
            }
        }
    }

    /// Publishes the progress and starts transfers while download slots are free.
    fn advance(&mut self, engine_reachable: bool) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let strategy = wanted.strategy;
        let now = self.fetcher.clock.now();
        let locations = self.fetcher.store.locate(&self.chunks);
        let mut states = self.chunk_states(&locations);
        let complete = locations.iter().all(|l| *l == Location::Engine);
        self.publish_progress(&locations);
        self.update_followed(complete, now);
        if complete || !engine_reachable || self.engine_retry_at.is_some_and(|at| at > now) {
            // Without the engine nothing can be staged, and chunks that don't fit in the
            // cache would be fetched again and again.
            return;
        }
        self.peers.refresh(now, self.fetcher.stall_timeout);
        for (chunk, state) in states.iter_mut().enumerate() {
            if *state == ChunkState::Cached {
                *state = ChunkState::InFlight;
                self.start_transfer(chunk, None);
            }
        }
        let slots = self.ctx.settings.weights.download_slots;
        while self.downloads() < slots {
            let Some(next) = self.next_transfer(&states, strategy, now) else {
                return;
            };
            states[next.chunk] = ChunkState::InFlight;
            self.start_transfer(next.chunk, Some(next.source));
        }
    }

    fn chunk_states(&self, locations: &[Location]) -> Vec<ChunkState> {
        let mut in_flight: Vec<_> = self.active.iter().map(|t| t.digest).collect();
        in_flight.sort_unstable();
        let state = |(digest, location): (&digest::Digest, &Location)| match location {
            Location::Engine => ChunkState::Staged,
            _ if in_flight.binary_search(digest).is_ok() => ChunkState::InFlight,
            Location::Cache => ChunkState::Cached,
            Location::Absent => ChunkState::Missing,
        };
        self.chunks.iter().zip(locations).map(state).collect()
    }

    fn next_transfer(
        &self,
        states: &[ChunkState],
        strategy: rollout::Strategy,
        now: Instant,
    ) -> Option<choice::Transfer> {
        let first = self.wanted.as_ref().and_then(|w| w.manifests.first());
        let origin_ready = self.origin_retry_at.is_none_or(|at| at <= now);
        choice::next_transfer(&choice::Snapshot {
            plan: &self.plan,
            peers: self.peers.states(),
            chunks: states,
            idle: now.saturating_duration_since(self.last_progress),
            stall_timeout: self.fetcher.stall_timeout,
            chunk_size: first.map_or(0, |m| m.spec.chunk_size),
            strategy,
            origin_available: origin_ready && self.fetcher.origin.is_some(),
            schedule: None,
            own_name: &self.ctx.settings.vm,
        })
    }

    fn start_transfer(&mut self, chunk: usize, source: Option<Source>) {
        let job = self.jobs[chunk].clone();
        let digest = job.digest;
        let fetcher = self.fetcher.clone();
        let results = self.outputs.results.clone();
        let mut peer_name = String::new();
        let mut address = None;
        if let Some(Source::Peer(index)) = source {
            self.peers.transfer_started(index);
            let peer = &self.plan.peers[index];
            peer_name.clone_from(&peer.name);
            address = Some(peer.address);
        }
        let download = source.is_some();
        self.last_id += 1;
        let id = self.last_id;
        let task = tokio::spawn(async move {
            let result = match address {
                Some(address) => fetcher.fetch_from_peer(&job, address).await,
                None if download => fetcher.fetch_from_origin(&job).await,
                None => fetcher.stage_cached(digest).await,
            };
            let _ = results.send(TransferResult { id, result }).await;
        });
        self.active.push(ActiveTransfer {
            id,
            digest,
            peer: peer_name,
            download,
            _task: AbortOnDrop(task.abort_handle()),
        });
    }

    fn publish_progress(&self, locations: &[Location]) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let have = locations.iter().filter(|l| **l == Location::Engine).count();
        let received = self.fetcher.origin_bytes.load(Ordering::Relaxed);
        let progress = Progress {
            wanted: Some(wanted.clone()),
            have,
            total: locations.len(),
            origin_bytes: received - self.origin_baseline,
            reason: self.reason.clone(),
        };
        self.outputs.progress.send_if_modified(|old| {
            let changed = *old != progress;
            *old = progress;
            changed
        });
    }
}

/// Interval at which the engine's staged chunks are polled.
pub(super) const STAGING_INTERVAL: Duration = serve::HEARTBEAT;
