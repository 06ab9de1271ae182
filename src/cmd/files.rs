//! Object files: TOML with any number of `[[object]]` tables.

use std::fs;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::error::Error;
use crate::resource::{
    self, Invalid, Kind, Metadata, Object, Raw, Resource, account, burn, drain, lease, model,
    rollout, service, status, vm,
};

/// Kinds that operators write.
const WRITABLE: [Kind; 6] = resource::CONFIG_KINDS;

/// An object as a file declares it.
#[derive(Clone, Debug)]
pub struct Declared {
    /// Object in canonical form. Its revision is 0 unless the file gives one.
    pub object: Raw,
    /// File and line, for errors.
    pub place: String,
}

impl Declared {
    /// A problem with a field of this object.
    #[must_use]
    pub fn problem(&self, invalid: &Invalid) -> String {
        let Raw { kind, metadata, .. } = &self.object;
        format!("{}: {kind} {}: {invalid}", self.place, metadata.name)
    }
}

/// Contents of an object file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    object: Vec<Spanned<Entry>>,
}

/// One object of a file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Revision that the file was made from; the object is only written when it
    /// is still current. Absent or 0 for any.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
    /// Specification.
    pub spec: serde_json::Value,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// Reads and checks all objects of `paths`, in the order of the files.
///
/// # Errors
/// Lists every problem, each with file, line, object and field.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Declared>, Error> {
    let mut all: Vec<Declared> = Vec::new();
    let mut problems = Vec::new();
    for path in paths {
        match fs::read_to_string(path) {
            Ok(text) => parse(path, &text, &mut all, &mut problems),
            Err(e) => problems.push(format!("{}: {e}", path.display())),
        }
    }
    find_repeated(&all, &mut problems);
    if problems.is_empty() {
        Ok(all)
    } else {
        Err(Error::Invalid { problems })
    }
}

/// Reads and checks the objects of one file's text.
pub(crate) fn parse(path: &Path, text: &str, all: &mut Vec<Declared>, problems: &mut Vec<String>) {
    let file = match toml::from_str::<File>(text) {
        Ok(file) => file,
        Err(e) => return problems.push(located(path, text, &e)),
    };
    if file.object.is_empty() {
        problems.push(format!("{}: no [[object]] in the file", path.display()));
    }
    for entry in file.object {
        let line = line_of(text, entry.span().start);
        let place = format!("{}:{line}", path.display());
        let entry = entry.into_inner();
        let label = format!("{place}: {} {}", entry.kind, entry.name);
        match declare(entry) {
            Ok(object) => all.push(Declared { object, place }),
            Err(e) => problems.push(format!("{label}: {e}")),
        }
    }
}

fn declare(entry: Entry) -> Result<Raw, Invalid> {
    let kind: Kind = entry.kind.parse().map_err(|_| unknown_kind(&entry.kind))?;
    if !WRITABLE.contains(&kind) {
        let reason = format!("{kind} objects are written by the system; remove this object");
        return Err(Invalid::new("kind", reason));
    }
    let metadata = Metadata {
        name: entry.name,
        revision: entry.revision,
        operation: String::new(),
    };
    let raw = Raw {
        kind,
        metadata,
        spec: entry.spec,
    };
    resource::check(&raw)?;
    canonical(&raw)
}

fn unknown_kind(kind: &str) -> Invalid {
    let names: Vec<&str> = WRITABLE.iter().map(|k| k.name()).collect();
    Invalid::new(
        "kind",
        format!("unknown kind {kind:?}; use one of {}", names.join(", ")),
    )
}

pub(crate) fn find_repeated(all: &[Declared], problems: &mut Vec<String>) {
    let mut order: Vec<&Declared> = all.iter().collect();
    order.sort_by_key(|d| (d.object.kind, &d.object.metadata.name));
    for pair in order.windows(2) {
        let (first, second) = (&pair[0].object, &pair[1].object);
        if first.kind == second.kind && first.metadata.name == second.metadata.name {
            let reason = format!("already declared at {}; keep one", pair[0].place);
            problems.push(pair[1].problem(&Invalid::new("name", reason)));
        }
    }
}

/// The object with all defaults filled in, so that equal objects compare equal.
///
/// # Errors
/// Names the field that is not valid.
pub fn canonical(raw: &Raw) -> Result<Raw, Invalid> {
    match raw.kind {
        Kind::Account => typed::<account::Account>(raw),
        Kind::Drain => typed::<drain::Drain>(raw),
        Kind::Lease => typed::<lease::Lease>(raw),
        Kind::Model => typed::<model::Model>(raw),
        Kind::Rollout => typed::<rollout::Rollout>(raw),
        Kind::Service => typed::<service::Service>(raw),
        Kind::Status => typed::<status::Status>(raw),
        Kind::Vm => typed::<vm::Vm>(raw),
        Kind::Burn => typed::<burn::Burn>(raw),
        Kind::Journal => Ok(raw.clone()),
    }
}

fn typed<S: Resource>(raw: &Raw) -> Result<Raw, Invalid> {
    Object::<S>::from_raw(raw)?.to_raw()
}

/// Writes objects in the format that `read` takes.
///
/// # Errors
/// Fails when a specification can't be written as TOML.
pub fn render(objects: &[Raw]) -> Result<String, Error> {
    #[derive(Serialize)]
    struct Written {
        object: Vec<Entry>,
    }
    let entry = |raw: &Raw| Entry {
        kind: raw.kind.to_string(),
        name: raw.metadata.name.clone(),
        revision: raw.metadata.revision,
        spec: raw.spec.clone(),
    };
    let written = Written {
        object: objects.iter().map(entry).collect(),
    };
    toml::to_string(&written).map_err(|e| Error::invalid(format!("can't be written as TOML: {e}")))
}

/// A TOML error on one line, with file, line and column.
pub(crate) fn located(path: &Path, text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', "; ");
    let path = path.display();
    match error.span() {
        Some(span) => {
            let line = line_of(text, span.start);
            let before = text.get(..span.start).unwrap_or_default();
            let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
            format!("{path}:{line}:{column}: {message}")
        }
        None => format!("{path}: {message}"),
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or(text);
    before.matches('\n').count() + 1
}
