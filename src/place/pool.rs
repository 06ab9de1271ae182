//! Targets as one gateway sees them, and its choice among them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::fleet::catalog::Catalog;
use crate::fleet::{Phase, Target};

new_key_type! {
    /// A target's place in the pool.
    pub struct TargetKey;
}

/// Age up to which an agent's statement is used.
pub const STATE_AGE: Duration = Duration::from_secs(3);
/// Time for which an agent that did not answer is not asked again.
const SILENCE: Duration = Duration::from_secs(1);
/// Requests that one gateway has at a target whose agent is silent. The gateways of a
/// deployment are about as many as a target has slots.
const BLIND_REQUESTS: u32 = 2;
/// Requests that one gateway has at a plain target before it prefers another data centre.
const NEAR_REQUESTS: u32 = 4;
/// Wait that weighs as much as the spread between equal targets.
const WAIT_UNIT: Duration = Duration::from_millis(20);
/// Cost of a target in another data centre, in the same unit.
const FAR_COST: f64 = 1.5;
/// Cost of a target whose slots are all taken, in the same unit.
const LOAD_COST: f64 = 3.0;
/// Cost of a target whose agent is silent, in the same unit.
const BLIND_COST: f64 = 10.0;
/// Time for which a target that failed is chosen last, for each failure in a row.
const AVOID: Duration = Duration::from_millis(400);
/// Failures in a row after which the avoidance grows no further.
const AVOID_STEPS: u32 = 5;
/// Weight of a new observation in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// What the agent beside a target said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentState {
    /// Slots that nobody holds.
    pub free: u32,
    /// Time that a request waits at the target until its prompt is read.
    pub wait: Duration,
    /// Version of the weights that the target serves; 0 while it serves none.
    pub weights: u64,
    /// Whether it takes requests.
    pub is_open: bool,
    /// When the statement arrived.
    pub received: Instant,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Entry {
    /// As registered.
    pub target: Target,
    /// Own requests in progress.
    pub active: u32,
    /// Newest statement of its agent.
    pub state: Option<AgentState>,
    /// When its agent last failed to answer.
    pub last_timeout: Option<Instant>,
    /// Failures since the last success.
    pub failures: u32,
    /// Share of requests that failed lately, 0 to 1.
    pub failure_rate: f64,
    /// Until when the target is chosen last.
    pub avoid_until: Option<Instant>,
}

impl Entry {
    fn state(&self, now: Instant) -> Option<&AgentState> {
        let fresh = |s: &&AgentState| now.saturating_duration_since(s.received) < STATE_AGE;
        self.state.as_ref().filter(fresh)
    }

    /// Version of the weights that the target serves, by its agent or by its entry.
    #[must_use]
    pub fn weights(&self, now: Instant) -> Option<u64> {
        match self.state(now) {
            Some(state) => Some(state.weights).filter(|v| *v > 0),
            None => self.target.weights,
        }
    }

    /// Whether an agent speaks for the target.
    #[must_use]
    pub fn has_agent(&self, now: Instant) -> bool {
        self.state(now).is_some()
    }

    /// Whether its agent did not answer lately, so that it is not asked again yet.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let lately = |at| now.saturating_duration_since(at) < SILENCE;
        self.last_timeout.is_some_and(lately)
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service.
    pub service: &'a str,
    /// Targets that were tried.
    pub excluded: &'a [TargetKey],
    /// Lowest version of the weights; `None` for services without engines.
    pub min_version: Option<u64>,
    /// Data centre of the gateway.
    pub data_center: &'a str,
}

/// All targets known to a gateway.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    entries: SlotMap<TargetKey, Entry>,
    /// Keys by id, sorted.
    ids: Vec<(String, TargetKey)>,
}

impl Pool {
    /// Takes the registered targets over. One that started again is a new one.
    pub fn sync(&mut self, catalog: &Catalog) {
        let gone: Vec<TargetKey> = self
            .entries
            .iter()
            .filter(|(_, e)| {
                catalog
                    .target(&e.target.id)
                    .is_none_or(|t| t.started != e.target.started)
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.entries.remove(key);
        }
        self.ids.retain(|(_, key)| self.entries.contains_key(*key));
        for known in &catalog.targets {
            match self.ids.binary_search_by(|(id, _)| id.cmp(&known.name)) {
                Ok(i) => self.entries[self.ids[i].1].target = known.value.clone(),
                Err(i) => {
                    let key = self.entries.insert(Entry {
                        target: known.value.clone(),
                        active: 0,
                        state: None,
                        last_timeout: None,
                        failures: 0,
                        failure_rate: 0.0,
                        avoid_until: None,
                    });
                    self.ids.insert(i, (known.name.clone(), key));
                }
            }
        }
    }

    /// Target at `key`, unless it has left.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Entry)> {
        self.entries.iter()
    }

    /// Target at an IP address that belongs to an engine's agent.
    #[must_use]
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        let same = |(_, e): &(TargetKey, &Entry)| e.target.address == address;
        self.entries.iter().find(same).map(|(key, _)| key)
    }

    /// Notes what an agent said.
    pub fn update_state(&mut self, key: TargetKey, state: AgentState) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = Some(state);
            entry.last_timeout = None;
        }
    }

    /// Forgets what an agent said, because it no longer answers.
    pub fn mark_unresponsive(&mut self, key: TargetKey, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = None;
            entry.last_timeout = Some(now);
        }
    }

    /// Counts a request that is sent to the target.
    pub fn begin_request(&mut self, key: TargetKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.active += 1;
            if let Some(state) = &mut entry.state {
                state.free = state.free.saturating_sub(1);
            }
        }
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self, key: TargetKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.active = entry.active.saturating_sub(1);
        }
    }

    /// Notes whether a target answered as it should.
    pub fn record_result(&mut self, key: TargetKey, is_good: bool, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let sample = if is_good { 0.0 } else { 1.0 };
        entry.failure_rate += (sample - entry.failure_rate) * FAILURE_WEIGHT;
        if is_good {
            entry.failures = 0;
            entry.avoid_until = None;
        } else {
            entry.failures += 1;
            let steps = entry.failures.min(AVOID_STEPS);
            entry.avoid_until = Some(now + AVOID * steps);
        }
    }

    /// Best target for a request, or `None` when none can take it. `draw` gives uniform
    /// numbers in 0..1 that spread the gateways over equal targets.
    #[must_use]
    pub fn choose(
        &self,
        want: &Requirements<'_>,
        now: Instant,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetKey> {
        let usable = self.entries.iter().filter(|(key, e)| {
            e.target.service == want.service
                && e.target.phase == Phase::Ready
                && !want.excluded.contains(key)
                && fits(e, want, now)
        });
        let rated = usable.map(|(key, e)| (cost(e, want, now) + draw(), key));
        let best = rated.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, key)| key)
    }

    /// Whether some target of the service holds weights that are new enough.
    #[must_use]
    pub fn can_serve(&self, want: &Requirements<'_>, now: Instant) -> bool {
        self.entries.values().any(|e| {
            e.target.service == want.service
                && e.target.phase == Phase::Ready
                && want
                    .min_version
                    .is_none_or(|least| e.weights(now).is_some_and(|v| v >= least))
        })
    }
}

/// Whether a target can take the request as far as the gateway knows.
fn fits(entry: &Entry, want: &Requirements<'_>, now: Instant) -> bool {
    let Some(least) = want.min_version else {
        return true;
    };
    if entry.weights(now).is_none_or(|held| held < least) {
        return false;
    }
    match entry.state(now) {
        Some(state) => state.is_open,
        None => entry.active < BLIND_REQUESTS,
    }
}

/// Cost of a target; whole numbers separate classes, the draw decides within one.
fn cost(entry: &Entry, want: &Requirements<'_>, now: Instant) -> f64 {
    let far = entry.target.data_center != want.data_center;
    let avoided = if entry.is_avoided(now) { 100.0 } else { 0.0 };
    let faulty = entry.failure_rate * 20.0;
    let load = match (want.min_version, entry.state(now)) {
        (Some(_), Some(state)) => {
            let age = now.saturating_duration_since(state.received);
            let left = state.wait.saturating_sub(age);
            let queue = left.as_secs_f64() / WAIT_UNIT.as_secs_f64();
            let part = f64::from(state.free) / f64::from(entry.target.slots.max(1));
            let near = if far { FAR_COST } else { 0.0 };
            near + queue + LOAD_COST * (1.0 - part.min(1.0))
        }
        (Some(_), None) => BLIND_COST + f64::from(entry.active),
        (None, _) => {
            let near = if far { f64::from(NEAR_REQUESTS) } else { 0.0 };
            near + f64::from(entry.active)
        }
    };
    avoided + faulty + load
}
