//! Body of an answer to a caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant, Sleep};

use super::deaths::Deaths;
use super::pool::Ticket;
use super::record::{End, Record};
use super::share::Admitted;
use crate::blackboard::InProgress;
use crate::clock::Clock;

/// Answer that a target streams.
#[derive(Debug)]
pub struct Stream<C: Clock> {
    first: Option<Frame<Bytes>>,
    body: Incoming,
    ended: bool,
    /// Given back when the answer ends.
    ticket: Option<Ticket<C>>,
    record: Record<C>,
    deaths: Arc<Deaths<C>>,
    admitted: Option<Admitted<C>>,
    idle: Duration,
    /// Ends an answer without progress, or after the caller's deadline.
    timer: Pin<Box<Sleep>>,
    end: Option<Instant>,
    /// Finds out why the answer broke off.
    judging: Option<JoinHandle<()>>,
}

/// What a streamed answer consists of.
#[derive(Debug)]
pub struct Parts<C: Clock> {
    /// Frame that was read already.
    pub first: Option<Frame<Bytes>>,
    /// Rest of the answer.
    pub body: Incoming,
    /// Place at the target.
    pub ticket: Ticket<C>,
    /// Record of the request.
    pub record: Record<C>,
    /// Told when the target dies.
    pub deaths: Arc<Deaths<C>>,
    /// Place within the account's limits.
    pub admitted: Admitted<C>,
    /// Longest time without progress.
    pub idle: Duration,
    /// When the caller stops waiting for the end.
    pub end: Option<Instant>,
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct Answer<C: Clock> {
    kind: Kind<C>,
    /// Held until the answer ends.
    _progress: InProgress,
}

#[derive(Debug)]
enum Kind<C: Clock> {
    Whole(Full<Bytes>),
    Stream(Box<Stream<C>>),
}

impl<C: Clock> Answer<C> {
    /// Answer that is there as a whole.
    #[must_use]
    pub fn whole(body: Bytes, progress: InProgress) -> Self {
        Self {
            kind: Kind::Whole(Full::new(body)),
            _progress: progress,
        }
    }

    /// Answer that a target streams.
    #[must_use]
    pub fn stream(parts: Parts<C>, progress: InProgress) -> Self {
        let stream = Stream {
            first: parts.first,
            body: parts.body,
            ended: false,
            ticket: Some(parts.ticket),
            record: parts.record,
            deaths: parts.deaths,
            admitted: Some(parts.admitted),
            idle: parts.idle,
            timer: Box::pin(time::sleep(parts.idle)),
            end: parts.end,
            judging: None,
        };
        Self {
            kind: Kind::Stream(Box::new(stream)),
            _progress: progress,
        }
    }
}

impl<C: Clock> Stream<C> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(first) = self.first.take() {
            self.passed();
            return Poll::Ready(Some(Ok(first)));
        }
        if self.judging.is_some() {
            return self.poll_judging(cx);
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.passed();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                self.cut();
                self.poll_judging(cx)
            }
            Poll::Ready(None) => {
                self.done();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    /// Holds the error back until the other entries know of a death, so that a
    /// request sent again meets the suspicion.
    fn poll_judging(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(judging) = &mut self.judging {
            let _ = ready!(Pin::new(judging).poll(cx));
        }
        self.judging = None;
        let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "the target broke off");
        Poll::Ready(Some(Err(cut)))
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
        self.record.finish(End::Cut);
        if let Some(ticket) = self.ticket.take() {
            ticket.late();
        }
        self.admitted = None;
        let late = io::Error::new(io::ErrorKind::TimedOut, "no progress");
        Poll::Ready(Some(Err(late)))
    }

    /// A frame goes to the caller. The server doesn't ask for more after the
    /// last byte of a body of known length.
    fn passed(&mut self) {
        let complete = self.body.is_end_stream() || self.body.size_hint().exact() == Some(0);
        if complete {
            self.done();
            return;
        }
        let next = Instant::now() + self.idle;
        let until = self.end.map_or(next, |end| next.min(end));
        self.timer.as_mut().reset(until);
    }

    fn done(&mut self) {
        self.ended = true;
        self.record.finish(End::Done);
        self.admitted = None;
        if let Some(ticket) = self.ticket.take() {
            ticket.ended();
            if ticket.alone {
                self.deaths.acquit(&ticket.fingerprint);
            }
        }
    }

    fn cut(&mut self) {
        self.ended = true;
        self.record.code = "answer_cut";
        self.record.finish(End::Cut);
        self.admitted = None;
        if let Some(ticket) = self.ticket.take() {
            let deaths = self.deaths.clone();
            let judging = tokio::spawn(async move { deaths.judge(&ticket).await });
            self.judging = Some(judging);
        }
    }
}

impl<C: Clock> Body for Answer<C> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().kind {
            Kind::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Stream(stream) => stream.poll(cx),
        }
    }

    /// A stream ends only when it was polled to its end, so that its record
    /// and its place at the target are closed properly.
    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(full) => full.is_end_stream(),
            Kind::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(full) => full.size_hint(),
            Kind::Stream(stream) => {
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
