//! Decisions of the coordinator: permits, status and counts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::control::pb::{self, AgentProgress, Stage};
use corianderramp::coordinator::counts::Accumulator;
use corianderramp::coordinator::permits::{GONE_AFTER, GRACE, Permits};
use corianderramp::coordinator::push::Process;
use corianderramp::coordinator::writer;
use corianderramp::resource::{Object, rollout};
use proptest::collection;
use proptest::prelude::{prop_assert, proptest};

const SECOND: Duration = Duration::from_secs(1);

fn rollout(revision: u64, limit: u32) -> Object<rollout::Rollout> {
    let spec = rollout::Rollout {
        service: "llm".into(),
        model: "m".into(),
        version: "v1".into(),
        strategy: rollout::Strategy::default(),
        max_unavailable: limit,
        join: rollout::Join::default(),
    };
    let mut object = Object::new("summer", spec);
    object.metadata.revision = revision;
    object
}

fn agent(vm: usize, generation: u64, stage: Stage) -> AgentProgress {
    AgentProgress {
        vm: format!("vm-{vm}"),
        service: "llm".into(),
        rollout: "summer".into(),
        generation,
        stage: stage.into(),
        chunks_have: u32::from(stage != Stage::Fetching),
        chunks_total: 1,
        want_permit: stage == Stage::Verified,
        ..AgentProgress::default()
    }
}

/// A target of the model run below: it switches when permitted and may die,
/// fail, or lose its permit's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Waiting,
    Switching(u32),
    Live,
    Dead,
}

proptest! {
    /// Guards against more targets out of service than a rollout allows, and
    /// against slots that stay taken by dead targets or across a coordinator
    /// change.
    #[test]
    fn switching_targets_stay_within_the_limit(
        limit in 1_u32..4,
        events in collection::vec((0_usize..8, 0_u8..8), 0..120),
    ) {
        let rollout = rollout(9, limit);
        let mut now = Instant::now();
        let mut permits = Permits::new(now);
        let mut targets = [Target::Waiting; 8];
        let mut events = events.into_iter();
        for _ in 0..400 {
            now += SECOND;
            let (chosen, event) = events.next().unwrap_or((0, 7));
            match event {
                0 if matches!(targets[chosen], Target::Switching(_)) => targets[chosen] = Target::Dead,
                1 => permits = Permits::new(now),
                _ => {}
            }
            for n in 0..targets.len() {
                let vm = (n + chosen) % targets.len();
                let target = &mut targets[vm];
                let report = match *target {
                    Target::Waiting => agent(vm, 9, Stage::Verified),
                    Target::Switching(_) => agent(vm, 9, Stage::Switching),
                    Target::Live => agent(vm, 9, Stage::Live),
                    Target::Dead => continue,
                };
                let permit = permits.report(&report, Some(&rollout), now);
                *target = match *target {
                    Target::Waiting if permit => Target::Switching(6),
                    Target::Switching(0) => Target::Live,
                    Target::Switching(n) => Target::Switching(n - 1),
                    other => other,
                };
            }
            let switching = targets.iter().filter(|t| matches!(t, Target::Switching(_))).count();
            prop_assert!(switching <= limit as usize, "{targets:?}");
        }
        prop_assert!(targets.iter().all(|t| matches!(t, Target::Live | Target::Dead)));
    }
}

/// Guards against a version that no engine can load taking all targets down.
#[test]
fn failed_switch_keeps_its_slot_until_the_target_serves() {
    let start = Instant::now();
    let now = start + GRACE;
    let mut permits = Permits::new(start);
    let first = rollout(9, 1);
    assert!(permits.report(&agent(1, 9, Stage::Verified), Some(&first), now));
    permits.report(&agent(1, 9, Stage::Switching), Some(&first), now);
    permits.report(&agent(1, 9, Stage::Failed), Some(&first), now);
    assert!(!permits.report(&agent(2, 9, Stage::Verified), Some(&first), now));
    // The next coordinator learns of it from the report.
    let mut permits = Permits::new(start);
    permits.report(&agent(1, 9, Stage::Failed), Some(&first), now);
    assert!(!permits.report(&agent(2, 9, Stage::Verified), Some(&first), now));
    // The repair is a newer generation, for which the failed target still has its slot.
    let second = rollout(12, 1);
    permits.report(&agent(1, 12, Stage::Fetching), Some(&second), now);
    assert!(!permits.report(&agent(2, 12, Stage::Verified), Some(&second), now));
    assert!(permits.report(&agent(1, 12, Stage::Verified), Some(&second), now));
    permits.report(&agent(1, 12, Stage::Live), Some(&second), now);
    assert!(permits.report(&agent(2, 12, Stage::Verified), Some(&second), now));
}

/// Guards against a slot that a vanished target keeps for ever.
#[test]
fn permit_of_a_gone_target_is_freed() {
    let start = Instant::now();
    let now = start + GRACE;
    let mut permits = Permits::new(start);
    let rollout = rollout(9, 1);
    assert!(permits.report(&agent(1, 9, Stage::Verified), Some(&rollout), now));
    assert!(!permits.report(&agent(2, 9, Stage::Verified), Some(&rollout), now));
    let later = now + GONE_AFTER;
    assert!(permits.report(&agent(2, 9, Stage::Verified), Some(&rollout), later));
    permits.retain(|vm| vm != "vm-2");
    assert_eq!(permits.in_use("llm"), 0);
}

/// Guards against a switch to a superseded version.
#[test]
fn old_generation_gets_no_permit() {
    let start = Instant::now();
    let mut permits = Permits::new(start);
    let newest = rollout(9, 1);
    let old = agent(1, 8, Stage::Verified);
    assert!(!permits.report(&old, Some(&newest), start + GRACE));
    assert!(!permits.report(&old, None, start + GRACE));
}

/// Guards against a status that calls a revision in force although a reachable
/// process lacks it, and against one that a dead process holds up.
#[test]
fn revision_in_force_is_the_lowest_of_the_reachable() {
    let process = |vm: &str, reachable, acked| Process {
        vm: vm.into(),
        reachable,
        acked,
    };
    let all = [
        process("a", true, 7),
        process("b", true, 5),
        process("c", false, 2),
    ];
    let status = writer::configuration(&all, 9);
    assert_eq!((status.complete, status.processes), (5, 3));
    assert_eq!(status.lagging, ["c"]);
}

fn reply(boot: &str, good: u64) -> pb::CountsReply {
    let count = pb::Count {
        service: "llm".into(),
        account: "a".into(),
        good,
        ..pb::Count::default()
    };
    pb::CountsReply {
        boot: boot.into(),
        counts: vec![count],
        complete: 0,
    }
}

/// Guards against outcomes counted twice after a takeover, a restart of an
/// entry or a lost answer of the platform.
#[test]
fn outcomes_are_counted_once() {
    let mut totals = Accumulator::new(vec!["old".into()]);
    totals.add("old", &reply("boot-1", 100), 1);
    assert_eq!(totals.dirty().count(), 0);
    totals.add("old", &reply("boot-1", 103), 1);
    totals.add("new", &reply("boot-2", 4), 1);
    totals.add("old", &reply("boot-3", 2), 1);
    let minute = totals.dirty().next().unwrap();
    assert_eq!(minute.burn("dc", 2).counts[0].good, 3 + 4 + 2);
    // The object holds what the predecessor of epoch 1 wrote.
    let mut earlier = minute.burn("dc", 1);
    earlier.counts[0].good = 50;
    minute.adopt(&earlier, 7, 2);
    let written = minute.burn("dc", 2);
    assert_eq!(written.counts[0].good, 50 + 9);
    // The own write took effect although its answer was lost.
    minute.adopt(&written, 8, 2);
    assert_eq!(minute.burn("dc", 2).counts[0].good, 50 + 9);
}
