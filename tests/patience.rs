//! When another target is looked for while one is silent, and what the silence does to it.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::fleet::{Route, RouteKind};
use corianderramp::place::patience;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn stream(objective: u64, pause: u64) -> Route {
    Route {
        kind: RouteKind::Stream { resumable: true },
        objective: ms(objective),
        max_pause: ms(pause),
        ..Route::default()
    }
}

/// A stream that paused for a second was cut or started again elsewhere, although its caller
/// waits for at least two.
#[test]
fn pause_that_the_caller_bears_starts_nothing() {
    let now = Instant::now();
    for (objective, pause) in [(400, 300), (300, 0), (100, 50), (900, 100)] {
        let route = stream(objective, pause);
        let look = patience::look_time(&route, now, now + ms(60_000)).unwrap();
        assert!(look >= now + ms(1_000), "{objective} ms, {pause} ms");
    }
}

/// An attempt that begins when the caller is about to leave helps nobody.
#[test]
fn second_attempt_has_time_for_its_first_event() {
    let now = Instant::now();
    for (objective, pause) in [(400, 300), (2_000, 0), (10_000, 3_000), (50, 0)] {
        let route = stream(objective, pause);
        let patience = patience::of_stream(&route).unwrap();
        let look = patience::look_time(&route, now, now + patience * 2).unwrap();
        assert!(look + route.objective <= now + patience);
        assert!(look >= now + patience / 2);
    }
}

/// A target that was asked shortly before the deadline took a place for nothing, and a look at a
/// multiple of a long objective never came.
#[test]
fn deadline_bounds_the_look() {
    let now = Instant::now();
    for kind in [RouteKind::Idempotent, RouteKind::Stream { resumable: true }] {
        let route = |objective| Route {
            kind,
            objective: ms(objective),
            ..Route::default()
        };
        let look = |objective, left| patience::look_time(&route(objective), now, now + ms(left));
        assert_eq!(look(1_400, 3_000), Some(now + ms(1_500)));
        assert_eq!(look(6_000, 3_000), None);
        assert_eq!(look(400, 0), None);
    }
}
