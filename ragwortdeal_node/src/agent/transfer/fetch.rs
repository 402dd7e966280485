//! Requests for chunks to the origin and to peers, and announcements to peers.

use std::{net, sync};

use ragwortdeal_core::{
    digest, name,
    spread::{download, event, manifest, roster},
};

use super::{Agent, INSTANCE, State};
use crate::{chunk_answers, http};

/// Longest time an announcement may take. A later one does not make up for it, so it is generous;
/// what is lost is found by asking the chunk's owner.
const ANNOUNCE_MS: u64 = 5_000;

/// Largest body of an answer to an announcement.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// One chunk to fetch.
struct Wanted {
    source: event::Source,
    address: net::SocketAddr,
    version: digest::Digest,
    chunk: u32,
    digest: digest::Digest,
    len_bytes: u64,
    manifest: manifest::Manifest,
    remote: bool,
    deadline_ms: u64,
}

impl Agent {
    pub(super) fn start_fetch(
        self: &sync::Arc<Self>,
        state: &mut State,
        source: event::Source,
        chunk: u32,
        deadline_ms: u64,
    ) {
        let Some(wanted) = self.wanted(state, &source, chunk, deadline_ms) else {
            return;
        };
        let agent = self.clone();
        let fetch = tokio::spawn(async move {
            let (source, chunk) = (wanted.source.clone(), wanted.chunk);
            let event = agent.fetch(wanted).await;
            let mut state = agent.transfer.state();
            state.fetches.remove(&(source, chunk));
            agent.feed_locked(&mut state, event);
        });
        state.fetches.insert((source, chunk), fetch.abort_handle());
    }

    /// What the request needs; `None` where it cannot be sent, which its deadline then reports.
    fn wanted(
        &self,
        state: &State,
        source: &event::Source,
        chunk: u32,
        deadline_ms: u64,
    ) -> Option<Wanted> {
        let download = state.download.as_ref()?;
        let manifest = download.manifest();
        let (address, remote) = match source {
            event::Source::Origin => (self.settings.weights.origin?, false),
            event::Source::Peer(name) => {
                (state.neighbours.address(name)?, download.is_remote(name))
            }
        };
        let (_, len_bytes) = manifest.range_bytes(chunk)?;
        Some(Wanted {
            source: source.clone(),
            address,
            version: download.version(),
            chunk,
            digest: *manifest.chunks().get(chunk as usize)?,
            len_bytes,
            manifest: manifest.clone(),
            remote,
            deadline_ms: deadline_ms.saturating_sub(self.transfer.clock.now_ms()),
        })
    }

    async fn fetch(&self, wanted: Wanted) -> event::Event {
        let peer = wanted.address.to_string();
        let path = match &wanted.source {
            event::Source::Origin => format!("/chunks/{}", wanted.digest),
            event::Source::Peer(_) => {
                format!("/internal/peers/{}/{}", wanted.version, wanted.chunk)
            }
        };
        let request = hyper::Request::get(format!("http://{peer}{path}"))
            .header(INSTANCE, self.identity.name.as_str());
        let request = match &wanted.source {
            event::Source::Origin => request,
            event::Source::Peer(_) => {
                request.header("authorization", self.credential.header_value())
            }
        };
        let request =
            request.body(http::full(bytes::Bytes::new())).expect("names are valid headers");
        // One byte more than the chunk, so that a chunk that is too long is told from a good one.
        let max_bytes = wanted.len_bytes as usize + 1;
        let answer =
            self.http.fetch("fetch chunk", &peer, request, max_bytes, wanted.deadline_ms).await;
        match answer {
            Ok((head, bytes)) if head.status == 200 => self.check(wanted, bytes).await,
            Ok((head, _)) => failed(wanted, failure(&head)),
            Err(error) => {
                log::debug!("agent: {error}");
                failed(wanted, chunk_answers::failure_of(&error))
            }
        }
    }

    /// Hashes the bytes off the threads that serve calls, and keeps them if they are the chunk.
    async fn check(&self, wanted: Wanted, bytes: bytes::Bytes) -> event::Event {
        self.count(&wanted, bytes.len() as u64);
        let (manifest, chunk, hashed) = (wanted.manifest.clone(), wanted.chunk, bytes.clone());
        let verify = move || manifest.verify_chunk(chunk, &hashed);
        let verified = tokio::task::spawn_blocking(verify).await.expect("hashing does not panic");
        let Wanted { source, version, chunk, digest, .. } = wanted;
        match verified {
            Ok(proof) => {
                self.store.lock().expect("no panic under lock").put(digest, bytes);
                event::Event::Arrived { source, chunk: proof }
            }
            Err(fault) => event::Event::InvalidChunk { source, version, chunk, fault },
        }
    }

    fn count(&self, wanted: &Wanted, bytes: u64) {
        // The announcements that are renewed anyway carry the counts; one for each chunk would cost
        // more than the agent's share for control.
        self.weights.send_if_modified(|weights| {
            match wanted.source {
                event::Source::Origin => weights.origin_bytes += bytes,
                event::Source::Peer(_) if wanted.remote => weights.region_bytes += bytes,
                event::Source::Peer(_) => weights.peer_bytes += bytes,
            }
            weights.staged_bytes = (weights.staged_bytes + bytes).min(weights.size_bytes);
            false
        });
    }

    /// Tells peers which further chunks are held here.
    pub(super) fn announce_chunks(
        self: &sync::Arc<Self>,
        state: &State,
        to: &[name::InstanceName],
        chunks: Vec<u32>,
    ) {
        let Some(version) = state.download.as_ref().map(download::Download::version) else {
            return;
        };
        let holdings = roster::Holdings { instance: self.identity.name.clone(), version, chunks };
        let mut body = Vec::new();
        ciborium::into_writer(&holdings, &mut body).expect("own types encode into memory");
        let body = bytes::Bytes::from(body);
        for address in to.iter().filter_map(|name| state.neighbours.address(name)) {
            let (agent, body) = (self.clone(), body.clone());
            tokio::spawn(async move { agent.post_holdings(address, body).await });
        }
    }

    async fn post_holdings(&self, address: net::SocketAddr, body: bytes::Bytes) {
        let peer = address.to_string();
        let request = hyper::Request::post(format!("http://{peer}/internal/peers/holdings"))
            .header("authorization", self.credential.header_value())
            .body(http::full(body))
            .expect("an address makes a valid URL");
        let step = "announce chunks";
        if let Err(error) =
            self.http.fetch(step, &peer, request, ANSWER_MAX_BYTES, ANNOUNCE_MS).await
        {
            log::debug!("agent: {error}");
        }
    }
}

fn failed(wanted: Wanted, failure: event::Failure) -> event::Event {
    let Wanted { source, version, chunk, .. } = wanted;
    event::Event::Failed { source, version, chunk, failure }
}

fn failure(head: &hyper::http::response::Parts) -> event::Failure {
    match head.status.as_u16() {
        429 => event::Failure::Busy,
        _ => chunk_answers::read_not_yet(head).unwrap_or(event::Failure::Error),
    }
}
