//! Loopback network between in-process nodes: counts bytes and cuts links.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Bytes that a node sent and received on control connections, without the
/// headers of TCP and IP.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// State of the network, shared by all nodes.
#[derive(Clone, Debug, Default)]
pub struct Net {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Groups of a partition; nodes of different groups can't reach each other,
    /// and a node without group reaches all.
    groups: Vec<(IpAddr, u32)>,
    traffic: Vec<(IpAddr, Traffic)>,
    wakers: Vec<Waker>,
}

impl Net {
    /// Puts `nodes` into a group of a partition. Connections to other groups
    /// fall silent without closing.
    pub fn isolate(&self, nodes: &[IpAddr], group: u32) {
        let mut inner = self.inner.lock();
        inner.groups.retain(|(ip, _)| !nodes.contains(ip));
        inner.groups.extend(nodes.iter().map(|ip| (*ip, group)));
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        let mut inner = self.inner.lock();
        inner.groups.clear();
        inner.wakers.drain(..).for_each(Waker::wake);
    }

    /// Traffic of a node so far.
    #[must_use]
    pub fn traffic(&self, node: IpAddr) -> Traffic {
        let inner = self.inner.lock();
        let found = inner.traffic.iter().find(|(ip, _)| *ip == node);
        found.map(|(_, t)| *t).unwrap_or_default()
    }

    /// Passes when `a` and `b` can reach each other, else waits for the heal.
    fn poll_open(&self, a: IpAddr, b: IpAddr, cx: &Context<'_>) -> Poll<()> {
        let mut inner = self.inner.lock();
        let group = |ip| inner.groups.iter().find(|(i, _)| *i == ip).map(|(_, g)| *g);
        match (group(a), group(b)) {
            (Some(x), Some(y)) if x != y => {
                inner.wakers.push(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    fn count(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        let mut inner = self.inner.lock();
        inner.of(from).sent += bytes as u64;
        inner.of(to).received += bytes as u64;
    }
}

impl Inner {
    fn of(&mut self, ip: IpAddr) -> &mut Traffic {
        let place = self.traffic.binary_search_by_key(&ip, |(i, _)| *i);
        let i = place.unwrap_or_else(|i| {
            self.traffic.insert(i, (ip, Traffic::default()));
            i
        });
        &mut self.traffic[i].1
    }
}

/// Connection accepted by a node.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    net: Net,
    client: IpAddr,
    server: IpAddr,
}

impl Stream {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// Fails when the connection is already closed.
    pub fn new(stream: TcpStream, net: Net) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            client: stream.peer_addr()?.ip(),
            server: stream.local_addr()?.ip(),
            tcp: stream,
            net,
        })
    }
}

impl Connected for Stream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.tcp.connect_info()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.net.poll_open(self.client, self.server, cx));
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut self.tcp).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        self.net.count(self.client, self.server, read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.net.poll_open(self.client, self.server, cx));
        let written = std::task::ready!(Pin::new(&mut self.tcp).poll_write(cx, data))?;
        self.net.count(self.server, self.client, written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
