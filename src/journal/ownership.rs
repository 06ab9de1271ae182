//! Decides whether a process may take a shard over.

use std::time::Duration;

use crate::resource::journal;

/// What a process knows about a shard that it does not own.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Head as it is stored.
    pub head: &'a journal::Head,
    /// The process that wants the shard.
    pub local: &'a journal::Owner,
    /// Whether the platform's VM list has the owner's VM.
    pub vm_listed: bool,
    /// Time since the owner was first seen to be gone.
    pub missing_for: Option<Duration>,
    /// Time in which callers still resend after a lost owner.
    pub resend_window: Duration,
}

/// What to do about a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the head with the own process as owner.
    Take,
    /// The owner exists and may go on from memory.
    Follow,
    /// The owner is gone; its unwritten operations may still be resent for this time.
    Wait(Duration),
}

/// Whether the shard may be taken over now.
///
/// An owner that may go on from memory can have run operations that are not
/// written. So its shard changes hands only when its process can't run any
/// more and callers have stopped to resend what it may have run.
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

/// Whether `me` is a newer process on the owner's VM, which proves that the
/// owner's process ended.
#[must_use]
pub fn is_replaced(owner: &journal::Owner, local: &journal::Owner) -> bool {
    owner.vm == local.vm && owner.boot != local.boot && owner.started < local.started
}
