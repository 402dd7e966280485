//! Probes agents for the load of their engines and for the state of the path there.
//!
//! Upstreams report their load only with their answers, and under load answers are late: the report
//! that an entry needs most would be the oldest.

use std::{sync, time};

use ragwortdeal_core::dispatch::pace;
use tokio::net;

use super::Entry;
use crate::{fleet::load_probe, settings};

/// Interval between two probes to an engine that gets requests.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Engines in other zones that get no requests are probed once in so many rounds.
const IDLE_ZONE_ROUNDS: u64 = 5;

/// Sends probes for as long as the process runs.
pub(super) async fn run(entry: sync::Arc<Entry>, settings: sync::Arc<settings::fleet::Settings>) {
    let socket = match net::UdpSocket::bind((settings.fleet.address, 0)).await {
        Ok(socket) => sync::Arc::new(socket),
        Err(error) => return log::error!("entry: cannot open the probe socket: {error}"),
    };
    let key = load_probe::Key::new(&settings.credentials.cluster);
    tokio::spawn(receive(entry.clone(), socket.clone(), key));
    let mut round = 0;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let now_ms = entry.clock.now_ms();
        let Some(table) = entry.table.load_full() else { continue };
        let is_engine = |service: &str| table.engine(service).is_some();
        let addresses =
            entry.upstreams().probe_targets(is_engine, round % IDLE_ZONE_ROUNDS == 0, now_ms);
        round += 1;
        let request = key.encode(&load_probe::Request { asked_at_ms: now_ms });
        for address in addresses {
            let to = (address, settings.fleet.link_port).into();
            if let Err(error) = socket.try_send_to(&request, to) {
                log::debug!("entry: probe to {address} not sent: {error}");
            }
        }
    }
}

async fn receive(entry: sync::Arc<Entry>, socket: sync::Arc<net::UdpSocket>, key: load_probe::Key) {
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let reply = key.decode::<load_probe::Reply>(&datagram[..length]);
        if let (Some(reply), std::net::IpAddr::V4(address)) = (reply, from.ip()) {
            entry.telemetry.count("entry.words", 1);
            let pace = entry.reported_pace(address, reply.load.as_ref());
            entry.upstreams().record_probe_reply(address, &reply, pace, entry.clock.now_ms());
        }
    }
}

impl Entry {
    /// The pace of the engine in an agent's reply, if there is a plausible one.
    fn reported_pace(
        &self,
        address: std::net::Ipv4Addr,
        load: Option<&load_probe::EngineLoad>,
    ) -> Option<pace::Factor> {
        let factor = load?.pace?;
        self.plausible_pace(&address, pace::Factor::new(factor))
    }

    /// A reported pace if it is plausible. Others are counted and dropped.
    pub(super) fn plausible_pace(
        &self,
        upstream: &impl std::fmt::Display,
        reported: Result<pace::Factor, pace::Malformed>,
    ) -> Option<pace::Factor> {
        if reported.is_err() {
            log::debug!("entry: malformed pace of {upstream} dropped");
            self.telemetry.count("entry.paces_malformed", 1);
        }
        reported.ok()
    }
}
