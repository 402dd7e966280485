//! Answers the questions of entries about the engine on this instance.

use std::{sync, time};

use tokio::net;

use super::Agent;
use crate::fleet::load_probe;

/// Age up to which a report of the engine answers further questions.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_millis(40);

/// How long the engine may take to report. The question is answered without it then: the entry still
/// learns that the way is free.
const REPORT_MS: u64 = 100;

/// The last report.
struct Held {
    load: Option<load_probe::EngineLoad>,
    at: time::Instant,
}

/// Answers for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let address = agent.settings.link_address(&agent.settings.fleet.address.to_string());
    let socket = match net::UdpSocket::bind(&address).await {
        Ok(socket) => socket,
        Err(error) => return log::error!("agent: cannot take questions on {address}: {error}"),
    };
    let key = load_probe::Key::new(&agent.settings.credentials.cluster);
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    let mut held: Option<Held> = None;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let Some(question) = key.decode::<load_probe::Request>(&datagram[..length]) else {
            log::debug!("agent: unreadable datagram from {from}");
            continue;
        };
        let load = match held.as_ref().filter(|held| held.at.elapsed() <= REPORT_MAX_AGE) {
            Some(held) => held.load,
            None => {
                let load = agent.load().await;
                held = Some(Held { load, at: time::Instant::now() });
                load
            }
        };
        let word = load_probe::Reply { asked_at_ms: question.asked_at_ms, load };
        if let Err(error) = socket.try_send_to(&key.encode(&word), from) {
            log::debug!("agent: no word to {from}: {error}");
        }
    }
}

impl Agent {
    async fn load(&self) -> Option<load_probe::EngineLoad> {
        let within = time::Duration::from_millis(REPORT_MS);
        let report = tokio::time::timeout(within, self.report()).await.ok()??;
        Some(load_probe::EngineLoad { running: report.running, waiting: report.waiting })
    }
}
