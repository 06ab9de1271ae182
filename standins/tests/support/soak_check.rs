//! Checks what callers of the soak got: each request that a gateway read has a whole answer or a
//! true refusal, unless its gateway was killed or a target broke the answer off.

use std::collections::HashSet;
use std::path::Path;
use std::time::{Duration, Instant};

use http::StatusCode;
use standins::users::Target;

use crate::kept_calls::{Answer, Caller, Kind};

/// Time that a caller allows for an answer; the timeout of the routes.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Time before a caller's deadline from which an answer may end without being whole.
const EARLY: Duration = Duration::from_millis(100);
/// Longest time for which a chunk that is loaded may have been bad.
const TOLERANCE: Duration = Duration::from_secs(3);
/// Time in which a caller notices that a process has ended.
const NOTICE: Duration = Duration::from_millis(200);

/// A request and what its caller got.
#[derive(Clone, Debug)]
pub struct Completed {
    /// Number of the gateway's VM.
    pub gateway: u8,
    pub answer: Answer,
    pub ended: Instant,
}

/// Sends a request to the gateway on the VM number `gateway`.
pub async fn send(caller: &mut Caller, gateway: u8, id: String, is_unsafe: bool) -> Completed {
    let kind = if is_unsafe {
        Kind::Unsafe
    } else {
        Kind::Stream
    };
    let answer = caller.send_as(id, kind, DEADLINE).await;
    Completed {
        gateway,
        answer,
        ended: Instant::now(),
    }
}

/// End of a gateway process.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Number of the gateway's VM.
    pub gateway: u8,
    pub was_killed: bool,
    /// Whether it was stopped, but had to leave requests at its time limit.
    pub hit_limit: bool,
    /// When it was told to end.
    pub told: Instant,
    /// When it had ended.
    pub ended: Instant,
}

/// What happened during a soak run.
pub struct Run<'a> {
    pub seed: u64,
    pub completed: &'a [Completed],
    pub ends: &'a [End],
    pub targets: &'a [Target],
    /// Log files of the gateways.
    pub logs: &'a [&'a Path],
}

/// Why a request may lack a whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Reason {
    Whole,
    Refused,
    Broken,
    OutOfTime,
    Killed,
    StopLimit,
    Unread,
    NotSent,
}

const REASONS: [Reason; 8] = [
    Reason::Whole,
    Reason::Refused,
    Reason::Broken,
    Reason::OutOfTime,
    Reason::Killed,
    Reason::StopLimit,
    Reason::Unread,
    Reason::NotSent,
];

impl Run<'_> {
    /// Checks the answers against the requests that the targets ran, and what targets loaded.
    pub fn check(&self) {
        let unseen = self.targets.iter().flat_map(Target::unseen_times).max();
        let unseen = unseen.unwrap_or_default();
        let seed = self.seed;
        assert!(
            unseen < TOLERANCE,
            "seed {seed}: loaded unseen for {unseen:?}"
        );
        let received: Vec<_> = self.targets.iter().flat_map(Target::received).collect();
        let broken: HashSet<String> = self.targets.iter().flat_map(Target::broken).collect();
        let log = self.logs.iter().map(std::fs::read_to_string);
        let log: String = log.map(Result::unwrap_or_default).collect();
        let read: HashSet<&str> = log.lines().filter_map(read_id).collect();
        let mut counts = [0; REASONS.len()];
        for request in self.completed {
            let Answer { id, kind, .. } = &request.answer;
            if *kind == Kind::Unsafe {
                let same = received
                    .iter()
                    .filter(|r| r.ran && r.headers["x-corianderramp-request-id"] == id.as_str());
                let runs = same.count();
                assert!(runs <= 1, "seed {}: {id} ran {runs} times", self.seed);
                let rejected = request.answer.status == Some(StatusCode::SERVICE_UNAVAILABLE);
                assert!(
                    !rejected || runs == 0,
                    "seed {}: {id} was rejected but ran",
                    self.seed
                );
            }
            let is_broken = broken.contains(id) || self.was_in_backlog(request, &log);
            let reason = self.reason(request, read.contains(id.as_str()), is_broken);
            let Some(reason) = reason else {
                let lines = log.lines().filter(|l| read_id(l) == Some(id));
                let lines: Vec<_> = lines.collect();
                panic!(
                    "seed {}: {request:?}, ends {:?}, log {lines:#?}",
                    self.seed, self.ends
                );
            };
            let index = REASONS.iter().position(|r| *r == reason);
            counts[index.unwrap_or_default()] += 1;
        }
        let counts = REASONS.iter().zip(counts);
        let counts: Vec<_> = counts.map(|(r, n)| format!("{r:?} {n}")).collect();
        eprintln!("seed {}: {}", self.seed, counts.join(", "));
    }

    /// Whether a target crashed with the connection for a request in its listener's backlog: the
    /// kernel had accepted it and the gateway has sent the request, but the target never saw it.
    fn was_in_backlog(&self, request: &Completed, log: &str) -> bool {
        if request.answer.status != Some(StatusCode::BAD_GATEWAY) {
            return false;
        }
        let id = request.answer.id.as_str();
        let Some(line) = log.lines().find(|l| read_id(l) == Some(id)) else {
            return false;
        };
        if !line.contains("reason=\"connection broke\"") {
            return false;
        }
        let is_target = |t: &&Target| line.contains(&format!("target={} ", t.address()));
        let targets = self.targets.iter().filter(is_target);
        let mut crashes = targets.flat_map(Target::crash_times);
        crashes.any(|at| request.answer.sent <= at + NOTICE && at <= request.ended)
    }

    /// Returns why the answer to a request is as it is; `None` if it must not be.
    fn reason(&self, request: &Completed, was_read: bool, is_broken: bool) -> Option<Reason> {
        let answer = &request.answer;
        let status = answer.status;
        if answer.is_whole {
            return Some(Reason::Whole);
        }
        if !answer.was_sent {
            return Some(Reason::NotSent);
        }
        if status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            return Some(Reason::Refused);
        }
        let failures = [
            None,
            Some(StatusCode::OK),
            Some(StatusCode::BAD_GATEWAY),
            Some(StatusCode::GATEWAY_TIMEOUT),
        ];
        if !failures.contains(&status) {
            return None;
        }
        let ends = || {
            let ends = self.ends.iter().filter(|e| e.gateway == request.gateway);
            ends.filter(|e| answer.sent <= e.ended + NOTICE && e.told <= request.ended)
        };
        if status.is_none_or(|s| s == StatusCode::OK) {
            if ends().any(|e| e.was_killed) {
                return Some(Reason::Killed);
            }
            // Cut by the process at its time limit.
            if ends().any(|e| e.hit_limit && request.ended + NOTICE >= e.ended) {
                return Some(Reason::StopLimit);
            }
        }
        // Incomplete body with status 200 is an answer too, so it needs a reason of its own.
        if is_broken {
            return Some(Reason::Broken);
        }
        if status.is_none() {
            let is_unread = !was_read && ends().next().is_some();
            return is_unread.then_some(Reason::Unread);
        }
        (answer.took + EARLY >= DEADLINE).then_some(Reason::OutOfTime)
    }
}

/// Request id of a log line about a request that was read.
fn read_id(line: &str) -> Option<&str> {
    let fields = line.split_once("msg=\"request finished\"")?.1;
    fields.trim_start().strip_prefix("id=")?.split(' ').next()
}
