//! Agents in this process, with engines, an origin and optionally a relay
//! between them, for tests and experiments on the weight path.
//!
//! Each agent has a runtime of its own, so that it can be ended at any point
//! as if its process had been killed. The configuration is written to the
//! shared state of the agents, without entries and platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use corianderramp::agent;
use corianderramp::resource::{Object, model, rollout, service};
use corianderramp::shared_state::{ModelVersion, Phase, SharedState};
use corianderramp::{clock, config, control, daemon, settings, weights};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::harness::{CONTROL_PORT, Place, REQUESTS_PORT, Subnet, TARGET_PORT};
use crate::relay::Relay;
use crate::{content, engine, origin, toolkit};

mod links;
mod permits;

pub use links::Links;
pub use permits::Coordinator;

/// Service of all agents of a fleet.
pub const SERVICE: &str = "shake-llm";
/// Host number of the origin.
const ORIGIN: u8 = 119;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback addresses.
    pub subnet: Subnet,
    /// Number of agents per data centre; data centre `i` is `dc-i` in `region-i`.
    pub data_centers: Vec<u8>,
    /// Content at the origin.
    pub content: Vec<content::Content>,
    /// Transfer settings of all agents.
    pub weights: settings::Weights,
    /// Settings of all engines.
    pub engine: engine::Settings,
    /// Links; without them processes connect to each other directly.
    pub links: Option<Links>,
}

/// An agent with its engine.
#[derive(Debug)]
pub struct Agent {
    /// Where it runs.
    pub place: Place,
    /// Its engine, which outlives it.
    pub engine: engine::Engine,
    /// Its settings.
    pub settings: settings::Settings,
    /// Whether new configuration does not reach it.
    pub isolated: bool,
    life: Option<Life>,
}

/// A running agent.
#[derive(Debug)]
struct Life {
    state: Arc<SharedState>,
    handle: weights::Handle,
    /// Ends the runtime with all its tasks, unfinished ones included.
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Life {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Agents, engines, origin and relay.
#[derive(Debug)]
pub struct Fleet {
    /// Agents in the order of their host numbers.
    pub agents: Vec<Agent>,
    /// Origin.
    pub origin: origin::Origin,
    /// Relay, if there are links.
    pub relay: Option<Relay>,
    /// Configuration that was declared last.
    pub view: config::View,
    /// Coordinator, if one was started.
    pub coordinator: Option<permits::Coordinator>,
    subnet: Subnet,
}

impl Fleet {
    /// Starts engines, origin, relay and agents.
    ///
    /// # Errors
    /// Fails when an address can't be listened at.
    pub async fn start(settings: &Settings) -> Result<Self, toolkit::Error> {
        let mut fleet = Self::prepare(settings).await?;
        for index in 0..fleet.agents.len() {
            fleet.revive(index).await?;
        }
        Ok(fleet)
    }

    /// Starts engines, origin and relay, without agents.
    ///
    /// # Errors
    /// Fails when an address can't be listened at.
    pub async fn prepare(settings: &Settings) -> Result<Self, toolkit::Error> {
        let subnet = settings.subnet;
        let origin = origin::Origin::start(origin::Settings {
            listen: subnet.address(ORIGIN, TARGET_PORT),
            rate: 0.0,
            models: settings.content.clone(),
        })
        .await?;
        let places = links::places(settings)?;
        let relay = match &settings.links {
            Some(links) => Some(Relay::start(links::relayed(subnet, &places, links)).await?),
            None => None,
        };
        let offset = if relay.is_some() { links::RELAYED } else { 0 };
        let mut agents = Vec::new();
        let mut view = config::View::default();
        for (host, place) in places {
            let target = place.address(TARGET_PORT);
            let engine = engine::start(target, settings.engine.clone()).await?;
            let source = subnet.address(ORIGIN + offset, TARGET_PORT);
            let mut own = place.agent(SERVICE, source, &[]);
            own.weights = settings.weights.clone();
            let mut listed = place.listed(SERVICE);
            listed.spec.control = subnet.address(host + offset, CONTROL_PORT);
            view.vms.push(Arc::new(listed));
            agents.push(Agent {
                place,
                engine,
                settings: own,
                isolated: false,
                life: None,
            });
        }
        let spec = service::Service {
            backend: service::Backend::Model,
            routes: Vec::new(),
            journal: service::JournalMode::Refuse,
            fencing: !settings.engine.ignore_fence,
            reports_load: true,
            objective: service::Objective::default(),
            timeout_ms: 60_000,
        };
        view.services.push(Arc::new(Object::new(SERVICE, spec)));
        view.complete = 1;
        Ok(Self {
            agents,
            origin,
            relay,
            view,
            coordinator: None,
            subnet,
        })
    }

    /// Control address of an agent as others reach it.
    #[must_use]
    pub fn control(&self, index: usize) -> SocketAddr {
        self.view.vms[index].spec.control
    }

    /// Declares a version as the newest rollout, with its manifest.
    pub fn declare(&mut self, manifest: &Object<model::Model>) -> u64 {
        self.declare_with(manifest, rollout::Strategy::Time)
    }

    /// The same with a strategy.
    pub fn declare_with(
        &mut self,
        manifest: &Object<model::Model>,
        strategy: rollout::Strategy,
    ) -> u64 {
        let spec = rollout::Rollout {
            service: SERVICE.into(),
            model: manifest.spec.model.clone(),
            version: manifest.spec.version.clone(),
            strategy,
            max_unavailable: 1,
            join: rollout::Join::Newest,
        };
        self.add_model(manifest);
        self.declare_rollout(spec)
    }

    /// Adds a manifest to the configuration, which takes effect with the next rollout.
    pub fn add_model(&mut self, manifest: &Object<model::Model>) {
        let models = &mut self.view.models;
        models.retain(|m| m.metadata.name != manifest.metadata.name);
        models.push(Arc::new(manifest.clone()));
        models.sort_by(|a, b| a.metadata.name.cmp(&b.metadata.name));
    }

    /// Replaces the rollout; returns its generation.
    pub fn declare_rollout(&mut self, spec: rollout::Rollout) -> u64 {
        self.view.complete += 1;
        let mut object = Object::new("rollout", spec);
        object.metadata.revision = self.view.complete;
        self.view.rollouts = vec![Arc::new(object)];
        self.push();
        self.view.complete
    }

    /// Writes the configuration to all running agents.
    pub fn push(&self) {
        for agent in &self.agents {
            self.push_to(agent);
        }
    }

    fn push_to(&self, agent: &Agent) {
        if let Some(life) = agent.life.as_ref().filter(|_| !agent.isolated) {
            let coordinator = self.coordinator.as_ref().map(Coordinator::named);
            life.state.coordinator.send_replace(coordinator);
            life.state.config.send_replace(Arc::new(self.view.clone()));
        }
    }

    /// Starts a coordinator that grants at most `limit` permits at a time.
    ///
    /// # Errors
    /// Fails when its address can't be listened at.
    pub async fn coordinate(&mut self, limit: usize) -> Result<(), toolkit::Error> {
        let address = self.subnet.address(ORIGIN, CONTROL_PORT);
        self.coordinator = Some(permits::Coordinator::start(address, limit).await?);
        self.push();
        Ok(())
    }

    /// Ends an agent at once, like the death of its process.
    pub fn kill(&mut self, index: usize) {
        self.agents[index].life = None;
    }

    /// Starts an agent that is not running.
    ///
    /// # Errors
    /// Fails when its address can't be listened at.
    pub async fn revive(&mut self, index: usize) -> Result<(), toolkit::Error> {
        let settings = self.agents[index].settings.clone();
        let control = listen(settings.listen.control).await?;
        let requests = listen(self.agents[index].place.address(REQUESTS_PORT)).await?;
        let life = Life::start(settings, control, requests)?;
        self.agents[index].life = Some(life);
        self.push_to(&self.agents[index]);
        Ok(())
    }

    /// Waits until `condition` holds for all running agents.
    ///
    /// # Errors
    /// Says what did not come about within `limit`, with the progress of all agents.
    pub async fn wait_all(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Agent) -> bool,
    ) -> Result<Duration, toolkit::Error> {
        let begin = Instant::now();
        let running = || self.agents.iter().filter(|a| a.life.is_some());
        while !running().all(&condition) {
            if begin.elapsed() > limit {
                let lines: Vec<String> = running().map(Agent::describe).collect();
                let reason = format!("{what}: not within {limit:?}: {}", lines.join("; "));
                return Err(toolkit::Error::Unusable { reason });
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        Ok(begin.elapsed())
    }
}

impl Agent {
    /// Progress of its transfers; `None` while it is not running.
    #[must_use]
    pub fn progress(&self) -> Option<weights::Progress> {
        let life = self.life.as_ref()?;
        let progress = life.handle.progress();
        let current = progress.borrow().clone();
        Some(current)
    }

    /// Whether it has all chunks of `generation`.
    #[must_use]
    pub fn is_verified(&self, generation: u64) -> bool {
        self.progress().is_some_and(|p| {
            p.is_verified() && p.wanted.is_some_and(|w| w.generation == generation)
        })
    }

    /// What it admits requests to; `None` while it admits none.
    #[must_use]
    pub fn serving(&self) -> Option<ModelVersion> {
        self.life.as_ref()?.state.serving.borrow().clone()
    }

    /// Whether it admits requests to the version of `generation`.
    #[must_use]
    pub fn is_live(&self, generation: u64) -> bool {
        self.serving().is_some_and(|s| s.generation == generation)
    }

    /// Handle of its transfers; `None` while it is not running.
    #[must_use]
    pub fn handle(&self) -> Option<&weights::Handle> {
        self.life.as_ref().map(|l| &l.handle)
    }

    /// Its shared state; `None` while it is not running.
    #[must_use]
    pub fn state(&self) -> Option<&Arc<SharedState>> {
        self.life.as_ref().map(|l| &l.state)
    }

    fn describe(&self) -> String {
        let progress = self.progress().unwrap_or_default();
        let generation = progress.wanted.as_ref().map_or(0, |w| w.generation);
        format!(
            "{}: generation {generation}, {}/{} chunks, serving {:?}, engine {:?}",
            self.place.vm,
            progress.have,
            progress.total,
            self.serving().map(|s| s.version),
            self.engine.life().version()
        )
    }
}

impl Life {
    fn start(
        settings: settings::Settings,
        control: TcpListener,
        requests: TcpListener,
    ) -> Result<Self, toolkit::Error> {
        let unusable = |reason: String| toolkit::Error::Unusable { reason };
        let state = Arc::new(SharedState::default());
        let ctx = daemon::Context {
            pool: Arc::new(control::Pool::new(settings.bind)),
            settings: Arc::new(settings),
            state: state.clone(),
            boot: format!("{:016x}", rand::random::<u64>()),
            stop: CancellationToken::new(),
        };
        state.phase.send_replace(Phase::Ready);
        let control = control.into_std().map_err(|e| unusable(e.to_string()))?;
        let requests = requests.into_std().map_err(|e| unusable(e.to_string()))?;
        let (end, ended) = oneshot::channel();
        let (ready, handle) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let built = runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = built else { return };
            runtime.block_on(async move {
                let (handle, server) = weights::start(&ctx, clock::System);
                let listeners = (
                    TcpListener::from_std(control),
                    TcpListener::from_std(requests),
                );
                let (Ok(control), Ok(requests)) = listeners else {
                    return;
                };
                let reports = agent::start(&ctx, clock::System, requests, &handle);
                let _ = ready.send(handle);
                let routes = Routes::new(server).add_service(reports);
                tokio::spawn(control::serve(control, routes, ctx.stop));
                let _ = ended.await;
            });
            runtime.shutdown_background();
        });
        let handle = handle.recv().map_err(|e| unusable(e.to_string()))?;
        Ok(Self {
            state,
            handle,
            end: Some(end),
            thread: Some(thread),
        })
    }
}

/// Listens; an address whose agent was killed may need a moment to be free.
async fn listen(address: SocketAddr) -> Result<TcpListener, toolkit::Error> {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match toolkit::bind(address).await {
            Err(_) if Instant::now() < deadline => time::sleep(Duration::from_millis(20)).await,
            ended => return ended,
        }
    }
}
