//! Builds the typed view from the store.

use std::sync::Arc;

use crate::config::View;
use crate::config::store::{Entry, Store};
use crate::resource::{Invalid, Kind, Object, Raw, Resource};

/// An object whose newest form can't be used. The view keeps its last valid
/// form, if there was one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidObject {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
    /// Revision of the unusable form.
    pub revision: u64,
    /// Field and reason.
    pub reason: String,
}

/// View of `store`; objects that did not change are taken over from `old`.
#[must_use]
pub fn build(store: &Store, old: &View) -> (View, Vec<InvalidObject>) {
    let mut invalid_objects = Vec::new();
    let view = View {
        complete: store.complete(),
        accounts: select(store, &old.accounts, &mut invalid_objects),
        drains: select(store, &old.drains, &mut invalid_objects),
        models: select(store, &old.models, &mut invalid_objects),
        rollouts: select(store, &old.rollouts, &mut invalid_objects),
        services: select(store, &old.services, &mut invalid_objects),
        vms: select(store, &old.vms, &mut invalid_objects),
    };
    (view, invalid_objects)
}

fn select<S: Resource>(
    store: &Store,
    old: &[Arc<Object<S>>],
    invalid_objects: &mut Vec<InvalidObject>,
) -> Vec<Arc<Object<S>>> {
    let entries = store.entries(S::KIND).iter().filter(|e| !e.is_tombstone());
    let mut objects = Vec::new();
    for entry in entries {
        let last = super::find(old, &entry.name);
        if let Some(same) = last.filter(|o| o.metadata.revision == entry.revision) {
            objects.push(same.clone());
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
                objects.extend(last.cloned());
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
