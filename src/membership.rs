//! Queries on the VM list.

use std::sync::Arc;

use crate::config;
use crate::resource::{Object, vm};

/// Whether a VM is leaving, according to the VM list or a `Drain` object.
#[must_use]
pub fn is_leaving(view: &config::View, vm: &Object<vm::Vm>) -> bool {
    vm.spec.phase == vm::Phase::Leaving || config::find(&view.drains, &vm.metadata.name).is_some()
}

/// Entries that are not leaving, sorted by name.
pub fn entries(view: &config::View) -> impl Iterator<Item = &Arc<Object<vm::Vm>>> {
    view.vms
        .iter()
        .filter(|v| v.spec.role == vm::Role::Entry && !is_leaving(view, v))
}

/// Entries of one data centre that are not leaving.
pub fn entries_in<'a>(
    view: &'a config::View,
    data_center: &'a str,
) -> impl Iterator<Item = &'a Arc<Object<vm::Vm>>> {
    entries(view).filter(move |v| v.spec.data_center == data_center)
}

/// Targets of a service, including leaving ones.
pub fn targets<'a>(
    view: &'a config::View,
    service: &'a str,
) -> impl Iterator<Item = &'a Arc<Object<vm::Vm>>> {
    view.vms
        .iter()
        .filter(move |v| v.spec.role == vm::Role::Target && v.spec.service == service)
}

/// Names of the data centres, sorted.
#[must_use]
pub fn data_centers(view: &config::View) -> Vec<&str> {
    let mut names: Vec<&str> = view
        .vms
        .iter()
        .map(|v| v.spec.data_center.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}
