//! Answers of the entry itself, in OpenAI's error format.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::json;

use super::pool::Denied;
use super::share::Excess;
use crate::journal::Receipt;
use crate::protocol::{self, Outcome};

/// Why a request got no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Short name of the reason.
    pub code: &'static str,
    /// Text for the caller.
    pub message: &'static str,
}

const fn not_run(status: StatusCode, code: &'static str, message: &'static str) -> Refusal {
    Refusal {
        status,
        outcome: Outcome::NotRun,
        code,
        message,
    }
}

const fn unknown(status: StatusCode, code: &'static str, message: &'static str) -> Refusal {
    Refusal {
        status,
        outcome: Outcome::Unknown,
        code,
        message,
    }
}

/// HTTP/1.0 ends a body by closing the connection, so a cut answer would look
/// complete.
pub const HTTP_VERSION: Refusal = not_run(
    StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    "http_version",
    "HTTP/1.1 or HTTP/2 is needed",
);
/// No account has the key.
pub const KEY: Refusal = not_run(
    StatusCode::UNAUTHORIZED,
    "invalid_api_key",
    "the header authorization must carry Bearer and a key of an account",
);
/// No service has the name.
pub const SERVICE: Refusal = not_run(
    StatusCode::NOT_FOUND,
    "model_not_found",
    "no service has this name",
);
/// The path is unknown.
pub const PATH: Refusal = not_run(
    StatusCode::NOT_FOUND,
    "path_not_found",
    "no such path and method",
);
/// The body is not what the path needs.
pub const BODY: Refusal = not_run(
    StatusCode::BAD_REQUEST,
    "invalid_body",
    "the body must be a JSON object with model and messages or prompt",
);
/// A header has an unusable value.
pub const HEADER: Refusal = not_run(
    StatusCode::BAD_REQUEST,
    "invalid_header",
    "x-request-timeout-ms must be a number above 0, idempotency-key 1 to 256 visible characters",
);
/// The body is too large.
pub const TOO_LARGE: Refusal = not_run(
    StatusCode::PAYLOAD_TOO_LARGE,
    "body_too_large",
    "the body is larger than this system accepts",
);
/// The body did not arrive in time.
pub const SLOW_BODY: Refusal = not_run(
    StatusCode::REQUEST_TIMEOUT,
    "body_timeout",
    "the body did not arrive in time",
);
/// The entry has no room.
pub const ENTRY_FULL: Refusal = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "entry_full",
    "too many requests in progress",
);
/// The request crashed targets.
pub const SUSPECT: Refusal = not_run(
    StatusCode::UNPROCESSABLE_ENTITY,
    "request_crashes_targets",
    "targets died while they ran this request; it is refused for 10 minutes",
);
/// The journal can't be written.
pub const JOURNAL: Refusal = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "journal_unavailable",
    "the operation can't be recorded now",
);
/// The key belongs to another request.
pub const MISMATCH: Refusal = not_run(
    StatusCode::UNPROCESSABLE_ENTITY,
    "idempotency_key_reused",
    "the idempotency key belongs to another request",
);
/// Another attempt is in progress.
pub const IN_PROGRESS: Refusal = unknown(
    StatusCode::CONFLICT,
    "operation_in_progress",
    "an earlier attempt of this operation is in progress",
);
/// The operation may have run.
pub const MAYBE_RUN: Refusal = unknown(
    StatusCode::CONFLICT,
    "operation_unknown",
    "an earlier attempt of this operation may have run",
);
/// The target broke the request off.
pub const BROKEN: Refusal = unknown(
    StatusCode::BAD_GATEWAY,
    "target_broken",
    "the target broke the request off",
);
/// No answer came in time.
pub const DEADLINE: Refusal = unknown(
    StatusCode::GATEWAY_TIMEOUT,
    "deadline_exceeded",
    "no answer came before the deadline",
);
/// The answer is too large to be kept for an operation.
pub const ANSWER_SIZE: Refusal = Refusal {
    status: StatusCode::BAD_GATEWAY,
    outcome: Outcome::Done,
    code: "answer_too_large",
    message: "the operation ran, but its answer is too large to keep",
};
/// No target took the request.
pub const UNAVAILABLE: Refusal = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "no_target",
    "no target took the request",
);

impl From<Denied> for Refusal {
    fn from(denied: Denied) -> Self {
        let (code, message) = match denied {
            Denied::NoTarget => ("no_target", "no target is left for the request"),
            Denied::Shed => ("overloaded", "too many requests wait for targets"),
            Denied::Expired => ("wait_expired", "no target was free in time"),
        };
        not_run(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }
}

impl From<Excess> for Refusal {
    fn from(excess: Excess) -> Self {
        let (code, message) = match excess {
            Excess::Rate => (
                "rate_limit_exceeded",
                "the account's request rate is used up",
            ),
            Excess::Concurrency => (
                "concurrency_limit_exceeded",
                "the account has too many requests in progress",
            ),
        };
        not_run(StatusCode::TOO_MANY_REQUESTS, code, message)
    }
}

impl Refusal {
    /// Answer to the caller.
    #[must_use]
    pub fn answer(&self) -> Response<Bytes> {
        let kind = match self.status.as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let error = json!({
            "message": self.message,
            "type": kind,
            "param": null,
            "code": self.code,
        });
        let body = json!({ "error": error }).to_string();
        let mut answer = json_answer(self.status, body);
        let headers = answer.headers_mut();
        headers.insert(
            protocol::OUTCOME,
            protocol::header_value(self.outcome.name()),
        );
        let resend = matches!(self.status.as_u16(), 429 | 503);
        if resend {
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        answer
    }
}

/// Answer with a JSON body.
#[must_use]
pub fn json_answer(status: StatusCode, body: String) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Kept answer of an operation that ran before.
#[must_use]
pub fn replay(receipt: Receipt) -> Response<Bytes> {
    if receipt.truncated {
        return ANSWER_SIZE.answer();
    }
    let mut answer = Response::new(receipt.body);
    *answer.status_mut() = StatusCode::from_u16(receipt.status).unwrap_or(StatusCode::OK);
    let headers = answer.headers_mut();
    if !receipt.content_type.is_empty() {
        headers.insert(
            header::CONTENT_TYPE,
            protocol::header_value(&receipt.content_type),
        );
    }
    headers.insert(
        protocol::OUTCOME,
        protocol::header_value(Outcome::Done.name()),
    );
    answer
}
