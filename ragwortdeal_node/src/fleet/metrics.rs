//! Serves the counters and latencies of a process as text.

use std::sync;

use crate::{http, settings, stop, telemetry, telemetry::aggregate};

/// Connections that ask for metrics at once.
const CONNECTIONS_MAX: usize = 32;

/// Opens the listener in the settings, if there is one, and returns the telemetry to record to and
/// the limits of what peers may send.
///
/// A failure to open the listener is logged: a process without metrics still serves.
pub async fn start(
    settings: &settings::fleet::Settings,
    stop: stop::Stop,
) -> (telemetry::Telemetry, http::Inbound) {
    let aggregate = aggregate::Aggregate::default();
    let telemetry = telemetry::Telemetry::kept(&aggregate);
    let memory_mb = settings.bounds.memory_mb;
    let inbound = http::Inbound::new(&settings.inbound, memory_mb, telemetry.clone());
    tokio::spawn(inbound.clone().report());
    if let Some(address) = settings.listen.metrics {
        match tokio::net::TcpListener::bind(address).await {
            Ok(listener) => {
                let handler = http::route(sync::Arc::new(aggregate.clone()), answer);
                let bounds = http::Bounds {
                    connections_max: Some(CONNECTIONS_MAX),
                    ..http::Bounds::new(inbound.clone())
                };
                tokio::spawn(http::serve_with(listener, handler, bounds, stop, 0));
            }
            Err(error) => log::error!("metrics: cannot listen on {address}: {error}"),
        }
    }
    (telemetry, inbound)
}

async fn answer(aggregate: sync::Arc<aggregate::Aggregate>, _: http::Request) -> http::Response {
    http::respond(200, "text/plain", http::full(aggregate.text()))
}
