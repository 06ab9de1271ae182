//! Choice of the next transfer, a pure function of what an agent knows.

use std::time::Duration;

use super::plan::{Assignment, Plan};
use crate::rendezvous;
use crate::resource::rollout;

/// Chunks per data centre that are fetched from the origin at the same time.
/// A few at a time arrive one after the other and can spread early; all at once
/// would share the origin's link and all arrive at the end.
const ORIGIN_WINDOW: usize = 3;
/// Transfers at the same time from one peer. Two hide the round trip between
/// the end of one chunk and the start of the next.
const PER_PEER: usize = 2;
/// Rate below which an agent that fetches for others counts as stuck, bytes per second.
const STUCK_RATE: f64 = 250_000.0;
/// Factor on the patience of rollouts that save origin bytes.
const SAVING: u32 = 3;

/// What is known of a peer now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerState {
    /// Chunks that it holds, in the order of the wanted chunks.
    pub holds: Vec<bool>,
    /// Whether it counts as dead or unreachable.
    pub down: bool,
    /// Whether it is avoided after faults.
    pub quarantined: bool,
    /// Whether it refused recently because its upload slots were taken.
    pub busy: bool,
    /// Transfers from it in progress.
    pub transfers: usize,
}

impl PeerState {
    fn is_open(&self) -> bool {
        !self.down && !self.quarantined && !self.busy && self.transfers < PER_PEER
    }
}

/// State of one wanted chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChunkState {
    /// To be fetched.
    #[default]
    Missing,
    /// Being fetched or staged.
    InFlight,
    /// In the agent's cache but not in the engine.
    Cached,
    /// In the engine.
    Staged,
}

/// Everything that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// Peers and assignments.
    pub plan: &'a Plan,
    /// State of each peer, in the order of the plan.
    pub peers: &'a [PeerState],
    /// State of each wanted chunk.
    pub chunks: &'a [ChunkState],
    /// Time since any new chunk was seen anywhere.
    pub idle: Duration,
    /// Progress deadline of a transfer.
    pub stall_timeout: Duration,
    /// Size of a chunk, bytes.
    pub chunk_size: u32,
    /// What the rollout saves first.
    pub strategy: rollout::Strategy,
    /// Whether the origin may be asked now.
    pub origin_available: bool,
    /// Chunks of the own data centre's part that the origin's link has had time to send.
    /// They are asked for even if no neighbour is known to have the ones before.
    pub expected_chunks: usize,
    /// Name of the own VM, which breaks ties differently in each agent.
    pub own_name: &'a str,
}

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The peer at this index.
    Peer(usize),
    /// The origin.
    Origin,
}

/// Transfer transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Index of the chunk.
    pub chunk: usize,
    /// Its supplier.
    pub source: Source,
}

/// Chooses the next transfer: rarest chunk first, from the supplier with the
/// fewest transfers.
#[must_use]
pub fn next_transfer(snapshot: &Snapshot) -> Option<Transfer> {
    let mut best: Option<(usize, u64, Transfer)> = None;
    let mut unseen = 0;
    let mut homes = 0;
    for (chunk, state) in snapshot.chunks.iter().enumerate() {
        let holders = holders(snapshot, chunk);
        let ahead = if homes < snapshot.expected_chunks {
            0
        } else {
            unseen
        };
        let absent = matches!(state, ChunkState::Missing | ChunkState::InFlight);
        if snapshot.plan.assignments[chunk].home {
            homes += 1;
            unseen += usize::from(holders == 0 && absent);
        }
        if *state != ChunkState::Missing || best.is_some_and(|b| b.0 < holders) {
            continue;
        }
        let tie = rendezvous::weight(&chunk.to_le_bytes(), snapshot.own_name);
        if best.is_some_and(|b| (b.0, b.1) <= (holders, tie)) {
            continue;
        }
        if let Some(source) = source(snapshot, chunk, ahead) {
            best = Some((holders, tie, Transfer { chunk, source }));
        }
    }
    best.map(|b| b.2)
}

/// Known holders of a chunk among the neighbours.
fn holders(snapshot: &Snapshot, chunk: usize) -> usize {
    let neighbours = snapshot.plan.neighbours.iter();
    let holding = neighbours.filter(|i| snapshot.peers[**i].holds[chunk]);
    holding.count()
}

/// Source of a chunk now. `ahead` counts the chunks of the same home data
/// centre that precede this one and that nobody is known to have, unless this one is due.
fn source(snapshot: &Snapshot, chunk: usize, ahead: usize) -> Option<Source> {
    let near = find(snapshot, chunk, &snapshot.plan.neighbours);
    if near.held {
        return near.open.map(Source::Peer);
    }
    let assignment = &snapshot.plan.assignments[chunk];
    if !is_acting(snapshot, assignment) {
        return None;
    }
    let origin = snapshot.origin_available.then_some(Source::Origin);
    if assignment.home {
        return origin.filter(|_| ahead < origin_window(snapshot));
    }
    let far = find(snapshot, chunk, &assignment.remote_sources);
    if far.held {
        return far.open.map(Source::Peer);
    }
    let unreachable = assignment
        .remote_sources
        .iter()
        .all(|i| snapshot.peers[*i].down);
    let late = snapshot.idle > patience(snapshot) * 2;
    origin.filter(|_| unreachable || late)
}

struct Found {
    /// Holder with the fewest transfers that can be asked now.
    open: Option<usize>,
    /// Whether a usable holder exists, even if it is busy now.
    held: bool,
}

fn find(snapshot: &Snapshot, chunk: usize, candidates: &[usize]) -> Found {
    let usable = |s: &PeerState| s.holds[chunk] && !s.down && !s.quarantined;
    let sources = candidates.iter().map(|i| (*i, &snapshot.peers[*i]));
    let held = sources.clone().any(|(_, s)| usable(s));
    let open = sources.filter(|(_, s)| s.holds[chunk] && s.is_open());
    let key = chunk.to_le_bytes();
    let order = |(index, source): &(usize, &PeerState)| {
        let name = &snapshot.plan.peers[*index].name;
        let tie = rendezvous::weight(&key, name) ^ rendezvous::weight(&key, snapshot.own_name);
        (source.transfers, tie)
    };
    Found {
        open: open.min_by_key(order).map(|(i, _)| i),
        held,
    }
}

/// Whether the own agent must fetch the chunk for its data centre: it ranks
/// first, or all before it are down, or nothing has arrived for too long.
fn is_acting(snapshot: &Snapshot, assignment: &Assignment) -> bool {
    let Some(rank) = assignment.rank else {
        return false;
    };
    let down = |i: &usize| snapshot.peers[*i].down;
    if assignment.predecessors.len() == rank && assignment.predecessors.iter().all(down) {
        return true;
    }
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    snapshot.idle > patience(snapshot).saturating_mul(rank)
}

/// Time without any new chunk after which the next agent takes over from one
/// that is reachable but does not advance.
fn patience(snapshot: &Snapshot) -> Duration {
    let chunk = Duration::from_secs_f64(f64::from(snapshot.chunk_size) / STUCK_RATE);
    let patience = snapshot.stall_timeout * 3 + chunk;
    match snapshot.strategy {
        rollout::Strategy::Time => patience,
        rollout::Strategy::OriginBytes => patience * SAVING,
    }
}

/// Chunks of one data centre's part that the origin can have sent after `elapsed`, if its
/// link of `mbps` megabits a second is shared by the parts of `centers` data centres.
///
/// Load pattern: a version for dozens of targets. Agents know only their neighbours, so
/// most chunks seem unseen long after they left the origin, and the window alone would
/// leave its link idle; if it fails then, chunks are missing that it had time to send.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::weights::choice;
///
/// // 32 KiB take 32.8 ms of 8 Mbit/s, and every second chunk belongs to the other centre.
/// assert_eq!(choice::expected_chunks(8.0, Duration::from_secs(1), 32_768, 2), 15);
/// ```
#[must_use]
pub fn expected_chunks(mbps: f64, elapsed: Duration, chunk_size: u32, centers: usize) -> usize {
    let sent = elapsed.as_secs_f64() * mbps * 1e6 / 8.0;
    let chunks = sent / f64::from(chunk_size.max(1));
    // Far below the largest integer, and only whole chunks count.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = chunks.max(0.0) as usize;
    whole / centers.max(1)
}

/// The window widens while nothing arrives, so that a dead agent's chunk does
/// not hold up the ones after it.
fn origin_window(snapshot: &Snapshot) -> usize {
    let step = (snapshot.stall_timeout / 4).max(Duration::from_millis(1));
    let wider = snapshot.idle.as_millis() / step.as_millis();
    ORIGIN_WINDOW + usize::try_from(wider).unwrap_or(usize::MAX / 2)
}
