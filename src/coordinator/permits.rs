//! Permits for targets to switch versions, at most `max_unavailable` per service
//! at the same time.

use std::time::{Duration, Instant};

use crate::control::pb::{AgentProgress, Stage};
use crate::resource::{Object, rollout};

/// Time without a report after which the permit of a holder is freed. Agents
/// report at least once a second.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a new coordinator grants no permits, so that every agent that
/// holds one from its predecessor has reported first.
pub const GRACE_PERIOD: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Holder {
    service: String,
    vm: String,
    last_report: Instant,
    /// Whether the target has stopped serving under this permit.
    stopped: bool,
}

/// Permits in use in the data centre.
#[derive(Clone, Debug)]
pub struct Permits {
    /// Sorted by service and VM.
    holders: Vec<Holder>,
    /// When this process became the coordinator.
    active_since: Instant,
}

impl Permits {
    /// Empty set for a coordinator that became active at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            holders: Vec::new(),
            active_since: now,
        }
    }

    /// Number of targets of `service` that hold a permit.
    #[must_use]
    pub fn in_use(&self, service: &str) -> usize {
        self.holders.iter().filter(|h| h.service == service).count()
    }

    /// Processes the report of an agent and returns whether the agent holds a
    /// permit. `rollout` is the newest rollout of its service.
    pub fn update(
        &mut self,
        progress: &AgentProgress,
        rollout: Option<&Object<rollout::Rollout>>,
        now: Instant,
    ) -> bool {
        self.holders
            .retain(|h| now.saturating_duration_since(h.last_report) < REPORT_TIMEOUT);
        let index = self.find(&progress.service, &progress.vm);
        let stopped = is_stopped(progress);
        match index {
            Ok(i) if needs_permit(&self.holders[i], progress) => {
                self.holders[i].last_report = now;
                self.holders[i].stopped |= stopped;
                true
            }
            Ok(i) => {
                self.holders.remove(i);
                false
            }
            // A predecessor granted this permit. It counts even if that exceeds the limit.
            Err(i) if stopped => {
                self.insert(i, progress, true, now);
                true
            }
            Err(i) => {
                let granted = progress.want_permit && self.may_grant(progress, rollout, now);
                if granted {
                    self.insert(i, progress, false, now);
                }
                granted
            }
        }
    }

    /// Frees the permits of VMs for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.holders.retain(|h| is_listed(&h.vm));
    }

    fn may_grant(
        &self,
        progress: &AgentProgress,
        rollout: Option<&Object<rollout::Rollout>>,
        now: Instant,
    ) -> bool {
        let Some(rollout) = rollout else {
            return false;
        };
        let is_current = rollout.metadata.revision == progress.generation
            && rollout.spec.service == progress.service;
        let grace_over = now.saturating_duration_since(self.active_since) >= GRACE_PERIOD;
        let limit = usize::try_from(rollout.spec.max_unavailable).unwrap_or(usize::MAX);
        is_current && grace_over && self.in_use(&progress.service) < limit
    }

    fn insert(&mut self, at: usize, progress: &AgentProgress, stopped: bool, now: Instant) {
        let holder = Holder {
            service: progress.service.clone(),
            vm: progress.vm.clone(),
            last_report: now,
            stopped,
        };
        self.holders.insert(at, holder);
    }

    fn find(&self, service: &str, vm: &str) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|h| (h.service.as_str(), h.vm.as_str()).cmp(&(service, vm)))
    }
}

/// Whether the target is out of service because of a switch. A target whose switch
/// failed keeps its permit, so that a version that no engine can load stops after
/// `max_unavailable` targets.
fn is_stopped(progress: &AgentProgress) -> bool {
    let loaded = progress.chunks_total > 0 && progress.chunks_have == progress.chunks_total;
    match progress.stage() {
        Stage::Switching => true,
        Stage::Failed => loaded,
        _ => false,
    }
}

/// Whether a holder still needs its permit. A target that stopped serving keeps it
/// until it serves again, even if a newer generation starts to fetch chunks first.
fn needs_permit(holder: &Holder, progress: &AgentProgress) -> bool {
    match progress.stage() {
        Stage::Live => false,
        _ => progress.want_permit || is_stopped(progress) || holder.stopped,
    }
}
