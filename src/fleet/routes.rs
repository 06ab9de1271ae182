//! Matches requests to routes and routes to services.

use xxhash_rust::xxh3;

use crate::fleet::{Config, Route};

/// Returns the route of `host` with the longest prefix of `path`.
///
/// ```
/// use corianderramp::fleet::{Config, routes};
///
/// assert!(routes::find(&Config::default(), "a.example", "/x/").is_none());
/// ```
#[must_use]
pub fn find<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let start = config.routes.partition_point(|r| r.host.as_str() < host);
    let same = config.routes[start..].iter().take_while(|r| r.host == host);
    same.filter(|r| path.starts_with(&r.prefix))
        .max_by_key(|r| r.prefix.len())
}

/// Selects one of a route's services for the request `id`, in proportion to their weights.
///
/// The selection is a hash of `id`, so the same request always gets the same service. If
/// all weights are 0, the first service is selected.
#[must_use]
pub fn select_service<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let Some(point) = xxh3::xxh3_64(id.as_bytes()).checked_rem(total) else {
        return route.split.first().map(|s| s.service.as_str());
    };
    let mut cumulative = 0;
    let selected = route.split.iter().find(|s| {
        cumulative += u64::from(s.weight);
        point < cumulative
    });
    selected.map(|s| s.service.as_str())
}
