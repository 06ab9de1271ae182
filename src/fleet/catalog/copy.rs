//! What a node keeps of its targets after the store came back from an older copy.
//!
//! Load pattern: targets left, began to leave, restarted or registered in the seconds that the
//! copy lacks. Those that live register again within about two seconds, in any order and under
//! revisions that were given out before.

use crate::fleet::catalog::{Catalog, Entry, Removal, Topic};
use crate::fleet::{Phase, Target, revision};

impl Catalog {
    /// Merges the sorted list of a store that went back to a copy with the known targets. A
    /// registration that is not newer than what was known of a target when it left, or of an
    /// earlier lifetime, is outdated. Targets that the copy lacks stay for now.
    pub(super) fn merge_copy(&mut self, list: Vec<Entry<Target>>) -> Vec<Entry<Target>> {
        self.outdated.clear();
        let mut merged = Vec::new();
        for mut entry in list {
            let is_earlier = self
                .target(&entry.name)
                .is_some_and(|t| entry.value.started < t.started);
            if is_earlier || self.had_left(&entry) {
                self.outdated.push(entry);
                continue;
            }
            self.hold_draining(&mut entry);
            merged.push(entry);
        }
        let lacks = |t: &&Entry<Target>| merged.binary_search_by(|e| e.name.cmp(&t.name)).is_err();
        let lacking: Vec<Entry<Target>> = self.targets.iter().filter(lacks).cloned().collect();
        merged.extend(lacking);
        merged.sort_by(|a, b| a.name.cmp(&b.name));
        merged
    }

    /// Whether `entry` of a copy is a registration before the known removal of its target. One of
    /// the same lifetime that was written after the return may look the same.
    fn had_left(&self, entry: &Entry<Target>) -> bool {
        let found = self
            .removals
            .binary_search_by(|r| r.name.as_str().cmp(&entry.name));
        found.is_ok_and(|i| {
            let Removal { last, started, .. } = self.removals[i];
            let is_earlier_era = revision::era(last) < revision::era(entry.revision);
            is_earlier_era
                && revision::number(entry.revision) <= revision::number(last)
                && entry.value.started <= started
        })
    }

    /// A target that was leaving before the store went back to a copy is still leaving.
    pub(super) fn hold_draining(&self, entry: &mut Entry<Target>) {
        let found = self
            .targets
            .binary_search_by(|t| t.name.as_str().cmp(&entry.name));
        let Ok(i) = found else { return };
        let known = &self.targets[i];
        let is_earlier_era = revision::era(known.revision) < revision::era(entry.revision);
        if known.value.phase == Phase::Draining
            && known.value.started == entry.value.started
            && (is_earlier_era || known.revision == entry.revision)
        {
            entry.value.phase = Phase::Draining;
        }
    }

    /// Whether `revision` is of another era than the known targets.
    pub(super) fn is_other_era(&self, revision: u64) -> bool {
        self.targets_revision > 0 && revision::era(revision) != revision::era(self.targets_revision)
    }

    /// Targets that the store has in its current era, as far as known.
    #[must_use]
    pub fn confirmed_targets(&self) -> Vec<&Entry<Target>> {
        let current = revision::era(self.targets_revision);
        let is_confirmed = |t: &&Entry<Target>| revision::era(t.revision) >= current;
        self.targets.iter().filter(is_confirmed).collect()
    }

    /// Names of the targets of an earlier era that have not registered again.
    #[must_use]
    pub fn unconfirmed_targets(&self) -> Vec<String> {
        let current = revision::era(self.targets_revision);
        let targets = self.targets.iter();
        let unconfirmed = targets.filter(|t| revision::era(t.revision) < current);
        unconfirmed.map(|t| t.name.clone()).collect()
    }

    /// Removes the targets of an earlier era that have not registered again; returns whether
    /// there were any.
    pub fn drop_unconfirmed(&mut self) -> bool {
        let gone = self.unconfirmed_targets();
        for name in &gone {
            if let Ok(i) = self.targets.binary_search_by(|t| t.name.cmp(name)) {
                let target = self.targets.remove(i);
                let revision = self.targets_revision;
                self.record_removal(target.name.clone(), revision, Some(&target));
            }
        }
        !gone.is_empty()
    }

    /// Adopts the outdated registrations that are still in the store: their targets are alive,
    /// or the store would have removed them. Returns whether there were any.
    pub fn adopt_outdated(&mut self) -> bool {
        let outdated = std::mem::take(&mut self.outdated);
        let mut any = false;
        for entry in outdated {
            if let Err(i) = self.targets.binary_search_by(|t| t.name.cmp(&entry.name)) {
                self.removals.retain(|r| r.name != entry.name);
                self.targets.insert(i, entry);
                any = true;
            }
        }
        if any {
            // Followers get the whole list with the next change.
            self.removals_floor = self.targets_revision + 1;
        }
        any
    }

    /// Era of the newest known state of the store.
    #[must_use]
    pub fn era(&self) -> u64 {
        let eras = Topic::ALL.map(|t| revision::era(self.revision(t)));
        eras.into_iter().max().unwrap_or(0)
    }
}
