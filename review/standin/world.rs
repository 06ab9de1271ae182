//! The platform's store, servers and the project's processes.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{self, Request, Subnet};

/// Bounds of the small deployment, as the sheet of rosa-fleet gives them.
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const GRACE: Duration = Duration::from_millis(8_000);
pub const STABLE: Duration = Duration::from_millis(3_000);

/// Log of all that was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// JSON text; `None` for a removal.
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    changes: Vec<Change>,
    revision: u64,
}

/// The platform's store: lists and watches of objects, as PROTOCOL.md describes them.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    record: Record,
}

fn object(change: &Change) -> String {
    let spec = change.spec.as_deref().unwrap_or("{}");
    format!(
        r#"{{"metadata":{{"name":"{}","revision":{},"created_rev":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":{{}}}}"#,
        change.name, change.revision
    )
}

impl Store {
    pub fn start(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let store = Self {
            objects: Arc::default(),
            record: record.clone(),
        };
        let served = store.clone();
        net::serve(address, || true, move |request, stream| served.handle(request, stream))?;
        Ok(store)
    }

    /// Creates or replaces an object, or removes it without `spec`. Returns when the store has
    /// acknowledged it.
    pub fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> Instant {
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.map(str::to_owned),
        });
        let what = spec.map_or("removed", |s| s);
        self.record.add(&format!("store: {kind}/{name} at revision {revision}: {what}"));
        changed.notify_all();
        Instant::now()
    }

    fn list(objects: &Objects, kind: &str) -> String {
        let same: Vec<&Change> = objects.changes.iter().filter(|c| c.kind == kind).collect();
        let newest = same.iter().filter(|c| {
            let is_newest = !same.iter().any(|o| o.name == c.name && o.revision > c.revision);
            is_newest && c.spec.is_some()
        });
        let mut items: Vec<(&str, String)> =
            newest.map(|c| (c.name.as_str(), object(c))).collect();
        items.sort();
        let items: Vec<String> = items.into_iter().map(|(_, o)| o).collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"as_of":{}}}"#,
            items.join(","),
            objects.revision
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let json = [("content-type", "application/json")];
        let Some(kind) = request.path.strip_prefix("/objects/") else {
            return net::respond(stream, 404, &json, "{}");
        };
        // An answer of the store takes some milliseconds.
        thread::sleep(Duration::from_millis(4));
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        let Some(since) = request.param("watch").and_then(|w| w.parse::<u64>().ok()) else {
            let text = Self::list(&objects, kind);
            drop(objects);
            return net::respond(stream, 200, &json, &text);
        };
        let wait = request.param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let text = loop {
            let new = objects.changes.iter().filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<String> = new
                .map(|c| format!(r#"{{"object":{},"removed":{}}}"#, object(c), c.spec.is_none()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                break format!(r#"{{"events":[{events}],"as_of":{}}}"#, objects.revision);
            }
            objects = changed.wait_timeout(objects, left).unwrap().0;
        };
        drop(objects);
        net::respond(stream, 200, &json, &text)
    }
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub server: String,
    pub at: Instant,
}

/// Servers of all services, and what reached them.
#[derive(Clone)]
pub struct Servers {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

/// How a server answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// A plain service: 200 after this time.
    Plain(Duration),
    /// A model engine: a stream of so many events, with this pause before each.
    Engine(u32, Duration),
}

/// One lifetime of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
    born: u128,
    work: Work,
}

pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Server {
    /// `spec` of its entry in the store.
    pub fn spec(&self, service: &str, zone: &str, state: &str) -> String {
        let held = match self.work {
            Work::Plain(_) => "",
            Work::Engine(..) => {
                r#","stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"layers":{"from":0,"to":16,"version":1}"#
            }
        };
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":1,"slots":16,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{}{held}}}"#,
            self.address, self.born
        )
    }

    /// Ends the server: it accepts and answers nothing more.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
    }
}

impl Servers {
    pub fn new(record: &Record) -> Self {
        Self {
            arrivals: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn start(&self, id: &str, address: SocketAddr, work: Work) -> io::Result<Server> {
        let server = Server {
            id: id.to_owned(),
            address,
            is_up: Arc::new(AtomicBool::new(true)),
            running: Arc::default(),
            born: unix_millis(),
            work,
        };
        let (served, all) = (server.clone(), self.clone());
        let is_up = server.is_up.clone();
        net::serve(
            address,
            move || is_up.load(Ordering::SeqCst),
            move |request, stream| all.handle(&served, request, stream),
        )?;
        Ok(server)
    }

    fn handle(&self, server: &Server, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if !server.is_up.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let json = [("content-type", "application/json")];
        match request.path.as_str() {
            "/report" => {
                let running = server.running.load(Ordering::SeqCst);
                let text = format!(
                    r#"{{"stage":"both","models":[{{"name":"m0","version":1,"adapters":[]}}],"layers":{{"from":0,"to":16,"version":1}},"busy":false,"sequence":0,"queued":0,"running":{running},"kv_used":0,"kv_total":1640000,"handles":0,"pace":1.0,"born":{}}}"#,
                    server.born
                );
                return net::respond(stream, 200, &json, &text);
            }
            "/health" => {
                let id = [("x-corianderramp-instance-id", server.id.as_str())];
                return net::respond(stream, 200, &id, "");
            }
            _ => {}
        }
        let id = request.header("x-corianderramp-request-id").unwrap_or_default().to_owned();
        let expected = request.header("x-corianderramp-expect-instance");
        if expected.is_some_and(|e| e != server.id) {
            self.record.add(&format!("{}: {id} answered 421, expects {expected:?}", server.id));
            let headers = [("x-corianderramp-request-id", id.as_str())];
            return net::respond(stream, 421, &headers, "");
        }
        self.record.add(&format!("{}: {id} arrives and runs, {} {}", server.id, request.method, request.path));
        self.arrivals.lock().unwrap().push(Arrival {
            id: id.clone(),
            server: server.id.clone(),
            at: Instant::now(),
        });
        let _ = &request.body;
        let stamp = format!("stamp.{}.{id}", server.id);
        let headers = [
            ("x-corianderramp-request-id", id.as_str()),
            ("x-corianderramp-server-stamp", stamp.as_str()),
        ];
        server.running.fetch_add(1, Ordering::SeqCst);
        let result = match server.work {
            Work::Plain(time) => {
                thread::sleep(time);
                net::respond(stream, 200, &headers, &format!("done {id}"))
            }
            Work::Engine(count, pause) => {
                let after = request.header("last-event-id").and_then(|e| e.parse().ok());
                stream_events(stream, &headers, after.unwrap_or(0), count, pause)
            }
        };
        server.running.fetch_sub(1, Ordering::SeqCst);
        let end = if result.is_ok() { "ends well" } else { "is cut off by its caller" };
        self.record.add(&format!("{}: the run of {id} {end}", server.id));
        result
    }
}

fn stream_events(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    after: u32,
    count: u32,
    pause: Duration,
) -> io::Result<()> {
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-corianderramp-weight-versions: 1\r\n",
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    for i in after + 1..=count {
        thread::sleep(pause);
        let event = format!("id: {i}\ndata: piece {i} of {count}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(head.as_bytes())?;
        head.clear();
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Configuration like that of a small deployment; the origin is never asked.
pub fn config(origin: SocketAddr) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, target: u32, attempts: u32| {
        let stream = kind == "streaming";
        format!(
            r#"{{"name":"{name}","host":"vans.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"gap_target_ms":300,"priority":1,"service":"{service}","max_attempts":{attempts},"public":false,"stream_resume":{stream},"session_affinity":{stream}}}"#
        )
    };
    let routes = [
        route("round-plan", "/plan/", "streaming", "shake-llm", 6000, 400, 2),
        route("pitch-book", "/book/", "unsafe", "pitch-ledger", 800, 100, 1),
        route("pitch-check", "/check/", "safe", "pitch-ledger", 800, 100, 2),
    ];
    format!(
        r#"{{"version":4,"routes":[{}],"services":[{{"name":"shake-llm","max_connections":780,"health_path":"/health","engine":{{"slots":16,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600,"pairs_per_m":0.647,"chunk":2048,"stride":1,"usual":{{"prompt":1000,"answer":120}},"layers":16,"layer_mb":1,"chunks":64,"chunk_bytes":32768,"report_lag_ms":100,"models":[{{"name":"m0","warm_s":0.3}}]}}}},{{"name":"pitch-ledger","max_connections":214,"health_path":"/health"}},{{"name":"depot-admin","max_connections":103,"origin":"{origin}","link_mbps":9.9}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"rounds","api_keys":["key-1"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case after `limit`, with all processes that it started.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case took too long");
        if let Ok(running) = RUNNING.lock() {
            for id in running.iter() {
                let _ = Command::new("bash").args(["-c", &format!("kill -s KILL {id}")]).status();
            }
        }
        std::process::exit(2);
    });
}

fn forget(id: u32) {
    if let Ok(mut running) = RUNNING.lock() {
        running.retain(|r| *r != id);
    }
}

/// A process of the project, started with the command of the deploy file.
pub struct Process {
    pub name: String,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
}

impl Process {
    pub fn start(name: &str, settings: &Path, record: &Record) -> io::Result<Self> {
        let mut process = Self {
            name: name.to_owned(),
            child: None,
            settings: settings.to_owned(),
            log: settings.with_extension("log"),
            record: record.clone(),
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again, as the platform does after a kill.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/corianderrampd")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(&format!("{} started, process {}", self.name, child.id()));
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        self.record.add(&format!("SIG{signal} to {}, process {}", self.name, child.id()));
        let command = format!("kill -s {signal} {}", child.id());
        Command::new("bash").args(["-c", &command]).status()?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.add(&format!("SIGKILL to {}, process {}", self.name, child.id()));
            forget(child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended, for `limit` at most, and kills it then.
    pub fn wait_end(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.add(&format!("{} has ended: {status}", self.name));
                forget(child.id());
                self.child = None;
            } else if Instant::now() > end {
                self.kill();
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Writes the settings of a VM as the templates in `deploy/` give them; returns the file.
pub fn settings(
    folder: &Path,
    net: Subnet,
    role: &str,
    vm: u8,
    store: SocketAddr,
) -> io::Result<PathBuf> {
    let name = format!("{role}-{vm}");
    let ip = net.address(vm, 0).ip();
    let place = if role == "gateway" {
        format!("[listen]\ncallers = \"{ip}:8005\"\nprobes = \"{ip}:8002\"\n")
    } else {
        format!("[target]\naddress = \"{ip}:9000\"\nservice = \"shake-llm\"\n")
    };
    let link = if role == "gateway" { "700.0" } else { "7.6" };
    let text = format!(
        "role = \"{role}\"\nvm = \"{name}\"\ndata_center = \"cb-a\"\nregion = \"central-belt\"\naddress = \"{ip}\"\nports = [7700,7715]\nmetrics = \"{ip}:9464\"\nstore = \"{store}\"\nlink_mbps = {link}\n{place}[bounds]\nstop_ms = 8000\nweights_ms = 8000\nconfig_ms = 2000\n[centers]\n\"cb-a\" = \"central-belt\"\n"
    );
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text)?;
    Ok(path)
}
