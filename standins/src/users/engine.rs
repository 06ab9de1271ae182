//! Weights of a simulated target: what is staged, what it loads, and what its host had seen of it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};

/// Engine state of a target.
#[derive(Debug, Default)]
pub(super) struct Engine {
    pub(super) version: u64,
    pub(super) orders: u64,
    pub(super) staged: Vec<Option<Bytes>>,
    /// When each staged chunk was last stored or its last read was answered.
    seen: Vec<Instant>,
    /// Number of staged chunks that were read.
    pub(super) reads: u64,
    /// For each accepted order, the longest time since a chunk was stored or read.
    pub(super) unseen: Vec<Duration>,
    pub(super) crashes: u64,
    /// When the target crashed.
    pub(super) crash_times: Vec<Instant>,
}

impl Engine {
    /// Engine with the weights of `version`; 0 for none.
    pub(super) fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Stores a chunk.
    pub(super) fn store(&mut self, index: usize, data: Bytes) {
        let size = self.staged.len().max(index + 1);
        self.staged.resize(size, None);
        self.staged[index] = Some(data);
        self.seen.resize(size, Instant::now());
        self.seen[index] = Instant::now();
    }

    /// Returns a staged chunk to its host.
    pub(super) fn read(&mut self, index: usize) -> Option<Bytes> {
        self.reads += 1;
        if let Some(seen) = self.seen.get_mut(index) {
            *seen = Instant::now();
        }
        self.staged.get(index).cloned().flatten()
    }

    pub(super) fn report(&self) -> Value {
        let models = if self.version == 0 {
            json!([])
        } else {
            json!([{"name": "m0", "version": self.version, "adapters": []}])
        };
        json!({"busy": false, "sequence": self.orders, "queued": 0, "running": 0, "models": models, "born": self.crashes + 1})
    }

    pub(super) fn handle_order(&mut self, data: &Bytes) -> StatusCode {
        let order: Value = serde_json::from_slice(data).unwrap_or_default();
        if order["precondition"] != json!(self.orders) {
            return StatusCode::CONFLICT;
        }
        self.orders += 1;
        let longest = self.seen.iter().map(Instant::elapsed).max();
        self.unseen.push(longest.unwrap_or_default());
        self.version = order["version"].as_u64().unwrap_or(0);
        StatusCode::ACCEPTED
    }
}
