//! The origin and relay stand-ins must inject exactly the faults and bandwidth
//! limits that the failure tests rely on.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use corianderramp::digest;
use standins::content::Content;
use standins::harness::Subnet;
use standins::origin::{self, Origin};
use standins::relay::{self, Relay, Rule};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

const TIMEOUT: Duration = Duration::from_secs(20);

fn content() -> Content {
    Content {
        model: "shake-8b".into(),
        version: "v1".into(),
        base: None,
        size: 200_000,
        chunk_size: 65_536,
        seed: 7,
        parent: None,
        changed_every: 1,
    }
}

async fn get(origin: &Origin, digest: digest::Digest, timeout: Duration) -> Vec<u8> {
    let mut stream = TcpStream::connect(origin.address).await.unwrap();
    let head = format!(
        "GET /v2/shake-8b/blobs/sha256:{digest} HTTP/1.1\r\nhost: o\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let _ = time::timeout(timeout, stream.read_to_end(&mut response)).await;
    let end = response.windows(4).position(|w| w == b"\r\n\r\n");
    response.split_off(end.map_or(0, |e| e + 4))
}

/// Guards against failure tests that pass because no fault was injected.
#[tokio::test]
async fn origin_serves_counts_and_injects_faults() {
    let content = content();
    let manifest = content.manifest().spec;
    let settings = origin::Settings {
        listen: Subnet::new(0).address(1, 0),
        rate: 0.0,
        models: vec![content],
    };
    let origin = Origin::start(settings).await.unwrap();
    let last = manifest.chunks[3];
    assert_eq!(
        get(&origin, last, TIMEOUT).await.len(),
        200_000 - 3 * 65_536
    );
    let first = manifest.chunks[0];
    assert_eq!(
        digest::Digest::of(&get(&origin, first, TIMEOUT).await),
        first
    );
    // A stalled response lasts until the timeout, so its timeout is short.
    let faults = [
        (origin::Mode::Stall, Duration::from_secs(2)),
        (origin::Mode::Cut, TIMEOUT),
    ];
    for (mode, timeout) in faults {
        origin.set_fault(mode, 1);
        let part = get(&origin, first, timeout).await;
        assert_eq!(part.len(), 32_768, "{mode:?}");
    }
    origin.set_fault(origin::Mode::Corrupt, 1);
    let corrupt = get(&origin, first, TIMEOUT).await;
    assert_eq!(corrupt.len(), 65_536);
    assert_ne!(digest::Digest::of(&corrupt), first);
    let stats = origin.stats();
    let sent = stats.chunks.iter().find(|c| c.digest == first).unwrap();
    assert_eq!((sent.requests, sent.bytes), (4, 2 * 65_536 + 2 * 32_768));
}

async fn listen(subnet: Subnet) -> TcpListener {
    TcpListener::bind(subnet.address(2, 0)).await.unwrap()
}

async fn connect(subnet: Subnet, relay: std::net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(subnet.address(1, 0)).unwrap();
    socket.connect(relay).await.unwrap()
}

fn vm(subnet: Subnet, host: u8, up: f64, ports: Vec<relay::Port>) -> relay::Vm {
    relay::Vm {
        name: format!("vm-{host}"),
        region: format!("region-{host}"),
        address: subnet.ip(host),
        up,
        down: 0.0,
        ports,
    }
}

/// Guards against links that exceed their configured bandwidth, or that close
/// the connection when they should only stop forwarding.
#[tokio::test]
async fn relay_limits_freezes_and_cuts() {
    let subnet = Subnet::new(1);
    let listener = listen(subnet).await;
    let port = relay::Port {
        listen: subnet.address(102, 7000),
        forward: listener.local_addr().unwrap(),
    };
    let settings = relay::Settings {
        control: subnet.address(100, 0),
        vms: vec![
            vm(subnet, 1, 200_000.0, vec![]),
            vm(subnet, 2, 0.0, vec![port]),
        ],
        regions: Vec::new(),
    };
    let relay = Relay::start(settings).await.unwrap();
    let mut sender = connect(subnet, port.listen).await;
    let (mut receiver, _) = listener.accept().await.unwrap();
    let start = Instant::now();
    sender.write_all(&vec![1; 100_000]).await.unwrap();
    let mut buffer = vec![0; 100_000];
    receiver.read_exact(&mut buffer).await.unwrap();
    // The token bucket holds 20 ms of bandwidth, which is 4 kB here.
    assert!(start.elapsed() >= Duration::from_millis(450));
    let stats = relay.stats();
    assert_eq!((stats.vms[0].up, stats.vms[1].down), (100_000, 100_000));

    let rule = |mode| Rule {
        from: "region-1".into(),
        to: "vm-2".into(),
        mode,
    };
    relay.set_rules(vec![rule(relay::Mode::Freeze)]);
    sender.write_all(b"frozen").await.unwrap();
    let frozen = time::timeout(Duration::from_millis(300), receiver.read(&mut buffer)).await;
    assert!(
        frozen.is_err(),
        "a frozen link must neither forward data nor close"
    );
    relay.set_rules(Vec::new());
    receiver.read_exact(&mut buffer[..6]).await.unwrap();
    assert_eq!(&buffer[..6], b"frozen");
    relay.set_rules(vec![rule(relay::Mode::Cut)]);
    let end = time::timeout(TIMEOUT, receiver.read(&mut buffer))
        .await
        .unwrap();
    assert!(matches!(end, Ok(0) | Err(_)), "a cut link must close");
}
