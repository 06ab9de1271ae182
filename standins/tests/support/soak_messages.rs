//! Checks that gateways act on what targets say in their answers.

use std::time::{Duration, Instant};

use standins::users::Received;

/// Time after a gateway was told that a target leaves from which it must send nothing there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for requests that were on their way when a target asked for none.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that the users allow within the time for which a target wants none.
const MAX_EARLY: usize = 2;

/// What excuses a gateway that sends to a target that wants no requests.
#[derive(Debug, Default)]
pub struct Disturbances {
    /// Ends of faults of gateways, by VM number.
    gateways: Vec<(u8, Instant)>,
    /// Starts of new lifetimes, of all targets together.
    restarts: Vec<Instant>,
    /// Whether a target says that it leaves.
    is_leaving: bool,
}

impl Disturbances {
    /// Records the end of a fault of the gateway on VM number `vm`.
    pub fn add_gateway(&mut self, vm: u8, at: Instant) {
        self.gateways.push((vm, at));
    }

    /// Start of the targets' current lifetimes, for their registrations.
    pub fn born(&self) -> usize {
        self.restarts.len() + 1
    }

    /// Records that a target says that it leaves.
    pub fn add_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Begins new lifetimes of all targets and returns their start; `None` if none leaves.
    pub fn restart(&mut self, at: Instant) -> Option<usize> {
        std::mem::take(&mut self.is_leaving).then(|| {
            self.restarts.push(at);
            self.born()
        })
    }

    fn are_between(&self, vm: u8, from: Instant, to: Instant) -> bool {
        let times = self.gateways.iter().filter(|(g, _)| *g == vm);
        let mut times = times.map(|(_, at)| at).chain(&self.restarts);
        times.any(|at| (from..=to).contains(at))
    }

    /// Checks the requests that one target received.
    pub fn check(&self, seed: u64, received: &[Received]) {
        let arrivals: Vec<(u8, &Received)> = received
            .iter()
            .filter_map(|r| {
                let id = r.headers.get("x-corianderramp-request-id")?;
                let vm = id.to_str().ok()?.split('-').next()?.parse().ok()?;
                Some((vm, r))
            })
            .collect();
        for (vm, told) in &arrivals {
            let Some(told_at) = told.answered_at else {
                continue;
            };
            let later = |from: Instant| {
                let same = arrivals.iter().filter(move |(v, r)| v == vm && r.at > from);
                same.filter(|(_, r)| !self.are_between(*vm, told.at, r.at))
            };
            if told.told_leaving {
                let late = later(told_at + DRAIN_TIME).count();
                assert_eq!(late, 0, "seed {seed}: late at a target that left");
            }
            let wait = told.told_wait.and_then(|w| w.parse().ok());
            let wait = wait.and_then(|w| Duration::try_from_secs_f64(w).ok());
            if let Some(wait) = wait {
                let early = later(told_at + IN_FLIGHT_TIME).filter(|(_, r)| r.at < told_at + wait);
                let early = early.count();
                assert!(
                    early <= MAX_EARLY,
                    "seed {seed}: {early} requests too early"
                );
            }
        }
    }
}
