//! gRPC service through which other entries use this entry's shards, and the
//! translation of its messages.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::held::{Answer, Task};
use super::key::{self, Ask, Attempt, Finish};
use super::route::Router;
use super::store::Want;
use super::table::Verdict;
use super::{Operation, Receipt};
use crate::control::pb;
use crate::control::pb::reserve_reply::Verdict as Code;
use crate::digest;

/// The `Journal` service of this process.
#[derive(Clone, Debug)]
pub struct Service {
    router: Arc<Router>,
}

impl Service {
    /// Service for the shards that `router` knows.
    #[must_use]
    pub const fn new(router: Arc<Router>) -> Self {
        Self { router }
    }

    async fn finish(
        &self,
        operation: Option<pb::OperationKey>,
        attempt: &str,
        finish: Finish,
    ) -> Result<bool, Status> {
        let operation = parse_operation(operation, digest::Digest::of(b""))?;
        let id = key::identify(&operation);
        let task = Task::Finish {
            id,
            attempt: parse_attempt(attempt)?,
            finish,
        };
        match self.router.ask(id, task, Want::Unowned).await {
            Answer::Finished(done) => Ok(done),
            Answer::Unavailable(reason) => Err(Status::unavailable(reason)),
            _ => Err(Status::failed_precondition("not the owner of the shard")),
        }
    }
}

#[tonic::async_trait]
impl pb::journal_server::Journal for Service {
    async fn reserve(
        &self,
        request: Request<pb::ReserveRequest>,
    ) -> Result<Response<pb::ReserveReply>, Status> {
        let request = request.into_inner();
        let fingerprint = digest::Digest::from_bytes(&request.fingerprint)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let operation = parse_operation(request.operation, fingerprint)?;
        let ask = Ask {
            attempt: parse_attempt(&request.attempt)?,
            ..ask_for(&operation, u64::from(request.deadline_ms))
        };
        let task = Task::Reserve {
            offline: self.router.is_offline(&operation.service),
            ask: ask.clone(),
        };
        let answer = self.router.ask(ask.id, task, Want::Unowned).await;
        Ok(Response::new(reply(answer)))
    }

    async fn complete(
        &self,
        request: Request<pb::CompleteRequest>,
    ) -> Result<Response<pb::CompleteReply>, Status> {
        let request = request.into_inner();
        let receipt = parse_receipt(request.receipt.unwrap_or_default());
        let finish = Finish::Complete(receipt);
        let stored = self.finish(request.operation, &request.attempt, finish);
        let stored = stored.await?;
        Ok(Response::new(pb::CompleteReply { stored }))
    }

    async fn abort(
        &self,
        request: Request<pb::AbortRequest>,
    ) -> Result<Response<pb::AbortReply>, Status> {
        let request = request.into_inner();
        let released = self.finish(request.operation, &request.attempt, Finish::Abort);
        let released = released.await?;
        Ok(Response::new(pb::AbortReply { released }))
    }
}

/// What a shard needs to know about an operation whose attempt has `left`
/// milliseconds; the attempt is new.
#[must_use]
pub fn ask_for(operation: &Operation, left: u64) -> Ask {
    Ask {
        id: key::identify(operation),
        fingerprint: key::leading(&operation.fingerprint),
        attempt: Attempt::new(),
        left,
        made: key::made(&operation.key),
    }
}

fn parse_operation(
    key: Option<pb::OperationKey>,
    fingerprint: digest::Digest,
) -> Result<Operation, Status> {
    let key = key.ok_or_else(|| Status::invalid_argument("operation is missing"))?;
    Ok(Operation {
        account: key.account,
        service: key.service,
        key: key.key,
        fingerprint,
    })
}

fn parse_attempt(text: &str) -> Result<Attempt, Status> {
    Attempt::parse(text).ok_or_else(|| Status::invalid_argument("attempt is not hexadecimal"))
}

fn parse_receipt(message: pb::Receipt) -> Receipt {
    Receipt {
        status: u16::try_from(message.status).unwrap_or(u16::MAX),
        content_type: message.content_type,
        body: message.body,
        truncated: message.truncated,
    }
    .limited()
}

/// Message that names an operation.
#[must_use]
pub fn operation_key(operation: &Operation) -> pb::OperationKey {
    pb::OperationKey {
        account: operation.account.clone(),
        service: operation.service.clone(),
        key: operation.key.clone(),
    }
}

/// Message with a receipt.
#[must_use]
pub fn receipt_message(receipt: &Receipt) -> pb::Receipt {
    pb::Receipt {
        status: u32::from(receipt.status),
        content_type: receipt.content_type.clone(),
        body: receipt.body.clone(),
        truncated: receipt.truncated,
    }
}

/// Message that reserves an operation.
#[must_use]
pub fn reserve_request(operation: &Operation, ask: &Ask) -> pb::ReserveRequest {
    pb::ReserveRequest {
        operation: Some(operation_key(operation)),
        fingerprint: operation.fingerprint.as_bytes().to_vec().into(),
        attempt: ask.attempt.text(),
        deadline_ms: u32::try_from(ask.left).unwrap_or(u32::MAX),
    }
}

fn reply(answer: Answer) -> pb::ReserveReply {
    let mut reply = pb::ReserveReply::default();
    let code = match answer {
        Answer::Verdict(Verdict::Fresh) => Code::Fresh,
        Answer::Verdict(Verdict::Done(receipt)) => {
            reply.receipt = Some(receipt_message(&receipt));
            Code::Done
        }
        Answer::Verdict(Verdict::InProgress) => Code::InProgress,
        Answer::Verdict(Verdict::Unknown) => Code::Unknown,
        Answer::Verdict(Verdict::Mismatch) => Code::Mismatch,
        Answer::Verdict(Verdict::Refused(reason)) => {
            reply.reason = reason.into();
            Code::Unavailable
        }
        Answer::Owner(owner) => {
            reply.owner = Some(pb::Coordinator {
                epoch: 0,
                vm: owner.vm,
                address: owner.address.to_string(),
            });
            reply.reason = owner.boot;
            Code::NotOwner
        }
        Answer::Unowned | Answer::Finished(_) => Code::NotOwner,
        Answer::Unavailable(reason) => {
            reply.reason = reason;
            Code::Unavailable
        }
    };
    reply.set_verdict(code);
    reply
}

/// Reads the reply to a reservation. A redirect carries the owner's
/// incarnation in `reason`.
#[must_use]
pub fn answer(reply: pb::ReserveReply) -> Answer {
    match reply.verdict() {
        Code::Fresh => Answer::Verdict(Verdict::Fresh),
        Code::Done => {
            let receipt = parse_receipt(reply.receipt.unwrap_or_default());
            Answer::Verdict(Verdict::Done(receipt))
        }
        Code::InProgress => Answer::Verdict(Verdict::InProgress),
        Code::Unknown => Answer::Verdict(Verdict::Unknown),
        Code::Mismatch => Answer::Verdict(Verdict::Mismatch),
        Code::NotOwner => redirect(reply).unwrap_or(Answer::Unowned),
        Code::Unavailable | Code::Unspecified => Answer::Unavailable(reply.reason),
    }
}

fn redirect(reply: pb::ReserveReply) -> Option<Answer> {
    let owner = reply.owner?;
    Some(Answer::Owner(crate::resource::journal::Owner {
        vm: owner.vm,
        boot: reply.reason,
        started: 0,
        address: owner.address.parse().ok()?,
    }))
}
