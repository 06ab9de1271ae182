//! Exchanges with hosts which prompt parts and requests crash targets and which proved sound.
//! Both count as parts here. A host confirms the death of an engine beside it; for a target
//! that no host reports on, as those of plain services, the gateway finds out itself and tells
//! other hosts, which pass it on.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{debug, info, warn};
use metrics::counter;
use tokio::time;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::call::Call;
use crate::gateway::guard::SlotGuard;
use crate::net;
use crate::node::message::{Body, CrashReport, SoundParts, TargetDeath};
use crate::place::death::{Inquiry, Lifetime, Probe, Verdict};
use crate::place::handover::{self, HostProcess};
use crate::place::quarantine::{Death, QUARANTINE_TIME};
use crate::place::witness;

/// Number of times that a report is sent; datagrams can be lost.
const REPORT_COPIES: usize = 2;
/// Timeout for a connection that only shows whether a target lives.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two probes of a target.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a target that died and is already back has registered its new lifetime.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(5);

impl<C: Clock> Gateway<C> {
    /// Returns whether a request is refused because a part of it crashes targets.
    pub(super) fn is_quarantined(&self, call: &Call) -> bool {
        let now = self.clock.now();
        self.quarantine.lock().is_refused(&call.fingerprints, now)
    }

    /// Handles a connection to a target that broke during a request: the request may have
    /// crashed it.
    pub(super) fn report_broken(self: &Arc<Self>, call: &Call, slot: &SlotGuard<C>) {
        let now = self.clock.now();
        let parts = self.quarantine.lock().unproven(&call.fingerprints, now);
        if parts.is_empty() {
            return;
        }
        let pool = self.pool.lock();
        let entry = pool.get(slot.key);
        let has_host = call.has_engine() && entry.is_some_and(|e| e.has_agent(now));
        let lifetime = entry.and_then(|e| Lifetime::of(&e.target));
        drop(pool);
        if has_host {
            self.send_copies(slot.address, &Body::CrashReport(CrashReport { parts }));
            return;
        }
        let Some(lifetime) = lifetime else {
            return;
        };
        if self.inquiries.lock().add(&lifetime, &parts) {
            tokio::spawn(self.clone().inquire(lifetime, now));
        }
    }

    /// Finds out whether a target that no host reports on died at `at`, and tells all gateways
    /// if so.
    async fn inquire(self: Arc<Self>, lifetime: Lifetime, at: Instant) {
        let is_refusing = self.is_refusing(&lifetime).await;
        let parts = self.inquiries.lock().end(&lifetime);
        if !is_refusing && !self.is_succeeded(&lifetime).await {
            return;
        }
        let now = self.clock.now();
        let quarantine = self.quarantine.lock();
        let parts = quarantine.unproven(&parts, now);
        if parts.is_empty() {
            return;
        }
        let id = quarantine.death_id(lifetime.fingerprint(), at);
        drop(quarantine);
        counter!("corianderramp_gateway_target_deaths_total").increment(1);
        let target = lifetime.address();
        warn!(target:% = target, death = id, parts = format_parts(&parts).as_str(); "target died during requests");
        self.deaths.lock().add(id, at, &parts);
        self.tell_deaths();
        let pool = self.pool.lock();
        let witnesses = witness::choose(&pool, id, &self.data_center, now);
        drop(pool);
        let reporter = witnesses.first().copied().or(self.agents.own_address());
        if let Some(reporter) = reporter {
            self.suspect(reporter, id, at, &parts);
        }
    }

    /// Tells hosts of the deaths that they must keep and lack.
    pub(super) fn tell_deaths(&self) {
        let now = self.clock.now();
        let mut deaths = self.deaths.lock();
        if deaths.is_empty() {
            return;
        }
        let pool = self.pool.lock();
        let reporting = pool.iter().filter(|(_, e)| e.has_agent(now));
        let mut hosts: Vec<IpAddr> = reporting.map(|(_, e)| e.target.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let witnesses = |id| {
            let chosen = witness::choose(&pool, id, &self.data_center, now);
            chosen.iter().map(SocketAddr::ip).collect()
        };
        let due = deaths.due(&hosts, QUARANTINE_TIME, now, witnesses);
        drop(pool);
        drop(deaths);
        for (death, hosts) in due {
            counter!("corianderramp_gateway_deaths_told_total").increment(1);
            debug!(death = death.id, hosts = hosts.len(); "hosts told of a death");
            let body = Body::TargetDeath(death_message(&death, now));
            for host in hosts {
                // Any port of the VM leads to its host.
                self.send_copies(SocketAddr::new(host, 0), &body);
            }
        }
    }

    /// Returns whether the target refuses connections, so that it is dead.
    async fn is_refusing(&self, lifetime: &Lifetime) -> bool {
        let mut inquiry = Inquiry::default();
        loop {
            let probe = match net::connect(lifetime.address(), PROBE_TIMEOUT).await {
                Ok(_) => Probe::Accepted,
                Err(e) if e.is_refused() => Probe::Refused,
                Err(_) => Probe::Silent,
            };
            match inquiry.record(probe) {
                Verdict::Dead => return true,
                Verdict::Unsure => time::sleep(PROBE_PAUSE).await,
                Verdict::Alive => return false,
            }
        }
    }

    /// Waits for the registration of a later lifetime, which shows that this one has ended.
    async fn is_succeeded(&self, lifetime: &Lifetime) -> bool {
        let Ok(_permit) = self.successor_waits.try_acquire() else {
            return false;
        };
        let mut snapshots = self.catalog.subscribe();
        let successor = snapshots.wait_for(|catalog| lifetime.has_successor(catalog));
        matches!(time::timeout(SUCCESSOR_TIMEOUT, successor).await, Ok(Ok(_)))
    }

    /// Sends a datagram to the host of `target`, more than once since datagrams can be lost.
    pub(super) fn send_copies(&self, target: SocketAddr, body: &Body) {
        for _ in 0..REPORT_COPIES {
            self.agents.send(target, body.clone());
        }
    }

    /// Records that an answer to a request ended well, and tells the hosts that suspect parts
    /// of its prompt.
    pub(super) fn record_sound(&self, call: &Call) {
        let now = self.clock.now();
        let cleared = self.quarantine.lock().record_sound(&call.fingerprints, now);
        if cleared.is_empty() {
            return;
        }
        let parts: Vec<u64> = cleared.iter().map(|(_, part)| *part).collect();
        self.deaths.lock().clear(&parts);
        for (reporter, part) in cleared {
            info!(part = format!("{part:016x}").as_str(); "prompt part proved sound");
            let parts = vec![part];
            self.agents
                .send(reporter, Body::SoundParts(SoundParts { parts }));
        }
    }

    /// Handles the message of a host that a target died.
    pub(super) fn receive_death(&self, from: SocketAddr, message: &TargetDeath) {
        let now = self.clock.now();
        let age = Duration::from_millis(message.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        let host = HostProcess {
            address: from.ip(),
            id: message.process,
        };
        let mut deaths = self.deaths.lock();
        let mut sound = deaths.cleared(message.id, &message.parts);
        deaths.add(message.id, at, &message.parts);
        deaths.confirm(host, message.id, &message.parts);
        drop(deaths);
        let mut suspected = message.parts.clone();
        suspected.retain(|p| !sound.contains(p));
        sound.extend(self.suspect(from, message.id, at, &suspected));
        if sound.is_empty() {
            return;
        }
        self.deaths.lock().clear(&sound);
        let sound = Body::SoundParts(SoundParts { parts: sound });
        self.agents.send(from, sound);
    }

    /// Suspects parts of the death of a target; returns those that this gateway knows to be
    /// sound.
    fn suspect(&self, from: SocketAddr, id: u64, at: Instant, parts: &[u64]) -> Vec<u64> {
        let now = self.clock.now();
        let reporter = from;
        let death = Death { id, at, reporter };
        let mut quarantine = self.quarantine.lock();
        let refused_before: Vec<bool> = parts
            .iter()
            .map(|part| quarantine.is_refused(&[*part], now))
            .collect();
        let sound = quarantine.record_death(death, parts, now);
        for (part, refused_before) in parts.iter().zip(refused_before) {
            if !refused_before && quarantine.is_refused(&[*part], now) {
                warn!(part = format!("{part:016x}").as_str(); "prompt part refused, it crashes targets");
            }
        }
        sound
    }

    /// Handles the message that parts proved sound at another gateway.
    pub(super) fn receive_sound(&self, message: &SoundParts) {
        let now = self.clock.now();
        // The hosts that suspect these parts have the same message from that gateway.
        let _ = self.quarantine.lock().record_sound(&message.parts, now);
        self.deaths.lock().clear(&message.parts);
    }
}

/// Hashes of parts, for logs.
fn format_parts(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|p| format!("{p:016x}")).collect();
    parts.join(",")
}

fn death_message(death: &handover::Death, now: Instant) -> TargetDeath {
    let age = now.saturating_duration_since(death.at);
    TargetDeath {
        id: death.id,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        parts: death.parts.clone(),
        process: 0,
    }
}
