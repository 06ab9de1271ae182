//! Chooses the hosts that keep what gateways must know of a target without a host of its own.
//!
//! Load pattern: dozens of gateways learn something about one target at the same moment and all
//! others must know it within a fraction of a second, also those that start later. If each told
//! all others, messages would grow with the square of their number. A few hosts, the same for
//! all gateways, collect it instead and pass it on; each already sends states to all gateways.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use crate::place::pool::Pool;
use crate::rendezvous;

/// Returns the targets whose hosts are witnesses for `subject`, which identifies a target or a
/// death: the one that ranks first of all and the first of the gateway's `data_center`, which is
/// reachable while that is cut off. Empty while no host reports to this gateway.
#[must_use]
pub fn choose(
    pool: &Pool,
    subject: impl Display,
    data_center: &str,
    now: Instant,
) -> Vec<SocketAddr> {
    let key = subject.to_string();
    let rank = |host: IpAddr| rendezvous::weight(key.as_bytes(), &host.to_string());
    let reporting = pool.iter().filter(|(_, e)| e.has_agent(now));
    let mut hosts: Vec<(u64, SocketAddr, bool)> = reporting
        .map(|(_, e)| {
            let address = e.target.address;
            let is_near = e.target.data_center == data_center;
            (rank(address.ip()), address, is_near)
        })
        .collect();
    hosts.sort_unstable_by(|a, b| b.cmp(a));
    let Some((_, first, _)) = hosts.first().copied() else {
        return Vec::new();
    };
    let near = hosts[1..].iter().find(|(_, _, is_near)| *is_near);
    let second = near.or(hosts.get(1)).map(|(_, address, _)| *address);
    std::iter::once(first).chain(second).collect()
}
