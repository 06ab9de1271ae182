//! Body of a forwarded answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::blackboard::Blackboard;

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct Active {
    board: Arc<Blackboard>,
}

impl Active {
    /// Raises the count of requests in progress.
    #[must_use]
    pub fn new(board: &Arc<Blackboard>) -> Self {
        board.active.send_modify(|n| *n += 1);
        Self {
            board: board.clone(),
        }
    }

    /// Requests in progress, this one included.
    #[must_use]
    pub fn count(&self) -> u32 {
        *self.board.active.borrow()
    }

    /// Publishes the time to the first byte of the answer.
    fn answered(&self, latency: Duration) {
        self.board.latency.send_replace(latency);
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.board.active.send_modify(|n| *n = n.saturating_sub(1));
    }
}

/// Body of an answer to an entry.
#[derive(Debug)]
pub enum Forwarded {
    /// Text of the agent itself.
    Own(Full<Bytes>),
    /// Answer of the target; the request counts as in progress until it ends.
    Target {
        /// Frames of the answer, passed on as they are.
        body: Incoming,
        /// Held until the answer ends.
        active: Active,
        /// Begin of the request, until the first byte of the answer.
        begun: Option<Instant>,
        /// Told when the target breaks the answer off.
        broken: Arc<Notify>,
    },
}

impl Body for Forwarded {
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
                active,
                begun,
                broken,
            } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                if let Some(begun) = begun.take() {
                    active.answered(begun.elapsed());
                }
                if matches!(frame, Some(Err(_))) {
                    broken.notify_one();
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
