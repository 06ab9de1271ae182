//! The engine's staging: chunks that survive a restart of the agent.

use ::http::Method;
use bytes::Bytes;
use serde::Deserialize;

use super::http::{Client, Error};
use crate::digest;

/// Longest state that is read, bytes: 64k digests.
const MAX_STATE: usize = 8 * 1024 * 1024;

/// Part of the engine's `/state` that concerns staging.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct State {
    staged: Vec<digest::Digest>,
}

/// Client of an engine's staging.
#[derive(Clone, Debug)]
pub struct Staging {
    http: Client,
}

impl Staging {
    /// Staging behind `http`.
    #[must_use]
    pub fn new(http: Client) -> Self {
        Self { http }
    }

    /// Digests of the staged chunks.
    ///
    /// # Errors
    /// Fails when the engine does not answer as specified.
    pub async fn list(&self) -> Result<Vec<digest::Digest>, Error> {
        let answer = self.http.call(Method::GET, "/state", Bytes::new()).await?;
        let body = answer.read(MAX_STATE).await?;
        let state = serde_json::from_slice::<State>(&body);
        state
            .map(|s| s.staged)
            .map_err(|e| self.http.call_error(&e))
    }

    /// Hands a verified chunk to the engine.
    ///
    /// # Errors
    /// Fails when the engine does not take it.
    pub async fn put(&self, digest: digest::Digest, data: Bytes) -> Result<(), Error> {
        let path = format!("/staging/{digest}");
        let answer = self.http.call(Method::PUT, &path, data).await?;
        answer.read(MAX_STATE).await.map(drop)
    }

    /// Reads a chunk of at most `limit` bytes back.
    ///
    /// # Errors
    /// Fails when the engine does not have it.
    pub async fn get(&self, digest: digest::Digest, limit: usize) -> Result<Bytes, Error> {
        let path = format!("/staging/{digest}");
        let answer = self.http.call(Method::GET, &path, Bytes::new()).await?;
        answer.read(limit).await
    }
}
