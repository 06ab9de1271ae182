//! Services that entries route requests to: model engines and plain HTTP services.

use serde::{Deserialize, Serialize};

use super::{Invalid, Kind, Resource, require};

/// What runs on the targets of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backend {
    /// Model engines.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// Whether an operation may be retried after it may have run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Running the operation again has no further effect.
    Idempotent,
    /// The operation must not run more than once.
    #[default]
    AtMostOnce,
}

/// How at-most-once operations are handled while the platform is unreachable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalMode {
    /// They are rejected without being run.
    #[default]
    Refuse,
    /// The owner of the journal shard continues from memory.
    Owner,
}

/// Class of the operations with a given method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method, case-insensitive; `*` matches all methods.
    pub method: String,
    /// Prefix of the path below the service's name, starting with `/`; it matches whole
    /// path segments.
    pub prefix: String,
    /// Class of matching operations.
    pub class: Class,
}

/// Service-level objective.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Share of requests that must be good, between 0 and 1, exclusive.
    pub target: f64,
    /// Time to first byte above which a response counts as late, milliseconds.
    pub latency_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            target: 0.999,
            latency_ms: 640,
        }
    }
}

/// Service that callers address by name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What runs on the targets.
    pub backend: Backend,
    /// Operation classes. The route with the longest matching prefix applies; operations
    /// that match no route are at-most-once.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// How at-most-once operations are handled while the platform is unreachable.
    #[serde(default)]
    pub journal: JournalMode,
    /// Whether the engines reject commands with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the targets report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// Service-level objective.
    #[serde(default)]
    pub objective: Objective,
    /// Timeout of requests that specify no deadline, milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

const fn default_timeout() -> u64 {
    60_000
}

impl Service {
    /// Class of the operation with the given method and path.
    ///
    /// ```
    /// use corianderramp::resource::service;
    ///
    /// let spec = r#"{"backend":"plain","routes":[
    ///     {"method":"GET","prefix":"/pitches","class":"idempotent"}]}"#;
    /// let ledger: service::Service = serde_json::from_str(spec).unwrap();
    /// assert_eq!(ledger.class("GET", "/pitches/7"), service::Class::Idempotent);
    /// assert_eq!(ledger.class("POST", "/pitches"), service::Class::AtMostOnce);
    /// ```
    #[must_use]
    pub fn class(&self, method: &str, path: &str) -> Class {
        let matching = self.routes.iter().filter(|r| {
            (r.method == "*" || r.method.eq_ignore_ascii_case(method))
                && matches_prefix(path, &r.prefix)
        });
        matching
            .max_by_key(|r| r.prefix.len())
            .map_or(Class::AtMostOnce, |r| r.class)
    }
}

/// Whether `path` equals `prefix`, apart from the query, or is below it by whole path
/// segments.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/') || rest.starts_with('?')
}

impl Resource for Service {
    const KIND: Kind = Kind::Service;

    fn validate(&self) -> Result<(), Invalid> {
        for (i, route) in self.routes.iter().enumerate() {
            let field = format!("spec.routes[{i}].prefix");
            require(route.prefix.starts_with('/'), &field, "must start with /")?;
            let field = format!("spec.routes[{i}].method");
            require(!route.method.is_empty(), &field, "must not be empty")?;
        }
        let target = self.objective.target;
        require(
            target > 0.0 && target < 1.0,
            "spec.objective.target",
            "must be above 0 and below 1",
        )?;
        require(
            self.objective.latency_ms > 0,
            "spec.objective.latency_ms",
            "must be above 0",
        )?;
        require(self.timeout_ms > 0, "spec.timeout_ms", "must be above 0")
    }
}
