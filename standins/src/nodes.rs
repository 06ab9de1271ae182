//! Nodes with the real control plane, many in one process, for failure tests
//! and measurements. Each node has its own thread, so that it can be paused
//! and its processor time measured.

use std::fs;
use std::net::IpAddr;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use corianderramp::burn::Counter;
use corianderramp::clock::System;
use corianderramp::config::{self, View};
use corianderramp::control;
use corianderramp::coordinator;
use corianderramp::daemon;
use corianderramp::objects::{self, Client};
use corianderramp::resource::vm;
use corianderramp::settings::Settings;
use corianderramp::shared_state::SharedState;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::transport::Server;

use crate::toolkit;

pub mod net;

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// Outcomes that the node counted.
    pub counter: Counter,
    runtime: runtime::Handle,
    stop: CancellationToken,
    thread: i32,
}

/// What the node's thread tells once it runs.
struct Started {
    runtime: runtime::Handle,
    thread: i32,
}

impl Node {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// Fails when the control address can't be listened at.
    pub fn start(settings: Settings, net: &net::Net) -> Result<Self, toolkit::Error> {
        let state = Arc::new(SharedState::default());
        let counter = Counter::default();
        let stop = CancellationToken::new();
        let (sender, started) = mpsc::channel();
        let parts = (settings.clone(), state.clone(), counter.clone());
        let (end, net) = (stop.clone(), net.clone());
        thread::spawn(move || run_thread(parts, &net, &end, &sender));
        let address = settings.listen.control;
        let started = started.recv().map_err(|_| toolkit::Error::Unusable {
            reason: format!("node at {address} did not start"),
        })??;
        Ok(Self {
            settings,
            state,
            counter,
            runtime: started.runtime,
            stop,
            thread: started.thread,
        })
    }

    /// Configuration in force at the node.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.state.view()
    }

    /// Name of the VM.
    #[must_use]
    pub fn vm(&self) -> &str {
        &self.settings.vm
    }

    /// Address of the node's control connections.
    #[must_use]
    pub fn ip(&self) -> IpAddr {
        self.settings.listen.control.ip()
    }

    /// Whether the node takes itself for the coordinator.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        let known = self.state.coordinator.borrow();
        known.as_ref().is_some_and(|c| c.vm == self.settings.vm)
    }

    /// Stops everything that the node does for `time`, as when its VM is paused.
    /// Its connections stay open.
    pub fn pause(&self, time: Duration) {
        // The runtime has one thread, which this task blocks.
        self.runtime.spawn(async move { thread::sleep(time) });
    }

    /// Ends the node at once, as when its VM dies.
    pub fn kill(self) {
        self.stop.cancel();
    }

    /// Processor time that the node has used.
    #[must_use]
    pub fn processor_time(&self) -> Duration {
        let path = format!("/proc/self/task/{}/schedstat", self.thread);
        let text = fs::read_to_string(path).unwrap_or_default();
        let nanoseconds = text.split(' ').next().and_then(|n| n.parse().ok());
        Duration::from_nanos(nanoseconds.unwrap_or_default())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

type Parts = (Settings, Arc<SharedState>, Counter);

fn run_thread(
    parts: Parts,
    net: &net::Net,
    stop: &CancellationToken,
    started: &mpsc::Sender<Result<Started, toolkit::Error>>,
) {
    let built = runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = built else {
        return;
    };
    let address = parts.0.listen.control;
    let listener = runtime.block_on(TcpListener::bind(address));
    let listener = listener.map_err(|source| toolkit::Error::Io {
        what: address.to_string().into(),
        source,
    });
    let listener = match listener {
        Ok(listener) => listener,
        Err(e) => {
            let _ = started.send(Err(e));
            return;
        }
    };
    let _ = started.send(Ok(Started {
        runtime: runtime.handle().clone(),
        thread: thread_id(),
    }));
    runtime.block_on(async {
        tokio::select! {
            () = stop.cancelled() => {}
            () = serve(parts, listener, net.clone()) => {}
        }
    });
    // Dropping the runtime ends all tasks and closes all connections.
}

/// Number of the calling thread in `/proc/self/task`.
fn thread_id() -> i32 {
    let link = fs::read_link("/proc/thread-self").unwrap_or_default();
    let name = link.file_name().and_then(|n| n.to_str());
    name.and_then(|n| n.parse().ok()).unwrap_or_default()
}

async fn serve((settings, state, counter): Parts, listener: TcpListener, net: net::Net) {
    let ctx = daemon::Context {
        pool: Arc::new(control::Pool::new(settings.bind)),
        settings: Arc::new(settings),
        state,
        boot: objects::new_id(),
        stop: CancellationToken::new(),
    };
    let (config, sync) = config::start(&ctx, System);
    let mut routes = Routes::new(sync);
    if let (vm::Role::Entry, Some(remote)) = (ctx.settings.role, &ctx.settings.platform) {
        let client = Client::new(remote.address, ctx.settings.bind);
        let reports = coordinator::start(&ctx, System, &client, counter, &config);
        routes = routes.add_service(reports);
    }
    let incoming =
        TcpListenerStream::new(listener).map(move |stream| net::Stream::new(stream?, net.clone()));
    let server = Server::builder()
        .add_routes(routes)
        .serve_with_incoming(incoming);
    if let Err(e) = server.await {
        log::error!(error:% = e; "node stopped");
    }
}
