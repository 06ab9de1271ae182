//! When a target switches to new weights.

use std::time::{Duration, Instant};

/// Time from the naming of a version until the first targets switch: what fetching and
/// staging take on the links of today's sites.
const FIRST_WAVE: Duration = Duration::from_millis(2_800);
/// Time in which a version's chunks reach a host while the targets serve requests.
const FETCH: Duration = Duration::from_millis(3_800);
/// Time between two waves; most requests that run when a target stops taking new ones
/// have ended by then.
const WAVE_INTERVAL: Duration = Duration::from_millis(1_300);
/// Waves in which the targets of a service switch, so that two thirds of them serve.
const WAVES: u32 = 3;
/// Time between the namings of two versions up to which the older one is hardly begun.
const TOGETHER: Duration = Duration::from_millis(500);
/// Time before the bound at which a target stops waiting for a newer version.
const LAST_MARGIN: Duration = Duration::from_secs(1);

/// When the host of rank `rank` switches to a version that was named at `named`, was ready
/// to load at `ready` and must be in use `bound` after its naming. Waves that can't keep
/// their distance within the bound move closer.
#[must_use]
pub fn switch_at(named: Instant, ready: Instant, rank: usize, bound: Duration) -> Instant {
    let wave = u32::try_from(rank).unwrap_or(0) % WAVES;
    let first = ready.max(named + FIRST_WAVE);
    let left = latest(named, bound).saturating_duration_since(first);
    first + WAVE_INTERVAL.min(left / WAVES) * wave
}

/// When the host must switch to a version named at `named` at the latest, even if a newer
/// one is on its way that would make the switch needless.
#[must_use]
pub fn latest(named: Instant, bound: Duration) -> Instant {
    named + bound.saturating_sub(LAST_MARGIN)
}

/// Whether a newer version, of whose `total` chunks `missing` are not here at `now`, can be
/// complete by `latest`, so that a target may wait for it instead of loading twice.
///
/// Load pattern: two versions are named within seconds and the origin fails between them.
/// The first is here; the second can't be in time, and waiting for it only delays the
/// first until all targets load it at once, shortly before it is due.
#[must_use]
pub fn arrives(now: Instant, missing: usize, total: usize, latest: Instant) -> bool {
    let part = if total == 0 {
        FETCH
    } else {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        FETCH * count(missing) / count(total)
    };
    now + part <= latest
}

/// Whether the chunks of a newer version, named at `newer`, are fetched before those of an
/// older one that was named at `older`.
///
/// Load pattern: two versions are named while the store is out of reach, and hosts learn of
/// both at once. Fetching both takes twice as long, and the second is late, although
/// nobody needs the first any more.
#[must_use]
pub fn is_fetched_first(older: Instant, newer: Instant) -> bool {
    newer.saturating_duration_since(older) < TOGETHER
}

/// Whether a fetch of the older version that has begun ends at `now` in favour of the newer
/// one. Later, the newer one has given up and the older one gets its turn.
#[must_use]
pub fn gives_way(older: Instant, newer: Instant, now: Instant) -> bool {
    is_fetched_first(older, newer) && now.saturating_duration_since(newer) < TOGETHER
}

/// Whether to wait with a version that is not in use yet because a newer one, named at
/// `newer`, may be complete before the older one is due. `named` is when the older one
/// was named and `bound` how long after that no request may begin on still older weights.
#[must_use]
pub fn skips(named: Instant, newer: Instant, bound: Duration) -> bool {
    newer + FETCH <= latest(named, bound)
}

#[cfg(test)]
#[path = "plan_test.rs"]
mod test;
