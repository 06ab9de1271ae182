//! `delete`: deletes an object that nothing refers to.

use clap::ArgMatches;
use serde::Serialize;

use super::console::{Console, Format};
use super::error::Error;
use super::options::Options;
use super::remote::Remote;
use crate::cli;
use crate::resource::{Invalid, Kind, Raw, model, rollout};

/// Result in JSON.
#[derive(Debug, Serialize)]
struct Deleted<'a> {
    kind: Kind,
    name: &'a str,
    revision: u64,
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the object does not exist, changed meanwhile or is still referred to.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let name = cli::text(args, "name");
    let kind = kind(args)?;
    let remote = Remote::new(options, console);
    let object = existing(kind, name, &remote).await?;
    if let Some(invalid) = referrer(&object, &remote).await? {
        return Err(Error::invalid(format!("{kind} {name}: {invalid}")));
    }
    remote.delete(&object).await?;
    let revision = object.metadata.revision;
    match console.format {
        Format::Json => console.json(&Deleted {
            kind,
            name,
            revision,
        })?,
        _ => console.write(&format!("{kind} {name}: deleted at revision {revision}\n"))?,
    }
    Ok(0)
}

/// Kind that the arguments name.
pub(crate) fn kind(args: &ArgMatches) -> Result<Kind, Error> {
    cli::text(args, "kind")
        .parse()
        .map_err(|e: Invalid| Error::Usage {
            reason: e.to_string(),
        })
}

/// Reads an object that has to exist.
pub(crate) async fn existing(kind: Kind, name: &str, remote: &Remote<'_>) -> Result<Raw, Error> {
    remote.get(kind, name).await?.ok_or_else(|| Error::Missing {
        kind,
        name: name.into(),
    })
}

/// What still refers to a service or a model version.
async fn referrer(object: &Raw, remote: &Remote<'_>) -> Result<Option<Invalid>, Error> {
    let name = &object.metadata.name;
    let refers = |r: &rollout::Rollout| match object.kind {
        Kind::Service => r.service == *name,
        Kind::Model => model::Model::object_name(&r.model, &r.version) == *name,
        _ => false,
    };
    if !matches!(object.kind, Kind::Service | Kind::Model) {
        return Ok(None);
    }
    let rollouts = remote.typed::<rollout::Rollout>("").await?;
    let found = rollouts.iter().find(|r| refers(&r.spec));
    Ok(found.map(|r| {
        let reason = format!(
            "Rollout {} refers to it; change or delete that first",
            r.metadata.name
        );
        Invalid::new("name", reason)
    }))
}
