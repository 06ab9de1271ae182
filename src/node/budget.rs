//! Budget of a change: the time from its acknowledgement by the store until each node that is in
//! contact with the store knows it, over every step between.
//!
//! A confirmation says that a node had, at some moment, every change that the store had
//! acknowledged. It travels with the changes, from the store to the first relay, to the other
//! relays and to all other nodes, and it counts from a moment before the store's answer was sent. A
//! node whose confirmation has reached the age of its lease asks the store itself, whatever its
//! relays do meanwhile. Relays that are stale, suspended, without power or cut off, one way too,
//! therefore all cost the same: the rest of the lease and one call.
//!
//! | step | sixteenths of the limit | limit of 2 s |
//! | --- | ---: | ---: |
//! | lease: watch of the first relay, then the next relay or the store | at most 11 | 1.375 s |
//! | call of the node itself | 3 | 0.375 s |
//! | reserve: requests that are on their way to a target | 2 | 0.25 s |
//!
//! While an answer is arriving at the node or at its relay, part by part, the lease is extended: the
//! store could not send it faster, and copies for all nodes would slow it down.

use std::time::Duration;

use crate::fleet::catalog::Topic;
use crate::node::settings::Bounds;

/// Parts into which the limit is divided.
const PARTS: u32 = 16;

/// Budget of the changes of one topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    limit: Duration,
}

impl Budget {
    /// Budget of the changes of `topic`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::fleet::catalog::Topic;
    /// use corianderramp::node::budget::Budget;
    /// use corianderramp::node::settings::Bounds;
    ///
    /// let bounds = Bounds::new(8_000, 8_000, 4_000);
    /// let budget = Budget::of(Topic::Config, &bounds);
    /// let known = budget.longest_lease() + budget.call_time();
    /// assert_eq!(known, Duration::from_millis(3_500));
    /// assert_eq!(known + budget.reserve(), budget.limit());
    /// ```
    #[must_use]
    pub fn of(topic: Topic, bounds: &Bounds) -> Self {
        let config = bounds.config_limit();
        let limit = match topic {
            Topic::Config => config,
            Topic::Targets => bounds.leaving_limit(),
            // The rest is for the requests that have already begun to wait at a target.
            Topic::Releases => config.max(bounds.weights_limit() * 3 / 4),
            Topic::Evacuations => bounds.evacuation_limit().unwrap_or(config),
        };
        Self { limit }
    }

    /// The whole budget.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    fn parts(&self, count: u32) -> Duration {
        self.limit * count / PARTS
    }

    /// Longest time from one confirmation by the store to the next while it answers.
    #[must_use]
    pub fn watch_interval(&self) -> Duration {
        self.parts(6)
    }

    /// Time after which the answer to a watch that has ended counts as lost.
    #[must_use]
    pub fn answer_grace(&self) -> Duration {
        self.parts(4)
    }

    /// Longest delay before the next watch after changes, so that one call returns those that
    /// follow at once. It never delays a confirmation beyond [`Self::watch_interval`].
    #[must_use]
    pub fn batch_delay(&self, topic: Topic) -> Duration {
        match topic {
            // Targets change one after the other while a service is replaced.
            Topic::Targets => self.limit * 3 / 10,
            Topic::Config | Topic::Releases | Topic::Evacuations => self.limit * 3 / 40,
        }
    }

    /// Age of its confirmation up to which a relay is followed: the shortest lease.
    #[must_use]
    pub fn shortest_lease(&self) -> Duration {
        self.parts(8)
    }

    /// Time over which the ends of the nodes' leases are spread, after the shortest one.
    #[must_use]
    pub fn lease_spread(&self) -> Duration {
        self.parts(3)
    }

    /// Longest lease of a node.
    #[must_use]
    pub fn longest_lease(&self) -> Duration {
        self.shortest_lease() + self.lease_spread()
    }

    /// Time for the call with which a node whose lease has ended catches up at the store.
    #[must_use]
    pub fn call_time(&self) -> Duration {
        self.parts(3)
    }

    /// Time for what a node has already decided by the older state.
    #[must_use]
    pub fn reserve(&self) -> Duration {
        self.parts(2)
    }

    /// Time by which the lease of a host that is no relay is longer: requests are sent by what
    /// gateways know.
    #[must_use]
    pub fn host_extension(&self) -> Duration {
        self.limit
    }

    /// Time by which a lease is extended at most while an answer is arriving.
    #[must_use]
    pub fn receiving_extension(&self) -> Duration {
        self.limit
    }

    /// Time after which a relay answers a poll though it has nothing new.
    #[must_use]
    pub fn poll_hold(&self) -> Duration {
        self.parts(3)
    }

    /// How much younger than the follower's a relay's confirmation must be to be sent at once.
    #[must_use]
    pub fn poll_gain(&self) -> Duration {
        self.parts(1)
    }

    /// Time after which a relay that has not begun its answer to a poll counts as silent. It is
    /// no step of the budget, since the lease goes on meanwhile.
    #[must_use]
    pub fn poll_limit(&self) -> Duration {
        self.poll_hold() + self.parts(3)
    }

    /// Time after which a relay that accepts no connection counts as silent.
    #[must_use]
    pub fn connect_limit(&self) -> Duration {
        self.parts(2)
    }

    /// Time for which a relay that failed is tried after all others.
    #[must_use]
    pub fn avoidance(&self) -> Duration {
        self.limit * 2
    }

    /// Age that counts in `base` as `age` counts in this budget.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::fleet::catalog::Topic;
    /// use corianderramp::node::budget::Budget;
    /// use corianderramp::node::settings::Bounds;
    ///
    /// let bounds = Bounds::new(8_000, 8_000, 3_000);
    /// let [config, releases] = [Topic::Config, Topic::Releases].map(|t| Budget::of(t, &bounds));
    /// let age = Duration::from_secs(4);
    /// assert_eq!(releases.scaled(age, config), Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn scaled(&self, age: Duration, base: Self) -> Duration {
        if self.limit == base.limit || self.limit.is_zero() {
            return age;
        }
        age.mul_f64(base.limit.as_secs_f64() / self.limit.as_secs_f64())
    }
}
