//! Passes a target's answer back to the caller.

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
use crate::gateway::attempt::{Call, Started};
use crate::gateway::events::Splitter;
use crate::gateway::handle::Record;
use crate::platform::request;

/// Longest answer of a plain service, bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Pause between events after which a target counts as silent. Callers leave after two
/// seconds, so that another target must continue well before.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The answer broke off; the caller's connection is closed without a proper end.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// Reads the whole body of a plain service's answer.
///
/// # Errors
/// Fails when it breaks off, is too long or not there in time.
pub async fn whole<C: Clock>(started: &mut Started<C>, limit: Duration) -> Result<Bytes, Broken> {
    let read = Limited::new(&mut started.body, MAX_ANSWER).collect();
    match time::timeout(limit, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) | Err(_) => Err(Broken),
    }
}

/// A stream on its way to the caller.
#[derive(Debug)]
pub struct Relay<C: Clock> {
    gateway: Arc<Gateway<C>>,
    call: Call,
    head: response::Parts,
    started: Option<Started<C>>,
    splitter: Splitter,
    /// Events that were read before the answer began.
    first: Bytes,
    record: Record<C>,
}

/// What the next read of a stream brought.
enum Read {
    Events(Bytes),
    End,
    Broken(&'static str),
}

impl<C: Clock> Relay<C> {
    /// Relay of a stream that has begun.
    pub fn new(
        gateway: &Arc<Gateway<C>>,
        call: Call,
        mut started: Started<C>,
        record: Record<C>,
    ) -> Self {
        let empty = Response::new(()).into_parts().0;
        Self {
            head: std::mem::replace(&mut started.head, empty),
            gateway: gateway.clone(),
            splitter: Splitter::after(call.terms.last_event),
            call,
            started: Some(started),
            first: Bytes::new(),
            record,
        }
    }

    /// Reads the first whole event, so that a target that breaks off before it can still
    /// be replaced. Returns whether the stream lives.
    pub async fn open(&mut self) -> Result<(), &'static str> {
        match self.read().await {
            Read::Events(events) => self.first = events,
            Read::End => {
                if let Some(started) = self.started.take() {
                    started.flight.judge(true);
                }
            }
            Read::Broken(reason) => return Err(reason),
        }
        Ok(())
    }

    /// Gives the call back, after the stream failed to open.
    pub fn abandon(self) -> (Call, Record<C>) {
        if let Some(started) = &self.started {
            started.flight.judge(false);
        }
        (self.call, self.record)
    }

    /// Status and headers for the caller; once only.
    pub fn take_head(&mut self) -> http::response::Parts {
        let empty = Response::new(()).into_parts().0;
        let mut head = std::mem::replace(&mut self.head, empty);
        request::prepare_response(&mut head.headers);
        head
    }

    /// Events as they arrive.
    pub fn events(self) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> + Send {
        stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if !self.first.is_empty() {
            self.record.pass();
            return Some(Ok(std::mem::take(&mut self.first)));
        }
        loop {
            self.started.as_ref()?;
            match self.read().await {
                Read::Events(events) => {
                    self.record.pass();
                    return Some(Ok(events));
                }
                Read::End => {
                    if let Some(started) = self.started.take() {
                        started.flight.judge(true);
                    }
                    self.record.finish("served");
                    return None;
                }
                Read::Broken(reason) => {
                    if let Some(started) = self.started.take() {
                        started.flight.judge(false);
                    }
                    self.record.trace.reason = reason;
                    if !self.resume().await {
                        self.record.finish("broken off");
                        return Some(Err(Broken));
                    }
                }
            }
        }
    }

    /// Reads until a whole event is there.
    async fn read(&mut self) -> Read {
        let Some(started) = &mut self.started else {
            return Read::End;
        };
        loop {
            let left = self
                .call
                .until
                .saturating_duration_since(self.gateway.clock.now());
            let limit = MAX_PAUSE.min(left);
            let frame = match time::timeout(limit, started.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.splitter.is_whole() => return Read::End,
                Ok(None) => return Read::Broken("ended within an event"),
                Ok(Some(Err(_))) => return Read::Broken("stream broke"),
                Err(_) => return Read::Broken("stream silent"),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Some(events) if events.is_empty() => {}
                Some(events) => return Read::Events(events),
                None => return Read::Broken("event too long"),
            }
        }
    }

    /// Lets another target continue after the last event.
    async fn resume(&mut self) -> bool {
        let trace = &mut self.record.trace;
        trace.may_have_run = true;
        let last = self.splitter.last();
        if last.is_none() || !self.gateway.may_resend(&self.call, trace) {
            return false;
        }
        let Ok(started) = self.gateway.start(&self.call, trace, last).await else {
            return false;
        };
        if !started.head.status.is_success() {
            return false;
        }
        self.splitter = Splitter::after(last);
        self.record.resumed += 1;
        self.started = Some(started);
        true
    }
}
