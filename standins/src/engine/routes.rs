//! HTTP interface of an engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use corianderramp::digest::Digest;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::Counters;
use super::generate::{self, Completion, Job};
use super::life::{Life, Order};
use crate::toolkit::{self, Body};

/// Tokens that wait for a slow reader before the engine pauses its stream.
const STREAM_DEPTH: usize = 16;

#[derive(Debug, Deserialize)]
struct Load {
    model: String,
    version: String,
    fence: u64,
    chunks: Vec<Digest>,
}

/// Serves requests until the engine crashes.
pub async fn serve(listener: &TcpListener, life: &Arc<Life>, counters: &Arc<Counters>) {
    let (life, counters) = (life.clone(), counters.clone());
    let stop = life.stop.clone();
    let handler = move |request| route(request, life.clone(), counters.clone());
    toolkit::serve_until(listener, &stop, handler).await;
}

async fn route(
    request: Request<Incoming>,
    life: Arc<Life>,
    counters: Arc<Counters>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    life.thaw().await;
    let staging = path.strip_prefix("/staging/").map(str::parse::<Digest>);
    match (method, path.as_str(), staging) {
        (Method::POST, "/v1/chat/completions", _) => complete(request, life, counters, true).await,
        (Method::POST, "/v1/completions", _) => complete(request, life, counters, false).await,
        (Method::GET, "/state", _) => state(&life),
        (Method::GET, "/events", _) => events(life),
        (Method::POST, "/load", _) => load(request, &life).await,
        (Method::PUT, _, Some(Ok(digest))) => stage(request, digest, &life).await,
        (Method::GET, _, Some(Ok(digest))) => match life.staged(digest) {
            Some(data) => Response::new(toolkit::full(data)),
            None => error(StatusCode::NOT_FOUND, "no such chunk"),
        },
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    let error = json!({"message": message, "type": "invalid_request_error"});
    toolkit::json(status, &json!({ "error": error }))
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = request.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

fn state(life: &Life) -> Response<Body> {
    let loaded = life.loaded();
    let lag = std::time::Duration::from_millis(life.settings.load_lag_ms);
    let load = life.queue.load_before(lag);
    let load = json!({
        "waiting": load.waiting,
        "running": load.running,
        "slots": life.settings.slots,
        "lag_ms": life.settings.load_lag_ms,
    });
    let state = json!({
        "model": loaded.model,
        "version": loaded.version,
        "fence": loaded.fence,
        "staged": loaded.staged,
        "load": load,
    });
    toolkit::json(StatusCode::OK, &state)
}

fn events(life: Arc<Life>) -> Response<Body> {
    let (out, parts) = mpsc::channel(STREAM_DEPTH);
    tokio::spawn(generate::events(life, out));
    Response::new(toolkit::channel_body(parts))
}

async fn stage(request: Request<Incoming>, digest: Digest, life: &Life) -> Response<Body> {
    match read(request).await {
        Some(data) => {
            life.stage(digest, data);
            toolkit::json(StatusCode::CREATED, &json!({}))
        }
        None => error(StatusCode::BAD_REQUEST, "incomplete chunk"),
    }
}

async fn load(request: Request<Incoming>, life: &Arc<Life>) -> Response<Body> {
    let body = read(request).await.unwrap_or_default();
    let Ok(load) = serde_json::from_slice::<Load>(&body) else {
        return error(StatusCode::BAD_REQUEST, "malformed load order");
    };
    let life = life.clone();
    // A load goes on when the caller goes away.
    let order = tokio::spawn(async move {
        life.load(&load.model, &load.version, load.fence, &load.chunks)
            .await
    });
    match order.await {
        Ok(Order::Done) => toolkit::json(StatusCode::OK, &json!({})),
        Ok(Order::Fenced(fence)) => error(
            StatusCode::CONFLICT,
            &format!("fencing token is at {fence}"),
        ),
        Err(_) => error(StatusCode::INTERNAL_SERVER_ERROR, "load failed"),
    }
}

async fn complete(
    request: Request<Incoming>,
    life: Arc<Life>,
    counters: Arc<Counters>,
    chat: bool,
) -> Response<Body> {
    let id = request.headers().get("x-request-id");
    let id = id.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    let body = read(request).await.unwrap_or_default();
    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        return error(StatusCode::BAD_REQUEST, "malformed request");
    };
    counters.arrived.fetch_add(1, Ordering::Relaxed);
    counters.requests.lock().push(id.clone());
    let Some(version) = life.version() else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded");
    };
    let job = Job {
        prompt: completion.text(),
        tokens: completion.max_tokens.unwrap_or(life.settings.tokens),
        priority: completion.priority,
        id,
        chat,
    };
    let tokens = produce(life, counters, job.clone());
    let mut answer = if completion.stream {
        streamed(tokens, job, &version)
    } else {
        collected(tokens, &job, &version).await
    };
    if let Ok(version) = HeaderValue::from_str(&version) {
        answer.headers_mut().insert("x-model-version", version);
    }
    answer
}

fn produce(life: Arc<Life>, counters: Arc<Counters>, job: Job) -> mpsc::Receiver<String> {
    let (out, tokens) = mpsc::channel(STREAM_DEPTH);
    tokio::spawn(async move {
        let finished = generate::tokens(&life, &job, &out).await;
        let counter = if finished {
            &counters.finished
        } else {
            &counters.cancelled
        };
        counter.fetch_add(1, Ordering::Relaxed);
    });
    tokens
}

fn streamed(tokens: mpsc::Receiver<String>, job: Job, version: &str) -> Response<Body> {
    let (out, parts) = mpsc::channel(1);
    tokio::spawn(generate::stream(tokens, job, version.to_owned(), out));
    let mut answer = Response::new(toolkit::channel_body(parts));
    let kind = HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

async fn collected(mut tokens: mpsc::Receiver<String>, job: &Job, version: &str) -> Response<Body> {
    let mut text = String::new();
    let mut sent = 0;
    while let Some(token) = tokens.recv().await {
        text.push_str(&token);
        sent += 1;
    }
    if sent < job.tokens.max(2) {
        // The engine crashed, which is about to cut the connection.
        return std::future::pending().await;
    }
    toolkit::json(StatusCode::OK, &generate::whole(job, version, &text))
}
