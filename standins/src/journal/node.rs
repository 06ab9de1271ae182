//! An entry with a journal, on a thread of its own that can be paused or killed.

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

/// Service that the operations belong to.
pub const SERVICE_NAME: &str = "pitch-ledger";

/// How a node is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of its VM.
    pub vm: String,
    /// Address at which other nodes reach it.
    pub advertise_address: SocketAddr,
    /// Source address of its connections.
    pub source_address: IpAddr,
    /// Times and shards.
    pub journal: settings::Journal,
    /// Shared state, which the run fills.
    pub state: Arc<SharedState>,
    /// Way to the platform.
    pub object_client: Client,
    /// Executing service.
    pub service: Arc<RecordingService>,
    /// Seed of pauses on the request path.
    pub seed: u64,
    /// Share of pauses at each point of the request path.
    pub pause_probability: f64,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// How it was set up.
    pub setup: Setup,
    /// Its journal.
    pub journal: journal::Handle,
    runtime: runtime::Handle,
    kill: CancellationToken,
    random: Arc<Mutex<StdRng>>,
}

/// A call that a caller makes.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Operation.
    pub key: u64,
    /// Identifies the call.
    pub id: u64,
    /// End of the call.
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

    /// Ends the node at once; nothing more of it runs.
    pub fn kill(&self) {
        self.kill.cancel();
    }

    /// Pauses the whole node.
    pub fn pause(&self, time: Duration) {
        self.runtime.spawn(async move { thread::sleep(time) });
    }

    /// Hands the node's shards over; false when it took longer than `limit`.
    pub async fn hand_over(&self, limit: Duration) -> bool {
        let journal = self.journal.clone();
        let task = self.runtime.spawn(async move {
            tokio::time::timeout(limit, journal.hand_over())
                .await
                .is_ok()
        });
        task.await.unwrap_or(false)
    }

    /// Sends a call through the node's request path. The receiver fails when
    /// the node is killed.
    #[must_use]
    pub fn call(&self, call: Call) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        let path = RequestPath {
            journal: self.journal.clone(),
            service: self.setup.service.clone(),
            random: self.random.clone(),
            pause_probability: self.setup.pause_probability,
        };
        self.runtime.spawn(async move {
            let _ = sender.send(path.handle(call).await);
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
    let mut settings = settings.expect("the settings are complete");
    settings.journal = setup.journal.clone();
    let ctx = Context {
        settings: Arc::new(settings),
        state: setup.state.clone(),
        pool: Arc::new(control::Pool::new(Some(setup.source_address))),
        boot: objects::new_id(),
        stop: stop.clone(),
    };
    let (journal, server) = journal::start(&ctx, clock::System, setup.object_client.clone());
    let listener = TcpListener::from_std(listener).expect("the listener is usable");
    let routes = Routes::new(server);
    tokio::spawn(control::serve(listener, routes, stop.clone()));
    Handles {
        journal,
        runtime: runtime::Handle::current(),
    }
}

/// The part of an entry's request path that concerns the journal.
struct RequestPath {
    journal: journal::Handle,
    service: Arc<RecordingService>,
    random: Arc<Mutex<StdRng>>,
    pause_probability: f64,
}

impl RequestPath {
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

    /// Pauses the whole node at this point of the request path.
    fn pause(&self) {
        let time = {
            let mut random = self.random.lock();
            let pause = random.random_bool(self.pause_probability);
            pause.then(|| Duration::from_millis(random.random_range(10..700)))
        };
        if let Some(time) = time {
            thread::sleep(time);
        }
    }
}

fn parse_receipt(receipt: &Receipt) -> Outcome {
    let value: Option<serde_json::Value> = serde_json::from_slice(&receipt.body).ok();
    let booking = value.and_then(|v| v["booking"].as_u64());
    let booking = booking.and_then(|b| u32::try_from(b).ok());
    booking.map_or(Outcome::Unknown, Outcome::Done)
}
