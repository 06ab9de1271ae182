//! Accepts callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::net;

/// Pause after a failed accept, so that a lack of descriptors does not use up the processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond the configured idle limit until a connection is closed: a caller may use
/// the whole limit, and its request must not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest size that the parser accepts for its buffer, bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Serves callers until the task is aborted.
pub async fn run<C: Clock>(listener: TcpListener, gateway: Arc<Gateway<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = net::configure_socket(&stream) {
                    let reason = e.to_string();
                    warn!(reason = reason.as_str(); "connection refused");
                    continue;
                }
                tokio::spawn(connection(stream, gateway.clone()));
            }
            Err(e) => {
                let reason = e.to_string();
                warn!(reason = reason.as_str(); "can't accept");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<C: Clock>(stream: TcpStream, gateway: Arc<Gateway<C>>) {
    let view = gateway.board.snapshot();
    let limits = view.config.as_ref().map(|c| c.limits).unwrap_or_default();
    drop(view);
    let closing = gateway.closing.clone();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(gateway.handle(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    // Failures of a caller's connection concern only that caller.
    tokio::select! {
        _ = served.as_mut() => return,
        () = closing.cancelled() => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
