//! What the platform says of the deployment: configuration, targets and weights.
//!
//! These types are free of any wire format; [`crate::platform`] decodes into them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub mod catalog;
pub mod routes;

/// Routes, services, accounts and limits of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Version that the operator gave; increases in uneven steps.
    pub version: u64,
    /// Routes, sorted by host and then by prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// API keys, sorted by key.
    pub keys: Vec<Key>,
    /// Accounts in the operator's order.
    pub accounts: Vec<Account>,
    /// What a caller may send.
    pub limits: Limits,
}

impl Config {
    /// Service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Account that holds `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let found = self.keys.binary_search_by(|k| k.text.as_str().cmp(key));
        found.ok().map(|i| &self.accounts[self.keys[i].account])
    }
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Largest request head, bytes.
    pub head: usize,
    /// Largest request body, bytes.
    pub body: usize,
    /// Longest time for a request head.
    pub header: Duration,
    /// Longest time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// Which repetitions a route allows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Class {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// A series of events; may be resumed elsewhere if `resumable`.
    Stream {
        /// Whether another target may continue after the last event.
        resumable: bool,
    },
}

impl Class {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// Which requests go to which services, and how long they may take.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the caller names.
    pub host: String,
    /// Begin of the path, with a slash at both ends.
    pub prefix: String,
    /// Which repetitions are allowed.
    pub class: Class,
    /// Time after which a request gets its final answer.
    pub timeout: Duration,
    /// Time within which an answer is useful in full; for streams, up to the first event.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Whether no API key is needed.
    pub public: bool,
    /// Services with their weights; at least one.
    pub split: Vec<Share>,
}

/// Part of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Service that receives the part.
    pub service: String,
    /// Weight against the other parts.
    pub weight: u32,
}

/// One API key of an account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Key {
    /// Text of the key.
    pub text: String,
    /// Position in [`Config::accounts`].
    pub account: usize,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Name that targets receive.
    pub name: String,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// A group of targets, or the origin of weights.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Model engine, if the targets generate text.
    pub engine: Option<Engine>,
    /// The origin of weights, if this service hands them out.
    pub origin: Option<Origin>,
}

/// Where weights come from at first.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Rate of its link, megabits a second; 0 if it is not known.
    pub mbps: f64,
}

/// Timing and sizes of a model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Time of one token step without any request.
    pub step: Duration,
    /// Additional time of a step for each running request.
    pub sequence: Duration,
    /// Prompt tokens that are read in a second.
    pub prefill: f64,
    /// Mean prompt length, tokens.
    pub prompt: f64,
    /// Mean answer length, tokens.
    pub answer: f64,
    /// Models that the engine can load.
    pub models: Vec<String>,
}

impl Engine {
    /// Mean time that a request holds a slot of a full engine.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::fleet::Engine;
    ///
    /// let engine = Engine {
    ///     slots: 10,
    ///     step: Duration::from_millis(6),
    ///     sequence: Duration::from_micros(100),
    ///     prefill: 20_000.0,
    ///     prompt: 1_000.0,
    ///     answer: 100.0,
    ///     models: Vec::new(),
    /// };
    /// // 100 steps of 7 ms, and ten prompts of 50 ms are read meanwhile.
    /// assert_eq!(engine.hold().as_millis(), 1_200);
    /// ```
    #[must_use]
    pub fn hold(&self) -> Duration {
        let slots = f64::from(self.slots);
        let step = self.step.as_secs_f64() + slots * self.sequence.as_secs_f64();
        let reading = slots * self.prompt / self.prefill.max(1.0);
        Duration::from_secs_f64(self.answer * step + reading)
    }
}

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// One lifetime of a target, as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Identifies the target; a restarted one may keep it.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Start of this lifetime, Unix milliseconds; 0 if it didn't say.
    pub born: u64,
    /// Version of the weights that it holds completely; `None` without an engine or weights.
    pub weights: Option<u64>,
}

/// Newest version of a model's weights that the operator named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Model.
    pub model: String,
    /// Version; starts at 1 and increases.
    pub version: u64,
}
