//! Request path beside callers: takes requests, places them on targets and passes answers back.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use parking_lot::Mutex;
use rand::RngExt;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Phase;
use crate::clock::Clock;
use crate::entry::retry;
use crate::node::follow::{self, StoreContact};
use crate::node::settings::{Listen, Settings};
use crate::node::stop::Signals;
use crate::node::{Error, ListenSnafu, MissingSnafu, SharedCatalog, metrics_listener};
use crate::place::backoff::RefusalRate;
use crate::place::pool::Pool;
use crate::telemetry;

mod agents;
mod answer;
mod attempt;
mod events;
mod flight;
mod handle;
mod probe;
mod server;

/// Time from SIGTERM until new connections are no longer accepted: two readiness probes,
/// a second apart, must fail first.
const ACCEPT_GRACE: Duration = Duration::from_secs(3);
/// Time before the end of the stop limit at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at the requests in progress while stopping.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// State of the request path.
#[derive(Debug)]
pub struct Gateway<C: Clock> {
    clock: C,
    centre: String,
    board: SharedCatalog,
    contact: StoreContact,
    pool: Mutex<Pool>,
    agents: agents::Agents,
    budget: Mutex<retry::Budget>,
    refusals: Mutex<RefusalRate>,
    bounds: crate::node::settings::Bounds,
    /// Cancelled when the process no longer takes new work.
    stopping: CancellationToken,
    /// Cancelled when open connections must end.
    closing: CancellationToken,
    active: std::sync::atomic::AtomicUsize,
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
/// Fails when an address is taken or a setting is missing; nothing is started then.
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
    let ready = TcpListener::bind(address).await;
    let ready = ready.context(ListenSnafu { address })?;
    let address = settings.message_address();
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;

    telemetry::init();
    let now = clock.now();
    let board = SharedCatalog::default();
    let contact = follow::start(&settings, &board, &clock);
    let gateway = Arc::new(Gateway {
        centre: settings.data_center.clone(),
        board,
        contact,
        pool: Mutex::default(),
        agents: agents::Agents::new(socket, rand::rng().random(), settings.ports[0]),
        budget: Mutex::new(retry::Budget::new(now)),
        refusals: Mutex::new(RefusalRate::new(now)),
        bounds: settings.bounds.clone(),
        stopping: CancellationToken::new(),
        closing: CancellationToken::new(),
        active: std::sync::atomic::AtomicUsize::new(0),
        clock,
    });
    let metrics = metrics_listener(settings.metrics).await?;
    if let Some(listener) = metrics {
        let stop = gateway.closing.clone();
        tokio::spawn(telemetry::serve(listener, gateway.clone(), stop));
    }
    tokio::spawn(gateway.clone().sync_pool());
    tokio::spawn(gateway.clone().hear_agents());
    tokio::spawn(gateway.clone().greet_agents());
    tokio::spawn(probe::serve(ready, gateway.clone()));
    let accepting = tokio::spawn(server::run(listener, gateway.clone()));
    info!(vm = settings.vm.as_str(), role = "gateway"; "started");
    signals.wait_for_shutdown().await;

    let stop = time::Instant::now() + settings.bounds.stop_limit().saturating_sub(EXIT_MARGIN);
    gateway.stopping.cancel();
    info!(vm = settings.vm.as_str(), active = gateway.active(); "stopping");
    time::sleep(ACCEPT_GRACE.min(settings.bounds.stop_limit() / 2)).await;
    accepting.abort();
    gateway.closing.cancel();
    while gateway.active() > 0 && time::Instant::now() < stop {
        time::sleep(IDLE_CHECK).await;
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
        telemetry::set_catalog(&self.board.snapshot());
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
        let mut views = self.board.subscribe();
        loop {
            let view = views.borrow_and_update().clone();
            self.pool.lock().sync(&view);
            if views.changed().await.is_err() {
                return;
            }
        }
    }
}
