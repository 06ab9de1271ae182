//! HTTP server for callers.

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

/// Pause after a failed accept. Without it, a lack of file descriptors causes a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time added to the configured idle timeout. Callers may use a connection until the
/// timeout, and such a request must not arrive at a connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Smallest read buffer that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until the task is aborted.
pub async fn run<C: Clock>(listener: TcpListener, gateway: Arc<Gateway<C>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = net::configure_socket(&stream) {
                    let reason = e.to_string();
                    warn!(reason = reason.as_str(); "configuring a connection failed");
                    continue;
                }
                tokio::spawn(serve_connection(stream, gateway.clone()));
            }
            Err(e) => {
                let reason = e.to_string();
                warn!(reason = reason.as_str(); "accepting a connection failed");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<C: Clock>(stream: TcpStream, gateway: Arc<Gateway<C>>) {
    let catalog = gateway.catalog.snapshot();
    let limits = catalog
        .config
        .as_ref()
        .map(|c| c.limits)
        .unwrap_or_default();
    drop(catalog);
    let closing = gateway.closing.clone();
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(gateway.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error on a connection affects only its caller, so it isn't logged.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
