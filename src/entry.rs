//! Request path of an entry VM: accepts client requests, enforces account
//! limits, routes requests to targets and retries failed attempts.

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

pub mod auth;
pub mod body;
mod collect;
pub mod connection;
pub mod deaths;
pub mod dispatch;
pub mod fair;
mod handle;
pub mod limiter;
pub mod operation;
pub mod parse;
pub mod pool;
pub mod pools;
pub mod prefix;
pub mod quarantine;
pub mod record;
pub mod reply;
pub mod retry;
pub mod route;
mod server;
pub mod share;
pub mod target;
mod timeout;

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Entry<C: Clock, J: operation::Journal> {
    ctx: Context,
    clock: C,
    journal: J,
    counter: burn::Counter,
    api_keys: ArcSwap<auth::ApiKeys>,
    pools: Arc<pools::Pools<C>>,
    shares: Arc<share::Shares<C>>,
    deaths: Arc<deaths::DeathTracker<C>>,
    retry_budget: Mutex<retry::Budget>,
}

/// Starts serving clients on `listener`. The returned gRPC service divides
/// account limits among entries and receives quarantined fingerprints from
/// other entries. `state.active` counts the requests in progress.
pub fn start<C: Clock, J: operation::Journal>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    journal: J,
    counter: burn::Counter,
) -> SharesServer<SharesService<C>> {
    let policy = route::Policy::default();
    start_with(ctx, clock, listener, journal, counter, policy)
}

/// Like [`start`], with the given routing policy. Load tests compare policies.
pub fn start_with<C: Clock, J: operation::Journal>(
    ctx: &Context,
    clock: C,
    listener: TcpListener,
    journal: J,
    counter: burn::Counter,
    policy: route::Policy,
) -> SharesServer<SharesService<C>> {
    let entry = Arc::new(Entry {
        ctx: ctx.clone(),
        journal,
        counter,
        api_keys: ArcSwap::from_pointee(auth::ApiKeys::new(&ctx.state.view())),
        pools: Arc::new(pools::Pools::new(ctx, clock.clone(), policy)),
        shares: Arc::new(share::Shares::new(ctx, clock.clone())),
        deaths: Arc::new(deaths::DeathTracker::new(ctx, clock.clone())),
        retry_budget: Mutex::new(retry::Budget::new(clock.now())),
        clock,
    });
    let deaths = entry.deaths.clone();
    let on_death = move |death: target::Death| {
        tokio::spawn(deaths.report(&death));
    };
    spawn(ctx, entry.pools.clone().follow_config(on_death));
    spawn(ctx, entry.pools.clone().poll_queues());
    spawn(ctx, entry.shares.clone().refresh());
    spawn(ctx, follow_accounts(entry.clone()));
    spawn(ctx, server::run(listener, entry.clone()));
    SharesServer::new(SharesService {
        shares: entry.shares.clone(),
        deaths: entry.deaths.clone(),
    })
}

fn spawn(ctx: &Context, task: impl Future<Output = ()> + Send + 'static) {
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}

async fn follow_accounts<C: Clock, J: operation::Journal>(entry: Arc<Entry<C, J>>) {
    let mut views = entry.ctx.state.config.subscribe();
    loop {
        let view = views.borrow_and_update().clone();
        entry.api_keys.store(Arc::new(auth::ApiKeys::new(&view)));
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Implements the gRPC service `Shares`.
#[derive(Debug)]
pub struct SharesService<C: Clock> {
    shares: Arc<share::Shares<C>>,
    deaths: Arc<deaths::DeathTracker<C>>,
}

#[tonic::async_trait]
impl<C: Clock> pb::shares_server::Shares for SharesService<C> {
    async fn share(
        &self,
        request: Request<pb::ShareRequest>,
    ) -> Result<Response<pb::ShareReply>, Status> {
        let request = request.into_inner();
        let share = self
            .shares
            .divide_for(&request.account, &request.vm, request.demand);
        let share = share.ok_or_else(|| Status::not_found("unknown account"))?;
        Ok(Response::new(pb::ShareReply {
            rate: share.rate,
            concurrency: share.concurrency,
        }))
    }

    async fn suspect(
        &self,
        request: Request<pb::SuspectRequest>,
    ) -> Result<Response<pb::SuspectReply>, Status> {
        let reported = request.into_inner().suspects;
        let suspects = reported.into_iter().filter_map(|s| {
            let fingerprint = Digest::from_bytes(&s.fingerprint).ok()?;
            Some(quarantine::Suspect {
                fingerprint,
                weight: s.weight,
                death: s.death,
            })
        });
        self.deaths.add_suspects(suspects.collect());
        Ok(Response::new(pb::SuspectReply {}))
    }
}
