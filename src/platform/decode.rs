//! Decoders for the objects in the platform's store.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::fleet::access::Access;
use crate::fleet::rank::Rank;
use crate::fleet::{
    Account, ColdStart, Config, Engine, Key, Limits, Origin, Phase, Release, Route, RouteKind,
    Service, Target, WeightedService,
};
use crate::platform::figure::{self, Count};

/// Configuration object as written by the operator.
#[derive(Deserialize)]
struct WireConfig {
    version: Count,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    /// Client accounts; the platform calls them tenants. Without the list, requests need no key.
    tenants: Option<Vec<WireAccount>>,
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
    priority: Option<Rank>,
    service: Option<String>,
    traffic_split: Option<Vec<WireShare>>,
    max_attempts: Option<Count>,
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
    /// Time for which its targets are cold after a start, seconds.
    #[serde(default)]
    cold_start_s: Value,
    /// Requests per second that a cold target takes.
    #[serde(default)]
    cold_per_s: Value,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: Count,
    step_ms: f64,
    per_seq_ms: f64,
    #[serde(default)]
    context_per_k: f64,
    #[serde(default)]
    pairs_per_m: f64,
    #[serde(default)]
    chunk: Count,
    #[serde(default)]
    stride: Count,
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
    max_header_bytes: Count,
    max_body_bytes: Count,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct WireAccount {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<Rank>,
    allowed_regions: Option<Value>,
}

/// Registration of a target in the store.
#[derive(Deserialize)]
struct WireTarget {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: Count,
    state: String,
    /// Start time, Unix milliseconds; changes when the target restarts with the same id.
    born: Option<Count>,
    /// Missing unless the target is a model engine.
    models: Option<Vec<WireHeldModel>>,
    layers: Option<WireLayers>,
    /// Time for which it is still cold.
    #[serde(default)]
    cold_remaining_ms: Value,
}

/// Model whose weights a target holds.
#[derive(Deserialize)]
pub(super) struct WireHeldModel {
    version: Count,
}

/// Range of layers whose weights a target holds; `to` is exclusive.
#[derive(Deserialize)]
pub(super) struct WireLayers {
    from: Count,
    to: Count,
    version: Count,
}

/// Error for an object that does not match the schema of its kind.
pub type ParseError = serde_json::Error;

/// Unit of weights as they are kept, because they may be fractions.
const WEIGHT_UNIT: f64 = 1_000.0;
/// Largest weight that is kept; larger ones are reduced in proportion.
const MAX_WEIGHT: f64 = 1e6;
/// Largest weights of a split with which the others keep their digits.
const USUAL_WEIGHTS: RangeInclusive<f64> = 1.0..=MAX_WEIGHT;

/// Smallest and largest bandwidth of an origin that is taken, megabits per second.
const MIN_MBPS: f64 = 1e-3;
const MAX_MBPS: f64 = 1e9;
/// Longest cold time that is taken. A longer one is a mistake.
const MAX_COLD: Duration = Duration::from_secs(60 * 60);

/// Returns a positive number; 0 for any other value.
fn positive(value: &Value) -> f64 {
    value.as_f64().filter(|n| *n > 0.0).unwrap_or(0.0)
}

/// Returns what the targets of a service take while cold; `None` unless both values are positive.
fn cold_start(wire: &WireService) -> Option<ColdStart> {
    let time = figure::millis(positive(&wire.cold_start_s) * 1000.0).min(MAX_COLD);
    let rate = positive(&wire.cold_per_s);
    (!time.is_zero() && rate > 0.0).then_some(ColdStart { time, rate })
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
    let access = if wire.tenants.is_some() {
        Access::Keyed
    } else {
        Access::Open
    };
    for (index, account) in wire.tenants.into_iter().flatten().enumerate() {
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
        version: wire.version.to_u64(),
        routes,
        services,
        keys,
        accounts,
        access,
        limits: wire.limits.as_ref().map(limits).unwrap_or_default(),
    })
}

fn limits(wire: &WireLimits) -> Limits {
    Limits {
        head_bytes: wire.max_header_bytes.to_usize(),
        body_bytes: wire.max_body_bytes.to_usize(),
        header_timeout: figure::millis(wire.header_timeout_ms),
        idle_timeout: figure::millis(wire.idle_timeout_ms),
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
    let timeout = figure::millis(wire.timeout_ms);
    let single = wire
        .service
        .map(|service| WeightedService { service, weight: 1 });
    // An empty split moves nothing away from the service.
    let shares = wire.traffic_split.filter(|s| !s.is_empty());
    let split = shares.map(split);
    Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.path_prefix,
        kind,
        timeout,
        objective: wire.target_latency_ms.map_or(timeout, figure::millis),
        max_pause: wire.gap_target_ms.map_or(Duration::ZERO, figure::millis),
        priority: wire.priority.unwrap_or(Rank::LAST),
        max_attempts: wire.max_attempts.map_or(1, Count::to_u32),
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

/// Converts weights, which may be fractions of any size, to whole numbers in the same proportion.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn split(shares: Vec<WireShare>) -> Vec<WeightedService> {
    let largest = shares.iter().map(|s| s.weight).fold(0.0, f64::max);
    let unit = if USUAL_WEIGHTS.contains(&largest) {
        WEIGHT_UNIT
    } else {
        MAX_WEIGHT * WEIGHT_UNIT / largest.max(f64::MIN_POSITIVE)
    };
    let shares = shares.into_iter().map(|s| WeightedService {
        service: s.service,
        weight: (s.weight * unit).clamp(0.0, MAX_WEIGHT * WEIGHT_UNIT) as u32,
    });
    shares.collect()
}

/// Limits a bandwidth to values with which transfer times can be calculated.
fn bandwidth(mbps: f64) -> f64 {
    mbps.clamp(MIN_MBPS, MAX_MBPS)
}

fn service(wire: WireService) -> Service {
    let cold = cold_start(&wire);
    let engine = wire.engine.map(|e| Engine {
        slots: e.slots.to_u32(),
        step: figure::millis(e.step_ms),
        per_sequence: figure::millis(e.per_seq_ms),
        prefill_rate: e.read_per_s,
        mean_prompt: e.usual.as_ref().map_or(0.0, |u| u.prompt),
        mean_output: e.usual.as_ref().map_or(0.0, |u| u.answer),
        models: e.models.iter().map(|m| m.name.clone()).collect(),
        per_context: figure::millis(e.context_per_k),
        per_pairs: figure::millis(e.pairs_per_m),
        step_tokens: e.chunk.to_u32(),
        pass_steps: e.stride.to_u32(),
    });
    let origin = wire.origin.map(|address| Origin {
        address,
        mbps: wire.link_mbps.filter(|m| *m > 0.0).map_or(0.0, bandwidth),
    });
    Service {
        name: wire.name,
        engine,
        origin,
        cold,
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
    let is_complete = layers.is_none_or(|l| l.from.to_u64() == 0 && l.to.to_u64() > 0);
    let layers_version = layers.map(|l| l.version);
    let version = layers_version.or_else(|| models.first().map(|m| m.version));
    let version = version.map(Count::to_u64);
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
        slots: wire.slots.to_u32(),
        phase,
        started: wire.born.map_or(0, Count::to_u64),
        has_engine: wire.models.is_some(),
        weights: complete_version(&wire.models.unwrap_or_default(), wire.layers.as_ref()),
        // The cold start of the service limits it further.
        cold_left: figure::millis(positive(&wire.cold_remaining_ms)).min(MAX_COLD),
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
        version: Count,
    }
    let wire: WireRelease = serde_json::from_value(spec)?;
    Ok(Release {
        model: wire.model,
        version: wire.version.to_u64(),
    })
}
