//! TCP relays between entries that simulate network partitions: connections on a
//! blocked route stay open and carry no data.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Interval between checks whether a blocked route is open again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Connections from one process to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Source address of the connecting process.
    pub from: IpAddr,
    /// Address of the relay in front of the other process.
    pub to: SocketAddr,
}

/// Routes that are blocked, shared by all relays.
#[derive(Clone, Debug, Default)]
pub struct BlockedRoutes(Arc<Mutex<Vec<Route>>>);

impl BlockedRoutes {
    /// Blocks a route.
    pub fn block(&self, route: Route) {
        self.0.lock().push(route);
    }

    /// Unblocks a route.
    pub fn unblock(&self, route: Route) {
        self.0.lock().retain(|r| *r != route);
    }

    async fn wait_until_open(&self, route: Route) {
        while self.0.lock().contains(&route) {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Accepts connections on `listener` and relays them to `upstream`.
pub async fn relay(listener: TcpListener, upstream: SocketAddr, blocked: BlockedRoutes) {
    let Ok(to) = listener.local_addr() else {
        return;
    };
    while let Ok((client, peer)) = listener.accept().await {
        let route = Route {
            from: peer.ip(),
            to,
        };
        tokio::spawn(relay_connection(client, upstream, route, blocked.clone()));
    }
}

async fn relay_connection(
    client: TcpStream,
    upstream: SocketAddr,
    route: Route,
    blocked: BlockedRoutes,
) {
    blocked.wait_until_open(route).await;
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = copy(client_read, server_write, route, blocked.clone());
    let down = copy(server_read, client_write, route, blocked);
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    route: Route,
    blocked: BlockedRoutes,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        blocked.wait_until_open(route).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
