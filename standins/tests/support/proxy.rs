//! Connection between a client and a server that can fall silent without a close.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Proxy that passes on nothing while it is paused.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Whether what clients send is held back.
    holds_calls: watch::Sender<bool>,
    /// Whether what the server sends is held back.
    holds_answers: watch::Sender<bool>,
    /// Whether the link passes little in each direction.
    is_slow: Arc<AtomicBool>,
}

/// Pause of a slow link after each part.
const SLOW_PAUSE: Duration = Duration::from_millis(60);

impl Proxy {
    /// Starts a proxy at `address` for the server at `server`.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> Self {
        let proxy = Self {
            holds_calls: watch::Sender::new(false),
            holds_answers: watch::Sender::new(false),
            is_slow: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let Self {
            holds_calls,
            holds_answers,
            is_slow,
        } = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(server).await else {
                    continue;
                };
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                tokio::spawn(pass(
                    from_client,
                    to_server,
                    holds_calls.subscribe(),
                    is_slow.clone(),
                ));
                tokio::spawn(pass(
                    from_server,
                    to_client,
                    holds_answers.subscribe(),
                    is_slow.clone(),
                ));
            }
        });
        proxy
    }

    pub fn set_paused(&self, is_paused: bool) {
        self.holds_calls.send_replace(is_paused);
        self.holds_answers.send_replace(is_paused);
    }

    /// Passes on about a quarter of a megabyte a second on each connection from now on.
    pub fn slow_down(&self) {
        self.is_slow.store(true, Ordering::Relaxed);
    }

    /// Passes on nothing more of what clients send; the server's answers still arrive.
    pub fn hold_calls(&self) {
        self.holds_calls.send_replace(true);
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut paused: watch::Receiver<bool>,
    is_slow: Arc<AtomicBool>,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let _ = paused.wait_for(|paused| !*paused).await;
        if is_slow.load(Ordering::Relaxed) {
            time::sleep(SLOW_PAUSE).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
