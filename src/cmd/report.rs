//! `report burn`: error budgets and what spent them.

use std::path::PathBuf;

use clap::ArgMatches;
use serde::Serialize;

use super::console::{Console, Format};
use super::error::Error;
use super::options::Options;
use super::plot;
use super::remote::Remote;
use super::table::Table;
use crate::burn::rates::{self, Alert, Counts, Row};
use crate::cli;
use crate::clock::{self, Clock};
use crate::resource::{Object, burn, service, vm};

/// Minutes without counts after which a data centre is named: the current
/// minute is never complete, and a new coordinator may take another one. A
/// minute without requests has no object.
const SILENT_MINUTES: u64 = 3;

/// Report in JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    minute: u64,
    windows_minutes: [u64; rates::WINDOWS.len()],
    silent_data_centers: Vec<String>,
    rows: &'a [Row],
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the platform can't be reached in time or the plot not written.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let args = args.subcommand_matches("burn").unwrap_or(args);
    let remote = Remote::new(options, console);
    let services = remote.typed::<service::Service>("").await?;
    let burns = remote.typed::<burn::Burn>("").await?;
    let vms = remote.typed::<vm::Vm>("").await?;
    let now = minute(&clock::System);
    let silent = silent(&vms, &burns, now);
    let mut rows = rates::rows(&burns, &services, now);
    rows.retain(|row| selected(args, row));
    if console.format == Format::Json {
        console.json(&Report {
            minute: now,
            windows_minutes: rates::WINDOWS,
            silent_data_centers: silent,
            rows: &rows,
        })?;
    } else {
        say_silent(&silent, console);
        console.write(&table(&rows))?;
    }
    if let Some(path) = args.get_one::<PathBuf>("svg") {
        plot::draw(path, &burns, &rows, now)?;
    }
    Ok(0)
}

/// Minutes since the Unix epoch.
fn minute(clock: &impl Clock) -> u64 {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_secs() / 60
}

fn selected(args: &ArgMatches, row: &Row) -> bool {
    let matches = |id, value: &str| {
        let wanted = cli::text(args, id);
        wanted.is_empty() || wanted == value
    };
    matches("service", &row.service) && matches("account", &row.account)
}

/// Data centres of the VM list whose counts are missing from the last minutes.
fn silent(vms: &[Object<vm::Vm>], burns: &[Object<burn::Burn>], now: u64) -> Vec<String> {
    let recent = |center: &str| {
        burns.iter().any(|b| {
            b.spec.data_center == center && b.spec.minute.saturating_add(SILENT_MINUTES) >= now
        })
    };
    let mut names: Vec<String> = vms.iter().map(|v| v.spec.data_center.clone()).collect();
    names.sort_unstable();
    names.dedup();
    names.retain(|center| !recent(center));
    names
}

fn say_silent(silent: &[String], console: &Console) {
    if !silent.is_empty() {
        console.note(&format!(
            "no counts for {SILENT_MINUTES} min from {}: no requests ended there, or its coordinator can't write",
            silent.join(", ")
        ));
    }
}

fn table(rows: &[Row]) -> String {
    if rows.is_empty() {
        return "no requests in the last 6 h\n".into();
    }
    let mut table = Table::new(&[
        "service",
        "account",
        "objective",
        "requests",
        "burn 5m",
        "burn 1h",
        "burn 6h",
        "left",
        "alert",
        "spent by",
    ]);
    for row in rows {
        let account = match row.account.as_str() {
            "" => "(all)".to_owned(),
            name => name.to_owned(),
        };
        let mut cells = vec![row.service.clone(), account];
        cells.push(format!("{}%", row.target * 100.0));
        cells.push(row.counts.total().to_string());
        cells.extend(row.rates.iter().map(|rate| format!("{rate:.1}")));
        cells.push(format!("{:.0}%", row.left * 100.0));
        cells.push(alert(row.alert).into());
        cells.push(spent(&row.counts));
        table.row(cells);
    }
    table.render()
}

const fn alert(alert: Alert) -> &'static str {
    match alert {
        Alert::Ok => "-",
        Alert::Ticket => "ticket",
        Alert::Page => "page",
    }
}

/// What used up the budget, the largest part first.
fn spent(counts: &Counts) -> String {
    let mut parts = [
        (counts.refused, "refused"),
        (counts.late, "late"),
        (counts.failed, "failed"),
        (counts.unknown, "unknown"),
    ];
    parts.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    let present = parts.iter().filter(|(count, _)| *count > 0);
    let text: Vec<String> = present.map(|(n, name)| format!("{n} {name}")).collect();
    if text.is_empty() {
        return "-".into();
    }
    text.join(", ")
}
