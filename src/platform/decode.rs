//! Objects of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::fleet::{
    Account, Config, Engine, Key, Limits, Origin, Phase, Release, Route, RouteKind, Service,
    Target, WeightedService,
};

/// Configuration object as the operator writes it.
#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    /// The platform's word for client accounts.
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
    priority: Option<u8>,
    service: Option<String>,
    traffic_split: Option<Vec<WireShare>>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
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
    /// Rate of the origin's link; engines have one of another meaning within `engine`.
    link_mbps: Option<f64>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    step_ms: f64,
    per_seq_ms: f64,
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
}

/// Entry of a target in the list of servers.
#[derive(Deserialize)]
struct WireTarget {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    /// Start of this lifetime; also present for targets that restarted under their id.
    born: Option<u64>,
    #[serde(default)]
    models: Vec<Held>,
    layers: Option<Layers>,
}

/// A model that a target holds.
#[derive(Deserialize)]
pub(super) struct Held {
    version: u64,
}

/// Layers that a target holds; `to` is exclusive.
#[derive(Deserialize)]
pub(super) struct Layers {
    from: u32,
    to: u32,
    version: u64,
}

/// An object that is not what its kind demands.
pub type ParseError = serde_json::Error;

fn millis(ms: f64) -> Duration {
    // Negative, infinite and undefined values can't be durations; none is valid here.
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// Configuration from the `spec` of its object.
///
/// # Errors
/// Fails when a required field is missing or has another type.
pub fn config(spec: Value) -> Result<Config, ParseError> {
    let wire: WireConfig = serde_json::from_value(spec)?;
    let mut routes: Vec<Route> = wire.routes.into_iter().map(route).collect();
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    let mut services: Vec<Service> = wire.services.into_iter().map(service).collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let (mut keys, mut accounts) = (Vec::new(), Vec::new());
    for (position, account) in wire.tenants.into_iter().enumerate() {
        keys.extend(account.api_keys.into_iter().map(|text| Key {
            text,
            account: position,
        }));
        accounts.push(Account {
            name: account.name,
            priority: account.priority,
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
        // An unknown kind may not be repeated.
        _ => RouteKind::AtMostOnce,
    };
    let timeout = millis(wire.timeout_ms);
    let whole = wire
        .service
        .map(|service| WeightedService { service, weight: 1 });
    let split = wire.traffic_split.map(|parts| {
        parts
            .into_iter()
            .map(|p| WeightedService {
                service: p.service,
                weight: weight(p.weight),
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
        priority: wire.priority.unwrap_or(u8::MAX),
        max_attempts: wire.max_attempts.unwrap_or(1),
        public: wire.public,
        split: split.unwrap_or_else(|| whole.into_iter().collect()),
    }
}

/// Weights may be fractions; a thousandth is the finest that counts.
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
    });
    let origin = wire.origin.map(|address| Origin {
        address,
        mbps: wire.link_mbps.unwrap_or(0.0),
    });
    Service {
        name: wire.name,
        engine,
        origin,
    }
}

/// Version of the weights that a target holds with all layers.
pub(super) fn complete(models: &[Held], layers: Option<&Layers>) -> Option<u64> {
    let is_whole = layers.is_none_or(|l| l.from == 0 && l.to > 0);
    let layered = layers.map(|l| l.version);
    let held = layered.or_else(|| models.first().map(|m| m.version));
    held.filter(|version| is_whole && *version > 0)
}

/// Target from its entry, named `id`.
///
/// # Errors
/// Fails when a field is missing, has another type or a state is unknown: such an
/// entry names no target to use.
pub fn target(id: &str, spec: Value) -> Result<Target, ParseError> {
    let wire: WireTarget = serde_json::from_value(spec)?;
    let phase = match wire.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => {
            let reason = format!("unknown state {other:?}");
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
        weights: complete(&wire.models, wire.layers.as_ref()),
    })
}

/// Release from the `spec` of its object.
///
/// # Errors
/// Fails when a field is missing or has another type.
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
