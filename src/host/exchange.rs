//! Exchanges chunks with peers: who holds what, and which transfer comes next.
//!
//! The decisions are those of [`crate::weights`]; this module feeds them with what peers
//! say by datagram and carries out the transfers.

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
use crate::node::message::{self, Body, HeldChunks};
use crate::platform::engine::Manifest;
use crate::resource::rollout;
use crate::weights::choice::{self, ChunkState, Snapshot, Source};
use crate::weights::peers::Peers;
use crate::weights::plan::{self, Member, Peer, Plan};
use crate::weights::transfer::Failure;

/// Chunks that are fetched at the same time.
const PARALLEL: usize = 8;
/// Time between two looks at what can be fetched.
const TICK: Duration = Duration::from_millis(20);
/// Time between two questions to peers about what they hold.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which a peer counts as lost.
const SILENCE: Duration = Duration::from_millis(700);
/// Time without progress after which the next host takes over a chunk.
const STALL: Duration = Duration::from_millis(300);
/// Time for which a peer that asked is told of new chunks.
const SUBSCRIPTION: Duration = Duration::from_secs(1);
/// Time between two statements of new chunks to peers.
const TELL_INTERVAL: Duration = Duration::from_millis(40);
/// Time without any new chunk after which another version gets its turn.
const GIVE_UP: Duration = Duration::from_secs(3);
/// Pause before the origin is asked again after it failed.
const ORIGIN_PAUSE: Duration = Duration::from_millis(150);
/// Statements that wait to be taken in, at most.
const MAX_NEWS: usize = 1_024;
/// Size of a chunk on today's sites, bytes; bounds how long a transfer may take.
const CHUNK_SIZE: u32 = 32_768;

/// A peer that wants to hear what this host holds.
#[derive(Clone, Debug)]
pub struct Subscriber {
    address: SocketAddr,
    model: String,
    version: u64,
    asked: Instant,
}

/// What peers said, until the exchange takes it in.
pub type News = Vec<(SocketAddr, HeldChunks)>;

struct Done {
    chunk: usize,
    from: Source,
    peer: String,
    result: Result<(), Failure>,
}

/// Ends its transfer when dropped.
struct Moving {
    chunk: usize,
    task: AbortHandle,
}

impl Drop for Moving {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One version on its way here.
struct Exchange<C: Clock> {
    host: Arc<Host<C>>,
    manifest: Arc<Manifest>,
    plan: Plan,
    peers: Peers,
    /// When each peer of the plan was last heard.
    heard: Vec<Instant>,
    moving: Vec<Moving>,
    began: Instant,
    advanced: Instant,
    /// When the origin last failed to give a chunk.
    refused: Option<Instant>,
    asked: Option<Instant>,
    origin_after: Option<Instant>,
    sender: mpsc::Sender<Done>,
}

impl<C: Clock> Host<C> {
    /// Takes a peer's statement in and answers its question.
    pub(super) fn hear_peer(&self, from: SocketAddr, have: HeldChunks, now: Instant) {
        if have.wants_reply {
            self.subscribe(from, &have, now);
            let held = self.have(&have.model, have.version);
            self.send(from, Body::HeldChunks(held));
        }
        let mut news = self.news.lock();
        // Without an exchange nobody takes news in, and a new exchange asks again.
        if news.len() < MAX_NEWS {
            news.push((from, have));
        }
        drop(news);
        self.heard.notify_one();
    }

    fn subscribe(&self, address: SocketAddr, have: &HeldChunks, now: Instant) {
        let mut subscribers = self.subscribers.lock();
        subscribers.retain(|s| now.saturating_duration_since(s.asked) < SUBSCRIPTION);
        let same = |s: &&mut Subscriber| {
            (s.address, s.version) == (address, have.version) && s.model == have.model
        };
        if let Some(known) = subscribers.iter_mut().find(same) {
            known.asked = now;
            return;
        }
        subscribers.push(Subscriber {
            address,
            model: have.model.clone(),
            version: have.version,
            asked: now,
        });
    }

    /// What this host holds of a version.
    fn have(&self, model: &str, version: u64) -> HeldChunks {
        let whole = self.engine.borrow().weights == Some(version);
        let held = self.chunks.held(model, version);
        HeldChunks {
            model: model.to_owned(),
            version,
            is_complete: whole,
            bitmap: message::bitmap(&held),
            wants_reply: false,
        }
    }

    /// Tells subscribers of new chunks until the process ends.
    pub(super) async fn tell_peers(self: Arc<Self>) {
        loop {
            self.chunks.changed().await;
            time::sleep(TELL_INTERVAL).await;
            let subscribers = self.subscribers.lock().clone();
            let now = self.clock.now();
            for subscriber in subscribers {
                if now.saturating_duration_since(subscriber.asked) < SUBSCRIPTION {
                    let have = self.have(&subscriber.model, subscriber.version);
                    self.send(subscriber.address, Body::HeldChunks(have));
                }
            }
        }
    }

    /// Fetches the chunks of a version that are missing. Returns whether all are here;
    /// gives up when another version is wanted.
    pub(super) async fn fetch(self: &Arc<Self>, manifest: Arc<Manifest>) -> bool {
        let missing = self.chunks.missing(&manifest).len();
        if missing == 0 {
            return true;
        }
        let began = self.clock.now();
        let (model, version) = (manifest.model.clone(), manifest.version);
        let (sender, receiver) = mpsc::channel(PARALLEL);
        let exchange = Exchange {
            host: self.clone(),
            manifest,
            plan: Plan::default(),
            peers: Peers::default(),
            heard: Vec::new(),
            moving: Vec::new(),
            began,
            advanced: began,
            refused: None,
            asked: None,
            origin_after: None,
            sender,
        };
        let complete = exchange.run(receiver).await;
        let took = self.clock.now().saturating_duration_since(began);
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        info!(model = model.as_str(), version, chunks = missing, complete, ms; "weights fetched");
        complete
    }

    /// Peers and assignments for a version's chunks.
    fn plan(&self, manifest: &Manifest) -> Plan {
        let view = self.board.snapshot();
        let same: Vec<_> = view
            .targets
            .iter()
            .map(|t| &t.value)
            .filter(|t| t.service == self.service)
            .collect();
        let serves = |t: &&crate::fleet::Target| t.weights.is_some() && t.phase == Phase::Ready;
        // Hosts that were just added or leave have no assignments, unless nobody serves.
        let any = same.iter().any(serves);
        let own = self.name();
        let mut names: Vec<(String, &str, bool)> = same
            .iter()
            .map(|t| {
                let region = self.region(&t.data_center);
                (t.address.to_string(), region, any && !serves(t))
            })
            .collect();
        if names.iter().all(|(name, ..)| *name != own) {
            names.push((own.clone(), &self.region, any));
        }
        names.sort_unstable();
        names.dedup_by(|a, b| a.0 == b.0);
        let members: Vec<Member> = names
            .iter()
            .map(|(name, region, leaving)| Member {
                name,
                data_center: region,
                excluded: *leaving,
            })
            .collect();
        let mut peers: Vec<Peer> = same
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

impl<C: Clock> Exchange<C> {
    async fn run(mut self, mut done: mpsc::Receiver<Done>) -> bool {
        let host = self.host.clone();
        let mut views = host.board.subscribe();
        views.mark_changed();
        loop {
            if views.has_changed().unwrap_or(false) {
                views.mark_unchanged();
                self.replan();
            }
            self.take_news();
            if self.host.chunks.missing(&self.manifest).is_empty() {
                return true;
            }
            let now = host.clock.now();
            if now.saturating_duration_since(self.advanced) >= GIVE_UP {
                return false;
            }
            let (model, version) = (&self.manifest.model, self.manifest.version);
            if host.superseded(model, version) || host.gives_way(model, version) {
                return false;
            }
            self.ask_peers();
            self.begin_transfers();
            tokio::select! {
                Some(ended) = done.recv() => self.end(&ended),
                () = host.heard.notified() => {}
                () = time::sleep(TICK) => {}
            }
            while let Ok(ended) = done.try_recv() {
                self.end(&ended);
            }
        }
    }

    fn replan(&mut self) {
        let plan = self.host.plan(&self.manifest);
        if plan == self.plan {
            return;
        }
        let now = self.host.clock.now();
        let heard = |peer: &Peer| {
            let known = self.plan.peers.binary_search_by(|p| p.name.cmp(&peer.name));
            known.map_or(now, |i| self.heard[i])
        };
        self.heard = plan.peers.iter().map(heard).collect();
        let chunks = self.manifest.digests.len();
        self.peers
            .set_plan(&plan, chunks, self.plan.assignments.is_empty());
        self.plan = plan;
        // Asks new peers at once.
        self.asked = None;
    }

    fn take_news(&mut self) {
        let news = std::mem::take(&mut *self.host.news.lock());
        let now = self.host.clock.now();
        let count = self.manifest.digests.len();
        for (from, have) in news {
            if have.model != self.manifest.model || have.version != self.manifest.version {
                continue;
            }
            let found = self.plan.peers.iter().position(|p| p.address == from);
            let Some(index) = found else { continue };
            self.heard[index] = now;
            if self.peers.add_chunks(index, have.held_indexes(count)) {
                self.advanced = now;
            }
        }
    }

    /// Asks the peers that the plan follows what they hold; those that stay silent count as lost.
    fn ask_peers(&mut self) {
        let now = self.host.clock.now();
        let due = |at: Instant| now.saturating_duration_since(at) >= ASK_INTERVAL;
        if !self.asked.is_none_or(due) {
            return;
        }
        self.asked = Some(now);
        let mut have = self.host.have(&self.manifest.model, self.manifest.version);
        have.wants_reply = true;
        for index in &self.plan.followed {
            if now.saturating_duration_since(self.heard[*index]) >= SILENCE {
                self.peers.mark_lost(*index, now);
            }
            let address = self.plan.peers[*index].address;
            self.host.send(address, Body::HeldChunks(have.clone()));
        }
    }

    fn begin_transfers(&mut self) {
        let now = self.host.clock.now();
        self.peers.refresh(now, STALL);
        let mut chunks = self.states();
        // While the origin fails, the hosts before this one are not the ones that are stuck.
        let active = self
            .refused
            .map_or(self.advanced, |at| at.max(self.advanced));
        let idle = now.saturating_duration_since(active);
        let due = self.due(now);
        while self.moving.len() < PARALLEL {
            let next = choice::next_transfer(&Snapshot {
                plan: &self.plan,
                peers: self.peers.states(),
                chunks: &chunks,
                idle,
                stall_timeout: STALL,
                chunk_size: CHUNK_SIZE,
                strategy: rollout::Strategy::Time,
                origin_available: self.origin_after.is_none_or(|after| after <= now),
                expected_chunks: due,
                own_name: &self.host.name(),
            });
            let Some(next) = next else { return };
            chunks[next.chunk] = ChunkState::InFlight;
            self.begin(next.chunk, next.source);
        }
    }

    /// Chunks of this region's part that the origin's link has had time to send.
    fn due(&self, now: Instant) -> usize {
        let mbps = self.host.origin().map_or(0.0, |o| o.mbps);
        let elapsed = now.saturating_duration_since(self.began);
        let mut regions: Vec<&str> = self.host.regions.iter().map(|r| r.1.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        choice::expected_chunks(mbps, elapsed, CHUNK_SIZE, regions.len())
    }

    fn states(&self) -> Vec<ChunkState> {
        let held = self
            .host
            .chunks
            .held(&self.manifest.model, self.manifest.version);
        let mut states: Vec<ChunkState> = held
            .iter()
            .map(|held| {
                if *held {
                    ChunkState::Staged
                } else {
                    ChunkState::Missing
                }
            })
            .collect();
        for moving in &self.moving {
            states[moving.chunk] = ChunkState::InFlight;
        }
        states
    }

    fn begin(&mut self, chunk: usize, from: Source) {
        let mut name = String::new();
        let mut address = None;
        if let Source::Peer(index) = from {
            self.peers.transfer_started(index);
            let peer = &self.plan.peers[index];
            name.clone_from(&peer.name);
            address = Some(peer.address);
        }
        let (host, manifest) = (self.host.clone(), self.manifest.clone());
        let sender = self.sender.clone();
        let peer = name;
        let task = tokio::spawn(async move {
            let result = host.transfer(&manifest, chunk, address).await;
            let done = Done {
                chunk,
                from,
                peer,
                result,
            };
            // The exchange may have ended meanwhile.
            let _ = sender.send(done).await;
        });
        self.moving.push(Moving {
            chunk,
            task: task.abort_handle(),
        });
    }

    fn end(&mut self, done: &Done) {
        let now = self.host.clock.now();
        self.moving.retain(|m| m.chunk != done.chunk);
        if done.result.is_ok() {
            self.advanced = now;
        }
        let (version, index) = (self.manifest.version, done.chunk);
        if let Err(failure) = &done.result {
            let reason = failure.to_string();
            let level = match failure {
                // Thousands of these are usual while a version spreads.
                Failure::Busy => log::Level::Debug,
                _ => log::Level::Warn,
            };
            log!(level, version, index, peer = done.peer.as_str(), reason = reason.as_str(); "chunk not received");
        }
        if done.from == Source::Origin {
            if done.result.is_err() {
                self.refused = Some(now);
                self.origin_after = Some(now + ORIGIN_PAUSE);
            }
            return;
        }
        let Some(peer) = self.peers.position(&done.peer) else {
            return;
        };
        self.peers.transfer_ended(peer);
        match &done.result {
            Ok(()) => self.peers.transfer_succeeded(peer),
            Err(failure) => self.peers.transfer_failed(peer, done.chunk, failure, now),
        }
    }
}
