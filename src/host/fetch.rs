//! Brings manifests and chunks here, from peers or the origin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use tokio::time;

use crate::clock::Clock;
use crate::host::plan::{self, Part, Source};
use crate::host::{Host, serve};
use crate::net;
use crate::platform::engine::{self, Manifest};

/// Chunks that are fetched from hosts of the own region at the same time.
const PARALLEL: usize = 5;
/// Chunks that are imported from other regions at the same time.
const IMPORT_PARALLEL: usize = 2;
/// Chunks that are fetched from the origin at the same time. One after the other, the
/// first ones travel on while the next are sent.
const HOME_PARALLEL: usize = 1;
/// Times that the peers are asked before a chunk that is not theirs to bring is fetched
/// from the origin.
const PEER_ROUNDS: usize = 3;
/// Time for opening a connection to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time for a chunk from a peer: its wait for the chunk and the transfer beside others.
const PEER_LIMIT: Duration = Duration::from_millis(2_500);
/// Time for a chunk or manifest from the origin, whose link all share.
const ORIGIN_LIMIT: Duration = Duration::from_millis(4_000);
/// Pause after all sources failed.
const PAUSE: Duration = Duration::from_millis(100);
/// Largest item that is read, bytes.
const MAX_ITEM: usize = 4 * 1024 * 1024;

async fn from_peer(address: SocketAddr, path: &str) -> Result<Bytes, String> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().map_err(|_| format!("bad path {path}"))?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let open = net::Connection::open(address, CONNECT_LIMIT);
    let mut connection = open.await.map_err(|e| e.to_string())?;
    let answer = connection.call(request, PEER_LIMIT, MAX_ITEM).await;
    let answer = answer.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(format!("{address} answered {status}")),
    }
}

impl<C: Clock> Host<C> {
    /// Manifest of a version, from one peer or else from the origin; `None` when neither has it.
    pub(super) async fn manifest(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        if let Some(known) = self.chunks.manifest(model, version) {
            return Some(known);
        }
        let sources = plan::sources(&self.name(), &self.peers(version), 0);
        if let Some(Source::Peer(address)) = sources.first() {
            let body = from_peer(*address, &serve::manifest_path(model, version)).await;
            let parsed: Result<Manifest, String> =
                body.and_then(|b| serde_json::from_slice(&b).map_err(|e| e.to_string()));
            match parsed {
                Ok(manifest) if is(&manifest, model, version) => {
                    return Some(self.chunks.learn(manifest));
                }
                Ok(_) => warn!(model, version, peer:% = address; "manifest of another version"),
                Err(reason) => {
                    info!(model, version, peer:% = address, reason = reason.as_str(); "no manifest");
                }
            }
        }
        self.original(model, version).await
    }

    /// Manifest of a version as peers get it: from memory or from the origin, never from
    /// another peer, so that no two hosts wait for each other.
    pub(super) async fn original(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        // One at a time, so that peers that ask together cause one call.
        let _single = self.fetching.lock().await;
        if let Some(known) = self.chunks.manifest(model, version) {
            return Some(known);
        }
        match self.origin_manifest(model, version).await {
            Ok(manifest) if is(&manifest, model, version) => Some(self.chunks.learn(manifest)),
            Ok(_) => {
                warn!(model, version; "manifest of another version from the origin");
                None
            }
            Err(reason) => {
                warn!(model, version, reason = reason.as_str(); "no manifest from the origin");
                None
            }
        }
    }

    async fn origin_manifest(&self, model: &str, version: u64) -> Result<Manifest, String> {
        let origin = self.origin().ok_or("no origin is configured")?;
        let fetched = engine::manifest(origin, model, version, ORIGIN_LIMIT).await;
        fetched.map_err(|e| e.to_string())
    }

    /// Fetches the chunks of a version that are missing. Returns whether all are here.
    pub(super) async fn fetch(self: &Arc<Self>, manifest: &Manifest) -> bool {
        let missing = self.chunks.missing(manifest);
        if missing.is_empty() {
            return true;
        }
        let peers = self.peers(manifest.version);
        let rank = plan::rank(&self.name(), &peers);
        let began = self.clock.now();
        let of = |part| {
            let same = missing.iter().copied();
            let mut chunks: Vec<usize> = same
                .filter(|i| plan::part(&self.name(), &peers, *i) == part)
                .collect();
            plan::order(&mut chunks, rank, peers.len());
            chunks
        };
        let (home, imported, received) = tokio::join!(
            self.fetch_all(manifest, of(Part::Home), HOME_PARALLEL),
            self.fetch_all(manifest, of(Part::Importer), IMPORT_PARALLEL),
            self.fetch_all(manifest, of(Part::Receiver), PARALLEL),
        );
        let complete = home && imported && received;
        let took = self.clock.now().saturating_duration_since(began);
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let chunks = missing.len();
        info!(model, version, chunks, complete, ms; "weights fetched");
        if !complete {
            time::sleep(PAUSE).await;
        }
        complete
    }

    async fn fetch_all(
        self: &Arc<Self>,
        manifest: &Manifest,
        chunks: Vec<usize>,
        parallel: usize,
    ) -> bool {
        let results: Vec<bool> = stream::iter(chunks)
            .map(|index| self.fetch_chunk(manifest, index))
            .buffer_unordered(parallel)
            .collect()
            .await;
        results.iter().all(|done| *done)
    }

    async fn fetch_chunk(self: &Arc<Self>, manifest: &Manifest, index: usize) -> bool {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        if let Some(data) = self.staged(model, version, index).await {
            return self.chunks.insert(manifest, index, &data);
        }
        for round in 1..=PEER_ROUNDS {
            let peers = self.peers(version);
            let is_home = plan::part(&self.name(), &peers, index) == Part::Home;
            for source in plan::sources(&self.name(), &peers, index) {
                if self.superseded(model, version) {
                    return false;
                }
                if source == Source::Origin && round < PEER_ROUNDS && !is_home {
                    continue;
                }
                if self.fetch_from(source, manifest, index).await {
                    return true;
                }
            }
        }
        false
    }

    async fn fetch_from(&self, source: Source, manifest: &Manifest, index: usize) -> bool {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let fetched = match source {
            Source::Peer(address) => {
                from_peer(address, &serve::chunk_path(model, version, index)).await
            }
            Source::Origin => self.origin_chunk(model, version, index).await,
        };
        match fetched {
            Ok(data) if self.chunks.insert(manifest, index, &data) => return true,
            Ok(_) => warn!(model, version, index, source:? = source; "chunk corrupt"),
            Err(reason) => {
                info!(model, version, index, source:? = source, reason = reason.as_str(); "chunk not received");
            }
        }
        false
    }

    async fn origin_chunk(&self, model: &str, version: u64, index: usize) -> Result<Bytes, String> {
        let origin = self.origin().ok_or("no origin is configured")?;
        let fetched = engine::chunk(origin, model, version, index, ORIGIN_LIMIT).await;
        fetched.map_err(|e| e.to_string())
    }
}

fn is(manifest: &Manifest, model: &str, version: u64) -> bool {
    manifest.model == model && manifest.version == version
}
