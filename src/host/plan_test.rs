use std::time::{Duration, Instant};

use super::{
    DEADLINE_MARGIN, FETCH_TIME, WAVE_COUNT, WAVE_INTERVAL, can_complete, fetches_newer_first,
    may_replace, may_skip, preempts_fetch, switch_deadline, switch_time,
};

const LIMIT: Duration = Duration::from_secs(8);

/// Guards against all targets of a service switching at the same time or after the deadline.
#[test]
fn targets_switch_in_waves_before_the_deadline() {
    let released = Instant::now();
    let times = waves(released, released);
    assert_eq!(times.len(), WAVE_COUNT as usize);
    assert!(
        times
            .iter()
            .all(|t| released + *t <= switch_deadline(released, LIMIT)),
        "{times:?}"
    );
    assert!(times.windows(2).all(|w| w[0] + WAVE_INTERVAL == w[1]));
}

fn waves(released: Instant, ready: Instant) -> Vec<Duration> {
    let at = |rank| switch_time(released, ready, rank, LIMIT) - released;
    let mut times: Vec<Duration> = (0..12).map(at).collect();
    times.sort_unstable();
    times.dedup();
    times
}

/// Guards against all targets loading a late version at the same time, because the times of
/// all waves had passed when its last chunks arrived.
#[test]
fn late_version_is_still_loaded_in_waves() {
    let released = Instant::now();
    let ready = Duration::from_millis(5_500);
    let times = waves(released, released + ready);
    assert_eq!(times.len(), WAVE_COUNT as usize);
    assert_eq!(times[0], ready);
    assert!(released + times[times.len() - 1] <= switch_deadline(released, LIMIT));
}

/// Guards against fetching both of two versions that hosts learned of at the same time, and
/// against aborting the fetch of an older version when the newer one has stalled.
#[test]
fn only_newer_of_two_simultaneous_versions_is_fetched() {
    let older = Instant::now();
    assert!(fetches_newer_first(
        older,
        older + Duration::from_millis(20)
    ));
    assert!(!fetches_newer_first(older, older + Duration::from_secs(2)));
    let newer = older + Duration::from_millis(170);
    assert!(preempts_fetch(older, newer, newer));
    let stalled = newer + Duration::from_secs(3);
    assert!(
        !preempts_fetch(older, newer, stalled),
        "the newer fetch stalled"
    );
}

/// Guards against a complete version waiting, until shortly before it is due, for a newer
/// one of which nothing can be fetched.
#[test]
fn version_waits_only_for_a_newer_one_that_can_complete() {
    let now = Instant::now();
    let deadline = now + Duration::from_millis(2_800);
    assert!(!can_complete(now, 64, 64, deadline));
    assert!(
        !can_complete(now, 0, 0, deadline),
        "its manifest is unknown"
    );
    assert!(can_complete(now, 40, 64, deadline));
}

/// Guards against loading a version that is replaced before it is due, and against skipping
/// one whose replacement can't be complete in time.
#[test]
fn version_is_skipped_only_if_the_newer_one_completes_in_time() {
    let released = Instant::now();
    let max_gap = LIMIT.saturating_sub(FETCH_TIME + DEADLINE_MARGIN);
    assert!(may_skip(released, released + max_gap, LIMIT));
    assert!(!may_skip(
        released,
        released + max_gap + Duration::from_millis(1),
        LIMIT
    ));
}

/// Guards against a target that stays closed although a newer version is complete, because
/// the one that is due was not fetched.
#[test]
fn complete_version_replaces_an_incomplete_one() {
    let released = Instant::now();
    let newer = released + LIMIT;
    assert!(may_replace(false, released, newer, LIMIT));
    assert!(!may_replace(true, released, newer, LIMIT));
    assert!(may_replace(true, released, released, LIMIT));
}
