//! One attempt: sends a request to one target and waits until the answer begins.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Uri, response};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time;

use super::call::Call;
use super::deaths::Deaths;
use super::pool::Ticket;
use crate::clock::Clock;
use crate::protocol::{self, Outcome, Reason};

/// Beginning of a target's answer.
#[derive(Debug)]
pub struct Begun {
    /// Status and headers.
    pub head: response::Parts,
    /// First frame; `None` for an empty body.
    pub first: Option<Frame<Bytes>>,
    /// Rest of the body.
    pub body: Incoming,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The request was certainly not run.
    NotRun,
    /// It may have run.
    Broken,
    /// It may have run; no answer came in time.
    Late,
}

impl Failure {
    /// What became of the request.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotRun => Outcome::NotRun,
            Self::Broken | Self::Late => Outcome::Unknown,
        }
    }
}

/// Sends `call` to the ticket's target and waits up to `wait` for the beginning
/// of the answer. After an attempt that broke or hung, `fresh` asks for a new
/// connection.
///
/// # Errors
/// Says whether the request may have run.
pub async fn send<C: Clock>(
    call: &Call,
    ticket: &Ticket<C>,
    deaths: &Deaths<C>,
    wait: Duration,
    fresh: bool,
) -> Result<Begun, Failure> {
    if wait.is_zero() {
        return Err(Failure::NotRun);
    }
    let until = time::Instant::now() + wait;
    let open = async {
        if fresh {
            ticket.link.fresh().await
        } else {
            ticket.link.sender().await
        }
    };
    let mut sender = match time::timeout_at(until, open).await {
        Ok(Ok(sender)) => sender,
        Ok(Err(e)) => {
            log::warn!(target_vm = ticket.vm.as_str(), error:% = e; "agent unreachable");
            ticket.unreachable();
            return Err(Failure::NotRun);
        }
        Err(_) => return Err(Failure::NotRun),
    };
    let Some(request) = request(call, ticket, wait) else {
        return Err(Failure::NotRun);
    };
    let answer = match time::timeout_at(until, sender.try_send_request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(mut e)) => {
            // The request comes back only if nothing of it was sent.
            if e.take_message().is_some() {
                return Err(Failure::NotRun);
            }
            deaths.judge(ticket).await;
            return Err(Failure::Broken);
        }
        Err(_) => return Err(late(ticket).await),
    };
    begin(answer, ticket, deaths, until).await
}

async fn begin<C: Clock>(
    answer: http::Response<Incoming>,
    ticket: &Ticket<C>,
    deaths: &Deaths<C>,
    until: time::Instant,
) -> Result<Begun, Failure> {
    let (head, mut body) = answer.into_parts();
    match (
        Outcome::from_headers(&head.headers),
        Reason::from_headers(&head.headers),
    ) {
        (Some(Outcome::NotRun), reason) => {
            ticket.refused(reason);
            return Err(Failure::NotRun);
        }
        (Some(Outcome::Unknown), Some(Reason::Broken)) => {
            deaths.judge(ticket).await;
            return Err(Failure::Broken);
        }
        (Some(Outcome::Unknown), _) => {
            // Every further answer would be unusable too, and use up the budget
            // of retries, so the target is left out for a while.
            ticket.unreachable();
            return Err(Failure::Broken);
        }
        _ => {}
    }
    match time::timeout_at(until, body.frame()).await {
        Ok(Some(Ok(first))) => {
            ticket.first_byte();
            let first = Some(first);
            Ok(Begun { head, first, body })
        }
        Ok(None) => {
            ticket.first_byte();
            let first = None;
            Ok(Begun { head, first, body })
        }
        Ok(Some(Err(_))) => {
            deaths.judge(ticket).await;
            Err(Failure::Broken)
        }
        Err(_) => Err(late(ticket).await),
    }
}

/// Gives the target up for this request. The next request gets a new
/// connection, since this one may carry nothing any more.
async fn late<C: Clock>(ticket: &Ticket<C>) -> Failure {
    ticket.late();
    if ticket.link.renew().await.is_err() {
        ticket.unreachable();
    }
    Failure::Late
}

fn request<C: Clock>(
    call: &Call,
    ticket: &Ticket<C>,
    wait: Duration,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(ticket.link.address().to_string())
        .path_and_query(call.path.as_str())
        .build()
        .ok()?;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = headers(call, ticket, wait);
    Some(request)
}

fn headers<C: Clock>(call: &Call, ticket: &Ticket<C>, wait: Duration) -> HeaderMap {
    let mut headers = call.headers.clone();
    headers.insert(protocol::REQUEST_ID, protocol::header_value(&call.id));
    if !ticket.version.is_empty() {
        headers.insert(protocol::VERSION, protocol::header_value(&ticket.version));
    }
    if ticket.alone {
        headers.insert(protocol::ALONE, protocol::header_value("1"));
    }
    let left = wait.as_millis().to_string();
    headers.insert(protocol::TIMEOUT, protocol::header_value(&left));
    headers
}
