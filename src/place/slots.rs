//! Slots of one target, granted to the gateways that share it.
//!
//! A gateway sees only its own requests. If each of a dozen gateways with uneven load
//! counted slots by itself, together they would overload the target, so that requests miss
//! their objective, or leave slots unused. One table next to the target therefore counts
//! the requests of all gateways.
//!
//! Load pattern: a sound target falls silent for a second or so and goes on with all of its
//! requests. Their slots stay taken meanwhile. New requests go to other targets; those that
//! have none may wait at the silent one for its free slots, as long as their callers do.
//!
//! Load pattern: prompts of a few tokens and of thousands share engines whose pace changes within
//! half a second. Waits follow the pace, and a request may wait as long as its own prompt permits.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fleet::Engine;
use crate::place::backlog::Backlog;
use crate::place::forecast::Forecast;
use crate::place::order::{Order, Outlook, Verdict};

/// Time within which a granted request has reached its target or was abandoned.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Age at which a grant is dropped, in case its release was lost.
const MAX_GRANT_AGE: Duration = Duration::from_secs(12);
/// Share of the objective that a request may wait before its own prefill begins; the rest
/// is left for the prefill, the first tokens and the network.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Longest wait of a request that is to run immediately; above it the gateway asks another
/// target.
const MAX_IMMEDIATE_WAIT: Duration = Duration::from_millis(30);
/// Share of the longest wait that a request may wait for a slot. The time until one is free
/// varies by as much as its mean, while the time to read prompts is known.
const SLOT_WAIT_SHARE: f64 = 0.5;
/// Granted share of long prompts, relative to others, below which a long prompt may wait as long
/// as one of mean length.
const MIN_LONG_SHARE: f64 = 0.9;
/// Weight of a new sample in the moving averages of granted shares.
const SHARE_WEIGHT: f64 = 0.05;
/// Share of the engine's prefill rate that remains while it decodes other requests.
const PREFILL_SHARE: f64 = 0.65;
/// Priority of ordinary requests. A request may wait for one more slot for each level that
/// it is more urgent.
const DEFAULT_PRIORITY: u8 = 1;
/// Multiple of the objective for which a target may be silent while requests that have no other
/// target are still granted its free slots. Callers wait at least as long for the first event.
pub const SILENCE_OBJECTIVES: u32 = 4;
/// Weight of a new sample in the moving average of the time that a slot is held.
const HOLD_WEIGHT: f64 = 0.05;

/// Identifies a granted slot by the gateway and its number for the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// Random number that the gateway drew when its process started.
    pub gateway_id: u64,
    /// Number of the request, unique within the gateway.
    pub request_id: u64,
}

/// Asks for a slot for one request.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Identifies the request and the slot that it gets.
    pub id: GrantId,
    /// Class of its priority; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective for the first event of the answer.
    pub objective: Duration,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Whether to refuse unless the request can run almost at once, because the gateway can
    /// still try other targets.
    pub immediate_only: bool,
    /// Expected length of the answer, tokens.
    pub output_tokens: u32,
    /// Time until the caller's deadline; zero if unknown.
    pub left: Duration,
    /// Whether the caller comes back after a refusal.
    pub is_returning: bool,
}

/// Answer to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may be sent now.
    Granted,
    /// The request would wait too long, for about the given time.
    Full(Duration),
    /// The request can't end before its deadline, at this target or another one.
    TooLong,
    /// The target accepts no requests now.
    Closed,
}

/// Slots of a target and the requests that hold them.
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: u32,
    /// Mean time that a request holds a slot, seconds.
    hold: f64,
    /// Prefill rate beside decoding, tokens per second.
    prefill_rate: f64,
    /// Predicts the engine's times; `None` while its parameters are unknown.
    forecast: Option<Forecast>,
    /// Granted prompts that the target has not read yet.
    backlog: Backlog,
    grants: Vec<Grant>,
    /// Grants that the last report did not count, in order of age. Their releases may still be on
    /// their way.
    dropped: Vec<Grant>,
    /// Requests in the target's last report beyond the grants at that time.
    ungranted: u32,
    /// When requests ended since the target was asked for its last report.
    ended: Vec<Instant>,
    /// When the target was asked for the report that it has not given since; `None` while its
    /// reports come in time.
    silent_since: Option<Instant>,
    /// When the target gave its first report after a silence.
    heard_since: Option<Instant>,
    is_open: bool,
    /// Moving averages of the granted shares of long prompts and of the others.
    granted_long: f64,
    granted_short: f64,
    order: Order,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    id: GrantId,
    granted_at: Instant,
}

impl SlotTable {
    /// Creates a closed table for a target with `slots` slots, each held for `hold` on
    /// average, and a prefill rate of `prefill` tokens per second.
    #[must_use]
    pub fn new(slots: u32, hold: Duration, prefill: f64) -> Self {
        Self {
            slots,
            hold: hold.as_secs_f64(),
            prefill_rate: (prefill * PREFILL_SHARE).max(1.0),
            forecast: None,
            backlog: Backlog::default(),
            grants: Vec::new(),
            dropped: Vec::new(),
            ungranted: 0,
            ended: Vec::new(),
            silent_since: None,
            heard_since: None,
            is_open: false,
            granted_long: 1.0,
            granted_short: 1.0,
            order: Order::default(),
        }
    }

    /// Adopts the parameters of the engine, from which waits are predicted as far as they are
    /// known.
    pub fn configure(&mut self, engine: &Engine) {
        self.forecast = Forecast::known(engine);
        if let Some(forecast) = &mut self.forecast {
            forecast.set_pace(self.backlog.pace());
        }
        self.order.set_engine(engine);
        self.order.set_pace(self.backlog.pace());
        self.slots = engine.slots;
    }

    /// Sets the factor by which the target is slower than usual.
    pub fn set_pace(&mut self, pace: f64, now: Instant) {
        let pace = self.backlog.set_pace(pace, now);
        if let Some(forecast) = &mut self.forecast {
            forecast.set_pace(pace);
        }
        self.order.set_pace(pace);
    }

    /// Returns the time until the target has read all granted prompts.
    #[must_use]
    pub fn prefill_left(&self, now: Instant) -> Duration {
        self.backlog.left(now)
    }

    /// Sets the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Order of the requests that ask for slots.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Order of the requests, to set the parameters of the engine.
    pub fn order_mut(&mut self) -> &mut Order {
        &mut self.order
    }

    /// Sets whether the target accepts new requests.
    pub fn set_open(&mut self, is_open: bool) {
        self.is_open = is_open;
    }

    /// Returns whether the target accepts new requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the number of requests at the target or on their way to it.
    #[must_use]
    pub fn active(&self) -> u32 {
        let granted = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        granted.saturating_add(self.ungranted)
    }

    /// Returns the number of free slots; 0 while closed.
    #[must_use]
    pub fn free(&self) -> u32 {
        if self.is_open {
            self.slots.saturating_sub(self.active())
        } else {
            0
        }
    }

    /// Returns how long a request granted now would wait before its prefill begins: for a
    /// free slot and for the prompts ahead of it. A silent target is expected to stay silent
    /// for as long again.
    #[must_use]
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let ahead = (self.active() + 1).saturating_sub(self.slots);
        let slot_wait = self
            .turnover()
            .mul_f64(f64::from(ahead) * self.backlog.pace());
        let silence = self.silence(now);
        slot_wait
            .max(self.pass_excess())
            .max(self.prefill_left(now))
            .max(silence.unwrap_or_default())
    }

    /// Time by which a pass of a slow engine is longer than usual. The engine admits a request at
    /// the end of a pass.
    fn pass_excess(&self) -> Duration {
        let Some(forecast) = &self.forecast else {
            return Duration::ZERO;
        };
        let pass = forecast.pass(self.slots);
        pass.saturating_sub(pass.div_f64(self.backlog.pace()))
    }

    /// Time for which the target has not given the report that it was asked for; `None` while
    /// its reports come in time.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let since = self.silent_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that the target has not given the report for which it was asked at `asked`.
    /// Returns whether its reports came in time before.
    pub fn record_silence(&mut self, asked: Instant) -> bool {
        let is_new = self.silent_since.is_none();
        self.silent_since.get_or_insert(asked);
        is_new
    }

    /// Mean time until a slot of a full target becomes free.
    fn turnover(&self) -> Duration {
        Duration::from_secs_f64(self.hold / f64::from(self.slots.max(1)))
    }

    /// Longest expected wait with which the first event of a request still comes within its
    /// objective. Long prompts that are refused much more often than others may wait as long as one
    /// of mean length.
    fn limit(&self, request: &SlotRequest) -> Duration {
        let Some(forecast) = &self.forecast else {
            if request.immediate_only {
                return MAX_IMMEDIATE_WAIT;
            }
            let levels = DEFAULT_PRIORITY.saturating_sub(request.priority);
            return request.objective.mul_f64(MAX_WAIT_SHARE) + self.turnover() * u32::from(levels);
        };
        let mut timing = forecast.timing(request.objective, request.prompt_tokens);
        let is_neglected = self.granted_long < self.granted_short * MIN_LONG_SHARE;
        if timing.is_long && is_neglected {
            timing.slack = timing.slack.max(forecast.mean_slack(request.objective));
        }
        if request.immediate_only {
            return timing.slack.min(MAX_IMMEDIATE_WAIT);
        }
        let is_full = self.active() >= self.slots;
        let share = if is_full { SLOT_WAIT_SHARE } else { 1.0 };
        timing.slack.mul_f64(share)
    }

    /// Counts a decision, so that long prompts are not refused much more often than others.
    fn record_decision(&mut self, request: &SlotRequest, is_granted: bool) {
        let Some(forecast) = &self.forecast else {
            return;
        };
        let timing = forecast.timing(request.objective, request.prompt_tokens);
        let share = if timing.is_long {
            &mut self.granted_long
        } else {
            &mut self.granted_short
        };
        let sample = if is_granted { 1.0 } else { 0.0 };
        *share += (sample - *share) * SHARE_WEIGHT;
    }

    /// Time by which a prompt delays those behind it, at the usual pace.
    fn reading(&self, tokens: u32) -> Duration {
        match &self.forecast {
            Some(forecast) => forecast.reading(tokens).div_f64(self.backlog.pace()),
            None => Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate),
        }
    }

    /// Grants or refuses a slot. A repeated request for a granted slot is granted again and
    /// takes no second one.
    pub fn request(&mut self, request: &SlotRequest, now: Instant) -> Decision {
        self.order.clear_urgency();
        if !self.is_open {
            return Decision::Closed;
        }
        if self.find(request.id).is_ok() {
            return Decision::Granted;
        }
        let wait = self.expected_wait(now);
        if let Some(silence) = self.silence(now) {
            let limit = request.objective * SILENCE_OBJECTIVES;
            let may_wait = !request.immediate_only && silence < limit && self.active() < self.slots;
            if !may_wait {
                return Decision::Full(wait);
            }
        } else {
            let outlook = Outlook {
                wait,
                limit: self.limit(request),
                turnover: self.turnover().mul_f64(self.backlog.pace()),
                slots: self.slots,
                active: self.active(),
            };
            let verdict = self.order.decide(request, &outlook, now);
            self.record_decision(request, verdict == Verdict::Granted);
            match verdict {
                Verdict::Granted => {}
                Verdict::Full(wait) => return Decision::Full(wait),
                Verdict::TooLong => return Decision::TooLong,
            }
        }
        self.backlog.add(self.reading(request.prompt_tokens), now);
        if let Err(index) = self.find(request.id) {
            let grant = Grant {
                id: request.id,
                granted_at: now,
            };
            self.grants.insert(index, grant);
        }
        Decision::Granted
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&mut self, id: GrantId, now: Instant) {
        let Some(grant) = self.remove(id) else { return };
        let held = now
            .saturating_duration_since(grant.granted_at)
            .as_secs_f64();
        self.hold += (held - self.hold) * HOLD_WEIGHT;
        self.ended.push(now);
    }

    /// Frees a slot that was not used, which says nothing of how long requests hold one.
    pub fn cancel(&mut self, id: GrantId) {
        self.remove(id);
    }

    fn remove(&mut self, id: GrantId) -> Option<Grant> {
        if let Some(i) = self.dropped.iter().position(|g| g.id == id) {
            self.dropped.remove(i);
            return None;
        }
        let index = self.find(id).ok()?;
        let grant = self.grants.remove(index);
        // The last report no longer counted this request, and another grant was dropped for it.
        if let Some(running) = self.dropped.pop()
            && let Err(i) = self.find(running.id)
        {
            self.grants.insert(i, running);
        }
        Some(grant)
    }

    /// Adopts the number of requests that the target reports. Drops grants whose requests
    /// never arrived or whose release was lost.
    ///
    /// The report, which was requested at `asked` and read at `now`, tells only what was before
    /// `asked`.
    ///
    /// Load pattern: a host is suspended between the two for seconds, and finds the report beside
    /// the releases of the requests that it counts.
    pub fn reconcile(&mut self, reported: u32, asked: Instant, now: Instant) {
        if let Some(since) = self.silent_since.take() {
            self.backlog.skip(since, now);
            self.heard_since = Some(now);
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut grants = std::mem::take(&mut self.grants);
        grants.retain(|g| age(g.granted_at) < MAX_GRANT_AGE);
        // Requests sent to a silent target arrive when it goes on.
        let heard_since = self.heard_since;
        let has_arrived = |g: &Grant| {
            let sent = heard_since.map_or(g.granted_at, |at| at.max(g.granted_at));
            asked.saturating_duration_since(sent) >= ARRIVAL_TIMEOUT
        };
        let mut arrived: Vec<Grant> = grants.iter().copied().filter(has_arrived).collect();
        arrived.sort_by_key(|g| g.granted_at);
        arrived.truncate(arrived.len().saturating_sub(reported as usize));
        grants.retain(|g| arrived.iter().all(|d| d.id != g.id));
        let granted = u32::try_from(grants.len()).unwrap_or(u32::MAX);
        self.ended.retain(|at| *at > asked);
        let ended = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        self.ungranted = reported.saturating_sub(granted.saturating_add(ended));
        if reported == 0 && grants.is_empty() {
            self.backlog.clear();
        }
        (self.grants, self.dropped) = (grants, arrived);
    }

    /// Drops all grants after the target lost its requests, for example in a restart.
    pub fn reset(&mut self) {
        self.grants.clear();
        self.dropped.clear();
        self.ungranted = 0;
        self.ended.clear();
        self.backlog.clear();
        self.silent_since = None;
        self.heard_since = None;
        self.order.reset();
    }

    fn find(&self, id: GrantId) -> Result<usize, usize> {
        self.grants.binary_search_by(|g| g.id.cmp(&id))
    }
}
