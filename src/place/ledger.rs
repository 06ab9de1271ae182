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
/// Part of the objective that a request may spend in the target's queue; the rest is
/// for reading the prompt and the network.
const QUEUE_SHARE: f64 = 0.3;
/// Additional queue of the most urgent requests, places for each rank.
const RANK_PLACES: u32 = 1;
/// Ranks that differ in their queue.
const RANKS: u8 = 1;
/// Weight of a new observation in the mean time that a place is held.
const HOLD_WEIGHT: f64 = 0.05;

/// Identifies a grant: the gateway that asked and its number for the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// Gateway, as the number of its incarnation.
    pub gateway: u64,
    /// Number of the request at its gateway.
    pub request: u64,
}

/// A request that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which its first event is due.
    pub objective: Duration,
}

/// Answer to a request that asks for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent now.
    Granted,
    /// There is no place; one is expected to be free after the given time.
    Full(Duration),
    /// The target takes nothing now.
    Closed,
}

/// Places of a target and who holds them.
#[derive(Clone, Debug)]
pub struct Ledger {
    slots: u32,
    /// Mean time that a request holds a slot, seconds.
    hold: f64,
    grants: Vec<Grant>,
    /// Requests at the target by its own report.
    reported: u32,
    is_open: bool,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    ticket: Ticket,
    since: Instant,
}

impl Ledger {
    /// Empty ledger of a target with `slots` places, each held for `hold` on average.
    #[must_use]
    pub fn new(slots: u32, hold: Duration) -> Self {
        Self {
            slots,
            hold: hold.as_secs_f64(),
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

    /// Places that a request of the lowest rank and this objective still finds.
    #[must_use]
    pub fn free(&self, objective: Duration) -> u32 {
        if !self.is_open {
            return 0;
        }
        let room = self.slots + self.queue(objective);
        room.saturating_sub(self.active())
    }

    /// Places behind the running requests from which one starts within its objective.
    fn queue(&self, objective: Duration) -> u32 {
        let turnover = self.hold / f64::from(self.slots.max(1));
        let wait = objective.as_secs_f64() * QUEUE_SHARE;
        let places = (wait / turnover.max(1e-6)).floor();
        // Truncation is harmless: the value lies between 1 and the number of slots.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let places = places.clamp(1.0, f64::from(self.slots.max(1))) as u32;
        places
    }

    /// Decides on a request. A repeated ask gets the same answer.
    pub fn ask(&mut self, ask: &Ask, now: Instant) -> Verdict {
        if !self.is_open {
            return Verdict::Closed;
        }
        if self.find(ask.ticket).is_ok() {
            return Verdict::Granted;
        }
        let rank = RANKS.saturating_sub(ask.priority);
        let extra = RANK_PLACES * u32::from(rank);
        let room = self.slots + self.queue(ask.objective) + extra;
        if self.active() >= room {
            return Verdict::Full(self.next_free());
        }
        if let Err(at) = self.find(ask.ticket) {
            let grant = Grant {
                ticket: ask.ticket,
                since: now,
            };
            self.grants.insert(at, grant);
        }
        Verdict::Granted
    }

    /// Time until the next place is expected to be free.
    #[must_use]
    pub fn next_free(&self) -> Duration {
        Duration::from_secs_f64(self.hold / f64::from(self.slots.max(1)))
    }

    /// Frees the place of a request that has ended.
    pub fn done(&mut self, ticket: Ticket, now: Instant) {
        let Ok(at) = self.find(ticket) else { return };
        let grant = self.grants.remove(at);
        let held = now.saturating_duration_since(grant.since).as_secs_f64();
        self.hold += (held - self.hold) * HOLD_WEIGHT;
        self.reported = self.reported.saturating_sub(1);
    }

    /// Takes the target's own count over. Grants whose requests never arrived or whose
    /// end was not heard of are dropped.
    pub fn observe(&mut self, at_target: u32, now: Instant) {
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
            if let Ok(at) = self.find(grant.ticket) {
                self.grants.remove(at);
            }
        }
    }

    /// Forgets all grants, because the target lost its requests.
    pub fn reset(&mut self) {
        self.grants.clear();
        self.reported = 0;
    }

    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.grants.binary_search_by(|g| g.ticket.cmp(&ticket))
    }
}
