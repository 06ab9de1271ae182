//! Production of an answer, token by token.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time;

use super::answer;
use super::life::Life;

/// Body of a request for a completion.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// Chat messages.
    pub messages: Vec<Message>,
    /// Prompt of `/v1/completions`.
    pub prompt: String,
    /// Whether tokens are sent one by one.
    pub stream: bool,
    /// Number of tokens of the answer.
    pub max_tokens: Option<usize>,
    /// Order in the queue, lowest first.
    pub priority: i64,
}

/// Chat message.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Author.
    pub role: String,
    /// Text.
    pub content: String,
}

impl Completion {
    /// All text that the answer depends on.
    #[must_use]
    pub fn text(&self) -> String {
        let messages = self
            .messages
            .iter()
            .map(|m| format!("{}\n{}\n", m.role, m.content));
        messages.chain([self.prompt.clone()]).collect()
    }
}

/// A request on its way through the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Text that the answer depends on.
    pub prompt: String,
    /// Number of tokens of the answer.
    pub tokens: usize,
    /// Order in the queue.
    pub priority: i64,
    /// Identifier of the answer.
    pub id: String,
    /// Whether the chat format is used.
    pub chat: bool,
}

/// Sends the tokens of the answer over `out` until the receiver is dropped;
/// returns whether all were sent.
pub async fn tokens(life: &Arc<Life>, job: &Job, out: &mpsc::Sender<String>) -> bool {
    tokio::select! {
        sent = produce(life, job, out) => sent,
        () = out.closed() => false,
        () = life.stop.cancelled() => false,
    }
}

async fn produce(life: &Arc<Life>, job: &Job, out: &mpsc::Sender<String>) -> bool {
    let Some(_slot) = life.queue.enter(job.priority).await else {
        return false;
    };
    let request = answer::request(&job.prompt);
    time::sleep(life.prefill(&job.prompt)).await;
    if marked(&job.prompt, &life.settings.freeze_marker) {
        std::future::pending::<()>().await;
    }
    life.thaw().await;
    let version = life.version().unwrap_or_default();
    let count = job.tokens.max(2);
    let mut text = answer::first(&version, life.fingerprint(), request, count);
    if out.send(text.clone()).await.is_err() {
        return false;
    }
    for position in 1..count {
        time::sleep(life.token_time()).await;
        if marked(&job.prompt, &life.settings.crash_marker) {
            life.stop.cancel();
        }
        life.thaw().await;
        let token = if position + 1 == count {
            answer::last(&text)
        } else {
            answer::token(life.fingerprint(), request, position)
        };
        text.push_str(&token);
        if out.send(token).await.is_err() {
            return false;
        }
    }
    true
}

fn marked(prompt: &str, marker: &str) -> bool {
    !marker.is_empty() && prompt.contains(marker)
}

/// Passes tokens on as server-sent events in OpenAI's format.
pub async fn stream(
    mut tokens: mpsc::Receiver<String>,
    job: Job,
    model: String,
    out: mpsc::Sender<Result<Bytes, io::Error>>,
) -> bool {
    let mut sent = 0;
    while let Some(token) = tokens.recv().await {
        sent += 1;
        let event = event(&chunk(&job, &model, Some(&token)));
        if out.send(Ok(event)).await.is_err() {
            return false;
        }
    }
    if sent < job.tokens.max(2) {
        let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "engine stopped");
        let _ = out.send(Err(cut)).await;
        return false;
    }
    let last = event(&chunk(&job, &model, None));
    let done = Bytes::from_static(b"data: [DONE]\n\n");
    out.send(Ok(last)).await.is_ok() && out.send(Ok(done)).await.is_ok()
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

fn chunk(job: &Job, model: &str, token: Option<&str>) -> Value {
    let finish = if token.is_none() { Some("stop") } else { None };
    let choice = match (job.chat, token) {
        (true, Some(t)) => json!({"index": 0, "delta": {"content": t}, "finish_reason": finish}),
        (true, None) => json!({"index": 0, "delta": {}, "finish_reason": finish}),
        (false, t) => {
            json!({"index": 0, "text": t.unwrap_or_default(), "finish_reason": finish})
        }
    };
    let object = if job.chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    json!({"id": job.id, "object": object, "model": model, "choices": [choice]})
}

/// Answer that is sent as a whole.
#[must_use]
pub fn whole(job: &Job, model: &str, text: &str) -> Value {
    let usage = json!({"completion_tokens": job.tokens});
    let (object, choice) = if job.chat {
        let message = json!({"role": "assistant", "content": text});
        let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
        ("chat.completion", choice)
    } else {
        let choice = json!({"index": 0, "text": text, "finish_reason": "stop"});
        ("text_completion", choice)
    };
    json!({"id": job.id, "object": object, "model": model, "choices": [choice], "usage": usage})
}

/// Time between two looks for new cache events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Sends cache events as JSON lines until the receiver is dropped.
pub async fn events(life: Arc<Life>, out: mpsc::Sender<Result<Bytes, io::Error>>) {
    let mut seq = 0;
    let mut newest = 0;
    while !life.stop.is_cancelled() {
        for event in life.events(seq) {
            newest = newest.max(event.seq);
            let text = format!("{}\n", json!(event));
            if out.send(Ok(text.into())).await.is_err() {
                return;
            }
        }
        seq = newest;
        tokio::select! {
            () = time::sleep(EVENT_INTERVAL) => {}
            () = out.closed() => return,
        }
    }
}
