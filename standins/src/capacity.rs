//! Measures what each role costs at several sizes, with real processes, and
//! fits slopes for docs/CAPACITY.md.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write as _};
use std::time::Duration;

use corianderramp::objects::Api;
use corianderramp::resource::{Kind, Object, drain, status};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::time;

use crate::harness;
use crate::platform::faults::Calls;
use crate::site::{Layout, Member, Site};
use crate::toolkit::{self, IoSnafu};

/// Clock ticks per second of the times in `/proc/PID/stat`; fixed on Linux.
const TICKS: f64 = 100.0;
/// Time that a site may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(120);
/// Time within which an accepted change must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Numbers of targets in the data centre, one run each.
    pub targets: Vec<usize>,
    /// Targets for each entry.
    pub per_entry: usize,
    /// Time over which processor time is measured, seconds.
    pub seconds: u64,
    /// Configuration changes whose time until in force is measured.
    pub changes: usize,
}

/// What one run measured.
#[derive(Clone, Debug, Default)]
struct Row {
    targets: usize,
    entries: usize,
    coordinator_cpu: f64,
    entry_cpu: f64,
    agent_cpu: f64,
    entry_mb: f64,
    agent_mb: f64,
    reads: f64,
    writes: f64,
    in_force_ms: f64,
}

/// Runs all sizes and prints a table with slopes.
///
/// # Errors
/// Fails when a site does not become ready.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    let mut rows = Vec::new();
    for (index, targets) in (0..).zip(&settings.targets) {
        rows.push(measure(&settings, *targets, index).await?);
    }
    let mut out = io::stdout();
    out.write_all(render(&rows).as_bytes())
        .context(IoSnafu { what: "stdout" })
}

async fn measure(settings: &Settings, targets: usize, index: u8) -> Result<Row, toolkit::Error> {
    let entries = targets.div_ceil(settings.per_entry).max(2);
    let layout = Layout {
        data_centers: vec![("cb-a".into(), "central-belt".into())],
        entries,
        engines: targets,
        ledgers: 0,
        ..Layout::default()
    };
    let site = Site::start(index, &layout).await?;
    let expected = entries + targets;
    let known = async || {
        reported(&site)
            .await
            .is_some_and(|s| s.processes as usize >= expected && s.lagging.is_empty())
    };
    harness::wait_until("all processes known to the coordinator", READY_LIMIT, known).await?;
    // A declared rollout is the ordinary state: its agents report progress.
    let all = u32::try_from(targets).unwrap_or(u32::MAX);
    let generation = site.roll_out("v1", all).await?;
    site.wait_live(generation, all, READY_LIMIT).await?;
    let mut row = Row {
        targets,
        entries,
        ..Row::default()
    };
    idle(&site, settings, &mut row).await;
    row.in_force_ms = worst_in_force(&site, settings.changes).await?;
    Ok(row)
}

/// Processor time, memory and platform calls after a rollout, without requests or changes.
async fn idle(site: &Site, settings: &Settings, row: &mut Row) {
    let members: Vec<&Member> = site.entries.iter().chain(&site.targets).collect();
    let before: Vec<f64> = members
        .iter()
        .map(|m| cpu_seconds(m.process.id()))
        .collect();
    let calls = site.platform.calls();
    time::sleep(Duration::from_secs(settings.seconds)).await;
    let elapsed = Duration::from_secs(settings.seconds).as_secs_f64();
    let after = site.platform.calls();
    let cpu = |i: usize| (cpu_seconds(members[i].process.id()) - before[i]) / elapsed * 100.0;
    let split = site.entries.len();
    let mut entries: Vec<f64> = (0..split).map(cpu).collect();
    entries.sort_by(f64::total_cmp);
    row.coordinator_cpu = entries.pop().unwrap_or(0.0);
    row.entry_cpu = mean(&entries);
    let agents: Vec<f64> = (split..members.len()).map(cpu).collect();
    row.agent_cpu = mean(&agents);
    let memory: Vec<f64> = members
        .iter()
        .map(|m| resident_mb(m.process.id()))
        .collect();
    row.entry_mb = memory[..split].iter().copied().fold(0.0, f64::max);
    row.agent_mb = memory[split..].iter().copied().fold(0.0, f64::max);
    let rate = |a: u64, b: u64| to_f64(a.saturating_sub(b)) / elapsed;
    row.reads = rate(reads(&after), reads(&calls));
    row.writes = rate(writes(&after), writes(&calls));
}

/// Longest time from an accepted change until the data centre reports it in force.
async fn worst_in_force(site: &Site, changes: usize) -> Result<f64, toolkit::Error> {
    let mut worst = Duration::ZERO;
    for i in 0..changes {
        let reason = format!("change {i}");
        let drain = Object::new("no-such-vm", drain::Drain { reason });
        let revision = site.apply(&drain).await?;
        let in_force = async || {
            reported(site)
                .await
                .is_some_and(|s| s.complete >= revision && s.lagging.is_empty())
        };
        let took = harness::wait_until("change in force", IN_FORCE_LIMIT, in_force).await?;
        worst = worst.max(took);
    }
    Ok(worst.as_secs_f64() * 1_000.0)
}

fn reads(calls: &Calls) -> u64 {
    calls.get + calls.list + calls.watch
}

fn writes(calls: &Calls) -> u64 {
    calls.put + calls.delete
}

async fn reported(site: &Site) -> Option<status::Status> {
    let raw = site.client.get(Kind::Status, "@cb-a").await.ok()??;
    Object::<status::Status>::from_raw(&raw)
        .ok()
        .map(|o| o.spec)
}

fn cpu_seconds(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS
}

fn resident_mb(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .unwrap_or("0 kB");
    let kilobytes = line
        .split_whitespace()
        .next()
        .and_then(|n| n.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

/// Name and value of a measured quantity.
type Column = (&'static str, fn(&Row) -> f64);

fn render(rows: &[Row]) -> String {
    let mut text = String::from(
        "| targets | entries | coordinator CPU % | entry CPU % | agent CPU % | entry MB | agent MB | reads/s | writes/s | in force ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for r in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} |",
            r.targets,
            r.entries,
            r.coordinator_cpu,
            r.entry_cpu,
            r.agent_cpu,
            r.entry_mb,
            r.agent_mb,
            r.reads,
            r.writes,
            r.in_force_ms
        );
    }
    let columns: [Column; 8] = [
        ("coordinator CPU %", |r| r.coordinator_cpu),
        ("entry CPU %", |r| r.entry_cpu),
        ("agent CPU %", |r| r.agent_cpu),
        ("entry MB", |r| r.entry_mb),
        ("agent MB", |r| r.agent_mb),
        ("reads/s", |r| r.reads),
        ("writes/s", |r| r.writes),
        ("in force ms", |r| r.in_force_ms),
    ];
    text.push_str("\n| quantity | at 0 targets | per target |\n| --- | --- | --- |\n");
    for (name, value) in columns {
        let (base, slope) = fit(rows, value);
        let _ = writeln!(text, "| {name} | {base:.3} | {slope:.5} |");
    }
    text
}

/// Least-squares line of a quantity over the number of targets.
fn fit(rows: &[Row], value: fn(&Row) -> f64) -> (f64, f64) {
    let xs: Vec<f64> = rows.iter().map(|r| to_f64(r.targets as u64)).collect();
    let ys: Vec<f64> = rows.iter().map(value).collect();
    let (x, y) = (mean(&xs), mean(&ys));
    let covariance: f64 = xs.iter().zip(&ys).map(|(a, b)| (a - x) * (b - y)).sum();
    let variance: f64 = xs.iter().map(|a| (a - x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (y - slope * x, slope)
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / to_f64(values.len() as u64)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(n: u64) -> f64 {
    n as f64
}
