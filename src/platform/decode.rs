//! Decoders for the objects in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::fleet::{
    Account, Config, Engine, Key, Limits, Origin, Phase, Release, Route, RouteKind, Service,
    Target, WeightedService,
};

/// Configuration object as written by the operator.
#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    /// Client accounts; the platform calls them tenants.
    #[serde(default)]
    tenants: Vec<WireAccount>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    /// `safe`, `unsafe` or `streaming`.
    kind: String,
    timeout_ms: f64,
    target_latency_ms: Option<f64>,
    gap_target_ms: Option<f64>,
    priority: Option<u8>,
    service: Option<String>,
    traffic_split: Option<Vec<WireShare>>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
    allowed_regions: Option<Value>,
}

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: String,
    engine: Option<WireEngine>,
    origin: Option<SocketAddr>,
    /// Bandwidth of the origin's link; the field of this name within `engine` has another
    /// meaning.
    link_mbps: Option<f64>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    step_ms: f64,
    per_seq_ms: f64,
    #[serde(default)]
    context_per_k: f64,
    #[serde(default)]
    pairs_per_m: f64,
    #[serde(default)]
    chunk: u32,
    #[serde(default)]
    stride: u32,
    read_per_s: f64,
    usual: Option<WireUsual>,
    #[serde(default)]
    models: Vec<WireModel>,
}

#[derive(Deserialize)]
struct WireModel {
    name: String,
}

#[derive(Deserialize)]
struct WireUsual {
    prompt: f64,
    answer: f64,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct WireAccount {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    allowed_regions: Option<Value>,
}

/// Registration of a target in the store.
#[derive(Deserialize)]
struct WireTarget {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    /// Start time, Unix milliseconds; changes when the target restarts with the same id.
    born: Option<u64>,
    /// Missing unless the target is a model engine.
    models: Option<Vec<WireHeldModel>>,
    layers: Option<WireLayers>,
}

/// Model whose weights a target holds.
#[derive(Deserialize)]
pub(super) struct WireHeldModel {
    version: u64,
}

/// Range of layers whose weights a target holds; `to` is exclusive.
#[derive(Deserialize)]
pub(super) struct WireLayers {
    from: u32,
    to: u32,
    version: u64,
}

/// Error for an object that does not match the schema of its kind.
pub type ParseError = serde_json::Error;

fn millis(ms: f64) -> Duration {
    // Negative, infinite and NaN values can't be converted and count as 0.
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// Decodes a configuration from the `spec` of its object.
///
/// # Errors
/// Fails when a required field is missing or has the wrong type.
pub fn config(spec: Value) -> Result<Config, ParseError> {
    let wire: WireConfig = serde_json::from_value(spec)?;
    let mut routes: Vec<Route> = wire.routes.into_iter().map(route).collect();
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let mut services: Vec<Service> = wire.services.into_iter().map(service).collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let (mut keys, mut accounts) = (Vec::new(), Vec::new());
    for (index, account) in wire.tenants.into_iter().enumerate() {
        keys.extend(account.api_keys.into_iter().map(|text| Key {
            text,
            account: index,
        }));
        accounts.push(Account {
            name: account.name,
            priority: account.priority,
            homes: homes(account.allowed_regions),
        });
    }
    keys.sort_by(|a, b| a.text.cmp(&b.text));
    Ok(Config {
        version: wire.version,
        routes,
        services,
        keys,
        accounts,
        limits: wire.limits.as_ref().map(limits).unwrap_or_default(),
    })
}

fn limits(wire: &WireLimits) -> Limits {
    Limits {
        head_bytes: wire.max_header_bytes,
        body_bytes: wire.max_body_bytes,
        header_timeout: millis(wire.header_timeout_ms),
        idle_timeout: millis(wire.idle_timeout_ms),
    }
}

fn route(wire: WireRoute) -> Route {
    let kind = match wire.kind.as_str() {
        "safe" => RouteKind::Idempotent,
        "streaming" => RouteKind::Stream {
            resumable: wire.stream_resume,
        },
        // Retrying a request of an unknown kind could run it twice.
        _ => RouteKind::AtMostOnce,
    };
    let timeout = millis(wire.timeout_ms);
    let single = wire
        .service
        .map(|service| WeightedService { service, weight: 1 });
    let split = wire.traffic_split.map(|shares| {
        shares
            .into_iter()
            .map(|s| WeightedService {
                service: s.service,
                weight: weight(s.weight),
            })
            .collect()
    });
    Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.path_prefix,
        kind,
        timeout,
        objective: wire.target_latency_ms.map_or(timeout, millis),
        max_pause: wire.gap_target_ms.map_or(Duration::ZERO, millis),
        priority: wire.priority.unwrap_or(u8::MAX),
        max_attempts: wire.max_attempts.unwrap_or(1),
        public: wire.public,
        split: split.unwrap_or_else(|| single.into_iter().collect()),
        homes: homes(wire.allowed_regions),
    }
}

/// Decodes the regions that may serve requests; `None` if the list is missing or empty. A
/// malformed list permits no region, because the operator meant a restriction.
fn homes(wire: Option<Value>) -> Option<Vec<String>> {
    let list = wire?;
    if list.as_array().is_some_and(Vec::is_empty) {
        return None;
    }
    let mut regions: Vec<String> = serde_json::from_value(list).unwrap_or_default();
    regions.sort_unstable();
    regions.dedup();
    Some(regions)
}

/// Converts a weight to thousandths, because weights may be fractions.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn weight(wire: f64) -> u32 {
    (wire.clamp(0.0, 1e6) * 1000.0) as u32
}

fn service(wire: WireService) -> Service {
    let engine = wire.engine.map(|e| Engine {
        slots: e.slots,
        step: millis(e.step_ms),
        per_sequence: millis(e.per_seq_ms),
        prefill_rate: e.read_per_s,
        mean_prompt: e.usual.as_ref().map_or(0.0, |u| u.prompt),
        mean_output: e.usual.as_ref().map_or(0.0, |u| u.answer),
        models: e.models.iter().map(|m| m.name.clone()).collect(),
        per_context: millis(e.context_per_k),
        per_pairs: millis(e.pairs_per_m),
        step_tokens: e.chunk,
        pass_steps: e.stride,
    });
    let origin = wire.origin.map(|address| Origin {
        address,
        mbps: wire.link_mbps.unwrap_or(0.0),
    });
    Service {
        name: wire.name,
        engine,
        origin,
        cold: None,
    }
}

/// Returns the version of the weights that a target holds completely, if any.
///
/// `layers` takes precedence over `models`. The weights are incomplete unless `layers`
/// starts at layer 0.
pub(super) fn complete_version(
    models: &[WireHeldModel],
    layers: Option<&WireLayers>,
) -> Option<u64> {
    let is_complete = layers.is_none_or(|l| l.from == 0 && l.to > 0);
    let layers_version = layers.map(|l| l.version);
    let version = layers_version.or_else(|| models.first().map(|m| m.version));
    version.filter(|version| is_complete && *version > 0)
}

/// Decodes the target `id` from the `spec` of its object.
///
/// # Errors
/// Fails when a field is missing or has the wrong type, or the state is unknown.
pub fn target(id: &str, spec: Value) -> Result<Target, ParseError> {
    let wire: WireTarget = serde_json::from_value(spec)?;
    let phase = match wire.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => {
            let reason = format!("unknown target state {other:?}");
            return Err(serde::de::Error::custom(reason));
        }
    };
    Ok(Target {
        id: id.to_owned(),
        service: wire.service,
        address: wire.address,
        data_center: wire.zone,
        slots: wire.slots,
        phase,
        started: wire.born.unwrap_or(0),
        has_engine: wire.models.is_some(),
        weights: complete_version(&wire.models.unwrap_or_default(), wire.layers.as_ref()),
        cold_left: Duration::ZERO,
    })
}

/// Decodes a release from the `spec` of its object.
///
/// # Errors
/// Fails when a field is missing or has the wrong type.
pub fn release(spec: Value) -> Result<Release, ParseError> {
    #[derive(Deserialize)]
    struct WireRelease {
        model: String,
        version: u64,
    }
    let wire: WireRelease = serde_json::from_value(spec)?;
    Ok(Release {
        model: wire.model,
        version: wire.version,
    })
}
