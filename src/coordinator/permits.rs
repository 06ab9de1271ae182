//! Permits to switch: at most `max_unavailable` targets of a service at a time.

use std::time::{Duration, Instant};

use crate::control::pb::{AgentProgress, Stage};
use crate::resource::{Object, rollout};

/// Time without a report after which a holder counts as gone. Agents report at
/// least once a second.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// Time in which a new coordinator grants nothing, so that every agent that
/// holds a permit from its predecessor has reported first.
pub const GRACE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Holder {
    service: String,
    vm: String,
    seen: Instant,
    /// Whether the target stopped serving under this permit.
    down: bool,
}

/// Permits in use.
#[derive(Clone, Debug)]
pub struct Permits {
    /// Sorted by service and VM.
    holders: Vec<Holder>,
    since: Instant,
}

impl Permits {
    /// No permits, for a coordinator that became active at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            holders: Vec::new(),
            since: now,
        }
    }

    /// Holders of permits for `service`.
    #[must_use]
    pub fn in_use(&self, service: &str) -> usize {
        self.holders.iter().filter(|h| h.service == service).count()
    }

    /// Takes note of an agent's report and says whether it holds a permit now.
    /// `rollout` is the newest one of the agent's service.
    pub fn report(
        &mut self,
        progress: &AgentProgress,
        rollout: Option<&Object<rollout::Rollout>>,
        now: Instant,
    ) -> bool {
        self.holders
            .retain(|h| now.saturating_duration_since(h.seen) < GONE_AFTER);
        let place = self.find(&progress.service, &progress.vm);
        let down = is_down(progress);
        match place {
            Ok(i) if needs_slot(&self.holders[i], progress) => {
                self.holders[i].seen = now;
                self.holders[i].down |= down;
                true
            }
            Ok(i) => {
                self.holders.remove(i);
                false
            }
            // Granted by a predecessor; it counts even above the limit.
            Err(i) if down => {
                self.insert(i, progress, true, now);
                true
            }
            Err(i) => {
                let granted = progress.want_permit && self.is_free(progress, rollout, now);
                if granted {
                    self.insert(i, progress, false, now);
                }
                granted
            }
        }
    }

    /// Frees the permits of VMs that `is_listed` does not know.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.holders.retain(|h| is_listed(&h.vm));
    }

    fn is_free(
        &self,
        progress: &AgentProgress,
        rollout: Option<&Object<rollout::Rollout>>,
        now: Instant,
    ) -> bool {
        let Some(rollout) = rollout else {
            return false;
        };
        let current = rollout.metadata.revision == progress.generation
            && rollout.spec.service == progress.service;
        let settled = now.saturating_duration_since(self.since) >= GRACE;
        let limit = usize::try_from(rollout.spec.max_unavailable).unwrap_or(usize::MAX);
        current && settled && self.in_use(&progress.service) < limit
    }

    fn insert(&mut self, at: usize, progress: &AgentProgress, down: bool, now: Instant) {
        let holder = Holder {
            service: progress.service.clone(),
            vm: progress.vm.clone(),
            seen: now,
            down,
        };
        self.holders.insert(at, holder);
    }

    fn find(&self, service: &str, vm: &str) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|h| (h.service.as_str(), h.vm.as_str()).cmp(&(service, vm)))
    }
}

/// Whether the target does not serve because of a switch. A switch that failed
/// keeps its slot, so that a version that no engine can load stops after
/// `max_unavailable` targets.
fn is_down(progress: &AgentProgress) -> bool {
    let loaded = progress.chunks_total > 0 && progress.chunks_have == progress.chunks_total;
    match progress.stage() {
        Stage::Switching => true,
        Stage::Failed => loaded,
        _ => false,
    }
}

/// Whether a holder still needs its permit. A target that went down keeps it
/// until it serves again, also when a newer generation begins with fetching.
fn needs_slot(holder: &Holder, progress: &AgentProgress) -> bool {
    match progress.stage() {
        Stage::Live => false,
        _ => progress.want_permit || is_down(progress) || holder.down,
    }
}
