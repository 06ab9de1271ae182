//! Object API in memory, reached over links that fail, delay and lose answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corianderramp::objects::{self, Api, Error, List};
use corianderramp::resource::{Kind, Raw};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Condition of the platform or of a link to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Calls have no effect and are not answered.
    pub down: bool,
    /// Longest delay in each direction.
    pub delay: Duration,
    /// Share of calls that are lost before they take effect.
    pub lost: f64,
    /// Share of calls whose answer is lost after they took effect.
    pub unanswered: f64,
    /// Share of writes that are given up and take effect later.
    pub late: f64,
}

/// Calls so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Writes that took effect.
    pub writes: AtomicU64,
    /// Reads and lists.
    pub reads: AtomicU64,
    /// Bytes in written specifications.
    pub bytes: AtomicU64,
    /// Writes of segments.
    pub segments: AtomicU64,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    items: Vec<Raw>,
}

/// The objects, shared by all links.
#[derive(Debug, Default)]
pub struct Store {
    objects: Mutex<Objects>,
    faults: Mutex<Faults>,
    /// Calls so far.
    pub counts: Counts,
    unconditional: bool,
}

impl Store {
    /// Empty store. An unconditional one ignores the conditions of writes, to
    /// show that a check finds it.
    #[must_use]
    pub fn new(unconditional: bool) -> Self {
        Self {
            unconditional,
            ..Self::default()
        }
    }

    /// Sets the condition of the whole platform.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Writes an object without any fault.
    ///
    /// # Errors
    /// Fails on a conflict.
    pub fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        let mut objects = self.objects.lock();
        let place = place(&objects.items, object.kind, &object.metadata.name);
        let current = place.ok().map(|i| objects.items[i].clone());
        let revision = current.as_ref().map_or(0, |o| o.metadata.revision);
        if revision != object.metadata.revision && !self.unconditional {
            return Err(Error::Conflict {
                current: current.map(Box::new),
            });
        }
        objects.revision += 1;
        object.metadata.revision = objects.revision;
        match place {
            Ok(i) => objects.items[i] = object.clone(),
            Err(i) => objects.items.insert(i, object.clone()),
        }
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        if object.metadata.name.starts_with("segment.") {
            self.counts.segments.fetch_add(1, Ordering::Relaxed);
        }
        let size = object.spec.to_string().len() as u64;
        self.counts.bytes.fetch_add(size, Ordering::Relaxed);
        Ok(object)
    }

    /// Deletes an object without any fault or condition.
    pub fn remove(&self, kind: Kind, name: &str) {
        let mut objects = self.objects.lock();
        if let Ok(i) = place(&objects.items, kind, name) {
            objects.items.remove(i);
            objects.revision += 1;
        }
    }

    /// Reads an object without any fault.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<Raw> {
        let objects = self.objects.lock();
        let found = place(&objects.items, kind, name).ok();
        found.map(|i| objects.items[i].clone())
    }

    /// Lists objects without any fault.
    #[must_use]
    pub fn list(&self, kind: Kind, prefix: &str) -> List {
        let objects = self.objects.lock();
        let matching = |o: &&Raw| o.kind == kind && o.metadata.name.starts_with(prefix);
        List {
            revision: objects.revision,
            items: objects.items.iter().filter(matching).cloned().collect(),
        }
    }
}

fn place(items: &[Raw], kind: Kind, name: &str) -> Result<usize, usize> {
    items.binary_search_by(|o| (o.kind, o.metadata.name.as_str()).cmp(&(kind, name)))
}

/// One process's way to the store.
#[derive(Clone, Debug)]
pub struct Link {
    store: Arc<Store>,
    random: Arc<Mutex<StdRng>>,
    cut: Arc<Mutex<bool>>,
}

impl Link {
    /// Link whose faults follow `seed`.
    #[must_use]
    pub fn new(store: Arc<Store>, seed: u64) -> Self {
        Self {
            store,
            random: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
            cut: Arc::default(),
        }
    }

    /// Cuts or restores this link alone.
    pub fn cut(&self, cut: bool) {
        *self.cut.lock() = cut;
    }

    fn faults(&self) -> Faults {
        let mut faults = *self.store.faults.lock();
        faults.down |= *self.cut.lock();
        faults
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.random.lock().random_bool(share)
    }

    async fn travel(&self) {
        let most = self.faults().delay;
        if !most.is_zero() {
            let share = self.random.lock().random_range(0.0..1.0);
            time::sleep(most.mul_f64(share)).await;
        }
    }

    /// Whether the call reaches the store.
    async fn arrive(&self) -> Result<(), Error> {
        self.travel().await;
        let faults = self.faults();
        if faults.down && self.happens(0.5) {
            return Err(Error::Unavailable {
                reason: "down".into(),
            });
        }
        if faults.down || self.happens(faults.lost) {
            return Err(uncertain());
        }
        Ok(())
    }

    async fn answer<T>(&self, value: T) -> Result<T, Error> {
        self.travel().await;
        let faults = self.faults();
        if faults.down || self.happens(faults.unanswered) {
            return Err(uncertain());
        }
        Ok(value)
    }

    fn read(&self) {
        self.store.counts.reads.fetch_add(1, Ordering::Relaxed);
    }
}

fn uncertain() -> Error {
    Error::Uncertain {
        reason: "lost".into(),
    }
}

impl Api for Link {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Raw>, Error> {
        self.arrive().await?;
        self.read();
        self.answer(self.store.get(kind, name)).await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<List, Error> {
        self.arrive().await?;
        self.read();
        self.answer(self.store.list(kind, prefix)).await
    }

    async fn put(&self, mut object: Raw) -> Result<Raw, Error> {
        object.metadata.operation = objects::new_id();
        self.arrive().await?;
        if self.happens(self.faults().late) {
            let store = self.store.clone();
            tokio::spawn(async move {
                time::sleep(Duration::from_millis(150)).await;
                let _ = store.put(object);
            });
            return Err(uncertain());
        }
        let written = self.store.put(object);
        self.answer(()).await?;
        written
    }

    async fn delete(&self, kind: Kind, name: &str, revision: u64) -> Result<(), Error> {
        self.arrive().await?;
        let current = self.store.get(kind, name);
        if current.is_some_and(|o| o.metadata.revision == revision) {
            self.store.remove(kind, name);
        }
        self.answer(()).await
    }
}
