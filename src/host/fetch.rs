//! Brings manifests and single chunks here, from peers or the origin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use metrics::counter;

use crate::clock::Clock;
use crate::host::{Host, serve};
use crate::net;
use crate::platform::engine::{self, Manifest};
use crate::weights::transfer::Failure;

/// Time for opening a connection to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time for a chunk from a peer, beside transfers to others.
const PEER_LIMIT: Duration = Duration::from_secs(2);
/// Time for a chunk or manifest from the origin, whose link all share.
const ORIGIN_LIMIT: Duration = Duration::from_secs(3);
/// Largest item that is read, bytes.
const MAX_ITEM: usize = 4 * 1024 * 1024;

async fn from_peer(address: SocketAddr, path: &str) -> Result<Bytes, Failure> {
    let broken = |reason: String| Failure::Call { reason };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path
        .parse()
        .map_err(|_| broken(format!("bad path {path}")))?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let open = net::Connection::open(address, CONNECT_LIMIT);
    let mut connection = open.await.map_err(|e| broken(e.to_string()))?;
    let answer = connection.call(request, PEER_LIMIT, MAX_ITEM).await;
    let answer = answer.map_err(|e| match e {
        net::Error::Timeout { limit, .. } => Failure::Stalled { limit },
        other => broken(other.to_string()),
    })?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        StatusCode::NOT_FOUND => Err(Failure::NotFound),
        StatusCode::TOO_MANY_REQUESTS => Err(Failure::Busy),
        status => Err(broken(format!("{address} answered {status}"))),
    }
}

impl<C: Clock> Host<C> {
    /// Manifest of a version, from a peer of the region that serves or else from the
    /// origin; `None` when neither has it.
    pub(super) async fn manifest(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        if let Some(known) = self.chunks.manifest(model, version) {
            return Some(known);
        }
        if let Some(address) = self.librarian(model, version) {
            let body = from_peer(address, &serve::manifest_path(model, version)).await;
            let parsed = body.map_err(|e| e.to_string()).and_then(|body| {
                serde_json::from_slice::<Manifest>(&body).map_err(|e| e.to_string())
            });
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
        let fetched = engine::fetch_manifest(origin.address, model, version, ORIGIN_LIMIT).await;
        fetched.map_err(|e| e.to_string())
    }

    /// Brings one chunk here, from the peer at `address` or from the origin.
    pub(super) async fn transfer(
        &self,
        manifest: &Manifest,
        index: usize,
        address: Option<SocketAddr>,
    ) -> Result<(), Failure> {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let began = self.clock.now();
        let data = match address {
            Some(address) => from_peer(address, &serve::chunk_path(model, version, index)).await?,
            None => self.origin_chunk(model, version, index).await?,
        };
        if !self.chunks.insert(manifest, index, &data) {
            return Err(Failure::Corrupt { bytes: data.len() });
        }
        let kind = if address.is_some() { "peer" } else { "origin" };
        counter!("corianderramp_chunks_total", "source" => kind).increment(1);
        let took = self.clock.now().saturating_duration_since(began);
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let source = address.map_or_else(|| "origin".to_owned(), |a| a.to_string());
        info!(model, version, index, source = source.as_str(), ms; "chunk received");
        Ok(())
    }

    async fn origin_chunk(
        &self,
        model: &str,
        version: u64,
        index: usize,
    ) -> Result<Bytes, Failure> {
        let broken = |reason: String| Failure::Call { reason };
        let origin = self.origin();
        let origin = origin.ok_or_else(|| broken("no origin is configured".to_owned()))?;
        let fetched =
            engine::fetch_chunk(origin.address, model, version, index, ORIGIN_LIMIT).await;
        fetched.map_err(|e| broken(e.to_string()))
    }
}

fn is(manifest: &Manifest, model: &str, version: u64) -> bool {
    manifest.model == model && manifest.version == version
}
