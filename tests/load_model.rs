//! Replays the worst load against the decisions in `place`, with a deterministic model of
//! engines: passes that read prompts and then write tokens, as the users describe them.

// Sizes and rates of the model are far below the limits of their types.
#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::place::pool::{AgentState, Pool, Requirements, TargetKey};
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 16;
const SERVERS: usize = 11;
const GATEWAYS: usize = 15;
const PREFILL: f64 = 30_600.0;
const CHUNK: u32 = 2_048;
const STRIDE: f64 = 6.0;
const STEP_MS: f64 = 6.73;
const SEQUENCE_MS: f64 = 0.0219;
const HOLD: Duration = Duration::from_millis(1_500);
const OBJECTIVE: Duration = Duration::from_millis(400);
const SPAN_MS: u64 = 30_000;
/// Share of callers' time that passes before the request reaches the engine.
const NETWORK_MS: f64 = 8.0;

/// How gateways share the slots of the targets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Each gateway counts its own requests against its part of the slots.
    Alone,
    /// The target's queue takes all that is sent to a random target.
    Queue,
    /// Hosts grant places.
    Ledger,
}

#[derive(Clone, Copy)]
struct Request {
    arrived: f64,
    unread: u32,
    unwritten: u32,
    gateway: usize,
    number: u64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Request>,
    reading: VecDeque<Request>,
    writing: Vec<Request>,
    busy_until: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    offered: u32,
    prompt: u32,
    late: u32,
    refused: u32,
}

impl Engine {
    fn active(&self) -> usize {
        self.queue.len() + self.reading.len() + self.writing.len()
    }

    /// Runs one pass that begins at `now`; returns the requests that ended.
    fn pass(&mut self, now: f64, outcome: &mut Outcome) -> Vec<Request> {
        while self.reading.len() + self.writing.len() < SLOTS as usize {
            let Some(next) = self.queue.pop_front() else {
                break;
            };
            self.reading.push_back(next);
        }
        let mut left = CHUNK;
        while left > 0 {
            let Some(first) = self.reading.front_mut() else {
                break;
            };
            let part = first.unread.min(left);
            first.unread -= part;
            left -= part;
            if first.unread == 0 {
                let read = self.reading.pop_front().unwrap();
                self.writing.push(read);
            }
        }
        let read_ms = f64::from(CHUNK - left) / PREFILL * 1000.0;
        let writers = self.writing.len() as f64;
        let steps = if self.writing.is_empty() { 0.0 } else { STRIDE };
        let end = now + read_ms + steps * (STEP_MS + SEQUENCE_MS * writers);
        self.busy_until = end;
        for request in &mut self.writing {
            // A request that was just read gets its first event at the end of this pass.
            if request.arrived >= 0.0 {
                let first = end - request.arrived + NETWORK_MS;
                if first <= OBJECTIVE.as_secs_f64() * 1000.0 {
                    outcome.prompt += 1;
                } else {
                    outcome.late += 1;
                }
                request.arrived = -1.0;
            }
            request.unwritten = request.unwritten.saturating_sub(6);
        }
        let (done, rest) = self.writing.iter().partition(|r| r.unwritten == 0);
        self.writing = rest;
        done
    }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let targets = (0..SERVERS).map(|i| Entry {
        name: format!("i-{i:02}"),
        revision: 1,
        value: Target {
            id: format!("i-{i:02}"),
            service: "llm".into(),
            address: format!("10.0.0.{}:80", i + 1).parse().unwrap(),
            data_center: ["a", "b", "c"][i % 3].into(),
            slots: SLOTS,
            phase: Phase::Ready,
            started: 1,
            weights: Some(1),
        },
    });
    catalog.replace_targets(1, targets.collect());
    catalog
}

struct Model {
    way: Way,
    rng: StdRng,
    engines: Vec<Engine>,
    ledgers: Vec<SlotTable>,
    pools: Vec<Pool>,
    keys: Vec<Vec<TargetKey>>,
    own: Vec<[u32; SERVERS]>,
    start: Instant,
    number: u64,
}

impl Model {
    fn new(way: Way, seed: u64) -> Self {
        let catalog = catalog();
        let mut pools = vec![Pool::default(); GATEWAYS];
        let mut keys = Vec::new();
        for pool in &mut pools {
            pool.sync(&catalog);
            let of = |i: usize| {
                let id = format!("i-{i:02}");
                pool.iter().find(|(_, e)| e.target.id == id).unwrap().0
            };
            keys.push((0..SERVERS).map(of).collect());
        }
        let mut ledgers = vec![SlotTable::new(SLOTS, HOLD, PREFILL); SERVERS];
        for ledger in &mut ledgers {
            ledger.set_open(true);
        }
        Self {
            way,
            rng: StdRng::seed_from_u64(seed),
            engines: (0..SERVERS).map(|_| Engine::default()).collect(),
            ledgers,
            pools,
            keys,
            own: vec![[0; SERVERS]; GATEWAYS],
            start: Instant::now(),
            number: 0,
        }
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1000.0)
    }

    fn tell(&mut self, gateway: usize, server: usize, now: Instant) {
        let ledger = &self.ledgers[server];
        let state = AgentState {
            free: ledger.free(),
            wait: ledger.expected_wait(now),
            weights: 1,
            is_open: true,
            received: now,
        };
        self.pools[gateway].update_state(self.keys[gateway][server], state);
    }

    /// Places a request; `None` when it is refused.
    fn place(&mut self, gateway: usize, prompt: u32, now: Instant) -> Option<usize> {
        match self.way {
            Way::Alone => {
                // The callers are spread unevenly, the parts of the slots are not.
                let part = SLOTS.div_ceil(u32::try_from(GATEWAYS).unwrap());
                let own = self.own[gateway];
                let begin = self.rng.random_range(0..SERVERS);
                let mut order = (0..SERVERS).map(|i| (begin + i) % SERVERS);
                order.find(|s| own[*s] < part)
            }
            Way::Queue => Some(self.rng.random_range(0..SERVERS)),
            Way::Ledger => self.ask(gateway, prompt, now),
        }
    }

    fn ask(&mut self, gateway: usize, prompt: u32, now: Instant) -> Option<usize> {
        let mut tried = Vec::new();
        for asked in 0..3 {
            let is_immediate = asked < 2;
            let want = Requirements {
                service: "llm",
                excluded: if is_immediate { &tried } else { &[] },
                min_version: Some(1),
                data_center: ["a", "b", "c"][gateway % 3],
            };
            let rng = &mut self.rng;
            let key = self.pools[gateway].choose(&want, now, || rng.random())?;
            let server = self.keys[gateway].iter().position(|k| *k == key).unwrap();
            let ask = SlotRequest {
                id: GrantId {
                    gateway: gateway as u64,
                    request: self.number,
                },
                priority: 1,
                objective: OBJECTIVE,
                prompt,
                is_immediate,
            };
            let verdict = self.ledgers[server].request(&ask, now);
            self.tell(gateway, server, now);
            if verdict == Decision::Granted {
                return Some(server);
            }
            tried.push(key);
        }
        None
    }

    fn end(&mut self, server: usize, request: &Request, now: Instant) {
        self.own[request.gateway][server] -= 1;
        let id = GrantId {
            gateway: request.gateway as u64,
            request: request.number,
        };
        self.ledgers[server].release(id, now);
    }

    /// Offers `rate` requests a second for the span.
    fn run(&mut self, rate: f64) -> Outcome {
        let mut outcome = Outcome::default();
        for tick in 0..SPAN_MS {
            let ms = tick as f64;
            let now = self.at(ms);
            if tick % 1000 == 0 {
                for (gateway, server) in
                    (0..GATEWAYS).flat_map(|g| (0..SERVERS).map(move |s| (g, s)))
                {
                    self.tell(gateway, server, now);
                }
            }
            for server in 0..SERVERS {
                let busy = self.engines[server].busy_until > ms;
                if busy || self.engines[server].active() == 0 {
                    continue;
                }
                let done = self.engines[server].pass(ms, &mut outcome);
                let end = self.at(self.engines[server].busy_until);
                for request in done {
                    self.end(server, &request, end);
                }
            }
            if self.rng.random::<f64>() < rate / 1000.0 {
                self.offer(ms, &mut outcome);
            }
        }
        outcome
    }

    fn offer(&mut self, ms: f64, outcome: &mut Outcome) {
        outcome.offered += 1;
        self.number += 1;
        // The first gateways have twice the callers of the last ones.
        let draw: f64 = self.rng.random();
        let gateway = (draw * draw.sqrt() * GATEWAYS as f64) as usize;
        let size = |rng: &mut StdRng, mean: f64, most: f64| {
            let draw: f64 = rng.random();
            (-mean * (1.0 - draw).ln()).clamp(20.0, most) as u32
        };
        let prompt = size(&mut self.rng, 964.0, 3_880.0);
        let answer = size(&mut self.rng, 119.0, 360.0);
        let now = self.at(ms);
        let Some(server) = self.place(gateway, prompt, now) else {
            outcome.refused += 1;
            return;
        };
        self.own[gateway][server] += 1;
        self.engines[server].queue.push_back(Request {
            arrived: ms,
            unread: prompt,
            unwritten: answer,
            gateway,
            number: self.number,
        });
    }
}

fn run(way: Way, rate: f64) -> Outcome {
    let outcome = Model::new(way, 7).run(rate);
    eprintln!("{way:?} at {rate}/s: {outcome:?}");
    outcome
}

fn share(outcome: &Outcome) -> f64 {
    f64::from(outcome.prompt) / f64::from(outcome.offered)
}

/// Below capacity, prompts that arrive together at one target used to be read one after
/// the other while other targets were free.
#[test]
fn below_capacity_streams_begin_within_their_objective() {
    let ledger = run(Way::Ledger, 90.0);
    assert!(share(&ledger) >= 0.95, "{ledger:?}");
    assert!(share(&ledger) > share(&run(Way::Queue, 90.0)));
    assert!(share(&ledger) > share(&run(Way::Alone, 90.0)));
}

/// At twice the capacity a queue that takes everything makes every stream late; slots
/// split among the gateways stay empty at some and are short at others.
#[test]
fn overload_keeps_the_goodput_of_the_peak() {
    let peak = [90.0, 110.0, 130.0, 150.0]
        .into_iter()
        .map(|rate| run(Way::Ledger, rate).prompt)
        .max()
        .unwrap();
    let overload = run(Way::Ledger, 260.0);
    let kept = f64::from(overload.prompt) / f64::from(peak);
    assert!(kept >= 0.95, "{kept} of the peak: {overload:?}");
    assert!(overload.prompt > run(Way::Alone, 260.0).prompt);
    assert!(overload.prompt > run(Way::Queue, 260.0).prompt);
}
