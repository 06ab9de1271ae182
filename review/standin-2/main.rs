//! Plays the scripts of cases 6 to 9: `standin-2 CASE FOLDER TEMPORARY`. Ends with status 0 if the
//! rule held, 1 if it was broken and 2 if the case couldn't run. Store, servers and processes are
//! those of the earlier review; new are the links of hosts to the store, an origin that forgets old
//! versions, and the clients.

#![allow(dead_code)]

#[path = "../standin/net.rs"]
mod net;
#[path = "../standin/sha256.rs"]
mod sha256;
#[path = "../standin/world.rs"]
mod world;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use net::{Answer, Subnet};
use world::{Process, Record, Server, Servers, Store, Work};

/// Bounds of rosa-fleet.
const CONFIG: Duration = Duration::from_millis(2_000);
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);
const VERSION: Duration = Duration::from_millis(8_000);

const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which all processes are down.
const DOWN: Duration = Duration::from_millis(1_200);

const GATEWAYS: [u8; 3] = [11, 12, 13];
const LEDGERS: [u8; 3] = [21, 22, 23];
const ENGINES: [u8; 3] = [31, 32, 33];
/// Key that the operator takes away in case 6; the other one stays.
const KEY: &str = "key-2";

fn error(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Link of one host to the store. While it is cut, nothing passes in either direction, and new
/// channels get no answer.
struct Link(Arc<AtomicBool>);

impl Link {
    fn start(address: SocketAddr, store: SocketAddr) -> io::Result<Self> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(address)?;
        let cut = is_cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || -> io::Result<()> {
                    wait_while(&cut);
                    let far = TcpStream::connect(store)?;
                    near.set_nodelay(true)?;
                    far.set_nodelay(true)?;
                    let back = (far.try_clone()?, near.try_clone()?, cut.clone());
                    thread::spawn(move || pump(back.0, back.1, &back.2));
                    pump(near, far, &cut)
                });
            }
        });
        Ok(Self(is_cut))
    }

    fn set_cut(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) -> io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        // What was sent during the cut arrives after it, as over TCP.
        wait_while(is_cut);
        if count == 0 {
            return to.shutdown(std::net::Shutdown::Both);
        }
        to.write_all(&buffer[..count])?;
    }
}

/// Writes the settings of a VM from the template of the deploy file, as the platform fills it in
/// for rosa-fleet, with a stop time of `grace` seconds; returns the file.
fn settings(
    folder: &Path,
    net: Subnet,
    role: &str,
    vm: u8,
    store: SocketAddr,
    grace: &str,
) -> io::Result<PathBuf> {
    let (name, ip) = (format!("{role}-{vm}"), net.address(vm, 0).ip());
    let link = if role == "gateway" { "700.0" } else { "7.6" };
    let values = [
        ("{{node_name|json}}", format!("\"{name}\"")),
        ("{{zone|json}}", "\"cb-a\"".to_owned()),
        ("{{region|json}}", "\"central-belt\"".to_owned()),
        ("{{ip|json}}", format!("\"{ip}\"")),
        ("{{ip}}", ip.to_string()),
        ("{{internal_ports|json}}", "[7700,7715]".to_owned()),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{limits.link_mbps}}", link.to_owned()),
        ("{{listen.front|json}}", format!("\"{ip}:8005\"")),
        ("{{listen.ready|json}}", format!("\"{ip}:8002\"")),
        ("{{app|json}}", format!("\"{ip}:9000\"")),
        ("{{service|json}}", "\"shake-llm\"".to_owned()),
        ("{{bounds.grace_s}}", grace.to_owned()),
        ("{{bounds.version_ms}}", "8000".to_owned()),
        ("{{bounds.config_apply_ms}}", "2000".to_owned()),
        ("\"{{@}}\" = {{.|json}}", "\"cb-a\" = \"central-belt\"".to_owned()),
    ];
    let (mut text, mut is_left_out) = (String::new(), false);
    for line in std::fs::read_to_string(format!("deploy/{role}.toml"))?.lines() {
        // A section stands for a value that rosa-fleet has, or not.
        if let Some(section) = line.strip_prefix("{{#") {
            is_left_out = !["bounds.config_apply_ms}}", "zones}}"].contains(&section);
        } else if line.starts_with("{{/") {
            is_left_out = false;
        } else if !is_left_out {
            text += line;
            text += "\n";
        }
    }
    for (field, value) in &values {
        text = text.replace(field, value);
    }
    if text.contains("{{") {
        return Err(error("the template has other fields"));
    }
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Origin of weights with 9.9 Mbit/s. A version two back returns 410.
fn start_origin(address: SocketAddr, newest: Arc<AtomicU64>) -> io::Result<()> {
    let link = Mutex::new(());
    net::serve(address, || true, move |request, stream| {
        let version = request.param("version").and_then(|v| v.parse().ok()).unwrap_or(1);
        if version + 2 <= newest.load(Ordering::SeqCst) {
            return net::respond(stream, 410, &[], "");
        }
        if request.path.starts_with("/manifest/") {
            let digests: Vec<String> =
                (0..world::CHUNKS).map(|i| sha256::hex(&world::chunk(version, i))).collect();
            let body = format!(
                r#"{{"model":"m0","version":{version},"chunk_bytes":{},"layers":16,"digests":["{}"]}}"#,
                world::CHUNK_BYTES,
                digests.join("\",\"")
            );
            return net::respond(stream, 200, &[("content-type", "application/json")], body);
        }
        let index = request.param("item_count").and_then(|i| i.parse().ok()).unwrap_or(0);
        let _link = link.lock().unwrap();
        thread::sleep(Duration::from_micros(world::CHUNK_BYTES as u64 * 8 * 10 / 99));
        net::respond(stream, 200, &[], world::chunk(version, index))
    })
}

/// A small deployment in one data centre.
struct Deployment {
    net: Subnet,
    record: Record,
    store: Store,
    servers: Servers,
    ledgers: Vec<Server>,
    engines: Vec<Server>,
    hosts: Vec<Process>,
    gateways: Vec<Process>,
    links: Vec<Link>,
    callers: Vec<SocketAddr>,
    origin: SocketAddr,
    newest: Arc<AtomicU64>,
}

fn config(origin: SocketAddr, version: u64, keys: &str) -> String {
    let text = world::config(origin).replace(r#""version":4"#, &format!(r#""version":{version}"#));
    text.replace(r#""api_keys":["key-1"]"#, &format!(r#""api_keys":[{keys}]"#))
}

impl Deployment {
    fn start(folder: &Path, temporary: &Path, engine: Work) -> io::Result<Self> {
        let record = Record::create(&folder.join("record.txt"))?;
        let net = Subnet::free().ok_or_else(|| error("no free loopback addresses"))?;
        let store_address = net.address(1, 8007);
        let store = Store::start(store_address, &record)?;
        let servers = Servers::new(&store, &record);
        let (origin, newest) = (net.address(2, 9000), Arc::new(AtomicU64::new(1)));
        start_origin(origin, newest.clone())?;
        store.write("config", "main", Some(&config(origin, 4, r#""key-1","key-2""#)));
        let mut ledgers = Vec::new();
        for vm in LEDGERS {
            let work = Work::Plain(Duration::from_millis(15));
            let id = format!("i-ledger{vm}");
            ledgers.push(servers.start(&id, net.address(vm, 9000), work, None)?);
        }
        let (mut engines, mut hosts, mut links) = (Vec::new(), Vec::new(), Vec::new());
        for vm in ENGINES {
            let id = format!("i-engine{vm}");
            engines.push(servers.start(&id, net.address(vm, 9000), engine, None)?);
            let link = net.address(vm, 8007);
            links.push(Link::start(link, store_address)?);
            let file = settings(temporary, net, "host", vm, link, "8")?;
            hosts.push(Process::start(&format!("host-{vm}"), &file, &record)?);
        }
        let mut gateways = Vec::new();
        for vm in GATEWAYS {
            let file = settings(temporary, net, "gateway", vm, store_address, "8")?;
            gateways.push(Process::start(&format!("gateway-{vm}"), &file, &record)?);
        }
        let callers = GATEWAYS.map(|vm| net.address(vm, 8005)).to_vec();
        let deployment = Self {
            net,
            record,
            store,
            servers,
            ledgers,
            engines,
            hosts,
            gateways,
            links,
            callers,
            origin,
            newest,
        };
        deployment.warm_up()?;
        Ok(deployment)
    }

    /// Waits until each gateway serves both services and has been in touch for long enough.
    fn warm_up(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(30);
        for callers in &self.callers {
            let is_served = |send: fn(&Record, SocketAddr, &str) -> Answer| {
                send(&self.record, *callers, &new_id("warm")).status == 200
            };
            while !is_served(look_up) || !is_served(plan) {
                if Instant::now() > end {
                    return Err(error("a gateway did not serve in time"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(STABLE + Duration::from_secs(2));
        self.record.add("the gateways are in touch");
        Ok(())
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn new_id(name: &str) -> String {
    format!("{name}-{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

fn send(record: &Record, callers: SocketAddr, id: &str, text: &str, limit: Duration) -> Answer {
    record.add(&format!("client: {id} sent to {callers}"));
    let channel = TcpStream::connect_timeout(&callers, Duration::from_secs(1));
    let answer = channel.map(|mut stream| net::exchange(&mut stream, text, limit));
    let answer = answer.unwrap_or(Answer {
        status: 0,
        is_complete: false,
        stamp: String::new(),
        body: String::new(),
        retry_after: String::new(),
        seconds: 0.0,
    });
    record.add(&format!(
        "client: {id} gets {} complete={} after {:.3} s, signature {:?}",
        answer.status, answer.is_complete, answer.seconds, answer.stamp
    ));
    answer
}

fn head(method: &str, path: &str, id: &str, deadline_ms: u32, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: vans.example\r\nx-corianderramp-request-id: {id}\r\nx-corianderramp-deadline-ms: {deadline_ms}\r\napi-key: {KEY}\r\n{more}\r\n"
    )
}

/// Sends a lookup on a new channel.
fn look_up(record: &Record, callers: SocketAddr, id: &str) -> Answer {
    let text = head("GET", "/check/pitch", id, 1_500, "");
    send(record, callers, id, &text, Duration::from_millis(1_500))
}

/// Sends a request for a stream on a new channel.
fn plan(record: &Record, callers: SocketAddr, id: &str) -> Answer {
    let session = format!("{:08x}", NEXT_ID.load(Ordering::Relaxed));
    let more = format!(
        "x-corianderramp-model: m0\r\nx-corianderramp-token-count: 300,120\r\nx-corianderramp-prompt-prefix: 5c1e07a2:40,{session}:260\r\ncontent-length: 4\r\n"
    );
    let text = head("POST", "/plan/round", id, 6_000, &more) + "plan";
    send(record, callers, id, &text, Duration::from_millis(6_000))
}

/// A request: its id and when it was sent.
type Sent = (String, Instant);

/// Clients that send one request after the other, each to one gateway, until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sent>>>,
}

impl Clients {
    fn start(
        deployment: &Deployment,
        count: usize,
        pause: Duration,
        send: fn(&Record, SocketAddr, &str) -> Answer,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let begin = |number: usize| {
            let (stop, record) = (is_stopped.clone(), deployment.record.clone());
            let callers = deployment.callers[number % deployment.callers.len()];
            thread::spawn(move || {
                let mut all = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(pause);
                    let (id, at) = (new_id("request"), Instant::now());
                    send(&record, callers, &id);
                    all.push((id, at));
                }
                all
            })
        };
        let threads = (0..count).map(begin).collect();
        Self { is_stopped, threads }
    }

    fn stop(self) -> Vec<Sent> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.threads.into_iter().filter_map(|t| t.join().ok()).flatten().collect()
    }
}

fn verdict(record: &Record, text: &str, broken: usize) -> bool {
    record.add(text);
    println!("{text}");
    broken == 0
}

/// Case 6: all hosts lose the store; a key is taken away 50 ms later.
fn stale_config(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(folder, temporary, Work::Engine(4, Duration::from_millis(20)))?;
    let clients = Clients::start(&deployment, 6, Duration::from_millis(20), look_up);
    thread::sleep(Duration::from_secs(1));
    let cut = Instant::now();
    if has_trouble {
        deployment.record.add("the hosts are cut off from the store");
        deployment.links.iter().for_each(|l| l.set_cut(true));
    }
    sleep_until(cut + Duration::from_millis(50));
    let text = config(deployment.origin, 10, r#""key-1""#);
    let acked = deployment.store.write("config", "main", Some(&text));
    sleep_until(cut + Duration::from_millis(5_500));
    deployment.links.iter().for_each(|l| l.set_cut(false));
    deployment.record.add("the hosts reach the store");
    sleep_until(cut + Duration::from_millis(7_000));
    let sent = clients.stop();
    Ok(check_config(&deployment, &sent, acked))
}

/// CONFIG: no request sent later than `config_apply_ms` after the ack runs with the dropped key.
fn check_config(deployment: &Deployment, sent: &[Sent], acked: Instant) -> bool {
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let late: Vec<&Sent> = sent.iter().filter(|(_, at)| *at > acked + CONFIG).collect();
    let has_run = |id: &str| arrivals.iter().any(|a| a.id == id);
    let broken: Vec<&&Sent> = late.iter().filter(|(id, _)| has_run(id)).collect();
    for (id, at) in &broken {
        let ms = (*at - acked).as_millis();
        deployment.record.add(&format!("CONFIG: {id}, sent {ms} ms after the ack, ran with a dropped key"));
    }
    let text = format!(
        "{} of {} requests sent later than {} ms after the ack ran with the dropped key",
        broken.len(),
        late.len(),
        CONFIG.as_millis()
    );
    verdict(&deployment.record, &text, broken.len())
}

/// Case 7: two servers begin to leave shortly after each other, and all hosts freeze.
fn leaving(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let mut deployment = Deployment::start(folder, temporary, engine)?;
    let clients = Clients::start(&deployment, 9, Duration::from_millis(5), look_up);
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let leave = |server: &Server| {
        let spec = server.spec("pitch-ledger", "cb-a", "draining");
        (server.clone(), deployment.store.write("servers", &server.id, Some(&spec)))
    };
    let first = leave(&deployment.ledgers[2]);
    sleep_until(begin + Duration::from_millis(40));
    let second = leave(&deployment.ledgers[1]);
    sleep_until(begin + Duration::from_millis(500));
    if has_trouble {
        for host in &mut deployment.hosts {
            host.signal("STOP")?;
        }
    }
    sleep_until(begin + Duration::from_millis(4_500));
    if has_trouble {
        for host in &mut deployment.hosts {
            host.signal("CONT")?;
        }
    }
    sleep_until(begin + Duration::from_millis(5_000));
    clients.stop();
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let mut broken = 0;
    for (server, acked) in [first, second] {
        for arrival in arrivals.iter().filter(|a| a.server == server.id && a.at > acked + DRAIN) {
            broken += 1;
            let ms = (arrival.at - acked).as_millis();
            let text = format!("DRAIN: {} reached {} {ms} ms after the ack of its leaving", arrival.id, server.id);
            deployment.record.add(&text);
        }
    }
    let text = format!("{broken} requests reached a server later than {} ms after the ack of its leaving", DRAIN.as_millis());
    Ok(verdict(&deployment.record, &text, broken))
}

/// Case 8: ten versions are named within 7 s; without the disruption, one.
fn versions(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(folder, temporary, Work::Engine(4, Duration::from_millis(50)))?;
    let held = Arc::new(Mutex::new(Vec::new()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sampler = {
        let (held, stop, engines) = (held.clone(), is_stopped.clone(), deployment.engines.clone());
        thread::spawn(move || {
            let mut last = vec![0; engines.len()];
            while !stop.load(Ordering::SeqCst) {
                for (engine, last) in engines.iter().zip(&mut last) {
                    let version = engine.version();
                    if version != *last {
                        held.lock().unwrap().push((engine.id.clone(), Instant::now(), version));
                        *last = version;
                    }
                }
                thread::sleep(Duration::from_millis(1));
            }
        })
    };
    let clients = Clients::start(&deployment, 6, Duration::from_millis(100), plan);
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let mut acks = Vec::new();
    for version in 2..=if has_trouble { 11 } else { 2 } {
        sleep_until(begin + Duration::from_millis(750) * (version - 2));
        deployment.newest.store(version.into(), Ordering::SeqCst);
        let spec = format!(r#"{{"model":"m0","version":{version}}}"#);
        acks.push((u64::from(version), deployment.store.write("versions", "m0", Some(&spec))));
    }
    sleep_until(begin + Duration::from_secs(18));
    clients.stop();
    is_stopped.store(true, Ordering::SeqCst);
    let _ = sampler.join();
    let held = held.lock().unwrap().clone();
    let arrivals = deployment.servers.arrivals.lock().unwrap().clone();
    let mut broken = 0;
    for arrival in arrivals.iter().filter(|a| a.server.contains("engine")) {
        let before = held.iter().filter(|(id, at, _)| *id == arrival.server && *at <= arrival.at);
        let Some((_, _, version)) = before.last() else { continue };
        let overdue = acks.iter().find(|(newer, acked)| newer > version && arrival.at > *acked + VERSION);
        if let Some((newer, acked)) = overdue {
            broken += 1;
            let ms = (arrival.at - *acked).as_millis();
            let text = format!("VERSION: {} began on version {version}, {ms} ms after the ack of version {newer}", arrival.id);
            deployment.record.add(&text);
        }
    }
    let text = format!("{broken} requests began on a version that had been replaced more than {} ms before", VERSION.as_millis());
    Ok(verdict(&deployment.record, &text, broken))
}

/// Number of requests that were served, out of all, sent by one client for each gateway.
fn serve_for(deployment: &Deployment, time: Duration) -> (usize, usize) {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let begin = |callers: SocketAddr| {
        let (stop, record) = (is_stopped.clone(), deployment.record.clone());
        thread::spawn(move || {
            let (mut served, mut sent) = (0, 0);
            while !stop.load(Ordering::SeqCst) {
                let answers = [
                    look_up(&record, callers, &new_id("request")),
                    plan(&record, callers, &new_id("request")),
                ];
                served += answers.iter().filter(|a| a.is_complete && a.status == 200).count();
                sent += answers.len();
                thread::sleep(Duration::from_millis(50));
            }
            (served, sent)
        })
    };
    let threads: Vec<_> = deployment.callers.iter().map(|c| begin(*c)).collect();
    thread::sleep(time);
    is_stopped.store(true, Ordering::SeqCst);
    let counts = threads.into_iter().filter_map(|t| t.join().ok());
    counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

/// Case 9: the settings files change, with a fraction in the stop time, and later all processes are
/// killed at once and started again. Without the disruption the new stop time is whole.
fn restart(folder: &Path, temporary: &Path, has_trouble: bool) -> io::Result<bool> {
    let engine = Work::Engine(4, Duration::from_millis(20));
    let mut deployment = Deployment::start(folder, temporary, engine)?;
    let before = serve_for(&deployment, Duration::from_secs(3));
    let grace = if has_trouble { "7.5" } else { "9" };
    deployment.record.add(&format!("the settings change to grace_s = {grace}"));
    let net = deployment.net;
    for vm in ENGINES {
        settings(temporary, net, "host", vm, net.address(vm, 8007), grace)?;
    }
    for vm in GATEWAYS {
        settings(temporary, net, "gateway", vm, net.address(1, 8007), grace)?;
    }
    for process in deployment.hosts.iter_mut().chain(&mut deployment.gateways) {
        process.signal("HUP")?;
    }
    thread::sleep(Duration::from_secs(1));
    let text = config(deployment.origin, 7, r#""key-1","key-2""#);
    deployment.store.write("config", "main", Some(&text));
    for process in deployment.hosts.iter_mut().chain(&mut deployment.gateways) {
        process.kill();
    }
    thread::sleep(DOWN);
    let back = Instant::now();
    for process in deployment.hosts.iter_mut().chain(&mut deployment.gateways) {
        process.restart()?;
    }
    // As on the platform, processes that have ended are started again.
    let hosts = ENGINES.map(|vm| net.address(vm, 7700));
    let gateways = GATEWAYS.map(|vm| net.address(vm, 8002));
    while back.elapsed() < RECOVERY {
        thread::sleep(Duration::from_secs(1));
        let addresses = hosts.iter().chain(&gateways);
        let processes = deployment.hosts.iter_mut().chain(&mut deployment.gateways);
        for (address, process) in addresses.zip(processes) {
            if TcpStream::connect(address).is_err() {
                process.wait_end(Duration::ZERO);
                process.restart()?;
            }
        }
    }
    deployment.record.add("recovery_s is over");
    let after = serve_for(&deployment, Duration::from_secs(5));
    for vm in [GATEWAYS[0], ENGINES[0]] {
        let name = if GATEWAYS.contains(&vm) { "gateway" } else { "host" };
        let log = std::fs::read_to_string(temporary.join(format!("{name}-{vm}.log")));
        for line in log.unwrap_or_default().lines().filter(|l| l.contains("invalid type")).take(2) {
            deployment.record.add(&format!("log of {name}-{vm}: {line}"));
        }
    }
    let is_broken = before.0 * 4 >= before.1 && after.0 * 4 < after.1;
    let text = format!(
        "served {} of {} requests before, {} of {} later than {} s after the processes were back",
        before.0,
        before.1,
        after.0,
        after.1,
        RECOVERY.as_secs()
    );
    Ok(verdict(&deployment.record, &text, usize::from(is_broken)))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    world::watch(Duration::from_secs(110));
    let (folder, temporary) = (Path::new(folder), Path::new(temporary));
    let result = match case.as_str() {
        "stale-config" => stale_config(folder, temporary, has_trouble),
        "leaving" => leaving(folder, temporary, has_trouble),
        "restart" => restart(folder, temporary, has_trouble),
        "versions" => versions(folder, temporary, has_trouble),
        _ => Err(error("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
