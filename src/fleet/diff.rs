//! Difference between two configurations.
//!
//! A configuration has hundreds of routes, of which a new version changes few. Sending only
//! these keeps frequent changes cheap on the narrow links between nodes.

use serde::{Deserialize, Serialize};

use crate::fleet::{Config, Route};

/// Host and path prefix, which identify a route.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteId {
    /// Host.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}

/// Changes that turn one configuration into another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// Added and changed routes, sorted by host, then by path prefix.
    pub changed: Vec<Route>,
    /// Removed routes, sorted.
    pub removed: Vec<RouteId>,
    /// The new configuration without its routes.
    pub rest: Config,
}

impl ConfigChange {
    /// Changes that turn `old` into `new`; `None` if they can't be expressed, because routes
    /// are not unique.
    ///
    /// ```
    /// use corianderramp::fleet::Config;
    /// use corianderramp::fleet::diff::ConfigChange;
    ///
    /// let old = Config { version: 1, ..Config::default() };
    /// let new = Config { version: 2, ..Config::default() };
    /// let change = ConfigChange::between(&old, &new).unwrap();
    /// assert_eq!(change.apply(&old), new);
    /// ```
    #[must_use]
    pub fn between(old: &Config, new: &Config) -> Option<Self> {
        let changed = new
            .routes
            .iter()
            .filter(|r| find(&old.routes, r) != Some(r));
        let removed = old.routes.iter().filter(|r| find(&new.routes, r).is_none());
        let rest = Config {
            version: new.version,
            routes: Vec::new(),
            services: new.services.clone(),
            keys: new.keys.clone(),
            accounts: new.accounts.clone(),
            access: new.access,
            limits: new.limits,
            lacks_routes: new.lacks_routes,
            faults: new.faults.clone(),
        };
        let change = Self {
            changed: changed.cloned().collect(),
            removed: removed
                .map(|r| RouteId {
                    host: r.host.clone(),
                    prefix: r.prefix.clone(),
                })
                .collect(),
            rest,
        };
        (change.clone().apply(old) == *new).then_some(change)
    }

    /// The configuration that results from applying the changes to `old`.
    #[must_use]
    pub fn apply(self, old: &Config) -> Config {
        let replaced = |route: &Route| {
            let changed = self.changed.binary_search_by(|r| id(r).cmp(&id(route)));
            let removed = self
                .removed
                .binary_search_by(|r| (r.host.as_str(), r.prefix.as_str()).cmp(&id(route)));
            changed.is_ok() || removed.is_ok()
        };
        let kept = old.routes.iter().filter(|r| !replaced(r)).cloned();
        let mut routes: Vec<Route> = kept.collect();
        routes.extend(self.changed);
        routes.sort_by(|a, b| id(a).cmp(&id(b)));
        Config {
            routes,
            ..self.rest
        }
    }
}

fn id(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// Route of `routes` with the host and path prefix of `route`.
fn find<'a>(routes: &'a [Route], route: &Route) -> Option<&'a Route> {
    let found = routes.binary_search_by(|r| id(r).cmp(&id(route)));
    found.ok().map(|i| &routes[i])
}
