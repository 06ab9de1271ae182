//! State of a shard that this process owns: its operations, the requests queued
//! for the next write and the requests in the write in flight.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::key::{Attempt, Finish, Id, Millis, ReserveRequest};
use super::table::{Decision, PendingSegment, Table};
use crate::resource::journal;

/// Time after which an unanswered write counts as failed, so that reservations
/// in offline mode are granted from memory.
pub const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Command to a shard.
#[derive(Clone, Debug)]
pub enum Command {
    /// Reserve an operation.
    Reserve {
        /// Operation and attempt.
        request: ReserveRequest,
        /// Whether the service allows the owner to grant reservations from memory
        /// while the platform is unreachable (offline mode).
        offline: bool,
    },
    /// Record the outcome of an attempt.
    Finish {
        /// Operation.
        id: Id,
        /// Attempt.
        attempt: Attempt,
        /// Outcome.
        finish: Finish,
    },
}

/// Reply of a shard.
#[derive(Debug)]
pub enum Reply {
    /// Result of a reservation.
    Decision(Decision),
    /// The outcome needs no retry; false if the attempt held no permit and there
    /// was nothing to write.
    Finished(bool),
    /// Another process owns the shard.
    Owner(journal::Owner),
    /// No process owns the shard.
    Unowned,
    /// The shard can't be used now.
    Unavailable(String),
}

/// A request that waits for a write.
#[derive(Debug)]
pub struct Waiter {
    /// Command.
    pub command: Command,
    /// Time at which it is answered as unavailable.
    pub deadline: Instant,
    /// Receives the reply.
    pub reply: oneshot::Sender<Reply>,
    /// Whether this request created the intent that it waits for. Only then may
    /// its timeout remove the intent: otherwise an earlier copy of the request
    /// created it and may have been answered and dispatched.
    pub created_intent: bool,
}

/// Next write to the platform.
#[derive(Debug)]
pub enum Write {
    /// A segment; the next head will refer to it.
    Segment {
        /// Name of the segment's object.
        name: String,
        /// Entries of the segment.
        pending: PendingSegment,
    },
    /// The head.
    Head(journal::Head),
}

/// Current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock.
    pub monotonic: Instant,
    /// Wall clock.
    pub wall: Millis,
}

/// State of an owned shard.
#[derive(Debug)]
pub struct Shard {
    number: u16,
    /// Operations of the shard.
    pub table: Table,
    /// Head as last stored.
    pub head: journal::Head,
    /// Revision of the stored head.
    pub revision: u64,
    /// Whether the stored head allows offline mode; false as soon as a write that
    /// revokes it may have taken effect.
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
    /// Creates the state of a shard whose head was stored at `revision`.
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

    /// Applies a request. It is answered at once if the reply doesn't depend on a
    /// write or the reservation may be granted from memory; otherwise it is queued.
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
        self.grant_from_memory();
    }

    fn enqueue(&mut self, waiter: Waiter, now: Instant) {
        self.queued.push(waiter);
        self.dirty_since.get_or_insert(now);
    }

    /// Whether all changes are stored.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.dirty_since.is_none() && self.in_flight.is_empty()
    }

    /// Schedules a write of the head, also when no request waits.
    pub fn request_write(&mut self, now: Instant) {
        self.dirty_since.get_or_insert(now);
    }

    /// Earliest time of the next write, or `None` when there is nothing to write.
    /// Unless a reservation is queued or the shard is being handed over, the write
    /// is delayed by one `batch` interval, so that an outcome can share the write of
    /// a reservation.
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

    /// Prepares the next write. A head takes along all queued requests, which are
    /// answered when its write succeeds.
    pub fn prepare(&mut self, now: Now, retention: Duration, offline: bool) -> Write {
        let pruned = self.table.prune(now.wall, millis(retention));
        self.obsolete_segments.extend(pruned);
        if self.pending_segment.is_none() {
            self.pending_segment = self.table.next_segment(now.wall);
            self.segment_count += u64::from(self.pending_segment.is_some());
        }
        if let Some(pending) = self.pending_segment.clone() {
            // The name stays the same after a failure, so that a retry writes the
            // same object.
            let name = journal::segment_name(self.number, self.head.epoch, self.segment_count);
            return Write::Segment { name, pending };
        }
        let mut head = self.head.clone();
        head.offline = offline && !self.releasing;
        if self.releasing {
            head.owner = None;
        }
        self.table.fill_head(&mut head);
        // If this write revokes offline mode, others may take over the shard as
        // soon as it may have taken effect.
        self.offline &= head.offline;
        self.dirty_since = None;
        self.in_flight.append(&mut self.queued);
        Write::Head(head)
    }

    /// Records that the segment was stored.
    pub fn segment_written(&mut self, name: String) {
        if let Some(pending) = self.pending_segment.take() {
            self.table.commit_segment(pending, name);
        }
        self.write_failing = false;
    }

    /// Records that the head was stored and answers its requests. Returns the names
    /// of segments that may be deleted.
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
                // The attempt was aborted during the write, or another waiter of it
                // timed out.
                Command::Reserve { .. } => Reply::Unavailable("reservation was aborted".into()),
                Command::Finish { .. } => Reply::Finished(true),
            };
            let _ = waiter.reply.send(answer);
        }
        std::mem::take(&mut self.obsolete_segments)
    }

    /// Records that the write failed or that its result is unknown. Its requests
    /// are queued again.
    pub fn write_failed(&mut self, now: Instant) {
        self.write_failing = true;
        self.requeue(now);
        self.grant_from_memory();
    }

    /// Continues from `revision`, at which an earlier write of this process stored
    /// the head although its reply was lost.
    pub fn update_revision(&mut self, revision: u64, now: Instant) {
        self.revision = revision;
        self.requeue(now);
    }

    /// Records that the write in flight exceeds `SLOW_WRITE`.
    pub fn write_slow(&mut self) {
        self.write_failing = true;
        self.grant_from_memory();
    }

    fn requeue(&mut self, now: Instant) {
        let queued = std::mem::take(&mut self.queued);
        self.queued = std::mem::take(&mut self.in_flight);
        self.queued.extend(queued);
        self.dirty_since.get_or_insert(now);
    }

    /// Grants reservations in offline mode from memory while writes fail.
    fn grant_from_memory(&mut self) {
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

    /// Answers requests whose deadline passed and removes the intents that they
    /// created.
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
                let reason = "journal write timed out".to_owned();
                let _ = waiter.reply.send(Reply::Unavailable(reason));
            }
        }
    }

    /// Earliest deadline of the waiting requests.
    #[must_use]
    pub fn first_expiry(&self) -> Option<Instant> {
        let all = self.queued.iter().chain(&self.in_flight);
        all.map(|w| w.deadline).min()
    }

    /// Returns all waiting requests after the shard was lost.
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

/// Converts a duration to whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}
