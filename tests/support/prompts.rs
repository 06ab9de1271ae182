//! Model of long and short prompts from many gateways at engines that read prompts in chunks
//! between passes, with the decisions of `place`, for the two deployments of the specification.

use std::time::{Duration, Instant};

use corianderramp::fleet::catalog::{Catalog, Entry};
use corianderramp::fleet::{Phase, Target};
use corianderramp::place::forecast::Forecast;
use corianderramp::place::pool::{AgentState, Pool, Requirements, TargetKey};
use corianderramp::place::scope::Scope;
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engines::{Class, Deployment, Outcome, Request, SLOTS, Server, ms};

const SERVERS: usize = 34;
/// Simulated time, milliseconds.
const DURATION_MS: u64 = 12_000;
/// Time for which a server stays slow, milliseconds.
const SLOW_MS: u64 = 600;
const SLOT_REQUESTS: usize = 5;

/// How engines and gateways decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The longest wait is a fixed share of the objective.
    Share,
    /// Waits are predicted from the engine's parameters and pace.
    Forecast,
}

/// Pool of the deployments' engines, and their keys.
pub fn pool() -> (Pool, Vec<TargetKey>) {
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
            has_engine: true,
            weights: Some(1),
            cold_left: Duration::ZERO,
        },
    });
    let mut catalog = Catalog::default();
    catalog.replace_targets(1, targets.collect());
    let mut pool = Pool::default();
    pool.sync(&catalog);
    let find = |i: usize| {
        let address = format!("10.0.0.{}:80", i + 1).parse().unwrap();
        pool.find(address).unwrap()
    };
    let keys = (0..SERVERS).map(find).collect();
    (pool, keys)
}

struct Model<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    forecast: Forecast,
    /// Draws arrivals and lengths, which are the same for all policies.
    arrivals: StdRng,
    rng: StdRng,
    servers: Vec<Server>,
    tables: Vec<SlotTable>,
    pools: Vec<Pool>,
    keys: Vec<TargetKey>,
    start: Instant,
    outcomes: Vec<Outcome>,
    /// Longest time of a server's prompts until they are read, milliseconds.
    longest_backlog: f64,
    /// Requests to servers in the half second after a slow time, and the time of all servers in
    /// this state, milliseconds.
    after_slow: (u32, u64),
}

impl<'a> Model<'a> {
    fn new(deployment: &'a Deployment, policy: Policy, seed: u64) -> Self {
        let (pool, keys) = pool();
        let pools = vec![pool; deployment.gateways];
        let engine = &deployment.engine;
        let mut table = SlotTable::new(SLOTS, engine.slot_time(), engine.prefill_rate);
        table.set_open(true);
        if policy == Policy::Forecast {
            table.configure(engine);
        }
        Self {
            deployment,
            policy,
            forecast: Forecast::known(engine).unwrap(),
            arrivals: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed + 100),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            tables: vec![table; SERVERS],
            pools,
            keys,
            start: Instant::now(),
            outcomes: Vec::new(),
            longest_backlog: 0.0,
            after_slow: (0, 0),
        }
    }

    fn at(&self, at: f64) -> Instant {
        self.start + ms(at)
    }

    fn report_state(&mut self, gateway: usize, server: usize, now: Instant) {
        let table = &self.tables[server];
        let state = AgentState {
            free: table.free(),
            wait: table.expected_wait(now),
            weights: 1,
            is_open: true,
            prefill: table.prefill_left(now),
            cold: Duration::ZERO,
            received: now,
        };
        self.pools[gateway].update_state(self.keys[server], state);
    }

    fn request_slot(
        &mut self,
        gateway: usize,
        class: usize,
        size: (u32, u32),
        now: Instant,
    ) -> Option<usize> {
        let objective = Duration::from_millis(self.deployment.classes[class].objective_ms);
        let timing = self.forecast.timing(objective, size.0);
        let mut refused = Vec::new();
        for attempt in 1..=SLOT_REQUESTS {
            let immediate_only = attempt < SLOT_REQUESTS;
            let needs = Requirements {
                service: "llm",
                excluded: if immediate_only { &refused } else { &[] },
                min_version: Some(1),
                data_center: ["a", "b", "c"][gateway % 3],
                scope: &Scope::ANY,
                timing: (self.policy == Policy::Forecast).then_some(timing),
            };
            let rng = &mut self.rng;
            let key = self.pools[gateway].choose(&needs, now, || rng.random())?;
            let server = self.keys.iter().position(|k| *k == key).unwrap();
            let request = SlotRequest {
                id: GrantId {
                    gateway_id: gateway as u64,
                    request_id: self.outcomes.len() as u64,
                },
                priority: 1,
                objective,
                prompt_tokens: size.0,
                immediate_only,
                output_tokens: size.1,
                left: Duration::from_secs(6),
                is_returning: false,
            };
            let decision = self.tables[server].request(&request, now);
            self.report_state(gateway, server, now);
            if decision == Decision::Granted {
                return Some(server);
            }
            refused.push(key);
        }
        None
    }

    fn size(&mut self, mean: f64, max: f64, spread: Option<f64>) -> u32 {
        let draw: f64 = self.arrivals.random();
        let value = match spread {
            None => -mean * (1.0 - draw).ln(),
            Some(sigma) => {
                let other: f64 = self.arrivals.random();
                let normal =
                    (-2.0 * (1.0 - draw).ln()).sqrt() * (std::f64::consts::TAU * other).cos();
                mean * (sigma * normal - sigma * sigma / 2.0).exp()
            }
        };
        value.clamp(20.0, max) as u32
    }

    fn offer(&mut self, at: f64) {
        let class = self.arrivals.random_range(0..3);
        // Gateways with a low index get more requests than those with a high one.
        let draw: f64 = self.arrivals.random();
        let gateway = (draw * draw.sqrt() * self.deployment.gateways as f64) as usize;
        let Class {
            mean_prompt,
            max_prompt,
            mean_output,
            ..
        } = self.deployment.classes[class];
        let prompt = self.size(mean_prompt, max_prompt, self.deployment.spread);
        let output = self.size(mean_output, 3.0 * mean_output, None);
        let now = self.at(at);
        let chosen = self.request_slot(gateway, class, (prompt, output), now);
        let is_slow = chosen.is_some_and(|s| self.servers[s].slow_until as f64 > at);
        let index = self.outcomes.len();
        self.outcomes.push(Outcome {
            class,
            prompt,
            first: None,
            is_slow,
        });
        let Some(server) = chosen else { return };
        if self.servers[server].was_slow(at as u64) {
            self.after_slow.0 += 1;
        }
        self.servers[server].queue.push_back(Request {
            index,
            arrived: at,
            prompt,
            prompt_left: prompt,
            output_left: output,
            is_begun: false,
            gateway,
        });
    }

    fn run_server(&mut self, server: usize, tick: u64) {
        let at = tick as f64;
        let (share, factor) = self.deployment.slow;
        let current = &mut self.servers[server];
        // Slow times begin so often that they make up their share of the time.
        let begins = share / (1.0 - share) / SLOW_MS as f64;
        if share > 0.0 && current.slow_until <= tick && self.rng.random::<f64>() < begins {
            current.slow_until = tick + SLOW_MS;
        }
        if current.was_slow(tick) {
            self.after_slow.1 += 1;
        }
        let pace = if current.slow_until > tick {
            factor
        } else {
            1.0
        };
        if tick % 100 == server as u64 % 100 {
            let reported = u32::try_from(current.active()).unwrap();
            let now = self.start + ms(at);
            self.tables[server].reconcile(reported, now, now);
            if self.policy == Policy::Forecast {
                self.tables[server].set_pace(pace, now);
            }
            let left: u32 = current.prefilling.iter().map(|r| r.prompt_left).sum();
            let queued: u32 = current.queue.iter().map(|r| r.prompt_left).sum();
            let backlog = f64::from(left + queued) / self.deployment.engine.prefill_rate;
            self.longest_backlog = self.longest_backlog.max(backlog * 1000.0);
        }
        if current.busy_until > at || current.active() == 0 {
            return;
        }
        let engine = &self.deployment.engine;
        let done = current.pass(at, pace, engine, &mut self.outcomes);
        let end = self.start + ms(current.busy_until);
        for request in done {
            let id = GrantId {
                gateway_id: request.gateway as u64,
                request_id: request.index as u64,
            };
            self.tables[server].release(id, end);
        }
    }

    /// Offers `rate` requests per second for the simulated time.
    fn run(&mut self, rate: f64) {
        for tick in 0..DURATION_MS {
            let now = self.at(tick as f64);
            // Each gateway hears of each server about once a second, at times of its own.
            for gateway in 0..self.deployment.gateways {
                for server in 0..SERVERS {
                    if (tick as usize + gateway * 19 + server * 29).is_multiple_of(1000) {
                        self.report_state(gateway, server, now);
                    }
                }
            }
            for server in 0..SERVERS {
                self.run_server(server, tick);
            }
            if self.arrivals.random::<f64>() < rate / 1000.0 {
                self.offer(tick as f64);
            }
        }
    }
}

/// Times and shares of a part of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub count: usize,
    pub served: f64,
    pub on_time: f64,
    pub p50: f64,
    pub p99: f64,
}

fn part(outcomes: &[Outcome], deployment: &Deployment) -> Part {
    let count = outcomes.len();
    let mut times: Vec<f64> = outcomes.iter().filter_map(|o| o.first).collect();
    times.sort_by(f64::total_cmp);
    let is_on_time = |o: &&Outcome| {
        let objective = deployment.classes[o.class].objective_ms as f64;
        o.first.is_some_and(|f| f <= objective)
    };
    let at = |share: f64| times[(times.len() as f64 * share) as usize];
    Part {
        count,
        served: times.len() as f64 / count as f64,
        on_time: outcomes.iter().filter(is_on_time).count() as f64 / count as f64,
        p50: at(0.5),
        p99: at(0.99),
    }
}

pub struct Run {
    /// All requests, the largest tenth, the fifth below it and the rest.
    pub parts: [Part; 4],
    /// Served shares of the largest tenth and of the fifth below it, relative to their class.
    pub relative: Vec<f64>,
    /// Share of the requests that went to servers while these were slow.
    pub slow: f64,
    /// Requests to servers in the half second after a slow time, relative to servers that are not slow.
    pub after_slow: f64,
    /// Longest time that a server's unread prompts take, milliseconds.
    pub longest_backlog: f64,
}

pub fn run(deployment: &Deployment, policy: Policy, rate: f64) -> Run {
    let mut groups: [Vec<Outcome>; 3] = Default::default();
    let mut relative = Vec::new();
    let (mut slow, mut longest_backlog, mut all) = (0, 0.0_f64, Vec::new());
    let (mut after, mut after_ms) = (0, 0);
    let mut outcomes = Vec::new();
    for seed in 0..2 {
        let mut model = Model::new(deployment, policy, seed);
        model.run(rate);
        longest_backlog = longest_backlog.max(model.longest_backlog);
        after += model.after_slow.0;
        after_ms += model.after_slow.1;
        // Requests of the last seconds may not have begun.
        let kept = model.outcomes.len() * 10 / 12;
        outcomes.extend_from_slice(&model.outcomes[..kept]);
    }
    for class in 0..3 {
        let mut of_class: Vec<Outcome> = outcomes
            .iter()
            .copied()
            .filter(|o| o.class == class)
            .collect();
        of_class.sort_by_key(|o| std::cmp::Reverse(o.prompt));
        slow += of_class.iter().filter(|o| o.is_slow).count();
        let (tenth, third) = (of_class.len() / 10, of_class.len() * 3 / 10);
        let class_part = part(&of_class, deployment);
        for (group, range) in [0..tenth, tenth..third, third..of_class.len()]
            .into_iter()
            .enumerate()
        {
            let of_group = &of_class[range];
            if group < 2 {
                relative.push(part(of_group, deployment).served / class_part.served);
            }
            groups[group].extend_from_slice(of_group);
        }
        all.extend(of_class);
    }
    let [tenth, fifth, rest] = &groups;
    let parts = [&all, tenth, fifth, rest].map(|g| part(g, deployment));
    let slow = slow as f64 / all.len() as f64;
    let granted = all.iter().filter(|o| o.first.is_some()).count() as f64;
    // Requests for each millisecond of the servers that are not slow.
    let sound = 1.0 - deployment.slow.0;
    let time = 2.0 * (DURATION_MS * 10 / 12 * SERVERS as u64) as f64 * sound;
    let usual = granted * (1.0 - slow) / time;
    let after_slow = f64::from(after) / after_ms.max(1) as f64 / usual;
    for (name, p) in ["all", "tenth", "fifth", "rest"].iter().zip(&parts) {
        let Part {
            count,
            served,
            on_time,
            p50,
            p99,
        } = p;
        eprintln!(
            "| {} {rate} | {policy:?} | {name} | {count} | {served:.3} | {on_time:.3} | {p50:.0} | {p99:.0} |",
            deployment.name
        );
    }
    let least = relative.iter().copied().fold(f64::MAX, f64::min);
    eprintln!(
        "  least relative share {least:.2}, slow {slow:.3}, after {after_slow:.2}, backlog {longest_backlog:.0} ms"
    );
    Run {
        parts,
        relative,
        slow,
        after_slow,
        longest_backlog,
    }
}
