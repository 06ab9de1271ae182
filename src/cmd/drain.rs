//! `drain`: asks a VM to finish its requests and take no new ones.

use clap::ArgMatches;
use serde::Serialize;

use super::apply;
use super::console::{Console, Format};
use super::delete;
use super::error::Error;
use super::force::Report;
use super::options::Options;
use super::remote::Remote;
use crate::cli;
use crate::resource::{Invalid, Kind, Object, Raw, drain};

/// Result in JSON.
#[derive(Debug, Serialize)]
struct Requested<'a> {
    vm: &'a str,
    draining: bool,
    revision: u64,
    data_centers: Vec<Report>,
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the VM is not in the VM list.
pub async fn run(args: &ArgMatches, options: &Options, console: &Console) -> Result<u8, Error> {
    let name = cli::text(args, "name");
    let remote = Remote::new(options, console);
    if args.get_flag("cancel") {
        return cancel(name, &remote, console).await;
    }
    delete::existing(Kind::Vm, name, &remote).await?;
    let written = request(name, cli::text(args, "reason"), &remote).await?;
    let revision = written.metadata.revision;
    if console.format == Format::Table {
        console.write(&format!(
            "Vm {name}: drain requested at revision {revision}\n"
        ))?;
    }
    let mut data_centers = Vec::new();
    if args.get_flag("wait") {
        data_centers = apply::wait(args, revision, &remote, console).await?;
    }
    if console.format == Format::Json {
        console.json(&Requested {
            vm: name,
            draining: true,
            revision,
            data_centers,
        })?;
    }
    Ok(0)
}

/// Writes the drain object unless it is there already.
async fn request(name: &str, reason: &str, remote: &Remote<'_>) -> Result<Raw, Error> {
    let spec = drain::Drain {
        reason: reason.to_owned(),
    };
    let mut object = Object::new(name, spec)
        .to_raw()
        .map_err(|e: Invalid| Error::invalid(e.to_string()))?;
    match remote.get(Kind::Drain, name).await? {
        Some(current) if current.spec == object.spec => return Ok(current),
        current => object.metadata.revision = current.map_or(0, |c| c.metadata.revision),
    }
    remote.put(&object).await
}

async fn cancel(name: &str, remote: &Remote<'_>, console: &Console) -> Result<u8, Error> {
    let object = delete::existing(Kind::Drain, name, remote).await?;
    remote.delete(&object).await?;
    let revision = object.metadata.revision;
    match console.format {
        Format::Json => console.json(&Requested {
            vm: name,
            draining: false,
            revision,
            data_centers: Vec::new(),
        })?,
        _ => console.write(&format!("Vm {name}: drain withdrawn\n"))?,
    }
    Ok(0)
}
