//! Rollouts of weights at several sizes of the fleet: time to N replicas and
//! origin bytes of the agents, of a star and of a chain on the same stand-ins.
//!
//! Agents run as `corianderrampd` processes or in this process; engines, origin
//! and relay run in this process. The tool hands out the configuration.

use std::fs;
use std::io::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use corianderramp::{resource::rollout, settings};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::time;

use crate::content::Content;
use crate::fleet::{self, Agent, Fleet, Links};
use crate::harness::Subnet;
use crate::{engine, toolkit};

mod baseline;
pub mod plot;
mod processes;

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Folder for the table and the plot.
    pub output: PathBuf,
    /// Seeds of the content; one run each.
    pub seeds: Vec<u64>,
    /// Numbers of agents.
    pub agents: Vec<u8>,
    /// Number of data centres, each a region of its own.
    pub data_centers: u8,
    /// How weights are distributed.
    pub methods: Vec<Method>,
    /// What the agents' rollout saves first.
    #[serde(default)]
    pub strategy: rollout::Strategy,
    /// Size of the model, bytes.
    pub size: u64,
    /// Size of a chunk, bytes.
    pub chunk_size: u32,
    /// Time in which the links carry the copies below, seconds.
    pub window_s: f64,
    /// Copies that the origin's link carries in the window.
    pub origin_copies: f64,
    /// Copies that each VM's link carries in the window, each way.
    pub vm_copies: f64,
    /// Copies that each link between two regions carries in the window, each way.
    pub region_copies: f64,
    /// One-way delay between regions, milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Chunks that an agent uploads at the same time.
    #[serde(default = "default_uploads")]
    pub upload_slots: usize,
    /// Chunks that an agent downloads at the same time.
    #[serde(default = "default_downloads")]
    pub download_slots: usize,
    /// Share of agents that die when the first agent has a third of the chunks.
    #[serde(default)]
    pub deaths: f64,
    /// Whether each agent is a `corianderrampd` process of its own; otherwise
    /// they run in this process, each in a runtime of its own.
    #[serde(default)]
    pub processes: bool,
    /// Longest time of one run, seconds.
    pub limit_s: u64,
}

const fn default_uploads() -> usize {
    2
}

const fn default_downloads() -> usize {
    4
}

/// How weights are distributed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// The agents of this system.
    Agents,
    /// Every VM fetches everything from the origin.
    Star,
    /// Every VM fetches from the one before it, the first from the origin.
    Chain,
}

impl Method {
    /// Name in tables and plots.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Agents => "agents",
            Self::Star => "star",
            Self::Chain => "chain",
        }
    }
}

/// Result of one run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// How weights were distributed.
    pub method: Method,
    /// Number of agents.
    pub agents: u8,
    /// Seed of the content.
    pub seed: u64,
    /// Time until half of the VMs served, seconds.
    pub half_s: f64,
    /// Time until all surviving VMs served, seconds.
    pub all_s: f64,
    /// Lower bound of that time, seconds.
    pub bound_s: f64,
    /// Copies that the origin sent.
    pub origin: f64,
    /// Copies on the busiest link between regions.
    pub region: f64,
    /// Copies on the busiest uplink of a VM.
    pub up: f64,
}

/// Runs all combinations; prints the table and writes it and the plot.
///
/// # Errors
/// Fails when a stand-in can't start, a run exceeds its limit or a file can't
/// be written.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    fs::create_dir_all(&settings.output).context(toolkit::IoSnafu {
        what: &settings.output,
    })?;
    let mut runs = Vec::new();
    let mut number = 0;
    print(HEADER);
    for method in &settings.methods {
        for agents in &settings.agents {
            for seed in &settings.seeds {
                let run = measure(&settings, *method, *agents, *seed, number).await?;
                number = number.wrapping_add(1);
                print(&row(&run));
                runs.push(run);
            }
        }
    }
    let lines: String = runs.iter().map(row).collect();
    let table = settings.output.join("weights.md");
    fs::write(&table, format!("{HEADER}{lines}")).context(toolkit::IoSnafu { what: &table })?;
    plot::draw(&runs, &settings.output.join("weights.svg"))
}

const HEADER: &str = "\
| method | N | seed | half, s | all, s | bound, s | all/bound | origin copies | busiest region link | busiest uplink |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
";

fn row(run: &Run) -> String {
    format!(
        "| {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.3} | {:.2} | {:.2} |\n",
        run.method.name(),
        run.agents,
        run.seed,
        run.half_s,
        run.all_s,
        run.bound_s,
        run.all_s / run.bound_s,
        run.origin,
        run.region,
        run.up,
    )
}

fn print(text: &str) {
    let mut out = std::io::stdout();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}

impl Settings {
    #[allow(clippy::cast_precision_loss)]
    fn rate(&self, copies: f64) -> f64 {
        self.size as f64 * copies / self.window_s
    }

    fn content(&self, seed: u64) -> Content {
        Content {
            model: "shake-8b".into(),
            version: "v1".into(),
            base: None,
            size: self.size,
            chunk_size: self.chunk_size,
            seed,
            parent: None,
            changed_every: 1,
        }
    }

    /// Fleet of run number `number`; each has its own subnet, since the last
    /// one's connections take a moment to close.
    fn fleet(&self, agents: u8, seed: u64, number: u8) -> fleet::Settings {
        let centers = usize::from(self.data_centers.min(agents));
        let mut data_centers = vec![0; centers];
        for index in 0..usize::from(agents) {
            data_centers[index % centers] += 1;
        }
        let vm = self.rate(self.vm_copies);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let weights = settings::Weights {
            upload_rate: vm as u64,
            upload_slots: self.upload_slots,
            download_slots: self.download_slots,
            ..settings::Weights::default()
        };
        fleet::Settings {
            subnet: Subnet::new(number),
            data_centers,
            content: vec![self.content(seed)],
            weights,
            engine: engine::Settings::default(),
            links: Some(Links {
                origin: self.rate(self.origin_copies),
                vm,
                region: self.rate(self.region_copies),
                delay_ms: self.delay_ms,
            }),
        }
    }

    /// One copy through the narrowest of the links that every copy passes,
    /// and one chunk for each doubling of the number of holders.
    fn bound(&self, agents: u8) -> f64 {
        let copies = self.vm_copies.min(self.origin_copies);
        let depth = f64::from(agents).log2().ceil();
        let chunk = f64::from(self.chunk_size) / self.rate(self.vm_copies);
        self.window_s / copies + depth * chunk
    }
}

async fn measure(
    settings: &Settings,
    method: Method,
    agents: u8,
    seed: u64,
    number: u8,
) -> Result<Run, toolkit::Error> {
    let limit = Duration::from_secs(settings.limit_s);
    let fleet_settings = settings.fleet(agents, seed, number);
    let (fleet, times) = match method {
        Method::Agents if settings.processes => {
            processes::roll_out(settings, &fleet_settings, seed, limit).await?
        }
        Method::Agents => roll_out(settings, &fleet_settings, seed, limit).await?,
        Method::Star | Method::Chain => {
            let fleet = Fleet::prepare(&fleet_settings).await?;
            let content = settings.content(seed);
            let chain = method == Method::Chain;
            let times = baseline::run(&fleet, &content, chain, limit).await?;
            (fleet, times)
        }
    };
    let mut seconds: Vec<f64> = times.iter().map(Duration::as_secs_f64).collect();
    seconds.sort_unstable_by(f64::total_cmp);
    #[allow(clippy::cast_precision_loss)]
    let copies = |bytes: u64| bytes as f64 / settings.size as f64;
    let stats = fleet.relay.as_ref().map(crate::relay::Relay::stats);
    let stats = stats.unwrap_or_default();
    let region = stats.regions.iter().map(|r| r.bytes).max();
    let vms = stats.vms.iter().filter(|v| v.name != "origin");
    Ok(Run {
        method,
        agents,
        seed,
        half_s: seconds[(seconds.len() - 1) / 2],
        all_s: seconds[seconds.len() - 1],
        bound_s: settings.bound(agents),
        origin: copies(fleet.origin.stats().bytes),
        region: copies(region.unwrap_or(0)),
        up: copies(vms.map(|v| v.up).max().unwrap_or(0)),
    })
}

/// Rolls out a version over running agents; returns the time at which each
/// surviving one served it.
async fn roll_out(
    settings: &Settings,
    fleet_settings: &fleet::Settings,
    seed: u64,
    limit: Duration,
) -> Result<(Fleet, Vec<Duration>), toolkit::Error> {
    let mut fleet = Fleet::start(fleet_settings).await?;
    let manifest = settings.content(seed).manifest();
    let third = manifest.spec.chunks.len() / 3;
    fleet.push();
    time::sleep(Duration::from_secs(1)).await;
    let begin = Instant::now();
    let generation = fleet.declare_with(&manifest, settings.strategy);
    let mut times = vec![None; fleet.agents.len()];
    let mut victims = victims(fleet.agents.len(), settings.deaths);
    loop {
        for (agent, time) in fleet.agents.iter().zip(&mut times) {
            if time.is_none() && agent.is_live(generation) {
                *time = Some(begin.elapsed());
            }
        }
        let far = |a: &Agent| a.progress().is_some_and(|p| p.have >= third);
        if !victims.is_empty() && fleet.agents.iter().any(far) {
            for index in victims.drain(..) {
                fleet.kill(index);
            }
        }
        let pending = |(agent, time): (&Agent, &Option<Duration>)| {
            agent.progress().is_some() && time.is_none()
        };
        if !fleet.agents.iter().zip(&times).any(pending) {
            break;
        }
        if begin.elapsed() > limit {
            let reason = format!("{} agents: not live within {limit:?}", times.len());
            return Err(toolkit::Error::Unusable { reason });
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    let alive = fleet.agents.iter().zip(times);
    let alive = alive.filter(|(a, _)| a.progress().is_some());
    let times = alive.filter_map(|(_, time)| time).collect();
    Ok((fleet, times))
}

/// Every n-th agent, so that all data centres lose some.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn victims(agents: usize, share: f64) -> Vec<usize> {
    let count = (agents as f64 * share).round() as usize;
    (0..count).map(|i| i * agents / count).collect()
}
