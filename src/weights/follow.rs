//! Subscribes to the chunks that a peer holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;

use super::serve;
use crate::control::{self, pb};

/// First and longest delay before a peer is connected to again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Heartbeat intervals without an update after which a peer counts as lost.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Update from a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// The peer holds these chunks, given as indices into the manifest.
    Have(Vec<u32>),
    /// The peer can't be reached.
    Lost,
}

/// Update from one peer about one manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Epoch of the subscription: it changes with the set of wanted chunks, which the
    /// indices refer to.
    pub epoch: u64,
    /// Name of the peer.
    pub peer: String,
    /// Index of the manifest among the wanted ones.
    pub manifest: usize,
    /// The update.
    pub update: Update,
}

/// Subscription to the chunks of one manifest at one peer.
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    pub(super) epoch: u64,
    pub(super) peer: String,
    pub(super) address: SocketAddr,
    pub(super) manifest: usize,
    pub(super) request: pb::HaveRequest,
}

/// Sends the updates of a peer to `events`, reconnecting with backoff, until `events` is
/// closed.
pub(super) async fn run(
    pool: Arc<control::Pool>,
    subscription: Subscription,
    events: mpsc::Sender<Event>,
) {
    let mut retry_delay = RETRY_DELAY;
    loop {
        if receive_updates(&pool, &subscription, &events).await {
            retry_delay = RETRY_DELAY;
        }
        if send(&subscription, &events, Update::Lost).await.is_err() {
            return;
        }
        // The connection may hang, so the next attempt opens a new one.
        pool.remove(subscription.address);
        time::sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Forwards updates until the stream ends or stalls; true if any was received.
async fn receive_updates(
    pool: &control::Pool,
    subscription: &Subscription,
    events: &mpsc::Sender<Event>,
) -> bool {
    let channel = pool.channel(subscription.address);
    let mut client = pb::weights_client::WeightsClient::new(channel);
    let timeout = serve::HEARTBEAT * MAX_MISSED_HEARTBEATS;
    let call = client.have(subscription.request.clone());
    let Ok(Ok(response)) = time::timeout(timeout, call).await else {
        return false;
    };
    let mut updates = response.into_inner();
    let mut received = false;
    while let Ok(Ok(Some(message))) = time::timeout(timeout, updates.message()).await {
        received = true;
        let update = Update::Have(message.chunks);
        if send(subscription, events, update).await.is_err() {
            return received;
        }
    }
    received
}

async fn send(
    subscription: &Subscription,
    events: &mpsc::Sender<Event>,
    update: Update,
) -> Result<(), mpsc::error::SendError<Event>> {
    let event = Event {
        epoch: subscription.epoch,
        peer: subscription.peer.clone(),
        manifest: subscription.manifest,
        update,
    };
    events.send(event).await
}
