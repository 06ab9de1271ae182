//! Where chunks come from and when a target switches to new weights.
//!
//! The origin sends each chunk once. For every chunk one host in each region is its
//! home: the home in the chunk's own region fetches it from the origin, the homes of the
//! other regions from there, and all others from the home in their region. So links
//! between regions carry each chunk once in each direction, and every host uploads about
//! as much as it downloads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time from the naming of a version until the first targets switch: what fetching and
/// staging take on the links of today's sites.
const FIRST_WAVE: Duration = Duration::from_millis(2_800);
/// Time between two waves; most requests that run when a target stops taking new ones
/// have ended by then.
const WAVE_INTERVAL: Duration = Duration::from_millis(1_300);
/// Waves in which the targets of a service switch, so that two thirds of them serve.
const WAVES: u32 = 3;
/// Time before the bound at which the last target must have stopped beginning requests.
const BOUND_MARGIN: Duration = Duration::from_millis(1_200);

/// A host of the same service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Identifies the peer; all hosts sort by it.
    pub name: String,
    /// Region.
    pub region: String,
    /// Where it hands out chunks.
    pub address: SocketAddr,
    /// Whether its target serves the wanted version, so that it has every chunk.
    pub holds: bool,
}

/// Where a chunk can be fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another host.
    Peer(SocketAddr),
    /// The origin of weights.
    Origin,
}

/// Sources of chunk `index` for the host named `me`, best first. `peers` includes `me`.
#[must_use]
pub fn sources(me: &str, peers: &[Peer], index: usize) -> Vec<Source> {
    let mut sorted: Vec<&Peer> = peers.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    let mut regions: Vec<&str> = sorted.iter().map(|p| p.region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    let Some(own) = sorted.iter().find(|p| p.name == me) else {
        return vec![Source::Origin];
    };
    let in_region = |region: &str| -> Vec<&Peer> {
        let same = sorted.iter().filter(|p| p.region == region);
        same.copied().collect()
    };
    let rank = sorted.iter().position(|p| p.name == me).unwrap_or(0);
    let near = in_region(&own.region);
    let mut found = Vec::new();
    let mut add = |peer: &Peer| {
        let source = Source::Peer(peer.address);
        if peer.name != me && !found.contains(&source) {
            found.push(source);
        }
    };
    let holders = |list: &[&Peer]| -> Vec<Peer> {
        let held = list.iter().filter(|p| p.holds && p.name != me);
        held.map(|p| (*p).clone()).collect()
    };
    for peer in rotate(&holders(&near), index + rank).take(2) {
        add(peer);
    }
    let home_region = regions[index % regions.len()];
    let home = |list: &[&Peer]| list.get(index % list.len().max(1)).map(|p| (*p).clone());
    if let Some(home) = home(&near) {
        add(&home);
        if home.name != me {
            // The second in line stands in for a home that is gone.
            if let Some(next) = near.get((index + 1) % near.len()) {
                add(next);
            }
        }
    }
    let far: Vec<&Peer> = sorted
        .iter()
        .filter(|p| p.region != own.region)
        .copied()
        .collect();
    for peer in rotate(&holders(&far), index + rank).take(1) {
        add(peer);
    }
    if home_region != own.region
        && let Some(home) = home(&in_region(home_region))
    {
        add(&home);
    }
    found.push(Source::Origin);
    found
}

fn rotate(peers: &[Peer], by: usize) -> impl Iterator<Item = &Peer> {
    let start = by.checked_rem(peers.len()).unwrap_or(0);
    peers[start..].iter().chain(&peers[..start])
}

/// Part that a host has in the distribution of a chunk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Part {
    /// Fetches it from the origin for all.
    Home,
    /// Fetches it from another region for its own.
    Importer,
    /// Fetches it from a host of its region.
    Receiver,
}

/// Part of the host named `me` in the distribution of chunk `index`.
#[must_use]
pub fn part(me: &str, peers: &[Peer], index: usize) -> Part {
    let Some(own) = peers.iter().find(|p| p.name == me) else {
        return Part::Home;
    };
    let mut regions: Vec<&str> = peers.iter().map(|p| p.region.as_str()).collect();
    regions.sort_unstable();
    regions.dedup();
    let mut near: Vec<&Peer> = peers.iter().filter(|p| p.region == own.region).collect();
    near.sort_by(|a, b| a.name.cmp(&b.name));
    if near[index % near.len()].name != me {
        return Part::Receiver;
    }
    if regions[index % regions.len()] == own.region {
        Part::Home
    } else {
        Part::Importer
    }
}

/// Order in which a host fetches the chunks of one part. The homes bring the chunks in
/// ascending order, about one for each host at a time; within such a group hosts begin
/// at different chunks, so that they spread over the sources.
pub fn order(chunks: &mut [usize], rank: usize, hosts: usize) {
    let hosts = hosts.max(1);
    chunks.sort_by_key(|i| (i / hosts, (i + rank) % hosts));
}

/// Position of `me` among the hosts of the service.
#[must_use]
pub fn rank(me: &str, peers: &[Peer]) -> usize {
    peers.iter().filter(|p| p.name.as_str() < me).count()
}

/// When the host of rank `rank` switches to a version named at `named`.
#[must_use]
pub fn switch_at(named: Instant, rank: usize) -> Instant {
    let wave = u32::try_from(rank).unwrap_or(0) % WAVES;
    named + FIRST_WAVE + WAVE_INTERVAL * wave
}

/// Whether to skip a version that is not in use yet because a newer one, named at
/// `newer`, will be complete before the older one is due. `named` is when the older one
/// was named and `bound` how long after that no request may begin on still older weights.
#[must_use]
pub fn skips(named: Instant, newer: Instant, bound: Duration) -> bool {
    newer + FIRST_WAVE + BOUND_MARGIN <= named + bound
}
