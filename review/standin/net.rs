//! Loopback addresses and a small HTTP/1.1 server and client on the standard library.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Loopback addresses 127.a.b.1 to 127.a.b.254 that nobody else uses.
#[derive(Clone, Copy)]
pub struct Subnet {
    a: u8,
    b: u8,
}

impl Subnet {
    /// Takes a subnet on which the ports of a deployment are free.
    pub fn free() -> Option<Self> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.subsec_nanos();
        let seed = nanos / 1000 + std::process::id();
        (0..50).find_map(|i| {
            let n = seed.wrapping_add(i * 7919);
            let net = Self {
                a: 64 + (n % 160) as u8,
                b: 1 + (n / 160 % 250) as u8,
            };
            let ports = [7700, 8002, 8005, 8007, 9000, 9464];
            let is_free = [1, 2, 11, 12, 13, 21, 31].iter().all(|vm| {
                ports.iter().all(|p| TcpListener::bind(net.address(*vm, *p)).is_ok())
            });
            is_free.then_some(net)
        })
    }

    pub fn address(&self, vm: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.a, self.b, vm), port))
    }
}

/// One request as it was read.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.as_str())
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

/// Reads chunks until the last one; `on_part` gets each as it arrives.
fn read_chunks(reader: &mut impl BufRead, mut on_part: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let size = read_line(reader)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk size"))?;
        let mut part = vec![0; size];
        reader.read_exact(&mut part)?;
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
        on_part(&part);
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().ok_or_else(|| bad("request line"))?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        read_chunks(reader, |part| body.extend_from_slice(part))?;
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| bad("content-length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Writes a complete response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: impl AsRef<[u8]>,
) -> io::Result<()> {
    let body = body.as_ref();
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves requests at `address` with a thread for each connection, until the process ends or
/// `is_up` is false. An error of the handler closes the connection.
pub fn serve<F, U>(address: SocketAddr, is_up: U, handler: F) -> io::Result<()>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    U: Fn() -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while is_up() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handler = handler.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                loop {
                    let request = read_request(&mut reader)?;
                    handler(&request, &mut stream)?;
                }
            });
        }
    });
    Ok(())
}

/// What a client saw of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if the channel ended before the head.
    pub status: u16,
    pub is_complete: bool,
    pub stamp: String,
    pub body: String,
    pub retry_after: String,
    pub seconds: f64,
}

/// Sends `text`, a whole request, on `stream` and reads the answer, for `limit` at most.
pub fn exchange(stream: &mut TcpStream, text: &str, limit: Duration) -> Answer {
    let begin = Instant::now();
    let mut answer = Answer {
        status: 0,
        is_complete: false,
        stamp: String::new(),
        body: String::new(),
        retry_after: String::new(),
        seconds: 0.0,
    };
    let result = read_answer(stream, text, limit, &mut answer);
    answer.is_complete = result.is_ok();
    answer.seconds = begin.elapsed().as_secs_f64();
    answer
}

fn read_answer(
    stream: &mut TcpStream,
    text: &str,
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let headers = read_headers(&mut reader)?;
    answer.status = status.ok_or_else(|| bad("status line"))?;
    answer.stamp = find(&headers, "x-corianderramp-server-stamp").unwrap_or_default().to_owned();
    answer.retry_after = find(&headers, "retry-after").unwrap_or_default().to_owned();
    if is_chunked(&headers) {
        let body = &mut answer.body;
        return read_chunks(&mut reader, |p| body.push_str(&String::from_utf8_lossy(p)));
    }
    let length = find(&headers, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    answer.body = String::from_utf8_lossy(&body).into_owned();
    Ok(())
}
