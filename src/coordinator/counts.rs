//! Sums the outcome counts of entries by minute. Performs no I/O.

use crate::control::pb;
use crate::resource::burn::{Burn, Count, MAX_MINUTES};

/// Totals in the last reply of an entry.
#[derive(Clone, Debug)]
struct Baseline {
    vm: String,
    boot: String,
    counts: Vec<pb::Count>,
}

/// Outcomes of one minute.
#[derive(Clone, Debug, Default)]
pub struct Minute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Outcomes that this coordinator collected, sorted by service and account.
    pub collected: Vec<Count>,
    /// Outcomes that a previous coordinator wrote for this minute.
    pub base: Vec<Count>,
    /// Revision of the stored object; 0 before the first write.
    pub revision: u64,
    /// Whether some outcomes are not written yet.
    pub dirty: bool,
}

impl Minute {
    /// Content of the `Burn` object of this minute.
    #[must_use]
    pub fn to_burn(&self, data_center: &str, epoch: u64) -> Burn {
        let mut counts = self.base.clone();
        self.collected
            .iter()
            .for_each(|c| add_count(&mut counts, c));
        Burn {
            data_center: data_center.into(),
            epoch,
            minute: self.minute,
            counts,
        }
    }

    /// Resolves a write conflict with the stored object `current`. Its counts are
    /// taken over, unless it has epoch `epoch`: then it is an earlier write of this
    /// coordinator whose reply was lost.
    pub fn resolve_conflict(&mut self, current: &Burn, revision: u64, epoch: u64) {
        if current.epoch != epoch {
            self.base.clone_from(&current.counts);
        }
        self.revision = revision;
    }
}

/// Outcomes since this process became the coordinator.
#[derive(Clone, Debug, Default)]
pub struct Accumulator {
    /// Entries that ran at the takeover. The predecessor has counted their totals up
    /// to then, so their first reply only sets the baseline.
    initial_entries: Vec<String>,
    baselines: Vec<Baseline>,
    minutes: Vec<Minute>,
}

impl Accumulator {
    /// Accumulator of a coordinator that took over while `initial_entries` ran.
    #[must_use]
    pub fn new(initial_entries: Vec<String>) -> Self {
        Self {
            initial_entries,
            ..Self::default()
        }
    }

    /// Adds the outcomes that `vm` counted since its last reply to `minute`.
    pub fn add_reply(&mut self, vm: &str, reply: &pb::CountsReply, minute: u64) {
        let index = self.baselines.iter().position(|b| b.vm == vm);
        let baseline = Baseline {
            vm: vm.into(),
            boot: reply.boot.clone(),
            counts: reply.counts.clone(),
        };
        let previous = index.map(|i| self.baselines.swap_remove(i));
        self.baselines.push(baseline);
        let previous = match previous {
            Some(e) if e.boot == reply.boot => e.counts,
            None if self.initial_entries.iter().any(|k| k == vm) => return,
            // The totals of a new or restarted entry start at zero.
            Some(_) | None => Vec::new(),
        };
        for count in &reply.counts {
            self.record(&increment(&previous, count), minute);
        }
    }

    /// Minutes with outcomes that are not written yet.
    pub fn dirty_minutes(&mut self) -> impl Iterator<Item = &mut Minute> {
        self.minutes.iter_mut().filter(|m| m.dirty)
    }

    /// Drops written minutes other than `current`, and the oldest ones above
    /// [`MAX_MINUTES`]: unwritten minutes accumulate while the platform is unreachable.
    pub fn trim(&mut self, current: u64) {
        self.minutes.retain(|m| m.dirty || m.minute == current);
        let excess = self.minutes.len().saturating_sub(MAX_MINUTES);
        self.minutes.drain(..excess);
    }

    fn record(&mut self, count: &Count, minute: u64) {
        if is_zero(count) {
            return;
        }
        let index = self.minutes.iter().position(|m| m.minute == minute);
        let i = index.unwrap_or_else(|| {
            let new = Minute {
                minute,
                ..Minute::default()
            };
            self.minutes.push(new);
            self.minutes.len() - 1
        });
        add_count(&mut self.minutes[i].collected, count);
        self.minutes[i].dirty = true;
    }
}

fn increment(previous: &[pb::Count], now: &pb::Count) -> Count {
    let zero = pb::Count::default();
    let before = previous
        .iter()
        .find(|c| c.service == now.service && c.account == now.account)
        .unwrap_or(&zero);
    Count {
        service: now.service.clone(),
        account: now.account.clone(),
        good: now.good.saturating_sub(before.good),
        late: now.late.saturating_sub(before.late),
        refused: now.refused.saturating_sub(before.refused),
        failed: now.failed.saturating_sub(before.failed),
        unknown: now.unknown.saturating_sub(before.unknown),
    }
}

fn is_zero(count: &Count) -> bool {
    count.good + count.late + count.refused + count.failed + count.unknown == 0
}

fn add_count(counts: &mut Vec<Count>, more: &Count) {
    let key = (more.service.as_str(), more.account.as_str());
    match counts.binary_search_by(|c| (c.service.as_str(), c.account.as_str()).cmp(&key)) {
        Ok(i) => {
            let sum = &mut counts[i];
            sum.good += more.good;
            sum.late += more.late;
            sum.refused += more.refused;
            sum.failed += more.failed;
            sum.unknown += more.unknown;
        }
        Err(i) => counts.insert(i, more.clone()),
    }
}
