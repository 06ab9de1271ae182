//! Process on a target's VM that keeps the target's weights current and grants its slots to
//! gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::{info, warn};
use parking_lot::Mutex;
use rand::RngExt;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, Moment};
use crate::digest::Digest;
use crate::fleet;
use crate::node::follow;
use crate::node::freshness::StoreContact;
use crate::node::settings::{Bounds, Placement, Settings};
use crate::node::stop::Signals;
use crate::node::{Error, ListenSnafu, MissingSnafu, SharedCatalog, metrics_listener, relay};
use crate::place::limit::Limits;
use crate::place::pace::Pacer;
use crate::place::slots::{SILENCE_OBJECTIVES, SlotTable};
use crate::platform::engine::{self, Report};
use crate::rendezvous;
use crate::shared_state::Phase;
use crate::telemetry;

mod announce;
mod chunks;
mod cold;
mod deaths;
mod exchange;
mod fetch;
mod limits;
mod places;
pub mod plan;
mod proof;
mod serve;
mod staging;
mod switch;

/// Time between two polls of the target's report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a report, which comes from the same VM; the target then counts as silent.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of an accepted load order; the target first ends the requests that run.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Timeout for reading a staged chunk for a peer.
const STAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before a version is due at which a target with older weights closes while the
/// objectives of its routes are unknown.
const DEFAULT_MARGIN: Duration = Duration::from_millis(700);
/// Slots of a target until the configuration is known.
const DEFAULT_SLOTS: u32 = 1;
/// Prompt tokens that a target reads per second until the configuration is known.
const DEFAULT_PREFILL: f64 = 10_000.0;
/// Mean time that a request holds a slot until the configuration is known.
const DEFAULT_SLOT_TIME: Duration = Duration::from_secs(1);

/// Shared state of a host's tasks.
#[derive(Debug)]
pub struct Host<C: Clock> {
    clock: C,
    /// Random identifier of this process.
    process: u64,
    catalog: SharedCatalog,
    contact: StoreContact,
    relay_cache: relay::codec::Cache,
    service: String,
    region: String,
    target: SocketAddr,
    /// Port on which all hosts receive messages.
    port: u16,
    bounds: Bounds,
    placement: Placement,
    socket: UdpSocket,
    slots: Mutex<SlotTable>,
    /// Gateways that subscribed to the target's state.
    gateways: Mutex<Vec<places::Subscriber>>,
    /// Peers that subscribed to the chunks that this host holds.
    peers: Mutex<Vec<announce::Subscriber>>,
    /// Messages of peers that the running download has not processed yet.
    inbox: Mutex<announce::Inbox>,
    /// Notified when a message arrives in `inbox`.
    received: Notify,
    chunks: chunks::ChunkCache,
    deaths: Mutex<deaths::DeathLog>,
    /// Notified when gateways report a death that others do not know.
    reported: Notify,
    /// Rate limits of this host's target and of those without a host.
    limits: Mutex<Limits>,
    cold: Mutex<cold::ColdTargets>,
    upload_pacer: Mutex<Pacer>,
    /// Held while a manifest is fetched from the origin.
    manifest_lock: tokio::sync::Mutex<()>,
    report_client: tokio::sync::Mutex<engine::ReportClient>,
    /// Newest report of the target.
    report: watch::Sender<Report>,
    /// Whether the last poll of the target's report succeeded.
    is_reachable: watch::Sender<bool>,
    /// Whether a load order is being given or carried out.
    is_switching: AtomicBool,
    /// Load order whose answer was lost.
    unanswered_order: Mutex<Option<switch::UnansweredOrder>>,
    /// Sequence number of the next state sent to gateways.
    next_sequence: AtomicU64,
    /// Pairs of data centre and region, sorted by data centre.
    center_regions: Vec<(String, String)>,
}

/// Runs a host until it receives SIGTERM or SIGINT.
///
/// # Errors
/// Fails when an address is in use or a setting is missing.
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
    let catalog = SharedCatalog::default();
    let contact = follow::start(&settings, &catalog, &clock);
    let host = Arc::new(Host {
        process: rand::rng().random(),
        catalog,
        contact,
        relay_cache: relay::codec::Cache::default(),
        service: target.service,
        region: settings.region.clone(),
        target: target.address,
        port: settings.ports[0],
        bounds: settings.bounds.clone(),
        placement: settings.placement,
        socket,
        slots: Mutex::new(SlotTable::new(
            DEFAULT_SLOTS,
            DEFAULT_SLOT_TIME,
            DEFAULT_PREFILL,
        )),
        gateways: Mutex::default(),
        peers: Mutex::default(),
        inbox: Mutex::default(),
        received: Notify::new(),
        chunks: chunks::ChunkCache::default(),
        deaths: Mutex::default(),
        reported: Notify::new(),
        limits: Mutex::default(),
        cold: Mutex::default(),
        upload_pacer: Mutex::new(Pacer::new(settings.link_mbps, clock.now())),
        manifest_lock: tokio::sync::Mutex::default(),
        report_client: tokio::sync::Mutex::new(engine::ReportClient::new(target.address)),
        report: watch::Sender::default(),
        is_reachable: watch::Sender::default(),
        is_switching: AtomicBool::new(false),
        unanswered_order: Mutex::default(),
        next_sequence: AtomicU64::new(0),
        center_regions: settings.data_center_regions(),
        clock,
    });
    if let Some(listener) = metrics_listener(settings.metrics).await? {
        let stop = CancellationToken::new();
        tokio::spawn(telemetry::serve(listener, host.clone(), stop));
    }
    tokio::spawn(host.clone().configure_slots());
    tokio::spawn(host.clone().poll_target());
    tokio::spawn(host.clone().receive_datagrams());
    tokio::spawn(host.clone().fetch_versions());
    tokio::spawn(host.clone().announce_chunks());
    tokio::spawn(host.clone().pass_deaths());
    tokio::spawn(host.clone().load_versions());
    tokio::spawn(serve::run(listener, host.clone()));
    info!(vm = settings.vm.as_str(), role = "host", target:% = target.address; "started");
    signals.wait_for_shutdown().await;
    info!(vm = settings.vm.as_str(); "stopped");
    Ok(())
}

impl<C: Clock> telemetry::Process for Host<C> {
    fn phase(&self) -> Phase {
        if self.slots.lock().is_open() {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn refresh(&self) {
        let active = self.slots.lock().active();
        telemetry::set_process(telemetry::Process::phase(self), active as usize);
        telemetry::set_catalog(&self.catalog.snapshot());
        telemetry::set_contact(&self.contact, Moment::of(&self.clock));
    }
}

impl<C: Clock> Host<C> {
    /// Name of this host in transfer plans: the address of its target.
    fn own_name(&self) -> String {
        self.target.to_string()
    }

    fn next_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the target has weights loaded, so that its requests share the VM's link.
    fn is_serving(&self) -> bool {
        self.report.borrow().weights.is_some()
    }

    fn is_target_reachable(&self) -> bool {
        *self.is_reachable.borrow()
    }

    /// Region of a data centre; a data centre without one counts as a region of its own.
    fn region<'a>(&'a self, data_center: &'a str) -> &'a str {
        let found = self
            .center_regions
            .binary_search_by(|(c, _)| c.as_str().cmp(data_center));
        found.map_or(data_center, |i| &self.center_regions[i].1)
    }

    /// Position of this host's target among those of its service, ordered by address.
    fn rank(&self) -> usize {
        let catalog = self.catalog.snapshot();
        let targets = catalog
            .targets
            .iter()
            .filter(|t| t.value.service == self.service);
        targets.filter(|t| t.value.address < self.target).count()
    }

    /// Address of the host that fetches a version's manifest from the origin for its region;
    /// `None` if that is this host or no target of the region serves.
    fn manifest_peer(&self, model: &str, version: u64) -> Option<SocketAddr> {
        let catalog = self.catalog.snapshot();
        let eligible = catalog.targets.iter().map(|t| &t.value).filter(|t| {
            t.service == self.service
                && t.phase == fleet::Phase::Ready
                && t.weights.is_some()
                && self.region(&t.data_center) == self.region
        });
        let names: Vec<String> = eligible.map(|t| t.address.to_string()).collect();
        let key = format!("{model}/{version}");
        let first = rendezvous::first(key.as_bytes(), names.iter().map(String::as_str))?;
        let target: SocketAddr = first.parse().ok()?;
        (target != self.target).then(|| SocketAddr::new(target.ip(), self.port))
    }

    /// Origin of the weights; `None` until the configuration names one.
    fn origin(&self) -> Option<fleet::Origin> {
        let catalog = self.catalog.snapshot();
        let config = catalog.config.as_ref()?;
        config.services.iter().find_map(|s| s.origin)
    }

    /// Applies the slots and rates of the engine in the configuration to the slot table, until
    /// the process ends.
    async fn configure_slots(self: Arc<Self>) {
        let mut updates = self.catalog.subscribe();
        let mut applied = None;
        loop {
            let catalog = updates.borrow_and_update().clone();
            let service = catalog
                .config
                .as_ref()
                .and_then(|c| c.service(&self.service));
            let engine = service.and_then(|s| s.engine.clone());
            if engine != applied
                && let Some(engine) = &engine
            {
                let mut slots = self.slots.lock();
                if applied.is_none() {
                    let is_open = slots.is_open();
                    *slots = SlotTable::new(engine.slots, engine.slot_time(), engine.prefill_rate);
                    slots.set_open(is_open);
                }
                if self.placement.forecast {
                    slots.configure(engine);
                } else {
                    slots.resize(engine.slots);
                    slots.order_mut().set_engine(engine);
                }
            }
            applied = engine;
            if updates.changed().await.is_err() {
                return;
            }
        }
    }

    /// Polls the target's report until the process ends.
    async fn poll_target(self: Arc<Self>) {
        let mut ticks = time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.update_report().await;
        }
    }

    /// Polls the target's report once, and opens or closes the target for requests accordingly.
    async fn update_report(&self) {
        let mut client = self.report_client.lock().await;
        let asked = self.clock.now();
        let mut asked_last = asked;
        let mut report = client.fetch(REPORT_TIMEOUT).await;
        if report.as_ref().is_err_and(|e| !e.is_timeout()) {
            // A new connection shows whether the process has ended.
            asked_last = self.clock.now();
            report = client.fetch(REPORT_TIMEOUT).await;
        }
        drop(client);
        self.record_poll(&report);
        let report = match report {
            Ok(report) => report,
            Err(e) => return self.record_failed_poll(&e, asked),
        };
        if !self.is_reachable.send_replace(true) {
            info!(target:% = self.target, weights = report.weights, born = report.started; "target reached");
        }
        let now = self.clock.now();
        let before = self.report.send_replace(report.clone());
        let mut slots = self.slots.lock();
        let silence = slots.silence(now);
        if before.started != report.started {
            slots.reset();
        }
        slots.reconcile(report.running + report.queued, asked_last, now);
        if self.placement.forecast {
            slots.set_pace(report.slowdown, now);
        }
        let active = slots.active();
        drop(slots);
        self.observe_start(report.started, now);
        if let Some(silence) = silence {
            let ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
            info!(target:% = self.target, ms, active; "target goes on after a silence");
            self.publish_state();
        }
        if before.weights != report.weights {
            info!(before = before.weights, after = report.weights; "target weights changed");
        }
        let reason = self.closed_reason(&report);
        self.set_open(reason.is_none(), reason.unwrap_or("serving"));
    }

    /// Handles a poll that was asked at `asked` and got no report. The target has lost its
    /// requests only if its process has ended: if it is silent, it may go on with them.
    fn record_failed_poll(&self, error: &engine::Error, asked: Instant) {
        let reason = error.to_string();
        if self.is_reachable.send_replace(false) {
            warn!(target:% = self.target, reason = reason.as_str(); "target unreachable");
        }
        if error.is_refused() {
            self.set_open(false, "target unreachable");
            self.slots.lock().reset();
            self.record_engine_end();
            return;
        }
        let now = self.clock.now();
        let mut slots = self.slots.lock();
        let is_new = slots.record_silence(asked);
        let silence = slots.silence(now);
        let active = slots.active();
        drop(slots);
        if is_new {
            info!(target:% = self.target, active; "target silent, its requests keep their slots");
            self.publish_state();
        }
        if silence >= Some(self.longest_objective() * SILENCE_OBJECTIVES) {
            self.set_open(false, "target silent");
        }
    }

    /// Longest objective of the target's routes, by which requests that it queued begin.
    fn longest_objective(&self) -> Duration {
        let catalog = self.catalog.snapshot();
        let config = catalog.config.as_ref();
        let objective = config.and_then(|c| c.longest_objective(&self.service));
        objective.unwrap_or(DEFAULT_MARGIN)
    }

    /// Reason for which the target accepts no requests; `None` if it does.
    fn closed_reason(&self, report: &Report) -> Option<&'static str> {
        if report.busy || self.is_switching.load(Ordering::Relaxed) {
            return Some("switching");
        }
        let Some(weights) = report.weights else {
            return Some("no weights");
        };
        let catalog = self.catalog.snapshot();
        let registered = catalog
            .targets
            .iter()
            .find(|t| t.value.address == self.target);
        if registered.is_some_and(|t| t.value.phase == fleet::Phase::Draining) {
            return Some("draining");
        }
        // Requests that the target has queued begin within their objective.
        let margin = self.longest_objective();
        let limit = self.bounds.weights_limit().saturating_sub(margin);
        let now = self.clock.now();
        let due = catalog
            .releases
            .iter()
            .map(|r| r.value.required_version(limit, now))
            .max();
        (weights < due.unwrap_or(0)).then_some("weights overdue")
    }

    /// Waits until the target serves `version`, at most `LOAD_TIMEOUT`.
    async fn wait_for_load(&self, version: u64) {
        let mut reports = self.report.subscribe();
        let loaded = reports.wait_for(|r| !r.busy && r.weights == Some(version));
        if time::timeout(LOAD_TIMEOUT, loaded).await.is_err() {
            warn!(version; "load not finished in time");
        }
    }

    /// A chunk of the loaded version from the target's staging area; `None` if it is missing
    /// or doesn't match its digest.
    async fn staged_chunk(&self, model: &str, version: u64, index: usize) -> Option<Bytes> {
        if self.report.borrow().weights != Some(version) {
            return None;
        }
        let manifest = self.origin_manifest(model, version).await?;
        let read = engine::read_staged(self.target, model, index, STAGE_TIMEOUT).await;
        let data = read.ok()?;
        let is_valid = manifest.digests.get(index) == Some(&Digest::of(&data));
        if !is_valid {
            return None;
        }
        self.chunks.insert(&manifest, index, &data);
        Some(data)
    }
}
