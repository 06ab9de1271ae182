//! Deaths of targets. The requests that were in flight on a target when it died
//! are quarantined at all entries, since one of them may have crashed it.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time;

use super::connection;
use super::pool::Slot;
use super::quarantine::{Quarantine, Status, Suspect};
use super::target::Death;
use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::shares_client::SharesClient;
use crate::daemon::Context;
use crate::digest::Digest;
use crate::membership;

/// Time limit for reporting a death to the other entries. The client's error
/// response waits for it, so that a retry finds its fingerprint quarantined at
/// any entry.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(250);

/// Quarantine of this entry, and the reporting of deaths to other entries.
#[derive(Debug)]
pub struct DeathTracker<C: Clock> {
    ctx: Context,
    clock: C,
    quarantine: Mutex<Quarantine>,
}

impl<C: Clock> DeathTracker<C> {
    /// Creates a tracker with an empty quarantine.
    #[must_use]
    pub fn new(ctx: &Context, clock: C) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            quarantine: Mutex::default(),
        }
    }

    /// Returns how the request with this fingerprint may run.
    pub fn status(&self, fingerprint: &Digest) -> Status {
        let now = self.clock.now();
        self.quarantine.lock().status(fingerprint, now)
    }

    /// Removes a request from quarantine after it ran to its end as the only
    /// request on a target.
    pub fn release(&self, fingerprint: &Digest) {
        self.quarantine.lock().release(fingerprint);
    }

    /// Quarantines requests that another entry reported.
    pub fn add_suspects(&self, suspects: Vec<Suspect>) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.lock();
        for suspect in suspects {
            quarantine.add(suspect, now);
        }
    }

    /// Quarantines the requests in flight before it returns, so that none of
    /// them is retried unrestricted; the returned future reports them to the
    /// other entries.
    pub fn report(&self, death: &Death) -> impl Future<Output = ()> + Send + use<C> {
        let suspects: Vec<Suspect> = death
            .in_flight
            .iter()
            .map(|fingerprint| Suspect {
                fingerprint: *fingerprint,
                weight: death.weight,
                death: death.id.clone(),
            })
            .collect();
        log::warn!(death = death.id.as_str(), in_flight = suspects.len(); "target died");
        metrics::counter!("corianderramp_target_deaths_total").increment(1);
        let messages = suspects.iter().map(|s| pb::Suspect {
            fingerprint: s.fingerprint.as_bytes().to_vec().into(),
            weight: s.weight,
            death: s.death.clone(),
        });
        let request = pb::SuspectRequest {
            suspects: messages.collect(),
        };
        self.add_suspects(suspects);
        let (other_entries, pool) = (self.other_entries(), self.ctx.pool.clone());
        async move {
            if request.suspects.is_empty() {
                return;
            }
            let calls = other_entries.into_iter().map(|address| {
                let mut client = SharesClient::new(pool.channel(address));
                let request = request.clone();
                async move { client.suspect(request).await }
            });
            let all = futures_util::future::join_all(calls);
            let _ = time::timeout(BROADCAST_TIMEOUT, all).await;
        }
    }

    /// Finds out whether a request failed because its target died, and reports
    /// the death. If a new connection can replace a broken one, the failure
    /// says nothing about the target.
    pub async fn check_death(&self, slot: &Slot<C>) {
        let died = if slot.connection.is_open() {
            // The agent reset only this stream, so the target failed, not the
            // connection.
            true
        } else {
            let reconnected = slot.connection.reconnect().await;
            if reconnected.is_err() {
                slot.on_unreachable();
            }
            matches!(reconnected, Err(connection::Error::Connect { .. }))
        };
        if died && let Some(death) = slot.on_death() {
            self.report(&death).await;
        }
    }

    fn other_entries(&self) -> Vec<SocketAddr> {
        let view = self.ctx.state.view();
        let own = self.ctx.settings.vm.as_str();
        let others = membership::entries(&view).filter(|v| v.metadata.name != own);
        others.map(|v| v.spec.control).collect()
    }
}
