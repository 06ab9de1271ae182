//! Lease decisions: at most one process at a time may consider itself the holder,
//! whatever processes are paused and whatever calls are delayed or lost.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::coordinator::lease::{Action, Identity, Inputs, PeerPush, State};
use corianderramp::resource::{Object, lease};
use proptest::prelude::{Strategy, prop_assert, proptest};
use proptest::{collection, prop_oneof};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Simulated platform with one lease object.
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

/// A call in flight.
struct Call {
    action: Action,
    sent: Instant,
    /// When the platform handles the call.
    served_at: Instant,
    /// When the reply reaches the candidate.
    returned_at: Instant,
    result: Option<Reply>,
    reply_lost: bool,
}

enum Reply {
    Read(Option<Object<lease::Lease>>),
    Written(Object<lease::Lease>),
    Conflict(Option<Object<lease::Lease>>),
}

struct Candidate {
    state: State,
    inputs: Inputs,
    call: Option<Call>,
    paused_until: Instant,
}

impl Candidate {
    fn new(n: usize, now: Instant) -> Self {
        let inputs = Inputs {
            rank: Some(n),
            weight: u64::MAX - n as u64,
            ..Inputs::default()
        };
        let identity = Identity {
            data_center: "cb-a".into(),
            vm: format!("entry-{n}"),
            boot: format!("boot-{n}"),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let mut state = State::new(identity, now);
        state.update(inputs, 0, now);
        Self {
            state,
            inputs,
            call: None,
            paused_until: now,
        }
    }

    fn step(&mut self, platform: &mut Platform, delay: Duration, lose_reply: bool, now: Instant) {
        if let Some(call) = &mut self.call {
            if call.result.is_none() && now >= call.served_at && !platform.down {
                call.result = Some(handle_call(platform, &call.action));
            }
            if now < call.returned_at || now < self.paused_until {
                return;
            }
            let call = self.call.take().unwrap();
            match call.result.filter(|_| !call.reply_lost) {
                None => self.state.on_failure(now),
                Some(Reply::Read(l)) => self.state.on_read(l, call.sent, now),
                Some(Reply::Written(l)) => self.state.on_written(l, call.sent),
                Some(Reply::Conflict(l)) => self.state.on_conflict(l, call.sent, now),
            }
        }
        if now < self.paused_until {
            return;
        }
        self.state.update(self.inputs, 0, now);
        let action = self.state.next_action(now);
        if !matches!(action, Action::Wait(_)) {
            self.call = Some(Call {
                action,
                sent: now,
                served_at: now + delay,
                returned_at: now + 2 * delay + MS,
                result: None,
                reply_lost: lose_reply,
            });
        }
    }
}

fn handle_call(platform: &mut Platform, action: &Action) -> Reply {
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
    LoseReplies(bool),
    Outage(bool),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..3, 100_u64..6000).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        (1_u64..900).prop_map(Fault::Delay),
        proptest::bool::ANY.prop_map(Fault::LoseReplies),
        proptest::bool::ANY.prop_map(Fault::Outage),
    ]
}

proptest! {
    /// Guards against two holders at the same time and against two holders with
    /// the same epoch.
    #[test]
    fn at_most_one_process_may_write(faults in collection::vec(fault(), 0..25)) {
        let start = Instant::now();
        let mut platform = Platform::default();
        let mut all: Vec<Candidate> = (0..3).map(|n| Candidate::new(n, start)).collect();
        let (mut delay, mut lose_reply) = (10 * MS, false);
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
                    Some(Fault::LoseReplies(on)) => lose_reply = on,
                    Some(Fault::Outage(on)) => platform.down = on,
                    None => {}
                }
            }
            for candidate in &mut all {
                candidate.step(&mut platform, delay, lose_reply && tick % 3 == 0, now);
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

/// Runs all candidates for `time` with short delays and no lost replies.
fn run_for(all: &mut [Candidate], platform: &mut Platform, now: &mut Instant, time: Duration) {
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

/// Guards against a data centre that stays without a coordinator for longer than
/// the time limit of configuration changes allows.
#[test]
fn dead_holder_is_replaced_within_three_seconds() {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    run_for(&mut all, &mut platform, &mut now, Duration::from_secs(3));
    let first = holder(&all, now).unwrap();
    let epoch = all[first].state.role().epoch;
    all.remove(first);
    run_for(&mut all, &mut platform, &mut now, Duration::from_secs(3));
    assert_eq!(holder(&all, now), Some(0));
    assert!(all[0].state.role().epoch > epoch);
}

/// Guards against a data centre that loses its coordinator in an outage of the
/// platform, and against a takeover by a process that could not reach the platform
/// itself.
#[test]
fn holder_stays_active_through_an_outage() {
    // The outage starts at different offsets between a renewal and a read.
    (0..10).for_each(|n| outage_at(50 * n * MS));
}

fn outage_at(offset: Duration) {
    let mut now = Instant::now();
    let mut platform = Platform::default();
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    run_for(&mut all, &mut platform, &mut now, 3 * SECOND + offset);
    // The candidate that is not the holder reaches the platform first after the outage.
    if holder(&all, now) == Some(0) {
        all.reverse();
    }
    let epoch = all[1].state.role().epoch;
    let weight = all[1].inputs.weight;
    platform.down = true;
    for _ in 0..20 {
        // The pushes of the holder still arrive.
        all[0].inputs.peer_push = Some(PeerPush {
            received: now,
            epoch,
            weight,
        });
        run_for(&mut all, &mut platform, &mut now, SECOND / 2);
    }
    assert!(all[1].state.role().active && !all[1].state.role().may_write(now));
    assert!(!all[0].state.role().active);
    platform.down = false;
    run_for(&mut all, &mut platform, &mut now, 2 * SECOND);
    assert_eq!(holder(&all, now), Some(1));
    assert_eq!(all[1].state.role().epoch, epoch);
}

/// Guards against a data centre without a coordinator when the holder dies during
/// an outage, and against two fallback coordinators that both stay active.
#[test]
fn one_fallback_coordinator_remains_during_an_outage() {
    let mut now = Instant::now();
    let mut platform = Platform {
        down: true,
        ..Platform::default()
    };
    let mut all: Vec<Candidate> = (0..2).map(|n| Candidate::new(n, now)).collect();
    run_for(&mut all, &mut platform, &mut now, Duration::from_secs(6));
    assert!(all[0].state.role().active && all[1].state.role().active);
    let weight = all[0].inputs.weight;
    all[1].inputs.peer_push = Some(PeerPush {
        received: now,
        epoch: 0,
        weight,
    });
    all[0].inputs.peer_push = Some(PeerPush {
        received: now,
        epoch: 0,
        weight: all[1].inputs.weight,
    });
    run_for(&mut all, &mut platform, &mut now, Duration::from_secs(1));
    assert!(all[0].state.role().active && !all[1].state.role().active);
}

/// Guards against a call rate that grows with the number of entries.
#[test]
fn other_candidates_do_not_read_while_pushes_arrive() {
    let now = Instant::now();
    let mut candidate = Candidate::new(7, now);
    let push = PeerPush {
        received: now,
        epoch: 1,
        weight: 1,
    };
    candidate.inputs.peer_push = Some(push);
    candidate.state.update(candidate.inputs, 1, now);
    assert!(matches!(candidate.state.next_action(now), Action::Wait(_)));
    let later = now + Duration::from_secs(3);
    assert_eq!(candidate.state.next_action(later), Action::Read);
}

/// Guards against a holder that extends its lease when it learns of a write whose
/// reply was lost: other candidates count the duration from the write itself.
#[test]
fn recovered_lease_keeps_the_validity_of_the_last_known_write() {
    let start = Instant::now();
    let mut candidate = Candidate::new(0, start);
    let mut platform = Platform::default();
    run_for(
        std::slice::from_mut(&mut candidate),
        &mut platform,
        &mut start.clone(),
        SECOND,
    );
    let valid_until = candidate.state.role().valid_until.unwrap();
    let mut own = platform.lease.clone().unwrap();
    own.metadata.revision += 1;
    let now = start + 2 * SECOND;
    candidate.state.on_failure(now);
    candidate.state.on_conflict(Some(own.clone()), now, now);
    assert_eq!(candidate.state.role().valid_until, Some(valid_until));
    assert_eq!(candidate.state.next_action(now), Action::Write(own));
}
