//! A group of entries whose processes, links and platform can be disturbed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use corianderramp::config;
use corianderramp::resource::{Kind, Object, Resource, service, vm};
use corianderramp::shared_state::SharedState;
use parking_lot::Mutex;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::net::TcpListener;
use tokio::time;

use super::ledger::{Ledger, Outcome, Step};
use super::node::{Call, Node, SERVICE, Setup};
use super::plan::{Fault, Plan};
use super::store::{Faults, Link, Store};
use super::wire::{self, Cut, Cuts};

/// A group of entries with their platform, links and service.
#[derive(Debug)]
pub struct Cluster {
    /// Platform.
    pub store: Arc<Store>,
    /// Executing service.
    pub ledger: Arc<Ledger>,
    /// What the group is for.
    pub plan: Plan,
    cuts: Cuts,
    nodes: Mutex<Vec<Arc<Node>>>,
    services: Vec<Arc<Object<service::Service>>>,
    vms: Mutex<Vec<Arc<Object<vm::Vm>>>>,
    revision: AtomicU64,
    started: AtomicU64,
}

impl Cluster {
    /// Starts the entries.
    ///
    /// # Panics
    /// When a local address can't be used.
    pub async fn start(plan: &Plan) -> Arc<Self> {
        let spec = serde_json::json!({"backend": "plain", "journal": plan.mode});
        let spec = serde_json::from_value(spec).expect("the service is complete");
        let cluster = Arc::new(Self {
            store: Arc::new(Store::new(plan.unconditional)),
            ledger: Ledger::new(plan.seed, plan.service.0, plan.service.1),
            plan: plan.clone(),
            cuts: Cuts::default(),
            nodes: Mutex::default(),
            services: vec![Arc::new(Object::<service::Service>::new(SERVICE, spec))],
            vms: Mutex::default(),
            revision: AtomicU64::new(1),
            started: AtomicU64::new(0),
        });
        for i in 0..plan.nodes {
            cluster.join(&format!("entry-{i}")).await;
        }
        cluster
    }

    /// Starts a process on a VM; a new VM joins the list.
    ///
    /// # Panics
    /// When a local address can't be used.
    pub async fn join(&self, name: &str) {
        let number = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let near = TcpListener::bind(any).await.expect("a port is free");
        let listener = std::net::TcpListener::bind(any).expect("a port is free");
        listener.set_nonblocking(true).expect("the listener works");
        let target = listener.local_addr().expect("the listener is bound");
        let advertise = near.local_addr().expect("the listener is bound");
        tokio::spawn(wire::relay(near, target, self.cuts.clone()));
        let state = Arc::new(SharedState::default());
        self.list(name, advertise);
        state.config.send_replace(Arc::new(self.view()));
        let seed = self.plan.seed.wrapping_mul(1_000_003).wrapping_add(number);
        let low = number.to_be_bytes();
        let process = std::process::id().to_be_bytes();
        let setup = Setup {
            vm: name.to_owned(),
            advertise,
            bind: IpAddr::V4(Ipv4Addr::new(127, 40 + process[3] % 80, low[6], low[7])),
            journal: self.plan.journal.clone(),
            state,
            link: Link::new(self.store.clone(), seed),
            ledger: self.ledger.clone(),
            seed,
            pauses: self.plan.pauses,
        };
        let node = Arc::new(Node::start(setup, listener).await);
        self.nodes.lock().push(node);
        self.publish();
    }

    fn list(&self, name: &str, control: SocketAddr) {
        let spec = vm::Vm {
            data_center: "cb-a".into(),
            region: "central-belt".into(),
            role: vm::Role::Entry,
            service: String::new(),
            control,
            requests: None,
            phase: vm::Phase::Live,
        };
        let object = Object::new(name, spec);
        let mut raw = object.to_raw().expect("the VM is complete");
        let old = self.store.get(vm::Vm::KIND, name);
        raw.metadata.revision = old.map_or(0, |o| o.metadata.revision);
        let _ = self.store.put(raw);
        let mut vms = self.vms.lock();
        vms.retain(|v| v.metadata.name != name);
        let place = vms.partition_point(|v| v.metadata.name.as_str() < name);
        vms.insert(place, Arc::new(object));
    }

    /// Removes a VM from the list.
    pub fn unlist(&self, name: &str) {
        self.store.remove(Kind::Vm, name);
        self.vms.lock().retain(|v| v.metadata.name != name);
        self.publish();
    }

    fn view(&self) -> config::View {
        config::View {
            complete: self.revision.fetch_add(1, Ordering::SeqCst),
            services: self.services.clone(),
            vms: self.vms.lock().clone(),
            ..config::View::default()
        }
    }

    fn publish(&self) {
        let view = Arc::new(self.view());
        for node in self.nodes.lock().iter() {
            node.setup.state.config.send_replace(view.clone());
        }
    }

    /// Nodes that run now.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.lock().clone()
    }

    /// Kills a node. Its VM stays in the list.
    pub fn kill(&self, node: &Arc<Node>) {
        node.kill();
        self.nodes.lock().retain(|n| !Arc::ptr_eq(n, node));
    }

    /// Cuts the link between two nodes in both directions for a time.
    pub async fn partition(&self, a: &Node, b: &Node, time: Duration) {
        let cuts = [(a, b), (b, a)].map(|(from, to)| Cut {
            from: from.setup.bind,
            to: to.setup.advertise,
        });
        for cut in cuts {
            self.cuts.add(cut);
        }
        time::sleep(time).await;
        for cut in cuts {
            self.cuts.remove(cut);
        }
    }

    /// Lets a fault happen and waits for its end.
    pub async fn fault(self: &Arc<Self>, fault: Fault, random: &mut StdRng) {
        let nodes = self.nodes();
        let Some(node) = nodes.choose(random) else {
            return;
        };
        let length = Duration::from_millis(random.random_range(100..1_500));
        match fault {
            Fault::Kill => {
                self.kill(node);
                self.replace(node, random.random_bool(0.5)).await;
            }
            Fault::Freeze => node.pause(length.min(Duration::from_millis(700))),
            Fault::Outage => self.condition(length, down()).await,
            Fault::Slow => self.condition(length, slow()).await,
            Fault::Loss => self.condition(length, lossy()).await,
            Fault::Isolation => {
                node.setup.link.cut(true);
                time::sleep(length).await;
                node.setup.link.cut(false);
            }
            Fault::Partition => {
                let other = nodes.choose(random).unwrap_or(node);
                self.partition(node, other, length).await;
            }
            Fault::Drain => {
                node.hand_over(Duration::from_secs(1)).await;
                self.kill(node);
                self.replace(node, random.random_bool(0.5)).await;
            }
        }
    }

    async fn replace(&self, node: &Node, same: bool) {
        if same {
            return self.join(&node.setup.vm).await;
        }
        time::sleep(Duration::from_millis(200)).await;
        self.unlist(&node.setup.vm);
        let number = self.started.load(Ordering::SeqCst);
        self.join(&format!("entry-new-{number}")).await;
    }

    /// Puts the platform into a condition for a time.
    pub async fn condition(&self, time: Duration, faults: Faults) {
        self.store.set(faults);
        time::sleep(time).await;
        self.store.set(Faults::default());
    }

    /// One operation of a caller: it is sent to other entries until it is done
    /// or the time for resends is over.
    pub(super) async fn operate(&self, key: u64, random: &mut StdRng) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let end = Instant::now() + RESENDS;
        loop {
            let count = if random.random_bool(self.plan.twice) {
                2
            } else {
                1
            };
            let mut calls = Vec::new();
            for _ in 0..count {
                let nodes = self.nodes();
                if let Some(node) = nodes.choose(random) {
                    calls.push(self.send(key, node.clone(), self.plan.call));
                }
            }
            let results = futures_util::future::join_all(calls).await;
            outcomes.extend(&results);
            let done = results.iter().any(|o| matches!(o, Outcome::Done(_)));
            if done || Instant::now() >= end {
                // A late copy must meet what is known about the operation.
                time::sleep(Duration::from_millis(random.random_range(0..1_000))).await;
                let nodes = self.nodes();
                if let Some(node) = nodes.choose(random) {
                    outcomes.push(self.send(key, node.clone(), self.plan.call).await);
                }
                return outcomes;
            }
            time::sleep(Duration::from_millis(random.random_range(20..150))).await;
        }
    }

    /// Sends one call to a node and records it; `Unknown` after `limit`.
    pub async fn send(&self, key: u64, node: Arc<Node>, limit: Duration) -> Outcome {
        let begin = self.ledger.tick();
        let call = Call {
            key,
            call: begin,
            deadline: Instant::now() + ATTEMPT.max(limit),
        };
        let answer = time::timeout(limit, node.call(call)).await;
        let outcome = answer.ok().and_then(Result::ok).unwrap_or(Outcome::Unknown);
        let step = Step::Call {
            call: begin,
            outcome,
        };
        self.ledger.record(key, step, begin);
        outcome
    }
}

/// Time in which a caller resends.
const RESENDS: Duration = Duration::from_millis(1_500);
/// Deadline of one call.
const ATTEMPT: Duration = Duration::from_millis(900);

/// A platform that does not answer.
#[must_use]
pub fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

fn slow() -> Faults {
    Faults {
        delay: Duration::from_millis(400),
        ..Faults::default()
    }
}

fn lossy() -> Faults {
    Faults {
        lost: 0.1,
        unanswered: 0.3,
        late: 0.2,
        delay: Duration::from_millis(10),
        ..Faults::default()
    }
}
