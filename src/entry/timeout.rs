//! TCP stream that fails when the client stalls.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Instant, Sleep};

/// Number of bytes after which a request counts as started: the length of the
/// HTTP/2 preface, which is shorter than any HTTP/1.1 request with a `host`
/// header.
const MIN_REQUEST_BYTES: usize = 24;

/// TCP stream with time limits for the first bytes and for blocked writes. The
/// HTTP library limits the time for a request's header only once it knows the
/// protocol, and waits without limit for clients that don't read.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    received: usize,
    begin_timer: Pin<Box<Sleep>>,
    write_timeout: Duration,
    /// Runs while a write is blocked.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Limits the time for the first bytes to `begin_timeout` and the time of a
    /// blocked write to `write_timeout`.
    #[must_use]
    pub fn new(inner: TcpStream, begin_timeout: Duration, write_timeout: Duration) -> Self {
        Self {
            inner,
            received: 0,
            begin_timer: Box::pin(time::sleep(begin_timeout)),
            write_timeout,
            write_timer: None,
        }
    }

    fn limit_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let deadline = Instant::now() + self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(time::sleep_until(deadline)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(timed_out("client does not read the response"))),
            Poll::Pending => Poll::Pending,
        }
    }
}

fn timed_out(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, reason.to_owned())
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.inner).poll_read(cx, buf);
        this.received += buf.filled().len() - before;
        let waiting = result.is_pending() && this.received < MIN_REQUEST_BYTES;
        if waiting && this.begin_timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(timed_out("no request received in time")));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write(cx, buf);
        this.limit_write(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.limit_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}
