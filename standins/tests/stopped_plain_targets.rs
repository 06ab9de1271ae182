//! Plain targets that stop for good within an answer without closing the connection. Another
//! target must continue in time for the caller; without one the answer ends when the caller's
//! deadline or the route's timeout is over, neither sooner nor later.

#![allow(clippy::unwrap_used)]

use futures_util::future;
use kept_calls::{Kind, Routes};
use standins::users::{Point, Silence};
use stops::{continues_elsewhere, ends_at_limit};

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/stops.rs"]
mod stops;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// A safe request whose target stopped must get its answer from another one in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_safe_request_is_answered_elsewhere_in_time() {
    let routes = Routes::default();
    continues_elsewhere(0, Kind::Safe, Point::Head, Silence::Endless, routes).await;
}

/// A late answer of the only plain target must be waited for until the caller's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_answer_of_the_only_target_that_never_comes_ends_at_the_limit() {
    let runs = [
        (1, Kind::Safe, Point::Head, false),
        (2, Kind::Unsafe, Point::Head, true),
        (3, Kind::Safe, Point::Within, true),
    ]
    .map(|(index, kind, point, is_timeout)| {
        ends_at_limit(index, kind, point, Silence::Endless, is_timeout)
    });
    future::join_all(runs).await;
}
