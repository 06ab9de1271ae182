use std::time::{Duration, Instant};

use super::{
    FETCH, LAST_MARGIN, WAVE_INTERVAL, WAVES, arrives, gives_way, is_fetched_first, latest, skips,
    switch_at,
};

const BOUND: Duration = Duration::from_secs(8);

/// Guards against all targets of a service switching at once, or later than allowed.
#[test]
fn targets_switch_in_waves_within_the_bound() {
    let named = Instant::now();
    let times = waves(named, named);
    assert_eq!(times.len(), WAVES as usize);
    assert!(
        times.iter().all(|t| named + *t <= latest(named, BOUND)),
        "{times:?}"
    );
    assert!(times.windows(2).all(|w| w[0] + WAVE_INTERVAL == w[1]));
}

fn waves(named: Instant, ready: Instant) -> Vec<Duration> {
    let at = |rank| switch_at(named, ready, rank, BOUND) - named;
    let mut times: Vec<Duration> = (0..12).map(at).collect();
    times.sort_unstable();
    times.dedup();
    times
}

/// Guards against all targets loading a version at once because it was late: the times of
/// all waves had passed when its last chunks arrived.
#[test]
fn late_version_is_still_loaded_in_waves() {
    let named = Instant::now();
    let ready = Duration::from_millis(5_500);
    let times = waves(named, named + ready);
    assert_eq!(times.len(), WAVES as usize);
    assert_eq!(times[0], ready);
    assert!(named + times[times.len() - 1] <= latest(named, BOUND));
}

/// Guards against two versions that are fetched one after the other although hosts learned
/// of both at the same time, and against leaving an older one that is half here.
#[test]
fn versions_learned_together_are_not_both_fetched() {
    let older = Instant::now();
    assert!(is_fetched_first(older, older + Duration::from_millis(20)));
    assert!(!is_fetched_first(older, older + Duration::from_secs(2)));
    let newer = older + Duration::from_millis(170);
    assert!(gives_way(older, newer, newer));
    let stalled = newer + Duration::from_secs(3);
    assert!(!gives_way(older, newer, stalled), "the newer one gave up");
}

/// Guards against a complete version that waits, until it is nearly due, for a newer one
/// of which nothing can be fetched.
#[test]
fn version_waits_only_for_a_newer_one_that_can_arrive() {
    let now = Instant::now();
    let until = now + Duration::from_millis(2_800);
    assert!(!arrives(now, 64, 64, until));
    assert!(!arrives(now, 0, 0, until), "its manifest is not here");
    assert!(arrives(now, 40, 64, until));
}

/// Guards against loading a version that is replaced before it is due, and against
/// skipping one when the newer can't be there in time.
#[test]
fn version_is_skipped_only_if_the_newer_arrives_in_time() {
    let named = Instant::now();
    let latest = BOUND.saturating_sub(FETCH + LAST_MARGIN);
    assert!(skips(named, named + latest, BOUND));
    assert!(!skips(
        named,
        named + latest + Duration::from_millis(1),
        BOUND
    ));
}
