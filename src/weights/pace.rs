//! Pacing: limits the rate of transfers and lowers it while requests on this
//! VM are slower than without transfers.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::time;

/// Latency, relative to the quiet one, above which transfers slow down. The
/// target for p95 during a rollout is 1.1; the mean reacts earlier at 1.05.
const SLOWER: f64 = 1.05;
/// Factor on the rate when requests are slower.
const DECREASE: f64 = 0.7;
/// Share of the highest rate that is regained per interval.
const INCREASE: f64 = 0.05;
/// Lowest share of the highest rate; a rollout must always advance.
const FLOOR: f64 = 1.0 / 16.0;
/// Interval between two changes of the rate.
const INTERVAL: Duration = Duration::from_millis(200);
/// Weight of a new latency in the mean during transfers.
const FAST: f64 = 0.2;
/// Weight of a new latency in the quiet mean.
const SLOW: f64 = 0.02;
/// Deviations of single latencies by which the mean during transfers must lie
/// above the quiet one. Twice the standard error of a mean with weight 0.2 is
/// 0.67 standard deviations, or 0.8 mean deviations; less would be noise.
const NOISE: f64 = 0.8;
/// Time after the last transferred byte from which latencies count as quiet.
const QUIET: Duration = Duration::from_secs(2);
/// Time that a bucket carries over, against late timers.
const BURST: Duration = Duration::from_millis(20);
/// Time over which the rate of an unlimited direction is measured.
const WINDOW: Duration = Duration::from_secs(1);
/// Lowest rate, bytes per second.
const SLOWEST: f64 = 64.0 * 1024.0;
/// Time without requests after which their latency no longer counts.
const SILENCE: Duration = Duration::from_secs(1);

/// Share of the highest rate, from latencies.
#[derive(Clone, Copy, Debug)]
pub struct Controller {
    quiet: Option<f64>,
    deviation: f64,
    busy: Option<f64>,
    share: f64,
    changed: Option<Instant>,
    transferred: Option<Instant>,
    observed: Option<Instant>,
}

impl Default for Controller {
    fn default() -> Self {
        Self {
            quiet: None,
            deviation: 0.0,
            busy: None,
            share: 1.0,
            changed: None,
            transferred: None,
            observed: None,
        }
    }
}

impl Controller {
    /// Share of the highest rate, from 1/16 to 1.
    #[must_use]
    pub fn rate_factor(&self) -> f64 {
        self.share
    }

    /// Notes that bytes were transferred.
    pub fn note_transfer(&mut self, now: Instant) {
        self.transferred = Some(now);
    }

    /// Notes the latency of a request: it lowers or raises the share.
    pub fn observe(&mut self, latency: Duration, now: Instant) {
        let value = latency.as_secs_f64();
        self.observed = Some(now);
        let idle = self.transferred.is_none_or(|t| now - t > QUIET);
        if idle {
            let quiet = mean(self.quiet, value, SLOW);
            self.quiet = Some(quiet);
            self.deviation = mean(Some(self.deviation), (value - quiet).abs(), SLOW);
            self.busy = None;
            return;
        }
        self.busy = Some(mean(self.busy, value, FAST));
        self.adjust(now);
    }

    /// Regains rate while no requests come in.
    pub fn tick(&mut self, now: Instant) {
        if self.observed.is_none_or(|o| now - o > SILENCE) {
            self.busy = None;
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Instant) {
        if self.changed.is_some_and(|c| now - c < INTERVAL) {
            return;
        }
        self.changed = Some(now);
        let slower = match (self.quiet, self.busy) {
            (Some(quiet), Some(busy)) => busy > quiet * SLOWER + self.deviation * NOISE,
            _ => false,
        };
        self.share = if slower {
            (self.share * DECREASE).max(FLOOR)
        } else {
            (self.share + INCREASE).min(1.0)
        };
    }
}

fn mean(old: Option<f64>, value: f64, weight: f64) -> f64 {
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

/// Bytes of one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// When the bytes reserved so far have passed.
    next: Option<Instant>,
    /// Start of the window in which bytes are counted.
    window: Option<Instant>,
    counted: f64,
    /// Highest rate seen, bytes per second.
    peak: f64,
}

impl Flow {
    fn count(&mut self, bytes: f64, now: Instant) {
        let start = *self.window.get_or_insert(now);
        self.counted += bytes;
        let elapsed = now - start;
        if elapsed >= WINDOW {
            self.peak = self.peak.max(self.counted / elapsed.as_secs_f64());
            self.window = Some(now);
            self.counted = 0.0;
        }
    }

    fn reserve(&mut self, cost: Duration, now: Instant) -> Duration {
        let floor = now.checked_sub(BURST).unwrap_or(now);
        let until = self.next.map_or(floor, |n| n.max(floor)) + cost;
        self.next = Some(until);
        until.saturating_duration_since(now)
    }
}

#[derive(Debug, Default)]
struct Inner {
    controller: Controller,
    flows: [Flow; 2],
}

/// Rate limits of this VM's transfers.
#[derive(Debug)]
pub struct Pacer {
    rates: [f64; 2],
    inner: Mutex<Inner>,
}

impl Pacer {
    /// Limits in bytes per second; 0 for no limit. Without a limit, the share
    /// applies to the highest rate seen.
    #[must_use]
    pub fn new(down: u64, up: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let rates = [down as f64, up as f64];
        Self {
            rates,
            inner: Mutex::default(),
        }
    }

    /// Notes the latency of a request that this VM answered.
    pub fn observe(&self, latency: Duration, now: Instant) {
        self.inner.lock().controller.observe(latency, now);
    }

    /// Share of the highest rate that transfers may use.
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

    /// Reserves `bytes` and returns the time to wait.
    pub fn reserve(&self, direction: Direction, bytes: usize, now: Instant) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        let limit = self.rates[direction as usize];
        let mut inner = self.inner.lock();
        inner.controller.note_transfer(now);
        inner.controller.tick(now);
        let share = inner.controller.rate_factor();
        let flow = &mut inner.flows[direction as usize];
        flow.count(bytes, now);
        if limit <= 0.0 && share >= 1.0 {
            return Duration::ZERO;
        }
        let highest = if limit > 0.0 { limit } else { flow.peak };
        let rate = (highest * share).max(SLOWEST);
        flow.reserve(Duration::from_secs_f64(bytes / rate), now)
    }
}
