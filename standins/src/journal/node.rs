//! Entry with a real journal on its own thread, which can be paused or killed.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use corianderramp::clock;
use corianderramp::control;
use corianderramp::daemon::Context;
use corianderramp::digest;
use corianderramp::journal::{self, Operation, Receipt, Reservation};
use corianderramp::objects;
use corianderramp::settings::{self, Settings};
use corianderramp::shared_state::SharedState;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use super::recorder::{Execution, Outcome, RecordingService};
use super::store::Client;

/// Name of the service that the operations belong to.
pub const SERVICE_NAME: &str = "pitch-ledger";

/// Settings and dependencies of a node.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of its VM.
    pub vm: String,
    /// Address at which other nodes reach it.
    pub advertise_address: SocketAddr,
    /// Source address of its connections to other nodes.
    pub source_address: IpAddr,
    /// Journal settings.
    pub journal: settings::Journal,
    /// Process-wide state; the cluster publishes the configuration in it.
    pub state: Arc<SharedState>,
    /// Client of the object API.
    pub object_client: Client,
    /// Service that executes the operations.
    pub service: Arc<RecordingService>,
    /// Seed of the pauses in request handling.
    pub seed: u64,
    /// Probability of a pause at each of the points in request handling where
    /// one can occur.
    pub pause_probability: f64,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Settings and dependencies.
    pub setup: Setup,
    /// Handle of its journal.
    pub journal: journal::Handle,
    runtime: runtime::Handle,
    kill: CancellationToken,
    random: Arc<Mutex<StdRng>>,
}

/// Call of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Key of the operation.
    pub key: u64,
    /// Identifier of the call.
    pub id: u64,
    /// Deadline for the journal's reservation.
    pub deadline: Instant,
}

struct Handles {
    journal: journal::Handle,
    runtime: runtime::Handle,
}

impl Node {
    /// Starts a node that serves its control port on `listener`.
    ///
    /// # Panics
    /// When the thread can't be started.
    pub async fn start(setup: Setup, listener: std::net::TcpListener) -> Self {
        let kill = CancellationToken::new();
        let (sender, receiver) = oneshot::channel();
        let (token, thread_setup) = (kill.clone(), setup.clone());
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                let handles = start_servers(&thread_setup, listener, &token);
                let _ = sender.send(handles);
                token.cancelled().await;
            });
            runtime.shutdown_background();
        });
        let handles = receiver.await.expect("the node's thread started");
        Self {
            random: Arc::new(Mutex::new(StdRng::seed_from_u64(setup.seed))),
            setup,
            journal: handles.journal,
            runtime: handles.runtime,
            kill,
        }
    }

    /// Stops the node without a graceful shutdown: its tasks are dropped.
    pub fn kill(&self) {
        self.kill.cancel();
    }

    /// Blocks the node's only thread for `duration`.
    pub fn pause(&self, duration: Duration) {
        self.runtime.spawn(async move { thread::sleep(duration) });
    }

    /// Hands the node's shards over. Returns `false` when that takes longer than
    /// `timeout` or the node is killed.
    pub async fn hand_over(&self, timeout: Duration) -> bool {
        let journal = self.journal.clone();
        let task = self.runtime.spawn(async move {
            tokio::time::timeout(timeout, journal.hand_over())
                .await
                .is_ok()
        });
        task.await.unwrap_or(false)
    }

    /// Handles a call on the node's thread. The receiver fails when the node is
    /// killed.
    #[must_use]
    pub fn call(&self, call: Call) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        let handler = RequestHandler {
            journal: self.journal.clone(),
            service: self.setup.service.clone(),
            random: self.random.clone(),
            pause_probability: self.setup.pause_probability,
        };
        self.runtime.spawn(async move {
            let _ = sender.send(handler.handle(call).await);
        });
        receiver
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_servers(
    setup: &Setup,
    listener: std::net::TcpListener,
    stop: &CancellationToken,
) -> Handles {
    let text = format!(
        "role = 'entry'\nvm = '{}'\ndata_center = 'cb-a'\nregion = 'central-belt'\n\
         [listen]\ncallers = '{a}'\ncontrol = '{a}'\noperators = '{a}'\n\
         [platform]\naddress = '{a}'\n",
        setup.vm,
        a = setup.advertise_address
    );
    let settings = Settings::parse(&text, Path::new("node.toml"));
    let mut settings = settings.expect("the settings are valid");
    settings.journal = setup.journal.clone();
    let ctx = Context {
        settings: Arc::new(settings),
        state: setup.state.clone(),
        pool: Arc::new(control::Pool::new(Some(setup.source_address))),
        boot: objects::new_id(),
        stop: stop.clone(),
    };
    let (journal, server) = journal::start(&ctx, clock::System, setup.object_client.clone());
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    let routes = Routes::new(server);
    tokio::spawn(control::serve(listener, routes, stop.clone()));
    Handles {
        journal,
        runtime: runtime::Handle::current(),
    }
}

/// The journal's part of an entry's request handling.
struct RequestHandler {
    journal: journal::Handle,
    service: Arc<RecordingService>,
    random: Arc<Mutex<StdRng>>,
    pause_probability: f64,
}

impl RequestHandler {
    async fn handle(&self, call: Call) -> Outcome {
        self.pause();
        let operation = Operation {
            account: "ayr".into(),
            service: SERVICE_NAME.into(),
            key: format!("booking-{}", call.key),
            fingerprint: digest::Digest::of(&call.key.to_be_bytes()),
        };
        let begin = Instant::now();
        let reservation = self.journal.reserve(operation, call.deadline).await;
        self.service.record_reservation(begin.elapsed());
        let permit = match reservation {
            Reservation::Fresh(permit) => permit,
            Reservation::Done(receipt) => return parse_receipt(&receipt),
            Reservation::Unavailable { .. } => return Outcome::NotRun,
            _ => return Outcome::Unknown,
        };
        self.pause();
        match self.service.execute(call.key, call.id).await {
            Execution::Completed(receipt) => {
                self.pause();
                permit.complete(Receipt {
                    status: 201,
                    content_type: "application/json".into(),
                    body: format!("{{\"booking\":{receipt}}}").into(),
                    truncated: false,
                });
                Outcome::Done(receipt)
            }
            Execution::Refused => {
                self.pause();
                permit.abort();
                Outcome::NotRun
            }
            Execution::ResponseLost => Outcome::Unknown,
        }
    }

    /// Blocks the node's thread for a random time with `pause_probability`.
    fn pause(&self) {
        let duration = {
            let mut random = self.random.lock();
            let is_paused = random.random_bool(self.pause_probability);
            is_paused.then(|| Duration::from_millis(random.random_range(10..700)))
        };
        if let Some(duration) = duration {
            thread::sleep(duration);
        }
    }
}

fn parse_receipt(receipt: &Receipt) -> Outcome {
    let value: Option<serde_json::Value> = serde_json::from_slice(&receipt.body).ok();
    let booking = value.and_then(|v| v["booking"].as_u64());
    let booking = booking.and_then(|b| u32::try_from(b).ok());
    booking.map_or(Outcome::Unknown, Outcome::Done)
}
