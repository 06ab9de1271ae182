//! What the stand-ins share: settings files, HTTP serving, token buckets.

use std::convert::Infallible;
use std::fs;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

/// Why a stand-in can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file can't be read or written, or an address can't be listened at.
    #[snafu(display("{}: {source}", what.display()))]
    Io {
        /// File or address.
        what: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings file is not valid.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Settings file.
        path: PathBuf,
        /// Cause, with line and column.
        source: Box<toml::de::Error>,
    },
    /// The run can't be carried out.
    #[snafu(display("{reason}"))]
    Unusable {
        /// Why.
        reason: String,
    },
}

/// Reads a settings file.
///
/// # Errors
/// Names the file and the line that can't be used.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).context(IoSnafu { what: path })?;
    toml::from_str(&text)
        .map_err(Box::new)
        .context(ParseSnafu { path })
}

/// Listens at `address`; port 0 takes a free port.
///
/// # Errors
/// Names the address that can't be listened at.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.context(IoSnafu {
        what: address.to_string(),
    })
}

/// Address of a listener.
///
/// # Errors
/// Fails when the operating system can't tell it.
pub fn address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().context(IoSnafu { what: "listener" })
}

/// Body of the stand-ins' answers.
pub type Body = BoxBody<Bytes, io::Error>;

/// A body that is complete from the start.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until the task is dropped.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let endless = CancellationToken::new();
    serve_until(&listener, &endless, handler).await;
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `stop` is cancelled, which
/// also cuts every open connection.
pub async fn serve_until<H, F>(listener: &TcpListener, stop: &CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let connection = connection(TokioIo::new(stream), handler);
        let stop = stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(connection).await });
    }
}

async fn connection<H, F>(stream: TokioIo<TcpStream>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let server = auto::Builder::new(TokioExecutor::new());
    let _ = server.serve_connection(stream, service).await;
}

/// A body of parts that arrive over a channel. An error cuts the connection,
/// so that the receiver sees an incomplete answer.
#[must_use]
pub fn channel_body(parts: mpsc::Receiver<Result<Bytes, io::Error>>) -> Body {
    let frames = stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    BodyExt::boxed(StreamBody::new(frames))
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut answer = Response::new(full(value.to_string()));
    *answer.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Unused time that a bucket carries over. Without it, each late wake-up of a
/// timer (about 1 ms) would lower the rate for good.
const BURST: Duration = Duration::from_millis(20);

/// Token bucket that spaces bytes out to a rate.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    next: Mutex<Instant>,
}

impl Bucket {
    /// Bucket for `rate` bytes per second; 0 for no limit.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            next: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `bytes` may pass.
    pub async fn take(&self, bytes: usize) {
        if let Some(until) = self.reserve(bytes) {
            time::sleep_until(until).await;
        }
    }

    /// Reserves `bytes` and returns when they may pass; `None` without a limit.
    /// A flow through several buckets reserves in all of them and waits once,
    /// for the latest time, so that waiting for one does not lower its rate in
    /// another.
    pub fn reserve(&self, bytes: usize) -> Option<Instant> {
        if self.rate <= 0.0 {
            return None;
        }
        #[allow(clippy::cast_precision_loss)]
        let cost = Duration::from_secs_f64(bytes as f64 / self.rate);
        let now = Instant::now();
        let floor = now.checked_sub(BURST).unwrap_or(now);
        let mut next = self.next.lock();
        *next = (*next).max(floor) + cost;
        Some(*next)
    }
}
