//! Downloads chunks from peers and the origin.
//!
//! [`crate::weights`] chooses the transfers. This module supplies it with the state of the
//! peers, which they send by datagram, and runs the transfers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{info, log};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time;

use crate::clock::Clock;
use crate::fleet::Phase;
use crate::host::Host;
use crate::node::message::{self, Body};
use crate::platform::engine::Manifest;
use crate::resource::rollout;
use crate::weights::choice::{self, ChunkState, Snapshot, Source};
use crate::weights::peers::Peers;
use crate::weights::plan::{self, Member, Peer, Plan};
use crate::weights::schedule::Schedule;
use crate::weights::transfer::Failure;

/// Maximum number of concurrent transfers.
const MAX_TRANSFERS: usize = 8;
/// Time after which a download checks again what it can fetch.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two queries of peers for the chunks that they hold.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a reply after which a peer counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without progress after which the next host takes over a chunk.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without any new chunk after which a download ends, so that another version can be
/// fetched.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff after a failed transfer from the origin.
const ORIGIN_BACKOFF: Duration = Duration::from_millis(150);
/// Result of a transfer.
struct Finished {
    chunk: usize,
    source: Source,
    peer: String,
    result: Result<(), Failure>,
}

impl<C: Clock> Drop for Download<C> {
    fn drop(&mut self) {
        for transfer in &self.transfers {
            let chunks = &self.host.chunks;
            chunks.set_fetching(&self.manifest, transfer.chunk, false);
        }
    }
}

/// A running transfer; dropping it aborts the transfer.
struct Transfer {
    chunk: usize,
    task: AbortHandle,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Download of the missing chunks of one version.
struct Download<C: Clock> {
    host: Arc<Host<C>>,
    manifest: Arc<Manifest>,
    plan: Plan,
    peers: Peers,
    /// Time of the last message of each peer, in the order of the plan's peers.
    last_heard: Vec<Instant>,
    transfers: Vec<Transfer>,
    /// Release of the version, or when it was first listed.
    known_since: Instant,
    /// When this download began.
    started: Instant,
    /// When this host or a peer last received a new chunk.
    last_progress: Instant,
    /// When a transfer from the origin last failed.
    origin_failed: Option<Instant>,
    /// When peers were last queried; `None` to query them at once.
    last_query: Option<Instant>,
    /// Time before which the origin isn't called again.
    origin_retry: Option<Instant>,
    /// Passed to each transfer for its result.
    sender: mpsc::Sender<Finished>,
}

impl<C: Clock> Host<C> {
    /// Fetches the missing chunks of a version. Returns whether all of them are in memory;
    /// ends early without progress or when another version is to be fetched instead.
    pub(super) async fn fetch_chunks(self: &Arc<Self>, manifest: Arc<Manifest>) -> bool {
        let missing = self.chunks.missing(&manifest).len();
        if missing == 0 {
            return true;
        }
        let started = self.clock.now();
        let (model, version) = (manifest.model.clone(), manifest.version);
        let (sender, receiver) = mpsc::channel(MAX_TRANSFERS);
        let download = Download {
            host: self.clone(),
            manifest,
            plan: Plan::default(),
            peers: Peers::default(),
            last_heard: Vec::new(),
            transfers: Vec::new(),
            known_since: self.known_since(&model, version, started),
            started,
            last_progress: started,
            origin_failed: None,
            last_query: None,
            origin_retry: None,
            sender,
        };
        let complete = download.run(receiver).await;
        let took = self.clock.now().saturating_duration_since(started);
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        info!(model = model.as_str(), version, chunks = missing, complete, ms; "weights fetch ended");
        complete
    }

    /// When hosts could begin to fetch a version: its release, or when it was first listed.
    pub(super) fn known_since(&self, model: &str, version: u64, now: Instant) -> Instant {
        let catalog = self.catalog.snapshot();
        let history = catalog.release_history(model);
        history.and_then(|h| h.known_since(version)).unwrap_or(now)
    }

    /// Peers of this host and its assignments for the chunks of a version.
    fn transfer_plan(&self, manifest: &Manifest) -> Plan {
        let catalog = self.catalog.snapshot();
        let targets: Vec<_> = catalog
            .targets
            .iter()
            .map(|t| &t.value)
            .filter(|t| t.service == self.service)
            .collect();
        let serves = |t: &&crate::fleet::Target| t.weights.is_some() && t.phase == Phase::Ready;
        // Hosts whose target doesn't serve (added, draining) get no assignments, unless
        // no target serves.
        let any_serves = targets.iter().any(serves);
        let own = self.own_name();
        let mut names: Vec<(String, &str, bool)> = targets
            .iter()
            .map(|t| {
                let region = self.region(&t.data_center);
                (t.address.to_string(), region, any_serves && !serves(t))
            })
            .collect();
        if names.iter().all(|(name, ..)| *name != own) {
            names.push((own.clone(), &self.region, any_serves));
        }
        names.sort_unstable();
        names.dedup_by(|a, b| a.0 == b.0);
        let members: Vec<Member> = names
            .iter()
            .map(|(name, region, excluded)| Member {
                name,
                data_center: region,
                excluded: *excluded,
            })
            .collect();
        let mut peers: Vec<Peer> = targets
            .iter()
            .filter(|t| t.address != self.target)
            .map(|t| Peer {
                name: t.address.to_string(),
                address: SocketAddr::new(t.address.ip(), self.port),
                local: self.region(&t.data_center) == self.region,
            })
            .collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers.dedup_by(|a, b| a.name == b.name);
        plan::from_members(&members, peers, &own, &self.region, &manifest.digests)
    }
}

impl<C: Clock> Download<C> {
    /// Runs until all chunks are in memory (`true`) or the download gives up (`false`).
    async fn run(mut self, mut finished: mpsc::Receiver<Finished>) -> bool {
        let host = self.host.clone();
        let mut updates = host.catalog.subscribe();
        updates.mark_changed();
        loop {
            if updates.has_changed().unwrap_or(false) {
                updates.mark_unchanged();
                self.replan();
            }
            self.drain_inbox();
            if self.host.chunks.missing(&self.manifest).is_empty() {
                return true;
            }
            if !self.host.chunks.contains(&self.manifest) {
                // Dropped in favour of newer versions; chunks could not be kept.
                return false;
            }
            let now = host.clock.now();
            if now.saturating_duration_since(self.last_progress) >= PROGRESS_TIMEOUT {
                return false;
            }
            let (model, version) = (&self.manifest.model, self.manifest.version);
            if host.is_superseded(model, version) || host.is_preempted(model, version) {
                return false;
            }
            self.query_peers();
            self.start_transfers();
            tokio::select! {
                Some(transfer) = finished.recv() => self.finish_transfer(&transfer),
                () = host.received.notified() => {}
                () = time::sleep(POLL_INTERVAL) => {}
            }
            while let Ok(transfer) = finished.try_recv() {
                self.finish_transfer(&transfer);
            }
        }
    }

    /// Adopts a changed plan; keeps what is known of peers that stay.
    fn replan(&mut self) {
        let plan = self.host.transfer_plan(&self.manifest);
        if plan == self.plan {
            return;
        }
        let now = self.host.clock.now();
        let heard = |peer: &Peer| {
            let known = self.plan.peers.binary_search_by(|p| p.name.cmp(&peer.name));
            known.map_or(now, |i| self.last_heard[i])
        };
        self.last_heard = plan.peers.iter().map(heard).collect();
        let chunks = self.manifest.digests.len();
        self.peers
            .set_plan(&plan, chunks, self.plan.assignments.is_empty());
        self.plan = plan;
        // Queries new peers at once.
        self.last_query = None;
    }

    /// Applies the queued messages of peers to their states.
    fn drain_inbox(&mut self) {
        let inbox = std::mem::take(&mut *self.host.inbox.lock());
        let now = self.host.clock.now();
        let count = self.manifest.digests.len();
        for (from, message) in inbox {
            if message.model != self.manifest.model || message.version != self.manifest.version {
                continue;
            }
            let found = self.plan.peers.iter().position(|p| p.address == from);
            let Some(index) = found else { continue };
            self.last_heard[index] = now;
            self.peers
                .set_fetches(index, message::flags(&message.fetching, count));
            if self.peers.add_chunks(index, message.held_indexes(count)) {
                self.last_progress = now;
            }
        }
    }

    /// Queries the peers that the plan follows for the chunks that they hold, and marks those
    /// as lost that haven't replied for `PEER_TIMEOUT`.
    fn query_peers(&mut self) {
        let now = self.host.clock.now();
        let due = |at: Instant| now.saturating_duration_since(at) >= QUERY_INTERVAL;
        if !self.last_query.is_none_or(due) {
            return;
        }
        self.last_query = Some(now);
        let mut query = self
            .host
            .held_chunks(&self.manifest.model, self.manifest.version);
        query.wants_reply = true;
        for index in &self.plan.followed {
            if now.saturating_duration_since(self.last_heard[*index]) >= PEER_TIMEOUT {
                self.peers.mark_lost(*index, now);
            }
            let address = self.plan.peers[*index].address;
            self.host.send(address, Body::HeldChunks(query.clone()));
        }
    }

    /// Starts transfers until the limit is reached or none is possible.
    fn start_transfers(&mut self) {
        let now = self.host.clock.now();
        self.peers.refresh(now, STALL_TIMEOUT);
        let mut chunks = self.chunk_states();
        // While the origin fails, the hosts assigned before this one are not at fault, so the
        // time until this host takes over their chunks starts anew.
        let last_activity = self
            .origin_failed
            .map_or(self.last_progress, |at| at.max(self.last_progress));
        let idle = now.saturating_duration_since(last_activity);
        let schedule = self.schedule(now);
        while self.transfers.len() < MAX_TRANSFERS {
            let next = choice::next_transfer(&Snapshot {
                plan: &self.plan,
                peers: self.peers.states(),
                chunks: &chunks,
                idle,
                stall_timeout: STALL_TIMEOUT,
                chunk_size: self.manifest.chunk_size,
                strategy: rollout::Strategy::Time,
                origin_available: self.origin_retry.is_none_or(|after| after <= now),
                schedule: Some(schedule),
                own_name: &self.host.own_name(),
            });
            let Some(next) = next else { return };
            chunks[next.chunk] = ChunkState::InFlight;
            self.start_transfer(next.chunk, next.source);
        }
    }

    /// Schedule of requests to the origin, which starts with the release. While the manifest was
    /// not there, the hosts assigned before this one could not fetch anything.
    fn schedule(&self, now: Instant) -> Schedule {
        let mbps = self.host.origin().map_or(0.0, |o| o.mbps);
        let elapsed = now.saturating_duration_since(self.known_since);
        let schedule = Schedule::new(mbps, self.manifest.chunk_size, elapsed);
        let failed = self
            .origin_failed
            .map_or(self.started, |at| at.max(self.started));
        Schedule {
            since_failure: now.saturating_duration_since(failed),
            ..schedule
        }
    }

    /// State of each chunk of the version.
    fn chunk_states(&self) -> Vec<ChunkState> {
        let missing = self.host.chunks.missing(&self.manifest);
        let in_flight = self.transfers.iter().map(|t| t.chunk);
        choice::states(self.manifest.digests.len(), &missing, in_flight)
    }

    /// Spawns a transfer of one chunk.
    fn start_transfer(&mut self, chunk: usize, source: Source) {
        let mut name = String::new();
        let mut address = None;
        if let Source::Peer(index) = source {
            self.peers.transfer_started(index);
            let peer = &self.plan.peers[index];
            name.clone_from(&peer.name);
            address = Some(peer.address);
        }
        let (host, manifest) = (self.host.clone(), self.manifest.clone());
        if source == Source::Origin {
            self.host.chunks.set_fetching(&manifest, chunk, true);
        }
        let sender = self.sender.clone();
        let peer = name;
        let task = tokio::spawn(async move {
            let result = host.fetch_chunk(&manifest, chunk, address).await;
            let finished = Finished {
                chunk,
                source,
                peer,
                result,
            };
            // The download may have ended meanwhile.
            let _ = sender.send(finished).await;
        });
        self.transfers.push(Transfer {
            chunk,
            task: task.abort_handle(),
        });
    }

    /// Records the result of a transfer.
    fn finish_transfer(&mut self, finished: &Finished) {
        let now = self.host.clock.now();
        self.transfers.retain(|t| t.chunk != finished.chunk);
        if finished.result.is_ok() {
            self.last_progress = now;
        }
        let (version, index) = (self.manifest.version, finished.chunk);
        if let Err(failure) = &finished.result {
            let reason = failure.to_string();
            let level = match failure {
                // Thousands of these are normal while a version is distributed.
                Failure::Busy => log::Level::Debug,
                _ => log::Level::Warn,
            };
            log!(level, version, index, peer = finished.peer.as_str(), reason = reason.as_str(); "chunk not received");
        }
        if finished.source == Source::Origin {
            let chunks = &self.host.chunks;
            chunks.set_fetching(&self.manifest, finished.chunk, false);
            if finished.result.is_err() {
                self.origin_failed = Some(now);
                self.origin_retry = Some(now + ORIGIN_BACKOFF);
            }
            return;
        }
        let Some(peer) = self.peers.position(&finished.peer) else {
            return;
        };
        self.peers.transfer_ended(peer);
        match &finished.result {
            Ok(()) => self.peers.transfer_succeeded(peer),
            Err(failure) => self
                .peers
                .transfer_failed(peer, finished.chunk, failure, now),
        }
    }
}
