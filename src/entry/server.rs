//! HTTP server for client connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use super::Entry;
use super::operation::Journal;
use super::timeout;
use crate::clock::Clock;
use crate::shared_state::Phase;

/// Interval of HTTP/2 pings to clients.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Time to wait for the reply to a ping before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the start of a planned shutdown and the closing of the
/// listener, in which the load balancer detects that the entry is not ready.
/// Meanwhile, responses ask clients to close their connections.
const SHUTDOWN_NOTICE: Duration = Duration::from_secs(1);
/// Smallest header buffer that the HTTP library accepts, bytes.
const MIN_HEADER_BYTES: usize = 8192;

/// Serves clients until a planned shutdown.
pub async fn run<C: Clock, J: Journal>(listener: TcpListener, entry: Arc<Entry<C, J>>) {
    let shutdown = async {
        entry.wait_for_shutdown().await;
        time::sleep(SHUTDOWN_NOTICE).await;
    };
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, &entry),
            // Too many open files; accepted connections continue.
            Err(_) => time::sleep(Duration::from_millis(10)).await,
        }
    }
    // Accepts the connections that are still in the listener's backlog.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn(stream, &entry);
    }
}

fn spawn<C: Clock, J: Journal>(stream: TcpStream, entry: &Arc<Entry<C, J>>) {
    tokio::spawn(serve(stream, entry.clone()));
}

async fn serve<C: Clock, J: Journal>(stream: TcpStream, entry: Arc<Entry<C, J>>) {
    let _ = stream.set_nodelay(true);
    let limits = &entry.ctx.settings.limits;
    let header_timeout = Duration::from_millis(limits.header_ms);
    let idle_timeout = Duration::from_millis(limits.idle_ms);
    let header_bytes = limits.header_bytes.max(MIN_HEADER_BYTES);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX));
    let shared = entry.clone();
    let service = service_fn(move |request| {
        let entry = shared.clone();
        async move { Ok::<_, Infallible>(entry.handle(request).await) }
    });
    let stream = TokioIo::new(timeout::Stream::new(stream, header_timeout, idle_timeout));
    let connection = builder.serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let shutdown = async {
        entry.wait_for_shutdown().await;
        time::sleep(SHUTDOWN_NOTICE).await;
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

impl<C: Clock, J: Journal> Entry<C, J> {
    /// Whether a planned shutdown has started.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        *self.ctx.state.phase.borrow() == Phase::Draining
    }

    async fn wait_for_shutdown(&self) {
        let mut phases = self.ctx.state.phase.subscribe();
        let draining = phases.wait_for(|phase| *phase == Phase::Draining);
        if draining.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
