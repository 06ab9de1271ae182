//! Choice of the processes that are asked for newer configuration.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::config::View;
use crate::rendezvous;
use crate::resource::vm;
use crate::settings::Settings;

/// Processes of the own data centre that are usually asked. A fixed subset
/// keeps the number of open connections independent of the fleet; with eight
/// neighbours each, a random graph of thousands of processes is connected.
pub const MAX_NEIGHBOURS: usize = 8;

/// Entries of each other data centre that are usually asked.
pub const REMOTE_NEIGHBOURS: usize = 3;

/// Share of pulls that go to any process instead of a neighbour, 1 in this
/// number, so that a process whose neighbours are all gone still finds others.
const ANYWHERE: u32 = 8;

/// A process to ask.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Control address.
    pub address: SocketAddr,
    /// Whether the connection is worth keeping.
    pub keep_open: bool,
}

/// Two peers, of which an entry takes one from another data centre. Peers from
/// the settings count as members of the own data centre.
pub fn choose(view: &View, settings: &Settings, random: &mut impl Rng) -> Vec<Peer> {
    let near = near(view, settings);
    let far = far(view, settings);
    let anywhere = random.random_ratio(1, ANYWHERE);
    let mut peers = Vec::new();
    peers.extend(pick(&near, MAX_NEIGHBOURS, anywhere, random));
    let second = if settings.role == vm::Role::Entry && !far.is_empty() {
        pick(&far, far.len(), false, random)
    } else {
        pick(&near, MAX_NEIGHBOURS, anywhere, random)
    };
    peers.extend(second);
    peers.sort_unstable();
    peers.dedup_by_key(|p| p.address);
    peers
}

/// Up to `count` peers for the first round of a starting process.
pub fn first_round(
    view: &View,
    settings: &Settings,
    count: usize,
    random: &mut impl Rng,
) -> Vec<Peer> {
    let mut near = near(view, settings);
    let mut peers = Vec::new();
    while peers.len() < count && !near.is_empty() {
        let address = near.swap_remove(random.random_range(..near.len()));
        peers.push(Peer {
            address,
            keep_open: true,
        });
    }
    peers
}

fn pick(
    ranked: &[SocketAddr],
    neighbours: usize,
    anywhere: bool,
    random: &mut impl Rng,
) -> Option<Peer> {
    if ranked.is_empty() {
        return None;
    }
    let near = ranked.len().min(neighbours);
    let range = if anywhere { ranked.len() } else { near };
    let i = random.random_range(..range);
    Some(Peer {
        address: ranked[i],
        keep_open: i < near,
    })
}

/// Peers from the settings, then the own data centre's processes in rendezvous
/// order for this VM.
fn near(view: &View, settings: &Settings) -> Vec<SocketAddr> {
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
    // The VM list is the better source once it names the own data centre.
    if all.len() < MAX_NEIGHBOURS {
        let extra = settings.peers.iter().filter(|p| !all.contains(p));
        let extra: Vec<SocketAddr> = extra.copied().collect();
        all.extend(extra);
    }
    all.retain(|a| *a != own);
    all
}

/// A few entries of each other data centre.
fn far(view: &View, settings: &Settings) -> Vec<SocketAddr> {
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
        .flat_map(|c| c.iter().take(REMOTE_NEIGHBOURS).map(|(_, _, a)| *a))
        .collect()
}
