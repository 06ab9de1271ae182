//! Data centres that operators have evacuated: no request is sent to a target there.
//!
//! Load pattern: an operator evacuates a data centre in the seconds that the store loses when it
//! comes back from a copy, and writes again what was lost within about two seconds. Until then,
//! the evacuation stays in force. What the copy has is in force at once, since it is in the store.

use serde::{Deserialize, Serialize};

use crate::fleet::catalog::Catalog;
use crate::fleet::revision;

/// Evacuation of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Name of the data centre.
    pub name: String,
    /// Composed revision of the last change of the object.
    pub revision: u64,
}

impl Catalog {
    /// Names of the evacuated data centres, sorted.
    ///
    /// ```
    /// use corianderramp::fleet::catalog::Catalog;
    /// use corianderramp::fleet::catalog::evacuations::Evacuation;
    ///
    /// let mut catalog = Catalog::default();
    /// let name = "a".to_owned();
    /// catalog.replace_evacuations(7, vec![Evacuation { name, revision: 5 }]);
    /// assert_eq!(catalog.evacuated(), ["a"]);
    /// ```
    #[must_use]
    pub fn evacuated(&self) -> Vec<String> {
        self.evacuations.iter().map(|e| e.name.clone()).collect()
    }

    /// Replaces the evacuations with the complete list of `revision`, unless that is older than
    /// [`Self::evacuations_revision`]; returns whether the list or its revision changed.
    ///
    /// Evacuations of an earlier era that the list lacks stay until
    /// [`Self::drop_unconfirmed_evacuations`].
    pub fn replace_evacuations(&mut self, revision: u64, mut list: Vec<Evacuation>) -> bool {
        if revision < self.evacuations_revision {
            return false;
        }
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list.dedup_by(|a, b| a.name == b.name);
        let kept = self.evacuations.iter().filter(|e| {
            revision::era(e.revision) < revision::era(revision)
                && list.binary_search_by(|l| l.name.cmp(&e.name)).is_err()
        });
        let kept: Vec<_> = kept.cloned().collect();
        list.extend(kept);
        list.sort_by(|a, b| a.name.cmp(&b.name));
        let is_new = revision > self.evacuations_revision || list != self.evacuations;
        self.evacuations_revision = revision;
        self.evacuations = list;
        is_new
    }

    /// Applies all changes up to `revision` in order, each an object and whether it was removed;
    /// returns whether they were new. Changes that are known already may come again: only the
    /// last one of each object counts.
    ///
    /// Ignores changes of another era, and any before the first list.
    pub fn change_evacuations(&mut self, revision: u64, changes: Vec<(Evacuation, bool)>) -> bool {
        let known = self.evacuations_revision;
        if known == 0 || revision <= known || revision::era(revision) != revision::era(known) {
            return false;
        }
        for (evacuation, is_removed) in changes {
            let evacuations = &mut self.evacuations;
            let found = evacuations.binary_search_by(|e| e.name.cmp(&evacuation.name));
            match (found, is_removed) {
                (Ok(i), true) => {
                    evacuations.remove(i);
                }
                (Ok(i), false) => evacuations[i] = evacuation,
                (Err(i), false) => evacuations.insert(i, evacuation),
                (Err(_), true) => {}
            }
        }
        self.evacuations_revision = revision;
        true
    }

    /// Evacuations that the store has in its current era, as far as known.
    #[must_use]
    pub fn confirmed_evacuations(&self) -> Vec<&Evacuation> {
        let current = revision::era(self.evacuations_revision);
        let evacuations = self.evacuations.iter();
        evacuations
            .filter(|e| revision::era(e.revision) >= current)
            .collect()
    }

    /// Whether there are evacuations that the copy lacked from which the store came back.
    #[must_use]
    pub fn has_unconfirmed_evacuations(&self) -> bool {
        self.confirmed_evacuations().len() < self.evacuations.len()
    }

    /// Removes the evacuations that were not written again since the store came back from a copy;
    /// returns whether there were any.
    pub fn drop_unconfirmed_evacuations(&mut self) -> bool {
        let current = revision::era(self.evacuations_revision);
        let before = self.evacuations.len();
        self.evacuations
            .retain(|e| revision::era(e.revision) >= current);
        self.evacuations.len() < before
    }
}
