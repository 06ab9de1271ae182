use std::time::Duration;

use super::ownership::{Observed, Step, decide};
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

fn step(owner_of: Option<journal::Owner>, offline: bool, listed: bool, gone: Option<u64>) -> Step {
    let head = journal::Head {
        owner: owner_of,
        offline,
        ..journal::Head::default()
    };
    decide(&Observed {
        head: &head,
        me: &owner("b", "boot-b", 100),
        listed,
        gone: gone.map(Duration::from_secs),
        resend: RESEND,
    })
}

/// Guards against a takeover from an owner that goes on from memory.
#[test]
fn owner_with_memory_keeps_its_shard() {
    let other = || Some(owner("a", "boot-a", 1));
    assert_eq!(step(other(), true, true, None), Step::Follow);
    assert_eq!(step(other(), true, true, Some(500)), Step::Follow);
    assert_eq!(step(other(), true, false, None), Step::Wait(RESEND));
    let rest = Duration::from_secs(1);
    assert_eq!(step(other(), true, false, Some(119)), Step::Wait(rest));
    assert_eq!(step(other(), true, false, Some(120)), Step::Take);
}

/// Guards against an older process on a VM that takes the newer one for gone.
#[test]
fn only_a_newer_process_replaces_the_owner() {
    let older = Some(owner("b", "boot-x", 99));
    assert_eq!(step(older, true, true, Some(120)), Step::Take);
    let newer = Some(owner("b", "boot-x", 101));
    assert_eq!(step(newer, true, true, Some(120)), Step::Follow);
}

/// Guards against shards that stay without an owner in `refuse` mode.
#[test]
fn shards_without_memory_change_hands_at_once() {
    assert_eq!(step(None, false, true, None), Step::Take);
    let other = Some(owner("a", "boot-a", 1));
    assert_eq!(step(other, false, true, None), Step::Take);
    let own = Some(owner("b", "boot-b", 100));
    assert_eq!(step(own, true, true, None), Step::Take);
}
