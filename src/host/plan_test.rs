use std::time::{Duration, Instant};

use super::{FETCH, LAST_MARGIN, WAVE_INTERVAL, WAVES, latest, skips, switch_at};

const BOUND: Duration = Duration::from_secs(8);

/// Guards against all targets of a service switching at once, or later than allowed.
#[test]
fn targets_switch_in_waves_within_the_bound() {
    let named = Instant::now();
    let mut times: Vec<Duration> = (0..12).map(|rank| switch_at(named, rank) - named).collect();
    times.sort_unstable();
    times.dedup();
    assert_eq!(times.len(), WAVES as usize);
    assert!(
        times.iter().all(|t| named + *t <= latest(named, BOUND)),
        "{times:?}"
    );
    assert!(times.windows(2).all(|w| w[0] + WAVE_INTERVAL == w[1]));
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
