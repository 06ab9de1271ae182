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
use crate::clock::Clock;
use crate::config;
use crate::control::pb;
use crate::digest;
use crate::resource::model;
use crate::shared_state::SharedState;

/// Largest part of a chunk in one message, bytes.
const MAX_PART: usize = 16 * 1024;
/// Callers that may wait for an upload slot, per slot.
pub const MAX_WAITING_PER_SLOT: usize = 2;
/// Interval of updates while no chunks are added. They show that the agent is alive.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// Delay of an update, so that chunks added within it are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Stall timeouts after which an upload is aborted if its receiver accepts no data.
const RECEIVER_STALLS: u32 = 5;

/// State shared by all calls of the service.
#[derive(Debug)]
pub(super) struct Shared<C> {
    pub(super) clock: C,
    pub(super) state: Arc<SharedState>,
    pub(super) store: Arc<Store>,
    pub(super) staging: Staging,
    pub(super) pacer: Arc<Pacer>,
    pub(super) slots: Arc<Semaphore>,
    /// Most callers that may wait for a slot.
    pub(super) max_waiting: usize,
    /// Callers that wait for a slot.
    pub(super) waiting: AtomicUsize,
    pub(super) stall_timeout: Duration,
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
        tokio::spawn(send_updates(self.shared.clone(), name, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn fetch(
        &self,
        request: Request<pb::FetchRequest>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        let digest = digest::Digest::from_bytes(&request.into_inner().digest)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        if !self.shared.store.contains(digest) {
            return Err(Status::not_found(digest.to_string()));
        }
        let slot = self.shared.acquire_slot().await?;
        let data = self.shared.read(digest).await?;
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(upload(self.shared.clone(), data, slot, sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

impl<C: Clock> Shared<C> {
    /// Acquires an upload slot. A few callers may wait, which keeps the uplink busy between
    /// two chunks; further ones are refused at once so that they try another source.
    async fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, Status> {
        let busy = || Status::resource_exhausted("all upload slots are taken");
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Ok(slot);
        }
        let waiter = Waiter::register(&self.waiting);
        if waiter.before >= self.max_waiting {
            return Err(busy());
        }
        let acquired =
            time::timeout(self.stall_timeout / 4, self.slots.clone().acquire_owned()).await;
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

/// Counts a caller as waiting until dropped.
struct Waiter<'a> {
    count: &'a AtomicUsize,
    /// Callers that waited already.
    before: usize,
}

impl<'a> Waiter<'a> {
    fn register(count: &'a AtomicUsize) -> Self {
        let before = count.fetch_add(1, Ordering::Relaxed);
        Self { count, before }
    }
}

impl Drop for Waiter<'_> {
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
    let limit = shared.stall_timeout * RECEIVER_STALLS;
    while !data.is_empty() {
        let part = data.split_to(MAX_PART.min(data.len()));
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

/// Streams the held chunks of the manifest `name`: first all, then additions.
async fn send_updates<C: Clock>(
    shared: Arc<Shared<C>>,
    name: String,
    sender: mpsc::Sender<Result<pb::HaveUpdate, Status>>,
) {
    let mut changes = shared.store.changes();
    let mut sent: Vec<bool> = Vec::new();
    loop {
        changes.mark_unchanged();
        let chunks = added_chunks(&shared, &name, &mut sent);
        if sender.send(Ok(pb::HaveUpdate { chunks })).await.is_err() {
            return;
        }
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = sender.closed() => return,
            () = time::sleep(HEARTBEAT) => {}
            _ = changes.changed() => time::sleep(BATCH_DELAY).await,
        }
    }
}

/// Indices of the held chunks that are not yet marked in `sent`; updates `sent`.
fn added_chunks<C>(shared: &Shared<C>, name: &str, sent: &mut Vec<bool>) -> Vec<u32> {
    let view = shared.state.view();
    let Some(manifest) = config::find(&view.models, name) else {
        return Vec::new();
    };
    let held = shared.store.held(&manifest.spec.chunks);
    sent.resize(held.len(), false);
    let added = (0..held.len()).filter(|i| held[*i] && !sent[*i]);
    let added: Vec<u32> = added.filter_map(|i| u32::try_from(i).ok()).collect();
    *sent = held;
    added
}
