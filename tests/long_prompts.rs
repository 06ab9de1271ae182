//! Long and short prompts on one engine: waits from the engine's parameters and pace, and the
//! effect on callers in a model of the two deployments of the specification.

// The sizes and rates of the model are far below the limits of their types.
#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::time::{Duration, Instant};

use corianderramp::fleet::Engine;
use corianderramp::place::forecast::{Forecast, Timing};
use corianderramp::place::pool::{AgentState, Requirements};
use corianderramp::place::scope::Scope;
use corianderramp::place::slots::{Decision, GrantId, SlotRequest, SlotTable};

#[path = "support/engines.rs"]
mod engines;
#[path = "support/prompts.rs"]
mod prompts;

use engines::Deployment;
use prompts::{Policy, Run};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn table(engine: &Engine) -> SlotTable {
    let mut table = SlotTable::new(engine.slots, engine.slot_time(), engine.prefill_rate);
    table.configure(engine);
    table.set_open(true);
    table
}

fn request(id: u64, prompt: u32) -> SlotRequest {
    SlotRequest {
        id: GrantId {
            gateway_id: 1,
            request_id: id,
        },
        priority: 1,
        objective: OBJECTIVE,
        prompt_tokens: prompt,
        immediate_only: false,
        output_tokens: 100,
        left: Duration::from_secs(6),
        is_returning: false,
    }
}

/// Runs both policies and checks what holds at any load.
fn compare(deployment: &Deployment, rate: f64) -> [Run; 2] {
    let [before, after] =
        [Policy::Share, Policy::Forecast].map(|p| prompts::run(deployment, p, rate));
    for share in &after.relative {
        assert!(
            *share >= 0.5,
            "long prompts are refused: {:?}",
            after.relative
        );
    }
    assert!(after.longest_backlog < 500.0, "{}", after.longest_backlog);
    let [was, is] = [&before, &after].map(|run| run.parts[0]);
    assert!(is.on_time >= was.on_time - 0.005, "{was:?} to {is:?}");
    assert!(is.p99 <= was.p99, "{was:?} to {is:?}");
    let [was, is] = [&before, &after].map(|run| run.parts[3]);
    assert!(is.p99 <= was.p99, "the rest: {was:?} to {is:?}");
    [before, after]
}

/// Guards against late first events, and against long prompts that are refused instead, on engines
/// that are never slow, at about their capacity and above it.
#[test]
fn long_and_short_prompts_are_on_time_at_the_first_deployment() {
    let deployment = engines::first();
    let [_, usual] = compare(&deployment, 320.0);
    assert!(usual.parts[0].on_time >= 0.98);
    for rate in [400.0, 640.0] {
        let [before, after] = compare(&deployment, rate);
        assert!(after.parts[0].on_time > before.parts[0].on_time);
    }
}

/// Guards against requests that are sent to engines while these are slow, and against engines that
/// get none, or far more than usual, in the half second after a slow time.
#[test]
fn long_and_short_prompts_are_on_time_at_engines_that_turn_slow() {
    let deployment = engines::second();
    for rate in [200.0, 300.0, 480.0] {
        let [before, after] = compare(&deployment, rate);
        assert!(after.parts[0].on_time > before.parts[0].on_time + 0.03);
        assert!(after.parts[1].on_time > before.parts[1].on_time - 0.04);
        assert!(after.slow < before.slow);
        assert!(
            (0.5..1.5).contains(&after.after_slow),
            "{}",
            after.after_slow
        );
    }
}

/// Guards against a backlog that is predicted too short: chunks alternate with decoding.
#[test]
fn long_prompt_waits_for_a_pass_after_each_chunk() {
    let forecast = Forecast::known(&engines::first().engine).unwrap();
    let prefill = forecast.prefill(3_880);
    assert!(prefill > engines::ms(131.0) && prefill < engines::ms(132.0));
    let first = forecast.first_event(3_880, 12);
    assert_eq!(first, prefill + forecast.pass(12) * 2);
}

/// Guards against short prompts that are sent away although they would be on time, and against
/// long ones that begin too late, behind the same backlog.
#[test]
fn short_prompt_may_wait_longer_than_a_long_one() {
    let now = Instant::now();
    let mut table = table(&engines::first().engine);
    assert_eq!(table.request(&request(1, 3_000), now), Decision::Granted);
    let wait = table.expected_wait(now);
    assert_eq!(table.prefill_left(now), wait);
    assert_eq!(table.request(&request(2, 3_000), now), Decision::Full(wait));
    assert_eq!(table.request(&request(3, 100), now), Decision::Granted);
    let later = now + wait;
    assert_eq!(table.request(&request(2, 3_000), later), Decision::Granted);
}

/// Guards against waits that stay as they were while an engine is slow, and against an engine that
/// is avoided after it is not.
#[test]
fn expected_wait_follows_the_pace_both_ways() {
    let now = Instant::now();
    let mut table = table(&engines::second().engine);
    table.request(&request(1, 2_000), now);
    let usual = table.expected_wait(now);
    table.set_pace(2.5, now);
    assert!(table.expected_wait(now) >= usual.mul_f64(2.49));
    let late = table.request(&request(2, 3_000), now);
    assert!(matches!(late, Decision::Full(_)));
    table.set_pace(1.0, now);
    assert!(table.expected_wait(now).abs_diff(usual) < engines::ms(1.0));
    for pace in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        table.set_pace(pace, now);
        assert!(table.expected_wait(now).abs_diff(usual) < engines::ms(1.0));
    }
}

/// Guards against prompts that count as read while the engine was frozen.
#[test]
fn backlog_stays_while_the_engine_is_silent() {
    let now = Instant::now();
    let mut table = table(&engines::first().engine);
    table.request(&request(1, 3_000), now);
    let wait = table.prefill_left(now);
    table.record_silence(now);
    let later = now + Duration::from_secs(1);
    table.reconcile(1, later, later);
    assert_eq!(table.prefill_left(later), wait);
    table.reset();
    assert_eq!(table.prefill_left(later), Duration::ZERO);
}

/// Guards against changed decisions for engines whose parameters are missing: the longest wait
/// stays a fixed share of the objective.
#[test]
fn engine_without_parameters_keeps_the_fixed_share() {
    let engine = Engine {
        step_tokens: 0,
        ..engines::first().engine
    };
    let now = Instant::now();
    let mut table = table(&engine);
    // 3,300 tokens at 0.65 of the rate take 166 ms; the share of the objective is 160 ms.
    assert_eq!(table.request(&request(1, 3_300), now), Decision::Granted);
    assert!(matches!(
        table.request(&request(2, 10), now),
        Decision::Full(_)
    ));
    let later = now + engines::ms(10.0);
    assert_eq!(table.request(&request(2, 10), later), Decision::Granted);
}

/// Guards against long prompts that are sent behind others, against short ones that all gateways
/// send to the emptiest engine, and against an engine that is avoided by an old report.
#[test]
fn long_prompt_goes_to_the_smallest_backlog_and_short_one_anywhere() {
    let now = Instant::now();
    let (mut pool, keys) = prompts::pool();
    for (i, key) in keys.iter().enumerate() {
        let wait = [0.0, 15.0, 5_000.0][i.min(2)];
        let state = AgentState {
            free: [12, 9, 9][i.min(2)],
            wait: engines::ms(wait),
            weights: 1,
            is_open: true,
            prefill: engines::ms(wait),
            cold: Duration::ZERO,
            received: now,
        };
        pool.update_state(*key, state);
    }
    let forecast = Forecast::known(&engines::first().engine).unwrap();
    let choose = |timing: Timing, draws: [f64; 2], at: Instant| {
        let needs = Requirements {
            service: "llm",
            excluded: &keys[2..],
            min_version: Some(1),
            data_center: "c",
            scope: &Scope::ANY,
            timing: Some(timing),
        };
        let mut draws = draws.into_iter();
        let chosen = pool.choose(&needs, at, || draws.next().unwrap());
        keys.iter().position(|k| Some(*k) == chosen)
    };
    let [long, short] = [3_000, 100].map(|n| forecast.timing(OBJECTIVE, n));
    assert!(long.is_long && !short.is_long);
    assert_eq!(choose(long, [0.9, 0.1], now), Some(0));
    assert_eq!(choose(short, [0.9, 0.1], now), Some(1));
    assert_eq!(choose(short, [0.1, 0.9], now), Some(0));
    // Reported waits have passed by then; only the free slots remain.
    let later = now + engines::ms(15.0);
    assert_eq!(choose(long, [0.9, 0.1], later), Some(1));
}
