//! Plain services that record every execution, with the idempotency key and
//! the body, so that a test can count how often an operation ran.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::toolkit::{self, Body};

/// Settings of one or more equal services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Addresses to listen at, one service each.
    pub listen: Vec<SocketAddr>,
    /// Time before an operation is executed, milliseconds.
    pub delay_ms: u64,
    /// Time between execution and answer, milliseconds.
    pub answer_ms: u64,
    /// A request with this text in its body cuts all connections before it is
    /// executed; empty for none.
    pub crash_before: String,
    /// A request with this text in its body cuts all connections after it was
    /// executed; empty for none.
    pub crash_after: String,
    /// The answer to a request with this text in its body ends half-way; empty
    /// for none.
    pub cut: String,
    /// Time from a crash to the restart, milliseconds.
    pub restart_ms: u64,
}

/// One execution of an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Position in the order of executions.
    pub number: u64,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Value of `idempotency-key`; empty for none.
    pub key: String,
    /// Value of `x-request-id`; empty for none.
    pub request: String,
    /// Body.
    pub body: String,
}

/// A running service; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    state: Arc<State>,
    stop: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    settings: Mutex<Settings>,
    executions: Mutex<Vec<Execution>>,
    crash: Mutex<CancellationToken>,
}

impl Service {
    /// Address that it listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All executions since the start, over all crashes.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.lock().clone()
    }

    /// Replaces the settings for later requests.
    pub fn set(&self, settings: Settings) {
        *self.state.settings.lock() = settings;
    }

    /// Cuts all connections; the service restarts after `restart_ms`.
    pub fn crash(&self) {
        self.state.crash.lock().cancel();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.stop.cancel();
        self.crash();
    }
}

/// Starts one service at `address`; port 0 takes a free port.
///
/// # Errors
/// Fails when the address can't be listened at.
pub async fn start(address: SocketAddr, settings: Settings) -> Result<Service, toolkit::Error> {
    let listener = toolkit::bind(address).await?;
    let address = toolkit::address(&listener)?;
    let state = Arc::new(State {
        settings: Mutex::new(settings),
        ..State::default()
    });
    let stop = CancellationToken::new();
    let lives = live(address, listener, state.clone());
    let token = stop.clone();
    tokio::spawn(async move { token.run_until_cancelled(lives).await });
    Ok(Service {
        address,
        state,
        stop,
    })
}

/// Runs one service at each address until the process is stopped.
///
/// # Errors
/// Fails when an address can't be listened at.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    if settings.listen.is_empty() {
        return Err(toolkit::Error::Unusable {
            reason: "listen: at least one address is needed".into(),
        });
    }
    let mut services = Vec::new();
    for address in &settings.listen {
        services.push(start(*address, settings.clone()).await?);
    }
    std::future::pending().await
}

async fn live(address: SocketAddr, mut listener: TcpListener, state: Arc<State>) {
    loop {
        let crash = CancellationToken::new();
        *state.crash.lock() = crash.clone();
        let shared = state.clone();
        let handler = move |request| route(request, shared.clone());
        toolkit::serve_until(&listener, &crash, handler).await;
        drop(listener);
        let restart = Duration::from_millis(state.settings.lock().restart_ms);
        time::sleep(restart).await;
        listener = loop {
            match toolkit::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(Duration::from_millis(10)).await,
            }
        };
    }
}

async fn route(request: Request<Incoming>, state: Arc<State>) -> Response<Body> {
    let path = request.uri().path();
    if request.method() == Method::GET && path == "/executions" {
        let executions = state.executions.lock().clone();
        return toolkit::json(StatusCode::OK, &json!(executions));
    }
    if request.method() == Method::GET && path == "/state" {
        return toolkit::json(StatusCode::OK, &json!({}));
    }
    execute(request, &state).await
}

async fn execute(request: Request<Incoming>, state: &State) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return toolkit::json(
            StatusCode::BAD_REQUEST,
            &json!({"error": "incomplete body"}),
        );
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let settings = state.settings.lock().clone();
    time::sleep(Duration::from_millis(settings.delay_ms)).await;
    if marked(&text, &settings.crash_before) {
        return crash(state).await;
    }
    let execution = record(&parts, text, state);
    if marked(&execution.body, &settings.crash_after) {
        return crash(state).await;
    }
    time::sleep(Duration::from_millis(settings.answer_ms)).await;
    let echo = json!(execution);
    if marked(&execution.body, &settings.cut) {
        return cut(&echo.to_string());
    }
    toolkit::json(StatusCode::OK, &echo)
}

fn marked(body: &str, marker: &str) -> bool {
    !marker.is_empty() && body.contains(marker)
}

async fn crash(state: &State) -> Response<Body> {
    state.crash.lock().cancel();
    std::future::pending().await
}

fn record(parts: &http::request::Parts, body: String, state: &State) -> Execution {
    let path = parts.uri.path_and_query();
    let mut executions = state.executions.lock();
    let execution = Execution {
        number: executions.len() as u64,
        method: parts.method.to_string(),
        path: path.map_or_else(String::new, ToString::to_string),
        key: header(&parts.headers, "idempotency-key"),
        request: header(&parts.headers, "x-request-id"),
        body,
    };
    executions.push(execution.clone());
    execution
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// An answer whose connection breaks after half of `text`.
fn cut(text: &str) -> Response<Body> {
    let (out, parts) = mpsc::channel(2);
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let broken = io::Error::new(io::ErrorKind::ConnectionAborted, "cut short");
    let _ = out.try_send(Ok(half));
    let _ = out.try_send(Err(broken));
    Response::new(toolkit::channel_body(parts))
}
