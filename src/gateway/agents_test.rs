use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time;

use super::{AgentClient, SlotCriteria};
use crate::fleet::rank::Rank;
use crate::node::message::{self, Body, SlotReply};

/// Time limit for expected messages; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

const CRITERIA: SlotCriteria = SlotCriteria {
    output_tokens: 0,
    left: Duration::ZERO,
    is_returning: false,
    priority: Rank::new(1),
    objective: Duration::from_millis(400),
    prompt_tokens: 1,
    immediate_only: true,
    limit: None,
    lifetime: 1,
};

/// A client, and the socket and address of the host that it asks.
async fn start() -> (AgentClient, UdpSocket, SocketAddr) {
    let host = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = host.local_addr().unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    (AgentClient::new(socket, 1, address.port()), host, address)
}

async fn receive(host: &UdpSocket) -> Body {
    let mut buffer = [0; 2_048];
    let received = time::timeout(TIMEOUT, host.recv(&mut buffer)).await;
    message::decode(&buffer[..received.unwrap().unwrap()]).unwrap()
}

/// A request that is cancelled while it waits for the reply of a paused host must not keep the
/// slot that the host grants when it goes on, nor an entry in the list of requests.
#[tokio::test]
async fn slot_of_a_cancelled_request_is_released() {
    let (client, host, target) = start().await;
    {
        let request = client.request_slot(target, 7, &CRITERIA);
        tokio::pin!(request);
        tokio::select! {
            biased;
            reply = &mut request => panic!("unexpected reply {reply:?}"),
            body = receive(&host) => assert!(matches!(body, Body::SlotRequest(_))),
        }
    }
    let released = async {
        loop {
            if let Body::SlotRelease(release) = receive(&host).await {
                return release.request_id;
            }
        }
    };
    let released = time::timeout(Duration::from_secs(2), released).await;
    assert_eq!(released.ok(), Some(7), "the slot was not released");
    assert!(client.slots.0.lock().is_empty());
}

/// A slot whose grant arrived must not be released until its request ends.
#[tokio::test]
async fn granted_slot_is_not_released() {
    let (client, host, target) = start().await;
    let answer = async {
        let Body::SlotRequest(request) = receive(&host).await else {
            panic!("no slot request");
        };
        let reply = SlotReply {
            request_id: request.request_id,
            is_granted: true,
            state: None,
            limit_ms: 0,
            urgency: None,
            is_too_long: false,
        };
        client.slots.resolve(request.request_id, reply);
    };
    let (reply, ()) = tokio::join!(client.request_slot(target, 7, &CRITERIA), answer);
    assert!(reply.unwrap().is_granted);
    let mut buffer = [0; 2_048];
    loop {
        let next = time::timeout(Duration::from_millis(200), host.recv(&mut buffer)).await;
        let Ok(Ok(length)) = next else { return };
        let body = message::decode(&buffer[..length]).unwrap();
        assert!(matches!(body, Body::SlotRequest(_)), "{body:?}");
    }
}
