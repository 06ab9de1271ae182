//! Handles the results of a shard's calls to the platform.

use std::time::{Duration, Instant};

use super::{Actor, BACKOFF, Event, MIN_TAKEOVER_INTERVAL, Role};
use crate::clock::Clock;
use crate::journal::owned::{Reply, Shard};
use crate::journal::store::{self, Outcome, OwnerEvent, Takeover};
use crate::objects::{self, Api};
use crate::resource::{Raw, journal};

impl<C: Clock, P: Api> Actor<C, P> {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Acquired(result) => {
                match result {
                    Ok(outcome) => self.acquired(outcome),
                    Err(e) => self.fail_pending(&e.to_string()),
                }
                self.release_if_stopping();
            }
            Event::SegmentWritten(name, Ok(())) => {
                if let Role::Owning(owned) = &mut self.role {
                    owned.segment_written(name);
                }
            }
            Event::HeadWritten(head, Ok(revision)) => self.head_written(head, revision),
            Event::HeadWritten(_, Err(objects::Error::Conflict { current })) => {
                self.handle_conflict(current.as_deref());
            }
            Event::HeadWritten(_, Err(e)) | Event::SegmentWritten(_, Err(e)) => {
                self.write_failed(&e);
            }
        }
    }

    fn acquired(&mut self, outcome: Outcome) {
        let now = self.now();
        match outcome {
            Outcome::Acquired {
                table,
                head,
                revision,
            } => {
                let operations = table.len();
                log::info!(shard = self.shard, epoch = head.epoch, operations; "journal shard acquired");
                self.missing_owner = None;
                self.role = Role::Owning(Box::new(Shard::new(self.shard, table, head, revision)));
                for (waiter, takeover) in std::mem::take(&mut self.pending) {
                    self.request(waiter, takeover);
                }
            }
            Outcome::Follow(head) => self.follow(head, None, now.monotonic),
            Outcome::Wait { head, remaining } => self.follow(head, Some(remaining), now.monotonic),
        }
    }

    fn follow(&mut self, head: journal::Head, remaining: Option<Duration>, now: Instant) {
        let boot = head.owner.as_ref().map(|o| o.boot.clone());
        let boot = boot.unwrap_or_default();
        match remaining {
            Some(_) if self.missing_owner.as_ref().is_some_and(|e| e.boot == boot) => {}
            Some(_) => {
                self.missing_owner = Some(OwnerEvent {
                    boot: boot.clone(),
                    at: now,
                });
            }
            None => self.missing_owner = None,
        }
        if matches!(self.current_takeover, Takeover::From(_)) {
            self.rejected_takeover = Some(OwnerEvent { boot, at: now });
        }
        self.role = Role::Following(Some(head));
        for (waiter, takeover) in std::mem::take(&mut self.pending) {
            self.request(waiter, takeover);
        }
    }

    fn fail_pending(&mut self, reason: &str) {
        self.next_call = self.shared.clock.now() + BACKOFF;
        for (waiter, _) in std::mem::take(&mut self.pending) {
            let _ = waiter.reply.send(Reply::Unavailable(reason.to_owned()));
        }
    }

    fn head_written(&mut self, head: journal::Head, revision: u64) {
        let Role::Owning(owned) = &mut self.role else {
            return;
        };
        let released = head.owner.is_none();
        let obsolete = owned.head_written(head.clone(), revision);
        if !obsolete.is_empty() {
            let platform = self.shared.platform.clone();
            tokio::spawn(async move { store::delete_segments(&platform, obsolete).await });
        }
        if released {
            log::info!(shard = self.shard; "journal shard handed over");
            self.become_follower(Some(head));
        }
    }

    fn write_failed(&mut self, error: &objects::Error) {
        log::warn!(shard = self.shard, error:%; "journal write failed");
        let now = self.shared.clock.now();
        self.next_call = now + BACKOFF;
        if let Role::Owning(owned) = &mut self.role {
            owned.write_failed(now);
        }
    }

    /// Handles a stored head that is not at the expected revision. Only the owner
    /// writes under its epoch. If the stored head has the epoch of this process, it is
    /// an earlier write of this process whose reply was lost, and the state in memory
    /// includes everything in it. Otherwise the shard is lost and the state in memory
    /// is invalid.
    fn handle_conflict(&mut self, current: Option<&Raw>) {
        let now = self.shared.clock.now();
        let Role::Owning(owned) = &mut self.role else {
            return;
        };
        let stored = store::parse_head(current).ok();
        let is_own = stored.as_ref().is_some_and(|(head, _)| {
            head.owner == owned.head.owner && head.epoch == owned.head.epoch
        });
        match stored {
            Some((_, revision)) if is_own => owned.update_revision(revision, now),
            Some((head, revision)) => {
                log::warn!(shard = self.shard, epoch = head.epoch; "journal shard lost");
                self.become_follower((revision > 0).then_some(head));
            }
            None => self.become_follower(None),
        }
    }

    fn become_follower(&mut self, head: Option<journal::Head>) {
        let boot = head.as_ref().and_then(|h| h.owner.as_ref());
        self.rejected_takeover = boot.map(|o| OwnerEvent {
            boot: o.boot.clone(),
            at: self.shared.clock.now() + MIN_TAKEOVER_INTERVAL,
        });
        let role = std::mem::replace(&mut self.role, Role::Following(head));
        self.notify_released();
        let Role::Owning(owned) = role else {
            return;
        };
        for waiter in owned.into_waiters() {
            self.request(waiter, Takeover::Never);
        }
    }
}
