//! Responses that the entry creates itself, with errors in OpenAI's format.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::json;

use super::pool::AcquireError;
use super::share::LimitExceeded;
use crate::journal::Receipt;
use crate::protocol::{self, Outcome};

/// Error response to a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Error code.
    pub code: &'static str,
    /// Message for the client.
    pub message: &'static str,
}

const fn not_run(status: StatusCode, code: &'static str, message: &'static str) -> ErrorResponse {
    ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        code,
        message,
    }
}

const fn unknown(status: StatusCode, code: &'static str, message: &'static str) -> ErrorResponse {
    ErrorResponse {
        status,
        outcome: Outcome::Unknown,
        code,
        message,
    }
}

/// HTTP/1.0 is rejected: it ends a body by closing the connection, so a
/// truncated response would look complete.
pub const UNSUPPORTED_HTTP_VERSION: ErrorResponse = not_run(
    StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    "http_version",
    "HTTP/1.1 or HTTP/2 is needed",
);
/// No account has the API key.
pub const INVALID_API_KEY: ErrorResponse = not_run(
    StatusCode::UNAUTHORIZED,
    "invalid_api_key",
    "the header authorization must carry Bearer and a key of an account",
);
/// No service has the name.
pub const UNKNOWN_SERVICE: ErrorResponse = not_run(
    StatusCode::NOT_FOUND,
    "model_not_found",
    "no service has this name",
);
/// The path is unknown.
pub const UNKNOWN_PATH: ErrorResponse = not_run(
    StatusCode::NOT_FOUND,
    "path_not_found",
    "no such path and method",
);
/// The body is not a valid completion request.
pub const INVALID_BODY: ErrorResponse = not_run(
    StatusCode::BAD_REQUEST,
    "invalid_body",
    "the body must be a JSON object with model and messages or prompt",
);
/// A header has an invalid value.
pub const INVALID_HEADER: ErrorResponse = not_run(
    StatusCode::BAD_REQUEST,
    "invalid_header",
    "x-request-timeout-ms must be a number above 0, idempotency-key 1 to 256 visible characters",
);
/// The request body exceeds the size limit.
pub const BODY_TOO_LARGE: ErrorResponse = not_run(
    StatusCode::PAYLOAD_TOO_LARGE,
    "body_too_large",
    "the body is larger than this system accepts",
);
/// The request body did not arrive in time.
pub const BODY_TIMEOUT: ErrorResponse = not_run(
    StatusCode::REQUEST_TIMEOUT,
    "body_timeout",
    "the body did not arrive in time",
);
/// The entry has reached its limit of requests in progress.
pub const ENTRY_FULL: ErrorResponse = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "entry_full",
    "too many requests in progress",
);
/// The request was in flight when targets died and is blocked.
pub const CRASHES_TARGETS: ErrorResponse = not_run(
    StatusCode::UNPROCESSABLE_ENTITY,
    "request_crashes_targets",
    "targets died while they ran this request; it is refused for 10 minutes",
);
/// The journal can't be written.
pub const JOURNAL_UNAVAILABLE: ErrorResponse = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "journal_unavailable",
    "the operation can't be recorded now",
);
/// The idempotency key belongs to another request.
pub const KEY_REUSED: ErrorResponse = not_run(
    StatusCode::UNPROCESSABLE_ENTITY,
    "idempotency_key_reused",
    "the idempotency key belongs to another request",
);
/// An earlier attempt of the operation is in progress.
pub const OPERATION_IN_PROGRESS: ErrorResponse = unknown(
    StatusCode::CONFLICT,
    "operation_in_progress",
    "an earlier attempt of this operation is in progress",
);
/// An earlier attempt of the operation may have run.
pub const OPERATION_UNKNOWN: ErrorResponse = unknown(
    StatusCode::CONFLICT,
    "operation_unknown",
    "an earlier attempt of this operation may have run",
);
/// The target failed while it ran the request.
pub const TARGET_BROKEN: ErrorResponse = unknown(
    StatusCode::BAD_GATEWAY,
    "target_broken",
    "the target broke the request off",
);
/// No response arrived before the deadline.
pub const DEADLINE_EXCEEDED: ErrorResponse = unknown(
    StatusCode::GATEWAY_TIMEOUT,
    "deadline_exceeded",
    "no answer came before the deadline",
);
/// The operation ran, but its response is too large for the journal.
pub const RESPONSE_TOO_LARGE: ErrorResponse = ErrorResponse {
    status: StatusCode::BAD_GATEWAY,
    outcome: Outcome::Done,
    code: "answer_too_large",
    message: "the operation ran, but its answer is too large to keep",
};
/// No target accepted the request.
pub const NO_TARGET: ErrorResponse = not_run(
    StatusCode::SERVICE_UNAVAILABLE,
    "no_target",
    "no target took the request",
);

impl From<AcquireError> for ErrorResponse {
    fn from(error: AcquireError) -> Self {
        let (code, message) = match error {
            AcquireError::NoTarget => ("no_target", "no target is left for the request"),
            AcquireError::Shed => ("overloaded", "too many requests wait for targets"),
            AcquireError::TimedOut => ("wait_expired", "no target was free in time"),
        };
        not_run(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }
}

impl From<LimitExceeded> for ErrorResponse {
    fn from(limit: LimitExceeded) -> Self {
        let (code, message) = match limit {
            LimitExceeded::Rate => (
                "rate_limit_exceeded",
                "the account's request rate is used up",
            ),
            LimitExceeded::Concurrency => (
                "concurrency_limit_exceeded",
                "the account has too many requests in progress",
            ),
        };
        not_run(StatusCode::TOO_MANY_REQUESTS, code, message)
    }
}

impl ErrorResponse {
    /// Creates the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response<Bytes> {
        let error_type = match self.status.as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let error = json!({
            "message": self.message,
            "type": error_type,
            "param": null,
            "code": self.code,
        });
        let body = json!({ "error": error }).to_string();
        let mut response = json_response(self.status, body);
        let headers = response.headers_mut();
        headers.insert(
            protocol::OUTCOME,
            protocol::header_value(self.outcome.name()),
        );
        let retryable = matches!(self.status.as_u16(), 429 | 503);
        if retryable {
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        response
    }
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: String) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Creates the response of an operation that ran before, from its receipt.
#[must_use]
pub fn from_receipt(receipt: Receipt) -> Response<Bytes> {
    if receipt.truncated {
        return RESPONSE_TOO_LARGE.response();
    }
    let mut response = Response::new(receipt.body);
    *response.status_mut() = StatusCode::from_u16(receipt.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
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
    response
}
