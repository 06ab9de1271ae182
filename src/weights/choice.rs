//! Choice of the next transfer, a pure function of what an agent knows.

use std::time::Duration;

use super::plan::{Duty, Plan};
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
pub struct Source {
    /// Chunks that it holds, in the order of the wanted chunks.
    pub holds: Vec<bool>,
    /// Whether it counts as dead or unreachable.
    pub down: bool,
    /// Whether it is avoided after faults.
    pub demoted: bool,
    /// Whether it refused recently because its upload slots were taken.
    pub busy: bool,
    /// Transfers from it in progress.
    pub transfers: usize,
}

impl Source {
    fn is_open(&self) -> bool {
        !self.down && !self.demoted && !self.busy && self.transfers < PER_PEER
    }
}

/// State of one wanted chunk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Chunk {
    /// To be fetched.
    #[default]
    Missing,
    /// Being fetched or staged.
    Moving,
    /// In the agent's cache but not in the engine.
    Cached,
    /// In the engine.
    Staged,
}

/// Everything that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Peers and duties.
    pub plan: &'a Plan,
    /// State of each peer, in the order of the plan.
    pub sources: &'a [Source],
    /// State of each wanted chunk.
    pub chunks: &'a [Chunk],
    /// Time since any new chunk was seen anywhere.
    pub idle: Duration,
    /// Progress deadline of a transfer.
    pub stall: Duration,
    /// Size of a chunk, bytes.
    pub chunk_size: u32,
    /// What the rollout saves first.
    pub strategy: rollout::Strategy,
    /// Whether the origin may be asked now.
    pub origin: bool,
    /// Chunks of the own data centre's part that the origin's link has had time to send.
    /// They are asked for even if no neighbour is known to have the ones before.
    pub due: usize,
    /// Name of the own VM, which breaks ties differently in each agent.
    pub own: &'a str,
}

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Supplier {
    /// The peer at this index.
    Peer(usize),
    /// The origin.
    Origin,
}

/// Next transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Next {
    /// Index of the chunk.
    pub chunk: usize,
    /// Its supplier.
    pub from: Supplier,
}

/// Chooses the next transfer: rarest chunk first, from the supplier with the
/// fewest transfers.
#[must_use]
pub fn next(situation: &Situation) -> Option<Next> {
    let mut best: Option<(usize, u64, Next)> = None;
    let mut unseen = 0;
    let mut homes = 0;
    for (chunk, state) in situation.chunks.iter().enumerate() {
        let holders = holders(situation, chunk);
        let ahead = if homes < situation.due { 0 } else { unseen };
        let absent = matches!(state, Chunk::Missing | Chunk::Moving);
        if situation.plan.duties[chunk].home {
            homes += 1;
            unseen += usize::from(holders == 0 && absent);
        }
        if *state != Chunk::Missing || best.is_some_and(|b| b.0 < holders) {
            continue;
        }
        let tie = rendezvous::weight(&chunk.to_le_bytes(), situation.own);
        if best.is_some_and(|b| (b.0, b.1) <= (holders, tie)) {
            continue;
        }
        if let Some(from) = supplier(situation, chunk, ahead) {
            best = Some((holders, tie, Next { chunk, from }));
        }
    }
    best.map(|b| b.2)
}

/// Known holders of a chunk among the neighbours.
fn holders(situation: &Situation, chunk: usize) -> usize {
    let neighbours = situation.plan.neighbours.iter();
    let holding = neighbours.filter(|i| situation.sources[**i].holds[chunk]);
    holding.count()
}

/// Supplier of a chunk now. `ahead` counts the chunks of the same home data
/// centre that precede this one and that nobody is known to have, unless this one is due.
fn supplier(situation: &Situation, chunk: usize, ahead: usize) -> Option<Supplier> {
    let near = find(situation, chunk, &situation.plan.neighbours);
    if near.held {
        return near.open.map(Supplier::Peer);
    }
    let duty = &situation.plan.duties[chunk];
    if !is_acting(situation, duty) {
        return None;
    }
    let origin = situation.origin.then_some(Supplier::Origin);
    if duty.home {
        return origin.filter(|_| ahead < origin_window(situation));
    }
    let far = find(situation, chunk, &duty.remote);
    if far.held {
        return far.open.map(Supplier::Peer);
    }
    let unreachable = duty.remote.iter().all(|i| situation.sources[*i].down);
    let late = situation.idle > patience(situation) * 2;
    origin.filter(|_| unreachable || late)
}

struct Found {
    /// Holder with the fewest transfers that can be asked now.
    open: Option<usize>,
    /// Whether a usable holder exists, even if it is busy now.
    held: bool,
}

fn find(situation: &Situation, chunk: usize, candidates: &[usize]) -> Found {
    let usable = |s: &Source| s.holds[chunk] && !s.down && !s.demoted;
    let sources = candidates.iter().map(|i| (*i, &situation.sources[*i]));
    let held = sources.clone().any(|(_, s)| usable(s));
    let open = sources.filter(|(_, s)| s.holds[chunk] && s.is_open());
    let key = chunk.to_le_bytes();
    let order = |(index, source): &(usize, &Source)| {
        let name = &situation.plan.peers[*index].name;
        let tie = rendezvous::weight(&key, name) ^ rendezvous::weight(&key, situation.own);
        (source.transfers, tie)
    };
    Found {
        open: open.min_by_key(order).map(|(i, _)| i),
        held,
    }
}

/// Whether the own agent must fetch the chunk for its data centre: it ranks
/// first, or all before it are down, or nothing has arrived for too long.
fn is_acting(situation: &Situation, duty: &Duty) -> bool {
    let Some(rank) = duty.rank else {
        return false;
    };
    let down = |i: &usize| situation.sources[*i].down;
    if duty.ahead.len() == rank && duty.ahead.iter().all(down) {
        return true;
    }
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    situation.idle > patience(situation).saturating_mul(rank)
}

/// Time without any new chunk after which the next agent takes over from one
/// that is reachable but does not advance.
fn patience(situation: &Situation) -> Duration {
    let chunk = Duration::from_secs_f64(f64::from(situation.chunk_size) / STUCK_RATE);
    let patience = situation.stall * 3 + chunk;
    match situation.strategy {
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
/// assert_eq!(choice::due(8.0, Duration::from_secs(1), 32_768, 2), 15);
/// ```
#[must_use]
pub fn due(mbps: f64, elapsed: Duration, chunk_size: u32, centers: usize) -> usize {
    let sent = elapsed.as_secs_f64() * mbps * 1e6 / 8.0;
    let chunks = sent / f64::from(chunk_size.max(1));
    // Far below the largest integer, and only whole chunks count.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = chunks.max(0.0) as usize;
    whole / centers.max(1)
}

/// The window widens while nothing arrives, so that a dead agent's chunk does
/// not hold up the ones after it.
fn origin_window(situation: &Situation) -> usize {
    let step = (situation.stall / 4).max(Duration::from_millis(1));
    let wider = situation.idle.as_millis() / step.as_millis();
    ORIGIN_WINDOW + usize::try_from(wider).unwrap_or(usize::MAX / 2)
}
