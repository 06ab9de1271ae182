//! HTTP client that plays callers and checks answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{Value, json};
use snafu::Snafu;

use crate::engine::answer;

/// Why a caller got no whole answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("no connection: {reason}"))]
    Connect {
        /// Cause.
        reason: String,
    },
    /// The connection broke before or during the answer.
    #[snafu(display("connection broke: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
    /// The answer has another status than 200.
    #[snafu(display("status {status}, outcome {outcome}: {code}"))]
    Status {
        /// HTTP status.
        status: StatusCode,
        /// Value of `corianderramp-outcome`.
        outcome: String,
        /// Code of the error.
        code: String,
    },
    /// The answer looks complete, but is wrong.
    #[snafu(display("wrong answer: {fault}"))]
    Wrong {
        /// What is wrong.
        fault: String,
    },
}

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the last byte of the body.
    pub took: Duration,
}

impl Answer {
    /// Value of a header; empty when it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// Code of an error.
    #[must_use]
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().into()
    }
}

/// A completion that was checked.
#[derive(Clone, Debug)]
pub struct Completion {
    /// What the answer's text says.
    pub checked: answer::Checked,
    /// Time to the first byte.
    pub first_byte: Duration,
    /// Time to the last byte.
    pub took: Duration,
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Question {
    /// Service.
    pub service: String,
    /// Prompt; a caller that sends unique prompts can tell answers apart.
    pub prompt: String,
    /// Number of tokens.
    pub tokens: usize,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline, milliseconds.
    pub timeout_ms: Option<u64>,
}

impl Question {
    /// Streamed completion of `tokens` tokens.
    #[must_use]
    pub fn new(service: &str, prompt: &str, tokens: usize) -> Self {
        Self {
            service: service.to_owned(),
            prompt: prompt.to_owned(),
            tokens,
            stream: true,
            timeout_ms: None,
        }
    }

    fn body(&self) -> String {
        let messages = json!([{"role": "user", "content": self.prompt}]);
        let body = json!({
            "model": self.service,
            "messages": messages,
            "max_tokens": self.tokens,
            "stream": self.stream,
        });
        body.to_string()
    }
}

/// HTTP client with pooled connections and an account's key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Caller {
    /// Caller with `key` over HTTP/1.1, or over h2c.
    #[must_use]
    pub fn new(key: &str, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http2_only(http2)
            .build(connector);
        Self {
            client,
            key: key.to_owned(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Fails when the answer broke off or never began.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).map_err(broken)?;
        let started = Instant::now();
        let answer = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                Failure::Connect {
                    reason: e.to_string(),
                }
            } else {
                broken(e)
            }
        })?;
        let (parts, mut body) = answer.into_parts();
        let mut whole = Vec::new();
        let mut first_byte = None;
        while let Some(frame) = body.frame().await {
            first_byte.get_or_insert_with(|| started.elapsed());
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        let took = started.elapsed();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: whole.into(),
            first_byte: first_byte.unwrap_or(took),
            took,
        })
    }

    /// Asks for a completion and checks that its text is whole, belongs to the
    /// question and comes from one version.
    ///
    /// # Errors
    /// Says what was wrong.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: &Question,
    ) -> Result<Completion, Failure> {
        let timeout = question.timeout_ms.map(|t| t.to_string());
        let headers: Vec<(&str, &str)> = timeout
            .iter()
            .map(|t| ("x-request-timeout-ms", t.as_str()))
            .collect();
        let path = "/v1/chat/completions";
        let answer = self
            .send(address, Method::POST, path, &headers, question.body())
            .await?;
        if answer.status != StatusCode::OK {
            return Err(Failure::Status {
                status: answer.status,
                outcome: answer.header("corianderramp-outcome").to_owned(),
                code: answer.code(),
            });
        }
        let text = if question.stream {
            streamed(&answer.body)?
        } else {
            let value: Value = serde_json::from_slice(&answer.body).map_err(|e| wrong(&e))?;
            let content = value["choices"][0]["message"]["content"].as_str();
            content.unwrap_or_default().to_owned()
        };
        let prompt = format!("user\n{}\n", question.prompt);
        let checked = answer::check(&prompt, &text).map_err(|e| wrong(&e))?;
        let named = answer.header("x-model-version");
        if checked.version != named || checked.tokens != question.tokens {
            return Err(wrong(&format!("{checked:?} under the header {named:?}")));
        }
        Ok(Completion {
            checked,
            first_byte: answer.first_byte,
            took: answer.took,
        })
    }

    /// Whether an entry reaches a target of a service: with a completion for
    /// model services, with `GET /ready` for others.
    pub async fn is_ready(&self, address: SocketAddr, service: &str) -> bool {
        let question = Question::new(service, "ready?", 2);
        match self.ask(address, &question).await {
            Err(Failure::Status { status, .. }) if status == StatusCode::NOT_FOUND => {
                let path = format!("/{service}/ready");
                let answer = self.send(address, Method::GET, &path, &[], "").await;
                answer.is_ok_and(|a| a.status == StatusCode::OK)
            }
            result => result.is_ok(),
        }
    }
}

fn broken(error: impl std::error::Error) -> Failure {
    let cause = error.source().map(|c| format!(": {c}"));
    Failure::Broken {
        reason: format!("{error}{}", cause.unwrap_or_default()),
    }
}

fn wrong(fault: &impl ToString) -> Failure {
    Failure::Wrong {
        fault: fault.to_string(),
    }
}

/// Text of an answer in server-sent events.
fn streamed(body: &[u8]) -> Result<String, Failure> {
    let body = str::from_utf8(body).map_err(|e| wrong(&e))?;
    let events: Vec<&str> = body
        .split("\n\n")
        .filter_map(|e| e.strip_prefix("data: "))
        .collect();
    if events.last() != Some(&"[DONE]") {
        return Err(wrong(&"the stream has no [DONE]"));
    }
    let mut text = String::new();
    for event in &events[..events.len() - 1] {
        let value: Value = serde_json::from_str(event).map_err(|e| wrong(&e))?;
        let content = value["choices"][0]["delta"]["content"].as_str();
        text.push_str(content.unwrap_or_default());
    }
    Ok(text)
}
