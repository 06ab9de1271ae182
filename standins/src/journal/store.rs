//! In-memory object API whose clients simulate outages, delays and message loss.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corianderramp::objects::{self, Api, Error, List};
use corianderramp::resource::{Kind, Raw};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Faults of the object API.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Whether all calls fail: half of them as unavailable, the others without a
    /// response.
    pub down: bool,
    /// Upper limit of the random delay of each request and each response.
    pub max_delay: Duration,
    /// Probability that a call is lost before it takes effect.
    pub request_loss: f64,
    /// Probability that the response is lost after the call took effect.
    pub response_loss: f64,
    /// Probability that a write gets no response and is applied later.
    pub delayed_writes: f64,
}

/// Counters of the calls so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Writes that took effect.
    pub writes: AtomicU64,
    /// Reads and lists through clients.
    pub reads: AtomicU64,
    /// Total size of the written specifications, bytes.
    pub written_bytes: AtomicU64,
    /// Writes of journal segments that took effect.
    pub segment_writes: AtomicU64,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    items: Vec<Raw>,
}

/// The stored objects, shared by all clients.
#[derive(Debug, Default)]
pub struct Store {
    objects: Mutex<Objects>,
    faults: Mutex<Faults>,
    /// Counters of the calls so far.
    pub counts: Counts,
    unconditional_writes: bool,
}

impl Store {
    /// Creates an empty store. With `unconditional_writes` it ignores the
    /// revision conditions of writes, to show that a check detects the violations.
    #[must_use]
    pub fn new(unconditional_writes: bool) -> Self {
        Self {
            unconditional_writes,
            ..Self::default()
        }
    }

    /// Sets the faults that all clients see.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Writes an object without simulated faults.
    ///
    /// # Errors
    /// Fails when the stored revision differs from the given one.
    pub fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        let mut objects = self.objects.lock();
        let index = find_index(&objects.items, object.kind, &object.metadata.name);
        let current = index.ok().map(|i| objects.items[i].clone());
        let revision = current.as_ref().map_or(0, |o| o.metadata.revision);
        if revision != object.metadata.revision && !self.unconditional_writes {
            return Err(Error::Conflict {
                current: current.map(Box::new),
            });
        }
        objects.revision += 1;
        object.metadata.revision = objects.revision;
        match index {
            Ok(i) => objects.items[i] = object.clone(),
            Err(i) => objects.items.insert(i, object.clone()),
        }
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        if object.metadata.name.starts_with("segment.") {
            self.counts.segment_writes.fetch_add(1, Ordering::Relaxed);
        }
        let size = object.spec.to_string().len() as u64;
        self.counts.written_bytes.fetch_add(size, Ordering::Relaxed);
        Ok(object)
    }

    /// Deletes an object at any revision, without simulated faults.
    pub fn remove(&self, kind: Kind, name: &str) {
        let mut objects = self.objects.lock();
        if let Ok(i) = find_index(&objects.items, kind, name) {
            objects.items.remove(i);
            objects.revision += 1;
        }
    }

    /// Reads an object without simulated faults.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<Raw> {
        let objects = self.objects.lock();
        let found = find_index(&objects.items, kind, name).ok();
        found.map(|i| objects.items[i].clone())
    }

    /// Lists objects without simulated faults.
    #[must_use]
    pub fn list(&self, kind: Kind, prefix: &str) -> List {
        let objects = self.objects.lock();
        let is_match = |o: &&Raw| o.kind == kind && o.metadata.name.starts_with(prefix);
        List {
            revision: objects.revision,
            items: objects.items.iter().filter(is_match).cloned().collect(),
        }
    }
}

fn find_index(items: &[Raw], kind: Kind, name: &str) -> Result<usize, usize> {
    items.binary_search_by(|o| (o.kind, o.metadata.name.as_str()).cmp(&(kind, name)))
}

/// Client of one process, which simulates the faults.
#[derive(Clone, Debug)]
pub struct Client {
    store: Arc<Store>,
    random: Arc<Mutex<StdRng>>,
    isolated: Arc<Mutex<bool>>,
}

impl Client {
    /// Creates a client that draws its faults from `seed`.
    #[must_use]
    pub fn new(store: Arc<Store>, seed: u64) -> Self {
        Self {
            store,
            random: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
            isolated: Arc::default(),
        }
    }

    /// Starts or ends a simulated outage for this client alone.
    pub fn set_isolated(&self, isolated: bool) {
        *self.isolated.lock() = isolated;
    }

    fn faults(&self) -> Faults {
        let mut faults = *self.store.faults.lock();
        faults.down |= *self.isolated.lock();
        faults
    }

    fn occurs(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.lock().random_bool(probability)
    }

    async fn delay(&self) {
        let max_delay = self.faults().max_delay;
        if !max_delay.is_zero() {
            let fraction = self.random.lock().random_range(0.0..1.0);
            time::sleep(max_delay.mul_f64(fraction)).await;
        }
    }

    /// Delays the request; fails when it does not reach the store.
    async fn send_request(&self) -> Result<(), Error> {
        self.delay().await;
        let faults = self.faults();
        if faults.down && self.occurs(0.5) {
            return Err(Error::Unavailable {
                reason: "simulated outage".into(),
            });
        }
        if faults.down || self.occurs(faults.request_loss) {
            return Err(uncertain_error());
        }
        Ok(())
    }

    async fn send_response<T>(&self, value: T) -> Result<T, Error> {
        self.delay().await;
        let faults = self.faults();
        if faults.down || self.occurs(faults.response_loss) {
            return Err(uncertain_error());
        }
        Ok(value)
    }

    fn count_read(&self) {
        self.store.counts.reads.fetch_add(1, Ordering::Relaxed);
    }
}

fn uncertain_error() -> Error {
    Error::Uncertain {
        reason: "simulated loss of a request or response".into(),
    }
}

impl Api for Client {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
        self.send_request().await?;
        self.count_read();
        self.send_response(self.store.get(kind, name)).await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<List, Error> {
        self.send_request().await?;
        self.count_read();
        self.send_response(self.store.list(kind, prefix)).await
    }

    async fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        object.metadata.operation = objects::new_id();
        self.send_request().await?;
        if self.occurs(self.faults().delayed_writes) {
            let store = self.store.clone();
            tokio::spawn(async move {
                time::sleep(Duration::from_millis(150)).await;
                let _ = store.put(object);
            });
            return Err(uncertain_error());
        }
        let written = self.store.put(object);
        self.send_response(()).await?;
        written
    }

    async fn delete(&self, kind: Kind, name: &str, revision: u64) -> Result<(), Error> {
        self.send_request().await?;
        let current = self.store.get(kind, name);
        if current.is_some_and(|o| o.metadata.revision == revision) {
            self.store.remove(kind, name);
        }
        self.send_response(()).await
    }
}
