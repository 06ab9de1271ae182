//! Selects the next chunk transfer from what an agent knows. Pure functions.

use std::time::Duration;

use super::plan::{Assignment, Plan};
use super::schedule::Schedule;
use crate::rendezvous;
use crate::resource::rollout;

/// Chunks per data centre that are fetched from the origin at the same time.
/// With a small window chunks arrive one after the other and spread early; if all
/// were requested at once, they would share the origin's link and all arrive late.
const ORIGIN_WINDOW: usize = 3;
/// Concurrent transfers from one peer. Two hide the round trip between
/// the end of one chunk and the start of the next.
const MAX_PER_PEER: usize = 2;
/// Rate below which an agent that fetches for its data centre counts as stuck, bytes
/// per second.
const STUCK_RATE: f64 = 250_000.0;
/// Factor on the takeover timeout of rollouts that save origin bytes.
const ORIGIN_BYTES_FACTOR: u32 = 3;

/// Factor on the takeover timeout for a chunk that a reachable agent is fetching from the origin. A
/// sound origin may be silent for a second or so, and a second request costs the whole chunk again.
const FETCHING_FACTOR: u32 = 3;

/// Current state of a peer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerState {
    /// Whether the peer holds each wanted chunk, in their order.
    pub holds: Vec<bool>,
    /// Whether the peer is fetching each wanted chunk from the origin; empty if unknown.
    pub fetches: Vec<bool>,
    /// Whether it counts as dead or unreachable.
    pub down: bool,
    /// Whether no transfers are started from it, because of faults or a lost connection.
    pub quarantined: bool,
    /// Whether it recently refused a request because its upload slots were taken.
    pub busy: bool,
    /// Transfers from it in progress.
    pub transfers: usize,
}

impl PeerState {
    /// Whether the peer is fetching a chunk from the origin, as far as is known.
    fn is_fetching(&self, chunk: usize) -> bool {
        !self.down && self.fetches.get(chunk).copied().unwrap_or(false)
    }

    fn is_available(&self) -> bool {
        !self.down && !self.quarantined && !self.busy && self.transfers < MAX_PER_PEER
    }
}

/// State of one wanted chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChunkState {
    /// Not on this VM.
    #[default]
    Missing,
    /// Being fetched or staged.
    InFlight,
    /// In the agent's cache but not in the engine.
    Cached,
    /// In the engine.
    Staged,
}

/// States of `count` chunks of which those at the indices `missing` are not held and those in
/// `in_flight` are being fetched.
///
/// ```
/// use corianderramp::weights::choice::{self, ChunkState};
///
/// let states = choice::states(3, &[0, 2], [2].into_iter());
/// assert_eq!(states, [ChunkState::Missing, ChunkState::Staged, ChunkState::InFlight]);
/// ```
pub fn states(
    count: usize,
    missing: &[usize],
    in_flight: impl Iterator<Item = usize>,
) -> Vec<ChunkState> {
    let mut states = vec![ChunkState::Staged; count];
    for chunk in missing {
        states[*chunk] = ChunkState::Missing;
    }
    for chunk in in_flight {
        states[chunk] = ChunkState::InFlight;
    }
    states
}

/// What [`next_transfer`] bases its decision on.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot<'a> {
    /// Peers and assignments.
    pub plan: &'a Plan,
    /// State of each peer, in the order of the plan.
    pub peers: &'a [PeerState],
    /// State of each wanted chunk.
    pub chunks: &'a [ChunkState],
    /// Time since a new chunk was last seen here or at a peer.
    pub idle: Duration,
    /// Time without received bytes after which a transfer fails.
    pub stall_timeout: Duration,
    /// Size of a chunk, bytes.
    pub chunk_size: u32,
    /// Whether the rollout minimizes time or origin bytes.
    pub strategy: rollout::Strategy,
    /// Whether the origin may be asked now.
    pub origin_available: bool,
    /// When the origin is asked for each chunk. The origin window does not delay requests
    /// that are due. `None` if only the window decides.
    pub schedule: Option<Schedule>,
    /// Name of the own VM, which makes each agent break ties differently.
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

/// A transfer to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Index of the chunk.
    pub chunk: usize,
    /// Where to fetch it from.
    pub source: Source,
}

/// Selects the next transfer: rarest chunk first, from the source with the
/// fewest transfers.
#[must_use]
pub fn next_transfer(snapshot: &Snapshot) -> Option<Transfer> {
    let mut best: Option<(usize, u64, Transfer)> = None;
    let mut outstanding = 0;
    for (chunk, state) in snapshot.chunks.iter().enumerate() {
        let holders = holder_count(snapshot, chunk);
        let is_due = snapshot.schedule.is_some_and(|s| s.is_due(chunk));
        let before = if is_due { 0 } else { outstanding };
        let absent = matches!(state, ChunkState::Missing | ChunkState::InFlight);
        if snapshot.plan.assignments[chunk].home {
            outstanding += usize::from(holders == 0 && absent);
        }
        if *state != ChunkState::Missing || best.is_some_and(|b| b.0 < holders) {
            continue;
        }
        let tie_break = rendezvous::weight(&chunk.to_le_bytes(), snapshot.own_name);
        if best.is_some_and(|b| (b.0, b.1) <= (holders, tie_break)) {
            continue;
        }
        if let Some(source) = find_source(snapshot, chunk, before) {
            best = Some((holders, tie_break, Transfer { chunk, source }));
        }
    }
    best.map(|b| b.2)
}

/// Number of neighbours that are known to hold a chunk.
fn holder_count(snapshot: &Snapshot, chunk: usize) -> usize {
    let neighbours = snapshot.plan.neighbours.iter();
    let holding = neighbours.filter(|i| snapshot.peers[**i].holds[chunk]);
    holding.count()
}

/// Source to fetch a chunk from now. `outstanding` counts the chunks before this one that
/// the own data centre fetches from the origin and that neither this agent nor a neighbour
/// is known to hold; it is 0 for a chunk that is due.
fn find_source(snapshot: &Snapshot, chunk: usize, outstanding: usize) -> Option<Source> {
    let near = find_holders(snapshot, chunk, &snapshot.plan.neighbours);
    if near.any {
        return near.available.map(Source::Peer);
    }
    let assignment = &snapshot.plan.assignments[chunk];
    if !is_responsible(snapshot, chunk, assignment) {
        return None;
    }
    let origin = snapshot.origin_available.then_some(Source::Origin);
    if assignment.home {
        return origin.filter(|_| outstanding < origin_window(snapshot));
    }
    let far = find_holders(snapshot, chunk, &assignment.remote_sources);
    if far.any {
        return far.available.map(Source::Peer);
    }
    let unreachable = assignment
        .remote_sources
        .iter()
        .all(|i| snapshot.peers[*i].down);
    let timed_out = snapshot.idle > takeover_timeout(snapshot) * 2;
    origin.filter(|_| unreachable || timed_out)
}

struct Holders {
    /// Available holder with the fewest transfers.
    available: Option<usize>,
    /// Whether any holder is neither down nor quarantined; it may be busy.
    any: bool,
}

fn find_holders(snapshot: &Snapshot, chunk: usize, candidates: &[usize]) -> Holders {
    let usable = |p: &PeerState| p.holds[chunk] && !p.down && !p.quarantined;
    let peers = candidates.iter().map(|i| (*i, &snapshot.peers[*i]));
    let any = peers.clone().any(|(_, p)| usable(p));
    let available = peers.filter(|(_, p)| p.holds[chunk] && p.is_available());
    let key = chunk.to_le_bytes();
    let order = |(index, peer): &(usize, &PeerState)| {
        let name = &snapshot.plan.peers[*index].name;
        let tie_break =
            rendezvous::weight(&key, name) ^ rendezvous::weight(&key, snapshot.own_name);
        (peer.transfers, tie_break)
    };
    Holders {
        available: available.min_by_key(order).map(|(i, _)| i),
        any,
    }
}

/// Whether the own agent must fetch the chunk for its data centre: it ranks
/// first, or all agents ranked before it are down, or none of them has the chunk although it
/// is overdue, or no chunk has arrived for the takeover timeout times its rank.
fn is_responsible(snapshot: &Snapshot, chunk: usize, assignment: &Assignment) -> bool {
    let Some(rank) = assignment.rank else {
        return false;
    };
    let knows_predecessors = assignment.predecessors.len() == rank;
    let predecessors = assignment.predecessors.iter().map(|i| &snapshot.peers[*i]);
    if knows_predecessors && predecessors.clone().all(|p| p.down) {
        return true;
    }
    let is_fetched = predecessors.clone().any(|p| p.is_fetching(chunk));
    let is_overdue = snapshot
        .schedule
        .is_some_and(|s| s.is_overdue(chunk, rank, snapshot.stall_timeout));
    if assignment.home && knows_predecessors && is_overdue && !is_fetched {
        return true;
    }
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let factor = if is_fetched { FETCHING_FACTOR } else { 1 };
    snapshot.idle > takeover_timeout(snapshot).saturating_mul(rank.saturating_mul(factor))
}

/// Time without any new chunk after which the next agent takes over from one
/// that is reachable but makes no progress.
fn takeover_timeout(snapshot: &Snapshot) -> Duration {
    let chunk_time = Duration::from_secs_f64(f64::from(snapshot.chunk_size) / STUCK_RATE);
    let timeout = snapshot.stall_timeout * 3 + chunk_time;
    match snapshot.strategy {
        rollout::Strategy::Time => timeout,
        rollout::Strategy::OriginBytes => timeout * ORIGIN_BYTES_FACTOR,
    }
}

/// Outstanding chunks that the own data centre may fetch from the origin. The window
/// widens while nothing arrives, so that a chunk assigned to a dead agent does not block
/// the chunks after it.
fn origin_window(snapshot: &Snapshot) -> usize {
    let step = (snapshot.stall_timeout / 4).max(Duration::from_millis(1));
    let extra = snapshot.idle.as_millis() / step.as_millis();
    ORIGIN_WINDOW + usize::try_from(extra).unwrap_or(usize::MAX / 2)
}
