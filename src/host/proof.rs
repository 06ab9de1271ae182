//! Decides whether the staged chunks of a version are known to be sound when it is loaded.
//!
//! Load pattern: hundreds of hosts stage a version at the same time. Where the processor or the
//! engine is busy, reading all chunks back takes seconds, and a chunk that turns bad after it was
//! read would be loaded. The same happens when the VM freezes between the last read and the order.

use std::time::Duration;

use crate::clock::Moment;

/// Age of a read beyond which it proves nothing. Engines must not load a chunk that turned bad
/// more than three seconds before, and accept an order up to two seconds after the last check.
const MAX_AGE: Duration = Duration::from_secs(1);

/// When each staged chunk was last found to be sound.
#[derive(Clone, Debug)]
pub struct Proof {
    reads: Vec<Option<Moment>>,
}

impl Proof {
    /// Starts without any read of `chunks` chunks.
    #[must_use]
    pub fn new(chunks: usize) -> Self {
        Self {
            reads: vec![None; chunks],
        }
    }

    /// Records that chunk `index`, requested at `asked`, was sound.
    pub fn record(&mut self, index: usize, asked: Moment) {
        self.reads[index] = Some(asked);
    }

    /// Records that chunk `index` was not sound.
    pub fn reject(&mut self, index: usize) {
        self.reads[index] = None;
    }

    /// Chunks to read before the version may be loaded at `now`.
    #[must_use]
    pub fn stale(&self, now: Moment) -> Vec<usize> {
        let is_stale = |read: &Option<Moment>| read.is_none_or(|r| now.since(r) > MAX_AGE);
        let reads = self.reads.iter().enumerate();
        let stale = reads.filter(|(_, read)| is_stale(read));
        stale.map(|(index, _)| index).collect()
    }

    /// Age of the oldest read; `None` unless each chunk was sound when it was last read.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let mut oldest = Duration::ZERO;
        for read in &self.reads {
            oldest = oldest.max(now.since((*read)?));
        }
        Some(oldest)
    }
}

#[cfg(test)]
#[path = "proof_test.rs"]
mod test;
