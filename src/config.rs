//! The configuration, which is replicated to every process.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::clock::Clock;
use crate::control::pb::config_sync_server::ConfigSyncServer;
use crate::daemon;

use crate::resource::{Object, account, drain, model, rollout, service, vm};

pub mod handle;
pub mod parts;
pub mod peers;
pub mod pull;
pub mod store;
pub mod sync;
pub mod view;

pub use handle::Handle;

/// Starts the anti-entropy pulls. Returns a handle to the store and the gRPC
/// service that other processes call. `ctx.state.config` stays at revision 0
/// until the first round of pulls, from up to three peers, has ended and a
/// configuration is known.
pub fn start<C: Clock>(
    ctx: &daemon::Context,
    clock: C,
) -> (Handle, ConfigSyncServer<sync::Service<C>>) {
    let handle = Handle::new(ctx.state.clone());
    tokio::spawn(pull::run(ctx.clone(), handle.clone()));
    let service = sync::Service::new(ctx, clock, handle.clone());
    (handle, ConfigSyncServer::new(service))
}

/// Typed, read-only view of the configuration at one revision. Each vector is
/// sorted by object name.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision up to which the view contains every change; 0 before a
    /// configuration is known.
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
    /// VMs.
    pub vms: Vec<Arc<Object<vm::Vm>>>,
}

/// Finds an object by name in a slice sorted by name.
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
    /// Returns the rollout of `service` with the highest revision.
    #[must_use]
    pub fn rollout_for(&self, service: &str) -> Option<&Arc<Object<rollout::Rollout>>> {
        let matching = self.rollouts.iter().filter(|r| r.spec.service == service);
        matching.max_by_key(|r| r.metadata.revision)
    }
}
