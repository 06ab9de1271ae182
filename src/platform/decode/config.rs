//! Decodes a configuration part by part.
//!
//! What can't be read is not guessed. The requests that it concerns are refused with a promise that
//! they have not run, and everything else is in force, at a node that has just started as at all
//! others. Hints for placement that can't be read have their defaults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::de::Error as _;
use serde_json::Value;

use super::ParseError;
use super::fields::Fields;
use crate::fleet::access::Access;
use crate::fleet::fault::Fault;
use crate::fleet::rank::Rank;
use crate::fleet::{
    Account, ColdStart, Config, Engine, Key, Limits, Origin, Route, RouteKind, Service,
    WeightedService,
};
use crate::platform::figure::{self, Count};

/// Unit of weights as they are kept, because they may be fractions.
const WEIGHT_UNIT: f64 = 1_000.0;
/// Largest weight that is kept; larger ones are reduced in proportion.
const MAX_WEIGHT: f64 = 1e6;
/// Largest weights of a split with which the others keep their digits.
const USUAL_WEIGHTS: RangeInclusive<f64> = 1.0..=MAX_WEIGHT;
/// Smallest and largest bandwidth of an origin that is taken, megabits per second.
const MIN_MBPS: f64 = 1e-3;
const MAX_MBPS: f64 = 1e9;

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: f64,
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

/// Decodes a configuration from the `spec` of its object, with [`Config::faults`] of the parts that
/// can't be read.
///
/// # Errors
/// Fails when it is no object, or its version can't be read, so that its order is unknown.
pub fn decode(spec: Value) -> Result<Config, ParseError> {
    let mut faults = Vec::new();
    let Some(mut fields) = Fields::open("configuration".to_owned(), spec, &mut faults) else {
        return Err(ParseError::custom("expected an object"));
    };
    let version = fields.raw("version").unwrap_or_default();
    let version: Count = serde_json::from_value(version)?;
    let mut config = Config {
        version: version.to_u64(),
        ..Config::default()
    };
    let routes = fields.list("routes");
    config.lacks_routes = routes.is_none();
    for (index, value) in routes.into_iter().flatten().enumerate() {
        match route(index, value, fields.faults()) {
            Some(route) => config.routes.push(route),
            None => config.lacks_routes = true,
        }
    }
    config
        .routes
        .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    read_services(&mut config, &mut fields);
    read_accounts(&mut config, &mut fields);
    if let Some(value) = fields.raw("limits").filter(|v| !v.is_null())
        && let Some(mut fields) = fields.inner("limits", value)
    {
        config.limits = limits(&mut fields);
    }
    config.faults = faults;
    Ok(config)
}

fn read_services(config: &mut Config, fields: &mut Fields<'_>) {
    let list = fields.list("services");
    let mut lacks_services = list.is_none();
    for (index, value) in list.into_iter().flatten().enumerate() {
        match service(index, value, fields.faults()) {
            Some(service) => config.services.push(service),
            None => lacks_services = true,
        }
    }
    if lacks_services {
        // Any service that the list does not have may be the one that can't be read.
        let shares = config.routes.iter().flat_map(|r| &r.split);
        let mut names: Vec<String> = shares.map(|s| s.service.clone()).collect();
        names.sort_unstable();
        names.dedup();
        names.retain(|n| config.services.iter().all(|s| s.name != *n));
        config
            .services
            .extend(names.into_iter().map(Service::unreadable));
    }
    config.services.sort_by(|a, b| a.name.cmp(&b.name));
}

fn read_accounts(config: &mut Config, fields: &mut Fields<'_>) {
    if !fields.has("tenants") {
        config.access = Access::Open;
        return;
    }
    let list = fields.list("tenants");
    let mut is_whole = list.is_some();
    for (index, value) in list.into_iter().flatten().enumerate() {
        is_whole &= account(index, value, config, fields.faults());
    }
    config.access = if is_whole {
        Access::Keyed
    } else {
        Access::Unknown
    };
    config.keys.sort_by(|a, b| a.text.cmp(&b.text));
}

/// Adds an account and its keys; returns whether all its keys are known.
fn account(index: usize, value: Value, config: &mut Config, faults: &mut Vec<Fault>) -> bool {
    let Some(mut fields) = Fields::open(format!("tenant {index}"), value, faults) else {
        return false;
    };
    fields.rename("tenant");
    // Targets must get the name, so an account without one can't be served.
    let Some(name) = fields.required::<String>("name") else {
        return false;
    };
    let keys = fields.list("api_keys").unwrap_or_default();
    let index = config.accounts.len();
    for key in keys {
        match key {
            Value::String(text) => config.keys.push(Key {
                text,
                account: index,
            }),
            _ => fields.report("api_keys", "a key is no text".to_owned()),
        }
    }
    let is_whole = fields.is_readable();
    config.accounts.push(Account {
        name,
        priority: fields.optional("priority"),
        homes: homes(fields.raw("allowed_regions")),
    });
    is_whole
}

fn limits(fields: &mut Fields<'_>) -> Limits {
    let mut limits = Limits::default();
    if let Some(size) = fields.required::<Count>("max_header_bytes") {
        limits.head_bytes = size.to_usize();
    }
    if let Some(size) = fields.required::<Count>("max_body_bytes") {
        limits.body_bytes = size.to_usize();
    }
    if let Some(time) = fields.required("header_timeout_ms") {
        limits.header_timeout = figure::millis(time);
    }
    if let Some(time) = fields.required("idle_timeout_ms") {
        limits.idle_timeout = figure::millis(time);
    }
    limits
}

/// Decodes a route; `None` if it is not known which requests are its own. Without a service, its
/// requests are refused.
fn route(index: usize, value: Value, faults: &mut Vec<Fault>) -> Option<Route> {
    let mut fields = Fields::open(format!("route {index}"), value, faults)?;
    fields.rename("route");
    let host = fields.required("host");
    let prefix: Option<String> = fields.required("path_prefix");
    let kind: Option<String> = fields.required("kind");
    let timeout = fields.required("timeout_ms").map(figure::millis);
    let is_public = fields.optional("public").unwrap_or(false);
    let mut services = split(&mut fields);
    if services.is_empty() && fields.is_readable() {
        fields.report("service", "missing".to_owned());
    }
    if !fields.is_readable() {
        services.clear();
    }
    let (host, prefix) = host.zip(prefix)?;
    let timeout = timeout.unwrap_or_default();
    Some(Route {
        name: fields.optional("name").unwrap_or_else(|| prefix.clone()),
        host,
        prefix,
        kind: route_kind(kind.as_deref(), &mut fields),
        timeout,
        objective: fields
            .optional("target_latency_ms")
            .map_or(timeout, figure::millis),
        max_pause: fields
            .optional("gap_target_ms")
            .map_or(Duration::ZERO, figure::millis),
        priority: fields.optional("priority").unwrap_or(Rank::LAST),
        max_attempts: fields.optional("max_attempts").map_or(1, Count::to_u32),
        public: is_public,
        split: services,
        homes: homes(fields.raw("allowed_regions")),
    })
}

fn route_kind(kind: Option<&str>, fields: &mut Fields<'_>) -> RouteKind {
    match kind {
        Some("safe") => RouteKind::Idempotent,
        Some("streaming") => RouteKind::Stream {
            resumable: fields.optional("stream_resume").unwrap_or(false),
        },
        // Retrying a request of an unknown kind could run it twice.
        _ => RouteKind::AtMostOnce,
    }
}

/// Decodes the services of a route. An empty split moves nothing away from the single service.
fn split(fields: &mut Fields<'_>) -> Vec<WeightedService> {
    let single: Option<String> = fields.optional("service");
    let shares: Option<Vec<WireShare>> = fields.optional("traffic_split");
    match shares.filter(|s| !s.is_empty()) {
        Some(shares) => weighted(shares),
        None => single
            .into_iter()
            .map(|service| WeightedService { service, weight: 1 })
            .collect(),
    }
}

/// Converts weights, which may be fractions of any size, to whole numbers in the same proportion.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn weighted(shares: Vec<WireShare>) -> Vec<WeightedService> {
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

/// Decodes the regions that may serve requests; `None` if the list is missing or empty. A
/// malformed list permits no region, because the operator meant a restriction.
fn homes(wire: Option<Value>) -> Option<Vec<String>> {
    let list = wire.filter(|w| !w.is_null())?;
    if list.as_array().is_some_and(Vec::is_empty) {
        return None;
    }
    let mut regions: Vec<String> = serde_json::from_value(list).unwrap_or_default();
    regions.sort_unstable();
    regions.dedup();
    Some(regions)
}

/// Decodes a service; `None` if its name can't be read.
fn service(index: usize, value: Value, faults: &mut Vec<Fault>) -> Option<Service> {
    let mut fields = Fields::open(format!("service {index}"), value, faults)?;
    fields.rename("service");
    let name: String = fields.required("name")?;
    let mut service = Service {
        name,
        engine: None,
        origin: origin(&mut fields),
        cold: cold_start(&mut fields),
        is_unreadable: false,
    };
    if let Some(value) = fields.raw("engine").filter(|v| !v.is_null()) {
        service.engine = fields
            .inner("engine", value)
            .and_then(|mut f| engine(&mut f));
        service.is_unreadable = service.engine.is_none();
    }
    Some(service)
}

fn origin(fields: &mut Fields<'_>) -> Option<Origin> {
    let address: Option<SocketAddr> = fields.optional("origin");
    // The field of this name within `engine` has another meaning.
    let mbps: Option<f64> = fields.optional("link_mbps");
    let mbps = mbps.filter(|m| *m > 0.0);
    address.map(|address| Origin {
        address,
        mbps: mbps.map_or(0.0, |m| m.clamp(MIN_MBPS, MAX_MBPS)),
    })
}

/// Returns what the targets of a service take while cold; `None` unless both values are positive.
fn cold_start(fields: &mut Fields<'_>) -> Option<ColdStart> {
    let seconds = fields
        .raw("cold_start_s")
        .map_or(0.0, |v| super::positive(&v));
    let time = figure::millis(seconds * 1_000.0).min(super::MAX_COLD);
    let rate = fields
        .raw("cold_per_s")
        .map_or(0.0, |v| super::positive(&v));
    (!time.is_zero() && rate > 0.0).then_some(ColdStart { time, rate })
}

/// Decodes an engine; `None` if a figure without a default can't be read.
fn engine(fields: &mut Fields<'_>) -> Option<Engine> {
    let slots: Option<Count> = fields.required("slots");
    let step = fields.required("step_ms");
    let per_sequence = fields.required("per_seq_ms");
    let prefill_rate = fields.required("read_per_s");
    let usual: Option<WireUsual> = fields.optional("usual");
    let models: Vec<WireModel> = fields.optional("models").unwrap_or_default();
    let time = |ms: Option<f64>| ms.map_or(Duration::ZERO, figure::millis);
    Some(Engine {
        slots: slots?.to_u32(),
        step: figure::millis(step?),
        per_sequence: figure::millis(per_sequence?),
        prefill_rate: prefill_rate?,
        mean_prompt: usual.as_ref().map_or(0.0, |u| u.prompt),
        mean_output: usual.as_ref().map_or(0.0, |u| u.answer),
        models: models.into_iter().map(|m| m.name).collect(),
        per_context: time(fields.optional("context_per_k")),
        per_pairs: time(fields.optional("pairs_per_m")),
        step_tokens: fields.optional("chunk").map_or(0, Count::to_u32),
        pass_steps: fields.optional("stride").map_or(0, Count::to_u32),
    })
}
