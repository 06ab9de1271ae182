//! Entries and agents of the real system in one process, with a configuration
//! and served versions that are set directly. For tests and measurements of
//! the request path alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use corianderramp::burn;
use corianderramp::clock;
use corianderramp::control;
use corianderramp::daemon::Context;
use corianderramp::digest::Digest;
use corianderramp::entry::operation::{Journal, Permit, Reservation};
use corianderramp::entry::route::Policy;
use corianderramp::journal::{Operation, Receipt};
use corianderramp::resource::{Object, account, drain, service, vm};
use corianderramp::shared_state::{ModelVersion, Phase, SharedState};
use corianderramp::{agent, config, entry, settings};
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::harness::{self, Place, Subnet};
use crate::toolkit;

/// Host number of the first agent; entries have lower ones.
const FIRST_AGENT: usize = 40;

/// A process of the system: an entry or an agent.
#[derive(Debug)]
pub struct Node {
    /// Where it runs.
    pub place: Place,
    /// Its shared state.
    pub ctx: Context,
    /// Counts of outcomes; entries only.
    pub counter: burn::Counter,
    /// VM as it is listed.
    pub listed: Object<vm::Vm>,
}

impl Node {
    /// Address for requests: callers' at entries, entries' at agents.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match self.listed.spec.requests {
            Some(address) => address,
            None => self.place.address(harness::CALLERS_PORT),
        }
    }

    /// Begins a planned stop, as the daemon does on SIGTERM.
    pub fn drain(&self) {
        self.ctx.state.phase.send_replace(Phase::Draining);
    }

    /// Sets the version that the agent may serve.
    pub fn serve(&self, model: &str, version: &str) {
        let serving = ModelVersion {
            model: model.to_owned(),
            version: version.to_owned(),
            generation: 1,
        };
        self.ctx.state.serving.send_replace(Some(serving));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.ctx.stop.cancel();
    }
}

/// Entries and agents with their configuration.
#[derive(Debug)]
pub struct Rig {
    subnet: Subnet,
    /// Configuration that [`Rig::publish`] sends to all nodes.
    pub view: config::View,
    /// Entries.
    pub entries: Vec<Node>,
    /// Agents.
    pub agents: Vec<Node>,
    /// Journal that all entries share.
    pub journal: Table,
    /// Routing of later entries.
    pub policy: Policy,
    /// Limits of later entries.
    pub limits: settings::Limits,
    /// Slots of later agents.
    pub slots: u32,
}

impl Rig {
    /// Empty rig; tests of one file use different numbers.
    #[must_use]
    pub fn new(index: u8) -> Self {
        Self {
            subnet: Subnet::new(index),
            view: config::View::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            journal: Table::default(),
            policy: Policy::default(),
            limits: settings::Limits::default(),
            slots: 16,
        }
    }

    /// Adds a service.
    pub fn service(&mut self, name: &str, spec: service::Service) {
        insert(&mut self.view.services, Object::new(name, spec));
    }

    /// Adds an account with one key.
    pub fn account(&mut self, name: &str, key: &str, mut spec: account::Account) {
        spec.keys = Some(vec![Digest::of(key.as_bytes())]);
        insert(&mut self.view.accounts, Object::new(name, spec));
    }

    /// Adds a drain request for a VM.
    pub fn drain_object(&mut self, vm: &str) {
        let spec = drain::Drain::default();
        insert(&mut self.view.drains, Object::new(vm, spec));
    }

    /// Starts an agent in front of the target at `address`.
    ///
    /// # Errors
    /// Fails when an address is taken.
    pub async fn agent(
        &mut self,
        service: &str,
        address: SocketAddr,
        data_center: &str,
    ) -> Result<usize, toolkit::Error> {
        let number = self.agents.len();
        let place = self.place(FIRST_AGENT + number, &format!("t{number:03}"), data_center);
        let mut settings = place.agent(service, address, &[]);
        if let Some(target) = settings.target.as_mut() {
            target.address = address;
            target.slots = self.slots;
        }
        let listener = toolkit::bind(place.address(harness::REQUESTS_PORT)).await?;
        let ctx = context(settings);
        let reports = agent::start_without_switch(&ctx, clock::System, listener);
        control(&ctx, &place, Routes::new(reports)).await?;
        let listed = place.listed(service);
        insert(&mut self.view.vms, listed.clone());
        self.agents.push(Node {
            place,
            ctx,
            counter: burn::Counter::default(),
            listed,
        });
        Ok(number)
    }

    /// Starts an entry.
    ///
    /// # Errors
    /// Fails when an address is taken.
    pub async fn entry(&mut self, data_center: &str) -> Result<usize, toolkit::Error> {
        let number = self.entries.len();
        let place = self.place(1 + number, &format!("e{number:03}"), data_center);
        let mut settings = place.entry(place.address(1), &[]);
        settings.limits = self.limits.clone();
        let listener = toolkit::bind(place.address(harness::CALLERS_PORT)).await?;
        let ctx = context(settings);
        let counter = burn::Counter::default();
        let shares = entry::start_with(
            &ctx,
            clock::System,
            listener,
            self.journal.clone(),
            counter.clone(),
            self.policy,
        );
        control(&ctx, &place, Routes::new(shares)).await?;
        let listed = place.listed("");
        insert(&mut self.view.vms, listed.clone());
        self.entries.push(Node {
            place,
            ctx,
            counter,
            listed,
        });
        Ok(number)
    }

    /// Sends the configuration to all nodes.
    pub fn publish(&self) {
        let view = Arc::new(self.view.clone());
        for node in self.entries.iter().chain(&self.agents) {
            node.ctx.state.config.send_replace(view.clone());
        }
    }

    /// Waits until every entry has an answer from a target for `body` at `path`.
    ///
    /// # Errors
    /// Fails after 30 s.
    pub async fn wait_ready(
        &self,
        client: &crate::caller::Caller,
        service: &str,
    ) -> Result<(), toolkit::Error> {
        for node in &self.entries {
            let address = node.address();
            harness::wait_until(
                "an entry with targets",
                Duration::from_secs(30),
                async || client.is_ready(address, service).await,
            )
            .await?;
        }
        Ok(())
    }

    fn place(&self, host: usize, vm: &str, data_center: &str) -> Place {
        let host = u8::try_from(host).unwrap_or(u8::MAX);
        Place {
            vm: vm.to_owned(),
            ip: self.subnet.ip(host),
            data_center: data_center.to_owned(),
            region: data_center.to_owned(),
        }
    }
}

fn insert<S>(sorted: &mut Vec<Arc<Object<S>>>, object: Object<S>) {
    let name = object.metadata.name.clone();
    match sorted.binary_search_by(|o| o.metadata.name.cmp(&name)) {
        Ok(i) => sorted[i] = Arc::new(object),
        Err(i) => sorted.insert(i, Arc::new(object)),
    }
}

fn context(settings: settings::Settings) -> Context {
    let state = SharedState::default();
    state.phase.send_replace(Phase::Ready);
    Context {
        pool: Arc::new(control::Pool::new(settings.bind)),
        settings: Arc::new(settings),
        state: Arc::new(state),
        boot: corianderramp::objects::new_id(),
        stop: CancellationToken::new(),
    }
}

async fn control(ctx: &Context, place: &Place, routes: Routes) -> Result<(), toolkit::Error> {
    let listener = toolkit::bind(place.address(harness::CONTROL_PORT)).await?;
    let stop = ctx.stop.clone();
    tokio::spawn(async move { control::serve(listener, routes, stop).await });
    Ok(())
}

/// Journal in memory, shared by the entries of a rig.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Arc<Mutex<Vec<Row>>>,
    unavailable: Arc<Mutex<bool>>,
}

#[derive(Debug)]
struct Row {
    operation: Operation,
    deadline: Instant,
    receipt: Option<Receipt>,
}

/// Right to run an operation of a [`Table`] once.
#[derive(Debug)]
pub struct TablePermit {
    table: Table,
    operation: Operation,
}

impl Table {
    /// Makes the journal refuse reservations, or take them again.
    pub fn set_unavailable(&self, unavailable: bool) {
        *self.unavailable.lock() = unavailable;
    }
}

impl Journal for Table {
    type Permit = TablePermit;

    async fn reserve(&self, operation: Operation, deadline: Instant) -> Reservation<TablePermit> {
        if *self.unavailable.lock() {
            return Reservation::Unavailable;
        }
        let mut rows = self.rows.lock();
        let same = |r: &&Row| {
            let (a, b) = (&r.operation, &operation);
            (&a.account, &a.service, &a.key) == (&b.account, &b.service, &b.key)
        };
        if let Some(row) = rows.iter().find(same) {
            return match &row.receipt {
                _ if row.operation.fingerprint != operation.fingerprint => Reservation::Mismatch,
                Some(receipt) => Reservation::Done(receipt.clone()),
                None if Instant::now() < row.deadline => Reservation::InProgress,
                None => Reservation::Unknown,
            };
        }
        rows.push(Row {
            operation: operation.clone(),
            deadline,
            receipt: None,
        });
        Reservation::Fresh(TablePermit {
            table: self.clone(),
            operation,
        })
    }
}

impl Permit for TablePermit {
    fn complete(self, receipt: Receipt) {
        let mut rows = self.table.rows.lock();
        if let Some(row) = rows.iter_mut().find(|r| r.operation == self.operation) {
            row.receipt = Some(receipt);
        }
    }

    fn abort(self) {
        let mut rows = self.table.rows.lock();
        rows.retain(|r| r.operation != self.operation);
    }
}
