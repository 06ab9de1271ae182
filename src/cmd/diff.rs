//! `diff`: shows how files differ from the platform's objects.

use clap::ArgMatches;
use serde::Serialize;

use super::changes::{self, Change};
use super::console::{Console, Format};
use super::error::Error;
use super::options::Options;
use super::plan::{self, Action, Step};
use super::remote::Remote;
use super::{DIFFERENT, files};
use crate::cli;
use crate::resource::Kind;

/// One object that differs, in JSON.
#[derive(Debug, Serialize)]
struct Line<'a> {
    kind: Kind,
    name: &'a str,
    action: Action,
    changes: &'a [Change],
}

/// Runs the subcommand; the exit status is 1 when there is a difference.
///
/// # Errors
/// Fails when a file or an object is not valid.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let paths = cli::paths(args);
    let declared = files::read(&paths)?;
    let steps = plan::make(&declared, &Remote::new(options, console)).await?;
    let different: Vec<&Step> = steps.iter().filter(|s| s.action != Action::Keep).collect();
    if console.format == Format::Json {
        let lines: Vec<Line> = different.iter().map(|s| line(s)).collect();
        console.json(&lines)?;
    } else {
        let text: String = different.iter().map(|s| text(s)).collect();
        console.write(&text)?;
    }
    Ok(if different.is_empty() { 0 } else { DIFFERENT })
}

fn line(step: &Step) -> Line<'_> {
    Line {
        kind: step.object.kind,
        name: &step.object.metadata.name,
        action: step.action,
        changes: &step.changes,
    }
}

fn text(step: &Step) -> String {
    let state = match step.action {
        Action::Create => "does not exist yet".to_owned(),
        _ => format!("differs from revision {}", step.object.metadata.revision),
    };
    format!(
        "{}: {state}\n{}",
        step.label(),
        changes::lines(&step.changes)
    )
}
