//! Finds out whether an upstream ended where connections to it did.

use std::{collections, io, sync, time};

use ragwortdeal_core::{
    directory,
    dispatch::{isolation::evidence, prompt},
};

use super::{Entry, isolation, pool, request::CallerRequest, upstreams::selection};

/// Time within which the connections to an upstream that ended break off one after the other.
const COLLECT: time::Duration = time::Duration::from_millis(10);

/// A request whose connection ended before its answer was whole.
struct BrokenRequest {
    request: String,
    fingerprint: prompt::Part,
    parts: Vec<prompt::Part>,
    /// Whether it may have ended the upstream.
    suspect: bool,
}

/// What broke at one start of an upstream.
struct Ending {
    boot: evidence::Boot,
    /// When the first connection ended.
    since: time::Instant,
    broken: Vec<BrokenRequest>,
}

type ByUpstream = collections::HashMap<directory::Text, Ending>;

/// Requests whose connections ended a moment ago, by upstream.
#[derive(Default)]
pub(super) struct Endings {
    endings: sync::Mutex<ByUpstream>,
}

impl Endings {
    fn lock(&self) -> sync::MutexGuard<'_, ByUpstream> {
        self.endings.lock().expect("no panic under lock")
    }
}

impl Entry {
    /// Records that the connection of a request ended before its answer was whole. The upstream may
    /// have ended, or only the connection.
    pub(super) fn record_connection_end(
        self: &sync::Arc<Self>,
        request: &CallerRequest,
        selected: &selection::Selected,
    ) {
        let writing = selected.writing(self.clock.now_ms());
        log::info!(
            request = request.id(), upstream = &*selected.peer.instance,
            fingerprint = &*request.fingerprint.name,
            parts = prompt::names(&request.parts).as_str(), events = writing.pieces,
            writing_ms = writing.since_ms;
            "entry: its connection ended"
        );
        let broken = BrokenRequest {
            request: request.id().to_owned(),
            fingerprint: request.fingerprint.clone(),
            parts: request.parts.clone(),
            suspect: isolation::is_suspect(writing) && !request.parts.is_empty(),
        };
        self.isolation.record_doubt(request.fingerprint.id, self.clock.now_ms());
        let boot = self.upstreams().boot(&selected.peer.instance);
        let mut endings = self.endings.lock();
        let ending = endings.entry(selected.peer.instance.clone()).or_insert_with(|| Ending {
            boot,
            since: time::Instant::now(),
            broken: Vec::new(),
        });
        ending.broken.push(broken);
        if ending.broken.len() == 1 {
            tokio::spawn(self.clone().find_out(selected.peer.clone()));
        }
    }

    /// Tells an upstream that ended, which refuses connects, from one whose connections ended.
    async fn find_out(self: sync::Arc<Self>, peer: pool::Peer) {
        tokio::time::sleep(COLLECT).await;
        let connected = pool::connect(&peer).await;
        let Some(Ending { boot, since, broken }) = self.endings.lock().remove(&peer.instance)
        else {
            return;
        };
        let requests: Vec<&str> = broken.iter().map(|it| it.request.as_str()).collect();
        let fingerprints = broken.iter().map(|it| it.fingerprint.clone()).collect::<Vec<_>>();
        let suspects = broken.iter().filter(|it| it.suspect).map(|it| it.parts.clone());
        let suspects: Vec<_> = suspects.collect();
        let (upstream, open) = (&*peer.instance, broken.len());
        let ended = matches!(connected, Err(pool::ConnectError::Refused { .. }))
            && !self.upstreams().is_departing(&peer.instance);
        match connected {
            Err(pool::ConnectError::Refused { .. }) => {
                log::info!(
                    upstream, open, suspects = suspects.len(),
                    requests = requests.join(",").as_str(),
                    fingerprints = prompt::names(&fingerprints).as_str();
                    "entry: an upstream ended under requests"
                );
                self.telemetry.count("entry.upstreams_ended", 1);
                let age_ms = since.elapsed().as_millis() as u64;
                let fingerprints = if ended { fingerprints } else { Vec::new() };
                if !suspects.is_empty() || !fingerprints.is_empty() {
                    let now_ms = self.clock.now_ms();
                    self.isolation.record_end(boot, age_ms, &suspects, fingerprints, now_ms);
                }
            }
            Err(error @ pool::ConnectError::Failed { .. }) => {
                log::info!(
                    upstream, open, reason:% = error;
                    "entry: it is unknown whether an upstream ended"
                );
            }
            Ok(connection) => {
                log::info!(upstream, open; "entry: an upstream goes on whose connections ended");
                self.pool.put(&peer, connection, pool::IDLE_DEFAULT);
            }
        }
        for request in broken {
            self.isolation.record_found(request.fingerprint.id, ended, self.clock.now_ms());
        }
    }
}

/// Whether an error says that the connection ended, by its upstream or by its machine.
pub(super) fn is_connection_end(error: &(dyn std::error::Error + 'static)) -> bool {
    let by_hyper = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(|error| error.is_incomplete_message() || error.is_closed());
    let by_socket = error.downcast_ref::<io::Error>().is_some_and(|error| {
        matches!(
            error.kind(),
            io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::UnexpectedEof
        )
    });
    by_hyper || by_socket || error.source().is_some_and(is_connection_end)
}
