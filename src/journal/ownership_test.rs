use std::time::Duration;

use super::ownership::{Action, Observation, decide};
use crate::resource::journal;

const RESEND: Duration = Duration::from_secs(120);

fn owner(vm: &str, boot: &str, started: u64) -> journal::Owner {
    journal::Owner {
        vm: vm.into(),
        boot: boot.into(),
        started,
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn action(
    stored_owner: Option<journal::Owner>,
    offline: bool,
    vm_listed: bool,
    missing_for: Option<u64>,
) -> Action {
    let head = journal::Head {
        owner: stored_owner,
        offline,
        ..journal::Head::default()
    };
    decide(&Observation {
        head: &head,
        local: &owner("b", "boot-b", 100),
        vm_listed,
        missing_for: missing_for.map(Duration::from_secs),
        resend_window: RESEND,
    })
}

/// Guards against a takeover from an owner that may still grant reservations
/// from memory.
#[test]
fn offline_owner_keeps_its_shard() {
    let other = || Some(owner("a", "boot-a", 1));
    assert_eq!(action(other(), true, true, None), Action::Follow);
    assert_eq!(action(other(), true, true, Some(500)), Action::Follow);
    assert_eq!(action(other(), true, false, None), Action::Wait(RESEND));
    let remaining = Duration::from_secs(1);
    assert_eq!(
        action(other(), true, false, Some(119)),
        Action::Wait(remaining)
    );
    assert_eq!(action(other(), true, false, Some(120)), Action::Take);
}

/// Guards against an older process on a VM that treats the newer one as ended.
#[test]
fn only_a_newer_process_replaces_the_owner() {
    let older = Some(owner("b", "boot-x", 99));
    assert_eq!(action(older, true, true, Some(120)), Action::Take);
    let newer = Some(owner("b", "boot-x", 101));
    assert_eq!(action(newer, true, true, Some(120)), Action::Follow);
}

/// Guards against a delayed takeover of a shard that has no owner, is not in
/// offline mode or belongs to this process.
#[test]
fn takeover_is_immediate_without_offline_owner() {
    assert_eq!(action(None, false, true, None), Action::Take);
    let other = Some(owner("a", "boot-a", 1));
    assert_eq!(action(other, false, true, None), Action::Take);
    let own = Some(owner("b", "boot-b", 100));
    assert_eq!(action(own, true, true, None), Action::Take);
}
