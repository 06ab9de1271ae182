//! Unit tests of the request path's decisions, without I/O.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::agent::gate;
use corianderramp::digest::Digest;
use corianderramp::entry::{fair, limiter, parse, prefix, quarantine, retry, route};
use corianderramp::protocol::Reason;
use corianderramp::resource::service::Backend;
use corianderramp::shared_state::{ModelVersion, Phase};
use http::{Method, Uri};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn owner(account: &str, weight: u32, priority: u8) -> fair::Owner {
    fair::Owner {
        account: account.into(),
        weight,
        priority,
    }
}

/// Guards against serving requests in arrival order, where an account with many
/// queued requests delays all others.
#[test]
fn queue_serves_accounts_by_weight_regardless_of_backlog() {
    let mut queue = fair::Queue::default();
    let later = Instant::now() + Duration::from_secs(60);
    for _ in 0..50 {
        queue.push(owner("flood", 1, 5), later, 1000, "flood");
    }
    for _ in 0..10 {
        queue.push(owner("small", 2, 5), later, 1000, "small");
    }
    let first: Vec<&str> = (0..12)
        .map(|_| queue.pop_where(|_| Some(())).unwrap().0)
        .collect();
    let small = first.iter().filter(|a| **a == "small").count();
    assert_eq!(small, 8, "{first:?}");
}

/// Guards against shedding the wrong request when the queue is full.
#[test]
fn full_queue_sheds_low_priority_then_the_largest_share() {
    let mut queue = fair::Queue::default();
    let later = Instant::now() + Duration::from_secs(60);
    for i in 0..3 {
        assert!(queue.push(owner("flood", 1, 5), later, 4, i).is_none());
    }
    assert!(queue.push(owner("small", 1, 5), later, 4, 10).is_none());
    assert_eq!(queue.push(owner("small", 1, 5), later, 4, 11), Some(2));
    assert_eq!(queue.push(owner("batch", 9, 0), later, 4, 20), Some(20));
    // Both accounts have two requests left, so the newest is shed.
    assert_eq!(queue.push(owner("vip", 1, 9), later, 4, 30), Some(11));
}

/// Guards against retries that multiply an overload.
#[test]
fn retries_are_limited_to_a_tenth_of_recent_requests() {
    let start = Instant::now();
    let mut budget = retry::Budget::new(start);
    for _ in 0..1000 {
        budget.record_request(start);
    }
    let allowed = (0..1000).filter(|_| budget.try_retry(start)).count();
    assert_eq!(allowed, 100);
    let later = start + Duration::from_secs(60);
    let idle = (0..1000).filter(|_| budget.try_retry(later)).count();
    assert_eq!(idle, 20, "minimum retries of an idle entry");
}

fn suspect(request: &[u8], weight: u32, death: &str) -> quarantine::Suspect {
    quarantine::Suspect {
        fingerprint: Digest::of(request),
        weight,
        death: death.into(),
    }
}

/// Guards against blocking requests that merely ran beside the culprit,
/// counting one death twice, and quarantines that never end.
#[test]
fn only_the_request_that_ran_alone_is_blocked() {
    let now = Instant::now();
    let (culprit, bystander) = (Digest::of(b"culprit"), Digest::of(b"bystander"));
    let mut quarantine = quarantine::Quarantine::default();
    assert_eq!(quarantine.status(&culprit, now), quarantine::Status::Clear);
    for request in [&b"culprit"[..], b"bystander"] {
        quarantine.add(suspect(request, 500, "t1/1"), now);
        quarantine.add(suspect(request, 500, "t1/1"), now);
    }
    assert_eq!(
        quarantine.status(&culprit, now),
        quarantine::Status::Exclusive
    );
    quarantine.add(suspect(b"bystander", 250, "t2/1"), now);
    quarantine.add(suspect(b"culprit", 1000, "t2/1"), now);
    assert_eq!(
        quarantine.status(&culprit, now),
        quarantine::Status::Blocked
    );
    assert_eq!(
        quarantine.status(&bystander, now),
        quarantine::Status::Exclusive
    );
    quarantine.release(&bystander);
    assert_eq!(
        quarantine.status(&bystander, now),
        quarantine::Status::Clear
    );
    let later = now + Duration::from_secs(10 * 60);
    assert_eq!(
        quarantine.status(&culprit, later),
        quarantine::Status::Clear
    );
}

/// Guards against a limit that leaves an idle target unused or lets requests
/// queue up in a busy one.
#[test]
fn limit_follows_the_target_backlog() {
    let mut now = Instant::now();
    let mut limiter = limiter::Limiter::new(now);
    let start = limiter.limit();
    for _ in 0..100 {
        now += Duration::from_millis(300);
        limiter.on_report(0, now);
        let in_flight = limiter.limit();
        limiter.on_first_byte(Duration::from_millis(10), in_flight, now);
    }
    let grown = limiter.limit();
    assert!(grown > start, "{grown} after {start}");
    for _ in 0..100 {
        now += Duration::from_millis(300);
        limiter.on_report(1, now);
    }
    assert_eq!(limiter.limit(), 1);
}

fn candidate(local: bool, wait: f64) -> route::Candidate {
    route::Candidate {
        local,
        wait,
        rtt: if local { 0.000_1 } else { 0.004 },
        cached_blocks: 0,
        in_flight: 0,
    }
}

fn count_choices(candidates: &[route::Candidate]) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(5);
    let mut counts = vec![0; candidates.len()];
    for turn in 0..1000 {
        let policy = route::Policy::PowerOfTwo;
        counts[route::choose(policy, candidates, turn, &mut random).unwrap()] += 1;
    }
    counts
}

/// Guards against requests that go to a remote data centre without need, or stay
/// local when a remote target is faster despite the longer round trip.
#[test]
fn load_spills_over_only_when_remote_is_faster() {
    let idle = [candidate(true, 0.003), candidate(false, 0.0)];
    assert_eq!(count_choices(&idle), [1000, 0]);
    let busy = [candidate(true, 0.050), candidate(false, 0.0)];
    assert_eq!(count_choices(&busy), [0, 1000]);
}

/// Guards against ignoring a cached prefix, and against overloading the target
/// that has it.
#[test]
fn cached_prefix_is_preferred_until_its_target_is_busy() {
    let mut four = [candidate(true, 0.0); 4];
    four[2].cached_blocks = 100;
    assert_eq!(count_choices(&four)[2], 1000);
    four[2].wait = 0.5;
    assert_eq!(count_choices(&four)[2], 0);
}

fn state() -> gate::State {
    gate::State {
        phase: Phase::Ready,
        draining: false,
        backend: Some(Backend::Model),
        serving: Some(ModelVersion {
            model: "m".into(),
            version: "v1".into(),
            generation: 1,
        }),
        active: 1,
        slots: 4,
        reserved: false,
    }
}

/// Guards against admitting a request that the target must not run.
#[test]
fn admission_names_the_reason_of_each_refusal() {
    let version = Some("m@v1".to_owned());
    assert_eq!(gate::admit(&state(), Some("m@v1")), Ok(version));
    let refused = |change: &dyn Fn(&mut gate::State)| {
        let mut state = state();
        change(&mut state);
        gate::admit(&state, Some("m@v1")).unwrap_err()
    };
    assert_eq!(refused(&|s| s.serving = None), Reason::VersionMismatch);
    assert_eq!(refused(&|s| s.draining = true), Reason::Draining);
    assert_eq!(refused(&|s| s.phase = Phase::Draining), Reason::Draining);
    assert_eq!(refused(&|s| s.phase = Phase::Starting), Reason::Starting);
    assert_eq!(refused(&|s| s.backend = None), Reason::Starting);
    assert_eq!(refused(&|s| s.active = 9), Reason::Full);
    assert_eq!(refused(&|s| s.reserved = true), Reason::Reserved);
    assert_eq!(
        gate::admit(&state(), Some("m@v2")),
        Err(Reason::VersionMismatch)
    );
    assert_eq!(gate::admit(&state(), None), Err(Reason::VersionMismatch));
}

/// Guards against a path that the target resolves to another operation than the
/// one whose class was looked up.
#[test]
fn paths_with_dot_segments_are_refused() {
    let endpoint = |path: &str| {
        let uri: Uri = path.parse().unwrap();
        parse::endpoint(&Method::GET, &uri).is_some()
    };
    assert!(endpoint("/ledger/pitches/7"));
    for path in [
        "/ledger/pitches/../book",
        "/ledger/%2E%2e/book",
        "/ledger/./a",
        "/v1/x",
    ] {
        assert!(!endpoint(path), "{path}");
    }
}

/// Guards against rejecting valid requests with content parts or token lists,
/// which the entry does not interpret.
#[test]
fn completions_with_parts_and_token_lists_are_parsed() {
    let bodies = [
        r#"{"model":"s","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#,
        r#"{"model":"s","prompt":[1,2,3]}"#,
        r#"{"model":"s\u0041","prompt":"a\nb","extra":{"a":[null]}}"#,
    ];
    for body in bodies {
        let completion: prefix::Completion = serde_json::from_slice(body.as_bytes()).unwrap();
        assert!(completion.model.starts_with('s') && completion.prompt_hashes().is_empty());
    }
}
