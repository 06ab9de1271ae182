//! Coordinator of a fleet: grants switch permits and keeps the reports.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderramp::control::{self, pb};
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::{Request, Response, Status};

use crate::toolkit;

#[derive(Debug, Default)]
struct State {
    limit: usize,
    /// Newest report of each VM, in the order of their names.
    reports: Vec<pb::AgentProgress>,
    /// VMs with a permit, and its generation.
    granted: Vec<(String, u64)>,
}

/// A running coordinator; it stops when dropped.
#[derive(Debug)]
pub struct Coordinator {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Coordinator {
    pub(super) async fn start(address: SocketAddr, limit: usize) -> Result<Self, toolkit::Error> {
        let listener = toolkit::bind(address).await?;
        let state = Arc::new(Mutex::new(State {
            limit,
            ..State::default()
        }));
        let service = pb::reports_server::ReportsServer::new(Service {
            state: state.clone(),
        });
        let task = tokio::spawn(async move {
            let routes = Routes::new(service);
            let _ = control::serve(listener, routes, CancellationToken::new()).await;
        });
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// How agents know it.
    #[must_use]
    pub fn named(&self) -> pb::Coordinator {
        pb::Coordinator {
            epoch: 1,
            vm: "coordinator".into(),
            address: self.address.to_string(),
        }
    }

    /// Changes the number of permits; 0 grants none.
    pub fn set_limit(&self, limit: usize) {
        self.state.lock().limit = limit;
    }

    /// Newest report of each VM, in the order of their names.
    #[must_use]
    pub fn reports(&self) -> Vec<pb::AgentProgress> {
        self.state.lock().reports.clone()
    }
}

#[derive(Debug)]
struct Service {
    state: Arc<Mutex<State>>,
}

impl State {
    fn note(&mut self, report: pb::AgentProgress) -> bool {
        let vm = report.vm.clone();
        let generation = report.generation;
        let asked = report.want_permit;
        let live = report.stage() == pb::Stage::Live;
        match self.reports.binary_search_by(|r| r.vm.cmp(&vm)) {
            Ok(i) => self.reports[i] = report,
            Err(i) => self.reports.insert(i, report),
        }
        self.granted
            .retain(|(holder, g)| *holder != vm || (*g == generation && !live));
        if !asked {
            return false;
        }
        if self.granted.iter().any(|(holder, _)| *holder == vm) {
            return true;
        }
        let free = self.granted.len() < self.limit;
        if free {
            self.granted.push((vm, generation));
        }
        free
    }
}

#[tonic::async_trait]
impl pb::reports_server::Reports for Service {
    type WatchStream = ReceiverStream<Result<pb::TargetReport, Status>>;

    async fn watch(
        &self,
        _: Request<pb::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        Err(Status::unimplemented("only Progress"))
    }

    async fn progress(
        &self,
        request: Request<pb::AgentProgress>,
    ) -> Result<Response<pb::ProgressReply>, Status> {
        let permit = self.state.lock().note(request.into_inner());
        Ok(Response::new(pb::ProgressReply {
            permit,
            coordinator: None,
        }))
    }

    async fn counts(
        &self,
        _: Request<pb::CountsRequest>,
    ) -> Result<Response<pb::CountsReply>, Status> {
        Err(Status::unimplemented("only Progress"))
    }
}
