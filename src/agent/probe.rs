//! Observation of the target: load, deaths and cached prompt prefixes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future;
use http::Uri;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time;

use super::reports;
use crate::daemon::Context;
use crate::resource::service::{Backend, Service};
use crate::settings::Target;

/// Interval of looks at the target, which is on the same VM.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a look without an answer is given up.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest line of the event stream, bytes.
const MAX_LINE: usize = 256 * 1024;

/// What was observed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Requests that wait in the target.
    pub waiting: u32,
    /// Requests that run in the target.
    pub running: u32,
    /// Age that the target states for its load, milliseconds.
    pub lag_ms: u32,
    /// Deaths since the agent started.
    pub deaths: u32,
    /// Reported hashes of cached prompt blocks, see [`reports::PrefixSample`].
    pub prefixes: Arc<Vec<u64>>,
}

/// Counts a death once, from its first sign to the next sign of life.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeathCounter {
    alive: bool,
    deaths: u32,
}

impl DeathCounter {
    /// The target answered.
    pub fn mark_alive(&mut self) {
        self.alive = true;
    }

    /// The target refused a connection or broke one.
    pub fn mark_dead(&mut self) {
        if self.alive {
            self.deaths += 1;
        }
        self.alive = false;
    }

    /// Deaths so far.
    #[must_use]
    pub fn deaths(&self) -> u32 {
        self.deaths
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct State {
    load: Load,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Load {
    waiting: u32,
    running: u32,
    lag_ms: u32,
}

/// Change of the target's prefix cache.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// Hashes of blocks that are now cached.
    pub stored: Vec<u64>,
    /// Hashes of blocks that are no longer cached.
    pub removed: Vec<u64>,
}

enum Look {
    Load(Load),
    Silent,
    Gone,
}

/// Observes the target until the process stops. `broken` asks for a look at once.
pub fn start(ctx: &Context, broken: Arc<Notify>) -> watch::Receiver<Observation> {
    let (sender, receiver) = watch::channel(Observation::default());
    let ctx = ctx.clone();
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(observe(ctx, broken, sender)).await });
    receiver
}

async fn observe(ctx: Context, broken: Arc<Notify>, observed: watch::Sender<Observation>) {
    let (Some(target), Some(service)) =
        (ctx.settings.target.clone(), super::wait_service(&ctx).await)
    else {
        return;
    };
    let eye = Eye {
        client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        target,
    };
    let mut vitals = DeathCounter::default();
    let mut prefixes = reports::PrefixSample::default();
    let mut events = Events::default();
    let mut ticks = time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let line = tokio::select! {
            _ = ticks.tick() => None,
            () = broken.notified() => None,
            line = events.next() => Some(line),
        };
        match line {
            Some(Line::Event(event)) => prefixes.apply(event),
            Some(Line::Broken) => {
                vitals.mark_dead();
                prefixes.clear();
            }
            None => {
                let look = eye.look(&service.spec).await;
                note(&look, &mut vitals, &observed);
                if matches!(look, Look::Load(_)) && service.spec.backend == Backend::Model {
                    events.open(&eye).await;
                }
            }
        }
        let reported = prefixes.reported();
        observed.send_if_modified(|o| {
            let old = (o.deaths, std::mem::replace(&mut o.prefixes, reported));
            o.deaths = vitals.deaths();
            old != (o.deaths, o.prefixes.clone())
        });
    }
}

fn note(look: &Look, vitals: &mut DeathCounter, observed: &watch::Sender<Observation>) {
    match look {
        Look::Load(load) => {
            vitals.mark_alive();
            observed.send_if_modified(|o| {
                let old = (o.waiting, o.running, o.lag_ms);
                (o.waiting, o.running, o.lag_ms) = (load.waiting, load.running, load.lag_ms);
                old != (o.waiting, o.running, o.lag_ms)
            });
        }
        Look::Gone => vitals.mark_dead(),
        Look::Silent => {}
    }
}

#[derive(Debug)]
struct Eye {
    client: legacy::Client<HttpConnector, Empty<Bytes>>,
    target: Target,
}

impl Eye {
    /// Reads the load of targets that report it. Others are only connected to,
    /// since any request could be an operation.
    async fn look(&self, service: &Service) -> Look {
        if service.backend == Backend::Model || service.reports_load {
            return self.load().await;
        }
        match time::timeout(TIMEOUT, TcpStream::connect(self.target.address)).await {
            Ok(Ok(_)) => Look::Load(Load::default()),
            Ok(Err(_)) => Look::Gone,
            Err(_) => Look::Silent,
        }
    }

    async fn load(&self) -> Look {
        let read = async {
            let answer = self.get("/state").await?;
            let body = answer.into_body().collect().await.ok();
            Ok(body.map(http_body_util::Collected::to_bytes))
        };
        match time::timeout(TIMEOUT, read).await {
            Ok(Ok(Some(body))) => {
                let state: State = serde_json::from_slice(&body).unwrap_or_default();
                Look::Load(state.load)
            }
            Ok(Err(e)) if is_connect(&e) => Look::Gone,
            _ => Look::Silent,
        }
    }

    async fn get(&self, path: &str) -> Result<http::Response<Incoming>, legacy::Error> {
        let uri = format!("http://{}{path}", self.target.address).parse::<Uri>();
        self.client.get(uri.unwrap_or_default()).await
    }
}

fn is_connect(error: &legacy::Error) -> bool {
    error.is_connect()
}

enum Line {
    Event(CacheEvent),
    Broken,
}

/// Stream of cache events, one JSON object a line.
#[derive(Debug, Default)]
struct Events {
    body: Option<Incoming>,
    pending: Vec<u8>,
}

impl Events {
    async fn open(&mut self, eye: &Eye) {
        if self.body.is_some() {
            return;
        }
        let answer = time::timeout(TIMEOUT, eye.get("/events")).await;
        if let Ok(Ok(answer)) = answer
            && answer.status().is_success()
        {
            self.body = Some(answer.into_body());
            self.pending.clear();
        }
    }

    async fn next(&mut self) -> Line {
        loop {
            if let Some(end) = self.pending.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.pending.drain(..=end).collect();
                return Line::Event(serde_json::from_slice(&line).unwrap_or_default());
            }
            let Some(body) = self.body.as_mut() else {
                return future::pending().await;
            };
            match body.frame().await {
                Some(Ok(frame)) if self.pending.len() < MAX_LINE => {
                    let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
                    self.pending.extend_from_slice(data);
                }
                _ => {
                    self.body = None;
                    return Line::Broken;
                }
            }
        }
    }
}
