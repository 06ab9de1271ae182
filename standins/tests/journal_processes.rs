//! Sends bookings through real entry and agent processes while entries are killed
//! and suspended and the platform fails.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use corianderramp::digest;
use corianderramp::resource::service::JournalMode;
use corianderramp::resource::{Object, account, service as spec, vm};
use corianderramp::settings;
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::caller::Caller;
use standins::harness::{self, Place, Subnet, process::Process};
use standins::platform::faults::Faults;
use standins::{platform, service};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time;

const SERVICE: &str = "pitch-ledger";
const API_KEY: &str = "key of ayr";
const ENTRY_COUNT: u8 = 3;
const TARGET_COUNT: u8 = 2;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct Cluster {
    subnet: Subnet,
    platform: platform::Handle,
    services: Vec<service::Service>,
    settings: Vec<settings::Settings>,
    entries: Vec<Process>,
    directory: TempDir,
    agents: Vec<Process>,
}

/// One call and its outcome as the caller saw it.
struct Call {
    key: String,
    request: String,
    outcome: String,
    number: Option<u64>,
}

fn place(subnet: Subnet, name: &str, host: u8) -> Place {
    Place {
        vm: format!("{name}-{host}"),
        ip: subnet.ip(host),
        data_center: "cb-a".into(),
        region: "central-belt".into(),
    }
}

impl Cluster {
    async fn start(index: u8, mode: JournalMode) -> Self {
        let subnet = Subnet::new(index);
        let address = subnet.address(1, 6000);
        let listener = TcpListener::bind(address).await.unwrap();
        let platform = platform::start(listener, 1_000, Faults::default());
        let json = serde_json::json!({"backend": "plain", "journal": mode});
        let service: spec::Service = serde_json::from_value(json).unwrap();
        platform.force(Object::new(SERVICE, service).to_raw().unwrap());
        let account = account::Account {
            keys: Some(vec![digest::Digest::of(API_KEY.as_bytes())]),
            rate: 10_000.0,
            ..account::Account::default()
        };
        platform.force(Object::new("ayr", account).to_raw().unwrap());
        let directory = tempfile::tempdir().unwrap();
        let peers: Vec<_> = (0..ENTRY_COUNT)
            .map(|i| subnet.address(10 + i, harness::CONTROL_PORT))
            .collect();
        let mut cluster = Self {
            subnet,
            platform,
            services: Vec::new(),
            settings: Vec::new(),
            entries: Vec::new(),
            directory,
            agents: Vec::new(),
        };
        for i in 0..ENTRY_COUNT {
            let place = place(subnet, "entry", 10 + i);
            cluster.add_vm(&place.listed(""));
            let mut settings = place.entry(address, &peers);
            settings.journal.batch_ms = 20;
            settings.journal.shards = 4;
            settings.journal.resend_ms = 8_000;
            cluster.entries.push(cluster.launch(&settings));
            cluster.settings.push(settings);
        }
        for i in 0..TARGET_COUNT {
            let place = place(subnet, "target", 20 + i);
            cluster.add_vm(&place.listed(SERVICE));
            let target = place.address(harness::TARGET_PORT);
            let service = service::start(target, service::Settings::default()).await;
            cluster.services.push(service.unwrap());
            let agent = place.agent(SERVICE, address, &peers);
            let process = cluster.launch(&agent);
            cluster.agents.push(process);
        }
        cluster
    }

    fn add_vm(&self, vm: &Object<vm::Vm>) {
        self.platform.force(vm.to_raw().unwrap());
    }

    fn launch(&self, settings: &settings::Settings) -> Process {
        harness::daemon(self.directory.path(), settings).unwrap()
    }

    fn restart(&mut self, entry: usize) {
        self.entries[entry].kill();
        self.entries[entry] = self.launch(&self.settings[entry]);
    }

    /// Injects faults one after the other; each ends before the next one starts.
    async fn inject_faults(&mut self, seed: u64, until: Instant) {
        let mut random = StdRng::seed_from_u64(seed);
        while Instant::now() < until {
            let entry = random.random_range(0..self.entries.len());
            let length = Duration::from_millis(random.random_range(300..1_500));
            match random.random_range(0..5) {
                0 => self.restart(entry),
                1 => {
                    self.entries[entry].freeze();
                    time::sleep(length).await;
                    self.entries[entry].resume();
                }
                2 => {
                    self.platform.set_faults(Faults {
                        outage: true,
                        ..Faults::default()
                    });
                    time::sleep(length / 2).await;
                    self.restart(entry);
                    time::sleep(length / 2).await;
                }
                3 => {
                    self.platform.set_faults(Faults {
                        cut: vec![self.subnet.ip(10 + u8::try_from(entry).unwrap())],
                        ..Faults::default()
                    });
                    time::sleep(length).await;
                }
                _ => {
                    self.platform.set_faults(Faults {
                        lost_share: 0.4,
                        delay_ms: 20,
                        seed,
                        ..Faults::default()
                    });
                    time::sleep(length).await;
                }
            }
            self.platform.set_faults(Faults::default());
            time::sleep(Duration::from_millis(200)).await;
        }
    }
}

async fn send(subnet: Subnet, entry: u8, key: &str, request: &str) -> Call {
    let address = subnet.address(10 + entry, harness::CALLERS_PORT);
    let headers = [
        ("idempotency-key", key),
        ("x-request-id", request),
        ("x-request-timeout-ms", "1500"),
    ];
    // A new connection for each call, as with a load balancer.
    let caller = Caller::new(API_KEY, false);
    let path = format!("/{SERVICE}/book");
    let sent = caller.send(
        address,
        Method::POST,
        &path,
        &headers,
        format!("book {key}"),
    );
    let answer = time::timeout(Duration::from_secs(1), sent).await;
    let mut call = Call {
        key: key.into(),
        request: request.into(),
        outcome: "unknown".into(),
        number: None,
    };
    if let Ok(Ok(answer)) = answer {
        call.outcome = answer.header("corianderramp-outcome").into();
        if answer.status == StatusCode::OK {
            let echo: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            call.number = echo["number"].as_u64();
        }
    }
    call
}

async fn send_bookings(subnet: Subnet, seed: u64, caller: u64, until: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed * 1_000 + caller);
    let mut calls = Vec::new();
    let mut booking = 0;
    while Instant::now() < until {
        booking += 1;
        let key = format!("booking-{caller}-{booking}");
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            let request = format!("{key}-{}", calls.len());
            let entry = random.random_range(0..ENTRY_COUNT);
            let call = send(subnet, entry, &key, &request).await;
            let done = call.number.is_some();
            calls.push(call);
            if done && random.random_bool(0.7) {
                break;
            }
            time::sleep(Duration::from_millis(random.random_range(10..100))).await;
        }
    }
    calls
}

async fn run(index: u8, seed: u64, mode: JournalMode) {
    let mut cluster = Cluster::start(index, mode).await;
    let subnet = cluster.subnet;
    let mut probes = 0;
    let ready = async || {
        probes += 1;
        let key = format!("start-{probes}");
        send(subnet, 0, &key, &key).await.number.is_some()
    };
    let waited = harness::wait_until("the first booking", WAIT_TIMEOUT, ready).await;
    assert!(waited.is_ok(), "{waited:?}");
    let until = Instant::now() + Duration::from_secs(15);
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        callers.spawn(send_bookings(subnet, seed, caller, until));
    }
    cluster.inject_faults(seed, until).await;
    let calls: Vec<Call> = callers.join_all().await.into_iter().flatten().collect();
    let after = async || {
        probes += 1;
        let key = format!("end-{probes}");
        send(subnet, 1, &key, &key).await.number.is_some()
    };
    let waited = harness::wait_until("a booking after the faults", WAIT_TIMEOUT, after).await;
    assert!(waited.is_ok(), "{waited:?}");
    check_calls(&cluster, &calls, seed);
}

fn check_calls(cluster: &Cluster, calls: &[Call], seed: u64) {
    let executions: Vec<service::Execution> = cluster
        .services
        .iter()
        .flat_map(service::Service::executions)
        .collect();
    let mut keys: Vec<&str> = executions.iter().map(|e| e.key.as_str()).collect();
    keys.sort_unstable();
    let duplicates: Vec<_> = keys.windows(2).filter(|w| w[0] == w[1]).collect();
    let served: BTreeSet<&str> = calls
        .iter()
        .filter(|c| c.number.is_some())
        .map(|c| c.key.as_str())
        .collect();
    let count = |outcome| calls.iter().filter(|c| c.outcome == outcome).count();
    eprintln!(
        "seed {seed}: bookings served {} executed {} doubled {}; calls done {} not-run {} unknown {}",
        served.len(),
        keys.len(),
        duplicates.len(),
        count("done"),
        count("not-run"),
        count("unknown")
    );
    assert!(
        duplicates.is_empty(),
        "seed {seed}: executed twice: {duplicates:?}"
    );
    assert!(!served.is_empty(), "seed {seed}: no booking was served");
    for call in calls {
        if let Some(number) = call.number {
            let is_own = |e: &&service::Execution| e.key == call.key && e.number == number;
            assert!(
                executions.iter().any(|e| is_own(&e)),
                "seed {seed}: {} was answered but did not run",
                call.key
            );
        }
        if call.outcome == "not-run" {
            let ran = executions.iter().any(|e| e.request == call.request);
            assert!(
                !ran,
                "seed {seed}: {} ran although its outcome is not-run",
                call.request
            );
        }
    }
}

/// Guards against operations executed twice in `refuse` mode.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_in_refuse_mode() {
    run(1, 70, JournalMode::Refuse).await;
}

/// Guards against operations executed twice in `owner` mode.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_in_owner_mode() {
    run(2, 71, JournalMode::Owner).await;
}
