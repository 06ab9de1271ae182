//! Which prompt parts are refused after targets died.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use corianderramp::place::quarantine::{Death, QUARANTINE_TIME, Quarantine};

/// Part that crashes targets.
const BAD: u64 = 7;
/// First part and account of sound requests and of those that crash targets.
const SHARED: [u64; 2] = [1, 2];

fn host(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn death(id: u16, at: Instant) -> Death {
    Death {
        id: id.into(),
        at,
        reporter: host(id),
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Load pattern of the incident: requests with a bad part crash twelve targets within 0.8 s,
/// with sound ones in progress at each. Only the bad part may be refused, and after at most
/// the five crashes that the users allow.
#[test]
fn only_the_part_that_crashes_targets_is_refused() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    assert!(quarantine.record_sound(&SHARED, start).is_empty());
    let mut crashes = 0;
    for i in 0..12_u16 {
        let now = start + ms(70) * u32::from(i);
        if quarantine.is_refused(&[BAD], now) {
            break;
        }
        crashes += 1;
        let other = 100 + u64::from(i);
        let mut parts = vec![BAD, other];
        parts.extend(SHARED);
        let sound = quarantine.record_death(death(i, now), &parts, now);
        assert_eq!(sound, SHARED);
        assert!(!quarantine.is_refused(&[SHARED[0], SHARED[1], other], now));
    }
    assert!(crashes <= 5, "{crashes} crashes");
    let last = start + ms(70 * (crashes - 1));
    let before_end = last + QUARANTINE_TIME.saturating_sub(ms(1));
    assert!(quarantine.is_refused(&[SHARED[0], BAD], before_end));
    assert!(!quarantine.is_refused(&[BAD], last + QUARANTINE_TIME));
}

/// A part that no gateway has seen succeed yet was in progress at targets that died at the
/// same moment, with their data centre: that must not be held against it.
#[test]
fn targets_that_die_together_raise_no_suspicion() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for i in 0..4 {
        let at = start + ms(20) * u32::from(i);
        quarantine.record_death(death(i, at), &[BAD], at);
    }
    assert!(!quarantine.is_refused(&[BAD], start + ms(100)));
    // Copies of a report are not further deaths.
    let at = start + ms(300);
    quarantine.record_death(death(3, at), &[BAD], at);
    assert!(!quarantine.is_refused(&[BAD], at));
    quarantine.record_death(death(4, at), &[BAD], at);
    assert!(quarantine.is_refused(&[BAD], at));
}

/// A sound part that was refused must be served again as soon as one answer with it ends well
/// anywhere, and those who suspect it must learn of that.
#[test]
fn answer_that_ends_well_clears_a_part() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for i in 0..3 {
        let at = start + ms(200) * u32::from(i);
        quarantine.record_death(death(i, at), &SHARED, at);
    }
    let now = start + ms(700);
    assert!(quarantine.is_refused(&SHARED, now));
    assert_eq!(quarantine.unproven(&SHARED, now), SHARED);
    let cleared = quarantine.record_sound(&SHARED[..1], now);
    assert_eq!(
        cleared,
        [
            (host(0), SHARED[0]),
            (host(1), SHARED[0]),
            (host(2), SHARED[0])
        ]
    );
    assert!(!quarantine.is_refused(&SHARED[..1], now));
    assert_eq!(quarantine.unproven(&SHARED, now), SHARED[1..]);
    // A late report of an older death does not raise the suspicion again.
    let sound = quarantine.record_death(death(9, now), &SHARED, now);
    assert_eq!(sound, SHARED[..1]);
}

/// A sound part that is new arrives while another one crashes targets, and is in progress at
/// some of them: it had been refused like the other one, and nothing could clear it.
#[test]
fn death_counts_against_its_most_frequent_part() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    let new_part = 9;
    for i in 0..6 {
        let at = start + ms(200) * u32::from(i);
        let parts = if i % 3 == 0 {
            vec![BAD]
        } else {
            vec![BAD, new_part]
        };
        quarantine.record_death(death(i, at), &parts, at);
    }
    let now = start + ms(1_500);
    assert!(quarantine.is_refused(&[BAD], now));
    assert!(!quarantine.is_refused(&[new_part], now));
    // It is refused for deaths that the other one does not explain.
    for i in 6..9 {
        let at = now + ms(200) * u32::from(i);
        quarantine.record_death(death(i, at), &[new_part], at);
    }
    assert!(quarantine.is_refused(&[new_part], now + ms(2_000)));
}

/// A loss of many targets puts hundreds of parts under suspicion, which must not displace the
/// one that crashes targets again and again.
#[test]
fn refused_part_is_kept_among_many_suspects() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for i in 0..3 {
        let at = start + ms(200) * u32::from(i);
        quarantine.record_death(death(i, at), &[BAD], at);
    }
    let later = start + ms(1_000);
    for i in 0..300 {
        let parts: Vec<u64> = (0..16).map(|p| 1_000 + 16 * u64::from(i) + p).collect();
        quarantine.record_death(death(10 + i, later), &parts, later);
    }
    assert!(quarantine.is_refused(&[BAD], later));
}

/// Millions of parts pass a gateway; those that it remembers must not fill its memory, and
/// forgetting may not refuse sound ones.
#[test]
fn remembered_parts_are_bounded() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    for part in 0..20_000 {
        quarantine.record_sound(&[part], start + Duration::from_micros(part));
    }
    let now = start + ms(20);
    let proven = 20_000
        - quarantine
            .unproven(&(0..20_000).collect::<Vec<_>>(), now)
            .len();
    assert!((1_000..=4_096).contains(&proven), "{proven} parts");
    assert!(!quarantine.is_refused(&[3], now));
}
