//! Follows which chunks a peer holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time;

use super::serve;
use crate::control::{self, pb};

/// Shortest and longest time between two attempts to reach a peer.
const RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Heartbeats that may be missing before a silent peer counts as lost.
const MISSED: u32 = 3;

/// What happened at a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// It holds these chunks, as indices into the manifest.
    Have(Vec<u32>),
    /// It can't be reached.
    Lost,
}

/// News of one peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Set of wanted chunks that the indices refer to.
    pub epoch: u64,
    /// Name of the peer.
    pub peer: String,
    /// Index of the manifest among the wanted ones.
    pub part: usize,
    /// What happened.
    pub news: News,
}

/// A peer to follow.
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    pub(super) epoch: u64,
    pub(super) peer: String,
    pub(super) address: SocketAddr,
    pub(super) part: usize,
    pub(super) request: pb::HaveRequest,
}

/// Sends news of a peer until the task is dropped.
pub(super) async fn run(
    pool: Arc<control::Pool>,
    subscription: Subscription,
    events: mpsc::Sender<Event>,
) {
    let mut retry = RETRY;
    loop {
        if listen(&pool, &subscription, &events).await {
            retry = RETRY;
        }
        if send(&subscription, &events, News::Lost).await.is_err() {
            return;
        }
        // A silent connection is not used again.
        pool.forget(subscription.address);
        time::sleep(retry).await;
        retry = (retry * 2).min(MAX_RETRY);
    }
}

/// Reads updates until the stream ends; true if there were any.
async fn listen(
    pool: &control::Pool,
    subscription: &Subscription,
    events: &mpsc::Sender<Event>,
) -> bool {
    let channel = pool.channel(subscription.address);
    let mut client = pb::weights_client::WeightsClient::new(channel);
    let limit = serve::HEARTBEAT * MISSED;
    let call = client.have(subscription.request.clone());
    let Ok(Ok(answer)) = time::timeout(limit, call).await else {
        return false;
    };
    let mut updates = answer.into_inner();
    let mut any = false;
    while let Ok(Ok(Some(update))) = time::timeout(limit, updates.message()).await {
        any = true;
        let news = News::Have(update.chunks);
        if send(subscription, events, news).await.is_err() {
            return any;
        }
    }
    any
}

async fn send(
    subscription: &Subscription,
    events: &mpsc::Sender<Event>,
    news: News,
) -> Result<(), mpsc::error::SendError<Event>> {
    let event = Event {
        epoch: subscription.epoch,
        peer: subscription.peer.clone(),
        part: subscription.part,
        news,
    };
    events.send(event).await
}
