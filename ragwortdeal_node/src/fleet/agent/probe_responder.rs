//! Answers the probes of entries with the load of the engine on this instance.

use std::{sync, time};

use tokio::net;

use super::Agent;
use crate::fleet::{dialect, load_probe};

/// Age up to which a report of the engine answers further probes.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_millis(40);

/// Timeout of the engine's report. After it the probe is answered without a load: the entry still
/// learns that the path is free.
const REPORT_TIMEOUT_MS: u64 = 100;

/// The load from the last report.
struct CachedLoad {
    load: Option<load_probe::EngineLoad>,
    at: time::Instant,
}

/// Answers probes for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let address = agent.settings.link_address(&agent.settings.fleet.address.to_string());
    let socket = match net::UdpSocket::bind(&address).await {
        Ok(socket) => socket,
        Err(error) => return log::error!("agent: cannot listen for probes on {address}: {error}"),
    };
    let key = load_probe::Key::new(&agent.settings.credentials.cluster);
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    let mut cached: Option<CachedLoad> = None;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let Some(request) = key.decode::<load_probe::Request>(&datagram[..length]) else {
            log::debug!("agent: unreadable datagram from {from}");
            continue;
        };
        let load = match cached.as_ref().filter(|cached| cached.at.elapsed() <= REPORT_MAX_AGE) {
            Some(cached) => cached.load,
            None => {
                let load = agent.engine_load().await;
                cached = Some(CachedLoad { load, at: time::Instant::now() });
                load
            }
        };
        let reply = load_probe::Reply { asked_at_ms: request.asked_at_ms, load };
        if let Err(error) = socket.try_send_to(&key.encode(&reply), from) {
            log::debug!("agent: reply to {from} not sent: {error}");
        }
    }
}

impl Agent {
    async fn engine_load(&self) -> Option<load_probe::EngineLoad> {
        let timeout = time::Duration::from_millis(REPORT_TIMEOUT_MS);
        let report = tokio::time::timeout(timeout, self.report()).await.ok()??;
        let dialect::EngineReport { running, waiting, pace, .. } = report;
        Some(load_probe::EngineLoad { running, waiting, pace })
    }
}
