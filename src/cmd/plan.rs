//! What `apply` would write: declared objects compared with the platform's.

use serde::Serialize;

use super::changes::{self, Change};
use super::error::Error;
use super::files::{self, Declared};
use super::references;
use super::remote::{self, Remote};
use crate::resource::{Invalid, Kind, Raw};

/// Order in which kinds are written, so that no object is in force before
/// those that it refers to.
const ORDER: [Kind; 6] = [
    Kind::Vm,
    Kind::Account,
    Kind::Service,
    Kind::Model,
    Kind::Rollout,
    Kind::Drain,
];

/// What happens to an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// It does not exist yet.
    Create,
    /// It exists with other values.
    Change,
    /// It exists as declared.
    Keep,
}

/// One object to write.
#[derive(Clone, Debug)]
pub struct Step {
    /// Object to write, with the revision that was read.
    pub object: Raw,
    /// What happens to it.
    pub action: Action,
    /// Fields that change; empty for new objects.
    pub changes: Vec<Change>,
}

impl Step {
    /// Kind and name.
    #[must_use]
    pub fn label(&self) -> String {
        format!("{} {}", self.object.kind, self.object.metadata.name)
    }
}

/// Compares all declared objects with the platform's and checks what they refer
/// to, before anything is written.
///
/// # Errors
/// Lists all problems; `Conflict` when a file was made from an old revision.
pub async fn make(declared: &[Declared], remote: &Remote<'_>) -> Result<Vec<Step>, Error> {
    let mut problems = references::check(declared, remote).await?;
    let mut steps = Vec::new();
    for one in declared {
        let Raw { kind, metadata, .. } = &one.object;
        let current = remote.get(*kind, &metadata.name).await?;
        match step(one, current.as_ref())? {
            Ok(step) => steps.push(step),
            Err(invalid) => problems.push(one.problem(&invalid)),
        }
    }
    if !problems.is_empty() {
        return Err(Error::Invalid { problems });
    }
    steps.sort_by_key(|s| ORDER.iter().position(|k| *k == s.object.kind));
    Ok(steps)
}

fn step(one: &Declared, current: Option<&Raw>) -> Result<Result<Step, Invalid>, Error> {
    let mut object = one.object.clone();
    let now = current.map_or(0, |c| c.metadata.revision);
    let made_from = object.metadata.revision;
    if made_from != 0 && made_from != now {
        return Err(remote::conflict(&object, current));
    }
    object.metadata.revision = now;
    let Some(current) = current else {
        return Ok(Ok(Step {
            object,
            action: Action::Create,
            changes: Vec::new(),
        }));
    };
    // An object that an older version wrote may lack fields; compare it as it is then.
    let known = files::canonical(current).unwrap_or_else(|_| current.clone());
    let changes = changes::between(&known.spec, &object.spec);
    if changes.is_empty() {
        return Ok(Ok(Step {
            object,
            action: Action::Keep,
            changes,
        }));
    }
    if object.kind == Kind::Model {
        let reason = "a model version can't be changed; declare a new version instead";
        return Ok(Err(Invalid::new(changes[0].field.clone(), reason)));
    }
    Ok(Ok(Step {
        object,
        action: Action::Change,
        changes,
    }))
}
