//! Finds the data centres that may serve a request.

use std::time::Instant;

use crate::clock::Clock;
use crate::fleet::catalog::Topic;
use crate::gateway::Gateway;
use crate::gateway::call::Call;
use crate::place::pool::{Requirements, TargetKey};
use crate::place::scope::Scope;

impl<C: Clock> Gateway<C> {
    /// Returns the data centres that may serve a request now.
    pub(super) fn scope(&self, _call: &Call) -> Scope {
        let permitted = None;
        Scope::new(permitted, self.evacuated())
    }

    /// Names of the data centres that get no request now.
    fn evacuated(&self) -> Vec<String> {
        self.catalog.snapshot().evacuated()
    }

    /// Whether the target with `key` may get the request now. An evacuation may have come into
    /// force while the request waited for a slot or a connection.
    pub(super) fn is_in_scope(&self, key: TargetKey, call: &Call) -> bool {
        let scope = self.scope(call);
        let pool = self.pool.lock();
        pool.get(key)
            .is_none_or(|e| scope.allows(&e.target.data_center))
    }

    /// Whether evacuations are what leaves a request without a target.
    pub(super) fn is_evacuated(&self, needs: &Requirements<'_>, now: Instant) -> bool {
        if !needs.scope.has_evacuations() {
            return false;
        }
        let scope = needs.scope.without_evacuations();
        let before = Requirements {
            scope: &scope,
            ..*needs
        };
        let pool = self.pool.lock();
        !pool.can_serve(needs, now) && pool.can_serve(&before, now)
    }

    /// Whether this gateway knows which data centres are evacuated. It sends nothing before.
    pub(super) fn knows_evacuations(&self) -> bool {
        !self.store_contact.follows(Topic::Evacuations)
            || self.catalog.snapshot().evacuations_revision > 0
    }
}
