//! Predicts how long an engine takes for a request from its parameters and its present pace.

use std::time::Duration;

use crate::fleet::Engine;

/// Tokens per million pairs, for [`Engine::per_pairs`].
const PAIRS_UNIT: f64 = 1e6;

/// Predicted times of requests at one engine.
///
/// ```
/// use std::time::Duration;
///
/// use corianderramp::fleet::Engine;
/// use corianderramp::place::forecast::Forecast;
///
/// let engine = Engine {
///     slots: 10,
///     step: Duration::from_millis(6),
///     per_sequence: Duration::from_micros(100),
///     prefill_rate: 20_000.0,
///     pass_steps: 4,
///     ..Engine::default()
/// };
/// let mut forecast = Forecast::new(&engine);
/// assert_eq!(forecast.prefill(1_000), Duration::from_millis(50));
/// assert_eq!(forecast.pass(10), Duration::from_millis(28));
/// assert_eq!(forecast.first_event(1_000, 10), Duration::from_millis(78));
/// assert_eq!(forecast.decode(100, 10), Duration::from_millis(700));
/// forecast.set_pace(2.0);
/// assert_eq!(forecast.prefill(1_000), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    engine: Engine,
    /// Factor by which the engine is slower than usual.
    pace: f64,
}

impl Forecast {
    /// Creates a forecast for an engine at its usual pace.
    #[must_use]
    pub fn new(engine: &Engine) -> Self {
        Self {
            engine: engine.clone(),
            pace: 1.0,
        }
    }

    /// Sets the factor by which the engine is slower than usual.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Time to read a prompt while nothing else runs.
    #[must_use]
    pub fn prefill(&self, tokens: u32) -> Duration {
        let tokens = f64::from(tokens);
        let reading = tokens / self.engine.prefill_rate.max(1.0);
        let pairs = tokens * tokens / 2.0 / PAIRS_UNIT * self.engine.per_pairs.as_secs_f64();
        self.scaled(reading + pairs)
    }

    /// Time of one pass while `running` requests decode.
    #[must_use]
    pub fn pass(&self, running: u32) -> Duration {
        self.decode(self.engine.pass_steps.max(1), running)
    }

    /// Time from the start of its prefill to the first event of a request.
    #[must_use]
    pub fn first_event(&self, prompt: u32, running: u32) -> Duration {
        self.prefill(prompt) + self.pass(running)
    }

    /// Time to decode `tokens` output tokens while `running` requests decode.
    #[must_use]
    pub fn decode(&self, tokens: u32, running: u32) -> Duration {
        let engine = &self.engine;
        let step =
            engine.step.as_secs_f64() + f64::from(running) * engine.per_sequence.as_secs_f64();
        self.scaled(f64::from(tokens) * step)
    }

    fn scaled(&self, seconds: f64) -> Duration {
        Duration::try_from_secs_f64(seconds * self.pace).unwrap_or(Duration::MAX)
    }
}
