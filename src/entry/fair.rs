//! Weighted fair queue of requests by account; the lowest priority is shed
//! first.

use std::time::Instant;

/// Account that a queued item belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// Name of the account.
    pub account: String,
    /// Weight of the account, above 0.
    pub weight: u32,
    /// Priority of the account; the lowest is shed first.
    pub priority: u8,
}

#[derive(Debug)]
struct Item<T> {
    owner: Owner,
    /// Virtual finish time; the item with the lowest is served first.
    finish_tag: f64,
    sequence: u64,
    expires: Instant,
    value: T,
}

/// Weighted fair queue based on virtual time: an account with twice the weight
/// is served twice as often, however many requests other accounts queue.
#[derive(Debug)]
pub struct Queue<T> {
    items: Vec<Item<T>>,
    virtual_time: f64,
    /// Finish tag of each account's newest item, sorted by account.
    last_tags: Vec<(String, f64)>,
    next_sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            virtual_time: 0.0,
            last_tags: Vec::new(),
            next_sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queued values in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.items.iter().map(|i| &i.value)
    }

    /// Queues `value`. If the queue then exceeds `limit` items, one is shed and
    /// returned: among the accounts of the lowest priority, the newest item of
    /// the account with the most items relative to its weight.
    pub fn push(&mut self, owner: Owner, expires: Instant, limit: usize, value: T) -> Option<T> {
        let finish_tag = self.finish_tag(&owner);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.items.push(Item {
            owner,
            finish_tag,
            sequence,
            expires,
            value,
        });
        if self.items.len() <= limit {
            return None;
        }
        let victim = self.select_victim()?;
        Some(self.items.swap_remove(victim).value)
    }

    /// Removes and returns the first item in fair order for which `accept`
    /// returns a result, with the result.
    pub fn pop_where<R>(&mut self, mut accept: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_unstable_by(|a, b| {
            let (a, b) = (&self.items[*a], &self.items[*b]);
            a.finish_tag
                .total_cmp(&b.finish_tag)
                .then(a.sequence.cmp(&b.sequence))
        });
        for index in order {
            if let Some(result) = accept(&self.items[index].value) {
                let item = self.items.swap_remove(index);
                self.virtual_time = self.virtual_time.max(item.finish_tag);
                return Some((item.value, result));
            }
        }
        None
    }

    /// Removes and returns the items that expired and those for which
    /// `abandoned` returns true.
    pub fn expire(&mut self, now: Instant, abandoned: impl Fn(&T) -> bool) -> Vec<T> {
        let over = |i: &mut Item<T>| i.expires <= now || abandoned(&i.value);
        let expired = self.items.extract_if(.., over).map(|i| i.value).collect();
        let virtual_time = self.virtual_time;
        self.last_tags
            .retain(|(_, finish_tag)| *finish_tag > virtual_time);
        expired
    }

    fn finish_tag(&mut self, owner: &Owner) -> f64 {
        let found = self
            .last_tags
            .binary_search_by(|(account, _)| account.as_str().cmp(&owner.account));
        let before = found.map_or(0.0, |i| self.last_tags[i].1);
        let finish_tag = before.max(self.virtual_time) + 1.0 / f64::from(owner.weight.max(1));
        match found {
            Ok(i) => self.last_tags[i].1 = finish_tag,
            Err(i) => self
                .last_tags
                .insert(i, (owner.account.clone(), finish_tag)),
        }
        finish_tag
    }

    fn select_victim(&self) -> Option<usize> {
        let lowest = self.items.iter().map(|i| i.owner.priority).min()?;
        let candidates = || {
            let all = self.items.iter().enumerate();
            all.filter(move |(_, i)| i.owner.priority == lowest)
        };
        let excess = |owner: &Owner| {
            let count = candidates().filter(|(_, i)| i.owner.account == owner.account);
            #[allow(clippy::cast_precision_loss)]
            let count = count.count() as f64;
            count / f64::from(owner.weight.max(1))
        };
        let worst = candidates().max_by(|(_, a), (_, b)| {
            let order = excess(&a.owner).total_cmp(&excess(&b.owner));
            order.then(a.sequence.cmp(&b.sequence))
        });
        worst.map(|(index, _)| index)
    }
}
