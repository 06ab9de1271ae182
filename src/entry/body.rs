//! Body of a response to a client.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant, Sleep};

use super::deaths::DeathTracker;
use super::pool::Slot;
use super::record::{End, Record};
use super::share::Admission;
use crate::clock::Clock;
use crate::shared_state::RequestGuard;

/// Response body that is forwarded from a target.
#[derive(Debug)]
pub struct Stream<C: Clock> {
    first: Option<Frame<Bytes>>,
    body: Incoming,
    ended: bool,
    /// Released when the response ends.
    slot: Option<Slot<C>>,
    record: Record<C>,
    deaths: Arc<DeathTracker<C>>,
    admission: Option<Admission<C>>,
    idle_timeout: Duration,
    /// Fires when no frame arrives within `idle_timeout`, or at `deadline`.
    timer: Pin<Box<Sleep>>,
    deadline: Option<Instant>,
    /// Runs after the target aborted the response and reports the target's
    /// death, if it died.
    death_check: Option<JoinHandle<()>>,
}

/// Arguments of [`Body::streaming`].
#[derive(Debug)]
pub struct StreamParts<C: Clock> {
    /// Frame that was already read.
    pub first: Option<Frame<Bytes>>,
    /// Rest of the response body.
    pub body: Incoming,
    /// Slot at the target.
    pub slot: Slot<C>,
    /// Access log record of the request.
    pub record: Record<C>,
    /// Tracker to report a death of the target to.
    pub deaths: Arc<DeathTracker<C>>,
    /// Counts the request towards the account's concurrency limit.
    pub admission: Admission<C>,
    /// Longest time between two frames.
    pub idle_timeout: Duration,
    /// When the client stops waiting for the end of the response.
    pub deadline: Option<Instant>,
}

/// Body of a response to a client.
#[derive(Debug)]
pub struct Body<C: Clock> {
    kind: Kind<C>,
    /// Counts the request as in progress until the response ends.
    _progress: RequestGuard,
}

#[derive(Debug)]
enum Kind<C: Clock> {
    Buffered(Full<Bytes>),
    Streaming(Box<Stream<C>>),
}

impl<C: Clock> Body<C> {
    /// Creates a body whose bytes are all available.
    #[must_use]
    pub fn buffered(body: Bytes, progress: RequestGuard) -> Self {
        Self {
            kind: Kind::Buffered(Full::new(body)),
            _progress: progress,
        }
    }

    /// Creates a body that forwards the response of a target.
    #[must_use]
    pub fn streaming(parts: StreamParts<C>, progress: RequestGuard) -> Self {
        let stream = Stream {
            first: parts.first,
            body: parts.body,
            ended: false,
            slot: Some(parts.slot),
            record: parts.record,
            deaths: parts.deaths,
            admission: Some(parts.admission),
            idle_timeout: parts.idle_timeout,
            timer: Box::pin(time::sleep(parts.idle_timeout)),
            deadline: parts.deadline,
            death_check: None,
        };
        Self {
            kind: Kind::Streaming(Box::new(stream)),
            _progress: progress,
        }
    }
}

impl<C: Clock> Stream<C> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(first) = self.first.take() {
            self.on_frame();
            return Poll::Ready(Some(Ok(first)));
        }
        if self.death_check.is_some() {
            return self.poll_death_check(cx);
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.on_frame();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.on_error();
                self.poll_death_check(cx)
            }
            Poll::Ready(None) => {
                self.on_end();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    /// Delays the error until the other entries know of the target's death, so
    /// that a retry by the client finds its fingerprint quarantined at any
    /// entry.
    fn poll_death_check(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(death_check) = &mut self.death_check {
            let _ = ready!(Pin::new(death_check).poll(cx));
        }
        self.death_check = None;
        let error = io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "target aborted the response",
        );
        Poll::Ready(Some(Err(error)))
    }

    fn poll_timer(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.ended = true;
        self.record.code = "no_progress";
        self.record.finish(End::Truncated);
        if let Some(slot) = self.slot.take() {
            slot.on_timeout();
        }
        self.admission = None;
        let error = io::Error::new(
            io::ErrorKind::TimedOut,
            "response stalled or exceeded its deadline",
        );
        Poll::Ready(Some(Err(error)))
    }

    /// Called for each frame that is passed to the client. Ends the response at
    /// the last byte of a body of known length, since the server doesn't poll
    /// further.
    fn on_frame(&mut self) {
        let complete = self.body.is_end_stream() || self.body.size_hint().exact() == Some(0);
        if complete {
            self.on_end();
            return;
        }
        let idle_deadline = Instant::now() + self.idle_timeout;
        let until = self
            .deadline
            .map_or(idle_deadline, |end| idle_deadline.min(end));
        self.timer.as_mut().reset(until);
    }

    fn on_end(&mut self) {
        self.ended = true;
        self.record.finish(End::Done);
        self.admission = None;
        if let Some(slot) = self.slot.take() {
            slot.on_end();
            if slot.exclusive {
                self.deaths.release(&slot.fingerprint);
            }
        }
    }

    fn on_error(&mut self) {
        self.ended = true;
        self.record.code = "answer_cut";
        self.record.finish(End::Truncated);
        self.admission = None;
        if let Some(slot) = self.slot.take() {
            let deaths = self.deaths.clone();
            let death_check = tokio::spawn(async move { deaths.check_death(&slot).await });
            self.death_check = Some(death_check);
        }
    }
}

impl<C: Clock> http_body::Body for Body<C> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().kind {
            Kind::Buffered(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Streaming(stream) => stream.poll(cx),
        }
    }

    /// Returns `false` for streams, so that the server polls them to their end,
    /// which finishes the record and releases the slot.
    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Buffered(full) => full.is_end_stream(),
            Kind::Streaming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Buffered(full) => full.size_hint(),
            Kind::Streaming(stream) => {
                let first = stream.first.as_ref().and_then(Frame::data_ref);
                let first = first.map_or(0, |d| d.len() as u64);
                let rest = stream.body.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + first);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + first);
                }
                hint
            }
        }
    }
}
