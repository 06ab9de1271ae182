//! Finds the data centres that may serve a request.

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::call::Call;
use crate::place::homes::Owner;
use crate::place::pool::TargetKey;
use crate::place::scope::Scope;

impl<C: Clock> Gateway<C> {
    /// Returns the data centres that may serve a request now.
    pub(super) fn scope(&self, call: &Call) -> Scope {
        let evacuated = Vec::new();
        Scope::new(self.permitted(call), evacuated)
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

    /// Whether the target with `key` may get the request now. The scope may have changed while the
    /// request waited for a slot or a connection.
    pub(super) fn is_in_scope(&self, key: TargetKey, call: &Call) -> bool {
        let scope = self.scope(call);
        let pool = self.pool.lock();
        // The data centre of a target that is no longer registered is unknown.
        pool.get(key)
            .map_or(scope == Scope::ANY, |e| scope.allows(&e.target.data_center))
    }
}
