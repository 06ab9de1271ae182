//! Body of a forwarded answer.

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

/// Keeps the target for one request until it is dropped.
#[derive(Debug)]
pub struct Alone {
    kept: Arc<AtomicBool>,
}

impl Alone {
    /// Keeps the target, unless it is kept already.
    #[must_use]
    pub fn new(kept: &Arc<AtomicBool>) -> Option<Self> {
        let taken = kept.swap(true, Ordering::SeqCst);
        (!taken).then(|| Self { kept: kept.clone() })
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        self.kept.store(false, Ordering::SeqCst);
    }
}

/// Publishes how long an answer took to begin, for the pacing of transfers.
#[derive(Debug)]
pub struct Timing<C: Clock> {
    clock: C,
    state: Arc<SharedState>,
    started: Instant,
}

impl<C: Clock> Timing<C> {
    /// Timing of a request that is sent now.
    #[must_use]
    pub fn new(clock: &C, state: &Arc<SharedState>) -> Self {
        Self {
            clock: clock.clone(),
            state: state.clone(),
            started: clock.now(),
        }
    }

    fn first_byte(&self) {
        let took = self.clock.now().saturating_duration_since(self.started);
        self.state.latency.send_replace(took);
    }
}

/// Body of an answer to an entry.
#[derive(Debug)]
pub enum Forwarded<C: Clock> {
    /// Text of the agent itself.
    Own(Full<Bytes>),
    /// Answer of the target; the request counts as in progress until it ends.
    Target {
        /// Frames of the answer, passed on as they are.
        body: Incoming,
        /// Held until the answer ends.
        _active: RequestGuard,
        /// Held until the answer ends, for a request that runs alone.
        _alone: Option<Alone>,
        /// Told when the target breaks the answer off.
        broken: Arc<Notify>,
        /// Used up by the first frame.
        timing: Option<Timing<C>>,
    },
}

impl<C: Clock> Unpin for Forwarded<C> {}

impl<C: Clock> Body for Forwarded<C> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Own(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Target {
                body,
                broken,
                timing,
                ..
            } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                match (&frame, timing.take()) {
                    (Some(Ok(_)), Some(timing)) => timing.first_byte(),
                    (Some(Err(_)), _) => broken.notify_one(),
                    _ => {}
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(full) => full.is_end_stream(),
            Self::Target { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(full) => full.size_hint(),
            Self::Target { body, .. } => body.size_hint(),
        }
    }
}
