//! Client for the engine's staging area, whose chunks survive a restart of the agent.

use ::http::Method;
use bytes::Bytes;
use serde::Deserialize;

use super::http::{Client, Error};
use crate::digest;

/// Longest response body that is read, bytes; enough for 64k digests.
const MAX_BODY: usize = 8 * 1024 * 1024;

/// Fields of the engine's `/state` response that concern staging.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct State {
    staged: Vec<digest::Digest>,
}

/// Client for an engine's staging area.
#[derive(Clone, Debug)]
pub struct Staging {
    http: Client,
}

impl Staging {
    /// Client for the engine behind `http`.
    #[must_use]
    pub fn new(http: Client) -> Self {
        Self { http }
    }

    /// Digests of the staged chunks.
    ///
    /// # Errors
    /// Fails when the call fails or the response is not a valid state.
    pub async fn list(&self) -> Result<Vec<digest::Digest>, Error> {
        let response = self.http.call(Method::GET, "/state", Bytes::new()).await?;
        let body = response.read(MAX_BODY).await?;
        let state = serde_json::from_slice::<State>(&body);
        state
            .map(|s| s.staged)
            .map_err(|e| self.http.call_error(&e))
    }

    /// Uploads a verified chunk to the engine.
    ///
    /// # Errors
    /// Fails when the engine does not accept it.
    pub async fn put(&self, digest: digest::Digest, data: Bytes) -> Result<(), Error> {
        let path = format!("/staging/{digest}");
        let response = self.http.call(Method::PUT, &path, data).await?;
        response.read(MAX_BODY).await.map(drop)
    }

    /// Reads back a staged chunk of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the engine does not have it or it is longer.
    pub async fn get(&self, digest: digest::Digest, limit: usize) -> Result<Bytes, Error> {
        let path = format!("/staging/{digest}");
        let response = self.http.call(Method::GET, &path, Bytes::new()).await?;
        response.read(limit).await
    }
}
