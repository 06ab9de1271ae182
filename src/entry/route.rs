//! Selection of a target.

use rand::{Rng, RngExt};

/// Prompt processing time that one cached block saves, seconds. It follows from
/// the engines' processing speed at 64 bytes per block and is only compared
/// with waiting times.
const CACHED_BLOCK_SAVING_S: f64 = 0.000_2;

/// A target that can take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the target is in the entry's own data centre.
    pub local: bool,
    /// Expected wait before the request runs, seconds.
    pub wait: f64,
    /// Round-trip time to the target, seconds.
    pub rtt: f64,
    /// Leading blocks of the prompt that the target has cached.
    pub cached_blocks: usize,
    /// Requests of this entry in flight at the target.
    pub in_flight: usize,
}

/// How targets are selected. All but the default are baselines for load tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The best of two random targets and the one with the longest cached
    /// prefix.
    #[default]
    PowerOfTwo,
    /// A random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this entry.
    LeastConnections,
}

/// Load of a target as seen by this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests of this entry in flight.
    pub own: usize,
    /// Requests of other entries at the time of the last report.
    pub others: f64,
    /// Age of the report, seconds.
    pub age: f64,
    /// Requests that the target runs concurrently.
    pub capacity: f64,
    /// Duration of a request, seconds.
    pub duration: f64,
}

/// Time after which the load of other entries counts half, seconds, since
/// reported requests end meanwhile.
const REPORT_HALF_LIFE_S: f64 = 1.0;

/// Weight of a concurrent request relative to a waiting one. Concurrent
/// requests share the target, so a less busy target is slightly faster.
const CONCURRENCY_WEIGHT: f64 = 0.05;

/// Expected wait before one more request runs, seconds.
///
/// ```
/// use corianderramp::entry::route;
///
/// let load = route::Load { own: 0, others: 8.0, age: 0.0, capacity: 4.0, duration: 0.1 };
/// let old = route::Load { age: 5.0, ..load };
/// assert!(route::expected_wait(load) > route::expected_wait(old));
/// ```
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn expected_wait(load: Load) -> f64 {
    let aged = load.others * (-load.age / REPORT_HALF_LIFE_S).exp2();
    let present = load.own as f64 + aged;
    let spacing = load.duration / load.capacity.max(1.0);
    let queued = (present + 1.0 - load.capacity).max(0.0);
    spacing * (queued + present * CONCURRENCY_WEIGHT)
}

/// Cost of sending the request to a target, in seconds.
#[allow(clippy::cast_precision_loss)]
fn cost(candidate: &Candidate) -> f64 {
    candidate.wait - candidate.cached_blocks as f64 * CACHED_BLOCK_SAVING_S
}

/// Returns the index of the selected candidate; `rotation` counts earlier
/// selections. `None` without candidates.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate],
    rotation: usize,
    random: &mut impl Rng,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match policy {
        Policy::PowerOfTwo => prefer_local(candidates, random),
        Policy::Random => Some(random.random_range(0..candidates.len())),
        Policy::RoundRobin => Some(rotation % candidates.len()),
        Policy::LeastConnections => {
            let rotation = rotation % candidates.len();
            let order = (0..candidates.len()).map(|i| (i + rotation) % candidates.len());
            order.min_by_key(|i| candidates[*i].in_flight)
        }
    }
}

/// Selects the best target of the own data centre, unless the best remote one
/// has a shorter wait even with the longer round trip.
fn prefer_local(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let indices = |is_local| {
        let all = 0..candidates.len();
        all.filter(|i| candidates[*i].local == is_local)
            .collect::<Vec<usize>>()
    };
    let local = best_of(candidates, &indices(true), random);
    let remote = best_of(candidates, &indices(false), random);
    match (local, remote) {
        (Some(local), Some(remote)) => {
            let extra_rtt = (candidates[remote].rtt - candidates[local].rtt).max(0.0);
            let spill = candidates[remote].wait + extra_rtt < candidates[local].wait;
            Some(if spill { remote } else { local })
        }
        (local, remote) => local.or(remote),
    }
}

fn best_of(candidates: &[Candidate], indices: &[usize], random: &mut impl Rng) -> Option<usize> {
    let count = indices.len();
    if count == 0 {
        return None;
    }
    let first = random.random_range(0..count);
    // Differs from `first` if there are at least two.
    let second = (first + random.random_range(1..count.max(2))) % count;
    let cached = indices
        .iter()
        .filter(|i| candidates[**i].cached_blocks > 0)
        .max_by_key(|i| candidates[**i].cached_blocks);
    let options = [Some(&indices[first]), Some(&indices[second]), cached];
    let order = |a: &&usize, b: &&usize| {
        let (a, b) = (&candidates[**a], &candidates[**b]);
        cost(a).total_cmp(&cost(b))
    };
    options.into_iter().flatten().min_by(order).copied()
}
