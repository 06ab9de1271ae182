//! A caller's request, and the attempts to get an answer for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use xxhash_rust::xxh3::Xxh3;

use crate::fleet::rank::Rank;
use crate::fleet::{Config, Route, RouteKind};
use crate::place::pool::TargetKey;
use crate::platform::request::CallerHeaders;

/// A caller's request and how it is to be handled.
#[derive(Debug)]
pub struct Call {
    /// Parsed headers of the caller.
    pub caller_headers: CallerHeaders,
    /// Configuration that applies to the request.
    pub config: Arc<Config>,
    /// Index of the route in the configuration.
    pub route: usize,
    /// Service that serves the request.
    pub service: String,
    /// Account of the caller, if the route requires one.
    pub account: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: Rank,
    /// Class of the priority.
    pub class: u8,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers of the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Hashes of what may crash a target: the shared parts of the prompt and the whole request.
    pub fingerprints: Vec<u64>,
    /// Whether the caller returns after a refusal.
    pub is_returning: bool,
    /// When the request arrived.
    pub start: Instant,
    /// When the caller must have the final answer.
    pub deadline: Instant,
    /// When the caller or the route stops waiting; a stream in progress ends then. A little later
    /// than the deadline, which leaves time for a refusal.
    pub end: Instant,
}

impl Call {
    /// Hash of what is the same when a caller sends a request again.
    #[must_use]
    pub fn request_fingerprint(&self) -> u64 {
        let uri = self.uri.path_and_query().map_or("", |p| p.as_str());
        let mut hasher = Xxh3::new();
        for part in [
            self.method.as_str(),
            uri,
            self.account.as_deref().unwrap_or_default(),
        ] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&self.body);
        hasher.digest()
    }

    /// Returns the route of the request.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.config.routes[self.route]
    }

    /// Returns whether the answer to the request is an event stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.route().kind, RouteKind::Stream { .. })
    }

    /// Returns whether the targets of the service are model engines.
    #[must_use]
    pub fn has_engine(&self) -> bool {
        let service = self.config.service(&self.service);
        service.is_some_and(|s| s.engine.is_some())
    }
}

/// Attempts at a request so far, for retries and the log line.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Targets of all attempts, also those without a connection.
    pub tried: Vec<TargetKey>,
    /// Number of times that the request was sent.
    pub sends: u32,
    /// Number of slot requests to hosts.
    pub asks: u32,
    /// Time for which the caller waited for a place.
    pub waited: Duration,
    /// Number of attempts without a connection.
    pub unreachable: u32,
    /// Data centres that the homes of the request permitted when it was refused for lack of one.
    pub permitted: Option<String>,
    /// Number of sends beside a silent target.
    pub hedges: u32,
    /// Longest silence of a target after which another one was looked for.
    pub silence: Duration,
    /// Address of the last target.
    pub target: String,
    /// Why the last attempt failed.
    pub reason: &'static str,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Attempts beside a silent target in progress.
    pub hedged: u32,
    /// When a part of a complete answer last arrived, unless that was looked at.
    pub heard: Option<Instant>,
}
