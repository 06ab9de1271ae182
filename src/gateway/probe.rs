//! HTTP server for the load balancer's readiness probes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::info;
use tokio::net::TcpListener;
use tokio::time;

use crate::clock::{Clock, Moment};
use crate::fleet::revision;
use crate::gateway::Gateway;
use crate::platform::request;

/// Time without contact to the store after which the gateway is not ready, unless a host
/// agent still reports.
const MAX_STORE_SILENCE: Duration = Duration::from_secs(4);
/// Pause after a failed accept. Without it, a lack of file descriptors causes a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves probes until the process ends.
pub async fn serve<C: Clock>(listener: TcpListener, gateway: Arc<Gateway<C>>) {
    let mut was_ready = false;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let is_ready = gateway.is_ready();
        if is_ready != was_ready {
            info!(ready = is_ready, config = revision::number(gateway.catalog.snapshot().config_revision), stopping = gateway.is_stopping(); "readiness changed");
            was_ready = is_ready;
        }
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let service = service_fn(move |probe: http::Request<hyper::body::Incoming>| {
                let is_probe = request::is_ready_probe(probe.method(), probe.uri());
                let status = match (is_probe, gateway.is_ready()) {
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                    (false, _) => StatusCode::NOT_FOUND,
                };
                let mut response = Response::new(Full::<Bytes>::default());
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            // An error on a probe connection needs no handling: the prober connects again.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

impl<C: Clock> Gateway<C> {
    /// Returns whether the gateway can serve new connections. It can't during shutdown,
    /// without a configuration, without a state of the evacuations, or without contact to both the store and all host agents.
    pub(super) fn is_ready(&self) -> bool {
        let has_config = self.catalog.snapshot().config.is_some();
        if self.is_stopping() || !has_config || !self.knows_evacuations() {
            return false;
        }
        let now = self.clock.now();
        let has_store = self
            .store_contact
            .age(Moment::of(&self.clock))
            .is_some_and(|age| age < MAX_STORE_SILENCE);
        has_store || self.pool.lock().iter().any(|(_, e)| e.has_agent(now))
    }
}
