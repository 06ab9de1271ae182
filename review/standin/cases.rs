//! The cases: what happens when, and the check of the rule.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::net::{self, Answer, Subnet};
use crate::world::{self, DRAIN, GRACE, Origin, Process, Record, STABLE, Server, Servers, Store, Work};

const GATEWAYS: [u8; 3] = [11, 12, 13];
const LEDGERS: [u8; 3] = [21, 22, 23];
const ENGINES: [u8; 3] = [31, 32, 33];
/// Time that a plain server works on a request.
const WORK: Duration = Duration::from_millis(15);
/// Time from a SIGTERM until a client opens its channel.
const OPENED: Duration = Duration::from_millis(1_500);
/// Time from a SIGTERM until that client sends its first request, within the 3 s of
/// `header_timeout_ms`.
const SENT: Duration = Duration::from_millis(3_200);
/// Time for which a VM is frozen.
const FROZEN: Duration = Duration::from_millis(4_000);
/// Time from the kill of a process until the platform starts it again.
const RESTART: Duration = Duration::from_millis(250);
/// Time for a warm-up on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(30);

fn error(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

/// A small deployment in one data centre: three gateways, three engines with a host each, three
/// servers of a plain service, and the platform's store.
struct Deployment {
    record: Record,
    store: Store,
    servers: Servers,
    ledgers: Vec<Server>,
    engines: Vec<Server>,
    origin: Origin,
    gateways: Vec<Process>,
    hosts: Vec<Process>,
    /// Addresses of the gateways for clients.
    callers: Vec<SocketAddr>,
    /// Addresses of the gateways for the platform's balancer.
    probes: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts everything and waits until the gateway serves and has been in touch for long enough.
    fn start(
        folder: &Path,
        temporary: &Path,
        engine: Work,
        deadly: Option<&'static str>,
        spoilt: u64,
    ) -> io::Result<Self> {
        let record = Record::create(&folder.join("record.txt"))?;
        let net = Subnet::free().ok_or_else(|| error("no free loopback addresses"))?;
        let store_address = net.address(1, 8007);
        let store = Store::start(store_address, &record)?;
        let servers = Servers::new(&store, &record);
        let origin = Origin::start(net.address(2, 9000), spoilt, &record)?;
        store.write("config", "main", Some(&world::config(net.address(2, 9000))));
        let mut ledgers = Vec::new();
        for vm in LEDGERS {
            let (id, address) = (format!("i-ledger{vm}"), net.address(vm, 9000));
            ledgers.push(servers.start(&id, address, Work::Plain(WORK), None)?);
        }
        let (mut engines, mut hosts) = (Vec::new(), Vec::new());
        for vm in ENGINES {
            let (id, address) = (format!("i-engine{vm}"), net.address(vm, 9000));
            engines.push(servers.start(&id, address, engine, deadly)?);
            let settings = world::settings(temporary, net, "host", vm, store_address)?;
            hosts.push(Process::start(&format!("host-{vm}"), &settings, &record)?);
        }
        let mut gateways = Vec::new();
        for vm in GATEWAYS {
            let settings = world::settings(temporary, net, "gateway", vm, store_address)?;
            gateways.push(Process::start(&format!("gateway-{vm}"), &settings, &record)?);
        }
        let deployment = Self {
            record,
            store,
            servers,
            ledgers,
            engines,
            origin,
            gateways,
            hosts,
            callers: GATEWAYS.map(|vm| net.address(vm, 8005)).to_vec(),
            probes: GATEWAYS.map(|vm| net.address(vm, 8002)).to_vec(),
        };
        deployment.warm_up()?;
        Ok(deployment)
    }

    fn warm_up(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        for (gateway, callers) in self.callers.iter().enumerate() {
            let is_served = || {
                self.is_ready(gateway)
                    && check(&self.record, *callers, "warm").is_some_and(|a| a.status == 200)
            };
            let mut served = 0;
            while served < 5 {
                if Instant::now() > end {
                    return Err(error("a gateway did not serve in time"));
                }
                thread::sleep(Duration::from_millis(50));
                served = if is_served() { served + 1 } else { 0 };
            }
        }
        while !plan(&self.record, self.callers[0], "warm").is_some_and(|a| a.is_complete) {
            if Instant::now() > end {
                return Err(error("no engine served in time"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(STABLE + Duration::from_secs(1));
        self.record.add("the gateways are in touch");
        Ok(())
    }

    /// Asks a gateway for its readiness, as the platform's balancer does.
    fn is_ready(&self, gateway: usize) -> bool {
        let address = &self.probes[gateway];
        let Ok(mut stream) = TcpStream::connect_timeout(address, Duration::from_secs(1)) else {
            return false;
        };
        let text = "GET /ready HTTP/1.1\r\nhost: balancer\r\nconnection: close\r\n\r\n";
        net::exchange(&mut stream, text, Duration::from_secs(1)).status == 200
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id(name: &str) -> String {
    format!("{name}-{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

fn head(method: &str, path: &str, id: &str, deadline_ms: u32, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: vans.example\r\nx-corianderramp-request-id: {id}\r\nx-corianderramp-deadline-ms: {deadline_ms}\r\napi-key: key-1\r\n{more}\r\n"
    )
}

fn log_answer(record: &Record, id: &str, answer: &Answer) {
    record.add(&format!(
        "client: {id} gets {} complete={} after {:.3} s, signature {:?}, retry-after {:?}",
        answer.status, answer.is_complete, answer.seconds, answer.stamp, answer.retry_after
    ));
}

/// Sends a lookup on a new channel.
fn check(record: &Record, callers: SocketAddr, name: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
    Some(check_on(record, &mut stream, name))
}

fn check_on(record: &Record, stream: &mut TcpStream, name: &str) -> Answer {
    let id = new_id(name);
    record.add(&format!("client: {id} sent, GET /check/"));
    let text = head("GET", "/check/pitch", &id, 1_500, "");
    let answer = net::exchange(stream, &text, Duration::from_millis(1_500));
    log_answer(record, &id, &answer);
    answer
}

/// Sends a request for a stream on a new channel.
fn plan(record: &Record, callers: SocketAddr, name: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
    Some(plan_on(record, &mut stream, &new_id(name)))
}

fn plan_on(record: &Record, stream: &mut TcpStream, id: &str) -> Answer {
    let session = format!("{:08x}", NEXT_ID.load(Ordering::Relaxed));
    stream_on(record, stream, id, "/plan/round", &session)
}

fn stream_on(
    record: &Record,
    stream: &mut TcpStream,
    id: &str,
    path: &str,
    session: &str,
) -> Answer {
    let prompt = "x-corianderramp-model: m0\r\nx-corianderramp-token-count: 300,120\r\nx-corianderramp-prompt-prefix: 5c1e07a2:40,";
    let more = format!("{prompt}{session}:260\r\ncontent-length: 4\r\n");
    record.add(&format!("client: {id} sent, POST {path}"));
    let text = head("POST", path, id, 6_000, &more) + "plan";
    let answer = net::exchange(stream, &text, Duration::from_millis(6_000));
    log_answer(record, id, &answer);
    answer
}

/// Clients that send requests until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    /// Threads that return how many requests they sent and how many were served.
    threads: Vec<JoinHandle<(usize, usize)>>,
}

impl Clients {
    /// Starts clients that send lookups, each on a kept channel.
    fn start(count: usize, pause: Duration, deployment: &Deployment) -> Self {
        Self::run(count, pause, deployment, |record, callers, kept| {
            let open = || TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok();
            let Some(mut stream) = kept.take().or_else(open) else { return false };
            let answer = check_on(record, &mut stream, "check");
            if answer.is_complete {
                *kept = Some(stream);
            }
            answer.is_complete && answer.status == 200
        })
    }

    /// Sends requests with `send` from each client, with a pause before each.
    fn run(
        count: usize,
        pause: Duration,
        deployment: &Deployment,
        send: fn(&Record, SocketAddr, &mut Option<TcpStream>) -> bool,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let begin = |number: usize| {
            let (stop, record) = (is_stopped.clone(), deployment.record.clone());
            let callers = deployment.callers[number % deployment.callers.len()];
            thread::spawn(move || {
                let (mut sent, mut served, mut kept) = (0, 0, None);
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(pause);
                    sent += 1;
                    served += usize::from(send(&record, callers, &mut kept));
                }
                (sent, served)
            })
        };
        let threads = (0..count).map(begin).collect();
        Self { is_stopped, threads }
    }

    /// Ends the clients; returns how many requests they sent and how many were served.
    fn stop(self) -> (usize, usize) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let counts = self.threads.into_iter().filter_map(|t| t.join().ok());
        counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// Clients that send requests for streams, each on a new channel.
struct Plans;

impl Plans {
    fn start(count: usize, pause: Duration, deployment: &Deployment) -> Clients {
        Clients::run(count, pause, deployment, |record, callers, _| {
            plan(record, callers, "plan").is_some_and(|a| a.is_complete && a.status == 200)
        })
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// DRAIN: no request reaches `server` later than `drain_ms` after the ack of its leaving.
fn has_drained(deployment: &Deployment, server: &Server, acked: Instant) -> bool {
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let late = arrivals.iter().filter(|a| a.server == server.id && a.at > acked + DRAIN);
    let late: Vec<_> = late.collect();
    let after: Vec<_> = arrivals.iter().filter(|a| a.at > acked + DRAIN).collect();
    for arrival in &late {
        let ms = (arrival.at - acked).as_millis();
        let text = format!("DRAIN: {} reached {} {ms} ms after the ack of its leaving", arrival.id, server.id);
        deployment.record.add(&text);
    }
    let text = format!(
        "{} of {} requests later than {} ms after the ack reached the server that leaves",
        late.len(),
        after.len(),
        DRAIN.as_millis()
    );
    deployment.record.add(&text);
    println!("{text}");
    late.is_empty()
}

/// All host processes are killed at the same moment, and a server's entry is removed before they
/// are back. The server serves on for `drain_ms` and 4 s.
fn relays_killed(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let mut deployment = Deployment::start(folder, temporary, engine, None, 0)?;
    let clients = Clients::start(6, Duration::from_millis(100), &deployment);
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        for host in &mut deployment.hosts {
            host.kill();
        }
    }
    let leaving = deployment.ledgers[0].clone();
    let acked = deployment.store.write("servers", &leaving.id, None);
    sleep_until(acked + RESTART);
    if has_trouble {
        for host in &mut deployment.hosts {
            host.restart()?;
        }
    }
    sleep_until(acked + DRAIN + Duration::from_secs(4));
    clients.stop();
    leaving.exit();
    let held = has_drained(&deployment, &leaving, acked);
    Ok(held)
}

/// Another writer's entry, whose bytes can't be read as text, appears among the servers. A second
/// later a server reports that it drains; it serves on for `drain_ms` and 4 s.
fn unreadable_entry(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let deployment = Deployment::start(folder, temporary, engine, None, 0)?;
    let clients = Clients::start(6, Duration::from_millis(100), &deployment);
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        // Valid JSON whose text is no Unicode: the bytes FF FE, as writers escape them.
        let spec = r#"{"service":"pitch-ledger","address":"\udcff\udcfe","zone":"cb-a","slots":6,"state":"ready","sequence":1}"#;
        deployment.store.write("servers", "i-other", Some(spec));
    }
    thread::sleep(Duration::from_secs(1));
    let leaving = deployment.ledgers[0].clone();
    let spec = leaving.spec("pitch-ledger", "cb-a", "draining");
    let acked = deployment.store.write("servers", &leaving.id, Some(&spec));
    sleep_until(acked + DRAIN + Duration::from_secs(4));
    clients.stop();
    leaving.exit();
    Ok(has_drained(&deployment, &leaving, acked))
}

/// A gateway gets SIGTERM. Clients that opened a channel 1.5 s later, while the balancer still
/// counted the gateway, send their first request on it 3.2 s after the SIGTERM.
fn late_first_request(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    // 20 events in 4.6 s, with pauses below the 300 ms that the route allows.
    let engine = Work::Engine(20, Duration::from_millis(230));
    let mut deployment = Deployment::start(folder, temporary, engine, None, 0)?;
    let record = deployment.record.clone();
    let terminated = Instant::now();
    if has_trouble {
        deployment.gateways[0].signal("TERM")?;
    }
    // The balancer asks once per second; two misses in a row end new channels.
    let mut misses = 0;
    for probe in [700, 1_700] {
        let at = terminated + Duration::from_millis(probe);
        if at > terminated + OPENED {
            break;
        }
        sleep_until(at);
        let is_ready = deployment.is_ready(0);
        misses = if is_ready { 0 } else { misses + 1 };
        record.add(&format!("balancer: ready={is_ready}, {misses} misses in a row"));
    }
    sleep_until(terminated + OPENED);
    if misses >= 2 {
        return Err(error("the balancer gives the gateway no new channels"));
    }
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect_timeout(&deployment.callers[0], Duration::from_secs(1))?;
        let (record, id) = (record.clone(), new_id("plan"));
        record.add(&format!("client: opens a channel for {id}"));
        clients.push(thread::spawn(move || {
            sleep_until(terminated + SENT);
            let answer = plan_on(&record, &mut stream, &id);
            (id, answer)
        }));
    }
    let answers: Vec<(String, Answer)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    if has_trouble {
        let left = (terminated + GRACE).saturating_duration_since(Instant::now());
        deployment.gateways[0].wait_end(left);
    }
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let mut lost = 0;
    for (id, answer) in &answers {
        let is_passed = arrivals.iter().any(|a| a.id == *id);
        // The route's timeout and the client's time end an answer at 6 s.
        if is_passed && !answer.is_complete && answer.seconds < 5.9 {
            lost += 1;
            let pieces = answer.body.matches("id: ").count();
            record.add(&format!("LOST: {id} was passed on; its channel ended after {pieces} of 20 pieces"));
        }
    }
    let text = format!("{lost} of {} requests were passed on and lost", answers.len());
    record.add(&text);
    println!("{text}");
    Ok(lost == 0)
}

/// One request comes again every second, with the same path, caller and body, at any gateway. Each
/// engine that runs it crashes after the first events of its answer.
fn deadly_request(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(10, Duration::from_millis(30));
    let deadly = has_trouble.then_some("deadly");
    let deployment = Deployment::start(folder, temporary, engine, deadly, 0)?;
    let record = deployment.record.clone();
    let sound = Plans::start(3, Duration::from_millis(300), &deployment);
    let begin = Instant::now();
    let mut sent = Vec::new();
    for second in 0..45 {
        sleep_until(begin + Duration::from_secs(second));
        let id = new_id("deadly");
        sent.push(id.clone());
        let callers = deployment.callers[second as usize % deployment.callers.len()];
        let record = record.clone();
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else {
                return;
            };
            stream_on(&record, &mut stream, &id, "/plan/deadly", "dead0001");
        });
    }
    thread::sleep(Duration::from_secs(6));
    sound.stop();
    let crashes = deployment.servers.crashes.lock().unwrap().clone();
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let retries = crashes.get(2).map_or(0, |third| {
        let late = |id: &&String| {
            let mut same = arrivals.iter().filter(|a| a.id == **id);
            same.any(|a| a.at > *third + STABLE)
        };
        sent.iter().filter(late).count()
    });
    let text = format!(
        "{} crashes; {retries} retries reached an engine later than {} ms after the third",
        crashes.len(),
        STABLE.as_millis()
    );
    record.add(&text);
    println!("{text}");
    Ok(retries <= 3)
}

/// New weights are named, and one answer of the origin, a manifest, has one wrong digit.
fn spoilt_manifest(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let spoilt = u64::from(has_trouble);
    let deployment = Deployment::start(folder, temporary, engine, None, spoilt)?;
    let record = deployment.record.clone();
    let begin = Instant::now();
    let plans = Plans::start(3, Duration::from_millis(300), &deployment);
    let checks = Clients::start(3, Duration::from_millis(300), &deployment);
    thread::sleep(Duration::from_secs(1));
    deployment.store.write("versions", "m0", Some(r#"{"model":"m0","version":2}"#));
    sleep_until(begin + Duration::from_secs(90));
    let (plan_sent, plan_served) = plans.stop();
    let (check_sent, check_served) = checks.stop();
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let all = share(plan_served + check_served, plan_sent + check_sent);
    let streams = share(plan_served, plan_sent);
    let versions: Vec<u64> = deployment.engines.iter().map(Server::version).collect();
    let text = format!(
        "streams: {plan_served} of {plan_sent} served, {streams:.3}; all requests: {all:.3}; lookups: {check_served} of {check_sent}; versions of the engines {versions:?}; chunks sent by the origin: {}",
        deployment.origin.chunks_sent.load(Ordering::SeqCst)
    );
    record.add(&text);
    println!("{text}");
    Ok(streams >= all / 4.0)
}

/// A host's VM freezes for 4 s after the host has read back what it staged, and meanwhile a staged
/// chunk turns bad. The host then orders the load.
fn frozen_host(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let mut deployment = Deployment::start(folder, temporary, engine, None, 0)?;
    let record = deployment.record.clone();
    let plans = Plans::start(6, Duration::from_millis(200), &deployment);
    let server = deployment.engines[0].clone();
    let verified = server.watch_verification();
    deployment.store.write("versions", "m0", Some(r#"{"model":"m0","version":2}"#));
    let limit = Duration::from_secs(20);
    verified.recv_timeout(limit).map_err(|_| error("version 2 was never staged"))?;
    if has_trouble {
        deployment.hosts[0].signal("STOP")?;
        let frozen = Instant::now();
        sleep_until(frozen + Duration::from_millis(200));
        server.spoil(0);
        record.add(&format!("{}: chunk 0 of what is staged turns bad", server.id));
        sleep_until(frozen + FROZEN);
        deployment.hosts[0].signal("CONT")?;
    }
    let end = Instant::now() + limit;
    while server.version() != 2 {
        if Instant::now() > end {
            return Err(error("version 2 was never loaded"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let loaded = Instant::now();
    thread::sleep(Duration::from_secs(6));
    plans.stop();
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let made = arrivals.iter().filter(|a| a.server == server.id && a.at > loaded).count();
    let rotten = server.loaded_rotten();
    let text = format!(
        "{} loaded version 2 with a chunk that had turned bad {} ms before; {made} streams were made with it",
        server.id,
        rotten.map_or("never".to_owned(), |r| r.as_millis().to_string())
    );
    record.add(&text);
    println!("{text}");
    Ok(rotten.is_none_or(|r| r <= Duration::from_secs(3)) || made == 0)
}

/// Plays a case; returns whether the rule held.
pub fn run(case: &str, folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    match case {
        "relays-killed" => relays_killed(folder, temporary, has_trouble),
        "unreadable-entry" => unreadable_entry(folder, temporary, has_trouble),
        "late-first-request" => late_first_request(folder, temporary, has_trouble),
        "deadly-request" => deadly_request(folder, temporary, has_trouble),
        "frozen-host" => frozen_host(folder, temporary, has_trouble),
        "spoilt-manifest" => spoilt_manifest(folder, temporary, has_trouble),
        _ => Err(error("no such case")),
    }
}
