//! A shard that this process owns: operations that wait for the next write
//! and operations in the write that is in flight.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::key::{Ask, Attempt, Finish, Id, Millis};
use super::table::{Sealing, Table, Verdict};
use crate::resource::journal;

/// Time without an answer from the platform after which a write counts as
/// failed for operations that may go on from memory.
pub const SLOW: Duration = Duration::from_millis(500);

/// What a request wants from a shard.
#[derive(Clone, Debug)]
pub enum Task {
    /// Reserve an operation.
    Reserve {
        /// Operation and attempt.
        ask: Ask,
        /// Whether the service's operations go on from memory.
        offline: bool,
    },
    /// End an attempt.
    Finish {
        /// Operation.
        id: Id,
        /// Attempt.
        attempt: Attempt,
        /// How it ended.
        finish: Finish,
    },
}

/// Answer of a shard.
#[derive(Debug)]
pub enum Answer {
    /// To a reservation.
    Verdict(Verdict),
    /// To the end of an attempt: whether the attempt held the permit.
    Finished(bool),
    /// Another process owns the shard.
    Owner(journal::Owner),
    /// Nobody owns the shard.
    Unowned,
    /// The shard can't be used now.
    Unavailable(String),
}

/// A request that waits for a write.
#[derive(Debug)]
pub struct Waiter {
    /// What it wants.
    pub task: Task,
    /// When it gives up.
    pub until: Instant,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer>,
    /// Whether this request made the intent that it waits for. Only then may
    /// it withdraw the intent: an earlier copy of the request may have been
    /// answered and dispatched.
    pub made: bool,
}

/// What to write next.
#[derive(Debug)]
pub enum Write {
    /// A segment, which the next head will refer to.
    Segment {
        /// Name.
        name: String,
        /// Content.
        sealing: Sealing,
    },
    /// The head.
    Head(journal::Head),
}

/// Times of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic.
    pub mono: Instant,
    /// Wall clock.
    pub wall: Millis,
}

/// State of an owned shard.
#[derive(Debug)]
pub struct Held {
    shard: u16,
    /// Operations.
    pub table: Table,
    /// Head as last written.
    pub head: journal::Head,
    /// Revision of the head.
    pub revision: u64,
    /// Whether the stored head says that the owner may go on from memory.
    pub offline: bool,
    /// Whether the last write failed or is slow.
    pub failing: bool,
    /// Whether the shard is being handed over.
    pub releasing: bool,
    queued: Vec<Waiter>,
    in_flight: Vec<Waiter>,
    dirty: Option<Instant>,
    sealing: Option<Sealing>,
    segments: u64,
    garbage: Vec<String>,
}

impl Held {
    /// State after the head was written at `revision`.
    #[must_use]
    pub fn new(shard: u16, table: Table, head: journal::Head, revision: u64) -> Self {
        Self {
            shard,
            table,
            offline: head.offline,
            head,
            revision,
            failing: false,
            releasing: false,
            queued: Vec::new(),
            in_flight: Vec::new(),
            dirty: None,
            sealing: None,
            segments: 0,
            garbage: Vec::new(),
        }
    }

    /// Applies a request. It is answered at once if the answer does not
    /// depend on a write, or may go on from memory.
    pub fn apply(&mut self, mut waiter: Waiter, now: Now, retention: Duration) {
        match waiter.task.clone() {
            Task::Reserve { ask, .. } => {
                waiter.made = !self.table.holds(ask.id, ask.attempt);
                let verdict = self.table.reserve(&ask, now.wall, millis(retention));
                if verdict == Verdict::Fresh {
                    self.enqueue(waiter, now.mono);
                } else {
                    let _ = waiter.reply.send(Answer::Verdict(verdict));
                }
            }
            Task::Finish {
                id,
                attempt,
                finish,
            } => {
                if self.table.finish(id, attempt, finish) || !self.is_clean() {
                    self.enqueue(waiter, now.mono);
                } else {
                    let _ = waiter.reply.send(Answer::Finished(false));
                }
            }
        }
        self.grant();
    }

    fn enqueue(&mut self, waiter: Waiter, now: Instant) {
        self.queued.push(waiter);
        self.dirty.get_or_insert(now);
    }

    /// Whether everything is written.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dirty.is_none() && self.in_flight.is_empty()
    }

    /// Causes a write of the head.
    pub fn touch(&mut self, now: Instant) {
        self.dirty.get_or_insert(now);
    }

    /// Earliest time of the next write, if there is anything to write. An
    /// outcome alone waits one interval for an intent to share its write.
    #[must_use]
    pub fn due(&self, next: Instant, batch: Duration) -> Option<Instant> {
        let dirty = self.dirty?;
        let urgent = self.releasing || self.queued.iter().any(is_reserve);
        Some(if urgent {
            next
        } else {
            next.max(dirty + batch)
        })
    }

    /// The next write. Requests that waited are answered when it succeeds.
    pub fn prepare(&mut self, now: Now, retention: Duration, offline: bool) -> Write {
        let forgotten = self.table.forget(now.wall, millis(retention));
        self.garbage.extend(forgotten);
        if self.sealing.is_none() {
            self.sealing = self.table.next_segment(now.wall);
            self.segments += u64::from(self.sealing.is_some());
        }
        if let Some(sealing) = self.sealing.clone() {
            // Named again after a failure, so that a retry writes the same object.
            let name = journal::segment_name(self.shard, self.head.epoch, self.segments);
            return Write::Segment { name, sealing };
        }
        let mut head = self.head.clone();
        head.offline = offline && !self.releasing;
        if self.releasing {
            head.owner = None;
        }
        self.table.store(&mut head);
        // Once this write may take effect, others may take the shard.
        self.offline &= head.offline;
        self.dirty = None;
        self.in_flight.append(&mut self.queued);
        Write::Head(head)
    }

    /// The segment was written.
    pub fn sealed(&mut self, name: String) {
        if let Some(sealing) = self.sealing.take() {
            self.table.sealed(sealing, name);
        }
        self.failing = false;
    }

    /// The head was written; returns the segments that may be deleted.
    pub fn written(&mut self, head: journal::Head, revision: u64) -> Vec<String> {
        self.offline = head.offline;
        self.head = head;
        self.revision = revision;
        self.failing = false;
        for waiter in std::mem::take(&mut self.in_flight) {
            let answer = match &waiter.task {
                Task::Reserve { ask, .. } if self.table.holds(ask.id, ask.attempt) => {
                    Answer::Verdict(Verdict::Fresh)
                }
                // The request gave up under another waiter of the same attempt.
                Task::Reserve { .. } => Answer::Unavailable("given up".into()),
                Task::Finish { .. } => Answer::Finished(true),
            };
            let _ = waiter.reply.send(answer);
        }
        std::mem::take(&mut self.garbage)
    }

    /// The write failed, or it is unknown whether it took effect.
    pub fn failed(&mut self, now: Instant) {
        self.failing = true;
        self.requeue(now);
        self.grant();
    }

    /// The head is at `revision` through an earlier write of this process.
    pub fn rebase(&mut self, revision: u64, now: Instant) {
        self.revision = revision;
        self.requeue(now);
    }

    /// The write in flight takes long.
    pub fn slow(&mut self) {
        self.failing = true;
        self.grant();
    }

    fn requeue(&mut self, now: Instant) {
        let later = std::mem::take(&mut self.queued);
        self.queued = std::mem::take(&mut self.in_flight);
        self.queued.extend(later);
        self.dirty.get_or_insert(now);
    }

    /// Answers from memory what may go on without the platform.
    fn grant(&mut self) {
        if !self.failing || !self.offline || self.releasing {
            return;
        }
        for list in [&mut self.queued, &mut self.in_flight] {
            for waiter in extract(list, |w| {
                matches!(w.task, Task::Reserve { offline: true, .. })
            }) {
                let _ = waiter.reply.send(Answer::Verdict(Verdict::Fresh));
            }
        }
    }

    /// Answers requests that waited too long. Their intents are withdrawn.
    pub fn expire(&mut self, now: Instant) {
        for list in [&mut self.queued, &mut self.in_flight] {
            list.retain(|w| !w.reply.is_closed());
            for waiter in extract(list, |w| w.until <= now) {
                if let (Task::Reserve { ask, .. }, true) = (&waiter.task, waiter.made) {
                    self.table.finish(ask.id, ask.attempt, Finish::Abort);
                    self.dirty.get_or_insert(now);
                }
                let reason = "the journal was not written in time".to_owned();
                let _ = waiter.reply.send(Answer::Unavailable(reason));
            }
        }
    }

    /// When the next request gives up.
    #[must_use]
    pub fn first_expiry(&self) -> Option<Instant> {
        let all = self.queued.iter().chain(&self.in_flight);
        all.map(|w| w.until).min()
    }

    /// All requests that wait, when the shard is lost.
    #[must_use]
    pub fn into_waiters(self) -> Vec<Waiter> {
        self.in_flight.into_iter().chain(self.queued).collect()
    }
}

fn is_reserve(waiter: &Waiter) -> bool {
    matches!(waiter.task, Task::Reserve { .. })
}

fn extract(list: &mut Vec<Waiter>, test: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
    let (out, rest) = std::mem::take(list).into_iter().partition(test);
    *list = rest;
    out
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}
