//! Gateways and hosts of the users' platform in the test's process, with its stand-ins.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use corianderramp::clock;
use corianderramp::net;
use corianderramp::node::settings::{
    Bounds, Listen, Placement, Role, Settings, Target as HostTarget,
};
use corianderramp::node::stop::Signals;
use corianderramp::{gateway, host, settings};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use standins::harness::process::Process;
use standins::harness::{self, Subnet};
use standins::users::{self, Behavior, Origin, Store, Target};
use tokio::runtime::{Builder, Runtime};
use tokio::time;

/// Time limit for expected events; long enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Number of chunks of a version.
pub const CHUNKS: usize = 12;
/// Numbers of the VMs that may run a gateway or host.
pub const VMS: std::ops::Range<u8> = 10..40;

pub struct Fleet {
    pub net: Subnet,
    pub store: Store,
    pub origin: Origin,
    /// Time limits of the deployment.
    pub bounds: Bounds,
}

/// Time limits of today's deployments.
pub fn bounds() -> Bounds {
    Bounds {
        stop_ms: 8_000,
        weights_ms: 8_000,
        config_ms: 2_000,
        leaving_ms: None,
        evacuation_ms: None,
        cold_overage: None,
        cold_slack: None,
    }
}

impl Fleet {
    pub async fn start(index: u8) -> Self {
        let net = Subnet::new(index);
        let store = Store::start(net.address(1, 8000), VMS).await;
        let origin = Origin::start(net.address(2, 8000), CHUNKS).await;
        store.put(
            "config",
            "main",
            users::config_spec(1, net.address(2, 8000), CHUNKS),
        );
        Self {
            net,
            store,
            origin,
            bounds: bounds(),
        }
    }

    /// Starts a target on VM number `vm` and registers it in the store.
    pub async fn target(&self, vm: u8, service: &str, version: u64, behavior: Behavior) -> Target {
        let id: &'static str = format!("i-{vm}").leak();
        let address = self.net.address(vm, 9000);
        let target = Target::start(id, address, version, behavior).await;
        self.store
            .put("servers", id, users::target_spec(service, address, version));
        target
    }

    pub fn settings(&self, role: Role, vm: u8) -> Settings {
        let ports = [7700, 7715];
        let host_target = HostTarget {
            address: self.net.address(vm, 9000),
            service: "llm".into(),
        };
        let listen = Listen {
            callers: self.net.address(vm, 8080),
            probes: self.net.address(vm, 8081),
        };
        Settings {
            role,
            vm: format!("vm-{vm}"),
            data_center: "z-a".into(),
            region: "r".into(),
            centers: [("z-a".to_owned(), "r".to_owned())].into(),
            address: self.net.ip(vm),
            ports,
            listen: (role == Role::Gateway).then_some(listen),
            store: Store::address_for(self.net.address(1, 8000), vm),
            target: (role == Role::Host).then_some(host_target),
            link_mbps: 100.0,
            bounds: self.bounds.clone(),
            metrics: None,
            placement: Placement::ALL,
            log: settings::Log::default(),
        }
    }

    /// Starts a gateway on VM number `vm`; returns its address for callers.
    pub fn gateway(&self, vm: u8) -> SocketAddr {
        let settings = self.settings(Role::Gateway, vm);
        let signals = Signals::install(PathBuf::new()).unwrap();
        tokio::spawn(gateway::run(settings, signals, clock::System));
        self.net.address(vm, 8080)
    }

    /// Starts a gateway on VM number `vm` that can be killed.
    pub fn gateway_node(&self, vm: u8) -> Node {
        start_node(self.settings(Role::Gateway, vm))
    }

    /// Starts a host on VM number `vm` that can be killed.
    pub fn host_node(&self, vm: u8) -> Node {
        start_node(self.settings(Role::Host, vm))
    }

    /// Starts a gateway or host on VM number `vm` as a process, with its files in `folder`.
    pub fn process(&self, role: Role, vm: u8, folder: &Path) -> Process {
        start_process(&self.settings(role, vm), folder)
    }

    /// Starts a host on VM number `vm`.
    pub fn host(&self, vm: u8) {
        let settings = self.settings(Role::Host, vm);
        let signals = Signals::install(PathBuf::new()).unwrap();
        tokio::spawn(host::run(settings, signals, clock::System));
    }
}

/// Starts a gateway or host as a process, with its files in `folder`.
pub fn start_process(settings: &Settings, folder: &Path) -> Process {
    let file = folder.join(format!("{}.toml", settings.vm));
    std::fs::write(&file, toml::to_string(settings).unwrap()).unwrap();
    let program = harness::program("corianderrampd").unwrap();
    let log = folder.join(format!("{}.log", settings.vm));
    Process::start(&program, &[&file], &log).unwrap()
}

/// Gateway or host with threads of its own, which ends as if killed when this is dropped.
pub struct Node {
    runtime: Option<Runtime>,
    address: SocketAddr,
}

impl Node {
    /// Ends all tasks at once and waits until the addresses are free again.
    pub async fn kill(mut self) {
        self.stop();
        while std::net::UdpSocket::bind(self.address).is_err() {
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn stop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop();
    }
}

fn start_node(settings: Settings) -> Node {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let address = settings.message_address();
    runtime.spawn(async move {
        let signals = Signals::install(PathBuf::new()).unwrap();
        match settings.role {
            Role::Gateway => gateway::run(settings, signals, clock::System).await,
            Role::Host => host::run(settings, signals, clock::System).await,
        }
    });
    Node {
        runtime: Some(runtime),
        address,
    }
}

pub fn request(method: Method, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example")
        .header("x-corianderramp-request-id", id)
        .header("x-corianderramp-deadline-ms", "2500")
        .header("x-corianderramp-token-count", "100,10")
        .header("x-corianderramp-model", "m0")
        .header("x-corianderramp-tenant", "somebody else")
        .header("api-key", "key-1")
        .body(Full::from("body"))
        .unwrap()
}

pub async fn call(
    gateway: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, net::Error> {
    net::call_once(gateway, request, Duration::from_secs(5), 1 << 20).await
}

/// Repeats a request until the response is 200, which needs the gateway to know the targets.
pub async fn call_until_ok(gateway: SocketAddr, method: Method, path: &str) -> Response<Bytes> {
    let retry = async {
        loop {
            let response = call(gateway, request(method.clone(), path, "warm-up")).await;
            if let Ok(response) = response
                && response.status() == StatusCode::OK
            {
                return response;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(TIMEOUT, retry)
        .await
        .expect("the gateway did not serve the request in time")
}

pub async fn wait_until(condition: &str, check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {condition}"));
}
