//! Fetches manifests and chunks from peers or the origin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use metrics::counter;

use crate::clock::Clock;
use crate::digest::Digest;
use crate::host::{Host, serve};
use crate::net;
use crate::platform::engine::{self, Manifest};
use crate::weights::transfer::Failure;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a response of a peer, which uploads to other hosts at the same time.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a response of the origin, whose link all hosts share.
const ORIGIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body, bytes.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;

/// Body of a response of the peer at `address`.
async fn fetch_from_peer(address: SocketAddr, path: &str) -> Result<Bytes, Failure> {
    let call_error = |reason: String| Failure::Call { reason };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path
        .parse()
        .map_err(|_| call_error(format!("invalid path {path}")))?;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    let open = net::Connection::open(address, CONNECT_TIMEOUT);
    let mut connection = open.await.map_err(|e| call_error(e.to_string()))?;
    let response = connection.call(request, PEER_TIMEOUT, MAX_RESPONSE).await;
    let response = response.map_err(|e| match e {
        net::Error::Timeout { limit, .. } => Failure::Stalled { limit },
        other => call_error(other.to_string()),
    })?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::NOT_FOUND => Err(Failure::NotFound),
        StatusCode::TOO_MANY_REQUESTS => Err(Failure::Busy),
        status => Err(call_error(format!("{address} answered {status}"))),
    }
}

impl<C: Clock> Host<C> {
    /// Manifest of a version, from memory, from the peer that fetches it for the region, or
    /// from the origin; `None` if all of them fail.
    pub(super) async fn manifest(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        if let Some(known) = self.chunks.manifest(model, version) {
            return Some(known);
        }
        if let Some(address) = self.manifest_peer(model, version) {
            let body = fetch_from_peer(address, &serve::manifest_path(model, version)).await;
            let parsed = body.map_err(|e| e.to_string()).and_then(|body| {
                serde_json::from_slice::<Manifest>(&body).map_err(|e| e.to_string())
            });
            match parsed {
                Ok(manifest) if matches(&manifest, model, version) => {
                    return Some(self.chunks.insert_manifest(manifest));
                }
                Ok(_) => {
                    warn!(model, version, peer:% = address; "peer sent the manifest of another version");
                }
                Err(reason) => {
                    info!(model, version, peer:% = address, reason = reason.as_str(); "manifest not received from peer");
                }
            }
        }
        self.origin_manifest(model, version).await
    }

    /// Manifest of a version from memory or the origin, but never from another peer. Used for
    /// requests of peers, so that no two hosts wait for each other.
    pub(super) async fn origin_manifest(&self, model: &str, version: u64) -> Option<Arc<Manifest>> {
        // Serialized, so that concurrent requests of peers cause a single call.
        let _guard = self.manifest_lock.lock().await;
        if let Some(known) = self.chunks.manifest(model, version) {
            return Some(known);
        }
        match self.request_manifest(model, version).await {
            Ok(manifest) if matches(&manifest, model, version) => {
                Some(self.chunks.insert_manifest(manifest))
            }
            Ok(_) => {
                warn!(model, version; "origin sent the manifest of another version");
                None
            }
            Err(reason) => {
                warn!(model, version, reason = reason.as_str(); "manifest not received from origin");
                None
            }
        }
    }

    async fn request_manifest(&self, model: &str, version: u64) -> Result<Manifest, String> {
        let origin = self.origin().ok_or("no origin is configured")?;
        let fetched = engine::fetch_manifest(origin.address, model, version, ORIGIN_TIMEOUT).await;
        fetched.map_err(|e| e.to_string())
    }

    /// Fetches one chunk from the peer at `address`, or from the origin if that is `None`, and
    /// adds it to the cache.
    pub(super) async fn fetch_chunk(
        &self,
        manifest: &Manifest,
        index: usize,
        address: Option<SocketAddr>,
    ) -> Result<(), Failure> {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let began = self.clock.now();
        let data = match address {
            Some(address) => {
                fetch_from_peer(address, &serve::chunk_path(model, version, index)).await?
            }
            None => self.origin_chunk(model, version, index).await?,
        };
        if !self.chunks.insert(manifest, index, &data)
            && !self.correct_manifest(manifest, index, &data).await
        {
            return Err(Failure::Corrupt { bytes: data.len() });
        }
        let source_kind = if address.is_some() { "peer" } else { "origin" };
        counter!("corianderramp_chunks_total", "source" => source_kind).increment(1);
        let took = self.clock.now().saturating_duration_since(began);
        let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let source = address.map_or_else(|| "origin".to_owned(), |a| a.to_string());
        info!(model, version, index, source = source.as_str(), ms; "chunk received");
        Ok(())
    }

    /// Handles `data` that does not match its digest. If the same data came before, the manifest
    /// may have been damaged on its way: the digest is replaced if another copy of the manifest
    /// has that of the data. Returns whether it was.
    async fn correct_manifest(&self, manifest: &Manifest, index: usize, data: &Bytes) -> bool {
        let (model, version) = (manifest.model.as_str(), manifest.version);
        let actual = Digest::of(data);
        if !self.chunks.record_mismatch(manifest, index, actual) {
            return false;
        }
        let copy = match self.request_manifest(model, version).await {
            Ok(copy) if matches(&copy, model, version) => copy,
            Ok(_) => return false,
            Err(reason) => {
                warn!(model, version, index, reason = reason.as_str(); "manifest not received again");
                return false;
            }
        };
        let is_confirmed = copy.digests.get(index) == Some(&actual);
        if is_confirmed {
            warn!(model, version, index; "wrong digest in the manifest replaced");
            self.chunks.correct(manifest, index, data);
        } else {
            info!(model, version, index; "manifest confirmed, the same wrong data came again");
        }
        is_confirmed
    }

    async fn origin_chunk(
        &self,
        model: &str,
        version: u64,
        index: usize,
    ) -> Result<Bytes, Failure> {
        let call_error = |reason: String| Failure::Call { reason };
        let origin = self.origin();
        let origin = origin.ok_or_else(|| call_error("no origin is configured".to_owned()))?;
        let fetched =
            engine::fetch_chunk(origin.address, model, version, index, ORIGIN_TIMEOUT).await;
        fetched.map_err(|e| call_error(e.to_string()))
    }
}

fn matches(manifest: &Manifest, model: &str, version: u64) -> bool {
    manifest.model == model && manifest.version == version
}
