//! Applies peer updates and transfer results to the state of the controller.

use std::time::{Duration, Instant};

use log::warn;

use super::{ActiveTransfer, Swarm, TransferResult};
use crate::clock::Clock;
use crate::weights::follow;
use crate::weights::peers;
use crate::weights::transfer::Failure;

/// First and longest backoff of the origin after a failure.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_ORIGIN_BACKOFF: Duration = Duration::from_secs(10);
/// Time without new transfers after the engine failed to accept a chunk.
const ENGINE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<C: Clock> Swarm<C> {
    /// Applies an update from a peer; ignores it if the wanted chunks changed since.
    pub(super) fn handle_update(&mut self, event: follow::Event) {
        let now = self.fetcher.clock.now();
        let Some(index) = self.peers.position(&event.peer) else {
            return;
        };
        if event.epoch != self.epoch {
            return;
        }
        match event.update {
            follow::Update::Lost => self.peers.mark_lost(index, now),
            follow::Update::Have(chunks) => {
                let manifests = self.wanted.iter().flat_map(|w| &w.manifests);
                let offset: usize = manifests
                    .take(event.manifest)
                    .map(|m| m.spec.chunks.len())
                    .sum();
                let chunks = chunks.iter().map(|c| offset + *c as usize);
                if self.peers.add_chunks(index, chunks) {
                    self.last_progress = now;
                }
            }
        }
    }

    /// Applies the result of a transfer.
    pub(super) fn finish_transfer(&mut self, finished: &TransferResult) {
        let Some(position) = self.active.iter().position(|t| t.id == finished.id) else {
            return;
        };
        let now = self.fetcher.clock.now();
        let transfer = self.active.swap_remove(position);
        let chunk = self.chunks.iter().position(|c| *c == transfer.digest);
        let peer = self.peers.position(&transfer.peer);
        if let Some(index) = peer {
            self.peers.transfer_ended(index);
        }
        match &finished.result {
            Ok(()) => {
                self.last_progress = now;
                self.reason.clear();
                if let Some(index) = peer {
                    self.peers.transfer_succeeded(index);
                } else if transfer.download {
                    self.origin_failures = 0;
                }
            }
            Err(failure) => {
                self.log_failure(&transfer, failure);
                match (peer, chunk) {
                    (_, _) if matches!(failure, Failure::Engine { .. }) => {
                        self.engine_retry_at = Some(now + ENGINE_RETRY_DELAY);
                        self.reason = failure.to_string();
                    }
                    (Some(index), Some(chunk)) => {
                        self.peers.transfer_failed(index, chunk, failure, now);
                        self.forget_connection(index, failure);
                    }
                    _ if transfer.peer.is_empty() && transfer.download => {
                        self.origin_failed(now);
                        self.reason = format!("origin: {failure}");
                    }
                    _ => {}
                }
            }
        }
    }

    fn log_failure(&self, transfer: &ActiveTransfer, failure: &Failure) {
        if matches!(failure, Failure::Busy | Failure::NotFound) {
            return;
        }
        let source = if transfer.peer.is_empty() {
            "origin"
        } else {
            &transfer.peer
        };
        warn!(
            chunk:% = transfer.digest, source = source, generation = self.min_generation;
            "transfer failed: {failure}"
        );
    }

    /// Drops the connection of a stalled or failed transfer, so that the next transfer opens
    /// a new one.
    fn forget_connection(&self, index: usize, failure: &Failure) {
        if matches!(failure, Failure::Stalled { .. } | Failure::Call { .. }) {
            self.fetcher.pool.remove(self.plan.peers[index].address);
        }
    }

    fn origin_failed(&mut self, now: Instant) {
        let wait = peers::backoff(ORIGIN_BACKOFF, self.origin_failures, MAX_ORIGIN_BACKOFF);
        self.origin_failures += 1;
        self.origin_retry_at = Some(now + wait);
    }
}
