//! Decides which prompt parts are refused because they crash targets.
//!
//! Load pattern: each target that begins to answer a request with a certain prompt part
//! crashes, within a second of the first one a dozen targets. The requests differ in all other
//! parts and come at all gateways, beside sound ones with the same first part and account.
//! The sound requests in progress at a crashed target are under the same suspicion, but their
//! parts have been in answers that ended well; a crashing part never has.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

/// Deaths of targets, one after the other, after which a part is refused.
const MIN_SPACED_DEATHS: usize = 3;
/// Deaths of targets, also at the same moment, after which a part is refused.
const MIN_DEATHS: usize = 5;
/// Time between two deaths that happened one after the other. Targets that die at the same
/// moment often have a common cause other than their requests.
const DEATH_SPACING: Duration = Duration::from_millis(150);
/// Time for which a part is refused after the last death.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(10 * 60);
/// Time for which a part counts as sound after an answer that ended well.
const SOUND_TIME: Duration = Duration::from_secs(60);
/// Maximum number of sound parts that are remembered, 32 bytes each.
const MAX_SOUND: usize = 4_096;
/// Maximum number of suspected parts; those with the fewest deaths are dropped first.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of deaths that are remembered for a part.
const MAX_DEATHS: usize = 16;
/// Longest time between two reports of the same death. A target takes longer to start again.
const SAME_DEATH_TIME: Duration = Duration::from_secs(1);

/// Death of a target, as its host reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Death {
    /// Identifies the death.
    pub id: u64,
    /// When the target died.
    pub at: Instant,
    /// Host that reported the death.
    pub reporter: SocketAddr,
}

/// Part that was in progress at targets when they died.
#[derive(Clone, Debug)]
struct Suspect {
    part: u64,
    /// Deaths since the last answer that ended well, in order of time.
    deaths: Vec<Death>,
    /// Hosts that suspect the part, sorted.
    reporters: Vec<SocketAddr>,
}

impl Suspect {
    fn last_death(&self) -> Option<Instant> {
        self.deaths.last().map(|d| d.at)
    }

    fn has_death(&self, id: u64) -> bool {
        self.deaths.iter().any(|d| d.id == id)
    }
}

/// Number of deaths, in order of time, of which no two happened at about the same moment.
fn count_spaced(deaths: &[&Death]) -> usize {
    let mut last: Option<Instant> = None;
    let is_spaced = |death: &&&Death| {
        let spaced = last.is_none_or(|l| death.at.duration_since(l) >= DEATH_SPACING);
        if spaced {
            last = Some(death.at);
        }
        spaced
    };
    deaths.iter().filter(is_spaced).count()
}

/// Prompt parts and whole requests under suspicion, and those that proved sound, as hashes. A
/// request counts as one more part.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::quarantine::{Death, Quarantine};
///
/// let mut quarantine = Quarantine::default();
/// let start = Instant::now();
/// for id in 0..3 {
///     let at = start + Duration::from_millis(200) * id;
///     let reporter = "10.0.0.1:7700".parse().unwrap();
///     quarantine.record_death(Death { id: id.into(), at, reporter }, &[7], at);
/// }
/// assert!(quarantine.is_refused(&[6, 7], start + Duration::from_secs(1)));
/// assert!(!quarantine.is_refused(&[6], start + Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by part.
    suspects: Vec<Suspect>,
    /// Parts with the time of their last answer that ended well, sorted by part.
    sound: Vec<(u64, Instant)>,
}

impl Quarantine {
    /// Returns whether a request with `parts` is refused.
    #[must_use]
    pub fn is_refused(&self, parts: &[u64], now: Instant) -> bool {
        parts.iter().any(|part| {
            let found = self.find(*part).ok();
            found.is_some_and(|i| self.is_suspect_refused(&self.suspects[i], now))
        })
    }

    fn is_suspect_refused(&self, suspect: &Suspect, now: Instant) -> bool {
        let last = suspect.last_death();
        if last.is_none_or(|at| now.saturating_duration_since(at) >= QUARANTINE_TIME)
            || suspect.deaths.len() < MIN_SPACED_DEATHS
        {
            return false;
        }
        // A death counts only against the part with the most deaths: the other ones were in
        // progress beside it.
        let is_explained = |death: &Death| {
            let mut others = self.suspects.iter();
            others.any(|o| o.deaths.len() > suspect.deaths.len() && o.has_death(death.id))
        };
        let deaths: Vec<&Death> = suspect.deaths.iter().filter(|d| !is_explained(d)).collect();
        deaths.len() >= MIN_DEATHS || count_spaced(&deaths) >= MIN_SPACED_DEATHS
    }

    /// Parts that have not proved sound, which may have crashed a target.
    #[must_use]
    pub fn unproven(&self, parts: &[u64], now: Instant) -> Vec<u64> {
        let unproven = parts.iter().filter(|part| !self.is_sound(**part, now));
        unproven.copied().collect()
    }

    /// Identifier of the death at `at` of a target whose lifetime has the hash `lifetime`. It is
    /// the same at all gateways, and another one if that lifetime is known to have ended before:
    /// the registration of a target that keeps its id may be older than its last start.
    #[must_use]
    pub fn death_id(&self, lifetime: u64, at: Instant) -> u64 {
        let is_earlier = |id: u64| {
            let mut deaths = self.suspects.iter().flat_map(|s| &s.deaths);
            deaths.any(|d| d.id == id && at.saturating_duration_since(d.at) > SAME_DEATH_TIME)
        };
        let mut id = lifetime;
        for _ in 0..MAX_DEATHS {
            if !is_earlier(id) {
                break;
            }
            id = xxh3::xxh3_64(&id.to_le_bytes());
        }
        id
    }

    /// Records that requests with `parts` were in progress at a target when it died. Returns
    /// those that this gateway knows to be sound.
    pub fn record_death(&mut self, death: Death, parts: &[u64], now: Instant) -> Vec<u64> {
        let (sound, suspected): (Vec<u64>, Vec<u64>) =
            parts.iter().partition(|part| self.is_sound(**part, now));
        for part in suspected {
            let i = self.find(part).unwrap_or_else(|i| {
                let suspect = Suspect {
                    part,
                    deaths: Vec::new(),
                    reporters: Vec::new(),
                };
                self.suspects.insert(i, suspect);
                i
            });
            let reporters = &mut self.suspects[i].reporters;
            if let Err(position) = reporters.binary_search(&death.reporter)
                && reporters.len() < MAX_DEATHS
            {
                reporters.insert(position, death.reporter);
            }
            if self.suspects[i].has_death(death.id) {
                continue;
            }
            let deaths = &mut self.suspects[i].deaths;
            let position = deaths.partition_point(|d| d.at <= death.at);
            deaths.insert(position, death);
            if deaths.len() > MAX_DEATHS {
                deaths.remove(0);
            }
        }
        self.trim_suspects();
        sound
    }

    /// Records that an answer to a request with `parts` ended well. Returns the suspected ones
    /// among them with the hosts that reported their deaths.
    pub fn record_sound(&mut self, parts: &[u64], now: Instant) -> Vec<(SocketAddr, u64)> {
        let mut cleared = Vec::new();
        for part in parts {
            match self.sound.binary_search_by_key(part, |s| s.0) {
                Ok(i) => self.sound[i].1 = now,
                Err(i) => self.sound.insert(i, (*part, now)),
            }
            if let Ok(i) = self.find(*part) {
                let suspect = self.suspects.remove(i);
                cleared.extend(suspect.reporters.into_iter().map(|r| (r, *part)));
            }
        }
        self.trim_sound(now);
        cleared
    }

    fn is_sound(&self, part: u64, now: Instant) -> bool {
        let found = self.sound.binary_search_by_key(&part, |s| s.0).ok();
        found.is_some_and(|i| now.saturating_duration_since(self.sound[i].1) < SOUND_TIME)
    }

    fn find(&self, part: u64) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&part, |s| s.part)
    }

    fn trim_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let suspects = self.suspects.iter().enumerate();
            let weakest = suspects.min_by_key(|(_, s)| (s.deaths.len(), s.last_death()));
            let Some((weakest, _)) = weakest else {
                return;
            };
            self.suspects.remove(weakest);
        }
    }

    fn trim_sound(&mut self, now: Instant) {
        if self.sound.len() <= MAX_SOUND {
            return;
        }
        self.sound
            .retain(|s| now.saturating_duration_since(s.1) < SOUND_TIME);
        // Drops the older half at once, so that a full list is not searched for each request.
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Instant> = self.sound.iter().map(|s| s.1).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.sound.retain(|s| s.1 > median);
        }
    }
}
