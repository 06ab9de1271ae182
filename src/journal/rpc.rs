//! gRPC service through which other entries use this entry's shards, and the
//! conversion of its messages.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::key::{self, Attempt, Finish, ReserveRequest};
use super::owned::{Command, Reply};
use super::route::Router;
use super::store::Takeover;
use super::table::Decision;
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
    /// Creates the service for the shards of `router`.
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
        let id = key::operation_id(&operation);
        let command = Command::Finish {
            id,
            attempt: parse_attempt(attempt)?,
            finish,
        };
        match self
            .router
            .send_local(id, command, Takeover::IfUnowned)
            .await
        {
            Reply::Finished(done) => Ok(done),
            Reply::Unavailable(reason) => Err(Status::unavailable(reason)),
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
        let message = request.into_inner();
        let fingerprint = digest::Digest::from_bytes(&message.fingerprint)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let operation = parse_operation(message.operation, fingerprint)?;
        let request = ReserveRequest {
            attempt: parse_attempt(&message.attempt)?,
            ..new_request(&operation, u64::from(message.deadline_ms))
        };
        let command = Command::Reserve {
            offline: self.router.is_offline(&operation.service),
            request: request.clone(),
        };
        let reply = self
            .router
            .send_local(request.id, command, Takeover::IfUnowned)
            .await;
        Ok(Response::new(reserve_reply(reply)))
    }

    async fn complete(
        &self,
        request: Request<pb::CompleteRequest>,
    ) -> Result<Response<pb::CompleteReply>, Status> {
        let message = request.into_inner();
        let receipt = parse_receipt(message.receipt.unwrap_or_default());
        let finish = Finish::Complete(receipt);
        let stored = self.finish(message.operation, &message.attempt, finish);
        let stored = stored.await?;
        Ok(Response::new(pb::CompleteReply { stored }))
    }

    async fn abort(
        &self,
        request: Request<pb::AbortRequest>,
    ) -> Result<Response<pb::AbortReply>, Status> {
        let message = request.into_inner();
        let released = self.finish(message.operation, &message.attempt, Finish::Abort);
        let released = released.await?;
        Ok(Response::new(pb::AbortReply { released }))
    }
}

/// Creates a request with a new attempt whose deadline is `timeout_ms` milliseconds
/// away.
#[must_use]
pub fn new_request(operation: &Operation, timeout_ms: u64) -> ReserveRequest {
    ReserveRequest {
        id: key::operation_id(operation),
        fingerprint: key::truncate_digest(&operation.fingerprint),
        attempt: Attempt::new(),
        timeout_ms,
        key_time: key::uuid_time(&operation.key),
    }
}

fn parse_operation(
    key: Option<pb::OperationKey>,
    fingerprint: digest::Digest,
) -> Result<Operation, Status> {
    let key = key.ok_or_else(|| Status::invalid_argument("field operation is missing"))?;
    Ok(Operation {
        account: key.account,
        service: key.service,
        key: key.key,
        fingerprint,
    })
}

fn parse_attempt(text: &str) -> Result<Attempt, Status> {
    Attempt::from_hex(text)
        .ok_or_else(|| Status::invalid_argument("field attempt is not hexadecimal"))
}

fn parse_receipt(message: pb::Receipt) -> Receipt {
    Receipt {
        status: u16::try_from(message.status).unwrap_or(u16::MAX),
        content_type: message.content_type,
        body: message.body,
        truncated: message.truncated,
    }
    .within_limits()
}

/// Converts an operation to its key message.
#[must_use]
pub fn operation_key(operation: &Operation) -> pb::OperationKey {
    pb::OperationKey {
        account: operation.account.clone(),
        service: operation.service.clone(),
        key: operation.key.clone(),
    }
}

/// Converts a receipt to its message.
#[must_use]
pub fn receipt_message(receipt: &Receipt) -> pb::Receipt {
    pb::Receipt {
        status: u32::from(receipt.status),
        content_type: receipt.content_type.clone(),
        body: receipt.body.clone(),
        truncated: receipt.truncated,
    }
}

/// Converts a request to its message.
#[must_use]
pub fn reserve_message(operation: &Operation, request: &ReserveRequest) -> pb::ReserveRequest {
    pb::ReserveRequest {
        operation: Some(operation_key(operation)),
        fingerprint: operation.fingerprint.as_bytes().to_vec().into(),
        attempt: request.attempt.to_hex(),
        deadline_ms: u32::try_from(request.timeout_ms).unwrap_or(u32::MAX),
    }
}

fn reserve_reply(reply: Reply) -> pb::ReserveReply {
    let mut message = pb::ReserveReply::default();
    let code = match reply {
        Reply::Decision(Decision::Fresh) => Code::Fresh,
        Reply::Decision(Decision::Done(receipt)) => {
            message.receipt = Some(receipt_message(&receipt));
            Code::Done
        }
        Reply::Decision(Decision::InProgress) => Code::InProgress,
        Reply::Decision(Decision::Unknown) => Code::Unknown,
        Reply::Decision(Decision::Mismatch) => Code::Mismatch,
        Reply::Decision(Decision::Rejected(reason)) => {
            message.reason = reason.into();
            Code::Unavailable
        }
        Reply::Owner(owner) => {
            message.owner = Some(pb::Coordinator {
                epoch: 0,
                vm: owner.vm,
                address: owner.address.to_string(),
            });
            message.reason = owner.boot;
            Code::NotOwner
        }
        Reply::Unowned | Reply::Finished(_) => Code::NotOwner,
        Reply::Unavailable(reason) => {
            message.reason = reason;
            Code::Unavailable
        }
    };
    message.set_verdict(code);
    message
}

/// Converts the reply message of a reservation. A redirect to the owner carries the
/// owner's boot identifier in `reason`.
#[must_use]
pub fn parse_reply(message: pb::ReserveReply) -> Reply {
    match message.verdict() {
        Code::Fresh => Reply::Decision(Decision::Fresh),
        Code::Done => {
            let receipt = parse_receipt(message.receipt.unwrap_or_default());
            Reply::Decision(Decision::Done(receipt))
        }
        Code::InProgress => Reply::Decision(Decision::InProgress),
        Code::Unknown => Reply::Decision(Decision::Unknown),
        Code::Mismatch => Reply::Decision(Decision::Mismatch),
        Code::NotOwner => redirect(message).unwrap_or(Reply::Unowned),
        Code::Unavailable | Code::Unspecified => Reply::Unavailable(message.reason),
    }
}

fn redirect(message: pb::ReserveReply) -> Option<Reply> {
    let owner = message.owner?;
    Some(Reply::Owner(crate::resource::journal::Owner {
        vm: owner.vm,
        boot: message.reason,
        started: 0,
        address: owner.address.parse().ok()?,
    }))
}
