//! `apply`: writes the objects of files.

use clap::ArgMatches;
use serde::Serialize;

use super::changes::{self, Change};
use super::console::{Console, Format};
use super::error::Error;
use super::files;
use super::force::{self, Report};
use super::options::Options;
use super::plan::{self, Action, Step};
use super::remote::Remote;
use crate::cli;
use crate::resource::Kind;

/// Result in JSON.
#[derive(Debug, Serialize)]
struct Outcome<'a> {
    dry_run: bool,
    objects: Vec<Line<'a>>,
    data_centers: Vec<Report>,
}

/// One object of the result.
#[derive(Debug, Serialize)]
struct Line<'a> {
    kind: Kind,
    name: &'a str,
    action: Action,
    revision: u64,
    changes: &'a [Change],
}

/// Runs the subcommand.
///
/// # Errors
/// Fails before anything is written when a file or an object is not valid.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let paths = cli::paths(args);
    let declared = files::read(&paths)?;
    let remote = Remote::new(options, console);
    let mut steps = plan::make(&declared, &remote).await?;
    let dry = args.get_flag("dry-run");
    if !dry {
        write(&mut steps, &remote, console).await?;
    }
    show(&steps, dry, console)?;
    let mut reports = Vec::new();
    if args.get_flag("wait") && !dry {
        let newest = steps.iter().map(|s| s.object.metadata.revision).max();
        reports = wait(args, newest.unwrap_or(0), &remote, console).await?;
    }
    if console.format == Format::Json {
        console.json(&outcome(&steps, dry, reports))?;
    }
    Ok(0)
}

/// Waits as `--wait` and `--within` say and tells where the revision is in force.
///
/// # Errors
/// `Pending` when the time is over.
pub(crate) async fn wait(
    args: &ArgMatches,
    revision: u64,
    remote: &Remote<'_>,
    console: &Console,
) -> Result<Vec<Report>, Error> {
    let limit = cli::limit(args).unwrap_or_default();
    let reports = force::wait(remote, console, revision, limit).await?;
    if console.format == Format::Table {
        let names: Vec<&str> = reports.iter().map(|r| r.data_center.as_str()).collect();
        let place = match names.as_slice() {
            [] => "nowhere: the VM list is empty".to_owned(),
            names => format!("in {}", names.join(", ")),
        };
        console.write(&format!("revision {revision} in force {place}\n"))?;
    }
    Ok(reports)
}

async fn write(steps: &mut [Step], remote: &Remote<'_>, console: &Console) -> Result<(), Error> {
    for i in 0..steps.len() {
        if steps[i].action == Action::Keep {
            continue;
        }
        match remote.put(&steps[i].object).await {
            Ok(written) => steps[i].object.metadata = written.metadata,
            Err(e) => {
                say_written(&steps[..i], &steps[i..], console);
                return Err(e);
            }
        }
    }
    Ok(())
}

fn say_written(written: &[Step], rest: &[Step], console: &Console) {
    let labels = |steps: &[Step]| -> String {
        let changed = steps.iter().filter(|s| s.action != Action::Keep);
        changed.map(Step::label).collect::<Vec<_>>().join(", ")
    };
    let done = labels(written);
    if !done.is_empty() {
        console.note(&format!("written: {done}; not written: {}", labels(rest)));
    }
}

fn show(steps: &[Step], dry: bool, console: &Console) -> Result<(), Error> {
    if console.format == Format::Json {
        return Ok(());
    }
    let text: String = steps.iter().map(|step| line(step, dry)).collect();
    console.write(&text)
}

fn line(step: &Step, dry: bool) -> String {
    let action = match (step.action, dry) {
        (Action::Create, true) => "would be created",
        (Action::Change, true) => "would be changed",
        (Action::Create, false) => "created",
        (Action::Change, false) => "changed",
        (Action::Keep, _) => "unchanged",
    };
    let revision = match (step.action, dry) {
        (Action::Create, true) => String::new(),
        _ => format!(" at revision {}", step.object.metadata.revision),
    };
    let fields = changes::lines(&step.changes);
    format!("{}: {action}{revision}\n{fields}", step.label())
}

fn outcome(steps: &[Step], dry_run: bool, data_centers: Vec<Report>) -> Outcome<'_> {
    Outcome {
        dry_run,
        objects: steps.iter().map(entry).collect(),
        data_centers,
    }
}

fn entry(step: &Step) -> Line<'_> {
    Line {
        kind: step.object.kind,
        name: &step.object.metadata.name,
        action: step.action,
        revision: step.object.metadata.revision,
        changes: &step.changes,
    }
}
