//! Whether this target leaves.
//!
//! The process's phase, a `Drain` object and the VM list each suffice; the
//! first one that says so starts the drain.

use tokio::sync::watch;

use crate::config;
use crate::daemon::Context;
use crate::membership;
use crate::shared_state::Phase;

/// Whether the VM named `vm` leaves.
#[must_use]
pub fn is_leaving(phase: Phase, view: &config::View, vm: &str) -> bool {
    let asked = config::find(&view.drains, vm).is_some();
    let listed = config::find(&view.vms, vm).is_some_and(|v| membership::is_leaving(view, v));
    phase == Phase::Draining || asked || listed
}

/// Keeps the returned topic current until the process stops.
#[must_use]
pub fn start(ctx: &Context) -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(decide(ctx));
    let ctx = ctx.clone();
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(follow(ctx, sender)).await });
    receiver
}

fn decide(ctx: &Context) -> bool {
    let phase = *ctx.state.phase.borrow();
    is_leaving(phase, &ctx.state.view(), &ctx.settings.vm)
}

async fn follow(ctx: Context, draining: watch::Sender<bool>) {
    let mut phases = ctx.state.phase.subscribe();
    let mut views = ctx.state.config.subscribe();
    loop {
        let leaving = decide(&ctx);
        let changed = draining.send_if_modified(|old| std::mem::replace(old, leaving) != leaving);
        if changed {
            log::info!(draining = leaving; "drain state changed");
        }
        let more = tokio::select! {
            more = phases.changed() => more,
            more = views.changed() => more,
        };
        if more.is_err() {
            return;
        }
    }
}
