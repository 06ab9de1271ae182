//! Decisions of the request path, without any I/O.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::agent::gate;
use corianderramp::blackboard::{Phase, Serving};
use corianderramp::digest::Digest;
use corianderramp::entry::{call, fair, limiter, prefix, retry, route, suspect};
use corianderramp::protocol::Reason;
use corianderramp::resource::service::Backend;
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

/// Guards against service in the order of arrival, which lets a flood delay
/// everybody.
#[test]
fn queue_serves_accounts_by_weight_whatever_they_queue() {
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
    // Both accounts have two requests now, so the newest goes.
    assert_eq!(queue.push(owner("vip", 1, 9), later, 4, 30), Some(11));
}

/// Guards against retries that multiply an overload.
#[test]
fn retries_stay_a_tenth_of_recent_requests() {
    let start = Instant::now();
    let mut budget = retry::Budget::new(start);
    for _ in 0..1000 {
        budget.record_request(start);
    }
    let allowed = (0..1000).filter(|_| budget.try_retry(start)).count();
    assert_eq!(allowed, 100);
    let later = start + Duration::from_secs(60);
    let idle = (0..1000).filter(|_| budget.try_retry(later)).count();
    assert_eq!(idle, 20, "the floor of an idle entry");
}

fn charge(request: &[u8], weight: u32, death: &str) -> suspect::Charge {
    suspect::Charge {
        fingerprint: Digest::of(request),
        weight,
        death: death.into(),
    }
}

/// Guards against refusing bystanders, counting one death twice, and
/// suspicions that last for ever.
#[test]
fn only_the_request_that_was_alone_is_refused() {
    let now = Instant::now();
    let (guilty, bystander) = (Digest::of(b"guilty"), Digest::of(b"bystander"));
    let mut suspects = suspect::Suspects::default();
    assert_eq!(suspects.verdict(&guilty, now), suspect::Verdict::Clear);
    for request in [&b"guilty"[..], b"bystander"] {
        suspects.charge(charge(request, 500, "t1/1"), now);
        suspects.charge(charge(request, 500, "t1/1"), now);
    }
    assert_eq!(suspects.verdict(&guilty, now), suspect::Verdict::Alone);
    suspects.charge(charge(b"bystander", 250, "t2/1"), now);
    suspects.charge(charge(b"guilty", 1000, "t2/1"), now);
    assert_eq!(suspects.verdict(&guilty, now), suspect::Verdict::Refused);
    assert_eq!(suspects.verdict(&bystander, now), suspect::Verdict::Alone);
    suspects.acquit(&bystander);
    assert_eq!(suspects.verdict(&bystander, now), suspect::Verdict::Clear);
    let later = now + Duration::from_secs(10 * 60);
    assert_eq!(suspects.verdict(&guilty, later), suspect::Verdict::Clear);
}

/// Guards against a limit that leaves a free target unused or lets requests
/// pile up in a full one.
#[test]
fn limit_follows_the_targets_pressure() {
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
        delay: if local { 0.000_1 } else { 0.004 },
        cached: 0,
        in_flight: 0,
    }
}

fn picks(candidates: &[route::Candidate]) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(5);
    let mut counts = vec![0; candidates.len()];
    for turn in 0..1000 {
        let policy = route::Policy::PowerOfTwo;
        counts[route::choose(policy, candidates, turn, &mut random).unwrap()] += 1;
    }
    counts
}

/// Guards against requests that leave the data centre without need, or stay
/// when another one is faster despite the way there.
#[test]
fn load_spills_over_only_when_it_pays() {
    let idle = [candidate(true, 0.003), candidate(false, 0.0)];
    assert_eq!(picks(&idle), [1000, 0]);
    let busy = [candidate(true, 0.050), candidate(false, 0.0)];
    assert_eq!(picks(&busy), [0, 1000]);
}

/// Guards against ignoring a cached prefix, and against overloading the target
/// that has it.
#[test]
fn cached_prefix_attracts_until_its_target_is_busy() {
    let mut four = [candidate(true, 0.0); 4];
    four[2].cached = 100;
    assert_eq!(picks(&four)[2], 1000);
    four[2].wait = 0.5;
    assert_eq!(picks(&four)[2], 0);
}

fn state() -> gate::State {
    gate::State {
        phase: Phase::Ready,
        draining: false,
        backend: Some(Backend::Model),
        serving: Some(Serving {
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

/// Guards against a path whose class is looked up under one name and that the
/// target resolves to another.
#[test]
fn paths_with_dot_segments_are_refused() {
    let place = |path: &str| {
        let uri: Uri = path.parse().unwrap();
        call::place(&Method::GET, &uri).is_some()
    };
    assert!(place("/ledger/pitches/7"));
    for path in [
        "/ledger/pitches/../book",
        "/ledger/%2E%2e/book",
        "/ledger/./a",
        "/v1/x",
    ] {
        assert!(!place(path), "{path}");
    }
}

/// Guards against malformed or unusual bodies that stop requests whose text
/// the entry need not understand.
#[test]
fn completions_with_parts_and_token_lists_are_read() {
    let bodies = [
        r#"{"model":"s","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#,
        r#"{"model":"s","prompt":[1,2,3]}"#,
        r#"{"model":"s\u0041","prompt":"a\nb","extra":{"a":[null]}}"#,
    ];
    for body in bodies {
        let read: prefix::Completion = serde_json::from_slice(body.as_bytes()).unwrap();
        assert!(read.model.starts_with('s') && read.prompt_hashes().is_empty());
    }
}
