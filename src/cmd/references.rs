//! Checks that what objects refer to exists, in the files or on the platform.

use super::error::Error;
use super::files::Declared;
use super::remote::Remote;
use crate::resource::{Invalid, Kind, Object, Raw, Resource, model, rollout, service};

/// Problems of all declared objects.
///
/// # Errors
/// Fails when the platform can't be reached in time.
pub async fn check(declared: &[Declared], remote: &Remote<'_>) -> Result<Vec<String>, Error> {
    let mut problems = Vec::new();
    for one in declared {
        let found = match one.object.kind {
            Kind::Rollout => rollout(&one.object, declared, remote).await?,
            Kind::Model => model(&one.object, declared, remote).await?,
            Kind::Drain => drain(&one.object, declared, remote).await?,
            _ => None,
        };
        problems.extend(found.map(|invalid| one.problem(&invalid)));
    }
    Ok(problems)
}

async fn rollout(
    raw: &Raw,
    declared: &[Declared],
    remote: &Remote<'_>,
) -> Result<Option<Invalid>, Error> {
    let Some(rollout) = spec::<rollout::Rollout>(raw) else {
        return Ok(None);
    };
    let name = &rollout.service;
    let Some(found) = find(Kind::Service, name, declared, remote).await? else {
        return Ok(Some(missing("spec.service", Kind::Service, name)));
    };
    let plain = |s: service::Service| s.backend == service::Backend::Plain;
    if spec(&found).is_some_and(plain) {
        let reason = format!("Service {name} is plain and serves no model; name a model service");
        return Ok(Some(Invalid::new("spec.service", reason)));
    }
    let version = model::Model::object_name(&rollout.model, &rollout.version);
    match find(Kind::Model, &version, declared, remote).await? {
        Some(_) => Ok(None),
        None => Ok(Some(missing("spec.version", Kind::Model, &version))),
    }
}

async fn model(
    raw: &Raw,
    declared: &[Declared],
    remote: &Remote<'_>,
) -> Result<Option<Invalid>, Error> {
    let Some(model) = spec::<model::Model>(raw) else {
        return Ok(None);
    };
    let expected = model::Model::object_name(&model.model, &model.version);
    if raw.metadata.name != expected {
        let reason = format!("must be {expected:?}, after spec.model and spec.version");
        return Ok(Some(Invalid::new("name", reason)));
    }
    let Some(base) = model.base else {
        return Ok(None);
    };
    match find(Kind::Model, &base, declared, remote).await? {
        Some(_) => Ok(None),
        None => Ok(Some(missing("spec.base", Kind::Model, &base))),
    }
}

async fn drain(
    raw: &Raw,
    declared: &[Declared],
    remote: &Remote<'_>,
) -> Result<Option<Invalid>, Error> {
    let name = &raw.metadata.name;
    match find(Kind::Vm, name, declared, remote).await? {
        Some(_) => Ok(None),
        None => Ok(Some(missing("name", Kind::Vm, name))),
    }
}

fn spec<S: Resource>(raw: &Raw) -> Option<S> {
    Object::<S>::from_raw(raw).ok().map(|o| o.spec)
}

async fn find(
    kind: Kind,
    name: &str,
    declared: &[Declared],
    remote: &Remote<'_>,
) -> Result<Option<Raw>, Error> {
    let same = |d: &&Declared| d.object.kind == kind && d.object.metadata.name == name;
    match declared.iter().find(same) {
        Some(d) => Ok(Some(d.object.clone())),
        None => remote.get(kind, name).await,
    }
}

fn missing(field: &str, kind: Kind, name: &str) -> Invalid {
    let reason = format!("{kind} {name} does not exist; declare it in the same call or before");
    Invalid::new(field, reason)
}
