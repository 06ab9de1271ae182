//! Probes of the target: load, crashes and cached prompt prefixes.

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

/// Interval of probes; the target is on the same VM.
const INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest line of the event stream, bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Latest observed state of the target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Requests queued in the target.
    pub waiting: u32,
    /// Requests running in the target.
    pub running: u32,
    /// Age of the load figures as reported by the target, milliseconds.
    pub lag_ms: u32,
    /// Crashes of the target since the agent started.
    pub deaths: u32,
    /// Reported hashes of cached prompt blocks, see [`reports::PrefixSample`].
    pub prefixes: Arc<Vec<u64>>,
}

/// Counts crashes of the target. After a failure, further ones belong to the same
/// crash until the target answers again.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeathCounter {
    alive: bool,
    deaths: u32,
}

impl DeathCounter {
    /// Records an answer of the target.
    pub fn mark_alive(&mut self) {
        self.alive = true;
    }

    /// Records a refused or broken connection.
    pub fn mark_dead(&mut self) {
        if self.alive {
            self.deaths += 1;
        }
        self.alive = false;
    }

    /// Crashes so far.
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

/// Change of the target's prompt prefix cache.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Hashes of newly cached blocks.
    pub stored: Vec<u64>,
    /// Hashes of evicted blocks.
    pub removed: Vec<u64>,
}

enum ProbeResult {
    Load(Load),
    /// Timeout or incomplete response; the target may be busy.
    NoResponse,
    /// The connection was refused.
    Unreachable,
}

/// Probes the target until the process stops: at an interval, and at once when
/// `probe_now` is notified.
pub fn start(ctx: &Context, probe_now: Arc<Notify>) -> watch::Receiver<Observation> {
    let (sender, receiver) = watch::channel(Observation::default());
    let ctx = ctx.clone();
    let stop = ctx.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(run(ctx, probe_now, sender)).await });
    receiver
}

async fn run(ctx: Context, probe_now: Arc<Notify>, observed: watch::Sender<Observation>) {
    let (Some(target), Some(service)) =
        (ctx.settings.target.clone(), super::wait_service(&ctx).await)
    else {
        return;
    };
    let prober = Prober {
        client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        target,
    };
    let mut counter = DeathCounter::default();
    let mut prefixes = reports::PrefixSample::default();
    let mut events = EventStream::default();
    let mut ticks = time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let item = tokio::select! {
            _ = ticks.tick() => None,
            () = probe_now.notified() => None,
            item = events.next() => Some(item),
        };
        match item {
            Some(StreamItem::Event(event)) => prefixes.apply(event),
            Some(StreamItem::End) => {
                counter.mark_dead();
                prefixes.clear();
            }
            None => {
                let result = prober.probe(&service.spec).await;
                record(&result, &mut counter, &observed);
                if matches!(result, ProbeResult::Load(_)) && service.spec.backend == Backend::Model
                {
                    events.open(&prober).await;
                }
            }
        }
        let reported = prefixes.reported();
        observed.send_if_modified(|o| {
            let old = (o.deaths, std::mem::replace(&mut o.prefixes, reported));
            o.deaths = counter.deaths();
            old != (o.deaths, o.prefixes.clone())
        });
    }
}

fn record(result: &ProbeResult, counter: &mut DeathCounter, observed: &watch::Sender<Observation>) {
    match result {
        ProbeResult::Load(load) => {
            counter.mark_alive();
            observed.send_if_modified(|o| {
                let old = (o.waiting, o.running, o.lag_ms);
                (o.waiting, o.running, o.lag_ms) = (load.waiting, load.running, load.lag_ms);
                old != (o.waiting, o.running, o.lag_ms)
            });
        }
        ProbeResult::Unreachable => counter.mark_dead(),
        ProbeResult::NoResponse => {}
    }
}

#[derive(Debug)]
struct Prober {
    client: legacy::Client<HttpConnector, Empty<Bytes>>,
    target: Target,
}

impl Prober {
    /// Reads the load of targets that report it. To other targets it only opens a
    /// connection, since any request could have side effects.
    async fn probe(&self, service: &Service) -> ProbeResult {
        if service.backend == Backend::Model || service.reports_load {
            return self.load().await;
        }
        match time::timeout(TIMEOUT, TcpStream::connect(self.target.address)).await {
            Ok(Ok(_)) => ProbeResult::Load(Load::default()),
            Ok(Err(_)) => ProbeResult::Unreachable,
            Err(_) => ProbeResult::NoResponse,
        }
    }

    async fn load(&self) -> ProbeResult {
        let request = async {
            let response = self.get("/state").await?;
            let body = response.into_body().collect().await.ok();
            Ok(body.map(http_body_util::Collected::to_bytes))
        };
        match time::timeout(TIMEOUT, request).await {
            Ok(Ok(Some(body))) => {
                let state: State = serde_json::from_slice(&body).unwrap_or_default();
                ProbeResult::Load(state.load)
            }
            Ok(Err(e)) if is_connect_error(&e) => ProbeResult::Unreachable,
            _ => ProbeResult::NoResponse,
        }
    }

    async fn get(&self, path: &str) -> Result<http::Response<Incoming>, legacy::Error> {
        let uri = format!("http://{}{path}", self.target.address).parse::<Uri>();
        self.client.get(uri.unwrap_or_default()).await
    }
}

fn is_connect_error(error: &legacy::Error) -> bool {
    error.is_connect()
}

enum StreamItem {
    Event(CacheEvent),
    /// The connection was closed, or a line was too long.
    End,
}

/// Stream of cache events, one JSON object per line.
#[derive(Debug, Default)]
struct EventStream {
    body: Option<Incoming>,
    pending: Vec<u8>,
}

impl EventStream {
    async fn open(&mut self, prober: &Prober) {
        if self.body.is_some() {
            return;
        }
        let response = time::timeout(TIMEOUT, prober.get("/events")).await;
        if let Ok(Ok(response)) = response
            && response.status().is_success()
        {
            self.body = Some(response.into_body());
            self.pending.clear();
        }
    }

    async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(end) = self.pending.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.pending.drain(..=end).collect();
                return StreamItem::Event(serde_json::from_slice(&line).unwrap_or_default());
            }
            let Some(body) = self.body.as_mut() else {
                return future::pending().await;
            };
            match body.frame().await {
                Some(Ok(frame)) if self.pending.len() < MAX_LINE_BYTES => {
                    let data = frame.data_ref().map_or(&[][..], |d| d.as_ref());
                    self.pending.extend_from_slice(data);
                }
                _ => {
                    self.body = None;
                    return StreamItem::End;
                }
            }
        }
    }
}
