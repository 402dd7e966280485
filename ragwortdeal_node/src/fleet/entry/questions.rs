//! Asks agents what their engines have to do, and whether the path there is free.
//!
//! An upstream tells its load with its answers alone, and under load answers are late: the word that
//! an entry needs most would be the oldest.

use std::{sync, time};

use tokio::net;

use super::Entry;
use crate::{fleet::load_probe, settings};

/// Pause between two questions to an engine that gets requests.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// An engine in another zone that gets no requests is asked once in so many turns.
const RARE_TURNS: u64 = 5;

/// Asks for as long as the process runs.
pub(super) async fn run(entry: sync::Arc<Entry>, settings: sync::Arc<settings::fleet::Settings>) {
    let socket = match net::UdpSocket::bind((settings.fleet.address, 0)).await {
        Ok(socket) => sync::Arc::new(socket),
        Err(error) => return log::error!("entry: cannot ask agents: {error}"),
    };
    let key = load_probe::Key::new(&settings.credentials.cluster);
    tokio::spawn(hear(entry.clone(), socket.clone(), key));
    let mut turn = 0;
    loop {
        tokio::time::sleep(PAUSE).await;
        let now_ms = entry.clock.now_ms();
        let Some(table) = entry.table.load_full() else { continue };
        let is_engine = |service: &str| table.engine(service).is_some();
        let asked = entry.fleet().questions(is_engine, turn % RARE_TURNS == 0, now_ms);
        turn += 1;
        let question = key.encode(&load_probe::Request { asked_at_ms: now_ms });
        for address in asked {
            let to = (address, settings.fleet.link_port).into();
            if let Err(error) = socket.try_send_to(&question, to) {
                log::debug!("entry: no question to {address}: {error}");
            }
        }
    }
}

async fn hear(entry: sync::Arc<Entry>, socket: sync::Arc<net::UdpSocket>, key: load_probe::Key) {
    let mut datagram = [0; load_probe::DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let word = key.decode::<load_probe::Reply>(&datagram[..length]);
        if let (Some(word), std::net::IpAddr::V4(address)) = (word, from.ip()) {
            entry.telemetry.count("entry.words", 1);
            entry.fleet().heard(address, &word, entry.clock.now_ms());
        }
    }
}
