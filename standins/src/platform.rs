//! Stand-in of the platform's object API (design, section 5.1), in memory.
//!
//! Besides the API it serves `GET` and `POST /faults`, `GET /calls` and
//! `POST /compact`, which drops the history of events.

use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderramp::objects::Event;
use corianderramp::resource::{self, Kind, Raw};
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::toolkit::{self, Body};

pub mod faults;
pub mod store;

use faults::{Active, Calls, Faults};
use store::{Refusal, Store};

/// Longest time between two lines of a watch.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest request body; the limit on values is lower.
const MAX_BODY: usize = 2 * resource::MAX_SPEC_BYTES;

/// Settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Events kept for watches.
    #[serde(default = "default_history")]
    pub history: usize,
    /// Faults in effect from the start.
    #[serde(default)]
    pub faults: Faults,
}

/// Events that are kept unless the settings say otherwise.
pub const DEFAULT_HISTORY: usize = 10_000;

fn default_history() -> usize {
    DEFAULT_HISTORY
}

/// Access to a running stand-in from the process that started it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    active: Mutex<Active>,
    calls: Mutex<Calls>,
    /// Raised on each write and on each change of faults.
    changed: watch::Sender<u64>,
}

impl Handle {
    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.active.lock() = Active::new(faults);
        self.shared.notify();
    }

    /// Faults in effect.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.active.lock().faults.clone()
    }

    /// Calls since the start.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.calls.lock().clone()
    }

    /// Drops the history, so that watches from older revisions get 410.
    pub fn compact(&self) {
        self.shared.store.lock().compact();
        self.shared.notify();
    }

    /// Events that are still kept, in revision order.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.shared.store.lock().events()
    }

    /// Copy of the objects and events.
    #[must_use]
    pub fn store(&self) -> Store {
        self.shared.store.lock().clone()
    }

    /// Revision of the newest write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.store.lock().revision()
    }

    /// Writes an object without a call, whatever its current revision is.
    pub fn force(&self, mut object: Raw) {
        let mut store = self.shared.store.lock();
        let current = store.get(object.kind, &object.metadata.name);
        object.metadata.revision = current.map_or(0, |o| o.metadata.revision);
        let _ = store.put(object);
        drop(store);
        self.shared.notify();
    }

    /// Deletes an object without a call.
    pub fn force_delete(&self, kind: Kind, name: &str) {
        let mut store = self.shared.store.lock();
        let current = store.get(kind, name).map_or(0, |o| o.metadata.revision);
        let _ = store.delete(kind, name, current);
        drop(store);
        self.shared.notify();
    }
}

impl Shared {
    fn notify(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}

/// Starts the stand-in on `listener`, in the caller's process, with the newest
/// `history` events kept.
#[must_use]
pub fn start(listener: TcpListener, history: usize, faults: Faults) -> Handle {
    let shared = Arc::new(Shared {
        store: Mutex::new(Store::new(history)),
        active: Mutex::new(Active::new(faults)),
        calls: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    tokio::spawn(accept(listener, shared.clone()));
    Handle { shared }
}

/// Runs until the process is stopped.
///
/// # Errors
/// Fails when its address can't be listened at.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    let bound = TcpListener::bind(settings.listen).await;
    let listener = bound.map_err(|source| toolkit::Error::Io {
        what: settings.listen.to_string().into(),
        source,
    })?;
    let _handle = start(listener, settings.history, settings.faults);
    std::future::pending().await
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(connection(stream, source.ip(), shared.clone()));
    }
}

async fn connection(stream: TcpStream, source: IpAddr, shared: Arc<Shared>) {
    let service = service_fn(move |request| answer(shared.clone(), source, request));
    let server = auto::Builder::new(TokioExecutor::new());
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

/// The answer was lost: the connection closes without one.
#[derive(Debug)]
struct Lost;

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer lost")
    }
}

impl std::error::Error for Lost {}

async fn answer(
    shared: Arc<Shared>,
    source: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<Body>, Lost> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let method = request.method().clone();
    if let Some(api) = path.strip_prefix("/apis/v1/") {
        let Ok(body) = read(request).await else {
            return Ok(text(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        };
        let call = match Call::parse(&method, api, &query, &body) {
            Ok(call) => call,
            Err(reason) => return Ok(text(StatusCode::BAD_REQUEST, &reason)),
        };
        return carry_out(&shared, source, call).await;
    }
    Ok(match (&method, path.as_str()) {
        (&Method::GET, "/calls") => json(StatusCode::OK, &shared.calls.lock().clone()),
        (&Method::GET, "/faults") => json(StatusCode::OK, &shared.active.lock().faults.clone()),
        (&Method::POST, "/faults") => set_faults(shared, request).await,
        (&Method::POST, "/compact") => {
            Handle { shared }.compact();
            text(StatusCode::OK, "compacted")
        }
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn set_faults(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let body = read(request).await.unwrap_or_default();
    match serde_json::from_slice::<Faults>(&body) {
        Ok(faults) => {
            Handle { shared }.set_faults(faults.clone());
            json(StatusCode::OK, &faults)
        }
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn read(request: Request<Incoming>) -> Result<Bytes, ()> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    body.collect().await.map(Collected::to_bytes).map_err(drop)
}

/// A call of the object API.
#[derive(Clone, Debug)]
enum Call {
    Get(Kind, String),
    List(Kind, String),
    Put(Box<Raw>),
    Delete(Kind, String, u64),
    Watch(u64, Vec<Kind>),
}

impl Call {
    fn parse(method: &Method, path: &str, query: &str, body: &[u8]) -> Result<Self, String> {
        if path == "watch" {
            let names = parameter(query, "kinds").split(',');
            let kinds: Result<Vec<Kind>, _> = names.map(str::parse).collect();
            return Ok(Self::Watch(
                revision(query)?,
                kinds.map_err(|e| e.to_string())?,
            ));
        }
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let kind: Kind = kind.parse().map_err(|e: resource::Invalid| e.to_string())?;
        let name = name.to_owned();
        match *method {
            Method::GET if name.is_empty() => {
                Ok(Self::List(kind, parameter(query, "prefix").to_owned()))
            }
            Method::GET => Ok(Self::Get(kind, name)),
            Method::DELETE => Ok(Self::Delete(kind, name, revision(query)?)),
            Method::PUT => {
                let object: Raw = serde_json::from_slice(body).map_err(|e| e.to_string())?;
                if object.kind != kind || object.metadata.name != name {
                    return Err("kind and name must match the path".into());
                }
                resource::check_name(&name).map_err(|e| e.to_string())?;
                Ok(Self::Put(Box::new(object)))
            }
            _ => Err(format!("method {method} is not supported")),
        }
    }

    fn is_write(&self) -> bool {
        matches!(self, Self::Put(_) | Self::Delete(..))
    }

    fn count(&self, calls: &mut Calls) {
        match self {
            Self::Get(kind, _) => {
                calls.get += 1;
                calls.of_mut(*kind).reads += 1;
            }
            Self::List(kind, _) => {
                calls.list += 1;
                calls.of_mut(*kind).reads += 1;
            }
            Self::Put(object) => {
                calls.put += 1;
                calls.of_mut(object.kind).writes += 1;
            }
            Self::Delete(kind, ..) => {
                calls.delete += 1;
                calls.of_mut(*kind).writes += 1;
            }
            Self::Watch(..) => calls.watch += 1,
        }
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let mut matching = pairs.filter(|(n, _)| *n == name);
    matching.next().map_or("", |(_, value)| value)
}

fn revision(query: &str) -> Result<u64, String> {
    let text = parameter(query, "revision");
    text.parse()
        .map_err(|_| format!("revision: {text:?} is not a number"))
}

async fn carry_out(
    shared: &Arc<Shared>,
    source: IpAddr,
    call: Call,
) -> Result<Response<Body>, Lost> {
    call.count(&mut shared.calls.lock());
    let delay = shared.active.lock().faults.delay_ms;
    if delay > 0 {
        time::sleep(Duration::from_millis(delay)).await;
    }
    if let Some(refused) = refuse(shared, source, &call) {
        shared.calls.lock().refused += 1;
        return Ok(refused);
    }
    let write = call.is_write();
    let response = match call {
        Call::Watch(from, kinds) => return Ok(watch_from(shared.clone(), source, from, kinds)),
        Call::Get(kind, name) => match shared.store.lock().get(kind, &name) {
            Some(object) => json(StatusCode::OK, object),
            None => text(StatusCode::NOT_FOUND, "no such object"),
        },
        Call::List(kind, prefix) => {
            let list = shared.store.lock().list(kind, &prefix);
            json(StatusCode::OK, &list)
        }
        Call::Put(object) if object.spec.to_string().len() > resource::MAX_SPEC_BYTES => {
            text(StatusCode::PAYLOAD_TOO_LARGE, "value above 1 MB")
        }
        Call::Put(object) => {
            let result = shared.store.lock().put(*object);
            written(shared, result)
        }
        Call::Delete(kind, name, expected) => {
            let result = shared.store.lock().delete(kind, &name, expected);
            written(shared, result)
        }
    };
    if write && response.status().is_success() && shared.active.lock().loses_answer() {
        shared.calls.lock().lost += 1;
        return Err(Lost);
    }
    Ok(response)
}

fn refuse(shared: &Shared, source: IpAddr, call: &Call) -> Option<Response<Body>> {
    let mut active = shared.active.lock();
    if active.is_cut(source) {
        return Some(text(StatusCode::SERVICE_UNAVAILABLE, "outage"));
    }
    let limit = if call.is_write() {
        &mut active.writes
    } else {
        &mut active.reads
    };
    let over = !limit.admit();
    over.then(|| text(StatusCode::TOO_MANY_REQUESTS, "rate limit"))
}

fn written<T: Serialize>(shared: &Shared, result: Result<T, Refusal>) -> Response<Body> {
    match result {
        Ok(object) => {
            shared.notify();
            json(StatusCode::OK, &object)
        }
        Err(Refusal::Conflict(current)) => {
            shared.calls.lock().conflicts += 1;
            json(StatusCode::CONFLICT, &current)
        }
        Err(Refusal::Missing) => text(StatusCode::NOT_FOUND, "no such object"),
    }
}

/// Position of an open watch.
struct Position {
    shared: Arc<Shared>,
    source: IpAddr,
    kinds: Vec<Kind>,
    revision: u64,
    first: bool,
    changed: watch::Receiver<u64>,
}

fn watch_from(
    shared: Arc<Shared>,
    source: IpAddr,
    revision: u64,
    kinds: Vec<Kind>,
) -> Response<Body> {
    if !shared.store.lock().is_available(revision) {
        return text(StatusCode::GONE, "compacted");
    }
    let position = Position {
        changed: shared.changed.subscribe(),
        shared,
        source,
        kinds,
        revision,
        first: true,
    };
    let lines = stream::unfold(position, |mut p| async move {
        let data = next_lines(&mut p).await?;
        Some((Ok::<_, io::Error>(Frame::data(data)), p))
    });
    Response::new(BodyExt::boxed(StreamBody::new(lines)))
}

/// Lines up to the current revision; `None` closes the watch.
async fn next_lines(p: &mut Position) -> Option<Bytes> {
    let deadline = time::Instant::now() + BOOKMARK_INTERVAL;
    loop {
        p.changed.mark_unchanged();
        if p.shared.active.lock().is_cut(p.source) {
            return None;
        }
        let events = {
            let store = p.shared.store.lock();
            if !store.is_available(p.revision) {
                return None;
            }
            store.since(p.revision, &p.kinds)
        };
        let due = p.first || events.len() > 1 || time::Instant::now() >= deadline;
        if due {
            p.first = false;
            p.revision = events
                .last()
                .map_or(p.revision, |e| e.object.metadata.revision);
            return Some(lines(&events));
        }
        let _ = time::timeout_at(deadline, p.changed.changed()).await;
    }
}

fn lines(events: &[Event]) -> Bytes {
    let mut text = Vec::new();
    for event in events {
        if serde_json::to_writer(&mut text, event).is_ok() {
            text.push(b'\n');
        }
    }
    text.into()
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(toolkit::full(body));
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(toolkit::full(reason.to_owned()));
    *response.status_mut() = status;
    response
}
