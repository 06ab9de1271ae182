//! Waits until every data centre reports a revision in force.

use std::time::Duration;

use serde::Serialize;
use tokio::time::{self, Instant};

use super::console::Console;
use super::error::{Error, PendingSnafu};
use super::remote::Remote;
use crate::resource::{Object, status, vm};

/// Interval between reads of the status objects.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What a data centre reports about its configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Data centre.
    pub data_center: String,
    /// Revision in force; 0 when the data centre has not reported.
    pub revision: u64,
    /// Whether the awaited revision is in force.
    pub in_force: bool,
    /// VMs that have not confirmed it.
    pub lagging: Vec<String>,
}

/// Reports of the data centres about `revision`, from their status objects.
#[must_use]
pub fn reports(
    centers: &[String],
    statuses: &[Object<status::Status>],
    revision: u64,
) -> Vec<Report> {
    let report = |center: &String| {
        let found = statuses
            .iter()
            .find(|s| s.spec.rollout.is_empty() && s.spec.data_center == *center);
        let complete = found.map_or(0, |s| s.spec.complete);
        Report {
            data_center: center.clone(),
            revision: complete,
            in_force: complete >= revision,
            lagging: found.map_or_else(Vec::new, |s| s.spec.lagging.clone()),
        }
    };
    centers.iter().map(report).collect()
}

/// Waits until `revision` is in force in all data centres of the VM list.
///
/// # Errors
/// `Pending` names the data centres that have not reported it within `limit`.
pub async fn wait(
    remote: &Remote<'_>,
    console: &Console,
    revision: u64,
    limit: Duration,
) -> Result<Vec<Report>, Error> {
    let start = Instant::now();
    let centers = centers(&remote.typed::<vm::Vm>("").await?);
    loop {
        let prefix = status::Status::object_name("", "");
        let reports = reports(&centers, &remote.typed(&prefix).await?, revision);
        let pending: Vec<String> = reports.iter().filter_map(pending).collect();
        if pending.is_empty() {
            return Ok(reports);
        }
        let pending = pending.join("; ");
        let done = reports.iter().filter(|r| r.in_force).count();
        console.progress(&format!(
            "revision {revision}: in force in {done} of {} data centres; {pending}",
            reports.len()
        ));
        if start.elapsed() >= limit {
            let reason = format!(
                "revision {revision} was written but is not in force everywhere after {} s: \
                 {pending}; see `corianderramp get Status`",
                limit.as_secs()
            );
            return PendingSnafu { reason }.fail();
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn centers(vms: &[Object<vm::Vm>]) -> Vec<String> {
    let mut names: Vec<String> = vms.iter().map(|v| v.spec.data_center.clone()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn pending(report: &Report) -> Option<String> {
    let Report {
        data_center,
        revision,
        in_force,
        lagging,
    } = report;
    match (in_force, revision) {
        (true, _) => None,
        (false, 0) => Some(format!("{data_center} has not reported")),
        (false, _) if lagging.is_empty() => {
            Some(format!("{data_center} is at revision {revision}"))
        }
        (false, _) => Some(format!(
            "{data_center} is at revision {revision}, lagging: {}",
            lagging.join(", ")
        )),
    }
}
