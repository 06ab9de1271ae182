//! Answers that are read as a whole and kept in the journal.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::dispatch::Begun;
use crate::journal::Receipt;
use crate::protocol::{self, Outcome};

/// An answer that was read to its end.
#[derive(Debug)]
pub enum Collected {
    /// The whole answer.
    Whole(Response<Bytes>),
    /// The answer is larger than the limit.
    TooLarge,
    /// The answer broke off.
    Cut,
}

/// Reads an answer of at most `limit` bytes to its end.
pub async fn collect(begun: Begun, limit: usize) -> Collected {
    let first = begun.first.and_then(|f| f.into_data().ok());
    let first = first.unwrap_or_default();
    let left = limit.saturating_sub(first.len());
    let rest = match Limited::new(begun.body, left).collect().await {
        Ok(rest) => rest.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => return Collected::TooLarge,
        Err(_) => return Collected::Cut,
    };
    let body = [first, rest].concat();
    let mut answer = Response::new(Bytes::from(body));
    *answer.status_mut() = begun.head.status;
    *answer.headers_mut() = begun.head.headers;
    clean(answer.headers_mut());
    Collected::Whole(answer)
}

/// Makes a target's headers those of the answer to the caller.
pub fn clean(headers: &mut HeaderMap) {
    protocol::remove_hop_by_hop(headers);
    headers.remove(protocol::REASON);
    headers.insert(
        protocol::OUTCOME,
        protocol::header_value(Outcome::Done.name()),
    );
}

/// Receipt of an answer; the journal drops a body that is too large to keep.
#[must_use]
pub fn receipt(answer: &Response<Bytes>) -> Receipt {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or_default();
    Receipt {
        status: answer.status().as_u16(),
        content_type: kind.to_owned(),
        body: answer.body().clone(),
        truncated: false,
    }
}

/// Receipt of an answer that was too large to read.
#[must_use]
pub fn too_large() -> Receipt {
    Receipt {
        status: StatusCode::OK.as_u16(),
        truncated: true,
        ..Receipt::default()
    }
}
