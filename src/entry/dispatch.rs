//! A single attempt: sends a request to a target and waits for the start of the
//! response.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Uri, response};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time;

use super::deaths::DeathTracker;
use super::parse::ClientRequest;
use super::pool::Slot;
use crate::clock::Clock;
use crate::protocol::{self, Outcome, Reason};

/// Start of a target's response.
#[derive(Debug)]
pub struct ResponseStart {
    /// Status and headers.
    pub head: response::Parts,
    /// First frame; `None` for an empty body.
    pub first: Option<Frame<Bytes>>,
    /// Rest of the body.
    pub body: Incoming,
}

/// Why an attempt got no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The request was certainly not run.
    NotRun,
    /// The connection failed or the response was unusable; the request may have
    /// run.
    Broken,
    /// No response arrived in time; the request may have run.
    TimedOut,
}

impl Failure {
    /// Outcome of the request that is reported to the client.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotRun => Outcome::NotRun,
            Self::Broken | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// Sends `request` to the slot's target and waits up to `timeout` for the first
/// body frame. With `require_recent`, which is set after an attempt that failed or
/// timed out, the connection must be a recent one.
///
/// # Errors
/// Says whether the request may have run.
pub async fn send<C: Clock>(
    request: &ClientRequest,
    slot: &Slot<C>,
    deaths: &DeathTracker<C>,
    timeout: Duration,
    require_recent: bool,
) -> Result<ResponseStart, Failure> {
    if timeout.is_zero() {
        return Err(Failure::NotRun);
    }
    let deadline = time::Instant::now() + timeout;
    let connect = async {
        if require_recent {
            slot.connection.recent_sender().await
        } else {
            slot.connection.sender().await
        }
    };
    let mut sender = match time::timeout_at(deadline, connect).await {
        Ok(Ok(sender)) => sender,
        Ok(Err(e)) => {
            log::warn!(target_vm = slot.vm.as_str(), error:% = e; "failed to connect to agent");
            slot.on_unreachable();
            return Err(Failure::NotRun);
        }
        Err(_) => return Err(Failure::NotRun),
    };
    let Some(outgoing) = build_request(request, slot, timeout) else {
        return Err(Failure::NotRun);
    };
    let response = match time::timeout_at(deadline, sender.try_send_request(outgoing)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            // The request is returned only if none of it was sent.
            if e.take_message().is_some() {
                return Err(Failure::NotRun);
            }
            deaths.check_death(slot).await;
            return Err(Failure::Broken);
        }
        Err(_) => return Err(timed_out(slot).await),
    };
    read_start(response, slot, deaths, deadline).await
}

async fn read_start<C: Clock>(
    response: http::Response<Incoming>,
    slot: &Slot<C>,
    deaths: &DeathTracker<C>,
    deadline: time::Instant,
) -> Result<ResponseStart, Failure> {
    let (head, mut body) = response.into_parts();
    match (
        Outcome::from_headers(&head.headers),
        Reason::from_headers(&head.headers),
    ) {
        (Some(Outcome::NotRun), reason) => {
            slot.on_refused(reason);
            return Err(Failure::NotRun);
        }
        (Some(Outcome::Unknown), Some(Reason::Broken)) => {
            deaths.check_death(slot).await;
            return Err(Failure::Broken);
        }
        (Some(Outcome::Unknown), _) => {
            // Further responses of this target would be unusable too and would
            // use up the retry budget, so the target backs off.
            slot.on_unreachable();
            return Err(Failure::Broken);
        }
        _ => {}
    }
    match time::timeout_at(deadline, body.frame()).await {
        Ok(Some(Ok(first))) => {
            slot.on_first_byte();
            let first = Some(first);
            Ok(ResponseStart { head, first, body })
        }
        Ok(None) => {
            slot.on_first_byte();
            let first = None;
            Ok(ResponseStart { head, first, body })
        }
        Ok(Some(Err(_))) => {
            deaths.check_death(slot).await;
            Err(Failure::Broken)
        }
        Err(_) => Err(timed_out(slot).await),
    }
}

/// Ends the attempt and opens a new connection for later requests, since the
/// current one may be unresponsive.
async fn timed_out<C: Clock>(slot: &Slot<C>) -> Failure {
    slot.on_timeout();
    if slot.connection.reconnect().await.is_err() {
        slot.on_unreachable();
    }
    Failure::TimedOut
}

fn build_request<C: Clock>(
    request: &ClientRequest,
    slot: &Slot<C>,
    timeout: Duration,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(slot.connection.address().to_string())
        .path_and_query(request.path.as_str())
        .build()
        .ok()?;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = build_headers(request, slot, timeout);
    Some(outgoing)
}

fn build_headers<C: Clock>(
    request: &ClientRequest,
    slot: &Slot<C>,
    timeout: Duration,
) -> HeaderMap {
    let mut headers = request.headers.clone();
    headers.insert(protocol::REQUEST_ID, protocol::header_value(&request.id));
    if !slot.version.is_empty() {
        headers.insert(protocol::VERSION, protocol::header_value(&slot.version));
    }
    if slot.exclusive {
        headers.insert(protocol::ALONE, protocol::header_value("1"));
    }
    let remaining_ms = timeout.as_millis().to_string();
    headers.insert(protocol::TIMEOUT, protocol::header_value(&remaining_ms));
    headers
}
