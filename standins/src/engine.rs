//! Model engines: staged weights, batched completions with a prefix cache,
//! cache events and load reports that lag.
//!
//! An engine takes chunks and load orders as they come: it neither checks
//! digests nor waits for requests in progress, so that mistakes of its users
//! show in the answers, see [`answer`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corianderramp::digest::Digest;
use parking_lot::{Mutex, RwLock};
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::toolkit;

pub mod answer;
pub mod cache;
mod generate;
pub mod life;
pub mod queue;
mod routes;

/// Settings of one or more equal engines.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Addresses to listen at, one engine each.
    pub listen: Vec<SocketAddr>,
    /// Model that is loaded from the start; empty for none.
    pub model: String,
    /// Version that is loaded from the start.
    pub version: String,
    /// Chunks of the version that is loaded from the start.
    pub chunks: Vec<Digest>,
    /// Requests in the batch.
    pub slots: usize,
    /// Time to process an empty prompt, milliseconds.
    pub prefill_ms: u64,
    /// Additional time for each block of the prompt that is not cached, microseconds.
    pub prefill_block_us: u64,
    /// Time between two tokens of a request that is alone in the batch, microseconds.
    pub token_us: u64,
    /// Additional time between two tokens for each other request in the batch, microseconds.
    pub batch_us: u64,
    /// Tokens of an answer, when the request doesn't say.
    pub tokens: usize,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Delay of cache events, milliseconds.
    pub events_lag_ms: u64,
    /// Share of cache events that get lost.
    pub events_loss: f64,
    /// Age of reported load, milliseconds.
    pub load_lag_ms: u64,
    /// Duration of loading weights, milliseconds.
    pub load_ms: u64,
    /// Whether orders with old fencing tokens are accepted.
    pub ignore_fence: bool,
    /// A request with this text in its prompt crashes the engine; empty for none.
    pub crash_marker: String,
    /// A request with this text in its prompt never produces a token; empty for none.
    pub freeze_marker: String,
    /// Time from a crash to the restart without weights, milliseconds.
    pub restart_ms: u64,
    /// Whether the model that is loaded from the start is loaded again after a crash.
    pub reload: bool,
    /// Seed of the lost cache events.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: Vec::new(),
            model: String::new(),
            version: String::new(),
            chunks: Vec::new(),
            slots: 8,
            prefill_ms: 5,
            prefill_block_us: 200,
            token_us: 1_000,
            batch_us: 50,
            tokens: 16,
            cache_blocks: 512,
            events_lag_ms: 200,
            events_loss: 0.05,
            load_lag_ms: 200,
            load_ms: 50,
            ignore_fence: false,
            crash_marker: String::new(),
            freeze_marker: String::new(),
            restart_ms: 200,
            reload: false,
            seed: 1,
        }
    }
}

/// What an engine did since its start, over all crashes.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests for completions that arrived.
    pub arrived: AtomicU64,
    /// Answers that were produced to their end.
    pub finished: AtomicU64,
    /// Answers that were given up because the caller went away or the engine crashed.
    pub cancelled: AtomicU64,
    /// Crashes.
    pub crashes: AtomicU64,
    /// Values of `x-request-id` of the requests that arrived, in order.
    pub requests: Mutex<Vec<String>>,
}

/// A running engine; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    counters: Arc<Counters>,
    current: Arc<RwLock<Arc<life::Life>>>,
    stop: CancellationToken,
}

impl Engine {
    /// Address that it listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it did.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Current life, for direct access to weights, queue and freezing.
    #[must_use]
    pub fn life(&self) -> Arc<life::Life> {
        self.current.read().clone()
    }

    /// Stops or resumes all progress; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.life().frozen.send_replace(frozen);
    }

    /// Crashes the engine, which restarts after `restart_ms` without weights.
    pub fn crash(&self) {
        self.life().stop.cancel();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.cancel();
        self.life().stop.cancel();
    }
}

/// Starts one engine at `address`; port 0 takes a free port.
///
/// # Errors
/// Fails when the address can't be listened at.
pub async fn start(address: SocketAddr, settings: Settings) -> Result<Engine, toolkit::Error> {
    let listener = toolkit::bind(address).await?;
    let address = toolkit::address(&listener)?;
    let first = Arc::new(life::Life::new(&settings));
    let engine = Engine {
        address,
        counters: Arc::default(),
        current: Arc::new(RwLock::new(first)),
        stop: CancellationToken::new(),
    };
    let (counters, current) = (engine.counters.clone(), engine.current.clone());
    let lives = live(address, listener, settings, counters, current);
    let stop = engine.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(lives).await });
    Ok(engine)
}

/// Runs one engine at each address until the process is stopped.
///
/// # Errors
/// Fails when an address can't be listened at.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    if settings.listen.is_empty() {
        return Err(toolkit::Error::Unusable {
            reason: "listen: at least one address is needed".into(),
        });
    }
    let mut engines = Vec::new();
    for (i, address) in settings.listen.iter().enumerate() {
        let mut one = settings.clone();
        one.seed += i as u64;
        engines.push(start(*address, one).await?);
    }
    std::future::pending().await
}

async fn live(
    address: SocketAddr,
    mut listener: TcpListener,
    settings: Settings,
    counters: Arc<Counters>,
    current: Arc<RwLock<Arc<life::Life>>>,
) {
    let mut later = settings.clone();
    if !settings.reload {
        later.model.clear();
    }
    loop {
        let life = current.read().clone();
        routes::serve(&listener, &life, &counters).await;
        counters.crashes.fetch_add(1, Ordering::Relaxed);
        drop(listener);
        time::sleep(Duration::from_millis(settings.restart_ms)).await;
        *current.write() = Arc::new(life::Life::new(&later));
        listener = loop {
            match toolkit::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(Duration::from_millis(10)).await,
            }
        };
    }
}
