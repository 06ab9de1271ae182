use std::time::{Duration, Instant};

use super::{Death, DeathLog, Poll, RESEND_TIME};
use crate::place::quarantine::QUARANTINE_TIME;

/// Log of a host whose target has answered.
fn log() -> DeathLog {
    let mut log = DeathLog::default();
    assert_eq!(log.record_poll(Poll::Answered(1), 0, Instant::now()), None);
    log
}

fn die(log: &mut DeathLog, now: Instant) -> Option<Death> {
    log.record_poll(Poll::Refused, 1, now)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Gateways see a connection break up to a poll before the host notices the death, and some
/// report it only afterwards: both must count for the death.
#[test]
fn reports_before_and_after_a_death_belong_to_it() {
    let mut log = log();
    let start = Instant::now();
    assert_eq!(log.record_report(&[5, 3], start), None);
    assert_eq!(log.record_report(&[3], start + ms(10)), None);
    let death = die(&mut log, start + ms(90)).unwrap();
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
    let mut log = log();
    let start = Instant::now();
    assert_eq!(log.record_report(&[5], start), None);
    assert_eq!(die(&mut log, start + ms(1_500)), None);
    assert_eq!(log.record_report(&[6], start + ms(4_000)), None);
    assert_eq!(log.recent(true, start + ms(4_000)).count(), 0);
}

/// New gateways get all deaths of the quarantine time, others the last ones again; parts that
/// proved sound are left out.
#[test]
fn subscribers_get_the_deaths_that_they_may_lack() {
    let mut log = log();
    let start = Instant::now();
    log.record_report(&[5, 6], start);
    assert!(die(&mut log, start).is_some());
    let later = start + RESEND_TIME;
    assert_eq!(log.recent(false, later).count(), 0);
    assert_eq!(log.recent(true, later).count(), 1);
    assert_eq!(log.remove_sound(&[4, 6]), [6]);
    assert_eq!(log.recent(true, later).next().unwrap().parts, [5]);
    assert_eq!(log.remove_sound(&[5]), [5]);
    assert_eq!(log.recent(true, later).count(), 0);
    assert_eq!(log.recent(true, start + QUARANTINE_TIME).count(), 0);
}

/// A target that is only slow to report, while streams break for another reason, must not
/// pass for dead: sound prompt parts would be refused.
#[test]
fn silent_target_is_not_dead() {
    let mut log = log();
    let start = Instant::now();
    for i in 0..10 {
        let now = start + ms(200 * i);
        log.record_report(&[5], now);
        assert_eq!(log.record_poll(Poll::Failed, i, now), None);
        assert_eq!(log.record_poll(Poll::Answered(1), i, now), None);
    }
}

/// One death counts once, whether it shows by a refused connection, by a new start or both,
/// and a target that has not started yet is not dead.
#[test]
fn death_is_recorded_once() {
    let start = Instant::now();
    let mut unborn = DeathLog::default();
    unborn.record_report(&[5], start);
    assert_eq!(die(&mut unborn, start), None);

    let mut log = log();
    log.record_report(&[5], start);
    assert!(die(&mut log, start).is_some());
    log.record_report(&[6], start);
    assert_eq!(log.record_poll(Poll::Refused, 2, start), None);
    assert_eq!(log.record_poll(Poll::Answered(2), 3, start), None);
    log.record_report(&[7], start + ms(2_000));
    let death = log.record_poll(Poll::Answered(3), 4, start + ms(2_000));
    assert_eq!(death.unwrap().parts, [7]);
}

/// Several gateways report the death of a target without a host, each with the requests that
/// broke there: all must reach all gateways, also those that start later, until they are sound.
#[test]
fn reported_deaths_are_passed_on_and_kept() {
    let mut log = DeathLog::default();
    let start = Instant::now();
    let report = |id: u64, parts: &[u64]| Death {
        id,
        at: start,
        parts: parts.to_vec(),
    };
    assert!(log.record_reported(&report(1, &[5])));
    assert!(log.record_reported(&report(1, &[6, 5])));
    assert!(!log.record_reported(&report(1, &[6])));
    let passed = log.take_unpassed();
    assert_eq!(passed, [report(1, &[5, 6])]);
    assert!(log.take_unpassed().is_empty());
    let later = start + RESEND_TIME;
    assert_eq!(log.recent(true, later).count(), 1);
    assert_eq!(log.remove_sound(&[6]), [6]);
    assert_eq!(log.recent(true, later).next().unwrap().parts, [5]);
    for id in 0..2_000 {
        log.record_reported(&report(id, &[9]));
    }
    assert!(log.recent(true, later).count() <= 256);
}

/// Guards against a silence that is taken for a death when the target goes on: requests that broke
/// shortly before for another reason are not suspected then.
#[test]
fn target_that_goes_on_after_a_silence_is_not_dead() {
    let now = Instant::now();
    let mut log = log();
    assert_eq!(log.record_report(&[1], now), None);
    for poll in [Poll::Failed, Poll::Failed, Poll::Answered(1)] {
        assert_eq!(log.record_poll(poll, 1, now + ms(500)), None);
    }
    assert_eq!(log.recent(true, now + ms(500)).count(), 0);
}

/// Guards against a death that goes unnoticed because the target was silent before it, and against
/// the suspicion of requests that broke long before, during the silence.
#[test]
fn death_after_a_silence_is_noticed() {
    let now = Instant::now();
    for end in [Poll::Refused, Poll::Answered(2)] {
        let mut log = log();
        log.record_report(&[1], now);
        log.record_poll(Poll::Failed, 1, now + ms(500));
        log.record_poll(Poll::Failed, 2, now + ms(1_000));
        log.record_report(&[2], now + ms(1_400));
        let death = log.record_poll(end, 3, now + ms(1_500));
        assert_eq!(death.unwrap().parts, [2]);
    }
}
