//! Deployments of the specification, and a model of their engines, whose passes read a chunk of the
//! prompts and then decode tokens.

use std::collections::VecDeque;
use std::time::Duration;

use corianderramp::fleet::Engine;

pub const SLOTS: u32 = 12;
/// Network delay that is added to the time to the first event, milliseconds.
pub const NETWORK_MS: f64 = 8.0;
/// Time after a slow time in which requests are counted, milliseconds.
pub const AFTER_MS: u64 = 500;

pub struct Class {
    pub objective_ms: u64,
    pub mean_prompt: f64,
    pub max_prompt: f64,
    pub mean_output: f64,
}

pub struct Deployment {
    pub name: &'static str,
    pub gateways: usize,
    pub engine: Engine,
    pub classes: [Class; 3],
    /// Sigma of the logarithm of prompt lengths; `None` for exponential ones.
    pub spread: Option<f64>,
    /// Share of the time that a server is slow, and the factor.
    pub slow: (f64, f64),
}

pub fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

fn engine(step: [f64; 3], prefill: f64, pairs: f64, stride: u32, output: f64) -> Engine {
    Engine {
        slots: SLOTS,
        step: ms(step[0]),
        per_sequence: ms(step[1]),
        per_context: ms(step[2]),
        prefill_rate: prefill,
        mean_prompt: 895.0,
        mean_output: output,
        per_pairs: ms(pairs),
        step_tokens: 2_048,
        pass_steps: stride,
        ..Engine::default()
    }
}

fn class(objective_ms: u64, mean_prompt: f64, max_prompt: f64, mean_output: f64) -> Class {
    Class {
        objective_ms,
        mean_prompt,
        max_prompt,
        mean_output,
    }
}

pub fn first() -> Deployment {
    Deployment {
        name: "first",
        gateways: 52,
        engine: engine([6.73, 0.0219, 0.0068], 30_600.0, 0.647, 7, 121.0),
        classes: [
            class(400, 1_290.0, 3_880.0, 147.0),
            class(400, 787.0, 3_330.0, 147.0),
            class(800, 607.0, 2_640.0, 69.0),
        ],
        spread: None,
        slow: (0.0, 1.0),
    }
}

pub fn second() -> Deployment {
    Deployment {
        name: "second",
        gateways: 14,
        engine: engine([8.87, 0.0388, 0.0227], 19_100.0, 1.47, 5, 95.0),
        classes: [
            class(500, 1_290.0, 3_880.0, 108.0),
            class(400, 787.0, 3_880.0, 108.0),
            class(400, 607.0, 3_880.0, 70.0),
        ],
        spread: Some(1.0),
        slow: (0.15, 2.5),
    }
}

#[derive(Clone, Copy)]
pub struct Request {
    pub index: usize,
    pub arrived: f64,
    pub prompt: u32,
    pub prompt_left: u32,
    pub output_left: u32,
    pub is_begun: bool,
    pub gateway: usize,
}

/// What became of a request.
#[derive(Clone, Copy)]
pub struct Outcome {
    pub class: usize,
    pub prompt: u32,
    /// Time to the first event, milliseconds; `None` if it was refused.
    pub first: Option<f64>,
    /// Whether the server was slow when it was sent there.
    pub is_slow: bool,
}

#[derive(Default)]
pub struct Server {
    pub queue: VecDeque<Request>,
    pub prefilling: VecDeque<Request>,
    pub decoding: Vec<Request>,
    pub busy_until: f64,
    pub slow_until: u64,
}

impl Server {
    /// Whether the server was slow within the last half second and is not now.
    pub fn was_slow(&self, tick: u64) -> bool {
        let end = self.slow_until;
        end > 0 && (end..end + AFTER_MS).contains(&tick)
    }
}

impl Server {
    pub fn active(&self) -> usize {
        self.queue.len() + self.prefilling.len() + self.decoding.len()
    }

    /// Runs one pass that begins at `now`. Returns the finished requests.
    pub fn pass(
        &mut self,
        now: f64,
        pace: f64,
        engine: &Engine,
        outcomes: &mut [Outcome],
    ) -> Vec<Request> {
        while self.prefilling.len() + self.decoding.len() < SLOTS as usize
            && let Some(next) = self.queue.pop_front()
        {
            self.prefilling.push_back(next);
        }
        let mut left = engine.step_tokens;
        let mut pairs = 0.0;
        while left > 0
            && let Some(first) = self.prefilling.front_mut()
        {
            let part = first.prompt_left.min(left);
            let begin = f64::from(first.prompt - first.prompt_left);
            pairs += f64::from(part) * (begin + f64::from(part) / 2.0) / 1e6;
            first.prompt_left -= part;
            left -= part;
            if first.prompt_left == 0 {
                self.decoding.extend(self.prefilling.pop_front());
            }
        }
        let read = f64::from(engine.step_tokens - left) / engine.prefill_rate;
        let sequences = self.decoding.len() as f64;
        let context: f64 = self.decoding.iter().map(|r| f64::from(r.prompt)).sum();
        let step = engine.step.as_secs_f64()
            + engine.per_sequence.as_secs_f64() * sequences
            + engine.per_context.as_secs_f64() * context / 1000.0;
        let steps = if self.decoding.is_empty() {
            0.0
        } else {
            f64::from(engine.pass_steps)
        };
        let seconds = read + pairs * engine.per_pairs.as_secs_f64() + steps * step;
        self.busy_until = now + seconds * pace * 1000.0;
        for request in &mut self.decoding {
            if !request.is_begun {
                request.is_begun = true;
                let first = self.busy_until - request.arrived + NETWORK_MS;
                outcomes[request.index].first = Some(first);
            }
            request.output_left = request.output_left.saturating_sub(engine.pass_steps);
        }
        let (done, rest) = self.decoding.iter().partition(|r| r.output_left == 0);
        self.decoding = rest;
        done
    }
}
