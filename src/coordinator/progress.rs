//! Newest report of each agent, and the status of rollouts that follows from them.

use std::time::{Duration, Instant};

use crate::config::View;
use crate::control::pb::{AgentProgress, Stage};
use crate::membership;
use crate::resource::status::{MAX_LISTED, Status};
use crate::resource::{Object, rollout};

/// Age above which a report no longer counts. Agents report at least once a second.
pub const STALE_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Report {
    progress: AgentProgress,
    at: Instant,
}

/// Reports of agents, sorted by VM.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    reports: Vec<Report>,
}

impl Reports {
    /// Takes note of a report.
    pub fn set(&mut self, progress: AgentProgress, now: Instant) {
        let report = Report { progress, at: now };
        match self.find(&report.progress.vm) {
            Ok(i) => self.reports[i] = report,
            Err(i) => self.reports.insert(i, report),
        }
    }

    /// Drops reports that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|r| now.saturating_duration_since(r.at) < STALE_AFTER);
    }

    /// Report of `vm` about generation `generation` of a rollout.
    #[must_use]
    pub fn get(&self, vm: &str, generation: u64) -> Option<&AgentProgress> {
        let report = &self.reports[self.find(vm).ok()?].progress;
        (report.generation == generation).then_some(report)
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.reports
            .binary_search_by(|r| r.progress.vm.as_str().cmp(vm))
    }
}

/// Status of the newest rollout of each service, for the targets of
/// `data_center` that are not leaving.
#[must_use]
pub fn statuses(view: &View, reports: &Reports, data_center: &str, epoch: u64) -> Vec<Status> {
    let newest = view.rollouts.iter().filter(|r| {
        let first = view.rollout_for(&r.spec.service);
        first.is_some_and(|f| f.metadata.name == r.metadata.name)
    });
    newest
        .map(|r| status(view, reports, data_center, epoch, r))
        .collect()
}

fn status(
    view: &View,
    reports: &Reports,
    data_center: &str,
    epoch: u64,
    rollout: &Object<rollout::Rollout>,
) -> Status {
    let mut status = Status {
        data_center: data_center.into(),
        epoch,
        rollout: rollout.metadata.name.clone(),
        generation: rollout.metadata.revision,
        ..Status::default()
    };
    let targets = membership::targets(view, &rollout.spec.service)
        .filter(|v| v.spec.data_center == data_center && !membership::is_leaving(view, v));
    for vm in targets {
        let name = &vm.metadata.name;
        status.targets += 1;
        match reports.get(name, rollout.metadata.revision) {
            Some(progress) => count(&mut status, progress),
            None => reason(&mut status, name, "no report"),
        }
    }
    status
}

fn count(status: &mut Status, progress: &AgentProgress) {
    status.origin_bytes += progress.origin_bytes;
    match progress.stage() {
        Stage::Fetching => status.fetching += 1,
        Stage::Verified => status.verified += 1,
        Stage::Switching => status.switching += 1,
        Stage::Live => status.live += 1,
        Stage::Failed => status.failed += 1,
        Stage::Unspecified => {}
    }
    if !progress.reason.is_empty() {
        reason(status, &progress.vm, &progress.reason);
    }
}

fn reason(status: &mut Status, vm: &str, text: &str) {
    if status.reasons.len() < MAX_LISTED {
        status.reasons.push(format!("{vm}: {text}"));
    }
}
