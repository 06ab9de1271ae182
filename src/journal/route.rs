//! Brings a request to the owner of its shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tonic::{Code, Status};

use super::actor::{Message, Request};
use super::held::{Answer, Task};
use super::key::{self, Id};
use super::store::Want;
use super::table::Verdict;
use super::{Operation, Receipt, rpc};
use crate::control::{self, pb};
use crate::membership;
use crate::rendezvous;
use crate::resource::{journal, service};
use crate::shared_state::SharedState;

/// Time that one try at another entry may take. Longer than `actor::PATIENCE`,
/// so that an owner without the platform says so before the caller gives up.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before a request is routed again.
const PAUSE: Duration = Duration::from_millis(50);
/// Redirects that are followed in one go.
const MAX_HOPS: usize = 3;
/// Entries that are asked for the owner when the platform does not answer.
const ADVISERS: usize = 2;

/// Way to all shards.
#[derive(Debug)]
pub struct Router {
    /// This process.
    pub me: journal::Owner,
    /// Tasks of the shards in this process.
    pub shards: Vec<mpsc::UnboundedSender<Message>>,
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// Channels to other processes.
    pub pool: Arc<control::Pool>,
    /// Whether the process is stopping and takes no shard any more.
    pub closed: AtomicBool,
}

/// A request with what other processes need to know about it.
#[derive(Clone, Debug)]
pub struct Parcel {
    /// Operation.
    pub operation: Operation,
    /// Identity.
    pub id: Id,
    /// Request.
    pub task: Task,
}

/// What a remote process answered.
enum Remote {
    Answer(Answer),
    /// The process can't be reached.
    Lost,
}

impl Router {
    /// Asks the own process's shard.
    pub async fn ask(&self, id: Id, task: Task, want: Want) -> Answer {
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        let shard = usize::from(key::shard(id, count));
        let (reply, answer) = oneshot::channel();
        let request = Message::Request(Request { task, want, reply });
        let stopped = || Answer::Unavailable("the journal is stopping".into());
        if self.shards[shard].send(request).is_err() {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }

    /// Whether operations of a service go on from memory.
    #[must_use]
    pub fn is_offline(&self, service: &str) -> bool {
        let view = self.state.view();
        let found = crate::config::find(&view.services, service);
        found.is_some_and(|s| s.spec.journal == service::JournalMode::Owner)
    }

    /// Routes a request until it is answered or cancelled. The same attempt is
    /// asked again after a failure, so that it gets the permit only once.
    pub async fn run(&self, parcel: &Parcel) -> Answer {
        let mut want = Want::Look;
        loop {
            match self.step(parcel, &mut want).await {
                Some(answer) => return answer,
                None => time::sleep(PAUSE).await,
            }
        }
    }

    async fn step(&self, parcel: &Parcel, want: &mut Want) -> Option<Answer> {
        let answer = self.ask(parcel.id, parcel.task.clone(), want.clone()).await;
        match answer {
            Answer::Owner(owner) if owner.boot == self.me.boot => {
                *want = Want::From(owner.boot);
                None
            }
            Answer::Owner(owner) => match self.follow(parcel, owner.address).await {
                Remote::Answer(answer) => Some(answer),
                Remote::Lost => {
                    *want = Want::From(owner.boot);
                    None
                }
            },
            Answer::Unowned => {
                *want = Want::Unowned;
                let preferred = self.ranked(parcel.id).into_iter().next()?;
                match self.follow(parcel, preferred).await {
                    Remote::Answer(Answer::Unavailable(_)) | Remote::Lost => None,
                    Remote::Answer(answer) => Some(answer),
                }
            }
            Answer::Unavailable(reason) if *want == Want::Look => {
                Some(self.advise(parcel, reason).await)
            }
            Answer::Unavailable(reason) => {
                log::debug!(reason; "a journal request is tried again");
                *want = Want::Look;
                None
            }
            answer => Some(answer),
        }
    }

    /// Asks other entries for the owner when the own process can't learn it.
    async fn advise(&self, parcel: &Parcel, reason: String) -> Answer {
        for address in self.ranked(parcel.id).into_iter().take(ADVISERS) {
            match self.follow(parcel, address).await {
                Remote::Answer(Answer::Unavailable(_)) | Remote::Lost => {}
                Remote::Answer(answer) => return answer,
            }
        }
        Answer::Unavailable(reason)
    }

    /// Entries that the operation's shard prefers to this process, best first;
    /// all others when this process takes no shard any more.
    fn ranked(&self, id: Id) -> Vec<SocketAddr> {
        let view = self.state.view();
        let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        let key = journal::head_name(key::shard(id, count));
        let names = membership::entries(&view).map(|v| v.metadata.name.as_str());
        let ranked = rendezvous::rank(key.as_bytes(), names);
        let closed = self.closed.load(Ordering::Relaxed);
        let mut others = ranked;
        match others.iter().position(|name| *name == self.me.vm) {
            Some(i) if closed => drop(others.remove(i)),
            Some(i) => others.truncate(i),
            None => {}
        }
        let found = others
            .into_iter()
            .filter_map(|name| crate::config::find(&view.vms, name));
        found.map(|vm| vm.spec.control).collect()
    }

    async fn follow(&self, parcel: &Parcel, first: SocketAddr) -> Remote {
        let mut address = first;
        for _ in 0..MAX_HOPS {
            let result = time::timeout(FORWARD_TIMEOUT, self.forward(parcel, address)).await;
            match result {
                Ok(Ok(Answer::Owner(owner))) if owner.boot == self.me.boot => return Remote::Lost,
                Ok(Ok(Answer::Owner(owner))) if owner.address != address => {
                    address = owner.address;
                }
                Ok(Ok(Answer::Owner(_) | Answer::Unowned)) => return Remote::Lost,
                Ok(Ok(answer)) => return Remote::Answer(answer),
                Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
                    return Remote::Lost;
                }
                // A connection that carries no data can stay open for long, so
                // the next try opens a new one.
                Ok(Err(_)) | Err(_) => {
                    self.pool.remove(address);
                    return Remote::Lost;
                }
            }
        }
        Remote::Lost
    }

    async fn forward(&self, parcel: &Parcel, address: SocketAddr) -> Result<Answer, Status> {
        let channel = self.pool.channel(address);
        let mut client = pb::journal_client::JournalClient::new(channel);
        match &parcel.task {
            Task::Reserve { ask, .. } => {
                let request = rpc::reserve_request(&parcel.operation, ask);
                let reply = client.reserve(request).await?.into_inner();
                Ok(rpc::answer(reply))
            }
            Task::Finish {
                attempt,
                finish: key::Finish::Complete(receipt),
                ..
            } => {
                let request = pb::CompleteRequest {
                    operation: Some(rpc::operation_key(&parcel.operation)),
                    attempt: attempt.text(),
                    receipt: Some(rpc::receipt_message(receipt)),
                };
                let reply = client.complete(request).await?.into_inner();
                Ok(Answer::Finished(reply.stored))
            }
            Task::Finish { attempt, .. } => {
                let request = pb::AbortRequest {
                    operation: Some(rpc::operation_key(&parcel.operation)),
                    attempt: attempt.text(),
                };
                let reply = client.abort(request).await?.into_inner();
                Ok(Answer::Finished(reply.released))
            }
        }
    }
}

/// What a caller of the journal gets to know.
#[derive(Debug)]
pub enum Outcome {
    /// The attempt holds the permit.
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
    /// Name in metrics.
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

impl From<Answer> for Outcome {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Verdict(Verdict::Fresh) => Self::Fresh,
            Answer::Verdict(Verdict::Done(receipt)) => Self::Done(receipt),
            Answer::Verdict(Verdict::InProgress) => Self::InProgress,
            Answer::Verdict(Verdict::Unknown) => Self::Unknown,
            Answer::Verdict(Verdict::Mismatch) => Self::Mismatch,
            Answer::Verdict(Verdict::Refused(reason)) => Self::Unavailable(reason.into()),
            Answer::Unavailable(reason) => Self::Unavailable(reason),
            Answer::Owner(_) | Answer::Unowned | Answer::Finished(_) => {
                Self::Unavailable("the shard's owner is not known".into())
            }
        }
    }
}
