use std::time::{Duration, Instant};

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::held::{Answer, Held, Now, Task, Waiter, Write};
use super::key::{Ask, Attempt, Finish, Id};
use super::table::{Table, Verdict};
use crate::resource::journal;

const RETENTION: Duration = Duration::from_hours(1);

struct Shard {
    held: Held,
    now: Now,
}

type Reply = oneshot::Receiver<Answer>;

impl Shard {
    fn new(offline: bool) -> Self {
        let head = journal::Head {
            offline,
            ..journal::Head::default()
        };
        let now = Now {
            mono: Instant::now(),
            wall: 1_700_000_000_000,
        };
        Self {
            held: Held::new(0, Table::default(), head, 1),
            now,
        }
    }

    fn apply(&mut self, task: Task) -> Reply {
        let (reply, answer) = oneshot::channel();
        let waiter = Waiter {
            task,
            until: self.now.mono + Duration::from_secs(1),
            reply,
            made: false,
        };
        self.held.apply(waiter, self.now, RETENTION);
        answer
    }

    fn reserve(&mut self, id: u128, attempt: u128, offline: bool) -> Reply {
        let ask = Ask {
            id: Id(id),
            fingerprint: 0,
            attempt: Attempt(attempt),
            left: 60_000,
            made: None,
        };
        self.apply(Task::Reserve { ask, offline })
    }

    fn write(&mut self, offline: bool) -> journal::Head {
        match self.held.prepare(self.now, RETENTION, offline) {
            Write::Head(head) => head,
            Write::Segment { name, .. } => panic!("{name} is not expected"),
        }
    }
}

fn waits(reply: &mut Reply) -> bool {
    matches!(reply.try_recv(), Err(TryRecvError::Empty))
}

fn verdict(reply: &mut Reply) -> Option<Verdict> {
    match reply.try_recv() {
        Ok(Answer::Verdict(verdict)) => Some(verdict),
        _ => None,
    }
}

/// Guards against a dispatch before its intent is durable.
#[test]
fn permit_waits_for_the_write_that_holds_it() {
    let mut shard = Shard::new(false);
    let mut first = shard.reserve(1, 1, false);
    let head = shard.write(false);
    let mut second = shard.reserve(2, 2, false);
    assert!(waits(&mut first));
    shard.held.written(head, 2);
    assert_eq!(verdict(&mut first), Some(Verdict::Fresh));
    assert!(waits(&mut second));
    shard.held.failed(shard.now.mono);
    assert!(waits(&mut second));
}

/// Guards against going on from memory before the stored head allows it, or
/// for services that do not.
#[test]
fn memory_answers_only_where_the_head_allows_it() {
    let mut shard = Shard::new(false);
    let mut early = shard.reserve(1, 1, true);
    let head = shard.write(true);
    shard.held.failed(shard.now.mono);
    assert!(waits(&mut early));
    shard.held.written(head, 2);
    let mut allowed = shard.reserve(2, 2, true);
    let mut strict = shard.reserve(3, 3, false);
    shard.held.failed(shard.now.mono);
    assert_eq!(verdict(&mut allowed), Some(Verdict::Fresh));
    assert!(waits(&mut strict));
    // A head without the permission may be stored although its answer was lost.
    shard.write(false);
    shard.held.failed(shard.now.mono);
    let mut revoked = shard.reserve(4, 4, true);
    assert!(waits(&mut revoked));
}

/// Guards against going on from memory while the shard is handed over.
#[test]
fn handover_ends_the_use_of_memory() {
    let mut shard = Shard::new(true);
    shard.held.releasing = true;
    assert_eq!(shard.write(true).owner, None);
    shard.held.failed(shard.now.mono);
    let mut reply = shard.reserve(1, 1, true);
    assert!(waits(&mut reply));
}

/// Guards against a late copy of a request that withdraws the intent of an
/// operation that was dispatched.
#[test]
fn copy_does_not_withdraw_the_intent() {
    let mut shard = Shard::new(false);
    let mut first = shard.reserve(1, 1, false);
    let head = shard.write(false);
    shard.held.written(head, 2);
    assert_eq!(verdict(&mut first), Some(Verdict::Fresh));
    let mut copy = shard.reserve(1, 1, false);
    shard.write(false);
    shard.held.failed(shard.now.mono);
    shard.held.expire(shard.now.mono + Duration::from_secs(2));
    assert!(matches!(copy.try_recv(), Ok(Answer::Unavailable(_))));
    let mut other = shard.reserve(1, 2, false);
    assert_eq!(verdict(&mut other), Some(Verdict::InProgress));
}

/// Guards against an intent that stays after its request was refused as not run.
#[test]
fn refused_request_leaves_no_intent() {
    let mut shard = Shard::new(false);
    let mut refused = shard.reserve(1, 1, false);
    shard.write(false);
    shard.held.failed(shard.now.mono);
    shard.held.expire(shard.now.mono + Duration::from_secs(2));
    assert!(matches!(refused.try_recv(), Ok(Answer::Unavailable(_))));
    let mut next = shard.reserve(1, 2, false);
    let head = shard.write(false);
    shard.held.written(head, 2);
    assert_eq!(verdict(&mut next), Some(Verdict::Fresh));
}

/// Guards against an acknowledged outcome that is not durable.
#[test]
fn outcome_is_acknowledged_when_durable() {
    let mut shard = Shard::new(false);
    shard.reserve(1, 1, false);
    let head = shard.write(false);
    shard.held.written(head, 2);
    let mut reply = shard.apply(Task::Finish {
        id: Id(1),
        attempt: Attempt(1),
        finish: Finish::Abort,
    });
    assert!(waits(&mut reply));
    let head = shard.write(false);
    shard.held.written(head, 3);
    assert!(matches!(reply.try_recv(), Ok(Answer::Finished(true))));
}
