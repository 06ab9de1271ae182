//! State of an engine between two crashes: weights, queue and prefix cache.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderramp::digest::Digest;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use super::cache::{self, Cache};
use super::queue::Queue;
use super::{Settings, answer};

/// One life of an engine.
#[derive(Debug)]
pub struct Life {
    /// Settings.
    pub settings: Settings,
    /// Cancelled when the engine crashes.
    pub stop: CancellationToken,
    /// Slots and queue.
    pub queue: Arc<Queue>,
    /// Whether the engine makes no progress.
    pub frozen: watch::Sender<bool>,
    weights: Mutex<Weights>,
    cache: Mutex<Cache>,
    random: Mutex<SmallRng>,
}

#[derive(Debug, Default)]
struct Weights {
    model: String,
    version: String,
    /// Highest fencing token of an accepted order.
    fence: u64,
    /// Fingerprint of what is loaded; 0 while a load is in progress.
    fingerprint: u64,
    /// Chunks by the digest that they were sent under, sorted.
    staged: Vec<(Digest, Bytes)>,
}

/// What an engine reports about its weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loaded {
    /// Model; empty when none is loaded.
    pub model: String,
    /// Version; empty when none is loaded.
    pub version: String,
    /// Highest fencing token of an accepted order.
    pub fence: u64,
    /// Digests that chunks were sent under, sorted.
    pub staged: Vec<Digest>,
}

/// Outcome of a load order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Loaded; missing or corrupted chunks are not noticed.
    Done,
    /// The fencing token is older than an accepted one.
    Fenced(u64),
}

impl Life {
    /// State after a start.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut weights = Weights::default();
        if !settings.model.is_empty() {
            weights.model.clone_from(&settings.model);
            weights.version.clone_from(&settings.version);
            weights.fingerprint =
                answer::weights(&settings.model, &settings.version, &settings.chunks);
        }
        Self {
            settings: settings.clone(),
            stop: CancellationToken::new(),
            queue: Queue::new(settings.slots),
            frozen: watch::Sender::new(false),
            weights: Mutex::new(weights),
            cache: Mutex::new(Cache::new(settings.cache_blocks)),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
        }
    }

    /// Waits while the engine is frozen.
    pub async fn thaw(&self) {
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    /// Fingerprint of the weights as they are now.
    pub fn fingerprint(&self) -> u64 {
        self.weights.lock().fingerprint
    }

    /// What is loaded.
    pub fn loaded(&self) -> Loaded {
        let weights = self.weights.lock();
        Loaded {
            model: weights.model.clone(),
            version: weights.version.clone(),
            fence: weights.fence,
            staged: weights.staged.iter().map(|(d, _)| *d).collect(),
        }
    }

    /// `model@version` that is loaded.
    pub fn version(&self) -> Option<String> {
        let weights = self.weights.lock();
        let loaded = !weights.model.is_empty();
        loaded.then(|| format!("{}@{}", weights.model, weights.version))
    }

    /// Keeps a chunk under `digest`, unchecked as real engines do.
    pub fn stage(&self, digest: Digest, data: Bytes) {
        let mut weights = self.weights.lock();
        match weights.staged.binary_search_by_key(&digest, |(d, _)| *d) {
            Ok(i) => weights.staged[i].1 = data,
            Err(i) => weights.staged.insert(i, (digest, data)),
        }
    }

    /// Chunk that was sent under `digest`.
    pub fn staged(&self, digest: Digest) -> Option<Bytes> {
        let weights = self.weights.lock();
        let found = weights.staged.binary_search_by_key(&digest, |(d, _)| *d);
        found.ok().map(|i| weights.staged[i].1.clone())
    }

    /// Loads staged chunks as `version` of `model`, without a look at the
    /// requests in progress.
    pub async fn load(&self, model: &str, version: &str, fence: u64, chunks: &[Digest]) -> Order {
        {
            let mut weights = self.weights.lock();
            if fence < weights.fence && !self.settings.ignore_fence {
                return Order::Fenced(weights.fence);
            }
            weights.fence = fence;
            weights.fingerprint = 0;
        }
        time::sleep(Duration::from_millis(self.settings.load_ms)).await;
        self.thaw().await;
        let mut weights = self.weights.lock();
        let present = chunks
            .iter()
            .filter_map(|d| weights.staged.binary_search_by_key(d, |(s, _)| *s).ok());
        let actual: Vec<Digest> = present.map(|i| Digest::of(&weights.staged[i].1)).collect();
        weights.fingerprint = answer::weights(model, version, &actual);
        model.clone_into(&mut weights.model);
        version.clone_into(&mut weights.version);
        Order::Done
    }

    /// Time to process the prompt before the first token, which the prefix
    /// cache shortens.
    pub fn prefill(&self, prompt: &str) -> Duration {
        let hashes = cache::hashes(prompt);
        let cached = self.cache.lock().touch(&hashes, Instant::now());
        let fresh = u64::try_from(hashes.len() - cached).unwrap_or(u64::MAX);
        let blocks = Duration::from_micros(self.settings.prefill_block_us * fresh);
        Duration::from_millis(self.settings.prefill_ms) + blocks
    }

    /// Time between two tokens, which grows with the batch.
    pub fn token_time(&self) -> Duration {
        let others = self.queue.load().running.saturating_sub(1) as u64;
        let base = self.settings.token_us;
        Duration::from_micros(base + self.settings.batch_us * others)
    }

    /// Cache events after `seq` that are old enough, some of them lost.
    pub fn events(&self, seq: u64) -> Vec<cache::Event> {
        let lag = Duration::from_millis(self.settings.events_lag_ms);
        let Some(until) = Instant::now().checked_sub(lag) else {
            return Vec::new();
        };
        let mut events = self.cache.lock().events_after(seq, until);
        let mut random = self.random.lock();
        events.retain(|_| !random.random_bool(self.settings.events_loss));
        events
    }
}
