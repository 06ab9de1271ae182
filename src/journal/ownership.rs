//! Decides whether a process may take over a shard.

use std::time::Duration;

use crate::resource::journal;

/// What a process knows about a shard that it wants to acquire.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Stored head of the shard.
    pub head: &'a journal::Head,
    /// This process.
    pub local: &'a journal::Owner,
    /// Whether the owner's VM is in the platform's VM list.
    pub vm_listed: bool,
    /// Time since the owner was first found missing.
    pub missing_for: Option<Duration>,
    /// Time during which callers may still retry after an owner is lost.
    pub resend_window: Duration,
}

/// Next step for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the head with this process as owner.
    Take,
    /// Leave the shard to its owner, which may still grant reservations from memory.
    Follow,
    /// The owner is missing; callers may retry its unwritten operations for this long.
    Wait(Duration),
}

/// Decides whether the shard may be taken over now.
///
/// An owner in offline mode grants reservations from memory while the platform
/// is unreachable, so operations that it never wrote may have run. Its shard may
/// be taken over only when its process can't run any more and callers no longer
/// retry those operations.
#[must_use]
pub fn decide(observation: &Observation<'_>) -> Action {
    let Some(owner) = &observation.head.owner else {
        return Action::Take;
    };
    if owner.boot == observation.local.boot || !observation.head.offline {
        return Action::Take;
    }
    if observation.vm_listed && !is_replaced(owner, observation.local) {
        return Action::Follow;
    }
    let remaining = observation
        .resend_window
        .saturating_sub(observation.missing_for.unwrap_or_default());
    if remaining.is_zero() {
        Action::Take
    } else {
        Action::Wait(remaining)
    }
}

/// Whether `local` is a newer process on the owner's VM, which proves that the
/// owner's process has ended.
#[must_use]
pub fn is_replaced(owner: &journal::Owner, local: &journal::Owner) -> bool {
    owner.vm == local.vm && owner.boot != local.boot && owner.started < local.started
}
