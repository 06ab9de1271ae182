//! Parsing and validation of client requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, header, request};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use super::prefix::Completion;
use super::reply::{self, ErrorResponse};
use crate::config;
use crate::digest::Digest;
use crate::protocol;
use crate::resource::Object;
use crate::resource::account::Account;
use crate::resource::service::{Backend, Class, Service};
use crate::settings::Limits;

/// Longest idempotency key, bytes.
const MAX_KEY_BYTES: usize = 256;
/// Longest timeout that a client may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// A parsed request with its account and service.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request id.
    pub id: String,
    /// Account that the API key belongs to.
    pub account: Arc<Object<Account>>,
    /// Service that the request is for.
    pub service: Arc<Object<Service>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query to send to the target.
    pub path: String,
    /// Headers to forward to the target.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Whether the operation may be repeated.
    pub class: Class,
    /// Idempotency key; set only for at-most-once operations.
    pub idempotency_key: Option<String>,
    /// When the client stops waiting for the start of the response; for an
    /// operation with a key, for its end.
    pub first_byte_deadline: Instant,
    /// When the client stops waiting for the end of the response, if it set a
    /// timeout.
    pub response_deadline: Option<Instant>,
    /// Digest of service, method, path and body.
    pub fingerprint: Digest,
    /// Hashes of the prompt's leading blocks; empty for plain services.
    pub prompt_hashes: Vec<u64>,
}

/// What a request's path refers to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint<'a> {
    /// Completion; the body names the service.
    Completion,
    /// List of the model services.
    Models,
    /// Path of a plain service.
    Plain {
        /// Name of the service.
        service: &'a str,
        /// Rest of the path, with the query.
        path: String,
    },
}

/// Returns the endpoint that a method and path refer to; `None` if there is none.
///
/// ```
/// use corianderramp::entry::parse;
/// use http::{Method, Uri};
///
/// let uri: Uri = "/pitch-ledger/pitches?day=3".parse().unwrap();
/// let endpoint = parse::endpoint(&Method::GET, &uri);
/// let path = "/pitches?day=3".to_owned();
/// let plain = parse::Endpoint::Plain { service: "pitch-ledger", path };
/// assert_eq!(endpoint, Some(plain));
/// ```
#[must_use]
pub fn endpoint<'a>(method: &Method, uri: &'a http::Uri) -> Option<Endpoint<'a>> {
    match (method, uri.path()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            return Some(Endpoint::Completion);
        }
        (&Method::GET, "/v1/models") => return Some(Endpoint::Models),
        _ => {}
    }
    let rest = uri.path().strip_prefix('/')?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() || service == "v1" || has_dot_segments(path) {
        return None;
    }
    let query = uri.query().map_or_else(String::new, |q| format!("?{q}"));
    Some(Endpoint::Plain {
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

/// Reads the body of a request and determines its service, class and deadlines.
///
/// # Errors
/// Says why the request is rejected; it was not run.
pub async fn request(
    id: String,
    account: Arc<Object<Account>>,
    request: Request<Incoming>,
    view: &config::View,
    limits: &Limits,
    now: Instant,
) -> Result<ClientRequest, ErrorResponse> {
    let timeout = timeout(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let (parts, body) = request.into_parts();
    let endpoint = endpoint(&parts.method, &parts.uri).ok_or(reply::UNKNOWN_PATH)?;
    let body = read_body(body, limits, timeout).await?;
    let (service, path, prompt_hashes) = match endpoint {
        Endpoint::Completion => {
            let completion: Completion =
                serde_json::from_slice(&body).map_err(|_| reply::INVALID_BODY)?;
            let service = find_service(view, &completion.model, Backend::Model)?;
            let path = parts.uri.path().to_owned();
            (service, path, completion.prompt_hashes())
        }
        Endpoint::Plain { service, path } => (
            find_service(view, service, Backend::Plain)?,
            path,
            Vec::new(),
        ),
        Endpoint::Models => return Err(reply::UNKNOWN_PATH),
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
    let first_byte_timeout = timeout.unwrap_or(Duration::from_millis(service.spec.timeout_ms));
    Ok(ClientRequest {
        id,
        account,
        method: parts.method.clone(),
        path,
        headers: forwarded_headers(parts),
        body,
        class,
        idempotency_key: key.filter(|_| class == Class::AtMostOnce),
        first_byte_deadline: now + first_byte_timeout,
        response_deadline: timeout.map(|t| now + t),
        fingerprint,
        prompt_hashes,
        service,
    })
}

fn find_service(
    view: &config::View,
    name: &str,
    backend: Backend,
) -> Result<Arc<Object<Service>>, ErrorResponse> {
    let found = config::find(&view.services, name).filter(|s| s.spec.backend == backend);
    found.cloned().ok_or(reply::UNKNOWN_SERVICE)
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = headers.get(protocol::TIMEOUT) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| reply::INVALID_HEADER)?;
    let millis: u64 = text.trim().parse().map_err(|_| reply::INVALID_HEADER)?;
    if millis == 0 {
        return Err(reply::INVALID_HEADER);
    }
    Ok(Some(Duration::from_millis(millis).min(MAX_TIMEOUT)))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ErrorResponse> {
    let Some(value) = headers.get(protocol::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| reply::INVALID_HEADER)?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(reply::INVALID_HEADER);
    }
    Ok(Some(key.to_owned()))
}

/// Headers to forward to the target: without hop-by-hop headers, the API key
/// and the headers that this system sets itself.
fn forwarded_headers(parts: request::Parts) -> HeaderMap {
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

async fn read_body(
    mut body: Incoming,
    limits: &Limits,
    timeout: Option<Duration>,
) -> Result<Bytes, ErrorResponse> {
    let min_size = body.size_hint().lower();
    if min_size > limits.body_bytes as u64 {
        return Err(reply::BODY_TOO_LARGE);
    }
    let idle_timeout = Duration::from_millis(limits.idle_ms);
    // Limits the total time too, for a body that keeps arriving slowly.
    let deadline = time::Instant::now() + timeout.unwrap_or(idle_timeout * 4);
    let mut data = BytesMut::new();
    loop {
        let next = time::timeout(idle_timeout, time::timeout_at(deadline, body.frame())).await;
        let Ok(Ok(frame)) = next else {
            return Err(reply::BODY_TIMEOUT);
        };
        match frame {
            None => return Ok(data.freeze()),
            Some(Err(_)) => return Err(reply::BODY_TIMEOUT),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    if data.len() + chunk.len() > limits.body_bytes {
                        return Err(reply::BODY_TOO_LARGE);
                    }
                    data.extend_from_slice(&chunk);
                }
            }
        }
    }
}
