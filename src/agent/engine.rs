//! HTTP client of a model engine's control interface.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ::http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::digest;
use crate::weights::http;

/// Timeout of state requests.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of load requests. The weights are already in the engine's memory, so
/// loading takes seconds.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest response body that is read, bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Loaded version that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct State {
    /// Model or adapter; empty when none is loaded.
    pub model: String,
    /// Version; empty when none is loaded.
    pub version: String,
    /// Fencing token of the last load request that the engine accepted.
    pub fence: u64,
}

/// Request to load staged chunks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// Fencing token: the generation of the rollout.
    pub fence: u64,
    /// Chunks in load order; those of an adapter's base model come first.
    pub chunks: Vec<digest::Digest>,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Client {
    state: http::Client,
    load: http::Client,
}

impl Client {
    /// Client of the engine at `address`; connections start from `bind`.
    #[must_use]
    pub fn new(address: SocketAddr, bind: Option<IpAddr>) -> Self {
        Self {
            state: http::Client::new(address, bind, STATE_TIMEOUT),
            load: http::Client::new(address, bind, LOAD_TIMEOUT),
        }
    }

    /// Reads the loaded version and the fencing token.
    ///
    /// # Errors
    /// Fails on a connection error, a timeout, an error status or an invalid body.
    pub async fn state(&self) -> Result<State, http::Error> {
        let response = self.state.call(Method::GET, "/state", Bytes::new()).await?;
        let body = response.read(MAX_BODY_BYTES).await?;
        serde_json::from_slice(&body).map_err(|e| self.state.call_error(&e))
    }

    /// Requests a load and waits until it is complete.
    ///
    /// # Errors
    /// Fails when the engine rejects the request or the response is lost. After a
    /// lost response the load may still complete.
    pub async fn load(&self, request: &LoadRequest) -> Result<(), http::Error> {
        let body = serde_json::to_vec(request).map_err(|e| self.load.call_error(&e))?;
        let response = self.load.call(Method::POST, "/load", body.into()).await?;
        response.read(MAX_BODY_BYTES).await.map(drop)
    }
}
