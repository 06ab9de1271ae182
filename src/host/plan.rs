//! Decides when a target switches to new weights and which version is fetched first.

use std::time::{Duration, Instant};

/// Time from the release of a version until the first wave: fetching and staging take about
/// this long on the links of current sites.
const FIRST_WAVE_DELAY: Duration = Duration::from_millis(2_800);
/// Time that a host needs to fetch all chunks of a version while the targets serve requests.
const FETCH_TIME: Duration = Duration::from_millis(3_800);
/// Time between two waves, in which most requests that run when a target stops accepting
/// new ones end.
const WAVE_INTERVAL: Duration = Duration::from_millis(1_300);
/// Number of waves in which the targets of a service switch; two thirds of the targets keep
/// serving meanwhile.
const WAVE_COUNT: u32 = 3;
/// Time between two releases below which they count as simultaneous: the fetch of the older
/// one has hardly begun.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(500);
/// Time before a version is due at which a target stops waiting for a newer one.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// Time at which the host of rank `rank` switches to a version that was released at
/// `released`, was ready to load at `ready` and must be in use `limit` after its release.
/// The interval between waves shrinks if they don't fit before the deadline.
#[must_use]
pub fn switch_time(released: Instant, ready: Instant, rank: usize, limit: Duration) -> Instant {
    let wave = u32::try_from(rank).unwrap_or(0) % WAVE_COUNT;
    let first = ready.max(released + FIRST_WAVE_DELAY);
    let left = switch_deadline(released, limit).saturating_duration_since(first);
    first + WAVE_INTERVAL.min(left / WAVE_COUNT) * wave
}

/// Latest time at which a host switches to a version released at `released`, even if a newer
/// one that would make the switch unnecessary is still being fetched.
#[must_use]
pub fn switch_deadline(released: Instant, limit: Duration) -> Instant {
    released + limit.saturating_sub(DEADLINE_MARGIN)
}

/// Whether a newer version, of whose `total` chunks `missing` are still to be fetched at
/// `now`, can be complete by `deadline`, so that a target may wait for it instead of loading
/// twice. `total` is 0 while its manifest is unknown.
///
/// Load pattern: two versions are released within seconds of each other and the origin fails
/// in between. The first one is complete, and the second can't be complete in time. Waiting
/// for the second would delay the first until all targets load it at the same time, shortly
/// before it is due.
#[must_use]
pub fn can_complete(now: Instant, missing: usize, total: usize, deadline: Instant) -> bool {
    let remaining = if total == 0 {
        FETCH_TIME
    } else {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        FETCH_TIME * count(missing) / count(total)
    };
    now + remaining <= deadline
}

/// Whether a version released at `newer` is fetched before one released at `older`.
///
/// Load pattern: two versions are released while the store is unreachable, and hosts learn of
/// both at the same time. Fetching both in order takes twice as long and makes the second one
/// late, although the first is no longer needed.
#[must_use]
pub fn fetches_newer_first(older: Instant, newer: Instant) -> bool {
    newer.saturating_duration_since(older) < SIMULTANEOUS_WINDOW
}

/// Whether a running fetch of the older version is aborted at `now` in favour of the newer
/// one. `false` once the newer one has been known for longer: its fetch has then stalled, and
/// the older version is fetched instead.
#[must_use]
pub fn preempts_fetch(older: Instant, newer: Instant, now: Instant) -> bool {
    fetches_newer_first(older, newer) && now.saturating_duration_since(newer) < SIMULTANEOUS_WINDOW
}

/// Whether a complete version released at `newer` is loaded instead of one released at
/// `released`, of which all chunks are held if `is_held`.
///
/// Load pattern: two versions are learned together and the newer one is fetched first. It is
/// complete when the older one is due, and the target must not stay closed until that has
/// been fetched too.
#[must_use]
pub fn may_replace(is_held: bool, released: Instant, newer: Instant, limit: Duration) -> bool {
    !is_held || may_skip(released, newer, limit)
}

/// Whether a version released at `released` may be skipped in favour of one released at
/// `newer`, because the newer one can be fetched before the older one must be loaded. No
/// request may start on still older weights `limit` after the release.
#[must_use]
pub fn may_skip(released: Instant, newer: Instant, limit: Duration) -> bool {
    newer + FETCH_TIME <= switch_deadline(released, limit)
}

#[cfg(test)]
#[path = "plan_test.rs"]
mod test;
