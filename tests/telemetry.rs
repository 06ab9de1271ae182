//! The HTTP server for metrics and health checks.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use corianderramp::shared_state::{Phase, SharedState};
use corianderramp::{burn, telemetry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

async fn get(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

/// Guards against a load balancer that sends requests to an entry which has no
/// configuration yet or is draining, and against metrics that miss a counted request.
#[tokio::test]
async fn readiness_follows_the_phase_and_metrics_count_outcomes() {
    telemetry::init();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let state = Arc::new(SharedState::default());
    let stop = CancellationToken::new();
    let server = tokio::spawn(telemetry::serve(listener, Arc::clone(&state), stop.clone()));

    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 503"));
    assert!(get(address, "/livez").await.starts_with("HTTP/1.1 200"));
    state.phase.send_replace(Phase::Ready);
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 200"));
    state.phase.send_replace(Phase::Draining);
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 503"));

    let counter = burn::Counter::default();
    counter.record("shake-llm", "glenrosa", burn::Outcome::Late);
    let page = get(address, "/metrics").await;
    let line = r#"corianderramp_requests_total{service="shake-llm",outcome="late"} 1"#;
    assert!(page.contains(line), "{page}");
    assert!(page.contains("corianderramp_phase 2"), "{page}");

    stop.cancel();
    server.await.unwrap();
}
