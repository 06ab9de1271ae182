//! Prefix cache of an engine: chained hashes of prompt blocks, least recently
//! used out first, with events for each change.

use std::collections::VecDeque;

use serde::Serialize;
use xxhash_rust::xxh3;

/// Length of a prompt block, bytes.
pub const BLOCK_BYTES: usize = 64;

/// Events kept for readers of `/events`.
const MAX_EVENTS: usize = 4096;

/// Change of the cache.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Number of the event; a gap shows lost events.
    pub seq: u64,
    /// Hashes of blocks that are now cached.
    pub stored: Vec<u64>,
    /// Hashes of blocks that are no longer cached.
    pub removed: Vec<u64>,
}

/// Chained hashes of the whole blocks of a prompt: each covers all text before
/// its end.
#[must_use]
pub fn hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let chain = blocks.scan(0, |parent, block| {
        *parent = xxh3::xxh3_64_with_seed(block, *parent);
        Some(*parent)
    });
    chain.collect()
}

/// Cache with a limited number of blocks.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    /// Cached blocks, least recently used first.
    blocks: VecDeque<u64>,
    next_seq: u64,
    events: VecDeque<(tokio::time::Instant, Event)>,
}

impl Cache {
    /// Empty cache of `limit` blocks.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            blocks: VecDeque::new(),
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Uses the prompt's blocks; returns how many of them were cached.
    pub fn touch(&mut self, hashes: &[u64], now: tokio::time::Instant) -> usize {
        let hits = hashes
            .iter()
            .take_while(|h| self.blocks.contains(h))
            .count();
        let mut stored = Vec::new();
        for hash in hashes.iter().take(self.limit) {
            match self.blocks.iter().position(|b| b == hash) {
                Some(i) => drop(self.blocks.remove(i)),
                None => stored.push(*hash),
            }
            self.blocks.push_back(*hash);
        }
        let excess = self.blocks.len().saturating_sub(self.limit);
        let removed: Vec<u64> = self.blocks.drain(..excess).collect();
        if !stored.is_empty() || !removed.is_empty() {
            self.publish(stored, removed, now);
        }
        hits
    }

    /// Events after `seq` that happened before `until`.
    #[must_use]
    pub fn events_after(&self, seq: u64, until: tokio::time::Instant) -> Vec<Event> {
        let due = self
            .events
            .iter()
            .filter(|(at, e)| *at <= until && e.seq > seq);
        due.map(|(_, e)| e.clone()).collect()
    }

    fn publish(&mut self, stored: Vec<u64>, removed: Vec<u64>, now: tokio::time::Instant) {
        let event = Event {
            seq: self.next_seq,
            stored,
            removed,
        };
        self.next_seq += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }
}
