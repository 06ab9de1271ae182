//! Cost of a target for a request, by which the pool compares targets.

use std::time::{Duration, Instant};

use crate::place::forecast::Timing;
use crate::place::pool::{Entry, Requirements};

/// Requests that one gateway has at a plain service's target before it prefers a target in
/// another data centre.
const MAX_LOCAL_REQUESTS: u32 = 4;
/// Expected wait that adds 1 to the cost of a target. The random part of the cost, which
/// spreads requests over equal targets, is below 1.
const WAIT_UNIT: Duration = Duration::from_millis(20);
/// Cost of a target in another data centre.
const REMOTE_COST: f64 = 1.5;
/// Cost of a target without free slots; in proportion for a part of the slots.
const LOAD_COST: f64 = 3.0;
/// Share of its longest wait up to which a short prompt is indifferent among engines. In the
/// model of `tests/long_prompts.rs`, larger shares send more requests to slow engines.
const INDIFFERENT_SHARE: f64 = 0.1;
/// Share of free slots above which short prompts do not prefer an engine, so that engines that were
/// slow, and are empty then, are not flooded.
const FREE_SHARE: f64 = 0.5;
/// Cost of a target without a current agent report.
const UNREPORTED_COST: f64 = 10.0;

/// Cost of a target that may be asked. Costs that differ by 1 or more decide the choice; below that the
/// random part matters too.
pub(super) fn of(entry: &Entry, needs: &Requirements<'_>, now: Instant) -> f64 {
    let is_remote = entry.target.data_center != needs.data_center;
    let failures = entry.failure_rate * 20.0;
    let load = match (needs.min_version, entry.current_state(now)) {
        (Some(_), Some(state)) => {
            let age = now.saturating_duration_since(state.received);
            let wait = state.wait.saturating_sub(age);
            let free = f64::from(state.free) / f64::from(entry.target.slots.max(1));
            let distance = if is_remote { REMOTE_COST } else { 0.0 };
            distance + engine_cost(needs.timing, wait, free.min(1.0))
        }
        (Some(_), None) => UNREPORTED_COST + f64::from(entry.active),
        (None, _) => {
            let distance = if is_remote {
                f64::from(MAX_LOCAL_REQUESTS)
            } else {
                0.0
            };
            distance + f64::from(entry.active)
        }
    };
    failures + load
}

/// Cost of an engine with a current report, by its expected wait and its share of free slots.
///
/// Load pattern: prompts of any length come to all gateways, whose reports of engines are up to a
/// second old. A long prompt goes where the backlog is smallest. A short one is placed equally
/// over the engines at which it begins soon enough, so that gateways with the same old reports don't all
/// take the emptiest.
fn engine_cost(timing: Option<Timing>, wait: Duration, free: f64) -> f64 {
    let queue = |wait: Duration| wait.as_secs_f64() / WAIT_UNIT.as_secs_f64();
    match timing {
        Some(timing) if !timing.is_long => {
            let late = wait.saturating_sub(timing.slack.mul_f64(INDIFFERENT_SHARE));
            let busy = (FREE_SHARE - free).max(0.0) / FREE_SHARE;
            queue(late) + LOAD_COST * busy
        }
        _ => queue(wait) + LOAD_COST * (1.0 - free),
    }
}
