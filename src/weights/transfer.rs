//! Fetches single chunks, verifies their digest and stages them in the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ::http::Method;
use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use tokio::{task, time};
use tonic::Code;

use super::http;
use super::pace::{Direction, Pacer};
use super::staging::Staging;
use super::store::Store;
use crate::clock::Clock;
use crate::control::{self, pb};
use crate::digest;

/// Largest chunk that is hashed on the async runtime, bytes; larger ones use a blocking
/// thread.
const MAX_INLINE_HASH: usize = 256 * 1024;

/// Why a transfer failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// All upload slots of the peer were taken.
    #[snafu(display("all upload slots are taken"))]
    Busy,
    /// The peer no longer has the chunk.
    #[snafu(display("the source does not have the chunk"))]
    NotFound,
    /// Nothing was received within the stall timeout.
    #[snafu(display("no progress for {} ms", limit.as_millis()))]
    Stalled {
        /// Stall timeout.
        limit: Duration,
    },
    /// The connection or the call failed.
    #[snafu(display("{reason}"))]
    Call {
        /// Description of the error.
        reason: String,
    },
    /// The received data does not match the expected digest or length.
    #[snafu(display("{bytes} received bytes do not match the digest"))]
    Corrupt {
        /// Bytes received.
        bytes: usize,
    },
    /// The engine did not accept the chunk.
    #[snafu(display("engine: {reason}"))]
    Engine {
        /// Description of the error.
        reason: String,
    },
}

/// A chunk to fetch.
#[derive(Clone, Debug)]
pub struct Job {
    /// Expected digest.
    pub digest: digest::Digest,
    /// Expected length, bytes.
    pub length: usize,
    /// Model under which the origin stores the chunk.
    pub model: String,
}

/// Fetches and stages chunks for this VM.
#[derive(Debug)]
pub struct Fetcher<C> {
    /// Clock for pacing.
    pub clock: C,
    /// Name of the own VM.
    pub vm: String,
    /// Connections to peers.
    pub pool: control::Pool,
    /// Origin, if configured.
    pub origin: Option<http::Client>,
    /// Staging area of the engine.
    pub staging: Staging,
    /// Chunks on this VM.
    pub store: Arc<Store>,
    /// Rate limiter.
    pub pacer: Arc<Pacer>,
    /// Time without received bytes after which a transfer fails.
    pub stall_timeout: Duration,
    /// Bytes received from the origin.
    pub origin_bytes: AtomicU64,
}

impl<C: Clock> Fetcher<C> {
    /// Fetches a chunk from a peer, caches it and stages it in the engine.
    ///
    /// # Errors
    /// Fails when the peer does not deliver the correct chunk, and with
    /// [`Failure::Engine`] when the engine does not accept it.
    pub async fn fetch_from_peer(&self, job: &Job, address: SocketAddr) -> Result<(), Failure> {
        let data = self.download_from_peer(job, address).await?;
        self.cache_and_stage(job, data).await
    }

    /// Fetches a chunk from the origin, caches it and stages it in the engine.
    ///
    /// # Errors
    /// Fails when the origin does not deliver the correct chunk, and with
    /// [`Failure::Engine`] when the engine does not accept it.
    pub async fn fetch_from_origin(&self, job: &Job) -> Result<(), Failure> {
        let data = self.download_from_origin(job).await?;
        self.cache_and_stage(job, data).await
    }

    /// Stages a cached chunk in the engine; does nothing if it is no longer cached.
    ///
    /// # Errors
    /// Fails when the engine does not accept it.
    pub async fn stage_cached(&self, digest: digest::Digest) -> Result<(), Failure> {
        let Some(data) = self.store.cached(digest) else {
            return Ok(());
        };
        let put = self.staging.put(digest, data).await;
        put.map_err(|e| Failure::Engine {
            reason: e.to_string(),
        })?;
        self.store.mark_staged(digest);
        Ok(())
    }

    /// Caches the chunk first, so that peers can fetch it while the engine receives it.
    async fn cache_and_stage(&self, job: &Job, data: Bytes) -> Result<(), Failure> {
        self.store.insert(job.digest, data.clone());
        let put = self.staging.put(job.digest, data).await;
        put.map_err(|e| Failure::Engine {
            reason: e.to_string(),
        })?;
        self.store.mark_staged(job.digest);
        Ok(())
    }

    async fn download_from_peer(&self, job: &Job, address: SocketAddr) -> Result<Bytes, Failure> {
        let channel = self.pool.channel(address);
        let mut client = pb::weights_client::WeightsClient::new(channel);
        let request = pb::FetchRequest {
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            vm: self.vm.clone(),
        };
        let response = self.with_stall_timeout(client.fetch(request)).await?;
        let mut parts = response.map_err(|s| to_failure(&s))?.into_inner();
        let mut data = BytesMut::with_capacity(job.length);
        while let Some(part) = self
            .with_stall_timeout(parts.message())
            .await?
            .map_err(|s| to_failure(&s))?
        {
            self.append(job, &mut data, &part.data).await?;
        }
        verify(job, data.freeze()).await
    }

    async fn download_from_origin(&self, job: &Job) -> Result<Bytes, Failure> {
        let origin = self.origin.as_ref().ok_or_else(|| Failure::Call {
            reason: "no origin is configured".into(),
        })?;
        let path = format!("/v2/{}/blobs/sha256:{}", job.model, job.digest);
        let mut response = origin.call(Method::GET, &path, Bytes::new()).await?;
        let mut data = BytesMut::with_capacity(job.length);
        while let Some(part) = response.next_part().await? {
            let length = part.len() as u64;
            self.origin_bytes.fetch_add(length, Ordering::Relaxed);
            self.append(job, &mut data, &part).await?;
        }
        verify(job, data.freeze()).await
    }

    async fn append(&self, job: &Job, data: &mut BytesMut, part: &[u8]) -> Result<(), Failure> {
        let bytes = data.len() + part.len();
        if bytes > job.length {
            return Err(Failure::Corrupt { bytes });
        }
        data.extend_from_slice(part);
        let now = self.clock.now();
        self.pacer
            .acquire(Direction::Download, part.len(), now)
            .await;
        Ok(())
    }

    async fn with_stall_timeout<T>(&self, call: impl Future<Output = T>) -> Result<T, Failure> {
        let limit = self.stall_timeout;
        let result = time::timeout(limit, call).await;
        result.map_err(|_| Failure::Stalled { limit })
    }
}

async fn verify(job: &Job, data: Bytes) -> Result<Bytes, Failure> {
    let bytes = data.len();
    let expected = job.digest;
    let matches = if bytes > MAX_INLINE_HASH {
        let data = data.clone();
        let hashed = task::spawn_blocking(move || digest::Digest::of(&data) == expected).await;
        hashed.unwrap_or(false)
    } else {
        digest::Digest::of(&data) == expected
    };
    if matches {
        Ok(data)
    } else {
        Err(Failure::Corrupt { bytes })
    }
}

fn to_failure(status: &tonic::Status) -> Failure {
    match status.code() {
        Code::ResourceExhausted => Failure::Busy,
        Code::NotFound => Failure::NotFound,
        code => Failure::Call {
            reason: format!("{code:?}: {}", status.message()),
        },
    }
}

impl From<http::Error> for Failure {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Stalled { limit, .. } => Self::Stalled { limit },
            http::Error::TooLong { limit, .. } => Self::Corrupt { bytes: limit },
            other => Self::Call {
                reason: other.to_string(),
            },
        }
    }
}
