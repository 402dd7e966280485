//! Requests for chunks to the origin and to peers, and announcements to peers.

use std::{sync, time};

use bytes::Bytes;
use ragwortdeal_core::{
    name,
    spread::{event, manifest, roster},
};

use super::{Agent, origin, peers};
use crate::{chunk_answers, fleet::dialect, http};

/// Longest time that an announcement of chunks may take.
const ANNOUNCE_MS: u64 = 2_000;

/// Largest answer to it.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// One chunk to fetch.
pub(super) struct Wanted {
    pub(super) weights: origin::Weights,
    pub(super) manifest: manifest::Manifest,
    pub(super) source: event::Source,
    pub(super) chunk: u32,
    pub(super) deadline_ms: u64,
    /// Whether the origin may be asked.
    pub(super) draws: bool,
}

impl Agent {
    /// Fetches a chunk and tells the policy what became of it.
    pub(super) async fn fetch(self: sync::Arc<Self>, wanted: Wanted) {
        let begun = time::Instant::now();
        let fetched = self.fetch_bytes(&wanted).await;
        // What is given up is counted where its deadline is. The origin's queue is not the own link.
        if fetched.is_ok() && wanted.source != event::Source::Origin {
            self.spread.congestion().on_received(begun.elapsed().as_millis() as u64);
        }
        let Wanted { weights, manifest, source, chunk, .. } = wanted;
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
                    self.keep(&weights, chunk, bytes);
                    event::Event::Arrived { source: source.clone(), chunk: proof }
                }
            },
        };
        self.fetched(&weights, (source, chunk), event);
    }

    async fn fetch_bytes(&self, wanted: &Wanted) -> Result<Bytes, event::Failure> {
        let Wanted { weights, manifest, source, chunk, deadline_ms, draws } = wanted;
        let (chunk, deadline_ms) = (*chunk, *deadline_ms);
        let (peer, call) = match source {
            event::Source::Origin if !draws => return Err(event::Failure::Error),
            event::Source::Origin => {
                let document = self.told.borrow().document.clone();
                let origin = document.as_ref().and_then(|document| document.origin());
                let origin = origin.ok_or(event::Failure::Error)?.address.to_string();
                (origin, self.spoken.chunk_call(&weights.model, weights.version, chunk))
            }
            event::Source::Peer(instance) => {
                let path = peers::chunk_path(weights, chunk);
                let call = dialect::Call { method: hyper::Method::GET, path, body: Bytes::new() };
                (self.settings.link_address(instance), call)
            }
        };
        // One byte more than the chunk, so that one that is too long is told from a good one.
        let max_bytes = manifest.chunk_bytes() as usize + 1;
        let request = hyper::Request::builder()
            .method(call.method)
            .uri(format!("http://{peer}{}", call.path))
            .header(peers::INSTANCE, self.identity.name.as_str());
        let request = match source {
            event::Source::Origin => origin::closing(request),
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

    /// Tells peers which further chunks are held here.
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

    /// Sends a message to a peer, and what has gathered meanwhile, until nothing is left.
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
        let told = self.call("announce chunks", &peer, call, ANSWER_MAX_BYTES, ANNOUNCE_MS).await;
        if let Err(error) = &told {
            log::debug!("agent: {error}");
        }
        told.is_ok_and(|(status, _)| status == 204)
    }
}
