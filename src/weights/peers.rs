//! What an agent knows of its peers: held chunks, reachability, faults.

use std::time::{Duration, Instant};

use super::choice::PeerState;
use super::plan::Plan;
use super::transfer::Failure;

/// First and longest quarantine of a peer that sent corrupt data.
const CORRUPT_QUARANTINE: Duration = Duration::from_secs(60);
const MAX_CORRUPT_QUARANTINE: Duration = Duration::from_secs(3600);
/// First and longest quarantine of a peer after a failed or stalled transfer.
const FAILURE_QUARANTINE: Duration = Duration::from_millis(500);
const MAX_FAILURE_QUARANTINE: Duration = Duration::from_secs(10);
/// Time during which a peer without a free upload slot is not asked again.
const BUSY_BACKOFF: Duration = Duration::from_millis(25);
/// Limit of the exponent in [`backoff`].
const MAX_DOUBLINGS: u32 = 10;

/// Connection and fault history of one peer.
#[derive(Clone, Debug, Default)]
struct Record {
    name: String,
    lost_since: Option<Instant>,
    quarantined_until: Option<Instant>,
    busy_until: Option<Instant>,
    /// Failed and stalled transfers since the last complete one.
    failures: u32,
    /// Corrupt transfers so far.
    corruptions: u32,
}

/// State of all peers, in the order of the plan.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    records: Vec<Record>,
    states: Vec<PeerState>,
}

impl Peers {
    /// State of each peer for [`choice::next_transfer`](super::choice::next_transfer).
    #[must_use]
    pub fn states(&self) -> &[PeerState] {
        &self.states
    }

    /// Index of the peer `name`; `None` if the plan lacks it.
    #[must_use]
    pub fn position(&self, name: &str) -> Option<usize> {
        let found = self.records.binary_search_by(|r| r.name.as_str().cmp(name));
        found.ok()
    }

    /// Replaces the plan; `chunks` is the number of wanted chunks. Peers that remain keep
    /// their fault history, and their held chunks unless the wanted chunks changed (`reset`).
    pub fn set_plan(&mut self, plan: &Plan, chunks: usize, reset: bool) {
        let mut next = Self::default();
        for peer in &plan.peers {
            let known = self.position(&peer.name);
            let record = known.map(|i| self.records[i].clone());
            let state = known.map(|i| self.states[i].clone());
            let mut state = state.unwrap_or_default();
            if reset || state.holds.len() != chunks {
                state.holds = vec![false; chunks];
                state.fetches.clear();
            }
            next.records.push(record.unwrap_or_else(|| Record {
                name: peer.name.clone(),
                ..Record::default()
            }));
            next.states.push(state);
        }
        *self = next;
    }

    /// Records that a connection to a peer is being opened; the peer counts as lost until it
    /// answers.
    pub fn mark_connecting(&mut self, index: usize, now: Instant) {
        self.records[index].lost_since.get_or_insert(now);
    }

    /// Records chunks that a peer holds; true if any of them is new.
    pub fn add_chunks(&mut self, index: usize, chunks: impl Iterator<Item = usize>) -> bool {
        self.records[index].lost_since = None;
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

    /// Records which chunks a peer is fetching from the origin.
    pub fn set_fetches(&mut self, index: usize, fetches: Vec<bool>) {
        self.states[index].fetches = fetches;
    }

    /// Records that a peer can't be reached and forgets its held chunks.
    pub fn mark_lost(&mut self, index: usize, now: Instant) {
        self.records[index].lost_since.get_or_insert(now);
        self.states[index].holds.fill(false);
        self.states[index].fetches.clear();
    }

    /// Records the start of a transfer from a peer.
    pub fn transfer_started(&mut self, index: usize) {
        self.states[index].transfers += 1;
    }

    /// Records the end of a transfer from a peer, complete or failed.
    pub fn transfer_ended(&mut self, index: usize) {
        let transfers = &mut self.states[index].transfers;
        *transfers = transfers.saturating_sub(1);
    }

    /// Records a complete transfer.
    pub fn transfer_succeeded(&mut self, index: usize) {
        self.records[index].failures = 0;
    }

    /// Records a failed transfer of `chunk`: the peer is quarantined, treated as busy, or
    /// taken not to hold the chunk.
    pub fn transfer_failed(&mut self, index: usize, chunk: usize, failure: &Failure, now: Instant) {
        let record = &mut self.records[index];
        match failure {
            Failure::Busy => record.busy_until = Some(now + BUSY_BACKOFF),
            Failure::NotFound => {
                if let Some(held) = self.states[index].holds.get_mut(chunk) {
                    *held = false;
                }
            }
            Failure::Corrupt { .. } => {
                let time = backoff(
                    CORRUPT_QUARANTINE,
                    record.corruptions,
                    MAX_CORRUPT_QUARANTINE,
                );
                record.corruptions += 1;
                record.quarantined_until = record.quarantined_until.max(Some(now + time));
            }
            Failure::Stalled { .. } | Failure::Call { .. } => {
                let time = backoff(FAILURE_QUARANTINE, record.failures, MAX_FAILURE_QUARANTINE);
                record.failures += 1;
                record.quarantined_until = record.quarantined_until.max(Some(now + time));
            }
            Failure::Engine { .. } => {}
        }
    }

    /// Updates all states to `now`. A peer counts as down only after it has been lost for
    /// `grace`, so that no other agent takes over while its process restarts.
    pub fn refresh(&mut self, now: Instant, grace: Duration) {
        for (record, state) in self.records.iter_mut().zip(&mut self.states) {
            record.quarantined_until = record.quarantined_until.filter(|until| *until > now);
            record.busy_until = record.busy_until.filter(|until| *until > now);
            state.down = record.lost_since.is_some_and(|since| now - since >= grace);
            state.quarantined = record.quarantined_until.is_some() || record.lost_since.is_some();
            state.busy = record.busy_until.is_some();
        }
    }
}

/// Exponential backoff: `first`, doubled for each of `failures`, at most `longest`.
#[must_use]
pub fn backoff(first: Duration, failures: u32, longest: Duration) -> Duration {
    let factor = 2_u32.pow(failures.min(MAX_DOUBLINGS));
    first.saturating_mul(factor).min(longest)
}
