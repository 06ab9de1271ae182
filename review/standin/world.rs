//! The platform's store, servers and the project's processes.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{self, Request, Subnet};
use crate::sha256;

/// Bounds of the small deployment, as the sheet of rosa-fleet-grown gives them.
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const GRACE: Duration = Duration::from_millis(8_000);
pub const STABLE: Duration = Duration::from_millis(4_000);

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
    /// Times of crashes.
    pub crashes: Arc<Mutex<Vec<Instant>>>,
    store: Store,
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

/// Number and size of the chunks of a version.
pub const CHUNKS: usize = 64;
pub const CHUNK_BYTES: usize = 32_768;
/// Time for which an engine loads complete weights.
const WARM: Duration = Duration::from_millis(300);

/// Contents of a chunk.
pub fn chunk(version: u64, index: usize) -> Vec<u8> {
    let text = format!("chunk {index} of version {version}. ");
    text.bytes().cycle().take(CHUNK_BYTES).collect()
}

/// What an engine holds. Staged chunks survive a crash.
struct Weights {
    /// Loaded version; 0 for none.
    version: u64,
    is_loading: bool,
    orders: u64,
    staged: Vec<Vec<u8>>,
    /// Told when most of the staged chunks of version 2 have been read back.
    watcher: Option<mpsc::Sender<()>>,
    /// When a staged chunk turned bad.
    rotten: Option<Instant>,
    /// How long before it was loaded a chunk had turned bad.
    loaded_rotten: Option<Duration>,
}

/// A server, with its current lifetime.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
    /// Start of the lifetime, Unix milliseconds.
    born: Arc<AtomicU64>,
    weights: Arc<Mutex<Weights>>,
    /// Channels that a crash breaks.
    channels: Arc<Mutex<Vec<TcpStream>>>,
    /// Part of the path of requests that crash it after some events of their answer.
    deadly: Option<&'static str>,
    work: Work,
}

/// Events of an answer after which a deadly request crashes an engine.
pub const DEADLY_EVENTS: u32 = 4;
/// Time for which a server is away after a crash.
pub const AWAY: Duration = Duration::from_secs(2);

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Server {
    /// Fields of its entry and its report about what it holds.
    fn held(&self) -> String {
        match (self.work, self.weights.lock().unwrap().version) {
            (Work::Plain(_), _) => String::new(),
            (Work::Engine(..), 0) => r#","stage":"both","models":[],"layers":{"from":0,"to":0,"version":0}"#.to_owned(),
            (Work::Engine(..), version) => format!(
                r#","stage":"both","models":[{{"name":"m0","version":{version},"adapters":[]}}],"layers":{{"from":0,"to":16,"version":{version}}}"#
            ),
        }
    }

    /// `spec` of its entry in the store.
    pub fn spec(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":1,"slots":12,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{}{}}}"#,
            self.address,
            self.born.load(Ordering::SeqCst),
            self.held()
        )
    }

    fn report(&self) -> String {
        let (is_loading, orders) = {
            let weights = self.weights.lock().unwrap();
            (weights.is_loading, weights.orders)
        };
        format!(
            r#"{{"busy":{is_loading},"sequence":{orders},"queued":0,"running":{},"kv_used":0,"kv_total":1640000,"handles":0,"pace":1.0,"born":{}{}}}"#,
            self.running.load(Ordering::SeqCst),
            self.born.load(Ordering::SeqCst),
            self.held()
        )
    }

    /// Returns a receiver that is told when the host reads back the staged chunks of version 2.
    pub fn watch_verification(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel();
        self.weights.lock().unwrap().watcher = Some(sender);
        receiver
    }

    /// Makes a staged chunk turn bad.
    pub fn spoil(&self, index: usize) {
        let mut weights = self.weights.lock().unwrap();
        weights.staged[index][7] ^= 1;
        weights.rotten = Some(Instant::now());
    }

    /// How long before it was loaded a chunk of the loaded weights had turned bad.
    pub fn loaded_rotten(&self) -> Option<Duration> {
        self.weights.lock().unwrap().loaded_rotten
    }

    /// Version of the weights that an engine serves; 0 for none.
    pub fn version(&self) -> u64 {
        self.weights.lock().unwrap().version
    }

    /// Ends the server: it accepts and answers nothing more.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
    }
}

impl Servers {
    pub fn new(store: &Store, record: &Record) -> Self {
        Self {
            arrivals: Arc::default(),
            crashes: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        }
    }

    /// Starts a server and registers it. Engines hold version 1.
    pub fn start(
        &self,
        id: &str,
        address: SocketAddr,
        work: Work,
        deadly: Option<&'static str>,
    ) -> io::Result<Server> {
        let weights = Weights {
            version: 1,
            is_loading: false,
            orders: 0,
            staged: (0..CHUNKS).map(|i| chunk(1, i)).collect(),
            watcher: None,
            rotten: None,
            loaded_rotten: None,
        };
        let server = Server {
            id: id.to_owned(),
            address,
            is_up: Arc::default(),
            running: Arc::default(),
            born: Arc::default(),
            weights: Arc::new(Mutex::new(weights)),
            channels: Arc::default(),
            deadly,
            work,
        };
        self.begin_lifetime(&server)?;
        Ok(server)
    }

    /// Starts a server, or starts it again under its id.
    fn begin_lifetime(&self, server: &Server) -> io::Result<()> {
        server.is_up.store(true, Ordering::SeqCst);
        server.born.store(unix_millis(), Ordering::SeqCst);
        let (served, all) = (server.clone(), self.clone());
        let is_up = server.is_up.clone();
        net::serve(
            server.address,
            move || is_up.load(Ordering::SeqCst),
            move |request, stream| all.handle(&served, request, stream),
        )?;
        self.register(server);
        Ok(())
    }

    fn register(&self, server: &Server) {
        let service = match server.work {
            Work::Plain(_) => "pitch-ledger",
            Work::Engine(..) => "shake-llm",
        };
        let spec = server.spec(service, "cb-a", "ready");
        self.store.write("servers", &server.id, Some(&spec));
    }

    /// Ends a server at once, with all that it does; it is back later, without weights.
    fn crash(&self, server: &Server) {
        if !server.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.add(&format!("{}: crashes", server.id));
        self.crashes.lock().unwrap().push(Instant::now());
        for channel in server.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        let (server, all) = (server.clone(), self.clone());
        thread::spawn(move || {
            thread::sleep(AWAY);
            {
                let mut weights = server.weights.lock().unwrap();
                weights.version = 0;
                weights.is_loading = false;
                weights.orders = 0;
            }
            server.running.store(0, Ordering::SeqCst);
            all.record.add(&format!("{}: is back", server.id));
            if let Err(e) = all.begin_lifetime(&server) {
                all.record.add(&format!("{}: can't start: {e}", server.id));
            }
        });
    }

    /// Handles an order to load the staged weights, as they are now.
    fn order(&self, server: &Server, body: &[u8]) -> u16 {
        let text = String::from_utf8_lossy(body);
        let number = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let Some(version) = number("version") else { return 400 };
        let mut weights = server.weights.lock().unwrap();
        if weights.is_loading || number("precondition").is_some_and(|p| p != weights.orders) {
            return 409;
        }
        if weights.version == version {
            return 200;
        }
        weights.orders += 1;
        weights.is_loading = true;
        weights.loaded_rotten = weights.rotten.map(|at| at.elapsed());
        let is_whole = (0..CHUNKS).all(|i| weights.staged[i] == chunk(version, i));
        self.record.add(&format!("{}: loads version {version}, whole={is_whole}", server.id));
        let (server, all) = (server.clone(), self.clone());
        let born = server.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            while server.running.load(Ordering::SeqCst) > 0 {
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(WARM);
            if server.born.load(Ordering::SeqCst) != born || !server.is_up.load(Ordering::SeqCst) {
                return;
            }
            {
                let mut weights = server.weights.lock().unwrap();
                weights.version = version;
                weights.is_loading = false;
            }
            all.record.add(&format!("{}: serves version {version}", server.id));
            all.register(&server);
        });
        202
    }

    fn handle(&self, server: &Server, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if !server.is_up.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if let Ok(channel) = stream.try_clone() {
            server.channels.lock().unwrap().push(channel);
        }
        let json = [("content-type", "application/json")];
        let index = request.param("item_count").and_then(|i| i.parse::<usize>().ok());
        match (request.path.as_str(), index) {
            ("/report", _) => return net::respond(stream, 200, &json, server.report()),
            ("/order", _) => {
                let status = self.order(server, &request.body);
                return net::respond(stream, status, &json, "");
            }
            (path, Some(index)) if path.starts_with("/stage-put/") && index < CHUNKS => {
                server.weights.lock().unwrap().staged[index] = request.body.clone();
                return net::respond(stream, 200, &[], "");
            }
            (path, Some(index)) if path.starts_with("/stage-get/") && index < CHUNKS => {
                let mut weights = server.weights.lock().unwrap();
                let staged = weights.staged[index].clone();
                if index == CHUNKS * 3 / 4
                    && staged == chunk(2, index)
                    && let Some(watcher) = weights.watcher.take()
                {
                    let _ = watcher.send(());
                }
                drop(weights);
                return net::respond(stream, 200, &[], staged);
            }
            ("/health", _) => {
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
        if let Work::Engine(..) = server.work {
            let weights = server.weights.lock().unwrap();
            let wanted = request.header("x-corianderramp-expect-version");
            let other = wanted.is_some_and(|w| w != weights.version.to_string());
            if weights.version == 0 || weights.is_loading || other {
                drop(weights);
                self.record.add(&format!("{}: {id} rejected, loading or other version", server.id));
                let headers = [
                    ("x-corianderramp-request-id", id.as_str()),
                    ("x-corianderramp-not-run", "1"),
                ];
                return net::respond(stream, if other { 421 } else { 503 }, &headers, "");
            }
            server.running.fetch_add(1, Ordering::SeqCst);
        }
        let text = format!("{}: {id} arrives and runs, {} {}", server.id, request.method, request.path);
        self.record.add(&text);
        self.arrivals.lock().unwrap().push(Arrival {
            id: id.clone(),
            server: server.id.clone(),
            at: Instant::now(),
        });
        let stamp = format!("stamp.{}.{id}", server.id);
        let headers = [
            ("x-corianderramp-request-id", id.as_str()),
            ("x-corianderramp-server-stamp", stamp.as_str()),
        ];
        let result = match server.work {
            Work::Plain(time) => {
                thread::sleep(time);
                net::respond(stream, 200, &headers, format!("done {id}"))
            }
            Work::Engine(count, pause) => {
                let after = request.header("last-event-id").and_then(|e| e.parse().ok());
                let after = after.unwrap_or(0);
                let is_deadly = server.deadly.is_some_and(|d| request.path.contains(d));
                let end = if is_deadly { after + DEADLY_EVENTS } else { count };
                let version = server.version();
                let result = stream_events(stream, &headers, version, (after, end, count), pause);
                if is_deadly && result.is_ok() {
                    self.crash(server);
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let subtract = |n: u64| Some(n.saturating_sub(1));
                let _ = server.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, subtract);
                result
            }
        };
        let end = if result.is_ok() { "ends well" } else { "is cut off by its caller" };
        self.record.add(&format!("{}: the run of {id} {end}", server.id));
        result
    }
}

/// Sends the events after the first number up to the second of so many as the third, and ends the
/// stream after the last one of all.
fn stream_events(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    version: u64,
    (after, end, count): (u32, u32, u32),
    pause: Duration,
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-corianderramp-weight-versions: {version}\r\n",
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    for i in after + 1..=end.min(count) {
        thread::sleep(pause);
        let event = format!("id: {i}\ndata: piece {i} of {count}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(head.as_bytes())?;
        head.clear();
        stream.write_all(chunk.as_bytes())?;
    }
    if end < count { Ok(()) } else { stream.write_all(b"0\r\n\r\n") }
}

/// The origin of weights.
#[derive(Clone)]
pub struct Origin {
    /// Manifests still to be spoilt.
    pub spoilt: Arc<AtomicU64>,
    pub chunks_sent: Arc<AtomicU64>,
    link: Arc<Mutex<()>>,
    record: Record,
}

impl Origin {
    /// Starts an origin. It spoils one digit of a digest in so many answers to requests for the
    /// manifest of version 2.
    pub fn start(address: SocketAddr, spoilt: u64, record: &Record) -> io::Result<Self> {
        let origin = Self {
            spoilt: Arc::new(AtomicU64::new(spoilt)),
            chunks_sent: Arc::default(),
            link: Arc::default(),
            record: record.clone(),
        };
        let served = origin.clone();
        net::serve(address, || true, move |request, stream| served.handle(request, stream))?;
        Ok(origin)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let version = request.param("version").and_then(|v| v.parse().ok()).unwrap_or(1);
        if request.path.starts_with("/manifest/") {
            let mut digests: Vec<String> =
                (0..CHUNKS).map(|i| sha256::hex(&chunk(version, i))).collect();
            let subtract = |n: u64| n.checked_sub(1);
            let is_spoilt = version == 2
                && self.spoilt.fetch_update(Ordering::SeqCst, Ordering::SeqCst, subtract).is_ok();
            if is_spoilt {
                let other = if digests[5].starts_with('0') { "1" } else { "0" };
                digests[5].replace_range(0..1, other);
            }
            self.record.add(&format!("origin: manifest of version {version}, spoilt={is_spoilt}"));
            let body = format!(
                r#"{{"model":"m0","version":{version},"chunk_bytes":{CHUNK_BYTES},"layers":16,"digests":["{}"]}}"#,
                digests.join("\",\"")
            );
            return net::respond(stream, 200, &[("content-type", "application/json")], body);
        }
        let index = request.param("item_count").and_then(|i| i.parse().ok()).unwrap_or(0);
        // 9.9 Mbit/s for all together.
        let _link = self.link.lock().unwrap();
        thread::sleep(Duration::from_micros(CHUNK_BYTES as u64 * 8 * 10 / 99));
        self.chunks_sent.fetch_add(1, Ordering::SeqCst);
        net::respond(stream, 200, &[], chunk(version, index))
    }
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
        r#"{{"version":4,"routes":[{}],"services":[{{"name":"shake-llm","max_connections":1116,"health_path":"/health","engine":{{"slots":12,"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600,"pairs_per_m":0.647,"chunk":2048,"stride":1,"usual":{{"prompt":1000,"answer":120}},"layers":16,"layer_mb":1,"chunks":{CHUNKS},"chunk_bytes":{CHUNK_BYTES},"report_lag_ms":100,"models":[{{"name":"m0","warm_s":0.3}}]}}}},{{"name":"pitch-ledger","max_connections":957,"health_path":"/health"}},{{"name":"depot-admin","max_connections":78,"origin":"{origin}","link_mbps":9.9}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"rounds","api_keys":["key-1"],"priority":1}}]}}"#,
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
        "role = \"{role}\"\nvm = \"{name}\"\ndata_center = \"cb-a\"\nregion = \"central-belt\"\naddress = \"{ip}\"\nports = [7700,7715]\nmetrics = \"{ip}:9464\"\nstore = \"{store}\"\nlink_mbps = {link}\n{place}[bounds]\nstop_ms = 8000\nweights_ms = 8000\nconfig_ms = 3000\n[centers]\n\"cb-a\" = \"central-belt\"\n"
    );
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, text)?;
    Ok(path)
}
