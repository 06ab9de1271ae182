//! Simulated origin of weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use corianderramp::digest::Digest;
use http::{StatusCode, Uri};
use parking_lot::Mutex;
use serde_json::json;

use super::server::{HttpResponse, decode, full_response, query, serve};

/// Returns the contents of chunk `index` of `version`.
#[must_use]
pub fn chunk_data(version: u64, index: usize) -> Bytes {
    format!("chunk {index} of version {version}")
        .repeat(64)
        .into()
}

/// Simulated origin of weights that records the chunks that it sends.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    sent: Arc<Mutex<Vec<(u64, usize)>>>,
    is_failing: Arc<AtomicBool>,
    /// Chunk whose digest is wrong in the next manifest that is sent.
    spoilt: Arc<Mutex<Option<usize>>>,
}

impl Origin {
    /// Starts an origin at `address` with `chunks` chunks of each version.
    pub async fn start(address: SocketAddr, chunks: usize) -> Self {
        let origin = Self::default();
        let served = origin.clone();
        serve(address, move |request| {
            let origin = served.clone();
            async move { Ok(origin.handle(request.uri(), chunks)) }
        })
        .await;
        origin
    }

    /// Sets whether requests for chunks fail. Requests for manifests always succeed.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Makes one digit of the digest of chunk `index` wrong in the next manifest that is sent.
    pub fn spoil_manifest(&self, index: usize) {
        *self.spoilt.lock() = Some(index);
    }

    /// Version and index of each chunk sent, in order.
    #[must_use]
    pub fn sent_chunks(&self) -> Vec<(u64, usize)> {
        self.sent.lock().clone()
    }

    fn handle(&self, uri: &Uri, chunks: usize) -> HttpResponse {
        let mut parts = uri.path().splitn(3, '/').skip(1);
        let (Some("manifest" | "piece"), Some(model)) = (parts.next(), parts.next()) else {
            return full_response(StatusCode::NOT_FOUND, "");
        };
        let version = query(uri, "version")
            .and_then(|v| v.parse().ok())
            .unwrap_or(1);
        let Some(index) = query(uri, "item_count").and_then(|i| i.parse().ok()) else {
            let mut digests: Vec<String> = (0..chunks)
                .map(|i| Digest::of(&chunk_data(version, i)).to_string())
                .collect();
            if let Some(index) = self.spoilt.lock().take() {
                let digit = if digests[index].starts_with('0') {
                    "1"
                } else {
                    "0"
                };
                digests[index].replace_range(..1, digit);
            }
            let manifest = json!({"model": decode(model), "version": version, "digests": digests});
            return full_response(StatusCode::OK, manifest.to_string());
        };
        if self.is_failing.load(Ordering::Relaxed) {
            return full_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        self.sent.lock().push((version, index));
        full_response(StatusCode::OK, chunk_data(version, index))
    }
}
