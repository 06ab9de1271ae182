//! Figures of the settings as files have them: whole numbers or fractions.

use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;

/// A figure that is no time.
#[derive(Debug, Snafu)]
#[snafu(display("bounds.{key} must be a time, in milliseconds, but is {value}"))]
pub(super) struct Error {
    key: &'static str,
    value: f64,
}

/// Time limits of the deployment.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Bounds {
    stop_ms: f64,
    weights_ms: f64,
    config_ms: Option<f64>,
    leaving_ms: Option<f64>,
    evacuation_ms: Option<f64>,
    cold_overage: Option<f64>,
    cold_slack: Option<f64>,
}

/// Time for a change of the configuration in deployments that state none, milliseconds.
const DEFAULT_CONFIG_MS: f64 = 2_000.0;

/// Whole milliseconds of the figure `value`; a limit below one is one, since 0 stands for none.
fn millis(key: &'static str, value: f64) -> Result<u64, Error> {
    let time = Duration::try_from_secs_f64(value / 1_000.0);
    let time = time.map_err(|_| Error { key, value })?;
    let whole = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Ok(if time.is_zero() { 0 } else { whole.max(1) })
}

impl TryFrom<Bounds> for super::Bounds {
    type Error = Error;

    fn try_from(figures: Bounds) -> Result<Self, Error> {
        let optional = |key, value: Option<f64>| value.map(|v| millis(key, v)).transpose();
        Ok(Self {
            stop_ms: millis("stop_ms", figures.stop_ms)?,
            weights_ms: millis("weights_ms", figures.weights_ms)?,
            config_ms: millis("config_ms", figures.config_ms.unwrap_or(DEFAULT_CONFIG_MS))?,
            leaving_ms: optional("leaving_ms", figures.leaving_ms)?,
            evacuation_ms: optional("evacuation_ms", figures.evacuation_ms)?,
            cold_overage: figures.cold_overage,
            cold_slack: figures.cold_slack,
        })
    }
}
