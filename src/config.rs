//! The configuration that every process holds a copy of.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::resource::{Object, account, drain, model, rollout, service, vm};

/// Typed, read-only copy of the configuration at one revision. Each vector is
/// sorted by name.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision up to which the copy is complete; 0 when nothing is known yet.
    pub complete: u64,
    /// Client accounts.
    pub accounts: Vec<Arc<Object<account::Account>>>,
    /// Drain requests.
    pub drains: Vec<Arc<Object<drain::Drain>>>,
    /// Model versions.
    pub models: Vec<Arc<Object<model::Model>>>,
    /// Rollouts.
    pub rollouts: Vec<Arc<Object<rollout::Rollout>>>,
    /// Services.
    pub services: Vec<Arc<Object<service::Service>>>,
    /// VM list.
    pub vms: Vec<Arc<Object<vm::Vm>>>,
}

/// Finds an object by name in a vector sorted by name.
///
/// ```
/// use std::sync::Arc;
///
/// use corianderramp::config;
/// use corianderramp::resource::{Object, drain};
///
/// let drains = vec![Arc::new(Object::new("vm-1", drain::Drain::default()))];
/// assert!(config::find(&drains, "vm-1").is_some());
/// assert!(config::find(&drains, "vm-2").is_none());
/// ```
pub fn find<'a, S>(sorted: &'a [Arc<Object<S>>], name: &str) -> Option<&'a Arc<Object<S>>> {
    let order = |o: &Arc<Object<S>>| -> Ordering { o.metadata.name.as_str().cmp(name) };
    sorted.binary_search_by(order).ok().map(|i| &sorted[i])
}

impl View {
    /// The rollout with the highest revision that names `service`.
    #[must_use]
    pub fn rollout_for(&self, service: &str) -> Option<&Arc<Object<rollout::Rollout>>> {
        let matching = self.rollouts.iter().filter(|r| r.spec.service == service);
        matching.max_by_key(|r| r.metadata.revision)
    }
}
