//! Decides whether a process may take a shard over.

use std::time::Duration;

use crate::resource::journal;

/// What a process knows about a shard that it does not own.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// Head as it is stored.
    pub head: &'a journal::Head,
    /// The process that wants the shard.
    pub me: &'a journal::Owner,
    /// Whether the platform's VM list has the owner's VM.
    pub listed: bool,
    /// Time since the owner was first seen to be gone.
    pub gone: Option<Duration>,
    /// Time in which callers still resend after a lost owner.
    pub resend: Duration,
}

/// What to do about a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
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
pub fn decide(observed: &Observed<'_>) -> Step {
    let Some(owner) = &observed.head.owner else {
        return Step::Take;
    };
    if owner.boot == observed.me.boot || !observed.head.offline {
        return Step::Take;
    }
    if observed.listed && !is_replaced(owner, observed.me) {
        return Step::Follow;
    }
    let rest = observed
        .resend
        .saturating_sub(observed.gone.unwrap_or_default());
    if rest.is_zero() {
        Step::Take
    } else {
        Step::Wait(rest)
    }
}

/// Whether `me` is a newer process on the owner's VM, which proves that the
/// owner's process ended.
#[must_use]
pub fn is_replaced(owner: &journal::Owner, me: &journal::Owner) -> bool {
    owner.vm == me.vm && owner.boot != me.boot && owner.started < me.started
}
