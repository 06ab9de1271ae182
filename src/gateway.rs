//! Gateway process: accepts requests of callers, sends them to targets and returns the answers.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use parking_lot::Mutex;
use rand::RngExt;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::entry::retry;
use crate::node::follow;
use crate::node::freshness::StoreContact;
use crate::node::settings::{Listen, Settings};
use crate::node::stop::Signals;
use crate::node::{Error, ListenSnafu, MissingSnafu, SharedCatalog, metrics_listener};
use crate::place::backoff::RefusalRate;
use crate::place::death::Inquiries;
use crate::place::handover::{Deaths, Holders};
use crate::place::limit::Limits;
use crate::place::pool::Pool;
use crate::place::quarantine::Quarantine;
use crate::shared_state::Phase;
use crate::telemetry;

mod agents;
mod answer;
mod attempt;
mod call;
mod crashes;
mod events;
mod guard;
mod handle;
mod hedge;
mod limits;
mod probe;
mod server;
mod source;

/// Time from SIGTERM until no new connections are accepted. Two readiness probes, one
/// second apart, must fail before that.
const ACCEPT_GRACE: Duration = Duration::from_secs(3);
/// Time before the stop limit at which the process exits although requests are in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of waits for a later lifetime of a target; each is woken by every change of the
/// catalog.
const MAX_SUCCESSOR_WAITS: usize = 64;
/// Interval at which the shutdown checks for requests in progress.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shared state of a gateway process.
#[derive(Debug)]
pub struct Gateway<C: Clock> {
    clock: C,
    data_center: String,
    catalog: SharedCatalog,
    store_contact: StoreContact,
    pool: Mutex<Pool>,
    agents: agents::AgentClient,
    retry_budget: Mutex<retry::Budget>,
    refusals: Mutex<RefusalRate>,
    quarantine: Mutex<Quarantine>,
    inquiries: Mutex<Inquiries>,
    /// Deaths of targets that this gateway knows.
    deaths: Mutex<Deaths>,
    /// Limits the waits for later lifetimes of targets.
    successor_waits: Semaphore,
    /// Host processes that keep rate limits, by the hash of the target's lifetime.
    limit_holders: Mutex<Holders>,
    /// Permits for targets about which no host decides.
    limits: Mutex<Limits>,
    bounds: crate::node::settings::Bounds,
    /// Cancelled at the start of the shutdown.
    stopping: CancellationToken,
    /// Cancelled when open connections must be closed.
    closing: CancellationToken,
    /// Number of requests in progress.
    active: std::sync::atomic::AtomicUsize,
}

/// Runs a gateway until the shutdown signal.
///
/// # Errors
/// Fails when an address cannot be bound or the `listen` setting is missing.
pub async fn run<C: Clock>(
    settings: Settings,
    mut signals: Signals,
    clock: C,
) -> Result<(), Error> {
    let listen = settings.listen.clone();
    let Listen { callers, probes } = listen.context(MissingSnafu { key: "listen" })?;
    let address = callers;
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let address = probes;
    let probe_listener = TcpListener::bind(address).await;
    let probe_listener = probe_listener.context(ListenSnafu { address })?;
    let address = settings.message_address();
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;

    telemetry::init();
    let now = clock.now();
    let catalog = SharedCatalog::default();
    let store_contact = follow::start(&settings, &catalog, &clock);
    let gateway = Arc::new(Gateway {
        data_center: settings.data_center.clone(),
        catalog,
        store_contact,
        pool: Mutex::default(),
        agents: agents::AgentClient::new(socket, rand::rng().random(), settings.ports[0]),
        retry_budget: Mutex::new(retry::Budget::new(now)),
        refusals: Mutex::new(RefusalRate::new(now)),
        quarantine: Mutex::default(),
        inquiries: Mutex::default(),
        deaths: Mutex::default(),
        successor_waits: Semaphore::new(MAX_SUCCESSOR_WAITS),
        limit_holders: Mutex::default(),
        limits: Mutex::default(),
        bounds: settings.bounds.clone(),
        stopping: CancellationToken::new(),
        closing: CancellationToken::new(),
        active: std::sync::atomic::AtomicUsize::new(0),
        clock,
    });
    let metrics = metrics_listener(settings.metrics).await?;
    if let Some(listener) = metrics {
        let shutdown = gateway.closing.clone();
        tokio::spawn(telemetry::serve(listener, gateway.clone(), shutdown));
    }
    tokio::spawn(gateway.clone().sync_pool());
    tokio::spawn(gateway.clone().receive_messages());
    tokio::spawn(gateway.clone().send_subscriptions());
    tokio::spawn(probe::serve(probe_listener, gateway.clone()));
    let accepting = tokio::spawn(server::run(listener, gateway.clone()));
    info!(vm = settings.vm.as_str(), role = "gateway"; "started");
    signals.wait_for_shutdown().await;

    let deadline = time::Instant::now() + settings.bounds.stop_limit().saturating_sub(EXIT_MARGIN);
    gateway.stopping.cancel();
    info!(vm = settings.vm.as_str(), active = gateway.active(); "stopping");
    time::sleep(ACCEPT_GRACE.min(settings.bounds.stop_limit() / 2)).await;
    accepting.abort();
    gateway.closing.cancel();
    while gateway.active() > 0 && time::Instant::now() < deadline {
        time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    info!(vm = settings.vm.as_str(), active = gateway.active(); "stopped");
    Ok(())
}

impl<C: Clock> telemetry::Process for Gateway<C> {
    fn phase(&self) -> Phase {
        if self.is_stopping() {
            Phase::Draining
        } else if self.is_ready() {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn refresh(&self) {
        telemetry::set_process(self.phase(), self.active());
        telemetry::set_catalog(&self.catalog.snapshot());
        telemetry::set_contact(&self.store_contact, self.clock.now());
    }
}

impl<C: Clock> Gateway<C> {
    fn active(&self) -> usize {
        self.active.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    async fn sync_pool(self: Arc<Self>) {
        let mut snapshots = self.catalog.subscribe();
        let mut subscribed = Vec::new();
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.pool.lock().sync(&snapshot);
            subscribed = self.subscribe_to_new(&subscribed);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }
}
