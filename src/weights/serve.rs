//! Serves chunks to other agents.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status};

use super::pace::{Direction, Pacer};
use super::staging::Staging;
use super::store::Store;
use crate::blackboard::Blackboard;
use crate::clock::Clock;
use crate::config;
use crate::control::pb;
use crate::digest;
use crate::resource::model;

/// Bytes of one message of a chunk.
const PART: usize = 16 * 1024;
/// Callers per upload slot that may wait for one.
pub const QUEUED_PER_SLOT: usize = 2;
/// Interval of updates without news, which show that the agent is alive.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// News within this time are sent together.
const GROUP: Duration = Duration::from_millis(5);
/// Progress deadlines that a receiver may let pass before an upload is given up.
const RECEIVER_STALLS: u32 = 5;

/// What the service shares with the other parts.
#[derive(Debug)]
pub(super) struct Shared<C> {
    pub(super) clock: C,
    pub(super) board: Arc<Blackboard>,
    pub(super) store: Arc<Store>,
    pub(super) staging: Staging,
    pub(super) pacer: Arc<Pacer>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) queue: usize,
    pub(super) waiting: AtomicUsize,
    pub(super) stall: Duration,
    pub(super) stop: CancellationToken,
}

/// The gRPC service `Weights`.
#[derive(Debug)]
pub struct Service<C> {
    pub(super) shared: Arc<Shared<C>>,
}

#[tonic::async_trait]
impl<C: Clock> pb::weights_server::Weights for Service<C> {
    type HaveStream = ReceiverStream<Result<pb::HaveUpdate, Status>>;
    type FetchStream = ReceiverStream<Result<pb::ChunkPart, Status>>;

    async fn have(
        &self,
        request: Request<pb::HaveRequest>,
    ) -> Result<Response<Self::HaveStream>, Status> {
        let request = request.into_inner();
        let name = model::Model::object_name(&request.model, &request.version);
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(announce(self.shared.clone(), name, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn fetch(
        &self,
        request: Request<pb::FetchRequest>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        let digest = digest::Digest::from_bytes(&request.into_inner().digest)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        if !self.shared.store.has(digest) {
            return Err(Status::not_found(digest.to_string()));
        }
        let slot = self.shared.slot().await?;
        let data = self.shared.read(digest).await?;
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(upload(self.shared.clone(), data, slot, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

impl<C: Clock> Shared<C> {
    /// An upload slot. A few callers wait for one, which keeps the uplink in
    /// use between two chunks; more are sent elsewhere at once.
    async fn slot(&self) -> Result<OwnedSemaphorePermit, Status> {
        let busy = || Status::resource_exhausted("all upload slots are taken");
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Ok(slot);
        }
        let waiting = Waiting::enter(&self.waiting);
        if waiting.before >= self.queue {
            return Err(busy());
        }
        let acquired = time::timeout(self.stall / 4, self.slots.clone().acquire_owned()).await;
        acquired.ok().and_then(Result::ok).ok_or_else(busy)
    }

    async fn read(&self, digest: digest::Digest) -> Result<Bytes, Status> {
        if let Some(data) = self.store.cached(digest) {
            return Ok(data);
        }
        let limit = usize::try_from(*model::CHUNK_BYTES.end()).unwrap_or(usize::MAX);
        let read = self.staging.get(digest, limit).await;
        read.map_err(|e| Status::not_found(e.to_string()))
    }
}

struct Waiting<'a> {
    count: &'a AtomicUsize,
    before: usize,
}

impl<'a> Waiting<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        let before = count.fetch_add(1, Ordering::Relaxed);
        Self { count, before }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn upload<C: Clock>(
    shared: Arc<Shared<C>>,
    mut data: Bytes,
    slot: OwnedSemaphorePermit,
    sender: mpsc::Sender<Result<pb::ChunkPart, Status>>,
) {
    let limit = shared.stall * RECEIVER_STALLS;
    while !data.is_empty() {
        let part = data.split_to(PART.min(data.len()));
        let now = shared.clock.now();
        shared
            .pacer
            .acquire(Direction::Upload, part.len(), now)
            .await;
        let part = pb::ChunkPart { data: part };
        let sent = time::timeout(limit, sender.send(Ok(part))).await;
        if !matches!(sent, Ok(Ok(()))) {
            break;
        }
    }
    drop(slot);
}

/// Sends which chunks of the manifest `name` are here, first all, then news.
async fn announce<C: Clock>(
    shared: Arc<Shared<C>>,
    name: String,
    sender: mpsc::Sender<Result<pb::HaveUpdate, Status>>,
) {
    let mut changes = shared.store.changes();
    let mut known: Vec<bool> = Vec::new();
    loop {
        changes.mark_unchanged();
        let chunks = news(&shared, &name, &mut known);
        if sender.send(Ok(pb::HaveUpdate { chunks })).await.is_err() {
            return;
        }
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = sender.closed() => return,
            () = time::sleep(HEARTBEAT) => {}
            _ = changes.changed() => time::sleep(GROUP).await,
        }
    }
}

/// Chunks that are here now and were not when `known` was set.
fn news<C>(shared: &Shared<C>, name: &str, known: &mut Vec<bool>) -> Vec<u32> {
    let view = shared.board.view();
    let Some(manifest) = config::find(&view.models, name) else {
        return Vec::new();
    };
    let held = shared.store.held(&manifest.spec.chunks);
    known.resize(held.len(), false);
    let new = (0..held.len()).filter(|i| held[*i] && !known[*i]);
    let new: Vec<u32> = new.filter_map(|i| u32::try_from(i).ok()).collect();
    *known = held;
    new
}
