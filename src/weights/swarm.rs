//! Controller of an agent's transfers: follows the configuration, the peers
//! and the engine, and starts what [`choice::next_transfer`] decides.

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
use super::transfer::{Failure, Job, Transfers};
use super::want::{self, Wanted};
use super::{Progress, serve};
use crate::clock::Clock;
use crate::daemon;
use crate::digest;
use crate::resource::rollout;

/// Interval of decisions while chunks are missing and slots are free.
const ACTIVE: Duration = Duration::from_millis(20);
/// Interval of decisions otherwise.
const IDLE: Duration = Duration::from_millis(250);
/// Events of peers that wait to be handled.
pub(super) const EVENTS: usize = 1024;

mod followers;
mod outcome;

use followers::Followed;

/// Ends the task when dropped.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A transfer in progress.
#[derive(Debug)]
struct Moving {
    id: u64,
    digest: digest::Digest,
    /// Name of the supplying peer; empty for the origin and the own cache.
    peer: String,
    /// Whether it takes a download slot.
    download: bool,
    _task: Task,
}

/// End of a transfer.
#[derive(Debug)]
pub(super) struct Done {
    id: u64,
    result: Result<(), Failure>,
}

/// Inputs of the controller.
#[derive(Debug)]
pub(super) struct Inputs {
    pub(super) events: mpsc::Receiver<follow::Event>,
    pub(super) done: mpsc::Receiver<Done>,
    pub(super) engine: watch::Receiver<bool>,
}

/// Senders that the controller's tasks use.
#[derive(Clone, Debug)]
pub(super) struct Outputs {
    pub(super) events: mpsc::Sender<follow::Event>,
    pub(super) done: mpsc::Sender<Done>,
    pub(super) progress: watch::Sender<Progress>,
}

/// State of the controller.
#[derive(Debug)]
pub(super) struct Swarm<C> {
    ctx: daemon::Context,
    transfers: Arc<Transfers<C>>,
    outputs: Outputs,
    service: String,
    wanted: Option<Wanted>,
    chunks: Vec<digest::Digest>,
    jobs: Vec<Job>,
    plan: Plan,
    peers: Peers,
    followed: Vec<Followed>,
    moving: Vec<Moving>,
    /// Transfers started so far.
    started: u64,
    epoch: u64,
    floor: u64,
    /// Origin bytes counted before the current generation.
    origin_base: u64,
    /// When a new chunk was last seen anywhere.
    advanced: Instant,
    origin_failures: u32,
    origin_after: Option<Instant>,
    engine_after: Option<Instant>,
    /// Last failure that other sources can't make up for.
    reason: String,
}

/// Runs the controller until the process stops.
pub(super) async fn run<C: Clock>(mut swarm: Swarm<C>, mut inputs: Inputs) {
    let stop = swarm.ctx.stop.clone();
    let mut config = swarm.ctx.board.config.subscribe();
    let mut store = swarm.transfers.store.changes();
    config.mark_changed();
    loop {
        let wait = swarm.interval();
        tokio::select! {
            () = stop.cancelled() => return,
            _ = config.changed() => {
                config.mark_unchanged();
                swarm.reconfigure();
            }
            Some(event) = inputs.events.recv() => swarm.news(event),
            Some(done) = inputs.done.recv() => swarm.done(&done),
            _ = store.changed() => {}
            () = time::sleep(wait) => {}
        }
        while let Ok(event) = inputs.events.try_recv() {
            swarm.news(event);
        }
        while let Ok(done) = inputs.done.try_recv() {
            swarm.done(&done);
        }
        store.mark_unchanged();
        let engine = *inputs.engine.borrow();
        swarm.advance(engine);
    }
}

impl<C: Clock> Swarm<C> {
    pub(super) fn new(
        ctx: daemon::Context,
        transfers: Arc<Transfers<C>>,
        outputs: Outputs,
        service: String,
    ) -> Self {
        let advanced = transfers.clock.now();
        Self {
            ctx,
            transfers,
            outputs,
            service,
            wanted: None,
            chunks: Vec::new(),
            jobs: Vec::new(),
            plan: Plan::default(),
            peers: Peers::default(),
            followed: Vec::new(),
            moving: Vec::new(),
            started: 0,
            epoch: 0,
            floor: 0,
            origin_base: 0,
            advanced,
            origin_failures: 0,
            origin_after: None,
            engine_after: None,
            reason: String::new(),
        }
    }

    fn interval(&self) -> Duration {
        let progress = self.outputs.progress.borrow();
        let slots = self.ctx.settings.weights.download_slots;
        if progress.total > progress.have && self.downloads() < slots {
            ACTIVE
        } else {
            IDLE
        }
    }

    fn downloads(&self) -> usize {
        self.moving.iter().filter(|m| m.download).count()
    }

    /// Adopts the newest configuration.
    fn reconfigure(&mut self) {
        let view = self.ctx.board.view();
        let Some(wanted) = want::wanted(&view, &self.service, self.floor) else {
            return;
        };
        let now = self.transfers.clock.now();
        let changed = self.wanted.as_ref() != Some(&wanted);
        if changed {
            self.adopt(wanted, now);
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
        self.recount();
    }

    /// Cancels transfers that the new generation does not need.
    fn adopt(&mut self, wanted: Wanted, now: Instant) {
        info!(
            rollout = wanted.rollout.as_str(), generation = wanted.generation,
            model = wanted.model.as_str(), version = wanted.version.as_str();
            "wanted version changed"
        );
        self.reason.clear();
        self.floor = wanted.generation;
        self.epoch += 1;
        self.advanced = now;
        self.origin_base = self.transfers.origin_bytes.load(Ordering::Relaxed);
        self.followed.clear();
        self.jobs.clear();
        for part in &wanted.manifests {
            let spec = &part.spec;
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
        self.moving
            .retain(|m| needed.binary_search(&m.digest).is_ok());
        self.wanted = Some(wanted);
    }

    /// Counts transfers per peer again after the list of peers changed.
    fn recount(&mut self) {
        for index in 0..self.plan.peers.len() {
            while self.peers.states()[index].transfers > 0 {
                self.peers.transfer_ended(index);
            }
        }
        for moving in &self.moving {
            if let Some(index) = self.peers.position(&moving.peer) {
                self.peers.transfer_started(index);
            }
        }
    }

    /// Starts what is due and publishes the progress.
    fn advance(&mut self, engine: bool) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let strategy = wanted.strategy;
        let now = self.transfers.clock.now();
        let places = self.transfers.store.locate(&self.chunks);
        let mut states = self.states(&places);
        let complete = places.iter().all(|p| *p == Location::Engine);
        self.publish(&places);
        self.follow(complete, now);
        if complete || !engine || self.engine_after.is_some_and(|after| after > now) {
            // Without the engine nothing can be staged, and chunks beyond the
            // cache would be fetched again and again.
            return;
        }
        self.peers.refresh(now, self.transfers.stall);
        for (chunk, state) in states.iter_mut().enumerate() {
            if *state == ChunkState::Cached {
                *state = ChunkState::InFlight;
                self.begin(chunk, None);
            }
        }
        let slots = self.ctx.settings.weights.download_slots;
        while self.downloads() < slots {
            let Some(next) = self.choose(&states, strategy, now) else {
                return;
            };
            states[next.chunk] = ChunkState::InFlight;
            self.begin(next.chunk, Some(next.source));
        }
    }

    fn states(&self, places: &[Location]) -> Vec<ChunkState> {
        let mut moving: Vec<_> = self.moving.iter().map(|m| m.digest).collect();
        moving.sort_unstable();
        let state = |(digest, place): (&digest::Digest, &Location)| match place {
            Location::Engine => ChunkState::Staged,
            _ if moving.binary_search(digest).is_ok() => ChunkState::InFlight,
            Location::Cache => ChunkState::Cached,
            Location::Absent => ChunkState::Missing,
        };
        self.chunks.iter().zip(places).map(state).collect()
    }

    fn choose(
        &self,
        states: &[ChunkState],
        strategy: rollout::Strategy,
        now: Instant,
    ) -> Option<choice::Transfer> {
        let part = self.wanted.as_ref().and_then(|w| w.manifests.first());
        let origin_ready = self.origin_after.is_none_or(|after| after <= now);
        choice::next_transfer(&choice::Snapshot {
            plan: &self.plan,
            peers: self.peers.states(),
            chunks: states,
            idle: now.saturating_duration_since(self.advanced),
            stall_timeout: self.transfers.stall,
            chunk_size: part.map_or(0, |p| p.spec.chunk_size),
            strategy,
            origin_available: origin_ready && self.transfers.origin.is_some(),
            expected_chunks: 0,
            own_name: &self.ctx.settings.vm,
        })
    }

    fn begin(&mut self, chunk: usize, from: Option<Source>) {
        let job = self.jobs[chunk].clone();
        let digest = job.digest;
        let transfers = self.transfers.clone();
        let done = self.outputs.done.clone();
        let mut name = String::new();
        let mut address = None;
        if let Some(Source::Peer(index)) = from {
            self.peers.transfer_started(index);
            let peer = &self.plan.peers[index];
            name.clone_from(&peer.name);
            address = Some(peer.address);
        }
        let download = from.is_some();
        self.started += 1;
        let id = self.started;
        let task = tokio::spawn(async move {
            let result = match address {
                Some(address) => transfers.from_peer(&job, address).await,
                None if download => transfers.from_origin(&job).await,
                None => transfers.stage(digest).await,
            };
            let _ = done.send(Done { id, result }).await;
        });
        self.moving.push(Moving {
            id,
            digest,
            peer: name,
            download,
            _task: Task(task.abort_handle()),
        });
    }

    fn publish(&self, places: &[Location]) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        let have = places.iter().filter(|p| **p == Location::Engine).count();
        let received = self.transfers.origin_bytes.load(Ordering::Relaxed);
        let progress = Progress {
            wanted: Some(wanted.clone()),
            have,
            total: places.len(),
            origin_bytes: received - self.origin_base,
            reason: self.reason.clone(),
        };
        self.outputs.progress.send_if_modified(|old| {
            let changed = *old != progress;
            *old = progress;
            changed
        });
    }
}

/// Interval at which the engine's staging is read.
pub(super) const STAGING: Duration = serve::HEARTBEAT;
