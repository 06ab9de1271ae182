//! A connection that ends when its peer stalls.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Instant, Sleep};

/// Bytes after which a connection counts as begun: the length of the HTTP/2
/// preface, which is shorter than any HTTP/1.1 request with a `host` header.
const BEGUN: usize = 24;

/// Stream with a time limit for its first bytes and for progress of writes. The
/// HTTP library limits the time for a request's header only once it knows the
/// protocol, and waits without limit for callers that don't read.
#[derive(Debug)]
pub struct Stall {
    stream: TcpStream,
    received: usize,
    begin: Pin<Box<Sleep>>,
    idle: Duration,
    /// Runs while a write is blocked.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl Stall {
    /// Limits the first bytes to `begin` and a blocked write to `idle`.
    #[must_use]
    pub fn new(stream: TcpStream, begin: Duration, idle: Duration) -> Self {
        Self {
            stream,
            received: 0,
            begin: Box::pin(time::sleep(begin)),
            idle,
            blocked: None,
        }
    }

    fn track<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.blocked = None;
            return result;
        }
        let until = Instant::now() + self.idle;
        let timer = self
            .blocked
            .get_or_insert_with(|| Box::pin(time::sleep_until(until)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(stalled("the caller does not read"))),
            Poll::Pending => Poll::Pending,
        }
    }
}

fn stalled(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, reason.to_owned())
}

impl AsyncRead for Stall {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        this.received += buf.filled().len() - before;
        let waiting = result.is_pending() && this.received < BEGUN;
        if waiting && this.begin.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(stalled("no request came")));
        }
        result
    }
}

impl AsyncWrite for Stall {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.track(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.track(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
