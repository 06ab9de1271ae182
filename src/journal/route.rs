//! Routes requests to the owner of their shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tonic::{Code, Status};

use super::actor::{Message, Request};
use super::key::{self, Id};
use super::owned::{Command, Reply};
use super::store::Takeover;
use super::table::Decision;
use super::{Operation, Receipt, rpc};
use crate::control::{self, pb};
use crate::membership;
use crate::rendezvous;
use crate::resource::{journal, service};
use crate::shared_state::SharedState;

/// Timeout of one call to another entry. Longer than `actor::REQUEST_TIMEOUT`, so
/// that an owner that can't reach the platform replies before the call times out.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before a request is routed again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of entries called in one forward, following redirects.
const MAX_REDIRECTS: usize = 3;
/// Largest number of entries that get the request when this process can't learn
/// the owner from the platform.
const MAX_PEERS_ASKED: usize = 2;

/// Routes requests to shards in this and other processes.
#[derive(Debug)]
pub struct Router {
    /// This process.
    pub local: journal::Owner,
    /// Message senders of this process's shard tasks, by shard number.
    pub shards: Vec<mpsc::UnboundedSender<Message>>,
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// gRPC channels to other processes.
    pub pool: Arc<control::Pool>,
    /// Whether the process is shutting down and acquires no shard.
    pub stopping: AtomicBool,
}

/// Command with the operation that other processes need to run it.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Operation.
    pub operation: Operation,
    /// Identifier of the operation.
    pub id: Id,
    /// Command.
    pub command: Command,
}

/// Result of a call to another process.
enum RemoteResult {
    Reply(Reply),
    /// No process that could answer was reached: a call failed, or no owner was found
    /// within `MAX_REDIRECTS`.
    Failed,
}

impl Router {
    /// Sends a command to the shard's task in this process.
    pub async fn send_local(&self, id: Id, command: Command, takeover: Takeover) -> Reply {
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        let shard = usize::from(key::shard(id, count));
        let (reply, answer) = oneshot::channel();
        let request = Message::Request(Request {
            command,
            takeover,
            reply,
        });
        let stopped = || Reply::Unavailable("journal is shutting down".into());
        if self.shards[shard].send(request).is_err() {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }

    /// Whether a service allows offline mode.
    #[must_use]
    pub fn is_offline(&self, service: &str) -> bool {
        let view = self.state.view();
        let found = crate::config::find(&view.services, service);
        found.is_some_and(|s| s.spec.journal == service::JournalMode::Owner)
    }

    /// Routes a request until it is answered or cancelled. Retries use the same
    /// attempt, so that the permit is granted only once.
    pub async fn route(&self, request: &RoutedRequest) -> Reply {
        let mut takeover = Takeover::Never;
        loop {
            match self.try_route(request, &mut takeover).await {
                Some(answer) => return answer,
                None => time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn try_route(&self, request: &RoutedRequest, takeover: &mut Takeover) -> Option<Reply> {
        let answer = self
            .send_local(request.id, request.command.clone(), takeover.clone())
            .await;
        match answer {
            Reply::Owner(owner) if owner.boot == self.local.boot => {
                *takeover = Takeover::From(owner.boot);
                None
            }
            Reply::Owner(owner) => match self.forward(request, owner.address).await {
                RemoteResult::Reply(answer) => Some(answer),
                RemoteResult::Failed => {
                    *takeover = Takeover::From(owner.boot);
                    None
                }
            },
            Reply::Unowned => {
                *takeover = Takeover::IfUnowned;
                let preferred = self.preferred_entries(request.id).into_iter().next()?;
                match self.forward(request, preferred).await {
                    RemoteResult::Reply(Reply::Unavailable(_)) | RemoteResult::Failed => None,
                    RemoteResult::Reply(answer) => Some(answer),
                }
            }
            Reply::Unavailable(reason) if *takeover == Takeover::Never => {
                Some(self.ask_peers(request, reason).await)
            }
            Reply::Unavailable(reason) => {
                log::debug!(reason; "retrying journal request");
                *takeover = Takeover::Never;
                None
            }
            answer => Some(answer),
        }
    }

    /// Forwards the request to other entries when this process can't learn the owner
    /// from the platform. Replies with `reason` if none of them can answer.
    async fn ask_peers(&self, request: &RoutedRequest, reason: String) -> Reply {
        for address in self
            .preferred_entries(request.id)
            .into_iter()
            .take(MAX_PEERS_ASKED)
        {
            match self.forward(request, address).await {
                RemoteResult::Reply(Reply::Unavailable(_)) | RemoteResult::Failed => {}
                RemoteResult::Reply(answer) => return answer,
            }
        }
        Reply::Unavailable(reason)
    }

    /// Control addresses of the entries that rank above this process for the
    /// operation's shard, best first; of all other entries during shutdown or
    /// while this VM is not listed.
    fn preferred_entries(&self, id: Id) -> Vec<SocketAddr> {
        let view = self.state.view();
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        let key = journal::head_name(key::shard(id, count));
        let names = membership::entries(&view).map(|v| v.metadata.name.as_str());
        let ranked = rendezvous::rank(key.as_bytes(), names);
        let stopping = self.stopping.load(Ordering::Relaxed);
        let mut others = ranked;
        match others.iter().position(|name| *name == self.local.vm) {
            Some(i) if stopping => drop(others.remove(i)),
            Some(i) => others.truncate(i),
            None => {}
        }
        let found = others
            .into_iter()
            .filter_map(|name| crate::config::find(&view.vms, name));
        found.map(|vm| vm.spec.control).collect()
    }

    /// Calls the entry at `first` and follows redirects to the owner.
    async fn forward(&self, request: &RoutedRequest, first: SocketAddr) -> RemoteResult {
        let mut address = first;
        for _ in 0..MAX_REDIRECTS {
            let result = time::timeout(FORWARD_TIMEOUT, self.call(request, address)).await;
            match result {
                Ok(Ok(Reply::Owner(owner))) if owner.boot == self.local.boot => {
                    return RemoteResult::Failed;
                }
                Ok(Ok(Reply::Owner(owner))) if owner.address != address => {
                    address = owner.address;
                }
                Ok(Ok(Reply::Owner(_) | Reply::Unowned)) => return RemoteResult::Failed,
                Ok(Ok(answer)) => return RemoteResult::Reply(answer),
                Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
                    return RemoteResult::Failed;
                }
                // A broken connection can stay open for long, so the next call opens a
                // new one.
                Ok(Err(_)) | Err(_) => {
                    self.pool.remove(address);
                    return RemoteResult::Failed;
                }
            }
        }
        RemoteResult::Failed
    }

    async fn call(&self, request: &RoutedRequest, address: SocketAddr) -> Result<Reply, Status> {
        let channel = self.pool.channel(address);
        let mut client = pb::journal_client::JournalClient::new(channel);
        match &request.command {
            Command::Reserve {
                request: reserve, ..
            } => {
                let message = rpc::reserve_message(&request.operation, reserve);
                let reply = client.reserve(message).await?.into_inner();
                Ok(rpc::parse_reply(reply))
            }
            Command::Finish {
                attempt,
                finish: key::Finish::Complete(receipt),
                ..
            } => {
                let message = pb::CompleteRequest {
                    operation: Some(rpc::operation_key(&request.operation)),
                    attempt: attempt.to_hex(),
                    receipt: Some(rpc::receipt_message(receipt)),
                };
                let reply = client.complete(message).await?.into_inner();
                Ok(Reply::Finished(reply.stored))
            }
            Command::Finish { attempt, .. } => {
                let message = pb::AbortRequest {
                    operation: Some(rpc::operation_key(&request.operation)),
                    attempt: attempt.to_hex(),
                };
                let reply = client.abort(message).await?.into_inner();
                Ok(Reply::Finished(reply.released))
            }
        }
    }
}

/// Result of a reservation, as `super::Reservation` but without the permit.
#[derive(Debug)]
pub enum Outcome {
    /// The attempt got the permit.
    Fresh,
    /// See `super::Reservation::Done`.
    Done(Receipt),
    /// See `super::Reservation::InProgress`.
    InProgress,
    /// See `super::Reservation::Unknown`.
    Unknown,
    /// See `super::Reservation::Mismatch`.
    Mismatch,
    /// See `super::Reservation::Unavailable`.
    Unavailable(String),
}

impl Outcome {
    /// Value of the metric label `outcome`.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Done(_) => "done",
            Self::InProgress => "in-progress",
            Self::Unknown => "unknown",
            Self::Mismatch => "mismatch",
            Self::Unavailable(_) => "unavailable",
        }
    }
}

impl From<Reply> for Outcome {
    fn from(answer: Reply) -> Self {
        match answer {
            Reply::Decision(Decision::Fresh) => Self::Fresh,
            Reply::Decision(Decision::Done(receipt)) => Self::Done(receipt),
            Reply::Decision(Decision::InProgress) => Self::InProgress,
            Reply::Decision(Decision::Unknown) => Self::Unknown,
            Reply::Decision(Decision::Mismatch) => Self::Mismatch,
            Reply::Decision(Decision::Rejected(reason)) => Self::Unavailable(reason.into()),
            Reply::Unavailable(reason) => Self::Unavailable(reason),
            Reply::Owner(_) | Reply::Unowned | Reply::Finished(_) => {
                Self::Unavailable("shard owner is unknown".into())
            }
        }
    }
}
