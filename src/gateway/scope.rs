//! Finds the data centres that may serve a request.

use std::time::Instant;

use parking_lot::Mutex;

use crate::clock::Clock;
use crate::fleet::catalog::Topic;
use crate::gateway::Gateway;
use crate::gateway::attempt::PlacementError;
use crate::gateway::call::{Call, Trace};
use crate::place::homes::Owner;
use crate::place::pool::{Requirements, TargetKey};
use crate::place::scope::Scope;

impl<C: Clock> Gateway<C> {
    /// Returns the data centres that may serve a request now.
    pub(super) fn scope(&self, call: &Call) -> Scope {
        Scope::new(self.permitted(call), self.evacuated())
    }

    /// Data centres that the homes of a request permit now; `None` if they permit all.
    fn permitted(&self, call: &Call) -> Option<Vec<String>> {
        let catalog = self.catalog.snapshot();
        let newest = catalog.config.as_deref().unwrap_or(&call.config);
        let owner = Owner {
            config: &call.config,
            route: call.route(),
            account: call.account.as_deref(),
        };
        owner.data_centers(newest, &self.centers)
    }

    /// Names of the data centres that get no request now.
    fn evacuated(&self) -> Vec<String> {
        self.catalog.snapshot().evacuated()
    }

    /// Whether the target with `key` may get the request now. The scope may have changed while the
    /// request waited for a slot or a connection.
    pub(super) fn is_in_scope(&self, key: TargetKey, call: &Call) -> bool {
        let scope = self.scope(call);
        let pool = self.pool.lock();
        // The data centre of a target that is no longer registered is unknown.
        pool.get(key)
            .map_or(scope == Scope::ANY, |e| scope.allows(&e.target.data_center))
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

    /// Returns why a request that found no target has none, if evacuations or its homes are the
    /// reason.
    pub(super) fn scope_error(
        &self,
        needs: &Requirements<'_>,
        trace: &Mutex<Trace>,
        now: Instant,
    ) -> Option<PlacementError> {
        if self.is_evacuated(needs, now) {
            return Some(PlacementError::Evacuated);
        }
        if self.pool.lock().lacks_home(needs) {
            trace.lock().permitted = needs.scope.permitted().map(|p| p.join(","));
            return Some(PlacementError::NoHome);
        }
        None
    }

    /// Whether this gateway knows which data centres are evacuated. It sends nothing before.
    pub(super) fn knows_evacuations(&self) -> bool {
        !self.store_contact.follows(Topic::Evacuations)
            || self.catalog.snapshot().evacuations_revision > 0
    }
}
