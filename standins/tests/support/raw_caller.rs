//! Caller that writes and reads the bytes of HTTP/1.1 itself, to see how a connection ends.

#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

/// Complete response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Head without the final empty line, in lower case.
    pub head: String,
    pub body: Vec<u8>,
}

/// Why there is no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missing {
    /// The connection ended before the first byte of a response.
    Closed,
    /// The connection ended within the response.
    Cut,
    /// Nothing arrived within the limit.
    Late,
}

/// Connection to a gateway.
pub struct Channel {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: TcpStream::connect(address).await?,
            buffer: Vec::new(),
        })
    }

    /// Opens a connection with a small receive buffer.
    pub async fn open_narrow(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(64 * 1024)?;
        Ok(Self {
            stream: socket.connect(address).await?,
            buffer: Vec::new(),
        })
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads one complete response within `limit`.
    pub async fn answer(&mut self, limit: Duration) -> Result<Answer, Missing> {
        self.paced_answer(limit, Duration::ZERO, usize::MAX).await
    }

    /// Like [`Channel::answer`], but reads at most `piece` bytes per `pause`.
    pub async fn paced_answer(
        &mut self,
        limit: Duration,
        pause: Duration,
        piece: usize,
    ) -> Result<Answer, Missing> {
        let read = async {
            loop {
                if let Some((answer, length)) = parse(&self.buffer) {
                    self.buffer.drain(..length);
                    return Ok(answer);
                }
                let mut bytes = vec![0; piece.min(64 * 1024)];
                let count = self.stream.read(&mut bytes).await.unwrap_or_default();
                if count == 0 {
                    let is_begun = !self.buffer.is_empty();
                    return Err(if is_begun {
                        Missing::Cut
                    } else {
                        Missing::Closed
                    });
                }
                self.buffer.extend_from_slice(&bytes[..count]);
                if !pause.is_zero() {
                    time::sleep(pause).await;
                }
            }
        };
        let read = time::timeout(limit, read).await;
        read.unwrap_or(Err(Missing::Late))
    }
}

/// Returns the first response in `bytes` and its length; `None` if it is not complete.
fn parse(bytes: &[u8]) -> Option<(Answer, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
    };
    let mut at = end + 4;
    let mut body = Vec::new();
    if header("transfer-encoding").is_some() {
        loop {
            let line = bytes[at..].windows(2).position(|w| w == b"\r\n")?;
            let size = std::str::from_utf8(&bytes[at..at + line]).ok()?;
            let size = usize::from_str_radix(size, 16).ok()?;
            at += line + 2;
            body.extend_from_slice(bytes.get(at..at + size)?);
            at += size + 2;
            if bytes.len() < at {
                return None;
            }
            if size == 0 {
                break;
            }
        }
    } else {
        let length: usize = header("content-length")?.parse().ok()?;
        body.extend_from_slice(bytes.get(at..at + length)?);
        at += length;
    }
    Some((Answer { status, head, body }, at))
}

/// Head of a request with the headers that the users' callers send.
pub fn head(method: &str, path: &str, id: &str, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-corianderramp-request-id: {id}\r\n\
        x-corianderramp-deadline-ms: 10000\r\nx-corianderramp-token-count: 100,10\r\n\
        x-corianderramp-model: m0\r\napi-key: key-1\r\n{extra}\r\n"
    )
}
