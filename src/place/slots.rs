//! Places of one target, granted to the gateways that share it.
//!
//! Load pattern: a dozen gateways with uneven shares of the callers offer more requests
//! than one target runs. Each sees only its own requests, so counting on its own it
//! either overfills the target, and requests wait past their objective, or leaves places
//! empty. One ledger beside the target counts what all of them have sent.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time within which a granted request reaches its target or is given up.
const ARRIVAL: Duration = Duration::from_millis(500);
/// Longest time that a grant counts without a sign of its request.
const LIFETIME: Duration = Duration::from_secs(12);
/// Part of the objective that a request may wait before its own prompt is read; the rest
/// is for its prompt, its first tokens and the network.
const WAIT_SHARE: f64 = 0.4;
/// Wait up to which a target counts as prompt, so that no other one needs to be asked.
const PROMPT_WAIT: Duration = Duration::from_millis(30);
/// Share of the engine's reading rate that is left beside the tokens of other requests.
const READING_SHARE: f64 = 0.65;
/// Ranks above the usual one; for each of them a request may wait for one more slot.
const RANKS: u8 = 1;
/// Weight of a new observation in the mean time that a place is held.
const HOLD_WEIGHT: f64 = 0.05;

/// Identifies a grant: the gateway that asked and its number for the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// Gateway, as the number of its incarnation.
    pub gateway: u64,
    /// Number of the request at its gateway.
    pub request: u64,
}

/// A request that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Identifies the request.
    pub id: GrantId,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which its first event is due.
    pub objective: Duration,
    /// Length of its prompt, tokens.
    pub prompt: u32,
    /// Whether it is placed only where it hardly waits; other targets are asked next.
    pub is_immediate: bool,
}

/// Answer to a request that asks for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may be sent now.
    Granted,
    /// The request would wait about the given time, which is too long.
    Full(Duration),
    /// The target takes nothing now.
    Closed,
}

/// Places of a target and who holds them.
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: u32,
    /// Mean time that a request holds a slot, seconds.
    hold: f64,
    /// Prompt tokens that are read in a second.
    reading: f64,
    /// When the prompts that were granted so far are read.
    read: Option<Instant>,
    grants: Vec<Grant>,
    /// Requests at the target by its own report.
    reported: u32,
    is_open: bool,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    id: GrantId,
    since: Instant,
}

impl SlotTable {
    /// Empty ledger of a target with `slots` places, each held for `hold` on average,
    /// that reads `prefill` prompt tokens in a second.
    #[must_use]
    pub fn new(slots: u32, hold: Duration, prefill: f64) -> Self {
        Self {
            slots,
            hold: hold.as_secs_f64(),
            reading: (prefill * READING_SHARE).max(1.0),
            read: None,
            grants: Vec::new(),
            reported: 0,
            is_open: false,
        }
    }

    /// Takes over the size of the target.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Opens or closes the target for new requests.
    pub fn set_open(&mut self, is_open: bool) {
        self.is_open = is_open;
    }

    /// Whether the target takes requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Requests that the target has or is about to get.
    #[must_use]
    pub fn active(&self) -> u32 {
        let granted = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        granted.max(self.reported)
    }

    /// Slots that nobody holds.
    #[must_use]
    pub fn free(&self) -> u32 {
        if self.is_open {
            self.slots.saturating_sub(self.active())
        } else {
            0
        }
    }

    /// Time that a request granted now waits until its prompt is read: for a slot and for
    /// the prompts before it.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let ahead = (self.active() + 1).saturating_sub(self.slots);
        let slot = self.turnover().mul_f64(f64::from(ahead));
        let read = self.read.map(|at| at.saturating_duration_since(now));
        slot.max(read.unwrap_or_default())
    }

    /// Mean time between two ends of requests at a full target.
    fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.hold / f64::from(self.slots.max(1)))
    }

    /// Decides on a request. A repeated ask gets the same answer.
    pub fn request(&mut self, ask: &SlotRequest, now: Instant) -> Decision {
        if !self.is_open {
            return Decision::Closed;
        }
        if self.find(ask.id).is_ok() {
            return Decision::Granted;
        }
        let wait = self.expected_wait(now);
        let limit = if ask.is_immediate {
            PROMPT_WAIT
        } else {
            let rank = RANKS.saturating_sub(ask.priority);
            ask.objective.mul_f64(WAIT_SHARE) + self.turnover() * u32::from(rank)
        };
        if wait > limit {
            return Decision::Full(wait);
        }
        let takes = Duration::from_secs_f64(f64::from(ask.prompt) / self.reading);
        self.read = Some(self.read.map_or(now, |at| at.max(now)) + takes);
        if let Err(at) = self.find(ask.id) {
            let grant = Grant {
                id: ask.id,
                since: now,
            };
            self.grants.insert(at, grant);
        }
        Decision::Granted
    }

    /// Frees the place of a request that has ended.
    pub fn release(&mut self, id: GrantId, now: Instant) {
        let Ok(at) = self.find(id) else { return };
        let grant = self.grants.remove(at);
        let held = now.saturating_duration_since(grant.since).as_secs_f64();
        self.hold += (held - self.hold) * HOLD_WEIGHT;
        self.reported = self.reported.saturating_sub(1);
    }

    /// Takes the target's own count over. Grants whose requests never arrived or whose
    /// end was not heard of are dropped.
    pub fn reconcile(&mut self, at_target: u32, now: Instant) {
        self.reported = at_target;
        self.grants
            .retain(|g| now.saturating_duration_since(g.since) < LIFETIME);
        let age = |g: &Grant| now.saturating_duration_since(g.since);
        let arrived = self.grants.iter().filter(|g| age(g) >= ARRIVAL).count();
        let excess = arrived.saturating_sub(at_target as usize);
        if excess == 0 {
            return;
        }
        let mut old: Vec<Grant> = self.grants.clone();
        old.retain(|g| age(g) >= ARRIVAL);
        old.sort_by_key(|g| g.since);
        for grant in &old[..excess] {
            if let Ok(at) = self.find(grant.id) {
                self.grants.remove(at);
            }
        }
    }

    /// Forgets all grants, because the target lost its requests.
    pub fn reset(&mut self) {
        self.grants.clear();
        self.reported = 0;
    }

    fn find(&self, id: GrantId) -> Result<usize, usize> {
        self.grants.binary_search_by(|g| g.id.cmp(&id))
    }
}
