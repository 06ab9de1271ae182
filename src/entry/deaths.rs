//! Deaths of targets: suspicion of the requests in flight, shared with the
//! other entries.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time;

use super::link;
use super::pool::Ticket;
use super::suspect::{Charge, Suspects, Verdict};
use super::target::Death;
use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::shares_client::SharesClient;
use crate::daemon::Context;
use crate::digest::Digest;
use crate::membership;

/// Time that telling the other entries may take. The caller's error waits for
/// it, so that a request sent again meets the suspicion at any entry.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(250);

/// Suspicions of this entry.
#[derive(Debug)]
pub struct Deaths<C: Clock> {
    ctx: Context,
    clock: C,
    suspects: Mutex<Suspects>,
}

impl<C: Clock> Deaths<C> {
    /// No suspicions yet.
    #[must_use]
    pub fn new(ctx: &Context, clock: C) -> Self {
        Self {
            ctx: ctx.clone(),
            clock,
            suspects: Mutex::default(),
        }
    }

    /// What to do with the request with this fingerprint.
    pub fn verdict(&self, fingerprint: &Digest) -> Verdict {
        let now = self.clock.now();
        self.suspects.lock().verdict(fingerprint, now)
    }

    /// The request ran alone to its end.
    pub fn acquit(&self, fingerprint: &Digest) {
        self.suspects.lock().acquit(fingerprint);
    }

    /// Charges that another entry sent.
    pub fn charge(&self, charges: Vec<Charge>) {
        let now = self.clock.now();
        let mut suspects = self.suspects.lock();
        for charge in charges {
            suspects.charge(charge, now);
        }
    }

    /// Charges the requests that were in flight, before any of them can be sent
    /// again; the returned future tells the other entries.
    pub fn report(&self, death: &Death) -> impl Future<Output = ()> + Send + use<C> {
        let charges: Vec<Charge> = death
            .in_flight
            .iter()
            .map(|fingerprint| Charge {
                fingerprint: *fingerprint,
                weight: death.weight,
                death: death.id.clone(),
            })
            .collect();
        log::warn!(death = death.id.as_str(), in_flight = charges.len(); "target died");
        metrics::counter!("corianderramp_target_deaths_total").increment(1);
        let suspects = charges.iter().map(|c| pb::Suspect {
            fingerprint: c.fingerprint.as_bytes().to_vec().into(),
            weight: c.weight,
            death: c.death.clone(),
        });
        let request = pb::SuspectRequest {
            suspects: suspects.collect(),
        };
        self.charge(charges);
        let (others, pool) = (self.others(), self.ctx.pool.clone());
        async move {
            if request.suspects.is_empty() {
                return;
            }
            let calls = others.into_iter().map(|address| {
                let mut client = SharesClient::new(pool.channel(address));
                let request = request.clone();
                async move { client.suspect(request).await }
            });
            let all = futures_util::future::join_all(calls);
            let _ = time::timeout(SPREAD_TIMEOUT, all).await;
        }
    }

    /// Finds out whether a request broke because its target died, and reports
    /// the death. A connection that broke while a new one can be opened says
    /// nothing about the target.
    pub async fn judge(&self, ticket: &Ticket<C>) {
        let died = if ticket.link.is_open() {
            // The agent reset the stream, so its target broke the answer off.
            true
        } else {
            let renewed = ticket.link.renew().await;
            if renewed.is_err() {
                ticket.unreachable();
            }
            matches!(renewed, Err(link::Error::Refused { .. }))
        };
        if died && let Some(death) = ticket.died() {
            self.report(&death).await;
        }
    }

    fn others(&self) -> Vec<SocketAddr> {
        let view = self.ctx.board.view();
        let own = self.ctx.settings.vm.as_str();
        let others = membership::entries(&view).filter(|v| v.metadata.name != own);
        others.map(|v| v.spec.control).collect()
    }
}
