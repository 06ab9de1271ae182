//! HTTP headers exchanged with callers and targets.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri, request};
use xxhash_rust::xxh3;

use crate::platform::figure;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-corianderramp-request-id");
/// Remaining time for the response, milliseconds; a duration, not a point in time.
const DEADLINE: HeaderName = HeaderName::from_static("x-corianderramp-deadline-ms");
const API_KEY: HeaderName = HeaderName::from_static("api-key");
const TENANT: HeaderName = HeaderName::from_static("x-corianderramp-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-corianderramp-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-corianderramp-expect-version");
const URGENCY: HeaderName = HeaderName::from_static("x-corianderramp-request-urgency");
const PATH: HeaderName = HeaderName::from_static("path");
/// Prompt length and maximum output length in tokens, separated by a comma.
const TOKENS: HeaderName = HeaderName::from_static("x-corianderramp-token-count");
/// Parts of the prompt as `id:tokens`, separated by commas; the last one is the request's own.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-corianderramp-prompt-prefix");
const MODEL: HeaderName = HeaderName::from_static("x-corianderramp-model");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-corianderramp-length-hint");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const NOT_RUN: HeaderName = HeaderName::from_static("x-corianderramp-not-run");
/// Requests per second that the target takes from all gateways together, a decimal number.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` in all answers of a target that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Returns the size of a request head, bytes. Spaces beside the values don't count.
///
/// ```
/// use corianderramp::platform::request;
/// use http::Request;
///
/// let (parts, ()) = Request::get("/a?b").header("host", "c").body(()).unwrap().into_parts();
/// let head = "GET /a?b HTTP/1.1\r\nhost: c\r\n\r\n";
/// assert_eq!(request::head_bytes(&parts), head.len());
/// ```
#[must_use]
pub fn head_bytes(parts: &request::Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |t| t.as_str().len());
    let line = parts.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    line + header_bytes(&parts.headers) + "\r\n".len()
}

/// Returns the size of headers in a request, bytes.
///
/// ```
/// use corianderramp::platform::request;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("host", "c".parse().unwrap());
/// assert_eq!(request::header_bytes(&headers), "host: c\r\n".len());
/// ```
#[must_use]
pub fn header_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    let sizes = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    sizes.sum()
}

/// Values read from a caller's request headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller; empty if missing.
    pub request_id: String,
    /// Time limit set by the caller.
    pub timeout: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Expected output length, tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt parts that other requests may share, in order.
    pub shared_parts: Vec<u64>,
    /// Id of the last event received, if the caller resumes a stream.
    pub last_event: Option<u64>,
    /// Name of the requested model.
    pub model: Option<String>,
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.trim().to_owned())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

fn token_count(text: &str) -> Option<u32> {
    let count = figure::count(text.trim())?;
    Some(u32::try_from(count).unwrap_or(u32::MAX))
}

fn shared_parts(value: &str) -> Vec<u64> {
    let ids = value.split(',').map(|part| part.split(':').next());
    let hashes = ids.flatten().map(|id| xxh3::xxh3_64(id.trim().as_bytes()));
    let mut parts: Vec<u64> = hashes.collect();
    parts.pop();
    parts
}

/// Reads a caller's request headers; missing and malformed values are left out or 0.
///
/// ```
/// use corianderramp::platform::request;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("x-corianderramp-token-count", "1460,80".parse().unwrap());
/// assert_eq!(request::caller_headers(&headers).prompt_tokens, 1460);
/// ```
#[must_use]
pub fn caller_headers(headers: &HeaderMap) -> CallerHeaders {
    let tokens = text(headers, &TOKENS).unwrap_or_default();
    let mut counts = tokens.split(',').map(|s| token_count(s).unwrap_or(0));
    let prompt_tokens = counts.next().unwrap_or(0);
    let max_output = counts.next().unwrap_or(0);
    let hint = text(headers, &LENGTH_HINT).and_then(|t| token_count(&t));
    CallerHeaders {
        request_id: text(headers, &REQUEST_ID).unwrap_or_default(),
        timeout: text(headers, &DEADLINE)
            .and_then(|t| figure::count(&t))
            .map(Duration::from_millis),
        api_key: text(headers, &API_KEY),
        prompt_tokens,
        output_tokens: hint.map_or(max_output, |hint| hint.min(max_output.max(1))),
        shared_parts: shared_parts(&text(headers, &PROMPT_PARTS).unwrap_or_default()),
        last_event: number(headers, &LAST_EVENT),
        model: text(headers, &MODEL),
    }
}

/// Whether the request id in `headers` is `id`.
#[must_use]
pub fn has_request_id(headers: &HeaderMap, id: &str) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|v| v.as_bytes() == id.as_bytes())
}

/// Whether a target's response carries a request id other than `id`, so that it belongs to
/// another request.
#[must_use]
pub fn is_mismatched(headers: &HeaderMap, id: &str) -> bool {
    headers.contains_key(REQUEST_ID) && !has_request_id(headers, id)
}

/// Whether a target's response states that it did not run the request.
#[must_use]
pub fn not_run(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN)
}

/// Rate limit that a target names in an answer, requests per second; `Some(None)` if it names
/// none, `None` if the value is malformed.
///
/// ```
/// use corianderramp::platform::request;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(request::rate_limit(&headers), Some(None));
/// headers.insert("server-limit", "1.3".parse().unwrap());
/// assert_eq!(request::rate_limit(&headers), Some(Some(1.3)));
/// headers.insert("server-limit", "few".parse().unwrap());
/// assert_eq!(request::rate_limit(&headers), None);
/// ```
#[must_use]
pub fn rate_limit(headers: &HeaderMap) -> Option<Option<f64>> {
    if !headers.contains_key(RATE_LIMIT) {
        return Some(None);
    }
    let rate = number(headers, &RATE_LIMIT).filter(|r: &f64| r.is_finite() && *r >= 0.0);
    rate.map(Some)
}

/// Whether a target says in an answer that it leaves.
///
/// ```
/// use corianderramp::platform::request;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert!(!request::is_leaving(&headers));
/// headers.insert("server-leaving", "1".parse().unwrap());
/// assert!(request::is_leaving(&headers));
/// ```
#[must_use]
pub fn is_leaving(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(LEAVING).iter();
    values.any(|v| v.as_bytes().trim_ascii() == b"1")
}

/// Time for which a target wants no requests, from the `retry-after` of an answer; `None` if it
/// names none, or nothing that the platform's pages allow: decimal seconds. Of several, the
/// longest counts.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::platform::request;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(request::requested_wait(&headers), None);
/// headers.insert("retry-after", "2.5".parse().unwrap());
/// assert_eq!(request::requested_wait(&headers), Some(Duration::from_millis(2_500)));
/// headers.insert("retry-after", "-1".parse().unwrap());
/// assert_eq!(request::requested_wait(&headers), None);
/// ```
#[must_use]
pub fn requested_wait(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let waits = values.filter_map(|v| decimal_seconds(v.to_str().ok()?.trim()));
    waits.max()
}

/// Duration of a number of seconds without sign or exponent; the longest one if it is too large.
fn decimal_seconds(text: &str) -> Option<Duration> {
    if !text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let seconds = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Values of the headers that a gateway sets on a request to a target.
#[derive(Clone, Debug)]
pub struct TargetHeaders<'a> {
    /// Expected id of the target.
    pub id: &'a str,
    /// Version of the weights that the target must serve.
    pub weights: Option<u64>,
    /// Name of the caller's account.
    pub account: Option<&'a str>,
    /// Remaining time for the response.
    pub timeout: Duration,
    /// Priority in the target's queue, 0 to 9; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// Removes hop-by-hop headers, including those that the `connection` header lists.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
    ] {
        headers.remove(name);
    }
}

/// Builds the request headers for a target from those of the caller.
///
/// The API key and hop-by-hop headers are removed. Headers that only a gateway may set are
/// replaced, so that a caller can't forge them.
#[must_use]
pub fn forward(caller: &HeaderMap, target: &TargetHeaders<'_>) -> HeaderMap {
    let mut headers = caller.clone();
    remove_hop_by_hop(&mut headers);
    for name in [
        API_KEY,
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        PATH,
        header::CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    set(&mut headers, EXPECT_INSTANCE, target.id);
    set(
        &mut headers,
        DEADLINE,
        &target.timeout.as_millis().to_string(),
    );
    if let Some(version) = target.weights {
        set(&mut headers, EXPECT_VERSION, &version.to_string());
    }
    if let Some(account) = target.account {
        set(&mut headers, TENANT, account);
    }
    if let Some(urgency) = target.urgency {
        set(&mut headers, URGENCY, &urgency.to_string());
    }
    if let Some(after) = target.last_event {
        set(&mut headers, LAST_EVENT, &after.to_string());
    }
    headers
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names from the store may contain characters that are invalid in a header. With `?`
    // the target rejects the request instead of running it for another account.
    let value = HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static("?"));
    headers.insert(name, value);
}

/// Removes the headers of a target's response that are not forwarded to the caller.
pub fn prepare_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
}

/// Sets the request id on a response that the gateway creates itself, unless `id` is empty.
pub fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if !id.is_empty() {
        set(headers, REQUEST_ID, id);
    }
}

/// Sets `retry-after` to `wait`, in seconds with two decimals as the platform allows. It is rounded
/// up: a caller that comes back early is refused again.
pub fn retry_after(headers: &mut HeaderMap, wait: Duration) {
    let hundredths = wait.as_nanos().div_ceil(10_000_000);
    let seconds = format!("{}.{:02}", hundredths / 100, hundredths % 100);
    set(headers, header::RETRY_AFTER, &seconds);
}

/// Whether a request is a readiness probe.
#[must_use]
pub fn is_ready_probe(method: &Method, uri: &Uri) -> bool {
    *method == Method::GET && uri.path() == "/ready"
}
