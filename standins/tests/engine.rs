//! The engine stand-in must show mistakes of its users in its answers.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use bytes::Bytes;
use corianderramp::digest::Digest;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use standins::engine::{self, answer};

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes), hyper::Error> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body.into()))
        .unwrap();
    let answer = client.request(request).await.unwrap();
    let status = answer.status();
    Ok((status, answer.into_body().collect().await?.to_bytes()))
}

async fn load(engine: &engine::Engine, version: &str, fence: u64, chunks: &[Digest]) -> StatusCode {
    let order = json!({"model": "m", "version": version, "fence": fence, "chunks": chunks});
    let answer = call(engine.address(), Method::POST, "/load", order.to_string());
    answer.await.unwrap().0
}

fn completion(prompt: &str, tokens: usize, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": "s", "messages": messages, "max_tokens": tokens, "stream": stream}).to_string()
}

async fn ask(engine: &engine::Engine, prompt: &str, tokens: usize) -> String {
    let body = completion(prompt, tokens, false);
    let path = "/v1/chat/completions";
    let (_, body) = call(engine.address(), Method::POST, path, body)
        .await
        .unwrap();
    let answer: Value = serde_json::from_slice(&body).unwrap();
    let text = answer["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default().to_owned()
}

async fn start(settings: engine::Settings) -> engine::Engine {
    let any = "127.0.0.1:0".parse().unwrap();
    engine::start(any, settings).await.unwrap()
}

fn text(prompt: &str) -> String {
    format!("user\n{prompt}\n")
}

/// Guards against a check that can't see incomplete or corrupted weights.
#[tokio::test]
async fn answer_names_the_weights_that_were_really_staged() {
    let engine = start(engine::Settings::default()).await;
    let chunks = [Digest::of(b"one"), Digest::of(b"two")];
    let whole = answer::weights("m", "v1", &chunks);
    for (digest, data) in chunks.iter().zip(["one", "tvo"]) {
        let path = format!("/staging/{digest}");
        let put = call(engine.address(), Method::PUT, &path, data).await;
        assert_eq!(put.unwrap().0, StatusCode::CREATED);
    }
    assert_eq!(load(&engine, "v1", 1, &chunks).await, StatusCode::OK);
    let corrupted = answer::check(&text("hello"), &ask(&engine, "hello", 8).await).unwrap();
    assert_ne!(corrupted.weights, whole);

    engine.life().stage(chunks[1], Bytes::from_static(b"two"));
    assert_eq!(load(&engine, "v1", 2, &chunks).await, StatusCode::OK);
    let good = answer::check(&text("hello"), &ask(&engine, "hello", 8).await).unwrap();
    assert_eq!((good.weights, good.version.as_str()), (whole, "m@v1"));
    assert_eq!(load(&engine, "v0", 1, &chunks).await, StatusCode::CONFLICT);
}

/// Guards against a check that accepts mixed, foreign or cut answers.
#[tokio::test]
async fn mixed_foreign_and_cut_answers_are_told_apart() {
    let engine = start(engine::Settings::default()).await;
    load(&engine, "v1", 1, &[]).await;
    let long = ask(&engine, "long", 100);
    let switch = async {
        while engine.life().queue.load().running == 0 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        load(&engine, "v2", 2, &[]).await;
    };
    let (mixed, ()) = tokio::join!(long, switch);
    let found = answer::check(&text("long"), &mixed);
    assert!(
        matches!(found, Err(answer::Fault::Mixed { .. })),
        "{found:?}"
    );

    let whole = ask(&engine, "a", 5).await;
    assert_eq!(answer::check(&text("a"), &whole).unwrap().tokens, 5);
    assert_eq!(
        answer::check(&text("b"), &whole),
        Err(answer::Fault::Foreign)
    );
    let cut = &whole[..whole.rfind(' ').unwrap()];
    assert!(answer::check(&text("a"), cut).is_err());
}

/// Guards against a crashed engine that looks like a complete answer, and
/// against an engine that does not come back.
#[tokio::test]
async fn crash_cuts_the_stream_and_loses_the_weights() {
    let settings = engine::Settings {
        model: "m".into(),
        version: "v1".into(),
        crash_marker: "CRASH".into(),
        ..engine::Settings::default()
    };
    let engine = start(settings).await;
    let body = completion("CRASH", 50, true);
    let answer = call(engine.address(), Method::POST, "/v1/chat/completions", body);
    assert!(answer.await.is_err());
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(30);
    while engine.life().version().is_some() {
        assert!(tokio::time::Instant::now() < deadline);
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against an entry and engines that hash prompts differently, which
/// would silently end routing by cached prefixes.
#[test]
fn entry_and_engine_agree_on_prompt_hashes() {
    use corianderramp::agent::reports;
    use corianderramp::entry::prefix;

    let prompt = "shared beginning ".repeat(100);
    let body = completion(&prompt, 4, true);
    let read: prefix::Completion = serde_json::from_str(&body).unwrap();
    let all = engine::cache::hashes(&text(&prompt));
    let sampled: Vec<u64> = all
        .into_iter()
        .filter(|h| reports::is_sampled(*h))
        .collect();
    assert!(!sampled.is_empty());
    assert_eq!(read.prompt_hashes(), sampled);
}
