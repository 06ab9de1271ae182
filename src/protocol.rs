//! HTTP headers exchanged between callers, entries and agents.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Whether a request ran, see [`Outcome`].
pub const OUTCOME: HeaderName = HeaderName::from_static("corianderramp-outcome");
/// `model@version` that the entry selected for the request.
pub const VERSION: HeaderName = HeaderName::from_static("corianderramp-version");
/// Why an agent rejected or aborted a request, see [`Reason`].
pub const REASON: HeaderName = HeaderName::from_static("corianderramp-reason");
/// Present on a request that must be the only one running on its target.
pub const ALONE: HeaderName = HeaderName::from_static("corianderramp-alone");
/// `model@version` with which an engine produced its response.
pub const MODEL_VERSION: HeaderName = HeaderName::from_static("x-model-version");
/// Request identifier.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time limit set by the caller, milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");
/// Identifies an operation that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It did not run, so it may be retried.
    NotRun,
    /// It ran and the response is complete.
    Done,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Header value.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the outcome from a response's headers; an unrecognized value counts as
    /// [`Outcome::Unknown`].
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        match headers.get(OUTCOME)?.as_bytes() {
            b"not-run" => Some(Self::NotRun),
            b"done" => Some(Self::Done),
            _ => Some(Self::Unknown),
        }
    }
}

/// Why an agent did not forward a response from its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The agent has no configuration yet.
    Starting,
    /// The target is draining.
    Draining,
    /// The engine serves another version or none.
    VersionMismatch,
    /// All slots of the target are in use.
    Full,
    /// The target is reserved for a request that must run alone.
    Reserved,
    /// No connection to the target could be opened.
    Unreachable,
    /// The target closed the connection before it responded.
    Broken,
    /// The response comes from another version, or a truncated one could not be detected.
    InvalidResponse,
}

const REASONS: [(Reason, &str); 8] = [
    (Reason::Starting, "starting"),
    (Reason::Draining, "draining"),
    (Reason::VersionMismatch, "version"),
    (Reason::Full, "full"),
    (Reason::Reserved, "reserved"),
    (Reason::Unreachable, "unreachable"),
    (Reason::Broken, "broken"),
    (Reason::InvalidResponse, "answer"),
];

impl Reason {
    /// Header value.
    #[must_use]
    pub const fn name(self) -> &'static str {
        REASONS[self as usize].1
    }

    /// Reads the reason from a response's headers; `None` if missing or unrecognized.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(REASON)?.to_str().ok()?;
        let found = REASONS.iter().find(|(_, name)| *name == value);
        found.map(|(reason, _)| *reason)
    }

    /// Outcome of a request that fails for this reason.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Broken | Self::InvalidResponse => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those that the `connection` header lists.
///
/// ```
/// use corianderramp::protocol;
/// use http::{HeaderMap, HeaderValue};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-hop"));
/// headers.insert("x-hop", HeaderValue::from_static("1"));
/// headers.insert("accept", HeaderValue::from_static("*/*"));
/// protocol::remove_hop_by_hop(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Converts `text` to a header value; empty if it contains invalid characters.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}
