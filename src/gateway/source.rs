//! Reads the answer of one target: complete events of a stream, or a complete body.

use std::future;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::attempt::TargetResponse;
use crate::gateway::call::Call;
use crate::gateway::events::Splitter;

/// Largest response body of a plain service, bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why an answer is not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The connection broke.
    Broke,
    /// The stream ended before its last event was complete.
    EndedEarly,
    /// An event or the body is too long.
    TooLong,
}

impl ReadError {
    /// Description for logs.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Broke => "answer broke off",
            Self::EndedEarly => "ended within an event",
            Self::TooLong => "answer too long",
        }
    }
}

/// Event stream of one target.
#[derive(Debug)]
pub struct EventSource<C: Clock> {
    /// Response that the events come from.
    pub response: TargetResponse<C>,
    splitter: Splitter,
}

impl<C: Clock> EventSource<C> {
    /// Creates a source whose first event follows the one with id `last_event`.
    #[must_use]
    pub fn new(response: TargetResponse<C>, last_event: Option<u64>) -> Self {
        Self {
            response,
            splitter: Splitter::after(last_event),
        }
    }

    /// Id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Reads until at least one event is complete; `None` at the regular end of the stream.
    /// Comments that come alone are held back until then, since they are no answer.
    ///
    /// # Errors
    /// Fails when the stream is interrupted or an event is too long.
    pub async fn read(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            // A target that sends only comments is silent until the caller's time ends. Reading on
            // would need memory without limit, and an error would end the stream early.
            if self.splitter.is_full() {
                future::pending::<()>().await;
            }
            let frame = match self.response.body.frame().await {
                Some(Ok(frame)) => frame,
                None if self.splitter.is_complete() => {
                    let rest = self.splitter.take_comments();
                    return Ok(Some(rest).filter(|r| !r.is_empty()));
                }
                None => return Err(ReadError::EndedEarly),
                Some(Err(_)) => return Err(ReadError::Broke),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(&data).ok_or(ReadError::TooLong)?;
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
    }

    /// Like [`Self::read`], but records a failure of the target, and reports one that its death
    /// may have caused.
    ///
    /// # Errors
    /// Same as [`Self::read`].
    pub async fn read_or_report(
        &mut self,
        gateway: &Arc<Gateway<C>>,
        call: &Call,
    ) -> Result<Option<Bytes>, ReadError> {
        let result = self.read().await;
        // Targets themselves end what is not complete at the deadline.
        if let Err(error) = result
            && gateway.clock.now() < call.deadline
        {
            self.response.slot.record_result(false);
            if error != ReadError::TooLong {
                gateway.report_broken(call, &self.response.slot);
            }
        }
        result
    }
}

/// Reads the complete body of a response, and calls `on_part` for each part that arrives.
///
/// # Errors
/// Fails when the body is interrupted or too large.
pub async fn read_body<C: Clock>(
    response: &mut TargetResponse<C>,
    on_part: impl Fn(),
) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(frame) = response.body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broke)?;
        on_part();
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body.len() + data.len() > MAX_BODY_BYTES {
            return Err(ReadError::TooLong);
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}
