//! Requests that were in flight when targets died.

use std::time::{Duration, Instant};

use crate::digest::Digest;

/// Time that a suspicion lasts after the last death.
const LIFETIME: Duration = Duration::from_secs(10 * 60);
/// Deaths after which a request may be refused.
const DEATHS: usize = 2;
/// Weight above which a request with enough deaths is refused, thousandths.
/// A request that was alone on a target when it died reaches it at once; one
/// of many beside the guilty request does not.
const REFUSED_WEIGHT: u32 = 1000;
/// Suspicions kept, newest first to stay; each takes about 200 bytes.
const MAX_KEPT: usize = 10_000;

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It runs alone on a target.
    Alone,
    /// It is refused.
    Refused,
}

/// One fingerprint's part in a death.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Thousandths: 1000 divided by the requests in flight at the target.
    pub weight: u32,
    /// Identifies the death.
    pub death: String,
}

#[derive(Debug)]
struct Suspicion {
    fingerprint: Digest,
    weight: u32,
    deaths: Vec<String>,
    at: Instant,
}

/// Suspicions by fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Sorted by fingerprint.
    kept: Vec<Suspicion>,
}

impl Suspects {
    /// Adds a charge; the same death counts once.
    pub fn charge(&mut self, charge: Charge, now: Instant) {
        match self.find(&charge.fingerprint) {
            Ok(i) => {
                let known = &mut self.kept[i];
                if known.deaths.contains(&charge.death) {
                    return;
                }
                known.weight = known.weight.saturating_add(charge.weight);
                known.deaths.push(charge.death);
                known.at = now;
            }
            Err(i) => {
                let new = Suspicion {
                    fingerprint: charge.fingerprint,
                    weight: charge.weight,
                    deaths: vec![charge.death],
                    at: now,
                };
                self.kept.insert(i, new);
                self.trim(now);
            }
        }
    }

    /// What to do with the request with this fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: &Digest, now: Instant) -> Verdict {
        let Ok(i) = self.find(fingerprint) else {
            return Verdict::Clear;
        };
        let known = &self.kept[i];
        if now.saturating_duration_since(known.at) >= LIFETIME {
            Verdict::Clear
        } else if known.deaths.len() >= DEATHS && known.weight >= REFUSED_WEIGHT {
            Verdict::Refused
        } else {
            Verdict::Alone
        }
    }

    /// The request ran alone to its end.
    pub fn acquit(&mut self, fingerprint: &Digest) {
        if let Ok(i) = self.find(fingerprint) {
            self.kept.remove(i);
        }
    }

    fn find(&self, fingerprint: &Digest) -> Result<usize, usize> {
        self.kept
            .binary_search_by_key(fingerprint, |s| s.fingerprint)
    }

    fn trim(&mut self, now: Instant) {
        if self.kept.len() <= MAX_KEPT {
            return;
        }
        self.kept
            .retain(|s| now.saturating_duration_since(s.at) < LIFETIME);
        let oldest = self.kept.iter().map(|s| s.at).min();
        if self.kept.len() > MAX_KEPT {
            self.kept.retain(|s| Some(s.at) != oldest);
        }
    }
}
