//! Tells gateways which prompt parts were in progress when a target died: the one beside this
//! host, or one without a host whose death gateways report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{info, warn};
use rand::RngExt;
use tokio::time;

use crate::clock::Clock;
use crate::host::Host;
use crate::node::message::{Body, CrashReport, SoundParts, TargetDeath};
use crate::place::death::MAX_PARTS;
use crate::place::quarantine::QUARANTINE_TIME;
use crate::platform::engine::{self, Report};

/// Longest time between a target's death, as its host notices it, and a gateway's report of a
/// request that broke.
const MATCH_TIME: Duration = Duration::from_secs(1);
/// Time for which a death is sent again whenever a gateway renews its subscription, since
/// datagrams can be lost.
const RESEND_TIME: Duration = Duration::from_secs(3);
/// Maximum number of deaths of the target that are remembered.
const MAX_DEATHS: usize = 16;
/// Maximum number of deaths of other targets that are remembered, 1 KB each with all parts.
const MAX_REPORTED: usize = 256;
/// Delay before a reported death is passed on, so that one datagram covers the reports of
/// several gateways.
const PASS_DELAY: Duration = Duration::from_millis(20);

/// Death of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Death {
    /// Random identifier.
    pub id: u64,
    /// When the host noticed it.
    pub at: Instant,
    /// Parts that may have caused it, sorted.
    pub parts: Vec<u64>,
}

impl Death {
    fn add(&mut self, parts: &[u64]) -> bool {
        let before = self.parts.len();
        for part in parts {
            if let Err(i) = self.parts.binary_search(part)
                && self.parts.len() < MAX_PARTS
            {
                self.parts.insert(i, *part);
            }
        }
        self.parts.len() > before
    }
}

/// Result of polling the target's report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Poll {
    /// The target answered; the time of its start, Unix milliseconds.
    Answered(u64),
    /// The target refused the connection: its process has ended.
    Refused,
    /// The target did not answer. It may only be slow.
    Failed,
}

/// Recent deaths of the target and requests that broke there.
#[derive(Clone, Debug, Default)]
pub struct DeathLog {
    /// Start of the target that answered last; `None` before its first answer and after its
    /// death.
    living: Option<u64>,
    /// Reports of gateways with their time, which a death may explain.
    reports: Vec<(Instant, Vec<u64>)>,
    /// In order of time.
    deaths: Vec<Death>,
    /// Deaths of other targets as gateways reported them, in order of arrival.
    reported: Vec<Death>,
    /// Identifiers of reported deaths that gateways have not been told of.
    unpassed: Vec<u64>,
}

impl DeathLog {
    /// Records that a request with `parts` broke. Returns the death that explains it if these
    /// parts are new there.
    pub fn record_report(&mut self, parts: &[u64], now: Instant) -> Option<Death> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MATCH_TIME;
        self.reports.retain(|(at, _)| is_recent(*at));
        if let Some(last) = self.deaths.last_mut().filter(|d| is_recent(d.at)) {
            return last.add(parts).then(|| last.clone());
        }
        if self.reports.len() < MAX_PARTS {
            self.reports.push((now, parts.to_vec()));
        }
        None
    }

    /// Records the result of a poll. Returns the target's death, with the random identifier
    /// `id`, if this shows it and requests broke shortly before.
    pub fn record_poll(&mut self, poll: Poll, id: u64, now: Instant) -> Option<Death> {
        let before = match poll {
            Poll::Answered(started) => self.living.replace(started).filter(|b| *b != started),
            Poll::Refused => self.living.take(),
            Poll::Failed => None,
        };
        before.and_then(|_| self.record_death(id, now))
    }

    fn record_death(&mut self, id: u64, now: Instant) -> Option<Death> {
        let mut death = Death {
            id,
            at: now,
            parts: Vec::new(),
        };
        for (at, parts) in self.reports.drain(..) {
            if now.saturating_duration_since(at) < MATCH_TIME {
                death.add(&parts);
            }
        }
        if self.deaths.len() == MAX_DEATHS {
            self.deaths.remove(0);
        }
        self.deaths.push(death.clone());
        Some(death).filter(|d| !d.parts.is_empty())
    }

    /// Records the death of another target; returns whether gateways must be told of it.
    pub fn record_reported(&mut self, report: &Death) -> bool {
        let found = self.reported.iter().position(|d| d.id == report.id);
        let index = found.unwrap_or_else(|| {
            if self.reported.len() == MAX_REPORTED {
                self.reported.remove(0);
            }
            self.reported.push(Death {
                parts: Vec::new(),
                ..report.clone()
            });
            self.reported.len() - 1
        });
        let is_new = self.reported[index].add(&report.parts);
        if is_new && !self.unpassed.contains(&report.id) {
            self.unpassed.push(report.id);
        }
        is_new
    }

    /// Takes the reported deaths that gateways must be told of.
    pub fn take_unpassed(&mut self) -> Vec<Death> {
        let ids = std::mem::take(&mut self.unpassed);
        let deaths = self.reported.iter().filter(|d| ids.contains(&d.id));
        deaths.cloned().collect()
    }

    /// Removes parts that proved sound from all deaths; returns those that were there.
    pub fn remove_sound(&mut self, parts: &[u64]) -> Vec<u64> {
        let is_known = |part: &&u64| {
            let mut deaths = self.deaths.iter().chain(&self.reported);
            deaths.any(|d| d.parts.binary_search(part).is_ok())
        };
        let known: Vec<u64> = parts.iter().filter(is_known).copied().collect();
        for death in self.deaths.iter_mut().chain(&mut self.reported) {
            death.parts.retain(|p| !known.contains(p));
        }
        known
    }

    /// Deaths to send to a gateway that subscribes, which may have just started.
    pub fn recent(&self, is_new: bool, now: Instant) -> impl Iterator<Item = &Death> {
        let limit = if is_new { QUARANTINE_TIME } else { RESEND_TIME };
        let is_recent = move |d: &&Death| now.saturating_duration_since(d.at) < limit;
        let all = self.deaths.iter().chain(&self.reported);
        all.filter(|d| !d.parts.is_empty()).filter(is_recent)
    }
}

impl<C: Clock> Host<C> {
    /// Records the result of polling the target, and tells all gateways of its death.
    pub(super) fn record_poll(&self, poll: &Result<Report, engine::Error>) {
        let poll = match poll {
            Ok(report) => Poll::Answered(report.started),
            Err(e) if e.is_refused() => Poll::Refused,
            Err(_) => Poll::Failed,
        };
        let id = rand::rng().random();
        let death = self.deaths.lock().record_poll(poll, id, self.clock.now());
        if let Some(death) = death {
            self.publish_death(&death);
        }
    }

    /// Handles a gateway's report of a request that broke.
    pub(super) fn receive_report(&self, report: &CrashReport) {
        let now = self.clock.now();
        let death = self.deaths.lock().record_report(&report.parts, now);
        if let Some(death) = death {
            self.publish_death(&death);
        }
    }

    /// Handles a gateway's report of the death of a target without a host. The gateway repeats
    /// it until it gets the death back.
    pub(super) fn receive_death(&self, from: SocketAddr, report: &TargetDeath) {
        let now = self.clock.now();
        let age = Duration::from_millis(report.age_ms);
        let death = Death {
            id: report.id,
            at: now.checked_sub(age).unwrap_or(now),
            parts: report.parts.clone(),
        };
        if self.deaths.lock().record_reported(&death) {
            self.reported.notify_one();
        } else {
            self.send(from, self.death_message(&death));
        }
    }

    /// Passes the deaths that gateways reported on to all others until the process ends.
    pub(super) async fn pass_deaths(self: Arc<Self>) {
        loop {
            self.reported.notified().await;
            time::sleep(PASS_DELAY).await;
            let deaths = self.deaths.lock().take_unpassed();
            for death in deaths {
                info!(death = death.id, parts = death.parts.len(); "reported death passed on");
                self.send_to_gateways(&self.death_message(&death));
            }
        }
    }

    /// Handles the message of a gateway that parts proved sound, and passes on what is new.
    pub(super) fn receive_sound(&self, sound: &SoundParts) {
        let parts = self.deaths.lock().remove_sound(&sound.parts);
        if parts.is_empty() {
            return;
        }
        self.send_to_gateways(&Body::SoundParts(SoundParts { parts }));
    }

    fn publish_death(&self, death: &Death) {
        let parts: Vec<String> = death.parts.iter().map(|p| format!("{p:016x}")).collect();
        warn!(target:% = self.target, death = death.id, parts = parts.join(",").as_str(); "target died during requests");
        self.send_to_gateways(&self.death_message(death));
    }

    /// Tells a gateway that subscribes of recent deaths.
    pub(super) fn send_deaths(&self, gateway: SocketAddr, is_new: bool) {
        let now = self.clock.now();
        let deaths: Vec<Death> = self.deaths.lock().recent(is_new, now).cloned().collect();
        for death in deaths {
            self.send(gateway, self.death_message(&death));
        }
    }

    fn death_message(&self, death: &Death) -> Body {
        let age = self.clock.now().saturating_duration_since(death.at);
        Body::TargetDeath(TargetDeath {
            id: death.id,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            parts: death.parts.clone(),
            process: self.process,
        })
    }
}

#[cfg(test)]
#[path = "deaths_test.rs"]
mod test;
