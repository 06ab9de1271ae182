//! Agent on each target VM: admits requests, orders its engine, drains.

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

/// Starts admission, reports and the switch controller of the target; the
/// returned gRPC service streams the reports to entries.
pub fn start<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    weights: &weights::Handle,
) -> ReportsServer<reports::Server> {
    switch::start(ctx, clock.clone(), weights);
    start_without_switch(ctx, clock, listener)
}

/// Starts admission and reports without the switch controller: what the engine
/// may serve is read from `state.serving`, which the caller sets.
pub fn start_without_switch<C: Clock>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
) -> ReportsServer<reports::Server> {
    let draining = drain::start(ctx);
    let broken = Arc::new(Notify::new());
    let observed = probe::start(ctx, broken.clone());
    gate::start(ctx, clock, listener, draining.clone(), broken);
    ReportsServer::new(reports::Server::new(ctx, draining, observed))
}

/// Service of this agent's target, once the configuration has it.
fn own_service<'a>(ctx: &Context, view: &'a config::View) -> Option<&'a Arc<Object<Service>>> {
    let target = ctx.settings.target.as_ref()?;
    config::find(&view.services, &target.service)
}

/// Waits until the configuration has the service of this agent's target.
async fn wait_service(ctx: &Context) -> Option<Arc<Object<Service>>> {
    let mut views: watch::Receiver<_> = ctx.state.config.subscribe();
    let known = views
        .wait_for(|view| own_service(ctx, view).is_some())
        .await
        .ok()?;
    own_service(ctx, &known).cloned()
}
