//! Star and chain: plain distribution of weights over the same stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderramp::agent::engine;
use corianderramp::digest;
use corianderramp::resource::model;
use corianderramp::weights::http::Client;
use corianderramp::weights::staging::Staging;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::content::Content;
use crate::fleet::Fleet;
use crate::harness::CONTROL_PORT;
use crate::toolkit;

/// Chunks fetched at the same time, as many as the agents' default.
const SLOTS: usize = 4;
/// Time without progress after which a transfer fails. Nothing fails in these
/// runs, and the origin is shared by all VMs of a star.
const STALL: Duration = Duration::from_secs(600);

/// Chunks of one VM, by their position; the counter wakes waiting requests.
#[derive(Debug)]
struct Shelf {
    digests: Vec<digest::Digest>,
    chunks: parking_lot::Mutex<Vec<Option<Bytes>>>,
    count: watch::Sender<usize>,
}

/// Distributes one version; returns the time at which each VM served it.
pub(super) async fn run(
    fleet: &Fleet,
    content: &Content,
    chain: bool,
    limit: Duration,
) -> Result<Vec<Duration>, toolkit::Error> {
    let manifest = Arc::new(content.manifest().spec);
    let begin = Instant::now();
    let mut servers = JoinSet::new();
    let mut vms = JoinSet::new();
    for (index, agent) in fleet.agents.iter().enumerate() {
        let origin = agent.settings.origin.as_ref().map(|o| o.address);
        let before = index.checked_sub(1).filter(|_| chain);
        let source = before.map(|i| fleet.control(i));
        let shelf = Arc::new(Shelf::new(manifest.chunks.clone()));
        let listener = toolkit::bind(agent.place.address(CONTROL_PORT)).await?;
        let shared = shelf.clone();
        servers.spawn(toolkit::serve(listener, move |request| {
            answer(shared.clone(), request)
        }));
        let vm = Vm {
            manifest: manifest.clone(),
            source: source.or(origin).unwrap_or(agent.place.address(0)),
            bind: agent.place.ip,
            engine: agent.engine.address(),
            shelf,
        };
        vms.spawn(async move { vm.run().await.map(|()| begin.elapsed()) });
    }
    let mut times = Vec::new();
    let all = async {
        while let Some(ended) = vms.join_next().await {
            let time = ended.ok().and_then(Result::ok);
            times.push(time.unwrap_or(Duration::MAX));
        }
    };
    let ended = time::timeout(limit, all).await;
    if ended.is_err() || times.contains(&Duration::MAX) {
        let reason = format!("baseline: not complete within {limit:?}");
        return Err(toolkit::Error::Unusable { reason });
    }
    Ok(times)
}

impl Shelf {
    fn new(digests: Vec<digest::Digest>) -> Self {
        Self {
            chunks: parking_lot::Mutex::new(vec![None; digests.len()]),
            digests,
            count: watch::Sender::default(),
        }
    }

    fn put(&self, index: usize, data: Bytes) {
        self.chunks.lock()[index] = Some(data);
        self.count.send_modify(|n| *n += 1);
    }

    /// The chunk at `index`, once it is there.
    async fn take(&self, index: usize) -> Bytes {
        let mut changes = self.count.subscribe();
        loop {
            let found = self.chunks.lock()[index].clone();
            if let Some(data) = found {
                return data;
            }
            let _ = changes.changed().await;
        }
    }
}

async fn answer(shelf: Arc<Shelf>, request: Request<Incoming>) -> Response<toolkit::Body> {
    let path = request.uri().path();
    let digest = path
        .rsplit_once("sha256:")
        .and_then(|(_, hex)| hex.parse().ok());
    let index = digest.and_then(|d| shelf.digests.iter().position(|s| *s == d));
    let Some(index) = index else {
        let mut response = Response::new(toolkit::full(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(toolkit::full(shelf.take(index).await))
}

struct Vm {
    manifest: Arc<model::Model>,
    source: SocketAddr,
    bind: std::net::IpAddr,
    engine: SocketAddr,
    shelf: Arc<Shelf>,
}

impl Vm {
    async fn run(self) -> Result<(), corianderramp::weights::http::Error> {
        let vm = Arc::new(self);
        let mut fetches = JoinSet::new();
        for index in 0..vm.manifest.chunks.len() {
            if fetches.len() >= SLOTS
                && let Some(Ok(ended)) = fetches.join_next().await
            {
                ended?;
            }
            let vm = vm.clone();
            fetches.spawn(async move { vm.fetch(index).await });
        }
        while let Some(Ok(ended)) = fetches.join_next().await {
            ended?;
        }
        let order = engine::LoadRequest {
            model: vm.manifest.model.clone(),
            version: vm.manifest.version.clone(),
            fence: 1,
            chunks: vm.manifest.chunks.clone(),
        };
        let engine = engine::Client::new(vm.engine, Some(vm.bind));
        engine.load(&order).await
    }

    async fn fetch(&self, index: usize) -> Result<(), corianderramp::weights::http::Error> {
        let digest = self.manifest.chunks[index];
        let client = Client::new(self.source, Some(self.bind), STALL);
        let path = format!("/v2/{}/blobs/sha256:{digest}", self.manifest.model);
        let answer = client.call(Method::GET, &path, Bytes::new()).await?;
        let limit = usize::try_from(self.manifest.chunk_size).unwrap_or(usize::MAX);
        let data = answer.read(limit).await?;
        self.shelf.put(index, data.clone());
        let engine = Client::new(self.engine, Some(self.bind), STALL);
        Staging::new(engine).put(digest, data).await
    }
}
