//! Weighted fair queue across accounts with shedding by priority.

use std::time::Instant;

/// Who an item belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// Account.
    pub account: String,
    /// Weight of the account, above 0.
    pub weight: u32,
    /// Priority of the account; the lowest is shed first.
    pub priority: u8,
}

#[derive(Debug)]
struct Item<T> {
    owner: Owner,
    /// Virtual finish time; the lowest is served first.
    tag: f64,
    number: u64,
    expires: Instant,
    value: T,
}

/// Queue with a virtual clock: an account with twice the weight is served
/// twice as often, however many requests the others queue.
#[derive(Debug)]
pub struct Queue<T> {
    items: Vec<Item<T>>,
    virtual_time: f64,
    /// Finish tag of each account's last item, sorted by account.
    last: Vec<(String, f64)>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            virtual_time: 0.0,
            last: Vec::new(),
            next: 0,
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

    /// Queues `value`. When that makes more than `limit` items, one is shed and
    /// returned: of the lowest priority, of the account that has the most items
    /// for its weight, the newest.
    pub fn push(&mut self, owner: Owner, expires: Instant, limit: usize, value: T) -> Option<T> {
        let tag = self.tag(&owner);
        let number = self.next;
        self.next += 1;
        self.items.push(Item {
            owner,
            tag,
            number,
            expires,
            value,
        });
        if self.items.len() <= limit {
            return None;
        }
        let victim = self.victim()?;
        Some(self.items.swap_remove(victim).value)
    }

    /// Takes the first item in fair order for which `accept` returns a result.
    pub fn pop_where<R>(&mut self, mut accept: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_unstable_by(|a, b| {
            let (a, b) = (&self.items[*a], &self.items[*b]);
            a.tag.total_cmp(&b.tag).then(a.number.cmp(&b.number))
        });
        for index in order {
            if let Some(result) = accept(&self.items[index].value) {
                let item = self.items.swap_remove(index);
                self.virtual_time = self.virtual_time.max(item.tag);
                return Some((item.value, result));
            }
        }
        None
    }

    /// Takes the items whose time is over, or that `gone` says nobody waits for.
    pub fn expire(&mut self, now: Instant, gone: impl Fn(&T) -> bool) -> Vec<T> {
        let over = |i: &mut Item<T>| i.expires <= now || gone(&i.value);
        let expired = self.items.extract_if(.., over).map(|i| i.value).collect();
        let virtual_time = self.virtual_time;
        self.last.retain(|(_, tag)| *tag > virtual_time);
        expired
    }

    fn tag(&mut self, owner: &Owner) -> f64 {
        let found = self
            .last
            .binary_search_by(|(account, _)| account.as_str().cmp(&owner.account));
        let before = found.map_or(0.0, |i| self.last[i].1);
        let tag = before.max(self.virtual_time) + 1.0 / f64::from(owner.weight.max(1));
        match found {
            Ok(i) => self.last[i].1 = tag,
            Err(i) => self.last.insert(i, (owner.account.clone(), tag)),
        }
        tag
    }

    fn victim(&self) -> Option<usize> {
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
            order.then(a.number.cmp(&b.number))
        });
        worst.map(|(index, _)| index)
    }
}
