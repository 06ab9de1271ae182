//! Places of the agents and the relay between them.

use super::{ORIGIN, Settings};
use crate::harness::{self, CONTROL_PORT, Place, Subnet, TARGET_PORT};
use crate::{relay, toolkit};

/// Host numbers of relayed addresses are this much higher than the VM's own.
pub(super) const RELAYED: u8 = 120;
/// Most agents of a fleet.
const MAX_AGENTS: u8 = 118;

/// Links between VMs.
#[derive(Clone, Debug)]
pub struct Links {
    /// Rate of the origin's uplink, bytes per second; 0 for no limit.
    pub origin: f64,
    /// Rate of each VM's uplink and downlink, bytes per second; 0 for no limit.
    pub vm: f64,
    /// Rate from each region to each other one, bytes per second; 0 for no limit.
    pub region: f64,
    /// One-way delay between regions, milliseconds.
    pub delay_ms: u64,
}

pub(super) fn places(settings: &Settings) -> Result<Vec<(u8, Place)>, toolkit::Error> {
    let mut places = Vec::new();
    let mut host = 0;
    for (center, count) in settings.data_centers.iter().enumerate() {
        for _ in 0..*count {
            host += 1;
            let place = Place {
                vm: format!("vm-{host:03}"),
                ip: settings.subnet.ip(host),
                data_center: format!("dc-{center}"),
                region: format!("region-{center}"),
            };
            places.push((host, place));
        }
    }
    if host > MAX_AGENTS {
        let reason = format!("{host} agents exceed the limit of {MAX_AGENTS}");
        return Err(toolkit::Error::Unusable { reason });
    }
    Ok(places)
}

/// Relay with a listener for each VM and the origin, which is in the first region.
pub(super) fn relayed(subnet: Subnet, places: &[(u8, Place)], links: &Links) -> relay::Settings {
    let port = |host: u8, port: u16| relay::Port {
        listen: subnet.address(host + RELAYED, port),
        forward: subnet.address(host, port),
    };
    let mut vms = vec![relay::Vm {
        name: "origin".into(),
        region: "region-0".into(),
        address: subnet.ip(ORIGIN),
        up: links.origin,
        down: 0.0,
        ports: vec![port(ORIGIN, TARGET_PORT)],
    }];
    vms.extend(places.iter().map(|(host, place)| relay::Vm {
        name: place.vm.clone(),
        region: place.region.clone(),
        address: place.ip,
        up: links.vm,
        down: links.vm,
        ports: vec![port(*host, CONTROL_PORT)],
    }));
    let mut names: Vec<&str> = places.iter().map(|(_, p)| p.region.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let pairs = names
        .iter()
        .flat_map(|from| names.iter().map(move |to| (*from, *to)));
    let regions = pairs.filter(|(from, to)| from != to);
    relay::Settings {
        control: subnet.address(ORIGIN + RELAYED + 1, harness::OPERATORS_PORT),
        vms,
        regions: regions
            .map(|(from, to)| relay::RegionLink {
                from: from.into(),
                to: to.into(),
                rate: links.region,
                delay_ms: links.delay_ms,
            })
            .collect(),
    }
}
