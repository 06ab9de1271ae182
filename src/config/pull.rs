//! Anti-entropy: pulls newer configuration from peers.

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

/// Interval between rounds of pulls.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to wait for each part of a delta. A part of 1 MB takes 0.4 s on a link
/// of 20 Mbit/s.
pub const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers from which a starting process pulls before it becomes ready.
const FIRST_ROUND_PEERS: usize = 3;

/// Timeout of the first round of pulls.
const FIRST_ROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of concurrent pulls. A pull from an unresponsive peer lasts
/// until [`PART_TIMEOUT`].
const MAX_PULLS: usize = 6;

/// Error of a pull.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: Status },
    #[snafu(display("{source}"), context(false))]
    Parts { source: parts::Error },
    #[snafu(display("no response within {PART_TIMEOUT:?}"))]
    Timeout,
}

/// Pulls periodically until the process shuts down.
pub(super) async fn run(ctx: daemon::Context, handle: Handle) {
    let shutdown = ctx.stop.clone();
    let pulls = async {
        first_round(&ctx, &handle).await;
        pull_periodically(&ctx, &handle).await;
    };
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = pulls => {}
    }
}

/// Pulls from up to [`FIRST_ROUND_PEERS`] peers and publishes the newest
/// configuration among their replies as the first view. A process that asked a single
/// peer would become ready with an old configuration if that peer is behind.
async fn first_round(ctx: &daemon::Context, handle: &Handle) {
    let view = ctx.state.view();
    let peers = peers::first_round(&view, &ctx.settings, FIRST_ROUND_PEERS, &mut rand::rng());
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

async fn pull_periodically(ctx: &daemon::Context, handle: &Handle) {
    let mut pulls = JoinSet::new();
    // A random initial delay spreads the pulls of processes that start together.
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

/// Pulls once from `peer` and closes the connection after a failure or if it is
/// not to be kept open.
async fn pull(ctx: daemon::Context, handle: Handle, peer: Peer) {
    let result = pull_from(&ctx, &handle, peer.address).await;
    if let Err(e) = &result {
        log::debug!(peer:% = peer.address, error:% = e; "configuration pull failed");
    }
    if result.is_err() || !peer.keep_open {
        ctx.pool.remove(peer.address);
    }
}

async fn pull_from(ctx: &daemon::Context, handle: &Handle, peer: SocketAddr) -> Result<(), Error> {
    let mut client = ConfigSyncClient::new(ctx.pool.channel(peer));
    let request = pb::PullRequest {
        complete: handle.revisions().complete,
        vm: ctx.settings.vm.clone(),
        data_center: ctx.settings.data_center.clone(),
    };
    let call = time::timeout(PART_TIMEOUT, client.pull(request)).await;
    let mut replies = call.map_err(|_| Error::Timeout)??.into_inner();
    let mut assembler = Assembler::default();
    let mut coordinator = None;
    loop {
        let reply = time::timeout(PART_TIMEOUT, replies.message()).await;
        let Some(reply) = reply.map_err(|_| Error::Timeout)?? else {
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
