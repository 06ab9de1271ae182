//! State machine of a candidate for the coordinator lease of a data centre.
//! Performs no I/O.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::resource::{Object, lease};

/// Time without a renewal after which another candidate may take the lease.
pub const DURATION: Duration = Duration::from_millis(1500);
/// Interval of renewals by the holder and of reads by the
/// [`POLLING_CANDIDATES`].
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Number of candidates, the first in rendezvous order, that always poll the
/// lease. The others read it only while they receive no pushes from a
/// coordinator, so that the call rate does not grow with the number of entries.
pub const POLLING_CANDIDATES: usize = 2;
/// Time after its last push for which a coordinator counts as alive.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of reads by the other candidates while the lease is renewed but they
/// receive no pushes, for example because the VM list does not name them yet. Also the delay before a process that
/// released the lease reads it again.
pub const SLOW_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Time without the platform and without pushes after which the first candidate
/// becomes the fallback coordinator. It pushes, collects and grants permits without
/// the lease, but writes neither status nor outcomes to the platform.
pub const FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Delay added per rank, so that the pushes of the first live candidate reach the
/// next one before it starts.
pub const FALLBACK_STEP: Duration = Duration::from_secs(1);

/// Identity of a candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Data centre, which is also the name of the lease.
    pub data_center: String,
    /// Name of the VM.
    pub vm: String,
    /// ID of this run of the process; differs after a restart.
    pub boot: String,
    /// Control address.
    pub address: SocketAddr,
}

/// Facts that a candidate bases its decisions on, besides the lease itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Inputs {
    /// Position among the candidates, from 0; `None` while the VM list does not
    /// name this VM.
    pub rank: Option<usize>,
    /// Rendezvous weight of this VM. Of two fallback coordinators with the same
    /// epoch, the one with the lower weight steps down.
    pub weight: u64,
    /// Whether this VM is draining or asked to leave.
    pub leaving: bool,
    /// Last push of another coordinator.
    pub peer_push: Option<PeerPush>,
}

/// A push of another coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerPush {
    /// When the push was received.
    pub received: Instant,
    /// Epoch of the sender.
    pub epoch: u64,
    /// Rendezvous weight of the sender.
    pub weight: u64,
}

/// Current role of this process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Role {
    /// Whether it pushes the configuration, collects outcomes and grants permits.
    pub active: bool,
    /// Epoch of its lease, or the last one known.
    pub epoch: u64,
    /// Whether it took the lease and does not know of a later holder.
    pub holder: bool,
    /// Time until which no other process can hold the lease. Writes to the
    /// platform must be sent before it.
    pub valid_until: Option<Instant>,
}

impl Role {
    /// Whether this process is guaranteed to hold the lease at `now`.
    #[must_use]
    pub fn may_write(&self, now: Instant) -> bool {
        self.holder && self.valid_until.is_some_and(|u| now < u)
    }
}

/// Next step of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write this lease, to create, take, renew or release it.
    Write(Object<lease::Lease>),
    /// Do nothing for this time.
    Wait(Duration),
}

/// The lease as last read, while this process does not hold it.
#[derive(Clone, Debug)]
struct Observed {
    lease: Option<Object<lease::Lease>>,
    /// When this revision was first seen.
    first_seen: Instant,
    /// When the last read that returned it was sent.
    last_read: Instant,
    /// Whether the read before found another revision.
    is_renewed: bool,
}

#[derive(Clone, Debug)]
struct Held {
    lease: Object<lease::Lease>,
    /// When the last write that is known to have succeeded was sent.
    renewed_at: Option<Instant>,
}

/// State of a candidate.
#[derive(Clone, Debug)]
pub struct State {
    identity: Identity,
    inputs: Inputs,
    started: Instant,
    observed: Option<Observed>,
    held: Option<Held>,
    /// Whether this process is the fallback coordinator.
    fallback: bool,
    /// Whether the last call to the platform failed.
    call_failed: bool,
    epoch: u64,
    next_call: Instant,
}

impl State {
    /// Candidate that has not read the lease yet.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> Self {
        Self {
            identity,
            inputs: Inputs::default(),
            started: now,
            observed: None,
            held: None,
            fallback: false,
            call_failed: false,
            epoch: 0,
            next_call: now,
        }
    }

    /// Sets the current inputs. `epoch` is the highest epoch known to this
    /// process; a held lease with a lower epoch is given up.
    pub fn update(&mut self, inputs: Inputs, epoch: u64, now: Instant) {
        self.inputs = inputs;
        self.epoch = self.epoch.max(epoch);
        if self
            .held
            .as_ref()
            .is_some_and(|h| h.lease.spec.epoch < self.epoch)
        {
            self.held = None;
            self.observed = None;
        }
        self.fallback = self.is_fallback(now);
    }

    /// Current role of this process.
    #[must_use]
    pub fn role(&self) -> Role {
        let renewed_at = self.held.as_ref().and_then(|h| h.renewed_at);
        Role {
            active: self.held.is_some() || self.fallback,
            epoch: self.epoch,
            holder: self.held.is_some(),
            valid_until: renewed_at.map(|r| r + DURATION),
        }
    }

    /// Next step of this candidate at `now`.
    #[must_use]
    pub fn next_action(&self, now: Instant) -> Action {
        if self.inputs.leaving {
            let release = self.released_lease().filter(|_| now >= self.next_call);
            return release.map_or(Action::Wait(RENEW_INTERVAL), Action::Write);
        }
        if now < self.next_call {
            return Action::Wait(self.next_call - now);
        }
        if let Some(held) = &self.held {
            return Action::Write(held.lease.clone());
        }
        if let Some(wait) = self.idle_time(now) {
            return Action::Wait(wait);
        }
        match &self.observed {
            Some(o) if o.is_free() => Action::Write(self.claim(o.lease.as_ref())),
            _ => Action::Read,
        }
    }

    /// Handles the result of a read that was sent at `sent`.
    pub fn on_read(&mut self, lease: Option<Object<lease::Lease>>, sent: Instant, now: Instant) {
        self.call_failed = false;
        if let Some(lease) = &lease {
            self.epoch = self.epoch.max(lease.spec.epoch);
            if self.is_own(lease) {
                self.recover(lease.clone(), now);
                return;
            }
        }
        let revision = |l: &Option<Object<lease::Lease>>| l.as_ref().map(|l| l.metadata.revision);
        let previous = self.observed.take();
        let unchanged = previous
            .as_ref()
            .filter(|o| revision(&o.lease) == revision(&lease));
        self.observed = Some(Observed {
            first_seen: unchanged.map_or(now, |o| o.first_seen),
            last_read: sent,
            is_renewed: previous.is_some() && unchanged.is_none(),
            lease,
        });
        let is_alive = self.observed.as_ref().is_some_and(|o| o.is_renewed);
        self.fallback &= !is_alive;
        self.next_call = now + self.read_interval();
        if self.observed.as_ref().is_some_and(Observed::is_free) {
            self.next_call = now;
        }
    }

    /// Handles the success of a write that was sent at `sent`.
    pub fn on_written(&mut self, lease: Object<lease::Lease>, sent: Instant) {
        self.call_failed = false;
        self.epoch = self.epoch.max(lease.spec.epoch);
        if lease.spec.holder.is_empty() {
            self.held = None;
            self.observed = None;
            self.next_call = sent + SLOW_READ_INTERVAL;
            return;
        }
        self.set_held(lease, sent);
    }

    /// Handles a conflict: the lease was changed by another process, or by an
    /// earlier write of this one whose reply was lost.
    pub fn on_conflict(
        &mut self,
        current: Option<Object<lease::Lease>>,
        sent: Instant,
        now: Instant,
    ) {
        self.observed = None;
        if !current.as_ref().is_some_and(|c| self.is_own(c)) {
            self.held = None;
        }
        self.on_read(current, sent, now);
    }

    /// Handles a failed call. A write may still have taken effect: the holder
    /// retries it with the same expected revision, and a conflict then returns
    /// the current lease.
    pub fn on_failure(&mut self, now: Instant) {
        self.call_failed = true;
        // An unchanged lease does not count as expired across a failed call: its
        // holder may be unable to reach the platform as well.
        self.observed = None;
        self.next_call = now + self.read_interval();
    }

    fn set_held(&mut self, lease: Object<lease::Lease>, sent: Instant) {
        self.held = Some(Held {
            lease,
            renewed_at: Some(sent),
        });
        self.observed = None;
        self.fallback = false;
        self.next_call = sent + RENEW_INTERVAL;
    }

    /// Takes back a lease of this process that a read returned. A read does not
    /// tell when the lease was written, so its validity stays as it was and it is
    /// renewed at once.
    fn recover(&mut self, lease: Object<lease::Lease>, now: Instant) {
        let renewed_at = self.held.as_ref().and_then(|h| h.renewed_at);
        self.held = Some(Held { lease, renewed_at });
        self.observed = None;
        self.fallback = false;
        self.next_call = now;
    }

    fn is_own(&self, lease: &Object<lease::Lease>) -> bool {
        lease.spec.boot == self.identity.boot && lease.spec.holder == self.identity.vm
    }

    /// Lease that names this process as holder under the next epoch.
    fn claim(&self, current: Option<&Object<lease::Lease>>) -> Object<lease::Lease> {
        let spec = lease::Lease {
            holder: self.identity.vm.clone(),
            boot: self.identity.boot.clone(),
            epoch: self.epoch + 1,
            address: self.identity.address,
            duration_ms: u64::try_from(DURATION.as_millis()).unwrap_or(u64::MAX),
        };
        let mut object = Object::new(self.identity.data_center.clone(), spec);
        object.metadata.revision = current.map_or(0, |c| c.metadata.revision);
        object
    }

    /// The lease with its holder removed, if this process holds it.
    #[must_use]
    pub fn released_lease(&self) -> Option<Object<lease::Lease>> {
        let mut lease = self.held.as_ref()?.lease.clone();
        lease.spec.holder = String::new();
        Some(lease)
    }

    /// Time for which the lease is not read because another coordinator is alive;
    /// `None` if it is due for a read.
    fn idle_time(&self, now: Instant) -> Option<Duration> {
        if self.fallback || self.inputs.rank.is_some_and(|r| r < POLLING_CANDIDATES) {
            return None;
        }
        let alive_until = self
            .inputs
            .peer_push
            .map(|h| h.received + LIVENESS_TIMEOUT)?;
        (now < alive_until).then(|| alive_until - now)
    }

    fn read_interval(&self) -> Duration {
        let is_polling = self.fallback || self.inputs.rank.is_some_and(|r| r < POLLING_CANDIDATES);
        let is_renewed = self.observed.as_ref().is_some_and(|o| o.is_renewed);
        if !is_polling && is_renewed {
            SLOW_READ_INTERVAL
        } else {
            RENEW_INTERVAL
        }
    }

    /// Whether this process is, or should become, the fallback coordinator.
    fn is_fallback(&self, now: Instant) -> bool {
        if self.held.is_some() || self.inputs.leaving {
            return false;
        }
        if self.fallback {
            return !self.is_superseded(now);
        }
        let rank =
            u32::try_from(self.inputs.rank.unwrap_or(POLLING_CANDIDATES)).unwrap_or(u32::MAX);
        let delay = FALLBACK_DELAY + FALLBACK_STEP.saturating_mul(rank);
        let last_push = self.inputs.peer_push.map_or(self.started, |h| h.received);
        self.call_failed && now.saturating_duration_since(last_push) >= delay
    }

    /// Whether another coordinator is alive and has a higher epoch, or the same
    /// epoch and a higher weight.
    fn is_superseded(&self, now: Instant) -> bool {
        let Some(peer_push) = self.inputs.peer_push else {
            return false;
        };
        let precedes = (peer_push.epoch, peer_push.weight) > (self.epoch, self.inputs.weight);
        now.saturating_duration_since(peer_push.received) < LIVENESS_TIMEOUT && precedes
    }
}

impl Observed {
    /// Whether the lease may be taken: it is absent, released, or unchanged for its
    /// duration by the clock of this process.
    fn is_free(&self) -> bool {
        let Some(lease) = &self.lease else {
            return true;
        };
        let duration = Duration::from_millis(lease.spec.duration_ms);
        lease.spec.holder.is_empty()
            || self.last_read.saturating_duration_since(self.first_seen) >= duration
    }
}
