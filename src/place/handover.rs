//! Decides which deaths of targets a gateway must tell to which hosts.
//!
//! Load pattern: all hosts restart while gateways live on, or all gateways are replaced one after
//! the other, and others start meanwhile that saw nothing. What is known must outlive each process
//! as long as one that knows it lives. Any gateway may therefore tell any death that it knows,
//! also those that it heard of; the first one to notice that a host process lacks it does, and the
//! host passes it on to all gateways, so that the others don't tell it again.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::place::death::MAX_PARTS;

/// Maximum number of deaths that a gateway remembers.
const MAX_DEATHS: usize = 256;

/// Maximum number of facts that are known to be kept by one host. Beyond it, hosts are told again
/// what they keep.
const MAX_FACTS: usize = 2_048;

/// Process of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostProcess {
    /// Address of the host's VM.
    pub address: IpAddr,
    /// Random identifier of the process, new at every start.
    pub id: u64,
}

/// Death of a target that a gateway knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Death {
    /// Identifies the death.
    pub id: u64,
    /// When the target died.
    pub at: Instant,
    /// Parts of the requests that broke there, sorted.
    pub parts: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    death: Death,
    /// Parts that proved sound. They are not suspected of this death again, whoever tells it.
    cleared: Vec<u64>,
    /// Whether no host had to be told when the death was last looked at.
    is_settled: bool,
}

impl Known {
    /// Adds parts; returns whether one is new.
    fn add(&mut self, parts: &[u64]) -> bool {
        let before = self.death.parts.len();
        for part in parts {
            if let Err(i) = self.death.parts.binary_search(part)
                && self.death.parts.len() < MAX_PARTS
                && !self.cleared.contains(part)
            {
                self.death.parts.insert(i, *part);
            }
        }
        self.death.parts.len() > before
    }
}

/// Which host processes keep which facts, as far as a gateway knows.
///
/// ```
/// use corianderramp::place::handover::{Holders, HostProcess};
///
/// let address = "10.0.0.1".parse().unwrap();
/// let mut holders = Holders::default();
/// holders.add(HostProcess { address, id: 1 }, 7);
/// assert!(holders.has(address, 7));
/// holders.add(HostProcess { address, id: 2 }, 8);
/// assert!(!holders.has(address, 7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Holders {
    /// Sorted by address.
    hosts: Vec<Holder>,
}

#[derive(Clone, Debug)]
struct Holder {
    process: HostProcess,
    /// Sorted.
    facts: Vec<u64>,
    is_told: bool,
}

impl Holder {
    fn new(process: HostProcess) -> Self {
        Self {
            process,
            facts: Vec::new(),
            is_told: false,
        }
    }
}

impl Holders {
    /// Records the current process of a host; what an earlier one kept is lost. Returns whether
    /// it is new.
    pub fn set_process(&mut self, process: HostProcess) -> bool {
        match self.find(process.address) {
            Ok(i) if self.hosts[i].process == process => false,
            Ok(i) => {
                self.hosts[i] = Holder::new(process);
                true
            }
            Err(i) => {
                self.hosts.insert(i, Holder::new(process));
                true
            }
        }
    }

    /// Records that a host process is told all that it lacks; returns whether it was not before.
    pub fn set_told(&mut self, process: HostProcess) -> bool {
        self.set_process(process);
        let found = self.find(process.address);
        found.is_ok_and(|i| !std::mem::replace(&mut self.hosts[i].is_told, true))
    }

    /// Records that a host process keeps `fact`.
    pub fn add(&mut self, process: HostProcess, fact: u64) {
        self.set_process(process);
        let Ok(i) = self.find(process.address) else {
            return;
        };
        let facts = &mut self.hosts[i].facts;
        if facts.len() == MAX_FACTS {
            facts.clear();
        }
        if let Err(position) = facts.binary_search(&fact) {
            facts.insert(position, fact);
        }
    }

    /// Returns whether the current process of a host keeps `fact`.
    #[must_use]
    pub fn has(&self, host: IpAddr, fact: u64) -> bool {
        let found = self.find(host).ok();
        found.is_some_and(|i| self.hosts[i].facts.binary_search(&fact).is_ok())
    }

    /// Records that no host is known to keep `fact` as it is now.
    pub fn remove(&mut self, fact: u64) {
        for host in &mut self.hosts {
            if let Ok(i) = host.facts.binary_search(&fact) {
                host.facts.remove(i);
            }
        }
    }

    /// Drops the hosts that are not in `hosts`, which is sorted.
    pub fn retain(&mut self, hosts: &[IpAddr]) {
        let is_kept = |h: &Holder| hosts.binary_search(&h.process.address).is_ok();
        self.hosts.retain(is_kept);
    }

    fn find(&self, address: IpAddr) -> Result<usize, usize> {
        self.hosts
            .binary_search_by_key(&address, |h| h.process.address)
    }
}

/// Deaths that a gateway knows and the host processes that keep them.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use corianderramp::place::handover::{Deaths, HostProcess};
///
/// let now = Instant::now();
/// let host = HostProcess { address: "10.0.0.1".parse().unwrap(), id: 1 };
/// let mut deaths = Deaths::default();
/// deaths.add(7, now, &[3]);
/// let hosts = [host.address];
/// let limit = Duration::from_secs(60);
/// assert_eq!(deaths.due(&hosts, limit, now, |_| hosts.to_vec()).len(), 1);
/// deaths.confirm(host, 7, &[3]);
/// assert!(deaths.due(&hosts, limit, now, |_| hosts.to_vec()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Deaths {
    /// In order of arrival.
    known: Vec<Known>,
    holders: Holders,
    /// Hosts that reported when the deaths were last looked at, sorted.
    hosts: Vec<IpAddr>,
}

impl Deaths {
    /// Adds a death, or parts to a known one. The oldest one is dropped when there are too many.
    pub fn add(&mut self, id: u64, at: Instant, parts: &[u64]) {
        let found = self.known.iter().position(|k| k.death.id == id);
        let index = found.unwrap_or_else(|| {
            if self.known.len() == MAX_DEATHS {
                let dropped = self.known.remove(0);
                self.holders.remove(dropped.death.id);
            }
            let parts = Vec::new();
            self.known.push(Known {
                death: Death { id, at, parts },
                cleared: Vec::new(),
                is_settled: false,
            });
            self.known.len() - 1
        });
        if self.known[index].add(parts) {
            self.known[index].is_settled = false;
            self.holders.remove(id);
        }
    }

    /// Records that a host process keeps the death `id` with `parts`.
    pub fn confirm(&mut self, host: HostProcess, id: u64, parts: &[u64]) {
        let Some(known) = self.known.iter().find(|k| k.death.id == id) else {
            return;
        };
        let is_complete = known.death.parts.iter().all(|p| parts.contains(p));
        if !is_complete && parts.len() < MAX_PARTS {
            return;
        }
        self.set_process(host);
        self.holders.add(host, id);
    }

    /// Records the current process of a host; returns whether it is new.
    pub fn set_process(&mut self, process: HostProcess) -> bool {
        let is_new = self.holders.set_process(process);
        if is_new {
            self.unsettle();
        }
        is_new
    }

    /// Records that parts proved sound.
    pub fn clear(&mut self, parts: &[u64]) {
        for known in &mut self.known {
            let cleared = parts
                .iter()
                .filter(|p| known.death.parts.binary_search(p).is_ok());
            known.cleared.extend(cleared);
            known.death.parts.retain(|p| !parts.contains(p));
        }
    }

    /// Those of `parts` that have proved sound since the death `id`.
    #[must_use]
    pub fn cleared(&self, id: u64, parts: &[u64]) -> Vec<u64> {
        let known = self.known.iter().find(|k| k.death.id == id);
        let cleared = known.map_or(&[][..], |k| &k.cleared);
        let both = parts.iter().filter(|p| cleared.contains(p));
        both.copied().collect()
    }

    /// Deaths that hosts must be told, each with these hosts; drops those older than `limit`.
    /// `hosts` are those that report, sorted, and `witnesses` returns those that must keep a
    /// death. While `hosts` and their processes stay the same, a death that all of its witnesses
    /// keep costs nothing.
    pub fn due(
        &mut self,
        hosts: &[IpAddr],
        limit: Duration,
        now: Instant,
        witnesses: impl Fn(u64) -> Vec<IpAddr>,
    ) -> Vec<(Death, Vec<IpAddr>)> {
        if self.hosts != hosts {
            hosts.clone_into(&mut self.hosts);
            self.holders.retain(hosts);
            self.unsettle();
        }
        let holders = &mut self.holders;
        self.known.retain(|k| {
            let is_recent = now.saturating_duration_since(k.death.at) < limit;
            if !is_recent {
                holders.remove(k.death.id);
            }
            is_recent
        });
        let mut due = Vec::new();
        for known in &mut self.known {
            if known.death.parts.is_empty() || known.is_settled {
                continue;
            }
            let keepers = witnesses(known.death.id);
            let is_lacking = |host: &IpAddr| !self.holders.has(*host, known.death.id);
            let lacking: Vec<IpAddr> = keepers.iter().copied().filter(is_lacking).collect();
            known.is_settled = lacking.is_empty() && !keepers.is_empty();
            if !lacking.is_empty() {
                due.push((known.death.clone(), lacking));
            }
        }
        due
    }

    fn unsettle(&mut self) {
        for known in &mut self.known {
            known.is_settled = false;
        }
    }

    /// Whether no death is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
