//! Choice of a target.

use rand::{Rng, RngExt};

/// Time that one cached block of a prompt saves, in seconds; measured with the
/// engines' prompt processing at 64 bytes a block, and only compared with waits.
const BLOCK_GAIN: f64 = 0.000_2;

/// A target that can take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the target is in the entry's own data centre.
    pub local: bool,
    /// Expected wait before the request runs, seconds.
    pub wait: f64,
    /// Round trip to the target, seconds.
    pub delay: f64,
    /// Leading blocks of the prompt that the target has cached.
    pub cached: usize,
    /// Requests of this entry in flight there.
    pub in_flight: usize,
}

/// How targets are chosen. All but the default are baselines of the load tool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The better of two random targets and the one with the longest cached prefix.
    #[default]
    PowerOfTwo,
    /// Any target.
    Random,
    /// One after the other.
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
    /// Age of the report, the lag that the target states included, seconds.
    pub age: f64,
    /// Requests that the target runs at the same time.
    pub capacity: f64,
    /// Time that a request takes, seconds.
    pub duration: f64,
}

/// Time in which the reported part of the load loses half its weight, seconds.
/// Old reports describe requests that have ended since.
const HALF_LIFE: f64 = 1.0;

/// Weight of requests that run beside each other, compared with waiting ones.
/// They share the target, so a less busy one is slightly faster.
const SHARING: f64 = 0.05;

/// Expected wait before one more request runs, seconds.
///
/// ```
/// use corianderramp::entry::route;
///
/// let load = route::Load { own: 0, others: 8.0, age: 0.0, capacity: 4.0, duration: 0.1 };
/// let old = route::Load { age: 5.0, ..load };
/// assert!(route::wait(load) > route::wait(old));
/// ```
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn wait(load: Load) -> f64 {
    let aged = load.others * (-load.age / HALF_LIFE).exp2();
    let present = load.own as f64 + aged;
    let spacing = load.duration / load.capacity.max(1.0);
    let queued = (present + 1.0 - load.capacity).max(0.0);
    spacing * (queued + present * SHARING)
}

/// Cost of sending the request to a target, seconds.
#[allow(clippy::cast_precision_loss)]
fn cost(candidate: &Candidate) -> f64 {
    candidate.wait - candidate.cached as f64 * BLOCK_GAIN
}

/// Index of the chosen candidate; `turn` counts the choices made.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate],
    turn: usize,
    random: &mut impl Rng,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match policy {
        Policy::PowerOfTwo => near(candidates, random),
        Policy::Random => Some(random.random_range(0..candidates.len())),
        Policy::RoundRobin => Some(turn % candidates.len()),
        Policy::LeastConnections => {
            let turn = turn % candidates.len();
            let order = (0..candidates.len()).map(|i| (i + turn) % candidates.len());
            order.min_by_key(|i| candidates[*i].in_flight)
        }
    }
}

/// Best of the own data centre, unless another one is so much less loaded that
/// it makes up for the way there.
fn near(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let indices = |local| {
        let all = 0..candidates.len();
        all.filter(|i| candidates[*i].local == local)
            .collect::<Vec<usize>>()
    };
    let own = best(candidates, &indices(true), random);
    let far = best(candidates, &indices(false), random);
    match (own, far) {
        (Some(own), Some(far)) => {
            let extra = (candidates[far].delay - candidates[own].delay).max(0.0);
            let spill = candidates[far].wait + extra < candidates[own].wait;
            Some(if spill { far } else { own })
        }
        (own, far) => own.or(far),
    }
}

fn best(candidates: &[Candidate], indices: &[usize], random: &mut impl Rng) -> Option<usize> {
    let count = indices.len();
    if count == 0 {
        return None;
    }
    let first = random.random_range(0..count);
    // The second differs from the first when there are two or more.
    let second = (first + random.random_range(1..count.max(2))) % count;
    let cached = indices
        .iter()
        .filter(|i| candidates[**i].cached > 0)
        .max_by_key(|i| candidates[**i].cached);
    let drawn = [Some(&indices[first]), Some(&indices[second]), cached];
    let order = |a: &&usize, b: &&usize| {
        let (a, b) = (&candidates[**a], &candidates[**b]);
        cost(a).total_cmp(&cost(b))
    };
    drawn.into_iter().flatten().min_by(order).copied()
}
