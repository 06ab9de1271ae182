//! Rate limiter for transfers. It lowers the rate while requests on this VM are slower
//! than without transfers.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::time;

/// Ratio of the mean latency during transfers to the baseline above which transfers slow
/// down. The target for p95 during a rollout is 1.1; the mean reacts earlier at 1.05.
const SLOWDOWN_RATIO: f64 = 1.05;
/// Multiplicative decrease of the rate factor while requests are slower.
const DECREASE_FACTOR: f64 = 0.7;
/// Additive increase of the rate factor per adjustment otherwise.
const INCREASE_STEP: f64 = 0.05;
/// Lowest rate factor; a rollout must always make progress.
const MIN_RATE_FACTOR: f64 = 1.0 / 16.0;
/// Shortest time between two adjustments of the rate factor.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);
/// Weight of a new sample in the moving mean of latencies during transfers.
const LOADED_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the moving mean and deviation of the baseline.
const BASELINE_WEIGHT: f64 = 0.02;
/// Mean deviations of the baseline by which the mean during transfers must additionally
/// exceed it. Twice the standard error of a moving mean with weight 0.2 is 0.67 standard
/// deviations, or 0.8 mean deviations; a smaller difference may be noise.
const NOISE_DEVIATIONS: f64 = 0.8;
/// Time after the last transferred byte before latencies count towards the baseline.
const BASELINE_DELAY: Duration = Duration::from_secs(2);
/// Unused time that a bucket carries over, to make up for timers that fire late.
const MAX_BURST: Duration = Duration::from_millis(20);
/// Time over which the peak rate of a direction is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Lowest rate, bytes per second.
const MIN_RATE: f64 = 64.0 * 1024.0;
/// Time without requests after which their latencies no longer slow transfers down.
const LATENCY_EXPIRY: Duration = Duration::from_secs(1);

/// Computes the rate factor, a fraction of the highest rate, from request latencies.
#[derive(Clone, Copy, Debug)]
pub struct Controller {
    /// Moving mean of latencies without transfers, seconds.
    baseline: Option<f64>,
    /// Moving mean deviation of latencies from the baseline, seconds.
    deviation: f64,
    /// Moving mean of latencies during transfers, seconds.
    loaded: Option<f64>,
    rate_factor: f64,
    adjusted_at: Option<Instant>,
    transferred_at: Option<Instant>,
    observed_at: Option<Instant>,
}

impl Default for Controller {
    fn default() -> Self {
        Self {
            baseline: None,
            deviation: 0.0,
            loaded: None,
            rate_factor: 1.0,
            adjusted_at: None,
            transferred_at: None,
            observed_at: None,
        }
    }
}

impl Controller {
    /// Fraction of the highest rate that transfers may use, from 1/16 to 1.
    #[must_use]
    pub fn rate_factor(&self) -> f64 {
        self.rate_factor
    }

    /// Records that bytes were transferred.
    pub fn note_transfer(&mut self, now: Instant) {
        self.transferred_at = Some(now);
    }

    /// Records the latency of a request. During transfers it also adjusts the rate factor,
    /// otherwise the baseline.
    pub fn observe(&mut self, latency: Duration, now: Instant) {
        let value = latency.as_secs_f64();
        self.observed_at = Some(now);
        let idle = self.transferred_at.is_none_or(|t| now - t > BASELINE_DELAY);
        if idle {
            let baseline = moving_mean(self.baseline, value, BASELINE_WEIGHT);
            self.baseline = Some(baseline);
            self.deviation = moving_mean(
                Some(self.deviation),
                (value - baseline).abs(),
                BASELINE_WEIGHT,
            );
            self.loaded = None;
            return;
        }
        self.loaded = Some(moving_mean(self.loaded, value, LOADED_WEIGHT));
        self.adjust(now);
    }

    /// Raises the rate factor while there are no requests.
    pub fn tick(&mut self, now: Instant) {
        if self.observed_at.is_none_or(|o| now - o > LATENCY_EXPIRY) {
            self.loaded = None;
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Instant) {
        if self.adjusted_at.is_some_and(|a| now - a < ADJUST_INTERVAL) {
            return;
        }
        self.adjusted_at = Some(now);
        let slower = match (self.baseline, self.loaded) {
            (Some(baseline), Some(loaded)) => {
                loaded > baseline * SLOWDOWN_RATIO + self.deviation * NOISE_DEVIATIONS
            }
            _ => false,
        };
        self.rate_factor = if slower {
            (self.rate_factor * DECREASE_FACTOR).max(MIN_RATE_FACTOR)
        } else {
            (self.rate_factor + INCREASE_STEP).min(1.0)
        };
    }
}

/// Exponentially weighted moving mean after the sample `value`.
fn moving_mean(old: Option<f64>, value: f64, weight: f64) -> f64 {
    old.map_or(value, |o| o + weight * (value - o))
}

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the origin or a peer.
    Download,
    /// To a peer.
    Upload,
}

/// Token bucket and peak rate of one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// When the bytes reserved so far will have been transferred.
    reserved_until: Option<Instant>,
    /// Start of the window in which bytes are counted.
    window_start: Option<Instant>,
    window_bytes: f64,
    /// Highest rate measured, bytes per second.
    peak_rate: f64,
}

impl Bucket {
    fn record(&mut self, bytes: f64, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        self.window_bytes += bytes;
        let elapsed = now - start;
        if elapsed >= RATE_WINDOW {
            self.peak_rate = self
                .peak_rate
                .max(self.window_bytes / elapsed.as_secs_f64());
            self.window_start = Some(now);
            self.window_bytes = 0.0;
        }
    }

    fn reserve(&mut self, duration: Duration, now: Instant) -> Duration {
        let earliest = now.checked_sub(MAX_BURST).unwrap_or(now);
        let until = self.reserved_until.map_or(earliest, |u| u.max(earliest)) + duration;
        self.reserved_until = Some(until);
        until.saturating_duration_since(now)
    }
}

#[derive(Debug, Default)]
struct Inner {
    controller: Controller,
    buckets: [Bucket; 2],
}

/// Rate limiter for this VM's transfers in both directions.
#[derive(Debug)]
pub struct Pacer {
    limits: [f64; 2],
    inner: Mutex<Inner>,
}

impl Pacer {
    /// Rate limiter for `down` and `up` bytes per second; 0 for no limit. Without a limit,
    /// the rate factor applies to the highest rate measured.
    #[must_use]
    pub fn new(down: u64, up: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let limits = [down as f64, up as f64];
        Self {
            limits,
            inner: Mutex::default(),
        }
    }

    /// Records the latency of a request that this VM served.
    pub fn observe(&self, latency: Duration, now: Instant) {
        self.inner.lock().controller.observe(latency, now);
    }

    /// Fraction of the highest rate that transfers may use, from 1/16 to 1.
    pub fn rate_factor(&self) -> f64 {
        self.inner.lock().controller.rate_factor()
    }

    /// Waits until `bytes` may be transferred.
    pub async fn acquire(&self, direction: Direction, bytes: usize, now: Instant) {
        let wait = self.reserve(direction, bytes, now);
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
    }

    /// Reserves `bytes` and returns the time to wait before transferring them.
    pub fn reserve(&self, direction: Direction, bytes: usize, now: Instant) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        let limit = self.limits[direction as usize];
        let mut inner = self.inner.lock();
        inner.controller.note_transfer(now);
        inner.controller.tick(now);
        let rate_factor = inner.controller.rate_factor();
        let bucket = &mut inner.buckets[direction as usize];
        bucket.record(bytes, now);
        if limit <= 0.0 && rate_factor >= 1.0 {
            return Duration::ZERO;
        }
        let highest = if limit > 0.0 { limit } else { bucket.peak_rate };
        let rate = (highest * rate_factor).max(MIN_RATE);
        bucket.reserve(Duration::from_secs_f64(bytes / rate), now)
    }
}
