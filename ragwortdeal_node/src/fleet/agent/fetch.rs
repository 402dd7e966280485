//! Fetches chunks from the origin and from peers, and announces held chunks to peers.

use std::{sync, time};

use bytes::Bytes;
use ragwortdeal_core::{
    name,
    spread::{event, manifest, roster},
};

use super::{Agent, manifests, peers};
use crate::{chunk_answers, fleet::dialect, http};

/// Timeout of an announcement of chunks.
const ANNOUNCE_TIMEOUT_MS: u64 = 2_000;

/// Largest answer to an announcement.
const ANNOUNCE_ANSWER_MAX_BYTES: usize = 64 << 10;

/// A request for one chunk.
pub(super) struct ChunkRequest {
    pub(super) weights: manifests::Weights,
    pub(super) manifest: manifest::Manifest,
    pub(super) source: event::Source,
    pub(super) chunk: u32,
    pub(super) deadline_ms: u64,
}

impl Agent {
    /// Fetches a chunk and reports the result to the policy.
    pub(super) async fn fetch(self: sync::Arc<Self>, chunk_request: ChunkRequest) {
        let begun = time::Instant::now();
        let fetched = self.fetch_bytes(&chunk_request).await;
        // Timeouts are counted where the deadline is handled. Queueing at the origin says nothing
        // about this instance's link.
        if fetched.is_ok() && chunk_request.source != event::Source::Origin {
            self.spread.congestion().on_received(begun.elapsed().as_millis() as u64);
        }
        let ChunkRequest { weights, manifest, source, chunk, .. } = chunk_request;
        let version = manifest.version();
        let event = match fetched {
            Err(failure) => {
                event::Event::Failed { source: source.clone(), version, chunk, failure }
            }
            Ok(bytes) => match manifest.verify_chunk(chunk, &bytes) {
                Err(fault) => {
                    event::Event::InvalidChunk { source: source.clone(), version, chunk, fault }
                }
                Ok(proof) => {
                    log::debug!("agent: chunk {chunk} of {weights:?} came from {source:?}");
                    let from = match source {
                        event::Source::Origin => "agent.origin_bytes",
                        event::Source::Peer(_) => "agent.peer_bytes",
                    };
                    self.telemetry.count(from, bytes.len() as u64);
                    self.store_chunk(&weights, chunk, bytes);
                    event::Event::Arrived { source: source.clone(), chunk: proof }
                }
            },
        };
        self.fetch_finished(&weights, (source, chunk), event);
    }

    async fn fetch_bytes(&self, chunk_request: &ChunkRequest) -> Result<Bytes, event::Failure> {
        let ChunkRequest { weights, manifest, source, chunk, deadline_ms } = chunk_request;
        let (chunk, deadline_ms) = (*chunk, *deadline_ms);
        let (peer, call) = match source {
            event::Source::Origin => {
                let document = self.voter_state.borrow().document.clone();
                let origin = document.as_ref().and_then(|document| document.origin());
                let origin = origin.ok_or(event::Failure::Error)?.address.to_string();
                (origin, self.dialect.chunk_call(&weights.model, weights.version, chunk))
            }
            event::Source::Peer(instance) => {
                let path = peers::chunk_path(weights, chunk);
                let call = dialect::Call { method: hyper::Method::GET, path, body: Bytes::new() };
                (self.settings.link_address(instance), call)
            }
        };
        // One byte more than a chunk, so that one that is too long is not taken for a valid one.
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        let request = hyper::Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header(peers::INSTANCE_HEADER, self.identity.name.as_str());
        let request = match source {
            event::Source::Origin => manifests::close_after_response(request),
            event::Source::Peer(_) => {
                request.header("authorization", self.credential.header_value())
            }
        };
        let request = request.body(http::full(call.body)).map_err(|_| event::Failure::Error)?;
        let fetched = self.http.fetch("fetch chunk", &peer, request, max_bytes, deadline_ms).await;
        let (head, bytes) = fetched.map_err(|error| {
            log::debug!("agent: {error}");
            chunk_answers::failure_of(&error)
        })?;
        match head.status.as_u16() {
            200 => Ok(bytes),
            503 => Err(event::Failure::Busy),
            _ => Err(chunk_answers::read_not_yet(&head).unwrap_or(event::Failure::Error)),
        }
    }

    /// Announces newly held chunks to peers.
    pub(super) fn announce(
        self: &sync::Arc<Self>,
        to: Vec<name::InstanceName>,
        holdings: &roster::Holdings,
    ) {
        for instance in to {
            if let Some(message) = self.spread.outbox().push(&instance, holdings.clone()) {
                tokio::spawn(self.clone().send_announcements(instance, message));
            }
        }
    }

    /// Sends a message to a peer, then what was queued meanwhile, until nothing is left.
    async fn send_announcements(
        self: sync::Arc<Self>,
        to: name::InstanceName,
        first: roster::Holdings,
    ) {
        let mut next = Some(first);
        while let Some(message) = next {
            let arrived = self.send_announcement(&to, &message).await;
            next = self.spread.outbox().finish(&to, message, arrived);
        }
    }

    async fn send_announcement(&self, to: &name::InstanceName, message: &roster::Holdings) -> bool {
        let mut body = Vec::new();
        ciborium::into_writer(message, &mut body).expect("own types encode into memory");
        let peer = self.settings.link_address(to);
        let call = dialect::Call {
            method: hyper::Method::POST,
            path: peers::HOLDINGS_PATH.to_owned(),
            body: body.into(),
        };
        let answer = self
            .call("announce chunks", &peer, call, ANNOUNCE_ANSWER_MAX_BYTES, ANNOUNCE_TIMEOUT_MS)
            .await;
        if let Err(error) = &answer {
            log::debug!("agent: {error}");
        }
        answer.is_ok_and(|(status, _)| status == 204)
    }
}
