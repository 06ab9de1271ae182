//! Tests of the pure functions for weights: plan, transfer selection, version switch,
//! rate limiter and cache.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderramp::agent::engine;
use corianderramp::agent::switch::decide::{self, Inputs, Step};
use corianderramp::config;
use corianderramp::digest::Digest;
use corianderramp::resource::{Object, rollout, vm};
use corianderramp::shared_state::ModelVersion;
use corianderramp::weights::choice::{self, ChunkState, PeerState, Snapshot, Source, Transfer};
use corianderramp::weights::pace::{Controller, Direction, Pacer};
use corianderramp::weights::plan::{self, Plan};
use corianderramp::weights::schedule::Schedule;
use corianderramp::weights::store::Store;

const STALL: Duration = Duration::from_secs(2);

/// Three data centres with `count` targets each.
fn view(count: usize) -> config::View {
    let mut view = config::View::default();
    for center in ["a", "b", "c"] {
        for number in 0..count {
            let spec = vm::Vm {
                data_center: center.into(),
                region: center.into(),
                role: vm::Role::Target,
                service: "llm".into(),
                control: "127.0.0.1:7000".parse().unwrap(),
                requests: None,
                phase: vm::Phase::Live,
            };
            let object = Object::new(format!("{center}-{number}"), spec);
            view.vms.push(Arc::new(object));
        }
    }
    view
}

fn chunks(count: u32) -> Vec<Digest> {
    let digest = |i: u32| Digest::of(&i.to_le_bytes());
    (0..count).map(digest).collect()
}

fn plan_of(view: &config::View, own: &str, chunks: &[Digest]) -> Plan {
    plan::from_view(view, "llm", own, &own[..1], chunks)
}

/// Guards against chunks that no agent or several agents fetch from the origin,
/// or that several agents fetch into the same data centre.
#[test]
fn each_chunk_has_one_home_and_one_fetcher_per_data_center() {
    let view = view(4);
    let chunks = chunks(50);
    let plans: Vec<Plan> = view
        .vms
        .iter()
        .map(|v| plan_of(&view, &v.metadata.name, &chunks))
        .collect();
    for chunk in 0..chunks.len() {
        let first = plans
            .iter()
            .filter(|p| p.assignments[chunk].rank == Some(0));
        let home = first.clone().filter(|p| p.assignments[chunk].home).count();
        assert_eq!((first.count(), home), (3, 1), "chunk {chunk}");
    }
}

/// Guards against reassigning all chunks when one VM leaves: they would be fetched
/// from the origin again.
#[test]
fn only_the_chunks_of_a_leaving_vm_are_reassigned() {
    let before = view(4);
    let mut after = before.clone();
    let mut leaving = (*after.vms[0]).clone();
    leaving.spec.phase = vm::Phase::Leaving;
    after.vms[0] = Arc::new(leaving);
    let chunks = chunks(50);
    let gone = plan_of(&before, "a-0", &chunks);
    for own in ["a-1", "b-0"] {
        let old = plan_of(&before, own, &chunks);
        let new = plan_of(&after, own, &chunks);
        for chunk in 0..chunks.len() {
            let (old, new) = (&old.assignments[chunk], &new.assignments[chunk]);
            assert_eq!(old.home, new.home);
            let took_over = old.rank != Some(0) && new.rank == Some(0);
            assert!(!took_over || gone.assignments[chunk].rank == Some(0));
        }
    }
}

struct Case {
    plan: Plan,
    peers: Vec<PeerState>,
    chunks: Vec<ChunkState>,
    idle: Duration,
    strategy: rollout::Strategy,
    schedule: Option<Schedule>,
}

impl Case {
    fn new(own: &str, count: u32) -> Self {
        let plan = plan_of(&view(4), own, &chunks(count));
        let peer = PeerState {
            holds: vec![false; count as usize],
            ..PeerState::default()
        };
        Self {
            peers: vec![peer; plan.peers.len()],
            chunks: vec![ChunkState::Missing; count as usize],
            plan,
            idle: Duration::ZERO,
            strategy: rollout::Strategy::Time,
            schedule: None,
        }
    }

    fn next(&self, own: &str) -> Option<Transfer> {
        choice::next_transfer(&Snapshot {
            plan: &self.plan,
            peers: &self.peers,
            chunks: &self.chunks,
            idle: self.idle,
            stall_timeout: STALL,
            chunk_size: 1024,
            strategy: self.strategy,
            origin_available: true,
            schedule: self.schedule,
            own_name: own,
        })
    }

    /// Leaves only the chunks missing for which `keep` holds.
    fn only(&mut self, keep: impl Fn(&plan::Assignment) -> bool) {
        for (state, assignment) in self.chunks.iter_mut().zip(&self.plan.assignments) {
            if !keep(assignment) {
                *state = ChunkState::Staged;
            }
        }
    }
}

/// Guards against agents that ask the origin for chunks assigned to another agent.
#[test]
fn a_backup_asks_the_origin_only_once_its_predecessors_are_down() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| d.home && d.rank == Some(1));
    assert_eq!(case.next("a-0"), None);
    let ahead: Vec<usize> = case
        .plan
        .assignments
        .iter()
        .flat_map(|d| d.predecessors.clone())
        .collect();
    for index in ahead {
        case.peers[index].down = true;
    }
    assert_eq!(case.next("a-0").unwrap().source, Source::Origin);
}

/// Guards against an idle origin: an agent doesn't know what agents other than its
/// neighbours hold, so the chunks before its own seem to be still outstanding.
#[test]
fn an_expected_chunk_does_not_wait_for_outstanding_ones() {
    let mut case = Case::new("a-0", 200);
    let home_chunks: Vec<usize> = (0..200)
        .filter(|c| case.plan.assignments[*c].home)
        .collect();
    let own = |c: &&usize| case.plan.assignments[**c].rank == Some(0);
    let last = *home_chunks.iter().rfind(own).unwrap();
    for (chunk, state) in case.chunks.iter_mut().enumerate() {
        // Chunks of which this agent is a backup are overdue before its last one is due.
        let mine = case.plan.assignments[chunk].rank.is_some_and(|r| r <= 2);
        if mine && chunk != last {
            *state = ChunkState::Staged;
        }
    }
    assert_eq!(case.next("a-0"), None);
    let schedule = |elapsed| Schedule {
        elapsed,
        chunk_time: Duration::from_millis(25),
        since_failure: elapsed,
    };
    // A quarter more is asked for than the link can send: one chunk each 20 ms.
    let due = Duration::from_millis(20) * u32::try_from(last).unwrap();
    case.schedule = Some(schedule(due.saturating_sub(Duration::from_millis(1))));
    assert_eq!(case.next("a-0"), None);
    case.schedule = Some(schedule(due));
    let expected = Transfer {
        chunk: last,
        source: Source::Origin,
    };
    assert_eq!(case.next("a-0"), Some(expected));
}

/// Guards against a chunk that is missing when the origin fails, because the agent that was
/// to fetch it learned late of the version, and against fetching it twice.
#[test]
fn an_overdue_chunk_is_fetched_by_the_next_agent() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| d.home && d.rank == Some(1));
    let chunk = (0..60)
        .find(|c| case.chunks[*c] == ChunkState::Missing)
        .unwrap();
    let schedule = |elapsed, since_failure| {
        Some(Schedule {
            elapsed,
            chunk_time: Duration::from_millis(25),
            since_failure,
        })
    };
    let due = Duration::from_millis(20) * u32::try_from(chunk).unwrap();
    case.schedule = schedule(due, due);
    assert_eq!(case.next("a-0"), None);
    let late = Duration::from_secs(60);
    case.schedule = schedule(late, Duration::from_millis(50));
    assert_eq!(case.next("a-0"), None, "the origin, not the agent, is late");
    case.schedule = schedule(late, late);
    let ahead = case.plan.assignments[chunk].predecessors[0];
    case.peers[ahead].fetches = vec![true; 60];
    let only = |t: &Transfer| t.chunk != chunk;
    assert!(case.next("a-0").as_ref().is_none_or(only));
    case.peers[ahead].fetches = vec![false; 60];
    for (index, state) in case.chunks.iter_mut().enumerate() {
        if index != chunk {
            *state = ChunkState::Staged;
        }
    }
    let expected = Transfer {
        chunk,
        source: Source::Origin,
    };
    assert_eq!(case.next("a-0"), Some(expected));
}

/// Guards against a reachable agent without progress that blocks a rollout, and against
/// taking over too early when the rollout saves origin bytes.
#[test]
fn another_agent_takes_over_when_nothing_arrives() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| d.home && d.rank == Some(1));
    case.idle = STALL * 4;
    assert_eq!(case.next("a-0").unwrap().source, Source::Origin);
    case.strategy = rollout::Strategy::OriginBytes;
    assert_eq!(case.next("a-0"), None);
}

/// Guards against fetching from the origin while the chunk's home data centre can send
/// it, and against waiting for a home data centre that can't be reached.
#[test]
fn other_data_centers_are_preferred_to_the_origin() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| !d.home && d.rank == Some(0));
    assert_eq!(case.next("a-0"), None, "no agent holds a chunk yet");
    let chunk = case
        .chunks
        .iter()
        .position(|c| *c == ChunkState::Missing)
        .unwrap();
    let remote = case.plan.assignments[chunk].remote_sources.clone();
    let last = remote[remote.len() - 1];
    case.peers[last].holds[chunk] = true;
    let expected = Transfer {
        chunk,
        source: Source::Peer(last),
    };
    assert_eq!(case.next("a-0"), Some(expected));
    for index in 0..case.peers.len() {
        case.peers[index].down = true;
    }
    assert_eq!(case.next("a-0").unwrap().source, Source::Origin);
}

/// Guards against fetching a common chunk before a rare one, and against asking a peer
/// that is quarantined or busy.
#[test]
fn the_rarest_chunk_is_fetched_first_from_an_available_peer() {
    let mut case = Case::new("a-0", 30);
    case.only(|d| d.rank.is_none_or(|r| r > 0));
    let missing: Vec<usize> = (0..30)
        .filter(|i| case.chunks[*i] == ChunkState::Missing)
        .collect();
    let (rare, common) = (missing[0], missing[1]);
    let neighbours = case.plan.neighbours.clone();
    for index in &neighbours {
        case.peers[*index].holds[common] = true;
    }
    case.peers[neighbours[0]].holds[rare] = true;
    let expected = Transfer {
        chunk: rare,
        source: Source::Peer(neighbours[0]),
    };
    assert_eq!(case.next("a-0"), Some(expected));
    case.peers[neighbours[0]].quarantined = true;
    case.peers[neighbours[1]].busy = true;
    let expected = Transfer {
        chunk: common,
        source: Source::Peer(neighbours[2]),
    };
    assert_eq!(case.next("a-0"), Some(expected));
}

fn version(version: &str, generation: u64) -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: version.into(),
        generation,
    }
}

/// Inputs of an agent that serves v1 and has verified v2.
fn inputs() -> Inputs {
    Inputs {
        wanted: Some(version("v2", 9)),
        newest: 9,
        verified: true,
        engine: Some(engine::State {
            model: "m".into(),
            version: "v1".into(),
            fence: 5,
        }),
        serving: Some(version("v1", 5)),
        confirmed: Some(version("v1", 5)),
        ..Inputs::default()
    }
}

/// Guards against a load without a permit, or while requests are admitted or in progress.
#[test]
fn a_load_needs_a_permit_no_admission_and_no_requests() {
    let mut inputs = inputs();
    assert_eq!(decide::next_step(&inputs), Step::Wait);
    assert!(decide::needs_permit(&inputs));
    inputs.permit = Some(5);
    assert_eq!(
        decide::next_step(&inputs),
        Step::Wait,
        "permit of an older generation"
    );
    inputs.permit = Some(9);
    assert_eq!(decide::next_step(&inputs), Step::StopServing);
    inputs.serving = None;
    inputs.active = 1;
    assert_eq!(decide::next_step(&inputs), Step::Wait);
    inputs.active = 0;
    assert_eq!(decide::next_step(&inputs), Step::Load);
    // The rollout changed while the requests in progress finished.
    inputs.newest = 10;
    assert_eq!(decide::next_step(&inputs), Step::Serve(version("v1", 5)));
}

/// Guards against serving a version that is still loading or that another process loaded.
#[test]
fn only_a_completely_loaded_version_is_served() {
    let mut inputs = inputs();
    inputs.verified = false;
    inputs.engine.as_mut().unwrap().fence = 9;
    assert_eq!(
        decide::next_step(&inputs),
        Step::StopServing,
        "v1 with the token of v2"
    );
    inputs.confirmed = None;
    assert_eq!(
        decide::next_step(&inputs),
        Step::StopServing,
        "v1 with the token of v2 after a restart"
    );
    inputs.stable = true;
    assert_eq!(decide::next_step(&inputs), Step::Serve(version("v1", 9)));
    inputs.engine.as_mut().unwrap().version = "v2".into();
    inputs.stable = false;
    assert_eq!(decide::next_step(&inputs), Step::Serve(version("v2", 9)));
    inputs.outcome_unknown = true;
    assert_eq!(
        decide::next_step(&inputs),
        Step::StopServing,
        "no response to the own load order"
    );
    inputs.engine = None;
    assert_eq!(
        decide::next_step(&inputs),
        Step::StopServing,
        "no response from the engine"
    );
}

/// Guards against a rollout that slows requests down, and against a rate limiter that
/// never recovers or reacts to noise.
#[test]
fn the_rate_follows_the_latency_of_requests() {
    let mut controller = Controller::default();
    let mut now = Instant::now();
    let jitter = |i: u64| Duration::from_millis(95 + (i * 7) % 11);
    for i in 0..500 {
        controller.observe(jitter(i), now);
        now += Duration::from_millis(10);
    }
    let during = |controller: &mut Controller, now: &mut Instant, factor: u32| {
        for i in 0..500 {
            controller.note_transfer(*now);
            controller.observe(jitter(i) * factor / 10, *now);
            *now += Duration::from_millis(10);
        }
        controller.rate_factor()
    };
    assert!(during(&mut controller, &mut now, 10) > 0.9, "noise");
    let slow = during(&mut controller, &mut now, 13);
    assert!((0.06..0.07).contains(&slow), "30 % slower: {slow}");
    assert!(during(&mut controller, &mut now, 10) > 0.9, "recovery");
}

/// Guards against transfers above the rate limit.
#[test]
fn reservations_wait_according_to_the_rate_limit() {
    let pacer = Pacer::new(1_000_000, 0);
    let now = Instant::now();
    let mut wait = Duration::ZERO;
    for _ in 0..10 {
        wait = pacer.reserve(Direction::Download, 100_000, now);
    }
    assert!(wait >= Duration::from_millis(980), "{wait:?}");
    assert_eq!(
        pacer.reserve(Direction::Upload, 100_000, now),
        Duration::ZERO
    );
}

/// Guards against a cache that grows beyond its limit.
#[test]
fn the_least_recently_used_chunk_is_evicted() {
    let store = Store::new(2_500);
    let digests = chunks(3);
    for digest in &digests[..2] {
        store.insert(*digest, Bytes::from(vec![0; 1_000]));
    }
    assert!(store.cached(digests[0]).is_some());
    store.insert(digests[2], Bytes::from(vec![0; 1_000]));
    assert_eq!(store.cached_bytes(), 2_000);
    assert_eq!(store.held(&digests), [true, false, true]);
}
