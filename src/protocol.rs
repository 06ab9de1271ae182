//! Headers between callers, entries and agents, and what they mean.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// What became of a request, see [`Outcome`].
pub const OUTCOME: HeaderName = HeaderName::from_static("corianderramp-outcome");
/// `model@version` that the entry chose for the request.
pub const VERSION: HeaderName = HeaderName::from_static("corianderramp-version");
/// Why an agent refused a request or gave it up, see [`Reason`].
pub const REASON: HeaderName = HeaderName::from_static("corianderramp-reason");
/// Present on a request that must not share its target with another one.
pub const ALONE: HeaderName = HeaderName::from_static("corianderramp-alone");
/// `model@version` that an engine used.
pub const MODEL_VERSION: HeaderName = HeaderName::from_static("x-model-version");
/// Identifier of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that the caller waits, milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");
/// Identifies an operation that must not be repeated.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was not run and may be sent again.
    NotRun,
    /// It ran and the answer is complete.
    Done,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }

    /// Outcome that an agent's answer carries, if any.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        match headers.get(OUTCOME)?.as_bytes() {
            b"not-run" => Some(Self::NotRun),
            b"done" => Some(Self::Done),
            _ => Some(Self::Unknown),
        }
    }
}

/// Why an agent did not forward an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The agent has no configuration yet.
    Starting,
    /// The target leaves.
    Draining,
    /// The engine serves another version, or none.
    VersionMismatch,
    /// The target has as many requests as it takes.
    Full,
    /// The target is kept for a request that must run alone.
    Reserved,
    /// The target can't be reached.
    Unreachable,
    /// The target broke the connection.
    Broken,
    /// The answer comes from another version or can't be told from a cut one.
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
    /// Value of the header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        REASONS[self as usize].1
    }

    /// Reason that an agent's answer carries, if any.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(REASON)?.to_str().ok()?;
        let found = REASONS.iter().find(|(_, name)| *name == value);
        found.map(|(reason, _)| *reason)
    }

    /// Outcome of a request that was given up for this reason.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Broken | Self::InvalidResponse => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// Headers that belong to one connection and are not forwarded.
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

/// Removes the headers that belong to one connection, those that `connection`
/// names included.
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
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Header value of text that was checked before; empty when it is not valid.
#[must_use]
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}
