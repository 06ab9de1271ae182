//! A shard that this process owns: operations that wait for the next write
//! and operations in the write that is in flight.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::key::{Attempt, Finish, Id, Millis, ReserveRequest};
use super::table::{Decision, PendingSegment, Table};
use crate::resource::journal;

/// Time without an answer from the platform after which a write counts as
/// failed for operations that may go on from memory.
pub const SLOW_WRITE: Duration = Duration::from_millis(500);

/// What a request wants from a shard.
#[derive(Clone, Debug)]
pub enum Command {
    /// Reserve an operation.
    Reserve {
        /// Operation and attempt.
        request: ReserveRequest,
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
pub enum Reply {
    /// To a reservation.
    Decision(Decision),
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
    pub command: Command,
    /// When it gives up.
    pub deadline: Instant,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
    /// Whether this request made the intent that it waits for. Only then may
    /// it withdraw the intent: an earlier copy of the request may have been
    /// answered and dispatched.
    pub created_intent: bool,
}

/// What to write next.
#[derive(Debug)]
pub enum Write {
    /// A segment, which the next head will refer to.
    Segment {
        /// Name.
        name: String,
        /// Content.
        pending: PendingSegment,
    },
    /// The head.
    Head(journal::Head),
}

/// Times of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic.
    pub monotonic: Instant,
    /// Wall clock.
    pub wall: Millis,
}

/// State of an owned shard.
#[derive(Debug)]
pub struct Shard {
    number: u16,
    /// Operations.
    pub table: Table,
    /// Head as last written.
    pub head: journal::Head,
    /// Revision of the head.
    pub revision: u64,
    /// Whether the stored head says that the owner may go on from memory.
    pub offline: bool,
    /// Whether the last write failed or is slow.
    pub write_failing: bool,
    /// Whether the shard is being handed over.
    pub releasing: bool,
    queued: Vec<Waiter>,
    in_flight: Vec<Waiter>,
    dirty_since: Option<Instant>,
    pending_segment: Option<PendingSegment>,
    segment_count: u64,
    obsolete_segments: Vec<String>,
}

impl Shard {
    /// State after the head was written at `revision`.
    #[must_use]
    pub fn new(number: u16, table: Table, head: journal::Head, revision: u64) -> Self {
        Self {
            number,
            table,
            offline: head.offline,
            head,
            revision,
            write_failing: false,
            releasing: false,
            queued: Vec::new(),
            in_flight: Vec::new(),
            dirty_since: None,
            pending_segment: None,
            segment_count: 0,
            obsolete_segments: Vec::new(),
        }
    }

    /// Applies a request. It is answered at once if the answer does not
    /// depend on a write, or may go on from memory.
    pub fn apply(&mut self, mut waiter: Waiter, now: Now, retention: Duration) {
        match waiter.command.clone() {
            Command::Reserve { request, .. } => {
                waiter.created_intent = !self.table.has_intent(request.id, request.attempt);
                let decision = self.table.reserve(&request, now.wall, millis(retention));
                if decision == Decision::Fresh {
                    self.enqueue(waiter, now.monotonic);
                } else {
                    let _ = waiter.reply.send(Reply::Decision(decision));
                }
            }
            Command::Finish {
                id,
                attempt,
                finish,
            } => {
                if self.table.finish(id, attempt, finish) || !self.is_clean() {
                    self.enqueue(waiter, now.monotonic);
                } else {
                    let _ = waiter.reply.send(Reply::Finished(false));
                }
            }
        }
        self.answer_from_memory();
    }

    fn enqueue(&mut self, waiter: Waiter, now: Instant) {
        self.queued.push(waiter);
        self.dirty_since.get_or_insert(now);
    }

    /// Whether everything is written.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dirty_since.is_none() && self.in_flight.is_empty()
    }

    /// Causes a write of the head.
    pub fn request_write(&mut self, now: Instant) {
        self.dirty_since.get_or_insert(now);
    }

    /// Earliest time of the next write, if there is anything to write. An
    /// outcome alone waits one interval for an intent to share its write.
    #[must_use]
    pub fn next_write(&self, next: Instant, batch: Duration) -> Option<Instant> {
        let dirty_since = self.dirty_since?;
        let urgent = self.releasing || self.queued.iter().any(is_reserve);
        Some(if urgent {
            next
        } else {
            next.max(dirty_since + batch)
        })
    }

    /// The next write. Requests that waited are answered when it succeeds.
    pub fn prepare(&mut self, now: Now, retention: Duration, offline: bool) -> Write {
        let forgotten = self.table.prune(now.wall, millis(retention));
        self.obsolete_segments.extend(forgotten);
        if self.pending_segment.is_none() {
            self.pending_segment = self.table.next_segment(now.wall);
            self.segment_count += u64::from(self.pending_segment.is_some());
        }
        if let Some(pending) = self.pending_segment.clone() {
            // Named again after a failure, so that a retry writes the same object.
            let name = journal::segment_name(self.number, self.head.epoch, self.segment_count);
            return Write::Segment { name, pending };
        }
        let mut head = self.head.clone();
        head.offline = offline && !self.releasing;
        if self.releasing {
            head.owner = None;
        }
        self.table.fill_head(&mut head);
        // Once this write may take effect, others may take the shard.
        self.offline &= head.offline;
        self.dirty_since = None;
        self.in_flight.append(&mut self.queued);
        Write::Head(head)
    }

    /// The segment was written.
    pub fn segment_written(&mut self, name: String) {
        if let Some(pending) = self.pending_segment.take() {
            self.table.commit_segment(pending, name);
        }
        self.write_failing = false;
    }

    /// The head was written; returns the segments that may be deleted.
    pub fn head_written(&mut self, head: journal::Head, revision: u64) -> Vec<String> {
        self.offline = head.offline;
        self.head = head;
        self.revision = revision;
        self.write_failing = false;
        for waiter in std::mem::take(&mut self.in_flight) {
            let answer = match &waiter.command {
                Command::Reserve { request, .. }
                    if self.table.has_intent(request.id, request.attempt) =>
                {
                    Reply::Decision(Decision::Fresh)
                }
                // The request gave up under another waiter of the same attempt.
                Command::Reserve { .. } => Reply::Unavailable("given up".into()),
                Command::Finish { .. } => Reply::Finished(true),
            };
            let _ = waiter.reply.send(answer);
        }
        std::mem::take(&mut self.obsolete_segments)
    }

    /// The write failed, or it is unknown whether it took effect.
    pub fn write_failed(&mut self, now: Instant) {
        self.write_failing = true;
        self.requeue(now);
        self.answer_from_memory();
    }

    /// The head is at `revision` through an earlier write of this process.
    pub fn update_revision(&mut self, revision: u64, now: Instant) {
        self.revision = revision;
        self.requeue(now);
    }

    /// The write in flight takes long.
    pub fn write_slow(&mut self) {
        self.write_failing = true;
        self.answer_from_memory();
    }

    fn requeue(&mut self, now: Instant) {
        let later = std::mem::take(&mut self.queued);
        self.queued = std::mem::take(&mut self.in_flight);
        self.queued.extend(later);
        self.dirty_since.get_or_insert(now);
    }

    /// Answers from memory what may go on without the platform.
    fn answer_from_memory(&mut self) {
        if !self.write_failing || !self.offline || self.releasing {
            return;
        }
        for list in [&mut self.queued, &mut self.in_flight] {
            for waiter in extract(list, |w| {
                matches!(w.command, Command::Reserve { offline: true, .. })
            }) {
                let _ = waiter.reply.send(Reply::Decision(Decision::Fresh));
            }
        }
    }

    /// Answers requests that waited too long. Their intents are withdrawn.
    pub fn expire(&mut self, now: Instant) {
        for list in [&mut self.queued, &mut self.in_flight] {
            list.retain(|w| !w.reply.is_closed());
            for waiter in extract(list, |w| w.deadline <= now) {
                if let (Command::Reserve { request, .. }, true) =
                    (&waiter.command, waiter.created_intent)
                {
                    self.table
                        .finish(request.id, request.attempt, Finish::Abort);
                    self.dirty_since.get_or_insert(now);
                }
                let reason = "the journal was not written in time".to_owned();
                let _ = waiter.reply.send(Reply::Unavailable(reason));
            }
        }
    }

    /// When the next request gives up.
    #[must_use]
    pub fn first_expiry(&self) -> Option<Instant> {
        let all = self.queued.iter().chain(&self.in_flight);
        all.map(|w| w.deadline).min()
    }

    /// All requests that wait, when the shard is lost.
    #[must_use]
    pub fn into_waiters(self) -> Vec<Waiter> {
        self.in_flight.into_iter().chain(self.queued).collect()
    }
}

fn is_reserve(waiter: &Waiter) -> bool {
    matches!(waiter.command, Command::Reserve { .. })
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
