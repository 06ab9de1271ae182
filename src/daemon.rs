//! Starts the components of a process according to its role and shuts them down in order.

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

/// Time that background tasks have to end before the process exits.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Time limit for handing over journal shards. They can't be handed over while the
/// platform is unreachable; another entry then takes them as the journal's mode allows.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Binding a listener failed.
    #[snafu(display("can't listen on {address}: {source}"))]
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
    /// Installing a signal handler failed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// The settings lack a key that the role requires.
    #[snafu(display("setting {key} is missing"))]
    MissingSetting {
        /// Key of the settings file.
        key: &'static str,
    },
}

/// Settings, state and connections that all components of a process share.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// State that changes while the process runs.
    pub state: Arc<SharedState>,
    /// gRPC channels to other processes.
    pub pool: Arc<control::Pool>,
    /// Random identifier of this run of the process.
    pub boot: String,
    /// Cancelled when background tasks must end.
    pub stop: CancellationToken,
}

impl Context {
    /// Creates the context of a process with a new `boot` identifier.
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

/// Binds a listener.
///
/// # Errors
/// Fails with the address if it is in use or not local.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Runs the process until SIGTERM or SIGINT, then finishes the requests in progress.
///
/// # Errors
/// Fails when an address is in use or a setting is missing; no requests are served then.
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
    tokio::spawn(set_ready_when_configured(ctx.clone()));
    info!(vm = ctx.settings.vm.as_str(), boot = ctx.boot.as_str(); "started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&ctx).await;
    if let Some(journal) = journal {
        let _ = time::timeout(HAND_OVER_TIMEOUT, journal.hand_over()).await;
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
    let platform = ctx
        .settings
        .platform
        .as_ref()
        .context(MissingSettingSnafu {
            key: "platform.address",
        })?;
    let listener = listen(callers).await?;
    let client = objects::Client::new(platform.address, ctx.settings.bind);
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

/// Sets phase `Ready` once the configuration is complete.
async fn set_ready_when_configured(ctx: Context) {
    let mut views = ctx.state.config.subscribe();
    let view = views.wait_for(|view| view.complete > 0).await;
    if view.is_ok() {
        ctx.state.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            *phase = Phase::max(*phase, Phase::Ready);
            starting
        });
    }
}

/// Rejects new requests and waits for those in progress, at most for `limits.drain_ms`.
async fn drain(ctx: &Context) {
    ctx.state.phase.send_replace(Phase::Draining);
    info!(vm = ctx.settings.vm.as_str(), active = *ctx.state.active.borrow(); "draining");
    let mut active = ctx.state.active.subscribe();
    let idle = active.wait_for(|count| *count == 0);
    let limit = Duration::from_millis(ctx.settings.limits.drain_ms);
    let _ = time::timeout(limit, idle).await;
}
