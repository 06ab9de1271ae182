//! Client of a model engine's control interface.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ::http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::digest;
use crate::weights::http;

/// Time after which a question about the state is given up.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a load order without an answer is given up. The weights
/// are in the engine's memory already, so loading takes seconds.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest state that is read, bytes.
const MAX_STATE: usize = 8 * 1024 * 1024;

/// What an engine reports about its weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct State {
    /// Model or adapter; empty when none is loaded.
    pub model: String,
    /// Version; empty when none is loaded.
    pub version: String,
    /// Fencing token of the last order that it accepted.
    pub fence: u64,
}

/// Order to load staged chunks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// Model or adapter.
    pub model: String,
    /// Version.
    pub version: String,
    /// Fencing token: the generation of the rollout.
    pub fence: u64,
    /// Chunks in order; those of an adapter's base come first.
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

    /// What the engine has loaded.
    ///
    /// # Errors
    /// Fails when the engine does not answer as specified.
    pub async fn state(&self) -> Result<State, http::Error> {
        let answer = self.state.call(Method::GET, "/state", Bytes::new()).await?;
        let body = answer.read(MAX_STATE).await?;
        serde_json::from_slice(&body).map_err(|e| self.state.call_error(&e))
    }

    /// Orders a load and waits until it is complete.
    ///
    /// # Errors
    /// Fails when the engine refuses or the answer is lost; the load may then
    /// still take effect.
    pub async fn load(&self, order: &LoadRequest) -> Result<(), http::Error> {
        let body = serde_json::to_vec(order).map_err(|e| self.load.call_error(&e))?;
        let answer = self.load.call(Method::POST, "/load", body.into()).await?;
        answer.read(MAX_STATE).await.map(drop)
    }
}
