//! Distributes model weights: planning, chunk exchange, cache and rate limits.
//!
//! [`start`] follows the newest rollout of the agent's service, fetches its
//! chunks from peers and the origin, verifies them and stages them in the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time;

use crate::clock::Clock;
use crate::control::{self, pb};
use crate::daemon;

pub mod choice;
mod follow;
pub mod http;
pub mod pace;
pub mod peers;
pub mod plan;
pub mod schedule;
pub mod serve;
pub mod staging;
pub mod store;
mod swarm;
pub mod transfer;
pub mod want;

/// Progress of fetching the wanted version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Wanted version; `None` without a rollout.
    pub wanted: Option<want::Wanted>,
    /// Number of chunks in the engine.
    pub have: usize,
    /// Number of chunks of the version.
    pub total: usize,
    /// Bytes received from the origin for this generation.
    pub origin_bytes: u64,
    /// Last failure of the origin or the engine since the last successful transfer; empty
    /// without one.
    pub reason: String,
}

impl Progress {
    /// Whether every chunk was verified and staged.
    #[must_use]
    pub fn is_verified(&self) -> bool {
        let known = self
            .wanted
            .as_ref()
            .is_some_and(|w| w.missing_manifest.is_none());
        known && self.total > 0 && self.have == self.total
    }
}

/// Handle to the transfers of this process.
#[derive(Clone, Debug)]
pub struct Handle {
    progress: watch::Receiver<Progress>,
    pacer: Arc<pace::Pacer>,
    store: Arc<store::Store>,
}

impl Handle {
    /// Receiver of the progress of fetching the wanted version.
    #[must_use]
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Fraction of the highest rate that transfers may use now, from 1/16 to 1.
    #[must_use]
    pub fn rate_factor(&self) -> f64 {
        self.pacer.rate_factor()
    }

    /// Bytes in the chunk cache.
    #[must_use]
    pub fn cached_bytes(&self) -> u64 {
        self.store.cached_bytes()
    }
}

/// The gRPC service of this process.
pub type Server<C> = pb::weights_server::WeightsServer<serve::Service<C>>;

/// Starts the transfers of this process. Without a target it fetches nothing and serves
/// an empty set of chunks.
pub fn start<C: Clock>(ctx: &daemon::Context, clock: C) -> (Handle, Server<C>) {
    let settings = &ctx.settings.weights;
    let bind = ctx.settings.bind;
    let stall_timeout = Duration::from_millis(settings.stall_ms);
    let store = Arc::new(store::Store::new(settings.cache_bytes));
    let pacer = Arc::new(pace::Pacer::new(
        settings.download_rate,
        settings.upload_rate,
    ));
    let (progress_sender, progress) = watch::channel(Progress::default());
    let engine = ctx.settings.target.as_ref().map(|t| t.address);
    let engine = engine.unwrap_or_else(|| ctx.settings.listen.control);
    let staging = staging::Staging::new(http::Client::new(engine, bind, stall_timeout));
    if let Some(target) = &ctx.settings.target {
        let origin = ctx.settings.origin.as_ref();
        let fetcher = Arc::new(transfer::Fetcher {
            clock: clock.clone(),
            vm: ctx.settings.vm.clone(),
            pool: control::Pool::bulk(bind),
            origin: origin.map(|o| http::Client::new(o.address, bind, stall_timeout)),
            staging: staging.clone(),
            store: store.clone(),
            pacer: pacer.clone(),
            stall_timeout,
            origin_bytes: AtomicU64::new(0),
        });
        spawn(ctx, &fetcher, progress_sender, target.service.clone());
    }
    tokio::spawn(watch_latency(ctx.clone(), clock.clone(), pacer.clone()));
    let shared = serve::Shared {
        clock,
        state: ctx.state.clone(),
        store: store.clone(),
        staging,
        pacer: pacer.clone(),
        slots: Arc::new(Semaphore::new(settings.upload_slots)),
        max_waiting: settings.upload_slots * serve::MAX_WAITING_PER_SLOT,
        waiting: AtomicUsize::new(0),
        stall_timeout,
        stop: ctx.stop.clone(),
    };
    let service = serve::Service {
        shared: Arc::new(shared),
    };
    let handle = Handle {
        progress,
        pacer,
        store,
    };
    (handle, pb::weights_server::WeightsServer::new(service))
}

fn spawn<C: Clock>(
    ctx: &daemon::Context,
    fetcher: &Arc<transfer::Fetcher<C>>,
    progress: watch::Sender<Progress>,
    service: String,
) {
    let (events, event_receiver) = mpsc::channel(swarm::CHANNEL_CAPACITY);
    let (results, result_receiver) = mpsc::channel(swarm::CHANNEL_CAPACITY);
    let (reachable, engine_reachable) = watch::channel(false);
    let outputs = swarm::Outputs {
        events,
        results,
        progress,
    };
    let inputs = swarm::Inputs {
        events: event_receiver,
        results: result_receiver,
        engine_reachable,
    };
    tokio::spawn(watch_staging(fetcher.clone(), reachable, ctx.stop.clone()));
    let swarm = swarm::Swarm::new(ctx.clone(), fetcher.clone(), outputs, service);
    tokio::spawn(swarm::run(swarm, inputs));
}

/// Polls the engine's staged chunks: an engine loses them when it restarts, and an agent
/// has to read them again after its own restart.
async fn watch_staging<C: Clock>(
    fetcher: Arc<transfer::Fetcher<C>>,
    reachable: watch::Sender<bool>,
    stop: tokio_util::sync::CancellationToken,
) {
    while !stop.is_cancelled() {
        let accepted = fetcher.store.accepted();
        let listed = fetcher.staging.list().await;
        let answered = listed.is_ok();
        if let Ok(staged) = listed {
            fetcher.store.set_staged(staged, accepted);
        }
        reachable.send_if_modified(|old| std::mem::replace(old, answered) != answered);
        tokio::select! {
            () = stop.cancelled() => {}
            () = time::sleep(swarm::STAGING_INTERVAL) => {}
        }
    }
}

/// Passes the latencies of requests on this VM to the pacer.
async fn watch_latency<C: Clock>(ctx: daemon::Context, clock: C, pacer: Arc<pace::Pacer>) {
    let mut latencies = ctx.state.latency.subscribe();
    loop {
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            changed = latencies.changed() => if changed.is_err() { return },
        }
        let latency = *latencies.borrow_and_update();
        pacer.observe(latency, clock.now());
    }
}
