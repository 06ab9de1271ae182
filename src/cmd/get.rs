//! `get`: shows objects.

use clap::ArgMatches;
use serde_json::Value;

use super::console::{Console, Format};
use super::delete;
use super::error::Error;
use super::files;
use super::options::Options;
use super::remote::Remote;
use super::table::Table;
use crate::cli;
use crate::objects;
use crate::resource::{Kind, Raw};

/// Longest cell, characters.
const MAX_CELL: usize = 48;

/// Runs the subcommand.
///
/// # Errors
/// Fails when the named object does not exist.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let kind = delete::kind(args)?;
    let remote = Remote::new(options, console);
    let name = cli::text(args, "name");
    if name.is_empty() {
        many(kind, &remote.list(kind, "").await?, console)?;
    } else {
        let object = delete::existing(kind, name, &remote).await?;
        match console.format {
            Format::Json => console.json(&object)?,
            _ => many(kind, &single(object), console)?,
        }
    }
    Ok(0)
}

fn single(object: Raw) -> objects::List {
    objects::List {
        revision: object.metadata.revision,
        items: vec![object],
    }
}

fn many(kind: Kind, list: &objects::List, console: &Console) -> Result<(), Error> {
    match console.format {
        Format::Json => console.json(list),
        Format::Toml => console.write(&files::render(&list.items)?),
        Format::Table if list.items.is_empty() => {
            console.note(&format!("no {kind} objects"));
            Ok(())
        }
        Format::Table => console.write(&table(kind, &list.items).render()),
    }
}

/// Fields of the specification that the table of a kind shows.
fn columns(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Account => &["rate", "concurrency", "weight", "priority"],
        Kind::Burn => &["data_center", "minute"],
        Kind::Drain => &["reason"],
        Kind::Journal => &[],
        Kind::Lease => &["holder", "epoch", "address"],
        Kind::Model => &["model", "version", "base", "size", "chunk_size"],
        Kind::Rollout => &["service", "model", "version", "strategy", "max_unavailable"],
        Kind::Service => &["backend", "journal", "fencing", "timeout_ms"],
        Kind::Status => &[
            "targets",
            "fetching",
            "verified",
            "switching",
            "live",
            "failed",
            "complete",
            "lagging",
        ],
        Kind::Vm => &[
            "data_center",
            "region",
            "role",
            "service",
            "phase",
            "control",
        ],
    }
}

fn table(kind: Kind, objects: &[Raw]) -> Table {
    let fields = columns(kind);
    let header: Vec<&str> = ["name"]
        .into_iter()
        .chain(fields.iter().copied())
        .chain(["revision"])
        .collect();
    let mut table = Table::new(&header);
    for object in objects {
        // Defaults that a writer left out are shown as well.
        let known = files::canonical(object).unwrap_or_else(|_| object.clone());
        let mut cells = vec![object.metadata.name.clone()];
        cells.extend(fields.iter().map(|f| cell(&known.spec[*f])));
        cells.push(object.metadata.revision.to_string());
        table.row(cells);
    }
    table
}

fn cell(value: &Value) -> String {
    let text = match value {
        Value::Null => "-".to_owned(),
        Value::String(s) if s.is_empty() => "-".to_owned(),
        Value::String(s) => s.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    };
    // A line break in a value would break the table.
    text.chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .take(MAX_CELL)
        .collect()
}
