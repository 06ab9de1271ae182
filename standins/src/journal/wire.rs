//! Links between entries that can be cut: the connections stay open and carry
//! no data.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Interval at which a cut link looks whether it is restored.
const POLL: Duration = Duration::from_millis(10);

/// Two ends between which no data passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cut {
    /// Source address of the connecting process.
    pub from: IpAddr,
    /// Address at which the other process is reached.
    pub to: SocketAddr,
}

/// The cuts in force, shared by all relays.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Mutex<Vec<Cut>>>);

impl Cuts {
    /// Cuts a link.
    pub fn add(&self, cut: Cut) {
        self.0.lock().push(cut);
    }

    /// Restores a link.
    pub fn remove(&self, cut: Cut) {
        self.0.lock().retain(|c| *c != cut);
    }

    async fn wait(&self, cut: Cut) {
        while self.0.lock().contains(&cut) {
            time::sleep(POLL).await;
        }
    }
}

/// Relays connections from `listener` to `target` until it is dropped.
pub async fn relay(listener: TcpListener, target: SocketAddr, cuts: Cuts) {
    let Ok(to) = listener.local_addr() else {
        return;
    };
    while let Ok((near, peer)) = listener.accept().await {
        let cut = Cut {
            from: peer.ip(),
            to,
        };
        tokio::spawn(connect(near, target, cut, cuts.clone()));
    }
}

async fn connect(near: TcpStream, target: SocketAddr, cut: Cut, cuts: Cuts) {
    cuts.wait(cut).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = copy(near_read, far_write, cut, cuts.clone());
    let down = copy(far_read, near_write, cut, cuts);
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    cut: Cut,
    cuts: Cuts,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        cuts.wait(cut).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
