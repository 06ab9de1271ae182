//! When a topic is watched next, and what the answer confirms.

use std::pin::pin;
use std::time::Duration;

use tokio::time;

use crate::clock::{Clock, Moment};
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

    /// Watches the topic once from `revision`. Returns the answer and a moment at which this node
    /// has every change with it.
    pub(super) async fn watch(
        &self,
        client: &mut Client,
        revision: u64,
    ) -> Result<(Changes, Moment), Error> {
        let Schedule { delay, wait, grace } = self.schedule();
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let asked = Moment::of(&self.clock);
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
        self.contact.record(now);
        let confirmed = if changes.events.is_empty() {
            asked.after(wait.min(now.since(asked)))
        } else {
            unanswered
        };
        Ok((changes, confirmed))
    }
}
