//! Progress of a rollout, computed from its objects.

use std::fmt::Write;

use serde::Serialize;

use super::table::{self, Table};
use crate::objects::{Change, Event};
use crate::resource::{Kind, Object, Raw, rollout, status, vm};

/// Most reasons that the result lists for a data centre.
const MAX_REASONS: usize = 4;

/// Objects that a rollout's progress depends on.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// All rollouts, since a newer one of the same service supersedes this one.
    pub rollouts: Vec<Raw>,
    /// Status objects of the rollout.
    pub statuses: Vec<Raw>,
    /// VM list.
    pub vms: Vec<Raw>,
}

impl Observed {
    /// Takes over one change.
    pub fn apply(&mut self, event: Event) {
        let objects = match event.object.kind {
            Kind::Rollout => &mut self.rollouts,
            Kind::Status => &mut self.statuses,
            Kind::Vm => &mut self.vms,
            _ => return,
        };
        if event.change == Change::Bookmark {
            return;
        }
        objects.retain(|o| o.metadata.name != event.object.metadata.name);
        if event.change != Change::Deleted {
            objects.push(event.object);
        }
    }
}

/// Progress in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Data centre.
    pub data_center: String,
    /// Targets that the rollout concerns.
    pub targets: u32,
    /// Targets that fetch chunks.
    pub fetching: u32,
    /// Targets that hold all chunks and wait for a permit.
    pub verified: u32,
    /// Targets that switch.
    pub switching: u32,
    /// Targets that serve the version.
    pub live: u32,
    /// Targets that failed.
    pub failed: u32,
    /// Bytes that the origin sent to this data centre.
    pub origin_bytes: u64,
    /// Why targets failed or do not advance.
    pub reasons: Vec<String>,
    /// Whether the data centre has reported this generation.
    pub reported: bool,
}

/// Progress of a rollout in all data centres.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Progress {
    /// Rollout.
    pub rollout: String,
    /// Model version, `model@version`.
    pub version: String,
    /// Revision of the rollout object.
    pub generation: u64,
    /// Whether all targets serve the version.
    pub done: bool,
    /// Newer rollout of the same service, which replaces this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub superseded: Option<String>,
    /// Data centres in the order of their names.
    pub data_centers: Vec<Row>,
}

/// Progress of the rollout `name`; `None` when it does not exist.
#[must_use]
pub fn of(name: &str, observed: &Observed) -> Option<Progress> {
    let rollouts: Vec<Object<rollout::Rollout>> = typed(&observed.rollouts);
    let rollout = rollouts.iter().find(|r| r.metadata.name == name)?;
    let generation = rollout.metadata.revision;
    let newer = rollouts
        .iter()
        .filter(|r| r.spec.service == rollout.spec.service)
        .find(|r| r.metadata.revision > generation);
    let data_centers = rows(name, generation, &rollout.spec.service, observed);
    let done = !data_centers.is_empty() && data_centers.iter().all(is_live);
    Some(Progress {
        rollout: name.into(),
        version: format!("{}@{}", rollout.spec.model, rollout.spec.version),
        generation,
        done,
        superseded: newer.map(|r| r.metadata.name.clone()),
        data_centers,
    })
}

/// The VM list names at least one target in each data centre of the result, so
/// a report without any comes from a coordinator that has not seen it yet.
fn is_live(row: &Row) -> bool {
    row.live > 0 && row.live >= row.targets
}

fn typed<S: crate::resource::Resource>(objects: &[Raw]) -> Vec<Object<S>> {
    let objects = objects.iter();
    objects.filter_map(|o| Object::from_raw(o).ok()).collect()
}

/// One row for each data centre with targets of the service.
fn rows(name: &str, generation: u64, service: &str, observed: &Observed) -> Vec<Row> {
    let vms: Vec<Object<vm::Vm>> = typed(&observed.vms);
    let targets = vms.iter().filter(|v| {
        v.spec.role == vm::Role::Target
            && v.spec.service == service
            && v.spec.phase == vm::Phase::Live
    });
    let mut centers: Vec<&str> = targets.map(|v| v.spec.data_center.as_str()).collect();
    centers.sort_unstable();
    let statuses: Vec<Object<status::Status>> = typed(&observed.statuses);
    let mut rows = Vec::new();
    for chunk in centers.chunk_by(|a, b| a == b) {
        let found = statuses.iter().find(|s| {
            let s = &s.spec;
            s.rollout == name && s.data_center == chunk[0] && s.generation == generation
        });
        let listed = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
        rows.push(row(chunk[0], listed, found.map(|s| &s.spec)));
    }
    rows
}

fn row(center: &str, listed: u32, status: Option<&status::Status>) -> Row {
    let Some(status) = status else {
        return Row {
            data_center: center.into(),
            targets: listed,
            ..Row::default()
        };
    };
    Row {
        data_center: center.into(),
        targets: status.targets,
        fetching: status.fetching,
        verified: status.verified,
        switching: status.switching,
        live: status.live,
        failed: status.failed,
        origin_bytes: status.origin_bytes,
        reasons: status.reasons.clone(),
        reported: true,
    }
}

impl Progress {
    /// One line for people, such as
    /// `summer -> shake@v3: 4 of 6 live; cb-a 3/3; ne-a 1/3 (2 fetching); origin 12.0 MB`.
    #[must_use]
    pub fn line(&self) -> String {
        let sum = |count: fn(&Row) -> u32| self.data_centers.iter().map(count).sum::<u32>();
        let (live, targets) = (sum(|r| r.live), sum(|r| r.targets));
        let origin: u64 = self.data_centers.iter().map(|r| r.origin_bytes).sum();
        let mut parts = vec![format!(
            "{} -> {}: {live} of {targets} live",
            self.rollout, self.version
        )];
        parts.extend(self.data_centers.iter().map(center_line));
        parts.push(format!("origin {}", table::bytes(origin)));
        parts.join("; ")
    }

    /// Table of the data centres, followed by the reasons of failures.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = Table::new(&[
            "data centre",
            "targets",
            "fetching",
            "verified",
            "switching",
            "live",
            "failed",
            "origin",
        ]);
        for row in &self.data_centers {
            let counts = [
                row.targets,
                row.fetching,
                row.verified,
                row.switching,
                row.live,
                row.failed,
            ];
            let mut cells = vec![row.data_center.clone()];
            cells.extend(counts.iter().map(u32::to_string));
            cells.push(table::bytes(row.origin_bytes));
            table.row(cells);
        }
        table.render() + &self.reasons()
    }

    /// Indented lines with the reasons of failures.
    #[must_use]
    pub fn reasons(&self) -> String {
        let mut text = String::new();
        for row in &self.data_centers {
            for reason in row.reasons.iter().take(MAX_REASONS) {
                let _ = writeln!(text, "  {}: {reason}", row.data_center);
            }
        }
        text
    }
}

fn center_line(row: &Row) -> String {
    let head = format!("{} {}/{}", row.data_center, row.live, row.targets);
    if !row.reported {
        return head + " (not reported)";
    }
    let stages = [
        (row.fetching, "fetching"),
        (row.verified, "verified"),
        (row.switching, "switching"),
        (row.failed, "failed"),
    ];
    let present = stages.iter().filter(|(n, _)| *n > 0);
    let text: Vec<String> = present.map(|(n, stage)| format!("{n} {stage}")).collect();
    match text.as_slice() {
        [] => head,
        stages => format!("{head} ({})", stages.join(", ")),
    }
}
