//! The whole path with real processes: declare, roll out, ask, book.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, StatusCode};
use standins::caller::{Answer, Caller, Question};
use standins::site::{self, Layout, Site};
use standins::{engine, harness};

const LIMIT: Duration = Duration::from_secs(60);

/// Guards against parts that work alone but not together: a declared version
/// becomes live, a streamed answer comes back whole, a booking runs once even
/// when it is sent to two entries.
#[tokio::test(flavor = "multi_thread")]
async fn declared_version_is_served_and_bookings_run_once() {
    let site = Site::start(0, &Layout::default()).await.unwrap();
    let generation = site.roll_out("v1", 1).await.unwrap();
    site.wait_live(generation, 4, LIMIT).await.unwrap();
    site.wait_served(site::LLM, LIMIT).await.unwrap();
    let caller = Caller::new(site::KEY, false);
    let question = Question::new(site::LLM, "plan a round", 20);
    let answer = caller
        .ask(site.entries[0].callers(), &question)
        .await
        .unwrap();
    assert_eq!(answer.checked.version, "shake-8b@v1");
    site.wait_served(site::LEDGER, LIMIT).await.unwrap();
    for entry in &site.entries {
        let booking = book(&caller, entry, "key-1").await;
        assert_eq!(booking.status, StatusCode::OK);
    }
    assert_eq!(site.executions("key-1"), 1);
}

async fn book(caller: &Caller, entry: &site::Member, key: &str) -> Answer {
    let path = format!("/{}/pitches", site::LEDGER);
    let headers = [("idempotency-key", key)];
    let body = "{\"pitch\":7}";
    let sent = caller.send(entry.callers(), Method::POST, &path, &headers, body);
    sent.await.unwrap()
}

/// Guards against a planned stop that cuts a long stream off, at an entry and
/// at the agent that serves it, and against a daemon that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_processes_interrupts_no_stream() {
    let layout = Layout {
        entries: 2,
        engines: 1,
        ledgers: 0,
        data_centers: vec![("cb-a".into(), "central-belt".into())],
        engine: slow_engine(),
        ..Layout::default()
    };
    let mut site = Site::start(1, &layout).await.unwrap();
    let generation = site.roll_out("v1", 1).await.unwrap();
    site.wait_live(generation, 1, LIMIT).await.unwrap();
    site.wait_served(site::LLM, LIMIT).await.unwrap();
    let caller = Caller::new(site::KEY, false);
    let address = site.entries[0].callers();
    let asked = tokio::spawn(async move {
        let question = Question::new(site::LLM, "a long note to a school", 150);
        caller.ask(address, &question).await
    });
    let engine = &site.engines[0];
    let running = async || engine.counters().arrived.load(Ordering::Relaxed) > 2;
    harness::wait_until("the stream runs", LIMIT, running)
        .await
        .unwrap();
    site.entries[0].process.terminate();
    site.targets[0].process.terminate();
    let answer = asked.await.unwrap().unwrap();
    assert_eq!(answer.checked.version, "shake-8b@v1");
    assert_eq!(site.entries[0].process.ended(LIMIT).await, Some(true));
    assert_eq!(site.targets[0].process.ended(LIMIT).await, Some(true));
}

/// An engine that takes three seconds for the stream above.
fn slow_engine() -> engine::Settings {
    engine::Settings {
        token_us: 20_000,
        ..engine::Settings::default()
    }
}
