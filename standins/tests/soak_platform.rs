//! Randomized soak test of gateway and host processes on the simulated users' platform.
//!
//! While callers send requests on connections that they keep, processes are stopped, killed,
//! paused, reloaded and restarted, targets misbehave, crash, pause, leave and name rate limits and waits, the
//! store rejects calls of single VMs, never answers calls of one kind or comes back from an older
//! copy, versions are released and the configuration changes; these faults overlap. The test
//! checks the responses that callers receive and the requests that targets receive.
//! `SOAK_SEEDS=1-16` selects the seeds, at most sixteen per run because each uses addresses of
//! its own. `SOAK_SECONDS` sets how long faults are injected for each seed.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use corianderramp::node::settings::{
    Bounds, Listen, Placement, Role, Settings, Target as HostTarget,
};
use corianderramp::settings;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standins::harness::process::Process;
use standins::harness::{self, Subnet};
use standins::users::{self, Behavior, Origin, Pause, Point, Silence, Store, Target};
use tokio::time;

use kept_calls::{Caller, PLAIN};
use soak_check::{End, Run};
use soak_messages::Disturbances;

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/soak_check.rs"]
mod soak_check;
#[path = "support/soak_messages.rs"]
mod soak_messages;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Seeds for CI, including those that failed before.
const SEEDS: [u64; 1] = [1];
/// Seconds of fault injection per seed in CI.
const SECONDS: u64 = 5;
/// Time limit for all gateways to serve requests again after the faults.
const RECOVERY: Duration = Duration::from_secs(12);
/// Number of chunks of a version.
const CHUNKS: usize = 8;
/// Number of concurrent callers.
const CALLERS: u64 = 6;
/// Numbers of the VMs with a host and a model engine.
const HOSTS: [u8; 3] = [10, 11, 12];
/// Numbers of the VMs that may run a gateway or host.
const VMS: std::ops::Range<u8> = 10..40;
/// Numbers of the VMs with a target of the plain service.
const DESKS: [u8; 2] = [15, 16];
/// Objects in the store at the start: the configuration and the targets.
const OBJECTS: usize = 1 + HOSTS.len() + DESKS.len();
/// Numbers of the VMs with a gateway.
const GATEWAYS: [u8; 2] = [20, 21];
/// Time from SIGTERM within which a process must exit.
const STOP_TIME: Duration = Duration::from_secs(4);
/// Time before that at which it leaves the requests that are still in progress.
const STOP_MARGIN: Duration = Duration::from_millis(600);

struct Node {
    vm: u8,
    role: Role,
    process: Process,
}

struct Soak {
    net: Subnet,
    store: Store,
    desks: Vec<Target>,
    engines: Vec<Target>,
    disturbances: Mutex<Disturbances>,
    folder: tempfile::TempDir,
    /// Version of the newest configuration.
    config: AtomicU64,
    ends: Mutex<Vec<End>>,
}

impl Soak {
    async fn start(index: u8) -> Self {
        let net = Subnet::new(index);
        let store = Store::start(net.address(1, 8000), VMS).await;
        let origin = net.address(2, 8000);
        Origin::start(origin, CHUNKS).await;
        store.put("config", "main", users::config_spec(1, origin, CHUNKS));
        let mut engines = Vec::new();
        for vm in HOSTS {
            engines.push(start_target(net, &store, vm, "llm", Behavior::Stream(1, 10)).await);
        }
        let mut desks = Vec::new();
        for vm in DESKS {
            desks.push(start_target(net, &store, vm, "desk", Behavior::Respond(PLAIN)).await);
        }
        Self {
            net,
            store,
            desks,
            engines,
            disturbances: Mutex::default(),
            folder: tempfile::tempdir().unwrap(),
            config: AtomicU64::new(1),
            ends: Mutex::default(),
        }
    }

    /// Starts a gateway or host on VM number `vm`.
    fn start_node(&self, role: Role, vm: u8) -> Node {
        let address = |port| self.net.address(vm, port);
        let listen = Listen {
            callers: address(8080),
            probes: address(8081),
        };
        let host_target = HostTarget {
            address: address(9000),
            service: "llm".into(),
        };
        let settings = Settings {
            role,
            vm: format!("vm-{vm}"),
            data_center: "z-a".into(),
            region: "r".into(),
            centers: [("z-a".to_owned(), "r".to_owned())].into(),
            address: self.net.ip(vm),
            ports: [7700, 7715],
            listen: (role == Role::Gateway).then_some(listen),
            store: Store::address_for(self.net.address(1, 8000), vm),
            target: (role == Role::Host).then_some(host_target),
            link_mbps: 100.0,
            bounds: Bounds::new(STOP_TIME.as_millis().try_into().unwrap(), 8_000, 2_000),
            metrics: Some(address(9464)),
            placement: Placement::ALL,
            log: settings::Log::default(),
        };
        let file = self.folder.path().join(format!("{vm}.toml"));
        std::fs::write(&file, toml::to_string(&settings).unwrap()).unwrap();
        let process = start(&file, &self.folder.path().join(format!("{vm}.log")));
        Node { vm, role, process }
    }

    /// Injects one random fault.
    async fn inject_fault(&self, rng: &mut StdRng, nodes: &mut [Node], version: &mut u64) {
        let index = rng.random_range(0..nodes.len());
        let (role, vm) = (nodes[index].role, nodes[index].vm);
        match rng.random_range(0..21) {
            0 => {
                let told = Instant::now();
                nodes[index].process.kill();
                self.record_end(vm, true, told);
                nodes[index] = self.start_node(role, vm);
            }
            1 => {
                let told = Instant::now();
                nodes[index].process.terminate();
                let ended = nodes[index].process.ended(STOP_TIME * 2).await;
                assert!(ended.is_some(), "VM {vm} did not stop");
                self.record_end(vm, false, told);
                nodes[index] = self.start_node(role, vm);
            }
            2 => {
                nodes[index].process.freeze();
                time::sleep(Duration::from_millis(rng.random_range(50..900))).await;
                nodes[index].process.resume();
            }
            3 => nodes[index].process.reload(),
            4 => self.store.reject_vm(vm),
            5 => {
                *version += 1;
                let spec = json!({"model": "m0", "version": *version});
                self.store.put("versions", "m0", spec);
            }
            6 => {
                let behaviors = [
                    Behavior::Decline,
                    Behavior::CloseConnection,
                    Behavior::WrongRequestId,
                    Behavior::DeclineFor("0.9"),
                ];
                let behavior = behaviors[rng.random_range(0..behaviors.len())].clone();
                self.desks[rng.random_range(0..self.desks.len())].set_behavior(behavior);
            }
            7 => {
                let kinds = ["config", "servers", "versions"];
                self.store
                    .ignore_calls(kinds[rng.random_range(0..kinds.len())]);
            }
            8 => self.desks[rng.random_range(0..self.desks.len())].crash(),
            9 => {
                let limits = [None, Some("0.5"), Some("4.0")];
                let limit = limits[rng.random_range(0..limits.len())];
                self.any_target(rng).set_rate_limit(limit);
            }
            10 => {
                // Crashes each plain target that it is sent to, until it is refused.
                let desk = &self.desks[rng.random_range(0..self.desks.len())];
                desk.set_behavior(Behavior::CrashOnPath("fatal"));
                let gateway = GATEWAYS[rng.random_range(0..GATEWAYS.len())];
                let address = self.net.address(gateway, 8080);
                let id = format!("fatal-{}", rng.random::<u64>());
                let request = users_fleet::request(Method::POST, "/book/fatal", &id);
                tokio::spawn(users_fleet::call(address, request));
            }
            11 => self.any_engine(rng).crash(),
            12 => self.restore_store(rng.random_range(1..6), *version).await,
            13 => self.pause_answers(rng),
            14 => self.any_target(rng).fall_silent(pause_time(rng)),
            15 => {
                let length = pause_time(rng);
                let service = [&self.desks, &self.engines][rng.random_range(0..2)];
                for target in service {
                    target.fall_silent(length);
                }
            }
            16 => {
                self.config.fetch_add(1, Ordering::Relaxed);
                self.put_config();
            }
            17 => {
                let waits = ["1.4", "2", "0", "-1", "soon"];
                let wait = waits[rng.random_range(0..waits.len())];
                self.any_target(rng)
                    .set_behavior(Behavior::DeclineFor(wait));
            }
            18 => {
                self.any_target(rng).set_leaving(true);
                self.disturbances.lock().add_leaving();
            }
            19 => self.any_engine(rng).set_read_delay(pause_time(rng) / 4),
            _ => {
                let last = rng.random_range(2..9);
                self.any_engine(rng).set_behavior(Behavior::Stream(1, last));
            }
        }
        if index >= HOSTS.len() {
            self.disturbances.lock().add_gateway(vm, Instant::now());
        }
        // Clearing the faults now and then makes some end while others start.
        if rng.random_range(0..3) == 0 {
            self.clear_faults();
        }
    }

    /// Lets a target that works fall silent in some answers.
    fn pause_answers(&self, rng: &mut StdRng) {
        let points = [
            Point::Head,
            Point::Start,
            Point::Midway,
            Point::Twice,
            Point::Within,
        ];
        let pause = Pause {
            every: rng.random_range(1..4),
            point: points[rng.random_range(0..points.len())],
            silence: Silence::For(pause_time(rng)),
        };
        self.any_target(rng).set_pause(Some(pause));
    }

    /// Writes the newest configuration to the store.
    fn put_config(&self) {
        let version = self.config.load(Ordering::Relaxed);
        let origin = self.net.address(2, 8000);
        let mut spec = users::config_spec(version, origin, CHUNKS);
        spec["limits"]["max_body_bytes"] = json!(65_536 + version);
        spec["limits"]["header_timeout_ms"] = json!(3_000 + version % 2 * 1_000);
        spec["routes"][0]["priority"] = json!(version % 3);
        self.store.put("config", "main", spec);
    }

    fn record_end(&self, vm: u8, was_killed: bool, told: Instant) {
        let ended = Instant::now();
        self.ends.lock().push(End {
            gateway: vm,
            was_killed,
            hit_limit: ended.duration_since(told) + STOP_MARGIN >= STOP_TIME,
            told,
            ended,
        });
    }

    /// Lets the store go back by up to `lost` changes; then all is written again.
    async fn restore_store(&self, lost: usize, version: u64) {
        let written = self.store.revision();
        self.store.go_down();
        time::sleep(Duration::from_millis(300)).await;
        // The copy has at least what was written before the start.
        self.store
            .restore(written.saturating_sub(lost).max(OBJECTS));
        for (vm, service) in targets() {
            let address = self.net.address(vm, 9000);
            let loaded = u64::from(service == "llm");
            let mut spec = users::target_spec(service, address, loaded);
            spec["born"] = self.disturbances.lock().born().into();
            self.store.put("servers", &format!("i-{vm}"), spec);
        }
        if self.config.load(Ordering::Relaxed) > 1 {
            self.put_config();
        }
        if version > 1 {
            let spec = json!({"model": "m0", "version": version});
            self.store.put("versions", "m0", spec);
        }
    }

    /// Ends the faults of the store and the targets.
    fn clear_faults(&self) {
        self.store.accept_all();
        self.store.answer_all();
        self.desks
            .iter()
            .for_each(|d| d.set_behavior(Behavior::Respond(PLAIN)));
        self.engines
            .iter()
            .for_each(|e| e.set_behavior(Behavior::Stream(1, 10)));
        let targets = self.desks.iter().chain(&self.engines);
        for target in targets {
            target.set_read_delay(Duration::ZERO);
            target.set_rate_limit(None);
            target.set_pause(None);
        }
        self.restart_targets();
    }

    /// Ends the leaving of targets, if any leaves: all begin new lifetimes.
    fn restart_targets(&self) {
        let all = self.engines.iter().chain(&self.desks);
        all.for_each(|t| t.set_leaving(false));
        let Some(born) = self.disturbances.lock().restart(Instant::now()) else {
            return;
        };
        for (vm, service) in targets() {
            let address = self.net.address(vm, 9000);
            let loaded = u64::from(service == "llm");
            let mut spec = users::target_spec(service, address, loaded);
            spec["born"] = born.into();
            self.store.put("servers", &format!("i-{vm}"), spec);
        }
    }

    fn any_engine(&self, rng: &mut StdRng) -> &Target {
        &self.engines[rng.random_range(0..self.engines.len())]
    }

    fn any_target(&self, rng: &mut StdRng) -> &Target {
        let count = self.desks.len() + self.engines.len();
        let index = rng.random_range(0..count);
        self.desks.iter().chain(&self.engines).nth(index).unwrap()
    }
}

/// Length of a pause after which a caller still waits.
fn pause_time(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(100..2_200))
}

/// Numbers of the VMs with a target, and its service.
fn targets() -> impl Iterator<Item = (u8, &'static str)> {
    let engines = HOSTS.map(|vm| (vm, "llm"));
    engines.into_iter().chain(DESKS.map(|vm| (vm, "desk")))
}

/// Starts a target and registers it in the store.
async fn start_target(
    net: Subnet,
    store: &Store,
    vm: u8,
    service: &str,
    behavior: Behavior,
) -> Target {
    let id: &'static str = format!("i-{vm}").leak();
    let address = net.address(vm, 9000);
    let version = u64::from(service == "llm");
    let target = Target::start(id, address, version, behavior).await;
    store.put("servers", id, users::target_spec(service, address, version));
    target
}

fn start(file: &Path, log: &Path) -> Process {
    let program = harness::program("corianderrampd").unwrap();
    Process::start(&program, &[file], log).unwrap()
}

async fn run(seed: u64, seconds: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let soak = Arc::new(Soak::start(u8::try_from(seed % 16).unwrap()).await);
    let mut nodes: Vec<Node> = HOSTS
        .iter()
        .map(|h| soak.start_node(Role::Host, *h))
        .collect();
    nodes.extend(GATEWAYS.iter().map(|g| soak.start_node(Role::Gateway, *g)));
    let completed = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (soak, completed, stop) = (soak.clone(), completed.clone(), stop.clone());
        let mut rng = StdRng::seed_from_u64(seed * 1_000 + caller);
        callers.push(tokio::spawn(async move {
            let mut kept = GATEWAYS.map(|g| Caller::new(soak.net.address(g, 8080)));
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let index = rng.random_range(0..GATEWAYS.len());
                let id = format!("{}-{seed}-{caller}-{number}", GATEWAYS[index]);
                let done =
                    soak_check::send(&mut kept[index], GATEWAYS[index], id, rng.random()).await;
                completed.lock().push(done);
                time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
            }
        }));
    }
    let mut version = 1;
    let end = time::Instant::now() + Duration::from_secs(seconds);
    while time::Instant::now() < end {
        time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
        soak.inject_fault(&mut rng, &mut nodes, &mut version).await;
    }
    soak.clear_faults();
    let cleared = time::Instant::now();
    for gateway in GATEWAYS {
        for is_unsafe in [true, false] {
            let mut caller = Caller::new(soak.net.address(gateway, 8080));
            for number in 0.. {
                let id = format!("{seed}-after-{gateway}-{is_unsafe}-{number}");
                let done = soak_check::send(&mut caller, gateway, id, is_unsafe).await;
                let served = done.answer.status == Some(StatusCode::OK);
                completed.lock().push(done);
                if served {
                    break;
                }
                assert!(
                    cleared.elapsed() < RECOVERY,
                    "seed {seed}: gateway {gateway} does not serve requests again"
                );
                time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let completed = completed.lock().clone();
    eprintln!(
        "seed {seed}: {} requests, version {version}",
        completed.len()
    );
    // Ends the processes, so that their logs are complete.
    for node in &nodes {
        node.process.terminate();
    }
    for node in &mut nodes {
        node.process.ended(STOP_TIME * 2).await;
    }
    let logs = GATEWAYS.map(|g| soak.folder.path().join(format!("{g}.log")));
    let targets: Vec<Target> = soak.desks.iter().chain(&soak.engines).cloned().collect();
    let run = Run {
        seed,
        completed: &completed,
        ends: &soak.ends.lock(),
        targets: &targets,
        logs: &logs.each_ref().map(std::path::PathBuf::as_path),
    };
    run.check();
    let disturbances = soak.disturbances.lock();
    for target in &targets {
        disturbances.check(seed, &target.received());
    }
}

/// Guards against unsafe requests that run twice, rejected requests that ran, truncated
/// responses or those of another request, requests that a gateway read and neither answered nor
/// refused, chunks that are loaded without a look, and gateways that do not recover after
/// overlapping faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_while_processes_and_targets_fail() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|s| s.parse().ok()).unwrap_or(SECONDS);
    let range = std::env::var("SOAK_SEEDS").unwrap_or_default();
    let seeds: Vec<u64> = match range.split_once('-') {
        Some((first, last)) => (first.parse().unwrap()..=last.parse().unwrap()).collect(),
        None => SEEDS.to_vec(),
    };
    assert!(seeds.len() <= 16, "at most 16 seeds per run");
    for seed in seeds {
        run(seed, seconds).await;
    }
}
