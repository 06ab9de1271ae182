//! Drain state of this agent's target.
//!
//! The target drains as soon as the phase of the process, a `Drain` object or the
//! VM list says so.

use tokio::sync::watch;

use crate::config;
use crate::daemon::Context;
use crate::membership;
use crate::shared_state::Phase;

/// Whether the VM named `vm` is leaving.
#[must_use]
pub fn is_leaving(phase: Phase, view: &config::View, vm: &str) -> bool {
    let has_drain = config::find(&view.drains, vm).is_some();
    let is_listed = config::find(&view.vms, vm).is_some_and(|v| membership::is_leaving(view, v));
    phase == Phase::Draining || has_drain || is_listed
}

/// Starts a task that updates the returned drain state until the process stops.
#[must_use]
pub fn start(ctx: &Context) -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(current(ctx));
    let ctx = ctx.clone();
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(update(ctx, sender)).await });
    receiver
}

fn current(ctx: &Context) -> bool {
    let phase = *ctx.state.phase.borrow();
    is_leaving(phase, &ctx.state.view(), &ctx.settings.vm)
}

async fn update(ctx: Context, draining: watch::Sender<bool>) {
    let mut phases = ctx.state.phase.subscribe();
    let mut views = ctx.state.config.subscribe();
    loop {
        let leaving = current(&ctx);
        let changed = draining.send_if_modified(|old| std::mem::replace(old, leaving) != leaving);
        if changed {
            log::info!(draining = leaving; "drain state changed");
        }
        let change = tokio::select! {
            change = phases.changed() => change,
            change = views.changed() => change,
        };
        if change.is_err() {
            return;
        }
    }
}
