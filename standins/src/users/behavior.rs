//! How simulated targets handle requests.

use std::time::Duration;

use http::HeaderValue;

/// How a target handles requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    /// Responds with status 200 and this text.
    Respond(&'static str),
    /// Rejects the request without running it.
    Decline,
    /// Rejects the request without running it, and names this time as `retry-after`.
    DeclineFor(&'static str),
    /// Runs the request and closes the connection without a response.
    CloseConnection,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Streams the events from the first to the second number, of ten. Unless the second is
    /// ten, the connection then closes within an event. A resumed request starts after its
    /// last event.
    Stream(u64, u64),
    /// Streams all events with this pause before each.
    PacedStream(Duration),
    /// Streams all events, the first one after this delay.
    LateStream(Duration),
    /// Streams all events, but crashes when it begins to answer a request whose prompt has
    /// this part. The connections to it then break, and it is back after [`RESTART_TIME`](super::RESTART_TIME).
    CrashOn(&'static str),
    /// Like [`Self::CrashOn`], but the crash comes after this number of events.
    CrashMidway(&'static str, u64),
    /// Works for [`WORK_TIME`](super::WORK_TIME) and then responds with status 200, or crashes if the request's
    /// path contains this text: within its answer if the path ends with `/partial`. A crash
    /// breaks all requests in progress.
    CrashOnPath(&'static str),
    /// Never responds.
    Hang,
}

impl Behavior {
    /// Time that answers name as `retry-after`.
    pub(super) fn named_wait(&self) -> Option<&'static str> {
        match self {
            Self::DeclineFor(wait) => Some(wait),
            _ => None,
        }
    }

    /// Whether a gateway gets the head of the answer and takes it for that of its request.
    pub(super) fn has_readable_head(&self) -> bool {
        matches!(
            self,
            Self::Respond(_) | Self::Decline | Self::DeclineFor(_) | Self::Stream(..)
        )
    }
}

/// Whether a prompt has a part with this id.
pub(super) fn has_part(prompt: Option<&HeaderValue>, id: &str) -> bool {
    let prompt = prompt.and_then(|p| p.to_str().ok()).unwrap_or_default();
    { prompt.split(',') }.any(|p| p.split(':').next() == Some(id))
}
