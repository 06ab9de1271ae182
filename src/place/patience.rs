//! How long callers wait for a silent target, and from when a second attempt helps them.
//!
//! Load pattern: a sound target falls silent for a second or so, in one answer or as a whole
//! process, and goes on; another one never does. Until then nothing tells the two apart. A
//! second attempt helps a caller only if its first bytes arrive before the caller leaves, and
//! an attempt that begins much earlier takes a place from another caller for an answer that
//! in most cases goes on by itself.

use std::time::{Duration, Instant};

use crate::fleet::{Route, RouteKind};

/// Shortest silence after which callers leave a stream, by the users' protocol.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Silence after which callers leave a stream, as a multiple of the objective.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Silence after which callers leave a stream, as a multiple of the longest timely pause.
const PATIENCE_PAUSES: u32 = 8;
/// Time that a second attempt at a stream gets before the caller leaves, as a multiple of the
/// objective: one for finding a place and one for the first event.
const LEAD_OBJECTIVES: u32 = 2;
/// Multiple of the objective after which a complete answer is looked for elsewhere. Its caller
/// waits until the deadline, so the second attempt only has to be worth its place.
const LATE_OBJECTIVES: u32 = 3;

/// Returns the silence after which the caller of a stream leaves; `None` for other answers,
/// whose callers wait until the deadline.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::fleet::{Route, RouteKind};
/// use corianderramp::place::patience;
///
/// let mut route = Route {
///     kind: RouteKind::Stream { resumable: true },
///     objective: Duration::from_millis(400),
///     max_pause: Duration::from_millis(300),
///     ..Route::default()
/// };
/// assert_eq!(patience::of_stream(&route), Some(Duration::from_millis(2_400)));
/// route.kind = RouteKind::Idempotent;
/// assert_eq!(patience::of_stream(&route), None);
/// ```
#[must_use]
pub fn of_stream(route: &Route) -> Option<Duration> {
    let RouteKind::Stream { .. } = route.kind else {
        return None;
    };
    let objectives = route.objective.saturating_mul(PATIENCE_OBJECTIVES);
    let pauses = route.max_pause.saturating_mul(PATIENCE_PAUSES);
    Some(MIN_PATIENCE.max(objectives).max(pauses))
}

/// Returns when another target is worth looking for, if the caller has received nothing since
/// `silent_since` and receives nothing until then. The caller leaves at `deadline` at the
/// latest. At least half of its time is left to the first target. `None` if the other target
/// would not have its objective before the deadline.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::fleet::{Route, RouteKind};
/// use corianderramp::place::patience;
///
/// let route = Route {
///     kind: RouteKind::Idempotent,
///     objective: Duration::from_millis(100),
///     ..Route::default()
/// };
/// let now = Instant::now();
/// let look = patience::look_time(&route, now, now + Duration::from_secs(2));
/// assert_eq!(look, Some(now + Duration::from_millis(300)));
/// let look = patience::look_time(&route, now, now + Duration::from_millis(150));
/// assert_eq!(look, None);
/// ```
#[must_use]
pub fn look_time(route: &Route, silent_since: Instant, deadline: Instant) -> Option<Instant> {
    let left = deadline.saturating_duration_since(silent_since);
    let wait = match of_stream(route) {
        Some(patience) => {
            let patience = patience.min(left);
            let lead = route.objective.saturating_mul(LEAD_OBJECTIVES);
            patience.saturating_sub(lead).max(patience / 2)
        }
        None => route
            .objective
            .saturating_mul(LATE_OBJECTIVES)
            .min(left / 2),
    };
    (left >= wait + route.objective).then(|| silent_since + wait)
}
