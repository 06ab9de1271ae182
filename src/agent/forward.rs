//! Response body of a forwarded request.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::shared_state::{RequestGuard, SharedState};

/// Reserves the target for one exclusive request until it is dropped.
#[derive(Debug)]
pub struct ExclusiveGuard {
    reserved: Arc<AtomicBool>,
}

impl ExclusiveGuard {
    /// Reserves the target; `None` if it is reserved already.
    #[must_use]
    pub fn new(reserved: &Arc<AtomicBool>) -> Option<Self> {
        let was_reserved = reserved.swap(true, Ordering::SeqCst);
        (!was_reserved).then(|| Self {
            reserved: reserved.clone(),
        })
    }
}

impl Drop for ExclusiveGuard {
    fn drop(&mut self) {
        self.reserved.store(false, Ordering::SeqCst);
    }
}

/// Publishes the time to the first byte of a response, which the rate limiter of
/// weight transfers reads.
#[derive(Debug)]
pub struct FirstByteTimer<C: Clock> {
    clock: C,
    state: Arc<SharedState>,
    started: Instant,
}

impl<C: Clock> FirstByteTimer<C> {
    /// Starts the timer; the request is sent next.
    #[must_use]
    pub fn new(clock: &C, state: &Arc<SharedState>) -> Self {
        Self {
            clock: clock.clone(),
            state: state.clone(),
            started: clock.now(),
        }
    }

    fn record(&self) {
        let latency = self.clock.now().saturating_duration_since(self.started);
        self.state.latency.send_replace(latency);
    }
}

/// Response body sent to an entry.
#[derive(Debug)]
pub enum ResponseBody<C: Clock> {
    /// Body from the agent itself.
    Local(Full<Bytes>),
    /// Body from the target; the request counts as in progress until it ends.
    Target {
        /// Frames of the target's response, forwarded unchanged.
        body: Incoming,
        /// Held until the body ends.
        _active: RequestGuard,
        /// Held until the body ends; `None` unless the request is exclusive.
        _exclusive: Option<ExclusiveGuard>,
        /// Triggers a probe of the target when the body is cut off.
        probe_now: Arc<Notify>,
        /// Taken by the first frame.
        timer: Option<FirstByteTimer<C>>,
    },
}

impl<C: Clock> Unpin for ResponseBody<C> {}

impl<C: Clock> Body for ResponseBody<C> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Local(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Target {
                body,
                probe_now,
                timer,
                ..
            } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                match (&frame, timer.take()) {
                    (Some(Ok(_)), Some(timer)) => timer.record(),
                    (Some(Err(_)), _) => probe_now.notify_one(),
                    _ => {}
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(full) => full.is_end_stream(),
            Self::Target { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(full) => full.size_hint(),
            Self::Target { body, .. } => body.size_hint(),
        }
    }
}
