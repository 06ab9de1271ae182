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

/// Interval of pushes to entries without a change; they take the coordinator
/// for lost without them.
pub const ENTRY_HEARTBEAT: Duration = Duration::from_secs(1);
/// Interval of pushes to agents without a change, which only keep the count of
/// reachable processes fresh.
pub const AGENT_HEARTBEAT: Duration = Duration::from_secs(5);
/// Time for a push without entries; each further part adds to it.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed push.
const RETRY: Duration = Duration::from_millis(500);
/// Pushes in progress at the same time; bounds the memory for snapshots.
const MAX_PUSHES: usize = 32;

/// What the coordinator knows about a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
    /// Name of the VM.
    pub vm: String,
    /// Whether the newest push succeeded.
    pub reachable: bool,
    /// Revision that it has confirmed.
    pub acked: u64,
}

/// Processes that are pushed to, sorted by VM.
#[derive(Clone, Debug, Default)]
pub struct Processes {
    rows: Arc<Mutex<Vec<Process>>>,
}

impl Processes {
    /// Copy of all rows.
    #[must_use]
    pub fn all(&self) -> Vec<Process> {
        self.rows.lock().clone()
    }

    fn set(&self, process: Process) {
        let mut rows = self.rows.lock();
        match rows.binary_search_by(|r| r.vm.cmp(&process.vm)) {
            Ok(i) => rows[i] = process,
            Err(i) => rows.insert(i, process),
        }
    }

    fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.rows.lock().retain(|r| keep(&r.vm));
    }
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"), context(false))]
    Call { source: Status },
    #[snafu(display("no answer in time"))]
    Silent,
}

/// Pushes to one process.
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

/// A running pusher.
#[derive(Debug)]
struct Running {
    vm: String,
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps one pusher for each process while this process is active.
pub(super) async fn run<C: Clock>(
    ctx: daemon::Context,
    clock: C,
    config: config::Handle,
    mut role: watch::Receiver<Role>,
    processes: Processes,
) {
    let slots = Arc::new(Semaphore::new(MAX_PUSHES));
    let mut revisions = config.subscribe();
    let mut running: Vec<Running> = Vec::new();
    loop {
        let wanted = if role.borrow_and_update().active {
            wanted(&ctx)
        } else {
            Vec::new()
        };
        processes.retain(|vm| wanted.iter().any(|(w, ..)| w == vm));
        running.retain(|r| {
            wanted
                .iter()
                .any(|(vm, a, _)| (vm, a) == (&r.vm, &r.address))
        });
        for (vm, address, heartbeat) in wanted {
            if running.iter().any(|r| r.vm == vm) {
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
            let task = tokio::spawn(pusher.run()).abort_handle();
            running.push(Running { vm, address, task });
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

/// All other processes of the data centre, leaving ones included.
fn wanted(ctx: &daemon::Context) -> Vec<(String, SocketAddr, Duration)> {
    let own = |v: &Object<vm::Vm>| v.metadata.name == ctx.settings.vm;
    let view = ctx.state.view();
    let near = view
        .vms
        .iter()
        .filter(|v| v.spec.data_center == ctx.settings.data_center && !own(v));
    near.map(|v| {
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
        let mut acked = None;
        loop {
            match self.push(acked).await {
                Ok(reply) => {
                    let complete = reply.complete;
                    if acked.is_some() {
                        self.note_rival(reply.coordinator);
                    }
                    acked = Some(complete);
                    self.note(true, complete);
                    self.wait(&mut revisions, complete).await;
                }
                Err(e) => {
                    log::debug!(vm = self.vm.as_str(), error:% = e; "push failed");
                    self.ctx.pool.remove(self.address);
                    self.note(false, acked.unwrap_or_default());
                    time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Waits for a change that the process lacks, or for the next heartbeat.
    async fn wait(&self, revisions: &mut watch::Receiver<Revisions>, acked: u64) {
        let change = revisions.wait_for(|r| r.changed > acked);
        let _ = time::timeout(self.heartbeat, change).await;
    }

    fn note(&self, reachable: bool, acked: u64) {
        self.processes.set(Process {
            vm: self.vm.clone(),
            reachable,
            acked,
        });
    }

    /// Another coordinator pushed to the process after this one did, so it is
    /// active too.
    fn note_rival(&self, known: Option<pb::Coordinator>) {
        let epoch = self.role.borrow().epoch;
        let rival = known.filter(|c| c.vm != self.ctx.settings.vm && c.epoch >= epoch);
        if let Some(rival) = rival {
            self.config.record_contact(rival, self.clock.now());
        }
    }

    /// Sends what the process lacks. The first push asks only for its revision,
    /// since most processes already have the configuration at a takeover.
    async fn push(&self, acked: Option<u64>) -> Result<pb::PushReply, Error> {
        let complete = self.config.revisions().complete;
        let nothing = || Delta {
            from: complete,
            to: complete,
            ..Delta::default()
        };
        let delta = acked.and_then(|a| self.config.delta(a));
        let parts = parts::split(&delta.unwrap_or_else(nothing), Some(&self.coordinator()));
        let timeout = PUSH_TIMEOUT * u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let _slot = self.slots.acquire().await;
        let mut client = ConfigSyncClient::new(self.ctx.pool.channel(self.address));
        let call = client.push(stream::iter(parts));
        let reply = time::timeout(timeout, call).await;
        let reply = reply.map_err(|_| Error::Silent)??;
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
