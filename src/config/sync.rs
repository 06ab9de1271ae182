//! gRPC service through which other processes pull and push configuration.

use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::{self, Iter};
use tokio::time;
use tonic::{Request, Response, Status, Streaming};

use crate::clock::Clock;
use crate::config::Handle;
use crate::config::parts::{self, Assembler};
use crate::config::pull::PART_TIMEOUT;
use crate::control::pb;
use crate::control::pb::config_sync_server::ConfigSync;
use crate::daemon;

/// Serves pulls by other processes and pushes by the coordinator.
#[derive(Debug)]
pub struct Service<C> {
    clock: C,
    handle: Handle,
    state: Arc<crate::shared_state::SharedState>,
    data_center: String,
}

impl<C: Clock> Service<C> {
    pub(super) fn new(ctx: &daemon::Context, clock: C, handle: Handle) -> Self {
        Self {
            clock,
            handle,
            state: ctx.state.clone(),
            data_center: ctx.settings.data_center.clone(),
        }
    }

    fn replies(&self, request: &pb::PullRequest) -> Vec<pb::PullReply> {
        let same_data_center = request.data_center == self.data_center;
        let coordinator = self
            .state
            .coordinator
            .borrow()
            .clone()
            .filter(|_| same_data_center);
        let complete = self.handle.revisions().complete;
        let reply = |delta| pb::PullReply {
            delta,
            complete,
            coordinator: coordinator.clone(),
        };
        match self.handle.delta(request.complete) {
            Some(delta) => {
                let parts = parts::split(&delta, None);
                parts.into_iter().map(|p| reply(Some(p))).collect()
            }
            None => vec![reply(None)],
        }
    }
}

type Replies = Iter<std::vec::IntoIter<Result<pb::PullReply, Status>>>;

#[tonic::async_trait]
impl<C: Clock> ConfigSync for Service<C> {
    type PullStream = Replies;

    async fn pull(&self, request: Request<pb::PullRequest>) -> Result<Response<Replies>, Status> {
        let replies = self.replies(request.get_ref());
        let all: Vec<_> = replies.into_iter().map(Ok).collect();
        Ok(Response::new(stream::iter(all)))
    }

    async fn push(
        &self,
        request: Request<Streaming<pb::Delta>>,
    ) -> Result<Response<pb::PushReply>, Status> {
        let mut stream = request.into_inner();
        let mut assembler = Assembler::default();
        let mut coordinator = None;
        while let Some(part) = next_part(&mut stream).await? {
            coordinator = part.coordinator.clone().or(coordinator);
            let added = assembler.add(part);
            added.map_err(|e| Status::invalid_argument(e.to_string()))?;
        }
        if let Some(delta) = assembler.finish() {
            self.handle.apply(delta);
        }
        let previous = self.state.coordinator.borrow().clone();
        if let Some(coordinator) = coordinator {
            self.handle
                .accept_coordinator(coordinator, self.clock.now());
        }
        let complete = self.handle.revisions().complete;
        Ok(Response::new(pb::PushReply {
            complete,
            coordinator: previous,
        }))
    }
}

async fn next_part(stream: &mut Streaming<pb::Delta>) -> Result<Option<pb::Delta>, Status> {
    let part = time::timeout(PART_TIMEOUT, stream.next()).await;
    let part = part.map_err(|_| Status::deadline_exceeded("no further part"))?;
    part.transpose()
}
