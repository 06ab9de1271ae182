//! Bookings through real entry and agent processes that are killed and
//! suspended by their process ids while the platform fails.

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

const LEDGER: &str = "pitch-ledger";
const KEY: &str = "key of ayr";
const ENTRIES: u8 = 3;
const TARGETS: u8 = 2;
const LIMIT: Duration = Duration::from_secs(60);

struct Fleet {
    subnet: Subnet,
    platform: platform::Handle,
    services: Vec<service::Service>,
    settings: Vec<settings::Settings>,
    entries: Vec<Process>,
    folder: TempDir,
    agents: Vec<Process>,
}

/// What a caller knows about one call.
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

impl Fleet {
    async fn start(index: u8, mode: JournalMode) -> Self {
        let subnet = Subnet::new(index);
        let address = subnet.address(1, 6000);
        let listener = TcpListener::bind(address).await.unwrap();
        let platform = platform::start(listener, 1_000, Faults::default());
        let json = serde_json::json!({"backend": "plain", "journal": mode});
        let ledger: spec::Service = serde_json::from_value(json).unwrap();
        platform.force(Object::new(LEDGER, ledger).to_raw().unwrap());
        let account = account::Account {
            keys: vec![digest::Digest::of(KEY.as_bytes())],
            rate: 10_000.0,
            ..account::Account::default()
        };
        platform.force(Object::new("ayr", account).to_raw().unwrap());
        let folder = tempfile::tempdir().unwrap();
        let peers: Vec<_> = (0..ENTRIES)
            .map(|i| subnet.address(10 + i, harness::CONTROL_PORT))
            .collect();
        let mut fleet = Self {
            subnet,
            platform,
            services: Vec::new(),
            settings: Vec::new(),
            entries: Vec::new(),
            folder,
            agents: Vec::new(),
        };
        for i in 0..ENTRIES {
            let place = place(subnet, "entry", 10 + i);
            fleet.list(&place.listed(""));
            let mut settings = place.entry(address, &peers);
            settings.journal.batch_ms = 20;
            settings.journal.shards = 4;
            settings.journal.resend_ms = 8_000;
            fleet.entries.push(fleet.launch(&settings));
            fleet.settings.push(settings);
        }
        for i in 0..TARGETS {
            let place = place(subnet, "target", 20 + i);
            fleet.list(&place.listed(LEDGER));
            let target = place.address(harness::TARGET_PORT);
            let one = service::start(target, service::Settings::default()).await;
            fleet.services.push(one.unwrap());
            let agent = place.agent(LEDGER, address, &peers);
            let process = fleet.launch(&agent);
            fleet.agents.push(process);
        }
        fleet
    }

    fn list(&self, vm: &Object<vm::Vm>) {
        self.platform.force(vm.to_raw().unwrap());
    }

    fn launch(&self, settings: &settings::Settings) -> Process {
        harness::daemon(self.folder.path(), settings).unwrap()
    }

    fn restart(&mut self, entry: usize) {
        self.entries[entry].kill();
        self.entries[entry] = self.launch(&self.settings[entry]);
    }

    /// One fault at a time; every fault ends before the next one begins.
    async fn disturb(&mut self, seed: u64, until: Instant) {
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
    // A connection of its own, as through a load balancer.
    let caller = Caller::new(KEY, false);
    let path = format!("/{LEDGER}/book");
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

async fn book(subnet: Subnet, seed: u64, caller: u64, until: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed * 1_000 + caller);
    let mut calls = Vec::new();
    let mut booking = 0;
    while Instant::now() < until {
        booking += 1;
        let key = format!("booking-{caller}-{booking}");
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            let request = format!("{key}-{}", calls.len());
            let entry = random.random_range(0..ENTRIES);
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
    let mut fleet = Fleet::start(index, mode).await;
    let subnet = fleet.subnet;
    let mut started = 0;
    let ready = async || {
        started += 1;
        let key = format!("start-{started}");
        send(subnet, 0, &key, &key).await.number.is_some()
    };
    let waited = harness::wait_until("the first booking", LIMIT, ready).await;
    assert!(waited.is_ok(), "{waited:?}");
    let until = Instant::now() + Duration::from_secs(15);
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        callers.spawn(book(subnet, seed, caller, until));
    }
    fleet.disturb(seed, until).await;
    let calls: Vec<Call> = callers.join_all().await.into_iter().flatten().collect();
    let after = async || {
        started += 1;
        let key = format!("end-{started}");
        send(subnet, 1, &key, &key).await.number.is_some()
    };
    let waited = harness::wait_until("a booking after the faults", LIMIT, after).await;
    assert!(waited.is_ok(), "{waited:?}");
    judge(&fleet, &calls, seed);
}

fn judge(fleet: &Fleet, calls: &[Call], seed: u64) {
    let executions: Vec<service::Execution> = fleet
        .services
        .iter()
        .flat_map(service::Service::executions)
        .collect();
    let mut keys: Vec<&str> = executions.iter().map(|e| e.key.as_str()).collect();
    keys.sort_unstable();
    let doubled: Vec<_> = keys.windows(2).filter(|w| w[0] == w[1]).collect();
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
        doubled.len(),
        count("done"),
        count("not-run"),
        count("unknown")
    );
    assert!(doubled.is_empty(), "seed {seed}: {doubled:?}");
    assert!(!served.is_empty(), "seed {seed}");
    for call in calls {
        if let Some(number) = call.number {
            let own = |e: &&service::Execution| e.key == call.key && e.number == number;
            assert!(
                executions.iter().any(|e| own(&e)),
                "{} was not run",
                call.key
            );
        }
        if call.outcome == "not-run" {
            let ran = executions.iter().any(|e| e.request == call.request);
            assert!(!ran, "seed {seed}: {} ran but says not-run", call.request);
        }
    }
}

/// Guards against operations that processes run twice in `refuse` mode.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_in_refuse_mode() {
    run(1, 70, JournalMode::Refuse).await;
}

/// Guards against operations that processes run twice in `owner` mode.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_in_owner_mode() {
    run(2, 71, JournalMode::Owner).await;
}
