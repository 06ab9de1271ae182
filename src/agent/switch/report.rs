//! Reports progress to the coordinator and asks it for switch permits.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::control::pb;
use crate::daemon;

/// Interval of reports while nothing changes.
const INTERVAL: Duration = Duration::from_secs(1);
/// Interval of reports while a permit is requested.
const PERMIT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to the coordinator.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the newest report on each change and at an interval until the process stops.
/// Publishes the generation for which the coordinator granted a permit.
pub(super) async fn run(
    ctx: daemon::Context,
    mut reports: watch::Receiver<pb::AgentProgress>,
    permit: watch::Sender<Option<u64>>,
) {
    let mut redirect: Option<SocketAddr> = None;
    while !ctx.stop.is_cancelled() {
        let report = reports.borrow_and_update().clone();
        if !report.rollout.is_empty() {
            let known = address(ctx.state.coordinator.borrow().as_ref());
            if let Some(coordinator) = redirect.take().or(known) {
                let generation = report.generation;
                let wants_permit = report.want_permit;
                let reply = send(&ctx, coordinator, report).await;
                redirect = reply.as_ref().and_then(|r| address(r.coordinator.as_ref()));
                if wants_permit && reply.is_some_and(|r| r.permit) {
                    permit.send_replace(Some(generation));
                }
            }
        }
        let interval = if reports.borrow().want_permit {
            PERMIT_INTERVAL
        } else {
            INTERVAL
        };
        time::sleep(MIN_INTERVAL).await;
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            changed = reports.changed() => if changed.is_err() { return },
            () = time::sleep(interval) => {}
        }
    }
}

fn address(coordinator: Option<&pb::Coordinator>) -> Option<SocketAddr> {
    coordinator.and_then(|c| c.address.parse().ok())
}

async fn send(
    ctx: &daemon::Context,
    coordinator: SocketAddr,
    report: pb::AgentProgress,
) -> Option<pb::ProgressReply> {
    let channel = ctx.pool.channel(coordinator);
    let mut client = pb::reports_client::ReportsClient::new(channel);
    if let Ok(Ok(reply)) = time::timeout(CALL_TIMEOUT, client.progress(report)).await {
        return Some(reply.into_inner());
    }
    // Drop the channel, so that the next call connects again.
    ctx.pool.remove(coordinator);
    None
}
