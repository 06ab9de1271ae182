//! Agent of a target VM: admits and forwards requests, switches the engine between
//! versions, and drains the target before it leaves.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::config;
use crate::control::pb::reports_server::ReportsServer;
use crate::daemon::Context;
use crate::resource::Object;
use crate::resource::service::Service;
use crate::weights;

pub mod drain;
pub mod engine;
mod forward;
pub mod gate;
pub mod probe;
pub mod reports;
pub mod switch;

/// Starts request admission, the probe and the switch controller of the target.
/// The returned gRPC service streams target reports to entries.
pub fn start<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    weights: &weights::Handle,
) -> ReportsServer<reports::Server> {
    switch::start(ctx, clock.clone(), weights);
    start_without_switch(ctx, clock, listener)
}

/// Like [`start`], but without the switch controller: the caller sets the version
/// that requests are admitted to in `state.serving`.
pub fn start_without_switch<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
) -> ReportsServer<reports::Server> {
    let draining = drain::start(ctx);
    let probe_now = Arc::new(Notify::new());
    let observed = probe::start(ctx, probe_now.clone());
    gate::start(ctx, clock, listener, draining.clone(), probe_now);
    ReportsServer::new(reports::Server::new(ctx, draining, observed))
}

/// Service of this agent's target; `None` while the configuration lacks it.
fn own_service<'a>(ctx: &Context, view: &'a config::View) -> Option<&'a Arc<Object<Service>>> {
    let target = ctx.settings.target.as_ref()?;
    config::find(&view.services, &target.service)
}

/// Waits until the configuration contains the service of this agent's target.
async fn wait_service(ctx: &Context) -> Option<Arc<Object<Service>>> {
    let mut views: watch::Receiver<_> = ctx.state.config.subscribe();
    let view = views
        .wait_for(|view| own_service(ctx, view).is_some())
        .await
        .ok()?;
    own_service(ctx, &view).cloned()
}
