//! Targets known to a gateway, and the choice of one for a request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use slotmap::{SlotMap, new_key_type};

use crate::fleet::catalog::Catalog;
use crate::fleet::{Phase, Target};
use crate::place::cold::{Start, Tracker};
use crate::place::death::Lifetime;
use crate::place::eligibility::{Eligibility, Pause, Verdict};
use crate::place::forecast::Timing;
use crate::place::limit::Notice;
use crate::place::scope::Scope;

mod cost;

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
/// Cost of a target that is asked only if no other can be.
const LAST_COST: f64 = 100.0;
/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Maximum number of lifetimes without a registration of which the pool remembers what they said.
const MAX_FORMER: usize = 1_024;

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
    /// Time until the prompts that the target has are read.
    pub prefill: Duration,
    /// Time for which the target is still cold.
    pub cold: Duration,
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
    /// Moving average of failed requests, 0 to 1.
    pub failure_rate: f64,
    /// Hash of the target's lifetime, the same at all gateways.
    pub lifetime: u64,
    /// Decides whether the target may be asked.
    pub eligibility: Eligibility,
    /// Until when it is cold.
    pub cold: Tracker,
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
    /// Data centres whose targets may serve the request.
    pub scope: &'a Scope,
    /// When the request must begin at an engine; `None` if that is not predicted.
    pub timing: Option<Timing>,
}

/// All targets known to a gateway.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    entries: SlotMap<TargetKey, Entry>,
    /// Keys by id, sorted.
    ids: Vec<(String, TargetKey)>,
    /// Lifetimes without a registration, oldest first. A registration may come back, from a
    /// store that was away or restored, and what its target said still holds.
    former: VecDeque<(u64, Eligibility)>,
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
            self.remove(key);
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
                    let lifetime = Lifetime::new(&known.value).fingerprint();
                    let eligibility = self.take_former(lifetime);
                    let key = self.entries.insert(Entry {
                        target: known.value.clone(),
                        active: 0,
                        state: None,
                        last_timeout: None,
                        failure_rate: 0.0,
                        lifetime,
                        eligibility: eligibility.unwrap_or_default(),
                        cold: Tracker::default(),
                    });
                    self.ids.insert(i, (known.name.clone(), key));
                }
            }
        }
    }

    /// Updates until when the registered targets are cold. `wall` is the wall clock if they may
    /// have started long ago, because this process has just learned of them all.
    pub fn sync_cold(&mut self, catalog: &Catalog, now: Instant, wall: Option<SystemTime>) {
        let config = catalog.config.as_ref();
        for entry in self.entries.values_mut() {
            let service = config.and_then(|c| c.service(&entry.target.service));
            let start = Start {
                started: entry.target.started,
                left: Some(entry.target.cold_left),
            };
            let cold = service.and_then(|s| s.cold);
            entry.cold.observe(start, cold, now, wall);
        }
    }

    /// Returns whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        // Without its start, a later lifetime under the same id can't be told from this one.
        if entry.target.started != 0 && entry.eligibility.has_notice() {
            self.add_former(entry.lifetime, entry.eligibility);
        }
    }

    fn add_former(&mut self, lifetime: u64, eligibility: Eligibility) {
        if self.former.len() == MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back((lifetime, eligibility));
    }

    fn take_former(&mut self, lifetime: u64) -> Option<Eligibility> {
        let position = self.former.iter().position(|(l, _)| *l == lifetime)?;
        self.former.remove(position).map(|(_, e)| e)
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
            entry.cold.set_left(state.cold, state.received);
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
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|e| e.eligibility.record_limit(notice))
    }

    /// Records that the rate limit of a target leaves no room until `until`.
    pub fn record_limited(&mut self, key: TargetKey, until: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.eligibility.record_limited(until);
        }
    }

    /// Records that the lifetime of a target leaves, as an answer of `key` said. Returns whether
    /// that is new.
    pub fn record_leaving(&mut self, key: TargetKey, lifetime: u64) -> bool {
        self.eligibility_mut(key, lifetime).record_leaving()
    }

    /// Records that the lifetime of a target wants no requests for `wait`, as an answer of `key`
    /// said. Returns whether no wait was in force before.
    pub fn record_wait(
        &mut self,
        key: TargetKey,
        lifetime: u64,
        wait: Duration,
        now: Instant,
    ) -> bool {
        self.eligibility_mut(key, lifetime).record_wait(wait, now)
    }

    /// What decides about a lifetime of a target. Its registration may have gone since the
    /// request was sent, and may come back.
    fn eligibility_mut(&mut self, key: TargetKey, lifetime: u64) -> &mut Eligibility {
        let is_same = |e: &Entry| e.lifetime == lifetime;
        let known = self.entries.get(key).is_some_and(is_same).then_some(key);
        if let Some(key) = known.or_else(|| self.find_lifetime(lifetime)) {
            return &mut self.entries[key].eligibility;
        }
        let eligibility = self.take_former(lifetime).unwrap_or_default();
        self.add_former(lifetime, eligibility);
        let last = self.former.len() - 1;
        &mut self.former[last].1
    }

    /// Returns the key of the target whose lifetime has the hash `lifetime`.
    #[must_use]
    pub fn find_lifetime(&self, lifetime: u64) -> Option<TargetKey> {
        let mut entries = self.entries.iter();
        entries
            .find(|(_, e)| e.lifetime == lifetime)
            .map(|(key, _)| key)
    }

    /// Counts a request that is placed on the target. Returns the hash of the target's lifetime;
    /// 0 if it is no longer registered.
    pub fn begin_request(&mut self, key: TargetKey) -> u64 {
        let Some(entry) = self.entries.get_mut(key) else {
            return 0;
        };
        entry.active += 1;
        if let Some(state) = &mut entry.state {
            state.free = state.free.saturating_sub(1);
        }
        entry.lifetime
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
        entry.eligibility.record_result(is_success, now);
    }

    /// Counts a request for which another target is looked for, because this one is silent.
    pub fn begin_silence(&mut self, key: TargetKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.eligibility.begin_silence();
        }
    }

    /// Counts the end of the silence for one request. `given_up` is its length if the request
    /// did not wait for the target to go on.
    pub fn end_silence(&mut self, key: TargetKey, given_up: Option<Duration>, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.eligibility.end_silence(given_up, now);
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
            is_candidate(e, needs) && !needs.excluded.contains(key) && has_room(e, needs, now)
        });
        let costs = usable.filter_map(|(key, e)| {
            let last = match e.eligibility.verdict(now) {
                Verdict::Ask => 0.0,
                Verdict::AskLast => LAST_COST,
                Verdict::Wait(_) | Verdict::Never => return None,
            };
            Some((last + cost::of(e, needs, now) + draw(), key))
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, key)| key)
    }

    /// Returns whether at least two targets could take a request now.
    #[must_use]
    pub fn has_choice(&self, needs: &Requirements<'_>, now: Instant) -> bool {
        let usable = self.entries.iter().filter(|(key, e)| {
            is_candidate(e, needs)
                && !needs.excluded.contains(key)
                && has_room(e, needs, now)
                && matches!(e.eligibility.verdict(now), Verdict::Ask | Verdict::AskLast)
        });
        usable.take(2).count() == 2
    }

    /// Returns the shortest pause of the targets that could take the request; `None` unless
    /// pauses keep it from all of them that are not excluded.
    #[must_use]
    pub fn pause(&self, needs: &Requirements<'_>, now: Instant) -> Option<Pause> {
        let mut shortest: Option<Pause> = None;
        for (key, entry) in &self.entries {
            if !is_candidate(entry, needs) || !has_room(entry, needs, now) {
                continue;
            }
            match entry.eligibility.verdict(now) {
                Verdict::Wait(pause) if shortest.is_none_or(|s| pause.time < s.time) => {
                    shortest = Some(pause);
                }
                Verdict::Wait(_) | Verdict::Never => {}
                Verdict::Ask | Verdict::AskLast if needs.excluded.contains(&key) => {}
                Verdict::Ask | Verdict::AskLast => return None,
            }
        }
        shortest
    }

    /// Returns whether the request has homes and no data centre there has a ready target of the
    /// service, evacuated or not.
    #[must_use]
    pub fn lacks_home(&self, needs: &Requirements<'_>) -> bool {
        let is_home =
            |e: &Entry| is_ready(e, needs.service) && needs.scope.is_home(&e.target.data_center);
        needs.scope.has_homes() && !self.entries.values().any(is_home)
    }

    /// Returns whether some ready target of the service has the weights that the request needs.
    #[must_use]
    pub fn can_serve(&self, needs: &Requirements<'_>, now: Instant) -> bool {
        self.entries.values().any(|e| {
            is_candidate(e, needs)
                && e.eligibility.verdict(now) != Verdict::Never
                && needs
                    .min_version
                    .is_none_or(|min| e.weights(now).is_some_and(|v| v >= min))
        })
    }
}

/// Whether the target serves the service and does not leave.
fn is_ready(entry: &Entry, service: &str) -> bool {
    entry.target.service == service && entry.target.phase == Phase::Ready
}

/// Whether the target serves the service, may serve the request and does not leave.
fn is_candidate(entry: &Entry, needs: &Requirements<'_>) -> bool {
    is_ready(entry, needs.service) && needs.scope.allows(&entry.target.data_center)
}

/// Whether the target can take a request, as far as the gateway knows, if it may be asked.
fn has_room(entry: &Entry, needs: &Requirements<'_>, now: Instant) -> bool {
    let Some(min_version) = needs.min_version else {
        return true;
    };
    if entry.weights(now).is_none_or(|held| held < min_version) {
        return false;
    }
    match entry.current_state(now) {
        Some(state) => state.is_open,
        // Only the host beside a cold engine knows how many requests the engine gets.
        None => entry.active < MAX_UNREPORTED_REQUESTS && entry.cold.left(now).is_zero(),
    }
}
