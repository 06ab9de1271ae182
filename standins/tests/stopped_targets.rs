//! Engines that stop for good within an answer without closing the connection. Another engine
//! must continue in time for the caller; without one the answer ends when the caller's deadline
//! or the route's timeout is over, neither sooner nor later.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures_util::future;
use kept_calls::{Kind, Routes};
use standins::users::{Point, Silence};
use stops::{GAP_TARGET, continues_elsewhere, ends_at_limit};

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/stops.rs"]
mod stops;
#[path = "support/users_fleet.rs"]
mod users_fleet;

const COMMENTS: Silence = Silence::Filled(": wait\n\n", Duration::from_millis(300));
const BYTES: Silence = Silence::Filled(":", Duration::from_millis(300));
const READY_COMMENTS: Silence = Silence::Filled(": wait\n\n", Duration::ZERO);

/// A stream that its engine does not continue must go on elsewhere before the caller leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_stream_continues_elsewhere_in_time() {
    let routes = Routes::default();
    let runs = [(0, Point::Midway), (1, Point::Start), (2, Point::Head)].map(|(index, point)| {
        continues_elsewhere(index, Kind::Stream, point, Silence::Endless, routes)
    });
    future::join_all(runs).await;
}

/// A route whose target for gaps is long has callers that wait longer, but not without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_stream_with_a_long_gap_target_continues_in_time() {
    let routes = Routes {
        gap_target_ms: Some(GAP_TARGET.0),
        ..Routes::default()
    };
    continues_elsewhere(3, Kind::Stream, Point::Midway, Silence::Endless, routes).await;
}

/// A connection that no longer carries anything looks like a pause and must not hold a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_cut_connection_continues_elsewhere_in_time() {
    continues_elsewhere(
        4,
        Kind::Stream,
        Point::Midway,
        Silence::Cut,
        Routes::default(),
    )
    .await;
}

/// Single bytes kept a stream without events at its engine, because any byte reset the wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_single_bytes_continues_elsewhere_in_time() {
    continues_elsewhere(5, Kind::Stream, Point::Midway, BYTES, Routes::default()).await;
}

/// Comments kept a stream without events at its engine, because they count as events.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_comments_continues_elsewhere_in_time() {
    continues_elsewhere(6, Kind::Stream, Point::Midway, COMMENTS, Routes::default()).await;
}

/// A stream of the only engine was cut after a second, though its caller would have waited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_stream_of_the_only_engine_ends_at_the_limit() {
    let runs = [
        (7, Point::Midway, Silence::Endless, false),
        (8, Point::Midway, Silence::Endless, true),
        (9, Point::Midway, Silence::Cut, false),
    ]
    .map(|(index, point, silence, is_timeout)| {
        ends_at_limit(index, Kind::Stream, point, silence, is_timeout)
    });
    future::join_all(runs).await;
}

/// An answer of the only engine that never begins got a status before its caller's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_the_only_engine_that_never_begins_ends_at_the_limit() {
    let runs =
        [(10, Point::Start, true), (11, Point::Head, false)].map(|(index, point, is_timeout)| {
            ends_at_limit(index, Kind::Stream, point, Silence::Endless, is_timeout)
        });
    future::join_all(runs).await;
}

/// Bytes or comments without an end must not hold a stream beyond its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_events_of_the_only_engine_ends_at_the_limit() {
    let runs = [(12, BYTES, false), (13, COMMENTS, true)].map(|(index, silence, is_timeout)| {
        ends_at_limit(index, Kind::Stream, Point::Midway, silence, is_timeout)
    });
    future::join_all(runs).await;
}

/// A target whose next frame is always ready must not hold a stream beyond its limit: a time
/// limit that is checked only while the reader waits never ends it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_frames_are_always_ready_ends_at_the_limit() {
    let runs = [(14, false), (15, true)].map(|(index, is_timeout)| {
        ends_at_limit(
            index,
            Kind::Stream,
            Point::Midway,
            READY_COMMENTS,
            is_timeout,
        )
    });
    future::join_all(runs).await;
}
