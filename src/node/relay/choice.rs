//! Decides which hosts are relays and whom a node follows.
//!
//! Load pattern: hundreds of nodes start at the same moment after a loss of power, behind
//! links that carry only a few copies of a large configuration per second. If each node
//! listed everything at the store, the lists would time out and be repeated, and no node
//! would get one. Therefore one host of each region lists, the other relays follow it, and
//! all other nodes follow the relays. The same tree carries later changes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::fleet::catalog::Catalog;
use crate::fleet::{Phase, Target};
use crate::rendezvous;

/// Minimum number of relays per region.
const MIN_RELAYS: usize = 2;
/// Maximum number of relays per region. The first one sends a complete catalog to all
/// others, one after the other over its link.
const MAX_RELAYS: usize = 6;
/// Hosts per relay.
const HOSTS_PER_RELAY: usize = 4;

/// Addresses of a region's relays, in an order that is the same on all nodes.
///
/// `data_centers` are the data centres of the region, sorted; `port` is the port of all
/// hosts. Only hosts of ready targets with an engine can be relays.
#[must_use]
pub fn relays(catalog: &Catalog, data_centers: &[String], port: u16) -> Vec<SocketAddr> {
    let has_host = |t: &Target| {
        let Some(config) = &catalog.config else {
            return t.has_engine;
        };
        let service = config.service(&t.service);
        t.has_engine && service.is_some_and(|s| s.engine.is_some())
    };
    let eligible = catalog.targets.iter().map(|t| &t.value).filter(|t| {
        t.phase == Phase::Ready && has_host(t) && data_centers.binary_search(&t.data_center).is_ok()
    });
    let mut hosts: Vec<SocketAddr> = eligible
        .map(|t| SocketAddr::new(t.address.ip(), port))
        .collect();
    // Part of the protocol: all nodes must rank with the same key.
    let rank = |a: &SocketAddr| rendezvous::weight(b"scout", &a.ip().to_string());
    hosts.sort_by_key(|a| std::cmp::Reverse(rank(a)));
    hosts.dedup();
    let count = hosts.len() / HOSTS_PER_RELAY;
    hosts.truncate(count.clamp(MIN_RELAYS, MAX_RELAYS));
    hosts
}

/// Relays that the node `own` may follow, in the order in which it tries them. Empty for the
/// first relay, which follows the store.
///
/// A relay follows only those that rank before it, so that relays never follow each other in
/// a circle. Other nodes each have an order of their own, which spreads the load.
#[must_use]
pub fn upstreams(relays: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    if let Some(rank) = relays.iter().position(|r| *r == own) {
        return relays[..rank].to_vec();
    }
    let mut order = relays.to_vec();
    let key = own.ip().to_string();
    order.sort_by_key(|r| rendezvous::weight(key.as_bytes(), &r.ip().to_string()));
    order
}

/// `relays` in the same order, with those in `failed` after all others, the one that failed first
/// before those that failed later.
///
/// ```
/// use corianderramp::clock::{Manual, Moment};
/// use corianderramp::node::relay::choice;
///
/// let relays = ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
/// let failed = [(relays[0], Moment::of(&Manual::default()))];
/// assert_eq!(choice::avoiding(&relays, &failed), [relays[1], relays[0]]);
/// ```
#[must_use]
pub fn avoiding(relays: &[SocketAddr], failed: &[(SocketAddr, Moment)]) -> Vec<SocketAddr> {
    let mut order = relays.to_vec();
    order.sort_by_key(|relay| failed.iter().position(|(f, _)| f == relay));
    order
}

/// Time without contact to a relay after which the node `own` follows the store itself.
///
/// The first relay that loses those before it turns to the store at once. Each later one
/// waits longer, and all others wait up to half of `limit`, the time within which a change
/// must be in force; `draw`, a uniform random number in 0..1, spreads them.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::node::relay::choice;
///
/// let relays = ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
/// let limit = Duration::from_secs(4);
/// assert_eq!(choice::patience(&relays, relays[1], limit, 0.5), Duration::ZERO);
/// let other = "10.0.0.9:80".parse().unwrap();
/// assert_eq!(choice::patience(&relays, other, limit, 0.0), Duration::from_secs(1));
/// ```
#[must_use]
pub fn patience(relays: &[SocketAddr], own: SocketAddr, limit: Duration, draw: f64) -> Duration {
    let quarter = limit / 4;
    match relays.iter().position(|r| *r == own) {
        Some(0 | 1) => Duration::ZERO,
        Some(rank) => {
            let steps = u32::try_from(rank - 1).unwrap_or(u32::MAX);
            let count = u32::try_from(relays.len()).unwrap_or(u32::MAX);
            quarter * steps / count.max(1)
        }
        None => quarter + quarter.mul_f64(draw),
    }
}

/// Time that a node with `patience` leaves the relays to list the catalog and to pass it on, once
/// the store answers again after an outage; `limit` as for [`patience`].
///
/// Load pattern: the store answers nobody for seconds, so that all nodes turn to it themselves, and
/// a large configuration changed meanwhile. If each node listed it at the return, the lists would
/// fill the links between the regions, time out and be repeated, those of the relays too.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::node::relay::choice;
///
/// let limit = Duration::from_secs(4);
/// assert_eq!(choice::precedence(Duration::ZERO, limit), Duration::ZERO);
/// assert_eq!(choice::precedence(limit / 2, limit), Duration::from_secs(3));
/// ```
#[must_use]
pub fn precedence(patience: Duration, limit: Duration) -> Duration {
    if patience.is_zero() {
        return Duration::ZERO;
    }
    limit / 4 + patience
}
