use std::time::Duration;

use super::Proof;
use crate::clock::{Clock, Manual, Moment, System};

/// Clock whose wall time goes on while its monotonic time stands still.
#[derive(Clone, Debug, Default)]
struct Suspended {
    monotonic: Manual,
    wall: Manual,
}

impl Clock for Suspended {
    fn now(&self) -> std::time::Instant {
        self.monotonic.now()
    }

    fn wall(&self) -> std::time::SystemTime {
        self.wall.wall()
    }
}

/// Chunks that are read one after the other within four seconds: the first ones were loaded
/// although they could have turned bad since.
#[test]
fn early_reads_of_a_slow_pass_are_stale() {
    let clock = Manual::default();
    let mut proof = Proof::new(8);
    for index in 0..8 {
        proof.record(index, Moment::of(&clock));
        clock.advance(Duration::from_millis(500));
    }
    let now = Moment::of(&clock);
    assert_eq!(proof.stale(now), [0, 1, 2, 3, 4, 5]);
    assert_eq!(proof.age(now), Some(Duration::from_secs(4)));
}

/// A VM that was suspended after the last read: its monotonic clock shows no time.
#[test]
fn reads_before_a_suspension_are_stale() {
    let clock = Suspended::default();
    let mut proof = Proof::new(2);
    proof.record(0, Moment::of(&clock));
    proof.record(1, Moment::of(&clock));
    assert!(proof.stale(Moment::of(&clock)).is_empty());
    clock.wall.advance(Duration::from_secs(4));
    assert_eq!(proof.stale(Moment::of(&clock)), [0, 1]);
}

/// A chunk that was staged again counts only after it has been read back.
#[test]
fn rejected_chunk_is_read_again() {
    let mut proof = Proof::new(2);
    let now = Moment::of(&System);
    proof.record(0, now);
    proof.record(1, now);
    proof.reject(1);
    assert_eq!(proof.stale(now), [1]);
    assert_eq!(proof.age(now), None);
}
