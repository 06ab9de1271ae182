//! What hosts send when many gateways report the death of the same target.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use corianderramp::node::message::{self, Body, Subscribe, TargetDeath};
use standins::users::Behavior;
use tokio::net::UdpSocket;
use tokio::time;

use users_fleet::{Fleet, TIMEOUT};

#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Numbers of the VMs whose gateways subscribe; the first [`REPORTERS`] report the death.
const GATEWAYS: std::ops::Range<u8> = 100..200;
const REPORTERS: usize = 40;
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1);
/// Most messages with the death that a gateway gets: far fewer than one for each reporter, also
/// when the reports come late on a busy machine.
const MAX_MESSAGES: usize = REPORTERS / 2;
/// Time in which all messages have arrived.
const MESSAGE_TIME: Duration = Duration::from_secs(1);
/// Port of messages.
const PORT: u16 = 7700;

/// Sends a subscription until the host answers.
async fn subscribe(socket: &UdpSocket, host: SocketAddr, gateway_id: u64) {
    let subscribe = message::encode(Body::Subscribe(Subscribe { gateway_id }));
    let mut buffer = [0; 2_048];
    let answered = async {
        loop {
            socket.send_to(&subscribe, host).await.unwrap();
            let received = time::timeout(Duration::from_millis(200), socket.recv(&mut buffer));
            if received.await.is_ok_and(|r| r.is_ok()) {
                return;
            }
        }
    };
    let answered = time::timeout(TIMEOUT, answered).await;
    assert!(
        answered.is_ok(),
        "the host does not answer gateway {gateway_id}"
    );
}

/// Parts of each message with the death that arrives in [`MESSAGE_TIME`].
async fn receive_deaths(socket: &UdpSocket) -> Vec<Vec<u64>> {
    let mut deaths = Vec::new();
    let mut buffer = [0; 2_048];
    let receive = async {
        while let Ok(length) = socket.recv(&mut buffer).await {
            if let Some(Body::TargetDeath(death)) = message::decode(&buffer[..length]) {
                deaths.push(death.parts);
            }
        }
    };
    // The sockets stay open, so that this always ends by the limit.
    let _ = time::timeout(MESSAGE_TIME, receive).await;
    deaths
}

/// With dozens of requests in progress at a target, as many gateways report its death at the same
/// moment. Told of each report, all gateways would get messages by the square of their number.
#[tokio::test]
async fn death_reported_by_many_gateways_takes_few_messages() {
    let fleet = Fleet::start(0).await;
    fleet.target(10, "llm", 1, Behavior::Stream(1, 10)).await;
    fleet.host(10);
    let host = fleet.net.address(10, PORT);
    let mut sockets = Vec::new();
    for vm in GATEWAYS {
        let socket = UdpSocket::bind(fleet.net.address(vm, PORT)).await.unwrap();
        subscribe(&socket, host, vm.into()).await;
        sockets.push(socket);
    }
    for (part, socket) in (0..).zip(&sockets[..REPORTERS]) {
        let death = TargetDeath {
            id: 1,
            age_ms: 100,
            parts: vec![part],
            process: 0,
        };
        let report = message::encode(Body::TargetDeath(death));
        socket.send_to(&report, host).await.unwrap();
        time::sleep(REPORT_INTERVAL).await;
    }
    let received = sockets.iter().map(receive_deaths);
    let received = futures_util::future::join_all(received).await;
    let all: Vec<u64> = (0..REPORTERS as u64).collect();
    for (i, deaths) in received.iter().enumerate() {
        let count = deaths.len();
        assert!(count <= MAX_MESSAGES, "gateway {i} got {count} messages");
        let mut parts = deaths.concat();
        parts.sort_unstable();
        parts.dedup();
        assert_eq!(parts, all, "gateway {i}");
    }
}
