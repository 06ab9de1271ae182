//! Decoders for the objects in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::fleet::{Phase, Release, Target};
use crate::platform::figure::{self, Count};

mod config;
mod fields;

pub use config::decode as config;

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

/// Longest cold time that is taken. A longer one is a mistake.
const MAX_COLD: Duration = Duration::from_secs(60 * 60);

/// Returns a positive number; 0 for any other value.
fn positive(value: &Value) -> f64 {
    value.as_f64().filter(|n| *n > 0.0).unwrap_or(0.0)
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
