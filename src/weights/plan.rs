//! Duties in a rollout: which agent fetches which chunk for the others. Pure
//! functions; every agent computes the same assignments from the same VM list.

use crate::config;
use crate::digest;
use crate::membership;
use crate::rendezvous;

/// Agents of a data centre that each agent exchanges chunks with. The limit
/// keeps control traffic per node independent of the fleet; twelve random
/// neighbours connect a data centre of hundreds within two or three hops.
pub const MAX_NEIGHBOURS: usize = 12;
/// Agents, after the first, that watch the ones ranked before them for a chunk.
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

/// The own agent's part in one chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Whether the own data centre fetches the chunk from the origin.
    pub home: bool,
    /// Own rank among the agents of the own data centre, 0 for the one that
    /// fetches first; `None` for a leaving or unlisted VM.
    pub rank: Option<usize>,
    /// Peers of the own data centre ranked before the own agent, if they are few.
    pub predecessors: Vec<usize>,
    /// Peers in other data centres that may supply the chunk, home first.
    pub remote_sources: Vec<usize>,
}

/// Peers and assignments at one revision of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// All other targets, in the order of their names.
    pub peers: Vec<Peer>,
    /// Duties, in the order of the chunks.
    pub assignments: Vec<Assignment>,
    /// Sorted indices of the peers whose chunks are to be followed.
    pub followed: Vec<usize>,
    /// Those of them that are in the own data centre.
    pub neighbours: Vec<usize>,
}

/// An agent that takes part in an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Name by which all agents rank it.
    pub name: &'a str,
    /// Group inside which chunks travel freely; between groups each travels once.
    pub data_center: &'a str,
    /// Whether it has no assignments because it is leaving or not ready yet.
    pub excluded: bool,
}

/// Computes peers and assignments of the agent `own` in `data_center`.
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
    // The VM list lags: an agent alone in its data centre must act by itself.
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

/// Duties of the agent `own` in `data_center` among `members`. `peers` are the others,
/// sorted by name.
#[must_use]
pub fn from_members(
    members: &[Member],
    peers: Vec<Peer>,
    own: &str,
    data_center: &str,
    chunks: &[digest::Digest],
) -> Plan {
    let mut centers: Vec<&str> = members.iter().map(|m| m.data_center).collect();
    centers.sort_unstable();
    centers.dedup();
    let assignment =
        |chunk: &digest::Digest| assignment(chunk, members, &centers, &peers, own, data_center);
    let assignments: Vec<Assignment> = chunks.iter().map(assignment).collect();
    let followed = followed(&peers, &assignments, own);
    let neighbours = followed.iter().copied().filter(|i| peers[*i].local);
    Plan {
        neighbours: neighbours.collect(),
        peers,
        assignments,
        followed,
    }
}

fn assignment(
    chunk: &digest::Digest,
    members: &[Member],
    centers: &[&str],
    peers: &[Peer],
    own: &str,
    data_center: &str,
) -> Assignment {
    let key = chunk.as_bytes();
    let ranked = |center: &str| {
        let present = members
            .iter()
            .filter(|m| m.data_center == center && !m.excluded);
        rendezvous::rank(key, present.map(|m| m.name))
    };
    let index = |name: &&str| peers.binary_search_by(|p| p.name.as_str().cmp(name)).ok();
    let home = rendezvous::first(key, centers.iter().copied());
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
            .chain(centers.iter().copied().filter(|c| Some(*c) != home));
        for center in home_first.filter(|c| *c != data_center) {
            let sources = if Some(center) == home { BACKUPS } else { 1 };
            let found = ranked(center);
            assignment
                .remote_sources
                .extend(found.iter().take(sources).filter_map(index));
        }
    }
    assignment
}

/// A random but fixed set of neighbours, and the peers that assignments depend on.
fn followed(peers: &[Peer], assignments: &[Assignment], own: &str) -> Vec<usize> {
    let local = peers.iter().enumerate().filter(|(_, p)| p.local);
    let mut weighted: Vec<(u64, usize)> = local
        .map(|(i, p)| (rendezvous::weight(own.as_bytes(), &p.name), i))
        .collect();
    weighted.sort_unstable();
    let neighbours = weighted.iter().rev().take(MAX_NEIGHBOURS).map(|(_, i)| *i);
    let needed = assignments
        .iter()
        .flat_map(|d| d.predecessors.iter().chain(&d.remote_sources));
    let mut all: Vec<usize> = neighbours.chain(needed.copied()).collect();
    all.sort_unstable();
    all.dedup();
    all
}
