//! Builds the typed view from the store.

use std::sync::Arc;

use crate::config::View;
use crate::config::store::{Entry, Store};
use crate::resource::{Invalid, Kind, Object, Raw, Resource};

/// An object whose latest revision is invalid. The view keeps its last valid
/// revision, if there was one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidObject {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// The invalid revision.
    pub revision: u64,
    /// Text that names the invalid field and why it is invalid.
    pub reason: String,
}

/// Builds the view of `store` and lists the invalid objects. Unchanged objects
/// are shared with `previous` instead of being parsed again.
#[must_use]
pub fn build(store: &Store, previous: &View) -> (View, Vec<InvalidObject>) {
    let mut invalid_objects = Vec::new();
    let view = View {
        complete: store.complete(),
        accounts: build_kind(store, &previous.accounts, &mut invalid_objects),
        drains: build_kind(store, &previous.drains, &mut invalid_objects),
        models: build_kind(store, &previous.models, &mut invalid_objects),
        rollouts: build_kind(store, &previous.rollouts, &mut invalid_objects),
        services: build_kind(store, &previous.services, &mut invalid_objects),
        vms: build_kind(store, &previous.vms, &mut invalid_objects),
    };
    (view, invalid_objects)
}

fn build_kind<S: Resource>(
    store: &Store,
    previous: &[Arc<Object<S>>],
    invalid_objects: &mut Vec<InvalidObject>,
) -> Vec<Arc<Object<S>>> {
    let entries = store.entries(S::KIND).iter().filter(|e| !e.is_tombstone());
    let mut objects = Vec::new();
    for entry in entries {
        let known = super::find(previous, &entry.name);
        if let Some(unchanged) = known.filter(|o| o.metadata.revision == entry.revision) {
            objects.push(unchanged.clone());
            continue;
        }
        match parse(entry) {
            Ok(object) => objects.push(Arc::new(object)),
            Err(e) => {
                invalid_objects.push(InvalidObject {
                    kind: entry.kind,
                    name: entry.name.clone(),
                    revision: entry.revision,
                    reason: e.to_string(),
                });
                objects.extend(known.cloned());
            }
        }
    }
    objects
}

fn parse<S: Resource>(entry: &Entry) -> Result<Object<S>, Invalid> {
    let raw: Raw =
        serde_json::from_slice(&entry.json).map_err(|e| Invalid::new("object", e.to_string()))?;
    let mut object = Object::from_raw(&raw)?;
    object.metadata.name.clone_from(&entry.name);
    object.metadata.revision = entry.revision;
    Ok(object)
}
