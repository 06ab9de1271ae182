//! Gateway process: accepts requests of callers, sends them to targets and returns the answers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use log::{info, warn};
use parking_lot::Mutex;
use rand::RngExt;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Moment};
use crate::entry::retry;
use crate::fleet;
use crate::fleet::catalog::Catalog;
use crate::node::follow;
use crate::node::freshness::StoreContact;
use crate::node::settings::{Listen, Settings};
use crate::node::stop::Signals;
use crate::node::{Error, ListenSnafu, MissingSnafu, SharedCatalog, metrics_listener};
use crate::place::backoff::RefusalRate;
use crate::place::cold::Limiters;
use crate::place::death::Inquiries;
use crate::place::handover::{Deaths, Holders};
use crate::place::limit::Limits;
use crate::place::pool::Pool;
use crate::place::quarantine::Quarantine;
use crate::place::returning::UsualLimits;
use crate::place::shutdown::Shutdown;
use crate::shared_state::Phase;
use crate::telemetry;

mod agents;
mod answer;
mod attempt;
mod call;
mod cold;
mod connection;
mod crashes;
mod events;
mod guard;
mod handle;
mod hedge;
mod limits;
mod notices;
mod probe;
mod scope;
mod server;
mod source;
mod waiting;

/// Maximum number of waits for a later lifetime of a target; each is woken by every change of the
/// catalog.
const MAX_SUCCESSOR_WAITS: usize = 64;
/// Interval at which the shutdown checks for open connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shared state of a gateway process.
#[derive(Debug)]
pub struct Gateway<C: Clock> {
    clock: C,
    data_center: String,
    /// Pairs of data centre and region, sorted.
    centers: Vec<(String, String)>,
    catalog: SharedCatalog,
    store_contact: StoreContact,
    pool: Mutex<Pool>,
    agents: agents::AgentClient,
    retry_budget: Mutex<retry::Budget>,
    refusals: Mutex<RefusalRate>,
    quarantine: Mutex<Quarantine>,
    /// Time limits that callers send at first, by which those that return are told apart.
    usual_limits: Mutex<UsualLimits>,
    /// Returning callers that wait for a place.
    waiting: Mutex<waiting::Queue>,
    inquiries: Mutex<Inquiries>,
    /// Deaths of targets that this gateway knows.
    deaths: Mutex<Deaths>,
    /// Limits the waits for later lifetimes of targets.
    successor_waits: Semaphore,
    /// Host processes that keep rate limits, by the hash of the target's lifetime.
    limit_holders: Mutex<Holders>,
    /// Permits for targets about which no host decides.
    limits: Mutex<Limits>,
    /// Permits for cold targets that have no witness.
    cold_permits: Mutex<Limiters>,
    bounds: crate::node::settings::Bounds,
    placement: crate::node::settings::Placement,
    /// Limits in force for callers' connections.
    caller_limits: watch::Sender<fleet::Limits>,
    /// Set at the start of the shutdown.
    shutdown: OnceLock<Shutdown>,
    /// Cancelled when open connections must be closed.
    closing: CancellationToken,
    /// Number of requests in progress.
    active: AtomicUsize,
    /// Number of open connections of callers.
    connections: AtomicUsize,
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
        centers: settings.data_center_regions(),
        catalog,
        store_contact,
        pool: Mutex::default(),
        agents: agents::AgentClient::new(socket, rand::rng().random(), settings.ports[0]),
        retry_budget: Mutex::new(retry::Budget::new(now)),
        refusals: Mutex::new(RefusalRate::new(now)),
        quarantine: Mutex::default(),
        usual_limits: Mutex::default(),
        waiting: Mutex::default(),
        inquiries: Mutex::default(),
        deaths: Mutex::default(),
        successor_waits: Semaphore::new(MAX_SUCCESSOR_WAITS),
        limit_holders: Mutex::default(),
        limits: Mutex::default(),
        cold_permits: Mutex::default(),
        bounds: settings.bounds.clone(),
        placement: settings.placement,
        caller_limits: watch::Sender::default(),
        shutdown: OnceLock::new(),
        closing: CancellationToken::new(),
        active: AtomicUsize::new(0),
        connections: AtomicUsize::new(0),
        clock,
    });
    let metrics = metrics_listener(settings.metrics).await?;
    if let Some(listener) = metrics {
        let shutdown = gateway.closing.clone();
        tokio::spawn(telemetry::serve(listener, gateway.clone(), shutdown));
    }
    tokio::spawn(gateway.clone().sync_pool());
    tokio::spawn(gateway.clone().follow_limits());
    tokio::spawn(gateway.clone().receive_messages());
    tokio::spawn(gateway.clone().send_subscriptions());
    tokio::spawn(probe::serve(probe_listener, gateway.clone()));
    let accepting = tokio::spawn(server::run(listener, gateway.clone()));
    info!(vm = settings.vm.as_str(), role = "gateway"; "started");
    signals.wait_for_shutdown().await;

    let now = gateway.clock.now();
    let plan = Shutdown::new(now, settings.bounds.stop_limit());
    let shutdown = *gateway.shutdown.get_or_init(|| plan);
    info!(vm = settings.vm.as_str(), active = gateway.active(); "stopping");
    time::sleep_until(shutdown.accept_end().into()).await;
    gateway.closing.cancel();
    if let Err(e) = accepting.await {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "accepting connections failed");
    }
    while gateway.connections() > 0 && gateway.clock.now() < shutdown.exit() {
        time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    info!(vm = settings.vm.as_str(), active = gateway.active(), connections = gateway.connections(); "stopped");
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
        telemetry::set_contact(&self.store_contact, Moment::of(&self.clock));
    }
}

impl<C: Clock> Gateway<C> {
    fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Whether a request that ends by `end` and begins now is complete before the process exits.
    fn may_begin(&self, end: Instant) -> bool {
        let now = self.clock.now();
        self.shutdown.get().is_none_or(|s| s.may_serve(now, end))
    }

    fn update_pool(&self, catalog: &Catalog) {
        let mut pool = self.pool.lock();
        let wall = pool.is_empty().then(|| self.clock.wall());
        pool.sync(catalog);
        pool.sync_cold(catalog, self.clock.now(), wall);
    }

    async fn sync_pool(self: Arc<Self>) {
        let mut snapshots = self.catalog.subscribe();
        let mut subscribed = Vec::new();
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.update_pool(&snapshot);
            self.wake_each_waiting();
            subscribed = self.subscribe_to_new(&subscribed);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }
}
