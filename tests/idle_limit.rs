//! Idle limit of callers' connections beside changes of the configuration.

use std::time::{Duration, Instant};

use corianderramp::place::idle;

/// Load pattern: configurations shorten, lengthen and shorten the idle limit within the time
/// that callers need to learn of one. At no time may the limit in force be shorter than one
/// that a caller may still use, or stay longer than all of those.
#[test]
fn limit_in_force_is_the_longest_that_callers_may_use() {
    const DELAY: u64 = 2_000;
    // Milliseconds of the change and of the limit.
    let changes = [
        (0, 15_000),
        (500, 4_000),
        (900, 9_000),
        (4_000, 1_000),
        (5_500, 800),
    ];
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = idle::Limit::new(Duration::from_millis(changes[0].1));
    for now in 0..10_000 {
        for (_, length) in changes.iter().filter(|c| c.0 == now) {
            let (length, delay) = (Duration::from_millis(*length), Duration::from_millis(DELAY));
            limit.set(length, at(now), delay);
        }
        let current = limit.current(at(now)).as_millis();
        let until = |i: usize| changes.get(i + 1).map_or(u64::MAX, |next| next.0 + DELAY);
        let known = changes.iter().enumerate();
        let known = known.filter(|(i, c)| c.0 <= now && now < until(*i));
        let longest = known.map(|(_, c)| u128::from(c.1)).max();
        let longest = longest.unwrap_or_default();
        assert!(
            current >= longest,
            "{current} at {now}, callers use {longest}"
        );
        let older = changes.iter().enumerate();
        let older = older.filter(|(i, c)| c.0 <= now && now < until(*i).saturating_add(DELAY));
        let bound = older.map(|(_, c)| u128::from(c.1)).max();
        assert!(Some(current) <= bound, "{current} at {now}");
    }
    assert_eq!(limit.next_change(at(10_000)), None);
}
