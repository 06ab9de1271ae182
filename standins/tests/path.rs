//! Requests over real entries and agents must be answered whole and truthfully.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use standins::caller::{Caller, Failure, Question};
use standins::{engine, harness, service};

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{KEY, LEDGER, LLM};

/// Guards against answers that are cut, crossed between requests on shared
/// connections, or mixed from two versions, for both caller protocols.
#[tokio::test]
async fn concurrent_answers_are_whole_and_their_own() {
    let fleet = fleet::models(1, 3, 2, engine::Settings::default()).await;
    for http2 in [false, true] {
        let caller = Caller::new(KEY, http2);
        let asked = (0..60).map(|i| {
            let (caller, fleet) = (&caller, &fleet);
            async move {
                let mut question = Question::new(LLM, &format!("question {i}"), 2 + i % 40);
                question.stream = i % 3 != 0;
                let address = fleet.rig.entries[i % 2].address();
                caller.ask(address, &question).await
            }
        });
        for answer in futures_util::future::join_all(asked).await {
            assert_eq!(answer.unwrap().checked.version, "m@v1");
        }
    }
    let counts = fleet.rig.entries[0].counter.counts();
    let llm = counts.iter().find(|c| c.service == LLM).unwrap();
    assert_eq!((llm.failed, llm.unknown), (0, 0), "{llm:?}");
}

/// Guards against a stream that ends early but looks complete to its caller.
#[tokio::test]
async fn target_dying_mid_stream_is_an_error_at_the_caller() {
    let fleet = fleet::models(2, 1, 1, engine::Settings::default()).await;
    let caller = Caller::new(KEY, false);
    for http2 in [false, true] {
        let caller = if http2 {
            Caller::new(KEY, true)
        } else {
            caller.clone()
        };
        fleet.wait_ready(&caller).await;
        let address = fleet.rig.entries[0].address();
        let question = Question::new(LLM, "long", 2000);
        let asked = tokio::spawn(async move { caller.ask(address, &question).await });
        fleet.wait_running(0, 1..).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.engines[0].crash();
        let answer = asked.await.unwrap();
        assert!(matches!(answer, Err(Failure::Broken { .. })), "{answer:?}");
    }
}

/// Guards against answers from an engine that silently changed its version.
#[tokio::test]
async fn answer_from_another_version_is_not_forwarded() {
    let fleet = fleet::models(3, 2, 1, engine::Settings::default()).await;
    let caller = Caller::new(KEY, false);
    // The engine takes another version without its agent's knowledge.
    let order = fleet.engines[0].life();
    order.load("m", "v2", 9, &[]).await;
    for i in 0..30 {
        let question = Question::new(LLM, &format!("q{i}"), 4);
        let answer = caller.ask(fleet.rig.entries[0].address(), &question).await;
        assert_eq!(answer.unwrap().checked.version, "m@v1");
    }
}

/// Guards against a request that is reported as not run but was run: whatever
/// the targets do, the record of executions decides.
#[tokio::test]
async fn not_run_means_not_run_and_keys_run_once() {
    let settings = service::Settings {
        delay_ms: 5,
        crash_before: "BEFORE".into(),
        crash_after: "AFTER".into(),
        cut: "CUT".into(),
        restart_ms: 100,
        ..service::Settings::default()
    };
    let fleet = fleet::ledgers(4, 3, 2, settings).await;
    let caller = Caller::new(KEY, false);
    let mut outcomes = Vec::new();
    for i in 0..120 {
        let mark = match i % 12 {
            3 => "BEFORE",
            6 => "AFTER",
            9 => "CUT",
            _ => "",
        };
        if i == 60 {
            fleet.rig.agents[0].drain();
        }
        let body = format!("operation {i} {mark}");
        let key = format!("key-{i}");
        let keyed = [("idempotency-key", key.as_str())];
        let headers = if i % 2 == 0 { &keyed[..] } else { &[] };
        let address = fleet.rig.entries[i % 2].address();
        let path = format!("/{LEDGER}/book");
        let sent = caller.send(address, Method::POST, &path, headers, body.clone());
        // A request waits up to 30 s for a target, half of its deadline. No
        // request here has one to wait for that long.
        let answered = tokio::time::timeout(Duration::from_secs(10), sent).await;
        let outcome = match answered.expect("an operation waited for a leaving target") {
            Ok(answer) => answer.header("corianderramp-outcome").to_owned(),
            Err(_) => "unknown".into(),
        };
        outcomes.push((body, outcome));
    }
    let executions = fleet.executions();
    let count = |body: &str| executions.iter().filter(|e| e.body == body).count();
    for (body, outcome) in &outcomes {
        match outcome.as_str() {
            "not-run" => assert_eq!(count(body), 0, "{body}"),
            "done" => assert_eq!(count(body), 1, "{body}"),
            _ => assert!(count(body) <= 1, "{body}: {outcome}"),
        }
    }
    let done = outcomes.iter().filter(|(_, o)| o == "done").count();
    assert!(done >= 60, "only {done} of 120 operations were done");
}

/// Guards against a resent operation that runs again, and against a key that
/// answers for another request.
#[tokio::test]
async fn resent_operation_gets_the_first_answer() {
    let fleet = fleet::ledgers(5, 2, 2, service::Settings::default()).await;
    let caller = Caller::new(KEY, true);
    let path = format!("/{LEDGER}/book?pitch=7");
    let headers = [("idempotency-key", "k1")];
    let send = |entry: usize, body: &'static str| {
        let address = fleet.rig.entries[entry].address();
        caller.send(address, Method::POST, &path, &headers, body)
    };
    let first = send(0, "pitch 7").await.unwrap();
    let again = send(1, "pitch 7").await.unwrap();
    assert_eq!(first.body, again.body);
    assert_eq!(again.header("corianderramp-outcome"), "done");
    let other = send(0, "pitch 8").await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(fleet.executions().len(), 1);
    fleet.rig.journal.set_unavailable(true);
    let headers = [("idempotency-key", "k2")];
    let address = fleet.rig.entries[0].address();
    let refused = caller.send(address, Method::POST, &path, &headers, "pitch 9");
    let refused = refused.await.unwrap();
    assert_eq!(refused.header("corianderramp-outcome"), "not-run");
    assert_eq!(fleet.executions().len(), 1);
}

/// Guards against an operation that is lost or run twice when its caller goes
/// away while it runs.
#[tokio::test]
async fn operation_ends_without_its_caller() {
    let settings = service::Settings {
        answer_ms: 300,
        ..service::Settings::default()
    };
    let fleet = fleet::ledgers(6, 2, 1, settings).await;
    let path = format!("/{LEDGER}/book");
    let headers = [("idempotency-key", "k")];
    let address = fleet.rig.entries[0].address();
    let leaving = Caller::new(KEY, true);
    let sent = leaving.send(address, Method::POST, &path, &headers, "b");
    let gone = tokio::time::timeout(Duration::from_millis(100), sent).await;
    assert!(gone.is_err(), "the operation ended too early to test");
    drop(leaving);
    let caller = Caller::new(KEY, true);
    let wait = harness::wait_until("the kept answer", Duration::from_secs(30), async || {
        let sent = caller.send(address, Method::POST, &path, &headers, "b");
        sent.await.is_ok_and(|a| a.status == StatusCode::OK)
    });
    wait.await.unwrap();
    assert_eq!(fleet.executions().len(), 1);
}

/// Guards against an entry or agent that keeps an engine busy for a caller that
/// went away.
#[tokio::test]
async fn caller_that_goes_away_frees_the_engine() {
    let fleet = fleet::models(7, 1, 1, engine::Settings::default()).await;
    let address = fleet.rig.entries[0].address();
    let question = Question::new(LLM, "long", 100_000);
    for http2 in [false, true] {
        let caller = Caller::new(KEY, http2);
        let question = question.clone();
        let asked = tokio::spawn(async move { caller.ask(address, &question).await });
        fleet.wait_running(0, 1..).await;
        asked.abort();
        fleet.wait_running(0, 0..=0).await;
    }
}
