//! Stops answers of targets for good and checks what callers get.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use futures_util::future;
use standins::users::{Pause, Point, Silence};
use tokio::time;

use crate::kept_calls::{Deployment, Kind, Routes};

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Longest silence that a caller bears: 2 s, or eight of the route's target for gaps.
const PATIENCE: Duration = Duration::from_secs(2);
/// Target for gaps with which callers wait longer, and how long.
pub const GAP_TARGET: (u64, Duration) = (300, Duration::from_millis(2_400));
/// Time limit of the tests with one target: the deadline or the route's timeout.
const LIMIT: Duration = Duration::from_secs(3);
/// Time before that limit at which an answer may end, for the way to the caller.
const EARLY: Duration = Duration::from_millis(100);
/// Time after it by which an answer must have ended.
const LATE: Duration = Duration::from_millis(500);

/// Stops every second answer of one of three targets, so that another one can continue each;
/// callers get whole answers within their patience.
pub async fn continues_elsewhere(
    index: u8,
    kind: Kind,
    point: Point,
    silence: Silence,
    routes: Routes,
) {
    let (engines, plain) = if kind == Kind::Stream { (3, 0) } else { (0, 3) };
    let deployment = Deployment::start(index, engines, plain, routes).await;
    let pause = Pause {
        every: 2,
        point,
        silence,
    };
    deployment.targets[0].set_pause(Some(pause));
    let name = format!("{kind:?}, {point:?} {silence:?}, three targets");
    let tally = deployment
        .load(&name, &[kind], 6, DEADLINE, LOAD_TIME)
        .await;
    tally.assert_whole(tally.paused);
    let patience = routes.gap_target_ms.map_or(PATIENCE, |_| GAP_TARGET.1);
    assert!(tally.gap <= patience, "{tally:?}");
}

/// Stops one answer of the only target; it ends at the limit, and then nothing of it is left.
pub async fn ends_at_limit(
    index: u8,
    kind: Kind,
    point: Point,
    silence: Silence,
    is_timeout: bool,
) {
    let is_stream = kind == Kind::Stream;
    let timeout = if is_timeout { LIMIT } else { DEADLINE };
    let deadline = if is_timeout { DEADLINE } else { LIMIT };
    let routes = Routes {
        timeout_ms: timeout.as_millis().try_into().unwrap(),
        ..Routes::default()
    };
    let (engines, plain) = if is_stream { (1, 0) } else { (0, 1) };
    let deployment = Deployment::start(index, engines, plain, routes).await;
    let target = &deployment.targets[0];
    target.set_pause(Some(Pause {
        every: 1,
        point,
        silence,
    }));
    let arrivals = target.received().len();
    let mut caller = deployment.caller(0);
    let answer = caller.send(kind, deadline).await;
    let ended = Instant::now();
    target.set_pause(None);
    eprintln!("{kind:?}, {point:?} {silence:?}, one target, timeout {timeout:?}: {answer:?}");
    assert!(answer.took + EARLY >= LIMIT, "{answer:?}");
    assert!(answer.took <= LIMIT + LATE, "{answer:?}");
    assert_eq!(target.received().len(), arrivals + 1, "{answer:?}");
    let is_begun = is_stream && !matches!(point, Point::Start | Point::Head);
    assert_eq!(answer.events, if is_begun { 3 } else { 0 }, "{answer:?}");
    let status = answer.status.map(|s| s.as_u16());
    let expected = if is_begun { [200, 200] } else { [502, 504] };
    assert!(status.is_some_and(|s| expected.contains(&s)), "{answer:?}");
    while silence != Silence::Cut && deployment.active() > 0 {
        assert!(ended.elapsed() < LATE, "the target still works on it");
        time::sleep(Duration::from_millis(10)).await;
    }
    // All four places are free again.
    let mut callers: Vec<_> = (0..4).map(|n| deployment.caller(n)).collect();
    let answers = callers.iter_mut().map(|c| c.send(kind, DEADLINE));
    for answer in future::join_all(answers).await {
        assert!(answer.is_whole, "{answer:?}");
        assert!(answer.took < LATE, "{answer:?}");
    }
}
