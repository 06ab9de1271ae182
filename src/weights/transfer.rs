//! Transfer of one chunk: download, digest check, hand-over to the engine.

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

/// Chunks above this size are hashed on a thread of their own, bytes.
const LARGE: usize = 256 * 1024;

/// Why a transfer failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// All upload slots of the peer were taken.
    #[snafu(display("all upload slots are taken"))]
    Busy,
    /// The peer no longer has the chunk.
    #[snafu(display("the source does not have the chunk"))]
    NotFound,
    /// Nothing arrived within the progress deadline.
    #[snafu(display("no progress for {} ms", limit.as_millis()))]
    Stalled {
        /// Progress deadline.
        limit: Duration,
    },
    /// The connection or the call failed.
    #[snafu(display("{reason}"))]
    Call {
        /// What was observed.
        reason: String,
    },
    /// The bytes don't match the digest.
    #[snafu(display("{bytes} bytes arrived that don't match the digest"))]
    Corrupt {
        /// Bytes that arrived.
        bytes: usize,
    },
    /// The engine did not take the chunk.
    #[snafu(display("engine: {reason}"))]
    Engine {
        /// What was observed.
        reason: String,
    },
}

/// A chunk to be transferred.
#[derive(Clone, Debug)]
pub struct Job {
    /// Digest.
    pub digest: digest::Digest,
    /// Length, bytes.
    pub length: usize,
    /// Model that the origin lists the chunk under.
    pub model: String,
}

/// What transfers need.
#[derive(Debug)]
pub struct Transfers<C> {
    /// Time.
    pub clock: C,
    /// Name of the own VM.
    pub vm: String,
    /// Connections to peers.
    pub pool: control::Pool,
    /// Origin, where one is set.
    pub origin: Option<http::Client>,
    /// Staging of the engine.
    pub staging: Staging,
    /// Chunks of this VM.
    pub store: Arc<Store>,
    /// Rate limits.
    pub pacer: Arc<Pacer>,
    /// Progress deadline.
    pub stall: Duration,
    /// Bytes received from the origin.
    pub origin_bytes: AtomicU64,
}

impl<C: Clock> Transfers<C> {
    /// Fetches a chunk from a peer and hands it to the engine.
    ///
    /// # Errors
    /// Says what to hold against the peer.
    pub async fn from_peer(&self, job: &Job, address: SocketAddr) -> Result<(), Failure> {
        let data = self.download(job, address).await?;
        self.keep(job, data).await
    }

    /// Fetches a chunk from the origin and hands it to the engine.
    ///
    /// # Errors
    /// Says what to hold against the origin.
    pub async fn from_origin(&self, job: &Job) -> Result<(), Failure> {
        let data = self.pull(job).await?;
        self.keep(job, data).await
    }

    /// Hands a cached chunk to the engine.
    ///
    /// # Errors
    /// Fails when the engine does not take it.
    pub async fn stage(&self, digest: digest::Digest) -> Result<(), Failure> {
        let Some(data) = self.store.cached(digest) else {
            return Ok(());
        };
        let put = self.staging.put(digest, data).await;
        put.map_err(|e| Failure::Engine {
            reason: e.to_string(),
        })?;
        self.store.stage(digest);
        Ok(())
    }

    /// Peers may fetch the chunk from the cache while the engine takes it.
    async fn keep(&self, job: &Job, data: Bytes) -> Result<(), Failure> {
        self.store.insert(job.digest, data.clone());
        let put = self.staging.put(job.digest, data).await;
        put.map_err(|e| Failure::Engine {
            reason: e.to_string(),
        })?;
        self.store.stage(job.digest);
        Ok(())
    }

    async fn download(&self, job: &Job, address: SocketAddr) -> Result<Bytes, Failure> {
        let channel = self.pool.channel(address);
        let mut client = pb::weights_client::WeightsClient::new(channel);
        let request = pb::FetchRequest {
            digest: Bytes::copy_from_slice(job.digest.as_bytes()),
            vm: self.vm.clone(),
        };
        let answer = self.within(client.fetch(request)).await?;
        let mut parts = answer.map_err(|s| failure(&s))?.into_inner();
        let mut data = BytesMut::with_capacity(job.length);
        while let Some(part) = self
            .within(parts.message())
            .await?
            .map_err(|s| failure(&s))?
        {
            self.append(job, &mut data, &part.data).await?;
        }
        check(job, data.freeze()).await
    }

    async fn pull(&self, job: &Job) -> Result<Bytes, Failure> {
        let origin = self.origin.as_ref().ok_or_else(|| Failure::Call {
            reason: "no origin is set".into(),
        })?;
        let path = format!("/v2/{}/blobs/sha256:{}", job.model, job.digest);
        let mut answer = origin.call(Method::GET, &path, Bytes::new()).await?;
        let mut data = BytesMut::with_capacity(job.length);
        while let Some(part) = answer.part().await? {
            let length = part.len() as u64;
            self.origin_bytes.fetch_add(length, Ordering::Relaxed);
            self.append(job, &mut data, &part).await?;
        }
        check(job, data.freeze()).await
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

    async fn within<T>(&self, call: impl Future<Output = T>) -> Result<T, Failure> {
        let limit = self.stall;
        let ended = time::timeout(limit, call).await;
        ended.map_err(|_| Failure::Stalled { limit })
    }
}

async fn check(job: &Job, data: Bytes) -> Result<Bytes, Failure> {
    let bytes = data.len();
    let expected = job.digest;
    let matches = if bytes > LARGE {
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

fn failure(status: &tonic::Status) -> Failure {
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
