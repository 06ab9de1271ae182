//! Pushes the configuration to every process of the data centre.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{Semaphore, watch};
use tokio::task::AbortHandle;
use tokio::time;
use tonic::Status;

use crate::clock::Clock;
use crate::config;
use crate::config::handle::Revisions;
use crate::config::parts;
use crate::config::store::Delta;
use crate::control::pb;
use crate::control::pb::config_sync_client::ConfigSyncClient;
use crate::coordinator::lease::Role;
use crate::daemon;
use crate::resource::{Object, vm};

/// Interval of pushes to an entry while nothing changes. Entries consider the
/// coordinator dead after [`crate::coordinator::lease::LIVENESS_TIMEOUT`] without
/// a push.
pub const ENTRY_HEARTBEAT: Duration = Duration::from_secs(1);
/// Interval of pushes to an agent while nothing changes. They only keep the number
/// of reachable processes up to date.
pub const AGENT_HEARTBEAT: Duration = Duration::from_secs(5);
/// Timeout per part of a push.
const PART_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed push is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limits the number of concurrent pushes and with it the memory for snapshots.
const MAX_CONCURRENT_PUSHES: usize = 32;

/// State of a process that the coordinator pushes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
    /// Name of the VM.
    pub vm: String,
    /// Whether the last push succeeded.
    pub reachable: bool,
    /// Last revision that the process confirmed; 0 if none.
    pub acked_revision: u64,
}

/// Processes that the coordinator pushes to.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    /// Sorted by VM.
    processes: Arc<Mutex<Vec<Process>>>,
}

impl Processes {
    /// Copy of the current state of all processes, sorted by VM.
    #[must_use]
    pub fn snapshot(&self) -> Vec<Process> {
        self.processes.lock().clone()
    }

    fn update(&self, process: Process) {
        let mut processes = self.processes.lock();
        match processes.binary_search_by(|r| r.vm.cmp(&process.vm)) {
            Ok(i) => processes[i] = process,
            Err(i) => processes.insert(i, process),
        }
    }

    fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.processes.lock().retain(|r| keep(&r.vm));
    }
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: Status },
    #[snafu(display("push timed out"))]
    Timeout,
}

/// Pushes the configuration to one process.
#[derive(Debug)]
struct Pusher<C> {
    ctx: daemon::Context,
    clock: C,
    config: config::Handle,
    role: watch::Receiver<Role>,
    processes: Processes,
    slots: Arc<Semaphore>,
    vm: String,
    address: SocketAddr,
    heartbeat: Duration,
}

/// Task of a pusher, aborted on drop.
#[derive(Debug)]
struct PushTask {
    vm: String,
    address: SocketAddr,
    handle: AbortHandle,
}

impl Drop for PushTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Runs one pusher per process of the data centre while this process is active.
pub(super) async fn run<C: Clock>(
    ctx: daemon::Context,
    clock: C,
    config: config::Handle,
    mut role: watch::Receiver<Role>,
    processes: Processes,
) {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_PUSHES));
    let mut revisions = config.subscribe();
    let mut tasks: Vec<PushTask> = Vec::new();
    loop {
        let recipients = if role.borrow_and_update().active {
            recipients(&ctx)
        } else {
            Vec::new()
        };
        processes.retain(|vm| recipients.iter().any(|(w, ..)| w == vm));
        tasks.retain(|r| {
            recipients
                .iter()
                .any(|(vm, a, _)| (vm, a) == (&r.vm, &r.address))
        });
        for (vm, address, heartbeat) in recipients {
            if tasks.iter().any(|r| r.vm == vm) {
                continue;
            }
            let pusher = Pusher {
                ctx: ctx.clone(),
                clock: clock.clone(),
                config: config.clone(),
                role: role.clone(),
                processes: processes.clone(),
                slots: slots.clone(),
                vm: vm.clone(),
                address,
                heartbeat,
            };
            let handle = tokio::spawn(pusher.run()).abort_handle();
            tasks.push(PushTask {
                vm,
                address,
                handle,
            });
        }
        let changed = async {
            tokio::select! {
                _ = role.changed() => {}
                _ = revisions.changed() => {}
            }
        };
        tokio::select! {
            () = ctx.stop.cancelled() => return,
            () = changed => {}
        }
    }
}

/// VM name, control address and heartbeat interval of all other processes of the
/// data centre, leaving ones included.
fn recipients(ctx: &daemon::Context) -> Vec<(String, SocketAddr, Duration)> {
    let own = |v: &Object<vm::Vm>| v.metadata.name == ctx.settings.vm;
    let view = ctx.state.view();
    let local = view
        .vms
        .iter()
        .filter(|v| v.spec.data_center == ctx.settings.data_center && !own(v));
    local
        .map(|v| {
            let heartbeat = match v.spec.role {
                vm::Role::Entry => ENTRY_HEARTBEAT,
                vm::Role::Target => AGENT_HEARTBEAT,
            };
            (v.metadata.name.clone(), v.spec.control, heartbeat)
        })
        .collect()
}

impl<C: Clock> Pusher<C> {
    async fn run(self) {
        let mut revisions = self.config.subscribe();
        let mut acked_revision = None;
        loop {
            match self.push(acked_revision).await {
                Ok(reply) => {
                    let complete = reply.complete;
                    if acked_revision.is_some() {
                        self.report_competitor(reply.coordinator);
                    }
                    acked_revision = Some(complete);
                    self.record_result(true, complete);
                    self.wait(&mut revisions, complete).await;
                }
                Err(e) => {
                    log::debug!(vm = self.vm.as_str(), error:% = e; "push failed");
                    self.ctx.pool.remove(self.address);
                    self.record_result(false, acked_revision.unwrap_or_default());
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for a change above revision `acked_revision` or for the next heartbeat.
    async fn wait(&self, revisions: &mut watch::Receiver<Revisions>, acked_revision: u64) {
        let change = revisions.wait_for(|r| r.changed > acked_revision);
        let _ = time::timeout(self.heartbeat, change).await;
    }

    fn record_result(&self, reachable: bool, acked_revision: u64) {
        self.processes.update(Process {
            vm: self.vm.clone(),
            reachable,
            acked_revision,
        });
    }

    /// Reports a competing coordinator to the configuration store. `known` is the
    /// coordinator that the process knows: if it is another one, that one has pushed
    /// to the process since the previous push of this coordinator and is active too.
    fn report_competitor(&self, known: Option<pb::Coordinator>) {
        let epoch = self.role.borrow().epoch;
        let competitor = known.filter(|c| c.vm != self.ctx.settings.vm && c.epoch >= epoch);
        if let Some(competitor) = competitor {
            self.config.record_contact(competitor, self.clock.now());
        }
    }

    /// Sends the changes that the process lacks. The first push is empty and only
    /// queries the revision of the process, since most processes already have the
    /// configuration at a takeover.
    async fn push(&self, acked_revision: Option<u64>) -> Result<pb::PushReply, Error> {
        let complete = self.config.revisions().complete;
        let empty_delta = || Delta {
            from: complete,
            to: complete,
            ..Delta::default()
        };
        let delta = acked_revision.and_then(|a| self.config.delta(a));
        let parts = parts::split(
            &delta.unwrap_or_else(empty_delta),
            Some(&self.coordinator()),
        );
        let timeout = PART_TIMEOUT * u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let _slot = self.slots.acquire().await;
        let mut client = ConfigSyncClient::new(self.ctx.pool.channel(self.address));
        let call = client.push(stream::iter(parts));
        let reply = time::timeout(timeout, call).await;
        let reply = reply.map_err(|_| Error::Timeout)??;
        Ok(reply.into_inner())
    }

    fn coordinator(&self) -> pb::Coordinator {
        pb::Coordinator {
            epoch: self.role.borrow().epoch,
            vm: self.ctx.settings.vm.clone(),
            address: self.ctx.settings.control_address().to_string(),
        }
    }
}
