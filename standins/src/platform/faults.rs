//! Faults and call counters of the platform stand-in.

use std::net::IpAddr;
use std::time::Instant;

use corianderramp::resource::Kind;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Faults in effect. `POST /faults` replaces all of them; a field that is left
/// out gets its default, which is "no fault".
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All calls get 503 and open watches are closed.
    pub outage: bool,
    /// Source addresses whose calls get 503 and whose watches are closed, as
    /// behind a partition.
    pub cut: Vec<IpAddr>,
    /// Time that each call waits before it is carried out, milliseconds.
    pub delay_ms: u64,
    /// Share of writes, 0 to 1, that take effect but whose connection is
    /// closed without an answer.
    pub lost_share: f64,
    /// Seed of the choice of lost answers.
    pub seed: u64,
    /// Reads per second above which calls get 429; 0 for no limit.
    pub read_rate: f64,
    /// Writes per second above which calls get 429; 0 for no limit.
    pub write_rate: f64,
}

/// Calls since the start, refused ones included.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Calls {
    /// Reads of one object.
    pub get: u64,
    /// Lists.
    pub list: u64,
    /// Writes, without deletions.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches; one call when opened, however long it stays open.
    pub watch: u64,
    /// Calls answered with 409.
    pub conflicts: u64,
    /// Calls answered with 429 or 503.
    pub refused: u64,
    /// Writes that took effect but got no answer.
    pub lost: u64,
    /// Calls by kind, in the order of kinds; watches are left out.
    pub kinds: Vec<KindCalls>,
}

/// Calls for one kind of object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KindCalls {
    /// Kind.
    pub kind: Kind,
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletions.
    pub writes: u64,
}

impl Calls {
    /// All calls together.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.get + self.list + self.put + self.delete + self.watch
    }

    /// Calls for `kind`.
    #[must_use]
    pub fn of(&self, kind: Kind) -> KindCalls {
        let none = KindCalls {
            kind,
            reads: 0,
            writes: 0,
        };
        let found = self.kinds.iter().find(|k| k.kind == kind);
        found.cloned().unwrap_or(none)
    }

    pub(super) fn of_mut(&mut self, kind: Kind) -> &mut KindCalls {
        let place = self.kinds.binary_search_by_key(&kind, |k| k.kind);
        let i = place.unwrap_or_else(|i| {
            let none = KindCalls {
                kind,
                reads: 0,
                writes: 0,
            };
            self.kinds.insert(i, none);
            i
        });
        &mut self.kinds[i]
    }
}

/// Token bucket with a burst of one second.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Limit {
    pub(super) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            filled: Instant::now(),
        }
    }

    /// Whether a call may pass; 0 stands for no limit.
    pub(super) fn admit(&mut self) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let passed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Faults with the state that they need.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) faults: Faults,
    pub(super) reads: Limit,
    pub(super) writes: Limit,
    random: StdRng,
}

impl Active {
    pub(super) fn new(faults: Faults) -> Self {
        Self {
            reads: Limit::new(faults.read_rate),
            writes: Limit::new(faults.write_rate),
            random: StdRng::seed_from_u64(faults.seed),
            faults,
        }
    }

    pub(super) fn is_cut(&self, source: IpAddr) -> bool {
        self.faults.outage || self.faults.cut.contains(&source)
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        let share = self.faults.lost_share.clamp(0.0, 1.0);
        share > 0.0 && self.random.random_bool(share)
    }
}
