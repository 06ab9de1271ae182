use std::time::{Duration, Instant};

use super::{DeathLog, RESEND_TIME};
use crate::place::quarantine::QUARANTINE_TIME;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Gateways see a connection break up to a poll before the host notices the death, and some
/// report it only afterwards: both must count for the death.
#[test]
fn reports_before_and_after_a_death_belong_to_it() {
    let mut log = DeathLog::default();
    let start = Instant::now();
    assert_eq!(log.record_report(&[5, 3], start), None);
    assert_eq!(log.record_report(&[3], start + ms(10)), None);
    let death = log.record_death(1, start + ms(90)).unwrap();
    assert_eq!(death.parts, [3, 5]);
    // A copy adds nothing; another part does, under the same id.
    assert_eq!(log.record_report(&[5], start + ms(120)), None);
    let death = log.record_report(&[4], start + ms(130)).unwrap();
    assert_eq!((death.id, death.parts), (1, vec![3, 4, 5]));
}

/// A broken connection without a death says nothing of the request's parts, and one death is
/// not blamed for what broke long before.
#[test]
fn old_reports_are_dropped() {
    let mut log = DeathLog::default();
    let start = Instant::now();
    assert_eq!(log.record_report(&[5], start), None);
    assert_eq!(log.record_death(1, start + ms(1_500)), None);
    assert_eq!(log.record_report(&[6], start + ms(4_000)), None);
    assert_eq!(log.recent(true, start + ms(4_000)).count(), 0);
}

/// New gateways get all deaths of the quarantine time, others the last ones again; parts that
/// proved sound are left out.
#[test]
fn subscribers_get_the_deaths_that_they_may_lack() {
    let mut log = DeathLog::default();
    let start = Instant::now();
    log.record_report(&[5, 6], start);
    log.record_death(1, start);
    let later = start + RESEND_TIME;
    assert_eq!(log.recent(false, later).count(), 0);
    assert_eq!(log.recent(true, later).count(), 1);
    assert_eq!(log.remove_sound(&[4, 6]), [6]);
    assert_eq!(log.recent(true, later).next().unwrap().parts, [5]);
    assert_eq!(log.remove_sound(&[5]), [5]);
    assert_eq!(log.recent(true, later).count(), 0);
    assert_eq!(log.recent(true, start + QUARANTINE_TIME).count(), 0);
}
