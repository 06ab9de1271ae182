//! Coordinator of a data centre. The entry that holds the lease watches the
//! platform, pushes the configuration, writes status, grants permits to switch
//! versions and collects request outcomes.

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

/// State that the tasks of the coordinator share.
#[derive(Clone, Debug)]
pub struct ControlState {
    state: Arc<Mutex<State>>,
    processes: push::Processes,
}

#[derive(Debug)]
struct State {
    permits: permits::Permits,
    reports: progress::Reports,
}

/// Starts the tasks that compete for the lease of this process's data centre and
/// coordinate it while this process is active. Returns the gRPC service for agents
/// and other entries.
pub fn start<C: Clock>(
    ctx: &daemon::Context,
    clock: C,
    platform: &objects::Client,
    counter: Counter,
    config: &config::Handle,
) -> ReportsServer<service::Service<C>> {
    let (role_sender, roles) = watch::channel(lease::Role::default());
    let shared = ControlState {
        state: Arc::new(Mutex::new(State {
            permits: permits::Permits::new(clock.now()),
            reports: progress::Reports::default(),
        })),
        processes: push::Processes::default(),
    };
    let handles = || (ctx.clone(), clock.clone(), platform.clone(), config.clone());
    let (c, k, p, h) = handles();
    tokio::spawn(keeper::run(c, k, p, h, role_sender));
    tokio::spawn(feed::run(
        ctx.clone(),
        platform.clone(),
        config.clone(),
        roles.clone(),
    ));
    let processes = shared.processes.clone();
    let (c, k, _, h) = handles();
    tokio::spawn(push::run(c, k, h, roles.clone(), processes));
    let (c, k, p, h) = handles();
    tokio::spawn(writer::run(c, k, p, h, roles.clone(), shared.clone()));
    let (c, k, p, _) = handles();
    tokio::spawn(collect::run(c, k, p, counter.clone(), roles.clone()));
    let (c, k, ..) = handles();
    tokio::spawn(reset_state(c, k, roles.clone(), shared.clone()));
    ReportsServer::new(service::Service {
        ctx: ctx.clone(),
        clock,
        counter,
        role: roles,
        shared,
    })
}

/// Clears permits and reports whenever this process becomes active, since another
/// coordinator may have granted permits in the meantime, and frees the permits of
/// VMs that are no longer in the VM list.
async fn reset_state<C: Clock>(
    ctx: daemon::Context,
    clock: C,
    mut role: watch::Receiver<lease::Role>,
    shared: ControlState,
) {
    let mut views = ctx.state.config.subscribe();
    let mut was_active = false;
    loop {
        let is_active = role.borrow_and_update().active;
        let view = views.borrow_and_update().clone();
        {
            let mut state = shared.state.lock();
            if is_active && !was_active {
                state.permits = permits::Permits::new(clock.now());
                state.reports = progress::Reports::default();
            }
            state
                .permits
                .retain(|vm| config::find(&view.vms, vm).is_some());
        }
        was_active = is_active;
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            changed = role.changed() => if changed.is_err() { return },
            changed = views.changed() => if changed.is_err() { return },
        }
    }
}
