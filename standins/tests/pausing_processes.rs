//! Targets whose whole process is silent for a while and goes on: reports, heads and bodies wait,
//! while connections are accepted.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use kept_calls::{Deployment, Kind, Routes, Tally};
use standins::users::Target;
use tokio::time;

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Length of a silence; longer than the time after which a look for another place pays.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time between two silences of all targets.
const BREAK: Duration = Duration::from_millis(700);

async fn pause_in_turn(targets: &[Target]) {
    for target in targets.iter().cycle() {
        target.fall_silent(SILENCE);
        time::sleep(SILENCE).await;
    }
}

async fn pause_together(targets: &[Target]) {
    loop {
        time::sleep(BREAK).await;
        for target in targets {
            target.fall_silent(SILENCE);
        }
        time::sleep(SILENCE).await;
    }
}

/// Plays `silences` under load. A request may be refused, because too few targets work.
async fn play(
    name: &str,
    deployment: &Deployment,
    kinds: &[Kind],
    silences: impl Future<Output = ()>,
) -> Tally {
    let tally = tokio::select! {
        tally = deployment.load(name, kinds, 9, DEADLINE, LOAD_TIME) => tally,
        () = silences => unreachable!("the silences have no end"),
    };
    assert_eq!(tally.cut + tally.errors + tally.other, 0, "{tally:?}");
    tally
}

/// Streams of an engine whose process was silent for a while were cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_engines_that_pause_in_turn() {
    let deployment = Deployment::start(0, 3, 0, Routes::default()).await;
    let silences = pause_in_turn(&deployment.targets);
    let name = "engines in turn";
    let tally = play(name, &deployment, &[Kind::Stream], silences).await;
    tally.assert_sent(tally.paused);
}

/// Streams were cut and answers got status 502 when no engine could take them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_engines_that_pause_together() {
    let deployment = Deployment::start(1, 3, 0, Routes::default()).await;
    let silences = pause_together(&deployment.targets);
    let name = "engines together";
    let tally = play(name, &deployment, &[Kind::Stream], silences).await;
    tally.assert_sent(tally.paused);
}

/// Safe requests got status 502 when all targets were silent, and unsafe ones must be sent once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_requests_survive_targets_that_pause_together() {
    let deployment = Deployment::start(2, 0, 3, Routes::default()).await;
    let silences = pause_together(&deployment.targets);
    let name = "plain targets together, safe and unsafe";
    let kinds = [Kind::Safe, Kind::Unsafe];
    let tally = play(name, &deployment, &kinds, silences).await;
    tally.assert_sent(tally.paused);
}
