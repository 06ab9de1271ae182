//! Tells peers which chunks this host holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time;

use crate::clock::Clock;
use crate::host::Host;
use crate::node::message::{self, Body, HeldChunks};

/// Time for which new chunks are announced to a peer after its last query.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(1);
/// Delay before new chunks are announced, so that one datagram covers several of them.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of unprocessed messages of peers; further ones are dropped.
const MAX_INBOX: usize = 1_024;

/// A peer that subscribed to the chunks of a version that this host holds.
#[derive(Clone, Debug)]
pub struct Subscriber {
    address: SocketAddr,
    model: String,
    version: u64,
    renewed: Instant,
}

/// Messages of peers with their senders, in order of arrival.
pub type Inbox = Vec<(SocketAddr, HeldChunks)>;

impl<C: Clock> Host<C> {
    /// Queues a peer's message for the running download and replies if the peer asks for it.
    pub(super) fn receive_held(&self, from: SocketAddr, message: HeldChunks, now: Instant) {
        if message.wants_reply {
            self.subscribe_peer(from, &message, now);
            let held = self.held_chunks(&message.model, message.version);
            self.send(from, Body::HeldChunks(held));
        }
        let mut inbox = self.inbox.lock();
        // Nothing empties the inbox without a download, and a new download queries again.
        if inbox.len() < MAX_INBOX {
            inbox.push((from, message));
        }
        drop(inbox);
        self.received.notify_one();
    }

    fn subscribe_peer(&self, address: SocketAddr, query: &HeldChunks, now: Instant) {
        let mut subscribers = self.peers.lock();
        subscribers.retain(|s| now.saturating_duration_since(s.renewed) < SUBSCRIPTION_TTL);
        let same = |s: &&mut Subscriber| {
            (s.address, s.version) == (address, query.version) && s.model == query.model
        };
        if let Some(known) = subscribers.iter_mut().find(same) {
            known.renewed = now;
            return;
        }
        subscribers.push(Subscriber {
            address,
            model: query.model.clone(),
            version: query.version,
            renewed: now,
        });
    }

    /// Message with the chunks of a version that this host holds.
    pub(super) fn held_chunks(&self, model: &str, version: u64) -> HeldChunks {
        let is_complete = self.report.borrow().weights == Some(version);
        let held = self.chunks.held(model, version);
        HeldChunks {
            model: model.to_owned(),
            version,
            is_complete,
            bitmap: message::bitmap(&held),
            wants_reply: false,
            fetching: message::bitmap(&self.chunks.fetching(model, version)),
        }
    }

    /// Announces new chunks to subscribed peers until the process ends.
    pub(super) async fn announce_chunks(self: Arc<Self>) {
        loop {
            self.chunks.changed().await;
            time::sleep(ANNOUNCE_DELAY).await;
            let subscribers = self.peers.lock().clone();
            let now = self.clock.now();
            for subscriber in subscribers {
                if now.saturating_duration_since(subscriber.renewed) < SUBSCRIPTION_TTL {
                    let held = self.held_chunks(&subscriber.model, subscriber.version);
                    self.send(subscriber.address, Body::HeldChunks(held));
                }
            }
        }
    }
}
