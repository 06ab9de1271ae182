//! What a shard's task does when a call to the platform ends.

use std::time::{Duration, Instant};

use super::{Actor, BACKOFF, Event, Role, TAKE_PAUSE};
use crate::clock::Clock;
use crate::journal::held::{Answer, Held};
use crate::journal::store::{self, Gone, Outcome, Want};
use crate::objects::{self, Api};
use crate::resource::{Raw, journal};

impl<C: Clock, P: Api> Actor<C, P> {
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::Acquired(result) => {
                match result {
                    Ok(outcome) => self.acquired(outcome),
                    Err(e) => self.unavailable(&e.to_string()),
                }
                self.close();
            }
            Event::Segment(name, Ok(())) => {
                if let Role::Owning(own) = &mut self.role {
                    own.sealed(name);
                }
            }
            Event::Head(head, Ok(revision)) => self.written(head, revision),
            Event::Head(_, Err(objects::Error::Conflict { current })) => {
                self.conflict(current.as_deref());
            }
            Event::Head(_, Err(e)) | Event::Segment(_, Err(e)) => self.failed(&e),
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
                log::info!(shard = self.shard, epoch = head.epoch, operations; "acquired a journal shard");
                self.gone = None;
                self.role = Role::Owning(Box::new(Held::new(self.shard, table, head, revision)));
                for (waiter, want) in std::mem::take(&mut self.pending) {
                    self.request(waiter, want);
                }
            }
            Outcome::Follow(head) => self.follow(head, None, now.mono),
            Outcome::Wait { head, rest } => self.follow(head, Some(rest), now.mono),
        }
    }

    fn follow(&mut self, head: journal::Head, rest: Option<Duration>, now: Instant) {
        let boot = head.owner.as_ref().map(|o| o.boot.clone());
        let boot = boot.unwrap_or_default();
        match rest {
            Some(_) if self.gone.as_ref().is_some_and(|g| g.boot == boot) => {}
            Some(_) => {
                self.gone = Some(Gone {
                    boot: boot.clone(),
                    since: now,
                });
            }
            None => self.gone = None,
        }
        if matches!(self.trying, Want::From(_)) {
            self.rejected = Some(Gone { boot, since: now });
        }
        self.role = Role::Following(Some(head));
        for (waiter, want) in std::mem::take(&mut self.pending) {
            self.request(waiter, want);
        }
    }

    fn unavailable(&mut self, reason: &str) {
        self.next = self.shared.clock.now() + BACKOFF;
        for (waiter, _) in std::mem::take(&mut self.pending) {
            let _ = waiter.reply.send(Answer::Unavailable(reason.to_owned()));
        }
    }

    fn written(&mut self, head: journal::Head, revision: u64) {
        let Role::Owning(own) = &mut self.role else {
            return;
        };
        let released = head.owner.is_none();
        let garbage = own.written(head.clone(), revision);
        if !garbage.is_empty() {
            let platform = self.shared.platform.clone();
            tokio::spawn(async move { store::delete_segments(&platform, garbage).await });
        }
        if released {
            log::info!(shard = self.shard; "handed a journal shard over");
            self.lose(Some(head));
        }
    }

    fn failed(&mut self, error: &objects::Error) {
        log::warn!(shard = self.shard, error:%; "a journal write failed");
        let now = self.shared.clock.now();
        self.next = now + BACKOFF;
        if let Role::Owning(own) = &mut self.role {
            own.failed(now);
        }
    }

    /// The head is not at the expected revision. Only the owner writes under
    /// its epoch, so a head with the own epoch holds an own write whose answer
    /// was lost, and memory has at least what it has. Otherwise the shard is
    /// lost, and everything in memory is void.
    fn conflict(&mut self, current: Option<&Raw>) {
        let now = self.shared.clock.now();
        let Role::Owning(own) = &mut self.role else {
            return;
        };
        let stored = store::parse_head(current).ok();
        let mine = stored
            .as_ref()
            .is_some_and(|(head, _)| head.owner == own.head.owner && head.epoch == own.head.epoch);
        match stored {
            Some((_, revision)) if mine => own.rebase(revision, now),
            Some((head, revision)) => {
                log::warn!(shard = self.shard, epoch = head.epoch; "lost a journal shard");
                self.lose((revision > 0).then_some(head));
            }
            None => self.lose(None),
        }
    }

    fn lose(&mut self, head: Option<journal::Head>) {
        let boot = head.as_ref().and_then(|h| h.owner.as_ref());
        self.rejected = boot.map(|o| Gone {
            boot: o.boot.clone(),
            since: self.shared.clock.now() + TAKE_PAUSE,
        });
        let role = std::mem::replace(&mut self.role, Role::Following(head));
        self.released();
        let Role::Owning(own) = role else {
            return;
        };
        for waiter in own.into_waiters() {
            self.request(waiter, Want::Look);
        }
    }
}
