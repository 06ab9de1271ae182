//! Tells the death of a target from a connection that broke for another reason.
//!
//! Load pattern: a request comes again and again at all gateways and crashes each target of a
//! plain service that runs it; the targets are back within seconds, mostly under a new id. No
//! host runs beside them, so a gateway whose connection broke must find out itself whether the
//! target died. Targets also reset connections, send malformed responses, stall, are cut off or
//! leave as planned, and then the requests in progress are not to blame.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::fleet::catalog::Catalog;
use crate::fleet::{Phase, Target};

/// Refused connections in a row after which a target counts as dead. An overloaded target may
/// refuse one.
const MIN_REFUSALS: u32 = 2;
/// Maximum number of targets about which a gateway inquires at a time.
const MAX_INQUIRIES: usize = 64;
/// Maximum number of parts of a death, which must fit into a datagram.
pub const MAX_PARTS: usize = 128;

/// Time from a target's start to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lifetime {
    id: String,
    address: SocketAddr,
    started: u64,
}

impl Lifetime {
    /// Current lifetime of a registered target.
    #[must_use]
    pub fn new(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            address: target.address,
            started: target.started,
        }
    }

    /// Current lifetime of a registered target; `None` if it is leaving, so that its end is
    /// planned.
    #[must_use]
    pub fn of(target: &Target) -> Option<Self> {
        (target.phase == Phase::Ready).then(|| Self::new(target))
    }

    /// Address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hash that is the same at all gateways.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.id.as_bytes());
        hasher.update(self.address.to_string().as_bytes());
        hasher.update(&self.started.to_le_bytes());
        hasher.digest()
    }

    /// Returns whether a later lifetime is registered under the id or at the address.
    #[must_use]
    pub fn has_successor(&self, catalog: &Catalog) -> bool {
        let mut targets = catalog.targets.iter().map(|t| &t.value);
        targets.any(|t| (t.id == self.id || t.address == self.address) && t.started > self.started)
    }
}

/// What a new connection to a target showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// No process listens at the address.
    Refused,
    /// The connection was accepted, perhaps by a later lifetime.
    Accepted,
    /// No reply: the target may be slow or cut off.
    Silent,
}

/// What is known of a target whose connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target died.
    Dead,
    /// It must be probed again.
    Unsure,
    /// It is not known to be dead unless a later lifetime appears.
    Alive,
}

/// Finds out whether a target died.
///
/// ```
/// use corianderramp::place::death::{Inquiry, Probe, Verdict};
///
/// let mut inquiry = Inquiry::default();
/// assert_eq!(inquiry.record(Probe::Refused), Verdict::Unsure);
/// assert_eq!(inquiry.record(Probe::Refused), Verdict::Dead);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Inquiry {
    refusals: u32,
}

impl Inquiry {
    /// Records the result of a probe.
    pub fn record(&mut self, probe: Probe) -> Verdict {
        if probe != Probe::Refused {
            return Verdict::Alive;
        }
        self.refusals += 1;
        if self.refusals < MIN_REFUSALS {
            Verdict::Unsure
        } else {
            Verdict::Dead
        }
    }
}

/// Inquiries in progress, one per target, with the parts of the requests that broke there.
#[derive(Clone, Debug, Default)]
pub struct Inquiries {
    open: Vec<(Lifetime, Vec<u64>)>,
}

impl Inquiries {
    /// Adds the parts of a request that broke during `lifetime`. Returns whether the caller
    /// must begin an inquiry.
    pub fn add(&mut self, lifetime: &Lifetime, parts: &[u64]) -> bool {
        if let Some((_, known)) = self.open.iter_mut().find(|(l, _)| l == lifetime) {
            for part in parts {
                if known.len() < MAX_PARTS && !known.contains(part) {
                    known.push(*part);
                }
            }
            return false;
        }
        if self.open.len() >= MAX_INQUIRIES {
            return false;
        }
        let parts = parts.iter().take(MAX_PARTS).copied().collect();
        self.open.push((lifetime.clone(), parts));
        true
    }

    /// Ends the inquiry into `lifetime`; returns the parts that broke there.
    pub fn end(&mut self, lifetime: &Lifetime) -> Vec<u64> {
        let found = self.open.iter().position(|(l, _)| l == lifetime);
        found.map_or_else(Vec::new, |i| self.open.swap_remove(i).1)
    }
}
