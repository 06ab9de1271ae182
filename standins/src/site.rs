//! A whole site: real entry and agent processes over stand-ins of the
//! platform, the origin, engines and plain services in the caller's process.

use std::net::SocketAddr;
use std::time::Duration;

use corianderramp::digest;
use corianderramp::objects::{self as object_api, Api};
use corianderramp::resource::{Kind, Object, Resource, account, rollout, service, status, vm};
use corianderramp::settings;
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::net::TcpListener;

use crate::caller::Caller;
use crate::content::Content;
use crate::harness::process::Process;
use crate::harness::{self, Place, Subnet};
use crate::toolkit::{self, IoSnafu};
use crate::{engine, origin, platform, service as plain};

/// Model service of every site.
pub const LLM: &str = "shake-llm";
/// Plain service of every site.
pub const LEDGER: &str = "pitch-ledger";
/// Client account of every site.
pub const ACCOUNT: &str = "van-01";
/// Key of the account.
pub const KEY: &str = "sample-key-van-01";
/// Model that the sites roll out.
pub const MODEL: &str = "shake-8b";

/// Host numbers of the stand-ins; VMs are numbered from 10.
const PLATFORM_HOST: u8 = 1;
const ORIGIN_HOST: u8 = 2;
const FIRST_VM_HOST: u8 = 10;

/// Size of a site and settings of its stand-ins.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data centres, each with its region.
    pub data_centers: Vec<(String, String)>,
    /// Entries in each data centre.
    pub entries: usize,
    /// Targets with model engines in each data centre.
    pub engines: usize,
    /// Targets with a plain service in each data centre.
    pub ledgers: usize,
    /// Behaviour of at-most-once operations without the platform.
    pub journal: service::JournalMode,
    /// Resend window of the journal, milliseconds.
    pub resend_ms: u64,
    /// Settings of the engines.
    pub engine: engine::Settings,
    /// Settings of the plain services.
    pub ledger: plain::Settings,
    /// Rate of the origin, bytes per second; 0 for no limit.
    pub origin_rate: f64,
    /// Model versions at the origin.
    pub contents: Vec<Content>,
}

impl Default for Layout {
    fn default() -> Self {
        let region = |dc: &str, region: &str| (dc.to_owned(), region.to_owned());
        Self {
            data_centers: vec![region("cb-a", "central-belt"), region("ne-a", "north-east")],
            entries: 1,
            engines: 2,
            ledgers: 1,
            journal: service::JournalMode::Refuse,
            resend_ms: 2_000,
            engine: engine::Settings::default(),
            ledger: plain::Settings::default(),
            origin_rate: 0.0,
            contents: vec![content("v1", 1), content("v2", 2)],
        }
    }
}

/// Version of the sites' model with generated weights of 32 chunks.
#[must_use]
pub fn content(version: &str, seed: u64) -> Content {
    Content {
        model: MODEL.into(),
        version: version.into(),
        base: None,
        size: 2 * 1024 * 1024,
        chunk_size: 64 * 1024,
        seed,
        parent: None,
        changed_every: 1,
    }
}

/// One VM with its daemon.
#[derive(Debug)]
pub struct Member {
    /// Place of the VM.
    pub place: Place,
    /// Service of a target; empty for entries.
    pub service: String,
    /// Settings that the daemon was started with.
    pub settings: settings::Settings,
    /// The daemon.
    pub process: Process,
}

impl Member {
    /// Address for callers; entries only.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.place.address(harness::CALLERS_PORT)
    }
}

/// A running site; everything in it ends when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// Entries, one data centre after the other.
    pub entries: Vec<Member>,
    /// Targets, one data centre after the other.
    pub targets: Vec<Member>,
    /// Engines, in the order of the targets with engines.
    pub engines: Vec<engine::Engine>,
    /// Plain services, in the order of the targets with plain services.
    pub ledgers: Vec<plain::Service>,
    /// Platform.
    pub platform: platform::Handle,
    /// Client of the platform, as operators use it.
    pub client: object_api::Client,
    /// Origin of weights.
    pub origin: origin::Origin,
    /// Settings files and logs.
    pub folder: TempDir,
}

impl Site {
    /// Starts a site in the subnet of test number `index` and declares its
    /// services, account and model versions.
    ///
    /// # Errors
    /// Fails when an address is taken or the daemon was not built.
    pub async fn start(index: u8, layout: &Layout) -> Result<Self, toolkit::Error> {
        let subnet = Subnet::new(index);
        let folder = TempDir::new().context(IoSnafu {
            what: "temporary folder",
        })?;
        let platform_address = subnet.address(PLATFORM_HOST, harness::TARGET_PORT);
        let bound = TcpListener::bind(platform_address).await;
        let listener = bound.context(IoSnafu {
            what: platform_address.to_string(),
        })?;
        let handle = platform::start(
            listener,
            platform::DEFAULT_HISTORY,
            platform::faults::Faults::default(),
        );
        let stored = origin::Settings {
            listen: subnet.address(ORIGIN_HOST, harness::TARGET_PORT),
            rate: layout.origin_rate,
            models: layout.contents.clone(),
        };
        let mut site = Self {
            entries: Vec::new(),
            targets: Vec::new(),
            engines: Vec::new(),
            ledgers: Vec::new(),
            platform: handle,
            client: object_api::Client::new(platform_address, None),
            origin: origin::Origin::start(stored).await?,
            folder,
        };
        site.declare(layout).await?;
        site.populate(layout, subnet, platform_address).await?;
        Ok(site)
    }

    /// Writes an object whatever its revision is, as an operator does with a fresh read.
    ///
    /// # Errors
    /// Fails when the platform refuses it or stays away.
    pub async fn apply<S: Resource>(&self, object: &Object<S>) -> Result<u64, toolkit::Error> {
        let name = &object.metadata.name;
        let current = self.client.get(S::KIND, name).await.map_err(unusable)?;
        let mut raw = object.to_raw().map_err(unusable)?;
        raw.metadata.revision = current.map_or(0, |o| o.metadata.revision);
        let written = self.client.put(raw).await.map_err(unusable)?;
        Ok(written.metadata.revision)
    }

    /// Declares that the engines serve `version`; returns the generation.
    ///
    /// # Errors
    /// Fails when the platform refuses it.
    pub async fn roll_out(
        &self,
        version: &str,
        max_unavailable: u32,
    ) -> Result<u64, toolkit::Error> {
        let spec = rollout::Rollout {
            service: LLM.into(),
            model: MODEL.into(),
            version: version.into(),
            strategy: rollout::Strategy::Time,
            max_unavailable,
            join: rollout::Join::Newest,
        };
        self.apply(&Object::new("summer", spec)).await
    }

    /// Targets that the status objects report live at `generation`.
    pub async fn live(&self, generation: u64) -> u32 {
        let Ok(list) = self.client.list(Kind::Status, "summer@").await else {
            return 0;
        };
        let parsed = list
            .items
            .iter()
            .filter_map(|raw| Object::<status::Status>::from_raw(raw).ok());
        parsed
            .filter(|s| s.spec.generation == generation)
            .map(|s| s.spec.live)
            .sum()
    }

    /// Waits until `count` targets are live at `generation`.
    ///
    /// # Errors
    /// Fails when they are not within `limit`.
    pub async fn wait_live(
        &self,
        generation: u64,
        count: u32,
        limit: Duration,
    ) -> Result<Duration, toolkit::Error> {
        let what = format!("{count} targets live at generation {generation}");
        harness::wait_until(&what, limit, async || self.live(generation).await >= count).await
    }

    /// Waits until every entry reaches a target of `service`.
    ///
    /// # Errors
    /// Fails when one does not within `limit`.
    pub async fn wait_served(&self, service: &str, limit: Duration) -> Result<(), toolkit::Error> {
        let caller = Caller::new(KEY, false);
        for entry in &self.entries {
            let what = format!("{service} at {}", entry.place.vm);
            let ready = async || caller.is_ready(entry.callers(), service).await;
            harness::wait_until(&what, limit, ready).await?;
        }
        Ok(())
    }

    /// Starts the daemon of an entry again, with its old settings.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), toolkit::Error> {
        let process = harness::daemon(self.folder.path(), &self.entries[index].settings)?;
        self.entries[index].process = process;
        Ok(())
    }

    /// Starts the daemon of a target again, with its old settings.
    ///
    /// # Errors
    /// Fails when it can't be started.
    pub fn restart_target(&mut self, index: usize) -> Result<(), toolkit::Error> {
        let process = harness::daemon(self.folder.path(), &self.targets[index].settings)?;
        self.targets[index].process = process;
        Ok(())
    }

    /// Executions at all plain services with `key`.
    #[must_use]
    pub fn executions(&self, key: &str) -> usize {
        let all = self.ledgers.iter().flat_map(plain::Service::executions);
        all.filter(|e| e.key == key).count()
    }

    async fn declare(&self, layout: &Layout) -> Result<(), toolkit::Error> {
        self.apply(&Object::new(LLM, model_service())).await?;
        self.apply(&Object::new(LEDGER, ledger_service(layout.journal)))
            .await?;
        let spec = account::Account {
            keys: Some(vec![digest::Digest::of(KEY.as_bytes())]),
            rate: 10_000.0,
            concurrency: 4_096,
            ..account::Account::default()
        };
        self.apply(&Object::new(ACCOUNT, spec)).await?;
        for content in &layout.contents {
            self.apply(&content.manifest()).await?;
        }
        Ok(())
    }

    async fn populate(
        &mut self,
        layout: &Layout,
        subnet: Subnet,
        platform_address: SocketAddr,
    ) -> Result<(), toolkit::Error> {
        let mut host = FIRST_VM_HOST;
        let mut places = Vec::new();
        for (data_center, region) in &layout.data_centers {
            for (service, count) in [
                ("", layout.entries),
                (LLM, layout.engines),
                (LEDGER, layout.ledgers),
            ] {
                for _ in 0..count {
                    let place = Place {
                        vm: format!("{data_center}-{host}"),
                        ip: subnet.ip(host),
                        data_center: data_center.clone(),
                        region: region.clone(),
                    };
                    places.push((place, service));
                    host += 1;
                }
            }
        }
        let entries = places.iter().filter(|(_, service)| service.is_empty());
        let peers: Vec<SocketAddr> = entries
            .map(|(p, _)| p.address(harness::CONTROL_PORT))
            .collect();
        for (place, service) in places {
            self.apply(&place.listed(service)).await?;
            self.add(layout, place, service, &peers, platform_address)
                .await?;
        }
        Ok(())
    }

    async fn add(
        &mut self,
        layout: &Layout,
        place: Place,
        service: &str,
        peers: &[SocketAddr],
        platform_address: SocketAddr,
    ) -> Result<(), toolkit::Error> {
        let target = place.address(harness::TARGET_PORT);
        match service {
            LLM => self
                .engines
                .push(engine::start(target, layout.engine.clone()).await?),
            LEDGER => self
                .ledgers
                .push(plain::start(target, layout.ledger.clone()).await?),
            _ => {}
        }
        let mut settings = match service {
            "" => place.entry(platform_address, peers),
            _ => place.agent(service, self.origin.address, peers),
        };
        settings.journal.resend_ms = layout.resend_ms;
        let process = harness::daemon(self.folder.path(), &settings)?;
        let member = Member {
            place,
            service: service.into(),
            settings,
            process,
        };
        match member.settings.role {
            vm::Role::Entry => self.entries.push(member),
            vm::Role::Target => self.targets.push(member),
        }
        Ok(())
    }
}

fn model_service() -> service::Service {
    service::Service {
        backend: service::Backend::Model,
        routes: Vec::new(),
        journal: service::JournalMode::Refuse,
        fencing: true,
        reports_load: true,
        objective: service::Objective::default(),
        timeout_ms: 30_000,
    }
}

fn ledger_service(journal: service::JournalMode) -> service::Service {
    let check = service::Route {
        method: "GET".into(),
        prefix: "/".into(),
        class: service::Class::Idempotent,
    };
    service::Service {
        backend: service::Backend::Plain,
        routes: vec![check],
        journal,
        fencing: false,
        reports_load: true,
        objective: service::Objective::default(),
        timeout_ms: 10_000,
    }
}

fn unusable(e: impl std::fmt::Display) -> toolkit::Error {
    toolkit::Error::Unusable {
        reason: e.to_string(),
    }
}
