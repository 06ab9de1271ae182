//! Responses that are read completely and stored in the journal.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::dispatch::ResponseStart;
use crate::journal::Receipt;
use crate::protocol::{self, Outcome};

/// Result of reading a response to its end.
#[derive(Debug)]
pub enum Collected {
    /// The complete response.
    Complete(Response<Bytes>),
    /// The response exceeds the size limit.
    TooLarge,
    /// The connection failed before the response ended.
    Truncated,
}

/// Reads a response of at most `limit` bytes to its end.
pub async fn collect(start: ResponseStart, limit: usize) -> Collected {
    let first = start.first.and_then(|f| f.into_data().ok());
    let first = first.unwrap_or_default();
    let remaining = limit.saturating_sub(first.len());
    let rest = match Limited::new(start.body, remaining).collect().await {
        Ok(rest) => rest.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => return Collected::TooLarge,
        Err(_) => return Collected::Truncated,
    };
    let body = [first, rest].concat();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = start.head.status;
    *response.headers_mut() = start.head.headers;
    set_client_headers(response.headers_mut());
    Collected::Complete(response)
}

/// Turns a target's response headers into those for the client: removes
/// internal and hop-by-hop headers and sets the outcome.
pub fn set_client_headers(headers: &mut HeaderMap) {
    protocol::remove_hop_by_hop(headers);
    headers.remove(protocol::REASON);
    headers.insert(
        protocol::OUTCOME,
        protocol::header_value(Outcome::Done.name()),
    );
}

/// Creates the receipt of a response; the journal drops a body that is too
/// large to store.
#[must_use]
pub fn receipt(response: &Response<Bytes>) -> Receipt {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    Receipt {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
        body: response.body().clone(),
        truncated: false,
    }
}

/// Creates the receipt of a response that was too large to read.
#[must_use]
pub fn truncated_receipt() -> Receipt {
    Receipt {
        status: StatusCode::OK.as_u16(),
        truncated: true,
        ..Receipt::default()
    }
}
