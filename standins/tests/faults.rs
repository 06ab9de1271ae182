//! Requests must end in their deadlines when links and targets fail.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use standins::caller::{Caller, Failure, Question};
use standins::relay::{self, Mode, Rule};
use standins::{engine, harness};

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, KEY, LLM};

/// Crash-causing prompt.
const CRASH: &str = "CRASH";

fn crashing() -> engine::Settings {
    engine::Settings {
        crash_marker: CRASH.into(),
        restart_ms: 300,
        ..engine::Settings::default()
    }
}

fn arrivals(fleet: &Fleet) -> Vec<u64> {
    let arrived = |e: &engine::Engine| e.counters().arrived.load(Ordering::Relaxed);
    fleet.engines.iter().map(arrived).collect()
}

/// Guards against a target that hangs with open connections: idempotent
/// requests go elsewhere before their deadline.
#[tokio::test]
async fn frozen_engine_costs_no_idempotent_request() {
    let fleet = fleet::models(1, 3, 1, engine::Settings::default()).await;
    let caller = Caller::new(KEY, false);
    fleet.engines[0].freeze(true);
    let asked = (0..20).map(|i| {
        let mut question = Question::new(LLM, &format!("q{i}"), 4);
        question.timeout_ms = Some(20_000);
        let (caller, address) = (&caller, fleet.rig.entries[0].address());
        async move { caller.ask(address, &question).await }
    });
    for answer in futures_util::future::join_all(asked).await {
        assert!(answer.is_ok(), "{answer:?}");
    }
}

/// Guards against established connections that carry nothing any more while
/// new ones work: requests finish in their deadline, and the target is used
/// again.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let mut fleet = fleet::models(2, 2, 1, engine::Settings::default()).await;
    let subnet = harness::Subnet::new(2);
    let mut vms: Vec<relay::Vm> = Vec::new();
    for (i, agent) in fleet.rig.agents.iter().enumerate() {
        let host = 200 + u8::try_from(i).unwrap();
        vms.push(relay::Vm {
            name: agent.place.vm.clone(),
            region: "cb-a".into(),
            address: agent.place.ip,
            up: 0.0,
            down: 0.0,
            ports: vec![relay::Port {
                listen: subnet.address(host, harness::REQUESTS_PORT),
                forward: agent.address(),
            }],
        });
    }
    let listens: Vec<_> = vms.iter().map(|vm| vm.ports[0].listen).collect();
    vms.push(relay::Vm {
        name: "e000".into(),
        region: "cb-a".into(),
        address: fleet.rig.entries[0].place.ip,
        up: 0.0,
        down: 0.0,
        ports: Vec::new(),
    });
    let settings = relay::Settings {
        control: fleet::any(),
        vms,
        regions: Vec::new(),
    };
    let relay = relay::Relay::start(settings).await.unwrap();
    for vm in &mut fleet.rig.view.vms {
        let agents = &fleet.rig.agents;
        if let Some(i) = agents.iter().position(|a| a.place.vm == vm.metadata.name) {
            std::sync::Arc::make_mut(vm).spec.requests = Some(listens[i]);
        }
    }
    fleet.rig.publish();
    let caller = Caller::new(KEY, false);
    fleet.wait_ready(&caller).await;
    let address = fleet.rig.entries[0].address();
    let both = async || {
        let question = Question::new(LLM, "both", 2);
        let _ = caller.ask(address, &question).await;
        arrivals(&fleet).iter().all(|n| *n > 0)
    };
    let wait = harness::wait_until("work at both targets", fleet::LIMIT, both);
    wait.await.unwrap();

    let rule = |from: &str, to: &str| Rule {
        from: from.into(),
        to: to.into(),
        mode: Mode::FreezeOld,
    };
    relay.set_rules(vec![rule("*", "*")]);
    let before = arrivals(&fleet);
    let since = Instant::now();
    let asked = (0..10).map(|i| {
        let mut question = Question::new(LLM, &format!("q{i}"), 4);
        question.timeout_ms = Some(20_000);
        let caller = &caller;
        async move { caller.ask(address, &question).await }
    });
    for answer in futures_util::future::join_all(asked).await {
        assert!(answer.is_ok(), "{answer:?}");
    }
    // Half of the deadline ends an attempt anyway; pings notice it long before.
    let took = since.elapsed();
    assert!(took < Duration::from_secs(8), "answers after {took:?}");
    let again = async || {
        let question = Question::new(LLM, "again", 2);
        let _ = caller.ask(address, &question).await;
        let now = arrivals(&fleet);
        now.iter().zip(&before).all(|(n, b)| n > b)
    };
    let wait = harness::wait_until("work at both targets again", fleet::LIMIT, again);
    wait.await.unwrap();
}

/// Guards against one request that takes target after target down while its
/// caller resends it at any entry, and against bystanders that pay for it.
#[tokio::test]
async fn crash_causing_request_ends_at_most_two_targets() {
    let fleet = fleet::models(3, 5, 2, crashing()).await;
    let address = |i: usize| fleet.rig.entries[i % 2].address();
    let resender = async {
        let caller = Caller::new(KEY, false);
        let mut refused = 0;
        let since = Instant::now();
        let mut i = 0;
        while refused < 3 {
            assert!(since.elapsed() < fleet::LIMIT, "never refused");
            i += 1;
            let question = Question::new(LLM, CRASH, 30);
            let answer = caller.ask(address(i), &question).await;
            match answer {
                Err(Failure::Status { code, .. }) if code == "request_crashes_targets" => {
                    refused += 1;
                }
                Err(_) => {}
                Ok(_) => panic!("the request did not crash its target"),
            }
        }
    };
    let bystanders = (0..12).map(|number| {
        let caller = Caller::new(KEY, number % 2 == 0);
        async move {
            for i in 0..15 {
                let question = Question::new(LLM, &format!("q{number}-{i}"), 20);
                let since = Instant::now();
                // A stream that has begun can't be repeated by the entry; its
                // caller sends it again.
                loop {
                    match caller.ask(address(i), &question).await {
                        Ok(_) => break,
                        Err(e) => {
                            assert!(since.elapsed() < fleet::LIMIT, "{number}-{i}: {e}");
                            tokio::time::sleep(Duration::from_millis(50)).await;
                        }
                    }
                }
            }
        }
    });
    tokio::join!(resender, futures_util::future::join_all(bystanders));
    let crashes = |e: &engine::Engine| e.counters().crashes.load(Ordering::Relaxed);
    let crashes: u64 = fleet.engines.iter().map(crashes).sum();
    assert!((1..=2).contains(&crashes), "{crashes} targets died");
}

/// Guards against a busy fleet where a suspected request waits for ever for a
/// target of its own.
#[tokio::test]
async fn suspected_bystander_finishes_on_a_busy_fleet() {
    let fleet = fleet::models(4, 3, 1, crashing()).await;
    let address = fleet.rig.entries[0].address();
    let caller = Caller::new(KEY, true);
    let busy = (0..30).map(|number| {
        let caller = caller.clone();
        async move {
            let mut failures = Vec::new();
            for i in 0..10 {
                let mut question = Question::new(LLM, &format!("q{number}-{i}"), 40);
                question.stream = false;
                if let Err(e) = caller.ask(address, &question).await {
                    failures.push(e.to_string());
                }
            }
            failures
        }
    });
    let crash = async {
        fleet.wait_running(0, 4..).await;
        let question = Question::new(LLM, CRASH, 30);
        let answer = caller.ask(address, &question).await;
        assert!(answer.is_err());
    };
    let (failures, ()) = tokio::join!(futures_util::future::join_all(busy), crash);
    let failures = failures.concat();
    assert!(
        failures.is_empty(),
        "not repeated by the entry: {failures:?}"
    );
}

/// Guards against one account that takes the capacity of the others.
#[tokio::test]
async fn flood_of_one_account_leaves_the_others_served() {
    let settings = engine::Settings {
        slots: 4,
        prefill_ms: 20,
        ..engine::Settings::default()
    };
    let mut fleet = fleet::models(5, 2, 1, settings).await;
    fleet.rig.account("flood", "key-2", fleet::account());
    fleet.rig.publish();
    let address = fleet.rig.entries[0].address();
    let flooding = Caller::new("key-2", true);
    let flood = (0..200).map(|number| {
        let flooding = flooding.clone();
        tokio::spawn(async move {
            let mut i = 0;
            loop {
                i += 1;
                let question = Question::new(LLM, &format!("flood {number} {i}"), 20);
                if flooding.ask(address, &question).await.is_err() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        })
    });
    let flood: Vec<_> = flood.collect();
    fleet.wait_running(0, 4..).await;
    let caller = Caller::new(KEY, false);
    for i in 0..40 {
        let question = Question::new(LLM, &format!("quiet {i}"), 20);
        let answer = caller.ask(address, &question).await;
        assert!(answer.is_ok(), "quiet request {i}: {answer:?}");
    }
    for task in flood {
        task.abort();
    }
}

/// Guards against limits of an account that hold only per entry.
#[tokio::test]
async fn account_rate_holds_over_all_entries() {
    let mut fleet = fleet::models(6, 2, 3, engine::Settings::default()).await;
    let limits = corianderramp::resource::account::Account {
        rate: 30.0,
        ..fleet::account()
    };
    fleet.rig.account("small", "key-3", limits);
    fleet.rig.publish();
    let caller = Caller::new("key-3", true);
    let ask = async |i: usize| {
        let question = Question::new(LLM, &format!("q{i}"), 2);
        let address = fleet.rig.entries[i % 3].address();
        caller.ask(address, &question).await
    };
    let since = Instant::now();
    let mut done = 0.0;
    let mut i = 0;
    while since.elapsed() < Duration::from_secs(6) {
        i += 1;
        match ask(i).await {
            Ok(_) => done += 1.0,
            Err(Failure::Status { outcome, .. }) => assert_eq!(outcome, "not-run"),
            Err(e) => panic!("{e}"),
        }
    }
    // The bursts of all entries add up to the rate of one second.
    let most = 30.0 * (since.elapsed().as_secs_f64() + 1.0) * 1.1;
    assert!(done <= most, "{done} requests, at most {most} allowed");
    assert!(done >= 30.0 * 6.0 * 0.7, "only {done} requests");
}
