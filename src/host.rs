//! Process beside a target: keeps its weights current and grants its places.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use parking_lot::Mutex;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Phase;
use crate::clock::Clock;
use crate::digest::Digest;
use crate::fleet;
use crate::node::follow::{self, StoreContact};
use crate::node::settings::{Bounds, Settings};
use crate::node::stop::Signals;
use crate::node::{Error, ListenSnafu, MissingSnafu, SharedCatalog, metrics_listener, relay};
use crate::place::pace::Pacer;
use crate::place::slots::SlotTable;
use crate::platform::engine::{self, Report};
use crate::rendezvous;
use crate::telemetry;

mod chunks;
mod exchange;
mod fetch;
mod places;
pub mod plan;
mod serve;
mod switch;

/// Time between two reports of the target.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a report of the target on this VM.
const REPORT_LIMIT: Duration = Duration::from_millis(400);
/// Time that a load takes beyond the end of the running requests, at most.
const LOAD_LIMIT: Duration = Duration::from_secs(12);
/// Time for reading a staged chunk for a peer.
const STAGE_LIMIT: Duration = Duration::from_secs(1);
/// Part of the bound for new weights that is kept as a margin, so that a request that
/// waits at the target still begins in time.
const DUE_MARGIN: Duration = Duration::from_millis(700);
/// Slots of a target before the configuration is known.
const UNKNOWN_SLOTS: u32 = 1;
/// Prompt tokens that a target reads in a second before the configuration is known.
const UNKNOWN_PREFILL: f64 = 10_000.0;
/// Time that a request holds a slot before the configuration is known.
const UNKNOWN_HOLD: Duration = Duration::from_secs(1);

/// State of a host.
#[derive(Debug)]
pub struct Host<C: Clock> {
    clock: C,
    board: SharedCatalog,
    contact: StoreContact,
    cache: relay::Cache,
    service: String,
    region: String,
    target: SocketAddr,
    /// Port of all hosts.
    port: u16,
    bounds: Bounds,
    socket: UdpSocket,
    ledger: Mutex<SlotTable>,
    listeners: Mutex<Vec<places::Listener>>,
    subscribers: Mutex<Vec<exchange::Subscriber>>,
    news: Mutex<exchange::News>,
    heard: Notify,
    chunks: chunks::Chunks,
    uploads: Mutex<Pacer>,
    fetching: tokio::sync::Mutex<()>,
    reporter: tokio::sync::Mutex<engine::ReportClient>,
    /// Newest report of the target.
    engine: watch::Sender<Report>,
    is_reachable: watch::Sender<bool>,
    is_switching: AtomicBool,
    numbers: AtomicU64,
    regions: Vec<(String, String)>,
}

/// Runs a host until it is told to stop.
///
/// # Errors
/// Fails when an address is taken or a setting is missing; nothing is started then.
pub async fn run<C: Clock>(
    settings: Settings,
    mut signals: Signals,
    clock: C,
) -> Result<(), Error> {
    let target = settings.target.clone();
    let target = target.context(MissingSnafu { key: "target" })?;
    let address = settings.message_address();
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    telemetry::init();
    let board = SharedCatalog::default();
    let contact = follow::start(&settings, &board, &clock);
    let host = Arc::new(Host {
        board,
        contact,
        cache: relay::Cache::default(),
        service: target.service,
        region: settings.region.clone(),
        target: target.address,
        port: settings.ports[0],
        bounds: settings.bounds.clone(),
        socket,
        ledger: Mutex::new(SlotTable::new(UNKNOWN_SLOTS, UNKNOWN_HOLD, UNKNOWN_PREFILL)),
        listeners: Mutex::default(),
        subscribers: Mutex::default(),
        news: Mutex::default(),
        heard: Notify::new(),
        chunks: chunks::Chunks::default(),
        uploads: Mutex::new(Pacer::new(settings.link_mbps, clock.now())),
        fetching: tokio::sync::Mutex::default(),
        reporter: tokio::sync::Mutex::new(engine::ReportClient::new(target.address)),
        engine: watch::Sender::default(),
        is_reachable: watch::Sender::default(),
        is_switching: AtomicBool::new(false),
        numbers: AtomicU64::new(0),
        regions: settings.data_center_regions(),
        clock,
    });
    if let Some(listener) = metrics_listener(settings.metrics).await? {
        let stop = CancellationToken::new();
        tokio::spawn(telemetry::serve(listener, host.clone(), stop));
    }
    tokio::spawn(host.clone().size_ledger());
    tokio::spawn(host.clone().watch_target());
    tokio::spawn(host.clone().hear_gateways());
    tokio::spawn(host.clone().gather());
    tokio::spawn(host.clone().tell_peers());
    tokio::spawn(host.clone().keep_current());
    tokio::spawn(serve::run(listener, host.clone()));
    info!(vm = settings.vm.as_str(), role = "host", target:% = target.address; "started");
    signals.wait_for_shutdown().await;
    info!(vm = settings.vm.as_str(); "stopped");
    Ok(())
}

impl<C: Clock> telemetry::Process for Host<C> {
    fn phase(&self) -> Phase {
        if self.ledger.lock().is_open() {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn refresh(&self) {
        let active = self.ledger.lock().active();
        telemetry::set_process(telemetry::Process::phase(self), active as usize);
        telemetry::set_catalog(&self.board.snapshot());
    }
}

impl<C: Clock> Host<C> {
    /// Name by which hosts sort each other.
    fn name(&self) -> String {
        self.target.to_string()
    }

    fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the target holds weights, so that requests share its link.
    fn is_serving(&self) -> bool {
        self.engine.borrow().weights.is_some()
    }

    fn reachable(&self) -> bool {
        *self.is_reachable.borrow()
    }

    /// Region of a data centre; unknown ones count as regions of their own.
    fn region<'a>(&'a self, centre: &'a str) -> &'a str {
        let found = self
            .regions
            .binary_search_by(|(c, _)| c.as_str().cmp(centre));
        found.map_or(centre, |i| &self.regions[i].1)
    }

    /// Position of this host among those of its service, and how many there are.
    fn rank(&self) -> usize {
        let view = self.board.snapshot();
        let same = view
            .targets
            .iter()
            .filter(|t| t.value.service == self.service);
        same.filter(|t| t.value.address < self.target).count()
    }

    /// Host of the region that fetches a version's manifest for the others, unless it is this one.
    fn librarian(&self, model: &str, version: u64) -> Option<SocketAddr> {
        let view = self.board.snapshot();
        let near = view.targets.iter().map(|t| &t.value).filter(|t| {
            t.service == self.service
                && t.phase == fleet::Phase::Ready
                && t.weights.is_some()
                && self.region(&t.data_center) == self.region
        });
        let names: Vec<String> = near.map(|t| t.address.to_string()).collect();
        let key = format!("{model}/{version}");
        let first = rendezvous::first(key.as_bytes(), names.iter().map(String::as_str))?;
        let target: SocketAddr = first.parse().ok()?;
        (target != self.target).then(|| SocketAddr::new(target.ip(), self.port))
    }

    /// The origin of weights.
    fn origin(&self) -> Option<fleet::Origin> {
        let view = self.board.snapshot();
        let config = view.config.as_ref()?;
        config.services.iter().find_map(|s| s.origin)
    }

    /// Takes slots and times of the engine from the configuration.
    async fn size_ledger(self: Arc<Self>) {
        let mut views = self.board.subscribe();
        let mut known = None;
        loop {
            let view = views.borrow_and_update().clone();
            let service = view.config.as_ref().and_then(|c| c.service(&self.service));
            let engine = service.and_then(|s| s.engine.clone());
            if engine != known
                && let Some(engine) = &engine
            {
                let mut ledger = self.ledger.lock();
                if known.is_none() {
                    let is_open = ledger.is_open();
                    *ledger = SlotTable::new(engine.slots, engine.slot_time(), engine.prefill_rate);
                    ledger.set_open(is_open);
                } else {
                    ledger.resize(engine.slots);
                }
            }
            known = engine;
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Follows the target's own reports.
    async fn watch_target(self: Arc<Self>) {
        let mut ticks = time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.refresh().await;
        }
    }

    /// Takes a report of the target in and decides whether it takes requests.
    async fn refresh(&self) {
        let mut reporter = self.reporter.lock().await;
        let report = reporter.fetch(REPORT_LIMIT).await;
        drop(reporter);
        let report = match report {
            Ok(report) => report,
            Err(e) => {
                if self.is_reachable.send_replace(false) {
                    let reason = e.to_string();
                    warn!(target:% = self.target, reason = reason.as_str(); "target lost");
                }
                self.set_open(false, "target lost");
                self.ledger.lock().reset();
                return;
            }
        };
        if !self.is_reachable.send_replace(true) {
            info!(target:% = self.target, weights = report.weights, born = report.started; "target reached");
        }
        let now = self.clock.now();
        let before = self.engine.send_replace(report.clone());
        let mut ledger = self.ledger.lock();
        if before.started != report.started {
            ledger.reset();
        }
        ledger.reconcile(report.running + report.queued, now);
        drop(ledger);
        if before.weights != report.weights {
            info!(before = before.weights, after = report.weights; "target's weights");
        }
        let reason = self.closed(&report);
        self.set_open(reason.is_none(), reason.unwrap_or("serving"));
    }

    /// Why the target takes no requests, if it doesn't.
    fn closed(&self, report: &Report) -> Option<&'static str> {
        if report.busy || self.is_switching.load(Ordering::Relaxed) {
            return Some("switching");
        }
        let Some(weights) = report.weights else {
            return Some("no weights");
        };
        let view = self.board.snapshot();
        let registered = view.targets.iter().find(|t| t.value.address == self.target);
        if registered.is_some_and(|t| t.value.phase == fleet::Phase::Draining) {
            return Some("draining");
        }
        let bound = self.bounds.weights_limit().saturating_sub(DUE_MARGIN);
        let now = self.clock.now();
        let due = view
            .releases
            .iter()
            .map(|r| r.value.required_version(bound, now))
            .max();
        (weights < due.unwrap_or(0)).then_some("weights overdue")
    }

    /// Waits until the target serves `version`.
    async fn await_load(&self, version: u64) {
        let mut reports = self.engine.subscribe();
        let loaded = reports.wait_for(|r| !r.busy && r.weights == Some(version));
        if time::timeout(LOAD_LIMIT, loaded).await.is_err() {
            warn!(version; "load not finished");
        }
    }

    /// A chunk from the target's staging area, if it lies there unharmed.
    async fn staged(&self, model: &str, version: u64, index: usize) -> Option<Bytes> {
        if self.engine.borrow().weights != Some(version) {
            return None;
        }
        let manifest = self.original(model, version).await?;
        let read = engine::read_staged(self.target, model, index, STAGE_LIMIT).await;
        let data = read.ok()?;
        let sound = manifest.digests.get(index) == Some(&Digest::of(&data));
        if !sound {
            return None;
        }
        self.chunks.insert(&manifest, index, &data);
        Some(data)
    }
}
