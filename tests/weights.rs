//! Decisions of the weight path, as pure functions.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderramp::agent::engine;
use corianderramp::agent::switch::decide::{self, Facts, Step};
use corianderramp::blackboard::Serving;
use corianderramp::config;
use corianderramp::digest::Digest;
use corianderramp::resource::{Object, rollout, vm};
use corianderramp::weights::choice::{self, ChunkState, PeerState, Snapshot, Source, Transfer};
use corianderramp::weights::pace::{Controller, Direction, Pacer};
use corianderramp::weights::plan::{self, Plan};
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

/// Guards against chunks that nobody or several agents fetch from the origin,
/// or that several agents carry into the same data centre.
#[test]
fn each_chunk_has_one_home_and_one_importer_per_data_center() {
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

/// Guards against assignments that all move when one VM leaves, which would fetch
/// chunks from the origin again.
#[test]
fn a_leaving_vm_moves_only_its_own_duties() {
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
    expected_chunks: usize,
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
            expected_chunks: 0,
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
            expected_chunks: self.expected_chunks,
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

/// Guards against agents that ask the origin although another one has the assignment.
#[test]
fn only_the_home_asks_the_origin_until_it_is_down() {
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

/// Guards against an origin that stays idle because an agent does not know, of agents that
/// are not its neighbours, that they hold the chunks before its own.
#[test]
fn a_due_chunk_is_fetched_though_those_before_seem_unseen() {
    let mut case = Case::new("a-0", 200);
    let homes: Vec<usize> = (0..200)
        .filter(|c| case.plan.assignments[*c].home)
        .collect();
    let own = |c: &&usize| case.plan.assignments[**c].rank == Some(0);
    let last = *homes.iter().rfind(own).unwrap();
    for (chunk, state) in case.chunks.iter_mut().enumerate() {
        let mine = case.plan.assignments[chunk].rank == Some(0);
        if mine && chunk != last {
            *state = ChunkState::Staged;
        }
    }
    assert_eq!(case.next("a-0"), None);
    case.expected_chunks = homes.len();
    let expected = Transfer {
        chunk: last,
        source: Source::Origin,
    };
    assert_eq!(case.next("a-0"), Some(expected));
}

/// Guards against a reachable agent that does not advance holding a rollout
/// up, and against taking over too early when origin bytes matter more.
#[test]
fn another_agent_takes_over_when_nothing_arrives() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| d.home && d.rank == Some(1));
    case.idle = STALL * 4;
    assert_eq!(case.next("a-0").unwrap().source, Source::Origin);
    case.strategy = rollout::Strategy::OriginBytes;
    assert_eq!(case.next("a-0"), None);
}

/// Guards against importing through the origin while the home can supply, and
/// against waiting for a home data centre that can't be reached.
#[test]
fn an_importer_prefers_other_data_centers_to_the_origin() {
    let mut case = Case::new("a-0", 60);
    case.only(|d| !d.home && d.rank == Some(0));
    assert_eq!(case.next("a-0"), None, "nobody has a chunk yet");
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

/// Guards against a plentiful chunk being fetched before a rare one, and
/// against asking a peer that is demoted or busy.
#[test]
fn the_rarest_chunk_comes_first_from_an_open_peer() {
    let mut case = Case::new("a-0", 30);
    case.only(|d| d.rank.is_none_or(|r| r > 0));
    let missing: Vec<usize> = (0..30)
        .filter(|i| case.chunks[*i] == ChunkState::Missing)
        .collect();
    let (rare, common) = (missing[0], missing[1]);
    let near = case.plan.neighbours.clone();
    for index in &near {
        case.peers[*index].holds[common] = true;
    }
    case.peers[near[0]].holds[rare] = true;
    let expected = Transfer {
        chunk: rare,
        source: Source::Peer(near[0]),
    };
    assert_eq!(case.next("a-0"), Some(expected));
    case.peers[near[0]].quarantined = true;
    case.peers[near[1]].busy = true;
    let expected = Transfer {
        chunk: common,
        source: Source::Peer(near[2]),
    };
    assert_eq!(case.next("a-0"), Some(expected));
}

fn version(version: &str, generation: u64) -> Serving {
    Serving {
        model: "m".into(),
        version: version.into(),
        generation,
    }
}

/// Agent that serves v1 and has v2 verified.
fn facts() -> Facts {
    Facts {
        wanted: Some(version("v2", 9)),
        newest: 9,
        verified: true,
        engine: Some(engine::State {
            model: "m".into(),
            version: "v1".into(),
            fence: 5,
        }),
        serving: Some(version("v1", 5)),
        known: Some(version("v1", 5)),
        ..Facts::default()
    }
}

/// Guards against a load without a permit, before admission ended or while
/// requests are in progress.
#[test]
fn a_load_needs_permit_withdrawal_and_idle() {
    let mut facts = facts();
    assert_eq!(decide::step(&facts), Step::Wait);
    assert!(decide::needs_permit(&facts));
    facts.permit = Some(5);
    assert_eq!(
        decide::step(&facts),
        Step::Wait,
        "permit of an older generation"
    );
    facts.permit = Some(9);
    assert_eq!(decide::step(&facts), Step::Withdraw);
    facts.serving = None;
    facts.active = 1;
    assert_eq!(decide::step(&facts), Step::Wait);
    facts.active = 0;
    assert_eq!(decide::step(&facts), Step::Load);
    // The rollout changed while the requests were waited for.
    facts.newest = 10;
    assert_eq!(decide::step(&facts), Step::Serve(version("v1", 5)));
}

/// Guards against serving what is loading, or what someone else loaded.
#[test]
fn only_what_was_loaded_completely_is_served() {
    let mut facts = facts();
    facts.verified = false;
    facts.engine.as_mut().unwrap().fence = 9;
    assert_eq!(
        decide::step(&facts),
        Step::Withdraw,
        "v1 with the token of v2"
    );
    facts.known = None;
    assert_eq!(
        decide::step(&facts),
        Step::Withdraw,
        "the same after a restart"
    );
    facts.settled = true;
    assert_eq!(decide::step(&facts), Step::Serve(version("v1", 9)));
    facts.engine.as_mut().unwrap().version = "v2".into();
    facts.settled = false;
    assert_eq!(decide::step(&facts), Step::Serve(version("v2", 9)));
    facts.lost = true;
    assert_eq!(
        decide::step(&facts),
        Step::Withdraw,
        "own order without an answer"
    );
    facts.engine = None;
    assert_eq!(decide::step(&facts), Step::Withdraw, "no answer");
}

/// Guards against a rollout that slows requests down, and against pacing that
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

/// Guards against transfers above their limit.
#[test]
fn reserved_bytes_are_spaced_out() {
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

/// Guards against a cache that grows with the model.
#[test]
fn the_least_recently_used_chunk_is_evicted() {
    let store = Store::new(2_500);
    let names = chunks(3);
    for name in &names[..2] {
        store.insert(*name, Bytes::from(vec![0; 1_000]));
    }
    assert!(store.cached(names[0]).is_some());
    store.insert(names[2], Bytes::from(vec![0; 1_000]));
    assert_eq!(store.cached_bytes(), 2_000);
    assert_eq!(store.held(&names), [true, false, true]);
}
