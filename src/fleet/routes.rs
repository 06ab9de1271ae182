//! Chooses the route of a request and the service that serves it.

use crate::fleet::{Config, Route};
use xxhash_rust::xxh3;

/// Route of `host` with the longest prefix that begins `path`.
///
/// ```
/// use corianderramp::fleet::{Config, routes};
///
/// assert!(routes::find(&Config::default(), "a.example", "/x/").is_none());
/// ```
#[must_use]
pub fn find<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let begin = config.routes.partition_point(|r| r.host.as_str() < host);
    let same = config.routes[begin..].iter().take_while(|r| r.host == host);
    same.filter(|r| path.starts_with(&r.prefix))
        .max_by_key(|r| r.prefix.len())
}

/// Service for the request `id` among the parts of a route, by weight.
///
/// The id decides, so that a second look at the same request gives the same service.
#[must_use]
pub fn service<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let Some(draw) = xxh3::xxh3_64(id.as_bytes()).checked_rem(total) else {
        return route.split.first().map(|s| s.service.as_str());
    };
    let mut passed = 0;
    let chosen = route.split.iter().find(|s| {
        passed += u64::from(s.weight);
        draw < passed
    });
    chosen.map(|s| s.service.as_str())
}
