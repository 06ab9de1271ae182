//! Callers' connections.

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
use super::stall::Stall;
use crate::blackboard::Phase;
use crate::clock::Clock;

/// Interval of HTTP/2 pings to callers.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a connection without an answer to a ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the beginning of a planned stop and the closing of the
/// listener, in which the load balancer notices that the entry is not ready.
/// Answers ask callers to close their connections meanwhile.
const NOTICE: Duration = Duration::from_secs(1);
/// Smallest buffer for a request's header that the HTTP library accepts, bytes.
const MIN_HEADER: usize = 8192;

/// Serves callers until the planned stop.
pub async fn run<C: Clock, J: Journal>(listener: TcpListener, entry: Arc<Entry<C, J>>) {
    let stopping = async {
        entry.wait_stopping().await;
        time::sleep(NOTICE).await;
    };
    let mut stopping = std::pin::pin!(stopping);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopping.as_mut() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, &entry),
            // Too many open files; accepted connections go on.
            Err(_) => time::sleep(Duration::from_millis(10)).await,
        }
    }
    // Connections that callers opened before the listener closes.
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
    let header_time = Duration::from_millis(limits.header_ms);
    let idle = Duration::from_millis(limits.idle_ms);
    let header_bytes = limits.header_bytes.max(MIN_HEADER);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
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
    let stream = TokioIo::new(Stall::new(stream, header_time, idle));
    let connection = builder.serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let stopping = async {
        entry.wait_stopping().await;
        time::sleep(NOTICE).await;
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopping => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

impl<C: Clock, J: Journal> Entry<C, J> {
    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.ctx.board.phase.borrow() == Phase::Draining
    }

    async fn wait_stopping(&self) {
        let mut phases = self.ctx.board.phase.subscribe();
        let draining = phases.wait_for(|phase| *phase == Phase::Draining);
        if draining.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
