//! A minimal HTTP server for the stand-ins.

use std::{
    io, net as std_net,
    sync::{self, atomic},
};

use http_body_util::BodyExt as _;
use hyper_util::rt;
use tokio::net;

/// Body of the stand-ins' answers.
pub(crate) type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// Answer of a stand-in.
pub(crate) type Response = hyper::Response<Body>;

/// Request to a stand-in.
pub(crate) type Request = hyper::Request<hyper::body::Incoming>;

/// Place of a request among those of its connection, from 0. A request carries it as an extension.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place(pub(crate) u32);

/// Marks an answer that is never sent: the connection is closed in its stead.
#[derive(Clone, Copy, Debug)]
struct HangUp;

/// A running server. Dropping it closes its listener and all its connections, as a crash would.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: std_net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Any free loopback port.
pub(crate) fn any_port() -> std_net::SocketAddr {
    std_net::SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves on an address until the server is dropped.
pub(crate) async fn serve<F, R>(address: std_net::SocketAddr, answer: F) -> io::Result<Server>
where
    F: Fn(Request) -> R + Clone + Send + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let listener = net::TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            let places = sync::Arc::new(atomic::AtomicU32::new(0));
            let service = hyper::service::service_fn(move |mut request: Request| {
                let place = places.fetch_add(1, atomic::Ordering::Relaxed);
                request.extensions_mut().insert(Place(place));
                let answered = answer(request);
                async move { sent(answered.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service);
            connections.spawn(async move {
                // A caller that hangs up is no event for a stand-in.
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, task })
}

fn sent(response: Response) -> io::Result<Response> {
    match response.extensions().get::<HangUp>() {
        Some(HangUp) => Err(io::ErrorKind::ConnectionAborted.into()),
        None => Ok(response),
    }
}

/// Closes the connection instead of an answer.
pub(crate) fn hang_up() -> Response {
    let mut response = respond(500, "text/plain", "");
    response.extensions_mut().insert(HangUp);
    response
}

/// An answer with a whole body.
pub(crate) fn respond(status: u16, content_type: &str, body: impl Into<bytes::Bytes>) -> Response {
    let body = http_body_util::Full::new(body.into()).map_err(|never| match never {});
    stream(status, content_type, body.boxed_unsync())
}

/// An answer with a given body.
pub(crate) fn stream(status: u16, content_type: &str, body: Body) -> Response {
    let response = hyper::Response::builder().status(status).header("content-type", content_type);
    response.body(body).expect("constant headers are valid")
}

/// Reads a request's body.
pub(crate) async fn body(request: Request) -> bytes::Bytes {
    request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}
