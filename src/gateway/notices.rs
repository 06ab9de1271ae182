//! Acts on what targets say of themselves in the heads of their answers.

use std::time::Instant;

use http::response;
use log::info;
use metrics::counter;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::gateway::guard::SlotGuard;
use crate::platform::request;

impl<C: Clock> Gateway<C> {
    /// Records what the head of an answer says of its target. The request was sent at `sent`.
    pub(super) fn observe_head(
        &self,
        call: &Call,
        slot: &SlotGuard<C>,
        head: &response::Parts,
        sent: Instant,
    ) {
        self.observe_limit(call, slot.key, head, sent);
        if request::is_leaving(&head.headers) {
            let mut pool = self.pool.lock();
            if pool.record_leaving(slot.key, slot.lifetime) {
                drop(pool);
                counter!("corianderramp_gateway_notices_total", "notice" => "leaving").increment(1);
                info!(target:% = slot.address; "target says that it leaves");
            }
        }
    }
}
