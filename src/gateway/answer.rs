//! Returns a stream of events to the caller, from one target after the other if need be.

use std::fmt;
use std::mem;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use hyper::body::Frame;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::call::Call;
use crate::gateway::handle::{self, Record};
use crate::gateway::hedge::{Answer, RaceError, Silence, Winner};
use crate::gateway::source::EventSource;

/// The stream can't be continued. As its error, it makes hyper close the caller's connection
/// without a proper end of the body.
#[derive(Clone, Copy, Debug)]
pub struct Interrupted;

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response of the target was interrupted")
    }
}

impl std::error::Error for Interrupted {}

/// Event stream from targets to the caller. If a target fails or is silent, another one
/// continues.
#[derive(Debug)]
pub struct Relay<C: Clock> {
    gateway: Arc<Gateway<C>>,
    call: Call,
    /// Target that the events come from; `None` after their end or a failure.
    source: Option<EventSource<C>>,
    /// Events that were read and not sent yet.
    events: Bytes,
    /// Id of the last event read.
    last_event: Option<u64>,
    record: Record<C>,
}

impl<C: Clock> Relay<C> {
    /// Creates a relay for a stream whose first events are `events`.
    pub fn new(
        gateway: &Arc<Gateway<C>>,
        call: Call,
        events: Bytes,
        source: Option<EventSource<C>>,
        record: Record<C>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            last_event: call.caller_headers.last_event,
            call,
            source,
            events,
            record,
        }
    }

    /// Converts into a stream of events as they arrive.
    pub fn into_stream(self) -> impl Stream<Item = Result<Frame<Bytes>, Interrupted>> + Send {
        stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Interrupted>> {
        loop {
            if !self.events.is_empty() {
                self.record.record_bytes();
                return Some(Ok(mem::take(&mut self.events)));
            }
            let Some(source) = &mut self.source else {
                return self.end();
            };
            self.last_event = source.last_id();
            let silence = Silence {
                key: source.response.slot.key,
                address: source.response.slot.address,
                since: self.gateway.clock.now(),
                last_event: self.last_event,
                can_move: self.last_event.is_some(),
                end: self.call.end,
            };
            let read = source.read_or_report(&self.gateway, &self.call);
            let trace = &self.record.trace;
            match self.gateway.race(&self.call, trace, silence, read).await {
                Ok(Winner::First(Some(events))) => self.events = events,
                Ok(Winner::First(None)) => {
                    source.response.slot.record_result(true);
                    self.source = None;
                }
                Ok(Winner::Other(answer)) => self.go_on(*answer),
                Err(RaceError::Late) => {
                    trace.lock().reason = "deadline";
                    return Some(self.give_up(handle::OUT_OF_TIME));
                }
                // Targets end the stream at the same time.
                Err(RaceError::Failed(_)) if self.gateway.clock.now() >= self.call.deadline => {
                    trace.lock().reason = "deadline";
                    return Some(self.give_up(handle::OUT_OF_TIME));
                }
                Err(RaceError::Failed(error)) => {
                    trace.lock().reason = error.reason();
                    self.source = None;
                    if !self.resume().await {
                        return Some(self.give_up(handle::BROKEN_OFF));
                    }
                }
            }
        }
    }

    /// Ends a complete stream; `None` also after a failure.
    fn end(&mut self) -> Option<Result<Bytes, Interrupted>> {
        if !self.record.is_given_up() {
            self.gateway.record_sound(&self.call);
            self.record.set_outcome("served");
        }
        None
    }

    fn give_up(&mut self, outcome: &'static str) -> Result<Bytes, Interrupted> {
        self.source = None;
        self.record.set_outcome(outcome);
        Err(Interrupted)
    }

    /// Continues with the answer of another target.
    fn go_on(&mut self, answer: Answer<C>) {
        self.events = answer.bytes;
        self.source = answer.source;
        self.record.resumed += 1;
    }

    /// Continues the stream at another target after the last complete event. Returns whether
    /// that succeeded.
    async fn resume(&mut self) -> bool {
        let trace = &self.record.trace;
        trace.lock().may_have_run = true;
        if self.last_event.is_none() || !self.gateway.can_retry(&self.call, trace) {
            return false;
        }
        let obtained = self.gateway.obtain(&self.call, trace, self.last_event);
        let Ok(answer) = obtained.await else {
            return false;
        };
        if !answer.head.status.is_success() {
            return false;
        }
        self.go_on(answer);
        true
    }
}
