//! Starts the parts of a process according to its role and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{self, SignalKind};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::clock;
use crate::control;
use crate::objects;
use crate::resource::vm;
use crate::settings::Settings;
use crate::shared_state::{Phase, SharedState};
use crate::{agent, burn, config, coordinator, entry, journal, telemetry, weights};

/// Time in which background tasks end before the process exits.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Time allowed for handing journal shards over. Without the platform they can't
/// be handed over, and another entry takes them as the journal's mode allows.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(5);

/// Why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The control server failed.
    #[snafu(display("{source}"))]
    Control {
        /// Cause.
        source: control::Error,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// The settings lack what the role needs.
    #[snafu(display("{key} is missing"))]
    MissingSetting {
        /// Key of the settings file.
        key: &'static str,
    },
}

/// What every part of a process shares.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Shared state.
    pub state: Arc<SharedState>,
    /// Channels to other processes.
    pub pool: Arc<control::Pool>,
    /// Identifies this incarnation of the process.
    pub boot: String,
    /// Cancelled when the process must end its background work.
    pub stop: CancellationToken,
}

impl Context {
    /// Context of a new process.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let pool = control::Pool::new(settings.bind);
        Self {
            settings: Arc::new(settings),
            state: Arc::default(),
            pool: Arc::new(pool),
            boot: objects::new_id(),
            stop: CancellationToken::new(),
        }
    }
}

/// Opens a listener.
///
/// # Errors
/// Names the address that is taken or not local.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Runs the process until it receives SIGTERM or SIGINT and has finished the
/// requests in progress.
///
/// # Errors
/// Fails when an address is taken or a setting is missing; nothing is started then.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let ctx = Context::new(settings);
    let role = ctx.settings.role;
    let mut terminate = unix::signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = unix::signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let control = listen(ctx.settings.listen.control).await?;
    let operators = listen(ctx.settings.listen.operators).await?;
    telemetry::init();
    tokio::spawn(telemetry::serve(
        operators,
        ctx.state.clone(),
        ctx.stop.clone(),
    ));
    let (routes, journal) = match role {
        vm::Role::Entry => start_entry(&ctx).await?,
        vm::Role::Target => (start_agent(&ctx).await?, None),
    };
    let server = tokio::spawn(control::serve(control, routes, ctx.stop.clone()));
    tokio::spawn(become_ready(ctx.clone()));
    info!(vm = ctx.settings.vm.as_str(), boot = ctx.boot.as_str(); "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&ctx).await;
    if let Some(journal) = journal {
        let _ = time::timeout(HAND_OVER_LIMIT, journal.hand_over()).await;
    }
    ctx.stop.cancel();
    let _ = time::timeout(STOP_GRACE, server).await;
    info!(vm = ctx.settings.vm.as_str(); "stopped");
    Ok(())
}

async fn start_entry(ctx: &Context) -> Result<(Routes, Option<journal::Handle>), Error> {
    let clock = clock::System;
    let callers = ctx.settings.listen.callers.context(MissingSettingSnafu {
        key: "listen.callers",
    })?;
    let remote = ctx
        .settings
        .platform
        .as_ref()
        .context(MissingSettingSnafu {
            key: "platform.address",
        })?;
    let listener = listen(callers).await?;
    let client = objects::Client::new(remote.address, ctx.settings.bind);
    let counter = burn::Counter::default();
    let (config, sync) = config::start(ctx, clock);
    let reports = coordinator::start(ctx, clock, &client, counter.clone(), &config);
    let (journal, journal_server) = journal::start(ctx, clock, client);
    let shares = entry::start(ctx, clock, listener, journal.clone(), counter);
    let routes = Routes::new(sync)
        .add_service(reports)
        .add_service(journal_server)
        .add_service(shares);
    Ok((routes, Some(journal)))
}

async fn start_agent(ctx: &Context) -> Result<Routes, Error> {
    let clock = clock::System;
    let requests = ctx.settings.listen.requests.context(MissingSettingSnafu {
        key: "listen.requests",
    })?;
    let listener = listen(requests).await?;
    let (_, sync) = config::start(ctx, clock);
    let (weights, weights_server) = weights::start(ctx, clock);
    let reports = agent::start(ctx, clock, listener, &weights);
    Ok(Routes::new(sync)
        .add_service(weights_server)
        .add_service(reports))
}

/// Sets phase `Ready` once the configuration is known.
async fn become_ready(ctx: Context) {
    let mut views = ctx.state.config.subscribe();
    let known = views.wait_for(|view| view.complete > 0).await;
    if known.is_ok() {
        ctx.state.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            *phase = Phase::max(*phase, Phase::Ready);
            starting
        });
    }
}

/// Takes no new requests and waits for those in progress, at most for the
/// time that the settings allow.
async fn drain(ctx: &Context) {
    ctx.state.phase.send_replace(Phase::Draining);
    info!(vm = ctx.settings.vm.as_str(), active = *ctx.state.active.borrow(); "draining");
    let mut active = ctx.state.active.subscribe();
    let idle = active.wait_for(|count| *count == 0);
    let limit = Duration::from_millis(ctx.settings.limits.drain_ms);
    let _ = time::timeout(limit, idle).await;
}
