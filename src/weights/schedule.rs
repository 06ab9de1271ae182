//! When the origin is asked for each chunk of a version.
//!
//! Load pattern: a version is released, hundreds of VMs learn of it one after the other, and
//! the origin may fail seconds later. Its link must be full from the first moment until it
//! has sent one copy, although no VM knows what most of the others hold. All VMs therefore
//! follow one schedule, in the order of the chunks, that starts with the release.

use std::time::Duration;

/// Share of the time that the link needs for a chunk after which the next one is asked for.
/// Asking a little early keeps the link full while some VMs learn of the version late; far too
/// early, all chunks arrive late.
const INTERVAL_PERCENT: u32 = 80;
/// Chunks that may share the origin's link when a request is made.
const MAX_CONCURRENT: u32 = 16;

/// Schedule of the requests for the chunks of one version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// Time since the release, or since it was first known.
    pub elapsed: Duration,
    /// Time that the origin's link needs for one chunk; zero if unknown.
    pub chunk_time: Duration,
    /// Time since a request to the origin last failed; `elapsed` if none did.
    pub since_failure: Duration,
}

impl Schedule {
    /// Schedule of chunks of `chunk_size` bytes over a link of `link_mbps` megabits per second,
    /// `elapsed` after its start.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use corianderramp::weights::schedule::Schedule;
    ///
    /// // 32 KiB take 32.8 ms at 8 Mbit/s.
    /// let schedule = Schedule::new(8.0, 32_768, Duration::from_secs(1));
    /// assert!(schedule.is_due(38));
    /// assert!(!schedule.is_due(39));
    /// ```
    #[must_use]
    pub fn new(link_mbps: f64, chunk_size: u32, elapsed: Duration) -> Self {
        let seconds = f64::from(chunk_size) * 8.0 / (link_mbps * 1e6);
        // An unknown bandwidth of 0 gives an infinite time, which can't be converted.
        let chunk_time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        Self {
            elapsed,
            chunk_time,
            since_failure: elapsed,
        }
    }

    /// Time from the start until the chunk at `index` is asked for.
    fn due(&self, index: usize) -> Duration {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        self.chunk_time.saturating_mul(index) / 100 * INTERVAL_PERCENT
    }

    /// Whether the VM that is to fetch the chunk at `index` asks the origin for it now.
    #[must_use]
    pub fn is_due(&self, index: usize) -> bool {
        self.elapsed >= self.due(index)
    }

    /// Whether the chunk at `index` would have arrived if the `rank` VMs that are to fetch it
    /// before this one and the origin worked. `stall` is the time after which a transfer
    /// counts as stuck.
    #[must_use]
    pub fn is_overdue(&self, index: usize, rank: usize, stall: Duration) -> bool {
        let patience = self.chunk_time.saturating_mul(MAX_CONCURRENT) + stall;
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let patience = patience.saturating_mul(rank);
        self.elapsed >= self.due(index) + patience && self.since_failure >= patience
    }
}
