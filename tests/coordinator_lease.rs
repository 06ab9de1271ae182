//! At most one process may believe that it certainly holds the lease, whatever
//! is paused, delayed or lost.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::coordinator::lease::{Action, Heard, Identity, State, Surroundings};
use corianderramp::resource::{Object, lease};
use proptest::prelude::{Strategy, prop_assert, proptest};
use proptest::{collection, prop_oneof};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Platform with one lease object.
#[derive(Default)]
struct Platform {
    lease: Option<Object<lease::Lease>>,
    down: bool,
}

impl Platform {
    fn put(&mut self, mut new: Object<lease::Lease>) -> bool {
        let current = self.lease.as_ref().map_or(0, |l| l.metadata.revision);
        if new.metadata.revision != current {
            return false;
        }
        new.metadata.revision += 1;
        self.lease = Some(new);
        true
    }
}

/// A call on its way.
struct Call {
    action: Action,
    sent: Instant,
    /// When it reaches the platform and when its answer arrives.
    at_platform: Instant,
    at_home: Instant,
    result: Option<Reply>,
    lost: bool,
}

enum Reply {
    Read(Option<Object<lease::Lease>>),
    Written(Object<lease::Lease>),
    Conflict(Option<Object<lease::Lease>>),
}

struct Candidate {
    state: State,
    around: Surroundings,
    call: Option<Call>,
    paused_until: Instant,
}

impl Candidate {
    fn new(n: usize, now: Instant) -> Self {
        let around = Surroundings {
            rank: Some(n),
            weight: u64::MAX - n as u64,
            ..Surroundings::default()
        };
        let identity = Identity {
            data_center: "cb-a".into(),
            vm: format!("entry-{n}"),
            boot: format!("boot-{n}"),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let mut state = State::new(identity, now);
        state.update(around, 0, now);
        Self {
            state,
            around,
            call: None,
            paused_until: now,
        }
    }

    fn step(&mut self, platform: &mut Platform, delay: Duration, lose: bool, now: Instant) {
        if let Some(call) = &mut self.call {
            if call.result.is_none() && now >= call.at_platform && !platform.down {
                call.result = Some(serve(platform, &call.action));
            }
            if now < call.at_home || now < self.paused_until {
                return;
            }
            let call = self.call.take().unwrap();
            match call.result.filter(|_| !call.lost) {
                None => self.state.on_failure(now),
                Some(Reply::Read(l)) => self.state.on_read(l, call.sent, now),
                Some(Reply::Written(l)) => self.state.on_written(l, call.sent),
                Some(Reply::Conflict(l)) => self.state.on_conflict(l, call.sent, now),
            }
        }
        if now < self.paused_until {
            return;
        }
        self.state.update(self.around, 0, now);
        let action = self.state.next(now);
        if !matches!(action, Action::Wait(_)) {
            self.call = Some(Call {
                action,
                sent: now,
                at_platform: now + delay,
                at_home: now + 2 * delay + MS,
                result: None,
                lost: lose,
            });
        }
    }
}

fn serve(platform: &mut Platform, action: &Action) -> Reply {
    match action {
        Action::Write(new) => {
            if platform.put(new.clone()) {
                Reply::Written(platform.lease.clone().unwrap())
            } else {
                Reply::Conflict(platform.lease.clone())
            }
        }
        _ => Reply::Read(platform.lease.clone()),
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Pause(usize, u64),
    Delay(u64),
    Lose(bool),
    Outage(bool),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..3, 100_u64..6000).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        (1_u64..900).prop_map(Fault::Delay),
        proptest::bool::ANY.prop_map(Fault::Lose),
        proptest::bool::ANY.prop_map(Fault::Outage),
    ]
}

proptest! {
    /// Guards against two holders at a time and against an epoch that two
    /// holders share.
    #[test]
    fn at_most_one_process_may_write(faults in collection::vec(fault(), 0..25)) {
        let start = Instant::now();
        let mut platform = Platform::default();
        let mut all: Vec<Candidate> = (0..3).map(|n| Candidate::new(n, start)).collect();
        let (mut delay, mut lose) = (10 * MS, false);
        let mut epochs: Vec<(u64, usize)> = Vec::new();
        let mut now = start;
        let mut faults = faults.into_iter();
        for tick in 0..3000_u32 {
            now += 10 * MS;
            if tick % 100 == 50 {
                match faults.next() {
                    Some(Fault::Pause(n, ms)) => {
                        all[n].paused_until = now + Duration::from_millis(ms);
                    }
                    Some(Fault::Delay(ms)) => delay = Duration::from_millis(ms),
                    Some(Fault::Lose(on)) => lose = on,
                    Some(Fault::Outage(on)) => platform.down = on,
                    None => {}
                }
            }
            for candidate in &mut all {
                candidate.step(&mut platform, delay, lose && tick % 3 == 0, now);
            }
            let holders: Vec<usize> =
                (0..3).filter(|n| all[*n].state.role().may_write(now)).collect();
            prop_assert!(holders.len() <= 1, "holders {holders:?} at {:?}", now - start);
            for n in holders {
                let held = (all[n].state.role().epoch, n);
                if !epochs.contains(&held) {
                    prop_assert!(epochs.iter().all(|(e, _)| *e < held.0));
                    epochs.push(held);
                }
            }
        }
    }
}

/// Runs candidates without faults until `until` after `now`.
fn settle(all: &mut [Candidate], platform: &mut Platform, now: &mut Instant, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += 10 * MS;
        for candidate in all.iter_mut() {
            candidate.step(platform, MS, false, *now);
        }
    }
}

fn holder(all: &[Candidate], now: Instant) -> Option<usize> {
    all.iter().position(|c| c.state.role().may_write(now))
}

/// Guards against a data centre that stays without coordinator for longer than
/// the bound on configuration changes allows.
#[test]
fn dead_holder_is_replaced_within_three_seconds() {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    settle(&mut all, &mut platform, &mut now, Duration::from_secs(3));
    let first = holder(&all, now).unwrap();
    let epoch = all[first].state.role().epoch;
    all.remove(first);
    settle(&mut all, &mut platform, &mut now, Duration::from_secs(3));
    assert_eq!(holder(&all, now), Some(0));
    assert!(all[0].state.role().epoch > epoch);
}

/// Guards against an outage that costs the data centre its coordinator, and
/// against a takeover by a process that only lost contact itself.
#[test]
fn holder_stays_active_through_an_outage() {
    // The outage begins at different times between a renewal and a read.
    (0..10).for_each(|n| outage_at(50 * n * MS));
}

fn outage_at(offset: Duration) {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    settle(&mut all, &mut platform, &mut now, 3 * SECOND + offset);
    // The other candidate reaches the platform first after the outage.
    if holder(&all, now) == Some(0) {
        all.reverse();
    }
    let epoch = all[1].state.role().epoch;
    let weight = all[1].around.weight;
    platform.down = true;
    for _ in 0..20 {
        // The holder's pushes still arrive.
        all[0].around.heard = Some(Heard {
            at: now,
            epoch,
            weight,
        });
        settle(&mut all, &mut platform, &mut now, SECOND / 2);
    }
    assert!(all[1].state.role().active && !all[1].state.role().may_write(now));
    assert!(!all[0].state.role().active);
    platform.down = false;
    settle(&mut all, &mut platform, &mut now, 2 * SECOND);
    assert_eq!(holder(&all, now), Some(1));
    assert_eq!(all[1].state.role().epoch, epoch);
}

/// Guards against soft duties that nobody does when the holder dies during an
/// outage, and against two entries that both keep doing them.
#[test]
fn soft_duties_pass_on_during_an_outage() {
    let mut now = Instant::now();
    let mut platform = Platform {
        down: true,
        ..Platform::default()
    };
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    settle(&mut all, &mut platform, &mut now, Duration::from_secs(6));
    assert!(all[0].state.role().active && all[1].state.role().active);
    let weight = all[0].around.weight;
    all[1].around.heard = Some(Heard {
        at: now,
        epoch: 0,
        weight,
    });
    all[0].around.heard = Some(Heard {
        at: now,
        epoch: 0,
        weight: all[1].around.weight,
    });
    settle(&mut all, &mut platform, &mut now, Duration::from_secs(1));
    assert!(all[0].state.role().active && !all[1].state.role().active);
}

/// Guards against calls that grow with the number of entries.
#[test]
fn further_candidates_do_not_read_while_the_coordinator_is_heard() {
    let now = Instant::now();
    let mut candidate = Candidate::new(7, now);
    let heard = Heard {
        at: now,
        epoch: 1,
        weight: 1,
    };
    candidate.around.heard = Some(heard);
    candidate.state.update(candidate.around, 1, now);
    assert!(matches!(candidate.state.next(now), Action::Wait(_)));
    let later = now + Duration::from_secs(3);
    assert_eq!(candidate.state.next(later), Action::Read);
}

/// Guards against a holder that counts its lease from the time at which it
/// learned of its own lost write, while others count from the write itself.
#[test]
fn recovered_lease_is_not_valid_for_longer_than_the_known_write() {
    let start = Instant::now();
    let mut candidate = Candidate::new(0, start);
    let mut platform = Platform::default();
    settle(
        std::slice::from_mut(&mut candidate),
        &mut platform,
        &mut start.clone(),
        SECOND,
    );
    let until = candidate.state.role().until.unwrap();
    let mut own = platform.lease.clone().unwrap();
    own.metadata.revision += 1;
    let now = start + 2 * SECOND;
    candidate.state.on_failure(now);
    candidate.state.on_conflict(Some(own.clone()), now, now);
    assert_eq!(candidate.state.role().until, Some(until));
    assert_eq!(candidate.state.next(now), Action::Write(own));
}
