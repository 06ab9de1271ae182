//! Headers between callers, this system and targets.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-corianderramp-request-id");
/// Time that the caller waits, milliseconds; not a point in time.
const DEADLINE: HeaderName = HeaderName::from_static("x-corianderramp-deadline-ms");
const API_KEY: HeaderName = HeaderName::from_static("api-key");
const TENANT: HeaderName = HeaderName::from_static("x-corianderramp-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-corianderramp-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-corianderramp-expect-version");
const URGENCY: HeaderName = HeaderName::from_static("x-corianderramp-request-urgency");
const PATH: HeaderName = HeaderName::from_static("path");
/// Prompt tokens and the maximum of output tokens, not a sum.
const TOKENS: HeaderName = HeaderName::from_static("x-corianderramp-token-count");
const MODEL: HeaderName = HeaderName::from_static("x-corianderramp-model");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-corianderramp-length-hint");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const NOT_RUN: HeaderName = HeaderName::from_static("x-corianderramp-not-run");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What a caller's headers say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHeaders {
    /// Identifies this attempt of the caller.
    pub request_id: String,
    /// Time that the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Prompt length, tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, tokens.
    pub output_tokens: u32,
    /// Last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Model that is to answer.
    pub model: Option<String>,
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.trim().to_owned())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Reads a caller's headers.
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
    let sizes = text(headers, &TOKENS).unwrap_or_default();
    let mut sizes = sizes.split(',').map(|s| s.trim().parse().unwrap_or(0));
    let prompt = sizes.next().unwrap_or(0);
    let most = sizes.next().unwrap_or(0);
    let hint = number(headers, &LENGTH_HINT);
    CallerHeaders {
        request_id: text(headers, &REQUEST_ID).unwrap_or_default(),
        timeout: number(headers, &DEADLINE).map(Duration::from_millis),
        api_key: text(headers, &API_KEY),
        prompt_tokens: prompt,
        output_tokens: hint.map_or(most, |hint: u32| hint.min(most.max(1))),
        last_event: number(headers, &LAST_EVENT),
        model: text(headers, &MODEL),
    }
}

/// Whether `headers` carry an id; a request without one can't be matched with its answer.
#[must_use]
pub fn has_request_id(headers: &HeaderMap, id: &str) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|v| v.as_bytes() == id.as_bytes())
}

/// Whether a target's answer carries an id other than `id`: it belongs to another request.
#[must_use]
pub fn is_mismatched(headers: &HeaderMap, id: &str) -> bool {
    headers.contains_key(REQUEST_ID) && !has_request_id(headers, id)
}

/// Whether a target says that it did not run the request.
#[must_use]
pub fn not_run(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN)
}

/// What this system tells a target beyond the caller's own headers.
#[derive(Clone, Debug)]
pub struct TargetHeaders<'a> {
    /// Identity that the target must have.
    pub id: &'a str,
    /// Version of the weights that the target must hold.
    pub weights: Option<u64>,
    /// Account of the caller.
    pub account: Option<&'a str>,
    /// Time left for the answer.
    pub timeout: Duration,
    /// Urgency in the target's queue, 0 to 9; 0 comes first.
    pub urgency: Option<u8>,
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Removes headers that concern one connection only.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
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

/// Headers for a target, from those of the caller.
///
/// What only this system may say is replaced whatever the caller sent.
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
    // Names from the store may hold characters that a header can't carry; the
    // target then refuses the request instead of running it for another account.
    let value = HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static("?"));
    headers.insert(name, value);
}

/// Headers of a target's answer as the caller receives them.
pub fn prepare_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
}

/// Sets the id of an answer that this system makes itself.
pub fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if !id.is_empty() {
        set(headers, REQUEST_ID, id);
    }
}

/// Asks the caller to come back after `wait`; the wire takes fractions of a second.
pub fn retry_after(headers: &mut HeaderMap, wait: Duration) {
    let seconds = format!("{:.2}", wait.as_secs_f64());
    set(headers, header::RETRY_AFTER, &seconds);
}

/// Whether a request asks if this process takes new connections.
#[must_use]
pub fn is_ready_probe(method: &Method, uri: &Uri) -> bool {
    *method == Method::GET && uri.path() == "/ready"
}
