//! Targets in trouble whose answers have no valid final status. Callers must not get such an answer
//! on any path. The comment on each test states the failure that it guards against.

#![allow(clippy::unwrap_used)]

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use corianderramp::net;
use http::{Method, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use standins::users;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use raw_caller::Channel;
use users_fleet::{CHUNKS, Fleet, TIMEOUT, call, call_until_ok, request};

#[path = "support/raw_caller.rs"]
mod raw_caller;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Status lines that no final status of a response has.
const MALFORMED: [&str; 32] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 000",
    "HTTP/1.1 001 One",
    "HTTP/1.1 020 OK",
    "HTTP/1.1 042 Unknown",
    "HTTP/1.1 099 Unknown",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Unknown",
    "HTTP/1.1 600 Unknown",
    "HTTP/1.1 601",
    "HTTP/1.1 700 Unknown",
    "HTTP/1.1 777 Unknown",
    "HTTP/1.1 999 Unknown",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 1000 Unknown",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2002",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 fine",
    "HTTP/1.1 two hundred",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1.1  OK",
    "200 OK",
    "000",
];
/// Statuses that callers get as the target sends them.
const FINAL: [&str; 12] = [
    "200", "201", "204", "226", "299", "302", "304", "400", "499", "500", "503", "599",
];
/// Numbers of the VMs of targets and of gateways. Each gateway takes a part of the cases, so that
/// they keep within its retry budget.
const TARGETS: std::ops::Range<u8> = 10..13;
const GATEWAYS: std::ops::Range<u8> = 20..26;
const ENGINE: (Method, &str) = (Method::POST, "/plan/x");
const PLAIN: (Method, &str) = (Method::GET, "/check/x");
const UNSAFE: (Method, &str) = (Method::POST, "/book/x");
/// Body of a sound answer of a plain target, and of one with a malformed status.
const DONE: &str = "done";
const WRONG: &str = "wrong";
/// Headers by which a target says that it did not run the request, leaves and wants no requests.
const CLAIMS: &str = "x-corianderramp-not-run: 1\r\nserver-leaving: 1\r\nretry-after: 9\r\n";

/// What a target sends in answer to a request.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// Complete answer.
    Sound,
    /// Empty answer with this status line, which is sound otherwise.
    Empty(&'static str),
    /// Head with this malformed status line and a body.
    Line(&'static str),
    /// Head with this malformed status line and without a body.
    Bare(&'static str),
    /// Like [`Self::Line`], but with the headers [`CLAIMS`].
    Claims(&'static str),
    /// Complete answer after a head with this status line.
    After(&'static str),
    /// Complete answer, and a second one with this status line.
    Before(&'static str),
    /// Four events of ten and a part of the next one.
    Part,
    /// Four events of ten; the connection stays open.
    SilentPart,
    /// Nothing; the connection stays open.
    Silent,
}

impl Reply {
    /// Answer with a malformed status line. Interim statuses have no body.
    fn malformed(line: &'static str) -> Self {
        if line.starts_with("HTTP/1.1 1") && !line.contains("1000") {
            Self::Bare(line)
        } else {
            Self::Line(line)
        }
    }
}

/// Replies to the attempts at each request, in order; further attempts get a complete answer.
#[derive(Clone, Debug, Default)]
struct Script {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    replies: Vec<(String, Vec<Reply>)>,
    /// Ids of the requests that arrived.
    arrived: Vec<String>,
}

impl Script {
    fn set(&self, id: &str, replies: &[Reply]) {
        let entry = (id.to_owned(), replies.to_vec());
        self.state.lock().replies.push(entry);
    }

    /// Counts an attempt at the request `id`; returns its reply.
    fn next(&self, id: &str) -> Reply {
        let mut state = self.state.lock();
        state.arrived.push(id.to_owned());
        let found = state.replies.iter_mut().find(|(known, _)| known == id);
        found.map_or(Reply::Sound, |(_, replies)| {
            if replies.is_empty() {
                Reply::Sound
            } else {
                replies.remove(0)
            }
        })
    }

    /// Number of attempts at the request `id` so far.
    fn attempts(&self, id: &str) -> usize {
        let state = self.state.lock();
        state.arrived.iter().filter(|known| *known == id).count()
    }
}

/// Starts a target that follows a script and writes the bytes of its answers itself.
async fn start_target(address: SocketAddr, script: Script) {
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.clone();
            tokio::spawn(async move {
                // Gateways close connections at any time.
                let _ = answer(stream, &script).await;
            });
        }
    });
}

/// Answers the polls of a host, or one request, after which the connection ends.
async fn answer(mut stream: TcpStream, script: &Script) -> io::Result<()> {
    let mut head = read_head(&mut stream).await?;
    while head.starts_with("get /report ") {
        let report = json!({"busy": false, "sequence": 0, "queued": 0, "running": 0, "born": 1,
            "models": [{"name": "m0", "version": 1, "adapters": []}]});
        let report = message("HTTP/1.1 200 OK", "", &report.to_string());
        stream.write_all(report.as_bytes()).await?;
        head = read_head(&mut stream).await?;
    }
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
    };
    let length = header("content-length").map_or(0, |l| l.parse().unwrap());
    stream.read_exact(&mut vec![0; length]).await?;
    let path = head.split(' ').nth(1).unwrap_or_default();
    let id = header("x-corianderramp-request-id").unwrap_or_default();
    let last_event = header("last-event-id").map_or(0, |e| e.parse().unwrap());
    let body = if path.starts_with("/plan/") {
        events(last_event + 1..=10)
    } else {
        DONE.to_owned()
    };
    let id_header = format!("x-corianderramp-request-id: {id}\r\n");
    let sound = message("HTTP/1.1 200 OK", &id_header, &body);
    let wrong = |line| message(line, &id_header, WRONG);
    let part = || {
        let whole = events(1..=4);
        let cut = sound.find(&whole).map_or(0, |at| at + whole.len());
        sound[..cut].to_owned()
    };
    let (bytes, is_silent) = match script.next(&id) {
        Reply::Sound => (sound, false),
        Reply::Empty(line) => (message(line, &id_header, ""), false),
        Reply::Line(line) => (wrong(line), false),
        Reply::Bare(line) => (format!("{line}\r\n{id_header}\r\n"), false),
        Reply::Claims(line) => (message(line, &format!("{id_header}{CLAIMS}"), WRONG), false),
        Reply::After(line) => (format!("{line}\r\n\r\n{sound}"), false),
        Reply::Before(line) => (format!("{sound}{}", wrong(line)), false),
        Reply::Part => (format!("{}id: 99\nda", part()), false),
        Reply::SilentPart => (part(), true),
        Reply::Silent => (String::new(), true),
    };
    stream.write_all(bytes.as_bytes()).await?;
    if is_silent {
        // Ends when the gateway closes the connection.
        let _ = stream.read_u8().await;
    }
    Ok(())
}

/// Reads the head of a request; returns it in lower case.
async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

fn message(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{line}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    let event = |i| format!("id: {i}\ndata: token{i}\n\n");
    range.map(event).collect::<Vec<_>>().concat()
}

struct Deployment {
    script: Script,
    gateways: Vec<SocketAddr>,
    route: (Method, &'static str),
    _fleet: Fleet,
}

/// Request whose target sends a malformed status line.
struct Case {
    line: &'static str,
    id: String,
    /// Answer that the caller got, if it is complete.
    outcome: Result<Response<Bytes>, net::Error>,
}

/// Sends a request until a target gets it: a busy machine may lose slots.
async fn send(
    line: &'static str,
    replies: &[Reply],
    gateway: SocketAddr,
    script: &Script,
    route: &(Method, &'static str),
) -> Case {
    loop {
        let id = format!("{:016x}", rand::random::<u64>());
        script.set(&id, replies);
        let mut request = request(route.0.clone(), route.1, &id);
        let deadline = "4500".parse().unwrap();
        let headers = request.headers_mut();
        headers.insert("x-corianderramp-deadline-ms", deadline);
        let outcome = call(gateway, request).await;
        if script.attempts(&id) > 0 {
            return Case { line, id, outcome };
        }
    }
}

impl Deployment {
    /// Starts three targets, with hosts if they are engines, and gateways that serve.
    async fn start(index: u8, route: (Method, &'static str)) -> Self {
        let fleet = Fleet::start(index).await;
        let is_engine = route == ENGINE;
        let mut spec = users::config_spec(2, fleet.net.address(2, 8000), CHUNKS);
        for route in [0, 2] {
            spec["routes"][route]["max_attempts"] = json!(3);
            spec["routes"][route]["timeout_ms"] = json!(20_000);
        }
        // All cases run at the same time, and targets answer faster than engines read prompts.
        spec["services"][0]["engine"]["slots"] = json!(100);
        spec["services"][0]["engine"]["read_per_s"] = json!(1_000_000_000);
        fleet.store.put("config", "main", spec);
        let script = Script::default();
        for vm in TARGETS {
            let address = fleet.net.address(vm, 9000);
            start_target(address, script.clone()).await;
            let service = if is_engine { "llm" } else { "desk" };
            let mut spec = users::target_spec(service, address, 1);
            spec["slots"] = json!(100);
            fleet.store.put("servers", &format!("i-{vm}"), spec);
            if is_engine {
                fleet.host(vm);
            }
        }
        let gateways: Vec<SocketAddr> = GATEWAYS.map(|vm| fleet.gateway(vm)).collect();
        for gateway in &gateways {
            let (method, path) = if is_engine { ENGINE } else { PLAIN };
            call_until_ok(*gateway, method, path).await;
        }
        Self {
            script,
            gateways,
            route,
            _fleet: fleet,
        }
    }

    /// Sends one request for each malformed status line, whose attempts are answered with what
    /// `replies` returns. Returns line, id and outcome of each.
    async fn send_all(&self, replies: impl Fn(Reply) -> Vec<Reply>) -> Vec<Case> {
        let mut calls = JoinSet::new();
        for (number, line) in MALFORMED.into_iter().enumerate() {
            let replies = replies(Reply::malformed(line));
            let gateway = self.gateways[number % self.gateways.len()];
            let (script, route) = (self.script.clone(), self.route.clone());
            calls.spawn(async move { send(line, &replies, gateway, &script, &route).await });
        }
        calls.join_all().await
    }

    /// Checks that each request is served in full, after at least `attempts` attempts.
    async fn assert_all_are_served(&self, attempts: usize, replies: impl Fn(Reply) -> Vec<Reply>) {
        let whole = if self.route == ENGINE {
            events(1..=10)
        } else {
            DONE.to_owned()
        };
        let mut wrong = Vec::new();
        for Case { line, id, outcome } in self.send_all(replies).await {
            let sent = self.script.attempts(&id);
            let is_served = outcome
                .as_ref()
                .is_ok_and(|r| r.status() == StatusCode::OK && *r.body() == whole);
            // On a busy machine, one more is sent beside a target that is late.
            if !is_served || sent < attempts {
                wrong.push(format!("{line:?}: {sent} attempts, {outcome:?}"));
            }
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    }

    /// Checks that each request is answered with 502, without a body, after `attempts` attempts.
    async fn assert_all_are_broken(&self, attempts: usize, replies: impl Fn(Reply) -> Vec<Reply>) {
        let mut wrong = Vec::new();
        for Case { line, id, outcome } in self.send_all(replies).await {
            let sent = self.script.attempts(&id);
            let is_refused = outcome
                .as_ref()
                .is_ok_and(|r| r.status() == StatusCode::BAD_GATEWAY && r.body().is_empty());
            if !is_refused || sent != attempts {
                wrong.push(format!("{line:?}: {sent} attempts, {outcome:?}"));
            }
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    }
}

/// A caller got a response with the status 700 or 999, or the request was sent again although it
/// may have run.
#[tokio::test]
async fn unsafe_request_ends_at_a_malformed_status() {
    let deployment = Deployment::start(0, UNSAFE).await;
    deployment
        .assert_all_are_broken(1, |wrong| vec![wrong])
        .await;
}

/// An answer with a malformed status was believed: that the request has not run, so that it was
/// sent again, or that its target leaves or wants no requests, so that nothing served any more.
#[tokio::test]
async fn nothing_in_an_answer_with_a_malformed_status_is_believed() {
    let deployment = Deployment::start(1, UNSAFE).await;
    let claims = |wrong| match wrong {
        Reply::Line(line) | Reply::Bare(line) => vec![Reply::Claims(line)],
        _ => vec![wrong],
    };
    deployment.assert_all_are_broken(1, claims).await;
    for gateway in &deployment.gateways {
        let sound = request(UNSAFE.0, UNSAFE.1, &gateway.to_string());
        let response = call(*gateway, sound).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    }
}

/// The same where all attempts at a request that may be repeated get such an answer.
#[tokio::test]
async fn safe_request_ends_if_all_statuses_are_malformed() {
    let deployment = Deployment::start(2, PLAIN).await;
    deployment
        .assert_all_are_broken(3, |wrong| vec![wrong; 3])
        .await;
}

/// A caller got a malformed status although another plain target could serve the request.
#[tokio::test]
async fn safe_request_is_retried_after_a_malformed_status() {
    let deployment = Deployment::start(3, PLAIN).await;
    deployment
        .assert_all_are_served(2, |wrong| vec![wrong])
        .await;
}

/// A caller got a malformed status that came in answer to the retry of a request.
#[tokio::test]
async fn malformed_status_of_a_retry_is_not_forwarded() {
    let deployment = Deployment::start(4, PLAIN).await;
    deployment
        .assert_all_are_served(3, |wrong| vec![Reply::Line("HTTP/1.1 000"), wrong])
        .await;
}

/// A caller got a malformed status from a second plain target, asked beside a silent one.
#[tokio::test]
async fn malformed_status_beside_a_silent_plain_target_is_not_forwarded() {
    let deployment = Deployment::start(5, PLAIN).await;
    deployment
        .assert_all_are_served(3, |wrong| vec![Reply::Silent, wrong])
        .await;
}

/// A caller got a malformed status from an engine, or no retry.
#[tokio::test]
async fn stream_is_retried_after_a_malformed_status() {
    let deployment = Deployment::start(6, ENGINE).await;
    deployment
        .assert_all_are_served(2, |wrong| vec![wrong])
        .await;
}

/// The same where all engines answer so.
#[tokio::test]
async fn stream_ends_if_all_statuses_are_malformed() {
    let deployment = Deployment::start(7, ENGINE).await;
    deployment
        .assert_all_are_broken(3, |wrong| vec![wrong; 3])
        .await;
}

/// A malformed status in answer to the continuation of a stream ended the stream, although another
/// engine could go on.
#[tokio::test]
async fn stream_goes_on_after_a_malformed_status() {
    let deployment = Deployment::start(8, ENGINE).await;
    deployment
        .assert_all_are_served(3, |wrong| vec![Reply::Part, wrong])
        .await;
}

/// A stream that no engine continues looked complete, or had the wrong body in it.
#[tokio::test]
async fn stream_that_gets_only_malformed_statuses_is_broken_off() {
    let deployment = Deployment::start(9, ENGINE).await;
    for Case { line, id, outcome } in deployment
        .send_all(|wrong| vec![Reply::Part, wrong, wrong])
        .await
    {
        assert!(outcome.is_err(), "{line:?}: {outcome:?}");
        assert_eq!(deployment.script.attempts(&id), 3, "{line:?}");
    }
}

/// A caller got a malformed status from a second engine, asked beside a silent one.
#[tokio::test]
async fn malformed_status_beside_a_silent_engine_is_not_forwarded() {
    let deployment = Deployment::start(10, ENGINE).await;
    deployment
        .assert_all_are_served(3, |wrong| vec![Reply::Silent, wrong])
        .await;
}

/// The same within a stream.
#[tokio::test]
async fn malformed_status_beside_a_silent_stream_does_not_end_it() {
    let deployment = Deployment::start(11, ENGINE).await;
    deployment
        .assert_all_are_served(3, |wrong| vec![Reply::SilentPart, wrong])
        .await;
}

/// A second answer on a connection, with a malformed status, became the answer to another request;
/// or the connection of a caller that had got a response before was not usable after one.
#[tokio::test]
async fn malformed_status_on_a_used_connection_reaches_nobody() {
    for (index, route) in [(12, UNSAFE), (13, ENGINE)] {
        let deployment = Deployment::start(index, route.clone()).await;
        let whole = if route == ENGINE {
            events(1..=10)
        } else {
            DONE.to_owned()
        };
        let mut channels = Vec::new();
        for gateway in &deployment.gateways {
            channels.push(Channel::open(*gateway).await.unwrap());
        }
        for (number, line) in MALFORMED.into_iter().enumerate() {
            let channel = number % channels.len();
            let channel = &mut channels[channel];
            let wrong = Reply::malformed(line);
            let steps = [
                (vec![Reply::Sound], true),
                (vec![Reply::Before(line)], true),
                (vec![wrong; 3], false),
                (vec![Reply::Sound], true),
            ];
            for (step, (replies, is_sound)) in steps.into_iter().enumerate() {
                let id = format!("{number}-{step}");
                deployment.script.set(&id, &replies);
                let head =
                    raw_caller::head(route.0.as_str(), route.1, &id, "content-length: 0\r\n");
                channel.send(head.as_bytes()).await.unwrap();
                let answer = channel.answer(TIMEOUT).await.unwrap();
                let body = String::from_utf8(answer.body).unwrap();
                if is_sound {
                    assert_eq!(
                        (answer.status, &body),
                        (200, &whole),
                        "{line:?}, step {step}: {}",
                        answer.head
                    );
                } else {
                    assert_eq!((answer.status, body.as_str()), (502, ""), "{line:?}");
                }
                assert!(answer.head.contains(&id), "{line:?}, step {step}");
            }
        }
    }
}

/// Final statuses were taken for malformed ones.
#[tokio::test]
async fn final_statuses_are_forwarded() {
    let deployment = Deployment::start(14, UNSAFE).await;
    for status in FINAL {
        let line: &'static str = format!("HTTP/1.1 {status} Whatever").leak();
        let id = format!("final-{status}");
        deployment.script.set(&id, &[Reply::Empty(line)]);
        let request = request(UNSAFE.0, UNSAFE.1, &id);
        let response = call(deployment.gateways[0], request).await.unwrap();
        assert_eq!(response.status().as_str(), status);
        assert_eq!(deployment.script.attempts(&id), 1);
    }
}

/// The final response after interim ones must still be read.
#[tokio::test]
async fn final_response_after_an_interim_one_is_forwarded() {
    for (index, route) in [(15, UNSAFE), (0, ENGINE)] {
        let deployment = Deployment::start(index, route.clone()).await;
        for line in ["HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints"] {
            let id = format!("interim-{}", &line[9..12]);
            deployment.script.set(&id, &[Reply::After(line)]);
            let request = request(route.0.clone(), route.1, &id);
            let response = call(deployment.gateways[0], request).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            assert_eq!(deployment.script.attempts(&id), 1);
        }
    }
}
