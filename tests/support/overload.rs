//! Replays overload by three priorities at the hosts of several engines, without a network.
//! Engines admit waiting requests by urgency, as the users describe them.

// The sizes and rates of the model are far below the limits of their types.
#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use corianderramp::fleet::Engine;
use corianderramp::place::forecast::Forecast;
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 6;
pub const SLOTS: u32 = 12;
/// Hosts that a request asks before it accepts a wait.
const ASKS: usize = 4;
/// Simulated time, milliseconds; callers of the first part are not counted.
const END_MS: u64 = 25_000;
const WARM_UP_MS: u64 = 5_000;
/// Requests per second that one engine serves when all classes ask equally often: 12 slots,
/// each held for 0.89 s on average.
pub const CAPACITY: f64 = 13.5;

/// Prompt mean and maximum, output mean (all tokens) and objective (milliseconds) of a class.
#[derive(Clone, Copy)]
pub struct Kind {
    pub priority: u8,
    prompt: f64,
    max_prompt: f64,
    output: f64,
    pub objective: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        prompt: 1_290.0,
        max_prompt: 3_880.0,
        output: 147.0,
        objective: 400,
    },
    Kind {
        priority: 1,
        prompt: 787.0,
        max_prompt: 3_330.0,
        output: 147.0,
        objective: 400,
    },
    Kind {
        priority: 2,
        prompt: 607.0,
        max_prompt: 2_640.0,
        output: 69.0,
        objective: 800,
    },
];

/// Load of a replay.
#[derive(Clone, Copy)]
pub struct Load {
    /// Requests of each class, in multiples of a third of the capacity.
    pub factors: [f64; 3],
    pub kinds: [Kind; 3],
    /// Time limit of callers, milliseconds.
    pub limit_ms: u64,
    /// Whether refused callers return at once, instead of after up to a third of their time.
    pub at_once: bool,
    /// Whether hosts learn the time that callers have left.
    pub says_left: bool,
    /// Whether hosts learn the priority. Without it, each request may wait for 0.4 of its own
    /// objective, and priority 0 for one turnover more, as before there was an order.
    pub is_ordered: bool,
    pub seed: u64,
}

impl Load {
    /// All classes ask equally often, together `factor` times the capacity.
    pub fn even(factor: f64) -> Self {
        Self {
            factors: [factor; 3],
            kinds: KINDS,
            limit_ms: 6_000,
            at_once: false,
            says_left: true,
            is_ordered: true,
            seed: 7,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Caller {
    class: usize,
    prompt: u32,
    output: u32,
    hint: u32,
    /// Arrival, microseconds.
    start: u64,
    is_served: bool,
    is_late: bool,
    is_cut: bool,
    /// Time for which it held a slot, microseconds.
    held: u64,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { class: usize },
    Ask { caller: usize, is_returning: bool },
    End { host: usize, id: GrantId },
}

#[derive(Clone, Copy)]
struct Waiting {
    urgency: u8,
    caller: usize,
    id: GrantId,
    is_returning: bool,
}

struct Host {
    table: SlotTable,
    running: u32,
    queue: Vec<Waiting>,
    /// End of the prefill of all admitted prompts, microseconds.
    prefill_end: u64,
    most_waiting: usize,
}

pub struct Replay {
    load: Load,
    rng: StdRng,
    forecast: Forecast,
    hosts: Vec<Host>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    begin: Instant,
}

/// Engine of the first deployment.
pub fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        step: Duration::from_micros(6_730),
        per_sequence: Duration::from_nanos(21_900),
        prefill_rate: 30_600.0,
        mean_prompt: 895.0,
        mean_output: 121.0,
        per_pairs: Duration::from_micros(647),
        step_tokens: 2_048,
        pass_steps: 7,
        ..Engine::default()
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap()
}

impl Replay {
    /// Creates a replay.
    pub fn new(load: Load) -> Self {
        let engine = engine();
        let host = || {
            let mut table = SlotTable::new(SLOTS, engine.slot_time(), engine.prefill_rate);
            table.order_mut().set_engine(&engine);
            table.set_open(true);
            Host {
                table,
                running: 0,
                queue: Vec::new(),
                prefill_end: 0,
                most_waiting: 0,
            }
        };
        Self {
            load,
            rng: StdRng::seed_from_u64(load.seed),
            forecast: Forecast::new(&engine),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            callers: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            begin: Instant::now(),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let draw: f64 = self.rng.random();
        -mean * (1.0 - draw).ln()
    }

    fn push_arrival(&mut self, now: u64, class: usize) {
        let rate = self.load.factors[class] * CAPACITY * HOSTS as f64 / 3.0;
        if rate > 0.0 {
            let pause = self.exponential(1e6 / rate) as u64;
            self.push(now + pause, Event::Arrival { class });
        }
    }

    /// Runs the replay.
    pub fn run(mut self) -> Outcome {
        for class in 0..3 {
            self.push_arrival(0, class);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival { class } if now < END_MS * 1_000 => {
                    self.arrive(class, now);
                    self.push_arrival(now, class);
                }
                Event::Arrival { .. } => {}
                Event::Ask {
                    caller,
                    is_returning,
                } => self.ask(caller, is_returning, now),
                Event::End { host, id } => self.end(host, id, now),
            }
        }
        Outcome::new(&self)
    }

    fn arrive(&mut self, class: usize, now: u64) {
        let kind = self.load.kinds[class];
        let prompt = self.exponential(kind.prompt).clamp(20.0, kind.max_prompt);
        let output = self.exponential(kind.output).clamp(5.0, 2_000.0);
        // The hint is right at the median, and off by a factor of 2 or more for a third.
        let deviation: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let caller = Caller {
            class,
            prompt: prompt as u32,
            output: output as u32,
            hint: (output * (0.7 * deviation).exp()) as u32,
            start: now,
            ..Caller::default()
        };
        self.callers.push(caller);
        self.ask(self.callers.len() - 1, false, now);
    }

    /// Asks several hosts for a free slot, then the one with the shortest wait for any.
    fn ask(&mut self, caller: usize, is_returning: bool, now: u64) {
        let Caller {
            class,
            prompt,
            hint,
            start,
            ..
        } = self.callers[caller];
        let kind = self.load.kinds[class];
        let at = self.begin + Duration::from_micros(now);
        let left = Duration::from_micros(start + self.load.limit_ms * 1_000 - now);
        let first = self.rng.random_range(0..HOSTS);
        let asked = (first..first + ASKS).map(|i| i % HOSTS);
        let best = asked
            .clone()
            .min_by_key(|i| self.hosts[*i].table.expected_wait(at));
        let extra = if kind.priority == 0 { 185 } else { 0 };
        let (priority, objective, is_back) = if self.load.is_ordered {
            (kind.priority, kind.objective, is_returning)
        } else {
            (1, kind.objective + extra, false)
        };
        let asks = asked.map(|h| (h, true)).chain(best.map(|h| (h, false)));
        for (host, immediate_only) in asks {
            self.number += 1;
            let request = SlotRequest {
                id: GrantId {
                    gateway_id: 1,
                    request_id: self.number,
                },
                priority,
                objective: Duration::from_millis(objective),
                prompt_tokens: prompt,
                immediate_only,
                output_tokens: hint,
                left: if self.load.says_left {
                    left
                } else {
                    Duration::ZERO
                },
                is_returning: is_back,
            };
            match self.hosts[host].table.request(&request, at) {
                Decision::Granted => {
                    let urgency = self.hosts[host].table.order().urgency();
                    let waiting = Waiting {
                        urgency: urgency.unwrap_or(kind.priority),
                        caller,
                        id: request.id,
                        is_returning,
                    };
                    self.send(host, waiting, now);
                    return;
                }
                Decision::TooLong => return,
                Decision::Full(_) | Decision::Closed => {}
            }
        }
        if !is_returning {
            let part: f64 = if self.load.at_once {
                0.0
            } else {
                self.rng.random()
            };
            let wait = left.mul_f64(part / 3.0);
            self.push(
                now + micros(wait),
                Event::Ask {
                    caller,
                    is_returning: true,
                },
            );
        }
    }

    fn send(&mut self, host: usize, waiting: Waiting, now: u64) {
        let engine = &mut self.hosts[host];
        let index = engine
            .queue
            .partition_point(|w| w.urgency <= waiting.urgency);
        engine.queue.insert(index, waiting);
        self.admit(host, now);
        let engine = &mut self.hosts[host];
        engine.most_waiting = engine.most_waiting.max(engine.queue.len());
    }

    fn admit(&mut self, host: usize, now: u64) {
        while self.hosts[host].running < SLOTS && !self.hosts[host].queue.is_empty() {
            let engine = &mut self.hosts[host];
            let Waiting {
                caller,
                id,
                is_returning,
                ..
            } = engine.queue.remove(0);
            engine.running += 1;
            let request = &mut self.callers[caller];
            let prefill = micros(self.forecast.prefill(request.prompt));
            engine.prefill_end = engine.prefill_end.max(now) + prefill;
            let first = engine.prefill_end + micros(self.forecast.pass(engine.running));
            let end = first + micros(self.forecast.decode(request.output, engine.running));
            let deadline = request.start + self.load.limit_ms * 1_000;
            let objective = self.load.kinds[request.class].objective * 1_000;
            request.is_served = end <= deadline;
            request.is_cut = end > deadline;
            request.is_late = !is_returning && first > request.start + objective;
            let end = end.min(deadline.max(now));
            request.held = end - now;
            self.push(end, Event::End { host, id });
        }
    }

    fn end(&mut self, host: usize, id: GrantId, now: u64) {
        let engine = &mut self.hosts[host];
        engine.running -= 1;
        engine
            .table
            .release(id, self.begin + Duration::from_micros(now));
        self.admit(host, now);
    }
}

/// What became of the counted callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Share served, of each class and of all.
    pub shares: [f64; 3],
    pub all: f64,
    /// Share of the served callers whose first event was late.
    pub late: [f64; 3],
    /// Share served of the largest tenth of the prompts, and of the fifth below it.
    tenth: [f64; 3],
    fifth: [f64; 3],
    /// Share of the slots' time that cut streams held.
    pub lost: f64,
    /// Callers served per second and engine.
    pub rate: f64,
    pub most_waiting: usize,
}

impl Outcome {
    fn new(replay: &Replay) -> Self {
        let counted = WARM_UP_MS * 1_000..(END_MS - 6_000) * 1_000;
        let seconds = (counted.end - counted.start) as f64 / 1e6;
        let callers = replay.callers.iter().filter(|c| counted.contains(&c.start));
        let callers: Vec<Caller> = callers.copied().collect();
        let share = |part: &[Caller]| {
            let served = part.iter().filter(|c| c.is_served).count();
            served as f64 / part.len().max(1) as f64
        };
        let held: u64 = callers.iter().map(|c| c.held).sum();
        let cut: u64 = callers.iter().filter(|c| c.is_cut).map(|c| c.held).sum();
        let served = callers.iter().filter(|c| c.is_served).count() as f64;
        let mut outcome = Self {
            all: share(&callers),
            lost: cut as f64 / held.max(1) as f64,
            rate: served / seconds / HOSTS as f64,
            most_waiting: replay.hosts.iter().map(|h| h.most_waiting).max().unwrap(),
            ..Self::default()
        };
        for class in 0..3 {
            let mut own: Vec<Caller> = callers
                .iter()
                .filter(|c| c.class == class)
                .copied()
                .collect();
            own.sort_by_key(|c| Reverse(c.prompt));
            let late = own.iter().filter(|c| c.is_served && c.is_late).count();
            let served = own.iter().filter(|c| c.is_served).count();
            outcome.shares[class] = share(&own);
            outcome.late[class] = late as f64 / served.max(1) as f64;
            outcome.tenth[class] = share(&own[..own.len() / 10]);
            outcome.fifth[class] = share(&own[own.len() / 10..own.len() * 3 / 10]);
        }
        outcome
    }

    /// Mean of several replays, but for the longest queue of all.
    pub fn mean(outcomes: &[Self]) -> Self {
        let mean = |figure: &dyn Fn(&Self) -> f64| {
            outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
        };
        let each = |figure: &dyn Fn(&Self) -> [f64; 3]| {
            [0, 1, 2].map(|class: usize| mean(&|o| figure(o)[class]))
        };
        Self {
            shares: each(&|o| o.shares),
            all: mean(&|o| o.all),
            late: each(&|o| o.late),
            tenth: each(&|o| o.tenth),
            fifth: each(&|o| o.fifth),
            lost: mean(&|o| o.lost),
            rate: mean(&|o| o.rate),
            most_waiting: outcomes.iter().map(|o| o.most_waiting).max().unwrap(),
        }
    }

    /// Asserts the shares that the platform requires.
    pub fn check(&self) {
        for class in 0..3 {
            let share = self.shares[class];
            assert!(share >= self.all / 4.0, "class {class} starves: {self:?}");
            assert!(
                self.tenth[class] >= share / 2.0,
                "largest tenth of {class}: {self:?}"
            );
            assert!(
                self.fifth[class] >= share / 2.0,
                "fifth below of {class}: {self:?}"
            );
            for other in class + 1..3 {
                assert!(
                    share >= self.shares[other] - 0.05,
                    "{class} and {other}: {self:?}"
                );
            }
        }
        assert!(self.most_waiting <= 12, "queue of the engine: {self:?}");
    }
}
