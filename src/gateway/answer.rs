//! Returns a target's response to the caller, buffered or as an event stream.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Frame;
use tokio::time;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::{Call, TargetResponse};
use crate::gateway::events::Splitter;
use crate::gateway::handle::Record;
use crate::platform::request;

/// Largest response body of a plain service, bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time without events after which another target continues the stream. Callers leave after
/// two seconds, so it must continue well before that.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads of a stream from which its request is not suspected when the target dies: a request
/// that crashes targets does so when its answer begins.
const PROVEN_READS: u32 = 3;
/// The connection of a stream broke.
const BROKE: &str = "stream broke";
/// A stream ended before its last event was complete.
const ENDED_EARLY: &str = "ended within an event";

/// The target's response broke off, was too large or late. As the error of a stream, it makes
/// hyper close the caller's connection without a proper end of the body.
#[derive(Clone, Copy, Debug)]
pub struct Interrupted;

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response of the target was interrupted")
    }
}

impl std::error::Error for Interrupted {}

/// Why a response body is not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection broke.
    Broke,
    /// The body is too large or did not arrive in time.
    Abandoned,
}

/// Reads the complete body of a plain service's response.
///
/// # Errors
/// Fails when the body is interrupted, too large or not complete within `timeout`.
pub async fn read_body<C: Clock>(
    response: &mut TargetResponse<C>,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let read = Limited::new(&mut response.body, MAX_BODY_BYTES).collect();
    match time::timeout(timeout, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<hyper::Error>() => Err(BodyError::Broke),
        Ok(Err(_)) | Err(_) => Err(BodyError::Abandoned),
    }
}

/// Event stream from a target to the caller. If the target fails, another one continues.
#[derive(Debug)]
pub struct Relay<C: Clock> {
    gateway: Arc<Gateway<C>>,
    call: Call,
    head: response::Parts,
    /// Current response; `None` after its end or a failure.
    response: Option<TargetResponse<C>>,
    splitter: Splitter,
    /// Reads with complete events from the current response.
    reads: u32,
    /// First events, read before the response to the caller begins.
    first_events: Bytes,
    record: Record<C>,
}

/// Result of reading from an event stream.
enum ReadResult {
    /// One or more complete events.
    Events(Bytes),
    /// Regular end of the stream.
    End,
    /// Failure with its reason.
    Interrupted(&'static str),
}

impl<C: Clock> Relay<C> {
    /// Creates a relay for the stream of `response`.
    pub fn new(
        gateway: &Arc<Gateway<C>>,
        call: Call,
        mut response: TargetResponse<C>,
        record: Record<C>,
    ) -> Self {
        let empty = Response::new(()).into_parts().0;
        Self {
            head: std::mem::replace(&mut response.head, empty),
            gateway: gateway.clone(),
            splitter: Splitter::after(call.caller_headers.last_event),
            call,
            response: Some(response),
            reads: 0,
            first_events: Bytes::new(),
            record,
        }
    }

    /// Reads the first complete events, so that a target that fails before them can still be
    /// replaced.
    ///
    /// # Errors
    /// Returns the reason when the stream failed before its first event.
    pub async fn read_first(&mut self) -> Result<(), &'static str> {
        match self.read_events().await {
            ReadResult::Events(events) => self.first_events = events,
            ReadResult::End => {
                if let Some(response) = self.response.take() {
                    response.slot.record_result(true);
                }
            }
            ReadResult::Interrupted(reason) => {
                self.report_broken(reason);
                return Err(reason);
            }
        }
        Ok(())
    }

    /// Returns the request for a retry, after the stream failed before its first event.
    pub fn into_parts(self) -> (Call, Record<C>) {
        if let Some(response) = &self.response {
            response.slot.record_result(false);
        }
        (self.call, self.record)
    }

    /// Takes status and headers for the caller; may be called once.
    pub fn take_head(&mut self) -> http::response::Parts {
        let empty = Response::new(()).into_parts().0;
        let mut head = std::mem::replace(&mut self.head, empty);
        request::prepare_response(&mut head.headers);
        head
    }

    /// Converts into a stream of events as they arrive.
    pub fn into_stream(self) -> impl Stream<Item = Result<Frame<Bytes>, Interrupted>> + Send {
        stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Interrupted>> {
        if !self.first_events.is_empty() {
            self.record.record_bytes();
            return Some(Ok(std::mem::take(&mut self.first_events)));
        }
        loop {
            self.response.as_ref()?;
            match self.read_events().await {
                ReadResult::Events(events) => {
                    self.record.record_bytes();
                    return Some(Ok(events));
                }
                ReadResult::End => {
                    if let Some(response) = self.response.take() {
                        response.slot.record_result(true);
                    }
                    self.gateway.record_sound(&self.call);
                    self.record.set_outcome("served");
                    return None;
                }
                ReadResult::Interrupted(reason) => {
                    self.report_broken(reason);
                    if let Some(response) = self.response.take() {
                        response.slot.record_result(false);
                    }
                    self.record.trace.reason = reason;
                    if !self.resume().await {
                        self.record.set_outcome("broken off");
                        return Some(Err(Interrupted));
                    }
                }
            }
        }
    }

    /// Reports an interruption that the target's death may have caused.
    fn report_broken(&self, reason: &'static str) {
        if let Some(response) = &self.response
            && self.reads < PROVEN_READS
            && [BROKE, ENDED_EARLY].contains(&reason)
        {
            self.gateway.report_broken(&self.call, &response.slot);
        }
    }

    /// Reads until at least one event is complete.
    async fn read_events(&mut self) -> ReadResult {
        let Some(response) = &mut self.response else {
            return ReadResult::End;
        };
        loop {
            let left = self
                .call
                .deadline
                .saturating_duration_since(self.gateway.clock.now());
            let now = self.gateway.clock.now();
            let begin = response
                .start_limit
                .map(|at| at.saturating_duration_since(now));
            let timeout = STREAM_IDLE_TIMEOUT.min(left).min(begin.unwrap_or(left));
            let frame = match time::timeout(timeout, response.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.splitter.is_complete() => return ReadResult::End,
                Ok(None) => return ReadResult::Interrupted(ENDED_EARLY),
                Ok(Some(Err(_))) => return ReadResult::Interrupted(BROKE),
                Err(_) if begin.is_some_and(|begin| begin <= timeout) => {
                    return ReadResult::Interrupted("weights overdue");
                }
                Err(_) if timeout == left => return ReadResult::Interrupted("deadline"),
                Err(_) => return ReadResult::Interrupted("stream silent"),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Some(events) if events.is_empty() => {}
                Some(events) => {
                    response.start_limit = None;
                    self.reads += 1;
                    return ReadResult::Events(events);
                }
                None => return ReadResult::Interrupted("event too long"),
            }
        }
    }

    /// Continues the stream at another target after the last complete event. Returns whether
    /// that succeeded.
    async fn resume(&mut self) -> bool {
        let trace = &mut self.record.trace;
        trace.may_have_run = true;
        let last_event = self.splitter.last_id();
        if last_event.is_none() || !self.gateway.can_retry(&self.call, trace) {
            return false;
        }
        let Ok(response) = self
            .gateway
            .send_with_retries(&self.call, trace, last_event)
            .await
        else {
            return false;
        };
        if !response.head.status.is_success() {
            return false;
        }
        self.splitter = Splitter::after(last_event);
        self.record.resumed += 1;
        self.reads = 0;
        self.response = Some(response);
        true
    }
}
