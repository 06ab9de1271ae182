//! Request path on entry VMs: callers' HTTP, limits, routing and retries.

use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tonic::{Request, Response, Status};

use crate::burn;
use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::shares_server::SharesServer;
use crate::daemon::Context;
use crate::digest::Digest;

pub mod body;
pub mod call;
mod collect;
pub mod deaths;
pub mod dispatch;
pub mod fair;
pub mod fleet;
mod handle;
pub mod index;
pub mod limiter;
pub mod link;
pub mod operation;
pub mod pool;
pub mod prefix;
pub mod record;
pub mod reply;
pub mod retry;
pub mod route;
mod server;
pub mod share;
mod stall;
pub mod suspect;
pub mod target;

/// State of the request path.
#[derive(Debug)]
pub struct Entry<C: Clock, J: operation::Journal> {
    ctx: Context,
    clock: C,
    journal: J,
    counter: burn::Counter,
    index: ArcSwap<index::Index>,
    fleet: Arc<fleet::Fleet<C>>,
    shares: Arc<share::Shares<C>>,
    deaths: Arc<deaths::Deaths<C>>,
    budget: Mutex<retry::Budget>,
}

/// Starts serving callers; the returned gRPC service divides account limits and
/// takes charges of other entries. Requests in progress are counted in
/// `board.active`.
pub fn start<C: Clock, J: operation::Journal>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    journal: J,
    counter: burn::Counter,
) -> SharesServer<Server<C>> {
    let policy = route::Policy::default();
    start_with(ctx, clock, listener, journal, counter, policy)
}

/// As [`start`], with a routing policy for comparison.
pub fn start_with<C: Clock, J: operation::Journal>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    journal: J,
    counter: burn::Counter,
    policy: route::Policy,
) -> SharesServer<Server<C>> {
    let entry = Arc::new(Entry {
        ctx: ctx.clone(),
        journal,
        counter,
        index: ArcSwap::from_pointee(index::Index::new(&ctx.board.view())),
        fleet: Arc::new(fleet::Fleet::new(ctx, clock.clone(), policy)),
        shares: Arc::new(share::Shares::new(ctx, clock.clone())),
        deaths: Arc::new(deaths::Deaths::new(ctx, clock.clone())),
        budget: Mutex::new(retry::Budget::new(clock.now())),
        clock,
    });
    let deaths = entry.deaths.clone();
    let on_death = move |death: target::Death| {
        tokio::spawn(deaths.report(&death));
    };
    spawn(ctx, entry.fleet.clone().follow(on_death));
    spawn(ctx, entry.fleet.clone().tick());
    spawn(ctx, entry.shares.clone().follow());
    spawn(ctx, index_follow(entry.clone()));
    spawn(ctx, server::run(listener, entry.clone()));
    SharesServer::new(Server {
        shares: entry.shares.clone(),
        deaths: entry.deaths.clone(),
    })
}

fn spawn(ctx: &Context, task: impl Future<Output = ()> + Send + 'static) {
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}

async fn index_follow<C: Clock, J: operation::Journal>(entry: Arc<Entry<C, J>>) {
    let mut views = entry.ctx.board.config.subscribe();
    loop {
        let view = views.borrow_and_update().clone();
        entry.index.store(Arc::new(index::Index::new(&view)));
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Serves `Shares`.
#[derive(Debug)]
pub struct Server<C: Clock> {
    shares: Arc<share::Shares<C>>,
    deaths: Arc<deaths::Deaths<C>>,
}

#[tonic::async_trait]
impl<C: Clock> pb::shares_server::Shares for Server<C> {
    async fn share(
        &self,
        request: Request<pb::ShareRequest>,
    ) -> Result<Response<pb::ShareReply>, Status> {
        let request = request.into_inner();
        let answer = self
            .shares
            .answer(&request.account, &request.vm, request.demand);
        let share = answer.ok_or_else(|| Status::not_found("unknown account"))?;
        Ok(Response::new(pb::ShareReply {
            rate: share.rate,
            concurrency: share.concurrency,
        }))
    }

    async fn suspect(
        &self,
        request: Request<pb::SuspectRequest>,
    ) -> Result<Response<pb::SuspectReply>, Status> {
        let suspects = request.into_inner().suspects;
        let charges = suspects.into_iter().filter_map(|s| {
            let fingerprint = Digest::from_bytes(&s.fingerprint).ok()?;
            Some(suspect::Charge {
                fingerprint,
                weight: s.weight,
                death: s.death,
            })
        });
        self.deaths.charge(charges.collect());
        Ok(Response::new(pb::SuspectReply {}))
    }
}
