//! HTTP servers of the simulated platform.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

pub(super) type Error = std::io::Error;
pub(super) type HttpResponse =
    Response<StreamBody<BoxStream<'static, Result<Frame<Bytes>, Error>>>>;

pub(super) fn connection_reset() -> Error {
    std::io::ErrorKind::ConnectionReset.into()
}

pub(super) fn body(
    chunks: Vec<Result<Bytes, Error>>,
) -> StreamBody<BoxStream<'static, Result<Frame<Bytes>, Error>>> {
    let frames = chunks.into_iter().map(|c| c.map(Frame::data));
    StreamBody::new(stream::iter(frames).boxed())
}

pub(super) fn full_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(body(vec![Ok(text.into())]));
    *response.status_mut() = status;
    response
}

/// Value of a query parameter as sent.
pub(super) fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|p| p.0 == name).map(|p| p.1)
}

/// Decoded value of a query parameter, in which `+` stands for a blank.
pub(super) fn query_text(uri: &Uri, name: &str) -> Option<String> {
    Some(decode(&query(uri, name)?.replace('+', " ")))
}

/// Text with its percent escapes resolved.
pub(super) fn decode(text: &str) -> String {
    let decoded = percent_encoding::percent_decode_str(text);
    decoded.decode_utf8_lossy().into_owned()
}

/// Serves requests at `address` with `handler` until the test ends. An error of the handler
/// closes the connection without a response.
pub(super) async fn serve<F, R>(address: SocketAddr, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<HttpResponse, Error>> + Send + 'static,
{
    let (_, is_away) = watch::channel(false);
    serve_while_up(address, handler, is_away).await;
}

/// Like [`serve`], but refuses connections while `is_away`. Each request has an extension
/// that cuts its connection: it stays open, but is no longer read or written.
pub(super) async fn serve_while_up<F, R>(
    address: SocketAddr,
    handler: F,
    mut is_away: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<HttpResponse, Error>> + Send + 'static,
{
    let mut listener = bind(address).await;
    tokio::spawn(async move {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
                Ok(_) = is_away.wait_for(|away| *away) => None,
            };
            if *is_away.borrow() {
                drop(listener);
                let _ = is_away.wait_for(|away| !*away).await;
                listener = bind(address).await;
                continue;
            }
            let Some(stream) = stream else {
                return;
            };
            let handler = handler.clone();
            tokio::spawn(async move {
                let cut = Arc::new(Notify::new());
                let extension = cut.clone();
                let service = service_fn(move |mut request: Request<Incoming>| {
                    request.extensions_mut().insert(extension.clone());
                    handler(request)
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let mut connection = std::pin::pin!(connection);
                tokio::select! {
                    // Tests close connections on purpose.
                    _ = connection.as_mut() => {}
                    () = cut.notified() => std::future::pending().await,
                }
            });
        }
    });
}

async fn bind(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address)
        .await
        .expect("failed to bind the simulated server's address")
}
