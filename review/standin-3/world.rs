//! World around a small deployment for the scripts of review cases: the platform's store with a
//! proxy before it, model engines, the origin of weights, an operator and clients. Starts the
//! project's own programs as processes. Standard library only.
//!
//! world CASE DAEMON FOLDER: FOLDER gets record.txt; a folder of the system's own for temporary
//! files holds the settings. TROUBLE=0 leaves the disruption out. Exit 1: the rule was broken, 0: it
//! held, 2: the case could not run.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CHUNKS: usize = 64;
const CHUNK_BYTES: usize = 32_768;
const MODEL: &str = "m0";
const CLIENTS_PER_GATEWAY: u32 = 3;
const VERSION_MS: u128 = 8_000;
const KEY: &str = "key-of-rounds";

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    fn add(&self, text: String) -> Instant {
        let now = Instant::now();
        self.lines.lock().unwrap().push((now, text));
        now
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|l| l.0);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", (at - self.start).as_secs_f64());
        }
        let _ = std::fs::write(path, text);
    }
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Reads until the end of a head; returns it and the bytes that follow.
fn read_head(stream: &mut TcpStream, mut rest: Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut buffer = [0; 8_192];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let body = rest.split_off(end + 4);
            return Some((String::from_utf8_lossy(&rest).into_owned(), body));
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => rest.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

fn headers(head: &str) -> HashMap<String, String> {
    let lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    lines
        .map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()))
        .collect()
}

/// Reads a request; returns it and the bytes after it.
fn read_request(stream: &mut TcpStream, rest: Vec<u8>) -> Option<(Request, Vec<u8>)> {
    let (head, mut body) = read_head(stream, rest)?;
    let headers = headers(&head);
    let mut first = head.lines().next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let length: usize = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut buffer = [0; 65_536];
    while body.len() < length {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => body.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
    let rest = body.split_off(length);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    let path = path.to_owned();
    Some((
        Request {
            method,
            path,
            query,
            headers,
            body,
        },
        rest,
    ))
}

fn respond(stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{extra}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves each connection on a thread of its own until the process ends.
fn serve(
    address: SocketAddr,
    handle: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let listener =
        TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("{address}: {e}")));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some((request, more)) = read_request(&mut stream, rest) {
                    rest = more;
                    if !handle(request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":"{}","revision":{},"created_rev":1,"finalizers":[],"deleting":false}},"spec":{},"status":{{}}}}"#,
            self.name, self.revision, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    events: Vec<Object>,
}

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Creates or replaces an object. A write that changes nothing has no effect.
    fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.0.0.lock().unwrap();
        let found = state
            .objects
            .iter()
            .position(|o| o.kind == kind && o.name == name);
        if found.is_some_and(|i| state.objects[i].spec == spec) {
            return;
        }
        state.revision += 1;
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            revision: state.revision,
            spec,
        };
        state.events.push(object.clone());
        match found {
            Some(i) => state.objects[i] = object,
            None => state.objects.push(object),
        }
        self.0.1.notify_all();
    }

    fn start(&self, address: SocketAddr) {
        let store = self.clone();
        serve(address, move |request, stream| {
            let Some(kind) = request.path.strip_prefix("/objects/") else {
                return respond(stream, 404, "", b"");
            };
            thread::sleep(Duration::from_millis(4));
            let body = match request.query.get("watch").and_then(|w| w.parse().ok()) {
                Some(since) => {
                    let wait = request
                        .query
                        .get("wait_ms")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    store.watch(kind, since, Duration::from_millis(wait))
                }
                None => store.list(kind),
            };
            respond(
                stream,
                200,
                "content-type: application/json\r\n",
                body.as_bytes(),
            )
        });
    }

    fn list(&self, kind: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let mut items: Vec<&Object> = state.objects.iter().filter(|o| o.kind == kind).collect();
        items.sort_by(|a, b| a.name.cmp(&b.name));
        let items: Vec<String> = items.iter().map(|o| o.json()).collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"as_of":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let found = state
                .events
                .iter()
                .filter(|o| o.kind == kind && o.revision > since);
            let events: Vec<String> = found
                .map(|o| format!(r#"{{"object":{},"removed":false}}"#, o.json()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"as_of":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- proxy

/// Proxy before the store. An open channel can be made silent for good; new ones work.
#[derive(Clone, Default)]
struct Proxy {
    /// When the last watch of releases passed, and its channel.
    release_watch: Arc<Mutex<Option<(Instant, Arc<AtomicBool>)>>>,
}

impl Proxy {
    fn start(&self, address: SocketAddr, store: SocketAddr) {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| give_up(&format!("{address}: {e}")));
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(to) = TcpStream::connect(store) else {
                    continue;
                };
                let silent = Arc::new(AtomicBool::new(false));
                let (from, back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
                let (watcher, other) = (proxy.release_watch.clone(), silent.clone());
                thread::spawn(move || pump(stream, to, &silent, Some(&watcher)));
                thread::spawn(move || pump(back, from, &other, None));
            }
        });
    }

    /// Makes the channel of the last watch of releases silent.
    fn silence(&self) {
        if let Some((_, silent)) = &*self.release_watch.lock().unwrap() {
            silent.store(true, Ordering::SeqCst);
        }
    }

    fn release_watch(&self) -> Option<Instant> {
        self.release_watch.lock().unwrap().as_ref().map(|w| w.0)
    }
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    silent: &Arc<AtomicBool>,
    watcher: Option<&Mutex<Option<(Instant, Arc<AtomicBool>)>>>,
) {
    let mut buffer = [0; 65_536];
    let mut watches = 0;
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        if silent.load(Ordering::SeqCst) {
            continue;
        }
        if let Some(watcher) = watcher
            && String::from_utf8_lossy(&buffer[..n]).starts_with("GET /objects/versions?watch=")
        {
            watches += 1;
            // A node that turns to the store for a moment opens a channel for one or two calls.
            if watches >= 3 {
                *watcher.lock().unwrap() = Some((Instant::now(), silent.clone()));
            }
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------- weights

fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut x = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64 + 1);
    let mut bytes = Vec::with_capacity(CHUNK_BYTES);
    while bytes.len() < CHUNK_BYTES {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        bytes.extend_from_slice(&x.to_le_bytes());
    }
    bytes
}

fn sha256(data: &[u8]) -> String {
    let primes: Vec<u64> = (2..312u64)
        .filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0))
        .collect();
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let k: Vec<u32> = primes
        .iter()
        .take(64)
        .map(|p| fraction((*p as f64).cbrt()))
        .collect();
    let mut h: Vec<u32> = primes
        .iter()
        .take(8)
        .map(|p| fraction((*p as f64).sqrt()))
        .collect();
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(data.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w: Vec<u32> = block
            .chunks(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
            .collect();
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w.push(
                w[i - 16]
                    .wrapping_add(s0)
                    .wrapping_add(w[i - 7])
                    .wrapping_add(s1),
            );
        }
        let mut v = h.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let ch = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7]
                .wrapping_add(s1)
                .wrapping_add(ch)
                .wrapping_add(k[i])
                .wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let t2 = s0.wrapping_add((v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]));
            v = vec![
                t1.wrapping_add(t2),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(t1),
                v[4],
                v[5],
                v[6],
            ];
        }
        h.iter_mut()
            .zip(v)
            .for_each(|(h, v)| *h = h.wrapping_add(v));
    }
    h.iter().map(|n| format!("{n:08x}")).collect()
}

fn start_origin(address: SocketAddr) {
    let manifests: Mutex<HashMap<u64, String>> = Mutex::default();
    serve(address, move |request, stream| {
        let version = request
            .query
            .get("version")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1);
        if request.path.starts_with("/manifest/") {
            let mut manifests = manifests.lock().unwrap();
            let body = manifests.entry(version).or_insert_with(|| {
                let digests: Vec<String> =
                    (0..CHUNKS).map(|i| format!("\"{}\"", sha256(&chunk(version, i)))).collect();
                format!(
                    r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{CHUNK_BYTES},"layers":16,"digests":[{}]}}"#,
                    digests.join(",")
                )
            });
            return respond(
                stream,
                200,
                "content-type: application/json\r\n",
                body.as_bytes(),
            );
        }
        let index = request.query.get("item_count").and_then(|i| i.parse().ok());
        match index.filter(|i| *i < CHUNKS) {
            // The link of the origin: 9.9 Mbit/s.
            Some(index) => {
                thread::sleep(Duration::from_millis(26));
                respond(stream, 200, "", &chunk(version, index))
            }
            None => respond(stream, 404, "", b""),
        }
    });
}

// ---------------------------------------------------------------- engines

#[derive(Default)]
struct Holdings {
    version: u64,
    sequence: u64,
    running: u32,
    busy: bool,
    staged: HashMap<usize, Vec<u8>>,
}

struct Engine {
    id: String,
    address: SocketAddr,
    born: u128,
    store: Store,
    record: Record,
    state: Mutex<Holdings>,
    /// Request, version and time of each begin.
    begun: Mutex<Vec<(String, u64, Instant)>>,
}

impl Engine {
    fn start(id: String, address: SocketAddr, store: &Store, record: &Record) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let state = Holdings {
            version: 1,
            staged: (0..CHUNKS).map(|i| (i, chunk(1, i))).collect(),
            ..Holdings::default()
        };
        let engine = Arc::new(Self {
            id,
            address,
            born,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::new(state),
            begun: Mutex::default(),
        });
        engine.register();
        let served = engine.clone();
        serve(address, move |request, stream| {
            served.handle(&request, stream)
        });
        engine
    }

    fn models(&self) -> String {
        let version = self.state.lock().unwrap().version;
        if version == 0 {
            return "[]".into();
        }
        format!(r#"[{{"name":"{MODEL}","version":{version},"adapters":[]}}]"#)
    }

    fn register(&self) {
        let (models, sequence) = (self.models(), self.state.lock().unwrap().sequence);
        let spec = format!(
            r#"{{"service":"llm","address":"{}","zone":"z-a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{},"stage":"both","models":{models}}}"#,
            self.address, self.born
        );
        self.store.put("servers", &self.id, spec);
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let index = request.query.get("item_count").and_then(|i| i.parse().ok());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => {
                let models = self.models();
                let state = self.state.lock().unwrap();
                let body = format!(
                    r#"{{"stage":"both","models":{models},"busy":{},"sequence":{},"queued":0,"running":{},"kv_used":0,"kv_total":1640000,"handles":0,"pace":1.0,"born":{}}}"#,
                    state.busy, state.sequence, state.running, self.born
                );
                drop(state);
                respond(
                    stream,
                    200,
                    "content-type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            ("PUT", path) if path.starts_with("/stage-put/") => {
                let Some(index) = index else {
                    return respond(stream, 400, "", b"");
                };
                self.state
                    .lock()
                    .unwrap()
                    .staged
                    .insert(index, request.body.clone());
                respond(stream, 200, "", b"")
            }
            ("GET", path) if path.starts_with("/stage-get/") => {
                let staged =
                    index.and_then(|i: usize| self.state.lock().unwrap().staged.get(&i).cloned());
                match staged {
                    Some(data) => respond(stream, 200, "", &data),
                    None => respond(stream, 404, "", b""),
                }
            }
            ("POST", "/order") => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                respond(stream, status, "", b"")
            }
            ("POST", _) => self.run(request, stream),
            _ => respond(stream, 404, "", b""),
        }
    }

    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let number = |name: &str| -> Option<u64> {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            rest.split([',', '}']).next()?.trim().parse().ok()
        };
        let Some(version) = number("version") else {
            return 400;
        };
        let mut state = self.state.lock().unwrap();
        if state.version == version && !state.busy {
            return 200;
        }
        if state.busy || number("precondition").is_some_and(|p| p != state.sequence) {
            return 409;
        }
        let is_whole = (0..CHUNKS).all(|i| state.staged.get(&i) == Some(&chunk(version, i)));
        state.busy = true;
        state.sequence += 1;
        drop(state);
        let note = if is_whole { "whole" } else { "NOT WHOLE" };
        self.record.add(format!(
            "engine {} takes the order for version {version}, {note}",
            self.id
        ));
        let engine = self.clone();
        thread::spawn(move || {
            while engine.state.lock().unwrap().running > 0 {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(Duration::from_millis(300));
            {
                let mut state = engine.state.lock().unwrap();
                state.version = version;
                state.busy = false;
            }
            engine.register();
            engine
                .record
                .add(format!("engine {} holds version {version}", engine.id));
        });
        202
    }

    /// Runs a request: the first token after 30 ms, then nine more events.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let id = header("x-corianderramp-request-id");
        let not_run = format!("x-corianderramp-not-run: 1\r\nx-corianderramp-request-id: {id}\r\n");
        let expected = header("x-corianderramp-expect-version");
        let version = {
            let mut state = self.state.lock().unwrap();
            let is_other = !expected.is_empty() && expected != state.version.to_string();
            if header("x-corianderramp-expect-instance") != self.id || is_other {
                drop(state);
                return respond(stream, 421, &not_run, b"");
            }
            if state.busy || state.version == 0 || state.running >= 16 {
                drop(state);
                return respond(stream, 503, &not_run, b"");
            }
            state.running += 1;
            state.version
        };
        thread::sleep(Duration::from_millis(30));
        self.begun
            .lock()
            .unwrap()
            .push((id.clone(), version, Instant::now()));
        self.record.add(format!(
            "request {id} begins on version {version} at {}",
            self.id
        ));
        let after: u64 = header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-corianderramp-request-id: {id}\r\nx-corianderramp-server-stamp: {}.{id}\r\nx-corianderramp-weight-versions: {version}\r\n\r\n",
            self.id
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for event in after + 1..=10 {
            let data = format!("id: {event}\ndata: token {event} of {id}\n\n");
            is_open = is_open
                && stream
                    .write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())
                    .is_ok();
            if !is_open {
                break;
            }
            thread::sleep(Duration::from_millis(15));
        }
        is_open = is_open && stream.write_all(b"0\r\n\r\n").is_ok();
        self.state.lock().unwrap().running -= 1;
        is_open
    }
}

// ---------------------------------------------------------------- plain servers

/// Server of the plain service.
struct Desk {
    id: String,
    /// Requests that it ran.
    ran: Mutex<Vec<String>>,
}

impl Desk {
    fn start(id: String, address: SocketAddr, store: &Store, record: &Record) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let spec = format!(
            r#"{{"service":"desk","address":"{address}","zone":"z-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":0,"born":{born}}}"#
        );
        store.put("servers", &id, spec);
        let desk = Arc::new(Self {
            id,
            ran: Mutex::default(),
        });
        let (served, record) = (desk.clone(), record.clone());
        serve(address, move |request, stream| {
            let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
            let id = header("x-corianderramp-request-id");
            let echo = format!("x-corianderramp-request-id: {id}\r\n");
            if header("x-corianderramp-expect-instance") != served.id {
                return respond(
                    stream,
                    421,
                    &format!("{echo}x-corianderramp-not-run: 1\r\n"),
                    b"",
                );
            }
            record.add(format!("server {} runs request {id}", served.id));
            served.ran.lock().unwrap().push(id.clone());
            thread::sleep(Duration::from_millis(15));
            let extra = format!(
                "{echo}x-corianderramp-server-stamp: {}.{id}\r\nx-corianderramp-server-load: 1,0,6\r\n",
                served.id
            );
            respond(stream, 200, &extra, format!("booked {id}").as_bytes())
        });
        desk
    }
}

// ---------------------------------------------------------------- clients

/// Sends one streaming request on a new channel; returns the status and whether the answer is
/// complete.
fn send(gateway: SocketAddr, id: &str) -> Option<(u16, bool)> {
    let request = format!(
        "POST /plan/round HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\napi-key: {KEY}\r\nx-corianderramp-request-id: {id}\r\nx-corianderramp-deadline-ms: 6000\r\nx-corianderramp-model: {MODEL}\r\nx-corianderramp-token-count: 640,60\r\nx-corianderramp-prompt-prefix: 5c1e07a2:40,{:x}:600\r\ncontent-length: 2\r\n\r\n{{}}",
        id.bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into()))
    );
    let (status, headers, body) = exchange(gateway, &request)?;
    let is_chunked = headers.contains_key("transfer-encoding");
    Some((status, !is_chunked || body.ends_with(b"0\r\n\r\n")))
}

/// Sends one booking on a new channel; returns the status, the headers and the body.
fn book(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
) -> Option<(u16, HashMap<String, String>, Vec<u8>)> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\napi-key: {key}\r\nx-corianderramp-request-id: {id}\r\nx-corianderramp-deadline-ms: 1500\r\ncontent-length: 16\r\n\r\n{id:016}"
    );
    exchange(gateway, &request)
}

fn exchange(gateway: SocketAddr, request: &str) -> Option<(u16, HashMap<String, String>, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let (head, mut body) = read_head(&mut stream, Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let _ = stream.read_to_end(&mut body);
    Some((status, headers(&head), body))
}

// ---------------------------------------------------------------- processes

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_process(daemon: &str, settings: &Path) -> Process {
    let log = std::fs::File::create(settings.with_extension("log")).unwrap();
    let child = Command::new(daemon)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| give_up(&format!("{daemon}: {e}")));
    Process(child)
}

fn give_up(reason: &str) -> ! {
    eprintln!("can't run: {reason}");
    std::process::exit(2)
}

struct Net(u8, u8);

impl Net {
    /// A loopback network of its own for each run.
    fn draw() -> Self {
        let mut bytes = [0; 2];
        let _ = std::fs::File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut bytes));
        Self(64 + bytes[0] % 128, bytes[1])
    }

    fn at(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(
            Ipv4Addr::new(127, self.0, self.1, vm),
            port,
        ))
    }
}

fn settings(net: &Net, role: &str, vm: u8, store: SocketAddr) -> String {
    let own = net.at(vm, 0).ip();
    let part = if role == "gateway" {
        format!("[listen]\ncallers = \"{own}:8005\"\nprobes = \"{own}:8002\"\n")
    } else {
        format!("[target]\naddress = \"{own}:9000\"\nservice = \"llm\"\n")
    };
    let mbps = if role == "gateway" { 700.0 } else { 7.6 };
    format!(
        "role = \"{role}\"\nvm = \"{role}-{vm}\"\ndata_center = \"z-a\"\nregion = \"r\"\naddress = \"{own}\"\nports = [7700, 7715]\nmetrics = \"{own}:9464\"\nstore = \"{store}\"\nlink_mbps = {mbps:.1}\n{part}[bounds]\nstop_ms = 8e3\nweights_ms = 8000\nconfig_ms = 2000\nleaving_ms = 2000\n[centers]\n\"z-a\" = \"r\"\n"
    )
}

/// Tenants of the first configuration.
fn tenants() -> String {
    format!(r#"[{{"name":"rounds","api_keys":["{KEY}"]}}]"#)
}

fn config(version: u64, origin: SocketAddr, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"plan","host":"a.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"gap_target_ms":300,"priority":1,"service":"llm","max_attempts":2,"public":false,"stream_resume":true,"session_affinity":true}},{{"name":"book","host":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false}}],"services":[{{"name":"desk","max_connections":214}},{{"name":"llm","max_connections":780,"engine":{{"slots":16,"step_ms":6.73,"per_seq_ms":0.05,"read_per_s":30600.0,"usual":{{"prompt":640,"answer":60}},"layers":16,"chunks":{CHUNKS},"models":[{{"name":"{MODEL}","warm_s":0.3}}]}}}},{{"name":"depot","origin":"{origin}","link_mbps":9.9,"max_connections":103}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#
    )
}

fn temp_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("world-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| give_up(&e.to_string()));
    folder
}

// ---------------------------------------------------------------- cases

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, daemon, folder] = args.as_slice() else {
        give_up("usage: world CASE DAEMON FOLDER")
    };
    let is_troubled = std::env::var("TROUBLE")
        .is_ok_and(|t| t == "0")
        .then_some(())
        .is_none();
    let temp = temp_folder();
    let code = match case.as_str() {
        "silent-release" => silent_release(daemon, Path::new(folder), &temp, is_troubled),
        "partial-entry" => partial_entry(daemon, Path::new(folder), &temp, is_troubled),
        "last-tenant" => last_tenant(daemon, Path::new(folder), &temp, is_troubled),
        "low-rank" => low_rank(daemon, Path::new(folder), &temp, is_troubled),
        _ => give_up("unknown case"),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    std::process::exit(code)
}

/// The system's processes with everything around them.
struct World {
    record: Record,
    store: Store,
    proxy: Proxy,
    net: Net,
    engines: Vec<Arc<Engine>>,
    desks: Vec<Arc<Desk>>,
    /// Addresses of the gateways for clients.
    callers: Vec<SocketAddr>,
    processes: Vec<Process>,
}

impl World {
    /// Starts the processes and waits until each gateway serves; `None` if one does not.
    fn start(daemon: &str, temp: &Path, hosts: u8, gateways: u8, desks: u8) -> Option<Self> {
        let (net, record, store, proxy) = (
            Net::draw(),
            Record::new(),
            Store::default(),
            Proxy::default(),
        );
        let (store_at, proxy_at, origin_at) = (net.at(1, 8000), net.at(1, 8007), net.at(2, 8000));
        store.start(store_at);
        proxy.start(proxy_at, store_at);
        start_origin(origin_at);
        store.put(
            "versions",
            MODEL,
            format!(r#"{{"model":"{MODEL}","version":1}}"#),
        );
        let hosts: Vec<u8> = (10..10 + hosts).collect();
        let engines = hosts
            .iter()
            .map(|vm| Engine::start(format!("i-{vm:08x}"), net.at(*vm, 9000), &store, &record));
        let engines = engines.collect();
        let desks = (60..60 + desks)
            .map(|vm| Desk::start(format!("i-{vm:08x}"), net.at(vm, 9000), &store, &record));
        let desks = desks.collect();
        store.put("config", "main", config(1, origin_at, &tenants()));
        let gateways: Vec<u8> = (40..40 + gateways).collect();
        let mut processes = Vec::new();
        for (role, vms) in [("host", &hosts), ("gateway", &gateways)] {
            for vm in vms {
                let path = temp.join(format!("{role}-{vm}.toml"));
                std::fs::write(&path, settings(&net, role, *vm, proxy_at)).ok()?;
                processes.push(start_process(daemon, &path));
            }
        }
        let limit = Instant::now() + Duration::from_secs(15);
        let callers: Vec<SocketAddr> = gateways.iter().map(|vm| net.at(*vm, 8005)).collect();
        while !callers
            .iter()
            .all(|g| send(*g, &format!("warm-{g}")).is_some_and(|a| a.0 == 200))
        {
            if Instant::now() > limit {
                eprintln!("can't run: a gateway does not serve");
                return None;
            }
            thread::sleep(Duration::from_millis(200));
        }
        Some(Self {
            record,
            store,
            proxy,
            net,
            engines,
            desks,
            callers,
            processes,
        })
    }
}

/// The channel on which a host watches the releases goes silent; just after that, new weights are
/// named. New channels work.
fn silent_release(daemon: &str, folder: &Path, temp: &Path, is_troubled: bool) -> i32 {
    const HOSTS: u8 = 9;
    let Some(world) = World::start(daemon, temp, HOSTS, 4, 0) else {
        return 2;
    };
    let World {
        record,
        store,
        proxy,
        engines,
        callers,
        processes,
        ..
    } = world;
    let (is_over, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = callers
        .iter()
        .flat_map(|g| (0..CLIENTS_PER_GATEWAY).map(move |n| (*g, n)))
        .map(|(gateway, n)| {
            let (is_over, count, record) = (is_over.clone(), count.clone(), record.clone());
            thread::spawn(move || {
                let mut served = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!(
                        "{:016x}",
                        0x1000_0000 + count.fetch_add(1, Ordering::Relaxed)
                    );
                    record.add(format!("client {n} sends request {id} to {gateway}"));
                    let answer = send(gateway, &id);
                    served += u32::from(matches!(answer, Some((200, true))));
                    record.add(format!("request {id} is answered {answer:?}"));
                    thread::sleep(Duration::from_millis(40));
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    // The next watch of the releases begins; the answer to it will be lost.
    let before = proxy.release_watch();
    let limit = Instant::now() + Duration::from_secs(10);
    while proxy.release_watch() == before && Instant::now() < limit {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(40));
    if is_troubled {
        proxy.silence();
        record.add("the channel of the watch of releases goes silent".into());
    }
    thread::sleep(Duration::from_millis(20));
    store.put(
        "versions",
        MODEL,
        format!(r#"{{"model":"{MODEL}","version":2}}"#),
    );
    let acked = record.add("the store acknowledges version 2".into());
    thread::sleep(Duration::from_secs(14));
    is_over.store(true, Ordering::Relaxed);
    let served: u32 = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    let holds = engines
        .iter()
        .filter(|e| e.state.lock().unwrap().version == 2)
        .count();
    let mut late = Vec::new();
    for engine in &engines {
        for (id, version, at) in engine.begun.lock().unwrap().iter() {
            let ms = at.saturating_duration_since(acked).as_millis();
            if *version < 2 && ms > VERSION_MS {
                late.push((ms, id.clone(), engine.id.clone()));
            }
        }
    }
    late.sort();
    let last = late.last().map_or(0, |l| l.0);
    record.add(format!(
        "{served} requests served, {holds} of {HOSTS} engines hold version 2"
    ));
    record.add(format!(
        "{} requests began on version 1 later than {VERSION_MS} ms, the last after {last} ms",
        late.len()
    ));
    drop(processes);
    record.write(&folder.join("record.txt"));
    println!(
        "VERSION: {} late begins, the last {last} ms after the acknowledgement",
        late.len()
    );
    if !late.is_empty() {
        return 1;
    }
    if served < 100 || holds < HOSTS.into() {
        eprintln!("can't judge: {served} requests served, {holds} engines hold version 2");
        return 2;
    }
    0
}

/// An entry of another writer appears among the servers: some of the fields that the platform's page
/// lists are missing. What listens at its address is no server of the platform.
fn partial_entry(daemon: &str, folder: &Path, temp: &Path, is_troubled: bool) -> i32 {
    let Some(world) = World::start(daemon, temp, 3, 2, 3) else {
        return 2;
    };
    let World {
        record,
        store,
        net,
        desks,
        callers,
        processes,
        ..
    } = world;
    let foreign = net.at(90, 9000);
    let taken: Arc<Mutex<Vec<String>>> = Arc::default();
    let (listener, log) = (taken.clone(), record.clone());
    serve(foreign, move |request, stream| {
        let id = request
            .headers
            .get("x-corianderramp-request-id")
            .cloned()
            .unwrap_or_default();
        log.add(format!(
            "the program at the foreign address gets {} {} with request {id}",
            request.method, request.path
        ));
        listener.lock().unwrap().push(id);
        respond(stream, 200, "content-type: text/plain\r\n", b"it works")
    });
    let mut answers = Vec::new();
    for round in 0..2 {
        if round == 1 && is_troubled {
            let spec = format!(
                r#"{{"service":"desk","address":"{foreign}","zone":"z-a","slots":6,"state":"ready"}}"#
            );
            store.put("servers", "desk-of-another-writer", spec);
            record.add("an entry without version, cold_remaining_ms and sequence appears".into());
        }
        thread::sleep(Duration::from_secs(3));
        for n in 0..100 {
            let id = format!("{:016x}", 0x2000_0000 + round * 1000 + n);
            record.add(format!("client sends booking {id}"));
            let answer = book(callers[n % callers.len()], "/book/pitch", &id, KEY);
            let status = answer.as_ref().map(|a| a.0);
            let stamp = answer
                .as_ref()
                .and_then(|a| a.1.get("x-corianderramp-server-stamp").cloned());
            let body = answer.map(|a| String::from_utf8_lossy(&a.2).into_owned());
            record.add(format!(
                "booking {id} is answered {status:?}, stamp {stamp:?}, body {body:?}"
            ));
            answers.push((id, status, stamp));
            thread::sleep(Duration::from_millis(20));
        }
    }
    drop(processes);
    let ran: Vec<String> = desks
        .iter()
        .flat_map(|d| d.ran.lock().unwrap().clone())
        .collect();
    let is_success = |status: &Option<u16>| status.is_some_and(|s| (200..300).contains(&s));
    let served = answers
        .iter()
        .filter(|(_, status, stamp)| is_success(status) && stamp.is_some())
        .count();
    let mixed: Vec<&String> = answers
        .iter()
        .filter(|(_, status, stamp)| is_success(status) && stamp.is_none())
        .map(|a| &a.0)
        .collect();
    let lost = mixed.iter().filter(|id| !ran.contains(id)).count();
    let sent = taken.lock().unwrap().len();
    let summary = format!(
        "{} bookings, {served} answered by a server; {sent} went to the foreign address, {} were answered 2xx without a stamp, of which no server ran {lost}",
        answers.len(),
        mixed.len()
    );
    record.add(summary.clone());
    record.write(&folder.join("record.txt"));
    println!("MIXED: {summary}");
    if !mixed.is_empty() {
        return 1;
    }
    if served < 150 {
        return 2;
    }
    0
}

/// A new version of the configuration takes the last tenant away. Clients go on with its key, and
/// others come with a key that no configuration ever held.
fn last_tenant(daemon: &str, folder: &Path, temp: &Path, is_troubled: bool) -> i32 {
    const UNKNOWN: &str = "key-that-no-config-held";
    let Some(world) = World::start(daemon, temp, 3, 2, 3) else {
        return 2;
    };
    let World {
        record,
        store,
        net,
        desks,
        callers,
        processes,
        ..
    } = world;
    let mut answers = Vec::new();
    for round in 0..2 {
        if round == 1 {
            let rest = if is_troubled {
                "[]".to_owned()
            } else {
                tenants()
            };
            store.put("config", "main", config(2, net.at(2, 8000), &rest));
            record.add(format!(
                "the store acknowledges version 2 of the config, tenants {rest}"
            ));
            // The bound is config_apply_ms, 2 s.
            thread::sleep(Duration::from_secs(4));
        }
        for n in 0..100 {
            let key = if n % 2 == 0 { KEY } else { UNKNOWN };
            let id = format!("{:016x}", 0x3000_0000 + round * 1000 + n);
            record.add(format!("client sends booking {id} with {key}"));
            let status = book(callers[n / 2 % callers.len()], "/book/pitch", &id, key).map(|a| a.0);
            record.add(format!("booking {id} is answered {status:?}"));
            answers.push((round, key, id, status));
            thread::sleep(Duration::from_millis(20));
        }
    }
    drop(processes);
    let ran: Vec<String> = desks
        .iter()
        .flat_map(|d| d.ran.lock().unwrap().clone())
        .collect();
    let count = |round: usize, key: &str| {
        let found = answers
            .iter()
            .filter(|a| a.0 == round && a.1 == key && ran.contains(&a.2));
        found.count()
    };
    let (held, before) = (count(0, KEY), count(0, UNKNOWN));
    let (dropped, unknown) = (count(1, KEY), count(1, UNKNOWN));
    let summary = format!(
        "ran before version 2: {held} of 50 with the tenant's key, {before} of 50 with an unknown one; 4 s after it: {dropped} and {unknown}"
    );
    record.add(summary.clone());
    record.write(&folder.join("record.txt"));
    println!("ROUTE: {summary}");
    if before > 0 || unknown > 0 || (is_troubled && dropped > 0) {
        return 1;
    }
    if held < 45 || (!is_troubled && dropped < 45) {
        return 2;
    }
    0
}

/// Version 2 of the configuration adds a route of low rank and takes one of two tenants away; version
/// 3 only changes a time-out.
fn low_rank(daemon: &str, folder: &Path, temp: &Path, is_troubled: bool) -> i32 {
    const DROPPED: &str = "key-that-is-taken-away";
    let Some(world) = World::start(daemon, temp, 3, 2, 3) else {
        return 2;
    };
    let World {
        record,
        store,
        net,
        desks,
        callers,
        processes,
        ..
    } = world;
    let origin = net.at(2, 8000);
    let two = format!(
        r#"[{{"name":"rounds","api_keys":["{KEY}"]}},{{"name":"leaver","api_keys":["{DROPPED}"]}}]"#
    );
    store.put("config", "main", config(2, origin, &two));
    record.add("the store acknowledges version 2 of the config, with two tenants".into());
    let rank = if is_troubled { 300 } else { 3 };
    let route = format!(
        r#""routes":[{{"name":"late","host":"a.example","path_prefix":"/late/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,"priority":{rank},"service":"desk","max_attempts":2,"public":false}},"#
    );
    let mut answers = Vec::new();
    for round in 0..3 {
        if round > 0 {
            let version = round + 2;
            let next = config(version, origin, &tenants()).replacen(r#""routes":["#, &route, 1);
            store.put("config", "main", next);
            record.add(format!(
                "the store acknowledges version {version} of the config, with one tenant and a route of priority {rank}"
            ));
        }
        // The bound is config_apply_ms, 2 s.
        thread::sleep(Duration::from_secs(4));
        for n in 0..60 {
            let (path, key) = [
                ("/book/pitch", KEY),
                ("/book/pitch", DROPPED),
                ("/late/pitch", KEY),
            ][n % 3];
            let id = format!("{:016x}", 0x5000_0000 + round as usize * 1000 + n);
            record.add(format!("client sends booking {id} to {path} with {key}"));
            let status = book(callers[n / 3 % callers.len()], path, &id, key).map(|a| a.0);
            record.add(format!("booking {id} is answered {status:?}"));
            answers.push((round, n % 3, id, status));
            thread::sleep(Duration::from_millis(20));
        }
    }
    drop(processes);
    let ran: Vec<String> = desks
        .iter()
        .flat_map(|d| d.ran.lock().unwrap().clone())
        .collect();
    let count = |is_late: bool, kind: usize, is_counted: &dyn Fn(&str, Option<u16>) -> bool| {
        let found = answers
            .iter()
            .filter(|a| (a.0 > 0) == is_late && a.1 == kind);
        found.filter(|a| is_counted(&a.2, a.3)).count()
    };
    let has_run = |id: &str, _: Option<u16>| ran.iter().any(|r| r == id);
    let is_unknown = |_: &str, status: Option<u16>| status == Some(404);
    let before = count(false, 1, &has_run);
    let (kept, dropped) = (count(true, 0, &has_run), count(true, 1, &has_run));
    let (missing, served) = (count(true, 2, &is_unknown), count(true, 2, &has_run));
    let summary = format!(
        "4 s after versions 3 and 4, of 40 each: {dropped} ran with the key that was taken away ({before} of 20 before), {missing} on the new route got 404 and {served} ran, {kept} on the old route ran"
    );
    record.add(summary.clone());
    record.write(&folder.join("record.txt"));
    println!("CONFIG: {summary}");
    if dropped > 0 || missing > 0 {
        return 1;
    }
    if before < 18 || kept < 36 || served < 36 {
        return 2;
    }
    0
}
