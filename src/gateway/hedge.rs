//! Gets an answer for a request: attempts one after the other when targets fail, and a second
//! one beside a target that is only silent.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::response;
use log::info;
use metrics::counter;
use parking_lot::Mutex;
use tokio::time;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::{PlacementError, SendError};
use crate::gateway::call::{Call, Trace};
use crate::gateway::guard::{SilenceGuard, SlotGuard};
use crate::gateway::handle;
use crate::gateway::source::{self, EventSource, ReadError};
use crate::place::patience;
use crate::place::pool::TargetKey;

/// Shortest time between two looks for another target.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Objectives after which a target that was asked beside a silent one counts as silent, too: one
/// for finding a place and one for the answer.
const LOOK_OBJECTIVES: u32 = 2;

/// First part of a target's answer that the caller can have.
#[derive(Debug)]
pub struct Answer<C: Clock> {
    /// Response status and headers.
    pub head: response::Parts,
    /// Complete body, or the first events of a stream; empty if it has none.
    pub bytes: Bytes,
    /// Rest of a stream; `None` at its end and for other answers.
    pub source: Option<EventSource<C>>,
}

impl<C: Clock> Answer<C> {
    /// Creates the answer of a stream from its first events; `None` if it has none.
    fn of_stream(head: response::Parts, source: EventSource<C>, events: Option<Bytes>) -> Self {
        let Some(bytes) = events else {
            source.response.slot.record_result(true);
            return Self {
                head,
                bytes: Bytes::new(),
                source: None,
            };
        };
        Self {
            head,
            bytes,
            source: Some(source),
        }
    }
}

/// Why an attempt gave no answer.
#[derive(Debug)]
pub enum AttemptError<C: Clock> {
    /// The target did not run the request.
    NotRun(&'static str),
    /// The target may have run the request.
    MayHaveRun(&'static str),
    /// The target ran the request and answered that it failed.
    Failed(Box<Answer<C>>),
}

impl<C: Clock> AttemptError<C> {
    /// Reason for logs and metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason,
            Self::Failed(_) => "target failed",
        }
    }
}

impl<C: Clock> From<SendError> for AttemptError<C> {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotRun(reason) => Self::NotRun(reason),
            SendError::MayHaveRun(reason) => Self::MayHaveRun(reason),
        }
    }
}

/// Which attempt had something for the caller first.
#[derive(Debug)]
pub enum Winner<T, C: Clock> {
    /// The target that was asked first.
    First(T),
    /// Another target, which was asked because the first one was silent.
    Other(Box<Answer<C>>),
}

/// Why a race has no winner.
#[derive(Debug)]
pub enum RaceError<E> {
    /// The first target failed, and no other one had been asked or all others failed too.
    Failed(E),
    /// The caller's time ended.
    Late,
}

/// Silence of a target, from the caller's point of view.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Target that is silent.
    pub key: TargetKey,
    /// Address of that target.
    pub address: SocketAddr,
    /// When the caller got its last bytes, or sent the request.
    pub since: Instant,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether another target could go on where this one is.
    pub can_move: bool,
    /// Whether the caller has a part of the answer.
    pub has_begun: bool,
    /// When the caller does not wait any longer.
    pub end: Instant,
}

impl<C: Clock> Gateway<C> {
    /// Sends a request, with retries, until a target has something for the caller, which got its
    /// last bytes or sent the request at `since`.
    pub(super) async fn obtain(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        last_event: Option<u64>,
        since: Instant,
    ) -> Result<Answer<C>, PlacementError> {
        let has_begun = since != call.start;
        loop {
            let slot = self.acquire_or_wait(call, trace, has_begun).await?;
            // Another gateway may have seen a target die while this request waited for a slot.
            if self.is_quarantined(call) {
                return Err(PlacementError::CrashesTargets);
            }
            let silence = Silence {
                key: slot.key,
                address: slot.address,
                since,
                last_event,
                can_move: call.route().kind.is_retryable(),
                has_begun,
                end: call.deadline,
            };
            let attempt = self.attempt(call, slot, trace, last_event);
            let error = match self.race(call, trace, silence, attempt).await {
                Ok(Winner::First(answer)) => return Ok(answer),
                Ok(Winner::Other(answer)) => return Ok(*answer),
                Err(RaceError::Failed(error)) => error,
                Err(RaceError::Late) => AttemptError::MayHaveRun("no answer in time"),
            };
            record_send(error.reason());
            record_error(trace, &error);
            if !self.can_retry(call, trace) {
                return match error {
                    AttemptError::Failed(answer) => Ok(*answer),
                    _ => Err(PlacementError::NoTarget),
                };
            }
        }
    }

    /// Returns whether a failed request may be sent again. A permitted retry uses up a part of
    /// the retry budget.
    pub(super) fn can_retry(&self, call: &Call, trace: &Mutex<Trace>) -> bool {
        let (sends, may_have_run) = {
            let trace = trace.lock();
            (trace.sends, trace.may_have_run)
        };
        let route = call.route();
        let now = self.clock.now();
        (route.kind.is_retryable() || !may_have_run)
            && sends < route.max_attempts
            && now < call.deadline
            && !self.is_quarantined(call)
            && (sends == 0 || self.retry_budget.lock().try_retry(now))
    }

    /// Sends the request to the target of `slot` and waits until there is something for the
    /// caller: a complete answer, or the first events of a stream.
    async fn attempt(
        self: &Arc<Self>,
        call: &Call,
        slot: SlotGuard<C>,
        trace: &Mutex<Trace>,
        last_event: Option<u64>,
    ) -> Result<Answer<C>, AttemptError<C>> {
        let now = self.clock.now();
        let start_limit = self.start_limit(slot.key, call, now);
        let begin = self.begin(call, slot, trace, last_event);
        let answer = match start_limit {
            None => begin.await?,
            // A request that begins later would run on weights that are too old.
            Some(at) => time::timeout(at.saturating_duration_since(now), begin)
                .await
                .unwrap_or(Err(AttemptError::MayHaveRun("weights overdue")))?,
        };
        record_send("answered");
        Ok(answer)
    }

    async fn begin(
        self: &Arc<Self>,
        call: &Call,
        slot: SlotGuard<C>,
        trace: &Mutex<Trace>,
        last_event: Option<u64>,
    ) -> Result<Answer<C>, AttemptError<C>> {
        let mut response = self.send(call, slot, trace, last_event).await?;
        let head = response.take_head();
        if call.is_stream() && head.status.is_success() {
            let mut source = EventSource::new(response, last_event);
            let events = source.read_or_report(self, call).await;
            let events = events.map_err(|e| AttemptError::MayHaveRun(e.reason()))?;
            return Ok(Answer::of_stream(head, source, events));
        }
        let is_failed = head.status.is_server_error();
        let on_part = || trace.lock().heard = Some(self.clock.now());
        let body = source::read_body(&mut response, on_part).await;
        response.slot.record_result(!is_failed && body.is_ok());
        let bytes = body.map_err(|error| {
            if error == ReadError::Broke {
                self.report_broken(call, &response.slot);
            }
            AttemptError::MayHaveRun(error.reason())
        })?;
        let answer = Answer {
            head,
            bytes,
            source: None,
        };
        if is_failed {
            return Err(AttemptError::Failed(Box::new(answer)));
        }
        Ok(answer)
    }

    /// Waits for `first`, the target that was asked first. While it is silent for too long,
    /// another target is looked for; the first one that has something for the caller wins, and
    /// the others are cancelled.
    pub(super) async fn race<T, E>(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        silence: Silence,
        first: impl Future<Output = Result<T, E>>,
    ) -> Result<Winner<T, C>, RaceError<E>> {
        let mut first = pin!(first);
        let asked = self.clock.now();
        let route = call.route();
        let mut since = silence.since;
        loop {
            // An attempt that has only just begun is not silent yet, however long the caller
            // waits.
            let look = patience::look_time(route, since, silence.end)
                .map(|at| at.max(asked + route.objective))
                .filter(|at| *at < silence.end);
            let wait = look.unwrap_or(silence.end);
            let wait = wait.saturating_duration_since(self.clock.now());
            if let Ok(result) = time::timeout(wait, first.as_mut()).await {
                return result.map(Winner::First).map_err(RaceError::Failed);
            }
            if look.is_none() {
                return Err(RaceError::Late);
            }
            match trace.lock().heard.take() {
                // Parts of a complete answer arrive.
                Some(heard) if heard > since => since = heard,
                _ => break,
            }
        }
        let mut guard = SilenceGuard::begin(self, silence.key, asked.max(since));
        self.log_silence(call, trace, silence);
        let result = self.race_silent(call, trace, silence, first).await;
        match &result {
            Ok(Winner::Other(_)) => {
                trace.lock().reason = "target silent";
                guard.give_up();
            }
            Ok(Winner::First(_)) => trace.lock().target = silence.address.to_string(),
            Err(RaceError::Late) => guard.give_up(),
            Err(RaceError::Failed(_)) => {}
        }
        result
    }

    /// Looks for another target again and again while all that were asked are silent.
    async fn race_silent<T, E, F>(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        silence: Silence,
        mut first: Pin<&mut F>,
    ) -> Result<Winner<T, C>, RaceError<E>>
    where
        F: Future<Output = Result<T, E>>,
    {
        let objective = call.route().objective;
        let mut pause = (objective / 2).max(MIN_PAUSE);
        let mut others = FuturesUnordered::new();
        let mut look = pin!(time::sleep(Duration::ZERO));
        let left = silence.end.saturating_duration_since(self.clock.now());
        let mut end = pin!(time::sleep(left));
        let mut failure = None;
        loop {
            // The first target counts as asked until it fails.
            if let Some(error) = failure.take() {
                if trace.lock().hedged == 0 {
                    return Err(RaceError::Failed(error));
                }
                failure = Some(error);
            }
            tokio::select! {
                biased;
                result = first.as_mut(), if failure.is_none() => match result {
                    Ok(item) => return Ok(Winner::First(item)),
                    Err(error) => failure = Some(error),
                },
                Some(answer) = others.next() => {
                    if let Some(answer) = answer {
                        return Ok(Winner::Other(Box::new(answer)));
                    }
                    look.as_mut().reset(time::Instant::now() + pause);
                    pause *= 2;
                }
                () = look.as_mut() => {
                    // An attempt that gets no answer within its objective is silent, too.
                    let wait = objective.max(MIN_PAUSE) * LOOK_OBJECTIVES;
                    look.as_mut().reset(time::Instant::now() + wait);
                    if silence.can_move {
                        others.push(self.attempt_beside(call, trace, silence, wait));
                    }
                }
                () = end.as_mut() => {
                    return Err(failure.map_or(RaceError::Late, RaceError::Failed));
                }
            }
        }
    }

    /// Sends the request to another target beside a silent one, which is silent itself after
    /// `patience`. Returns `None` if it may not be sent again, no other target has a place now, or
    /// that one has no answer either.
    async fn attempt_beside(
        self: &Arc<Self>,
        call: &Call,
        trace: &Mutex<Trace>,
        silence: Silence,
        patience: Duration,
    ) -> Option<Answer<C>> {
        if !self.may_hedge(call, trace) {
            return None;
        }
        let Ok(slot) = self.acquire_slot(call, trace).await else {
            counter!("corianderramp_gateway_hedges_total", "result" => "no place").increment(1);
            return None;
        };
        let asked = self.clock.now();
        if !self.may_hedge(call, trace) || !self.retry_budget.lock().try_retry(asked) {
            return None;
        }
        let _hedge = Hedge::begin(trace);
        let key = slot.key;
        let mut attempt = pin!(self.attempt(call, slot, trace, silence.last_event));
        let result = if let Ok(result) = time::timeout(patience, attempt.as_mut()).await {
            result
        } else {
            let _guard = SilenceGuard::begin(self, key, asked);
            attempt.await
        };
        let (result, name) = match result {
            Ok(answer) if !silence.has_begun || answer.head.status.is_success() => {
                (Some(answer), "won")
            }
            Ok(_) => {
                trace.lock().may_have_run = true;
                (None, "failed")
            }
            Err(error) => {
                record_send(error.reason());
                record_error(trace, &error);
                (None, "failed")
            }
        };
        counter!("corianderramp_gateway_hedges_total", "result" => name).increment(1);
        result
    }

    /// Whether a request that is in progress at a silent target may be sent to another one.
    fn may_hedge(&self, call: &Call, trace: &Mutex<Trace>) -> bool {
        let now = self.clock.now();
        call.route().kind.is_retryable()
            && trace.lock().sends < call.route().max_attempts
            && now < call.deadline
            && !self.is_quarantined(call)
            && self.retry_budget.lock().has_room(now)
    }

    fn log_silence(&self, call: &Call, trace: &Mutex<Trace>, silence: Silence) {
        let now = self.clock.now();
        let silent = now.saturating_duration_since(silence.since);
        let left = silence.end.saturating_duration_since(now);
        let mut trace = trace.lock();
        trace.silence = trace.silence.max(silent);
        let message = if silence.can_move {
            "target silent, looking for another one"
        } else {
            "target silent"
        };
        info!(
            id = call.caller_headers.request_id.as_str(),
            target:% = silence.address,
            ms = handle::millis(silent),
            left = handle::millis(left),
            event = silence.last_event,
            sends = trace.sends;
            "{message}"
        );
    }
}

/// Counts an attempt beside a silent target in the trace, until it is dropped.
struct Hedge<'a>(&'a Mutex<Trace>);

impl<'a> Hedge<'a> {
    fn begin(trace: &'a Mutex<Trace>) -> Self {
        let mut locked = trace.lock();
        locked.hedged += 1;
        locked.hedges += 1;
        drop(locked);
        Self(trace)
    }
}

impl Drop for Hedge<'_> {
    fn drop(&mut self) {
        self.0.lock().hedged -= 1;
    }
}

fn record_send(result: &'static str) {
    counter!("corianderramp_gateway_sends_total", "result" => result).increment(1);
}

fn record_error<C: Clock>(trace: &Mutex<Trace>, error: &AttemptError<C>) {
    let mut trace = trace.lock();
    trace.reason = error.reason();
    trace.may_have_run |= !matches!(error, AttemptError::NotRun(_));
}
