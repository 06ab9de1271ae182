//! Targets that pause and go on: a pause is no failure, and their answers must reach the caller
//! whole. `PAUSE_MS` and `PAUSE_EVERY` replace the length of all pauses and every how many
//! answers one pauses.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures_util::future;
use kept_calls::{Deployment, Kind, Routes};
use standins::users::{Pause, Point, Silence};

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Time after which a look for another place pays: for streams 2 s less two objectives of
/// 0.4 s, for plain requests three objectives.
const LOOK_TIME: Duration = Duration::from_millis(1_200);
/// The same for streams with a target of 300 ms for gaps: eight of them less two objectives.
const LATE_LOOK_TIME: Duration = Duration::from_millis(1_600);
/// Longer than the first of these times and shorter than the second.
const LONG: Duration = Duration::from_millis(1_500);
/// Shorter than both.
const SHORT: Duration = Duration::from_millis(900);

struct Case {
    name: &'static str,
    engines: u8,
    plain: u8,
    kinds: &'static [Kind],
    callers: usize,
    /// Where, in every how many answers and for how long targets fall silent.
    pause: Option<(Point, usize, Duration)>,
    routes: Routes,
    /// Pauses from which a look for another place pays; `None` if there is no other place.
    look_time: Option<Duration>,
}

const ENGINES: Case = Case {
    name: "",
    engines: 3,
    plain: 0,
    kinds: &[Kind::Stream],
    callers: 9,
    pause: None,
    routes: Routes {
        timeout_ms: 8_000,
        gap_target_ms: None,
    },
    look_time: Some(LOOK_TIME),
};

const ONE_ENGINE: Case = Case {
    engines: 1,
    callers: 3,
    look_time: None,
    ..ENGINES
};

const ONE_PLAIN: Case = Case {
    engines: 0,
    plain: 1,
    kinds: &[Kind::Safe],
    callers: 4,
    look_time: None,
    ..ENGINES
};

const PLAIN: Case = Case {
    plain: 3,
    kinds: &[Kind::Safe, Kind::Unsafe],
    callers: 8,
    look_time: Some(LOOK_TIME),
    ..ONE_PLAIN
};

/// Number in an environment variable.
fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays a case. All requests must get whole answers, and none may be sent again unless a look
/// for another place can help it.
async fn play(index: u8, case: Case) {
    let deployment = Deployment::start(index, case.engines, case.plain, case.routes).await;
    let mut length = Duration::ZERO;
    if let Some((point, every, usual)) = case.pause {
        length = variable("PAUSE_MS").map_or(usual, Duration::from_millis);
        let pause = Pause {
            every: variable("PAUSE_EVERY").map_or(every, |n| n.try_into().unwrap()),
            point,
            silence: Silence::For(length),
        };
        for target in &deployment.targets {
            target.set_pause(Some(pause));
        }
    }
    let (kinds, callers) = (case.kinds, case.callers);
    let tally = deployment
        .load(case.name, kinds, callers, DEADLINE, LOAD_TIME)
        .await;
    let can_help = case.look_time.is_some_and(|t| length >= t);
    tally.assert_whole(if can_help { tally.paused } else { 0 });
}

/// Control: the load itself must not cause second sends or failures.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_pause_are_sent_once() {
    let engines = Case {
        name: "control, three engines",
        ..ENGINES
    };
    let plain = Case {
        name: "control, three plain targets",
        ..PLAIN
    };
    future::join(play(0, engines), play(1, plain)).await;
}

/// Each stream that was silent for a second was cut, though no other engine could continue it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_survives_a_pause_of_the_only_engine() {
    let name = "midway, one engine";
    let pause = Some((Point::Midway, 3, LONG));
    let case = Case {
        name,
        pause,
        ..ONE_ENGINE
    };
    play(2, case).await;
}

/// A stream whose engine went silent was cut when no other engine could take it at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_survives_a_pause_beside_other_engines() {
    let name = "midway, three engines";
    let pause = Some((Point::Midway, 2, LONG));
    let case = Case {
        name,
        pause,
        ..ENGINES
    };
    play(3, case).await;
}

/// Streams with a second pause were cut, because the first one had used up their attempts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_survives_two_pauses_with_all_places_taken() {
    let name = "midway twice, all places taken";
    let pause = Some((Point::Twice, 2, LONG));
    let case = Case {
        name,
        pause,
        callers: 12,
        ..ENGINES
    };
    play(4, case).await;
}

/// An answer whose first event came late got status 502, though its engine went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_first_event_of_the_only_engine_reaches_the_caller() {
    let name = "before the first event, one engine";
    let pause = Some((Point::Start, 3, LONG));
    let case = Case {
        name,
        pause,
        ..ONE_ENGINE
    };
    play(5, case).await;
}

/// An answer whose head came late got status 502, though its engine went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_head_of_the_only_engine_reaches_the_caller() {
    let name = "before the head, one engine";
    let pause = Some((Point::Head, 3, LONG));
    let case = Case {
        name,
        pause,
        ..ONE_ENGINE
    };
    play(6, case).await;
}

/// A stream that was silent within an event was cut, though its engine went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_survives_a_pause_within_an_event() {
    let name = "within an event, one engine";
    let pause = Some((Point::Within, 3, LONG));
    let case = Case {
        name,
        pause,
        ..ONE_ENGINE
    };
    play(7, case).await;
}

/// A safe request whose answer began late got status 502 or 504, though its target went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_safe_answer_of_the_only_target_reaches_the_caller() {
    let name = "before the head, one plain target, safe";
    let pause = Some((Point::Head, 3, LONG));
    let case = Case {
        name,
        pause,
        ..ONE_PLAIN
    };
    play(9, case).await;
}

/// Safe requests whose answers began late got status 502 once there was no retry left, though all
/// targets went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_safe_answers_reach_the_callers_without_a_retry_budget() {
    let name = "before the head, three plain targets, safe, every answer";
    let pause = Some((Point::Head, 1, LONG));
    let case = Case {
        name,
        pause,
        kinds: &[Kind::Safe],
        callers: 36,
        ..PLAIN
    };
    play(8, case).await;
}

/// An unsafe request must be sent once, however late its answer is.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_unsafe_answer_reaches_the_caller() {
    let name = "before the head, three plain targets, unsafe";
    let pause = Some((Point::Head, 3, LONG));
    let case = Case {
        name,
        pause,
        kinds: &[Kind::Unsafe],
        look_time: None,
        ..PLAIN
    };
    play(10, case).await;
}

/// A pause within a body must neither cut it nor send an unsafe request again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_survives_a_pause_within_it() {
    let name = "within the body, three plain targets, safe and unsafe";
    let pause = Some((Point::Within, 3, LONG));
    let case = Case {
        name,
        pause,
        ..PLAIN
    };
    play(11, case).await;
}

/// Other engines must not get a request twice when the caller would have waited for the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_pause_sends_nothing_elsewhere() {
    let points = [(12, Point::Midway), (13, Point::Start), (14, Point::Head)];
    let runs = points.map(|(index, point)| {
        let case = Case {
            name: "short pause, three engines",
            pause: Some((point, 2, SHORT)),
            ..ENGINES
        };
        play(index, case)
    });
    future::join_all(runs).await;
}

/// A route whose target for gaps is long has callers that wait longer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_that_the_gap_target_allows_sends_nothing_elsewhere() {
    let case = Case {
        name: "midway, three engines, gap target 300 ms",
        pause: Some((Point::Midway, 2, LONG)),
        routes: Routes {
            gap_target_ms: Some(300),
            ..Routes::default()
        },
        look_time: Some(LATE_LOOK_TIME),
        ..ENGINES
    };
    play(15, case).await;
}
