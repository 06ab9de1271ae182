//! A system of the tool's own: each kind of process on its own threads.

use std::net::SocketAddr;

use corianderramp::resource::account;
use corianderramp::resource::service::{Backend, JournalMode, Objective, Service};
use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};

use super::summary::{Cpu, Summary};
use super::{Run, Settings, cpu, generate};
use crate::caller::Caller;
use crate::engine::{self, Engine};
use crate::rig::Rig;
use crate::toolkit::{self, IoSnafu};

/// Names of the threads.
const ENTRY: &str = "entry";
const AGENT: &str = "agent";
const ENGINE: &str = "engine";

/// Model that the engines serve.
const MODEL: &str = "bench";
const VERSION: &str = "v1";
/// Data centre of all nodes.
const PLACE: &str = "bench-a";

/// Threads of one kind of process, ended when dropped.
struct Threads(Option<Runtime>);

impl Threads {
    fn new(name: &str, count: usize) -> Result<Self, toolkit::Error> {
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(count).thread_name(name).enable_all();
        let runtime = builder.build().context(IoSnafu { what: name })?;
        Ok(Self(Some(runtime)))
    }

    /// Runs `task`, and all that it spawns, on these threads.
    async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = Result<T, toolkit::Error>> + Send + 'static,
    ) -> Result<T, toolkit::Error> {
        let Some(runtime) = &self.0 else {
            return lost();
        };
        runtime.spawn(task).await.unwrap_or_else(|_| lost())
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

fn lost<T>() -> Result<T, toolkit::Error> {
    Err(toolkit::Error::Unusable {
        reason: "a part of the system panicked".into(),
    })
}

/// Carries out one run.
pub async fn run(settings: &Settings, run: &Run, number: usize) -> Result<Summary, toolkit::Error> {
    let engine_threads = Threads::new(ENGINE, settings.threads)?;
    let agent_threads = Threads::new(AGENT, settings.threads)?;
    let entry_threads = Threads::new(ENTRY, settings.threads)?;
    let own = settings.clone();
    let engines = engine_threads
        .run(async move { engines(&own).await })
        .await?;
    let targets: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
    let mut rig = Rig::new(u8::try_from(number % 16).unwrap_or(0));
    rig.policy = run.policy.into();
    rig.slots = u32::try_from(settings.engine.slots).unwrap_or(u32::MAX);
    describe(&mut rig, settings);
    let (own, addresses) = (settings.clone(), targets.clone());
    let rig = agent_threads
        .run(async move { agents(rig, &own, &addresses).await })
        .await?;
    let count = settings.entries;
    let rig = entry_threads
        .run(async move { entries(rig, count).await })
        .await?;
    let probe = Caller::new(&settings.accounts[0].key, false);
    rig.wait_ready(&probe, &settings.service).await?;
    let addresses = if run.direct {
        targets
    } else {
        rig.entries.iter().map(crate::rig::Node::address).collect()
    };
    let before = [ENTRY, AGENT, ENGINE].map(cpu::used);
    let outcomes = generate::run(settings, &addresses).await;
    let after = [ENTRY, AGENT, ENGINE].map(cpu::used);
    let mut summary = Summary::new(settings, run, &outcomes);
    summary.cpu_us = Some(per_request(before, after, outcomes.len()));
    Ok(summary)
}

#[allow(clippy::cast_precision_loss)]
fn per_request(before: [u64; 3], after: [u64; 3], requests: usize) -> Cpu {
    let per = |i: usize| after[i].saturating_sub(before[i]) as f64 / requests.max(1) as f64;
    Cpu {
        entry: per(0),
        agent: per(1),
        engine: per(2),
    }
}

async fn engines(settings: &Settings) -> Result<Vec<Engine>, toolkit::Error> {
    let mut engines = Vec::new();
    for i in 0..settings.targets {
        let one = engine::Settings {
            model: MODEL.into(),
            version: VERSION.into(),
            seed: settings.seed + i as u64,
            ..settings.engine.clone()
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        engines.push(engine::start(any, one).await?);
    }
    Ok(engines)
}

fn describe(rig: &mut Rig, settings: &Settings) {
    let objective = Objective {
        latency_ms: settings.good_ms,
        ..Objective::default()
    };
    let service = Service {
        backend: Backend::Model,
        routes: Vec::new(),
        journal: JournalMode::Refuse,
        fencing: true,
        reports_load: true,
        objective,
        timeout_ms: settings.deadline_ms,
    };
    rig.service(&settings.service, service);
    for account in &settings.accounts {
        let spec = account::Account {
            rate: account.limit,
            concurrency: u32::MAX,
            ..account::Account::default()
        };
        rig.account(&account.name, &account.key, spec);
    }
}

async fn agents(
    mut rig: Rig,
    settings: &Settings,
    targets: &[SocketAddr],
) -> Result<Rig, toolkit::Error> {
    for address in targets {
        let agent = rig.agent(&settings.service, *address, PLACE).await?;
        rig.agents[agent].serve(MODEL, VERSION);
    }
    rig.publish();
    Ok(rig)
}

async fn entries(mut rig: Rig, count: usize) -> Result<Rig, toolkit::Error> {
    for _ in 0..count {
        rig.entry(PLACE).await?;
    }
    rig.publish();
    Ok(rig)
}
