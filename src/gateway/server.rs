//! HTTP server for callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use metrics::counter;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::clock::Clock;
use crate::fleet::Limits;
use crate::gateway::Gateway;
use crate::gateway::connection::{GuardedBody, Progress, Socket, Stage};
use crate::gateway::guard::OpenConnection;
use crate::net;
use crate::place::idle;

/// Pause after a failed accept. Without it, a lack of file descriptors causes a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest bound of the buffer for a request head, bytes. The bound of an open connection
/// can't change, so it leaves room for a later configuration that allows larger heads.
const MIN_BUFFER_BYTES: usize = 128 * 1024;
/// Size of the pieces in which the rest of a request is discarded, bytes.
const DISCARD_BYTES: usize = 4 * 1024;
/// Refusal of a request whose head took too long; no target has run it.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves callers until open connections must be closed.
pub async fn run<C: Clock>(listener: TcpListener, gateway: Arc<Gateway<C>>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, &gateway),
            Err(e) => {
                let reason = e.to_string();
                warn!(reason = reason.as_str(); "accepting a connection failed");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // The callers of connections in the backlog have connected and may have sent a request.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            let is_set = stream.set_nonblocking(true).is_ok();
            if let (true, Ok(stream)) = (is_set, TcpStream::from_std(stream)) {
                start_connection(stream, &gateway);
            }
        }
    }
}

fn start_connection<C: Clock>(stream: TcpStream, gateway: &Arc<Gateway<C>>) {
    if let Err(e) = net::configure_socket(&stream) {
        let reason = e.to_string();
        warn!(reason = reason.as_str(); "configuring a connection failed");
        return;
    }
    let open = OpenConnection::begin(gateway);
    let serving = serve_connection(stream, gateway.clone());
    tokio::spawn(async move {
        let _open = open;
        serving.await;
    });
}

/// How the service of a connection ends.
enum End {
    /// The caller has left, the last response is written, or the connection failed.
    Finished,
    /// No request came in time.
    Expired,
    /// A request head took too long.
    SlowHead,
}

async fn serve_connection<C: Clock>(stream: TcpStream, gateway: Arc<Gateway<C>>) {
    let progress = Progress::new(gateway.clock.clone());
    let mut limits = gateway.caller_limits.subscribe();
    let closing = gateway.closing.clone();
    let service = {
        let (gateway, progress) = (gateway.clone(), progress.clone());
        service_fn(move |request| {
            let gateway = gateway.clone();
            let guard = progress.begin_response();
            async move {
                let response = gateway.handle(request).await;
                Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
            }
        })
    };
    let socket = Socket::new(stream, progress.clone());
    let head_bytes = limits.borrow().head_bytes;
    let mut connection = http1::Builder::new()
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES).saturating_mul(2))
        .serve_connection(TokioIo::new(socket), service);
    let mut timer = std::pin::pin!(time::sleep(Duration::ZERO));
    let mut is_closing = false;
    let end = loop {
        let current = *limits.borrow_and_update();
        // The stage changes only while the connection is polled, so the timer is set after that.
        let serve = poll_fn(|cx| {
            loop {
                // An error on a connection affects only its caller, so it isn't logged.
                if Pin::new(&mut connection).poll(cx).is_ready() {
                    let is_expired = progress.is_expired();
                    let end = if is_expired {
                        End::Expired
                    } else {
                        End::Finished
                    };
                    return Poll::Ready(end);
                }
                let Some(deadline) = progress.deadline(&current, is_closing) else {
                    return Poll::Pending;
                };
                let deadline = time::Instant::from_std(deadline);
                if timer.deadline() != deadline {
                    timer.as_mut().reset(deadline);
                }
                ready!(timer.as_mut().poll(cx));
                if progress.stage() == Stage::Head {
                    return Poll::Ready(End::SlowHead);
                }
                if progress.is_expired() {
                    // A request has arrived, of which the runtime is about to learn.
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                progress.expire();
            }
        });
        tokio::select! {
            end = serve => break end,
            Ok(()) = limits.changed() => {}
            () = closing.cancelled(), if !is_closing => is_closing = true,
        }
    };
    let reason = match end {
        End::Finished => None,
        End::Expired if is_closing => Some("stopping"),
        End::Expired => Some("idle"),
        End::SlowHead => Some("slow head"),
    };
    if let Some(reason) = reason {
        counter!("corianderramp_gateway_closed_connections_total", "reason" => reason).increment(1);
        debug!(reason = reason; "connection closed");
    }
    let mut socket = connection.into_parts().io.into_inner();
    match end {
        // What arrives now must not be read, so that its caller knows that it was not.
        End::Expired => return,
        End::SlowHead => {
            // The caller may have left.
            let _ = socket.write_all(SLOW_HEAD_RESPONSE).await;
        }
        End::Finished => {}
    }
    let limit = limits.borrow().idle_timeout;
    finish(socket, limit).await;
}

/// Waits until the caller has closed the connection, for `limit` at most. A socket that is closed
/// with unread bytes resets the connection, and the caller loses the rest of the response.
async fn finish<S: AsyncRead + AsyncWrite + Unpin>(mut socket: S, limit: Duration) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut rest = vec![0; DISCARD_BYTES];
    let discard = async { while socket.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
    let _ = time::timeout(limit, discard).await;
}

impl<C: Clock> Gateway<C> {
    /// Applies the limits of each configuration to open connections.
    pub(super) async fn follow_limits(self: Arc<Self>) {
        let delay = self.bounds.config_limit();
        let mut snapshots = self.catalog.subscribe();
        let mut idle_limit = idle::Limit::new(self.caller_limits.borrow().idle_timeout);
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            let now = self.clock.now();
            if let Some(config) = &snapshot.config {
                idle_limit.set(config.limits.idle_timeout, now, delay);
                let limits = Limits {
                    idle_timeout: idle_limit.current(now),
                    ..config.limits
                };
                self.caller_limits.send_if_modified(|current| {
                    let is_new = *current != limits;
                    *current = limits;
                    is_new
                });
            }
            drop(snapshot);
            let next = idle_limit.next_change(now).map(time::Instant::from_std);
            let wait = async {
                match next {
                    Some(next) => time::sleep_until(next).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = snapshots.changed() => if changed.is_err() { return },
                () = wait => {}
            }
        }
    }
}
