//! Exchanges with hosts which prompt parts and requests crash targets and which proved sound.
//! Both count as parts here.

use std::net::SocketAddr;
use std::time::Duration;

use log::{info, warn};

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::node::message::{Body, CrashReport, SoundParts, TargetDeath};
use crate::place::quarantine::Death;

/// Number of times that a report is sent; datagrams can be lost.
const REPORT_COPIES: usize = 2;

impl<C: Clock> Gateway<C> {
    /// Returns whether a request is refused because a part of it crashes targets.
    pub(super) fn is_quarantined(&self, call: &Call) -> bool {
        let now = self.clock.now();
        self.quarantine.lock().is_refused(&call.fingerprints, now)
    }

    /// Tells the host of `target` that the connection broke during a request there.
    pub(super) fn report_broken(&self, call: &Call, target: SocketAddr) {
        if !call.has_engine() {
            return;
        }
        let now = self.clock.now();
        let parts = self.quarantine.lock().unproven(&call.fingerprints, now);
        if parts.is_empty() {
            return;
        }
        for _ in 0..REPORT_COPIES {
            let parts = parts.clone();
            self.agents
                .send(target, Body::CrashReport(CrashReport { parts }));
        }
    }

    /// Records that an answer to a request ended well, and tells the hosts that suspect parts
    /// of its prompt.
    pub(super) fn record_sound(&self, call: &Call) {
        let now = self.clock.now();
        let cleared = self.quarantine.lock().record_sound(&call.fingerprints, now);
        for (reporter, part) in cleared {
            info!(part = format!("{part:016x}").as_str(); "prompt part proved sound");
            let parts = vec![part];
            self.agents
                .send(reporter, Body::SoundParts(SoundParts { parts }));
        }
    }

    /// Handles the report of a host that its target died.
    pub(super) fn receive_death(&self, from: SocketAddr, message: &TargetDeath) {
        let now = self.clock.now();
        let age = Duration::from_millis(message.age_ms);
        let death = Death {
            id: message.id,
            at: now.checked_sub(age).unwrap_or(now),
            reporter: from,
        };
        let mut quarantine = self.quarantine.lock();
        let refused_before: Vec<bool> = message
            .parts
            .iter()
            .map(|part| quarantine.is_refused(&[*part], now))
            .collect();
        let sound = quarantine.record_death(death, &message.parts, now);
        for (part, refused_before) in message.parts.iter().zip(refused_before) {
            if !refused_before && quarantine.is_refused(&[*part], now) {
                warn!(part = format!("{part:016x}").as_str(); "prompt part refused, it crashes targets");
            }
        }
        drop(quarantine);
        if !sound.is_empty() {
            let sound = Body::SoundParts(SoundParts { parts: sound });
            self.agents.send(from, sound);
        }
    }

    /// Handles the message that parts proved sound at another gateway.
    pub(super) fn receive_sound(&self, message: &SoundParts) {
        let now = self.clock.now();
        // The hosts that suspect these parts have the same message from that gateway.
        let _ = self.quarantine.lock().record_sound(&message.parts, now);
    }
}
