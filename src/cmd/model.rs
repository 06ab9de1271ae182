//! `model`: prints the Model object of a weights file.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use snafu::ResultExt;

use super::console::{Console, Format};
use super::error::{Error, WriteSnafu};
use super::files;
use crate::cli;
use crate::digest::Digest;
use crate::resource::{self, Invalid, Object, model};

/// Runs the subcommand.
///
/// # Errors
/// Fails when the file can't be read or has too many or repeated chunks.
pub fn run(args: &ArgMatches, console: &Console) -> Result<u8, Error> {
    let Some(path) = args.get_one::<PathBuf>("file") else {
        return Err(Error::invalid("a weights file is needed"));
    };
    let chunk_size = args.get_one::<u32>("chunk").copied().unwrap_or_default();
    if !model::CHUNK_BYTES.contains(&chunk_size) {
        let (least, most) = (model::CHUNK_BYTES.start(), model::CHUNK_BYTES.end());
        let problem = format!("--chunk-size: must be {least} to {most} bytes");
        return Err(Error::invalid(problem));
    }
    let blobs = args.get_one::<PathBuf>("blobs").map(PathBuf::as_path);
    let weights = digest(path, chunk_size, blobs)?;
    let spec = model::Model {
        model: cli::text(args, "model").into(),
        version: cli::text(args, "version").into(),
        base: args.get_one::<String>("base").cloned(),
        size: weights.size,
        chunk_size,
        chunks: weights.chunks,
    };
    show(path, spec, console)?;
    Ok(0)
}

/// Size and chunk digests of a weights file.
#[derive(Debug, Default)]
struct Weights {
    size: u64,
    chunks: Vec<Digest>,
}

fn digest(path: &Path, chunk_size: u32, blobs: Option<&Path>) -> Result<Weights, Error> {
    let unreadable = |e: io::Error| Error::invalid(format!("{}: {e}", path.display()));
    let mut file = File::open(path).map_err(unreadable)?;
    if let Some(folder) = blobs {
        fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    }
    let mut weights = Weights::default();
    let mut chunk = Vec::new();
    loop {
        chunk.clear();
        let mut part = file.by_ref().take(u64::from(chunk_size));
        part.read_to_end(&mut chunk).map_err(unreadable)?;
        if chunk.is_empty() {
            return Ok(weights);
        }
        let digest = Digest::of(&chunk);
        weights.size += chunk.len() as u64;
        weights.chunks.push(digest);
        if let Some(folder) = blobs {
            let path = folder.join(digest.to_string());
            fs::write(&path, &chunk).context(WriteSnafu { path })?;
        }
    }
}

fn show(path: &Path, spec: model::Model, console: &Console) -> Result<(), Error> {
    let name = model::Model::object_name(&spec.model, &spec.version);
    let problem = |e: Invalid| {
        let hint = match e.field.as_str() {
            "spec" => "; use a larger --chunk-size",
            _ => "",
        };
        Error::invalid(format!("{}: Model {name}: {e}{hint}", path.display()))
    };
    let raw = Object::new(name.clone(), spec).to_raw().map_err(problem)?;
    resource::check(&raw).map_err(problem)?;
    match console.format {
        Format::Json => console.json(&raw),
        _ => console.write(&files::render(&[raw])?),
    }
}
