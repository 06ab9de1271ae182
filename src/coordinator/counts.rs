//! Adds up the outcomes that entries count into minutes; free of I/O.

use crate::control::pb;
use crate::resource::burn::{Burn, Count, KEPT};

/// Totals of an entry at the last collection.
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
    /// Outcomes that this coordinator collected, by service and account.
    pub collected: Vec<Count>,
    /// Outcomes that an earlier coordinator wrote for this minute.
    pub base: Vec<Count>,
    /// Revision of the object; 0 before it is written.
    pub revision: u64,
    /// Whether there are outcomes that were not written.
    pub dirty: bool,
}

impl Minute {
    /// The object's specification.
    #[must_use]
    pub fn burn(&self, data_center: &str, epoch: u64) -> Burn {
        let mut counts = self.base.clone();
        self.collected.iter().for_each(|c| add(&mut counts, c));
        Burn {
            data_center: data_center.into(),
            epoch,
            minute: self.minute,
            counts,
        }
    }

    /// Takes over the object that is there instead of the expected one. An
    /// object with the own epoch is an own write whose answer was lost.
    pub fn adopt(&mut self, current: &Burn, revision: u64, epoch: u64) {
        if current.epoch != epoch {
            self.base.clone_from(&current.counts);
        }
        self.revision = revision;
    }
}

/// Outcomes since this process became coordinator.
#[derive(Clone, Debug, Default)]
pub struct Accumulator {
    /// Entries at the takeover, whose totals a predecessor has counted so far.
    known: Vec<String>,
    baselines: Vec<Baseline>,
    minutes: Vec<Minute>,
}

impl Accumulator {
    /// Accumulator of a coordinator that took over while `known` entries ran.
    #[must_use]
    pub fn new(known: Vec<String>) -> Self {
        Self {
            known,
            ..Self::default()
        }
    }

    /// Adds what `vm` counted since its last reply.
    pub fn add(&mut self, vm: &str, reply: &pb::CountsReply, minute: u64) {
        let place = self.baselines.iter().position(|b| b.vm == vm);
        let baseline = Baseline {
            vm: vm.into(),
            boot: reply.boot.clone(),
            counts: reply.counts.clone(),
        };
        let earlier = place.map(|i| self.baselines.swap_remove(i));
        self.baselines.push(baseline);
        let earlier = match earlier {
            Some(e) if e.boot == reply.boot => e.counts,
            None if self.known.iter().any(|k| k == vm) => return,
            // The totals of a new or restarted entry begin at zero.
            Some(_) | None => Vec::new(),
        };
        for count in &reply.counts {
            self.record(&increment(&earlier, count), minute);
        }
    }

    /// Minutes with outcomes that were not written.
    pub fn dirty(&mut self) -> impl Iterator<Item = &mut Minute> {
        self.minutes.iter_mut().filter(|m| m.dirty)
    }

    /// Drops written minutes other than `current` and bounds the rest, which
    /// grows while the platform is out of reach.
    pub fn trim(&mut self, current: u64) {
        self.minutes.retain(|m| m.dirty || m.minute == current);
        let excess = self.minutes.len().saturating_sub(KEPT);
        self.minutes.drain(..excess);
    }

    fn record(&mut self, count: &Count, minute: u64) {
        if is_zero(count) {
            return;
        }
        let place = self.minutes.iter().position(|m| m.minute == minute);
        let i = place.unwrap_or_else(|| {
            let new = Minute {
                minute,
                ..Minute::default()
            };
            self.minutes.push(new);
            self.minutes.len() - 1
        });
        add(&mut self.minutes[i].collected, count);
        self.minutes[i].dirty = true;
    }
}

fn increment(earlier: &[pb::Count], now: &pb::Count) -> Count {
    let zero = pb::Count::default();
    let before = earlier
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

fn add(counts: &mut Vec<Count>, more: &Count) {
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
