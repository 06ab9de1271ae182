//! What news of peers and ends of transfers change.

use std::time::{Duration, Instant};

use log::warn;

use super::{Done, Moving, Swarm};
use crate::clock::Clock;
use crate::weights::follow;
use crate::weights::peers;
use crate::weights::transfer::Failure;

/// First and longest time that the origin is left alone after a failure.
const ORIGIN_RETRY: Duration = Duration::from_millis(250);
const MAX_ORIGIN_RETRY: Duration = Duration::from_secs(10);
/// Time after which the hand-over of a chunk to the engine is tried again.
const ENGINE_RETRY: Duration = Duration::from_millis(500);

impl<C: Clock> Swarm<C> {
    pub(super) fn news(&mut self, event: follow::Event) {
        let now = self.transfers.clock.now();
        let Some(index) = self.peers.position(&event.peer) else {
            return;
        };
        if event.epoch != self.epoch {
            return;
        }
        match event.news {
            follow::News::Lost => self.peers.mark_lost(index, now),
            follow::News::Have(chunks) => {
                let parts = self.wanted.iter().flat_map(|w| &w.manifests);
                let before: usize = parts.take(event.part).map(|p| p.spec.chunks.len()).sum();
                let chunks = chunks.iter().map(|c| before + *c as usize);
                if self.peers.add_chunks(index, chunks) {
                    self.advanced = now;
                }
            }
        }
    }

    pub(super) fn done(&mut self, done: &Done) {
        let Some(position) = self.moving.iter().position(|m| m.id == done.id) else {
            return;
        };
        let now = self.transfers.clock.now();
        let moving = self.moving.swap_remove(position);
        let chunk = self.chunks.iter().position(|c| *c == moving.digest);
        let peer = self.peers.position(&moving.peer);
        if let Some(index) = peer {
            self.peers.transfer_ended(index);
        }
        match &done.result {
            Ok(()) => {
                self.advanced = now;
                self.reason.clear();
                if let Some(index) = peer {
                    self.peers.transfer_succeeded(index);
                } else if moving.download {
                    self.origin_failures = 0;
                }
            }
            Err(failure) => {
                self.log(&moving, failure);
                match (peer, chunk) {
                    (_, _) if matches!(failure, Failure::Engine { .. }) => {
                        self.engine_after = Some(now + ENGINE_RETRY);
                        self.reason = failure.to_string();
                    }
                    (Some(index), Some(chunk)) => {
                        self.peers.transfer_failed(index, chunk, failure, now);
                        self.reconnect(index, failure);
                    }
                    _ if moving.peer.is_empty() && moving.download => {
                        self.origin_failed(now);
                        self.reason = format!("origin: {failure}");
                    }
                    _ => {}
                }
            }
        }
    }

    fn log(&self, moving: &Moving, failure: &Failure) {
        if matches!(failure, Failure::Busy | Failure::NotFound) {
            return;
        }
        let source = if moving.peer.is_empty() {
            "origin"
        } else {
            &moving.peer
        };
        warn!(
            chunk:% = moving.digest, source = source, generation = self.floor;
            "transfer failed: {failure}"
        );
    }

    /// Drops a connection that carried nothing, so that the next transfer uses
    /// a new one.
    fn reconnect(&self, index: usize, failure: &Failure) {
        if matches!(failure, Failure::Stalled { .. } | Failure::Call { .. }) {
            self.transfers.pool.forget(self.plan.peers[index].address);
        }
    }

    fn origin_failed(&mut self, now: Instant) {
        let wait = peers::backoff(ORIGIN_RETRY, self.origin_failures, MAX_ORIGIN_RETRY);
        self.origin_failures += 1;
        self.origin_after = Some(now + wait);
    }
}
