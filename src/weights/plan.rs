//! Assigns the chunks of a rollout to the agents that fetch them for others. Pure
//! functions; every agent computes the same assignments from the same VM list.

use crate::config;
use crate::digest;
use crate::membership;
use crate::rendezvous;

/// Agents of the own data centre that each agent exchanges chunks with. The limit
/// keeps control traffic per agent independent of the size of the fleet; twelve random
/// neighbours connect a data centre of hundreds within two or three hops.
pub const MAX_NEIGHBOURS: usize = 12;
/// Agents per chunk and data centre, after the first-ranked one, that follow the agents
/// ranked before them in order to take over; also the number of agents in a chunk's home
/// data centre that agents elsewhere may fetch it from.
const BACKUPS: usize = 2;

/// Another target of the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the VM.
    pub name: String,
    /// Control address.
    pub address: std::net::SocketAddr,
    /// Whether it is in the own data centre.
    pub local: bool,
}

/// The own agent's responsibility for one chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Whether the own data centre is the chunk's home: the one that fetches it from the
    /// origin.
    pub home: bool,
    /// Own rank among the agents of the own data centre, 0 for the one that
    /// fetches first; `None` for an excluded or unlisted VM.
    pub rank: Option<usize>,
    /// Indices of the peers of the own data centre ranked before the own agent. Filled only
    /// for agents that rank first or as a backup.
    pub predecessors: Vec<usize>,
    /// Indices of the peers in other data centres to fetch the chunk from, its home first.
    /// Filled only for agents that rank first or as a backup.
    pub remote_sources: Vec<usize>,
}

/// Peers and assignments at one revision of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// All other targets, sorted by name.
    pub peers: Vec<Peer>,
    /// Duties, in the order of the chunks.
    pub assignments: Vec<Assignment>,
    /// Sorted indices of the peers whose held chunks this agent follows.
    pub followed: Vec<usize>,
    /// Followed peers of the own data centre.
    pub neighbours: Vec<usize>,
}

/// An agent that takes part in the chunk exchange.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Name that all agents rank it by.
    pub name: &'a str,
    /// Group whose agents exchange chunks freely. Each chunk enters a group once.
    pub data_center: &'a str,
    /// Whether it gets no assignments because it is leaving or not ready yet.
    pub excluded: bool,
}

/// Plan of the agent `own` in `data_center` for the targets of `service` in `view`.
#[must_use]
pub fn from_view(
    view: &config::View,
    service: &str,
    own: &str,
    data_center: &str,
    chunks: &[digest::Digest],
) -> Plan {
    let mut members: Vec<Member> = membership::targets(view, service)
        .map(|vm| Member {
            name: &vm.metadata.name,
            data_center: &vm.spec.data_center,
            excluded: membership::is_leaving(view, vm),
        })
        .collect();
    // The VM list may be out of date. If it has no target in the own data centre, this
    // agent must fetch from outside itself.
    if !members.iter().any(|m| m.data_center == data_center) {
        members.push(Member {
            name: own,
            data_center,
            excluded: false,
        });
    }
    let peers: Vec<Peer> = membership::targets(view, service)
        .filter(|vm| vm.metadata.name != own)
        .map(|vm| Peer {
            name: vm.metadata.name.clone(),
            address: vm.spec.control,
            local: vm.spec.data_center == data_center,
        })
        .collect();
    from_members(&members, peers, own, data_center, chunks)
}

/// Plan of the agent `own` in `data_center` among `members`. `peers` are the others,
/// sorted by name.
#[must_use]
pub fn from_members(
    members: &[Member],
    peers: Vec<Peer>,
    own: &str,
    data_center: &str,
    chunks: &[digest::Digest],
) -> Plan {
    let mut data_centers: Vec<&str> = members.iter().map(|m| m.data_center).collect();
    data_centers.sort_unstable();
    data_centers.dedup();
    let to_assignment =
        |chunk: &digest::Digest| assign(chunk, members, &data_centers, &peers, own, data_center);
    let assignments: Vec<Assignment> = chunks.iter().map(to_assignment).collect();
    let followed = followed(&peers, &assignments, own);
    let neighbours = followed.iter().copied().filter(|i| peers[*i].local);
    Plan {
        neighbours: neighbours.collect(),
        peers,
        assignments,
        followed,
    }
}

fn assign(
    chunk: &digest::Digest,
    members: &[Member],
    data_centers: &[&str],
    peers: &[Peer],
    own: &str,
    data_center: &str,
) -> Assignment {
    let key = chunk.as_bytes();
    let ranked = |name: &str| {
        let present = members
            .iter()
            .filter(|m| m.data_center == name && !m.excluded);
        rendezvous::rank(key, present.map(|m| m.name))
    };
    let index = |name: &&str| peers.binary_search_by(|p| p.name.as_str().cmp(name)).ok();
    let home = rendezvous::first(key, data_centers.iter().copied());
    let local = ranked(data_center);
    let rank = local.iter().position(|name| *name == own);
    let mut assignment = Assignment {
        home: home == Some(data_center),
        rank,
        ..Assignment::default()
    };
    if let Some(rank) = rank.filter(|r| *r <= BACKUPS) {
        assignment.predecessors = local[..rank].iter().filter_map(index).collect();
        let home_first = home
            .into_iter()
            .chain(data_centers.iter().copied().filter(|c| Some(*c) != home));
        for center in home_first.filter(|c| *c != data_center) {
            let sources = if Some(center) == home { BACKUPS } else { 1 };
            let candidates = ranked(center);
            assignment
                .remote_sources
                .extend(candidates.iter().take(sources).filter_map(index));
        }
    }
    assignment
}

/// Sorted indices of a random but stable set of neighbours and of the peers that
/// assignments refer to.
fn followed(peers: &[Peer], assignments: &[Assignment], own: &str) -> Vec<usize> {
    let local = peers.iter().enumerate().filter(|(_, p)| p.local);
    let mut weighted: Vec<(u64, usize)> = local
        .map(|(i, p)| (rendezvous::weight(own.as_bytes(), &p.name), i))
        .collect();
    weighted.sort_unstable();
    let neighbours = weighted.iter().rev().take(MAX_NEIGHBOURS).map(|(_, i)| *i);
    let needed = assignments
        .iter()
        .flat_map(|a| a.predecessors.iter().chain(&a.remote_sources));
    let mut all: Vec<usize> = neighbours.chain(needed.copied()).collect();
    all.sort_unstable();
    all.dedup();
    all
}
