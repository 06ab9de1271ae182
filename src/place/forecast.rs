//! Predicts how long an engine takes for a request from its parameters and its present pace.
//!
//! Load pattern: one engine serves prompts of a few tokens and of thousands. A fixed share of the
//! objective as the longest wait lets long prompts begin too late, and sends short ones away that
//! would be on time.

use std::time::Duration;

use crate::fleet::Engine;

/// Tokens per million pairs, for [`Engine::per_pairs`].
const PAIRS_UNIT: f64 = 1e6;
/// Tokens of context for [`Engine::per_context`].
const CONTEXT_UNIT: f64 = 1_000.0;
/// Time for the network and the start of the next pass.
const NETWORK_MARGIN: Duration = Duration::from_millis(30);
/// Share of the objective above which reading a prompt makes it a long one.
const LONG_SHARE: f64 = 0.25;
/// Shortest wait for which a prompt is refused, so that prompts that take nearly the whole
/// objective are still served.
const MIN_SLACK: Duration = Duration::from_millis(30);

/// Longest time that is predicted, so that sums and products of them don't overflow.
const LONGEST: Duration = Duration::from_secs(30 * 24 * 60 * 60);

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    slots: u32,
    step: f64,
    per_sequence: f64,
    prefill_rate: f64,
    per_pairs: f64,
    step_tokens: u32,
    pass_steps: u32,
    mean_prompt: f64,
    /// Factor by which the engine is slower than usual.
    pace: f64,
}

/// When a request must begin at an engine so that its first event is in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Longest wait before its prefill with which the first event is in time.
    pub slack: Duration,
    /// Whether the prompt takes so much of the objective that it delays others.
    pub is_long: bool,
}

impl Forecast {
    /// Creates a forecast for an engine at its usual pace.
    #[must_use]
    pub fn new(engine: &Engine) -> Self {
        let context = (engine.mean_prompt + engine.mean_output / 2.0) / CONTEXT_UNIT;
        Self {
            slots: engine.slots,
            step: engine.step.as_secs_f64(),
            per_sequence: engine.per_sequence.as_secs_f64()
                + engine.per_context.as_secs_f64() * context,
            prefill_rate: engine.prefill_rate,
            per_pairs: engine.per_pairs.as_secs_f64(),
            step_tokens: engine.step_tokens,
            pass_steps: engine.pass_steps,
            mean_prompt: engine.mean_prompt,
            pace: 1.0,
        }
    }

    /// Creates a forecast if the engine's parameters suffice to predict its passes.
    #[must_use]
    pub fn known(engine: &Engine) -> Option<Self> {
        let is_known = engine.step_tokens > 0 && engine.pass_steps > 0 && engine.prefill_rate > 0.0;
        is_known.then(|| Self::new(engine))
    }

    /// Sets the factor by which the engine is slower than usual.
    pub fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Time to read a prompt while nothing else runs.
    #[must_use]
    pub fn prefill(&self, tokens: u32) -> Duration {
        let tokens = f64::from(tokens);
        let reading = tokens / self.prefill_rate.max(1.0);
        let pairs = tokens * tokens / 2.0 / PAIRS_UNIT * self.per_pairs;
        self.scaled(reading + pairs)
    }

    /// Time by which a prompt delays those behind it: its prefill and the decoding between its
    /// chunks.
    #[must_use]
    pub fn reading(&self, tokens: u32) -> Duration {
        let chunks = f64::from(tokens) / f64::from(self.step_tokens.max(1));
        self.prefill(tokens) + self.pass(self.slots).mul_f64(chunks)
    }

    /// Time of one pass while `running` requests decode.
    #[must_use]
    pub fn pass(&self, running: u32) -> Duration {
        self.decode(self.pass_steps.max(1), running)
    }

    /// Time from the start of its prefill to the first event of a request. Each chunk of the
    /// prompt is followed by a pass.
    #[must_use]
    pub fn first_event(&self, prompt: u32, running: u32) -> Duration {
        let chunks = match self.step_tokens {
            0 => 1,
            size => prompt.div_ceil(size).max(1),
        };
        self.prefill(prompt) + self.pass(running) * chunks
    }

    /// Time to decode `tokens` output tokens while `running` requests decode.
    #[must_use]
    pub fn decode(&self, tokens: u32, running: u32) -> Duration {
        let step = self.step + f64::from(running) * self.per_sequence;
        self.scaled(f64::from(tokens) * step)
    }

    /// Predicts when a request must begin. A long prompt leaves room for a prompt of mean length
    /// behind it, which bounds the backlog that long prompts make.
    #[must_use]
    pub fn timing(&self, objective: Duration, prompt: u32) -> Timing {
        let own = self.first_event(prompt, self.slots);
        let slack = objective.saturating_sub(own + NETWORK_MARGIN);
        let is_long = self.reading(prompt) > objective.mul_f64(LONG_SHARE);
        if !is_long {
            return Timing { slack, is_long };
        }
        let behind = self.reading(self.mean_tokens());
        let slack = slack.saturating_sub(behind).max(MIN_SLACK);
        Timing { slack, is_long }
    }

    /// Longest wait of a prompt of mean length.
    #[must_use]
    pub fn mean_slack(&self, objective: Duration) -> Duration {
        let own = self.first_event(self.mean_tokens(), self.slots);
        objective.saturating_sub(own + NETWORK_MARGIN)
    }

    // The mean is a length in tokens, far below the limits of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn mean_tokens(&self) -> u32 {
        self.mean_prompt as u32
    }

    fn scaled(&self, seconds: f64) -> Duration {
        let time = Duration::try_from_secs_f64(seconds * self.pace);
        time.unwrap_or(LONGEST).min(LONGEST)
    }
}
