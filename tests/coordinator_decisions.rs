//! Coordinator: permits, configuration status and outcome counts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::control::pb::{self, AgentProgress, Stage};
use corianderramp::coordinator::counts::Accumulator;
use corianderramp::coordinator::permits::{GRACE_PERIOD, Permits, REPORT_TIMEOUT};
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

fn progress(vm: usize, generation: u64, stage: Stage) -> AgentProgress {
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

/// Simulated target: it switches once it has a permit and may die while it
/// switches.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    Waiting,
    Switching(u32),
    Live,
    Dead,
}

proptest! {
    /// Guards against more targets out of service than a rollout allows, and
    /// against permits that are never freed after a target died or the coordinator
    /// changed.
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
            let (selected, event) = events.next().unwrap_or((0, 7));
            match event {
                0 if matches!(targets[selected], Target::Switching(_)) => targets[selected] = Target::Dead,
                1 => permits = Permits::new(now),
                _ => {}
            }
            for n in 0..targets.len() {
                let vm = (n + selected) % targets.len();
                let target = &mut targets[vm];
                let report = match *target {
                    Target::Waiting => progress(vm, 9, Stage::Verified),
                    Target::Switching(_) => progress(vm, 9, Stage::Switching),
                    Target::Live => progress(vm, 9, Stage::Live),
                    Target::Dead => continue,
                };
                let permit = permits.update(&report, Some(&rollout), now);
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

/// Guards against a rollout of a version that no engine can load, which would take
/// all targets out of service.
#[test]
fn failed_switch_keeps_its_permit_until_the_target_serves() {
    let start = Instant::now();
    let now = start + GRACE_PERIOD;
    let mut permits = Permits::new(start);
    let first = rollout(9, 1);
    assert!(permits.update(&progress(1, 9, Stage::Verified), Some(&first), now));
    permits.update(&progress(1, 9, Stage::Switching), Some(&first), now);
    permits.update(&progress(1, 9, Stage::Failed), Some(&first), now);
    assert!(!permits.update(&progress(2, 9, Stage::Verified), Some(&first), now));
    // A new coordinator learns of the failed switch from the report.
    let mut permits = Permits::new(start);
    permits.update(&progress(1, 9, Stage::Failed), Some(&first), now);
    assert!(!permits.update(&progress(2, 9, Stage::Verified), Some(&first), now));
    // A newer generation repairs the failed target, which still holds its permit.
    let second = rollout(12, 1);
    permits.update(&progress(1, 12, Stage::Fetching), Some(&second), now);
    assert!(!permits.update(&progress(2, 12, Stage::Verified), Some(&second), now));
    assert!(permits.update(&progress(1, 12, Stage::Verified), Some(&second), now));
    permits.update(&progress(1, 12, Stage::Live), Some(&second), now);
    assert!(permits.update(&progress(2, 12, Stage::Verified), Some(&second), now));
}

/// Guards against a permit that is never freed because its holder stopped
/// reporting.
#[test]
fn permit_of_a_silent_target_is_freed() {
    let start = Instant::now();
    let now = start + GRACE_PERIOD;
    let mut permits = Permits::new(start);
    let rollout = rollout(9, 1);
    assert!(permits.update(&progress(1, 9, Stage::Verified), Some(&rollout), now));
    assert!(!permits.update(&progress(2, 9, Stage::Verified), Some(&rollout), now));
    let later = now + REPORT_TIMEOUT;
    assert!(permits.update(&progress(2, 9, Stage::Verified), Some(&rollout), later));
    permits.retain(|vm| vm != "vm-2");
    assert_eq!(permits.in_use("llm"), 0);
}

/// Guards against a switch to a version that a newer rollout has replaced.
#[test]
fn old_generation_gets_no_permit() {
    let start = Instant::now();
    let mut permits = Permits::new(start);
    let newest = rollout(9, 1);
    let old = progress(1, 8, Stage::Verified);
    assert!(!permits.update(&old, Some(&newest), start + GRACE_PERIOD));
    assert!(!permits.update(&old, None, start + GRACE_PERIOD));
}

/// Guards against a status that reports a revision as in force although a reachable
/// process lacks it, and against one that waits for an unreachable process.
#[test]
fn revision_in_force_is_the_lowest_of_reachable_processes() {
    let process = |vm: &str, reachable, acked_revision| Process {
        vm: vm.into(),
        reachable,
        acked_revision,
    };
    let all = [
        process("a", true, 7),
        process("b", true, 5),
        process("c", false, 2),
    ];
    let status = writer::config_status(&all, 9);
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

/// Guards against outcomes that are counted twice after a takeover, a restart of an
/// entry or a lost reply of the platform.
#[test]
fn outcomes_are_counted_once() {
    let mut accumulator = Accumulator::new(vec!["old".into()]);
    accumulator.add_reply("old", &reply("boot-1", 100), 1);
    assert_eq!(accumulator.dirty_minutes().count(), 0);
    accumulator.add_reply("old", &reply("boot-1", 103), 1);
    accumulator.add_reply("new", &reply("boot-2", 4), 1);
    accumulator.add_reply("old", &reply("boot-3", 2), 1);
    let minute = accumulator.dirty_minutes().next().unwrap();
    assert_eq!(minute.to_burn("dc", 2).counts[0].good, 3 + 4 + 2);
    // The stored object was written by the predecessor, with epoch 1.
    let mut earlier = minute.to_burn("dc", 1);
    earlier.counts[0].good = 50;
    minute.resolve_conflict(&earlier, 7, 2);
    let written = minute.to_burn("dc", 2);
    assert_eq!(written.counts[0].good, 50 + 9);
    // A write of this coordinator took effect although its reply was lost.
    minute.resolve_conflict(&written, 8, 2);
    assert_eq!(minute.to_burn("dc", 2).counts[0].good, 50 + 9);
}
