//! Targets of one service and the queue of requests that wait for a slot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::fair::{Owner, Queue};
use super::route::{self, Policy};
use super::target::{Death, InFlight, Target};
use crate::clock::Clock;
use crate::control::pb;
use crate::digest::Digest;
use crate::protocol::Reason;
use crate::resource::service::{Backend, Service};

new_key_type! {
    /// Key of a target within a pool.
    pub struct TargetKey;
}

/// Minimum queue limit; otherwise, the sum of the targets' limits applies. A
/// longer queue would only make every request late, since the wait grows with
/// its length.
const MIN_QUEUE_LIMIT: usize = 32;

/// Request for a slot at a target.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Account, with its weight and priority.
    pub owner: Owner,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Hashes of the prompt's leading blocks.
    pub prompt_hashes: Vec<u64>,
    /// Targets that already received the request in an earlier attempt.
    pub excluded: Vec<TargetKey>,
    /// Whether the request must be the only one running on the target.
    pub exclusive: bool,
    /// When the request leaves the queue.
    pub expires: Instant,
}

/// Why no slot was assigned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireError {
    /// Every target that isn't draining has already received the request.
    NoTarget,
    /// The queue is full.
    Shed,
    /// The request waited too long.
    TimedOut,
}

#[derive(Debug)]
struct Waiter<C: Clock> {
    request: SlotRequest,
    reply: oneshot::Sender<Result<Slot<C>, AcquireError>>,
}

#[derive(Debug)]
struct State<C: Clock> {
    targets: SlotMap<TargetKey, Target>,
    queue: Queue<Waiter<C>>,
    random: SmallRng,
    next_id: u64,
    rotation: usize,
}

/// Targets of one service.
#[derive(Debug)]
pub struct Pool<C: Clock> {
    clock: C,
    /// Whether requests need a target that serves a model version.
    needs_version: bool,
    /// Whether the targets report their load.
    reports_load: bool,
    policy: Policy,
    state: Mutex<State<C>>,
}

/// Slot of one request at a target, released on drop.
#[derive(Debug)]
pub struct Slot<C: Clock> {
    pool: Arc<Pool<C>>,
    /// Key of the target.
    pub key: TargetKey,
    /// Name of the target's VM.
    pub vm: String,
    /// `model@version` that the target serves; empty for plain services.
    pub version: String,
    /// Connection to the target's agent.
    pub connection: Arc<Connection>,
    /// Whether the request must be the only one running on the target.
    pub exclusive: bool,
    /// Digest of the request.
    pub fingerprint: Digest,
    id: u64,
    sent: Instant,
}

impl<C: Clock> Pool<C> {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(clock: C, service: &Service, policy: Policy) -> Self {
        let needs_version = service.backend == Backend::Model;
        Self {
            clock,
            needs_version,
            reports_load: needs_version || service.reports_load,
            policy,
            state: Mutex::new(State {
                targets: SlotMap::with_key(),
                queue: Queue::default(),
                random: rand::make_rng(),
                next_id: 0,
                rotation: 0,
            }),
        }
    }

    /// Sets the seed of random choices.
    pub fn seed(&self, seed: u64) {
        self.state.lock().random = SmallRng::seed_from_u64(seed);
    }

    /// Adds a target.
    pub fn add(&self, vm: &str, local: bool, connection: Connection) -> TargetKey {
        let target = Target::new(vm, local, connection, self.clock.now());
        self.state.lock().targets.insert(target)
    }

    /// Removes a target; its requests in flight continue.
    pub fn remove(&self, key: TargetKey) {
        self.state.lock().targets.remove(key);
    }

    /// Changes one target, then assigns free slots to queued requests.
    pub fn update<R>(
        self: &Arc<Self>,
        key: TargetKey,
        f: impl FnOnce(&mut Target) -> R,
    ) -> Option<R> {
        let result = self.state.lock().targets.get_mut(key).map(f);
        self.serve_queue();
        result
    }

    /// Updates a target from its report; returns a death that the report
    /// reveals.
    pub fn on_report(self: &Arc<Self>, key: TargetKey, report: pb::TargetReport) -> Option<Death> {
        let now = self.clock.now();
        self.update(key, |t| t.on_report(report, self.reports_load, now))
            .flatten()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.state.lock().queue.len()
    }

    /// Waits for a slot at a target.
    ///
    /// # Errors
    /// Says why there was none; the request was not sent.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<Slot<C>, AcquireError> {
        let waiting = {
            let mut state = self.state.lock();
            if state.all_excluded(&request) {
                return Err(AcquireError::NoTarget);
            }
            if state.queue.is_empty()
                && let Some(slot) = state.try_acquire(self, &request)
            {
                return Ok(slot);
            }
            let (reply, waiting) = oneshot::channel();
            let limit = state.queue_limit();
            let (owner, expires) = (request.owner.clone(), request.expires);
            let shed = state
                .queue
                .push(owner, expires, limit, Waiter { request, reply });
            if let Some(shed) = shed {
                let _ = shed.reply.send(Err(AcquireError::Shed));
            }
            waiting
        };
        self.serve_queue();
        waiting.await.unwrap_or(Err(AcquireError::TimedOut))
    }

    /// Assigns free slots to queued requests and removes expired ones.
    pub fn serve_queue(self: &Arc<Self>) {
        let now = self.clock.now();
        // Replies are sent without the lock: if the receiver is gone, the slot
        // is dropped, and releasing it takes the lock.
        let (expired, assigned) = {
            let mut state = self.state.lock();
            let expired = state.queue.expire(now, |w| w.reply.is_closed());
            let mut assigned = Vec::new();
            while let Some((waiter, slot)) = state.next(self) {
                assigned.push((waiter.reply, slot));
            }
            state.reserve_targets(self.needs_version, now);
            (expired, assigned)
        };
        for waiter in expired {
            let _ = waiter.reply.send(Err(AcquireError::TimedOut));
        }
        for (reply, slot) in assigned {
            let _ = reply.send(Ok(slot));
        }
    }
}

impl<C: Clock> State<C> {
    fn queue_limit(&self) -> usize {
        let limits = self.targets.values().map(|t| t.limiter.limit());
        limits.sum::<usize>().max(MIN_QUEUE_LIMIT)
    }

    /// Whether every target that isn't draining has already received the
    /// request. Waiting for a draining target would last until the request
    /// expires. If the pool is empty, the request waits, since targets may be
    /// added.
    fn all_excluded(&self, request: &SlotRequest) -> bool {
        let mut staying = self.targets.iter().filter(|(_, t)| !t.is_draining());
        let remaining = staying.any(|(key, _)| !request.excluded.contains(&key));
        !remaining && !request.excluded.is_empty()
    }

    fn next(&mut self, pool: &Arc<Pool<C>>) -> Option<(Waiter<C>, Slot<C>)> {
        if self.queue.is_empty() {
            return None;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.pop_where(|w| self.try_acquire(pool, &w.request));
        self.queue = queue;
        next
    }

    /// Assigns a slot now, if a suitable one is free.
    fn try_acquire(&mut self, pool: &Arc<Pool<C>>, request: &SlotRequest) -> Option<Slot<C>> {
        let now = pool.clock.now();
        let fits = |t: &Target| {
            if request.exclusive {
                t.is_idle()
            } else {
                t.has_free_slot()
            }
        };
        let available = self.targets.iter().filter(|(key, t)| {
            !request.excluded.contains(key) && t.is_routable(pool.needs_version, now) && fits(t)
        });
        let (keys, candidates): (Vec<TargetKey>, Vec<route::Candidate>) = available
            .map(|(key, t)| (key, t.candidate(&request.prompt_hashes, now)))
            .unzip();
        let chosen = route::choose(pool.policy, &candidates, self.rotation, &mut self.random)?;
        self.rotation = self.rotation.wrapping_add(1);
        self.assign(pool, keys[chosen], request, now)
    }

    fn assign(
        &mut self,
        pool: &Arc<Pool<C>>,
        key: TargetKey,
        request: &SlotRequest,
        now: Instant,
    ) -> Option<Slot<C>> {
        let id = self.next_id;
        self.next_id += 1;
        let target = self.targets.get_mut(key)?;
        target.in_flight.push(InFlight {
            id,
            fingerprint: request.fingerprint,
            sent: now,
        });
        if request.exclusive {
            target.exclusive = Some(id);
            target.reserved = false;
        }
        Some(Slot {
            pool: pool.clone(),
            key,
            vm: target.vm.clone(),
            version: target.version(),
            connection: target.connection.clone(),
            exclusive: request.exclusive,
            fingerprint: request.fingerprint,
            id,
            sent: now,
        })
    }

    /// Reserves targets for queued requests that must run exclusively, up to
    /// half of the targets, so that the others serve the remaining requests.
    fn reserve_targets(&mut self, needs_version: bool, now: Instant) {
        let waiting = self.queue.values().filter(|w| w.request.exclusive).count();
        let exclusive = self
            .targets
            .values()
            .filter(|t| t.exclusive.is_some())
            .count();
        let max_reserved = self.targets.len().div_ceil(2).saturating_sub(exclusive);
        let mut remaining = waiting.min(max_reserved);
        for target in self.targets.values_mut() {
            target.reserved = false;
        }
        let mut free: Vec<(usize, TargetKey)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.exclusive.is_none() && t.is_routable(needs_version, now))
            .map(|(key, t)| (t.in_flight.len(), key))
            .collect();
        free.sort_unstable();
        for (_, key) in free {
            if remaining == 0 {
                return;
            }
            if let Some(target) = self.targets.get_mut(key) {
                target.reserved = true;
                remaining -= 1;
            }
        }
    }
}

impl<C: Clock> Slot<C> {
    /// Time since the request was sent.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.pool.clock.now().saturating_duration_since(self.sent)
    }

    /// Called when the response starts.
    pub fn on_first_byte(&self) {
        let (took, now) = (self.elapsed(), self.pool.clock.now());
        self.pool.update(self.key, |t| t.on_first_byte(took, now));
    }

    /// Called when the response is complete.
    pub fn on_end(&self) {
        let took = self.elapsed();
        self.pool.update(self.key, |t| t.on_end(took));
    }

    /// Called when the agent refused the request.
    pub fn on_refused(&self, reason: Option<Reason>) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| match reason {
            Some(Reason::Draining | Reason::Starting) => t.on_draining(),
            Some(Reason::VersionMismatch) => t.on_other_version(&self.version),
            Some(Reason::Full) => t.limiter.on_overload(now),
            Some(Reason::Reserved) => {}
            _ => t.on_unreachable(now),
        });
    }

    /// Called when no new connection to the agent can be opened.
    pub fn on_unreachable(&self) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| t.on_unreachable(now));
    }

    /// Called when no response arrived in time.
    pub fn on_timeout(&self) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| t.limiter.on_overload(now));
    }

    /// Called when the target died while running the request; returns the death
    /// unless it was already recorded.
    #[must_use]
    pub fn on_death(&self) -> Option<Death> {
        let now = self.pool.clock.now();
        let death = self.pool.update(self.key, |t| t.on_death(self.sent, now));
        death.flatten()
    }
}

impl<C: Clock> Drop for Slot<C> {
    fn drop(&mut self) {
        self.pool.update(self.key, |t| {
            t.in_flight.retain(|f| f.id != self.id);
            if t.exclusive == Some(self.id) {
                t.exclusive = None;
            }
        });
    }
}
