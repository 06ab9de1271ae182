//! Stand-in of the users' platform: its store, targets with scripted answers, and the
//! origin of weights. It speaks their protocol as far as gateways and hosts use it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use corianderramp::digest::Digest;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time;

type Broken = std::io::Error;
type Answer = Response<StreamBody<BoxStream<'static, Result<Frame<Bytes>, Broken>>>>;

fn broken() -> Broken {
    std::io::ErrorKind::ConnectionReset.into()
}

fn body(
    parts: Vec<Result<Bytes, Broken>>,
) -> StreamBody<BoxStream<'static, Result<Frame<Bytes>, Broken>>> {
    let frames = parts.into_iter().map(|p| p.map(Frame::data));
    StreamBody::new(stream::iter(frames).boxed())
}

fn whole(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(body(vec![Ok(text.into())]));
    *answer.status_mut() = status;
    answer
}

fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|p| p.0 == name).map(|p| p.1)
}

/// Serves `answer` at `address` until the test ends. An error closes the connection
/// without an answer.
async fn serve<F, R>(address: SocketAddr, answer: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Answer, Broken>> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .expect("the stand-in's address is free");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(answer);
                // Connections break on purpose.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
}

#[derive(Clone, Debug)]
struct Change {
    kind: String,
    name: String,
    revision: u64,
    spec: Option<Value>,
}

/// The platform's store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    changes: Arc<Mutex<Vec<Change>>>,
    refused: Arc<Mutex<Vec<u8>>>,
    full_price: Arc<AtomicUsize>,
    changed: Arc<Notify>,
}

impl Store {
    /// Store at `address`, with a port of its own for each of `hosts`. All processes of a
    /// test have the same source address, so that the port tells them apart.
    pub async fn start(address: SocketAddr, hosts: std::ops::Range<u8>) -> Self {
        let store = Self::default();
        for host in hosts {
            let served = store.clone();
            serve(Self::address_for(address, host), move |request| {
                let store = served.clone();
                async move { store.answer(request.uri(), host).await }
            })
            .await;
        }
        store
    }

    /// Address at which the store at `address` serves `host`.
    #[must_use]
    pub fn address_for(address: SocketAddr, host: u8) -> SocketAddr {
        SocketAddr::new(address.ip(), address.port() + u16::from(host))
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.change(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Turns calls of one host away.
    pub fn refuse(&self, host: u8) {
        self.refused.lock().push(host);
        self.changed.notify_waiters();
    }

    /// Calls so far that cost the full price, also those that were turned away.
    #[must_use]
    pub fn full_price(&self) -> usize {
        self.full_price.load(Ordering::Relaxed)
    }

    /// Serves all hosts again.
    pub fn accept(&self) {
        self.refused.lock().clear();
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Value>) {
        let mut changes = self.changes.lock();
        let revision = changes.len() as u64 + 1;
        changes.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            spec,
        });
        drop(changes);
        self.changed.notify_waiters();
    }

    async fn answer(&self, uri: &Uri, host: u8) -> Result<Answer, Broken> {
        if query(uri, "stale_ok") != Some("1") {
            self.full_price.fetch_add(1, Ordering::Relaxed);
        }
        if self.refused.lock().contains(&host) {
            return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        let kind = uri.path().trim_start_matches("/objects/").to_owned();
        let Some(since) = query(uri, "watch").and_then(|w| w.parse().ok()) else {
            return Ok(whole(StatusCode::OK, self.list(&kind).to_string()));
        };
        let wait = query(uri, "wait_ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let end = time::Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            if self.refused.lock().contains(&host) {
                return Err(broken());
            }
            let events = self.events(&kind, since);
            if !events.is_empty() || time::Instant::now() >= end {
                let revision = self.changes.lock().len();
                let answer = json!({"events": events, "as_of": revision});
                return Ok(whole(StatusCode::OK, answer.to_string()));
            }
            // The deadline of the watch ends the loop.
            let _ = time::timeout_at(end, changed).await;
        }
    }

    fn list(&self, kind: &str) -> Value {
        let changes = self.changes.lock();
        let same = changes.iter().filter(|c| c.kind == kind);
        let newest = same.clone().filter(|c| {
            !same
                .clone()
                .any(|o| o.name == c.name && o.revision > c.revision)
        });
        let items: Vec<Value> = newest.filter(|c| c.spec.is_some()).map(object).collect();
        json!({"items": items, "has_more": false, "as_of": changes.len()})
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Value> {
        let changes = self.changes.lock();
        let new = changes
            .iter()
            .filter(|c| c.kind == kind && c.revision > since);
        new.map(|c| json!({"removed": c.spec.is_none(), "object": object(c)}))
            .collect()
    }
}

fn object(change: &Change) -> Value {
    json!({
        "metadata": {"name": change.name, "revision": change.revision},
        "spec": change.spec,
    })
}

/// What a target does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Script {
    /// Answers with this text.
    Whole(&'static str),
    /// Refuses without running the request.
    NotRun,
    /// Runs the request and closes the connection without an answer.
    Break,
    /// Answers as if to another request.
    Foreign,
    /// Sends events `from` to `to` of ten, then breaks off if that isn't the end.
    Events(u64, u64),
    /// Never answers.
    Silent,
}

/// A request as a target received it.
#[derive(Clone, Debug)]
pub struct Received {
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the target ran it.
    pub ran: bool,
}

/// Weights of a target.
#[derive(Debug, Default)]
struct Engine {
    version: u64,
    orders: u64,
    staged: Vec<Option<Bytes>>,
}

/// A target with scripted answers.
#[derive(Clone, Debug)]
pub struct Target {
    id: &'static str,
    script: Arc<Mutex<Script>>,
    received: Arc<Mutex<Vec<Received>>>,
    engine: Arc<Mutex<Engine>>,
}

impl Target {
    /// Target `id` at `address` that serves version `version`; 0 for none.
    pub async fn start(
        id: &'static str,
        address: SocketAddr,
        version: u64,
        script: Script,
    ) -> Self {
        let engine = Engine {
            version,
            ..Engine::default()
        };
        let target = Self {
            id,
            script: Arc::new(Mutex::new(script)),
            received: Arc::default(),
            engine: Arc::new(Mutex::new(engine)),
        };
        let served = target.clone();
        serve(address, move |request| {
            let target = served.clone();
            async move { target.answer(request).await }
        })
        .await;
        target
    }

    /// Requests that reached the target, reports and orders excepted.
    #[must_use]
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().clone()
    }

    /// Changes what the target does with requests.
    pub fn set(&self, script: Script) {
        *self.script.lock() = script;
    }

    /// Version that the target serves.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.engine.lock().version
    }

    /// Spoils a staged chunk.
    pub fn spoil(&self, index: usize) {
        if let Some(chunk) = self.engine.lock().staged.get_mut(index) {
            *chunk = Some(Bytes::from_static(b"spoiled"));
        }
    }

    /// Staged chunks.
    #[must_use]
    pub fn staged(&self) -> Vec<Option<Bytes>> {
        self.engine.lock().staged.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Broken> {
        let (parts, incoming) = request.into_parts();
        let data = incoming.collect().await.map_err(|_| broken())?.to_bytes();
        let path = parts.uri.path().to_owned();
        let index = query(&parts.uri, "item_count").and_then(|i| i.parse::<usize>().ok());
        match (path.as_str(), index) {
            ("/report", _) => return Ok(whole(StatusCode::OK, self.report().to_string())),
            ("/order", _) => return Ok(self.order(&data)),
            (p, Some(index)) if p.starts_with("/stage-put/") => {
                let mut engine = self.engine.lock();
                let size = engine.staged.len().max(index + 1);
                engine.staged.resize(size, None);
                engine.staged[index] = Some(data);
                return Ok(whole(StatusCode::OK, ""));
            }
            (p, Some(index)) if p.starts_with("/stage-get/") => {
                let chunk = self.engine.lock().staged.get(index).cloned().flatten();
                let status = chunk
                    .as_ref()
                    .map_or(StatusCode::NOT_FOUND, |_| StatusCode::OK);
                return Ok(whole(status, chunk.unwrap_or_default()));
            }
            _ => {}
        }
        let id = parts.headers.get("x-corianderramp-request-id").cloned();
        let after = parts.headers.get("last-event-id").cloned();
        let script = self.script.lock().clone();
        self.received.lock().push(Received {
            uri: parts.uri,
            headers: parts.headers,
            body: data,
            ran: script != Script::NotRun,
        });
        let mut answer = self.act(&script, after).await?;
        let headers = answer.headers_mut();
        if let Some(id) = id {
            headers.insert("x-corianderramp-request-id", id);
        }
        if script == Script::Foreign {
            headers.insert(
                "x-corianderramp-request-id",
                http::HeaderValue::from_static("other"),
            );
        }
        headers.insert(
            "x-corianderramp-server-stamp",
            http::HeaderValue::from_static(self.id),
        );
        Ok(answer)
    }

    async fn act(
        &self,
        script: &Script,
        after: Option<http::HeaderValue>,
    ) -> Result<Answer, Broken> {
        match script {
            Script::Whole(text) => Ok(whole(StatusCode::OK, *text)),
            Script::Foreign => Ok(whole(StatusCode::OK, "for somebody else")),
            Script::NotRun => {
                let mut answer = whole(StatusCode::SERVICE_UNAVAILABLE, "");
                let one = http::HeaderValue::from_static("1");
                answer.headers_mut().insert("x-corianderramp-not-run", one);
                Ok(answer)
            }
            Script::Break => Err(broken()),
            Script::Silent => std::future::pending().await,
            Script::Events(from, to) => {
                let after = after.and_then(|a| a.to_str().ok()?.parse::<u64>().ok());
                let begin = after.map_or(*from, |a| a + 1);
                let mut parts: Vec<_> = (begin..=*to)
                    .map(|i| Ok(Bytes::from(format!("id: {i}\ndata: token{i}\n\n"))))
                    .collect();
                if *to < 10 {
                    parts.push(Ok(Bytes::from_static(b"id: 99\nda")));
                    parts.push(Err(broken()));
                }
                let paced = stream::iter(parts).then(|part| async {
                    time::sleep(Duration::from_millis(5)).await;
                    part.map(Frame::data)
                });
                Ok(Response::new(StreamBody::new(paced.boxed())))
            }
        }
    }

    fn report(&self) -> Value {
        let engine = self.engine.lock();
        let models = if engine.version == 0 {
            json!([])
        } else {
            json!([{"name": "m0", "version": engine.version, "adapters": []}])
        };
        json!({"busy": false, "sequence": engine.orders, "queued": 0, "running": 0, "models": models, "born": 1})
    }

    fn order(&self, data: &Bytes) -> Answer {
        let order: Value = serde_json::from_slice(data).unwrap_or_default();
        let mut engine = self.engine.lock();
        if order["precondition"] != json!(engine.orders) {
            return whole(StatusCode::CONFLICT, "");
        }
        engine.orders += 1;
        engine.version = order["version"].as_u64().unwrap_or(0);
        whole(StatusCode::ACCEPTED, "")
    }
}

/// Chunk `index` of `version` as the origin hands it out.
#[must_use]
pub fn chunk(version: u64, index: usize) -> Bytes {
    format!("chunk {index} of version {version}")
        .repeat(64)
        .into()
}

/// Origin of weights with `chunks` chunks of each version; counts the chunks that it sends.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    sent: Arc<Mutex<Vec<(u64, usize)>>>,
    is_failing: Arc<AtomicBool>,
}

impl Origin {
    /// Origin at `address`.
    pub async fn start(address: SocketAddr, chunks: usize) -> Self {
        let origin = Self::default();
        let served = origin.clone();
        serve(address, move |request| {
            let origin = served.clone();
            async move { Ok(origin.answer(request.uri(), chunks)) }
        })
        .await;
        origin
    }

    /// Lets chunks fail, or be sent again. Manifests are always sent.
    pub fn fail(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Version and position of each chunk that was sent.
    #[must_use]
    pub fn sent(&self) -> Vec<(u64, usize)> {
        self.sent.lock().clone()
    }

    fn answer(&self, uri: &Uri, chunks: usize) -> Answer {
        let version = query(uri, "version")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1);
        let Some(index) = query(uri, "item_count").and_then(|i| i.parse().ok()) else {
            let digests: Vec<String> = (0..chunks)
                .map(|i| Digest::of(&chunk(version, i)).to_string())
                .collect();
            let manifest = json!({"model": "m0", "version": version, "digests": digests});
            return whole(StatusCode::OK, manifest.to_string());
        };
        if self.is_failing.load(Ordering::Relaxed) {
            return whole(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        self.sent.lock().push((version, index));
        whole(StatusCode::OK, chunk(version, index))
    }
}

/// Specification of the configuration for a deployment with a model service `llm`, a
/// plain service `desk` and the origin at `origin`.
#[must_use]
pub fn config(version: u64, origin: SocketAddr, chunks: usize) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "a.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": attempts, "public": false, "stream_resume": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plan", "/plan/", "streaming", "llm", 2),
            route("book", "/book/", "unsafe", "desk", 1),
            route("check", "/check/", "safe", "desk", 2),
        ],
        "services": [
            {"name": "llm", "max_connections": 100, "engine": {
                "slots": 4, "step_ms": 7.0, "per_seq_ms": 0.02, "read_per_s": 30000.0,
                "usual": {"prompt": 100, "answer": 10}, "layers": 16, "chunks": chunks,
                "models": [{"name": "m0", "warm_s": 0.1}],
            }},
            {"name": "desk", "max_connections": 100},
            {"name": "weights", "origin": origin, "max_connections": 100},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "rounds", "api_keys": ["key-1"], "priority": 1}],
    })
}

/// Entry of a target in the store.
#[must_use]
pub fn entry(service: &str, address: SocketAddr, version: u64) -> Value {
    let models = if version == 0 {
        json!([])
    } else {
        json!([{"name": "m0", "version": version, "adapters": []}])
    };
    json!({"service": service, "address": address, "zone": "z-a", "slots": 4,
        "state": "ready", "sequence": 1, "models": models, "born": 1})
}
