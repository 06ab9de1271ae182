//! Connection of a caller: what it waits for, and until when.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use pin_project_lite::pin_project;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::fleet::Limits;

/// Time added to the configured limits. Callers may use a connection until the limit, and such
/// a request must not arrive at a connection that is being closed.
const MARGIN: Duration = Duration::from_secs(2);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The first byte of a request.
    Idle,
    /// The rest of a request head.
    Head,
    /// The response, which is not complete yet.
    Response,
    /// The socket, to take the rest of the response.
    Flush,
}

/// Stage of a connection, shared by its socket, its requests and its task.
#[derive(Debug)]
pub struct Progress<C: Clock> {
    clock: C,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    stage: Stage,
    /// Start of the stage.
    since: Instant,
    /// Whether no request has arrived yet.
    is_new: bool,
    /// Whether the connection ends unless a request has arrived.
    is_expired: bool,
}

impl<C: Clock> Progress<C> {
    /// Starts with an idle connection.
    pub fn new(clock: C) -> Arc<Self> {
        let state = State {
            stage: Stage::Idle,
            since: clock.now(),
            is_new: true,
            is_expired: false,
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Current stage.
    pub fn stage(&self) -> Stage {
        self.state.lock().stage
    }

    /// Returns when the current stage must have ended; `None` if its request has time limits
    /// of its own. With `is_closing`, only the first request of a new connection is waited for.
    pub fn deadline(&self, limits: &Limits, is_closing: bool) -> Option<Instant> {
        let state = self.state.lock();
        match state.stage {
            Stage::Idle if is_closing && state.is_new => Some(state.since + limits.header_timeout),
            Stage::Idle if is_closing => Some(state.since),
            Stage::Idle => Some(state.since + limits.idle_timeout + MARGIN),
            Stage::Head => Some(state.since + limits.header_timeout + MARGIN),
            Stage::Response | Stage::Flush => None,
        }
    }

    /// Makes the next read of the idle connection return its end unless bytes have arrived.
    pub fn expire(&self) {
        self.state.lock().is_expired = true;
    }

    /// Records that a request has arrived; its response is complete when the guard is dropped.
    pub fn begin_response(self: &Arc<Self>) -> ResponseGuard<C> {
        self.enter(Stage::Response);
        ResponseGuard {
            progress: self.clone(),
        }
    }

    fn enter(&self, next: Stage) {
        let mut state = self.state.lock();
        state.stage = next;
        state.since = self.clock.now();
        state.is_new = false;
        state.is_expired = false;
    }

    fn advance(&self, from: Stage, to: Stage) {
        if self.stage() == from {
            self.enter(to);
        }
    }

    /// Whether the connection ends unless a request has arrived.
    pub fn is_expired(&self) -> bool {
        self.state.lock().is_expired
    }
}

/// Response that is not complete.
#[derive(Debug)]
pub struct ResponseGuard<C: Clock> {
    progress: Arc<Progress<C>>,
}

impl<C: Clock> Drop for ResponseGuard<C> {
    fn drop(&mut self) {
        self.progress.enter(Stage::Flush);
    }
}

pin_project! {
    /// Response body that holds the guard of its response.
    #[derive(Debug)]
    pub struct GuardedBody<B, C: Clock> {
        #[pin]
        inner: B,
        guard: ResponseGuard<C>,
    }
}

impl<B, C: Clock> GuardedBody<B, C> {
    /// Keeps `guard` until `inner` is dropped.
    pub fn new(inner: B, guard: ResponseGuard<C>) -> Self {
        Self { inner, guard }
    }
}

impl<B: Body<Data = Bytes>, C: Clock> Body for GuardedBody<B, C> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.project().inner.poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Socket of a connection, which records its progress.
#[derive(Debug)]
pub struct Socket<C: Clock> {
    inner: TcpStream,
    progress: Arc<Progress<C>>,
}

impl<C: Clock> Socket<C> {
    /// Records the progress of `inner`.
    pub fn new(inner: TcpStream, progress: Arc<Progress<C>>) -> Self {
        Self { inner, progress }
    }

    /// Whether bytes have arrived that were not read. Asks the socket itself, because the
    /// runtime learns of them later.
    fn has_unread(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        SockRef::from(&self.inner)
            .peek(&mut byte)
            .is_ok_and(|count| count > 0)
    }
}

impl<C: Clock> AsyncRead for Socket<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_expired() && !self.has_unread() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.advance(Stage::Idle, Stage::Head);
        }
        result
    }
}

impl<C: Clock> AsyncWrite for Socket<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// The HTTP library flushes the socket only when it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.advance(Stage::Flush, Stage::Idle);
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
