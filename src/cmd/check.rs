//! `check`: checks settings files and object files without the platform.

use std::fs;
use std::path::Path;

use clap::ArgMatches;
use serde::Serialize;

use super::console::{Console, Format};
use super::error::Error;
use super::files;
use crate::cli;
use crate::settings::{self, Settings};

/// Result in JSON.
#[derive(Debug, Serialize)]
struct Checked {
    file: String,
    content: &'static str,
    objects: usize,
}

/// Runs the subcommand.
///
/// # Errors
/// Lists the problems of all files.
pub fn run(args: &ArgMatches, console: &Console) -> Result<u8, Error> {
    let paths = cli::paths(args);
    let mut checked = Vec::new();
    let mut problems = Vec::new();
    let mut objects = Vec::new();
    for path in &paths {
        match fs::read_to_string(path) {
            Ok(text) if is_settings(&text) => {
                problems.extend(settings_problem(path, &text));
                checked.push(line(path, "settings", 0));
            }
            Ok(text) => {
                let mut found = Vec::new();
                files::parse(path, &text, &mut found, &mut problems);
                checked.push(line(path, "objects", found.len()));
                objects.append(&mut found);
            }
            Err(e) => problems.push(format!("{}: {e}", path.display())),
        }
    }
    files::find_repeated(&objects, &mut problems);
    if !problems.is_empty() {
        return Err(Error::Invalid { problems });
    }
    match console.format {
        Format::Json => console.json(&checked)?,
        _ => console.write(&checked.iter().map(text).collect::<String>())?,
    }
    Ok(0)
}

/// Settings have a role; object files don't.
fn is_settings(text: &str) -> bool {
    toml::from_str::<toml::Table>(text).is_ok_and(|t| !t.contains_key("object"))
}

fn settings_problem(path: &Path, text: &str) -> Option<String> {
    match Settings::parse(text, path) {
        Ok(_) => None,
        Err(settings::Error::Parse { source, .. }) => Some(files::located(path, text, &source)),
        Err(e) => Some(e.to_string()),
    }
}

fn line(path: &Path, content: &'static str, objects: usize) -> Checked {
    Checked {
        file: path.display().to_string(),
        content,
        objects,
    }
}

fn text(checked: &Checked) -> String {
    match checked.objects {
        0 => format!("{}: settings can be used\n", checked.file),
        1 => format!("{}: 1 object can be applied\n", checked.file),
        n => format!("{}: {n} objects can be applied\n", checked.file),
    }
}
