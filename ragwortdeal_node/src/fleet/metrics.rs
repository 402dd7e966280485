//! Serves the counters and latencies of a process as text.

use std::{net, sync};

use crate::{http, stop, telemetry, telemetry::aggregate};

/// Opens the listener in the settings, if there is one, and returns the telemetry to record to.
///
/// A failure to open the listener is logged: a process without metrics still serves.
pub async fn start(
    address: Option<net::SocketAddrV4>,
    stop: stop::Stop,
) -> (telemetry::Telemetry, aggregate::Aggregate) {
    let aggregate = aggregate::Aggregate::default();
    let telemetry = telemetry::Telemetry::kept(&aggregate);
    if let Some(address) = address {
        match tokio::net::TcpListener::bind(address).await {
            Ok(listener) => {
                let handler = http::route(sync::Arc::new(aggregate.clone()), answer);
                let bounds = http::Bounds::default();
                tokio::spawn(http::serve_with(listener, handler, bounds, stop, 0));
            }
            Err(error) => log::error!("metrics: cannot listen on {address}: {error}"),
        }
    }
    (telemetry, aggregate)
}

async fn answer(aggregate: sync::Arc<aggregate::Aggregate>, _: http::Request) -> http::Response {
    http::respond(200, "text/plain", http::full(aggregate.text()))
}
