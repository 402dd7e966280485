//! Accepts connections to a stand-in for an upstream, for as long as it is up.

use std::{io, sync, time};

use http_body_util::BodyExt as _;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net as tokio_net, task};

use super::{Arrival, Body, Engine, silence};

/// Accepts connections until the engine ends, and again when it is back.
pub(super) async fn accept(engine: sync::Arc<Engine>, listener: tokio_net::TcpListener) {
    let mut ends = engine.state().ends.subscribe();
    let mut listener = Some(listener);
    while let Some(listening) = listener.take() {
        // Dropping the set ends the connections with the engine.
        let mut connections = task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listening.accept() => accepted,
                _ = ends.changed() => break,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            connections.spawn(serve_connection(engine.clone(), stream));
        }
        drop((listening, connections));
        let down = engine.state().down;
        tokio::time::sleep(down).await;
        ends.mark_unchanged();
        engine.state().starts += 1;
        listener = tokio_net::TcpListener::bind(engine.address).await.ok();
    }
}

async fn serve_connection(engine: sync::Arc<Engine>, stream: tokio_net::TcpStream) {
    let service = service::service_fn(move |request| answer(engine.clone(), request));
    // A connection that breaks is what some tests are about.
    let _ = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
}

async fn answer(
    engine: sync::Arc<Engine>,
    request: Request<body::Incoming>,
) -> Result<Response<Body>, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    if let Some(call) = silence::call_of(&head.method, &path) {
        if call == silence::AgentCall::Read {
            engine.reads_released().await;
        }
        let run = move |engine: &Engine| silence::run(engine, call, (&path, &query), body);
        let lost = || io::Error::other("the call is lost");
        return engine.carry_out(call, run).await.ok_or_else(lost);
    }
    let id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let arrival = Arrival {
        id: id.clone(),
        method: head.method.to_string(),
        path: head.uri.to_string(),
        headers: head.headers.clone(),
        body,
        at: time::Instant::now(),
        ran_on: None,
        asked: engine.state().asks,
        ran_on_chunks: Vec::new(),
    };
    let index = engine.note(arrival);
    engine.awake().await;
    engine.serve(&id, index, &head).await
}
