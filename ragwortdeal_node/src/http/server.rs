//! Serves a gotham router with an accept loop of our own.
//!
//! gotham's loop cannot be stopped and does not tell which requests are in progress. This one
//! tracks each connection, and on a stop lets every request in progress end before it returns.

use std::{net as std_net, panic, pin, sync, time};

use futures_util::TryFutureExt as _;
use gotham::{handler, hyper, router, state, state::FromState as _};
use hyper_util::{rt, server as hyper_server};
use tokio::net;

use super::{Body, Inbound, Response, body, inbound, tracked};
use crate::stop;

/// Longest time to send a request's headers, against callers that hold connections for nothing.
const HEADER_READ: time::Duration = time::Duration::from_secs(10);

/// Smallest buffer that hyper takes for a head.
const HEAD_MIN_BYTES: usize = 8 << 10;

/// A request as the handlers of this crate take it.
pub struct Request {
    /// Method.
    pub method: hyper::Method,
    /// Path and query.
    pub uri: hyper::Uri,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body, not read yet.
    pub body: Body,
    /// Address of the caller.
    pub client: Option<std_net::SocketAddr>,
    /// Limits of the process, for the body.
    pub inbound: Inbound,
}

/// The limits of the process, for handlers.
struct Limits(Inbound);

impl state::StateData for Limits {}

impl Request {
    fn take_from(state: &mut state::State) -> Self {
        let Limits(inbound) = Limits::take_from(state);
        Self {
            method: hyper::Method::take_from(state),
            uri: hyper::Uri::take_from(state),
            headers: hyper::HeaderMap::take_from(state),
            body: Body::take_from(state),
            client: state::client_addr(state),
            inbound,
        }
    }

    /// Bounds of a body that counts to the caller's address.
    pub fn body_bounds(&self, max_bytes: usize, deadline_ms: u64) -> body::BodyBounds {
        body::BodyBounds { max_bytes, deadline_ms, client: inbound::client_of(self.client) }
    }

    /// A header's value as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Makes a gotham handler of an async function over a shared application.
pub fn route<A, F, R>(app: sync::Arc<A>, endpoint: F) -> impl handler::NewHandler + 'static
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Request) -> R + Copy + Send + Sync + panic::RefUnwindSafe + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    // A handler that panics ends its own request only. The application's locks are held for a few
    // statements that do not panic, so its state stays whole.
    let app = panic::AssertUnwindSafe(app);
    move || {
        let app: &panic::AssertUnwindSafe<sync::Arc<A>> = &app;
        let app = sync::Arc::clone(app);
        Ok(move |state: state::State| handle(app, endpoint, state))
    }
}

fn handle<A, F, R>(
    app: sync::Arc<A>,
    endpoint: F,
    mut state: state::State,
) -> pin::Pin<Box<handler::HandlerFuture>>
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Request) -> R + Send + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let request = Request::take_from(&mut state);
    Box::pin(async move {
        let response = endpoint(app, request).await;
        Ok((state, response))
    })
}

/// Serves until the stop, then waits up to `grace_ms` for the requests in progress.
///
/// Returns whether all of them ended by themselves.
pub async fn serve(
    listener: net::TcpListener,
    router: router::Router,
    inbound: Inbound,
    stop: stop::Stop,
    grace_ms: u64,
) -> bool {
    serve_with(listener, router, Bounds::new(inbound), stop, grace_ms).await
}

/// Bounds on what a listener's callers may send.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Longest time in milliseconds to send a request's headers. It also ends a kept connection
    /// on which no request comes.
    pub head_ms: u64,
    /// Connections that the listener holds at once, beside the limit of the process.
    pub connections_max: Option<usize>,
    /// Limits of the process.
    pub inbound: Inbound,
}

impl Bounds {
    /// Usual bounds of a listener within the limits of its process.
    pub fn new(inbound: Inbound) -> Self {
        Self { head_ms: HEADER_READ.as_millis() as u64, connections_max: None, inbound }
    }
}

/// Serves any gotham handler, as [`serve`] does, within bounds of its own.
pub async fn serve_with<H>(
    listener: net::TcpListener,
    router: H,
    bounds: Bounds,
    stop: stop::Stop,
    grace_ms: u64,
) -> bool
where
    H: handler::NewHandler + 'static,
{
    let router = sync::Arc::new(router);
    let graceful = hyper_server::graceful::GracefulShutdown::new();
    bound_receive_buffers(&listener, &bounds.inbound);
    let connections = bounds.inbound.listener(bounds.connections_max);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        let Ok((stream, client)) = accepted else {
            // Out of file descriptors, most likely. Without a pause this would spin.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let place = match connections.find_place() {
            inbound::Found::Free(place) => place,
            inbound::Found::Replaced(place) => {
                // The replaced connection is closed before the next one is accepted.
                tokio::task::yield_now().await;
                place
            }
            inbound::Found::None => continue,
        };
        let _ = stream.set_nodelay(true);
        let state = place.state.clone();
        let connection = connection(stream, client, router.clone(), bounds.clone(), state);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                ended = watched => if let Err(error) = ended {
                    log::debug!("http: connection from {client} ended: {error}");
                },
                () = place.state.must_close() => {
                    log::debug!("http: connection from {client} gave way to a new one");
                }
            }
        });
    }
    drop(listener);
    tokio::time::timeout(time::Duration::from_millis(grace_ms), graceful.shutdown()).await.is_ok()
}

/// Bounds what the kernel holds of each connection. Accepted connections inherit it.
fn bound_receive_buffers(listener: &net::TcpListener, inbound: &Inbound) {
    let bytes = inbound.receive_buffer_bytes();
    if let Err(error) = socket2::SockRef::from(listener).set_recv_buffer_size(bytes) {
        log::warn!("http: receive buffers stay as large as the kernel makes them: {error}");
    }
}

fn connection<H: handler::NewHandler + 'static>(
    stream: net::TcpStream,
    client: std_net::SocketAddr,
    router: sync::Arc<H>,
    bounds: Bounds,
    connection: sync::Arc<inbound::ConnectionState>,
) -> impl hyper_server::graceful::GracefulConnection<Error = hyper::Error> {
    let Bounds { head_ms, inbound, .. } = bounds;
    let stream = tracked::Tracked::new(stream, connection.clone(), inbound.drain());
    let head_max_bytes = inbound.head_max_bytes().max(HEAD_MIN_BYTES);
    let service = hyper::service::service_fn(move |request: hyper::Request<_>| {
        connection.begin_request();
        let request = request.map(|it| body::TrackedRequest::new(it, connection.clone()));
        let mut state = state::State::from_request(request, client);
        state.put(Limits(inbound.clone()));
        let answer = gotham::service::call_handler(router.clone(), panic::AssertUnwindSafe(state));
        let connection = connection.clone();
        answer.map_ok(|answer| answer.map(|body| body::TrackedAnswer::new(body, connection)))
    });
    hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(head_ms))
        .max_buf_size(head_max_bytes)
        .serve_connection(rt::TokioIo::new(stream), service)
}
