//! Slots of an engine's batch and the queue in front of them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Past loads kept, when nobody reads the load.
const MAX_HISTORY: usize = 10_000;

/// Requests waiting and running at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests in a slot.
    pub running: usize,
}

/// Slots with a queue ordered by priority, lowest number first.
#[derive(Debug)]
pub struct Queue {
    slots: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    next: u64,
    waiting: Vec<Waiter>,
    /// Past loads, oldest first, for reports that lag.
    history: VecDeque<(Instant, Load)>,
}

#[derive(Debug)]
struct Waiter {
    order: (i64, u64),
    ready: oneshot::Sender<Slot>,
}

/// A taken slot; dropping it passes it on.
#[derive(Debug)]
pub struct Slot {
    queue: Arc<Queue>,
}

impl Queue {
    /// Queue in front of `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot.
    pub async fn enter(self: &Arc<Self>, priority: i64) -> Option<Slot> {
        let waiting = {
            let mut state = self.state.lock();
            if state.running < self.slots {
                state.running += 1;
                state.record();
                None
            } else {
                let (ready, slot) = oneshot::channel();
                let order = (priority, state.next);
                state.next += 1;
                state.waiting.push(Waiter { order, ready });
                state.record();
                Some(slot)
            }
        };
        match waiting {
            Some(slot) => slot.await.ok(),
            None => Some(Slot {
                queue: self.clone(),
            }),
        }
    }

    /// Load now.
    pub fn load(&self) -> Load {
        self.state.lock().load()
    }

    /// Load as it was `lag` ago.
    pub fn load_before(&self, lag: Duration) -> Load {
        let mut state = self.state.lock();
        let Some(until) = Instant::now().checked_sub(lag) else {
            return Load::default();
        };
        while state.history.get(1).is_some_and(|(at, _)| *at <= until) {
            state.history.pop_front();
        }
        let oldest = state.history.front();
        oldest
            .filter(|(at, _)| *at <= until)
            .map_or_else(Load::default, |(_, load)| *load)
    }
}

impl State {
    fn load(&self) -> Load {
        let waiting = self.waiting.iter().filter(|w| !w.ready.is_closed()).count();
        Load {
            waiting,
            running: self.running,
        }
    }

    fn record(&mut self) {
        let load = self.load();
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), load));
    }

    /// Frees a slot, or returns the waiter that gets it.
    fn release(&mut self) -> Option<Waiter> {
        self.waiting.retain(|w| !w.ready.is_closed());
        let first = (0..self.waiting.len()).min_by_key(|i| self.waiting[*i].order);
        let waiter = first.map(|i| self.waiting.remove(i));
        if waiter.is_none() {
            self.running -= 1;
        }
        self.record();
        waiter
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let waiter = self.queue.state.lock().release();
        if let Some(waiter) = waiter {
            let slot = Slot {
                queue: self.queue.clone(),
            };
            // A waiter that just left drops the slot, which passes it on again.
            drop(waiter.ready.send(slot));
        }
    }
}
