//! Decisions about the lease of a data centre; free of I/O.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::resource::{Object, lease};

/// Time without renewal after which a lease may be taken.
pub const DURATION: Duration = Duration::from_millis(1500);
/// Interval of renewals, and of reads by the first candidates.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Candidates in rendezvous order that read the lease all the time. All others
/// read it only without a sign of life from a coordinator, so that the number
/// of calls does not grow with the number of entries.
pub const WATCHERS: usize = 2;
/// Time after a push in which the coordinator counts as alive.
pub const ALIVE: Duration = Duration::from_secs(2);
/// Interval of reads by the other candidates while they see renewals but get
/// no pushes, as before the VM list names them.
pub const SLOW_INTERVAL: Duration = Duration::from_secs(5);
/// Time without platform and coordinator after which the first candidate takes
/// over the soft duties.
pub const SOFT_AFTER: Duration = Duration::from_secs(3);
/// Further time for each place in the order, so that the first live candidate
/// has made itself heard before the next one starts.
pub const SOFT_STEP: Duration = Duration::from_secs(1);

/// Who competes for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Data centre, which is also the name of the lease.
    pub data_center: String,
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the process.
    pub boot: String,
    /// Control address.
    pub address: SocketAddr,
}

/// What others do, as seen by this process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Surroundings {
    /// Place among the candidates; `None` while the VM list does not name this VM.
    pub rank: Option<usize>,
    /// Rendezvous weight of this VM; of two coordinators without the platform
    /// the one with the lower weight steps down.
    pub weight: u64,
    /// Whether this VM is about to leave.
    pub leaving: bool,
    /// Newest push of another coordinator.
    pub heard: Option<Heard>,
}

/// A push of another coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// When it came.
    pub at: Instant,
    /// Epoch of the sender.
    pub epoch: u64,
    /// Rendezvous weight of the sender.
    pub weight: u64,
}

/// What this process may do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Role {
    /// Whether it pushes, collects and grants permits.
    pub active: bool,
    /// Epoch of its lease, or the last one known.
    pub epoch: u64,
    /// Whether it took the lease and nobody is known to have taken it since.
    pub holder: bool,
    /// Time until which the lease is certainly its own, for writes.
    pub until: Option<Instant>,
}

impl Role {
    /// Whether the lease certainly belongs to this process.
    #[must_use]
    pub fn may_write(&self, now: Instant) -> bool {
        self.holder && self.until.is_some_and(|u| now < u)
    }
}

/// Next step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease.
    Read,
    /// Write this lease: create, take, renew or release it.
    Write(Object<lease::Lease>),
    /// Nothing to do for this time.
    Wait(Duration),
}

#[derive(Clone, Debug)]
struct Observed {
    lease: Option<Object<lease::Lease>>,
    /// When this revision was first seen.
    since: Instant,
    /// When the newest read that found it was sent.
    checked: Instant,
    /// Whether an earlier read found another revision.
    renewed: bool,
}

#[derive(Clone, Debug)]
struct Held {
    lease: Object<lease::Lease>,
    /// When the newest write that is known to have succeeded was sent.
    renewed: Option<Instant>,
}

/// State of a candidate.
#[derive(Clone, Debug)]
pub struct State {
    identity: Identity,
    around: Surroundings,
    started: Instant,
    observed: Option<Observed>,
    held: Option<Held>,
    soft: bool,
    /// Whether the newest call failed.
    failed: bool,
    epoch: u64,
    next: Instant,
}

impl State {
    /// Candidate that knows nothing yet.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> Self {
        Self {
            identity,
            around: Surroundings::default(),
            started: now,
            observed: None,
            held: None,
            soft: false,
            failed: false,
            epoch: 0,
            next: now,
        }
    }

    /// Takes note of the VM list and of other coordinators. `epoch` is the
    /// highest epoch known to this process.
    pub fn update(&mut self, around: Surroundings, epoch: u64, now: Instant) {
        self.around = around;
        self.epoch = self.epoch.max(epoch);
        if self
            .held
            .as_ref()
            .is_some_and(|h| h.lease.spec.epoch < self.epoch)
        {
            self.held = None;
            self.observed = None;
        }
        self.soft = self.is_soft(now);
    }

    /// What this process may do.
    #[must_use]
    pub fn role(&self) -> Role {
        let renewed = self.held.as_ref().and_then(|h| h.renewed);
        Role {
            active: self.held.is_some() || self.soft,
            epoch: self.epoch,
            holder: self.held.is_some(),
            until: renewed.map(|r| r + DURATION),
        }
    }

    /// Next step at `now`.
    #[must_use]
    pub fn next(&self, now: Instant) -> Action {
        if self.around.leaving {
            let release = self.released().filter(|_| now >= self.next);
            return release.map_or(Action::Wait(INTERVAL), Action::Write);
        }
        if now < self.next {
            return Action::Wait(self.next - now);
        }
        if let Some(held) = &self.held {
            return Action::Write(held.lease.clone());
        }
        if let Some(wait) = self.rest(now) {
            return Action::Wait(wait);
        }
        match &self.observed {
            Some(o) if o.is_free() => Action::Write(self.claim(o.lease.as_ref())),
            _ => Action::Read,
        }
    }

    /// Result of a read that was sent at `sent`.
    pub fn on_read(&mut self, lease: Option<Object<lease::Lease>>, sent: Instant, now: Instant) {
        self.failed = false;
        if let Some(lease) = &lease {
            self.epoch = self.epoch.max(lease.spec.epoch);
            if self.is_own(lease) {
                self.recover(lease.clone(), now);
                return;
            }
        }
        let revision = |l: &Option<Object<lease::Lease>>| l.as_ref().map(|l| l.metadata.revision);
        let earlier = self.observed.take();
        let same = earlier
            .as_ref()
            .filter(|o| revision(&o.lease) == revision(&lease));
        self.observed = Some(Observed {
            since: same.map_or(now, |o| o.since),
            checked: sent,
            renewed: earlier.is_some() && same.is_none(),
            lease,
        });
        let alive = self.observed.as_ref().is_some_and(|o| o.renewed);
        self.soft &= !alive;
        self.next = now + self.read_interval();
        if self.observed.as_ref().is_some_and(Observed::is_free) {
            self.next = now;
        }
    }

    /// The write that was sent at `sent` took effect.
    pub fn on_written(&mut self, lease: Object<lease::Lease>, sent: Instant) {
        self.failed = false;
        self.epoch = self.epoch.max(lease.spec.epoch);
        if lease.spec.holder.is_empty() {
            self.held = None;
            self.observed = None;
            self.next = sent + SLOW_INTERVAL;
            return;
        }
        self.hold(lease, sent);
    }

    /// Another write came first, or an own one whose answer was lost.
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

    /// The call failed, and a write may have taken effect. The holder writes
    /// again on the same condition; a conflict then shows what happened.
    pub fn on_failure(&mut self, now: Instant) {
        self.failed = true;
        // Without contact a lease that is not renewed proves nothing, since its
        // holder may not reach the platform either.
        self.observed = None;
        self.next = now + self.read_interval();
    }

    fn hold(&mut self, lease: Object<lease::Lease>, sent: Instant) {
        self.held = Some(Held {
            lease,
            renewed: Some(sent),
        });
        self.observed = None;
        self.soft = false;
        self.next = sent + INTERVAL;
    }

    /// The lease is the own one, but reading it does not show when it was
    /// written. It is renewed at once.
    fn recover(&mut self, lease: Object<lease::Lease>, now: Instant) {
        let renewed = self.held.as_ref().and_then(|h| h.renewed);
        self.held = Some(Held { lease, renewed });
        self.observed = None;
        self.soft = false;
        self.next = now;
    }

    fn is_own(&self, lease: &Object<lease::Lease>) -> bool {
        lease.spec.boot == self.identity.boot && lease.spec.holder == self.identity.vm
    }

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

    /// The lease without a holder, if this process holds it.
    #[must_use]
    pub fn released(&self) -> Option<Object<lease::Lease>> {
        let mut lease = self.held.as_ref()?.lease.clone();
        lease.spec.holder = String::new();
        Some(lease)
    }

    /// Time for which there is nothing to read, because the coordinator is alive.
    fn rest(&self, now: Instant) -> Option<Duration> {
        if self.soft || self.around.rank.is_some_and(|r| r < WATCHERS) {
            return None;
        }
        let alive = self.around.heard.map(|h| h.at + ALIVE)?;
        (now < alive).then(|| alive - now)
    }

    fn read_interval(&self) -> Duration {
        let watcher = self.soft || self.around.rank.is_some_and(|r| r < WATCHERS);
        let renewed = self.observed.as_ref().is_some_and(|o| o.renewed);
        if !watcher && renewed {
            SLOW_INTERVAL
        } else {
            INTERVAL
        }
    }

    fn is_soft(&self, now: Instant) -> bool {
        if self.held.is_some() || self.around.leaving {
            return false;
        }
        if self.soft {
            return !self.is_replaced(now);
        }
        let order = u32::try_from(self.around.rank.unwrap_or(WATCHERS)).unwrap_or(u32::MAX);
        let patience = SOFT_AFTER + SOFT_STEP.saturating_mul(order);
        let sign = self.around.heard.map_or(self.started, |h| h.at);
        self.failed && now.saturating_duration_since(sign) >= patience
    }

    /// Whether another coordinator is alive that has precedence.
    fn is_replaced(&self, now: Instant) -> bool {
        let Some(heard) = self.around.heard else {
            return false;
        };
        let precedes = (heard.epoch, heard.weight) > (self.epoch, self.around.weight);
        now.saturating_duration_since(heard.at) < ALIVE && precedes
    }
}

impl Observed {
    /// Whether the lease may be taken: absent, released, or unchanged for its
    /// duration on this process's own clock.
    fn is_free(&self) -> bool {
        let Some(lease) = &self.lease else {
            return true;
        };
        let duration = Duration::from_millis(lease.spec.duration_ms);
        lease.spec.holder.is_empty()
            || self.checked.saturating_duration_since(self.since) >= duration
    }
}
