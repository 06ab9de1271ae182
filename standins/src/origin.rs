//! Origin of weights: serves generated chunks at a limited rate, counts what
//! it sends and injects faults.
//!
//! - `GET /v2/{model}/blobs/sha256:{hex}` returns a chunk.
//! - `GET /stats` returns [`Stats`].
//! - `PUT /faults` takes a [`Fault`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corianderramp::digest;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;

use crate::content;
use crate::toolkit;

/// Bytes that pass the rate limit at once.
const PART: usize = 16 * 1024;
/// Time that a stalled answer is kept open.
const STALL: Duration = Duration::from_secs(3600);

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Rate of all answers together, bytes per second; 0 for no limit.
    #[serde(default)]
    pub rate: f64,
    /// Model versions.
    pub models: Vec<content::Content>,
}

/// What goes wrong with answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Nothing.
    #[default]
    None,
    /// The answer stops half-way and the connection stays open.
    Stall,
    /// The connection breaks half-way.
    Cut,
    /// One byte is wrong.
    Corrupt,
    /// Status 503.
    Refuse,
}

/// Fault to inject.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub mode: Mode,
    /// Number of answers that it concerns; 0 for all until the next order.
    pub count: u32,
}

/// What was sent for one chunk.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sent {
    /// Digest of the chunk.
    pub digest: digest::Digest,
    /// Requests for it.
    pub requests: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// What was sent since the start.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Requests for chunks.
    pub requests: u64,
    /// Bytes of chunks sent.
    pub bytes: u64,
    /// The same for each chunk, in the order of the digests.
    pub chunks: Vec<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    digest: digest::Digest,
    model: usize,
    index: usize,
}

#[derive(Debug)]
struct State {
    models: Vec<content::Content>,
    places: Vec<Place>,
    sent: Mutex<Vec<Sent>>,
    fault: Mutex<Fault>,
    bucket: toolkit::Bucket,
}

/// A running origin; it stops when dropped.
#[derive(Debug)]
pub struct Origin {
    /// Address that it listens at.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Origin {
    /// Starts an origin in this process.
    ///
    /// # Errors
    /// Fails when the address can't be listened at.
    pub async fn start(settings: Settings) -> Result<Self, toolkit::Error> {
        let what = settings.listen.to_string();
        let listener = TcpListener::bind(settings.listen)
            .await
            .context(toolkit::IoSnafu { what: &what })?;
        let address = listener
            .local_addr()
            .context(toolkit::IoSnafu { what: &what })?;
        let state = Arc::new(State::new(settings));
        let shared = state.clone();
        let handler = move |request| answer(shared.clone(), request);
        let task = tokio::spawn(toolkit::serve(listener, handler));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// What was sent since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Injects a fault from now on.
    pub fn set_fault(&self, mode: Mode, count: u32) {
        *self.state.fault.lock() = Fault { mode, count };
    }
}

/// Runs until the process is stopped.
///
/// # Errors
/// Fails when its settings can't be used.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    let mut origin = Origin::start(settings).await?;
    let _ = (&mut origin.task).await;
    Ok(())
}

impl State {
    fn new(settings: Settings) -> Self {
        let mut places = Vec::new();
        for (model, content) in settings.models.iter().enumerate() {
            places.extend((0..content.count()).map(|index| Place {
                digest: digest::Digest::of(&content.chunk(index)),
                model,
                index,
            }));
        }
        places.sort_unstable_by_key(|p| p.digest);
        places.dedup_by_key(|p| p.digest);
        let unsent = |p: &Place| Sent {
            digest: p.digest,
            requests: 0,
            bytes: 0,
        };
        Self {
            sent: Mutex::new(places.iter().map(unsent).collect()),
            models: settings.models,
            places,
            fault: Mutex::default(),
            bucket: toolkit::Bucket::new(settings.rate),
        }
    }

    fn find(&self, digest: digest::Digest) -> Option<usize> {
        self.places.binary_search_by_key(&digest, |p| p.digest).ok()
    }

    fn stats(&self) -> Stats {
        let chunks = self.sent.lock().clone();
        Stats {
            requests: chunks.iter().map(|c| c.requests).sum(),
            bytes: chunks.iter().map(|c| c.bytes).sum(),
            chunks,
        }
    }

    fn next_fault(&self) -> Mode {
        let mut fault = self.fault.lock();
        let mode = fault.mode;
        if fault.count == 1 {
            *fault = Fault::default();
        } else if fault.count > 1 {
            fault.count -= 1;
        }
        mode
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<toolkit::Body> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/stats") => {
            let json = serde_json::to_vec(&state.stats()).unwrap_or_default();
            Response::new(toolkit::full(json))
        }
        (&Method::PUT, "/faults") => set_fault(&state, request).await,
        (&Method::GET, _) => {
            let hex = path.rsplit_once("/blobs/sha256:").map(|(_, hex)| hex);
            let digest = hex.and_then(|h| h.parse().ok());
            match digest.and_then(|d| state.find(d)) {
                Some(place) => send(state, place),
                None => status(StatusCode::NOT_FOUND),
            }
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn set_fault(state: &State, request: Request<Incoming>) -> Response<toolkit::Body> {
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body.to_bytes()) {
        Ok(fault) => {
            *state.fault.lock() = fault;
            status(StatusCode::OK)
        }
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn status(code: StatusCode) -> Response<toolkit::Body> {
    let mut response = Response::new(toolkit::full(Bytes::new()));
    *response.status_mut() = code;
    response
}

fn send(state: Arc<State>, place: usize) -> Response<toolkit::Body> {
    state.sent.lock()[place].requests += 1;
    let mode = state.next_fault();
    if mode == Mode::Refuse {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Place { model, index, .. } = state.places[place];
    let mut data = state.models[model].chunk(index);
    let length = data.len();
    if mode == Mode::Corrupt {
        data[length / 2] ^= 1;
    }
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(feed(state, place, Bytes::from(data), mode, sender));
    let body = StreamBody::new(ReceiverStream::new(receiver));
    let mut response = Response::new(BodyExt::boxed(body));
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_LENGTH, length.into());
    response
}

type Part = Result<Frame<Bytes>, io::Error>;

async fn feed(
    state: Arc<State>,
    place: usize,
    mut data: Bytes,
    mode: Mode,
    sender: mpsc::Sender<Part>,
) {
    let keep = match mode {
        Mode::Stall | Mode::Cut => data.len() / 2,
        _ => 0,
    };
    while data.len() > keep {
        let part = data.split_to(PART.min(data.len() - keep));
        let length = part.len();
        state.bucket.take(length).await;
        if sender.send(Ok(Frame::data(part))).await.is_err() {
            return;
        }
        state.sent.lock()[place].bytes += length as u64;
    }
    match mode {
        Mode::Stall => {
            let _ = time::timeout(STALL, sender.closed()).await;
        }
        Mode::Cut => {
            let cut = io::Error::new(io::ErrorKind::ConnectionReset, "injected cut");
            let _ = sender.send(Err(cut)).await;
        }
        _ => {}
    }
}
