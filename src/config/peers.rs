//! Selects the peers from which newer configuration is pulled.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::config::View;
use crate::rendezvous;
use crate::resource::vm;
use crate::settings::Settings;

/// Maximum number of neighbours: processes of the own data centre from which
/// this process usually pulls. A fixed subset keeps the number of open connections
/// independent of the fleet size. With eight neighbours each, a random graph of
/// thousands of processes is connected.
pub const MAX_NEIGHBOURS: usize = 8;

/// Maximum number of entries of each other data centre from which an entry pulls.
pub const MAX_REMOTE_NEIGHBOURS: usize = 3;

/// One in this many rounds of pulls selects from all processes of the data
/// centre, so that a process whose neighbours are all gone still finds others.
const RANDOM_PEER_INTERVAL: u32 = 8;

/// A process from which configuration is pulled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Control address.
    pub address: SocketAddr,
    /// Whether the connection stays open after the pull.
    pub keep_open: bool,
}

/// Selects up to two peers of the own data centre; on entries the second is an
/// entry of another data centre, if one is known. Peers from the settings count
/// as processes of the own data centre.
pub fn choose(view: &View, settings: &Settings, random: &mut impl Rng) -> Vec<Peer> {
    let local = local_peers(view, settings);
    let remote = remote_peers(view, settings);
    let from_all = random.random_ratio(1, RANDOM_PEER_INTERVAL);
    let mut peers = Vec::new();
    peers.extend(pick(&local, MAX_NEIGHBOURS, from_all, random));
    let second = if settings.role == vm::Role::Entry && !remote.is_empty() {
        pick(&remote, remote.len(), false, random)
    } else {
        pick(&local, MAX_NEIGHBOURS, from_all, random)
    };
    peers.extend(second);
    peers.sort_unstable();
    peers.dedup_by_key(|p| p.address);
    peers
}

/// Selects up to `count` random peers for the first round of pulls after the start.
pub fn first_round(
    view: &View,
    settings: &Settings,
    count: usize,
    random: &mut impl Rng,
) -> Vec<Peer> {
    let mut local = local_peers(view, settings);
    let mut peers = Vec::new();
    while peers.len() < count && !local.is_empty() {
        let address = local.swap_remove(random.random_range(..local.len()));
        peers.push(Peer {
            address,
            keep_open: true,
        });
    }
    peers
}

/// Picks a random peer from the first `neighbours` of `ranked`, or from all of
/// them if `from_all` is set.
fn pick(
    ranked: &[SocketAddr],
    neighbours: usize,
    from_all: bool,
    random: &mut impl Rng,
) -> Option<Peer> {
    if ranked.is_empty() {
        return None;
    }
    let neighbours = ranked.len().min(neighbours);
    let range = if from_all { ranked.len() } else { neighbours };
    let i = random.random_range(..range);
    Some(Peer {
        address: ranked[i],
        keep_open: i < neighbours,
    })
}

/// Processes of the own data centre in rendezvous order for this VM. If the VM
/// list names fewer than [`MAX_NEIGHBOURS`], the peers from the settings follow.
fn local_peers(view: &View, settings: &Settings) -> Vec<SocketAddr> {
    let own = settings.control_address();
    let mut ranked: Vec<(u64, SocketAddr)> = view
        .vms
        .iter()
        .filter(|v| v.spec.data_center == settings.data_center && v.metadata.name != settings.vm)
        .map(|v| {
            let weight = rendezvous::weight(settings.vm.as_bytes(), &v.metadata.name);
            (weight, v.spec.control)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut all: Vec<SocketAddr> = ranked.into_iter().map(|(_, a)| a).collect();
    // The VM list is more reliable than the settings once it names enough processes.
    if all.len() < MAX_NEIGHBOURS {
        let extra = settings.peers.iter().filter(|p| !all.contains(p));
        let extra: Vec<SocketAddr> = extra.copied().collect();
        all.extend(extra);
    }
    all.retain(|a| *a != own);
    all
}

/// The first [`MAX_REMOTE_NEIGHBOURS`] entries of each other data centre, in
/// rendezvous order for this VM.
fn remote_peers(view: &View, settings: &Settings) -> Vec<SocketAddr> {
    let mut ranked: Vec<(&str, u64, SocketAddr)> = view
        .vms
        .iter()
        .filter(|v| v.spec.role == vm::Role::Entry && v.spec.data_center != settings.data_center)
        .map(|v| {
            let weight = rendezvous::weight(settings.vm.as_bytes(), &v.metadata.name);
            (v.spec.data_center.as_str(), weight, v.spec.control)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let first_of_each = ranked.chunk_by(|a, b| a.0 == b.0);
    first_of_each
        .flat_map(|c| c.iter().take(MAX_REMOTE_NEIGHBOURS).map(|(_, _, a)| *a))
        .collect()
}
