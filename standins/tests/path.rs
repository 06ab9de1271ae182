//! Requests through real entries and agents: responses must be complete and their
//! reported outcomes correct.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use standins::caller::{Caller, Failure, Question};
use standins::{engine, harness, service};

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{KEY, LEDGER, LLM};

/// Guards against responses that are truncated, swapped between requests on a
/// shared connection, or mixed from two versions, over HTTP/1.1 and HTTP/2.
#[tokio::test]
async fn concurrent_responses_are_complete_and_not_swapped() {
    let fleet = fleet::models(1, 3, 2, engine::Settings::default()).await;
    for http2 in [false, true] {
        let caller = Caller::new(KEY, http2);
        let requests = (0..60).map(|i| {
            let (caller, fleet) = (&caller, &fleet);
            async move {
                let mut question = Question::new(LLM, &format!("question {i}"), 2 + i % 40);
                question.stream = i % 3 != 0;
                let address = fleet.rig.entries[i % 2].address();
                caller.ask(address, &question).await
            }
        });
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(response.unwrap().checked.version, "m@v1");
        }
    }
    let counts = fleet.rig.entries[0].counter.counts();
    let llm = counts.iter().find(|c| c.service == LLM).unwrap();
    assert_eq!((llm.failed, llm.unknown), (0, 0), "{llm:?}");
}

/// Guards against a truncated stream that looks complete to the client.
#[tokio::test]
async fn target_death_mid_stream_is_an_error_at_the_client() {
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
        let request = tokio::spawn(async move { caller.ask(address, &question).await });
        fleet.wait_running(0, 1..).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.engines[0].crash();
        let response = request.await.unwrap();
        assert!(
            matches!(response, Err(Failure::Broken { .. })),
            "{response:?}"
        );
    }
}

/// Guards against forwarding responses of an engine that changed its version
/// unnoticed.
#[tokio::test]
async fn response_from_another_version_is_not_forwarded() {
    let fleet = fleet::models(3, 2, 1, engine::Settings::default()).await;
    let caller = Caller::new(KEY, false);
    // The engine loads another version without its agent's knowledge.
    let engine = fleet.engines[0].life();
    engine.load("m", "v2", 9, &[]).await;
    for i in 0..30 {
        let question = Question::new(LLM, &format!("q{i}"), 4);
        let response = caller.ask(fleet.rig.entries[0].address(), &question).await;
        assert_eq!(response.unwrap().checked.version, "m@v1");
    }
}

/// Guards against reporting a request as not run although it ran. Targets crash,
/// drain and cut responses; outcomes are compared with the log of executions.
#[tokio::test]
async fn outcomes_match_executions_and_keys_run_once() {
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
        let fault = match i % 12 {
            3 => "BEFORE",
            6 => "AFTER",
            9 => "CUT",
            _ => "",
        };
        if i == 60 {
            fleet.rig.agents[0].drain();
        }
        let body = format!("operation {i} {fault}");
        let key = format!("key-{i}");
        let keyed = [("idempotency-key", key.as_str())];
        let headers = if i % 2 == 0 { &keyed[..] } else { &[] };
        let address = fleet.rig.entries[i % 2].address();
        let path = format!("/{LEDGER}/book");
        let sent = caller.send(address, Method::POST, &path, headers, body.clone());
        // A request may wait for a target for half of its deadline, 30 s. Here,
        // no request should have to wait that long.
        let sent = tokio::time::timeout(Duration::from_secs(10), sent).await;
        let outcome = match sent.expect("an operation waited for a draining target") {
            Ok(response) => response.header("corianderramp-outcome").to_owned(),
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

/// Guards against a retried operation that runs again, and against a key that
/// returns the response of another request.
#[tokio::test]
async fn retried_operation_gets_the_stored_response() {
    let fleet = fleet::ledgers(5, 2, 2, service::Settings::default()).await;
    let caller = Caller::new(KEY, true);
    let path = format!("/{LEDGER}/book?pitch=7");
    let headers = [("idempotency-key", "k1")];
    let send = |entry: usize, body: &'static str| {
        let address = fleet.rig.entries[entry].address();
        caller.send(address, Method::POST, &path, &headers, body)
    };
    let first = send(0, "pitch 7").await.unwrap();
    let retried = send(1, "pitch 7").await.unwrap();
    assert_eq!(first.body, retried.body);
    assert_eq!(retried.header("corianderramp-outcome"), "done");
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

/// Guards against an operation that is lost or runs twice when the client
/// disconnects while it runs.
#[tokio::test]
async fn operation_completes_after_client_disconnects() {
    let settings = service::Settings {
        answer_ms: 300,
        ..service::Settings::default()
    };
    let fleet = fleet::ledgers(6, 2, 1, settings).await;
    let path = format!("/{LEDGER}/book");
    let headers = [("idempotency-key", "k")];
    let address = fleet.rig.entries[0].address();
    let disconnecting = Caller::new(KEY, true);
    let sent = disconnecting.send(address, Method::POST, &path, &headers, "b");
    let timed_out = tokio::time::timeout(Duration::from_millis(100), sent).await;
    assert!(
        timed_out.is_err(),
        "the operation ended before the client disconnected"
    );
    drop(disconnecting);
    let caller = Caller::new(KEY, true);
    let wait = harness::wait_until("the stored response", Duration::from_secs(30), async || {
        let sent = caller.send(address, Method::POST, &path, &headers, "b");
        sent.await.is_ok_and(|a| a.status == StatusCode::OK)
    });
    wait.await.unwrap();
    assert_eq!(fleet.executions().len(), 1);
}

/// Guards against an entry or agent that keeps an engine busy after the client
/// disconnected.
#[tokio::test]
async fn client_disconnect_frees_the_engine() {
    let fleet = fleet::models(7, 1, 1, engine::Settings::default()).await;
    let address = fleet.rig.entries[0].address();
    let question = Question::new(LLM, "long", 100_000);
    for http2 in [false, true] {
        let caller = Caller::new(KEY, http2);
        let question = question.clone();
        let request = tokio::spawn(async move { caller.ask(address, &question).await });
        fleet.wait_running(0, 1..).await;
        request.abort();
        fleet.wait_running(0, 0..=0).await;
    }
}
