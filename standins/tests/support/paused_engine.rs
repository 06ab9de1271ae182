//! Model engine that falls silent as a whole: it accepts connections, but answers nothing.

#![allow(dead_code)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

/// Time in which the engine loads a version.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// State that the engine reports.
#[derive(Debug, Default)]
pub struct State {
    /// Number of requests that run.
    pub running: u32,
    /// Version of the weights.
    pub version: u64,
    /// Number of load orders accepted.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// How long the engine is silent when it gets its next order.
    pub pause_at_order: Option<Duration>,
    /// How late the engine answers its next order, which it accepts at once.
    pub order_answer_delay: Option<Duration>,
    /// Chunks in the staging area.
    pub staged: Vec<Option<Bytes>>,
}

/// Engine that a test pauses.
#[derive(Clone, Debug)]
pub struct Engine {
    pub state: Arc<Mutex<State>>,
    is_paused: watch::Sender<bool>,
}

impl Engine {
    pub async fn start(address: SocketAddr) -> Self {
        let state = State {
            version: 1,
            ..State::default()
        };
        let engine = Self {
            state: Arc::new(Mutex::new(state)),
            is_paused: watch::Sender::new(false),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let served = engine.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = served.clone();
                let service = service_fn(move |request| {
                    let engine = engine.clone();
                    async move { Ok::<_, Infallible>(engine.handle(request).await) }
                });
                tokio::spawn(async move {
                    // Hosts close connections that are silent for too long.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        engine
    }

    pub fn pause(&self) {
        self.is_paused.send_replace(true);
    }

    pub fn resume(&self) {
        self.is_paused.send_replace(false);
    }

    fn pause_for(&self, pause: Duration) {
        self.pause();
        let engine = self.clone();
        tokio::spawn(async move {
            time::sleep(pause).await;
            engine.resume();
        });
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        if parts.uri.path() == "/order" {
            let pause = self.state.lock().pause_at_order.take();
            if let Some(pause) = pause {
                self.pause_for(pause);
            }
        }
        // A request that arrived before the pause ended is read after it.
        let _ = self.is_paused.subscribe().wait_for(|paused| !*paused).await;
        let path = parts.uri.path();
        let mut pairs = parts.uri.query().unwrap_or_default().split('&');
        let index = pairs.find_map(|p| p.strip_prefix("item_count="));
        let index = index.and_then(|i| i.parse::<usize>().ok());
        let delay = if path == "/order" {
            self.state.lock().order_answer_delay.take()
        } else {
            None
        };
        let response = self.respond(path, index, body.unwrap_or_default());
        time::sleep(delay.unwrap_or_default()).await;
        response
    }

    fn respond(&self, path: &str, index: Option<usize>, body: Bytes) -> Response<Full<Bytes>> {
        let mut state = self.state.lock();
        match (path, index) {
            ("/report", _) => respond(StatusCode::OK, report(&state).to_string()),
            ("/order", _) => {
                let order: Value = serde_json::from_slice(&body).unwrap();
                if order["precondition"] != json!(state.orders) {
                    return respond(StatusCode::CONFLICT, "");
                }
                state.orders += 1;
                state.is_busy = true;
                let (state, version) = (self.state.clone(), order["version"].as_u64());
                tokio::spawn(async move {
                    time::sleep(LOAD_TIME).await;
                    let mut state = state.lock();
                    state.is_busy = false;
                    state.version = version.unwrap();
                });
                respond(StatusCode::ACCEPTED, "")
            }
            (p, Some(i)) if p.starts_with("/stage-put/") => {
                let size = state.staged.len().max(i + 1);
                state.staged.resize(size, None);
                state.staged[i] = Some(body);
                respond(StatusCode::OK, "")
            }
            (p, Some(i)) if p.starts_with("/stage-get/") => {
                let chunk = state.staged.get(i).cloned().flatten();
                respond(StatusCode::OK, chunk.unwrap_or_default())
            }
            _ => respond(StatusCode::NOT_FOUND, ""),
        }
    }
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn report(state: &State) -> Value {
    json!({"busy": state.is_busy, "sequence": state.orders, "queued": 0, "running": state.running,
        "models": [{"name": "m0", "version": state.version, "adapters": []}], "born": 1})
}
