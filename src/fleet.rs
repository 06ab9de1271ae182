//! Deployment model: configuration, targets and releases of weights.
//!
//! The types do not depend on the platform's wire format; [`crate::platform`] decodes
//! into them. Nodes exchange [`Config`] and [`Target`] as JSON, so renamed fields keep
//! their serialized names.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::access::Access;
use crate::fleet::fault::Fault;
use crate::fleet::rank::Rank;

pub mod access;
pub mod catalog;
pub mod classes;
pub mod diff;
pub mod fault;
pub mod rank;
pub mod revision;
pub mod routes;

/// Longest estimate of the time that a request occupies a slot.
const LONGEST_SLOT_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// One version of the deployment's configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version set by the operator; increases, but not necessarily by one.
    pub version: u64,
    /// Routes, sorted by host, then by path prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// API keys, sorted by text.
    pub keys: Vec<Key>,
    /// Client accounts in the operator's order.
    pub accounts: Vec<Account>,
    /// Whether requests need the key of an account.
    #[serde(default)]
    pub access: Access,
    /// Size and time limits for callers.
    pub limits: Limits,
    /// Whether there may be more routes: of some, the host or path prefix can't be read.
    #[serde(default)]
    pub lacks_routes: bool,
    /// Parts that can't be read.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

impl Config {
    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Returns the longest latency objective of the routes to a service; `None` without any.
    #[must_use]
    pub fn longest_objective(&self, service: &str) -> Option<Duration> {
        let leads = |r: &&Route| r.split.iter().any(|s| s.service == service);
        let routes = self.routes.iter().filter(leads);
        routes.map(|r| r.objective).max()
    }

    /// Returns the account that owns the API key `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let found = self.keys.binary_search_by(|k| k.text.as_str().cmp(key));
        found.ok().map(|i| &self.accounts[self.keys[i].account])
    }

    /// Returns the names of the routes and accounts whose lists of regions are malformed.
    ///
    /// ```
    /// use corianderramp::fleet::{Config, Route};
    ///
    /// let route = |name: &str, homes| Route { name: name.to_owned(), homes, ..Route::default() };
    /// let routes = vec![route("open", None), route("malformed", Some(Vec::new()))];
    /// let config = Config { routes, ..Config::default() };
    /// assert!(config.malformed_homes().eq(["malformed"]));
    /// ```
    pub fn malformed_homes(&self) -> impl Iterator<Item = &str> {
        let routes = self.routes.iter().map(|r| (&r.name, &r.homes));
        let accounts = self.accounts.iter().map(|a| (&a.name, &a.homes));
        let all = routes.chain(accounts);
        all.filter(|(_, homes)| homes.as_ref().is_some_and(Vec::is_empty))
            .map(|(name, _)| name.as_str())
    }
}

/// Size and time limits for callers' requests and connections.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request head, bytes.
    #[serde(rename = "head")]
    pub head_bytes: usize,
    /// Maximum size of a request body, bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    #[serde(rename = "header")]
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once for each attempt of the caller.
    #[default]
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another target may continue the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent to another target.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// Maps requests of a host and path prefix to services, with their time limits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Value of the `host` header, without port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// How requests may be retried.
    #[serde(rename = "class")]
    pub kind: RouteKind,
    /// Time limit for the complete response.
    pub timeout: Duration,
    /// Latency objective: time to the complete response or, for streams, to the first event.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time; zero if none is stated.
    #[serde(default, rename = "pause")]
    pub max_pause: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: Rank,
    /// Maximum number of targets to which one attempt of a caller is sent.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services among which requests are split by weight; none if the route can't be read, so that
    /// its requests are refused.
    pub split: Vec<WeightedService>,
    /// Regions that may serve the requests, sorted; `None` if any may, empty if the list is
    /// malformed, so that none may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub homes: Option<Vec<String>>,
}

/// Service with its share of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// One API key of an account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Key {
    /// Text of the key.
    pub text: String,
    /// Index of the owner in [`Config::accounts`].
    pub account: usize,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Name that is sent to targets.
    pub name: String,
    /// Priority that overrides the route's.
    pub priority: Option<Rank>,
    /// Regions that may serve the account's requests, like [`Route::homes`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub homes: Option<Vec<String>>,
}

/// A group of targets, or the origin of weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Engine parameters, if the targets are model engines.
    pub engine: Option<Engine>,
    /// Origin of weights, if the service is one.
    pub origin: Option<Origin>,
    /// Limit of its targets after a start; `None` if they need none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
    /// Whether it can't be read, so that requests for it are refused.
    #[serde(default)]
    pub is_unreadable: bool,
}

impl Service {
    /// Creates a service of which only the name can be read.
    #[must_use]
    pub fn unreadable(name: String) -> Self {
        Self {
            name,
            engine: None,
            origin: None,
            cold: None,
            is_unreadable: true,
        }
    }
}

/// What the targets of a service take while they are cold.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdStart {
    /// Time for which a target is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold target takes from all gateways together.
    pub rate: f64,
}

/// Server from which hosts first fetch new weights.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Bandwidth of its link, megabits per second; 0 if unknown.
    pub mbps: f64,
}

/// Capacity and timing of a model engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Fixed time of one decoding step.
    pub step: Duration,
    /// Time that each running request adds to a decoding step.
    #[serde(rename = "sequence")]
    pub per_sequence: Duration,
    /// Prefill rate, prompt tokens per second.
    #[serde(rename = "prefill")]
    pub prefill_rate: f64,
    /// Mean prompt length, tokens.
    #[serde(rename = "prompt")]
    pub mean_prompt: f64,
    /// Mean output length, tokens.
    #[serde(rename = "answer")]
    pub mean_output: f64,
    /// Names of the models that the engine can load.
    pub models: Vec<String>,
    /// Time of a decoding step for each 1,000 tokens of context of a running request.
    #[serde(default)]
    pub per_context: Duration,
    /// Time to attend to a million pairs of a prompt token and an earlier one.
    #[serde(default)]
    pub per_pairs: Duration,
    /// Maximum number of prompt tokens read in one step; 0 if unknown.
    #[serde(default)]
    pub step_tokens: u32,
    /// Decoding steps in one pass, between which the engine admits no prompt; 0 if unknown.
    #[serde(default)]
    pub pass_steps: u32,
}

impl Engine {
    /// Estimates the mean time that a request occupies a slot when all slots are in use.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::fleet::Engine;
    ///
    /// let engine = Engine {
    ///     slots: 10,
    ///     step: Duration::from_millis(6),
    ///     per_sequence: Duration::from_micros(100),
    ///     prefill_rate: 20_000.0,
    ///     mean_prompt: 1_000.0,
    ///     mean_output: 100.0,
    ///     ..Engine::default()
    /// };
    /// // 100 decoding steps of 7 ms plus the prefill of ten prompts, 50 ms each.
    /// assert_eq!(engine.slot_time().as_millis(), 1_200);
    /// ```
    #[must_use]
    pub fn slot_time(&self) -> Duration {
        let slots = f64::from(self.slots);
        let step = self.step.as_secs_f64() + slots * self.per_sequence.as_secs_f64();
        let prefill = slots * self.mean_prompt / self.prefill_rate.max(1.0);
        let time = Duration::try_from_secs_f64(self.mean_output * step + prefill);
        time.unwrap_or(LONGEST_SLOT_TIME).min(LONGEST_SLOT_TIME)
    }
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and then shuts down.
    Draining,
}

/// Registration of a target; a restart starts a new lifetime.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Identifier; may stay the same across restarts.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Name of its data centre.
    #[serde(rename = "centre")]
    pub data_center: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Start of this lifetime, Unix milliseconds; 0 if unknown.
    #[serde(rename = "born")]
    pub started: u64,
    /// Whether it is a model engine, next to which a host runs.
    #[serde(default, rename = "engine")]
    pub has_engine: bool,
    /// Version of the weights that it holds completely; `None` without an engine or
    /// complete weights.
    pub weights: Option<u64>,
    /// Time for which it was still cold when it registered.
    #[serde(default, rename = "cold")]
    pub cold_left: Duration,
}

/// Version of a model's weights that the operator released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Name of the model.
    pub model: String,
    /// Version number; starts at 1 and increases.
    pub version: u64,
}
