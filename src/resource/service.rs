//! Services: model engines and plain services behind the entries.

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

/// Whether an operation may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Repeating the operation has the effect of running it once.
    Idempotent,
    /// The operation must not be repeated.
    #[default]
    AtMostOnce,
}

/// What happens to at-most-once operations while the platform can't be reached.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalMode {
    /// They are refused as not run.
    #[default]
    Refuse,
    /// The owner of the shard goes on from memory.
    Owner,
}

/// Class of the operations under one method and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method; `*` for all.
    pub method: String,
    /// Prefix of the path after the service's name, starting with `/`.
    pub prefix: String,
    /// Class of matching operations.
    pub class: Class,
}

/// Service-level objective.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// Share of requests that must be good, above 0 and below 1.
    pub target: f64,
    /// Time to the first byte above which an answer counts as late, milliseconds.
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

/// Service that callers reach by name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What runs on the targets.
    pub backend: Backend,
    /// Operation classes; the longest matching prefix decides, and an unlisted
    /// operation counts as at-most-once.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Behaviour of at-most-once operations without the platform.
    #[serde(default)]
    pub journal: JournalMode,
    /// Whether the engines refuse orders with an old fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Whether the targets report load.
    #[serde(default)]
    pub reports_load: bool,
    /// Service-level objective.
    #[serde(default)]
    pub objective: Objective,
    /// Deadline of requests that carry none, milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

const fn default_timeout() -> u64 {
    60_000
}

impl Service {
    /// Class of an operation.
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
            (r.method == "*" || r.method.eq_ignore_ascii_case(method)) && under(path, &r.prefix)
        });
        matching
            .max_by_key(|r| r.prefix.len())
            .map_or(Class::AtMostOnce, |r| r.class)
    }
}

/// Whether `path` is `prefix` or lies below it, by whole path segments.
fn under(path: &str, prefix: &str) -> bool {
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
            "must lie between 0 and 1",
        )?;
        require(
            self.objective.latency_ms > 0,
            "spec.objective.latency_ms",
            "must be above 0",
        )?;
        require(self.timeout_ms > 0, "spec.timeout_ms", "must be above 0")
    }
}
