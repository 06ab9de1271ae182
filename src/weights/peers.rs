//! What an agent knows of its peers: chunks, reachability, faults.

use std::time::{Duration, Instant};

use super::choice::PeerState;
use super::plan::Plan;
use super::transfer::Failure;

/// First and longest time that a peer is avoided after it sent wrong bytes.
const CORRUPT: Duration = Duration::from_secs(60);
const MAX_CORRUPT: Duration = Duration::from_secs(3600);
/// First and longest time that a peer is avoided after a broken or stalled transfer.
const BROKEN: Duration = Duration::from_millis(500);
const MAX_BROKEN: Duration = Duration::from_secs(10);
/// Time that a peer without a free upload slot is not asked again.
const BUSY: Duration = Duration::from_millis(25);
/// Most doublings of a time.
const MAX_DOUBLINGS: u32 = 10;

#[derive(Clone, Debug, Default)]
struct Mark {
    name: String,
    lost: Option<Instant>,
    demoted: Option<Instant>,
    busy: Option<Instant>,
    failures: u32,
    corruptions: u32,
}

/// State of all peers, in the order of the plan.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    marks: Vec<Mark>,
    states: Vec<PeerState>,
}

impl Peers {
    /// State of each peer as the choice of transfers sees it.
    #[must_use]
    pub fn states(&self) -> &[PeerState] {
        &self.states
    }

    /// Index of a peer.
    #[must_use]
    pub fn position(&self, name: &str) -> Option<usize> {
        let found = self.marks.binary_search_by(|m| m.name.as_str().cmp(name));
        found.ok()
    }

    /// Adopts a new plan for `chunks` chunks. Peers that stay keep their
    /// faults, and what they hold unless the wanted chunks changed (`reset`).
    pub fn set_plan(&mut self, plan: &Plan, chunks: usize, reset: bool) {
        let mut next = Self::default();
        for peer in &plan.peers {
            let known = self.position(&peer.name);
            let mark = known.map(|i| self.marks[i].clone());
            let source = known.map(|i| self.states[i].clone());
            let mut source = source.unwrap_or_default();
            if reset || source.holds.len() != chunks {
                source.holds = vec![false; chunks];
            }
            next.marks.push(mark.unwrap_or_else(|| Mark {
                name: peer.name.clone(),
                ..Mark::default()
            }));
            next.states.push(source);
        }
        *self = next;
    }

    /// Notes that a peer is being connected to; it counts as lost until it answers.
    pub fn mark_connecting(&mut self, index: usize, now: Instant) {
        self.marks[index].lost.get_or_insert(now);
    }

    /// Notes chunks of a peer; true if any of them is new.
    pub fn add_chunks(&mut self, index: usize, chunks: impl Iterator<Item = usize>) -> bool {
        self.marks[index].lost = None;
        let holds = &mut self.states[index].holds;
        let mut any = false;
        for chunk in chunks {
            if let Some(held) = holds.get_mut(chunk) {
                any |= !*held;
                *held = true;
            }
        }
        any
    }

    /// Notes that a peer can't be reached.
    pub fn mark_lost(&mut self, index: usize, now: Instant) {
        self.marks[index].lost.get_or_insert(now);
        self.states[index].holds.fill(false);
    }

    /// Notes that a transfer from a peer began.
    pub fn transfer_started(&mut self, index: usize) {
        self.states[index].transfers += 1;
    }

    /// Notes that a transfer from a peer ended, one way or the other.
    pub fn transfer_ended(&mut self, index: usize) {
        let transfers = &mut self.states[index].transfers;
        *transfers = transfers.saturating_sub(1);
    }

    /// Notes a complete transfer.
    pub fn transfer_succeeded(&mut self, index: usize) {
        self.marks[index].failures = 0;
    }

    /// Notes a failed transfer of `chunk`.
    pub fn transfer_failed(&mut self, index: usize, chunk: usize, failure: &Failure, now: Instant) {
        let mark = &mut self.marks[index];
        match failure {
            Failure::Busy => mark.busy = Some(now + BUSY),
            Failure::NotFound => {
                if let Some(held) = self.states[index].holds.get_mut(chunk) {
                    *held = false;
                }
            }
            Failure::Corrupt { .. } => {
                let time = backoff(CORRUPT, mark.corruptions, MAX_CORRUPT);
                mark.corruptions += 1;
                mark.demoted = mark.demoted.max(Some(now + time));
            }
            Failure::Stalled { .. } | Failure::Call { .. } => {
                let time = backoff(BROKEN, mark.failures, MAX_BROKEN);
                mark.failures += 1;
                mark.demoted = mark.demoted.max(Some(now + time));
            }
            Failure::Engine { .. } => {}
        }
    }

    /// Brings the states up to `now`. A peer counts as down when it has been
    /// lost for `grace`, so that a restart of its process changes no duties.
    pub fn refresh(&mut self, now: Instant, grace: Duration) {
        for (mark, source) in self.marks.iter_mut().zip(&mut self.states) {
            mark.demoted = mark.demoted.filter(|until| *until > now);
            mark.busy = mark.busy.filter(|until| *until > now);
            source.down = mark.lost.is_some_and(|since| now - since >= grace);
            source.quarantined = mark.demoted.is_some() || mark.lost.is_some();
            source.busy = mark.busy.is_some();
        }
    }
}

/// `first`, doubled `times` times, at most `longest`.
#[must_use]
pub fn backoff(first: Duration, times: u32, longest: Duration) -> Duration {
    let factor = 2_u32.pow(times.min(MAX_DOUBLINGS));
    first.saturating_mul(factor).min(longest)
}
