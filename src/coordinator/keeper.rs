//! Competes for the coordinator lease and publishes the role of this process.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::clock::Clock;
use crate::config;
use crate::control::pb;
use crate::coordinator::lease::{Action, Identity, Inputs, PeerPush, Role, State};
use crate::daemon;
use crate::membership;
use crate::objects::{Api, Error};
use crate::rendezvous;
use crate::resource::{Kind, Object, Raw, lease};
use crate::shared_state::Phase;

/// Timeout of a call to the platform. Short enough for a second attempt within
/// [`crate::coordinator::lease::DURATION`].
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait before the inputs of the lease decisions are read again.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Position of `vm` among the candidates of a data centre, from 0, or `None` if
/// it is not a candidate.
#[must_use]
pub fn rank(view: &config::View, data_center: &str, vm: &str) -> Option<usize> {
    let names = membership::entries_in(view, data_center).map(|v| v.metadata.name.as_str());
    let ranked = rendezvous::rank(data_center.as_bytes(), names);
    ranked.iter().position(|n| *n == vm)
}

fn weight(data_center: &str, vm: &str) -> u64 {
    rendezvous::weight(data_center.as_bytes(), vm)
}

/// Competes for the lease until the process stops, then releases it.
pub(super) async fn run<C: Clock, P: Api>(
    ctx: daemon::Context,
    clock: C,
    platform: P,
    config: config::Handle,
    role: watch::Sender<Role>,
) {
    let identity = Identity {
        data_center: ctx.settings.data_center.clone(),
        vm: ctx.settings.vm.clone(),
        boot: ctx.boot.clone(),
        address: ctx.settings.control_address(),
    };
    let mut state = State::new(identity, clock.now());
    while !ctx.stop.is_cancelled() {
        state.update(inputs(&ctx, &config), config.epoch(), clock.now());
        publish_role(&ctx, &config, &role, state.role());
        match state.next_action(clock.now()) {
            Action::Wait(wait) => wait_for(&ctx, wait.min(MAX_WAIT)).await,
            Action::Read => read_lease(&mut state, &clock, &platform, &ctx).await,
            Action::Write(lease) => write_lease(&mut state, &clock, &platform, lease).await,
        }
    }
    release_lease(&state, &platform).await;
    role.send_replace(Role::default());
}

async fn wait_for(ctx: &daemon::Context, wait: Duration) {
    tokio::select! {
        () = ctx.stop.cancelled() => {}
        () = time::sleep(wait) => {}
    }
}

fn inputs(ctx: &daemon::Context, config: &config::Handle) -> Inputs {
    let view = ctx.state.view();
    let settings = &ctx.settings;
    let push = config
        .last_contact()
        .filter(|h| h.coordinator.vm != settings.vm);
    let own = config::find(&view.vms, &settings.vm);
    let must_leave = own.is_some_and(|v| membership::is_leaving(&view, v));
    Inputs {
        rank: rank(&view, &settings.data_center, &settings.vm),
        weight: weight(&settings.data_center, &settings.vm),
        leaving: must_leave || *ctx.state.phase.borrow() == Phase::Draining,
        peer_push: push.map(|h| PeerPush {
            received: h.at,
            epoch: h.coordinator.epoch,
            weight: weight(&settings.data_center, &h.coordinator.vm),
        }),
    }
}

fn publish_role(
    ctx: &daemon::Context,
    config: &config::Handle,
    sender: &watch::Sender<Role>,
    role: Role,
) {
    let previous = *sender.borrow();
    sender.send_if_modified(|r| std::mem::replace(r, role) != role);
    if previous.active == role.active
        && previous.holder == role.holder
        && previous.epoch == role.epoch
    {
        return;
    }
    log::info!(
        active = role.active, holder = role.holder, epoch = role.epoch;
        "coordinator role changed"
    );
    if role.active {
        config.publish_coordinator(pb::Coordinator {
            epoch: role.epoch,
            vm: ctx.settings.vm.clone(),
            address: ctx.settings.control_address().to_string(),
        });
    }
}

async fn read_lease<C: Clock, P: Api>(
    state: &mut State,
    clock: &C,
    platform: &P,
    ctx: &daemon::Context,
) {
    let sent = clock.now();
    let call = platform.get(Kind::Lease, &ctx.settings.data_center);
    let reply = time::timeout(CALL_TIMEOUT, call).await;
    match reply.map(|a| a.map(|lease| lease.as_ref().and_then(parse))) {
        Ok(Ok(lease)) => state.on_read(lease, sent, clock.now()),
        _ => state.on_failure(clock.now()),
    }
}

async fn write_lease<C: Clock, P: Api>(
    state: &mut State,
    clock: &C,
    platform: &P,
    lease: Object<lease::Lease>,
) {
    let sent = clock.now();
    let Ok(raw) = lease.to_raw() else {
        return state.on_failure(clock.now());
    };
    match time::timeout(CALL_TIMEOUT, platform.put(raw)).await {
        Ok(Ok(written)) => match parse(&written) {
            Some(lease) => state.on_written(lease, sent),
            None => state.on_failure(clock.now()),
        },
        Ok(Err(Error::Conflict { current })) => {
            let current = current.as_deref().and_then(parse);
            state.on_conflict(current, sent, clock.now());
        }
        _ => state.on_failure(clock.now()),
    }
}

/// Releases the lease, so that the next candidate can take it at once.
async fn release_lease<P: Api>(state: &State, platform: &P) {
    if let Some(lease) = state.released_lease()
        && let Ok(raw) = lease.to_raw()
    {
        let _ = time::timeout(CALL_TIMEOUT, platform.put(raw)).await;
    }
}

fn parse(raw: &Raw) -> Option<Object<lease::Lease>> {
    Object::from_raw(raw).ok()
}
