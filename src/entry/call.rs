//! Reading of a caller's request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, header, request};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use super::prefix::Completion;
use super::reply::{self, Refusal};
use crate::config;
use crate::digest::Digest;
use crate::protocol;
use crate::resource::Object;
use crate::resource::account::Account;
use crate::resource::service::{Backend, Class, Service};
use crate::settings::Limits;

/// Longest idempotency key, bytes.
const MAX_KEY: usize = 256;
/// Longest deadline that a caller may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// A request that was read and belongs to an account and a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier.
    pub id: String,
    /// Account.
    pub account: Arc<Object<Account>>,
    /// Service.
    pub service: Arc<Object<Service>>,
    /// Method.
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the operation may be repeated.
    pub class: Class,
    /// Idempotency key of an operation that must not be repeated.
    pub key: Option<String>,
    /// When the caller stops waiting for the beginning of the answer.
    pub deadline: Instant,
    /// When the caller stops waiting for the end of the answer, if it said so.
    pub end: Option<Instant>,
    /// Digest of method, path and body.
    pub fingerprint: Digest,
    /// Hashes of the prompt.
    pub hashes: Vec<u64>,
}

/// What a path names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place<'a> {
    /// Completion; the body names the service.
    Completion,
    /// List of model services.
    Models,
    /// Path of a plain service.
    Plain {
        /// Name of the service.
        service: &'a str,
        /// Rest of the path with the query.
        path: String,
    },
}

/// What a request's method and path name.
///
/// ```
/// use corianderramp::entry::call;
/// use http::{Method, Uri};
///
/// let uri: Uri = "/pitch-ledger/pitches?day=3".parse().unwrap();
/// let place = call::place(&Method::GET, &uri);
/// let path = "/pitches?day=3".to_owned();
/// assert_eq!(place, Some(call::Place::Plain { service: "pitch-ledger", path }));
/// ```
#[must_use]
pub fn place<'a>(method: &Method, uri: &'a http::Uri) -> Option<Place<'a>> {
    match (method, uri.path()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            return Some(Place::Completion);
        }
        (&Method::GET, "/v1/models") => return Some(Place::Models),
        _ => {}
    }
    let rest = uri.path().strip_prefix('/')?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() || service == "v1" || has_dot_segments(path) {
        return None;
    }
    let query = uri.query().map_or_else(String::new, |q| format!("?{q}"));
    Some(Place::Plain {
        service,
        path: format!("/{path}{query}"),
    })
}

/// Whether a path has `.` or `..` segments. A target that resolves them could
/// run another operation than the one whose class was looked up.
fn has_dot_segments(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    })
}

/// Reads the body and decides what the request is.
///
/// # Errors
/// Says why the request can't be accepted; it was not run.
pub async fn read(
    id: String,
    account: Arc<Object<Account>>,
    request: Request<Incoming>,
    view: &config::View,
    limits: &Limits,
    now: Instant,
) -> Result<Call, Refusal> {
    let timeout = timeout(request.headers())?;
    let key = key(request.headers())?;
    let (parts, body) = request.into_parts();
    let place = place(&parts.method, &parts.uri).ok_or(reply::PATH)?;
    let body = collect(body, limits, timeout).await?;
    let (service, path, hashes) = match place {
        Place::Completion => {
            let completion: Completion = serde_json::from_slice(&body).map_err(|_| reply::BODY)?;
            let service = find(view, &completion.model, Backend::Model)?;
            let path = parts.uri.path().to_owned();
            (service, path, completion.prompt_hashes())
        }
        Place::Plain { service, path } => (find(view, service, Backend::Plain)?, path, Vec::new()),
        Place::Models => return Err(reply::PATH),
    };
    let class = match service.spec.backend {
        Backend::Model => Class::Idempotent,
        Backend::Plain => service.spec.class(parts.method.as_str(), &path),
    };
    let fingerprint = Digest::of_parts(&[
        service.metadata.name.as_bytes(),
        parts.method.as_str().as_bytes(),
        path.as_bytes(),
        &body,
    ]);
    let wait = timeout.unwrap_or(Duration::from_millis(service.spec.timeout_ms));
    Ok(Call {
        id,
        account,
        method: parts.method.clone(),
        path,
        headers: forwarded(parts),
        body,
        class,
        key: key.filter(|_| class == Class::AtMostOnce),
        deadline: now + wait,
        end: timeout.map(|t| now + t),
        fingerprint,
        hashes,
        service,
    })
}

fn find(
    view: &config::View,
    name: &str,
    backend: Backend,
) -> Result<Arc<Object<Service>>, Refusal> {
    let found = config::find(&view.services, name).filter(|s| s.spec.backend == backend);
    found.cloned().ok_or(reply::SERVICE)
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(protocol::TIMEOUT) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| reply::HEADER)?;
    let millis: u64 = text.trim().parse().map_err(|_| reply::HEADER)?;
    if millis == 0 {
        return Err(reply::HEADER);
    }
    Ok(Some(Duration::from_millis(millis).min(MAX_TIMEOUT)))
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(protocol::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| reply::HEADER)?;
    if key.is_empty() || key.len() > MAX_KEY {
        return Err(reply::HEADER);
    }
    Ok(Some(key.to_owned()))
}

/// Headers that go on to the target: neither those of the connection nor the
/// caller's key nor those of this system.
fn forwarded(parts: request::Parts) -> HeaderMap {
    let mut headers = parts.headers;
    protocol::remove_hop_by_hop(&mut headers);
    for name in [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
        protocol::OUTCOME,
        protocol::VERSION,
        protocol::REASON,
        protocol::ALONE,
        protocol::REQUEST_ID,
        protocol::TIMEOUT,
    ] {
        headers.remove(name);
    }
    headers
}

async fn collect(
    mut body: Incoming,
    limits: &Limits,
    timeout: Option<Duration>,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(reply::TOO_LARGE);
    }
    let idle = Duration::from_millis(limits.idle_ms);
    // A body that trickles in without end is bounded as a whole as well.
    let until = time::Instant::now() + timeout.unwrap_or(idle * 4);
    let mut whole = BytesMut::new();
    loop {
        let next = time::timeout(idle, time::timeout_at(until, body.frame())).await;
        let Ok(Ok(frame)) = next else {
            return Err(reply::SLOW_BODY);
        };
        match frame {
            None => return Ok(whole.freeze()),
            Some(Err(_)) => return Err(reply::SLOW_BODY),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    if whole.len() + data.len() > limits.body_bytes {
                        return Err(reply::TOO_LARGE);
                    }
                    whole.extend_from_slice(&data);
                }
            }
        }
    }
}
