//! Fleets of one service in the test's process.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::ops::RangeBounds;
use std::time::Duration;

use corianderramp::resource::account::Account;
use corianderramp::resource::service::{Backend, Class, JournalMode, Objective, Route, Service};
use standins::caller::Caller;
use standins::rig::Rig;
use standins::{engine, harness, service};

/// Key of the account that every fleet has.
pub const KEY: &str = "key-1";
/// Model service.
pub const LLM: &str = "shake-llm";
/// Plain service.
pub const LEDGER: &str = "pitch-ledger";

/// Limit of all waits; far above what a busy machine needs.
pub const LIMIT: Duration = Duration::from_secs(60);

pub struct Fleet {
    pub rig: Rig,
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    pub name: &'static str,
}

pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn spec(backend: Backend) -> Service {
    let route = |method: &str, prefix: &str| Route {
        method: method.into(),
        prefix: prefix.into(),
        class: Class::Idempotent,
    };
    Service {
        backend,
        routes: vec![route("GET", "/"), route("PUT", "/notes")],
        journal: JournalMode::Refuse,
        fencing: true,
        reports_load: false,
        objective: Objective::default(),
        timeout_ms: 60_000,
    }
}

pub fn account() -> Account {
    Account {
        rate: 100_000.0,
        concurrency: 100_000,
        ..Account::default()
    }
}

/// Entries and agents with engines that serve `m@v1`.
pub async fn models(
    index: u8,
    targets: usize,
    entries: usize,
    settings: engine::Settings,
) -> Fleet {
    let settings = engine::Settings {
        model: "m".into(),
        version: "v1".into(),
        reload: true,
        ..settings
    };
    let mut fleet = empty(index, LLM);
    fleet.rig.service(LLM, spec(Backend::Model));
    for _ in 0..targets {
        let engine = engine::start(any(), settings.clone()).await.unwrap();
        let address = engine.address();
        let agent = fleet.rig.agent(LLM, address, "cb-a").await.unwrap();
        fleet.rig.agents[agent].serve("m", "v1");
        fleet.engines.push(engine);
    }
    fleet.open(entries).await;
    fleet
}

/// Entries and agents with plain services.
pub async fn ledgers(
    index: u8,
    targets: usize,
    entries: usize,
    settings: service::Settings,
) -> Fleet {
    let mut fleet = empty(index, LEDGER);
    fleet.rig.service(LEDGER, spec(Backend::Plain));
    for _ in 0..targets {
        let one = service::start(any(), settings.clone()).await.unwrap();
        let address = one.address();
        fleet.rig.agent(LEDGER, address, "cb-a").await.unwrap();
        fleet.services.push(one);
    }
    fleet.open(entries).await;
    fleet
}

pub fn empty(index: u8, name: &'static str) -> Fleet {
    let mut rig = Rig::new(index);
    rig.account("glenrosa", KEY, account());
    Fleet {
        rig,
        engines: Vec::new(),
        services: Vec::new(),
        name,
    }
}

impl Fleet {
    async fn open(&mut self, entries: usize) {
        for _ in 0..entries {
            self.rig.entry("cb-a").await.unwrap();
        }
        self.rig.publish();
        self.wait_ready(&Caller::new(KEY, false)).await;
    }

    pub async fn wait_ready(&self, caller: &Caller) {
        self.rig.wait_ready(caller, self.name).await.unwrap();
    }

    /// Waits until the number of requests that an engine runs lies in `range`.
    pub async fn wait_running(&self, engine: usize, range: impl RangeBounds<usize>) {
        let queue = || self.engines[engine].life().queue.load();
        let running = async || range.contains(&queue().running);
        let wait = harness::wait_until("running requests", LIMIT, running);
        wait.await.unwrap();
    }

    /// Executions of all services, those of the readiness check left out.
    pub fn executions(&self) -> Vec<service::Execution> {
        let all = self.services.iter().flat_map(service::Service::executions);
        all.filter(|e| e.path != "/ready").collect()
    }
}
