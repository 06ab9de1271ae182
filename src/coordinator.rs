//! Coordination of a data centre: one of its entries holds the lease, follows
//! the platform, pushes the configuration, writes status, grants permits to
//! switch and collects outcomes.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::burn::Counter;
use crate::clock::Clock;
use crate::config;
use crate::control::pb::reports_server::ReportsServer;
use crate::daemon;
use crate::objects;

pub mod collect;
pub mod counts;
pub mod feed;
pub mod keeper;
pub mod lease;
pub mod permits;
pub mod progress;
pub mod push;
pub mod service;
pub mod writer;

/// What the controllers of the coordinator share.
#[derive(Clone, Debug)]
pub struct Shared {
    state: Arc<Mutex<State>>,
    processes: push::Processes,
}

#[derive(Debug)]
struct State {
    permits: permits::Permits,
    reports: progress::Reports,
}

/// Starts to compete for the lease of the own data centre and to coordinate
/// while it is held, and returns the service for agents and other entries.
pub fn start<C: Clock>(
    ctx: &daemon::Context,
    clock: C,
    platform: &objects::Client,
    counter: Counter,
    config: &config::Handle,
) -> ReportsServer<service::Service<C>> {
    let (role, roles) = watch::channel(lease::Role::default());
    let shared = Shared {
        state: Arc::new(Mutex::new(State {
            permits: permits::Permits::new(clock.now()),
            reports: progress::Reports::default(),
        })),
        processes: push::Processes::default(),
    };
    let own = || (ctx.clone(), clock.clone(), platform.clone(), config.clone());
    let (c, k, p, h) = own();
    tokio::spawn(keeper::run(c, k, p, h, role));
    tokio::spawn(feed::run(
        ctx.clone(),
        platform.clone(),
        config.clone(),
        roles.clone(),
    ));
    let pushed = shared.processes.clone();
    let (c, k, _, h) = own();
    tokio::spawn(push::run(c, k, h, roles.clone(), pushed));
    let (c, k, p, h) = own();
    tokio::spawn(writer::run(c, k, p, h, roles.clone(), shared.clone()));
    let (c, k, p, _) = own();
    tokio::spawn(collect::run(c, k, p, counter.clone(), roles.clone()));
    let (c, k, ..) = own();
    tokio::spawn(reset(c, k, roles.clone(), shared.clone()));
    ReportsServer::new(service::Service {
        ctx: ctx.clone(),
        clock,
        counter,
        role: roles,
        shared,
    })
}

/// Begins without permits and reports whenever this process becomes active,
/// since others may have granted permits meanwhile, and frees the permits of
/// VMs that have left the VM list.
async fn reset<C: Clock>(
    ctx: daemon::Context,
    clock: C,
    mut role: watch::Receiver<lease::Role>,
    shared: Shared,
) {
    let mut views = ctx.state.config.subscribe();
    let mut active = false;
    loop {
        let now_active = role.borrow_and_update().active;
        let view = views.borrow_and_update().clone();
        {
            let mut state = shared.state.lock();
            if now_active && !active {
                state.permits = permits::Permits::new(clock.now());
                state.reports = progress::Reports::default();
            }
            state
                .permits
                .retain(|vm| config::find(&view.vms, vm).is_some());
        }
        active = now_active;
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            changed = role.changed() => if changed.is_err() { return },
            changed = views.changed() => if changed.is_err() { return },
        }
    }
}
