//! Quarantine of requests that were in flight when a target died.

use std::time::{Duration, Instant};

use crate::digest::Digest;

/// Time in quarantine after the last death.
const QUARANTINE_TIME: Duration = Duration::from_secs(10 * 60);
/// Number of deaths from which a request may be blocked.
const MIN_DEATHS: usize = 2;
/// Total weight from which a request with [`MIN_DEATHS`] deaths is blocked,
/// thousandths. A request that was the only one on the target when it died gets
/// this weight at once; one of several in flight with the culprit does not.
const BLOCK_WEIGHT: u32 = 1000;
/// Maximum number of quarantined requests, about 200 bytes each; the oldest are
/// removed first.
const MAX_REQUESTS: usize = 10_000;

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It is not in quarantine.
    Clear,
    /// It must be the only request running on its target.
    Exclusive,
    /// It is refused.
    Blocked,
}

/// A request that was in flight when a target died.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Thousandths: 1000 divided by the number of requests in flight at the
    /// target.
    pub weight: u32,
    /// Id of the death.
    pub death: String,
}

#[derive(Debug)]
struct QuarantinedRequest {
    fingerprint: Digest,
    weight: u32,
    deaths: Vec<String>,
    last_death: Instant,
}

/// Quarantined requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    requests: Vec<QuarantinedRequest>,
}

impl Quarantine {
    /// Quarantines a request, or adds to its weight; the same death counts
    /// once.
    pub fn add(&mut self, suspect: Suspect, now: Instant) {
        match self.find(&suspect.fingerprint) {
            Ok(i) => {
                let known = &mut self.requests[i];
                if known.deaths.contains(&suspect.death) {
                    return;
                }
                known.weight = known.weight.saturating_add(suspect.weight);
                known.deaths.push(suspect.death);
                known.last_death = now;
            }
            Err(i) => {
                let new = QuarantinedRequest {
                    fingerprint: suspect.fingerprint,
                    weight: suspect.weight,
                    deaths: vec![suspect.death],
                    last_death: now,
                };
                self.requests.insert(i, new);
                self.trim(now);
            }
        }
    }

    /// Returns how the request with this fingerprint may run.
    #[must_use]
    pub fn status(&self, fingerprint: &Digest, now: Instant) -> Status {
        let Ok(i) = self.find(fingerprint) else {
            return Status::Clear;
        };
        let known = &self.requests[i];
        if now.saturating_duration_since(known.last_death) >= QUARANTINE_TIME {
            Status::Clear
        } else if known.deaths.len() >= MIN_DEATHS && known.weight >= BLOCK_WEIGHT {
            Status::Blocked
        } else {
            Status::Exclusive
        }
    }

    /// Removes a request after it ran exclusively to its end.
    pub fn release(&mut self, fingerprint: &Digest) {
        if let Ok(i) = self.find(fingerprint) {
            self.requests.remove(i);
        }
    }

    fn find(&self, fingerprint: &Digest) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(fingerprint, |r| r.fingerprint)
    }

    fn trim(&mut self, now: Instant) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        self.requests
            .retain(|r| now.saturating_duration_since(r.last_death) < QUARANTINE_TIME);
        let oldest = self.requests.iter().map(|r| r.last_death).min();
        if self.requests.len() > MAX_REQUESTS {
            self.requests.retain(|r| Some(r.last_death) != oldest);
        }
    }
}
