//! When a topic is watched next, and what the answer confirms.

use std::pin::pin;
use std::time::Duration;

use tokio::time;

use crate::clock::{Clock, Moment};
use crate::fleet::catalog::LISTED_AGE;
use crate::node::follow::Follower;
use crate::platform::store::{Changes, Client, Error};

/// When the next watch is sent, and how long the store may take for its answer.
struct Schedule {
    /// Delay before the call.
    delay: Duration,
    /// Time for which the store waits for a change.
    wait: Duration,
    /// Time beyond that after which the answer counts as lost.
    grace: Duration,
}

/// Answer to a watch.
pub(super) struct Watched {
    /// Changes since the last answer.
    pub changes: Changes,
    /// Moment at which this node has every change with the answer.
    pub confirmed: Moment,
    /// Longest time for which the store may have had the changes.
    pub age: Duration,
}

impl<C: Clock> Follower<C> {
    /// When to send the next watch. Its answer confirms the topic no later than an interval of the
    /// budget after the last confirmation, though changes have come meanwhile.
    fn schedule(&self) -> Schedule {
        let (interval, grace) = (self.budget.watch_interval(), self.budget.answer_grace());
        let (delay, wait) = (Duration::ZERO, Duration::ZERO);
        if self.is_overdue {
            return Schedule { delay, wait, grace };
        }
        let now = Moment::of(&self.clock);
        let age = self.contact.topic_age(self.topic, now);
        let left = interval.saturating_sub(age.unwrap_or_default());
        if left.is_zero() {
            // What this node has missed may be large.
            let grace = interval + grace;
            return Schedule { delay, wait, grace };
        }
        let delay = if self.has_changed {
            left.min(self.budget.batch_delay(self.topic))
        } else {
            delay
        };
        let wait = left.saturating_sub(delay);
        Schedule { delay, wait, grace }
    }

    /// Watches the topic once from `revision`.
    pub(super) async fn watch(
        &mut self,
        client: &mut Client,
        revision: u64,
    ) -> Result<Watched, Error> {
        let Schedule { delay, wait, grace } = self.schedule();
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let asked = Moment::of(&self.clock);
        let ages = [
            self.contact.topic_age(self.topic, asked),
            self.answered.map(|at| asked.since(at)),
        ];
        let unconfirmed = ages.into_iter().flatten().min();
        let mut call = pin!(client.watch(self.topic, revision, wait, grace));
        // The store has not answered before the last moment but one at which this node ran in time
        // and nothing was arriving. A node that was suspended reads answers that are as old as the
        // suspension.
        let tick = self.budget.poll_gain();
        let arrivals = self.contact.arrivals();
        let (mut unanswered, mut last, mut is_known) = (asked, asked, true);
        let changes = loop {
            tokio::select! {
                changes = &mut call => break changes?,
                () = time::sleep(tick) => {}
            }
            let now = Moment::of(&self.clock);
            is_known &= now.since(last) < tick * 2 && !arrivals.is_open();
            if is_known {
                (unanswered, last) = (last, now);
            }
        };
        let now = Moment::of(&self.clock);
        let ran_in_time = is_known && now.since(last) < tick * 2;
        let age = if !ran_in_time {
            now.since(unanswered)
        } else if now.since(asked) < tick {
            // The changes may have been there before the call.
            unconfirmed.unwrap_or(LISTED_AGE) + now.since(asked)
        } else {
            Duration::ZERO
        };
        self.answered = Some(if ran_in_time { now } else { unanswered });
        self.contact.record(now);
        let confirmed = if changes.events.is_empty() {
            asked.after(wait.min(now.since(asked)))
        } else {
            unanswered
        };
        Ok(Watched {
            changes,
            confirmed,
            age,
        })
    }
}
