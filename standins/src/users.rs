//! Simulated users' platform: its store, targets with scripted behavior and the origin of
//! weights. Implements the part of their protocols that gateways and hosts use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time;

pub use behavior::Behavior;
pub use origin::{Origin, chunk_data};
pub use pause::{Pause, Point, Silence};
pub use spec::{config_spec, target_spec};
pub use store::{Store, UNREADABLE};

use self::behavior::has_part;
use self::engine::Engine;
use self::server::{
    Error, HttpResponse, body, connection_reset, full_response, query, serve_while_up,
};

mod behavior;
mod engine;
mod origin;
mod pause;
mod server;
mod spec;
mod store;

/// Time that a target works on a request of a plain service.
pub const WORK_TIME: Duration = Duration::from_millis(40);

/// Time for which a crashed target is away, unless the test sets another one.
pub const RESTART_TIME: Duration = Duration::from_millis(600);

/// Request that a target received.
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
    /// When it arrived.
    pub at: Instant,
    /// Whether its answer says that the target leaves.
    pub told_leaving: bool,
    /// When the head of the answer was sent; `None` if it was not, as its caller had left or the
    /// target fell silent or crashed before.
    pub answered_at: Option<Instant>,
    /// Time that its answer names as `retry-after`.
    pub told_wait: Option<&'static str>,
}

/// Simulated target with scripted behavior.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    /// Id of the current lifetime.
    id: Arc<Mutex<String>>,
    restart_time: Arc<Mutex<Duration>>,
    /// Rate limit that the target names in its answers.
    rate_limit: Arc<Mutex<Option<&'static str>>>,
    /// Whether the target says in its answers that it leaves.
    is_leaving: Arc<AtomicBool>,
    behavior: Arc<Mutex<Behavior>>,
    received: Arc<Mutex<Vec<Received>>>,
    engine: Arc<Mutex<Engine>>,
    /// Time that the target takes to answer the read of a staged chunk.
    read_delay: Arc<Mutex<Duration>>,
    pauses: pause::Pauses,
    /// Whether the target has crashed and is not back yet.
    is_away: watch::Sender<bool>,
}

impl Target {
    /// Starts the target `id` at `address` with the weights of `version`; 0 for none.
    pub async fn start(
        id: &'static str,
        address: SocketAddr,
        version: u64,
        behavior: Behavior,
    ) -> Self {
        let engine = Engine::new(version);
        let target = Self {
            address,
            id: Arc::new(Mutex::new(id.to_owned())),
            restart_time: Arc::new(Mutex::new(RESTART_TIME)),
            rate_limit: Arc::default(),
            is_leaving: Arc::default(),
            behavior: Arc::new(Mutex::new(behavior)),
            received: Arc::default(),
            engine: Arc::new(Mutex::new(engine)),
            read_delay: Arc::default(),
            pauses: pause::Pauses::default(),
            is_away: watch::Sender::new(false),
        };
        let (served, is_away) = (target.clone(), target.is_away.subscribe());
        let handler = move |request| {
            let target = served.clone();
            async move { target.handle(request).await }
        };
        serve_while_up(address, handler, is_away).await;
        target
    }

    /// Address that it listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that the target received, other than reports, orders and staged chunks.
    #[must_use]
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().clone()
    }

    /// Sets the id of the next lifetime; requests that expect another one are rejected.
    pub fn set_id(&self, id: &str) {
        id.clone_into(&mut self.id.lock());
    }

    /// Sets for how long the target is away after a crash.
    pub fn set_restart_time(&self, time: Duration) {
        *self.restart_time.lock() = time;
    }

    /// Sets the rate limit that the target names, requests per second; `None` for none.
    pub fn set_rate_limit(&self, limit: Option<&'static str>) {
        *self.rate_limit.lock() = limit;
    }

    /// Sets whether the target says in its answers that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Waits until the target is back after its next crash.
    pub async fn wait_for_restart(&self) {
        let mut is_away = self.is_away.subscribe();
        let _ = is_away.wait_for(|away| *away).await;
        let _ = is_away.wait_for(|away| !*away).await;
    }

    /// Changes how the target handles requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock() = behavior;
    }

    /// Version of the weights that the target serves; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.engine.lock().version
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.engine.lock().crashes
    }

    /// When the target crashed, in order.
    #[must_use]
    pub fn crash_times(&self) -> Vec<Instant> {
        self.engine.lock().crash_times.clone()
    }

    /// Overwrites a staged chunk with invalid data.
    pub fn corrupt_chunk(&self, index: usize) {
        if let Some(chunk) = self.engine.lock().staged.get_mut(index) {
            *chunk = Some(Bytes::from_static(b"spoiled"));
        }
    }

    /// Chunks in the staging area, in order; `None` where none was stored.
    #[must_use]
    pub fn staged_chunks(&self) -> Vec<Option<Bytes>> {
        self.engine.lock().staged.clone()
    }

    /// Sets how long the target takes to answer the read of a staged chunk.
    pub fn set_read_delay(&self, delay: Duration) {
        *self.read_delay.lock() = delay;
    }

    /// Number of reads of staged chunks so far.
    #[must_use]
    pub fn staged_reads(&self) -> u64 {
        self.engine.lock().reads
    }

    /// For each accepted load order, the longest time for which a chunk had been neither stored
    /// nor read: if it turned bad meanwhile, the host could not know.
    #[must_use]
    pub fn unseen_times(&self) -> Vec<Duration> {
        self.engine.lock().unseen.clone()
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, Error> {
        let (parts, incoming) = request.into_parts();
        let data = incoming
            .collect()
            .await
            .map_err(|_| connection_reset())?
            .to_bytes();
        let id = parts.headers.get("x-corianderramp-request-id").cloned();
        let text = id.as_ref().and_then(|i| i.to_str().ok());
        let text = text.unwrap_or_default().to_owned();
        if *self.is_away.borrow() {
            self.pauses.record_broken(text);
            return Err(connection_reset());
        }
        let path = parts.uri.path().to_owned();
        if is_internal(&path) {
            return Ok(self.handle_internal(&parts.uri, data).await);
        }
        let last_event = parts.headers.get("last-event-id").cloned();
        let prompt = parts.headers.get("x-corianderramp-prompt-prefix").cloned();
        let expected = parts.headers.get("x-corianderramp-expect-instance");
        let own_id = self.id.lock().clone();
        if expected.is_some_and(|e| e.as_bytes() != own_id.as_bytes()) {
            return Ok(full_response(StatusCode::MISDIRECTED_REQUEST, ""));
        }
        let cut = parts.extensions.get::<Arc<Notify>>().cloned();
        let behavior = self.behavior.lock().clone();
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let number = self.record(Received {
            uri: parts.uri,
            headers: parts.headers,
            body: data,
            ran: !matches!(behavior, Behavior::Decline | Behavior::DeclineFor(_)),
            at: Instant::now(),
            told_leaving: is_leaving && behavior.has_readable_head(),
            told_wait: behavior.named_wait(),
            answered_at: None,
        });
        let mut answer = self.pauses.begin(text, cut);
        answer.before_head().await;
        let response = match behavior {
            Behavior::CrashOnPath(text) if path.contains(text) && path.ends_with("/partial") => {
                let part = stream::once(async { Ok(Frame::data(Bytes::from_static(b"do"))) });
                let target = self.clone();
                let broken = stream::once(async move {
                    time::sleep(WORK_TIME).await;
                    target.crash();
                    Err(connection_reset())
                });
                Ok(Response::new(StreamBody::new(part.chain(broken).boxed())))
            }
            Behavior::CrashOnPath(text) => self.work(path.contains(text)).await,
            _ => self.respond(&behavior, last_event, prompt).await,
        };
        let mut response = response.inspect_err(|_| answer.record_broken())?;
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert("x-corianderramp-request-id", id);
        }
        if behavior == Behavior::WrongRequestId {
            answer.record_broken();
            headers.insert(
                "x-corianderramp-request-id",
                http::HeaderValue::from_static("other"),
            );
        }
        if let Some(limit) = *self.rate_limit.lock() {
            headers.insert("server-limit", http::HeaderValue::from_static(limit));
        }
        if is_leaving {
            headers.insert("server-leaving", http::HeaderValue::from_static("1"));
        }
        headers.insert(
            "x-corianderramp-server-stamp",
            http::HeaderValue::from_str(&own_id).map_err(|_| connection_reset())?,
        );
        self.received.lock()[number].answered_at = Some(Instant::now());
        Ok(answer.apply(response))
    }

    /// Handles a call of the host beside the target.
    async fn handle_internal(&self, uri: &Uri, data: Bytes) -> HttpResponse {
        self.pauses.wait_while_silent().await;
        let index = query(uri, "item_count").and_then(|i| i.parse::<usize>().ok());
        match (uri.path(), index) {
            ("/report", _) => {
                let report = self.engine.lock().report();
                full_response(StatusCode::OK, report.to_string())
            }
            ("/order", _) => full_response(self.engine.lock().handle_order(&data), ""),
            (path, Some(index)) if path.starts_with("/stage-put/") => {
                self.engine.lock().store(index, data);
                full_response(StatusCode::OK, "")
            }
            (_, Some(index)) => {
                let chunk = self.engine.lock().read(index);
                let delay = *self.read_delay.lock();
                time::sleep(delay).await;
                let status = chunk
                    .as_ref()
                    .map_or(StatusCode::NOT_FOUND, |_| StatusCode::OK);
                full_response(status, chunk.unwrap_or_default())
            }
            (_, None) => full_response(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Adds a request to those received and returns its number.
    fn record(&self, request: Received) -> usize {
        let mut received = self.received.lock();
        received.push(request);
        received.len() - 1
    }

    async fn respond(
        &self,
        behavior: &Behavior,
        last_event: Option<http::HeaderValue>,
        prompt: Option<http::HeaderValue>,
    ) -> Result<HttpResponse, Error> {
        match behavior {
            Behavior::CrashOn(part) => {
                if has_part(prompt.as_ref(), part) {
                    self.crash();
                    return Ok(Response::new(body(vec![Err(connection_reset())])));
                }
                Ok(Response::new(self.paced_events(1..=10)))
            }
            Behavior::CrashMidway(part, events) => {
                if !has_part(prompt.as_ref(), part) {
                    return Ok(Response::new(self.paced_events(1..=10)));
                }
                let last_event = last_event.and_then(|e| e.to_str().ok()?.parse::<u64>().ok());
                let start = last_event.unwrap_or(0) + 1;
                let target = self.clone();
                let crash = stream::once(async move {
                    time::sleep(WORK_TIME).await;
                    target.crash();
                    Err(connection_reset())
                });
                let events = self.paced_events(start..=start + events - 1);
                let frames = events.chain(crash);
                Ok(Response::new(StreamBody::new(frames.boxed())))
            }
            Behavior::CrashOnPath(_) => self.work(false).await,
            Behavior::Respond(text) => Ok(full_response(StatusCode::OK, *text)),
            Behavior::WrongRequestId => Ok(full_response(StatusCode::OK, "for somebody else")),
            Behavior::Decline => Ok(declined()),
            Behavior::DeclineFor(wait) => {
                let mut response = declined();
                let wait = http::HeaderValue::from_static(wait);
                response.headers_mut().insert("retry-after", wait);
                Ok(response)
            }
            Behavior::CloseConnection => Err(connection_reset()),
            Behavior::Hang => std::future::pending().await,
            Behavior::LateStream(delay) => {
                let delay = *delay;
                let events = (1..=10_u64).map(|i| format!("id: {i}\ndata: token{i}\n\n"));
                let text = Bytes::from(events.collect::<String>());
                let late = stream::once(async move {
                    time::sleep(delay).await;
                    Ok(Frame::data(text))
                });
                Ok(Response::new(StreamBody::new(late.boxed())))
            }
            Behavior::PacedStream(pause) => {
                let pause = *pause;
                let last_event = last_event.and_then(|e| e.to_str().ok()?.parse::<u64>().ok());
                let numbers = last_event.map_or(1, |e| e + 1)..=10;
                let paced = stream::iter(numbers).then(move |i| async move {
                    time::sleep(pause).await;
                    let event = Bytes::from(format!("id: {i}\ndata: token{i}\n\n"));
                    Ok(Frame::data(event))
                });
                Ok(Response::new(StreamBody::new(paced.boxed())))
            }
            Behavior::Stream(first, last) => {
                let last_event = last_event.and_then(|e| e.to_str().ok()?.parse::<u64>().ok());
                let start = last_event.map_or(*first, |e| e + 1);
                let mut parts: Vec<_> = (start..=*last)
                    .map(|i| Ok(Bytes::from(format!("id: {i}\ndata: token{i}\n\n"))))
                    .collect();
                if *last < 10 {
                    parts.push(Ok(Bytes::from_static(b"id: 99\nda")));
                    parts.push(Err(connection_reset()));
                }
                let paced = stream::iter(parts).then(|part| async {
                    time::sleep(Duration::from_millis(5)).await;
                    part.map(Frame::data)
                });
                Ok(Response::new(StreamBody::new(paced.boxed())))
            }
        }
    }

    /// Works on a request of a plain service, which may crash the target.
    async fn work(&self, is_fatal: bool) -> Result<HttpResponse, Error> {
        let crashes = self.crashes();
        time::sleep(WORK_TIME).await;
        if self.crashes() != crashes {
            return Err(connection_reset());
        }
        if is_fatal {
            self.crash();
            return Err(connection_reset());
        }
        Ok(full_response(StatusCode::OK, "done"))
    }

    /// Ends the process of the target and starts it again later.
    pub fn crash(&self) {
        {
            let mut engine = self.engine.lock();
            engine.crashes += 1;
            engine.crash_times.push(Instant::now());
        }
        if self.is_away.send_replace(true) {
            return;
        }
        let is_away = self.is_away.clone();
        let restart_time = *self.restart_time.lock();
        tokio::spawn(async move {
            time::sleep(restart_time).await;
            is_away.send_replace(false);
        });
    }

    /// Event stream that breaks when the target crashes.
    fn paced_events(
        &self,
        numbers: std::ops::RangeInclusive<u64>,
    ) -> StreamBody<BoxStream<'static, Result<Frame<Bytes>, Error>>> {
        let engine = self.engine.clone();
        let crashes = engine.lock().crashes;
        let paced = stream::iter(numbers).then(move |i| {
            let engine = engine.clone();
            async move {
                time::sleep(Duration::from_millis(5)).await;
                if engine.lock().crashes != crashes {
                    return Err(connection_reset());
                }
                let event = Bytes::from(format!("id: {i}\ndata: token{i}\n\n"));
                Ok(Frame::data(event))
            }
        });
        StreamBody::new(paced.boxed())
    }
}

/// Whether a request is one of the host beside the target.
fn is_internal(path: &str) -> bool {
    ["/report", "/order"].contains(&path) || path.starts_with("/stage-")
}

/// Response that states that the request was not run.
fn declined() -> HttpResponse {
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let one = http::HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("x-corianderramp-not-run", one);
    response
}
