//! An answer other than success from another target, while the first one is silent.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kept_calls::{Deployment, Kind, Routes};
use standins::users::{self, Pause, Point, Silence};
use tokio::net::TcpListener;
use tokio::time;

#[path = "support/kept_calls.rs"]
mod kept_calls;
#[path = "support/users_fleet.rs"]
mod users_fleet;

/// Time that a caller allows for an answer.
const DEADLINE: Duration = Duration::from_secs(6);
const VM: u8 = 30;

async fn not_found(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::from("no such item"));
    *response.status_mut() = StatusCode::NOT_FOUND;
    for (name, value) in request.headers() {
        if name == "x-corianderramp-request-id" {
            response.headers_mut().insert(name, value.clone());
        }
    }
    Ok(response)
}

async fn serve(listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(
            http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(not_found)),
        );
    }
}

/// A caller got status 504 at its deadline, though another target had answered its request with
/// status 404 while the first one was silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_of_another_target_reaches_the_caller() {
    let deployment = Deployment::start(0, 0, 1, Routes::default()).await;
    let fleet = &deployment.fleet;
    let address = fleet.net.address(VM, 9000);
    tokio::spawn(serve(TcpListener::bind(address).await.unwrap()));
    let spec = users::target_spec("desk", address, 0);
    fleet.store.put("servers", "i-30", spec);
    let start = Instant::now();
    for number in 0..3 {
        let mut caller = deployment.caller(number);
        while caller.send(Kind::Safe, DEADLINE).await.status != Some(StatusCode::NOT_FOUND) {
            assert!(start.elapsed() < users_fleet::TIMEOUT, "target not used");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    let stopped = &deployment.targets[0];
    stopped.set_pause(Some(Pause {
        every: 1,
        point: Point::Head,
        silence: Silence::Endless,
    }));
    let mut answers = Vec::new();
    while stopped.paused() < 3 && answers.len() < 60 {
        for number in 0..3 {
            answers.push(deployment.caller(number).send(Kind::Safe, DEADLINE).await);
        }
    }
    assert!(stopped.paused() > 0, "no request met the stopped target");
    answers.retain(|a| a.status != Some(StatusCode::NOT_FOUND));
    assert!(answers.is_empty(), "{answers:?}");
}
