//! gRPC service `Reports` of an entry.

use futures_util::stream::Empty;
use tokio::sync::watch;
use tonic::{Request, Response, Status};

use crate::burn::Counter;
use crate::clock::Clock;
use crate::control::pb;
use crate::control::pb::reports_server::Reports;
use crate::coordinator::lease::Role;
use crate::coordinator::{ControlState, collect};
use crate::daemon;

/// Receives progress reports of agents and returns the outcome counts of this
/// entry.
#[derive(Debug)]
pub struct Service<C> {
    pub(super) ctx: daemon::Context,
    pub(super) clock: C,
    pub(super) counter: Counter,
    pub(super) role: watch::Receiver<Role>,
    pub(super) shared: ControlState,
}

#[tonic::async_trait]
impl<C: Clock> Reports for Service<C> {
    type WatchStream = Empty<Result<pb::TargetReport, Status>>;

    async fn watch(
        &self,
        _request: Request<pb::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        Err(Status::unimplemented("agents serve target reports"))
    }

    async fn progress(
        &self,
        request: Request<pb::AgentProgress>,
    ) -> Result<Response<pb::ProgressReply>, Status> {
        let progress = request.into_inner();
        if !self.role.borrow().active {
            let coordinator = self.ctx.state.coordinator.borrow().clone();
            return Ok(Response::new(pb::ProgressReply {
                permit: false,
                coordinator: coordinator.filter(|c| c.vm != self.ctx.settings.vm),
            }));
        }
        let view = self.ctx.state.view();
        let rollout = view.rollout_for(&progress.service);
        let now = self.clock.now();
        let mut state = self.shared.state.lock();
        let permit = state
            .permits
            .update(&progress, rollout.map(AsRef::as_ref), now);
        state.reports.insert(progress, now);
        Ok(Response::new(pb::ProgressReply {
            permit,
            coordinator: None,
        }))
    }

    async fn counts(
        &self,
        _request: Request<pb::CountsRequest>,
    ) -> Result<Response<pb::CountsReply>, Status> {
        Ok(Response::new(collect::own_reply(&self.ctx, &self.counter)))
    }
}
