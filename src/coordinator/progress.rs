//! Last report of each agent, and the rollout status derived from these reports.

use std::time::{Duration, Instant};

use crate::config::View;
use crate::control::pb::{AgentProgress, Stage};
use crate::membership;
use crate::resource::status::{MAX_LISTED, Status};
use crate::resource::{Object, rollout};

/// Age at which a report expires. Agents report at least once a second.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Report {
    progress: AgentProgress,
    received: Instant,
}

/// Last report of each agent.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// Sorted by VM.
    reports: Vec<Report>,
}

impl Reports {
    /// Stores a report in place of the agent's previous one.
    pub fn insert(&mut self, progress: AgentProgress, now: Instant) {
        let report = Report {
            progress,
            received: now,
        };
        match self.find(&report.progress.vm) {
            Ok(i) => self.reports[i] = report,
            Err(i) => self.reports.insert(i, report),
        }
    }

    /// Drops reports that are [`MAX_REPORT_AGE`] old or older.
    pub fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|r| now.saturating_duration_since(r.received) < MAX_REPORT_AGE);
    }

    /// Report of `vm`, if it concerns `generation`.
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

/// Status of the newest rollout of each service, over the targets in
/// `data_center` that are not leaving.
#[must_use]
pub fn rollout_statuses(
    view: &View,
    reports: &Reports,
    data_center: &str,
    epoch: u64,
) -> Vec<Status> {
    let newest = view.rollouts.iter().filter(|r| {
        let current = view.rollout_for(&r.spec.service);
        current.is_some_and(|c| c.metadata.name == r.metadata.name)
    });
    newest
        .map(|r| rollout_status(view, reports, data_center, epoch, r))
        .collect()
}

fn rollout_status(
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
            Some(progress) => add_progress(&mut status, progress),
            None => add_reason(&mut status, name, "no report"),
        }
    }
    status
}

fn add_progress(status: &mut Status, progress: &AgentProgress) {
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
        add_reason(status, &progress.vm, &progress.reason);
    }
}

fn add_reason(status: &mut Status, vm: &str, text: &str) {
    if status.reasons.len() < MAX_LISTED {
        status.reasons.push(format!("{vm}: {text}"));
    }
}
