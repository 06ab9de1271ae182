use std::time::{Duration, Instant};

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::key::{Attempt, Finish, Id, ReserveRequest};
use super::owned::{Command, Now, Reply, Shard, Waiter, Write};
use super::table::{Decision, Table};
use crate::resource::journal;

const RETENTION: Duration = Duration::from_hours(1);

struct Fixture {
    shard: Shard,
    now: Now,
}

type ReplyReceiver = oneshot::Receiver<Reply>;

impl Fixture {
    fn new(offline: bool) -> Self {
        let head = journal::Head {
            offline,
            ..journal::Head::default()
        };
        let now = Now {
            monotonic: Instant::now(),
            wall: 1_700_000_000_000,
        };
        Self {
            shard: Shard::new(0, Table::default(), head, 1),
            now,
        }
    }

    fn apply(&mut self, command: Command) -> ReplyReceiver {
        let (reply, answer) = oneshot::channel();
        let waiter = Waiter {
            command,
            deadline: self.now.monotonic + Duration::from_secs(1),
            reply,
            created_intent: false,
        };
        self.shard.apply(waiter, self.now, RETENTION);
        answer
    }

    fn reserve(&mut self, id: u128, attempt: u128, offline: bool) -> ReplyReceiver {
        let request = ReserveRequest {
            id: Id(id),
            fingerprint: 0,
            attempt: Attempt(attempt),
            timeout_ms: 60_000,
            key_time: None,
        };
        self.apply(Command::Reserve { request, offline })
    }

    fn write(&mut self, offline: bool) -> journal::Head {
        match self.shard.prepare(self.now, RETENTION, offline) {
            Write::Head(head) => head,
            Write::Segment { name, .. } => panic!("{name} is not expected"),
        }
    }
}

fn waits(reply: &mut ReplyReceiver) -> bool {
    matches!(reply.try_recv(), Err(TryRecvError::Empty))
}

fn decision(reply: &mut ReplyReceiver) -> Option<Decision> {
    match reply.try_recv() {
        Ok(Reply::Decision(decision)) => Some(decision),
        _ => None,
    }
}

/// Guards against a permit granted before its intent is stored.
#[test]
fn permit_waits_until_its_intent_is_stored() {
    let mut fixture = Fixture::new(false);
    let mut first = fixture.reserve(1, 1, false);
    let head = fixture.write(false);
    let mut second = fixture.reserve(2, 2, false);
    assert!(waits(&mut first));
    fixture.shard.head_written(head, 2);
    assert_eq!(decision(&mut first), Some(Decision::Fresh));
    assert!(waits(&mut second));
    fixture.shard.write_failed(fixture.now.monotonic);
    assert!(waits(&mut second));
}

/// Guards against reservations granted from memory before the stored head allows
/// it, or for services without offline mode.
#[test]
fn memory_grants_only_if_the_stored_head_allows_it() {
    let mut fixture = Fixture::new(false);
    let mut early = fixture.reserve(1, 1, true);
    let head = fixture.write(true);
    fixture.shard.write_failed(fixture.now.monotonic);
    assert!(waits(&mut early));
    fixture.shard.head_written(head, 2);
    let mut allowed = fixture.reserve(2, 2, true);
    let mut strict = fixture.reserve(3, 3, false);
    fixture.shard.write_failed(fixture.now.monotonic);
    assert_eq!(decision(&mut allowed), Some(Decision::Fresh));
    assert!(waits(&mut strict));
    // A write that revokes offline mode may have taken effect although its reply
    // was lost.
    fixture.write(false);
    fixture.shard.write_failed(fixture.now.monotonic);
    let mut revoked = fixture.reserve(4, 4, true);
    assert!(waits(&mut revoked));
}

/// Guards against reservations granted from memory while the shard is handed over.
#[test]
fn handover_ends_offline_mode() {
    let mut fixture = Fixture::new(true);
    fixture.shard.releasing = true;
    assert_eq!(fixture.write(true).owner, None);
    fixture.shard.write_failed(fixture.now.monotonic);
    let mut reply = fixture.reserve(1, 1, true);
    assert!(waits(&mut reply));
}

/// Guards against a copy of a request that times out and removes the intent of an
/// operation that was already dispatched.
#[test]
fn timed_out_copy_keeps_the_intent() {
    let mut fixture = Fixture::new(false);
    let mut first = fixture.reserve(1, 1, false);
    let head = fixture.write(false);
    fixture.shard.head_written(head, 2);
    assert_eq!(decision(&mut first), Some(Decision::Fresh));
    let mut copy = fixture.reserve(1, 1, false);
    fixture.write(false);
    fixture.shard.write_failed(fixture.now.monotonic);
    fixture
        .shard
        .expire(fixture.now.monotonic + Duration::from_secs(2));
    assert!(matches!(copy.try_recv(), Ok(Reply::Unavailable(_))));
    let mut other = fixture.reserve(1, 2, false);
    assert_eq!(decision(&mut other), Some(Decision::InProgress));
}

/// Guards against an intent that stays after its request was answered as
/// unavailable.
#[test]
fn timed_out_request_leaves_no_intent() {
    let mut fixture = Fixture::new(false);
    let mut refused = fixture.reserve(1, 1, false);
    fixture.write(false);
    fixture.shard.write_failed(fixture.now.monotonic);
    fixture
        .shard
        .expire(fixture.now.monotonic + Duration::from_secs(2));
    assert!(matches!(refused.try_recv(), Ok(Reply::Unavailable(_))));
    let mut next = fixture.reserve(1, 2, false);
    let head = fixture.write(false);
    fixture.shard.head_written(head, 2);
    assert_eq!(decision(&mut next), Some(Decision::Fresh));
}

/// Guards against an outcome that is acknowledged before it is stored.
#[test]
fn outcome_is_acknowledged_when_stored() {
    let mut fixture = Fixture::new(false);
    fixture.reserve(1, 1, false);
    let head = fixture.write(false);
    fixture.shard.head_written(head, 2);
    let mut reply = fixture.apply(Command::Finish {
        id: Id(1),
        attempt: Attempt(1),
        finish: Finish::Abort,
    });
    assert!(waits(&mut reply));
    let head = fixture.write(false);
    fixture.shard.head_written(head, 3);
    assert!(matches!(reply.try_recv(), Ok(Reply::Finished(true))));
}
