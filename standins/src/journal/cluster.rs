//! Cluster of entries with fault injection into processes, network and object API.

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

use super::network::{self, BlockedRoutes, Route};
use super::node::{Call, Node, SERVICE_NAME, Setup};
use super::plan::{Fault, Plan};
use super::recorder::{Event, Outcome, RecordingService};
use super::store::{Client, Faults, Store};

/// Entries with their object API, network and service.
#[derive(Debug)]
pub struct Cluster {
    /// Object API of the platform.
    pub store: Arc<Store>,
    /// Service that executes the operations.
    pub service: Arc<RecordingService>,
    /// Plan of the run.
    pub plan: Plan,
    blocked: BlockedRoutes,
    nodes: Mutex<Vec<Arc<Node>>>,
    service_objects: Vec<Arc<Object<service::Service>>>,
    vms: Mutex<Vec<Arc<Object<vm::Vm>>>>,
    revision: AtomicU64,
    started_nodes: AtomicU64,
}

impl Cluster {
    /// Starts a cluster with `plan.nodes` entries.
    ///
    /// # Panics
    /// When a local address can't be used.
    pub async fn start(plan: &Plan) -> Arc<Self> {
        let spec = serde_json::json!({"backend": "plain", "journal": plan.mode});
        let spec = serde_json::from_value(spec).expect("the service specification is valid");
        let cluster = Arc::new(Self {
            store: Arc::new(Store::new(plan.unconditional_writes)),
            service: RecordingService::new(plan.seed, plan.service_faults.0, plan.service_faults.1),
            plan: plan.clone(),
            blocked: BlockedRoutes::default(),
            nodes: Mutex::default(),
            service_objects: vec![Arc::new(Object::<service::Service>::new(
                SERVICE_NAME,
                spec,
            ))],
            vms: Mutex::default(),
            revision: AtomicU64::new(1),
            started_nodes: AtomicU64::new(0),
        });
        for i in 0..plan.nodes {
            cluster.start_node(&format!("entry-{i}")).await;
        }
        cluster
    }

    /// Registers the VM `name` and starts an entry on it. An existing VM object
    /// gets the address of the new entry.
    ///
    /// # Panics
    /// When a local address can't be used.
    pub async fn start_node(&self, name: &str) {
        let number = self.started_nodes.fetch_add(1, Ordering::SeqCst) + 1;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let relay_listener = TcpListener::bind(any_port)
            .await
            .expect("a local port is free");
        let listener = std::net::TcpListener::bind(any_port).expect("a local port is free");
        listener
            .set_nonblocking(true)
            .expect("the listener can be made non-blocking");
        let node_address = listener.local_addr().expect("the listener is bound");
        let advertise_address = relay_listener.local_addr().expect("the listener is bound");
        tokio::spawn(network::relay(
            relay_listener,
            node_address,
            self.blocked.clone(),
        ));
        let state = Arc::new(SharedState::default());
        self.register_vm(name, advertise_address);
        state.config.send_replace(Arc::new(self.next_view()));
        let seed = self.plan.seed.wrapping_mul(1_000_003).wrapping_add(number);
        let number_bytes = number.to_be_bytes();
        let process_id = std::process::id().to_be_bytes();
        let setup = Setup {
            vm: name.to_owned(),
            advertise_address,
            source_address: IpAddr::V4(Ipv4Addr::new(
                127,
                40 + process_id[3] % 80,
                number_bytes[6],
                number_bytes[7],
            )),
            journal: self.plan.journal.clone(),
            state,
            object_client: Client::new(self.store.clone(), seed),
            service: self.service.clone(),
            seed,
            pause_probability: self.plan.pause_probability,
        };
        let node = Arc::new(Node::start(setup, listener).await);
        self.nodes.lock().push(node);
        self.publish_view();
    }

    fn register_vm(&self, name: &str, control: SocketAddr) {
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
        let mut raw = object
            .to_raw()
            .expect("the VM specification can be serialized");
        let old = self.store.get(vm::Vm::KIND, name);
        raw.metadata.revision = old.map_or(0, |o| o.metadata.revision);
        let _ = self.store.put(raw);
        let mut vms = self.vms.lock();
        vms.retain(|v| v.metadata.name != name);
        let index = vms.partition_point(|v| v.metadata.name.as_str() < name);
        vms.insert(index, Arc::new(object));
    }

    /// Deletes a VM from the object API and from the nodes' configuration.
    pub fn remove_vm(&self, name: &str) {
        self.store.remove(Kind::Vm, name);
        self.vms.lock().retain(|v| v.metadata.name != name);
        self.publish_view();
    }

    fn next_view(&self) -> config::View {
        config::View {
            complete: self.revision.fetch_add(1, Ordering::SeqCst),
            services: self.service_objects.clone(),
            vms: self.vms.lock().clone(),
            ..config::View::default()
        }
    }

    fn publish_view(&self) {
        let view = Arc::new(self.next_view());
        for node in self.nodes.lock().iter() {
            node.setup.state.config.send_replace(view.clone());
        }
    }

    /// Nodes that are running.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.lock().clone()
    }

    /// Kills a node. Its VM stays registered.
    pub fn kill(&self, node: &Arc<Node>) {
        node.kill();
        self.nodes.lock().retain(|n| !Arc::ptr_eq(n, node));
    }

    /// Blocks the traffic between two nodes in both directions for `duration`.
    pub async fn partition(&self, a: &Node, b: &Node, duration: Duration) {
        let routes = [(a, b), (b, a)].map(|(from, to)| Route {
            from: from.setup.source_address,
            to: to.setup.advertise_address,
        });
        for route in routes {
            self.blocked.block(route);
        }
        time::sleep(duration).await;
        for route in routes {
            self.blocked.unblock(route);
        }
    }

    /// Injects a fault into a random node or the object API and waits for its end.
    pub async fn inject_fault(self: &Arc<Self>, fault: Fault, random: &mut StdRng) {
        let nodes = self.nodes();
        let Some(node) = nodes.choose(random) else {
            return;
        };
        let length = Duration::from_millis(random.random_range(100..1_500));
        match fault {
            Fault::Kill => {
                self.kill(node);
                self.replace_node(node, random.random_bool(0.5)).await;
            }
            Fault::Pause => node.pause(length.min(Duration::from_millis(700))),
            Fault::Outage => self.inject_store_faults(length, outage()).await,
            Fault::Latency => self.inject_store_faults(length, high_latency()).await,
            Fault::MessageLoss => self.inject_store_faults(length, message_loss()).await,
            Fault::Isolation => {
                node.setup.object_client.set_isolated(true);
                time::sleep(length).await;
                node.setup.object_client.set_isolated(false);
            }
            Fault::Partition => {
                let other = nodes.choose(random).unwrap_or(node);
                self.partition(node, other, length).await;
            }
            Fault::Drain => {
                node.hand_over(Duration::from_secs(1)).await;
                self.kill(node);
                self.replace_node(node, random.random_bool(0.5)).await;
            }
        }
    }

    async fn replace_node(&self, node: &Node, same_vm: bool) {
        if same_vm {
            return self.start_node(&node.setup.vm).await;
        }
        time::sleep(Duration::from_millis(200)).await;
        self.remove_vm(&node.setup.vm);
        let number = self.started_nodes.load(Ordering::SeqCst);
        self.start_node(&format!("entry-new-{number}")).await;
    }

    /// Applies `faults` to the whole object API for `duration`, then clears all of
    /// its faults.
    pub async fn inject_store_faults(&self, duration: Duration, faults: Faults) {
        self.store.set_faults(faults);
        time::sleep(duration).await;
        self.store.set_faults(Faults::default());
    }

    /// Runs one operation of a caller: sends it to random entries until a call is
    /// done or `RETRY_TIMEOUT` is over, then once more. Returns the outcomes of
    /// all calls.
    pub(super) async fn run_operation(&self, key: u64, random: &mut StdRng) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let end = Instant::now() + RETRY_TIMEOUT;
        loop {
            let count = if random.random_bool(self.plan.duplicate_probability) {
                2
            } else {
                1
            };
            let mut calls = Vec::new();
            for _ in 0..count {
                let nodes = self.nodes();
                if let Some(node) = nodes.choose(random) {
                    calls.push(self.send_call(key, node.clone(), self.plan.call_timeout));
                }
            }
            let results = futures_util::future::join_all(calls).await;
            outcomes.extend(&results);
            let done = results.iter().any(|o| matches!(o, Outcome::Done(_)));
            if done || Instant::now() >= end {
                // A late duplicate must get the recorded outcome and not be executed.
                time::sleep(Duration::from_millis(random.random_range(0..1_000))).await;
                let nodes = self.nodes();
                if let Some(node) = nodes.choose(random) {
                    outcomes.push(
                        self.send_call(key, node.clone(), self.plan.call_timeout)
                            .await,
                    );
                }
                return outcomes;
            }
            time::sleep(Duration::from_millis(random.random_range(20..150))).await;
        }
    }

    /// Sends one call to a node and adds it to the history. The outcome is
    /// `Unknown` when no response arrives within `timeout`.
    pub async fn send_call(&self, key: u64, node: Arc<Node>, timeout: Duration) -> Outcome {
        let begin = self.service.next_position();
        let call = Call {
            key,
            id: begin,
            deadline: Instant::now() + MIN_CALL_DEADLINE.max(timeout),
        };
        let response = time::timeout(timeout, node.call(call)).await;
        let outcome = response
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Outcome::Unknown);
        let event = Event::Call {
            call_id: begin,
            outcome,
        };
        self.service.record(key, event, begin);
        outcome
    }
}

/// Time for which a caller retries an operation.
const RETRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Shortest deadline of a call, also when its caller stops waiting earlier.
const MIN_CALL_DEADLINE: Duration = Duration::from_millis(900);

/// Faults of an object API that is down.
#[must_use]
pub fn outage() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

fn high_latency() -> Faults {
    Faults {
        max_delay: Duration::from_millis(400),
        ..Faults::default()
    }
}

fn message_loss() -> Faults {
    Faults {
        request_loss: 0.1,
        response_loss: 0.3,
        delayed_writes: 0.2,
        max_delay: Duration::from_millis(10),
        ..Faults::default()
    }
}
