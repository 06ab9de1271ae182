//! Targets of one service and the requests that wait for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use super::fair::{Owner, Queue};
use super::link::Link;
use super::route::{self, Policy};
use super::target::{Death, Flight, Target};
use crate::clock::Clock;
use crate::control::pb;
use crate::digest::Digest;
use crate::protocol::Reason;
use crate::resource::service::{Backend, Service};

new_key_type! {
    /// Key of a target within a pool.
    pub struct TargetKey;
}

/// Queued requests allowed beyond the targets' limits. Longer queues only make
/// every request late, since the wait grows with the length.
const QUEUE_FLOOR: usize = 32;

/// What a request needs of a target.
#[derive(Clone, Debug)]
pub struct Want {
    /// Account and its weight and priority.
    pub owner: Owner,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Hashes of the prompt.
    pub hashes: Vec<u64>,
    /// Targets that must not get it, since they had it already.
    pub excluded: Vec<TargetKey>,
    /// Whether no other request may run on the target meanwhile.
    pub alone: bool,
    /// Time after which the request no longer waits.
    pub expires: Instant,
}

/// Why no target was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No target is left that did not have the request.
    NoTarget,
    /// Too many requests wait.
    Shed,
    /// The wait took too long.
    Expired,
}

#[derive(Debug)]
struct Waiter<C: Clock> {
    want: Want,
    reply: oneshot::Sender<Result<Ticket<C>, Denied>>,
}

#[derive(Debug)]
struct State<C: Clock> {
    targets: SlotMap<TargetKey, Target>,
    queue: Queue<Waiter<C>>,
    random: SmallRng,
    next_flight: u64,
    turn: usize,
}

/// Targets of one service.
#[derive(Debug)]
pub struct Pool<C: Clock> {
    clock: C,
    /// Whether requests need a target with a version.
    model: bool,
    /// Whether the targets report load.
    loaded: bool,
    policy: Policy,
    state: Mutex<State<C>>,
}

/// Place of one request at a target, given back when dropped.
#[derive(Debug)]
pub struct Ticket<C: Clock> {
    pool: Arc<Pool<C>>,
    /// Target.
    pub key: TargetKey,
    /// Name of the target's VM.
    pub vm: String,
    /// `model@version` that the target serves.
    pub version: String,
    /// Connection to the target's agent.
    pub link: Arc<Link>,
    /// Whether no other request may run on the target meanwhile.
    pub alone: bool,
    /// Digest of the request.
    pub fingerprint: Digest,
    flight: u64,
    since: Instant,
}

impl<C: Clock> Pool<C> {
    /// Pool without targets.
    #[must_use]
    pub fn new(clock: C, service: &Service, policy: Policy) -> Self {
        let model = service.backend == Backend::Model;
        Self {
            clock,
            model,
            loaded: model || service.reports_load,
            policy,
            state: Mutex::new(State {
                targets: SlotMap::with_key(),
                queue: Queue::default(),
                random: rand::make_rng(),
                next_flight: 0,
                turn: 0,
            }),
        }
    }

    /// Fixes the seed of random choices.
    pub fn seed(&self, seed: u64) {
        self.state.lock().random = SmallRng::seed_from_u64(seed);
    }

    /// Adds a target.
    pub fn add(&self, vm: &str, local: bool, link: Link) -> TargetKey {
        let target = Target::new(vm, local, link, self.clock.now());
        self.state.lock().targets.insert(target)
    }

    /// Removes a target; its requests in flight go on.
    pub fn remove(&self, key: TargetKey) {
        self.state.lock().targets.remove(key);
    }

    /// Changes one target and serves the queue afterwards.
    pub fn update<R>(
        self: &Arc<Self>,
        key: TargetKey,
        f: impl FnOnce(&mut Target) -> R,
    ) -> Option<R> {
        let result = self.state.lock().targets.get_mut(key).map(f);
        self.pump();
        result
    }

    /// Takes a report of a target; returns a death that it reveals.
    pub fn on_report(self: &Arc<Self>, key: TargetKey, report: pb::TargetReport) -> Option<Death> {
        let now = self.clock.now();
        self.update(key, |t| t.on_report(report, self.loaded, now))
            .flatten()
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.state.lock().queue.len()
    }

    /// Waits for a place at a target.
    ///
    /// # Errors
    /// Says why there was none; the request was not sent.
    pub async fn acquire(self: &Arc<Self>, want: Want) -> Result<Ticket<C>, Denied> {
        let waiting = {
            let mut state = self.state.lock();
            if state.exhausted(&want) {
                return Err(Denied::NoTarget);
            }
            if state.queue.is_empty()
                && let Some(ticket) = state.place(self, &want)
            {
                return Ok(ticket);
            }
            let (reply, waiting) = oneshot::channel();
            let limit = state.queue_limit();
            let (owner, expires) = (want.owner.clone(), want.expires);
            let shed = state
                .queue
                .push(owner, expires, limit, Waiter { want, reply });
            if let Some(shed) = shed {
                let _ = shed.reply.send(Err(Denied::Shed));
            }
            waiting
        };
        self.pump();
        waiting.await.unwrap_or(Err(Denied::Expired))
    }

    /// Gives places to queued requests and ends the wait of expired ones.
    pub fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        // Replies are sent without the lock: a ticket that nobody waits for
        // any more is dropped and takes the lock to give its place back.
        let (expired, placed) = {
            let mut state = self.state.lock();
            let expired = state.queue.expire(now, |w| w.reply.is_closed());
            let mut placed = Vec::new();
            while let Some((waiter, ticket)) = state.next(self) {
                placed.push((waiter.reply, ticket));
            }
            state.reserve(self.model, now);
            (expired, placed)
        };
        for waiter in expired {
            let _ = waiter.reply.send(Err(Denied::Expired));
        }
        for (reply, ticket) in placed {
            let _ = reply.send(Ok(ticket));
        }
    }
}

impl<C: Clock> State<C> {
    fn queue_limit(&self) -> usize {
        let limits = self.targets.values().map(|t| t.limiter.limit());
        limits.sum::<usize>().max(QUEUE_FLOOR)
    }

    /// Whether every target that stays had the request already. Waiting for a
    /// leaving one would only end with the request's deadline. Without any
    /// target the request waits, since targets may be about to appear.
    fn exhausted(&self, want: &Want) -> bool {
        let mut stay = self.targets.iter().filter(|(_, t)| !t.is_leaving());
        let left = stay.any(|(key, _)| !want.excluded.contains(&key));
        !left && !want.excluded.is_empty()
    }

    fn next(&mut self, pool: &Arc<Pool<C>>) -> Option<(Waiter<C>, Ticket<C>)> {
        if self.queue.is_empty() {
            return None;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let next = queue.pop_where(|w| self.place(pool, &w.want));
        self.queue = queue;
        next
    }

    /// Takes a place for a request now, if there is one.
    fn place(&mut self, pool: &Arc<Pool<C>>, want: &Want) -> Option<Ticket<C>> {
        let now = pool.clock.now();
        let fits = |t: &Target| {
            if want.alone {
                t.is_empty()
            } else {
                t.has_room()
            }
        };
        let open = self.targets.iter().filter(|(key, t)| {
            !want.excluded.contains(key) && t.is_routable(pool.model, now) && fits(t)
        });
        let (keys, candidates): (Vec<TargetKey>, Vec<route::Candidate>) = open
            .map(|(key, t)| (key, t.candidate(&want.hashes, now)))
            .unzip();
        let chosen = route::choose(pool.policy, &candidates, self.turn, &mut self.random)?;
        self.turn = self.turn.wrapping_add(1);
        self.take(pool, keys[chosen], want, now)
    }

    fn take(
        &mut self,
        pool: &Arc<Pool<C>>,
        key: TargetKey,
        want: &Want,
        now: Instant,
    ) -> Option<Ticket<C>> {
        let flight = self.next_flight;
        self.next_flight += 1;
        let target = self.targets.get_mut(key)?;
        target.flights.push(Flight {
            number: flight,
            fingerprint: want.fingerprint,
            since: now,
        });
        if want.alone {
            target.alone = Some(flight);
            target.reserved = false;
        }
        Some(Ticket {
            pool: pool.clone(),
            key,
            vm: target.vm.clone(),
            version: target.version(),
            link: target.link.clone(),
            alone: want.alone,
            fingerprint: want.fingerprint,
            flight,
            since: now,
        })
    }

    /// Keeps targets free for queued requests that must run alone, up to half
    /// of the targets, so that the others go on.
    fn reserve(&mut self, model: bool, now: Instant) {
        let waiting = self.queue.values().filter(|w| w.want.alone).count();
        let kept = self.targets.values().filter(|t| t.alone.is_some()).count();
        let most = self.targets.len().div_ceil(2).saturating_sub(kept);
        let mut left = waiting.min(most);
        for target in self.targets.values_mut() {
            target.reserved = false;
        }
        let mut free: Vec<(usize, TargetKey)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.alone.is_none() && t.is_routable(model, now))
            .map(|(key, t)| (t.flights.len(), key))
            .collect();
        free.sort_unstable();
        for (_, key) in free {
            if left == 0 {
                return;
            }
            if let Some(target) = self.targets.get_mut(key) {
                target.reserved = true;
                left -= 1;
            }
        }
    }
}

impl<C: Clock> Ticket<C> {
    /// Time since the request was sent.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.pool.clock.now().saturating_duration_since(self.since)
    }

    /// The answer began.
    pub fn first_byte(&self) {
        let (took, now) = (self.elapsed(), self.pool.clock.now());
        self.pool.update(self.key, |t| t.on_first_byte(took, now));
    }

    /// The answer ended.
    pub fn ended(&self) {
        let took = self.elapsed();
        self.pool.update(self.key, |t| t.on_end(took));
    }

    /// The agent refused the request.
    pub fn refused(&self, reason: Option<Reason>) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| match reason {
            Some(Reason::Draining | Reason::Starting) => t.on_draining(),
            Some(Reason::VersionMismatch) => t.on_other_version(&self.version),
            Some(Reason::Full) => t.limiter.on_overload(now),
            Some(Reason::Reserved) => {}
            _ => t.on_unreachable(now),
        });
    }

    /// No new connection to the agent can be opened.
    pub fn unreachable(&self) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| t.on_unreachable(now));
    }

    /// No answer came in time.
    pub fn late(&self) {
        let now = self.pool.clock.now();
        self.pool.update(self.key, |t| t.limiter.on_overload(now));
    }

    /// The target died with the request; returns the death unless it was
    /// noticed before.
    #[must_use]
    pub fn died(&self) -> Option<Death> {
        let now = self.pool.clock.now();
        let death = self.pool.update(self.key, |t| t.on_death(self.since, now));
        death.flatten()
    }
}

impl<C: Clock> Drop for Ticket<C> {
    fn drop(&mut self) {
        self.pool.update(self.key, |t| {
            t.flights.retain(|f| f.number != self.flight);
            if t.alone == Some(self.flight) {
                t.alone = None;
            }
        });
    }
}
