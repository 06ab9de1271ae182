//! Callers that keep their connections to gateways, and what they get, for tests of targets
//! that pause or stop.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use serde_json::{Value, json};
use standins::users::{self, Behavior, Target};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::users_fleet::{CHUNKS, Fleet, TIMEOUT, request};

/// Time between two changes of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the deadline in which a caller still waits, so that a late end is seen.
const GRACE: Duration = Duration::from_secs(2);
/// Numbers of the VMs with a gateway.
const GATEWAYS: std::ops::Range<u8> = 24..27;
/// Text of a plain target's answer.
pub const PLAIN: &str = "done";

/// Which route a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Stream,
    Safe,
    Unsafe,
}

impl Kind {
    fn call(self) -> (Method, &'static str) {
        match self {
            Self::Stream => (Method::POST, "/plan/x"),
            Self::Safe => (Method::GET, "/check/x"),
            Self::Unsafe => (Method::POST, "/book/x"),
        }
    }

    fn is_whole(self, body: &str) -> bool {
        match self {
            Self::Stream => events(body) == (1..=10).map(event).collect::<Vec<_>>(),
            Self::Safe | Self::Unsafe => body == PLAIN,
        }
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token{number}")
}

/// Complete events of a stream, without its comments.
fn events(body: &str) -> Vec<String> {
    let (complete, _) = body.rsplit_once("\n\n").unwrap_or_default();
    let blocks = complete.split("\n\n").map(|block| {
        let lines = block.lines().filter(|l| !l.starts_with(':'));
        lines.collect::<Vec<_>>().join("\n")
    });
    blocks.filter(|b| !b.is_empty()).collect()
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub kind: Kind,
    /// Whether there was a connection for the request.
    pub was_sent: bool,
    /// Status; `None` if the connection ended before it.
    pub status: Option<StatusCode>,
    /// Whether the answer was complete and correct.
    pub is_whole: bool,
    /// Time from the request to the end of the answer.
    pub took: Duration,
    /// Longest time without an event, before the first one too.
    pub gap: Duration,
    /// Events that the caller got.
    pub events: usize,
    /// Body as far as it came, without comments.
    pub body: String,
    /// When the request was sent.
    pub sent: Instant,
}

/// Caller that keeps its connection to a gateway.
pub struct Caller {
    gateway: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    pub fn new(gateway: SocketAddr) -> Self {
        Self {
            gateway,
            sender: None,
        }
    }

    /// Opens a connection for the next request.
    pub async fn connect(&mut self) {
        self.sender = self.connection().await;
    }

    /// Connection to the gateway: the kept one if it is still open.
    async fn connection(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        let stream = TcpStream::connect(self.gateway).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Sends a request and reads its answer for as long as its deadline allows.
    pub async fn send(&mut self, kind: Kind, deadline: Duration) -> Answer {
        let id = format!("{:016x}", rand::rng().random::<u64>());
        self.send_as(id, kind, deadline).await
    }

    /// Like [`Caller::send`] with the request id `id`.
    pub async fn send_as(&mut self, id: String, kind: Kind, deadline: Duration) -> Answer {
        let (method, path) = kind.call();
        let mut request = request(method, path, &id);
        let limit = deadline.as_millis().to_string().parse().unwrap();
        let headers = request.headers_mut();
        headers.insert("x-corianderramp-deadline-ms", limit);
        let sent = Instant::now();
        let mut answer = Answer {
            id,
            kind,
            was_sent: false,
            status: None,
            is_whole: false,
            took: Duration::ZERO,
            gap: Duration::ZERO,
            events: 0,
            body: String::new(),
            sent,
        };
        let exchange = self.exchange(request, &mut answer);
        let _ = time::timeout(deadline + GRACE, exchange).await;
        answer.took = sent.elapsed();
        answer
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>, answer: &mut Answer) -> Option<()> {
        let mut sender = self.connection().await?;
        answer.was_sent = true;
        let response = sender.send_request(request).await.ok()?;
        answer.status = Some(response.status());
        read(response.into_body(), answer).await?;
        self.sender = Some(sender);
        Some(())
    }
}

/// Reads a body to its end; `None` if it is cut.
async fn read(mut body: Incoming, answer: &mut Answer) -> Option<()> {
    let mut last = answer.sent;
    let text = &mut answer.body;
    // Comments that came since the last event; they would fill the memory.
    let mut kept = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        text.push_str(&String::from_utf8_lossy(&data));
        let count = events(&text[kept..]).len();
        if count > 0 {
            answer.events += count;
            answer.gap = answer.gap.max(last.elapsed());
            last = Instant::now();
            kept = text.rfind("\n\n").map_or(0, |i| i + 2);
        } else if text[kept..].ends_with("\n\n") {
            text.truncate(kept);
        }
    }
    answer.is_whole = answer.status == Some(StatusCode::OK) && answer.kind.is_whole(text);
    Some(())
}

/// Counts of what callers got and targets received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: usize,
    pub whole: usize,
    /// Status 200 or no status, but no whole answer.
    pub cut: usize,
    /// Status 502 or 504.
    pub errors: usize,
    /// Status 503.
    pub refused: usize,
    pub other: usize,
    pub arrivals: usize,
    /// Unsafe requests and their arrivals at targets.
    pub unsafe_sent: (usize, usize),
    /// Answers of targets that paused.
    pub paused: usize,
    /// Longest gap of a whole answer.
    pub gap: Duration,
}

impl Tally {
    fn add(&mut self, answer: &Answer) {
        self.requests += 1;
        self.unsafe_sent.0 += usize::from(answer.kind == Kind::Unsafe);
        match answer.status.map(|s| s.as_u16()) {
            Some(200) if answer.is_whole => {
                self.whole += 1;
                self.gap = self.gap.max(answer.gap);
            }
            Some(200) | None => self.cut += 1,
            Some(502 | 504) => self.errors += 1,
            Some(503) => self.refused += 1,
            Some(_) => self.other += 1,
        }
    }

    /// Checks that all requests got whole answers, none of them by more sends than could help.
    pub fn assert_whole(&self, helped: usize) {
        assert_eq!(self.whole, self.requests, "{self:?}");
        self.assert_sent(helped);
    }

    /// Checks that no request was sent to more targets than could help its caller.
    pub fn assert_sent(&self, helped: usize) {
        assert!(self.arrivals <= self.requests + helped, "{self:?}");
        assert!(self.unsafe_sent.1 <= self.unsafe_sent.0, "{self:?}");
    }
}

/// What the test's routes have in place of the defaults.
#[derive(Clone, Copy, Debug)]
pub struct Routes {
    pub timeout_ms: u64,
    pub gap_target_ms: Option<u64>,
}

impl Default for Routes {
    fn default() -> Self {
        Self {
            timeout_ms: 8_000,
            gap_target_ms: None,
        }
    }
}

/// Three gateways with engines and their hosts or plain targets.
pub struct Deployment {
    pub fleet: Fleet,
    pub targets: Vec<Target>,
    gateways: Vec<SocketAddr>,
    routes: Routes,
}

impl Deployment {
    /// Starts `engines` engines with hosts and `plain` plain targets behind gateways that serve.
    pub async fn start(index: u8, engines: u8, plain: u8, routes: Routes) -> Self {
        let fleet = Fleet::start(index).await;
        let mut targets = Vec::new();
        for vm in 10..10 + engines {
            fleet.host(vm);
            targets.push(fleet.target(vm, "llm", 1, Behavior::Stream(1, 10)).await);
        }
        for vm in 20..20 + plain {
            let behavior = Behavior::Respond(PLAIN);
            targets.push(fleet.target(vm, "desk", 0, behavior).await);
        }
        let gateways = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
        let deployment = Self {
            fleet,
            targets,
            gateways,
            routes,
        };
        deployment.put_config(2);
        let kind = if engines > 0 {
            Kind::Stream
        } else {
            Kind::Safe
        };
        deployment.wait_until_served(kind).await;
        deployment
    }

    fn put_config(&self, version: u64) {
        let origin = self.fleet.net.address(2, 8000);
        let mut spec = users::config_spec(version, origin, CHUNKS);
        for route in spec["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(self.routes.timeout_ms);
            if let Some(gap) = self.routes.gap_target_ms {
                route["gap_target_ms"] = json!(gap);
            }
        }
        spec["limits"]["max_body_bytes"] = Value::from(65_536 + version);
        self.fleet.store.put("config", "main", spec);
    }

    /// Waits until each gateway serves requests of this kind several times in a row.
    async fn wait_until_served(&self, kind: Kind) {
        for gateway in &self.gateways {
            let serve = async {
                let mut caller = Caller::new(*gateway);
                let mut served = 0;
                while served < 3 {
                    let answer = caller.send(kind, Duration::from_secs(2)).await;
                    served = if answer.is_whole { served + 1 } else { 0 };
                    time::sleep(Duration::from_millis(20)).await;
                }
            };
            let served = time::timeout(TIMEOUT, serve).await;
            assert!(served.is_ok(), "a gateway does not serve {kind:?}");
        }
    }

    pub fn caller(&self, number: usize) -> Caller {
        Caller::new(self.gateways[number % self.gateways.len()])
    }

    fn sum(&self, count: impl Fn(&Target) -> usize) -> usize {
        self.targets.iter().map(count).sum()
    }

    fn unsafe_arrivals(&self) -> usize {
        let (_, path) = Kind::Unsafe.call();
        self.sum(|t| t.received().iter().filter(|r| r.uri.path() == path).count())
    }

    /// Answers in progress at all targets.
    pub fn active(&self) -> usize {
        self.sum(Target::active)
    }

    /// Lets `callers` send one request after the other for `duration`, while the configuration
    /// changes each second.
    pub async fn load(
        &self,
        name: &str,
        kinds: &[Kind],
        callers: usize,
        deadline: Duration,
        duration: Duration,
    ) -> Tally {
        let (arrivals, paused) = (self.sum(|t| t.received().len()), self.sum(Target::paused));
        let unsafe_arrivals = self.unsafe_arrivals();
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for number in 0..callers {
            let mut caller = self.caller(number);
            let kind = kinds[number % kinds.len()];
            tasks.spawn(async move {
                let mut answers = Vec::new();
                while start.elapsed() < duration {
                    answers.push(caller.send(kind, deadline).await);
                    let pause = rand::rng().random_range(5..25);
                    time::sleep(Duration::from_millis(pause)).await;
                }
                answers
            });
        }
        let change = async {
            let mut ticks = time::interval(CONFIG_INTERVAL);
            for version in 3.. {
                ticks.tick().await;
                self.put_config(version);
            }
        };
        let answers = tokio::select! {
            answers = tasks.join_all() => answers,
            () = change => unreachable!("versions do not end"),
        };
        let mut tally = Tally {
            arrivals: self.sum(|t| t.received().len()) - arrivals,
            paused: self.sum(Target::paused) - paused,
            unsafe_sent: (0, self.unsafe_arrivals() - unsafe_arrivals),
            ..Tally::default()
        };
        answers.iter().flatten().for_each(|a| tally.add(a));
        eprintln!("{name}: {tally:?}");
        tally
    }
}
