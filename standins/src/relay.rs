//! TCP relay that plays the links between VMs.
//!
//! Each VM has listeners here whose connections are forwarded to the VM's own
//! address. The source VM is known by the source address of a connection, as
//! each process binds to its own loopback address. Bytes pass the uplink of
//! the sender, the downlink of the receiver and, between regions, the link of
//! that pair.
//!
//! - `PUT /faults` takes the list of all [`Rule`]s in force.
//! - `GET /stats` returns [`Stats`].

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::toolkit;

mod flow;

/// Settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the relay's own HTTP interface.
    pub control: SocketAddr,
    /// VMs with their links.
    pub vms: Vec<Vm>,
    /// Links between regions, one entry per direction.
    #[serde(default)]
    pub regions: Vec<RegionLink>,
}

/// A VM with its links.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Source address of its connections.
    pub address: IpAddr,
    /// Rate of the uplink, bytes per second; 0 for no limit.
    #[serde(default)]
    pub up: f64,
    /// Rate of the downlink, bytes per second; 0 for no limit.
    #[serde(default)]
    pub down: f64,
    /// Ports that are forwarded to the VM.
    #[serde(default)]
    pub ports: Vec<Port>,
}

/// A forwarded port.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Port {
    /// Address of the relay.
    pub listen: SocketAddr,
    /// Address of the VM.
    pub forward: SocketAddr,
}

/// Link from one region to another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLink {
    /// Region of the sender.
    pub from: String,
    /// Region of the receiver.
    pub to: String,
    /// Rate, bytes per second; 0 for no limit.
    pub rate: f64,
    /// One-way delay, milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Connections break and new ones are closed at once.
    Cut,
    /// Nothing passes, and connections stay open.
    Freeze,
    /// Like `freeze`, but only for connections that exist already.
    FreezeOld,
    /// One byte of each larger piece is wrong.
    Corrupt,
}

/// Fault on all links from one place to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// VM or region of the sender; `*` for all.
    pub from: String,
    /// VM or region of the receiver; `*` for all.
    pub to: String,
    /// What happens to the bytes.
    pub mode: Mode,
}

/// Bytes that passed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Bytes per VM.
    pub vms: Vec<VmBytes>,
    /// Bytes per pair of regions.
    pub regions: Vec<RegionBytes>,
}

/// Bytes that a VM sent and received.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmBytes {
    /// Name of the VM.
    pub name: String,
    /// Bytes sent.
    pub up: u64,
    /// Bytes received.
    pub down: u64,
}

/// Bytes that passed from one region to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RegionBytes {
    /// Region of the sender.
    pub from: String,
    /// Region of the receiver.
    pub to: String,
    /// Bytes.
    pub bytes: u64,
}

#[derive(Debug)]
struct Link {
    bucket: toolkit::Bucket,
    bytes: AtomicU64,
    delay: Duration,
}

impl Link {
    fn new(rate: f64, delay_ms: u64) -> Self {
        Self {
            bucket: toolkit::Bucket::new(rate),
            bytes: AtomicU64::new(0),
            delay: Duration::from_millis(delay_ms),
        }
    }

    fn passed(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct Member {
    name: String,
    region: String,
    address: IpAddr,
    up: Link,
    down: Link,
}

#[derive(Debug)]
struct Pair {
    from: String,
    to: String,
    link: Link,
}

/// Rules with the time at which they came into force, as a count of changes.
#[derive(Clone, Debug, Default)]
struct Rules {
    change: u64,
    list: Arc<Vec<Rule>>,
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    pairs: Vec<Pair>,
    rules: watch::Sender<Rules>,
}

/// A running relay; it stops when dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address of its HTTP interface.
    pub control: SocketAddr,
    state: Arc<State>,
    tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay in this process.
    ///
    /// # Errors
    /// Fails when an address can't be listened at.
    pub async fn start(settings: Settings) -> Result<Self, toolkit::Error> {
        let state = Arc::new(State::new(&settings));
        let mut tasks = JoinSet::new();
        for (index, vm) in settings.vms.iter().enumerate() {
            for port in &vm.ports {
                let listener = bind(port.listen).await?;
                tasks.spawn(accept(state.clone(), listener, index, port.forward));
            }
        }
        let listener = bind(settings.control).await?;
        let what = settings.control.to_string();
        let control = listener
            .local_addr()
            .context(toolkit::IoSnafu { what: &what })?;
        let shared = state.clone();
        let handler = move |request| answer(shared.clone(), request);
        tasks.spawn(toolkit::serve(listener, handler));
        Ok(Self {
            control,
            state,
            tasks,
        })
    }

    /// Replaces all rules.
    pub fn set_rules(&self, rules: Vec<Rule>) {
        self.state.set_rules(rules);
    }

    /// Bytes that passed since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }
}

/// Runs until the process is stopped.
///
/// # Errors
/// Fails when its settings can't be used.
pub async fn run(settings: Settings) -> Result<(), toolkit::Error> {
    let mut relay = Relay::start(settings).await?;
    while relay.tasks.join_next().await.is_some() {}
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, toolkit::Error> {
    let what = address.to_string();
    TcpListener::bind(address)
        .await
        .context(toolkit::IoSnafu { what: &what })
}

impl State {
    fn new(settings: &Settings) -> Self {
        let member = |vm: &Vm| Member {
            name: vm.name.clone(),
            region: vm.region.clone(),
            address: vm.address,
            up: Link::new(vm.up, 0),
            down: Link::new(vm.down, 0),
        };
        let pair = |link: &RegionLink| Pair {
            from: link.from.clone(),
            to: link.to.clone(),
            link: Link::new(link.rate, link.delay_ms),
        };
        Self {
            members: settings.vms.iter().map(member).collect(),
            pairs: settings.regions.iter().map(pair).collect(),
            rules: watch::Sender::default(),
        }
    }

    fn source(&self, address: IpAddr) -> Option<usize> {
        self.members.iter().position(|m| m.address == address)
    }

    fn pair(&self, from: &Member, to: &Member) -> Option<&Link> {
        let found = self
            .pairs
            .iter()
            .find(|p| p.from == from.region && p.to == to.region);
        found.map(|p| &p.link)
    }

    fn set_rules(&self, rules: Vec<Rule>) {
        self.rules.send_modify(|r| {
            r.change += 1;
            r.list = Arc::new(rules);
        });
    }

    fn stats(&self) -> Stats {
        let vm = |m: &Member| VmBytes {
            name: m.name.clone(),
            up: m.up.passed(),
            down: m.down.passed(),
        };
        let region = |p: &Pair| RegionBytes {
            from: p.from.clone(),
            to: p.to.clone(),
            bytes: p.link.passed(),
        };
        Stats {
            vms: self.members.iter().map(vm).collect(),
            regions: self.pairs.iter().map(region).collect(),
        }
    }
}

async fn accept(state: Arc<State>, listener: TcpListener, to: usize, forward: SocketAddr) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if let Some(from) = state.source(peer.ip()) {
            tokio::spawn(connect(state.clone(), stream, from, to, forward));
        }
    }
}

async fn connect(state: Arc<State>, near: TcpStream, from: usize, to: usize, forward: SocketAddr) {
    let cut = state.rules.borrow().clone();
    let there = flow::Way { from, to };
    let back = flow::Way { from: to, to: from };
    let refused = |way| flow::mode(&state, way, &cut, cut.change) == Some(Mode::Cut);
    if refused(there) || refused(back) {
        return;
    }
    let Ok(far) = TcpStream::connect(forward).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let born = cut.change;
    tokio::select! {
        () = flow::carry(&state, there, born, near_read, far_write) => {}
        () = flow::carry(&state, back, born, far_read, near_write) => {}
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<toolkit::Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/stats") => {
            let json = serde_json::to_vec(&state.stats()).unwrap_or_default();
            Response::new(toolkit::full(json))
        }
        (&Method::PUT, "/faults") => {
            let body = request.into_body().collect().await;
            let bytes = body.map(http_body_util::Collected::to_bytes);
            let rules = bytes.ok().and_then(|b| serde_json::from_slice(&b).ok());
            let known = rules.is_some();
            if let Some(rules) = rules {
                state.set_rules(rules);
            }
            status(if known {
                StatusCode::OK
            } else {
                StatusCode::BAD_REQUEST
            })
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(code: StatusCode) -> Response<toolkit::Body> {
    let mut response = Response::new(toolkit::full(Bytes::new()));
    *response.status_mut() = code;
    response
}
