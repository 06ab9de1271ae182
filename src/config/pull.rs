//! Anti-entropy: asks peers for newer configuration.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time;
use tonic::Status;

use crate::config::parts::{self, Assembler};
use crate::config::peers::{self, Peer};
use crate::config::{Handle, store};
use crate::control::pb;
use crate::control::pb::config_sync_client::ConfigSyncClient;
use crate::daemon;

/// Interval of pulls.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which each part of an answer must arrive. A part of 1 MB takes
/// 0.4 s on a link of 20 Mbit/s.
pub const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers that a starting process asks before it becomes ready.
const FIRST_ROUND: usize = 3;

/// Time for the answers of the first round.
const FIRST_ROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pulls in progress at the same time; a silent peer holds one for up to
/// [`PART_TIMEOUT`].
const MAX_PULLS: usize = 6;

/// Why a pull failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: Status },
    #[snafu(display("{source}"), context(false))]
    Parts { source: parts::Error },
    #[snafu(display("no answer within {PART_TIMEOUT:?}"))]
    Silent,
}

/// Pulls until the process stops.
pub(super) async fn run(ctx: daemon::Context, handle: Handle) {
    let stop = ctx.stop.clone();
    let work = async {
        first_round(&ctx, &handle).await;
        repeat(&ctx, &handle).await;
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

/// The newest answer of up to three peers comes into force as the first view,
/// so that one peer that is behind does not make a process ready with an old
/// configuration.
async fn first_round(ctx: &daemon::Context, handle: &Handle) {
    let view = ctx.state.view();
    let peers = peers::first_round(&view, &ctx.settings, FIRST_ROUND, &mut rand::rng());
    if peers.is_empty() {
        return;
    }
    handle.pause_publishing();
    let mut pulls = JoinSet::new();
    for peer in peers {
        pulls.spawn(pull(ctx.clone(), handle.clone(), peer));
    }
    let all = async { while pulls.join_next().await.is_some() {} };
    let _ = time::timeout(FIRST_ROUND_TIMEOUT, all).await;
    handle.resume_publishing();
}

async fn repeat(ctx: &daemon::Context, handle: &Handle) {
    let mut pulls = JoinSet::new();
    // A random phase spreads the pulls of processes that start together.
    let phase: f64 = rand::rng().random();
    time::sleep(PULL_INTERVAL.mul_f64(phase)).await;
    let mut interval = time::interval(PULL_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        while pulls.try_join_next().is_some() {}
        for peer in peers::choose(&ctx.state.view(), &ctx.settings, &mut rand::rng()) {
            if pulls.len() < MAX_PULLS {
                pulls.spawn(pull(ctx.clone(), handle.clone(), peer));
            }
        }
    }
}

async fn pull(ctx: daemon::Context, handle: Handle, peer: Peer) {
    let result = exchange(&ctx, &handle, peer.address).await;
    if let Err(e) = &result {
        log::debug!(peer:% = peer.address, error:% = e; "configuration pull failed");
    }
    if result.is_err() || !peer.keep_open {
        ctx.pool.remove(peer.address);
    }
}

async fn exchange(ctx: &daemon::Context, handle: &Handle, peer: SocketAddr) -> Result<(), Error> {
    let mut client = ConfigSyncClient::new(ctx.pool.channel(peer));
    let request = pb::PullRequest {
        complete: handle.revisions().complete,
        vm: ctx.settings.vm.clone(),
        data_center: ctx.settings.data_center.clone(),
    };
    let call = time::timeout(PART_TIMEOUT, client.pull(request)).await;
    let mut replies = call.map_err(|_| Error::Silent)??.into_inner();
    let mut assembler = Assembler::default();
    let mut coordinator = None;
    loop {
        let reply = time::timeout(PART_TIMEOUT, replies.message()).await;
        let Some(reply) = reply.map_err(|_| Error::Silent)?? else {
            break;
        };
        coordinator = reply.coordinator.or(coordinator);
        if let Some(part) = reply.delta {
            assembler.add(part)?;
        }
    }
    if let Some(delta) = assembler.finish() {
        apply(handle, delta, peer);
    }
    if let Some(coordinator) = coordinator {
        handle.update_coordinator(coordinator);
    }
    Ok(())
}

fn apply(handle: &Handle, delta: store::Delta, peer: SocketAddr) {
    let to = delta.to;
    if handle.apply(delta) == store::Outcome::Changed {
        log::info!(revision = to, peer:%; "configuration pulled");
    }
}
