//! Targets known to a gateway, and the choice of one for a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::fleet::catalog::Catalog;
use crate::fleet::{Phase, Target};
use crate::place::death::Lifetime;
use crate::place::limit::Notice;

new_key_type! {
    /// Key of a target in the pool.
    pub struct TargetKey;
}

/// Age from which an agent's report is ignored.
pub const MAX_STATE_AGE: Duration = Duration::from_secs(3);
/// Time for which an agent is not asked again after it failed to answer.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(1);
/// Requests that one gateway may have at a target without a current agent report. A
/// deployment has about as many gateways as a target has slots.
const MAX_UNREPORTED_REQUESTS: u32 = 2;
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
/// Cost of a target without a current agent report.
const UNREPORTED_COST: f64 = 10.0;
/// Time for which a failed target is chosen last, per consecutive failure.
const AVOID_TIME: Duration = Duration::from_millis(400);
/// Consecutive failures from which that time grows no further.
const MAX_AVOID_STEPS: u32 = 5;
/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// State of a target, as its agent reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentState {
    /// Number of free slots.
    pub free: u32,
    /// Expected wait of a new request before its prefill begins.
    pub wait: Duration,
    /// Version of the weights that the target serves; 0 while it serves none.
    pub weights: u64,
    /// Whether the target accepts new requests.
    pub is_open: bool,
    /// When the report arrived.
    pub received: Instant,
}

/// A target and what this gateway knows about it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Target as registered.
    pub target: Target,
    /// Requests of this gateway in progress.
    pub active: u32,
    /// Newest report of its agent.
    pub state: Option<AgentState>,
    /// When its agent last failed to answer; `None` after a report.
    pub last_timeout: Option<Instant>,
    /// Failures since the last success.
    pub failures: u32,
    /// Moving average of failed requests, 0 to 1.
    pub failure_rate: f64,
    /// Until when the target is chosen last.
    pub avoid_until: Option<Instant>,
    /// Requests of this gateway for which another target is looked for, because this one is
    /// silent. It is chosen last meanwhile.
    pub silent: u32,
    /// Hash of the target's lifetime, the same at all gateways.
    pub lifetime: u64,
    /// What the target last said of its rate limit.
    pub limit: Option<Notice>,
    /// Until when its rate limit leaves no room for a request.
    pub limited_until: Option<Instant>,
}

impl Entry {
    fn current_state(&self, now: Instant) -> Option<&AgentState> {
        let is_current =
            |s: &&AgentState| now.saturating_duration_since(s.received) < MAX_STATE_AGE;
        self.state.as_ref().filter(is_current)
    }

    /// Returns the version of the weights that the target serves, from its agent's report or
    /// else from its registration.
    #[must_use]
    pub fn weights(&self, now: Instant) -> Option<u64> {
        match self.current_state(now) {
            Some(state) => Some(state.weights).filter(|v| *v > 0),
            None => self.target.weights,
        }
    }

    /// Returns whether the target has a current agent report.
    #[must_use]
    pub fn has_agent(&self, now: Instant) -> bool {
        self.current_state(now).is_some()
    }

    /// Returns whether the agent failed to answer so recently that it is not asked again yet.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < UNRESPONSIVE_PAUSE;
        self.last_timeout.is_some_and(is_recent)
    }

    /// Time until the target's rate limit leaves room for a request; `None` if it does now.
    #[must_use]
    pub fn limit_wait(&self, now: Instant) -> Option<Duration> {
        let wait = self.limited_until?.saturating_duration_since(now);
        Some(wait).filter(|w| !w.is_zero())
    }

    fn is_avoided(&self, now: Instant) -> bool {
        self.silent > 0 || self.avoid_until.is_some_and(|until| now < until)
    }
}

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that serves the request.
    pub service: &'a str,
    /// Targets that must not be chosen.
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
    /// Updates the pool to the registered targets. A restarted target gets a new key and
    /// an empty state.
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
                Ok(i) => {
                    let entry = &mut self.entries[self.ids[i].1];
                    if entry.target != known.value {
                        entry.target = known.value.clone();
                        entry.lifetime = Lifetime::new(&known.value).fingerprint();
                    }
                }
                Err(i) => {
                    let key = self.entries.insert(Entry {
                        target: known.value.clone(),
                        active: 0,
                        state: None,
                        last_timeout: None,
                        failures: 0,
                        failure_rate: 0.0,
                        avoid_until: None,
                        silent: 0,
                        lifetime: Lifetime::new(&known.value).fingerprint(),
                        limit: None,
                        limited_until: None,
                    });
                    self.ids.insert(i, (known.name.clone(), key));
                }
            }
        }
    }

    /// Returns the target with `key`; `None` when it is no longer registered.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Entry)> {
        self.entries.iter()
    }

    /// Returns the key of the target that listens on `address`.
    #[must_use]
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        let same = |(_, e): &(TargetKey, &Entry)| e.target.address == address;
        self.entries.iter().find(same).map(|(key, _)| key)
    }

    /// Stores a report of the target's agent.
    pub fn update_state(&mut self, key: TargetKey, state: AgentState) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = Some(state);
            entry.last_timeout = None;
        }
    }

    /// Drops the report of an agent that failed to answer.
    pub fn mark_unresponsive(&mut self, key: TargetKey, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = None;
            entry.last_timeout = Some(now);
        }
    }

    /// Records what a target said of its rate limit. Returns whether the limit changed.
    pub fn record_limit(&mut self, key: TargetKey, notice: Notice) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if !notice.replaces(entry.limit.as_ref()) {
            return false;
        }
        let before = entry.limit.replace(notice).and_then(|n| n.rate);
        if notice.rate != before {
            entry.limited_until = None;
        }
        before != notice.rate
    }

    /// Records that the rate limit of a target leaves no room until `until`.
    pub fn record_limited(&mut self, key: TargetKey, until: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.limited_until = Some(until);
        }
    }

    /// Returns the key of the target whose lifetime has the hash `lifetime`.
    #[must_use]
    pub fn find_lifetime(&self, lifetime: u64) -> Option<TargetKey> {
        let mut entries = self.entries.iter();
        entries
            .find(|(_, e)| e.lifetime == lifetime)
            .map(|(key, _)| key)
    }

    /// Counts a request that is placed on the target.
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

    /// Records whether a request to the target succeeded.
    pub fn record_result(&mut self, key: TargetKey, is_success: bool, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let sample = if is_success { 0.0 } else { 1.0 };
        entry.failure_rate += (sample - entry.failure_rate) * FAILURE_WEIGHT;
        if is_success {
            entry.failures = 0;
            entry.avoid_until = None;
        } else {
            entry.failures += 1;
            let steps = entry.failures.min(MAX_AVOID_STEPS);
            entry.avoid_until = Some(now + AVOID_TIME * steps);
        }
    }

    /// Counts a request that has waited for the silent target so long that another one is looked
    /// for.
    pub fn begin_silence(&mut self, key: TargetKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.silent += 1;
        }
    }

    /// Counts the end of the silence for one request. `given_up` is its length if the request
    /// did not wait for the target to go on; the target is then chosen last for as long, unless
    /// it answers another request. A silence alone counts as no failure: sound targets pause.
    pub fn end_silence(&mut self, key: TargetKey, given_up: Option<Duration>, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.silent = entry.silent.saturating_sub(1);
        if let Some(silence) = given_up {
            let until = now + silence;
            entry.avoid_until = Some(entry.avoid_until.map_or(until, |at| at.max(until)));
        }
    }

    /// Returns the target with the lowest cost for a request; `None` when no target can take
    /// it. `draw` returns uniform random numbers in 0..1, which spread the requests of all
    /// gateways over equal targets.
    #[must_use]
    pub fn choose(
        &self,
        needs: &Requirements<'_>,
        now: Instant,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetKey> {
        let usable = self.entries.iter().filter(|(key, e)| {
            is_candidate(e, needs)
                && !needs.excluded.contains(key)
                && has_room(e, needs, now)
                && e.limit_wait(now).is_none()
        });
        let costs = usable.map(|(key, e)| (cost(e, needs, now) + draw(), key));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, key)| key)
    }

    /// Returns whether at least two targets could take a request now.
    #[must_use]
    pub fn has_choice(&self, needs: &Requirements<'_>, now: Instant) -> bool {
        let usable = self.entries.iter().filter(|(key, e)| {
            is_candidate(e, needs) && !needs.excluded.contains(key) && has_room(e, needs, now)
        });
        usable.take(2).count() == 2
    }

    /// Returns the time until a rate limit leaves room for the request at one of the targets that
    /// are not excluded; `None` unless limits alone keep it from all of them.
    #[must_use]
    pub fn limit_wait(&self, needs: &Requirements<'_>, now: Instant) -> Option<Duration> {
        let candidates = self.entries.iter().filter(|(key, e)| {
            is_candidate(e, needs) && !needs.excluded.contains(key) && has_room(e, needs, now)
        });
        let waits: Option<Vec<Duration>> = candidates.map(|(_, e)| e.limit_wait(now)).collect();
        waits?.into_iter().min()
    }

    /// Returns whether some ready target of the service has the weights that the request needs.
    #[must_use]
    pub fn can_serve(&self, needs: &Requirements<'_>, now: Instant) -> bool {
        self.entries.values().any(|e| {
            is_candidate(e, needs)
                && needs
                    .min_version
                    .is_none_or(|min| e.weights(now).is_some_and(|v| v >= min))
        })
    }
}

/// Whether the target serves the service and does not leave.
fn is_candidate(entry: &Entry, needs: &Requirements<'_>) -> bool {
    entry.target.service == needs.service && entry.target.phase == Phase::Ready
}

/// Whether the target can take a request, as far as the gateway knows, if its rate limit allows.
fn has_room(entry: &Entry, needs: &Requirements<'_>, now: Instant) -> bool {
    let Some(min_version) = needs.min_version else {
        return true;
    };
    if entry.weights(now).is_none_or(|held| held < min_version) {
        return false;
    }
    match entry.current_state(now) {
        Some(state) => state.is_open,
        None => entry.active < MAX_UNREPORTED_REQUESTS,
    }
}

/// Cost of a target. Costs that differ by 1 or more decide the choice; below that the
/// random part matters too.
fn cost(entry: &Entry, needs: &Requirements<'_>, now: Instant) -> f64 {
    let is_remote = entry.target.data_center != needs.data_center;
    let avoided = if entry.is_avoided(now) { 100.0 } else { 0.0 };
    let failures = entry.failure_rate * 20.0;
    let load = match (needs.min_version, entry.current_state(now)) {
        (Some(_), Some(state)) => {
            let age = now.saturating_duration_since(state.received);
            let wait = state.wait.saturating_sub(age);
            let queue = wait.as_secs_f64() / WAIT_UNIT.as_secs_f64();
            let free = f64::from(state.free) / f64::from(entry.target.slots.max(1));
            let distance = if is_remote { REMOTE_COST } else { 0.0 };
            distance + queue + LOAD_COST * (1.0 - free.min(1.0))
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
    avoided + failures + load
}
